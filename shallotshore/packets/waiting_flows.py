"""Decides about flows that wait: offers them to a second upstream, or gives them up."""

from __future__ import annotations

__all__ = ["WaitingFlowSystem"]

from shallotshore.codes import Code
from shallotshore.packets.balancer_state import BalancerState, RouteView
from shallotshore.packets.flow_cache import TRIED_LIMIT, FlowStage
from shallotshore.packets.routing import offer_flow, reset_client
from shallotshore.packets.search import is_denied_by_all, undecided_hosts, widen_search
from shallotshore.packets.selection import is_free, pick_service, rank_upstreams
from shallotshore.tables import MISSING

# A client goes on within two round trips, at most 30 ms between these data centres.
HEDGE_MS = 60
LOOK_MS = 20
OFFER_LIMIT_MS = 1_400  # a client gives its attempt up by then
# Agents deny a flow within 30 ms. With an up-to-date table of upstreams, a flow that all of them
# have denied lives nowhere.
SEARCH_MS = 40
# Otherwise another balancer may know an upstream that this one has not heard of.
DOUBTFUL_SEARCH_MS = 3_000
SEARCH_LIMIT_MS = 5_000  # a client's requests have ended by then


class WaitingFlowSystem:
    """Looks after flows that were offered or searched for and are not settled yet."""

    __slots__ = ("_looked_at", "_state")

    def __init__(self, state: BalancerState) -> None:
        self._state = state
        self._looked_at = 0

    def run(self, now: int) -> None:
        """Runs the step at `now` (ms)."""
        if now - self._looked_at < LOOK_MS:
            return
        self._looked_at = now
        flows = self._state.flows
        flows.sweep(now)
        searching = []
        for row in flows.take_watched():
            if flows.stage[row] == FlowStage.OPENING:
                self._look_at_offer(row, now)
            elif flows.stage[row] == FlowStage.SEARCHING:
                searching.append(row)
        if searching:
            # After a power loss a balancer searches for hundreds of flows at once; what is the
            # same for all of them is worked out once.
            undecided = undecided_hosts(self._state, now)
            for row in searching:
                self._look_at_search(row, undecided, now)

    def _look_at_offer(self, row: int, now: int) -> None:
        state = self._state
        flows = state.flows
        packet = flows.pending[row]
        if packet is None:
            return
        if now - flows.asked_at[row] < HEDGE_MS:
            flows.watch(row)
            return
        if flows.offers[row] >= TRIED_LIMIT:
            return
        route = state.routes.get(packet.vip)
        if route is None:
            return
        flows.watch(row)
        if self._is_worth_another_offer(row, route, now):
            state.counters.add("flows.hedged")
            offer_flow(state, packet, route, row, now)
        elif now - flows.asked_at[row] > OFFER_LIMIT_MS:
            flows.pending[row] = None

    def _is_worth_another_offer(self, row: int, route: RouteView, now: int) -> bool:
        """Whether the flow's last offer seems lost, or another upstream is free.

        An agent that has reported since has the offer and holds it while its upstream is busy;
        more offers would only press on other busy upstreams.
        """
        state = self._state
        tried = state.flows.tried(row)
        if not tried:
            return True
        last = state.upstreams.row(tried[-1])
        if last == MISSING or state.upstreams.reported_at[last] <= state.flows.asked_at[row]:
            return True
        hosts = rank_upstreams(state, pick_service(state, route), tried, now)
        return bool(hosts) and is_free(state, hosts[0], now)

    def _look_at_search(self, row: int, undecided: set[int], now: int) -> None:
        state = self._state
        flows = state.flows
        searched = now - flows.searched_at[row]
        if searched > SEARCH_LIMIT_MS:
            return
        patience = SEARCH_MS if state.feeds.upstreams.is_current(now) else DOUBTFUL_SEARCH_MS
        packet = flows.pending[row]
        widen_search(state, row, now)
        is_early = searched < patience
        if packet is None or is_early or not is_denied_by_all(state, row, undecided, now):
            flows.watch(row)
            return
        flows.stage[row] = FlowStage.LOST
        flows.pending[row] = None
        state.counters.add("flows.unknown_to_all")
        reset_client(state, packet, Code.NO_SUCH_FLOW, now)
