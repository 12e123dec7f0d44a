"""Tests of agents under random message loss, duplication, reordering and restarts, by seed."""

import random
import unittest
from collections import Counter

from shallotshore.agent_messages import AttemptAnswer, FlowReply, FlowReset
from shallotshore.codes import Code
from shallotshore.hashing import request_key
from shallotshore.messages import PacketKind
from shallotshore.records import Upstream
from tests.agents import VIP, Fleet, attempt, packet

SEEDS = range(6)
REQUEST_COUNT = 40


def faulty_fleet(seed: int) -> Fleet:
    """Returns a fleet whose network loses, duplicates and reorders messages."""
    fleet = Fleet(5, seed, slots=3, cold_limit=1)
    fleet.wait_until_former_tables_known()
    fleet.loss, fleet.duplication, fleet.delay = 0.1, 0.2, (1, 40)
    return fleet


def count_runs(fleet: Fleet) -> Counter[bytes]:
    """Returns how often each request reached an upstream."""
    started = [request for u in fleet.upstreams.values() for request in u.started()]
    return Counter(request.payload for request in started)


class FaultsTest(unittest.TestCase):
    """Guards the promises that must hold at any time, whichever messages are lost or repeated."""

    def test_no_request_runs_twice(self) -> None:
        """Guards against a request that starts twice.

        Two balancers send attempts of each request to different agents while agents restart.
        """
        for seed in SEEDS:
            with self.subTest(seed=seed):
                fleet = faulty_fleet(seed)
                rng = random.Random(seed)
                for number in range(REQUEST_COUNT):
                    name = f"bid-{number}".encode()
                    order = fleet.order(request_key(VIP, name))
                    for copy, target in enumerate(rng.sample(order, 2)):
                        fleet.send(target, attempt(name, order, 10 * number + copy))
                        fleet.run(rng.randrange(0, 30))
                    if number % 13 == 12:
                        restarted = rng.choice(
                            [r for r in fleet.records if isinstance(r, Upstream)]
                        )
                        fleet.start(restarted, incarnation=number)
                        fleet.run(rng.randrange(0, 4_000))
                fleet.run(3_000)
                count = count_runs(fleet)
                self.assertLessEqual(max(count.values()), 1)
                done = {a.key for a in fleet.answers(AttemptAnswer) if a.code == Code.OK}
                self.assertGreater(len(done), REQUEST_COUNT // 2)

    def test_flow_has_one_owner(self) -> None:
        """Guards against two owners of a flow whose opening packet reached several agents."""
        for seed in SEEDS:
            with self.subTest(seed=seed):
                fleet = faulty_fleet(seed)
                for flow in range(20):
                    opening = packet(PacketKind.OPEN, (), flow)
                    order = fleet.order(opening.key)
                    for target in order:
                        fleet.send(target, packet(PacketKind.OPEN, order, flow))
                    fleet.run(20)
                fleet.run(3_000)
                owners: Counter[int] = Counter()
                for core in fleet.agents.values():
                    owners.update(core.state.flows.keys())
                self.assertEqual(set(owners.values()), {1})
                self.assertGreaterEqual(len(owners), 15)

    def test_flows_live_through_restarts_of_agents(self) -> None:
        """Guards against flows that are reset when only their agent restarts, not the upstream."""
        fleet = Fleet(5, 3)
        fleet.wait_until_former_tables_known()
        packets = [packet(PacketKind.OPEN, (), flow) for flow in range(20)]
        for opening in packets:
            order = fleet.order(opening.key)
            fleet.send(order[0], packet(PacketKind.OPEN, order, opening.flow))
            fleet.run(20)
        fleet.loss = 0.05
        for number, record in enumerate(r for r in fleet.records if isinstance(r, Upstream)):
            fleet.start(record, incarnation=2 + number)
            fleet.run(4_000)
        fleet.heard.clear()
        fleet.loss = 0.0
        for opening in packets:
            order = fleet.order(opening.key)
            fleet.send(order[0], packet(PacketKind.DATA, order, opening.flow))
        fleet.run(100)
        self.assertEqual(fleet.answers(FlowReset), [])
        self.assertEqual(len({reply.key for reply in fleet.answers(FlowReply)}), 20)


if __name__ == "__main__":
    unittest.main()
