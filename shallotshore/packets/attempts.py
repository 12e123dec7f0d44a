"""Attempts of clients to open a flow, on routes that declare a target latency or a time limit.

A client sends up to three copies of its opening packet and then ends its attempt.
"""

from __future__ import annotations

__all__ = [
    "ATTEMPT_MS",
    "AttemptTable",
    "find_asked_at",
    "find_release_deadline",
]

from array import array

from shallotshore.packets.packet import Packet
from shallotshore.tables import MISSING, Table

COPY_SENT_AFTER_MS = (0, 200, 600)  # after the client's first opening packet
ATTEMPT_MS = 1_400  # after its first opening packet a client ends the attempt
# An opening packet is no longer held when the client's next copy is about to arrive, which a
# balancer may offer to another upstream, or when the attempt is about to end.
HANDOVER_MS = 50
EXPIRY_MS = 2 * ATTEMPT_MS  # late messages of agents still find the attempt
MAX_ATTEMPT_ROWS = 10_000  # twice as many as a balancer can route before they expire


def _copy_number(packet: Packet) -> int:
    return min(packet.acknowledged, len(COPY_SENT_AFTER_MS) - 1)


def find_asked_at(packet: Packet, received_at: int) -> int:
    """Returns when the client of an opening packet sent the first copy, in ms.

    Args:
        packet: The opening packet.
        received_at: When it arrived, in ms.
    """
    return received_at - COPY_SENT_AFTER_MS[_copy_number(packet)]


def find_release_deadline(packet: Packet, asked_at: int) -> int:
    """Returns until when an agent may hold an opening packet, in ms.

    Args:
        packet: The opening packet.
        asked_at: When the client sent the first copy, in ms.
    """
    ends_after_ms = (*COPY_SENT_AFTER_MS[1:], ATTEMPT_MS)[_copy_number(packet)]
    return asked_at + ends_after_ms - HANDOVER_MS


class AttemptTable(Table):
    """Attempts by the key of the flow.

    Columns:
        asked_at: When the client sent the first copy, in ms.
        copies_seen: Bit n is set when this balancer has received copy n.
    """

    __slots__ = ("asked_at", "copies_seen")

    COLUMNS = {"asked_at": "q", "copies_seen": "B"}

    asked_at: array[int]
    copies_seen: array[int]

    def __init__(self) -> None:
        super().__init__(MAX_ATTEMPT_ROWS)

    def record_copy(self, packet: Packet, now: int) -> int:
        """Records that a copy of an opening packet has arrived.

        Args:
            packet: The copy.
            now: Time in ms.

        Returns:
            When the client sent the first copy, in ms.
        """
        row = self.row(packet.key)
        if row != MISSING and now - self.asked_at[row] >= ATTEMPT_MS:
            self.remove(packet.key)  # the client has begun anew from the same port
            row = MISSING
        if row == MISSING:
            row = self.add(packet.key)
            if row == MISSING:
                return find_asked_at(packet, now)
            self.asked_at[row] = find_asked_at(packet, now)
        self.copies_seen[row] |= 1 << _copy_number(packet)
        return self.asked_at[row]

    def find_asked_at(self, packet: Packet, now: int) -> int:
        """Returns when the client sent the first copy of an opening packet, in ms."""
        row = self.row(packet.key)
        return self.asked_at[row] if row != MISSING else find_asked_at(packet, now)

    def has_ended(self, key: int, now: int) -> bool:
        """Whether the client has ended its attempt, or the attempt is not in the table."""
        row = self.row(key)
        return row == MISSING or now - self.asked_at[row] >= ATTEMPT_MS

    def expire(self, now: int) -> None:
        """Removes attempts that ended some time ago, the first recorded ones first."""
        while self._rows:
            key = next(iter(self._rows))
            if now - self.asked_at[self._rows[key]] < EXPIRY_MS:
                return
            self.remove(key)
