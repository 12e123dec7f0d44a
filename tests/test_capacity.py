"""Tests of the estimator of an upstream's capacity and of the score for placement."""

import random
import unittest

from shallotshore.scheduling.capacity import FRESH_MS, CapacityEstimator
from shallotshore.scheduling.placement import (
    completion_score,
    load_weight,
    median_service_ms,
    relative_service,
    usable_slots,
)


def feed(
    estimator: CapacityEstimator, latency_ms: int, count: int, now: int, in_flight: int = 1
) -> int:
    """Records answers one after another; returns the time of the last one."""
    for _ in range(count):
        now += latency_ms
        estimator.record_answer(latency_ms, in_flight, now)
    return now


class CapacityEstimatorTest(unittest.TestCase):
    """Guards against wrong values after single samples, steps, restarts and idle times."""

    def test_nothing_is_known_before_three_answers(self) -> None:
        """Fails when the first request of an upstream alone decides how much work it gets."""
        estimator = CapacityEstimator(2)
        now = feed(estimator, 30, 2, 0)
        self.assertEqual(0.0, estimator.service_ms(now))
        self.assertEqual(2.0, estimator.concurrency(2, now))
        now = feed(estimator, 30, 1, now)
        self.assertEqual(30.0, estimator.service_ms(now))

    def test_tails_do_not_change_the_estimate(self) -> None:
        """Fails when 3% of requests that take 7 times as long count as a slow-down."""
        estimator, rng, now = CapacityEstimator(1), random.Random(4), 0
        now = feed(estimator, 26, 5, now)
        misjudged = 0
        for _ in range(3_000):
            now = feed(estimator, 26 * (7 if rng.random() < 0.03 else 1), 1, now)
            misjudged += estimator.service_ms(now) != 26.0
        self.assertLess(misjudged, 10)

    def test_time_in_the_queue_does_not_count_as_service(self) -> None:
        """Fails when requests that wait behind a long one make the upstream seem slow."""
        estimator = CapacityEstimator(1)
        now = feed(estimator, 30, 5, 1_000)
        for number in range(4):  # sent at once; the first takes 210 ms
            estimator.record_answer(210 + 30 * number, number + 1, now + 210 + 30 * number)
        self.assertEqual(30.0, estimator.service_ms(now + 300))

    def test_a_step_is_followed_within_three_answers(self) -> None:
        """Fails when a slow-down or its end is averaged over many requests."""
        estimator = CapacityEstimator(1)
        now = feed(estimator, 30, 40, 0)
        now = feed(estimator, 150, 3, now)
        self.assertEqual(150.0, estimator.service_ms(now))
        now = feed(estimator, 30, 3, now)
        self.assertEqual(30.0, estimator.service_ms(now))

    def test_a_small_change_is_followed(self) -> None:
        """Fails when an upstream that was cold keeps its first service time."""
        estimator = CapacityEstimator(1)
        now = feed(estimator, 48, 20, 0)
        now = feed(estimator, 30, 10, now)
        self.assertEqual(30.0, estimator.service_ms(now))

    def test_an_idle_upstream_counts_as_not_known(self) -> None:
        """Fails when an upstream that gets no work keeps an old estimate for ever."""
        estimator = CapacityEstimator(1)
        now = feed(estimator, 150, 5, 0) + FRESH_MS + 1
        self.assertEqual(0.0, estimator.service_ms(now))
        self.assertEqual(150.0, estimator.service_ms(feed(estimator, 150, 1, now)))

    def test_a_change_during_idle_time_is_not_judged_by_one_answer(self) -> None:
        """Fails when an upstream that recovered while idle stays slow, or a tail makes it slow."""
        estimator = CapacityEstimator(1)
        now = feed(estimator, 150, 5, 0) + FRESH_MS + 1
        now = feed(estimator, 30, 1, now)
        self.assertEqual(0.0, estimator.service_ms(now))
        self.assertEqual(30.0, estimator.service_ms(feed(estimator, 30, 2, now)))

    def test_a_restart_forgets_the_old_process(self) -> None:
        """Fails when a replacement under the same address inherits the estimate."""
        estimator = CapacityEstimator(1)
        now = feed(estimator, 150, 5, 0)
        estimator.restart(now)
        self.assertEqual(0.0, estimator.service_ms(now))
        self.assertEqual(30.0, estimator.service_ms(feed(estimator, 30, 3, now)))

    def test_silence_beyond_every_tail_raises_the_service_time(self) -> None:
        """Fails when an upstream that has hung is still taken for quick."""
        estimator = CapacityEstimator(1)
        now = feed(estimator, 30, 5, 0)
        self.assertEqual(30.0, estimator.service_ms(now + 210, unanswered_ms=210))
        self.assertEqual(100.0, estimator.service_ms(now + 800, unanswered_ms=800))

    def test_concurrency_is_learned_where_throughput_stops_growing(self) -> None:
        """Fails when an upstream that slows down long before it is full gets all its slots."""
        estimator, now = CapacityEstimator(4), 0
        for running in (1, 2, 3, 4) * 10:  # one processor for all: 20 ms each
            now = feed(estimator, 20 * running, 1, now, in_flight=running)
        self.assertAlmostEqual(1.0, estimator.concurrency(4, now))
        self.assertEqual(20.0, estimator.service_ms(now))
        self.assertAlmostEqual(4.0, estimator.concurrency(4, now + 20_000), delta=0.1)

    def test_unseen_concurrency_is_assumed_to_work(self) -> None:
        """Fails when an upstream that never had two requests at once counts as full with one."""
        estimator = CapacityEstimator(4)
        now = feed(estimator, 20, 20, 0)
        self.assertEqual(4.0, estimator.concurrency(4, now))

    def test_a_wrong_estimate_of_concurrency_corrects_itself(self) -> None:
        """Fails when an upstream that once slowed down keeps fewer slots for ever."""
        estimator, now = CapacityEstimator(2), 0
        for running in (1, 2) * 10:
            now = feed(estimator, 40 * running, 1, now, in_flight=running)
        self.assertEqual(1.0, estimator.concurrency(2, now))
        for running in (1, 2) * 15:
            now = feed(estimator, 40, 1, now, in_flight=running)
        self.assertEqual(2.0, estimator.concurrency(2, now))

    def test_failures_lower_the_concurrency_for_a_while(self) -> None:
        """Fails when resets have no effect, or an effect that lasts."""
        estimator = CapacityEstimator(4)
        now = feed(estimator, 20, 10, 0)
        for _ in range(10):
            estimator.record_failure(now)
        self.assertLess(estimator.concurrency(4, now), 3.0)
        now = feed(estimator, 20, 200, now)
        self.assertEqual(4.0, estimator.concurrency(4, now))


class PlacementScoreTest(unittest.TestCase):
    """Guards against scores in which the penalties of a front end lose their meaning."""

    def test_an_upstream_of_median_speed_scores_its_load_per_slot(self) -> None:
        """Fails when a penalty no longer weighs as many busy slots as before."""
        self.assertEqual(1.5, completion_score(3.0, 2, 0.0, load_weight(0.0, 30.0)))
        self.assertEqual(1.5, completion_score(3.0, 2, 2.0, load_weight(30.0, 30.0)))

    def test_an_implausibly_fast_upstream_attracts_no_work(self) -> None:
        """Fails when an upstream that fails its requests at once counts as the fastest one."""
        self.assertGreater(load_weight(2.0, 27.0), 1.0)
        self.assertLess(load_weight(12.0, 27.0), 1.0)
        self.assertLess(load_weight(1.0, 5.0), 1.0)

    def test_a_slow_upstream_waits_for_load_at_the_others(self) -> None:
        """Fails when slow upstreams get equal loads."""
        weight = load_weight(47.0, 22.0)
        self.assertGreater(completion_score(1.0, 1, 1.0, weight), 1.0)
        self.assertLess(completion_score(1.0, 1, 1.0, weight), 2.0)

    def test_values_of_one_upstream_have_a_bounded_effect(self) -> None:
        """Fails when a faulty value outweighs that an upstream does not answer."""
        self.assertEqual(8.0, relative_service(1e9, 30.0))
        self.assertEqual(0.125, relative_service(1e-9, 30.0))
        self.assertEqual(1, usable_slots(4, 0.01))
        self.assertEqual(4, usable_slots(4, 1e9))
        self.assertEqual(4, usable_slots(4, 0.0))
        self.assertEqual(4, usable_slots(4, float("nan")))
        self.assertEqual(1.0, relative_service(float("nan"), 30.0))

    def test_the_median_leaves_unknown_values_out(self) -> None:
        """Fails when upstreams without a value pull the median down."""
        self.assertEqual(30.0, median_service_ms([0.0, 0.0, 0.0, 20.0, 30.0, 90.0]))
        self.assertEqual(0.0, median_service_ms([0.0]))


if __name__ == "__main__":
    unittest.main()
