"""Queue of waiting requests, in the order that serves the most callers in time."""

from __future__ import annotations

__all__ = ["WaitingQueue", "WaitingRequest"]

from bisect import bisect_left, insort
from collections.abc import Hashable
from heapq import heapify, heappop, heappush
from typing import Any, TypeAlias

from shallotshore.scheduling.terms import RequestTerms

MAX_PASSED_OVER_TURNS = 9  # a priority that waits gets at least every tenth turn
# A priority that waits gets a turn after this share of its limit. Half of the limit leaves time to
# answer the request that gets the turn.
MAX_STARVED_SHARE_OF_LIMIT = 0.5
MAX_IDLE_ACCOUNTS = 256  # without a waiting request, whose last turns are remembered
MAX_IDLE_PRIORITIES = 16  # without a waiting request, whose accounts are remembered

_Place: TypeAlias = tuple[int, int]  # when the client first asked in ms, number of the push


class WaitingRequest:
    """One request that waits for an upstream.

    Attributes:
        key: Key of the request; a queue holds one request with a key.
        terms: Class of the request.
        account: Client account to which the request's turn is charged.
        asked_at: When the client first asked, in ms.
        item: The front end's own object.
        expires_at: When the request must be dropped, in ms; 0 when only its time limit counts.
    """

    __slots__ = ("account", "asked_at", "expires_at", "item", "key", "terms")

    def __init__(
        self,
        key: int,
        terms: RequestTerms,
        account: Hashable,
        asked_at: int,
        item: Any,
        expires_at: int = 0,
    ) -> None:
        self.key = key
        self.terms = terms
        self.account = account
        self.asked_at = asked_at
        self.item = item
        limit_at = asked_at + terms.limit_ms if terms.limit_ms else 0
        self.expires_at = (
            min(limit_at, expires_at) if limit_at and expires_at else (limit_at or expires_at)
        )


class _Line:
    """Requests of one account with equal terms, oldest first.

    Since the terms are equal, no request of the line can be in time when the newest cannot.
    """

    __slots__ = ("account", "places", "requests", "terms")

    def __init__(self, account: Hashable, terms: RequestTerms) -> None:
        self.account = account
        self.terms = terms
        self.places: list[_Place] = []
        self.requests: dict[int, WaitingRequest] = {}  # by number of the push


class _Level:
    """Requests of one priority.

    Attributes:
        lines: Lines by account, target and limit.
        passed_over: Turns of other priorities since the last turn of this one.
        served_at: Time of the last turn, or since when requests wait, in ms.
        virtual_time: Turns of each account that always had a request waiting.
        charged: Virtual time after the last turn of each account.
    """

    __slots__ = ("charged", "lines", "passed_over", "served_at", "virtual_time")

    def __init__(self) -> None:
        self.lines: dict[tuple[Hashable, int, int], _Line] = {}
        self.passed_over = 0
        self.served_at = 0
        self.virtual_time = 0
        self.charged: dict[Hashable, int] = {}

    def find_best(self, finish_at: float) -> tuple[_Line | None, _Line | None]:
        """Returns the line with the next turn among those in time, and among the late ones.

        The account with the fewest turns goes first, then the newest request. An account that had
        nothing to serve gets no credit for that time.
        """
        best: list[_Line | None] = [None, None]
        best_ranks: list[tuple[int, int, int] | None] = [None, None]
        for line in self.lines.values():
            asked_at = line.places[-1][0]
            charged = self.charged.get(line.account, 0)
            rank = (max(charged, self.virtual_time), charged, -asked_at)
            kind = 0 if line.terms.is_in_time(asked_at, finish_at) else 1
            lowest = best_ranks[kind]
            if lowest is None or rank < lowest:
                best[kind], best_ranks[kind] = line, rank
        return best[0], best[1]

    def charge(self, account: Hashable) -> None:
        """Counts a turn of an account."""
        self.virtual_time = max(self.charged.get(account, 0), self.virtual_time)
        self.charged[account] = self.virtual_time + 1
        if len(self.charged) > len(self.lines) + MAX_IDLE_ACCOUNTS:
            self.virtual_time += 1
            self.charged = {
                other: turns for other, turns in self.charged.items() if turns > self.virtual_time
            }

    def is_starved(self, now: int) -> bool:
        """Whether this priority has a right to the next turn."""
        if self.passed_over >= MAX_PASSED_OVER_TURNS:
            return True
        starved_ms = now - self.served_at
        return any(
            line.terms.limit_ms and starved_ms >= MAX_STARVED_SHARE_OF_LIMIT * line.terms.limit_ms
            for line in self.lines.values()
        )


class WaitingQueue:
    """Requests that wait, each of them until its turn or its expiry.

    Requests that can be in time go before those that cannot, then higher priorities go first, then
    accounts take turns, then the newest request goes first. A priority that waits gets at least
    every tenth turn.
    """

    __slots__ = ("_expired", "_expiries", "_levels", "_max_requests", "_places", "_pushes")

    def __init__(self, max_requests: int) -> None:
        """Creates an empty queue.

        Args:
            max_requests: Number of requests above which further ones are not added.
        """
        self._max_requests = max_requests
        self._levels: dict[int, _Level] = {}
        self._places: dict[int, tuple[_Line, _Place]] = {}
        self._pushes = 0
        self._expiries: list[tuple[int, int, int]] = []  # time in ms, number of the push, key
        self._expired: list[WaitingRequest] = []

    def __len__(self) -> int:
        return len(self._places)

    def get(self, key: int) -> WaitingRequest | None:
        """Returns the request with a key, or None."""
        found = self._places.get(key)
        return found[0].requests[found[1][1]] if found is not None else None

    def push(self, request: WaitingRequest, now: int) -> bool:
        """Adds a request, or replaces the one with the same key.

        Args:
            request: The request.
            now: Time in ms.

        Returns:
            Whether the request was added; a full queue takes no further one.
        """
        self.remove(request.key)
        if len(self._places) >= self._max_requests:
            return False
        terms = request.terms
        level = self._levels.get(terms.priority)
        if level is None:
            if len(self._levels) >= MAX_IDLE_PRIORITIES:
                self._levels = {rank: one for rank, one in self._levels.items() if one.lines}
            level = self._levels[terms.priority] = _Level()
        if not level.lines:
            level.served_at = now
            level.passed_over = 0
        line_key = (request.account, terms.target_ms, terms.limit_ms)
        line = level.lines.get(line_key)
        if line is None:
            line = level.lines[line_key] = _Line(request.account, terms)
        self._pushes += 1
        place = (request.asked_at, self._pushes)
        insort(line.places, place)
        line.requests[self._pushes] = request
        self._places[request.key] = (line, place)
        if request.expires_at:
            heappush(self._expiries, (request.expires_at, self._pushes, request.key))
            self._drop_stale_expiries()
        return True

    def pop_next(self, now: int, service_ms: float) -> WaitingRequest | None:
        """Removes and returns the request whose turn it is.

        Args:
            now: Time in ms.
            service_ms: Expected time from the turn to the answer.

        Returns:
            The request, or None when no request waits.
        """
        self._expire(now)
        chosen = self._choose(now, service_ms)
        if chosen is None:
            return None
        chosen_level, line = chosen
        request = line.requests[line.places[-1][1]]
        self.remove(request.key)
        chosen_level.charge(request.account)
        for level in self._levels.values():
            level.passed_over = level.passed_over + 1 if level.lines else 0
        chosen_level.passed_over = 0
        chosen_level.served_at = now
        return request

    def remove(self, key: int) -> WaitingRequest | None:
        """Removes and returns the request with a key; None when there is none."""
        found = self._places.pop(key, None)
        if found is None:
            return None
        line, place = found
        del line.places[bisect_left(line.places, place)]
        request = line.requests.pop(place[1])
        if not line.places:
            terms = line.terms
            level = self._levels[terms.priority]
            del level.lines[(line.account, terms.target_ms, terms.limit_ms)]
        return request

    def remove_first_to_expire(self) -> WaitingRequest | None:
        """Removes and returns the request that expires next; None when none expires."""
        while self._expiries:
            _, number, key = heappop(self._expiries)
            found = self._places.get(key)
            if found is not None and found[1][1] == number:
                return self.remove(key)
        return None

    def take_expired(self, now: int) -> list[WaitingRequest]:
        """Removes and returns the requests that have expired since the last call."""
        self._expire(now)
        expired = self._expired
        self._expired = []
        return expired

    def _choose(self, now: int, service_ms: float) -> tuple[_Level, _Line] | None:
        """Returns the priority and the line with the next turn, or None."""
        first_in_time: tuple[_Level, _Line] | None = None
        first_late: tuple[_Level, _Line] | None = None
        starved: tuple[_Level, _Line] | None = None
        for priority in sorted(self._levels):
            level = self._levels[priority]
            in_time, late = level.find_best(now + service_ms)
            line = in_time or late
            if line is None:
                continue
            if level.is_starved(now) and (
                starved is None or level.passed_over > starved[0].passed_over
            ):
                starved = (level, line)
            if in_time is not None:
                first_in_time = first_in_time or (level, in_time)
            else:
                first_late = first_late or (level, line)
        return starved or first_in_time or first_late

    def _expire(self, now: int) -> None:
        """Moves requests from their lines to the expired ones; `take_expired` returns them."""
        while self._expiries and self._expiries[0][0] <= now:
            _, number, key = heappop(self._expiries)
            found = self._places.get(key)
            if found is not None and found[1][1] == number:
                self._expired.append(found[0].requests[number])
                self.remove(key)
        # A caller that does not ask for the expired requests must not fill the memory.
        del self._expired[: -self._max_requests]

    def _drop_stale_expiries(self) -> None:
        """Removes the expiry times of requests that have left, once they are the majority."""
        if len(self._expiries) > 2 * self._max_requests:
            self._expiries = [
                (at, number, key)
                for at, number, key in self._expiries
                if key in self._places and self._places[key][1][1] == number
            ]
            heapify(self._expiries)
