"""Checks whether the VM of a silent agent is gone, by whether its network stack answers."""

from __future__ import annotations

__all__ = ["CHECK_TIMEOUT_MS", "CheckVm", "VmCheckSystem", "VmChecked", "is_gone"]

from typing import TYPE_CHECKING

from shallotshore.packets.hosts import host_text
from shallotshore.packets.vm_state import VmState
from shallotshore.tables import MISSING

if TYPE_CHECKING:
    from shallotshore.packets.balancer_state import BalancerState

CHECK_TIMEOUT_MS = 400  # a connection to a live VM takes one round trip, at most 30 ms
# A VM is checked after this silence of its agent. Agents that get new flows report every 250 ms.
MIN_CHECK_SILENCE_MS = 700
CHECK_INTERVAL_MS = 500
RUN_INTERVAL_MS = 50
MAX_STATE_AGE_MS = 1_500  # a VM may answer again some time after a check that failed
# An agent that does not run for this long does not merely restart.
MIN_ABSENT_SILENCE_MS = 3_000
# The agent of an upstream that has left answers a query within 30 ms while it runs.
MIN_DEPARTED_CHECK_SILENCE_MS = 300
# When an agent has been silent for this long and its VM does not answer either, clients should not
# wait for the flows of its upstream.
MIN_GONE_SILENCE_MS = 1_500


class CheckVm:
    """A request to the application object to check whether a VM answers.

    Attributes:
        host: IP address of the VM.
    """

    __slots__ = ("host",)

    def __init__(self, host: int) -> None:
        self.host = host


class VmChecked:
    """The result of a check.

    Attributes:
        host: IP address of the VM.
        state: How the VM reacted to a connection.
    """

    __slots__ = ("host", "state")

    def __init__(self, host: int, state: VmState) -> None:
        self.host = host
        self.state = state


def is_gone(state: BalancerState, row: int, now: int) -> bool:
    """Whether an agent is silent because its VM or its upstream is gone.

    The VM of an upstream that has left may run on for some time, without the agent's process. An
    agent whose process alone is away starts again, and its upstream may still hold flows.
    """
    upstreams = state.upstreams
    silence_ms = _silence_ms(state, row, now)
    has_left = upstreams.has_left(row, now)
    if silence_ms < (MIN_DEPARTED_CHECK_SILENCE_MS if has_left else MIN_CHECK_SILENCE_MS):
        return False
    state.queued_vm_checks.add(upstreams.key[row])
    if now - upstreams.vm_state_at[row] > MAX_STATE_AGE_MS:
        return False
    if upstreams.vm_state[row] == VmState.REFUSES:
        is_absent = silence_ms >= MIN_ABSENT_SILENCE_MS and upstreams.is_missing(row, now)
        return (has_left or is_absent) and state.feeds.upstreams.is_current(now)
    return upstreams.vm_state[row] == VmState.SILENT and silence_ms >= MIN_GONE_SILENCE_MS


def _silence_ms(state: BalancerState, row: int, now: int) -> int:
    """Returns for how long a message of an agent has been overdue, in ms.

    An agent sends reports while this balancer subscribes to them; any other agent sends nothing
    until it is queried about a flow.
    """
    upstreams = state.upstreams
    if upstreams.is_subscribed[row]:
        return now - max(upstreams.heard_at[row], upstreams.subscribed_since[row])
    if upstreams.queried_at[row] > upstreams.heard_at[row]:
        return now - upstreams.queried_at[row]
    return 0


class VmCheckSystem:
    """Checks the VMs of silent agents whose answers a search awaits."""

    __slots__ = ("_last_run_at", "_state")

    def __init__(self, state: BalancerState) -> None:
        self._state = state
        self._last_run_at = 0

    def run(self, now: int) -> None:
        """Runs the step at `now` (ms)."""
        for _, checked in self._state.inbox.take(VmChecked):
            self._handle_checked(checked, now)
        if now - self._last_run_at < RUN_INTERVAL_MS:
            return
        self._last_run_at = now
        state = self._state
        for host in state.queued_vm_checks:
            row = state.upstreams.row(host)
            if row != MISSING and now - state.upstreams.checked_at[row] >= CHECK_INTERVAL_MS:
                state.upstreams.checked_at[row] = now
                self._send_check(host)
        state.queued_vm_checks.clear()

    def _send_check(self, host: int) -> None:
        state = self._state
        state.outbox.send((host_text(host), state.node_port), CheckVm(host))
        state.counters.add("vms.checked")

    def _handle_checked(self, checked: VmChecked, now: int) -> None:
        upstreams = self._state.upstreams
        row = upstreams.row(checked.host)
        if row == MISSING:
            return
        if upstreams.vm_state[row] != checked.state:
            self._state.log.write(
                now,
                "vm_checked",
                upstream=host_text(checked.host),
                state=checked.state.name,
                silent_ms=_silence_ms(self._state, row, now),
            )
        upstreams.vm_state[row] = checked.state
        upstreams.vm_state_at[row] = now
