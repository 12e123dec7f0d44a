"""Records which upstreams own flows, and which do not, from the messages of agents."""

from __future__ import annotations

__all__ = ["OwnershipSystem"]

import struct
from typing import TYPE_CHECKING

from shallotshore.codes import Code
from shallotshore.packets.balancer_state import BalancerState
from shallotshore.packets.flow_cache import CachedFlowStage
from shallotshore.packets.hosts import host_number
from shallotshore.packets.learned_capacity import record_learned
from shallotshore.packets.node_messages import (
    CarryKind,
    Denied,
    LoadReport,
    Missing,
    OwnedFlow,
    Passed,
    Report,
)
from shallotshore.packets.packet import DecodePacket, Packet
from shallotshore.packets.record_choice import ReportedUpstream
from shallotshore.packets.routing import send_reset
from shallotshore.packets.search import query_agents, record_denial, send_carry, start_search
from shallotshore.tables import MISSING

if TYPE_CHECKING:
    from shallotshore.messages import Address


class OwnershipSystem:
    """Handles the reports, ownership messages and denials of agents."""

    __slots__ = ("_decode", "_state")

    def __init__(self, state: BalancerState, decode: DecodePacket) -> None:
        """Creates the system.

        Args:
            state: The balancer's tables.
            decode: Decodes a client's packet that an agent returns.
        """
        self._state = state
        self._decode = decode

    def run(self, now: int) -> None:
        """Runs the step at `now` (ms)."""
        state = self._state
        for source, report in state.inbox.take(Report):
            self._handle_report(source, report, now)
        for source, load in state.inbox.take(LoadReport):
            self._handle_load_report(source, load, now)
        for source, owned in state.inbox.take(OwnedFlow):
            self._record_heard(source, now)
            self._handle_owned_flow(source, owned.key, now)
        for source, passed in state.inbox.take(Passed):
            sender = host_number(source[0])
            state.attempts.record_passed(passed.key, sender, passed.host, passed.is_unoffered)
            row = state.flows.row(passed.key)
            if row != MISSING:
                state.flows.record_tried(row, passed.host)
        for source, missing in state.inbox.take(Missing):
            self._record_heard(source, now)
            self._handle_missing(host_number(source[0]), missing, now)

        for source, denials in state.inbox.take(Denied):
            self._record_heard(source, now)
            self._handle_denied(host_number(source[0]), denials.keys, now)

    def _handle_denied(self, host: int, keys: bytes, now: int) -> None:
        flows, upstreams = self._state.flows, self._state.upstreams
        upstream_row = upstreams.row(host)
        if upstream_row != MISSING:
            upstreams.answers_searches[upstream_row] = 1
        for key in _unpack_keys(keys):
            row = flows.row(key)
            if row != MISSING and flows.stage[row] == CachedFlowStage.SEARCHING:
                record_denial(self._state, row, host, now)

    def _record_heard(self, source: Address, now: int) -> None:
        row = self._state.upstreams.row(host_number(source[0]))
        if row != MISSING:
            self._state.upstreams.record_heard(row, now)

    def _handle_report(self, source: Address, report: Report, now: int) -> None:
        state = self._state
        host = host_number(source[0])
        upstreams = state.upstreams
        reported = ReportedUpstream(report.service, report.data_centre, report.port)
        row = upstreams.record_agent(host, reported, now)
        if row == MISSING:
            return
        if report.is_complete or not upstreams.is_reporting[row]:
            state.log.write(now, "agent_heard", upstream=source[0], incarnation=report.incarnation)
        if upstreams.health[row] != report.health:
            state.log.write(now, "upstream_health", upstream=source[0], health=report.health.name)
        if report.is_complete:
            # Only a complete report begins the list of all open flows. Until it arrives, the
            # subscriptions name another incarnation, and the agent answers with a complete report.
            upstreams.incarnation[row] = report.incarnation
        upstreams.is_reporting[row] = True
        upstreams.data_centre[row] = report.data_centre
        upstreams.in_flight[row] = min(report.in_flight, 65_535)
        upstreams.flows[row] = report.flows
        upstreams.health[row] = report.health
        record_learned(state, row, report.service_ms, report.concurrency)
        upstreams.record_report(row, now)
        if report.cold_ms:
            upstreams.cold_until[row] = max(upstreams.cold_until[row], now + report.cold_ms)
        is_same_data_centre = report.data_centre == state.data_centre
        revisions = (report.operator_revision, report.upstreams_revision)
        eras = (report.operator_era, report.upstreams_era)
        state.feeds.record_offer(source, *revisions, now, is_same_data_centre, eras)
        self._apply_keys(host, report.service, report.opened, report.closed, now)

    def _handle_load_report(self, source: Address, load: LoadReport, now: int) -> None:
        host = host_number(source[0])
        upstreams = self._state.upstreams
        row = upstreams.row(host)
        if row == MISSING:
            return
        upstreams.in_flight[row] = min(load.in_flight, 65_535)
        upstreams.flows[row] = load.flows
        record_learned(self._state, row, load.service_ms, load.concurrency)
        upstreams.record_report(row, now)
        self._apply_keys(host, upstreams.service[row], load.opened, load.closed, now)

    def _apply_keys(self, host: int, service: int, opened: bytes, closed: bytes, now: int) -> None:
        for key in _unpack_keys(opened):
            self._set_owner(key, host, service, now)
        for key in _unpack_keys(closed):
            self._remove_closed(key, host)

    def _remove_closed(self, key: int, host: int) -> None:
        flows = self._state.flows
        row = flows.row(key)
        if (
            row != MISSING
            and flows.stage[row] == CachedFlowStage.OWNED
            and flows.owner[row] == host
        ):
            flows.remove(key)

    def _handle_owned_flow(self, source: Address, key: int, now: int) -> None:
        state = self._state
        host = host_number(source[0])
        row = state.upstreams.row(host)
        service = state.upstreams.service[row] if row != MISSING else 0
        self._set_owner(key, host, service, now)

    def _set_owner(self, key: int, host: int, service: int, now: int) -> None:
        """Records the owner of a flow, and sends it the packets that arrived during the search."""
        flows = self._state.flows
        flows.set_owner(key, host, service, now)
        for packet in flows.take_waiting(key):
            send_carry(self._state, host, CarryKind.OWNED, service, packet)

    def _handle_missing(self, host: int, missing: Missing, now: int) -> None:
        state = self._state
        flows = state.flows
        row = flows.row(missing.key)
        if row == MISSING:
            return
        packet = self._decode(missing.frame).ok() if missing.frame else None
        if missing.is_lost:
            self._mark_lost(row, host, packet, now)
            return
        if flows.stage[row] == CachedFlowStage.SEARCHING:
            record_denial(state, row, host, now)
        elif self._record_offer_denial(row, host, now):
            # The host is searched too: it may have denied the flow for the service that the packet
            # was sent for.
            start_search(state, row, now)
            flows.pending_packet[row] = packet
            if packet is not None:
                query_agents(state, row, packet, now)

    def _record_offer_denial(self, row: int, host: int, now: int) -> bool:
        """Records a denial of an offered flow; returns whether no other host may own the flow."""
        flows = self._state.flows
        if flows.stage[row] == CachedFlowStage.OWNED:
            return flows.owner[row] == host
        if flows.stage[row] != CachedFlowStage.OPENING or flows.pending_packet[row] is not None:
            return False
        denied = flows.denied[row]
        if denied is None:
            denied = flows.denied[row] = {}
        denied[host] = now
        return all(tried in denied for tried in flows.tried(row))

    def _mark_lost(self, row: int, host: int, packet: Packet | None, now: int) -> None:
        """Marks a flow as lost when its owner no longer holds it, and resets the client."""
        state = self._state
        flows = state.flows
        if flows.stage[row] == CachedFlowStage.OWNED and flows.owner[row] != host:
            return
        flows.mark_lost(row, now)
        state.counters.add("flows.lost")
        if packet is not None:
            send_reset(state, packet, Code.FLOW_LOST, now)


def _unpack_keys(packed: bytes) -> tuple[int, ...]:
    return struct.unpack(f"<{len(packed) // 8}Q", packed[: len(packed) // 8 * 8])
