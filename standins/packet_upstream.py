"""A stand-in of an upstream that accepts, serves and ends flows and returns unknown packets."""

__all__ = ["PacketUpstream"]

import random
from collections.abc import Callable, Iterator

from adapter.packets import decode_packet

from shallotshore.packets.packet import ENDS, OPENS, RESETS, Packet
from standins.packet_wire import ACK, FIN, RETURNED, SYN, is_intact, write_packet

_FLAGS_OFFSET = 2
SEQUENCE_BITS = 31  # of 32, so that sequence numbers do not wrap around within a test
INITIAL_RESEND_DELAY_MS, MAX_RESEND_DELAY_MS, MAX_RESENDS = 200, 1_600, 8


class PacketUpstream:
    """An upstream with its flows and requests.

    Attributes:
        slots: Number of requests run at the same time.
        request_duration_ms: Time that a request takes, in ms.
        max_queued_requests: Number of requests that wait for a slot before others are refused.
        opening_times_ms: Arrival times of the opening packets, without copies, in ms.
        executed_requests: Payloads of the requests that were run.
        unknown_flow_packets: Number of packets of flows that this upstream does not hold.
        damaged_packets: Number of packets that differ from what their sender wrote.
        is_silent: Whether all packets are dropped without an answer.
        accepts_flows: Whether opening packets are accepted; otherwise they are returned to the
            agent.
        initial_sequences: Initial sequence numbers of flows; random, so that two upstreams do not
            choose the same.
    """

    def __init__(
        self, send: Callable[[bytes], None], call_later: Callable, slots: int = 3, seed: str = ""
    ) -> None:
        self._send = send
        self._call_later = call_later
        self.slots = slots
        self.request_duration_ms = 20
        self.max_queued_requests = 8
        self.opening_times_ms: list[int] = []
        self.executed_requests: list[bytes] = []
        self.unknown_flow_packets = 0
        self.damaged_packets = 0
        self.is_silent = False
        self.accepts_flows = True
        rng = random.Random(seed)
        self.initial_sequences: Iterator[int] = iter(lambda: rng.getrandbits(SEQUENCE_BITS), -1)
        self.restart()

    def restart(self) -> None:
        """Drops all flows and requests, as a restart of an upstream does."""
        self._half_open_flows: dict[int, int] = {}
        self._bodies: dict[int, bytes] = {}
        self._flows: dict[int, list[int]] = {}
        self._running_requests = 0
        self._queued_requests: list[Packet] = []
        self._generation = getattr(self, "_generation", 0) + 1

    @property
    def flows(self) -> int:
        """Number of open flows."""
        return len(self._flows)

    def holds(self, key: int) -> bool:
        """Whether a flow is open here."""
        return key in self._flows

    def receive_packet(self, frame: bytes, now: int) -> None:
        """Handles a packet from the agent.

        Args:
            frame: Encoded packet.
            now: Time in ms.
        """
        packet = decode_packet(frame).unwrap()
        if self.is_silent:
            return
        if not is_intact(frame):
            self.damaged_packets += 1
            return
        if packet.flags & OPENS:
            self._handle_opening(packet, now)
        elif packet.key in self._flows or self._complete_opening(packet):
            self._handle_flow_packet(packet)
        else:
            self.unknown_flow_packets += 1
            self._return_packet(packet)

    def _handle_opening(self, packet: Packet, now: int) -> None:
        if not self.accepts_flows:
            self._return_packet(packet)
            return
        if packet.key not in self._half_open_flows:
            self.opening_times_ms.append(now)
            self._half_open_flows[packet.key] = next(self.initial_sequences)
            self._flows.pop(packet.key, None)  # the client has begun anew from the same port
        sequence = self._half_open_flows[packet.key]
        self._send_packet(packet, SYN | ACK, sequence, packet.sequence + 1)

    def _complete_opening(self, packet: Packet) -> bool:
        sequence = self._half_open_flows.get(packet.key)
        if sequence is None or packet.acknowledged != sequence + 1:
            return False
        del self._half_open_flows[packet.key]
        # Own next sequence number, the client's next one, the highest one the client acknowledged.
        self._flows[packet.key] = [sequence + 1, packet.sequence, 0]
        return True

    def _handle_flow_packet(self, packet: Packet) -> None:
        flow = self._flows[packet.key]
        flow[2] = max(flow[2], packet.acknowledged)
        if packet.flags & ENDS:
            del self._flows[packet.key]
            self._send_packet(packet, FIN | ACK, flow[0], packet.sequence + 1)
        elif packet.flags & RESETS:
            del self._flows[packet.key]
        elif packet.size and packet.sequence == flow[1]:
            flow[1] += packet.size
            if self._is_part_of_upload(packet):
                self._send_packet(packet, ACK, flow[0], flow[1])
            elif self._running_requests < self.slots:
                self._start_request(packet)
            elif len(self._queued_requests) < self.max_queued_requests:
                self._queued_requests.append(packet)
            else:
                self._send_answer(packet, b"503 not run")
        elif packet.size:
            self._send_packet(packet, ACK, flow[0], flow[1])

    def _is_part_of_upload(self, packet: Packet) -> bool:
        """Keeps the data of an upload; returns whether more of its packets follow."""
        data = packet.frame[31:]
        if data[:1] in (b"+", b"="):
            self._bodies[packet.key] = self._bodies.get(packet.key, b"") + data[1:]
        return data[:1] == b"+"

    def _start_request(self, packet: Packet) -> None:
        self._running_requests += 1
        generation = self._generation
        self.executed_requests.append(self._bodies.get(packet.key) or packet.frame[31:])
        self._call_later(self.request_duration_ms, lambda: self._finish_request(packet, generation))

    def _finish_request(self, packet: Packet, generation: int) -> None:
        if generation != self._generation:
            return
        self._running_requests -= 1
        body = self._bodies.pop(packet.key, None)
        answer = packet.frame[31:] if body is None else b"%d bytes" % len(body)
        self._send_answer(packet, b"200 " + answer)
        if self._queued_requests:
            self._start_request(self._queued_requests.pop(0))

    def _send_answer(self, packet: Packet, data: bytes) -> None:
        flow = self._flows.get(packet.key)
        if flow is not None:
            sequence = flow[0]
            flow[0] += len(data)
            self._send_until_acknowledged(
                packet, sequence, data, INITIAL_RESEND_DELAY_MS, MAX_RESENDS
            )

    def _send_until_acknowledged(
        self, packet: Packet, sequence: int, data: bytes, delay_ms: int, remaining_sends: int
    ) -> None:
        flow = self._flows.get(packet.key)
        if flow is None or flow[2] >= sequence + len(data) or remaining_sends == 0:
            return
        self._send_packet(packet, ACK, sequence, flow[1], data)
        next_delay_ms = min(2 * delay_ms, MAX_RESEND_DELAY_MS)
        self._call_later(
            delay_ms,
            lambda: self._send_until_acknowledged(
                packet, sequence, data, next_delay_ms, remaining_sends - 1
            ),
        )

    def _send_packet(
        self, packet: Packet, flags: int, sequence: int, acknowledged: int, data: bytes = b""
    ) -> None:
        frame = write_packet(packet.vip, packet.client, flags, sequence, acknowledged, data)
        self._send(frame)

    def _return_packet(self, packet: Packet) -> None:
        frame = packet.frame
        wire_flags = frame[_FLAGS_OFFSET] | RETURNED
        self._send(frame[:_FLAGS_OFFSET] + bytes((wire_flags,)) + frame[_FLAGS_OFFSET + 1 :])
