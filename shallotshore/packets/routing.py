"""Routes the packets of clients: new flows to a chosen upstream, others to their owner."""

from __future__ import annotations

__all__ = ["RoutingSystem", "offer_flow", "reset_client"]

from collections import deque

from shallotshore.codes import Code
from shallotshore.packets.balancer_state import BalancerState, RouteView
from shallotshore.packets.flow_cache import TRIED_LIMIT, FlowStage
from shallotshore.packets.hosts import host_text
from shallotshore.packets.node_messages import Carry, CarryKind
from shallotshore.packets.packet import RESETS, Packet, ResetPacket
from shallotshore.packets.search import (
    SEARCH_AGAIN_MS,
    begin_search,
    carry,
    search_on,
    service_of,
    widen_search,
)
from shallotshore.packets.selection import note_opened, pick_service, rank_upstreams
from shallotshore.packets.upstream_table import Listing
from shallotshore.tables import MISSING

FIRST_REPORTS_MS = 60  # agents answer a subscription within 10 ms
WAITING_LIMIT = 4_000  # packets; a start without a store may take seconds
WAITING_MS = 1_000  # a client sends its last copy 600 ms after its first packet
# Packets that open flows, in one tick; ticks are at most 20 ms apart. A balancer with a sixth of a
# core takes some 0.15 ms of a core for each.
OPENINGS_A_TICK = 32
PASSED_ON = 2  # candidates named for an agent that cannot take an opening packet


class RoutingSystem:
    """Takes the packets of clients.

    After its start a balancer keeps packets until it knows routes, upstreams and the flows that
    the agents name in their first reports. Packets that open flows wait in a bounded queue of
    which the newest go first: a balancer that falls behind would otherwise serve only clients
    that have given up, and whose further tries keep it behind.
    """

    __slots__ = ("_configured_at", "_openings", "_state", "_waiting")

    def __init__(self, state: BalancerState) -> None:
        self._state = state
        self._configured_at = 0
        self._waiting: deque[tuple[int, Packet]] = deque(maxlen=WAITING_LIMIT)
        self._openings: dict[int, tuple[int, Packet]] = {}

    def run(self, now: int) -> None:
        """Runs the step at `now` (ms)."""
        packets = self._state.inbox.take(Packet)
        for _, packet in packets:
            if packet.is_opening:
                self._keep_opening(packet, now)
            else:
                self._waiting.append((now, packet))
        if not self._may_route(now):
            return
        self._take_openings(now)
        while self._waiting:
            came_at, packet = self._waiting.popleft()
            if now - came_at <= WAITING_MS:
                self._take(packet, now)

    def _keep_opening(self, packet: Packet, now: int) -> None:
        """Queues an opening packet; a copy takes the place of the one before."""
        self._openings.pop(packet.key, None)
        self._openings[packet.key] = (now, packet)
        if len(self._openings) > WAITING_LIMIT:
            del self._openings[next(iter(self._openings))]
            self._state.counters.add("openings.shed")

    def _take_openings(self, now: int) -> None:
        for _ in range(min(OPENINGS_A_TICK, len(self._openings))):
            _, (came_at, packet) = self._openings.popitem()
            if now - came_at > WAITING_MS:
                # All others are older still.
                self._state.counters.add("openings.shed", len(self._openings) + 1)
                self._openings.clear()
                return
            self._take(packet, now)

    def _may_route(self, now: int) -> bool:
        state = self._state
        if state.is_settled:
            return True
        if state.is_configured and not self._configured_at:
            self._configured_at = now
        if not self._configured_at or not len(state.upstreams):
            return False
        is_heard = all(
            state.upstreams.is_reported(row, now) and state.upstreams.incarnation[row]
            for row in state.upstreams.rows()
            if state.upstreams.listing[row] == Listing.LISTED
        )
        state.is_settled = is_heard or now - self._configured_at > FIRST_REPORTS_MS
        return state.is_settled

    def _take(self, packet: Packet, now: int) -> None:
        state = self._state
        route = state.routes.get(packet.vip)
        if route is None:
            _refuse_route(state, packet, now)
        elif packet.is_opening:
            _open(state, packet, route, now)
        else:
            _follow(state, packet, route, now)


def _refuse_route(state: BalancerState, packet: Packet, now: int) -> None:
    """Resets a flow without a route; before the first configuration nothing is known."""
    state.counters.add("packets.no_route")
    if not state.is_configured:
        return
    state.flows.remove(packet.key)
    reset_client(state, packet, Code.UNKNOWN_ADDRESS, now)


def reset_client(state: BalancerState, packet: Packet, code: Code, now: int) -> None:
    """Tells a client that its flow is gone; a reset is never answered by another."""
    if packet.flags & RESETS:
        return
    state.outbox.send(packet.client, ResetPacket(packet.client, packet.vip, packet.acknowledged))
    state.counters.add(f"resets.{code.name.lower()}")
    if state.log.admits(now):
        operator = state.feeds.operator
        state.log.write(
            now,
            "flow_reset",
            flow=packet.name,
            code=int(code),
            version=operator.content.configuration.version,
            age_ms=now - operator.confirmed_at,
        )


def _open(state: BalancerState, packet: Packet, route: RouteView, now: int) -> None:
    flows = state.flows
    row = flows.row(packet.key)
    if row == MISSING:
        row = flows.add(packet.key)
        state.counters.add("flows.opening")
    if row == MISSING:
        state.counters.add("flows.table_full")
    elif flows.stage[row] == FlowStage.OWNED:
        # A late copy of the opening packet of a flow that is open.
        carry(state, flows.owner[row], CarryKind.OWNED, flows.service[row], packet)
        return
    else:
        flows.stage[row] = FlowStage.OPENING
        flows.touched[row] = now
        if flows.pending[row] is None:
            flows.watch(row)
        flows.pending[row] = packet
    offer_flow(state, packet, route, row, now)


def offer_flow(state: BalancerState, packet: Packet, route: RouteView, row: int, now: int) -> None:
    """Sends an opening packet to an upstream that was not tried before, else to the last one."""
    flows = state.flows
    tried = flows.tried(row) if row != MISSING else []
    service = pick_service(state, route)
    hosts = rank_upstreams(state, service, tried if len(tried) < TRIED_LIMIT else [], now)
    if len(tried) >= TRIED_LIMIT:
        hosts = [host for host in tried if host in hosts]
    if not hosts:
        hosts = [host for host in rank_upstreams(state, service, [], now) if host in tried]
    if not hosts:
        state.counters.add("flows.no_upstream")
        if state.log.admits(now):
            state.log.write(
                now,
                "flow_not_offered",
                flow=packet.name,
                code=int(Code.NO_UPSTREAM),
                route=route.name,
                revision=state.feeds.upstreams.revision,
            )
        return
    host = hosts[0]
    if row != MISSING:
        flows.note_tried(row, host)
        flows.asked_at[row] = now
        flows.offers[row] += 1
    note_opened(state, host, now)
    _log_offer(state, packet, route, host, len(tried), now)
    state.send(
        host,
        Carry(
            CarryKind.OPEN,
            service,
            state.feeds.operator.revision,
            tuple(hosts[1 : 1 + PASSED_ON]),
            state.cold_per_s.get(service, 0.0),
            route.priority,
            0,
            state.host,
            packet.frame,
        ),
    )


def _log_offer(
    state: BalancerState, packet: Packet, route: RouteView, host: int, tried: int, now: int
) -> None:
    if not state.log.admits(now):
        return
    upstreams = state.upstreams
    row = upstreams.row(host)
    state.log.write(
        now,
        "flow_offered",
        flow=packet.name,
        route=route.name,
        version=state.feeds.operator.content.configuration.version,
        upstream=host_text(host),
        tried_before=tried,
        in_flight=upstreams.in_flight[row],
        flows=upstreams.flows[row],
        report_age_ms=now - upstreams.reported_at[row],
    )


def _follow(state: BalancerState, packet: Packet, route: RouteView, now: int) -> None:
    """Sends a packet of an open flow to its owner, or to all that may own it."""
    flows = state.flows
    row = flows.row(packet.key)
    if row == MISSING:
        row = flows.add(packet.key)
        if row == MISSING:
            state.counters.add("flows.table_full")
            return
        _log_search(state, packet, now)
        begin_search(state, row, now)
    flows.touched[row] = now
    if flows.stage[row] == FlowStage.OPENING and not flows.tried(row):
        begin_search(state, row, now)
    stage = flows.stage[row]
    if stage == FlowStage.OWNED:
        carry(state, flows.owner[row], CarryKind.OWNED, flows.service[row], packet)
    elif stage == FlowStage.OPENING:
        if flows.pending[row] is not None:
            state.latencies.record("opening", route.name, now - flows.asked_at[row])
        flows.pending[row] = None
        tried = flows.tried(row)
        kind = CarryKind.OWNED if len(tried) == 1 else CarryKind.SEARCH
        for host in tried:
            carry(state, host, kind, service_of(state, host), packet)
    elif stage == FlowStage.LOST:
        reset_client(state, packet, Code.FLOW_LOST, now)
    else:
        flows.pending[row] = packet
        if now - flows.asked_at[row] >= SEARCH_AGAIN_MS:
            search_on(state, row, packet, route, now)
        widen_search(state, row, now)


def _log_search(state: BalancerState, packet: Packet, now: int) -> None:
    if state.log.admits(now):
        state.log.write(
            now,
            "flow_searched",
            flow=packet.name,
            upstreams=len(state.upstreams),
            revision=state.feeds.upstreams.revision,
        )
