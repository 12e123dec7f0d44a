"""A stand-in of an upstream that speaks packets: accepts, serves, returns and ends flows."""

__all__ = ["PacketUpstream"]

import random
from collections.abc import Callable, Iterator

from adapter.packets import decode_packet

from shallotshore.packets.packet import ENDS, OPENS, RESETS, Packet
from standins.packet_wire import ACK, FIN, RETURNED, SYN, is_intact, write_packet

_FLAGS_AT = 2
SEQUENCE_BITS = 31  # numbers do not wrap around within a test
RESEND_MS, RESEND_LIMIT_MS, RESENDS = 200, 1_600, 8


class PacketUpstream:
    """One upstream.

    Attributes:
        slots: Requests worked on at the same time.
        work_ms: Time that a request takes.
        openings: Times of the opening packets taken, in ms.
        ran: Data of requests that were run.
        strangers: Packets that came for flows not held here.
        damaged: Packets that were not as their sender wrote them.
        is_silent: Whether it answers nothing.
        sequences: First numbers of its flows; random, so that two upstreams do not choose alike.
    """

    def __init__(
        self, send: Callable[[bytes], None], later: Callable, slots: int = 3, seed: str = ""
    ) -> None:
        self._send = send
        self._later = later
        self.slots = slots
        self.work_ms = 20
        self.queue = 8
        self.openings: list[int] = []
        self.ran: list[bytes] = []
        self.strangers = 0
        self.damaged = 0
        self.is_silent = False
        self.accepts = True
        rng = random.Random(seed)
        self.sequences: Iterator[int] = iter(lambda: rng.getrandbits(SEQUENCE_BITS), -1)
        self.restart()

    def restart(self) -> None:
        """Drops all flows and requests."""
        self._half_open: dict[int, int] = {}
        self._flows: dict[int, list[int]] = {}
        self._running = 0
        self._waiting: list[Packet] = []
        self._life = getattr(self, "_life", 0) + 1

    @property
    def flows(self) -> int:
        """Open flows."""
        return len(self._flows)

    def take(self, frame: bytes, now: int) -> None:
        """Takes a packet from the agent."""
        packet = decode_packet(frame).unwrap()
        if self.is_silent:
            return
        if not is_intact(frame):
            self.damaged += 1
            return
        if packet.flags & OPENS:
            self._accept(packet, now)
        elif packet.key in self._flows or self._opens(packet):
            self._continue(packet)
        else:
            self.strangers += 1
            self._return(packet)

    def _accept(self, packet: Packet, now: int) -> None:
        if not self.accepts:
            self._return(packet)
            return
        if packet.key not in self._half_open:
            self.openings.append(now)
            self._half_open[packet.key] = next(self.sequences)
        sequence = self._half_open[packet.key]
        self._answer(packet, SYN | ACK, sequence, packet.sequence + 1)

    def _opens(self, packet: Packet) -> bool:
        sequence = self._half_open.get(packet.key)
        if sequence is None or packet.acknowledged != sequence + 1:
            return False
        del self._half_open[packet.key]
        # Own next number, the client's next number, what the client has acknowledged.
        self._flows[packet.key] = [sequence + 1, packet.sequence, 0]
        return True

    def _continue(self, packet: Packet) -> None:
        flow = self._flows[packet.key]
        flow[2] = max(flow[2], packet.acknowledged)
        if packet.flags & ENDS:
            del self._flows[packet.key]
            self._answer(packet, FIN | ACK, flow[0], packet.sequence + 1)
        elif packet.flags & RESETS:
            del self._flows[packet.key]
        elif packet.size and packet.sequence == flow[1]:
            flow[1] += packet.size
            if self._running < self.slots:
                self._run(packet)
            elif len(self._waiting) < self.queue:
                self._waiting.append(packet)
            else:
                self._respond(packet, b"503 not run")
        elif packet.size:
            self._answer(packet, ACK, flow[0], flow[1])

    def _run(self, packet: Packet) -> None:
        self._running += 1
        life = self._life
        self.ran.append(packet.frame[31:])
        self._later(self.work_ms, lambda: self._finish(packet, life))

    def _finish(self, packet: Packet, life: int) -> None:
        if life != self._life:
            return
        self._running -= 1
        self._respond(packet, b"200 " + packet.frame[31:])
        if self._waiting:
            self._run(self._waiting.pop(0))

    def _respond(self, packet: Packet, data: bytes) -> None:
        flow = self._flows.get(packet.key)
        if flow is not None:
            sequence = flow[0]
            flow[0] += len(data)
            self._send_until_acknowledged(packet, sequence, data, RESEND_MS, RESENDS)

    def _send_until_acknowledged(
        self, packet: Packet, sequence: int, data: bytes, pause: int, left: int
    ) -> None:
        flow = self._flows.get(packet.key)
        if flow is None or flow[2] >= sequence + len(data) or left == 0:
            return
        self._answer(packet, ACK, sequence, flow[1], data)
        again = min(2 * pause, RESEND_LIMIT_MS)
        self._later(
            pause,
            lambda: self._send_until_acknowledged(packet, sequence, data, again, left - 1),
        )

    def _answer(
        self, packet: Packet, flags: int, sequence: int, acknowledged: int, data: bytes = b""
    ) -> None:
        frame = write_packet(packet.vip, packet.client, flags, sequence, acknowledged, data)
        self._send(frame)

    def _return(self, packet: Packet) -> None:
        frame = packet.frame
        wire = frame[_FLAGS_AT] | RETURNED
        self._send(frame[:_FLAGS_AT] + bytes((wire,)) + frame[_FLAGS_AT + 1 :])
