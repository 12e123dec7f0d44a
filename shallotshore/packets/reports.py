"""Reports the load, the health and the flows of an upstream to subscribed balancers."""

from __future__ import annotations

__all__ = ["ReportSystem"]

from typing import TYPE_CHECKING

from shallotshore.packets.agent_state import AgentState
from shallotshore.packets.agent_tables import (
    SUBSCRIBER_EXPIRY_MS,
    AgentFlowStage,
)
from shallotshore.packets.hosts import host_number
from shallotshore.packets.node_messages import LoadReport, Report, Subscribe
from shallotshore.packets.upstream_use import IDLE_REPORT_INTERVAL_MS, REPORT_INTERVAL_MS
from shallotshore.tables import MISSING

if TYPE_CHECKING:
    from shallotshore.messages import Address

MIN_CHANGE_INTERVAL_MS = 40
# Opened flows are collected for one report. Packets of a client arrive at another balancer only
# when the set of balancers changes, and that balancer can find the owner by a search meanwhile.
MIN_OPENED_INTERVAL_MS = 60
# Traffic between data centres is expensive, so changes are reported less often there.
MIN_REMOTE_CHANGE_INTERVAL_MS = 60
MAX_REPORT_KEYS = 120  # of 8 bytes each; a report stays within one packet of 1,400 bytes
# Interval of full reports to balancers whose subscription has expired. Such a balancer may have
# restarted.
EXPIRED_REPORT_INTERVAL_MS = 500


class ReportSystem:
    """Handles subscriptions and sends reports."""

    __slots__ = ("_next_run_at", "_state")

    def __init__(self, state: AgentState) -> None:
        self._state = state
        self._next_run_at = 0

    def run(self, now: int) -> None:
        """Runs the step at `now` (ms)."""
        state = self._state
        for source, subscribe in state.inbox.take(Subscribe):
            self._handle_subscribe(source, subscribe, now)
        if now < self._next_run_at:
            return
        self._send_due_reports(now)
        self._next_run_at = now + MIN_CHANGE_INTERVAL_MS

    def _handle_subscribe(self, source: Address, subscribe: Subscribe, now: int) -> None:
        state = self._state
        subscribers = state.subscribers
        host = host_number(source[0])
        if subscribe.is_end:
            subscribers.remove(host)
            return
        row = subscribers.row(host)
        if row == MISSING or not subscribers.is_subscribed(row, now):
            state.log.write(now, "balancer_subscribed", balancer=source[0])
        row = subscribers.add(host)
        if row == MISSING:
            state.counters.add("subscribers.table_full")
            return
        subscribers.data_centre[row] = subscribe.data_centre
        subscribers.renewed_at[row] = now
        revisions = (subscribe.operator_revision, subscribe.upstreams_revision)
        is_same_data_centre = subscribe.data_centre == state.data_centre
        eras = (subscribe.operator_era, subscribe.upstreams_era)
        state.feeds.record_offer(source, *revisions, now, is_same_data_centre, eras)
        known_record = (state.feeds.upstreams.era, state.record_revision)
        if (subscribe.upstreams_era, subscribe.record_revision) > known_record:
            state.feeds.upstreams.is_fetch_urgent = True
        if subscribe.incarnation != state.incarnation:
            subscribers.opened[row] = self._find_open_keys(subscribe.data_centre)
            subscribers.is_complete[row] = True
            subscribers.sent_at[row] = subscribers.full_report_sent_at[row] = 0
            self._next_run_at = now

    def _find_open_keys(self, data_centre: int) -> bytes:
        """Returns the keys of open flows whose packets enter in a data centre."""
        state = self._state
        flows, subscribers = state.flows, state.subscribers
        keys = bytearray()
        for row in flows.rows():
            if flows.stage[row] != AgentFlowStage.OPEN:
                continue
            origin_row = subscribers.row(flows.origin[row])
            if origin_row == MISSING or subscribers.data_centre[origin_row] == data_centre:
                keys += flows.key[row].to_bytes(8, "little")
        return bytes(keys)

    def _send_due_reports(self, now: int) -> None:
        state = self._state
        subscribers = state.subscribers
        in_flight = state.load(now) + len(state.held_openings)
        in_flight += state.failures.extra_load(state.slots, now)
        for row in subscribers.rows():
            if now - subscribers.renewed_at[row] > SUBSCRIBER_EXPIRY_MS:
                subscribers.remove(subscribers.key[row])
            elif now - subscribers.full_report_sent_at[row] >= self._heartbeat_interval_ms(
                row, now
            ):
                self._send_report(row, in_flight, now)
            elif now - subscribers.sent_at[row] >= self._change_interval_ms(row, in_flight, now):
                self._send_load_report(row, in_flight, now)

    def _heartbeat_interval_ms(self, row: int, now: int) -> int:
        """Returns the time between two full reports to a balancer, in ms."""
        subscribers = self._state.subscribers
        if not subscribers.is_subscribed(row, now):
            return EXPIRED_REPORT_INTERVAL_MS
        if subscribers.reported_health[row] != self._state.health:
            return 0
        return (
            REPORT_INTERVAL_MS if subscribers.is_recent_user(row, now) else IDLE_REPORT_INTERVAL_MS
        )

    def _change_interval_ms(self, row: int, in_flight: int, now: int) -> int:
        """Returns the time between two reports of changes to a balancer, in ms."""
        state = self._state
        subscribers = state.subscribers
        interval_ms = MIN_OPENED_INTERVAL_MS if subscribers.opened[row] else IDLE_REPORT_INTERVAL_MS
        if in_flight != subscribers.reported_in_flight[row] and subscribers.is_recent_user(
            row, now
        ):
            is_same_data_centre = subscribers.data_centre[row] == state.data_centre
            interval_ms = (
                MIN_CHANGE_INTERVAL_MS if is_same_data_centre else MIN_REMOTE_CHANGE_INTERVAL_MS
            )
        return interval_ms

    def _send_load_report(self, row: int, in_flight: int, now: int) -> None:
        opened, closed = self._pop_report_keys(row, in_flight, now)
        learned = self._state.learned_values(now)
        report = LoadReport(in_flight, self._state.open_flows, opened, closed, *learned)
        self._state.send(self._state.subscribers.key[row], report)

    def _send_report(self, row: int, in_flight: int, now: int) -> None:
        state = self._state
        opened, closed = self._pop_report_keys(row, in_flight, now)
        state.subscribers.full_report_sent_at[row] = now
        state.subscribers.reported_health[row] = state.health
        service_ms, concurrency = state.learned_values(now)
        report = Report(
            state.incarnation,
            state.service,
            state.data_centre,
            state.settings.upstream[1],
            state.health,
            state.openings_limit.cold_ms(now),
            in_flight,
            state.open_flows,
            state.feeds.operator.revision,
            state.feeds.upstreams.revision,
            opened,
            closed,
            bool(state.subscribers.is_complete[row]),
            *state.feeds.eras(),
            service_ms=service_ms,
            concurrency=concurrency,
        )
        state.subscribers.is_complete[row] = False
        state.send(state.subscribers.key[row], report)

    def _pop_report_keys(self, row: int, in_flight: int, now: int) -> tuple[bytes, bytes]:
        """Removes and returns the keys for a report, and records that the report is sent.

        Returns:
            The packed keys of opened and of closed flows.
        """
        subscribers = self._state.subscribers
        opened, closed = subscribers.opened[row], subscribers.closed[row]
        limit = MAX_REPORT_KEYS * 8
        subscribers.opened[row] = opened[limit:]
        subscribers.closed[row] = closed[limit:]
        subscribers.sent_at[row] = now
        subscribers.reported_in_flight[row] = min(in_flight, 65_535)
        return opened[:limit], closed[:limit]
