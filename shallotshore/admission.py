"""Limits new flows and requests by the cold-start ramp and the upstream's capacity."""

__all__ = [
    "AdmissionSystem",
    "find_flow_refusal",
    "find_mismatch",
    "find_new_work_refusal",
    "find_request_refusal",
]

from shallotshore.agent_messages import Attempt, Forward
from shallotshore.agent_state import AgentState
from shallotshore.codes import Code
from shallotshore.fair_queue import is_over_share
from shallotshore.messages import HealthState
from shallotshore.scheduling.admission import expected_wait_ms
from shallotshore.upstream_link import restart_ramp

# An agent that restarts beside a running upstream does not know which requests its predecessor
# has sent there. It starts no request until even a cold upstream has had time to complete them.
INHERITED_WORK_MS = 1_000


class AdmissionSystem:
    """Advances the cold-start ramp and sets the upstream's limit of concurrent requests."""

    __slots__ = ("_state", "_was_data_centre_in")

    def __init__(self, state: AgentState) -> None:
        self._state = state
        self._was_data_centre_in = True

    def run(self, now: int) -> None:
        """Runs this system in the tick at `now` (ms)."""
        state = self._state
        is_in = state.is_data_centre_in_service
        if is_in and not self._was_data_centre_in:
            restart_ramp(state, now)
        self._was_data_centre_in = is_in
        record = state.record
        if record is None:
            state.limit = 0
            return
        state.ramp.advance(record, now)
        may_have_inherited_work = now - state.phase.started < INHERITED_WORK_MS
        state.limit = 0 if may_have_inherited_work else state.ramp.limit(record)


def find_mismatch(state: AgentState, message: Forward | Attempt) -> Code | None:
    """Checks service and customer of a message against the agent's own catalog.

    The balancer that filled in the message may have a catalog of another revision. A message whose
    service or customer does not match must not reach the upstream.

    Returns:
        The code of the mismatch, or None.
    """
    if message.service != state.service:
        return Code.WRONG_SERVICE
    route = state.catalog.route(message.vip)
    if route is None:
        return Code.UNKNOWN_ADDRESS
    if route.service != state.service:
        return Code.WRONG_SERVICE
    record = state.record
    served = record is None or not record.customers or message.customer in record.customers
    return None if route.customer == message.customer and served else Code.WRONG_CUSTOMER


def find_new_work_refusal(state: AgentState, now: int) -> Code | None:
    """Returns why the upstream accepts no new work at all, or None if it accepts some."""
    if not state.is_data_centre_in_service:
        return Code.DATA_CENTRE_OUT
    if state.phase.stopping_since:
        return Code.STOPPING
    if state.leaving:
        return Code.UPSTREAM_LEAVING
    if not state.may_serve or state.phase.is_recovering or state.record is None:
        return Code.NOT_READY
    if state.health(now) not in (HealthState.UP, HealthState.COLD):
        return Code.NOT_READY
    return None


def find_request_refusal(
    state: AgentState, attempt: Attempt, may_queue: bool, now: int
) -> Code | None:
    """Returns why this agent does not accept a request, or None if it does.

    Args:
        state: State of the agent.
        attempt: The attempt to run the request.
        may_queue: Whether the request may wait in this agent's queue; it may when no candidate has
            a free slot.
        now: Monotonic time in milliseconds.
    """
    refusal = find_new_work_refusal(state, now)
    if refusal is not None:
        return refusal
    if state.work.accepted < state.limit:
        return None
    record = state.record
    is_cold = record is not None and state.limit < record.slots
    queue_limit = state.limit * state.catalog.queue_factor(state.service)
    is_full = state.work.accepted >= state.limit + queue_limit
    if not may_queue or is_full or _expected_wait_ms(state) >= attempt.budget:
        return Code.UPSTREAM_COLD if is_cold else Code.OVERLOADED
    return Code.FAIR_SHARE if is_over_share(state, attempt.customer, queue_limit) else None


def _expected_wait_ms(state: AgentState) -> float:
    """Returns how long (ms) a request accepted now is expected to wait for a slot."""
    service_ms = state.ramp.median_service_time()
    return expected_wait_ms(0, state.work.accepted, state.limit, service_ms)


def find_flow_refusal(state: AgentState, now: int) -> Code | None:
    """Returns why the upstream cannot take a new flow now, or None if it can."""
    refusal = find_new_work_refusal(state, now)
    record = state.record
    if refusal is not None or record is None:
        return refusal or Code.NOT_READY
    if len(state.flows) >= record.connections or state.flows.is_full:
        return Code.OVERLOADED
    return None if state.ramp.can_open(record, now) else Code.UPSTREAM_COLD
