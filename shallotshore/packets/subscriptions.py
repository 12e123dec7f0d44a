"""Subscriptions of a balancer to the reports of agents."""

from __future__ import annotations

__all__ = ["SubscriptionSystem"]

from shallotshore.packets.balancer_state import BalancerState
from shallotshore.packets.node_messages import Subscribe, UpstreamHealth
from shallotshore.packets.subset import arc_length, arc_start, choose_arc, ring_order
from shallotshore.packets.upstream_table import Listing
from shallotshore.tables import MISSING

SUBSCRIBE_INTERVAL_MS = 800  # an agent keeps a subscription for 3 s
SUBSCRIBE_CHECK_INTERVAL_MS = 50
# Interval of subscriptions to an agent without recent reports, which may just have started.
SILENT_SUBSCRIBE_INTERVAL_MS = 200
CHOICE_INTERVAL_MS = 500
# A service with at most this number of upstreams is subscribed to as a whole.
MAX_WHOLE_SERVICE_UPSTREAMS = 16
NEAR_UPSTREAMS = 5  # usable upstreams of the balancer's own data centre, for each large service
FAR_UPSTREAMS = 2  # the same in other data centres; more if the own data centre has fewer
# An agent's own data centre may be lost, or have no balancer, so that one subscriber elsewhere is
# needed as well.
NEAR_COVERAGE = 2
FAR_COVERAGE = 1
# Until this time after the start, gossip has not named all balancers, and a balancer that took the
# shares of those it does not know yet would subscribe to most of the fleet.
SETTLE_MS = 3_000
REPORT_WAIT_MS = 1_500  # an agent without a report for this time after a subscription is unusable


class SubscriptionSystem:
    """Subscribes to reports of agents: all agents of small services, a subset of the others.

    Each Subscribe message names the revisions that the balancer holds of the feeds. When these
    revisions change, a Subscribe message is sent to all these agents at once.
    """

    __slots__ = (
        "_known_upstreams",
        "_next_choice_at",
        "_next_run_at",
        "_sent_eras",
        "_sent_revisions",
        "_started_at",
        "_state",
    )

    def __init__(self, state: BalancerState) -> None:
        self._state = state
        self._sent_revisions = (0, 0)
        self._sent_eras = (0, 0)
        self._next_run_at = 0
        self._next_choice_at = 0
        self._known_upstreams = 0
        self._started_at = MISSING

    def run(self, now: int) -> None:
        """Runs the step at `now` (ms)."""
        if self._started_at == MISSING:
            self._started_at = now
        feeds = self._state.feeds
        upstreams = self._state.upstreams
        if now >= self._next_choice_at or feeds.changed or len(upstreams) != self._known_upstreams:
            self._next_choice_at = now + CHOICE_INTERVAL_MS
            self._known_upstreams = len(upstreams)
            self._choose_agents(now)
        revisions = (feeds.operator.revision, feeds.upstreams.revision)
        eras = feeds.eras()
        is_unchanged = (revisions, eras) == (self._sent_revisions, self._sent_eras)
        if now < self._next_run_at and is_unchanged:
            return
        self._sent_revisions = revisions
        self._sent_eras = eras
        self._next_run_at = now + SUBSCRIBE_CHECK_INTERVAL_MS
        for row in upstreams.rows():
            if not upstreams.is_subscribed[row]:
                continue
            interval_ms = (
                SUBSCRIBE_INTERVAL_MS
                if upstreams.has_fresh_report(row, now)
                else SILENT_SUBSCRIBE_INTERVAL_MS
            )
            if not is_unchanged or now - upstreams.subscribed_at[row] >= interval_ms:
                upstreams.subscribed_at[row] = now
                self._send_subscribe(row)

    def _choose_agents(self, now: int) -> None:
        """Chooses the agents to subscribe to, and ends the subscriptions to all others."""
        upstreams = self._state.upstreams
        chosen: set[int] = set()
        for service in upstreams.services():
            hosts = upstreams.hosts_of_service(service)
            if len(hosts) <= MAX_WHOLE_SERVICE_UPSTREAMS:
                chosen.update(hosts)
            else:
                chosen.update(self._choose_subset(hosts, now))
        for row in upstreams.rows():
            is_chosen = upstreams.key[row] in chosen
            if is_chosen and not upstreams.is_subscribed[row]:
                upstreams.is_subscribed[row] = 1
                upstreams.subscribed_since[row] = now
                upstreams.subscribed_at[row] = 0
                self._next_run_at = now
            elif upstreams.is_subscribed[row] and not is_chosen:
                upstreams.is_subscribed[row] = 0
                # The agent lists all open flows when it is subscribed to again.
                upstreams.incarnation[row] = 0
                self._send_subscribe(row, is_end=True)

    def _choose_subset(self, hosts: list[int], now: int) -> list[int]:
        """Returns the hosts of a large service to subscribe to."""
        state = self._state
        near = [host for host in hosts if state.is_same_data_centre(host)]
        far = [host for host in hosts if not state.is_same_data_centre(host)]
        near_balancers = [*state.members.hosts_in(state.data_centre), state.host]
        all_balancers = [*state.members.keys(), state.host]
        chosen = self._choose_arc(near, near_balancers, NEAR_UPSTREAMS, NEAR_COVERAGE, now)
        usable = sum(self._is_usable(host, now) for host in chosen)
        wanted = FAR_UPSTREAMS + max(0, NEAR_UPSTREAMS - usable)
        return chosen + self._choose_arc(far, all_balancers, wanted, FAR_COVERAGE, now)

    def _choose_arc(
        self, hosts: list[int], balancers: list[int], minimum: int, coverage: int, now: int
    ) -> list[int]:
        if not hosts:
            return []
        if now - self._started_at < SETTLE_MS:
            length = minimum
            start = arc_start(self._state.host, [], len(hosts))
        else:
            length = arc_length(minimum, len(hosts), len(balancers), coverage)
            start = arc_start(self._state.host, ring_order(balancers), len(hosts))
        return choose_arc(ring_order(hosts), start, length, lambda host: self._is_usable(host, now))

    def _is_usable(self, host: int, now: int) -> bool:
        """Whether an upstream takes new flows, as far as its record and its reports show."""
        upstreams = self._state.upstreams
        row = upstreams.row(host)
        if upstreams.listing[row] != Listing.LISTED or upstreams.leaving[row]:
            return False
        if upstreams.data_centre[row] in self._state.data_centres_out:
            return False
        if not upstreams.is_subscribed[row] or now - upstreams.subscribed_since[row] < (
            REPORT_WAIT_MS
        ):
            return True
        return (
            upstreams.has_fresh_report(row, now) and upstreams.health[row] == UpstreamHealth.ANSWERS
        )

    def _send_subscribe(self, row: int, is_end: bool = False) -> None:
        state = self._state
        upstreams = state.upstreams
        message = Subscribe(
            state.data_centre,
            upstreams.incarnation[row],
            *self._sent_revisions,
            upstreams.record_revision[row],
            is_end,
            *self._sent_eras,
        )
        state.send(upstreams.key[row], message)
