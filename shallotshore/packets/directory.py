"""Updates the routes and the table of upstreams of a balancer when a feed has changed."""

from __future__ import annotations

__all__ = ["DirectorySystem"]

from shallotshore.hashing import name_id
from shallotshore.packets.balancer_state import BalancerState, RouteView
from shallotshore.packets.feed_copies import NEVER
from shallotshore.packets.hosts import host_text
from shallotshore.packets.openings_limit import RETURNED_DATA_CENTRE_COLD_MS
from shallotshore.packets.upstream_table import LAPSE_GRACE_MS
from shallotshore.packets.view import Configuration, Feed
from shallotshore.tables import MISSING

SWEEP_INTERVAL_MS = 1_000
MAX_WITHDRAWN_VIPS = 10_000  # the system is planned for 8,100 addresses


class DirectorySystem:
    """Copies the records of the feeds into the routes and the table of upstreams."""

    __slots__ = ("_state", "_swept_at", "_unlisted_until", "_version", "_was_complete")

    def __init__(self, state: BalancerState) -> None:
        self._state = state
        self._swept_at = 0
        self._was_complete = False
        self._unlisted_until = 0
        self._version = 0

    def run(self, now: int) -> None:
        """Runs the step at `now` (ms)."""
        state = self._state
        if Feed.OPERATOR in state.feeds.changed:
            self._apply_configuration(now)
        upstreams = state.upstreams
        operator = state.feeds.operator
        upstreams.record_history(operator.followed_from, operator.followed_since)
        if Feed.UPSTREAMS in state.feeds.changed or upstreams.must_apply_records:
            records = state.feeds.upstreams.content.upstreams.values()
            upstreams.apply_records(records, now, state.feeds.lapsed_hosts)
        elif upstreams.must_settle_disputes:
            upstreams.settle_disputes(now)
        self._decide_on_unlisted(now)
        if now - self._swept_at >= SWEEP_INTERVAL_MS:
            self._swept_at = now
            # An agent that has gone silent no longer decides which record counts.
            upstreams.settle_disputes(now)
            upstreams.expire_unlisted(now)
            self._mark_silent_agents(now)

    def _decide_on_unlisted(self, now: int) -> None:
        """Decides whether upstreams that are known only from their agents' reports get new flows.

        They do while no list of upstreams is known. A balancer that started in an outage of the
        store goes on for a while after its end, since entries that lapsed in the outage return
        later. A reader whose calls succeed shows that there is no outage. At any other time an
        upstream that is not in the list has left.
        """
        feeds = self._state.feeds
        copy = feeds.upstreams
        self._was_complete |= copy.is_complete
        is_failing = copy.failing_since != NEVER and not feeds.is_following
        if not self._was_complete and is_failing:
            self._unlisted_until = now + LAPSE_GRACE_MS
        is_back = self._was_complete and now < self._unlisted_until
        self._state.upstreams.are_unlisted_usable = is_back or not copy.revision

    def _mark_silent_agents(self, now: int) -> None:
        """Logs the agents that have stopped reporting, once each."""
        upstreams = self._state.upstreams
        for host in upstreams.keys():
            row = upstreams.row(host)
            if upstreams.is_reporting[row] and not upstreams.has_fresh_report(row, now):
                upstreams.is_reporting[row] = False
                if not upstreams.is_subscribed[row]:
                    continue
                self._state.log.write(
                    now,
                    "agent_silent",
                    upstream=host_text(host),
                    silent_ms=now - upstreams.reported_at[row],
                )

    def _apply_configuration(self, now: int) -> None:
        state = self._state
        content = state.feeds.operator.content
        self._replace_routes(content.configuration)
        named = state.feeds.operator.named_services
        state.upstreams.name_services(name_id("service", name) for name in named)
        state.timed_services = {
            name_id("service", name)
            for route in content.configuration.routes
            if route.target_ms
            for name, _ in route.shares
        }
        state.cold_per_s = {
            name_id("service", limits.name): limits.cold_per_s
            for limits in content.configuration.services
        }
        out = {name_id("data_centre", name) for name in content.data_centres_out}
        for data_centre in state.data_centres_out - out:
            self._mark_upstreams_cold(data_centre, now)
        state.data_centres_out = out

    def _replace_routes(self, configuration: Configuration) -> None:
        """Replaces the routes, and notes the addresses whose route a newer version drops."""
        state = self._state
        earlier = state.routes.keys()
        state.routes = {
            (route.host, route.port): RouteView(route) for route in configuration.routes
        }
        if configuration.version > self._version:
            state.withdrawn_vips |= dict.fromkeys(earlier - state.routes.keys())
            while len(state.withdrawn_vips) > MAX_WITHDRAWN_VIPS:
                del state.withdrawn_vips[next(iter(state.withdrawn_vips))]
        for vip in state.routes.keys() & state.withdrawn_vips.keys():
            del state.withdrawn_vips[vip]
        self._version = configuration.version

    def _mark_upstreams_cold(self, data_centre: int, now: int) -> None:
        """Treats the upstreams of a data centre that is back in service as cold."""
        upstreams = self._state.upstreams
        for host in upstreams.keys():
            row = upstreams.row(host)
            if row != MISSING and upstreams.data_centre[row] == data_centre:
                until = max(upstreams.cold_until[row], now + RETURNED_DATA_CENTRE_COLD_MS)
                upstreams.cold_until[row] = until
