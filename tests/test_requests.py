"""Tests of requests at an agent: limits, queues, deadlines, cancellation, resends, isolation."""

import unittest
from dataclasses import replace

from shallotshore.agent_messages import Attempt, AttemptAnswer, CancelAttempt, Cancelled, Declined
from shallotshore.codes import Code
from shallotshore.hashing import name_id, request_key
from shallotshore.records import DataCentre, Upstream
from shallotshore.upstream_messages import UpstreamAnswer, UpstreamCancel
from tests.agents import ACME, GROVE, OTHER_VIP, VIP, WITNESS_WAIT_MS, FakeUpstream, Fleet, attempt


class RequestsTest(unittest.TestCase):
    """Guards admission, at-most-once execution and answers; each upstream has one slot."""

    def setUp(self) -> None:
        self.fleet = Fleet(5)
        self.fleet.wait_until_former_tables_known()

    def order(self, name: bytes) -> tuple[int, ...]:
        return self.fleet.order(request_key(VIP, name))

    def started(self) -> int:
        return sum(len(u.started()) for u in self.fleet.upstreams.values())

    def upstream_running(self) -> FakeUpstream:
        return next(u for u in self.fleet.upstreams.values() if u.started())

    def codes(self) -> list[int]:
        return [declined.code for declined in self.fleet.answers(Declined)]

    def test_work_over_the_limit_passes_to_the_next_candidate(self) -> None:
        order = self.order(b"a")
        for number in range(3):
            self.fleet.upstream(order[number]).service_time = 500
            self.fleet.send(order[0], attempt(b"%d" % number, order, number))
        self.fleet.run(100)
        self.assertEqual([len(self.fleet.upstream(u).started()) for u in order], [1, 1, 1])

    def test_last_candidate_queues_twice_its_slots_and_declines_the_rest(self) -> None:
        last = self.order(b"a")[:1]
        for number in range(4):
            self.fleet.send(last[0], attempt(b"%d" % number, last, number))
        self.fleet.run(500)
        self.assertEqual(len(self.fleet.answers(AttemptAnswer)), 3)
        self.assertEqual(len(self.codes()), 1)

    def test_full_queue_passes_on_to_queues_of_other_candidates(self) -> None:
        """A queue at one candidate alone would decline bursts that the others can hold."""
        order = self.order(b"a")
        for number in range(10):
            self.fleet.send(order[0], attempt(b"%d" % number, order, number))
            self.fleet.run(1)
        self.fleet.run(1_000)
        self.assertEqual(len(self.fleet.answers(AttemptAnswer)), 9)
        self.assertEqual(self.codes(), [Code.OVERLOADED])

    def test_queued_request_is_not_started_long_after_its_upstream_began_to_leave(self) -> None:
        """An upstream that leaves must get no new work after 3 s, even from its agent's queue."""
        last = self.order(b"a")[:1]
        self.fleet.upstream(last[0]).service_time = 4_000
        for number, name in enumerate((b"a", b"b")):
            self.fleet.send(last[0], replace(attempt(name, last, number), budget=8_000))
        self.fleet.run(100)
        name = self.fleet.agent(last[0]).state.config.upstream
        changed = [
            replace(r, state="leaving") if isinstance(r, Upstream) and r.name == name else r
            for r in self.fleet.records
        ]
        self.fleet.publish(2, changed)
        self.fleet.run(5_000)
        self.assertEqual(self.started(), 1)
        self.assertEqual(self.codes(), [Code.UPSTREAM_LEAVING])

    def test_expired_request_is_never_started(self) -> None:
        """The time in the queue counts against the budget."""
        last = self.order(b"a")[:1]
        self.fleet.upstream(last[0]).service_time = 300
        self.fleet.send(last[0], attempt(b"a", last, 1))
        self.fleet.send(last[0], replace(attempt(b"b", last, 2), budget=100))
        self.fleet.run(500)
        self.assertEqual(self.codes(), [Code.DEADLINE_EXPIRED])
        self.assertEqual(self.started(), 1)

    def test_lifetime_beyond_the_longest_is_refused(self) -> None:
        order = self.order(b"a")
        self.fleet.send(order[0], replace(attempt(b"a", order), age=9_000))
        self.assertEqual(self.codes(), [Code.DEADLINE_TOO_LONG])

    def test_resend_gets_the_stored_answer(self) -> None:
        """When an answer is lost in the network, a resend must get it without a second run."""
        order = self.order(b"a")
        self.fleet.send(order[0], attempt(b"a", order, 1))
        self.fleet.run(200)
        self.fleet.send(order[2], attempt(b"a", order[2:], 2))
        self.fleet.run(200)
        answers = self.fleet.answers(AttemptAnswer)
        self.assertEqual(
            [(a.attempt, a.payload) for a in answers], [(1, b"done a"), (2, b"done a")]
        )
        self.assertEqual(self.started(), 1)

    def test_cancel_before_start_is_in_time(self) -> None:
        last = self.order(b"a")[:1]
        self.fleet.send(last[0], attempt(b"a", last, 1))
        self.fleet.send(last[0], attempt(b"b", last, 2))
        self.fleet.send(last[0], CancelAttempt(request_key(VIP, b"b"), 2))
        self.fleet.run(300)
        self.assertEqual([c.in_time for c in self.fleet.answers(Cancelled)], [True])
        self.assertEqual(self.started(), 1)

    def test_cancel_that_overtakes_its_attempt_stops_it(self) -> None:
        """The network may deliver a cancellation before its attempt."""
        order = self.order(b"a")
        self.fleet.send(order[0], CancelAttempt(request_key(VIP, b"a"), 1))
        self.fleet.send(order[0], attempt(b"a", order, 1))
        self.fleet.run(200)
        self.assertEqual((self.codes(), self.started()), ([Code.CANCELLED], 0))

    def test_cancel_of_a_started_request_reaches_the_upstream(self) -> None:
        order = self.order(b"a")
        self.fleet.upstream(order[0]).service_time = 500
        self.fleet.send(order[0], attempt(b"a", order, 1))
        self.fleet.run(50)
        self.fleet.send(order[0], CancelAttempt(request_key(VIP, b"a"), 1))
        self.fleet.run(1_000)
        self.assertIsInstance(self.upstream_running().seen[-1], UpstreamCancel)
        self.assertEqual([c.in_time for c in self.fleet.answers(Cancelled)], [False])

    def test_cancel_follows_a_passed_attempt(self) -> None:
        order = self.order(b"a")
        self.fleet.upstream(order[0]).service_time = 500
        self.fleet.upstream(order[1]).service_time = 500
        self.fleet.send(order[0], attempt(b"a", order, 1))
        self.fleet.send(order[0], attempt(b"b", order, 2))
        self.fleet.run(50)
        self.fleet.send(order[0], CancelAttempt(request_key(VIP, b"b"), 2))
        self.fleet.run(50)
        self.assertIsInstance(self.fleet.upstream(order[1]).seen[-1], UpstreamCancel)

    def test_overloaded_request_runs_at_another_upstream(self) -> None:
        order = self.order(b"a")
        self.fleet.upstream(order[0]).code = Code.OVERLOADED
        self.fleet.send(order[0], attempt(b"a", order, 1))
        self.fleet.run(300)
        answers = self.fleet.answers(AttemptAnswer)
        self.assertEqual([(a.upstream, a.code) for a in answers], [(order[1], Code.OK)])

    def test_restarted_upstream_makes_the_outcome_unknown(self) -> None:
        """The upstream may have run the request before its process ended."""
        order = self.order(b"a")
        upstream = self.fleet.upstream(order[0])
        upstream.service_time = 1_000
        self.fleet.send(order[0], attempt(b"a", order, 1))
        self.fleet.run(100)
        upstream.incarnation = 2
        self.fleet.run(300)
        self.assertEqual([a.code for a in self.fleet.answers(AttemptAnswer)], [Code.UPSTREAM_LOST])

    def test_request_that_reached_the_new_process_keeps_its_slot(self) -> None:
        """An agent that notices a restart late must not count such a request as lost.

        It would send a second one to a cold upstream that has a limit of one.
        """
        last = self.order(b"a")[:1]
        upstream = self.fleet.upstream(last[0])
        upstream.service_time = 400
        upstream.incarnation = 2
        self.fleet.send(last[0], attempt(b"a", last, 1))
        self.fleet.run(150)
        self.fleet.send(last[0], attempt(b"b", last, 2))
        self.fleet.run(150)
        self.assertEqual(len(upstream.started()), 1)
        self.fleet.run(800)
        self.assertEqual([a.code for a in self.fleet.answers(AttemptAnswer)], [Code.OK, Code.OK])

    def test_restarted_agent_does_not_run_its_request_again(self) -> None:
        """The new process has lost the request; only the witnesses know that it was claimed."""
        order = self.order(b"a")
        self.fleet.send(order[0], attempt(b"a", order, 1))
        self.fleet.run(200)
        self.fleet.restart(order[0], incarnation=2)
        self.fleet.run(WITNESS_WAIT_MS)
        aged = replace(attempt(b"a", order[:1], 2), age=WITNESS_WAIT_MS + 200)
        self.fleet.send(order[0], aged)
        self.fleet.run(500)
        self.assertEqual(self.started(), 1)
        self.assertEqual(self.fleet.answers(AttemptAnswer)[-1].code, Code.ANSWER_MISSING)

    def test_wrong_service_and_customer_are_refused(self) -> None:
        """The agent must check attempts against its own records and not trust the balancer."""
        order = self.order(b"a")
        for changes in (
            {"service": name_id("service", "docvault")},
            {"customer": GROVE},
            {"vip": OTHER_VIP},
            {"vip": ("10.9.0.9", 1)},
        ):
            self.fleet.send(order[0], replace(attempt(b"a", order), **changes))
        self.fleet.run(200)
        expected = [Code.WRONG_SERVICE, Code.WRONG_CUSTOMER, Code.WRONG_CUSTOMER]
        self.assertEqual(self.codes(), [*expected, Code.UNKNOWN_ADDRESS])
        self.assertEqual(self.started(), 0)

    def test_attempt_is_not_passed_into_a_removed_data_centre(self) -> None:
        """The holder of a request's key may be in a data centre that is out."""
        order = self.order(b"a")
        self.fleet.upstream(order[0]).service_time = 3_000
        self.fleet.send(order[0], attempt(b"a", order, 1))
        self.fleet.run(50)
        centre = self.fleet.agent(order[0]).state.config.data_centre
        kept = [r for r in self.fleet.records if getattr(r, "name", "") != centre]
        self.fleet.publish(2, [*kept, DataCentre(centre, "suva", "out")])
        outside = [u for u in order if self.fleet.agent(u).state.config.data_centre != centre]
        self.fleet.sent_between_agents.clear()
        self.fleet.send(outside[0], attempt(b"a", (outside[0], order[0]), 2))
        self.fleet.run(400)
        removed = self.fleet.agent(order[0]).state.config.address
        passed = [
            to for to, message in self.fleet.sent_between_agents if isinstance(message, Attempt)
        ]
        self.assertNotIn(removed, passed)
        self.assertEqual(self.started(), 1)

    def test_crossed_answers_are_dropped(self) -> None:
        """An answer for another customer, attempt or incarnation must be dropped."""
        order = self.order(b"a")
        core = self.fleet.agent(order[0])
        self.fleet.upstream(order[0]).service_time = 5_000
        self.fleet.send(order[0], attempt(b"a", order, 1))
        self.fleet.run(100)
        request = self.upstream_running().started()[0]
        good = UpstreamAnswer(request.key, request.attempt, ACME, 1, Code.OK, 0, 1, 0, b"x")
        for changes in ({"customer": GROVE}, {"attempt": 7}, {"incarnation": 0}, {"key": 5}):
            core.receive(core.state.config.local_upstream, replace(good, **changes))
        self.fleet.run(100)
        self.assertEqual(self.fleet.answers(AttemptAnswer), [])
        core.receive(core.state.config.local_upstream, good)
        self.fleet.run(100)
        self.assertEqual([a.payload for a in self.fleet.answers(AttemptAnswer)], [b"x"])

    def test_answer_is_sent_only_when_all_its_parts_have_arrived(self) -> None:
        """Parts of an answer may arrive twice and in any order."""
        order = self.order(b"a")
        core = self.fleet.agent(order[0])
        self.fleet.upstream(order[0]).service_time = 5_000
        self.fleet.send(order[0], attempt(b"a", order, 1))
        self.fleet.run(100)
        request = self.upstream_running().started()[0]
        for part in (2, 0, 2, 1):
            self.assertEqual(self.fleet.answers(AttemptAnswer), [])
            answer = UpstreamAnswer(
                request.key, request.attempt, ACME, 1, Code.OK, part, 3, 5, b"%d" % part
            )
            core.receive(core.state.config.local_upstream, answer)
            self.fleet.run(10)
        payloads = [a.payload for a in self.fleet.answers(AttemptAnswer)]
        self.assertEqual(payloads, [b"0", b"1", b"2"])

    def test_stop_ends_accepted_requests_and_takes_no_new_ones(self) -> None:
        last = self.order(b"a")[:1]
        core = self.fleet.agent(last[0])
        for number in range(2):
            self.fleet.send(last[0], attempt(b"%d" % number, last, number))
        core.stop(self.fleet.now)
        self.fleet.send(last[0], attempt(b"c", last, 9))
        self.fleet.run(60)
        self.assertFalse(core.stopped)
        self.fleet.run(2_000)
        self.assertTrue(core.stopped)
        self.assertEqual(len(self.fleet.answers(AttemptAnswer)), 2)
        self.assertEqual(self.codes(), [Code.STOPPING])

    def test_request_is_not_started_after_a_pause_beyond_its_deadline(self) -> None:
        """After a pause, the queue of the process may contain requests past their deadline."""
        last = self.order(b"a")[:1]
        core = self.fleet.agent(last[0])
        self.fleet.send(last[0], attempt(b"a", last, 1))
        self.fleet.send(last[0], attempt(b"b", last, 2))
        self.fleet.run(10)
        core.tick(self.fleet.now + 5_000)
        self.assertEqual(core.state.work.queued, 0)
        self.assertEqual(core.state.work.claiming, 0)


if __name__ == "__main__":
    unittest.main()
