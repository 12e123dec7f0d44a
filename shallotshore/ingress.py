"""Takes in callers' packets from the fabric; the VIP alone gives their service and customer."""

__all__ = ["CallerPacket", "Ingress"]

from dataclasses import dataclass
from functools import singledispatchmethod

from shallotshore.balancer_state import BalancerState
from shallotshore.caller_messages import (
    CallerAnswer,
    CallerCancel,
    CallerClose,
    CallerData,
    CallerOpen,
    CallerRequest,
    CallerReset,
    FabricPacket,
)
from shallotshore.codes import Code, Outcome
from shallotshore.messages import Address, Message
from shallotshore.unknown_flows import Verdict, judge_opening


@dataclass(slots=True)
class CallerPacket:
    """A caller's message with the service and customer of its VIP."""

    caller: Address
    vip: Address
    service: int
    customer: int
    message: Message


class Ingress:
    """System that sorts callers' packets into flows and requests and refuses unknown VIPs."""

    __slots__ = ("_state", "flows", "requests")

    def __init__(self, state: BalancerState) -> None:
        self._state = state
        self.flows: list[CallerPacket] = []
        self.requests: list[CallerPacket] = []

    def run(self, now: int) -> None:
        """Sorts all packets from the fabric; drops them while the balancer is suspended."""
        state = self._state
        self.flows.clear()
        self.requests.clear()
        for source, packet in state.inbox.take(FabricPacket):
            state.fabric = source
            state.last_packet_at = now
            if state.is_suspended:
                # The caller gets no answer, so it resends, and another balancer may serve the
                # resend. A reset or an answer from here would end the flow or the request.
                state.counters.add("callers.not_ready")
                continue
            self._sort_packet(packet)

    def _sort_packet(self, packet: FabricPacket) -> None:
        route = self._state.catalog.route(packet.vip)
        message = packet.payload
        if route is None:
            self._state.counters.add("callers.unknown_address")
            self._refuse_packet(message, packet)
            return
        caller_packet = CallerPacket(
            packet.caller, packet.vip, route.service, route.customer, message
        )
        if isinstance(message, CallerData | CallerOpen | CallerClose):
            self.flows.append(caller_packet)
        elif isinstance(message, CallerRequest | CallerCancel):
            self.requests.append(caller_packet)
        else:
            self._state.counters.add("callers.unexpected")

    @singledispatchmethod
    def _refuse_packet(self, message: Message, packet: FabricPacket) -> None:
        """Answers an opening or a request to an unknown VIP.

        Packets of established flows get no answer: the flow may have been opened through a balancer
        that already knows the VIP, and a reset would end the flow.
        """

    @_refuse_packet.register
    def _refuse_open(self, message: CallerOpen, packet: FabricPacket) -> None:
        # The message does not tell whether it is a copy that another balancer may have got too.
        verdict = judge_opening(
            self._state.knowledge(), self._state.last_packet_at, is_only_copy=True
        )
        if verdict is Verdict.WAIT:
            return  # the caller sends the packet again
        reset = CallerReset(message.flow, Code.UNKNOWN_ADDRESS)
        self._state.answer(packet.caller, packet.vip, reset)

    @_refuse_packet.register
    def _refuse_request(self, message: CallerRequest, packet: FabricPacket) -> None:
        # The outcome is UNKNOWN, since another balancer may know the VIP and have run the request.
        answer = CallerAnswer(message.request, Outcome.UNKNOWN, Code.UNKNOWN_ADDRESS, 0, 1, 0, b"")
        self._state.answer(packet.caller, packet.vip, answer)
