"""Checks pending offers and searches: repeats or widens them, or abandons them after a deadline."""

from __future__ import annotations

__all__ = ["FreeUpstreams", "PendingFlowSystem"]

from shallotshore.codes import Code
from shallotshore.packets.balancer_state import BalancerState
from shallotshore.packets.flow_cache import MAX_TRIED_UPSTREAMS, CachedFlowStage
from shallotshore.packets.hosts import host_text
from shallotshore.packets.packet import Packet
from shallotshore.packets.routing import offer_flow, send_reset
from shallotshore.packets.search import (
    find_possible_owners,
    is_denied_by_all,
    repeat_queries,
    send_searches,
    widen_search,
)
from shallotshore.packets.selection import choose_service, has_free_slot, rank_upstreams
from shallotshore.packets.view import Feed
from shallotshore.tables import MISSING
from shallotshore.unknown_flows import NEVER, Verdict, judge_open_flow

# The client of an accepted flow sends its next packet within two round trips, and a round trip
# takes at most 30 ms between these data centres.
HEDGE_AFTER_MS = 60
RUN_INTERVAL_MS = 20
SEARCH_CHECK_INTERVAL_MS = 60  # a check of one search costs 0.1 ms in a fleet of 100 agents
MAX_OFFER_MS = 1_400  # a client has abandoned its attempt by then
# Agents deny a flow within 30 ms. When the table of upstreams is complete, a flow that all agents
# have denied exists nowhere.
MIN_SEARCH_MS = 40
MAX_SEARCH_MS = 5_000  # a client's requests have ended by then
MAX_NAMED_HOSTS = 5  # in a log line


class FreeUpstreams:
    """Upstreams with a free slot, best first, as seen at one time.

    Each of them is handed out once, so that the flows that wait do not all go to the same one.
    """

    __slots__ = ("_free_by_service", "_now", "_state")

    def __init__(self, state: BalancerState, now: int) -> None:
        self._state = state
        self._now = now
        self._free_by_service: dict[int, list[int]] = {}

    def take(self, service: int, tried: list[int]) -> bool:
        """Hands out an upstream of a service that a flow was not offered to.

        Args:
            service: Id of the service.
            tried: Hosts that the flow was offered to before.

        Returns:
            Whether there is one.
        """
        free = self._free_by_service.get(service)
        if free is None:
            ranked = rank_upstreams(self._state, service, [], self._now)
            free = [host for host in ranked if has_free_slot(self._state, host, self._now)]
            self._free_by_service[service] = free
        for host in free:
            if host not in tried:
                free.remove(host)
                return True
        return False


class PendingFlowSystem:
    """Checks flows whose offer or search has had no result yet."""

    __slots__ = ("_checked_as_of", "_last_run_at", "_searches_checked_at", "_state")

    def __init__(self, state: BalancerState) -> None:
        self._state = state
        self._checked_as_of = (NEVER, NEVER)
        self._last_run_at = 0
        self._searches_checked_at = 0

    def run(self, now: int) -> None:
        """Runs the step at `now` (ms)."""
        self._check_flows(now)
        send_searches(self._state, now)

    def _check_flows(self, now: int) -> None:
        if now - self._last_run_at < RUN_INTERVAL_MS:
            return
        self._last_run_at = now
        flows = self._state.flows
        flows.expire_flows(now)
        self._state.attempts.expire(now)
        searching = []
        # After a power loss hundreds of flows wait for a free slot. The upstreams are ranked once
        # for all of them.
        free_upstreams = FreeUpstreams(self._state, now)
        for row in flows.pop_scheduled_checks():
            if flows.stage[row] == CachedFlowStage.OPENING:
                self._check_offer(row, free_upstreams, now)
            elif flows.stage[row] == CachedFlowStage.SEARCHING:
                searching.append(row)
        is_due = now - self._searches_checked_at >= SEARCH_CHECK_INTERVAL_MS
        if searching and not is_due and not self._was_feed_checked():
            for row in searching:
                flows.schedule_check(row)
        elif searching:
            self._searches_checked_at = now
            # After a power loss a balancer searches for hundreds of flows at once. The possible
            # owners are the same for all of them and are computed once.
            possible_owners = find_possible_owners(self._state, now)
            for row in searching:
                self._check_search(row, possible_owners, now)

    def _was_feed_checked(self) -> bool:
        """Whether a copy of a feed has been checked since the last call."""
        feeds = self._state.feeds
        checked_as_of = (feeds.operator.check.as_of, feeds.upstreams.check.as_of)
        was_checked = checked_as_of != self._checked_as_of
        self._checked_as_of = checked_as_of
        return was_checked

    def _check_offer(self, row: int, free_upstreams: FreeUpstreams, now: int) -> None:
        """Offers a flow again when the answer to an offer is overdue, or abandons the offer."""
        state = self._state
        flows = state.flows
        packet = flows.pending_packet[row]
        if packet is None:
            return
        if now - flows.last_sent_at[row] < HEDGE_AFTER_MS:
            flows.schedule_check(row)
            return
        if flows.offer_count[row] >= MAX_TRIED_UPSTREAMS:
            return
        route = state.routes.get(packet.vip)
        if route is None or not route.services:
            return
        if route.terms.is_declared and state.attempts.has_ended(packet.key, now):
            flows.pending_packet[row] = None
            return
        flows.schedule_check(row)
        tried = flows.tried(row)
        service = choose_service(state, route)
        if self._seems_lost(row, tried) or free_upstreams.take(service, tried):
            state.counters.add("flows.hedged")
            offer_flow(state, packet, route, row, now)
        elif now - flows.last_sent_at[row] > MAX_OFFER_MS:
            flows.pending_packet[row] = None

    def _seems_lost(self, row: int, tried: list[int]) -> bool:
        """Whether the agent of the flow's last offer may not have received the offer.

        An agent that has reported since the offer has received it, and holds it while its upstream
        is busy. Further offers would then only add load to other busy upstreams.
        """
        if not tried:
            return True
        upstreams = self._state.upstreams
        last_row = upstreams.row(tried[-1])
        return last_row == MISSING or bool(
            upstreams.is_subscribed[last_row]
            and upstreams.reported_at[last_row] <= self._state.flows.last_sent_at[row]
        )

    def _check_search(self, row: int, possible_owners: set[int], now: int) -> None:
        """Widens a search, or resets the client when nothing can serve the flow."""
        state = self._state
        flows = state.flows
        searched_ms = now - flows.search_started_at[row]
        packet = flows.pending_packet[row]
        if searched_ms > MAX_SEARCH_MS:
            self._abandon_search(row, possible_owners, now)
            return
        widen_search(state, row, now)
        repeat_queries(state, row, now)
        if (
            packet is None
            or searched_ms < MIN_SEARCH_MS
            or not is_denied_by_all(state, row, possible_owners, now)
            or not self._knows_all_upstreams(flows.search_started_at[row], now)
        ):
            flows.schedule_check(row)
            return
        flows.mark_lost(row, now)
        state.counters.add("flows.unknown_to_all")
        send_reset(state, packet, Code.NO_SUCH_FLOW, now)

    def _knows_all_upstreams(self, search_started_at: int, now: int) -> bool:
        """Whether no upstream that the table lacks can own a flow."""
        feeds = self._state.feeds
        verdict = judge_open_flow(feeds.knowledge(Feed.UPSTREAMS, now), search_started_at)
        if verdict is Verdict.REFUSE:
            return True
        feeds.upstreams.check.request(search_started_at)
        return False

    def _abandon_search(self, row: int, possible_owners: set[int], now: int) -> None:
        """Ends a search that has had no result for too long.

        The client's next packet starts a new search. Without it nobody would reset the client.
        """
        state = self._state
        state.counters.add("flows.searches_abandoned")
        packet = state.flows.pending_packet[row]
        self._log_abandoned_search(row, packet, possible_owners, now)
        state.flows.remove(state.flows.key[row])

    def _log_abandoned_search(
        self, row: int, packet: Packet | None, possible_owners: set[int], now: int
    ) -> None:
        state = self._state
        if packet is None or not state.log.try_admit_decision(now):
            return
        silent = possible_owners - (state.flows.denied[row] or {}).keys()
        state.log.write(
            now,
            "search_abandoned",
            flow=packet.name,
            code=int(Code.NO_SUCH_FLOW),
            undecided=[host_text(host) for host in sorted(silent)[:MAX_NAMED_HOSTS]],
            count=len(silent),
            scope=state.flows.scope[row],
            is_list_current=state.feeds.upstreams.is_current(now),
        )
