"""Counts the messages between processes by direction and kind."""

from __future__ import annotations

__all__ = ["count_received", "count_sent"]

from functools import cache
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from shallotshore.systems import Counters


@cache
def _counter_names(direction: str, kind: str) -> tuple[str, str]:
    """Returns the names of the counters of messages and of bytes."""
    return f"messages.{direction}.{kind.lower()}", f"bytes.{direction}.{kind.lower()}"


def count_received(counters: Counters, message: object, size: int) -> None:
    """Counts a message from another process, whose encoded size is given in bytes."""
    _count(counters, "received", message, size)


def count_sent(counters: Counters, message: object, size: int) -> None:
    """Counts a message to another process, whose encoded size is given in bytes."""
    _count(counters, "sent", message, size)


def _count(counters: Counters, direction: str, message: object, size: int) -> None:
    messages, size_sum = _counter_names(direction, type(message).__name__)
    counters.add(messages)
    counters.add(size_sum, size)
