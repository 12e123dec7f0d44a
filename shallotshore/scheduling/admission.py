"""Decides whether a request can be served in time, late, or not within its time limit."""

from __future__ import annotations

__all__ = ["Verdict", "decide", "expected_wait_ms", "retry_after_ms"]

import random
from enum import IntEnum

from shallotshore.scheduling.terms import RequestTerms

MIN_RETRY_AFTER_MS = 20
MAX_RETRY_AFTER_MS = 30_000
# Share of a priority's part of the spread that is random, so that clients of the same age do not
# return at the same moment.
RANDOM_SHARE_OF_SPREAD = 0.25


class Verdict(IntEnum):
    """What is done with a request."""

    SERVE_IN_TIME = 1
    SERVE_LATE = 2  # after the requests that can be in time
    REFUSE = 3  # at once; the request has not run


def expected_wait_ms(ahead: int, running: int, concurrency: float, service_ms: float) -> float:
    """Returns how long a request is expected to wait for an upstream, in ms.

    Args:
        ahead: Requests that wait and go first.
        running: Requests that the upstream works on.
        concurrency: Requests that the upstream handles at the same time.
        service_ms: Time that it takes for one of them; 0.0 when not known.

    Returns:
        The wait; 0.0 when the concurrency or the time is not known.
    """
    if concurrency <= 0:
        return 0.0
    must_end = ahead + running - concurrency + 1
    return max(0.0, must_end) * service_ms / concurrency


def decide(
    terms: RequestTerms,
    asked_at: int,
    wait_ms: float,
    service_ms: float,
    is_free_elsewhere: bool,
    now: int,
) -> Verdict:
    """Decides on a request.

    Args:
        terms: Class of the request; undeclared terms are never refused.
        asked_at: When the client first asked, in ms.
        wait_ms: Expected wait for an upstream.
        service_ms: Expected time from then to the answer.
        is_free_elsewhere: Whether an upstream that may take the request is free, in any data
            centre. Nothing is refused meanwhile.
        now: Time in ms.

    Returns:
        The verdict.
    """
    finish_at = now + wait_ms + service_ms
    if terms.is_in_time(asked_at, finish_at) and terms.is_within_limit(asked_at, finish_at):
        return Verdict.SERVE_IN_TIME
    if is_free_elsewhere or terms.is_within_limit(asked_at, finish_at):
        return Verdict.SERVE_LATE
    return Verdict.REFUSE


def retry_after_ms(
    backlog: int, drained_per_s: float, terms: RequestTerms, age_ms: int, rng: random.Random
) -> int:
    """Returns after what time the client of a refused request should try again, in ms.

    Clients return after the backlog has drained, during as much time again. Each priority has its
    own part of that time, the highest one first and the longest; in it older requests go first.

    Args:
        backlog: Requests that wait.
        drained_per_s: Requests that are answered in a second; 0.0 when not known.
        terms: Class of the request.
        age_ms: Time since the client first asked.
        rng: Source of random numbers.
    """
    drain_ms = backlog * 1000 / drained_per_s if drained_per_s > 0 else float(terms.limit_ms)
    age_share = min(1.0, age_ms / terms.limit_ms) if terms.limit_ms else 0.0
    within_part = (1 - RANDOM_SHARE_OF_SPREAD) * (1 - age_share)
    within_part += RANDOM_SHARE_OF_SPREAD * rng.random()
    part_start = terms.priority / (terms.priority + 1)
    part_end = (terms.priority + 1) / (terms.priority + 2)
    spread = part_start + (part_end - part_start) * within_part
    return round(min(max(drain_ms * (1 + spread), MIN_RETRY_AFTER_MS), MAX_RETRY_AFTER_MS))
