"""A stand-in of a client that opens flows and sends requests on them."""

__all__ = ["PacketClient"]

from collections.abc import Callable

from adapter.packets import decode_packet

from shallotshore.messages import Address
from shallotshore.packets.packet import OPENS, RESETS
from standins.packet_wire import ACK, RST, SYN, is_intact, write_packet

COPIES_MS = (0, 200, 600)
GIVE_UP_MS = 1_400
RESEND_MS = 200


class PacketClient:
    """One flow of a client.

    Attributes:
        opened_at: When the flow opened, in ms; None before.
        reset_at: When a reset came; None otherwise.
        answers: Data of answers, in order.
        damaged: Packets that were not as their sender wrote them, resets of the system aside.
    """

    def __init__(
        self, address: Address, vip: Address, send: Callable[[bytes], None], later: Callable
    ) -> None:
        self.address = address
        self.vip = vip
        self._send = send
        self._later = later
        self.opened_at: int | None = None
        self.reset_at: int | None = None
        self.answers: list[bytes] = []
        self.damaged = 0
        self._sequence = 5_000
        self._expected = 0
        self._unanswered: bytes | None = None
        self._queue: list[bytes] = []

    @property
    def is_waiting(self) -> bool:
        """Whether a request is not answered yet."""
        return self._unanswered is not None or bool(self._queue)

    def open(self) -> None:
        """Sends the opening packet and its copies."""
        for copy, delay in enumerate(COPIES_MS):
            self._later(delay, lambda copy=copy: self._send_opening(copy))

    def request(self, data: bytes) -> None:
        """Sends a request once the flow is open and the one before is answered."""
        self._queue.append(data)
        self._send_next()

    def take(self, frame: bytes, now: int) -> None:
        """Takes a packet for this client."""
        packet = decode_packet(frame, is_from_upstream=True).unwrap()
        if packet.flags & RESETS:
            self.reset_at = self.reset_at or now
            return
        if not is_intact(frame):
            self.damaged += 1
            return
        if packet.flags & OPENS and self.opened_at is None:
            self.opened_at = now
            self._expected = packet.sequence + 1
            self._sequence += 1
            self._put(ACK)
            self._send_next()
        elif packet.size and packet.sequence == self._expected:
            self._expected += packet.size
            self.answers.append(frame[31:])
            self._unanswered = None
            self._put(ACK)
            self._send_next()
        elif packet.size:
            self._put(ACK)

    def _send_opening(self, copy: int) -> None:
        if self.opened_at is None and self.reset_at is None:
            self._send(write_packet(self.address, self.vip, SYN, self._sequence, copy))

    def _send_next(self) -> None:
        if self.opened_at is None or self._unanswered is not None or not self._queue:
            return
        data = self._queue.pop(0)
        self._unanswered = data
        sequence = self._sequence
        self._sequence += len(data)
        self._resend(data, sequence, RESEND_MS)

    def _resend(self, data: bytes, sequence: int, pause: int) -> None:
        if self._unanswered is not data or self.reset_at is not None:
            return
        self._put(ACK, data, sequence)
        self._later(pause, lambda: self._resend(data, sequence, min(2 * pause, 1_600)))

    def _put(self, flags: int, data: bytes = b"", sequence: int | None = None) -> None:
        at = self._sequence if sequence is None else sequence
        self._send(write_packet(self.address, self.vip, flags, at, self._expected, data))

    def abort(self) -> None:
        """Resets the flow from the client's side."""
        self._put(RST)
