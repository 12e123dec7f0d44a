"""Requests: claimed, queued and started within their deadline, at most once."""

__all__ = ["RequestIntakeSystem", "RequestSystem"]

from dataclasses import replace

from shallotshore.admission import may_accept, mismatch
from shallotshore.agent_messages import Attempt
from shallotshore.agent_state import AgentState
from shallotshore.agent_tables import ClaimingState, ClaimState, RequestState
from shallotshore.claiming import begin_claim, end_claim
from shallotshore.claims import REQUEST_LEASE, is_voided, live_holder
from shallotshore.codes import Code
from shallotshore.cursor import Cursor
from shallotshore.fair_queue import enqueue, next_queued
from shallotshore.messages import ClaimKind
from shallotshore.outcomes import (
    abandon,
    attempt_for,
    decline,
    decline_attempt,
    finish,
    forget,
    pass_attempt,
    replay,
)
from shallotshore.passing import next_candidate
from shallotshore.tables import MISSING
from shallotshore.upstream_link import restart_ramp
from shallotshore.upstream_messages import UpstreamCancel, UpstreamRequest

MAX_LIFETIME = 10_000  # ms; age plus budget of a request
LEAVING_GRACE = 1_500  # ms to start accepted requests; with the spread of a revision below 3 s
MAX_ASKERS = 16  # balancers' attempts attached to one request
MAX_STORED = 16 << 20  # bytes of stored answers
CANCEL_INTERVAL = 250  # ms between cancellations of a request that ran past its deadline
CANCEL_GRACE = 3_000  # ms after the deadline for which a silent request keeps its slot
SWEPT_ROWS = 16  # rows looked at for lapsed answers in one tick


class RequestIntakeSystem:
    """Takes attempts that balancers or other agents send."""

    __slots__ = ("_state",)

    def __init__(self, state: AgentState) -> None:
        self._state = state

    def run(self, now: int) -> None:
        """Runs the step at `now` (ms)."""
        for _, attempt in self._state.inbox.take(Attempt):
            _accept(self._state, attempt, now)


class RequestSystem:
    """Acts on decided claims, starts queued requests and ends expired ones."""

    __slots__ = ("_incarnation", "_passed", "_state", "_stored")

    def __init__(self, state: AgentState) -> None:
        self._state = state
        self._incarnation = 0
        self._stored = Cursor()
        self._passed = Cursor()

    def run(self, now: int) -> None:
        """Runs the step at `now` (ms)."""
        state = self._state
        if state.upstream.incarnation != self._incarnation:
            self._incarnation = state.upstream.incarnation
            _lose_running(state, now)
        for key in list(state.active):
            _step(state, key, now)
        _start_queued(state, now)
        self._sweep(now)

    def _sweep(self, now: int) -> None:
        requests, passed = self._state.requests, self._state.passed
        for row in self._stored.take(requests, SWEPT_ROWS):
            if requests.state[row] == RequestState.DONE and now >= requests.keep_until[row]:
                forget(self._state, row)
        for row in self._passed.take(passed, SWEPT_ROWS):
            if now >= passed.expires[row]:
                passed.remove(passed.key[row])


def _accept(state: AgentState, attempt: Attempt, now: int) -> None:
    state.note_revision(attempt.balancer, attempt.revision)
    refusal = mismatch(state, attempt)
    if refusal is not None and attempt.revision > state.catalog.revision:
        refusal = Code.NOT_READY  # what is believed here may be older than the attempt
    if refusal is not None:
        state.counters.add("attempts_refused")
        decline_attempt(state, attempt, refusal)
        return
    row = state.requests.row(attempt.key)
    if row != MISSING:
        _attach(state, row, attempt, now)
        return
    refusal = _refusal(state, attempt, now)
    if refusal is not None:
        decline_attempt(state, attempt, refusal)
    else:
        _take_or_pass(state, attempt, now)


def _attach(state: AgentState, row: int, attempt: Attempt, now: int) -> None:
    """Lets one more attempt wait for a request, or replays its stored answer."""
    requests = state.requests
    if requests.customer[row] != attempt.customer:
        state.counters.add("attempts_refused")
        decline_attempt(state, attempt, Code.WRONG_CUSTOMER)
        return
    asker = (attempt.balancer, attempt.attempt)
    if requests.state[row] == RequestState.DONE:
        replay(state, row, asker)
        return
    if asker in requests.askers[row]:
        return
    if len(requests.askers[row]) >= MAX_ASKERS:
        decline_attempt(state, attempt, Code.HELD)
        return
    requests.askers[row] += (asker,)
    state.counters.add("attempts_attached")


def _refusal(state: AgentState, attempt: Attempt, now: int) -> Code | None:
    """Returns why no agent may start an attempt, or None."""
    if attempt.age + attempt.budget > MAX_LIFETIME:
        return Code.DEADLINE_TOO_LONG
    if attempt.budget <= 0:
        return Code.DEADLINE_EXPIRED
    if not state.data_centre_in:
        return Code.DATA_CENTRE_OUT
    if is_voided(state, attempt.key, now):
        return Code.VOIDED
    cancelled = state.passed.row(attempt.attempt)
    if cancelled != MISSING and state.passed.upstream[cancelled] == 0:
        return Code.CANCELLED
    return None


def _take_or_pass(state: AgentState, attempt: Attempt, now: int) -> None:
    kept = live_holder(state, attempt.key, now)
    if kept is not None and kept[0] == ClaimState.HELD and not attempt.repeatable:
        _, holder = kept
        if holder != state.own and pass_attempt(state, attempt, holder, now):
            return
    follower = next_candidate(state, attempt)
    may_queue = follower is None or attempt.hops >= len(attempt.candidates)
    refusal = _no_room(state) or may_accept(state, attempt, may_queue, now)
    if refusal is None and _begin(state, attempt, now):
        return
    if follower is None:
        follower, attempt = _second_lap(state, attempt)
    if follower is None or not pass_attempt(state, attempt, follower, now):
        decline_attempt(state, attempt, refusal or Code.TABLE_FULL)


def _second_lap(state: AgentState, attempt: Attempt) -> tuple[int | None, Attempt]:
    """Returns the first candidate when all have been asked once for a free slot.

    In the second lap each may queue the request: with the queue of the last one alone, services
    of few slots declined requests at 70% load.
    """
    count = len(attempt.candidates)
    others = [u for u in attempt.candidates if u != state.own and state.is_reachable(u)]
    if attempt.hops >= count or not others:
        return None, attempt
    return others[0], replace(attempt, hops=count - 1)


def _no_room(state: AgentState) -> Code | None:
    is_full = state.requests.is_full or state.stored_bytes >= MAX_STORED
    return Code.TABLE_FULL if is_full else None


def _begin(state: AgentState, attempt: Attempt, now: int) -> bool:
    kind = ClaimKind.REPEATABLE_REQUEST if attempt.repeatable else ClaimKind.REQUEST
    deadline = now + attempt.budget
    if not begin_claim(state, attempt.key, kind, attempt.age, deadline, now):
        return False
    requests = state.requests
    row = requests.add(attempt.key)
    requests.state[row] = RequestState.CLAIMING
    requests.customer[row] = attempt.customer
    requests.deadline[row] = deadline
    requests.accepted[row] = now
    requests.attempt[row] = attempt
    requests.askers[row] = ((attempt.balancer, attempt.attempt),)
    state.work.claiming += 1
    state.active[attempt.key] = None
    return True


def _step(state: AgentState, key: int, now: int) -> None:
    """Moves one request that has not ended on."""
    requests = state.requests
    row = requests.row(key)
    if requests.state[row] == RequestState.RUNNING:
        _check_running(state, row, now)
    elif now >= requests.deadline[row]:
        decline(state, row, Code.DEADLINE_EXPIRED)
        abandon(state, row, now)
    elif not state.data_centre_in:
        decline(state, row, Code.DATA_CENTRE_OUT)
        abandon(state, row, now)
    elif state.phase.leaving_since and now - state.phase.leaving_since > LEAVING_GRACE:
        decline(state, row, Code.UPSTREAM_LEAVING)
        abandon(state, row, now)
    elif requests.state[row] == RequestState.CLAIMING:
        _settle(state, row, now)


def _settle(state: AgentState, row: int, now: int) -> None:
    """Queues a request whose claim is granted, or answers its attempts otherwise."""
    claiming, requests = state.claiming, state.requests
    key = requests.key[row]
    claim = claiming.row(key)
    decided, code, holder = claiming.state[claim], claiming.code[claim], claiming.holder[claim]
    if decided == ClaimingState.GRANTED:
        requests.round[row] = end_claim(state, key)
        requests.keep_until[row] = now + REQUEST_LEASE
        state.work.claiming -= 1
        state.work.queued += 1
        requests.state[row] = RequestState.QUEUED
        if not enqueue(state, requests.customer[row], key):
            decline(state, row, Code.TABLE_FULL)
            abandon(state, row, now)
    elif decided == ClaimingState.REFUSED:
        end_claim(state, key)
        _answer_refused(state, row, code, holder, now)
        forget(state, row)


def _answer_refused(state: AgentState, row: int, code: int, holder: int, now: int) -> None:
    """Passes the attempts of a refused claim to the holder of the key.

    A key held by this upstream under an earlier process of its agent may have run then.
    """
    requests = state.requests
    for asker in requests.askers[row]:
        attempt = attempt_for(state, row, asker, now)
        if code == Code.HELD and holder == state.own:
            replay(state, row, asker, Code.ANSWER_MISSING)
        elif code != Code.HELD or not pass_attempt(state, attempt, holder, now):
            decline_attempt(state, attempt, Code(code))


def _check_running(state: AgentState, row: int, now: int) -> None:
    """Notices a slow request, cancels it past its deadline and gives up on a silent upstream."""
    requests = state.requests
    if not requests.slow[row] and state.ramp.is_slow(now - requests.started[row]):
        requests.slow[row] = 1
        if state.ramp.note_slow(now):
            restart_ramp(state, now)
    late = now - requests.deadline[row]
    if late < 0:
        return
    if late >= CANCEL_GRACE:
        finish(state, row, Code.ANSWER_MISSING, now)
    elif requests.next_cancel[row] <= now:
        requests.next_cancel[row] = now + CANCEL_INTERVAL
        cancel = UpstreamCancel(requests.key[row], requests.round[row])
        state.outbox.send(state.config.local, cancel)


def _start_queued(state: AgentState, now: int) -> None:
    # Accepted requests are still started while the upstream leaves or the agent stops.
    while state.work.running < state.limit and state.is_upstream_ready(now):
        key = next_queued(state)
        if key is None:
            return
        _start(state, state.requests.row(key), now)


def _start(state: AgentState, row: int, now: int) -> None:
    requests = state.requests
    attempt = requests.attempt[row]
    assert attempt is not None
    requests.state[row] = RequestState.RUNNING
    requests.started[row] = now
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
    state.outbox.send(state.config.local, start)


def _lose_running(state: AgentState, now: int) -> None:
    """Ends what ran in an upstream incarnation that has ended: its outcome is unknown.

    What was sent just before the first sign of the new one may have reached it: it keeps its slot
    until an answer or its deadline, so that a cold upstream has no more in hand than it bears.
    """
    requests = state.requests
    for key in list(state.active):
        row = requests.row(key)
        is_lost = requests.started[row] < state.upstream.doubted_from
        if requests.state[row] == RequestState.RUNNING and is_lost:
            finish(state, row, Code.UPSTREAM_LOST, now)
