"""Learns from agents where flows live and where they do not."""

from __future__ import annotations

__all__ = ["OwnershipSystem"]

import struct
from typing import TYPE_CHECKING

from shallotshore.codes import Code
from shallotshore.packets.balancer_state import BalancerState
from shallotshore.packets.flow_cache import FlowStage
from shallotshore.packets.hosts import host_number
from shallotshore.packets.node_messages import LoadReport, Missing, OwnedFlow, Passed, Report
from shallotshore.packets.packet import Decode, Packet
from shallotshore.packets.routing import reset_client
from shallotshore.packets.search import begin_search, note_denial, search_on
from shallotshore.tables import MISSING

if TYPE_CHECKING:
    from shallotshore.messages import Address


class OwnershipSystem:
    """Takes reports, claims of ownership and denials of agents."""

    __slots__ = ("_decode", "_state")

    def __init__(self, state: BalancerState, decode: Decode) -> None:
        """Creates the system.

        Args:
            state: The balancer's tables.
            decode: Reads a client's packet that an agent gives back.
        """
        self._state = state
        self._decode = decode

    def run(self, now: int) -> None:
        """Runs the step at `now` (ms)."""
        state = self._state
        for source, report in state.inbox.take(Report):
            self._take_report(source, report, now)
        for source, load in state.inbox.take(LoadReport):
            self._take_load(source, load, now)
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
        row = upstreams.assign(host, report.service, now)
        if row == MISSING:
            return
        if report.is_complete or not upstreams.is_heard[row]:
            state.log.write(now, "agent_heard", upstream=source[0], incarnation=report.incarnation)
        if upstreams.health[row] != report.health:
            state.log.write(now, "upstream_health", upstream=source[0], health=report.health.name)
        if report.is_complete:
            # Only now are all of its flows known; a subscription that names another incarnation is
            # answered with them.
            upstreams.incarnation[row] = report.incarnation
        upstreams.is_heard[row] = True
        upstreams.data_centre[row] = report.data_centre
        upstreams.in_flight[row] = min(report.in_flight, 65_535)
        upstreams.flows[row] = report.flows
        upstreams.health[row] = report.health
        upstreams.note_heard(row, now)
        if report.cold_ms:
            upstreams.cold_until[row] = max(upstreams.cold_until[row], now + report.cold_ms)
        is_near = report.data_centre == state.data_centre
        held = (report.operator_revision, report.upstreams_revision)
        state.feeds.offer(source, *held, now, is_near)
        self._take_keys(host, report.service, report.opened, report.closed, now)

    def _take_load(self, source: Address, load: LoadReport, now: int) -> None:
        host = host_number(source[0])
        upstreams = self._state.upstreams
        row = upstreams.row(host)
        if row == MISSING:
            return
        upstreams.in_flight[row] = min(load.in_flight, 65_535)
        upstreams.flows[row] = load.flows
        upstreams.note_heard(row, now)
        self._take_keys(host, upstreams.service[row], load.opened, load.closed, now)

    def _take_keys(self, host: int, service: int, opened: bytes, closed: bytes, now: int) -> None:
        for key in _keys(opened):
            self._state.flows.own(key, host, service, now)
        for key in _keys(closed):
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
        if flows.stage[row] == FlowStage.SEARCHING:
            note_denial(state, row, host, now)
        elif self._is_ownerless(row, host, now):
            begin_search(state, row, now)
            flows.denied[row] = {host: now}
            flows.pending[row] = packet
            route = state.routes.get(packet.vip) if packet is not None else None
            if packet is not None and route is not None:
                search_on(state, row, packet, route, now)

    def _is_ownerless(self, row: int, host: int, now: int) -> bool:
        """Whether a denial leaves no host that may own the flow."""
        flows = self._state.flows
        if flows.stage[row] == FlowStage.OWNED:
            return flows.owner[row] == host
        if flows.stage[row] != FlowStage.OPENING or flows.pending[row] is not None:
            return False
        denied = flows.denied[row]
        if denied is None:
            denied = flows.denied[row] = {}
        denied[host] = now
        return all(tried in denied for tried in flows.tried(row))

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


def _keys(packed: bytes) -> tuple[int, ...]:
    return struct.unpack(f"<{len(packed) // 8}Q", packed[: len(packed) // 8 * 8])
