"""Attempts of clients to open a flow, on routes that declare a target latency or a time limit.

A client sends up to three copies of its opening packet and then ends its attempt.
"""

from __future__ import annotations

__all__ = [
    "ATTEMPT_MS",
    "AttemptTable",
    "OfferState",
    "find_asked_at",
    "find_release_deadline",
]

from array import array
from enum import IntEnum

from shallotshore.packets.packet import Packet
from shallotshore.tables import MISSING, Table
from shallotshore.unknown_flows import NEVER

COPY_SENT_AFTER_MS = (0, 200, 600)  # after the client's first opening packet
ATTEMPT_MS = 1_400  # after its first opening packet a client ends the attempt
# An opening packet is no longer held when the client's next copy is about to arrive, which a
# balancer may offer to another upstream, or when the attempt is about to end.
HANDOVER_MS = 50
EXPIRY_MS = 2 * ATTEMPT_MS  # late messages of agents still find the attempt
COPY_MARGIN_MS = 30  # a copy may arrive later or earlier than the first one by this time
# The sockets of a process that runs are known to be polled within two timer intervals of 20 ms. A
# packet that was read later may have waited meanwhile.
MAX_POLL_MS = 45
MAX_OFFERS = 16  # agents of one attempt
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


class OfferState(IntEnum):
    """What a balancer knows of an agent that got a copy of the opening packet."""

    OFFERED = 1
    REFUSED = 2  # the agent has said that its upstream got no copy
    UNCERTAIN = 3  # the agent got several copies, or its messages arrived in another order


class AttemptTable(Table):
    """Attempts by the key of the flow.

    Columns:
        asked_at: When the client sent the first copy, in ms, if no copy had to wait to be read.
        asked_after: Time after which the client has sent the first copy, in ms; NEVER when not
            known.
        copies_seen: Bit n is set when this balancer has received copy n.
        is_refused: 1 when the client was told that the request has not run.
        offers: An OfferState for each agent that got a copy, by host, or None.
    """

    __slots__ = ("asked_after", "asked_at", "copies_seen", "is_refused", "offers")

    COLUMNS = {"asked_after": "q", "asked_at": "q", "copies_seen": "B", "is_refused": "B"}
    OBJECT_COLUMNS = {"offers": None}

    asked_after: array[int]
    asked_at: array[int]
    copies_seen: array[int]
    is_refused: array[int]
    offers: list[dict[int, int] | None]

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
        if row != MISSING and self._is_new_attempt(row, packet, now):
            self.remove(packet.key)
            row = MISSING
        if row == MISSING:
            row = self.add(packet.key)
            if row == MISSING:
                return find_asked_at(packet, now)
            self.asked_at[row] = find_asked_at(packet, now)
            self.asked_after[row] = NEVER
        was_read_at_once = now - packet.arrived_after <= MAX_POLL_MS
        arrived_after = now if was_read_at_once else packet.arrived_after
        asked_after = find_asked_at(packet, arrived_after) - COPY_MARGIN_MS
        self.asked_after[row] = max(self.asked_after[row], asked_after)
        self.copies_seen[row] |= 1 << _copy_number(packet)
        return self.asked_at[row]

    def _is_new_attempt(self, row: int, packet: Packet, now: int) -> bool:
        """Whether a client has begun anew from the same port."""
        is_first_copy = _copy_number(packet) == 0
        return now - self.asked_at[row] >= ATTEMPT_MS or bool(
            is_first_copy and self.is_refused[row]
        )

    def find_asked_at(self, packet: Packet, now: int) -> int:
        """Returns when the client sent the first copy of an opening packet, in ms."""
        row = self.row(packet.key)
        return self.asked_at[row] if row != MISSING else find_asked_at(packet, now)

    def has_ended(self, key: int, now: int) -> bool:
        """Whether the client has ended its attempt, or the attempt is not in the table."""
        row = self.row(key)
        return row == MISSING or now - self.asked_at[row] >= ATTEMPT_MS

    def was_refused(self, key: int) -> bool:
        """Whether the client of this attempt was told that its request has not run."""
        row = self.row(key)
        return row != MISSING and bool(self.is_refused[row])

    def record_offer(self, key: int, host: int) -> None:
        """Records that the agent on a host has been sent a copy of an opening packet."""
        row = self.row(key)
        if row == MISSING:
            return
        offers = self.offers[row]
        if offers is None:
            offers = self.offers[row] = {}
        if host in offers or len(offers) >= MAX_OFFERS:
            # A refusal does not tell which copy it is about.
            offers[next(iter(offers))] = OfferState.UNCERTAIN
        else:
            offers[host] = OfferState.OFFERED

    def record_passed(self, key: int, source: int, host: int, is_unoffered: bool) -> None:
        """Records that an agent has passed an opening packet to another one.

        Args:
            key: Key of the flow.
            source: Host of the agent.
            host: Host of the other agent.
            is_unoffered: Whether the agent has said that its upstream got no copy.
        """
        row = self.row(key)
        if row == MISSING:
            return
        offers = self.offers[row] or {}
        if is_unoffered and offers.get(source) == OfferState.OFFERED:
            offers[source] = OfferState.REFUSED
        elif source in offers:
            offers[source] = OfferState.UNCERTAIN
        self.record_offer(key, host)

    def record_refused(self, row: int, host: int) -> None:
        """Records that an agent has dropped an opening packet of which its upstream got no copy."""
        offers = self.offers[row] or {}
        if offers.get(host) == OfferState.OFFERED:
            offers[host] = OfferState.REFUSED

    def has_all_copies(self, key: int, now: int) -> bool:
        """Whether this balancer has received each copy that a client can have sent at `now` (ms).

        Another balancer may have offered any other one, or may be about to. A copy that waited to
        be read tells less: the client may have sent the next one meanwhile.
        """
        row = self.row(key)
        if row == MISSING:
            return False
        asked_before_ms = now - self.asked_after[row]
        return all(
            self.copies_seen[row] >> number & 1
            for number, sent_after_ms in enumerate(COPY_SENT_AFTER_MS)
            if sent_after_ms <= asked_before_ms
        )

    def is_known_not_offered(self, row: int, now: int) -> bool:
        """Whether no upstream can have got a copy of an opening packet at `now` (ms)."""
        offers = self.offers[row] or {}
        has_all_refused = all(one == OfferState.REFUSED for one in offers.values())
        return bool(offers) and has_all_refused and self.has_all_copies(self.key[row], now)

    def expire(self, now: int) -> None:
        """Removes attempts that ended some time ago, the first recorded ones first."""
        while self._rows:
            key = next(iter(self._rows))
            if now - self.asked_at[self._rows[key]] < EXPIRY_MS:
                return
            self.remove(key)
