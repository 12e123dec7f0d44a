"""How requests end at an agent: by an answer, a refusal, passing on or a cancellation."""

__all__ = [
    "AnswerSystem",
    "build_attempt",
    "decline_attempt",
    "decline_request",
    "finish_request",
    "pass_attempt",
    "remove_request",
    "remove_unstarted",
    "send_stored_answer",
]

from dataclasses import replace
from functools import singledispatch

from shallotshore.agent_messages import Attempt, AttemptAnswer, CancelAttempt, Cancelled, Declined
from shallotshore.agent_state import AgentState
from shallotshore.agent_tables import RequestState
from shallotshore.claiming import release_claim
from shallotshore.codes import Code
from shallotshore.messages import Address, Message
from shallotshore.passing import find_next_candidate, forward_to_peer
from shallotshore.tables import MISSING
from shallotshore.upstream_link import record_upstream_message, restart_ramp
from shallotshore.upstream_messages import UpstreamAnswer, UpstreamCancel

MAX_ANSWER_PARTS = 4_096  # 4 MB at 1 KB a part
PASSED_LIFETIME_MS = 10_000  # the longest lifetime of a request
NOT_STARTED_CODES = (Code.OVERLOADED, Code.CANCELLED)  # mean that the request was not started


class AnswerSystem:
    """Handles answers of the upstream, and cancellations and their acknowledgements."""

    __slots__ = ("_state",)

    def __init__(self, state: AgentState) -> None:
        self._state = state

    def run(self, now: int) -> None:
        """Runs the step at `now` (ms)."""
        for message_type in (UpstreamAnswer, CancelAttempt, Cancelled):
            for _, message in self._state.inbox.take(message_type):
                _handle(message, self._state, now)


@singledispatch
def _handle(message: Message, state: AgentState, now: int) -> None:
    raise TypeError(f"no handler for a message of type {type(message).__name__}")


@_handle.register
def _(message: UpstreamAnswer, state: AgentState, now: int) -> None:
    requests = state.requests
    row = requests.row(message.key)
    if not record_upstream_message(state, message.incarnation, now):
        return
    is_expected = row != MISSING and requests.state[row] == RequestState.RUNNING
    if not is_expected or requests.round[row] != message.attempt:
        state.counters.add("answers_late")
    elif requests.customer[row] != message.customer:
        state.counters.add("answers_of_wrong_customer")
    elif message.code == Code.OK:
        _record_part(state, row, message, now)
    elif message.code in NOT_STARTED_CODES:
        _handle_unstarted(state, row, Code(message.code), now)
    else:
        # A request that was cancelled or is past its deadline fails for that reason, so its failure
        # does not show that the upstream is failing.
        if not requests.cancelling[row] and now < requests.deadline[row]:
            _record_failure(state, now)
        finish_request(state, row, Code.UPSTREAM_FAILED, now)


@_handle.register
def _(message: CancelAttempt, state: AgentState, now: int) -> None:
    requests = state.requests
    row = requests.row(message.key)
    waiting_attempt = None if row == MISSING else _find_waiting_attempt(state, row, message.attempt)
    if waiting_attempt is None:
        _forward_cancel(state, message, now)
    elif requests.state[row] == RequestState.DONE:
        _send_cancelled(state, waiting_attempt, message.key, in_time=False)
    elif len(requests.waiting_attempts[row]) > 1:
        requests.waiting_attempts[row] = tuple(
            waiting for waiting in requests.waiting_attempts[row] if waiting != waiting_attempt
        )
        _send_cancelled(state, waiting_attempt, message.key, in_time=False)
    elif requests.state[row] == RequestState.RUNNING:
        requests.cancelling[row] = 1
        cancel = UpstreamCancel(message.key, requests.round[row])
        state.outbox.send(state.config.local_upstream, cancel)
    else:
        remove_unstarted(state, row, now)
        _send_cancelled(state, waiting_attempt, message.key, in_time=True)


@_handle.register
def _(message: Cancelled, state: AgentState, now: int) -> None:
    """Relays the reply of the agent to which a cancelled attempt was passed."""
    row = state.passed.row(message.attempt)
    balancer = None if row == MISSING else state.passed.balancer[row]
    if balancer is not None:
        state.outbox.send(balancer, message)


def _find_waiting_attempt(state: AgentState, row: int, attempt: int) -> tuple[Address, int] | None:
    for waiting_attempt in state.requests.waiting_attempts[row]:
        if waiting_attempt[1] == attempt:
            return waiting_attempt
    return None


def _send_cancelled(
    state: AgentState, waiting_attempt: tuple[Address, int], key: int, in_time: bool
) -> None:
    balancer, attempt = waiting_attempt
    state.outbox.send(balancer, Cancelled(key, attempt, state.own_id, in_time))


def _forward_cancel(state: AgentState, message: CancelAttempt, now: int) -> None:
    """Forwards a cancellation to the agent to which its attempt was passed.

    If the attempt has not arrived yet, records the cancellation, so that the attempt is refused
    when it arrives.
    """
    passed = state.passed
    row = passed.row(message.attempt)
    if row != MISSING and passed.upstream[row]:
        state.send_to_peer(passed.upstream[row], message)
        return
    row = passed.add(message.attempt)
    if row != MISSING:
        passed.expires_at[row] = now + PASSED_LIFETIME_MS


def pass_attempt(state: AgentState, attempt: Attempt, upstream: int, now: int) -> bool:
    """Passes an attempt on to another upstream's agent.

    Returns:
        False when the attempt has spent its budget or used up its hops, or the upstream is not
        reachable.
    """
    if attempt.budget <= 0 or not forward_to_peer(state, attempt, upstream):
        return False
    row = state.passed.add(attempt.attempt)
    if row != MISSING:
        state.passed.upstream[row] = upstream
        state.passed.balancer[row] = attempt.balancer
        state.passed.expires_at[row] = now + PASSED_LIFETIME_MS
    return True


def decline_attempt(state: AgentState, attempt: Attempt, code: Code) -> None:
    """Tells the balancer that sent an attempt that the request was not started."""
    _send_declined(state, (attempt.balancer, attempt.attempt), attempt.key, code)


def decline_request(state: AgentState, row: int, code: Code) -> None:
    """Tells the balancers that sent the attempts of a request that it was not started."""
    for waiting_attempt in state.requests.waiting_attempts[row]:
        _send_declined(state, waiting_attempt, state.requests.key[row], code)


def _send_declined(
    state: AgentState, waiting_attempt: tuple[Address, int], key: int, code: Code
) -> None:
    balancer, attempt = waiting_attempt
    state.counters.add("attempts_declined")
    declined = Declined(key, attempt, state.own_id, code, state.load(), state.catalog.revision)
    state.outbox.send(balancer, declined)


def remove_unstarted(state: AgentState, row: int, now: int) -> None:
    """Removes a request that was not started, and releases its claim."""
    key = state.requests.key[row]
    claim = state.claiming.row(key)
    round_number = state.requests.round[row] if claim == MISSING else state.claiming.round[claim]
    release_claim(state, key, round_number, now)
    remove_request(state, row)


def remove_request(state: AgentState, row: int) -> None:
    """Removes a request and its stored answer, and subtracts it from the counts of work."""
    requests = state.requests
    key = requests.key[row]
    _reduce_work_count(state, row)
    state.stored_bytes -= _answer_bytes(requests.answer[row])
    state.open_request_keys.pop(key, None)
    requests.remove(key)


def finish_request(state: AgentState, row: int, code: Code, now: int) -> None:
    """Ends a started request, answers all its attempts and stores the answer for later attempts."""
    requests = state.requests
    _reduce_work_count(state, row)
    requests.state[row] = RequestState.DONE
    requests.code[row] = code
    requests.attempt[row] = None
    state.open_request_keys.pop(requests.key[row], None)
    state.last_finished_at = now
    if code != Code.OK:
        state.stored_bytes -= _answer_bytes(requests.answer[row])
        requests.answer[row] = None
    state.counters.add("requests_done" if code == Code.OK else "requests_failed")
    for waiting_attempt in requests.waiting_attempts[row]:
        send_stored_answer(state, row, waiting_attempt)
        if requests.cancelling[row]:
            _send_cancelled(state, waiting_attempt, requests.key[row], in_time=False)


def send_stored_answer(
    state: AgentState, row: int, waiting_attempt: tuple[Address, int], code: Code | None = None
) -> None:
    """Sends the stored answer of a request to the balancer of an attempt.

    Args:
        state: State of the agent.
        row: Row of the request.
        waiting_attempt: Address of the balancer and id of its attempt.
        code: If given, replaces the stored code, and an empty answer replaces the stored answer.
    """
    requests = state.requests
    balancer, attempt = waiting_attempt
    stored = requests.answer[row] if code is None else None
    parts = stored if stored else {0: b""}
    for part, payload in sorted(parts.items()):
        answer = AttemptAnswer(
            key=requests.key[row],
            attempt=attempt,
            service=state.service,
            customer=requests.customer[row],
            upstream=state.own_id,
            code=requests.code[row] if code is None else code,
            part=part,
            parts=len(parts),
            checksum=requests.checksum[row],
            load=state.load(),
            payload=payload,
        )
        state.outbox.send(state.find_answer_address(balancer), answer)


def _record_part(state: AgentState, row: int, message: UpstreamAnswer, now: int) -> None:
    """Stores one part of an answer; ends the request once all parts have arrived."""
    requests = state.requests
    answer = requests.answer[row]
    assert answer is not None
    if not 0 <= message.part < message.parts <= MAX_ANSWER_PARTS:
        state.counters.add("answers_malformed")
        return
    if answer and (requests.parts[row], requests.checksum[row]) != (
        message.parts,
        message.checksum,
    ):
        state.counters.add("answers_malformed")
        return
    requests.parts[row] = message.parts
    requests.checksum[row] = message.checksum
    if message.part not in answer:
        answer[message.part] = message.payload
        state.stored_bytes += len(message.payload)
    if len(answer) < message.parts:
        return
    if not requests.was_slow[row]:
        state.ramp.record_success(now - requests.started_at[row])
    finish_request(state, row, Code.OK, now)


def _handle_unstarted(state: AgentState, row: int, code: Code, now: int) -> None:
    """Removes a request that the upstream did not start.

    Its attempts are passed on, or declined when that is impossible. If the request was cancelled,
    the cancellation is acknowledged instead.
    """
    requests = state.requests
    key = requests.key[row]
    waiting_attempts, is_cancelled = requests.waiting_attempts[row], requests.cancelling[row]
    attempts = [
        build_attempt(state, row, waiting_attempt, now) for waiting_attempt in waiting_attempts
    ]
    if code == Code.OVERLOADED:
        _record_failure(state, now)
    remove_unstarted(state, row, now)
    for attempt in attempts:
        next_upstream = find_next_candidate(state, attempt)
        if is_cancelled:
            _send_cancelled(state, (attempt.balancer, attempt.attempt), key, in_time=True)
        elif next_upstream is None or not pass_attempt(state, attempt, next_upstream, now):
            decline_attempt(state, attempt, code if attempt.budget > 0 else Code.DEADLINE_EXPIRED)


def build_attempt(
    state: AgentState, row: int, waiting_attempt: tuple[Address, int], now: int
) -> Attempt:
    """Returns the attempt that a waiting balancer sent, with its age and budget as of `now`."""
    attempt = state.requests.attempt[row]
    assert attempt is not None
    waited_ms = now - state.requests.accepted_at[row]
    return replace(
        attempt,
        balancer=waiting_attempt[0],
        attempt=waiting_attempt[1],
        age=attempt.age + waited_ms,
        budget=attempt.budget - waited_ms,
    )


def _record_failure(state: AgentState, now: int) -> None:
    if state.ramp.record_failure(now):
        restart_ramp(state, now)


def _reduce_work_count(state: AgentState, row: int) -> None:
    request_state = state.requests.state[row]
    if request_state == RequestState.CLAIMING:
        state.work.claiming -= 1
    elif request_state == RequestState.QUEUED:
        state.work.queued -= 1
    elif request_state == RequestState.RUNNING:
        state.work.running -= 1


def _answer_bytes(answer: dict[int, bytes] | None) -> int:
    return sum(len(payload) for payload in answer.values()) if answer else 0
