"""Requests at an agent: claims, queues and starts them, within their deadline and at most once."""

__all__ = ["RequestIntakeSystem", "RequestSystem"]

from dataclasses import replace

from shallotshore.admission import find_mismatch, find_request_refusal
from shallotshore.agent_messages import Attempt
from shallotshore.agent_state import AgentState
from shallotshore.agent_tables import ClaimingState, ClaimState, RequestState
from shallotshore.claiming import finish_claim, start_claim
from shallotshore.claims import REQUEST_LEASE_MS, find_claim_holder, is_voided
from shallotshore.codes import Code
from shallotshore.cursor import Cursor
from shallotshore.fair_queue import enqueue_request, pop_next_request
from shallotshore.messages import ClaimKind
from shallotshore.outcomes import (
    build_attempt,
    decline_attempt,
    decline_request,
    finish_request,
    pass_attempt,
    remove_request,
    remove_unstarted,
    send_stored_answer,
)
from shallotshore.passing import find_next_candidate
from shallotshore.tables import MISSING
from shallotshore.upstream_link import restart_ramp
from shallotshore.upstream_messages import UpstreamCancel, UpstreamRequest

MAX_REQUEST_LIFETIME_MS = 10_000  # age plus budget of a request
# Accepted requests may still start this long after their upstream begins to leave. Together with
# the time in which a revision spreads, this stays below 3 s.
LEAVING_GRACE_MS = 1_500
MAX_ATTEMPTS_PER_REQUEST = 16  # attempts that can wait for one run of a request
MAX_STORED_BYTES = 16 << 20  # total size of the stored answers
CANCEL_INTERVAL_MS = 250  # between resends of the cancellation of a request past its deadline
CANCEL_GRACE_MS = 3_000  # a request without an answer keeps its slot this long after its deadline
SWEPT_ROWS_PER_TICK = 16  # rows checked for expired answers


class RequestIntakeSystem:
    """Handles the attempts that balancers and other agents send."""

    __slots__ = ("_state",)

    def __init__(self, state: AgentState) -> None:
        self._state = state

    def run(self, now: int) -> None:
        """Runs the step at `now` (ms)."""
        for _, attempt in self._state.inbox.take(Attempt):
            _handle_attempt(self._state, attempt, now)


class RequestSystem:
    """Advances accepted requests: from claim to queue, to start, to end."""

    __slots__ = ("_incarnation", "_passed_cursor", "_state", "_stored_cursor")

    def __init__(self, state: AgentState) -> None:
        self._state = state
        self._incarnation = 0
        self._stored_cursor = Cursor()
        self._passed_cursor = Cursor()

    def run(self, now: int) -> None:
        """Runs the step at `now` (ms)."""
        state = self._state
        if state.upstream.incarnation != self._incarnation:
            self._incarnation = state.upstream.incarnation
            _end_lost_requests(state, now)
        for key in list(state.open_request_keys):
            _advance_request(state, key, now)
        _start_queued(state, now)
        self._expire_rows(now)

    def _expire_rows(self, now: int) -> None:
        requests, passed = self._state.requests, self._state.passed
        for row in self._stored_cursor.take(requests, SWEPT_ROWS_PER_TICK):
            if requests.state[row] == RequestState.DONE and now >= requests.keep_until[row]:
                remove_request(self._state, row)
        for row in self._passed_cursor.take(passed, SWEPT_ROWS_PER_TICK):
            if now >= passed.expires_at[row]:
                passed.remove(passed.key[row])


def _handle_attempt(state: AgentState, attempt: Attempt, now: int) -> None:
    state.record_peer_revision(attempt.balancer, attempt.revision)
    refusal = find_mismatch(state, attempt)
    if refusal is not None and attempt.revision > state.catalog.revision:
        refusal = Code.NOT_READY  # the records here are older than those that the balancer has used
    if refusal is not None:
        state.counters.add("attempts_refused")
        decline_attempt(state, attempt, refusal)
        return
    row = state.requests.row(attempt.key)
    if row != MISSING:
        _attach_attempt(state, row, attempt, now)
        return
    refusal = _find_refusal(state, attempt, now)
    if refusal is not None:
        decline_attempt(state, attempt, refusal)
    else:
        _accept_or_pass(state, attempt, now)


def _attach_attempt(state: AgentState, row: int, attempt: Attempt, now: int) -> None:
    """Attaches a further attempt to a known request.

    If the request has ended, sends the stored answer instead.
    """
    requests = state.requests
    if requests.customer[row] != attempt.customer:
        state.counters.add("attempts_refused")
        decline_attempt(state, attempt, Code.WRONG_CUSTOMER)
        return
    waiting_attempt = (attempt.balancer, attempt.attempt)
    if requests.state[row] == RequestState.DONE:
        send_stored_answer(state, row, waiting_attempt)
        return
    if waiting_attempt in requests.waiting_attempts[row]:
        return
    if len(requests.waiting_attempts[row]) >= MAX_ATTEMPTS_PER_REQUEST:
        decline_attempt(state, attempt, Code.HELD)
        return
    requests.waiting_attempts[row] += (waiting_attempt,)
    state.counters.add("attempts_attached")


def _find_refusal(state: AgentState, attempt: Attempt, now: int) -> Code | None:
    """Returns the code for which every agent must refuse an attempt's request, or None."""
    if attempt.age + attempt.budget > MAX_REQUEST_LIFETIME_MS:
        return Code.DEADLINE_TOO_LONG
    if attempt.budget <= 0:
        return Code.DEADLINE_EXPIRED
    if not state.is_data_centre_in_service:
        return Code.DATA_CENTRE_OUT
    if is_voided(state, attempt.key, now):
        return Code.VOIDED
    cancelled = state.passed.row(attempt.attempt)
    if cancelled != MISSING and state.passed.upstream[cancelled] == 0:
        return Code.CANCELLED
    return None


def _accept_or_pass(state: AgentState, attempt: Attempt, now: int) -> None:
    kept_claim = find_claim_holder(state, attempt.key, now)
    if kept_claim is not None and kept_claim[0] == ClaimState.HELD and not attempt.repeatable:
        _, holder = kept_claim
        if holder != state.own_id and pass_attempt(state, attempt, holder, now):
            return
    next_upstream = find_next_candidate(state, attempt)
    may_queue = next_upstream is None or attempt.hops >= len(attempt.candidates)
    refusal = _check_capacity(state) or find_request_refusal(state, attempt, may_queue, now)
    if refusal is None and _accept_request(state, attempt, now):
        return
    if next_upstream is None:
        next_upstream, attempt = _start_second_pass(state, attempt)
    if next_upstream is None or not pass_attempt(state, attempt, next_upstream, now):
        decline_attempt(state, attempt, refusal or Code.TABLE_FULL)


def _start_second_pass(state: AgentState, attempt: Attempt) -> tuple[int | None, Attempt]:
    """Starts a second pass over the candidates when none had a free slot in the first one.

    In the second pass each candidate may queue the request. When only the last candidate was
    allowed to, services with few slots declined requests at 70% load.

    Returns:
        The upstream to pass the attempt to, and the attempt with its hops set for the second pass;
        None and the attempt as it is when there is no second pass.
    """
    count = len(attempt.candidates)
    reachable = [u for u in attempt.candidates if u != state.own_id and state.is_reachable(u)]
    if attempt.hops >= count or not reachable:
        return None, attempt
    return reachable[0], replace(attempt, hops=count - 1)


def _check_capacity(state: AgentState) -> Code | None:
    is_full = state.requests.is_full or state.stored_bytes >= MAX_STORED_BYTES
    return Code.TABLE_FULL if is_full else None


def _accept_request(state: AgentState, attempt: Attempt, now: int) -> bool:
    kind = ClaimKind.REPEATABLE_REQUEST if attempt.repeatable else ClaimKind.REQUEST
    deadline = now + attempt.budget
    if not start_claim(state, attempt.key, kind, attempt.age, deadline, now):
        return False
    requests = state.requests
    row = requests.add(attempt.key)
    requests.state[row] = RequestState.CLAIMING
    requests.customer[row] = attempt.customer
    requests.deadline[row] = deadline
    requests.accepted_at[row] = now
    requests.attempt[row] = attempt
    requests.waiting_attempts[row] = ((attempt.balancer, attempt.attempt),)
    state.work.claiming += 1
    state.open_request_keys[attempt.key] = None
    return True


def _advance_request(state: AgentState, key: int, now: int) -> None:
    """Advances one request that has not ended."""
    requests = state.requests
    row = requests.row(key)
    if requests.state[row] == RequestState.RUNNING:
        _check_running(state, row, now)
    elif now >= requests.deadline[row]:
        decline_request(state, row, Code.DEADLINE_EXPIRED)
        remove_unstarted(state, row, now)
    elif not state.is_data_centre_in_service:
        decline_request(state, row, Code.DATA_CENTRE_OUT)
        remove_unstarted(state, row, now)
    elif state.phase.leaving_since and now - state.phase.leaving_since > LEAVING_GRACE_MS:
        decline_request(state, row, Code.UPSTREAM_LEAVING)
        remove_unstarted(state, row, now)
    elif requests.state[row] == RequestState.CLAIMING:
        _apply_claim_decision(state, row, now)


def _apply_claim_decision(state: AgentState, row: int, now: int) -> None:
    """Queues a request whose claim is granted, or answers its attempts when it is refused."""
    claiming, requests = state.claiming, state.requests
    key = requests.key[row]
    claim = claiming.row(key)
    decided, code, holder = claiming.state[claim], claiming.code[claim], claiming.holder[claim]
    if decided == ClaimingState.GRANTED:
        requests.round[row] = finish_claim(state, key)
        requests.keep_until[row] = now + REQUEST_LEASE_MS
        state.work.claiming -= 1
        state.work.queued += 1
        requests.state[row] = RequestState.QUEUED
        if not enqueue_request(state, requests.customer[row], key):
            decline_request(state, row, Code.TABLE_FULL)
            remove_unstarted(state, row, now)
    elif decided == ClaimingState.REFUSED:
        finish_claim(state, key)
        _answer_refused_claim(state, row, code, holder, now)
        remove_request(state, row)


def _answer_refused_claim(state: AgentState, row: int, code: int, holder: int, now: int) -> None:
    """Passes the attempts of a refused claim to the holder of the key, or declines them.

    If the key is held by this upstream itself, an earlier process of its agent made the claim and
    may have run the request; the answer to that run is missing.
    """
    requests = state.requests
    for waiting_attempt in requests.waiting_attempts[row]:
        attempt = build_attempt(state, row, waiting_attempt, now)
        if code == Code.HELD and holder == state.own_id:
            send_stored_answer(state, row, waiting_attempt, Code.ANSWER_MISSING)
        elif code != Code.HELD or not pass_attempt(state, attempt, holder, now):
            decline_attempt(state, attempt, Code(code))


def _check_running(state: AgentState, row: int, now: int) -> None:
    """Checks a running request.

    A slow request is reported to the ramp. From its deadline on, the request is cancelled; without
    an answer, it is ended `CANCEL_GRACE_MS` after its deadline.
    """
    requests = state.requests
    if not requests.was_slow[row] and state.ramp.is_slow(now - requests.started_at[row]):
        requests.was_slow[row] = 1
        if state.ramp.record_slow_request(now):
            restart_ramp(state, now)
    overdue_ms = now - requests.deadline[row]
    if overdue_ms < 0:
        return
    if overdue_ms >= CANCEL_GRACE_MS:
        finish_request(state, row, Code.ANSWER_MISSING, now)
    elif requests.next_cancel_at[row] <= now:
        requests.next_cancel_at[row] = now + CANCEL_INTERVAL_MS
        cancel = UpstreamCancel(requests.key[row], requests.round[row])
        state.outbox.send(state.config.local_upstream, cancel)


def _start_queued(state: AgentState, now: int) -> None:
    # Requests that were accepted are started even while the upstream leaves or the agent stops.
    while state.work.running < state.limit and state.is_upstream_ready(now):
        key = pop_next_request(state)
        if key is None:
            return
        _start(state, state.requests.row(key), now)


def _start(state: AgentState, row: int, now: int) -> None:
    requests = state.requests
    attempt = requests.attempt[row]
    assert attempt is not None
    requests.state[row] = RequestState.RUNNING
    requests.started_at[row] = now
    requests.answer[row] = {}
    state.work.queued -= 1
    state.work.running += 1
    state.counters.add("requests_started")
    start = UpstreamRequest(
        key=requests.key[row],
        attempt=requests.round[row],
        customer=requests.customer[row],
        budget=requests.deadline[row] - now,
        payload=attempt.payload,
    )
    state.outbox.send(state.config.local_upstream, start)


def _end_lost_requests(state: AgentState, now: int) -> None:
    """Ends the requests that ran in an upstream process that is gone; their outcome is unknown.

    A request that was sent shortly before the new process was first heard may have reached the new
    process. Such a request keeps its slot until its answer or deadline, so that the cold upstream
    is not overloaded.
    """
    requests = state.requests
    for key in list(state.open_request_keys):
        row = requests.row(key)
        is_lost = requests.started_at[row] < state.upstream.ambiguous_from
        if requests.state[row] == RequestState.RUNNING and is_lost:
            finish_request(state, row, Code.UPSTREAM_LOST, now)
