"""Stand-in of the platform's fabric, which may send any packet to any balancer."""

__all__ = ["CallerDatagram", "Fabric"]

import random
from dataclasses import dataclass

from shallotshore.caller_messages import FabricPacket
from shallotshore.messages import Address, Message
from shallotshore.systems import Core


@dataclass(slots=True)
class CallerDatagram(Message):
    """A caller's datagram and the virtual IP address that it was sent to."""

    vip: Address
    payload: Message


class Fabric(Core):
    """Distributes callers' datagrams to random balancers and forwards the answers to the callers.

    Attributes:
        balancers: Addresses of the balancers in use; changed from outside as balancers come and go.
    """

    __slots__ = ("_rng", "balancers")

    def __init__(self, balancers: list[Address], rng: random.Random) -> None:
        super().__init__()
        self.balancers = balancers
        self._rng = rng
        self._systems = [_CallerDatagramSystem(self), _AnswerSystem(self)]

    def receive_at(self, local: Address, source: Address, message: Message) -> None:
        """Queues a message that came to one of the fabric's addresses.

        Args:
            local: The VIP, or the fabric's own address for balancers' answers.
            source: Address of the sender.
            message: A caller's message or a balancer's `FabricPacket`.
        """
        if not isinstance(message, FabricPacket):
            message = CallerDatagram(local, message)
        self.receive(source, message)

    def next_due(self) -> int | None:
        """Returns None, since only arrivals trigger a tick."""
        return None

    def choose_balancer(self) -> Address | None:
        """Returns a random balancer, or None when none is in use."""
        return self._rng.choice(self.balancers) if self.balancers else None


class _CallerDatagramSystem:
    """Forwards each caller's datagram to a random balancer."""

    __slots__ = ("_fabric",)

    def __init__(self, fabric: Fabric) -> None:
        self._fabric = fabric

    def run(self, now: int) -> None:
        fabric = self._fabric
        for caller, datagram in fabric.inbox.take(CallerDatagram):
            balancer = fabric.choose_balancer()
            if balancer is None:
                fabric.counters.add("fabric.no_balancer")
                continue
            fabric.outbox.send(balancer, FabricPacket(caller, datagram.vip, datagram.payload))


class _AnswerSystem:
    """Forwards balancers' answers to the callers."""

    __slots__ = ("_fabric",)

    def __init__(self, fabric: Fabric) -> None:
        self._fabric = fabric

    def run(self, now: int) -> None:
        for _, packet in self._fabric.inbox.take(FabricPacket):
            self._fabric.outbox.send(packet.caller, packet.payload)
