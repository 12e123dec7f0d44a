"""A stand-in of a client that opens flows and sends requests on them."""

__all__ = ["PacketClient"]

from collections.abc import Callable

from adapter.packets import decode_packet

from shallotshore.messages import Address
from shallotshore.packets.packet import OPENS, RESETS
from standins.packet_wire import ACK, RST, SYN, is_intact, write_packet

OPENING_COPY_DELAYS_MS = (0, 200, 600)
OPENING_TIMEOUT_MS = 1_400
INITIAL_RESEND_DELAY_MS = 200


class PacketClient:
    """One flow of a client.

    Attributes:
        opened_at: When the flow opened, in ms; None before.
        reset_at: When a reset came; None otherwise.
        answers: Data of answers, in order.
        damaged_packets: Packets that were not as their sender wrote them, resets of the
            system aside.
    """

    def __init__(
        self, address: Address, vip: Address, send: Callable[[bytes], None], call_later: Callable
    ) -> None:
        self.address = address
        self.vip = vip
        self._send = send
        self._call_later = call_later
        self.opened_at: int | None = None
        self.reset_at: int | None = None
        self.answers: list[bytes] = []
        self.damaged_packets = 0
        self._next_sequence = 5_000
        self._expected_sequence = 0
        self._pending_request: bytes | None = None
        self._queued_requests: list[bytes] = []

    @property
    def has_unanswered_request(self) -> bool:
        """Whether a request is not answered yet."""
        return self._pending_request is not None or bool(self._queued_requests)

    def send_opening_packets(self) -> None:
        """Sends the opening packet and its copies."""
        for copy, delay in enumerate(OPENING_COPY_DELAYS_MS):
            self._call_later(delay, lambda copy=copy: self._send_opening(copy))

    def request(self, data: bytes) -> None:
        """Sends a request once the flow is open and the one before is answered."""
        self._queued_requests.append(data)
        self._send_next_request()

    def receive_packet(self, frame: bytes, now: int) -> None:
        """Takes a packet for this client."""
        packet = decode_packet(frame, is_from_upstream=True).unwrap()
        if packet.flags & RESETS:
            self.reset_at = self.reset_at or now
            return
        if not is_intact(frame):
            self.damaged_packets += 1
            return
        if packet.flags & OPENS and self.opened_at is None:
            self.opened_at = now
            self._expected_sequence = packet.sequence + 1
            self._next_sequence += 1
            self._send_packet(ACK)
            self._send_next_request()
        elif packet.size and packet.sequence == self._expected_sequence:
            self._expected_sequence += packet.size
            self.answers.append(frame[31:])
            self._pending_request = None
            self._send_packet(ACK)
            self._send_next_request()
        elif packet.size:
            self._send_packet(ACK)

    def _send_opening(self, copy: int) -> None:
        if self.opened_at is None and self.reset_at is None:
            self._send(write_packet(self.address, self.vip, SYN, self._next_sequence, copy))

    def _send_next_request(self) -> None:
        if self.opened_at is None or self._pending_request is not None or not self._queued_requests:
            return
        data = self._queued_requests.pop(0)
        self._pending_request = data
        sequence = self._next_sequence
        self._next_sequence += len(data)
        self._send_until_answered(data, sequence, INITIAL_RESEND_DELAY_MS)

    def _send_until_answered(self, data: bytes, sequence: int, pause: int) -> None:
        if self._pending_request is not data or self.reset_at is not None:
            return
        self._send_packet(ACK, data, sequence)
        self._call_later(
            pause, lambda: self._send_until_answered(data, sequence, min(2 * pause, 1_600))
        )

    def _send_packet(self, flags: int, data: bytes = b"", sequence: int | None = None) -> None:
        at = self._next_sequence if sequence is None else sequence
        self._send(write_packet(self.address, self.vip, flags, at, self._expected_sequence, data))

    def reset_flow(self) -> None:
        """Resets the flow from the client's side."""
        self._send_packet(RST)
