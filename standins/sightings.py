"""What the network saw: deliveries that the promises about packets are judged by."""

__all__ = ["Sightings"]

from shallotshore.agent_messages import Attempt, Forward
from shallotshore.messages import Address, Message
from standins.pump import Process, Pump

AGENT_SUFFIX = ".agent"


class Sightings:
    """Counts deliveries of callers' work to agents.

    Attributes:
        work: (time, place, sender) of each packet of a caller that an agent received.
        first_hops: (time) of each flow packet that came to an agent from a balancer.
        extra_hops: (time) of each flow packet that one agent passed to another.
    """

    __slots__ = ("extra_hops", "first_hops", "work", "_pump")

    def __init__(self, pump: Pump) -> None:
        self._pump = pump
        self.work: list[tuple[int, str, Process]] = []
        self.first_hops: list[int] = []
        self.extra_hops: list[int] = []
        pump.taps.setdefault(Forward, []).append(self._forward)
        pump.taps.setdefault(Attempt, []).append(self._attempt)

    def _forward(self, now: int, source: Address, process: Process, message: Message) -> None:
        self._attempt(now, source, process, message)
        sender = self._pump.at_address(source)
        passed = sender is not None and sender.name.endswith(AGENT_SUFFIX)
        (self.extra_hops if passed else self.first_hops).append(now)

    def _attempt(self, now: int, source: Address, process: Process, message: Message) -> None:
        sender = self._pump.at_address(source)
        if sender is not None:
            self.work.append((now, process.place, sender))
