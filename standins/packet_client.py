"""A stand-in of a client that opens a flow and sends requests on it."""

__all__ = ["PacketClient"]

from collections.abc import Callable

from adapter.packets import decode_packet

from shallotshore.messages import Address
from shallotshore.packets.packet import OPENS, RESETS
from standins.packet_wire import ACK, FIN, RST, SYN, is_intact, write_packet

OPENING_SEND_DELAYS_MS = (0, 200, 600)
OPENING_TIMEOUT_MS = 1_400
INITIAL_RESEND_DELAY_MS = 200
MAX_PACKETS_IN_FLIGHT = 16
MAX_CHUNK_BYTES = 1_199  # of a body; one byte of a packet's data tells whether more follow


class PacketClient:
    """A client with one flow.

    Attributes:
        address: Address of the client.
        vip: Virtual address that the flow is opened to.
        opened_at: Time in ms at which the flow opened; None before.
        reset_at: Time in ms at which the first reset was received; None without a reset.
        was_reset_opening: Whether a reset was received before the flow opened.
        answers: Payloads of the answers received, in order.
        on_packet: Called after each packet that the client has received.
        damaged_packets: Number of packets that differ from what their sender wrote. Resets are not
            checked: balancers and agents, which lack the checksum key, send them with checksum 0.
    """

    def __init__(
        self,
        address: Address,
        vip: Address,
        send: Callable[[bytes], None],
        call_later: Callable,
        first_sequence: int = 5_000,
    ) -> None:
        self.address = address
        self.vip = vip
        self._send = send
        self._call_later = call_later
        self.opened_at: int | None = None
        self.reset_at: int | None = None
        self.was_reset_opening = False
        self.answers: list[bytes] = []
        self.on_packet: Callable[[], None] = lambda: None
        self.damaged_packets = 0
        self._first_sequence = self._next_sequence = first_sequence
        self._expected_sequence = 0
        self._pending_request: bytes | None = None
        self._queued_requests: list[bytes] = []
        self._upload: list[tuple[int, bytes]] = []  # packets without acknowledgement

    @property
    def has_unanswered_request(self) -> bool:
        """Whether a request is queued, being sent, or its answer is awaited."""
        return self._pending_request is not None or bool(self._queued_requests or self._upload)

    def send_opening_packets(self) -> None:
        """Sends the opening packet, and copies of it until the flow opens or is reset."""
        for copy, delay in enumerate(OPENING_SEND_DELAYS_MS):
            self._call_later(delay, lambda copy=copy: self._send_opening(copy))

    def repeat_opening(self) -> None:
        """Sends a copy of the opening packet, as if the network had delayed it."""
        self._send(write_packet(self.address, self.vip, SYN, self._first_sequence, 2))

    def request(self, data: bytes) -> None:
        """Queues a request, which is sent once the flow is open and earlier ones are answered."""
        self._queued_requests.append(data)
        self._send_next_request()

    def upload(self, body: bytes) -> None:
        """Sends a request whose body takes many packets; the flow must be open and idle."""
        chunks = [body[i : i + MAX_CHUNK_BYTES] for i in range(0, len(body), MAX_CHUNK_BYTES)]
        for number, chunk in enumerate(chunks):
            data = (b"=" if number == len(chunks) - 1 else b"+") + chunk
            self._upload.append((self._next_sequence, data))
            self._next_sequence += len(data)
        self._send_upload(self._upload[0][0], INITIAL_RESEND_DELAY_MS)

    def receive_packet(self, frame: bytes, now: int) -> None:
        """Handles a packet that is addressed to this client.

        Args:
            frame: Encoded packet.
            now: Time in ms.
        """
        self._handle_packet(frame, now)
        self.on_packet()

    def _handle_packet(self, frame: bytes, now: int) -> None:
        packet = decode_packet(frame, is_from_upstream=True).unwrap()
        if packet.flags & RESETS:
            self.was_reset_opening |= self.opened_at is None and self.reset_at is None
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
            return
        self._acknowledge_upload(packet.acknowledged)
        if packet.size and packet.sequence == self._expected_sequence:
            self._expected_sequence += packet.size
            self.answers.append(frame[31:])
            self._pending_request = None
            self._send_packet(ACK)
            self._send_next_request()
        elif packet.size:
            self._send_packet(ACK)

    def _acknowledge_upload(self, acknowledged: int) -> None:
        """Removes acknowledged packets of the upload, and sends those that may follow."""
        before = self._upload
        self._upload = [(start, data) for start, data in before if start >= acknowledged]
        newly_in_flight = len(before) - len(self._upload)
        last = MAX_PACKETS_IN_FLIGHT
        for start, data in self._upload[max(0, last - newly_in_flight) : last]:
            self._send_packet(ACK, data, start)

    def _send_upload(self, first: int, delay_ms: int) -> None:
        """Sends all packets in flight, and repeats them while the first one is not acknowledged."""
        if not self._upload or self.reset_at is not None:
            return
        is_stalled = self._upload[0][0] == first
        if is_stalled:
            for start, data in self._upload[:MAX_PACKETS_IN_FLIGHT]:
                self._send_packet(ACK, data, start)
        next_delay_ms = min(2 * delay_ms, 1_600) if is_stalled else INITIAL_RESEND_DELAY_MS
        next_first = self._upload[0][0]
        self._call_later(delay_ms, lambda: self._send_upload(next_first, next_delay_ms))

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

    def _send_until_answered(self, data: bytes, sequence: int, delay_ms: int) -> None:
        if self._pending_request is not data or self.reset_at is not None:
            return
        self._send_packet(ACK, data, sequence)
        self._call_later(
            delay_ms, lambda: self._send_until_answered(data, sequence, min(2 * delay_ms, 1_600))
        )

    def _send_packet(self, flags: int, data: bytes = b"", sequence: int | None = None) -> None:
        number = self._next_sequence if sequence is None else sequence
        self._send(
            write_packet(self.address, self.vip, flags, number, self._expected_sequence, data)
        )

    def end_flow(self) -> None:
        """Tells the upstream that no more data follow."""
        self._send_packet(ACK | FIN)
        self._next_sequence += 1

    def reset_flow(self) -> None:
        """Sends a reset of the flow to the upstream."""
        self._send_packet(RST)
