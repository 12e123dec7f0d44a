"""Health of the local upstream and detection of its restarts."""

__all__ = ["UpstreamLinkSystem", "record_upstream_data", "record_upstream_message", "restart_ramp"]

from shallotshore.agent_state import AgentState
from shallotshore.upstream_messages import UpstreamHealth, UpstreamProbe

# Work that is sent within this time after a restart of the upstream may reach the new process
# although the agent has not noticed the restart.
PROBE_INTERVAL_MS = 50


class UpstreamLinkSystem:
    """Probes the upstream and records the health that it reports."""

    __slots__ = ("_next_probe", "_state")

    def __init__(self, state: AgentState) -> None:
        self._state = state
        self._next_probe = 0

    def run(self, now: int) -> None:
        """Runs the step at `now` (ms)."""
        state = self._state
        for _, health in state.inbox.take(UpstreamHealth):
            if record_upstream_message(state, health.incarnation, now):
                state.upstream.ready = health.ready
        if now >= self._next_probe:
            self._next_probe = now + PROBE_INTERVAL_MS
            state.upstream.sequence += 1
            state.upstream.previous_probe_at = state.upstream.probed_at
            state.upstream.probed_at = now
            state.outbox.send(state.config.local_upstream, UpstreamProbe(state.upstream.sequence))


def record_upstream_message(state: AgentState, incarnation: int, now: int) -> bool:
    """Records the receipt of a message that names the upstream's incarnation.

    Args:
        state: State of the agent.
        incarnation: Incarnation that the message names.
        now: Monotonic time in milliseconds.

    Returns:
        False when the message is from an earlier incarnation.
    """
    upstream = state.upstream
    if incarnation < upstream.incarnation:
        state.counters.add("upstream_messages_late")
        return False
    if incarnation > upstream.incarnation:
        upstream.incarnation = incarnation
        upstream.ready = False  # until a health report of this incarnation says otherwise
        # The new process has not answered the previous probe, so it was started after that probe.
        upstream.ambiguous_from = max(upstream.confirmed_at, upstream.previous_probe_at)
        restart_ramp(state, now)
    upstream.heard_at = upstream.confirmed_at = now
    return True


def record_upstream_data(state: AgentState, now: int) -> None:
    """Records the receipt of an upstream's message that does not name the incarnation."""
    state.upstream.heard_at = now


def restart_ramp(state: AgentState, now: int) -> None:
    """Restarts the cold-start ramp; its cold limit holds for all work started from now on."""
    state.ramp.restart(now)
    record = state.record
    state.limit = 0 if record is None else state.ramp.limit(record)
    state.counters.add("ramps_started")
