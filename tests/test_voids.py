"""Tests of the proof that a request was not run, and of the queue of waiting requests."""

import unittest

from shallotshore.agent_messages import Attempt
from shallotshore.caller_messages import CallerAnswer, CallerCancel
from shallotshore.claim_messages import Void, VoidReply
from shallotshore.codes import Code, Outcome
from shallotshore.request_queue import RequestQueue
from tests.balancer_fakes import Bench, only


class VoidSystemTest(unittest.TestCase):
    """Guards the outcome "not run" when former witnesses may keep a claim."""

    def setUp(self) -> None:
        self.bench = Bench()
        self.bench.run(wait=15_000)

    def void(self) -> list[tuple[int, Void]]:
        """Takes the data centre of two witnesses out and cancels a request.

        Returns the (witness, void) pairs that are sent.
        """
        state = self.bench.core.state
        (attempt,) = self.bench.request(budget=4000)
        for upstream in state.placement.witnesses(attempt.service, attempt.key)[:2]:
            self.bench.catalog.upstreams[upstream].data_centre = 2
        self.bench.catalog.out = {2}
        self.bench.catalog.change_table()
        sent = self.bench.call(CallerCancel((1).to_bytes(16)))
        self.present = state.placement.witnesses(attempt.service, attempt.key)
        return [(self.bench.id_at(a), m) for a, m in sent if isinstance(m, Void)]

    def reply(
        self, voids: list[tuple[int, Void]], code: int, *, former: bool
    ) -> list[CallerAnswer]:
        replies = [
            VoidReply(void.key, void.attempt, witness, code)
            for witness, void in voids
            if (witness not in self.present) == former
        ]
        return only(self.bench.run(*replies), CallerAnswer)

    def test_former_witnesses_are_asked_and_waited_for(self) -> None:
        """A former witness may keep a claim that the present witnesses don't know."""
        voids = self.void()
        self.assertEqual(len(voids), 7)
        self.assertEqual(self.reply(voids, Code.OK, former=False), [])
        (answer,) = self.reply(voids, Code.OK, former=True)
        self.assertEqual(answer.outcome, Outcome.NOT_RUN)

    def test_silent_former_witnesses_are_not_waited_for_longer_than_150_ms(self) -> None:
        """A former witness that is gone must not leave the caller without an outcome."""
        self.reply(self.void(), Code.OK, former=False)
        self.assertEqual(only(self.bench.run(wait=80), CallerAnswer), [])
        (answer,) = only(self.bench.run(wait=300), CallerAnswer)
        self.assertEqual(answer.outcome, Outcome.NOT_RUN)

    def test_claim_held_by_a_former_witness_forbids_not_run(self) -> None:
        voids = self.void()
        self.reply(voids, Code.HELD, former=True)
        self.assertEqual(self.reply(voids, Code.OK, former=False), [])
        (answer,) = only(self.bench.run(wait=4200), CallerAnswer)
        self.assertEqual(answer.outcome, Outcome.UNKNOWN)

    def test_proof_needs_every_witness_while_former_witnesses_are_unknown(self) -> None:
        bench = self.bench = Bench()
        (attempt,) = bench.request(budget=1000)
        sent = bench.call(CallerCancel((1).to_bytes(16)))
        self.present = bench.core.state.placement.witnesses(attempt.service, attempt.key)
        voids = [(bench.id_at(a), m) for a, m in sent if isinstance(m, Void)]
        self.assertEqual(self.reply(voids[:4], Code.OK, former=False), [])
        self.assertEqual(len(self.reply(voids[4:], Code.OK, former=False)), 1)

    def test_reply_to_another_void_or_of_no_witness_counts_nothing(self) -> None:
        """A late reply to an earlier void, or one of another agent, proves nothing."""
        voids = self.void()
        for witness, void in voids:
            other_void = VoidReply(void.key, void.attempt + 1, witness, Code.OK)
            not_asked = VoidReply(void.key, void.attempt, 12345, Code.OK)
            self.assertEqual(only(self.bench.run(other_void, not_asked), CallerAnswer), [])


class RequestQueueTest(unittest.TestCase):
    """Guards queued requests against newer ones that would take their room."""

    def test_oldest_request_gets_the_first_room(self) -> None:
        bench = Bench(upstreams=1)
        bench.core.state.loads.record_full(bench.ids[0], 3, bench.now)
        for number in range(5):
            self.assertEqual(bench.request(number, budget=5000), [])
            bench.run(wait=20)
        attempts = only(bench.run(wait=300), Attempt)
        ages = [attempt.age for attempt in attempts]
        self.assertEqual(len(attempts), 5)
        self.assertEqual(ages, sorted(ages, reverse=True))

    def test_queue_keeps_its_order_and_removes_once(self) -> None:
        queue = RequestQueue()
        for arrived_at, key in ((5, 1), (3, 2), (4, 3), (3, 2)):
            queue.insert(7, arrived_at, key)
        self.assertEqual(queue.oldest(7, 2), [(3, 2), (4, 3)])
        queue.remove(7, 3, 2)
        queue.remove(7, 3, 2)
        self.assertEqual(queue.oldest(7, 9), [(4, 3), (5, 1)])
        queue.remove(7, 4, 3)
        queue.remove(7, 5, 1)
        self.assertFalse(queue.has_requests(7))


if __name__ == "__main__":
    unittest.main()
