"""Runs callers' requests: sends attempts to upstreams, retries, and answers the callers.

When the attempts of a request end without an answer, a void (see `shallotshore.voids`) may prove
that the request was not run and never will be. Without this proof its outcome is unknown.
"""

__all__ = ["Dispatch"]

from functools import singledispatchmethod

from shallotshore.agent_messages import Attempt, AttemptAnswer, Cancelled, Declined
from shallotshore.balancer_state import BalancerState
from shallotshore.caller_messages import CallerAnswer, CallerCancel, CallerRequest
from shallotshore.candidates import Candidates
from shallotshore.codes import Code, Outcome
from shallotshore.hashing import request_key
from shallotshore.ingress import CallerPacket, Ingress
from shallotshore.messages import Message
from shallotshore.pending import PendingState
from shallotshore.placement import REQUEST_LIFETIME_MS
from shallotshore.request_lifecycle import RequestLifecycle
from shallotshore.request_queue import RequestQueue
from shallotshore.retries import MAX_ATTEMPTS, RetryBudget, backoff_ms
from shallotshore.tables import MISSING
from shallotshore.voids import VoidSystem

_HOP_DELAY_MS = 5  # one-way delay between data centres; subtracted from the budget of an attempt
_FIRST_RESEND_MS = 400  # far above a round trip; doubles with each resend
# Parts of an answer count as missing when none arrives for this long, which exceeds the jitter
# between parts that are sent together.
_PARTS_GAP_MS = 60
_PARTS_WAIT_MS = 120  # between requests for missing parts
_MAX_PART_REQUESTS = 8
_ATTEMPTED_STATES = (PendingState.RUNNING, PendingState.RECEIVING_PARTS)
_MAX_UNANSWERED_SENDS = 3
_QUEUE_SCAN_INTERVAL_MS = 5
# Queued requests examined per service in one scan; enough to find one behind the requests of
# customers that exceed their share.
_MAX_SCANNED_REQUESTS = 64
_MAX_SCAN_REFUSALS = 2  # after so many requests without room, the rest of the queue is not tried
_WITNESS_RETRY_MS = 100
_ROOM_CODES = (Code.OVERLOADED, Code.UPSTREAM_COLD, Code.FAIR_SHARE)
_ROOM_WAIT_DIVISOR = 4
# Refusals by the witnesses of a request's key. Such a refusal does not depend on the upstream that
# claims the key, so that an immediate attempt at another upstream would be refused too.
_WITNESS_CODES = (Code.NO_QUORUM, Code.TOO_YOUNG)
_HELD_RETRY_MS = 50
_REFUSAL_PROOF_MS = 200  # time for the proof that a request refused on arrival was not run
_BUDGET_RETRY_MS = 100  # a third of the time in which the budget's minimum rate earns one retry


class Dispatch:
    """System that runs callers' requests at upstreams, at most once unless they are repeatable."""

    __slots__ = (
        "_budget",
        "_candidates",
        "_handle",
        "_ingress",
        "_lifecycle",
        "_queue",
        "_queue_scanned_at",
        "_state",
        "_voids",
        "pending",
    )

    def __init__(
        self, state: BalancerState, ingress: Ingress, candidates: Candidates, voids: VoidSystem
    ) -> None:
        self._state = state
        self._ingress = ingress
        self._candidates = candidates
        self._voids = voids
        self._budget = RetryBudget()
        self._queue = RequestQueue()
        self._queue_scanned_at = 0
        self._lifecycle = RequestLifecycle(state, voids)
        self.pending = self._lifecycle.pending
        # The method is stored, since each access to a singledispatchmethod builds a new function.
        self._handle = self._handle_caller_message

    @property
    def open_requests(self) -> int:
        """Number of requests whose callers wait for an answer."""
        return self._lifecycle.open_requests

    def run(self, now: int) -> None:
        """Handles agents' answers, ended voids, callers' messages, and due or queued requests."""
        inbox = self._state.inbox
        for _, answer in inbox.take(AttemptAnswer):
            self._handle_answer(answer, now)
        for source, declined in inbox.take(Declined):
            self._state.record_peer_revision(source, declined.revision, now)
            self._handle_declined(declined, now)
        for _, cancelled in inbox.take(Cancelled):
            self._handle_cancelled(cancelled, now)
        self._handle_void_results(now)
        for packet in self._ingress.requests:
            self._handle(packet.message, packet, now)
        for row in self.pending.pop_due(now):
            self._handle_due(row, now)
        self._start_queued(now)

    # Messages of callers.

    @singledispatchmethod
    def _handle_caller_message(self, message: Message, packet: CallerPacket, now: int) -> None:
        self._state.counters.add("requests.unexpected")

    @_handle_caller_message.register
    def _handle_request(self, message: CallerRequest, packet: CallerPacket, now: int) -> None:
        key = request_key(packet.vip, message.request)
        row = self.pending.row(key)
        if row != MISSING:
            self._lifecycle.attach_caller(row, packet.caller)
            return
        self._state.counters.add("requests.fresh")
        row = self.pending.add(key)
        if row == MISSING:
            self._state.counters.add("requests.table_full")
            self._send_outcome(packet, message.request, Outcome.UNKNOWN, Code.TABLE_FULL)
            return
        self._fill_row(row, message, packet, now)
        self._budget.record_request(packet.customer, packet.service, now)
        if message.age + message.budget > REQUEST_LIFETIME_MS:
            self.pending.deadline[row] = now + _REFUSAL_PROOF_MS
            self._lifecycle.stop_attempts(row, Code.DEADLINE_TOO_LONG, now)
        elif not self._may_start(row) and not self._lifecycle.shares.may_wait(
            packet.customer, packet.service
        ):
            self._lifecycle.stop_attempts(row, Code.FAIR_SHARE, now)
        else:
            self._start(row, now)

    @_handle_caller_message.register
    def _handle_cancel(self, message: CallerCancel, packet: CallerPacket, now: int) -> None:
        row = self.pending.row(request_key(packet.vip, message.request))
        if row == MISSING or self.pending.state[row] == PendingState.FINISHED:
            self._state.counters.add("requests.cancel_unmatched")
            return
        if self.pending.cancelled[row]:
            return
        self._state.counters.add("requests.cancelled")
        self.pending.cancelled[row] = 1
        self._leave_queue(row)
        self._lifecycle.stop_attempts(row, Code.CANCELLED, now)

    def _fill_row(self, row: int, message: CallerRequest, packet: CallerPacket, now: int) -> None:
        pending = self.pending
        pending.service[row] = packet.service
        pending.customer[row] = packet.customer
        pending.repeatable[row] = message.repeatable
        pending.arrived_at[row] = now
        pending.deadline[row] = now + max(0, message.budget)
        pending.age[row] = max(0, message.age)
        pending.request_id[row] = message.request
        pending.payload[row] = message.payload
        pending.caller[row] = packet.caller
        pending.vip[row] = packet.vip
        self._lifecycle.open_request(row)

    def _send_outcome(
        self, packet: CallerPacket, request: bytes, outcome: Outcome, code: Code
    ) -> None:
        answer = CallerAnswer(request, outcome, code, 0, 1, 0, b"")
        self._state.answer(packet.caller, packet.vip, answer)

    # Attempts.

    def _may_start(self, row: int) -> bool:
        return self._lifecycle.shares.may_start(
            self.pending.customer[row], self.pending.service[row]
        )

    def _start(self, row: int, now: int) -> None:
        """Sends an attempt, or queues the request if upstreams or the customer's share are full."""
        pending = self.pending
        if now >= self._lifecycle.void_due_at(row):
            self._lifecycle.stop_attempts(row, Code.DEADLINE_EXPIRED, now)
        elif self._queue.has_requests(pending.service[row]) or not self._try_start(row, now):
            self._lifecycle.set_state(row, PendingState.WAITING)
            if pending.state[row] == PendingState.WAITING:
                self._queue.insert(pending.service[row], pending.arrived_at[row], pending.key[row])
                pending.schedule(row, self._lifecycle.void_due_at(row))

    def _start_queued(self, now: int) -> None:
        """Starts the queued requests for which there is room, oldest first."""
        if now - self._queue_scanned_at < _QUEUE_SCAN_INTERVAL_MS:
            return
        self._queue_scanned_at = now
        pending = self.pending
        for service in self._queue.services():
            refusals = 0
            for arrived, key in self._queue.oldest(service, _MAX_SCANNED_REQUESTS):
                row = pending.row(key)
                if row == MISSING or pending.state[row] != PendingState.WAITING:
                    # A late answer to an earlier attempt has ended the request.
                    self._queue.remove(service, arrived, key)
                elif self._may_start(row) and not self._try_start(row, now):
                    refusals += 1
                if refusals >= _MAX_SCAN_REFUSALS:
                    break

    def _leave_queue(self, row: int) -> None:
        pending = self.pending
        self._queue.remove(pending.service[row], pending.arrived_at[row], pending.key[row])

    def _try_start(self, row: int, now: int) -> bool:
        """Sends an attempt when there is room.

        Returns:
            Whether the request has left the queue: an attempt was sent, or no upstream is left.
        """
        pending = self.pending
        if self._state.is_suspended or not self._may_start(row):
            return False
        chosen = self._candidates.for_request(
            pending.service[row], pending.customer[row], pending.tried_upstreams[row], now
        )
        if not chosen:
            self._leave_queue(row)
            self._lifecycle.stop_attempts(row, Code.NO_UPSTREAM, now)
            return True
        if self._state.loads.is_queue_nearly_full(chosen[0], pending.attempt_count[row], now):
            # By recent reports, all upstreams are full. Waiting here costs neither an attempt nor a
            # message. The more attempts were made, the more places must be free before the next
            # one, since other balancers compete for the last places.
            self._state.counters.add("requests.wait_for_room")
            return False
        self._leave_queue(row)
        self._send_first(row, chosen, now)
        return True

    def _send_first(self, row: int, chosen: tuple[int, ...], now: int) -> None:
        pending = self.pending
        pending.attempt_id[row] = self._state.rng.getrandbits(64)
        pending.attempt_ids[row] += (pending.attempt_id[row],)
        pending.candidates[row] = chosen
        pending.attempt_count[row] += 1
        pending.resends[row] = 0
        pending.sent_at[row] = now
        pending.upstream[row] = chosen[0]
        self._state.loads.record_request_start(chosen[0])
        self._lifecycle.set_state(row, PendingState.RUNNING)
        self._send_attempt(row, now)

    def _send_attempt(self, row: int, now: int) -> None:
        pending = self.pending
        state = self._state
        elapsed = now - pending.arrived_at[row]
        attempt = Attempt(
            pending.key[row],
            pending.attempt_id[row],
            pending.service[row],
            pending.customer[row],
            self._is_sent_as_repeatable(row),
            pending.age[row] + elapsed + _HOP_DELAY_MS,
            max(0, pending.deadline[row] - now - _HOP_DELAY_MS),
            pending.caller[row],
            pending.vip[row],
            state.address,
            pending.candidates[row],
            0,
            state.catalog.revision,
            pending.payload[row],
        )
        state.counters.add("attempts.sent")
        state.send_to_upstream(pending.candidates[row][0], attempt)
        resend_at = now + (_FIRST_RESEND_MS << pending.resends[row])
        pending.schedule(row, min(resend_at, self._lifecycle.void_due_at(row)))

    def _is_sent_as_repeatable(self, row: int) -> bool:
        """Returns whether an attempt is sent as repeatable, and so may run beside an earlier one.

        After a resend by the caller or by this balancer, an upstream may already run the request
        because of the earlier copy. The resend is sent as not repeatable: its claim is then
        refused, and the attempt is passed to the upstream that holds the earlier claim instead of
        starting another run.
        """
        pending = self.pending
        is_first_copy = pending.age[row] == 0 or pending.attempt_count[row] > 1
        return bool(pending.repeatable[row]) and is_first_copy and not pending.resends[row]

    def _plan_retry(self, row: int, reason: int, now: int) -> None:
        """Plans the next attempt after one was refused, failed or got no answer, or gives up."""
        pending = self.pending
        self._lifecycle.remove_load(row)
        pending.reason[row] = reason
        if pending.attempt_count[row] >= MAX_ATTEMPTS or now >= self._lifecycle.void_due_at(row):
            self._lifecycle.stop_attempts(row, reason, now)
            return
        if not self._budget.spend_retry(pending.customer[row], pending.service[row], now):
            self._state.counters.add("retries.refused")
            pending.reason[row] = Code.RETRY_BUDGET_SPENT
            self._lifecycle.set_state(row, PendingState.WAITING)
            pending.schedule(row, now + _BUDGET_RETRY_MS)
            return
        self._state.counters.add("retries.planned")
        if reason not in _WITNESS_CODES and self._has_untried(row, now):
            self._start(row, now)
            return
        pending.tried_upstreams[row] = ()
        self._lifecycle.set_state(row, PendingState.WAITING)
        delay = backoff_ms(pending.attempt_count[row], self._state.rng)
        if reason in _WITNESS_CODES:
            delay += _WITNESS_RETRY_MS
        elif reason in _ROOM_CODES:
            # Every upstream is full: spread the remaining attempts over the remaining time.
            remaining_ms = pending.deadline[row] - now
            delay += self._state.rng.randint(0, max(0, remaining_ms // _ROOM_WAIT_DIVISOR))
        pending.schedule(row, now + delay)

    def _has_untried(self, row: int, now: int) -> bool:
        pending = self.pending
        tried = pending.tried_upstreams[row]
        chosen = self._candidates.for_request(
            pending.service[row], pending.customer[row], tried, now
        )
        return bool(chosen) and chosen[0] not in tried

    def _handle_due(self, row: int, now: int) -> None:
        state = self.pending.state[row]
        if state == PendingState.FINISHED:
            self._lifecycle.remove_finished(row)
        elif state == PendingState.WAITING:
            self._leave_queue(row)
            self._resume_waiting(row, now)
        elif state == PendingState.RUNNING:
            self._handle_silence(row, now)
        elif state == PendingState.RECEIVING_PARTS:
            self._request_parts(row, now)
        elif now >= self.pending.deadline[row]:
            self._lifecycle.finish_unknown(row, now)
        else:
            self._lifecycle.await_outcome(row, now)

    def _resume_waiting(self, row: int, now: int) -> None:
        """Resumes a request that waited for its turn, a backoff or the retry budget."""
        if self.pending.reason[row] == Code.RETRY_BUDGET_SPENT:
            self._plan_retry(row, Code.RETRY_BUDGET_SPENT, now)
        else:
            self._start(row, now)

    def _handle_silence(self, row: int, now: int) -> None:
        """Resends an attempt that got no answer, or plans an attempt at another upstream."""
        pending = self.pending
        state = self._state
        if now >= self._lifecycle.void_due_at(row):
            self._lifecycle.stop_attempts(row, Code.DEADLINE_EXPIRED, now)
            return
        upstream = pending.upstream[row]
        excluded = state.exclusions.for_new_work(pending.service[row])
        if not state.loads.has_reported_since(upstream, pending.sent_at[row]):
            state.counters.add("attempts.unanswered")
            state.health.record_unanswered(upstream, pending.service[row], now)
            is_silent = pending.resends[row] + 1 >= _MAX_UNANSWERED_SENDS
            if upstream in excluded or is_silent:
                pending.tried_upstreams[row] += (upstream,)
                self._plan_retry(row, Code.ANSWER_MISSING, now)
                return
        pending.resends[row] = min(pending.resends[row] + 1, 5)
        state.counters.add("attempts.resent")
        self._send_attempt(row, now)

    # Messages of agents.

    def _handle_answer(self, answer: AttemptAnswer, now: int) -> None:
        state = self._state
        pending = self.pending
        view = state.catalog.upstream(answer.upstream)
        if view is None or view.service != answer.service:
            state.counters.add("answers.mismatched")
            return
        state.record_agent_message(answer.upstream, now)
        state.loads.record_load_report(answer.upstream, answer.load, now)
        row = pending.row(answer.key)
        if row == MISSING or pending.state[row] == PendingState.FINISHED:
            state.counters.add("answers.late")
            return
        if (
            answer.attempt not in pending.attempt_ids[row]
            or answer.service != pending.service[row]
            or answer.customer != pending.customer[row]
        ):
            state.counters.add("answers.crossed")
            return
        if answer.code != Code.OK:
            self._handle_failure(row, answer, now)
        elif not self._lifecycle.record_answer_part(row, answer, now):
            self._expect_parts(row, answer, now)

    def _expect_parts(self, row: int, answer: AttemptAnswer, now: int) -> None:
        """Schedules a request for the missing parts, to the upstream that has answered."""
        pending = self.pending
        if answer.attempt != pending.attempt_id[row] or pending.state[row] not in _ATTEMPTED_STATES:
            return
        if pending.state[row] == PendingState.RUNNING:
            pending.resends[row] = 0
            self._lifecycle.set_state(row, PendingState.RECEIVING_PARTS)
        others = tuple(other for other in pending.candidates[row] if other != answer.upstream)
        pending.candidates[row] = (answer.upstream, *others)
        pending.schedule(row, min(now + _PARTS_GAP_MS, self._lifecycle.void_due_at(row)))

    def _request_parts(self, row: int, now: int) -> None:
        """Requests missing parts by resending the attempt.

        After `_MAX_PART_REQUESTS` resends, a repeatable request is tried at another upstream.
        """
        pending = self.pending
        if now >= self._lifecycle.void_due_at(row):
            self._lifecycle.stop_attempts(row, Code.ANSWER_INCOMPLETE, now)
        elif pending.resends[row] >= _MAX_PART_REQUESTS and pending.repeatable[row]:
            pending.tried_upstreams[row] += pending.candidates[row][:1]
            self._plan_retry(row, Code.ANSWER_INCOMPLETE, now)
        else:
            self._state.counters.add("answers.parts_missing")
            pending.resends[row] = min(pending.resends[row] + 1, _MAX_PART_REQUESTS)
            self._send_attempt(row, now)
            pending.schedule(row, min(now + _PARTS_WAIT_MS, self._lifecycle.void_due_at(row)))

    def _handle_failure(self, row: int, answer: AttemptAnswer, now: int) -> None:
        """Handles an answer which says that the request was started and has failed."""
        pending = self.pending
        if answer.attempt != pending.attempt_id[row]:
            self._state.counters.add("answers.late")
            return
        self._state.counters.add("attempts.failed")
        may_repeat = pending.repeatable[row] and not pending.cancelled[row]
        if may_repeat and pending.state[row] in _ATTEMPTED_STATES:
            pending.tried_upstreams[row] += (answer.upstream,)
            self._plan_retry(row, answer.code, now)
            return
        self._lifecycle.finish_without_answer(row, Outcome.UNKNOWN, answer.code, now)

    def _handle_declined(self, declined: Declined, now: int) -> None:
        state = self._state
        pending = self.pending
        if state.catalog.upstream(declined.upstream) is not None:
            state.record_agent_message(declined.upstream, now)
            state.loads.record_load_report(declined.upstream, declined.load, now)
        row = pending.row(declined.key)
        if (
            row == MISSING
            or pending.attempt_id[row] != declined.attempt
            or pending.state[row] != PendingState.RUNNING
        ):
            state.counters.add("declines.late")
            return
        state.counters.add("declines")
        pending.tried_upstreams[row] += pending.candidates[row]
        if declined.code in _ROOM_CODES:
            self._record_full(row, now)
        if declined.code == Code.VOIDED:
            self._lifecycle.stop_attempts(row, pending.reason[row] or Code.VOIDED, now)
            return
        self._plan_retry(row, declined.code, now)

    def _record_full(self, row: int, now: int) -> None:
        """Records that no candidate had room: each has passed the attempt on or refused it."""
        state = self._state
        for upstream in self.pending.candidates[row]:
            view = state.catalog.upstream(upstream)
            if view is not None:
                state.loads.record_full(upstream, view.slots, now)

    def _handle_cancelled(self, cancelled: Cancelled, now: int) -> None:
        row = self.pending.row(cancelled.key)
        if row == MISSING or self.pending.attempt_id[row] != cancelled.attempt:
            return
        # A void decides the outcome, since only a void covers the attempts of all balancers.
        counter = "cancels.in_time" if cancelled.in_time else "cancels.too_late"
        self._state.counters.add(counter)

    # Ended voids: the request can never start, or the void failed because an agent had claimed it.

    def _handle_void_results(self, now: int) -> None:
        for key in self._voids.voided_keys:
            row = self.pending.row(key)
            if row != MISSING and self.pending.state[row] == PendingState.VOIDING:
                self._lifecycle.finish_not_run(row, now)
        for key in self._voids.held_keys:
            row = self.pending.row(key)
            if row != MISSING and self.pending.state[row] == PendingState.VOIDING:
                self._retry_at_holder(row, now)

    def _retry_at_holder(self, row: int, now: int) -> None:
        """Plans another attempt after witnesses refused a void because the key is claimed.

        The attempt is passed to the holder of the claim, which can answer the request.
        """
        pending = self.pending
        if pending.cancelled[row] or now + _HELD_RETRY_MS >= self._lifecycle.void_due_at(row):
            return
        if pending.attempt_count[row] > MAX_ATTEMPTS:
            return
        self._voids.stop_void(pending.key[row])
        pending.tried_upstreams[row] = ()
        self._lifecycle.set_state(row, PendingState.WAITING)
        pending.schedule(row, now + _HELD_RETRY_MS)
