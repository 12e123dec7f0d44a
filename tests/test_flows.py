"""Tests of flows at agents: ownership, redirects, resets, isolation and membership changes."""

import unittest
from dataclasses import replace

from shallotshore.agent_messages import FlowReply, FlowReset, Forward
from shallotshore.agent_tables import ClaimState, FlowState
from shallotshore.claim_messages import Claim, ClaimReply
from shallotshore.claiming import DISPUTE_ROUND
from shallotshore.claims import decide_claim, find_claim_holder, remove_flow_claim
from shallotshore.codes import Code
from shallotshore.control_messages import RevisionNotice
from shallotshore.hashing import flow_key, name_id
from shallotshore.messages import ClaimKind, PacketKind
from shallotshore.records import DataCentre, Upstream
from shallotshore.upstream_messages import UpstreamClose, UpstreamData, UpstreamOpen
from tests.agents import ACME, CALLER, GROVE, OTHER_VIP, SERVICE, VIP, Fleet, packet


class FlowsTest(unittest.TestCase):
    """Guards flows against two owners, wrong resets and delivery to another customer.

    Each test runs on a fleet of seven upstreams in three data centres.
    """

    def setUp(self) -> None:
        self.fleet = Fleet(7)
        self.fleet.wait_until_former_tables_known()
        self.key = flow_key(CALLER, VIP, 7)
        self.order = self.fleet.order(self.key)

    def open(self, owner: int = 0) -> None:
        self.fleet.send(self.order[owner], packet(PacketKind.OPEN, self.order[owner:]))
        self.fleet.run(50)

    def resets(self) -> list[int]:
        return [reset.code for reset in self.fleet.answers(FlowReset)]

    def owners(self) -> list[int]:
        cores = self.fleet.agents.values()
        return [core.state.own_id for core in cores if self.key in core.state.flows]

    def count_replies(self, target: int, **changes: object) -> int:
        """Returns how many answers a data packet sent to an agent gets."""
        before = len(self.fleet.answers(FlowReply))
        self.fleet.send(target, replace(packet(PacketKind.DATA, [target]), **changes))
        self.fleet.run(50)
        return len(self.fleet.answers(FlowReply)) - before

    def keep_wrong_claim(self, witness: int, holder: int) -> None:
        """Makes a witness keep the claim of an upstream that does not own the flow."""
        state = self.fleet.agent(witness).state
        remove_flow_claim(state, self.key)
        table = state.catalog.membership(SERVICE)
        claim = Claim(self.key, ClaimKind.FLOW, SERVICE, holder, 1, 1, 0, 30_000, table)
        decide_claim(state, claim, self.fleet.now)

    def test_any_witness_leads_to_the_owner(self) -> None:
        self.open()
        witnesses = self.fleet.agent(self.order[0]).state.witnesses(self.key)
        self.assertEqual([self.count_replies(witness) for witness in witnesses], [1] * 5)

    def test_close_releases_the_claims_of_all_witnesses(self) -> None:
        self.open()
        self.fleet.send(self.order[0], packet(PacketKind.CLOSE, self.order))
        self.fleet.run(50)
        self.open(owner=1)
        self.assertEqual(self.owners(), [self.order[1]])

    def test_upstream_may_close(self) -> None:
        self.open()
        core = self.fleet.agent(self.order[0])
        core.receive(core.state.config.local_upstream, UpstreamClose(self.key, Code.OK))
        self.fleet.run(50)
        self.assertEqual((self.resets(), self.owners()), ([Code.FLOW_CLOSED], []))

    def test_restarted_upstream_loses_its_flows_at_all_witnesses(self) -> None:
        self.open()
        self.fleet.upstream(self.order[0]).incarnation = 2
        self.fleet.run(1_500)
        self.assertEqual(self.resets(), [Code.FLOW_LOST])
        self.assertEqual(self.count_replies(self.order[1]), 0)
        self.assertEqual(len(self.resets()), 2)

    def test_flow_opened_at_a_restarted_upstream_stays_open(self) -> None:
        """Guards against a reset of a flow that the restarted upstream already serves.

        The flow is opened before the agent learns of the upstream's restart.
        """
        self.fleet.upstream(self.order[0]).incarnation = 2
        self.open()
        self.fleet.run(2_000)
        self.assertEqual(self.resets(), [])
        witnesses = self.fleet.agent(self.order[0]).state.witnesses(self.key)
        self.assertEqual([self.count_replies(witness) for witness in witnesses], [1] * 5)

    def test_packets_of_other_customers_are_refused(self) -> None:
        """Guards against packets that reach another customer's flow by a balancer's mistake."""
        self.open()
        seen = len(self.fleet.upstream(self.order[0]).seen)
        for changes in (
            {"service": name_id("service", "docvault")},
            {"customer": GROVE},
            {"vip": OTHER_VIP, "customer": GROVE},
            {"flow": 8},
        ):
            self.assertEqual(self.count_replies(self.order[0], **changes), 0)
        self.assertEqual(len(self.fleet.upstream(self.order[0]).seen), seen)

    def test_misdirected_packet_of_an_old_revision_ends_no_flow(self) -> None:
        """Guards against a reset of a live flow by an agent that no longer serves its service.

        A balancer with an older revision may send packets to a VM that another service uses now.
        """
        self.open()
        stale = {"service": name_id("service", "docvault"), "revision": 0}
        self.assertEqual(self.count_replies(self.order[0], **stale), 0)
        self.assertEqual(self.resets(), [])
        notices = [notice.revision for notice in self.fleet.answers(RevisionNotice)]
        self.assertEqual(notices, [1])

    def test_upstream_data_for_the_wrong_customer_or_flow_is_dropped(self) -> None:
        self.open()
        core = self.fleet.agent(self.order[0])
        before = len(self.fleet.answers(FlowReply))
        for data in (UpstreamData(self.key, GROVE, b"x"), UpstreamData(5, ACME, b"x")):
            core.receive(core.state.config.local_upstream, data)
        self.fleet.run(50)
        self.assertEqual(len(self.fleet.answers(FlowReply)), before)

    def test_cold_upstream_forwards_openings_over_its_limit(self) -> None:
        self.fleet = Fleet(7, slots=3, cold_limit=2)
        self.fleet.wait_until_former_tables_known()
        for owner in self.order[:2]:
            self.fleet.upstream(owner).incarnation = 2
        self.fleet.run(150)
        for flow in range(30):
            self.fleet.send(self.order[0], packet(PacketKind.OPEN, self.order[:2], flow))
        self.fleet.run(100)
        seen = [self.fleet.upstream(u).seen for u in self.order[:2]]
        counts = [sum(isinstance(m, UpstreamOpen) for m in messages) for messages in seen]
        self.assertEqual(counts, [2, 2])

    def test_table_change_gives_new_witnesses_the_claims(self) -> None:
        """Guards against a flow that new witnesses cannot find after a change of the upstreams."""
        self.open()
        other = next(u for u in self.order[1:] if u != self.order[0])
        gone = self.fleet.agent(other).state.config.upstream
        self.fleet.publish(2, [r for r in self.fleet.records if getattr(r, "name", "") != gone])
        self.fleet.run(200)
        witnesses = self.fleet.agent(self.order[0]).state.witnesses(self.key)
        self.assertNotIn(other, witnesses)
        self.assertEqual([self.count_replies(witness) for witness in witnesses], [1] * 5)

    def test_data_centre_taken_out_resets_its_flows_and_gets_no_packets(self) -> None:
        self.open()
        centre = self.fleet.agent(self.order[0]).state.config.data_centre
        kept = [r for r in self.fleet.records if getattr(r, "name", "") != centre]
        outside = [
            core.state.own_id
            for core in self.fleet.agents.values()
            if core.state.config.data_centre != centre
        ]
        self.fleet.publish(2, [*kept, DataCentre(centre, "suva", "out")])
        self.fleet.run(50)
        self.assertEqual(self.resets(), [Code.DATA_CENTRE_OUT])
        self.fleet.sent_between_agents.clear()
        for target in outside:
            self.count_replies(target, candidates=(target, self.order[0]))
        removed = self.fleet.agent(self.order[0]).state.config.address
        passed = [
            to for to, message in self.fleet.sent_between_agents if isinstance(message, Forward)
        ]
        self.assertNotIn(removed, passed)

    def test_no_reset_while_a_witness_is_silent(self) -> None:
        """Guards against a reset of a live flow while a witness that knows its owner is silent."""
        witnesses = self.fleet.agent(self.order[0]).state.witnesses(self.key)
        self.fleet.cut_off.add(self.fleet.agent(witnesses[4]).state.config.address)
        self.fleet.run(3_000)
        self.assertEqual((self.count_replies(self.order[0]), self.resets()), (0, []))
        self.fleet.run(8_000)
        self.assertEqual(self.count_replies(self.order[0]), 0)
        self.assertEqual(self.resets(), [Code.NO_SUCH_FLOW])

    def test_flow_of_a_dead_holder_is_lost_before_its_lease_ends(self) -> None:
        """Guards against callers that wait for the lease of a claim whose holder is gone."""
        self.open()
        self.fleet.agents.pop(self.fleet.agent(self.order[0]).state.config.address)
        self.fleet.run(11_000)
        self.assertEqual(self.count_replies(self.order[1]), 0)
        self.assertEqual(self.resets(), [Code.FLOW_LOST])

    def test_leaving_upstream_takes_no_flow_but_keeps_its_own(self) -> None:
        self.open()
        name = self.fleet.agent(self.order[0]).state.config.upstream
        changed = [
            replace(r, state="leaving") if isinstance(r, Upstream) and r.name == name else r
            for r in self.fleet.records
        ]
        self.fleet.publish(2, changed)
        self.fleet.run(50)
        self.assertEqual(self.count_replies(self.order[0]), 1)
        self.fleet.send(self.order[0], packet(PacketKind.OPEN, self.order[:1], 8))
        self.fleet.run(50)
        self.assertEqual(self.resets(), [Code.FLOW_REFUSED])

    def test_owner_paused_beyond_its_leases_removes_its_flow(self) -> None:
        """Guards against two owners of a flow, between which its packets would be split.

        The first owner pauses for longer than its leases, and the flow is opened at another
        upstream meanwhile.
        """
        self.open()
        paused = self.fleet.agents.pop(self.fleet.agent(self.order[0]).state.config.address)
        self.fleet.run(45_000)
        self.open(owner=1)
        self.assertEqual(self.owners(), [self.order[1]])
        self.fleet.agents[paused.state.config.address] = paused
        self.fleet.run(10_000)
        self.assertEqual(self.owners(), [self.order[1]])

    def test_claims_kept_by_fewer_than_a_quorum_end_no_flow(self) -> None:
        """Guards against a live flow that fewer witnesses than a quorum can end.

        Two witnesses keep the abandoned claim of another upstream, whose release they have missed.
        """
        self.open()
        state = self.fleet.agent(self.order[0]).state
        witnesses = state.witnesses(self.key)
        for witness in witnesses[1:3]:
            self.keep_wrong_claim(witness, witnesses[4])
            dispute = ClaimReply(self.key, DISPUTE_ROUND, witness, Code.HELD, witnesses[4])
            self.fleet.agent(self.order[0]).receive(("10.2.0.9", 1), dispute)
        self.fleet.run(50)
        self.assertEqual(self.owners(), [self.order[0]])

    def test_wrong_claim_is_released_after_the_first_packet(self) -> None:
        """Guards against a witness that forwards every packet of a flow to the wrong agent.

        The witness keeps the claim of an upstream that does not own the flow.
        """
        self.open()
        self.keep_wrong_claim(self.order[1], self.order[2])
        self.count_replies(self.order[1])
        stale = self.fleet.agent(self.order[1]).state
        self.assertIsNone(find_claim_holder(stale, self.key, self.fleet.now))
        self.fleet.run(6_000)
        self.assertEqual(self.count_replies(self.order[1]), 1)

    def test_stopping_agent_hands_its_claims_to_the_next_witness(self) -> None:
        self.open()
        core = self.fleet.agent(self.order[1])
        successor = core.state.placement.order(core.state.service, self.key, 6)[-1]
        core.stop(self.fleet.now)
        self.fleet.run(1_500)
        self.assertTrue(core.stopped)
        self.assertEqual(self.count_replies(successor), 1)

    def test_restarted_agent_recovers_its_flows(self) -> None:
        self.open()
        core = self.fleet.restart(self.order[0], incarnation=2)
        self.fleet.run(300)
        self.assertEqual(
            core.state.flows.state[core.state.flows.row(self.key)], FlowState.RECOVERED
        )
        self.assertEqual(self.count_replies(self.order[2]), 1)

    def test_agent_whose_upstream_answers_late_recovers_too(self) -> None:
        self.open()
        self.fleet.upstream(self.order[0]).silent = True
        core = self.fleet.restart(self.order[0], incarnation=2)
        self.fleet.run(3_000)
        self.fleet.upstream(self.order[0]).silent = False
        self.fleet.run(300)
        self.assertIn(self.key, core.state.flows)

    def test_packets_during_recovery_release_no_claim(self) -> None:
        """Guards against the release of a live flow's claims while its owner recovers.

        Witnesses forward packets to the restarted owner, which does not know its flow yet.
        """
        self.open()
        self.fleet.delay = (30, 30)
        self.fleet.restart(self.order[0], incarnation=2)
        self.fleet.run(10)
        for target in self.order[1:]:
            self.fleet.send(target, packet(PacketKind.DATA, [target]))
        self.fleet.run(500)
        holders = [
            find_claim_holder(self.fleet.agent(target).state, self.key, self.fleet.now)
            for target in self.order[1:]
        ]
        self.assertEqual(holders, [(ClaimState.HELD, self.order[0])] * 2)


if __name__ == "__main__":
    unittest.main()
