"""States of pending requests at a balancer, and the single outcome that each caller gets."""

__all__ = ["RequestLifecycle"]

from shallotshore.agent_messages import AttemptAnswer, CancelAttempt
from shallotshore.answers import AnswerParts
from shallotshore.balancer_state import BalancerState
from shallotshore.caller_messages import CallerAnswer
from shallotshore.codes import Code, Outcome
from shallotshore.messages import Address
from shallotshore.pending import PendingState, PendingTable
from shallotshore.placement import REQUEST_LIFETIME_MS
from shallotshore.shares import FairShare
from shallotshore.voids import VoidSystem

_CANCEL_RESEND_MS = 100
_FINISHED_RETENTION_MS = 1_000  # counted from the deadline; covers late resends of the caller
_MAX_VOID_MARGIN_MS = 200
_MAX_FINAL_BYTES = 8 << 20  # total size of the answers stored for resends of callers


class RequestLifecycle:
    """Moves pending requests between states and ends them.

    It updates the counts that depend on a request's state: the load of upstreams, the shares of
    customers and the number of open requests.

    Attributes:
        pending: Table of the requests.
        shares: Fair shares of the customers.
    """

    __slots__ = ("_final_bytes", "_open_count", "_parts", "_state", "_voids", "pending", "shares")

    def __init__(self, state: BalancerState, voids: VoidSystem) -> None:
        self._state = state
        self._voids = voids
        self._parts = AnswerParts()
        self._final_bytes = 0
        self._open_count = 0
        self.pending = PendingTable()
        self.shares = FairShare(state.catalog)

    @property
    def open_requests(self) -> int:
        """Number of requests whose callers wait for an answer."""
        return self._open_count

    def open_request(self, row: int) -> None:
        """Counts a request that was just added to the table."""
        self._open_count += 1
        self.set_state(row, PendingState.WAITING)

    def attach_caller(self, row: int, caller: Address) -> None:
        """Handles a caller's resend: sends the final answer again, or waits until there is one."""
        self._state.counters.add("requests.attached")
        self.pending.caller[row] = caller
        for answer in self.pending.final_answers[row]:
            self._state.answer(caller, self.pending.vip[row], answer)

    def record_answer_part(self, row: int, answer: AttemptAnswer, now: int) -> bool:
        """Records a part of an answer; ends the request when all parts have arrived.

        Returns:
            Whether the request has ended.
        """
        payloads = self._parts.add(answer)
        if payloads is None:
            self._state.counters.add("answers.parts_held")
            return False
        request = self.pending.request_id[row]
        answers = tuple(
            CallerAnswer(
                request, Outcome.DONE, Code.OK, part, len(payloads), answer.checksum, payload
            )
            for part, payload in enumerate(payloads)
        )
        self._finish(row, answers, now)
        return True

    def void_due_at(self, row: int) -> int:
        """Returns the time (ms) at which to start the proof that a request was not run.

        From then on, enough time remains for the proof before the request's deadline.
        """
        pending = self.pending
        budget = pending.deadline[row] - pending.arrived_at[row]
        return pending.deadline[row] - min(_MAX_VOID_MARGIN_MS, budget // 4)

    def stop_attempts(self, row: int, reason: int, now: int) -> None:
        """Stops the attempts of a request and starts the proof that it was not run.

        Args:
            row: Row of the request.
            reason: Code to report with the outcome "not run".
            now: Time in ms.
        """
        pending = self.pending
        pending.reason[row] = reason
        self.set_state(row, PendingState.VOIDING)
        age = pending.age_at(row, now)
        if age <= REQUEST_LIFETIME_MS:
            self._voids.start_void(pending.key[row], pending.service[row], age, now)
        self.await_outcome(row, now)

    def await_outcome(self, row: int, now: int) -> None:
        """Schedules the next step of a request that awaits a late answer or a proof.

        The proof is that the request was not run. If the request is cancelled, its cancellation is
        sent again.
        """
        pending = self.pending
        if pending.cancelled[row] and pending.attempt_ids[row]:
            for upstream in pending.candidates[row]:
                cancel = CancelAttempt(pending.key[row], pending.attempt_id[row])
                self._state.send_to_upstream(upstream, cancel)
            pending.schedule(row, min(now + _CANCEL_RESEND_MS, pending.deadline[row]))
            return
        pending.schedule(row, max(pending.deadline[row], now))

    def finish_not_run(self, row: int, now: int) -> None:
        """Ends a request that was proven not to have been run."""
        reason = self.pending.reason[row]
        code = reason if 200 <= reason < 300 else Code.DEADLINE_EXPIRED
        self.finish_without_answer(row, Outcome.NOT_RUN, code, now)

    def finish_unknown(self, row: int, now: int) -> None:
        """Ends a request that has neither an answer nor a proof at its deadline."""
        code = Code.ANSWER_MISSING
        if self._parts.has_parts(self.pending.key[row]):
            code = Code.ANSWER_INCOMPLETE
        self.finish_without_answer(row, Outcome.UNKNOWN, code, now)

    def finish_without_answer(self, row: int, outcome: Outcome, code: int, now: int) -> None:
        """Ends a request without an answer of an upstream."""
        answer = CallerAnswer(self.pending.request_id[row], outcome, code, 0, 1, 0, b"")
        self._finish(row, (answer,), now)

    def _finish(self, row: int, answers: tuple[CallerAnswer, ...], now: int) -> None:
        pending = self.pending
        self._state.counters.add(f"outcomes.{Outcome(answers[0].outcome).name.lower()}")
        for answer in answers:
            self._state.answer(pending.caller[row], pending.vip[row], answer)
        key = pending.key[row]
        self._voids.stop_void(key)
        self._parts.remove_parts(key)
        self.set_state(row, PendingState.FINISHED)
        self._open_count -= 1
        pending.payload[row] = b""
        size_bytes = sum(len(answer.payload) for answer in answers)
        if self._final_bytes + size_bytes > _MAX_FINAL_BYTES:
            self.remove_finished(row)
            return
        self._final_bytes += size_bytes
        pending.final_answers[row] = answers
        pending.schedule(row, max(now, pending.deadline[row]) + _FINISHED_RETENTION_MS)

    def remove_finished(self, row: int) -> None:
        """Removes a request that has ended."""
        pending = self.pending
        self._final_bytes -= sum(len(answer.payload) for answer in pending.final_answers[row])
        pending.remove(pending.key[row])

    def remove_load(self, row: int) -> None:
        """Removes a request from the load of the upstream that it was sent to."""
        upstream = self.pending.upstream[row]
        if upstream:
            self._state.loads.record_request_end(upstream)
            self.pending.upstream[row] = 0

    def set_state(self, row: int, state: PendingState) -> None:
        """Sets the state of a request and updates the counts that depend on it."""
        pending = self.pending
        former_state = pending.state[row]
        if state != PendingState.RUNNING:
            self.remove_load(row)
        in_flight_change = (state == PendingState.RUNNING) - (former_state == PendingState.RUNNING)
        waiting_change = (state == PendingState.WAITING) - (former_state == PendingState.WAITING)
        pending.state[row] = state
        if in_flight_change or waiting_change:
            customer, service = pending.customer[row], pending.service[row]
            self.shares.adjust_counts(customer, service, in_flight_change, waiting_change)
