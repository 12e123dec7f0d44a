"""Learned capacity in the packet front end: what callers get, reports, restarts and log lines."""

import random
import unittest

from shallotshore.packets.balancer_state import BalancerState
from shallotshore.packets.feed_content import UpstreamChange
from shallotshore.packets.selection import rank_upstreams
from shallotshore.packets.view import Feed, Upstream
from shallotshore.scheduling.terms import RequestTerms
from standins.packet_deployments import DeploymentSize, LoadedDeployment
from standins.packet_load import LoadShape
from standins.packet_world import VIP, PacketWorld

TARGET_MS = 300
WORK_MS = 26
UPSTREAMS = 12
SHORT, AMPLE = 0.85, 0.3  # load as a share of the upstreams' capacity
# Uneven: a quarter at 0.55 of the nominal speed, the others at 1.2. Slowed: two of twelve five
# times slower.
UNEVEN_MS = [47 if number % 4 == 0 else 22 for number in range(UPSTREAMS)]
SLOWED_MS = [130 if number in (0, 5) else WORK_MS for number in range(UPSTREAMS)]
HOSTS = ("10.1.0.1", "10.1.0.2", "10.1.0.3")


class ServedTest(unittest.TestCase):
    """Guards against learned values that serve callers worse than load per slot does."""

    def share_in_time(self, durations_ms: list[int], load: float, target_ms: int) -> float:
        """Returns the share of requests, each on a new flow, that are answered in 150 ms."""
        per_s = load * sum(1_000 / duration_ms for duration_ms in durations_ms)
        shape = LoadShape(per_s, 150, 2_500, is_pooled=False, is_repeatable=True)
        size = DeploymentSize(("bud-a", "bud-b", "bud-c"), UPSTREAMS, 6, 1, WORK_MS, (shape,))
        deployment = LoadedDeployment(size, target_ms=target_ms)
        for host, duration_ms in zip(deployment.upstreams, durations_ms, strict=True):
            deployment.world.upstreams[host].request_duration_ms = duration_ms
        start = deployment.trouble_at + 1_000
        deployment.world.run(5_000)
        return deployment.load.share_in_time(start, start + 3_500)

    def test_more_callers_are_in_time_when_room_is_short(self) -> None:
        """Fails when uneven upstreams near their capacity are used like equal ones."""
        for durations_ms in (UNEVEN_MS, SLOWED_MS):
            with self.subTest(durations_ms=durations_ms):
                before = self.share_in_time(durations_ms, SHORT, 0)
                after = self.share_in_time(durations_ms, SHORT, TARGET_MS)
                print(f"in time at load {SHORT}: {before:.4f} without, {after:.4f} with a target")
                self.assertGreater(after, before)

    def test_no_fewer_callers_are_in_time_when_there_is_room(self) -> None:
        """Fails when trying slow upstreams costs callers more than using them all the time."""
        for durations_ms in (UNEVEN_MS, SLOWED_MS):
            with self.subTest(durations_ms=durations_ms):
                before = self.share_in_time(durations_ms, AMPLE, 0)
                after = self.share_in_time(durations_ms, AMPLE, TARGET_MS)
                print(f"in time at load {AMPLE}: {before:.4f} without, {after:.4f} with a target")
                self.assertGreaterEqual(after, before)


class LearnedCapacityTest(unittest.TestCase):
    """Guards against learned values that are not reported, not forgotten or used unasked."""

    def start(self, target_ms: int = TARGET_MS) -> PacketWorld:
        """Returns a deployment of three upstreams, the last of which is five times slower."""
        world = PacketWorld()
        world.configure(terms={VIP: RequestTerms(target_ms=target_ms)})
        world.add_balancer("10.1.9.1")
        for host in HOSTS:
            world.add_agent(host)
            world.publish(host)
        world.upstreams[HOSTS[2]].request_duration_ms = 100
        world.run(1_000)
        return world

    def send_requests(self, world: PacketWorld, first_port: int, count: int = 120) -> None:
        """Opens a flow with one request every 10 ms."""
        for number in range(count):
            world.open_flow(first_port + number).request(b"%d" % number)
            world.run(10)

    def state(self, world: PacketWorld) -> BalancerState:
        return world.balancers["10.1.9.1"].state

    def speed_lines(self, world: PacketWorld) -> list[tuple[object, object]]:
        """Removes the log lines so far; returns upstream and `is_usual` of those about speeds."""
        lines = self.state(world).log.drain()
        return [
            (fields["upstream"], fields["is_usual"])
            for _, event, fields in lines
            if event == "upstream_speed"
        ]

    def test_reports_carry_what_agents_have_learned(self) -> None:
        """Fails when a balancer does not get the service time of a slow upstream."""
        world = self.start()
        self.send_requests(world, 2_000)
        upstreams = self.state(world).upstreams
        rows = [upstreams.row(host) for host in upstreams.keys()]
        self.assertEqual([20, 20, 100], sorted(round(upstreams.service_ms[row]) for row in rows))
        self.assertGreater(max(upstreams.load_weight[row] for row in rows), 2.0)
        flows = [len(world.upstreams[host].executed_requests) for host in HOSTS]
        self.assertLess(flows[2], min(flows[:2]))

    def test_without_a_target_nothing_changes(self) -> None:
        """Fails when a deployment that declares no target latency is served in another way."""
        world = self.start(target_ms=0)
        self.send_requests(world, 2_000)
        state = self.state(world)
        upstreams = state.upstreams
        for host in upstreams.keys():
            row = upstreams.row(host)
            self.assertEqual(0.0, upstreams.service_ms[row])
            self.assertEqual(0.0, upstreams.concurrency[row])
            self.assertEqual(0.0, upstreams.load_weight[row])
        # Learned values of other processes have no effect either.
        service = upstreams.service[0]
        state.rng = random.Random(5)
        before = rank_upstreams(state, service, [], world.now)
        for row in upstreams.rows():
            upstreams.service_ms[row], upstreams.concurrency[row] = 99.0 / (row + 1), 1.0
        state.rng = random.Random(5)
        self.assertEqual(before, rank_upstreams(state, service, [], world.now))

    def test_a_new_incarnation_starts_without_a_past(self) -> None:
        """Fails when a replacement under the same address inherits the estimate."""
        world = self.start()
        self.send_requests(world, 2_000)
        agent = world.agents[HOSTS[2]].state
        self.assertEqual(100.0, agent.learned_values(world.now)[0])
        host = HOSTS[2]
        world.store.append_change(
            Feed.UPSTREAMS, lambda rev: UpstreamChange(f"i-{host}", rev, None)
        )

        def make_change(revision: int) -> UpstreamChange:
            record = Upstream("i-new", "spend", host, 8080, "bud-a", 3, False, 0, revision)
            return UpstreamChange(record.id, revision, record)

        world.store.append_change(Feed.UPSTREAMS, make_change)
        world.run(500)
        self.assertEqual((0.0, 3.0), agent.learned_values(world.now))

    def test_silent_agents_count_with_the_declared_slots(self) -> None:
        """Fails when a value that no report has confirmed for long still decides."""
        world = self.start()
        self.send_requests(world, 2_000)
        state = self.state(world)
        world.disconnected_hosts.update(HOSTS)
        world.run(1_500)
        self.assertEqual({}, state.median_service_ms)
        self.assertEqual(
            {0.0}, {state.upstreams.load_weight[row] for row in state.upstreams.rows()}
        )

    def test_a_speed_is_logged_when_it_leaves_or_returns(self) -> None:
        """Fails when each report of a slow upstream writes a line, or its recovery none."""
        world = self.start()
        self.speed_lines(world)
        self.send_requests(world, 2_000, count=300)
        self.assertEqual([(HOSTS[2], False)], self.speed_lines(world))
        world.upstreams[HOSTS[2]].request_duration_ms = 20
        self.send_requests(world, 3_000, count=700)
        self.assertEqual([(HOSTS[2], True)], self.speed_lines(world))


if __name__ == "__main__":
    unittest.main()
