"""Log of delivered packets, by which the promises about packets are checked."""

__all__ = ["DeliveryLog"]

from shallotshore.agent_messages import Attempt, Forward
from shallotshore.messages import Address, Message
from standins.runtime import Process, SimulatedRuntime

AGENT_NAME_SUFFIX = ".agent"


class DeliveryLog:
    """Records deliveries of callers' flow packets and requests to agents; times in ms.

    Attributes:
        caller_packets: (time, receiver's place, sender) of each packet of a caller that an agent
            received.
        first_hops: Time of each flow packet that an agent received from a balancer.
        extra_hops: Time of each flow packet that an agent received from another agent.
    """

    __slots__ = ("_runtime", "caller_packets", "extra_hops", "first_hops")

    def __init__(self, runtime: SimulatedRuntime) -> None:
        self._runtime = runtime
        self.caller_packets: list[tuple[int, str, Process]] = []
        self.first_hops: list[int] = []
        self.extra_hops: list[int] = []
        runtime.observers.setdefault(Forward, []).append(self._record_forward)
        runtime.observers.setdefault(Attempt, []).append(self._record_caller_packet)

    def _record_forward(
        self, now: int, source: Address, process: Process, message: Message
    ) -> None:
        self._record_caller_packet(now, source, process, message)
        sender = self._runtime.process_at(source)
        from_agent = sender is not None and sender.name.endswith(AGENT_NAME_SUFFIX)
        (self.extra_hops if from_agent else self.first_hops).append(now)

    def _record_caller_packet(
        self, now: int, source: Address, process: Process, message: Message
    ) -> None:
        sender = self._runtime.process_at(source)
        if sender is not None:
            self.caller_packets.append((now, process.place, sender))
