"""Tests of the handover from a stopping witness to its successor."""

import unittest

from shallotshore.claim_messages import Claim, Handover
from shallotshore.claims import decide_claim
from shallotshore.codes import Code
from shallotshore.messages import ClaimKind
from tests.agents import SERVICE, Fleet

KEY = 9


class HandoverTest(unittest.TestCase):
    """Guards requests during planned restarts of witnesses.

    Without a handover, a restarted witness refuses requests for 2 s. With a handover that misses
    later grants, it would grant a key a second time.
    """

    def setUp(self) -> None:
        self.fleet = Fleet(5)
        self.fleet.wait_until_former_tables_known()
        self.witness = self.fleet.order(KEY)[0]

    def claim(self, holder: int, age: int = 100, key: int = KEY) -> int | None:
        state = self.fleet.agent(self.witness).state
        table = state.catalog.membership(SERVICE)
        claim = Claim(key, ClaimKind.REQUEST, SERVICE, holder, 1, 1, age, 14_000, table)
        reply = decide_claim(state, claim, self.fleet.now)
        return None if reply is None else reply.code

    def stop(self) -> None:
        core = self.fleet.agent(self.witness)
        core.stop(self.fleet.now)
        while not core.stopped:
            self.fleet.run(5)

    def test_successor_grants_at_once_and_knows_the_claims(self) -> None:
        self.assertEqual(self.claim(11), Code.OK)
        self.stop()
        self.fleet.restart(self.witness, incarnation=2)
        self.fleet.run(60)
        self.assertEqual(self.claim(12), Code.HELD)
        self.assertEqual(self.claim(12, key=10), Code.OK)

    def test_packet_loss_delays_the_handover_but_loses_no_claim(self) -> None:
        """A successor that has received only some parts must not grant keys in the missing ones."""
        self.fleet.loss = 0.3
        keys = range(100, 160)
        self.assertEqual({self.claim(11, key=key) for key in keys}, {Code.OK})
        self.stop()
        self.fleet.restart(self.witness, incarnation=2)
        self.fleet.run(400)
        self.assertLessEqual({self.claim(12, key=key) for key in keys}, {Code.HELD, Code.TOO_YOUNG})

    def test_stopped_witness_grants_nothing_more(self) -> None:
        """A claim granted after the handover was made would be missing from it."""
        self.stop()
        self.assertIsNone(self.claim(11))

    def test_killed_agent_hands_nothing_over(self) -> None:
        """Without a handover, the successor must refuse requests older than itself."""
        self.claim(11)
        self.fleet.restart(self.witness, incarnation=2)
        self.fleet.run(60)
        self.assertEqual(self.claim(12), Code.TOO_YOUNG)

    def test_second_successor_does_not_get_the_same_handover(self) -> None:
        """The handover misses what the first successor has granted before it was killed."""
        self.stop()
        self.fleet.restart(self.witness, incarnation=2)
        self.fleet.run(60)
        self.assertEqual(self.claim(11), Code.OK)
        self.fleet.restart(self.witness, incarnation=3)
        self.fleet.run(60)
        self.assertEqual(self.claim(12), Code.TOO_YOUNG)

    def test_handover_is_not_served_late(self) -> None:
        """Another successor, unknown to the recipient, may have granted claims meanwhile."""
        self.stop()
        gone = self.fleet.agents.pop(self.fleet.agent(self.witness).state.config.address)
        self.fleet.run(1_100)
        self.fleet.agents[gone.state.config.address] = gone
        self.fleet.restart(self.witness, incarnation=3)
        self.fleet.run(60)
        self.assertEqual(self.claim(12), Code.TOO_YOUNG)

    def test_handover_meant_for_another_process_is_refused(self) -> None:
        """A part that is delayed until the next restart misses what was granted in between."""
        core = self.fleet.restart(self.witness, incarnation=3)
        core.receive(("10.2.0.9", 1), Handover(SERVICE, self.witness, 1, 2, 60_000, 0, 1, ()))
        self.fleet.run(60)
        self.assertEqual(self.claim(12), Code.TOO_YOUNG)


if __name__ == "__main__":
    unittest.main()
