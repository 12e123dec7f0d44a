"""Offers a flow to a second upstream when the client does not go on in time."""

from __future__ import annotations

__all__ = ["OpeningSystem"]

from shallotshore.packets.balancer_state import BalancerState
from shallotshore.packets.flow_cache import TRIED_LIMIT, FlowStage
from shallotshore.packets.routing import offer_flow

# A client goes on within two round trips, at most 30 ms between these data centres.
HEDGE_MS = 60
LOOK_MS = 20


class OpeningSystem:
    """Looks after flows that were offered and have shown no sign of the client since."""

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
        for row in flows.take_opening():
            self._look(row, now)

    def _look(self, row: int, now: int) -> None:
        state = self._state
        flows = state.flows
        packet = flows.opening[row]
        if packet is None or flows.stage[row] != FlowStage.OPENING:
            return
        if now - flows.asked_at[row] < HEDGE_MS:
            flows.watch_opening(row)
            return
        if flows.offers[row] >= TRIED_LIMIT:
            return
        route = state.routes.get(packet.vip)
        if route is not None:
            state.counters.add("flows.hedged")
            offer_flow(state, packet, route, row, now)
            flows.watch_opening(row)
