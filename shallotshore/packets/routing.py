"""Routes clients' packets: new flows to a chosen upstream, packets of open flows to the owner."""

from __future__ import annotations

__all__ = ["RoutingSystem", "offer_flow", "send_reset"]

from collections import deque

from shallotshore.codes import Code
from shallotshore.packets.attempts import ATTEMPT_MS
from shallotshore.packets.balancer_state import BalancerState, RouteView
from shallotshore.packets.flow_cache import MAX_TRIED_UPSTREAMS, CachedFlowStage
from shallotshore.packets.hosts import host_text
from shallotshore.packets.node_messages import Carry, CarryKind
from shallotshore.packets.opening_queue import OpeningQueue
from shallotshore.packets.packet import RESETS, Packet, ResetPacket
from shallotshore.packets.search import (
    SEARCH_RETRY_MS,
    find_service,
    query_agents,
    send_carry,
    start_search,
    widen_search,
)
from shallotshore.packets.selection import choose_service, count_recent_offer, rank_upstreams
from shallotshore.packets.unrouted import UnroutedPackets
from shallotshore.packets.upstream_table import Listing
from shallotshore.tables import MISSING
from shallotshore.unknown_flows import NEVER, Verdict

MAX_FIRST_REPORTS_WAIT_MS = 60  # agents answer a subscription within 10 ms
MAX_QUEUED_PACKETS = 4_000  # a start while the store is down may take seconds
MAX_QUEUED_MS = 1_000  # a client's last retransmission follows 600 ms after its first packet
# A balancer has a sixth of a core, and an opening packet costs about 0.15 ms of CPU time. Ticks are
# at most 20 ms apart.
MAX_OPENINGS_PER_TICK = 32
MAX_CANDIDATES = 2  # other hosts to which an agent can pass an opening packet


class RoutingSystem:
    """Routes the packets of clients.

    After its start a balancer queues packets until it knows the routes, the upstreams and the flows
    that agents name in their first reports. Opening packets wait in a bounded queue.
    """

    __slots__ = (
        "_configured_at",
        "_queued_openings",
        "_queued_packets",
        "_state",
        "_unrouted",
    )

    def __init__(self, state: BalancerState) -> None:
        self._state = state
        self._configured_at = 0
        self._queued_packets: deque[tuple[int, Packet]] = deque(maxlen=MAX_QUEUED_PACKETS)
        self._queued_openings = OpeningQueue(MAX_QUEUED_PACKETS, MAX_QUEUED_MS)
        self._unrouted = UnroutedPackets(state)

    def run(self, now: int) -> None:
        """Runs the step at `now` (ms)."""
        packets = self._state.inbox.take(Packet)
        for _, packet in packets:
            if packet.is_opening:
                self._queue_opening(packet, now)
            else:
                self._queued_packets.append((now, packet))
        if not self._update_readiness(now):
            return
        if len(self._unrouted):
            self._release_unrouted(now)
        self._route_openings(now)
        while self._queued_packets:
            received_at, packet = self._queued_packets.popleft()
            if now - received_at <= MAX_QUEUED_MS:
                self._route_packet(packet, now)

    def _queue_opening(self, packet: Packet, now: int) -> None:
        """Queues an opening packet; a retransmission replaces the flow's earlier packet."""
        state = self._state
        route = state.routes.get(packet.vip)
        if route is None or not route.terms.is_declared:
            self._queued_openings.push(packet, now)
        else:
            asked_at = state.attempts.record_copy(packet, now)
            self._queued_openings.push_declared(packet, route.terms, asked_at, now)

    def _release_unrouted(self, now: int) -> None:
        """Refuses the held packets without a route, and queues those whose route has arrived."""
        for packet, verdict in self._unrouted.take_decided(now):
            if verdict is Verdict.REFUSE:
                self._reset_unrouted(packet, now)
            else:
                self._queue_opening(packet, now)

    def _route_openings(self, now: int) -> None:
        state = self._state
        queue = self._queued_openings
        for _ in range(min(MAX_OPENINGS_PER_TICK, len(queue))):
            packet = queue.pop_next(now)
            if packet is None:
                break
            self._route_packet(packet, now)
        shed = queue.take_shed()
        if shed:
            state.counters.add("openings.shed", shed)

    def _update_readiness(self, now: int) -> bool:
        """Returns whether packets can be routed; once true, the result stays true."""
        state = self._state
        if state.is_ready_to_route:
            return True
        if state.is_configured and not self._configured_at:
            self._configured_at = now
        if not self._configured_at or not len(state.upstreams):
            return False
        have_all_reported = all(
            state.upstreams.has_fresh_report(row, now) and state.upstreams.incarnation[row]
            for row in state.upstreams.rows()
            if state.upstreams.listing[row] == Listing.LISTED and state.upstreams.is_subscribed[row]
        )
        state.is_ready_to_route = (
            have_all_reported or now - self._configured_at > MAX_FIRST_REPORTS_WAIT_MS
        )
        return state.is_ready_to_route

    def _route_packet(self, packet: Packet, now: int) -> None:
        state = self._state
        route = state.routes.get(packet.vip)
        if route is None and not state.is_configured:
            state.counters.add("packets.no_route")
        elif route is None and self._unrouted.judge(packet, now) is Verdict.REFUSE:
            self._reset_unrouted(packet, now)
        elif not packet.is_opening:
            _route_to_owner(state, packet, route, now)
        elif route is not None:
            _route_opening(state, packet, route, now)

    def _reset_unrouted(self, packet: Packet, now: int) -> None:
        """Resets a flow whose address has no route."""
        state = self._state
        state.counters.add("packets.no_route")
        state.flows.remove(packet.key)
        send_reset(state, packet, Code.UNKNOWN_ADDRESS, now)


def send_reset(state: BalancerState, packet: Packet, code: Code, now: int) -> None:
    """Sends a reset to a client, unless the client's packet is a reset itself.

    Args:
        state: The balancer's state.
        packet: The client's packet that the reset answers.
        code: Why the flow is reset, for the counter and the log.
        now: Time in ms.
    """
    if packet.flags & RESETS:
        return
    state.outbox.send(packet.client, ResetPacket(packet.client, packet.vip, packet.acknowledged))
    state.counters.add(f"resets.{code.name.lower()}")
    if state.log.try_admit_decision(now):
        operator, upstreams = state.feeds.operator, state.feeds.upstreams
        state.log.write(
            now,
            "flow_reset",
            flow=packet.name,
            code=int(code),
            version=operator.content.configuration.version,
            age_ms=now - operator.confirmed_at,
            is_withdrawn=packet.vip in state.withdrawn_vips,
            checked_ms_ago=[_age_ms(copy.check.as_of, now) for copy in (operator, upstreams)],
        )


def _age_ms(time: int, now: int) -> int | None:
    return now - time if time != NEVER else None


def _route_opening(state: BalancerState, packet: Packet, route: RouteView, now: int) -> None:
    """Offers the flow of an opening packet to an upstream, and schedules a check of the offer."""
    if route.terms.is_declared and state.attempts.was_refused(packet.key):
        # The copy was on its way when the flow was refused, or the reset was lost.
        if state.attempts.has_all_copies(packet.key, now):
            send_reset(state, packet, Code.OVERLOADED, now)
        return
    if not route.services:
        # All weights of the route's split are 0.
        state.counters.add("flows.no_upstream")
        state.attempts.record_copy(packet, now)
        if state.is_only_copy(packet.key, now):
            send_reset(state, packet, Code.NO_UPSTREAM, now)
        return
    flows = state.flows
    row = flows.row(packet.key)
    if row == MISSING:
        row = flows.add(packet.key)
        state.counters.add("flows.opening")
    if row == MISSING:
        state.counters.add("flows.table_full")
    elif flows.stage[row] == CachedFlowStage.OWNED:
        # A late retransmission of the opening packet; the flow is open already.
        send_carry(state, flows.owner[row], CarryKind.OWNED, flows.service[row], packet)
        return
    else:
        flows.stage[row] = CachedFlowStage.OPENING
        flows.last_packet_at[row] = now
        if flows.pending_packet[row] is None:
            flows.schedule_check(row)
        flows.pending_packet[row] = packet
    offer_flow(state, packet, route, row, now)


def offer_flow(state: BalancerState, packet: Packet, route: RouteView, row: int, now: int) -> None:
    """Offers a flow to the best upstream that it was not offered to yet.

    After MAX_TRIED_UPSTREAMS upstreams, or when no other upstream accepts new flows, the flow is
    offered again to an upstream that was tried before, if one still accepts flows.

    Args:
        state: The balancer's state.
        packet: The client's opening packet.
        route: Route of the packet's address.
        row: Row of the flow, or MISSING when the table is full.
        now: Time in ms.
    """
    flows = state.flows
    terms = route.terms
    age_ms = 0
    if terms.is_declared:
        age_ms = now - state.attempts.find_asked_at(packet, now)
        if age_ms >= ATTEMPT_MS:
            state.counters.add("openings.client_gone")
            return
    tried = flows.tried(row) if row != MISSING else []
    service = choose_service(state, route)
    hosts = _find_candidates(state, service, tried, now)
    if not hosts:
        state.counters.add("flows.no_upstream")
        if state.log.try_admit_decision(now):
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
        flows.record_tried(row, host)
        flows.last_sent_at[row] = now
        flows.offer_count[row] += 1
    if terms.is_declared:
        state.attempts.record_offer(packet.key, host)
    count_recent_offer(state, host, now)
    _log_offer(state, packet, route, host, len(tried), now)
    state.send(
        host,
        Carry(
            CarryKind.OPEN,
            service,
            state.feeds.operator.revision,
            tuple(hosts[1 : 1 + MAX_CANDIDATES]),
            state.cold_per_s.get(service, 0.0),
            terms.priority,
            0,
            state.host,
            packet.frame,
            terms.target_ms,
            terms.limit_ms,
            age_ms,
        ),
    )


def _find_candidates(state: BalancerState, service: int, tried: list[int], now: int) -> list[int]:
    """Returns the hosts that a flow may be offered to, best first.

    Args:
        state: The balancer's state.
        service: Id of the flow's service.
        tried: Hosts that the flow was offered to before.
        now: Time in ms.
    """
    if len(tried) < MAX_TRIED_UPSTREAMS:
        untried = rank_upstreams(state, service, tried, now)
        if untried:
            return untried
    ranked = rank_upstreams(state, service, [], now)
    # Those tried before may be leaving by now, or not be among the ones that this balancer knows.
    return [host for host in ranked if host in tried] or ranked


def _log_offer(
    state: BalancerState, packet: Packet, route: RouteView, host: int, tried: int, now: int
) -> None:
    if not state.log.try_admit_decision(now):
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


def _route_to_owner(
    state: BalancerState, packet: Packet, route: RouteView | None, now: int
) -> None:
    """Sends a packet of an open flow to its owner, or to all hosts that may own it.

    The address of the flow need not have a route: another balancer may have opened the flow by a
    newer configuration, and an agent tells who owns it.
    """
    flows = state.flows
    row = flows.row(packet.key)
    if route is None:
        state.counters.add("packets.unknown_route")
    if row == MISSING:
        row = flows.add(packet.key)
        if row == MISSING:
            state.counters.add("flows.table_full")
            return
        _log_search(state, packet, now)
        start_search(state, row, now)
    flows.last_packet_at[row] = now
    if flows.is_lost(row, now):
        send_reset(state, packet, Code.FLOW_LOST, now)
        return
    is_untried = flows.stage[row] == CachedFlowStage.OPENING and not flows.tried(row)
    if is_untried or flows.stage[row] == CachedFlowStage.LOST:
        start_search(state, row, now)
    stage = flows.stage[row]
    if stage == CachedFlowStage.OWNED:
        send_carry(state, flows.owner[row], CarryKind.OWNED, flows.service[row], packet)
    elif stage == CachedFlowStage.OPENING:
        if flows.pending_packet[row] is not None and route is not None:
            state.latencies.record("opening", route.name, now - flows.last_sent_at[row])
        flows.pending_packet[row] = None
        tried = flows.tried(row)
        kind = CarryKind.OWNED if len(tried) == 1 else CarryKind.SEARCH
        for host in tried:
            send_carry(state, host, kind, find_service(state, host), packet)
    else:
        flows.pending_packet[row] = packet
        if now - flows.last_sent_at[row] >= SEARCH_RETRY_MS:
            query_agents(state, row, packet, now)
        else:
            flows.add_waiting(row, packet)
        widen_search(state, row, now)


def _log_search(state: BalancerState, packet: Packet, now: int) -> None:
    if state.log.try_admit_decision(now):
        state.log.write(
            now,
            "flow_searched",
            flow=packet.name,
            upstreams=len(state.upstreams),
            revision=state.feeds.upstreams.revision,
        )
