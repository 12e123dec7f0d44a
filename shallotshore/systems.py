"""Structure of every process: a core with an inbox, tables, ordered systems and an outbox."""

from __future__ import annotations

__all__ = ["Core", "Counters", "Inbox", "Outbox", "System"]

from typing import TYPE_CHECKING, Any, Protocol, TypeVar

if TYPE_CHECKING:
    # Imported for annotations only: a process that carries packets does not load these messages.
    from shallotshore.messages import Address

MessageT = TypeVar("MessageT")


class Inbox:
    """Messages that arrived since the last tick, grouped by type."""

    __slots__ = ("_by_type",)

    def __init__(self) -> None:
        self._by_type: dict[type, list[tuple[Address, Any]]] = {}

    def __bool__(self) -> bool:
        return any(self._by_type.values())

    def put(self, source: Address, message: object) -> None:
        """Adds a message.

        Args:
            source: Address of the process that sent it.
            message: The decoded message.
        """
        self._by_type.setdefault(type(message), []).append((source, message))

    def take(self, message_type: type[MessageT]) -> list[tuple[Address, MessageT]]:
        """Removes and returns all messages of a type in order of arrival."""
        return self._by_type.pop(message_type, [])

    def clear(self) -> int:
        """Drops all messages.

        Returns:
            The number of messages dropped.
        """
        dropped = sum(len(entries) for entries in self._by_type.values())
        self._by_type.clear()
        return dropped


class Outbox:
    """Messages to send, drained after each tick by the code that drives the core."""

    __slots__ = ("_entries",)

    def __init__(self) -> None:
        self._entries: list[tuple[Address, Any]] = []

    def send(self, destination: Address, message: object) -> None:
        """Queues a message for a process."""
        self._entries.append((destination, message))

    def drain(self) -> list[tuple[Address, Any]]:
        """Removes and returns all queued messages in order."""
        entries = self._entries
        self._entries = []
        return entries


class Counters:
    """Named event counts, read by the metrics and by tests."""

    __slots__ = ("_counts",)

    def __init__(self) -> None:
        self._counts: dict[str, int] = {}

    def __getitem__(self, name: str) -> int:
        return self._counts.get(name, 0)

    def add(self, name: str, count: int = 1) -> None:
        """Adds to a counter."""
        self._counts[name] = self._counts.get(name, 0) + count

    def snapshot(self) -> dict[str, int]:
        """Returns a copy of all counts."""
        return dict(self._counts)


class System(Protocol):
    """One step of a tick: reads messages and tables, writes tables and the outbox."""

    def run(self, now: int) -> None:
        """Runs the step.

        Args:
            now: Monotonic time in milliseconds.
        """


class Core:
    """Base of the balancer's and the agent's cores.

    A core uses no sockets, wall time or encodings. The code that drives it calls `receive` for each
    decoded message and `tick` with the time, and sends what `outbox.drain()` returns.
    """

    __slots__ = ("_systems", "counters", "inbox", "outbox")

    def __init__(self) -> None:
        self.inbox = Inbox()
        self.outbox = Outbox()
        self.counters = Counters()
        self._systems: list[System] = []

    def receive(self, source: Address, message: object) -> None:
        """Queues a message for the next tick."""
        self.inbox.put(source, message)

    def tick(self, now: int) -> None:
        """Runs every system in order.

        Args:
            now: Monotonic time in milliseconds.
        """
        for system in self._systems:
            system.run(now)
