"""Heartbeats from watched upstreams, and health events from and to other balancers."""

__all__ = ["Watching"]

from array import array

from shallotshore.balancer_state import BalancerState
from shallotshore.control_messages import HealthEvent, Heartbeat
from shallotshore.messages import HealthState
from shallotshore.tables import MISSING, Table
from shallotshore.token_bucket import TokenBucket

_SILENCE_LIMIT_MS = 1_500  # three heartbeats
_CHECK_INTERVAL_MS = 100
# With n rows of health state, a refresh of the exclusions starts every n / 8 ms: thousands of rows,
# as after the loss of a data centre, are updated about once a second.
_REFRESHED_ROWS_PER_MS = 8
_SELF_SUSPICION_MS = 5_000  # how long silence of most upstreams puts this process's link in doubt
_FEW_WATCHED_UPSTREAMS = 2  # among so few upstreams, the loss of one is the loss of half
_RELAYS_PER_MS = 0.2  # 200 events a second: a few kilobytes a second to each of 16 children
_RELAY_BURST = 200.0
_EXPIRY_INTERVAL_MS = 1_000
_MAX_ROWS = 4_096


class WatchTable(Table):
    """Upstreams whose agents send heartbeats to this balancer.

    Columns:
        heard_at: Time of the last heartbeat in ms.
        incarnation: Agent incarnation of the last heartbeat.
        sequence: Sequence number of the last heartbeat.
        is_silent: 1 when the upstream has been published as DOWN for missing heartbeats.
    """

    __slots__ = ("heard_at", "incarnation", "is_silent", "sequence")

    heard_at: "array[int]"
    incarnation: "array[int]"
    is_silent: "array[int]"
    sequence: "array[int]"

    COLUMNS = {"heard_at": "q", "incarnation": "Q", "is_silent": "B", "sequence": "Q"}


class Watching:
    """System that turns heartbeats and silence into events, and relays the events of others."""

    __slots__ = (
        "_checked_at",
        "_expired_at",
        "_queued_relays",
        "_refreshed_at",
        "_relay_budget",
        "_self_suspected_since",
        "_state",
        "_watch",
    )

    def __init__(self, state: BalancerState) -> None:
        self._state = state
        self._watch = WatchTable(_MAX_ROWS)
        self._queued_relays: dict[int, bool] = {}
        self._relay_budget = TokenBucket(_RELAYS_PER_MS, _RELAY_BURST)
        self._checked_at = 0
        self._refreshed_at = 0
        self._expired_at = 0
        self._self_suspected_since = MISSING

    @property
    def doubts_itself(self) -> bool:
        """Whether more than half of the watched upstreams are silent.

        The cause may be this process's own link, so the upstreams are not published as DOWN at
        first.
        """
        return self._self_suspected_since != MISSING

    @property
    def watched(self) -> int:
        """Number of upstreams whose agents send heartbeats here."""
        return len(self._watch)

    def run(self, now: int) -> None:
        """Handles heartbeats and events; looks for silent upstreams ten times a second."""
        inbox = self._state.inbox
        for source, heartbeat in inbox.take(Heartbeat):
            self._state.record_peer_revision(source, heartbeat.revision, now)
            self._handle_heartbeat(heartbeat, now)
        for _, event in inbox.take(HealthEvent):
            self._handle_health_event(event, now)
        if now - self._checked_at >= _CHECK_INTERVAL_MS:
            self._checked_at = now
            self._publish_silent_upstreams(now)
        exclusions = self._state.exclusions
        if exclusions.is_refreshing:
            exclusions.refresh_slice(now)
        elif now - self._refreshed_at >= max(
            _CHECK_INTERVAL_MS, len(self._state.health) // _REFRESHED_ROWS_PER_MS
        ):
            self._refreshed_at = now
            exclusions.refresh_slice(now)
        if now - self._expired_at >= _EXPIRY_INTERVAL_MS:
            self._expired_at = now
            self._state.loads.expire_idle_rows(now)
        self._relay_events(now)

    def restart_silence_timers(self, now: int) -> None:
        """Measures silence from `now` (ms) on, after a pause in which no heartbeat was handled."""
        for row in self._watch.rows():
            self._watch.heard_at[row] = now

    def _handle_heartbeat(self, heartbeat: Heartbeat, now: int) -> None:
        state = self._state
        view = state.catalog.upstream(heartbeat.upstream)
        if view is None or view.service != heartbeat.service:
            state.counters.add("heartbeats.unknown_upstream")
            return
        row = self._watch.add(heartbeat.upstream)
        if row == MISSING:
            state.counters.add("heartbeats.table_full")
            return
        watch = self._watch
        version = (heartbeat.agent_incarnation, heartbeat.sequence)
        if version <= (watch.incarnation[row], watch.sequence[row]):
            state.counters.add("heartbeats.old")
            return
        watch.incarnation[row], watch.sequence[row] = version
        watch.heard_at[row] = now
        watch.is_silent[row] = 0
        state.record_agent_message(heartbeat.upstream, now)
        state.loads.record_load_report(heartbeat.upstream, heartbeat.load, now)
        health_row = state.health.row(heartbeat.upstream)
        known_state = HealthState.UP if health_row == MISSING else state.health.state[health_row]
        if known_state != heartbeat.state:
            self._publish_state(heartbeat.upstream, view.service, version, heartbeat.state, now)

    def _handle_health_event(self, event: HealthEvent, now: int) -> None:
        state = self._state
        view = state.catalog.upstream(event.upstream)
        if view is None:
            state.counters.add("events.unknown_upstream")
            return
        row = state.health.track(event.upstream, view.service)
        if row == MISSING:
            state.counters.add("events.table_full")
            return
        if self._contradicts_heartbeats(event):
            # Another balancer that watches the upstream has missed heartbeats that arrived here.
            watch_row = self._watch.row(event.upstream)
            version = (self._watch.incarnation[watch_row], self._watch.sequence[watch_row])
            state.counters.add("events.contradicted")
            self._publish_state(event.upstream, view.service, version, state.health.state[row], now)
            return
        if state.health.update_if_newer(row, event.incarnation, event.sequence, event.state, now):
            state.counters.add("events.accepted")
            self._queued_relays.setdefault(event.upstream, False)
        else:
            state.counters.add("events.old")

    def _contradicts_heartbeats(self, event: HealthEvent) -> bool:
        """Whether a DOWN event is refuted by heartbeats that have arrived here."""
        row = self._watch.row(event.upstream)
        if row == MISSING or self._watch.is_silent[row] or event.state != HealthState.DOWN:
            return False
        version = (self._watch.incarnation[row], self._watch.sequence[row])
        return version >= (event.incarnation, event.sequence)

    def _publish_state(
        self, upstream: int, service: int, version: tuple[int, int], health_state: int, now: int
    ) -> None:
        health = self._state.health
        row = health.track(upstream, service)
        if row == MISSING:
            return
        health.update_if_newer(row, version[0], version[1], health_state, now)
        self._state.counters.add("events.published")
        self._queued_relays[upstream] = True

    def _publish_silent_upstreams(self, now: int) -> None:
        watch = self._watch
        self._remove_unwatched()
        silent = [row for row in watch.rows() if now - watch.heard_at[row] > _SILENCE_LIMIT_MS]
        if self._suspects_itself(len(silent), now):
            return
        for row in silent:
            if not watch.is_silent[row]:
                watch.is_silent[row] = 1
                view = self._state.catalog.upstream(watch.key[row])
                if view is not None:
                    # The sequence number is one above the last heartbeat's, so that the event
                    # outranks the heartbeat.
                    version = (watch.incarnation[row], watch.sequence[row] + 1)
                    self._publish_state(
                        watch.key[row], view.service, version, HealthState.DOWN, now
                    )

    def _remove_unwatched(self) -> None:
        """Removes upstreams without a record and those that this balancer no longer watches."""
        state = self._state
        for row in self._watch.rows():
            upstream = self._watch.key[row]
            view = state.catalog.upstream(upstream)
            if view is None or not state.peers.is_parent(upstream, view.data_centre):
                self._watch.remove(upstream)

    def _suspects_itself(self, silent_count: int, now: int) -> bool:
        """Whether this process's own link, not the upstreams, may be the cause of the silence.

        Returns True when more than half of the watched upstreams are silent: for as long as no
        agent is heard at all, otherwise for 5 s. Among at most two watched upstreams, returns True
        only while no agent is heard.
        """
        if 2 * silent_count <= len(self._watch):
            self._self_suspected_since = MISSING
            return False
        hears_agents = now - self._state.agents_heard_at <= _SILENCE_LIMIT_MS
        if hears_agents and len(self._watch) <= _FEW_WATCHED_UPSTREAMS:
            self._self_suspected_since = MISSING
            return False
        if self._self_suspected_since == MISSING:
            self._self_suspected_since = now
            self._state.counters.add("health.self_suspected")
        return not hears_agents or now - self._self_suspected_since < _SELF_SUSPICION_MS

    def _relay_events(self, now: int) -> None:
        health = self._state.health
        while self._queued_relays and self._relay_budget.take(now):
            upstream = next(iter(self._queued_relays))
            is_origin = self._queued_relays.pop(upstream)
            row = health.row(upstream)
            if row == MISSING:
                continue
            event = HealthEvent(
                upstream,
                health.incarnation[row],
                health.sequence[row],
                HealthState(health.state[row]),
            )
            for target in self._state.peers.event_targets(is_origin):
                self._state.outbox.send(target, event)
