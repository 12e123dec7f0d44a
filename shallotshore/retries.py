"""Limits of retries: number, delay and budget."""

__all__ = ["MAX_ATTEMPTS", "RetryBudget", "backoff_ms"]

import random
from array import array

from shallotshore.hashing import score
from shallotshore.tables import MISSING, Table

MAX_ATTEMPTS = 4
_FIRST_BACKOFF_MS = 20
_MAX_BACKOFF_MS = 500
_RETRIES_PER_REQUEST = 0.1  # a failing service gets at most 10% more load
# Three retries a second, so that customers with few requests can retry at all.
_MIN_RETRIES_PER_MS = 3 / 1000
_MAX_EARNED_TOKENS = 20.0
_MAX_MINIMUM_TOKENS = 3.0
_MAX_PAIRS = 16_384
_IDLE_ROW_MS = 60_000


def backoff_ms(failures: int, rng: random.Random) -> int:
    """Returns a random delay in ms before the next attempt; its bound doubles with each failure.

    Args:
        failures: Attempts that failed so far, at least 1.
        rng: Source of the jitter.
    """
    bound = min(_MAX_BACKOFF_MS, _FIRST_BACKOFF_MS << (failures - 1))
    return rng.randint(0, bound)


class RetryBudget(Table):
    """Tokens for retries per (customer, service).

    Columns: `earned_tokens` (from fresh requests), `minimum_tokens` (from time), `refilled_at`
    (ms). A retry needs a token in one of the two token columns and is charged to both, so that the
    greater of the two rates holds, not their sum.
    """

    __slots__ = ("_pruned_at", "earned_tokens", "minimum_tokens", "refilled_at")

    earned_tokens: "array[float]"
    minimum_tokens: "array[float]"
    refilled_at: "array[int]"

    COLUMNS = {"earned_tokens": "d", "minimum_tokens": "d", "refilled_at": "q"}

    def __init__(self, limit: int = _MAX_PAIRS) -> None:
        """Creates an empty table; pairs beyond the limit get no retries while no row is idle."""
        super().__init__(limit)
        self._pruned_at = -_IDLE_ROW_MS

    def record_request(self, customer: int, service: int, now: int) -> None:
        """Counts a fresh request; ten of them earn one retry."""
        row = self._refill_row(customer, service, now)
        if row != MISSING:
            self.earned_tokens[row] = min(
                _MAX_EARNED_TOKENS, self.earned_tokens[row] + _RETRIES_PER_REQUEST
            )

    def spend_retry(self, customer: int, service: int, now: int) -> bool:
        """Charges one retry to the budget.

        Returns:
            Whether the retry is allowed.
        """
        row = self._refill_row(customer, service, now)
        if row == MISSING or max(self.earned_tokens[row], self.minimum_tokens[row]) < 1:
            return False
        self.earned_tokens[row] = max(0.0, self.earned_tokens[row] - 1)
        self.minimum_tokens[row] = max(0.0, self.minimum_tokens[row] - 1)
        return True

    def prune(self, now: int) -> None:
        """Removes the rows of pairs idle for a minute; their minimum tokens are full again."""
        for row in self.rows():
            if now - self.refilled_at[row] > _IDLE_ROW_MS:
                self.remove(self.key[row])

    def _refill_row(self, customer: int, service: int, now: int) -> int:
        pair = score(customer, service)
        row = self.row(pair)
        if row == MISSING:
            row = self._add_pair(pair, now)
            if row != MISSING:
                self.minimum_tokens[row] = _MAX_MINIMUM_TOKENS
                self.refilled_at[row] = now
            return row
        gained = (now - self.refilled_at[row]) * _MIN_RETRIES_PER_MS
        self.minimum_tokens[row] = min(_MAX_MINIMUM_TOKENS, self.minimum_tokens[row] + gained)
        self.refilled_at[row] = now
        return row

    def _add_pair(self, pair: int, now: int) -> int:
        """Adds a row; when the table is full, removes idle rows first, at most once a minute."""
        row = self.add(pair)
        if row == MISSING and now - self._pruned_at > _IDLE_ROW_MS:
            self._pruned_at = now
            self.prune(now)
            row = self.add(pair)
        return row
