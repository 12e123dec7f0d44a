"""What callers get while the heaviest troubles are played on deployments of the users' sizes."""

import unittest
from collections.abc import Callable

from standins.packet_deployments import (
    BALANCER_START_MS,
    BARLEYDESK,
    COLD_MS,
    KOLTEG,
    START_SPREAD_MS,
    DeploymentSize,
    LoadedDeployment,
)
from standins.packet_load import LoadShape

SECOND_MS = 1_000
SHARE_OF_CALM_LEVEL = 0.9  # of the requests of each second that are answered in time
DOWN_MS = 1_400
BURST_FACTOR = 1.7
RETURN_MS = 4_500  # of an upstream that is away for 2.5 s and cold for 2 s
MIN_FAIRNESS = 0.9  # of the worst client account's share against the mean
SIZES = (BARLEYDESK, KOLTEG)


class LoadTest(unittest.TestCase):
    """Base of the tests of one trouble."""

    def check_seconds(self, deployment: LoadedDeployment, first: int, last: int) -> None:
        """Checks the share that is answered in time in each second after the trouble began."""
        load, start = deployment.load, deployment.trouble_at
        calm = load.share_in_time(start - 3 * SECOND_MS, start - SECOND_MS)
        for second in range(first, last):
            at = start + second * SECOND_MS
            share = load.share_in_time(at, at + SECOND_MS)
            self.assertGreaterEqual(share, SHARE_OF_CALM_LEVEL * calm, f"second {second}")

    def check_at_most_once(self, deployment: LoadedDeployment) -> None:
        """Checks that no request was run twice of those that must not be repeated."""
        runs: dict[bytes, int] = {}
        for upstream in deployment.world.upstreams.values():
            for payload in upstream.executed_requests:
                runs[payload] = runs.get(payload, 0) + 1
        for record in deployment.load.records:
            if not record.shape.is_repeatable:
                self.assertLessEqual(runs.get(record.payload, 0), 1)

    def check_fairness(self, deployment: LoadedDeployment, first: int, last: int) -> None:
        """Checks that no client account is answered much less often than the mean."""
        start = deployment.trouble_at
        made = deployment.load.made_between(start + first * SECOND_MS, start + last * SECOND_MS)
        shares = []
        for customer in range(deployment.load.customers):
            own = [record for record in made if record.customer == customer]
            shares.append(sum(record.answered_at is not None for record in own) / len(own))
        self.assertGreaterEqual(min(shares), MIN_FAIRNESS * sum(shares) / len(shares))

    def for_each_size(
        self,
        check: Callable[[LoadedDeployment], None],
        sizes: tuple[DeploymentSize, ...] = SIZES,
        seed: int = 1,
    ) -> None:
        """Calls a check with a loaded deployment of each size, in a sub-test of its own."""
        for size in sizes:
            with self.subTest(data_centre=size.data_centres[0], upstreams=size.upstreams):
                check(LoadedDeployment(size, seed))


class PowerLossTest(LoadTest):
    """All processes end at once, and the backlog of callers returns."""

    BACK_MS = DOWN_MS + BALANCER_START_MS + START_SPREAD_MS

    def test_service_is_back_as_soon_as_upstreams_are_warm(self) -> None:
        """Guards against a backlog, or load that is only believed, that delays the recovery."""

        def check(deployment: LoadedDeployment) -> None:
            deployment.lose_power(DOWN_MS)
            deployment.world.run(9 * SECOND_MS)
            warm = -(-(self.BACK_MS + COLD_MS) // SECOND_MS)
            self.check_seconds(deployment, warm, warm + 3)
            self.check_at_most_once(deployment)
            self.check_fairness(deployment, 0, warm)

        self.for_each_size(check)

    def test_no_load_is_left_behind(self) -> None:
        """Guards against agents that go on to count requests whose callers have given up."""

        def check(deployment: LoadedDeployment) -> None:
            deployment.lose_power(DOWN_MS)
            deployment.world.run(3 * SECOND_MS)
            deployment.load.stop()
            deployment.world.run(6 * SECOND_MS)
            agents = deployment.world.agents.values()
            self.assertEqual([0] * len(agents), [agent.state.in_flight for agent in agents])

        self.for_each_size(check)

    def test_callers_of_lost_flows_are_answered_before_their_deadline(self) -> None:
        """Guards against requests on flows that nobody holds, which wait until their deadline."""

        def check(deployment: LoadedDeployment) -> None:
            deployment.lose_power(DOWN_MS)
            deployment.world.run(6 * SECOND_MS)
            back = deployment.trouble_at + self.BACK_MS
            share = deployment.load.share_answered(back, back + 2 * SECOND_MS)
            self.assertGreaterEqual(share, 0.99)

        self.for_each_size(check, (KOLTEG,))


class PlannedChangeTest(LoadTest):
    """Troubles that no caller should notice."""

    def check_unnoticed(self, deployment: LoadedDeployment, seconds: int) -> None:
        deployment.world.run((seconds + 3) * SECOND_MS)
        self.check_seconds(deployment, 0, seconds)
        self.check_at_most_once(deployment)
        self.check_fairness(deployment, 0, seconds)

    def test_burst(self) -> None:
        """Guards against a queue that does not drain after 1.7 times the usual load."""

        def check(deployment: LoadedDeployment) -> None:
            deployment.load.factor = BURST_FACTOR
            deployment.world.run(3 * SECOND_MS)
            deployment.load.factor = 1.0
            self.check_unnoticed(deployment, 6)

        self.for_each_size(check)

    def test_half_of_the_upstreams_released(self) -> None:
        """Guards against cold replacements that get more than they bear."""

        def check(deployment: LoadedDeployment) -> None:
            for number, host in enumerate(deployment.upstreams[::2]):
                delay_ms = 300 * number
                deployment.world.call_later(delay_ms, lambda d=deployment, h=host: d.release(h))
            self.check_unnoticed(deployment, 7)

        self.for_each_size(check)

    def test_data_centre_out_and_back(self) -> None:
        """Guards against remaining upstreams used unevenly, and a rush to those that return."""

        def check(deployment: LoadedDeployment) -> None:
            world = deployment.world
            place = world.data_centres[0]
            world.set_data_centre(place, is_out=True)
            world.call_later(5 * SECOND_MS, lambda w=world, p=place: w.set_data_centre(p, False))
            self.check_unnoticed(deployment, 9)

        self.for_each_size(check)

    def test_agents_restarted_in_turn(self) -> None:
        """Guards against flows that are lost or slow while agents are replaced under load."""

        def check(deployment: LoadedDeployment) -> None:
            for host in deployment.upstreams[:3]:
                deployment.restart_agent(host)
                deployment.world.run(SECOND_MS)
            self.check_unnoticed(deployment, 5)

        self.for_each_size(check)


class FaultyUpstreamTest(LoadTest):
    """One upstream of seven fails, and the others have room for its load."""

    def test_upstream_that_accepts_nothing(self) -> None:
        """Guards against an upstream that attracts flows since it refuses them quickly."""

        def check(deployment: LoadedDeployment) -> None:
            deployment.world.upstreams[deployment.upstreams[0]].accepts_flows = False
            deployment.world.run(6 * SECOND_MS)
            self.check_seconds(deployment, 0, 5)

        self.for_each_size(check)

    def test_upstream_that_crashes_and_returns(self) -> None:
        """Guards against a silent upstream that gets flows, or a returned one that gets none."""

        def check(deployment: LoadedDeployment) -> None:
            deployment.crash_upstream(deployment.upstreams[0], down_ms=2_500)
            deployment.world.run(10 * SECOND_MS)
            self.check_seconds(deployment, 1, 8)
            self.check_at_most_once(deployment)

        self.for_each_size(check)

    def test_upstream_that_returns_gets_its_share(self) -> None:
        """Guards against an upstream that gets no flows, since its lost requests count as load."""

        def check(deployment: LoadedDeployment) -> None:
            upstream = deployment.world.upstreams[deployment.upstreams[0]]
            deployment.crash_upstream(deployment.upstreams[0], down_ms=2_500)
            deployment.world.run(RETURN_MS)
            before = len(upstream.opening_times_ms)
            deployment.world.run(5 * SECOND_MS)
            offered = len(upstream.opening_times_ms) - before
            opened_per_s = sum(s.per_s for s in deployment.load.shapes if not s.is_pooled)
            fair_share = 5 * opened_per_s / len(deployment.upstreams)
            self.assertGreaterEqual(offered, fair_share / 2)

        self.for_each_size(check, (BARLEYDESK,), seed=2)


class LargeServiceTest(LoadTest):
    """A service of three times the size, of whose upstreams each balancer knows a subset."""

    def test_power_loss(self) -> None:
        """Guards against a recovery that takes longer the larger the fleet is."""

        def check(deployment: LoadedDeployment) -> None:
            deployment.lose_power(DOWN_MS)
            deployment.world.run(7 * SECOND_MS)
            warm = -(-(PowerLossTest.BACK_MS + COLD_MS) // SECOND_MS)
            self.check_seconds(deployment, warm, warm + 1)
            self.check_at_most_once(deployment)

        self.for_each_size(check, (KOLTEG.scaled(3),))


class RecordTest(unittest.TestCase):
    """Checks the load player itself."""

    def test_an_answer_after_its_aim_is_not_in_time(self) -> None:
        """Guards against a player that counts late answers as served in time."""
        from standins.packet_load import RequestRecord

        shape = LoadShape(1, 100, 1_000, False, True)
        record = RequestRecord(1_000, shape, 0, b"1")
        record.answered_at = 1_100
        self.assertTrue(record.is_in_time)
        record.answered_at = 1_101
        self.assertFalse(record.is_in_time)


if __name__ == "__main__":
    unittest.main()
