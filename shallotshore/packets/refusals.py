"""Refuses flows at once that no upstream can serve within the time limit of their route.

A flow is only refused while no upstream can have accepted it: this balancer has received every copy
of the opening packet, and each agent that got one has said that it did not hand it to its upstream.
"""

from __future__ import annotations

__all__ = ["RefusalSystem"]

import math

from shallotshore.codes import Code
from shallotshore.packets.balancer_state import BalancerState, RouteView
from shallotshore.packets.flow_cache import CachedFlowStage
from shallotshore.packets.hosts import host_number
from shallotshore.packets.node_messages import Refused, UpstreamHealth
from shallotshore.packets.packet import Packet
from shallotshore.packets.routing import send_reset
from shallotshore.scheduling.admission import Verdict, decide
from shallotshore.tables import MISSING


class RefusalSystem:
    """Handles the refusals of agents, and resets the flows that are refused by all of them."""

    __slots__ = ("_state",)

    def __init__(self, state: BalancerState) -> None:
        self._state = state

    def run(self, now: int) -> None:
        """Runs the step at `now` (ms)."""
        for source, refused in self._state.inbox.take(Refused):
            self._state.counters.add("refusals.received")
            self._handle_refused(host_number(source[0]), refused, now)

    def _handle_refused(self, host: int, refused: Refused, now: int) -> None:
        state = self._state
        attempts, flows = state.attempts, state.flows
        row, flow_row = attempts.row(refused.key), flows.row(refused.key)
        if row == MISSING or flow_row == MISSING:
            return
        attempts.record_refused(row, host)
        packet = flows.pending_packet[flow_row]
        if flows.stage[flow_row] != CachedFlowStage.OPENING or packet is None:
            return
        route = state.routes.get(packet.vip)
        if route is None or not route.terms.is_declared:
            return
        if attempts.is_known_not_offered(row, now) and not self._can_serve(
            route, attempts.asked_at[row], host, refused.wait_ms, now
        ):
            self._refuse(packet, row, flow_row, now)

    def _can_serve(
        self, route: RouteView, asked_at: int, host: int, wait_ms: int, now: int
    ) -> bool:
        """Whether some upstream may serve a request within its limit; true when in doubt.

        Args:
            route: Route of the request.
            asked_at: When the client sent its first opening packet, in ms.
            host: Upstream whose agent has refused the request.
            wait_ms: Expected wait there.
            now: Time in ms.
        """
        load = self._find_load(host, now)
        if not load or load == math.inf:
            return True
        least = load
        for service in route.services:
            for other in self._state.upstreams.hosts_of_service(service):
                other_load = self._find_load(other, now)
                if other_load is None or other_load < 1:
                    return True
                least = min(least, other_load)
        # The wait at the least loaded upstream, if requests take as long there.
        least_wait_ms = wait_ms * least / load
        verdict = decide(route.terms, asked_at, least_wait_ms, 0.0, False, now)
        return verdict != Verdict.REFUSE

    def _find_load(self, host: int, now: int) -> float | None:
        """Returns the reported requests per slot of an upstream.

        Returns:
            The load; infinity when the upstream takes no new flows, None when it is not known.
        """
        upstreams = self._state.upstreams
        row = upstreams.row(host)
        if row == MISSING or not upstreams.accepts_new_flows(row, now):
            return math.inf
        if upstreams.data_centre[row] in self._state.data_centres_out:
            return math.inf
        if not upstreams.has_fresh_report(row, now):
            return None
        if upstreams.health[row] != UpstreamHealth.ANSWERS:
            return math.inf
        return upstreams.in_flight[row] / max(1, upstreams.slots[row])

    def _refuse(self, packet: Packet, row: int, flow_row: int, now: int) -> None:
        state = self._state
        state.attempts.is_refused[row] = True
        state.flows.pending_packet[flow_row] = None
        state.counters.add("flows.refused")
        send_reset(state, packet, Code.OVERLOADED, now)
