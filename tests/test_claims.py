"""Tests of the witness side of claims."""

import random
import unittest
from dataclasses import replace

from shallotshore.agent import AgentConfig, AgentCore
from shallotshore.agent_state import ROUND_BITS
from shallotshore.agent_tables import ClaimState
from shallotshore.catalog import Catalog
from shallotshore.claim_messages import Claim, Release, Void, VoidReply
from shallotshore.claims import (
    REQUEST_LEASE_MS,
    TOMBSTONE_LEASE_MS,
    apply_release,
    decide_claim,
    find_claim_holder,
)
from shallotshore.codes import Code
from shallotshore.control_messages import Heartbeat
from shallotshore.membership import Membership
from shallotshore.messages import ClaimKind
from tests.agents import SERVICE, records

LONG_UPTIME_MS = 100_000  # after it, the witness knows every earlier claim


def witness(revision: int = 1) -> AgentCore:
    """Returns the agent of a witness that had its first tick at 1 ms."""
    config = AgentConfig(
        ("10.2.0.0", 4000), "dc-0", "desk-0", "spotdesk", ("127.0.0.1", 0), incarnation=1
    )
    catalog = Catalog.from_records(revision, records(5))
    core = AgentCore(config, random.Random(1), catalog, Membership())
    core.tick(1)
    return core


def claim(holder: int, round_number: int, kind: ClaimKind = ClaimKind.REQUEST) -> Claim:
    """Returns a claim of key 9."""
    return Claim(9, kind, SERVICE, holder, 1, round_number, 0, 60_000, 1)


class ClaimsTest(unittest.TestCase):
    """Guards at-most-once execution: a witness must never grant one key to two holders."""

    def setUp(self) -> None:
        self.core = witness()
        self.state = self.core.state

    def decide(self, message: Claim, now: int = LONG_UPTIME_MS) -> int | None:
        reply = decide_claim(self.state, message, now)
        return None if reply is None else reply.code

    def void(self, now: int = LONG_UPTIME_MS, age: int = 0) -> int:
        # The long time since the last tick counts as a pause, and a tick after a pause drops the
        # messages received before it.
        self.core.tick(now)
        self.core.receive(("10.1.0.1", 1), Void(9, 5, SERVICE, age, 10_000, 1))
        self.core.tick(now)
        sent = [m for _, m in self.core.outbox.drain() if isinstance(m, VoidReply)]
        return sent[-1].code

    def test_second_holder_is_refused_and_learns_the_first(self) -> None:
        self.assertEqual(self.decide(claim(11, 1)), Code.OK)
        reply = decide_claim(self.state, claim(12, 1), LONG_UPTIME_MS)
        assert reply is not None
        self.assertEqual((reply.code, reply.holder), (Code.HELD, 11))

    def test_repeated_claim_is_granted_again(self) -> None:
        """When a granting reply is lost, the holder sends its claim again and must get a grant."""
        self.assertEqual([self.decide(claim(11, 1)) for _ in range(2)], [Code.OK, Code.OK])

    def test_late_copies_of_an_ended_round_change_nothing(self) -> None:
        """Copies of round 1 that are delayed until round 2 holds the key must not free it."""
        self.decide(claim(11, 1))
        apply_release(self.state, Release(9, 11, 1), LONG_UPTIME_MS)
        self.assertIsNone(self.decide(claim(11, 1)))
        self.assertEqual(self.decide(claim(11, 2)), Code.OK)
        self.assertIsNone(self.decide(claim(11, 1)))
        apply_release(self.state, Release(9, 11, 1), LONG_UPTIME_MS)
        self.assertEqual(self.decide(claim(12, 1)), Code.HELD)

    def test_release_before_its_claim_stops_the_claim(self) -> None:
        """A claim that the network delivers after its release would block the key for its lease."""
        apply_release(self.state, Release(9, 11, 1), LONG_UPTIME_MS)
        self.assertIsNone(self.decide(claim(11, 1)))
        self.assertEqual(self.decide(claim(12, 1)), Code.OK)
        self.assertEqual(self.decide(claim(11, 1), LONG_UPTIME_MS + TOMBSTONE_LEASE_MS), Code.HELD)

    def test_release_of_another_holder_frees_nothing(self) -> None:
        """A refused claimant releases its own claim and must not free that of the holder."""
        self.decide(claim(11, 1))
        apply_release(self.state, Release(9, 12, 7), LONG_UPTIME_MS)
        self.assertEqual(self.decide(claim(12, 8)), Code.HELD)

    def test_restarted_holder_is_refused_its_own_request(self) -> None:
        """The earlier process of the agent may have run the request; the new one can't know."""
        self.decide(claim(11, 1))
        self.assertEqual(self.decide(replace(claim(11, 5), incarnation=2)), Code.HELD)
        self.assertEqual(self.decide(claim(11, 6)), Code.OK)

    def test_restarted_holder_frees_no_request_of_its_predecessor(self) -> None:
        """The release that it sends after a refused claim must not free the earlier claim.

        Otherwise another agent could run the request a second time.
        """
        first, second = (incarnation << ROUND_BITS for incarnation in (1, 2))
        self.decide(claim(11, first))
        self.decide(replace(claim(11, second), incarnation=2))
        apply_release(self.state, Release(9, 11, second), LONG_UPTIME_MS)
        self.assertEqual(self.decide(claim(12, 1)), Code.HELD)

    def test_restarted_holder_frees_flows_of_its_predecessor(self) -> None:
        """A recovered flow that ends must not stay claimed until its lease ends."""
        first, second = (incarnation << ROUND_BITS for incarnation in (1, 2))
        self.decide(claim(11, first, ClaimKind.FLOW))
        apply_release(self.state, Release(9, 11, second), LONG_UPTIME_MS)
        self.assertEqual(self.decide(claim(12, 1, ClaimKind.FLOW)), Code.OK)

    def test_repeatable_key_has_several_holders_and_frees_one_by_one(self) -> None:
        """A void must not be granted while any attempt of a repeatable request may still run."""
        kind = ClaimKind.REPEATABLE_REQUEST
        self.assertEqual(self.decide(claim(11, 1, kind)), Code.OK)
        self.assertEqual(self.decide(claim(12, 1, kind)), Code.OK)
        apply_release(self.state, Release(9, 11, 1), LONG_UPTIME_MS)
        self.assertEqual(self.void(), Code.HELD)
        apply_release(self.state, Release(9, 12, 1), LONG_UPTIME_MS)
        self.assertEqual(self.void(), Code.OK)

    def test_void_and_claim_exclude_each_other(self) -> None:
        """A request that was reported as not run must not be started by a delayed attempt."""
        self.assertEqual(self.void(), Code.OK)
        for kind in (ClaimKind.REQUEST, ClaimKind.REPEATABLE_REQUEST):
            self.assertEqual(self.decide(claim(11, 1, kind)), Code.VOIDED)
        self.assertEqual(self.void(), Code.OK)

    def test_claimed_key_is_not_voided(self) -> None:
        """A request that an agent may have started must not be reported as not run."""
        self.decide(claim(11, 1))
        self.assertEqual(self.void(), Code.HELD)

    def test_young_witness_refuses_older_requests(self) -> None:
        """A restarted witness has lost its grants.

        So it must refuse requests unless it has run for at least their age plus the greatest packet
        delay.
        """
        self.assertEqual(self.decide(claim(11, 1), now=2_000), Code.TOO_YOUNG)
        self.assertEqual(self.decide(replace(claim(11, 1), age=3_000), now=5_000), Code.TOO_YOUNG)
        self.assertEqual(self.void(now=5_000, age=3_000), Code.TOO_YOUNG)
        self.assertEqual(self.decide(replace(claim(11, 1), age=2_900), now=5_000), Code.OK)

    def test_claim_under_an_older_table_is_refused(self) -> None:
        """Claimants with an older and with the new table of upstreams ask different witnesses."""
        core = witness(revision=4)
        reply = decide_claim(core.state, replace(claim(11, 1), membership=3), LONG_UPTIME_MS)
        assert reply is not None
        self.assertEqual(reply.code, Code.STALE_TABLE)

    def test_claim_of_another_service_is_not_answered(self) -> None:
        self.assertIsNone(self.decide(replace(claim(11, 1), service=1)))

    def test_request_claim_expires_after_its_lease(self) -> None:
        self.decide(claim(11, 1))
        self.assertEqual(
            self.decide(claim(12, 1), LONG_UPTIME_MS + REQUEST_LEASE_MS - 1), Code.HELD
        )
        self.assertEqual(self.decide(claim(12, 2), LONG_UPTIME_MS + REQUEST_LEASE_MS), Code.OK)

    def test_heartbeats_renew_flow_claims(self) -> None:
        holder = self.state.peer_ids()[0]
        self.decide(claim(holder, 1, ClaimKind.FLOW))
        heartbeat = Heartbeat(holder, SERVICE, 1, 1, 1, 1, self.state.load(), 1, 1, 9)  # type: ignore
        self.core.tick(LONG_UPTIME_MS + 29_000)
        self.core.receive(("10.2.0.1", 4000), heartbeat)
        self.core.tick(LONG_UPTIME_MS + 29_000)
        self.assertIsNotNone(find_claim_holder(self.state, 9, LONG_UPTIME_MS + 58_000))
        self.assertIsNone(find_claim_holder(self.state, 9, LONG_UPTIME_MS + 59_000))

    def test_new_incarnation_of_the_holder_loses_its_flows(self) -> None:
        """The flows of a restarted upstream are gone, and the releases of its agent may be lost.

        So the witnesses must mark the claims as lost, since nobody else can tell the callers.
        """
        holder = self.state.peer_ids()[0]
        self.decide(claim(holder, 1, ClaimKind.FLOW))
        self.core.tick(LONG_UPTIME_MS)
        heartbeat = Heartbeat(holder, SERVICE, 1, 2, 1, 1, self.state.load(), 1, 0, 0)  # type: ignore
        self.core.receive(("10.2.0.1", 4000), heartbeat)
        self.core.tick(LONG_UPTIME_MS)
        self.assertEqual(
            find_claim_holder(self.state, 9, LONG_UPTIME_MS), (ClaimState.LOST, holder)
        )

    def test_full_table_refuses_new_keys(self) -> None:
        """A grant without a record would let a second holder have the key."""
        self.decide(claim(11, 1))
        self.state.claims._limit = 1
        self.assertEqual(self.decide(replace(claim(11, 2), key=10)), Code.TABLE_FULL)
        self.assertEqual(self.decide(claim(11, 1)), Code.OK)


if __name__ == "__main__":
    unittest.main()
