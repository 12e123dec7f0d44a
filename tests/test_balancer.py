"""Tests of the balancer core as a whole."""

import unittest

from shallotshore.agent_messages import FlowReply, Forward
from shallotshore.caller_messages import (
    CallerAnswer,
    CallerData,
    CallerOpen,
    CallerRequest,
    CallerReset,
    FabricPacket,
)
from shallotshore.codes import Code, Outcome
from shallotshore.hashing import flow_key
from tests.balancer_fakes import (
    CALLER,
    CUSTOMER,
    FABRIC,
    IDLE,
    OTHER_CUSTOMER,
    SERVICE,
    VIP,
    Bench,
    answer_to,
    only,
)


class BalancerCoreTest(unittest.TestCase):
    """Guards the paths of flow packets and requests through all systems of a balancer."""

    def test_flow_reaches_its_first_candidate_and_reply_its_caller(self) -> None:
        bench = Bench()
        (opened,) = only(bench.call(CallerOpen(5, b"hello")), Forward)
        key = flow_key(CALLER, VIP, 5)
        expected = bench.core.state.placement.order(SERVICE, key, 3)
        self.assertEqual((opened.key, opened.candidates), (key, expected))
        (data,) = only(bench.call(CallerData(5, b"more")), Forward)
        self.assertEqual(data.candidates, expected)
        reply = FlowReply(key, SERVICE, CUSTOMER, 5, CALLER, VIP, expected[0], IDLE, b"feed")
        sent = bench.run(reply)
        self.assertEqual(sent, [(FABRIC, FabricPacket(CALLER, VIP, CallerData(5, b"feed")))])

    def test_reply_for_another_customer_is_dropped(self) -> None:
        bench = Bench()
        (opened,) = only(bench.call(CallerOpen(5, b"hello")), Forward)
        upstream = opened.candidates[0]
        wrong = FlowReply(opened.key, SERVICE, OTHER_CUSTOMER, 5, CALLER, VIP, upstream, IDLE, b"")
        self.assertEqual(bench.run(wrong), [])
        self.assertEqual(bench.core.counters["flows.reply_mismatched"], 1)

    def test_request_is_answered_whole_and_resend_gets_the_same_answer(self) -> None:
        bench = Bench()
        (attempt,) = bench.request()
        (answer,) = only(bench.run(answer_to(attempt)), CallerAnswer)
        self.assertEqual((answer.outcome, answer.payload), (Outcome.DONE, b"part 0"))
        resend = CallerRequest((1).to_bytes(16), False, 50, 1950, b"work")
        self.assertEqual(only(bench.call(resend), CallerAnswer), [answer])

    def test_unknown_address_is_refused(self) -> None:
        bench = Bench()
        vip = ("10.9.9.9", 1)
        (reset,) = only(bench.call(CallerOpen(5, b""), vip), CallerReset)
        self.assertEqual(reset.code, Code.UNKNOWN_ADDRESS)
        request = CallerRequest(bytes(16), False, 0, 1000, b"")
        (answer,) = only(bench.call(request, vip), CallerAnswer)
        self.assertEqual(answer.outcome, Outcome.UNKNOWN)

    def test_balancer_without_configuration_forwards_nothing(self) -> None:
        bench = Bench()
        bench.catalog.revision = 0
        self.assertEqual(bench.call(CallerData(5, b"")), [])
        self.assertEqual(bench.core.counters["callers.not_ready"], 1)

    def test_pause_drops_buffered_packets_and_suspends_service_for_a_second(self) -> None:
        bench = Bench()
        bench.now += 5000
        self.assertEqual(only(bench.call(CallerData(5, b"")), Forward), [])
        bench.run(wait=900)
        self.assertEqual(only(bench.call(CallerData(5, b"")), Forward), [])
        bench.run(wait=200)
        self.assertEqual(len(only(bench.call(CallerData(5, b"")), Forward)), 1)

    def test_stop_waits_for_the_answer_of_a_pending_request(self) -> None:
        bench = Bench()
        (attempt,) = bench.request(budget=9000)
        bench.core.stop(bench.now)
        bench.run(wait=3000)
        self.assertFalse(bench.core.stopped)
        bench.run(answer_to(attempt), wait=1100)
        self.assertTrue(bench.core.stopped)


if __name__ == "__main__":
    unittest.main()
