"""Tests of requests at a balancer: attempts, answers and outcomes."""

import unittest

from shallotshore.agent_messages import Attempt, CancelAttempt, Declined
from shallotshore.caller_messages import CallerAnswer, CallerCancel, CallerRequest
from shallotshore.claim_messages import Void, VoidReply
from shallotshore.codes import Code, Outcome
from shallotshore.messages import Load
from shallotshore.retries import MAX_ATTEMPTS
from tests.balancer_fakes import (
    CUSTOMER,
    IDLE,
    OTHER_CUSTOMER,
    OTHER_VIP,
    VIP,
    Bench,
    answer_to,
    only,
)


def decline(attempt: Attempt, code: int = Code.OVERLOADED) -> Declined:
    """Returns a refusal by the last candidate of an attempt."""
    return Declined(attempt.key, attempt.attempt, attempt.candidates[-1], code, IDLE, 1)


def void_replies(
    bench: Bench, voids: list[Void], sent: list, code: int = Code.OK
) -> list[VoidReply]:
    """Returns the replies of the witnesses to voids."""
    addresses = [address for address, message in sent if isinstance(message, Void)]
    return [
        VoidReply(void.key, void.attempt, bench.id_at(address), code)
        for void, address in zip(voids, addresses, strict=True)
    ]


class DispatchTest(unittest.TestCase):
    """Guards complete answers, a single outcome for each request, and bounded retries."""

    def setUp(self) -> None:
        self.bench = Bench()
        self.bench.run(wait=15_000)  # until all former tables of upstreams are known

    def test_parts_are_given_only_when_all_have_arrived_and_of_one_run(self) -> None:
        (attempt,) = self.bench.request(repeatable=True)
        parts = [answer_to(attempt, part, 3) for part in range(3)]
        other = answer_to(attempt, 1, 3, upstream=attempt.candidates[1])
        early = self.bench.run(parts[2], parts[2], parts[0], other)
        self.assertEqual(only(early, CallerAnswer), [])
        answers = only(self.bench.run(parts[1]), CallerAnswer)
        self.assertEqual([answer.payload for answer in answers], [b"part 0", b"part 1", b"part 2"])
        self.assertEqual({answer.checksum for answer in answers}, {9})

    def test_missing_part_is_asked_for_soon_at_the_upstream_that_answered(self) -> None:
        (attempt,) = self.bench.request(repeatable=True)
        answerer = attempt.candidates[1]
        sent = self.bench.run(answer_to(attempt, 0, 2, upstream=answerer), wait=80)
        ((address, again),) = [entry for entry in sent if isinstance(entry[1], Attempt)]
        self.assertEqual(self.bench.id_at(address), answerer)
        self.assertEqual((again.attempt, again.repeatable), (attempt.attempt, False))
        done = self.bench.run(answer_to(attempt, 1, 2, upstream=answerer))
        self.assertEqual(len(only(done, CallerAnswer)), 2)

    def test_resend_through_another_balancer_does_not_ask_for_a_second_run(self) -> None:
        resend = CallerRequest((1).to_bytes(16), True, 500, 1500, b"work")
        (attempt,) = only(self.bench.call(resend), Attempt)
        self.assertFalse(attempt.repeatable)
        (again,) = only(self.bench.run(answer_to(attempt, code=Code.UPSTREAM_LOST)), Attempt)
        self.assertTrue(again.repeatable)

    def test_missing_part_ends_as_unknown_and_not_as_an_answer(self) -> None:
        """A lost part must not make the balancer give an incomplete answer."""
        (attempt,) = self.bench.request(budget=1000)
        sent = self.bench.run(answer_to(attempt, 0, 2), wait=1100)
        (answer,) = only(sent, CallerAnswer)
        self.assertEqual((answer.outcome, answer.code), (Outcome.UNKNOWN, Code.ANSWER_INCOMPLETE))

    def test_crossed_late_and_doubled_answers_reach_no_caller(self) -> None:
        """An answer to another attempt, customer or service must be dropped."""
        (first,) = self.bench.request(1)
        (second,) = self.bench.request(2)
        crossed = answer_to(first, attempt=second.attempt)
        foreign = answer_to(first, customer=OTHER_CUSTOMER)
        wrong_service = answer_to(first, service=1)
        self.assertEqual(self.bench.run(crossed, foreign, wrong_service), [])
        self.assertEqual(len(only(self.bench.run(answer_to(first)), CallerAnswer)), 1)
        self.assertEqual(self.bench.run(answer_to(first)), [])
        counts = self.bench.core.counters
        self.assertEqual(
            (counts["answers.crossed"], counts["answers.mismatched"], counts["answers.late"]),
            (2, 1, 1),
        )

    def test_budget_shrinks_and_age_grows_by_the_time_spent(self) -> None:
        (attempt,) = self.bench.request(budget=2000)
        (again,) = only(self.bench.run(wait=420), Attempt)
        self.assertEqual(again.attempt, attempt.attempt)
        self.assertEqual(attempt.age + attempt.budget, again.age + again.budget)
        self.assertGreaterEqual(again.age, 400)

    def test_decline_moves_on_at_once_to_upstreams_not_yet_tried(self) -> None:
        (attempt,) = self.bench.request()
        (second,) = only(self.bench.run(decline(attempt)), Attempt)
        self.assertFalse(set(attempt.candidates) & set(second.candidates[:1]))
        self.assertNotEqual(second.attempt, attempt.attempt)

    def test_attempts_are_bounded_and_then_not_run_needs_a_quorum(self) -> None:
        (attempt,) = self.bench.request(budget=9000)
        attempt_count, sent = 1, self.bench.run(decline(attempt))
        while not only(sent, Void) and attempt_count <= MAX_ATTEMPTS:
            for attempt in only(sent, Attempt):
                attempt_count += 1
                self.bench.core.receive(("agent", 0), decline(attempt))
            sent = self.bench.run(wait=20)
        self.assertLessEqual(attempt_count, MAX_ATTEMPTS)
        self.assertEqual(only(sent, CallerAnswer), [])
        replies = void_replies(self.bench, only(sent, Void)[:5], sent[:5])
        self.assertEqual(only(self.bench.run(*replies[:3]), CallerAnswer), [])
        (answer,) = only(self.bench.run(replies[3]), CallerAnswer)
        self.assertEqual((answer.outcome, answer.code), (Outcome.NOT_RUN, Code.OVERLOADED))

    def test_held_key_is_never_reported_as_not_run(self) -> None:
        """Witnesses that keep a claim show that the request may have been started."""
        (attempt,) = self.bench.request(budget=1000)
        sent = self.bench.run(wait=900)
        voids = only(sent, Void)[:5]
        first = [entry for entry in sent if isinstance(entry[1], Void)][:5]
        replies = void_replies(self.bench, voids, first, Code.HELD)[:2]
        replies += void_replies(self.bench, voids, first)[2:]
        (answer,) = only(self.bench.run(*replies, wait=300), CallerAnswer)
        self.assertEqual(answer.outcome, Outcome.UNKNOWN)
        self.assertEqual(self.bench.run(answer_to(attempt)), [])

    def test_answer_during_the_proof_wins(self) -> None:
        (attempt,) = self.bench.request(budget=1000)
        self.bench.run(wait=900)
        (answer,) = only(self.bench.run(answer_to(attempt)), CallerAnswer)
        self.assertEqual(answer.outcome, Outcome.DONE)

    def test_cancellation_is_passed_on_and_proven_before_it_is_told(self) -> None:
        (attempt,) = self.bench.request()
        sent = self.bench.call(CallerCancel((1).to_bytes(16)))
        cancels = only(sent, CancelAttempt)
        self.assertEqual({cancel.attempt for cancel in cancels}, {attempt.attempt})
        self.assertEqual(only(sent, CallerAnswer), [])
        replies = void_replies(self.bench, only(sent, Void), sent)
        (answer,) = only(self.bench.run(*replies), CallerAnswer)
        self.assertEqual((answer.outcome, answer.code), (Outcome.NOT_RUN, Code.CANCELLED))

    def test_resend_attaches_to_the_pending_request(self) -> None:
        """A caller's resend must not start the request a second time."""
        (attempt,) = self.bench.request()
        resend = CallerRequest((1).to_bytes(16), False, 500, 1500, b"work")
        self.assertEqual(self.bench.call(resend), [])
        self.assertEqual(len(only(self.bench.run(answer_to(attempt)), CallerAnswer)), 1)

    def test_failed_run_is_repeated_only_when_repeatable(self) -> None:
        """A request whose upstream was lost may have been run, so another run could double it."""
        (once,) = self.bench.request(1)
        failed = answer_to(once, code=Code.UPSTREAM_LOST)
        (answer,) = only(self.bench.run(failed), CallerAnswer)
        self.assertEqual((answer.outcome, answer.code), (Outcome.UNKNOWN, Code.UPSTREAM_LOST))
        (twice,) = self.bench.request(2, repeatable=True)
        (again,) = only(self.bench.run(answer_to(twice, code=Code.UPSTREAM_LOST)), Attempt)
        self.assertNotEqual(again.candidates[0], twice.candidates[0])

    def test_too_long_a_lifetime_is_refused_without_an_attempt(self) -> None:
        self.assertEqual(self.bench.request(budget=10_001), [])
        self.assertEqual(self.bench.core.counters["attempts.sent"], 0)

    def test_least_loaded_upstream_is_chosen_and_old_reports_count_little(self) -> None:
        loads = self.bench.core.state.loads
        for upstream in self.bench.ids[1:]:
            loads.record_load_report(upstream, Load(3, 0, 3, 0), self.bench.now)
        (attempt,) = self.bench.request(1)
        self.assertEqual(attempt.candidates[0], self.bench.ids[0])
        self.bench.run(answer_to(attempt), wait=4000)
        chosen = {self.bench.request(number)[0].candidates[0] for number in range(2, 9)}
        self.assertEqual(chosen, set(self.bench.ids))

    def test_customer_over_its_share_waits_while_another_one_waits(self) -> None:
        bench = self.bench
        own = [bench.request(number) for number in range(60)]
        self.assertEqual(sum(map(len, own)), 60)
        (attempt,) = bench.request(100, vip=OTHER_VIP)
        for _ in range(3):
            sent = bench.run(decline(attempt))
            attempt = (only(sent, Attempt) or [attempt])[0]
            if not only(sent, Attempt):
                break
        self.assertEqual(bench.request(61), [])
        shares = bench.core._dispatch._lifecycle.shares
        self.assertEqual(shares.in_flight_limit(CUSTOMER, attempt.service), 21)

    def test_full_table_refuses_new_requests_and_answers_open_ones(self) -> None:
        self.bench.core._dispatch.pending._limit = 1
        (attempt,) = self.bench.request(1)
        refused = CallerRequest((2).to_bytes(16), False, 0, 1000, b"")
        (answer,) = only(self.bench.call(refused, VIP), CallerAnswer)
        self.assertEqual((answer.outcome, answer.code), (Outcome.UNKNOWN, Code.TABLE_FULL))
        self.assertEqual(len(only(self.bench.run(answer_to(attempt)), CallerAnswer)), 1)


if __name__ == "__main__":
    unittest.main()
