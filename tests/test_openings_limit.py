"""Limits on the new flows that an upstream gets, while it is cold or leaves."""

import unittest

from standins.packet_world import NETWORK_DELAY_MS, PacketWorld
from tests.test_packet_flows import AGENTS, IN_FORCE_MS, OTHER_VIP, make_world


class LimitTest(unittest.TestCase):
    """Limits on the new flows that an upstream gets."""

    def test_cold_upstream_gets_no_more_than_declared_in_any_second(self) -> None:
        """Guards against overloading a cold upstream after it has returned.

        The limit is two flows a second times 1.5, and five flows on top.
        """
        world = make_world(cold_per_s=2.0, agents=AGENTS[:1])
        world.publish(AGENTS[0], cold_ms=4_000)
        world.run(100)
        for number in range(60):
            world.open_flow(4000 + number)
            world.run(50)
        opening_times_ms = world.upstreams[AGENTS[0]].opening_times_ms
        self.assertGreater(len(opening_times_ms), 8)
        for at in opening_times_ms:
            self.assertLessEqual(
                len([one for one in opening_times_ms if at <= one < at + 1_000]), 8
            )

    def test_restarted_agent_beside_a_cold_upstream_counts_the_second_before(self) -> None:
        """Guards against an agent that exceeds the limit after a restart.

        It no longer knows which flows it admitted in the second before the restart.
        """
        world = make_world(cold_per_s=2.0, agents=AGENTS[:1])
        world.publish(AGENTS[0], cold_ms=4_000)
        world.run(100)
        for number in range(20):
            world.open_flow(4000 + number)
        world.run(200)
        world.add_agent(AGENTS[0], is_first_start=False)
        for number in range(20):
            world.open_flow(5000 + number)
        world.run(2_000)
        opening_times_ms = world.upstreams[AGENTS[0]].opening_times_ms
        for at in opening_times_ms:
            self.assertLessEqual(
                len([one for one in opening_times_ms if at <= one < at + 1_000]), 8
            )

    def test_agent_that_starts_with_its_upstream_does_not_trust_the_entry_of_before(self) -> None:
        """Guards against overloading an upstream by the entry of its last process.

        Review case 9: after a power loss the agent's first copy of the entry says that the upstream
        is warm; the new entry follows within a heartbeat.
        """
        world = make_world(cold_per_s=2.0, agents=AGENTS[:1])
        world.upstreams[AGENTS[0]].restart()
        world.add_agent(AGENTS[0], is_first_start=False)
        world.call_later(700, lambda: world.publish(AGENTS[0], cold_ms=3_000))
        for number in range(80):
            world.open_flow(4000 + number)
            world.run(25)
        self.check_rate(world)

    def test_agent_that_starts_beside_a_running_upstream_trusts_the_entry(self) -> None:
        """Guards against a limit on a warm upstream after each restart of its agent.

        A flow of before shows that the upstream has run since then.
        """
        world = make_world(cold_per_s=2.0, agents=AGENTS[:1])
        world.run(IN_FORCE_MS)  # until the first start no longer counts as cold
        client = world.open_flow(4000)
        world.run(300)
        world.add_agent(AGENTS[0], is_first_start=False)
        world.run(100)
        client.request(b"x")
        world.run(300)
        self.assertEqual([b"200 x"], client.answers)
        self.check_unlimited(world)

    def crash_upstream(self, world: PacketWorld, down_ms: int) -> None:
        """Lets the upstream crash and start again; its new entry follows within a heartbeat."""
        upstream = world.upstreams[AGENTS[0]]
        upstream.restart()
        upstream.is_silent = True
        world.call_later(down_ms, lambda: setattr(upstream, "is_silent", False))
        world.call_later(down_ms, upstream.opening_times_ms.clear)
        world.call_later(down_ms + 700, lambda: world.publish(AGENTS[0], cold_ms=3_000))

    def test_upstream_that_comes_back_cold_is_limited_before_its_entry_says_so(self) -> None:
        """Guards against overloading an upstream that restarts beside a running agent.

        Review case 8: the new entry follows within a heartbeat, and copies of opening packets from
        the time before the restart went to the upstream without a limit.
        """
        for down_ms in (40, 600, 2_000):
            world = make_world(cold_per_s=2.0, agents=AGENTS[:1])
            world.run(IN_FORCE_MS)
            clients = [world.open_flow(3000 + number) for number in range(5)]
            world.run(300)
            self.crash_upstream(world, down_ms)
            for number in range(140):
                world.open_flow(4000 + number)
                if number % 4 == 0:
                    clients[number // 4 % 5].request(b"x")
                world.run(25)
            self.check_rate(world)

    def test_silent_upstream_that_goes_on_with_its_flows_is_not_limited(self) -> None:
        """Guards against a limit on a warm upstream that did not answer for a moment."""
        world = make_world(cold_per_s=2.0, agents=AGENTS[:1])
        world.run(IN_FORCE_MS)
        client = world.open_flow(3000)
        world.run(300)
        world.upstreams[AGENTS[0]].is_silent = True
        client.request(b"x")
        world.run(1_000)
        world.upstreams[AGENTS[0]].is_silent = False
        world.run(1_200)
        self.assertEqual([b"200 x"], client.answers)
        self.check_unlimited(world)

    def test_upstream_that_abandons_an_idle_flow_is_not_limited(self) -> None:
        """Guards against a limit on a warm upstream that has discarded a flow after a time-out."""
        world = make_world(cold_per_s=2.0, agents=AGENTS[:1])
        world.run(IN_FORCE_MS)
        client = world.open_flow(3000)
        world.run(20_000)
        world.upstreams[AGENTS[0]].restart()
        client.request(b"x")
        world.run(300)
        self.assertIsNotNone(client.reset_at)
        self.check_unlimited(world)

    def test_returned_packet_of_an_idle_flow_leaves_the_restart_open(self) -> None:
        """Guards against flows without a limit after a crash that only idle flows notice.

        Review case 14: the returned packet cleared the note that the upstream had been silent, so
        that the first flow that it accepted showed no restart.
        """
        world = make_world(cold_per_s=2.0, agents=AGENTS[:1])
        world.run(IN_FORCE_MS)
        client = world.open_flow(3000)
        world.run(6_000)
        self.crash_upstream(world, 1_600)
        world.open_flow(3001)
        world.run(1_610)
        client.request(b"x")
        world.run(100)
        self.assertIsNotNone(client.reset_at)
        for number in range(40):
            world.open_flow(4000 + number)
            world.run(10)
        self.check_rate(world)

    def check_unlimited(self, world: PacketWorld) -> None:
        """Checks that the upstream takes more flows than a cold one would get."""
        clients = []
        for number in range(20):
            clients.append(world.open_flow(5000 + number))
            world.run(25)
        world.run(300)
        self.assertNotIn(None, [one.opened_at for one in clients])

    def check_rate(self, world: PacketWorld) -> None:
        """Checks the limit of two flows a second times 1.5, and five on top, in any second."""
        times_ms = world.upstreams[AGENTS[0]].opening_times_ms
        self.assertGreater(len(times_ms), 0)
        for at in times_ms:
            self.assertLessEqual(len([one for one in times_ms if at <= one < at + 1_000]), 8)

    def test_cold_upstream_without_a_declared_limit_takes_flows(self) -> None:
        """Guards against limiting a cold upstream when no limit is declared for its service.

        After a power loss such a service got no flows, and 300 requests failed.
        """
        world = make_world(agents=AGENTS[:1])
        world.publish(AGENTS[0], cold_ms=4_000)
        world.add_agent(AGENTS[0], is_first_start=False)
        world.run(100)
        clients = [world.open_flow(4000 + number) for number in range(3)]
        world.run(100)
        self.assertNotIn(None, [client.opened_at for client in clients])

    def test_leaving_upstream_gets_no_new_flow(self) -> None:
        """Guards against new flows at an upstream that is drained; its open flows continue."""
        world = make_world()
        client = world.open_flow(4000)
        world.run(300)
        for host in AGENTS[:2]:
            world.publish(host, is_leaving=True)
        world.run(IN_FORCE_MS)
        before = [len(world.upstreams[host].opening_times_ms) for host in AGENTS]
        clients = [world.open_flow(5000 + number) for number in range(9)]
        client.request(b"x")
        world.run(300)
        after = [len(world.upstreams[host].opening_times_ms) for host in AGENTS]
        self.assertEqual(before[:2], after[:2])
        self.assertNotIn(None, [one.opened_at for one in clients])
        self.assertEqual([b"200 x"], client.answers)

    def test_agent_refuses_flows_for_its_leaving_upstream(self) -> None:
        """Guards against a balancer with stale records that offers flows to a leaving upstream.

        The agent must refuse them.
        """
        world = make_world(agents=AGENTS[:1])
        world.publish(AGENTS[0], is_leaving=True)
        world.run(200)
        for balancer in world.balancers.values():
            row = balancer.state.upstreams.row(next(iter(balancer.state.upstreams.keys())))
            balancer.state.upstreams.leaving[row] = 0
            balancer.state.upstreams.health[row] = 1
        world.open_flow(4000)
        world.run(NETWORK_DELAY_MS * 4)
        self.assertEqual([], world.upstreams[AGENTS[0]].opening_times_ms)

    def test_data_centre_that_is_out_gets_no_new_flow(self) -> None:
        """Guards against new flows in an evacuated data centre, and against one that stays out."""
        world = make_world()
        world.set_data_centre("bud-a", True)
        world.run(200)
        client = world.open_flow(4000)
        world.run(300)
        self.assertIsNone(client.opened_at)
        world.set_data_centre("bud-a", False)
        world.run(500)
        self.assertIsNotNone(client.opened_at)

    def test_dropped_route_is_reset_and_the_new_one_served(self) -> None:
        """Guards against serving a dropped route, and against not serving a new one."""
        world = make_world()
        client = world.open_flow(4000)
        world.run(300)
        world.configure({OTHER_VIP: "spend"})
        world.run(100)
        client.request(b"x")
        late = world.open_flow(4001)
        new = world.open_flow(4002, OTHER_VIP)
        world.run(200)
        self.assertIsNotNone(client.reset_at)
        self.assertIsNone(late.opened_at)
        self.assertIsNotNone(new.opened_at)


if __name__ == "__main__":
    unittest.main()
