"""What the callers of a route need: priority, target latency and time limit."""

from __future__ import annotations

__all__ = ["RequestTerms"]


class RequestTerms:
    """Class of a request, declared with its route.

    Attributes:
        priority: Rank of the request; 0 goes first.
        target_ms: Time from the client's first request in which the answer is in time; 0 when not
            declared.
        limit_ms: Time from the client's first request after which the client no longer waits; 0
            when not declared.
        is_declared: Whether the route declares a target latency or a time limit.
    """

    __slots__ = ("is_declared", "limit_ms", "priority", "target_ms")

    def __init__(self, priority: int = 0, target_ms: int = 0, limit_ms: int = 0) -> None:
        self.priority = priority
        self.target_ms = target_ms
        self.limit_ms = limit_ms
        self.is_declared = bool(target_ms or limit_ms)

    def is_in_time(self, asked_at: int, finish_at: float) -> bool:
        """Whether an answer at `finish_at` (ms) is in time; without a target every answer is."""
        return not self.target_ms or asked_at + self.target_ms >= finish_at

    def is_within_limit(self, asked_at: int, finish_at: float) -> bool:
        """Whether the client still waits at `finish_at` (ms); without a limit it always does."""
        return not self.limit_ms or asked_at + self.limit_ms >= finish_at
