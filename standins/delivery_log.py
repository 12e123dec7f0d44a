"""Log of delivered packets, by which the promises about packets are checked."""

__all__ = ["DeliveryLog"]

from shallotshore.agent_messages import Attempt, Forward
from shallotshore.messages import Address, Message
from standins.runtime import Process, SimulatedRuntime

AGENT_NAME_SUFFIX = ".agent"


class DeliveryLog:
    """Records deliveries of callers' flow packets and requests to agents; times in ms.

    Attributes:
        work: (time, receiver's place, sender) of each packet of a caller that an agent received.
        first_hops: Time of each flow packet that an agent received from a balancer.
        extra_hops: Time of each flow packet that an agent received from another agent.
    """

    __slots__ = ("extra_hops", "first_hops", "work", "_pump")

    def __init__(self, runtime: SimulatedRuntime) -> None:
        self._pump = runtime
        self.work: list[tuple[int, str, Process]] = []
        self.first_hops: list[int] = []
        self.extra_hops: list[int] = []
        runtime.observers.setdefault(Forward, []).append(self._record_forward)
        runtime.observers.setdefault(Attempt, []).append(self._record_attempt)

    def _record_forward(
        self, now: int, source: Address, process: Process, message: Message
    ) -> None:
        self._record_attempt(now, source, process, message)
        sender = self._pump.process_at(source)
        passed = sender is not None and sender.name.endswith(AGENT_NAME_SUFFIX)
        (self.extra_hops if passed else self.first_hops).append(now)

    def _record_attempt(
        self, now: int, source: Address, process: Process, message: Message
    ) -> None:
        sender = self._pump.process_at(source)
        if sender is not None:
            self.work.append((now, process.place, sender))
