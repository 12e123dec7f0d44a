"""Keeps the record and the health of the agent's own upstream up to date."""

from __future__ import annotations

__all__ = ["HealthSystem", "OwnUpstreamSystem"]

from shallotshore.packets.agent_state import DEFAULT_COLD_MS, AgentState
from shallotshore.packets.agent_tables import AgentFlowStage
from shallotshore.packets.hosts import host_number, host_text
from shallotshore.packets.node_messages import UpstreamHealth
from shallotshore.packets.openings_limit import RETURNED_DATA_CENTRE_COLD_MS
from shallotshore.packets.record_choice import ReportedUpstream, choose_record
from shallotshore.packets.view import Upstream

MAX_OPENING_SILENCE_MS = 120  # an upstream accepts or returns an opening packet within 1 ms
# An upstream acknowledges every second data packet, and answers the packets in between within this
# time.
MAX_DATA_SILENCE_MS = 800
SILENCE_RETRY_MS = 1_000  # a silent upstream is offered new flows again after this time
ENDED_FLOW_EXPIRY_MS = 3_000  # late packets of an ended flow are still sent to the upstream
# How long a flow stays marked as not held, since its last packet. An upstream that has returned a
# packet of a flow never accepts the flow later.
NOT_HELD_EXPIRY_MS = 10_000
# A request without an answer for this time no longer counts as in flight. Its client has given up,
# or the upstream has lost it in a restart that no packet has shown yet.
MAX_ANSWER_WAIT_MS = 5_000
SWEEP_INTERVAL_MS = 100  # an agent's table of 3,000 flows is swept in 5 s


class OwnUpstreamSystem:
    """Applies the upstream's record, the data centre's state and the service's limit."""

    __slots__ = ("_cold_until", "_record", "_state")

    def __init__(self, state: AgentState) -> None:
        self._state = state
        self._record: Upstream | None = None
        self._cold_until = 0

    def run(self, now: int) -> None:
        """Runs the step at `now` (ms)."""
        state = self._state
        if state.started_at < 0:
            state.started_at = now
            self._cold_until = now + DEFAULT_COLD_MS
            state.openings_limit.start(now)
            if not state.settings.is_first_start:
                # The upstream may have started with its agent, and its entry may be the last one
                # of the process before.
                state.openings_limit.assume_cold_until(now + DEFAULT_COLD_MS)
            self._set_limit()
        if state.feeds.changed:
            self._apply_feeds(now)

    def _apply_feeds(self, now: int) -> None:
        state = self._state
        state.peers = self._find_peers()
        record = self._find_own_record()
        if record is not None and record != self._record:
            if self._record is not None and self._record.id != record.id:
                state.forget_requests()
                state.capacity.restart(now)
            if self._record is None:
                self._cold_until = now + record.cold_ms
            else:
                state.openings_limit.end_assumption()
                if record.cold_ms:
                    self._cold_until = max(self._cold_until, now + record.cold_ms)
            if state.is_leaving != record.is_leaving or self._record is None:
                state.log.write(
                    now,
                    "upstream_record",
                    upstream=record.id,
                    revision=record.revision,
                    is_leaving=record.is_leaving,
                    cold_ms=record.cold_ms,
                )
            self._record = record
            state.record_revision = record.revision
            state.is_leaving = record.is_leaving
            state.slots = state.capacity.declared_slots = max(1, record.slots)
        is_out = state.settings.data_centre in state.feeds.operator.content.data_centres_out
        if state.is_out and not is_out:
            self._cold_until = max(self._cold_until, now + RETURNED_DATA_CENTRE_COLD_MS)
        if state.is_out != is_out:
            state.is_out = is_out
            state.log.write(now, "data_centre", name=state.settings.data_centre, is_out=is_out)
        state.has_target = self._finds_target()
        self._set_limit()

    def _finds_target(self) -> bool:
        """Whether a route to this service declares a target latency."""
        service = self._state.settings.service
        routes = self._state.feeds.operator.content.configuration.routes
        return any(
            route.target_ms and any(name == service for name, _ in route.shares) for route in routes
        )

    def _find_peers(self) -> frozenset[int]:
        """Returns the hosts of the other upstreams of the service in this data centre."""
        settings = self._state.settings
        hosts = {
            host_number(upstream.host)
            for upstream in self._state.feeds.upstreams.content.upstreams.values()
            if upstream.service == settings.service and upstream.data_centre == settings.data_centre
        }
        return frozenset(hosts - {settings.host})

    def _find_own_record(self) -> Upstream | None:
        """Returns the record of this VM's upstream, or None."""
        state = self._state
        host = host_text(state.host)
        upstreams = state.feeds.upstreams.content.upstreams.values()
        own = [upstream for upstream in upstreams if upstream.host == host]
        reported = ReportedUpstream(state.service, state.data_centre, state.settings.upstream[1])
        return choose_record(own, reported)

    def _set_limit(self) -> None:
        state = self._state
        state.openings_limit.set_cold_until(self._cold_until)
        for limits in state.feeds.operator.content.configuration.services:
            if limits.name == state.settings.service:
                state.openings_limit.set_rate(limits.cold_per_s)


class HealthSystem:
    """Detects a silent upstream, and removes flows after their expiry."""

    __slots__ = ("_retry_at", "_state", "_swept_at")

    def __init__(self, state: AgentState) -> None:
        self._state = state
        self._retry_at = 0
        self._swept_at = 0

    def run(self, now: int) -> None:
        """Runs the step at `now` (ms)."""
        self._update_health(now)
        if now - self._swept_at >= SWEEP_INTERVAL_MS:
            self._swept_at = now
            self._sweep_flows(now)

    def _sweep_flows(self, now: int) -> None:
        """Removes flows after their expiry, and stops counting requests without an answer."""
        state = self._state
        flows = state.flows
        for row in flows.next_sweep_rows():
            if now - flows.last_packet_at[row] > self._expiry_ms(row):
                state.remove_flow(row)
            elif flows.awaits_answer[row] and now - flows.awaiting_since[row] > MAX_ANSWER_WAIT_MS:
                state.set_awaits_answer(row, False)
                state.capacity.record_failure(now)
                state.counters.add("requests.abandoned")

    def _expiry_ms(self, row: int) -> int:
        """Returns how long after its last packet a flow is removed, in ms."""
        flows = self._state.flows
        if flows.stage[row] == AgentFlowStage.NOT_HELD:
            return NOT_HELD_EXPIRY_MS
        if flows.stage[row] != AgentFlowStage.OPEN or flows.ends[row] == 3:
            return ENDED_FLOW_EXPIRY_MS
        return self._state.settings.flow_life_ms

    def _update_health(self, now: int) -> None:
        state = self._state
        health = self._observe_health(now)
        if health != state.health:
            state.log.write(
                now,
                "upstream_health",
                health=health.name,
                was=state.health.name,
                silent_ms=now - state.last_upstream_packet_at,
            )
            state.health = health
            state.is_upstream_silent |= health == UpstreamHealth.SILENT

    def _observe_health(self, now: int) -> UpstreamHealth:
        """Returns the health, judged by the records and by how long packets have been unanswered.

        A silent upstream counts as answering again after SILENCE_RETRY_MS, so that it gets new
        flows, which show whether the upstream is still silent.
        """
        state = self._state
        if state.is_leaving or state.is_out:
            return UpstreamHealth.LEAVING
        is_silent = (
            state.unanswered_opening_at
            and now - state.unanswered_opening_at > MAX_OPENING_SILENCE_MS
        ) or (state.unanswered_data_at and now - state.unanswered_data_at > MAX_DATA_SILENCE_MS)
        if is_silent and not self._retry_at:
            self._retry_at = now + SILENCE_RETRY_MS
        if not is_silent:
            self._retry_at = 0
        elif now >= self._retry_at:
            state.unanswered_opening_at = state.unanswered_data_at = 0
            self._retry_at = 0
            return UpstreamHealth.ANSWERS
        return UpstreamHealth.SILENT if is_silent else UpstreamHealth.ANSWERS
