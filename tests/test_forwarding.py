"""Tests of flow packets: hints, rendezvous order, resets and the search for an owner."""

import unittest

from shallotshore.agent_messages import FlowHint, FlowReply, FlowReset, Forward
from shallotshore.caller_messages import (
    CallerClose,
    CallerData,
    CallerOpen,
    CallerReset,
    FabricPacket,
)
from shallotshore.codes import Code
from shallotshore.hashing import flow_key
from shallotshore.hints import HintTable
from shallotshore.messages import Load, PacketKind
from shallotshore.unknown_flows import NEVER, Knowledge
from shallotshore.withheld_resets import MAX_WITHHELD_MS
from tests.balancer_fakes import (
    CALLER,
    CUSTOMER,
    IDLE,
    OTHER_CUSTOMER,
    PEER,
    SERVICE,
    VIP,
    Bench,
    only,
)

KEY = flow_key(CALLER, VIP, 5)


def reset(upstream: int, code: int = Code.NO_SUCH_FLOW, revision: int = 1) -> FlowReset:
    """Returns an agent's reset of the flow with key `KEY`."""
    return FlowReset(KEY, 5, CALLER, VIP, upstream, code, revision)


class ForwardingTest(unittest.TestCase):
    """Guards established flows against resets and against delivery to another service.

    Both can happen when records change, data centres are removed or owners fall silent.
    """

    def setUp(self) -> None:
        self.bench = Bench()
        self.order = self.bench.core.state.placement.order(SERVICE, KEY, 7)

    def data(self) -> Forward:
        (forward,) = only(self.bench.call(CallerData(5, b"tick")), Forward)
        return forward

    def test_hint_leads_to_the_owner_and_ends_with_its_lease(self) -> None:
        self.bench.run(FlowHint(KEY, self.order[6], 30_000))
        forward = self.data()
        self.assertEqual(forward.candidates, (self.order[6], self.order[0], self.order[1]))
        self.assertEqual(forward.kind, PacketKind.DATA)
        self.bench.run(wait=30_000)
        self.assertEqual(self.data().candidates, self.order[:3])

    def test_hint_of_an_agent_is_relayed_once(self) -> None:
        hint = FlowHint(KEY, self.order[6], 30_000)
        self.assertEqual(self.bench.run(hint), [(PEER, hint)])
        self.bench.core.receive(PEER, FlowHint(KEY, self.order[5], 30_000))
        self.assertEqual(self.bench.run(), [])
        self.assertEqual(self.data().candidates[0], self.order[5])

    def test_packets_avoid_a_silent_owner_until_its_next_hint(self) -> None:
        self.bench.run(FlowHint(KEY, self.order[6], 30_000))
        for _ in range(8):
            self.data()
            self.bench.run(wait=500)
        self.assertEqual(self.data().candidates[0], self.order[0])
        self.bench.run(FlowHint(KEY, self.order[6], 30_000), wait=1000)
        self.assertEqual(self.data().candidates[0], self.order[6])

    def test_hint_to_an_upstream_of_another_service_is_ignored(self) -> None:
        self.bench.run(FlowHint(KEY, self.order[6], 30_000))
        self.bench.catalog.upstreams[self.order[6]].service = 1
        self.bench.catalog.change_table()
        self.assertNotIn(self.order[6], self.data().candidates)

    def test_flow_hinted_to_a_removed_data_centre_is_reset_once(self) -> None:
        self.bench.run(FlowHint(KEY, self.order[6], 30_000))
        self.bench.catalog.upstreams[self.order[6]].data_centre = 2
        self.bench.catalog.out = {2}
        self.bench.catalog.change_table()
        sent = self.bench.call(CallerData(5, b""))
        self.assertEqual([r.code for r in only(sent, CallerReset)], [Code.DATA_CENTRE_OUT])
        self.assertEqual(self.data().candidates, self.order[:3])

    def test_only_openings_avoid_leaving_full_and_other_customers_upstreams(self) -> None:
        views = self.bench.catalog.upstreams
        views[self.order[0]].leaving = True
        views[self.order[1]].customers = (OTHER_CUSTOMER,)
        self.bench.peers.leaving = {views[self.order[2]].address}
        full = Load(0, 0, 3, views[self.order[3]].connections)
        self.bench.core.state.loads.record_load_report(self.order[3], full, self.bench.now)
        (opened,) = only(self.bench.call(CallerOpen(5, b"")), Forward)
        self.assertEqual(opened.candidates, (self.order[4], self.order[5], self.order[6]))
        self.bench.core.state.hints.remove(KEY)
        self.assertEqual(self.data().candidates[0], self.order[0])
        views[self.order[0]].customers = (OTHER_CUSTOMER,)
        self.assertEqual(self.data().candidates, self.order[2:5])

    def test_opening_at_another_than_the_first_upstream_stores_a_hint(self) -> None:
        self.bench.catalog.upstreams[self.order[0]].leaving = True
        self.bench.call(CallerOpen(5, b""))
        self.assertEqual(self.data().candidates[0], self.order[1])

    def test_opening_with_no_upstream_is_refused(self) -> None:
        for view in self.bench.catalog.upstreams.values():
            view.leaving = True
        sent = self.bench.call(CallerOpen(5, b""))
        self.assertEqual([r.code for r in only(sent, CallerReset)], [Code.FLOW_REFUSED])

    def test_unknown_flow_is_searched_at_each_upstream_once_and_then_reset(self) -> None:
        first = self.data()
        asked = list(first.candidates)
        sent = self.bench.run(reset(asked[-1]))
        while only(sent, Forward):
            (forward,) = only(sent, Forward)
            self.assertEqual((forward.kind, forward.payload), (PacketKind.DATA, b"tick"))
            asked += forward.candidates
            sent = self.bench.run(reset(asked[-1]))
        self.assertEqual(asked, list(self.order))
        self.assertEqual([r.code for r in only(sent, CallerReset)], [Code.NO_SUCH_FLOW])
        again = self.bench.run(reset(first.candidates[-1]))
        self.assertEqual(len(only(again, CallerReset)), 1)

    def test_reset_of_a_packet_no_longer_kept_does_not_end_the_flow(self) -> None:
        self.assertEqual(self.bench.run(reset(self.order[2])), [])

    def test_agent_of_a_removed_data_centre_does_not_end_a_flow_owned_elsewhere(self) -> None:
        self.data()
        refusal = reset(self.order[0], Code.DATA_CENTRE_OUT, revision=2)
        (forward,) = only(self.bench.run(refusal), Forward)
        self.assertEqual(forward.candidates[0], self.order[1])
        witness_reset = reset(self.order[1], Code.DATA_CENTRE_OUT)
        self.assertEqual(len(only(self.bench.run(witness_reset), CallerReset)), 1)

    def test_flow_lost_with_its_data_centre_is_reset_with_that_code(self) -> None:
        self.data()
        sent = self.bench.run(reset(self.order[0], Code.DATA_CENTRE_OUT, revision=2))
        while only(sent, Forward):
            sent = self.bench.run(reset(only(sent, Forward)[0].candidates[-1]))
        self.assertEqual([r.code for r in only(sent, CallerReset)], [Code.DATA_CENTRE_OUT])

    def test_reset_that_names_another_flow_is_dropped(self) -> None:
        self.data()
        wrong = reset(self.order[0], Code.FLOW_LOST)
        wrong.flow = 6
        self.assertEqual(self.bench.run(wrong), [])

    def test_second_reset_against_a_hint_ends_the_flow(self) -> None:
        self.data()
        self.bench.core.state.hints.put(KEY, self.order[0], self.bench.now + 30_000)
        self.assertEqual(self.bench.run(reset(self.order[6])), [])
        self.assertEqual(len(only(self.bench.run(reset(self.order[6])), CallerReset)), 1)

    def test_close_is_forwarded_and_removes_the_hint(self) -> None:
        self.bench.run(FlowHint(KEY, self.order[6], 30_000))
        (forward,) = only(self.bench.call(CallerClose(5)), Forward)
        self.assertEqual((forward.kind, forward.candidates[0]), (PacketKind.CLOSE, self.order[6]))
        self.assertEqual(self.bench.core.state.hints.find_owner(KEY, self.bench.now), 0)

    def test_packets_name_the_customer_of_their_vip(self) -> None:
        self.assertEqual((self.data().service, self.data().customer), (SERVICE, CUSTOMER))

    def test_searches_are_bounded_in_rate(self) -> None:
        for flow in range(700):
            self.bench.core.receive(CALLER, FabricPacket(CALLER, VIP, CallerData(flow, b"")))
        sent = self.bench.run()
        for forward in only(sent, Forward):
            last = forward.candidates[-1]
            answer = FlowReset(forward.key, forward.flow, CALLER, VIP, last, Code.NO_SUCH_FLOW, 1)
            self.bench.core.receive(CALLER, answer)
        sent = self.bench.run()
        self.assertLessEqual(len(only(sent, Forward)), 500)
        self.assertEqual(only(sent, CallerReset), [])

    def test_a_search_ends_when_agents_pass_it_back_to_one_asked_before(self) -> None:
        self.bench.core.receive(CALLER, FabricPacket(CALLER, VIP, CallerData(1, b"")))
        sent = self.bench.run()
        steps = 0
        while forwards := only(sent, Forward):
            steps += 1
            self.assertLessEqual(steps, 65)
            key, first = forwards[0].key, forwards[0].candidates[0]
            if steps == 1:
                asked_before = first
            reset = FlowReset(key, 1, CALLER, VIP, asked_before, Code.NO_SUCH_FLOW, 1)
            self.bench.core.receive(CALLER, reset)
            sent = self.bench.run()
        self.assertEqual(only(sent, CallerReset), [])


class OldRecordsTest(unittest.TestCase):
    """Flows that rest on a change of the records which this balancer may not have heard of."""

    def setUp(self) -> None:
        self.bench = Bench()
        self.order = self.bench.core.state.placement.order(SERVICE, KEY, 7)
        self.as_of = NEVER
        self.is_kept_current = True
        self.queries = 0
        self.bench.core.state.knowledge = self.knowledge
        self.bench.core.state.query_peers = self.count_query

    def knowledge(self) -> Knowledge:
        return Knowledge(self.is_kept_current, self.as_of)

    def count_query(self, now: int) -> None:
        self.queries += 1

    def search(self) -> list[CallerReset]:
        """Lets every known upstream deny a flow, and returns the resets for its caller."""
        sent = self.bench.call(CallerData(5, b"tick"))
        while forwards := only(sent, Forward):
            sent = self.bench.run(reset(forwards[0].candidates[-1]))
        return only(sent, CallerReset)

    def test_flow_that_all_deny_is_not_reset_by_records_that_may_be_old(self) -> None:
        """Guards against the reset of a flow at an upstream that was added a moment ago."""
        self.assertEqual([], self.search())
        self.assertEqual(1, self.queries)
        self.assertEqual([], only(self.bench.run(wait=200), CallerReset))
        self.as_of = self.bench.now
        codes = [message.code for message in only(self.bench.run(wait=20), CallerReset)]
        self.assertEqual([Code.NO_SUCH_FLOW], codes)

    def test_flow_that_all_deny_is_reset_although_no_balancer_answers(self) -> None:
        """Guards against callers that wait for good while a balancer is cut off."""
        self.assertEqual([], self.search())
        resets = only(self.bench.run(wait=MAX_WITHHELD_MS + 20), CallerReset)
        self.assertEqual([Code.NO_SUCH_FLOW], [message.code for message in resets])

    def test_flow_whose_owner_answers_is_not_reset_later(self) -> None:
        """Guards against a withheld reset that ends a flow whose owner was found meanwhile."""
        self.assertEqual([], self.search())
        answer = FlowReply(KEY, SERVICE, CUSTOMER, 5, CALLER, VIP, self.order[3], IDLE, b"tock")
        self.assertEqual(1, len(only(self.bench.run(answer), CallerData)))
        self.as_of = self.bench.now
        self.assertEqual([], only(self.bench.run(wait=MAX_WITHHELD_MS), CallerReset))

    def test_flow_whose_owner_sends_a_hint_is_not_reset_later(self) -> None:
        """Guards against a withheld reset that ends a flow whose owner has named itself."""
        self.assertEqual([], self.search())
        self.bench.run(FlowHint(KEY, self.order[3], 30_000))
        self.as_of = self.bench.now
        self.assertEqual([], only(self.bench.run(wait=MAX_WITHHELD_MS), CallerReset))

    def test_service_without_upstreams_in_old_records_resets_no_flow(self) -> None:
        """Guards against the reset of flows at the first upstream of a service."""
        self.bench.catalog.upstreams.clear()
        self.bench.catalog.change_table()
        self.assertEqual([], only(self.bench.call(CallerData(5, b"tick")), CallerReset))

    def test_data_centre_that_is_out_by_old_records_resets_no_flow(self) -> None:
        """Guards against the reset of flows in a data centre that is back in service."""
        self.bench.run(FlowHint(KEY, self.order[6], 30_000))
        self.bench.catalog.upstreams[self.order[6]].data_centre = 2
        self.bench.catalog.out = {2}
        self.bench.catalog.change_table()
        self.is_kept_current = False
        sent = self.bench.call(CallerData(5, b"tick"))
        self.assertEqual([], only(sent, CallerReset))
        self.assertEqual(1, len(only(sent, Forward)))

    def test_opening_to_an_address_that_old_records_lack_is_not_refused(self) -> None:
        """Guards against refusals of a new address by a balancer that knows it is behind."""
        vip = ("10.0.0.9", 80)
        self.is_kept_current = False
        self.assertEqual([], only(self.bench.call(CallerOpen(5, b""), vip), CallerReset))
        self.is_kept_current = True
        self.assertEqual(1, len(only(self.bench.call(CallerOpen(5, b""), vip), CallerReset)))


class HintTableTest(unittest.TestCase):
    """Guards against a collision in the cache that gives a flow the owner of another one."""

    def test_collisions_evict_hints_but_never_mix_owners(self) -> None:
        hints = HintTable(slot_bits=4)
        for key in range(1, 200):
            hints.put(key, 1000 + key, 50 + key)
        for key in range(1, 200):
            self.assertIn(hints.find_owner(key, 0), (0, 1000 + key))
        self.assertEqual(hints.find_owner(199, 0), 1199)
        hints.remove(199)
        self.assertEqual(hints.find_owner(199, 0), 0)


if __name__ == "__main__":
    unittest.main()
