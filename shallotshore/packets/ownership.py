"""Learns where flows live from what agents say, and decides when a flow is lost."""

from __future__ import annotations

__all__ = ["OwnershipSystem"]

import struct
from collections.abc import Callable
from typing import TYPE_CHECKING

from result import Result

from shallotshore.codes import Code
from shallotshore.packets.balancer_state import BalancerState
from shallotshore.packets.flow_cache import FlowStage
from shallotshore.packets.hosts import host_number
from shallotshore.packets.node_messages import Missing, OwnedFlow, Passed, Report
from shallotshore.packets.packet import Packet
from shallotshore.packets.routing import reset_client, search_owner
from shallotshore.packets.upstream_table import Listing
from shallotshore.tables import MISSING

if TYPE_CHECKING:
    from shallotshore.messages import Address

# A flow that no agent knows is lost after so long: its client has sent two copies of a packet, and
# an agent that had just started has asked its upstream.
SEARCH_MS = 500
# An agent that is listed no more and silent for so long has no flows any more.
DEPARTED_MS = 2_500
# After a change of the upstreams' records an owner may be unknown to this balancer for a moment.
SETTLED_MS = 1_000

Decode = Callable[[bytes], Result[Packet, Code]]


class OwnershipSystem:
    """Takes reports, claims of ownership and denials of agents."""

    __slots__ = ("_changed_at", "_decode", "_state")

    def __init__(self, state: BalancerState, decode: Decode) -> None:
        """Creates the system.

        Args:
            state: The balancer's tables.
            decode: Reads a client's packet that an agent gives back.
        """
        self._state = state
        self._decode = decode
        self._changed_at = 0

    def run(self, now: int) -> None:
        """Runs the step at `now` (ms)."""
        state = self._state
        if state.feeds.changed:
            self._changed_at = now
        for source, report in state.inbox.take(Report):
            self._take_report(source, report, now)
        for source, owned in state.inbox.take(OwnedFlow):
            self._take_owner(source, owned.key, now)
        for _, passed in state.inbox.take(Passed):
            row = state.flows.row(passed.key)
            if row != MISSING:
                state.flows.note_tried(row, passed.host)
        for source, missing in state.inbox.take(Missing):
            self._take_denial(host_number(source[0]), missing, now)

    def _take_report(self, source: Address, report: Report, now: int) -> None:
        state = self._state
        host = host_number(source[0])
        upstreams = state.upstreams
        row = upstreams.assign(host, report.service)
        if row == MISSING:
            return
        if upstreams.incarnation[row] != report.incarnation:
            state.log.write(now, "agent_heard", upstream=source[0], incarnation=report.incarnation)
        if upstreams.health[row] != report.health:
            state.log.write(now, "upstream_health", upstream=source[0], health=report.health.name)
        upstreams.incarnation[row] = report.incarnation
        upstreams.data_centre[row] = report.data_centre
        upstreams.in_flight[row] = min(report.in_flight, 65_535)
        upstreams.flows[row] = report.flows
        upstreams.health[row] = report.health
        upstreams.reported_at[row] = now
        if report.cold_ms:
            upstreams.cold_until[row] = max(upstreams.cold_until[row], now + report.cold_ms)
        state.feeds.offer(source, report.operator_revision, report.upstreams_revision, now)
        for key in _keys(report.opened):
            state.flows.own(key, host, report.service, now)
        for key in _keys(report.closed):
            self._close(key, host)

    def _close(self, key: int, host: int) -> None:
        flows = self._state.flows
        row = flows.row(key)
        if row != MISSING and flows.stage[row] == FlowStage.OWNED and flows.owner[row] == host:
            flows.remove(key)

    def _take_owner(self, source: Address, key: int, now: int) -> None:
        state = self._state
        host = host_number(source[0])
        row = state.upstreams.row(host)
        service = state.upstreams.service[row] if row != MISSING else 0
        state.flows.own(key, host, service, now)

    def _take_denial(self, host: int, missing: Missing, now: int) -> None:
        state = self._state
        flows = state.flows
        row = flows.row(missing.key)
        if row == MISSING:
            return
        packet = self._decode(missing.frame).ok() if missing.frame else None
        if missing.is_lost:
            self._lose(row, host, packet, now)
            return
        if self._is_taken_for_owner(row, host):
            flows.stage[row] = FlowStage.SEARCHING
            flows.searched_at[row] = now
        if flows.stage[row] != FlowStage.SEARCHING:
            return
        self._note_denial(row, host, now)
        route = state.routes.get(packet.vip) if packet is not None else None
        if packet is not None and route is not None and flows.stage[row] == FlowStage.SEARCHING:
            state.counters.add("flows.searched_again")
            search_owner(state, packet, route, now - flows.searched_at[row])

    def _is_taken_for_owner(self, row: int, host: int) -> bool:
        flows = self._state.flows
        if flows.stage[row] == FlowStage.OWNED:
            return flows.owner[row] == host
        return flows.stage[row] == FlowStage.OPENING and flows.opening[row] is None

    def _lose(self, row: int, host: int, packet: Packet | None, now: int) -> None:
        """Ends a flow that its owner's upstream holds no more."""
        state = self._state
        flows = state.flows
        if flows.stage[row] == FlowStage.OWNED and flows.owner[row] != host:
            return
        flows.stage[row] = FlowStage.LOST
        state.counters.add("flows.lost")
        if packet is not None:
            reset_client(state, packet, Code.FLOW_LOST, now)

    def _note_denial(self, row: int, host: int, now: int) -> None:
        """Gives a flow up once every agent that may know it has denied it for long enough."""
        flows = self._state.flows
        denied = flows.denied[row]
        if denied is None:
            denied = flows.denied[row] = {}
        denied[host] = now
        if now - flows.searched_at[row] < SEARCH_MS or now - self._changed_at < SETTLED_MS:
            return
        if not self._is_denied_by_all(denied, now):
            return
        flows.stage[row] = FlowStage.LOST
        self._state.counters.add("flows.unknown_to_all")
        if self._state.log.admits(now):
            self._state.log.write(
                now, "flow_unknown", key=f"{flows.key[row]:016x}", denied_by=len(denied)
            )

    def _is_denied_by_all(self, denied: dict[int, int], now: int) -> bool:
        upstreams = self._state.upstreams
        for host in upstreams.keys():
            if host in denied:
                continue
            row = upstreams.row(host)
            last = max(upstreams.reported_at[row], upstreams.lapsed_at[row])
            if upstreams.listing[row] == Listing.LISTED or now - last < DEPARTED_MS:
                return False
        return True


def _keys(packed: bytes) -> tuple[int, ...]:
    return struct.unpack(f"<{len(packed) // 8}Q", packed[: len(packed) // 8 * 8])
