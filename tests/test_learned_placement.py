"""Shares of work and throughput with learned capacity, on a model of upstreams."""

import unittest
from collections.abc import Callable

from tests.placement_model import (
    TAIL_FACTOR,
    TAIL_SHARE,
    FixedSlots,
    LearnedCapacity,
    ModelUpstream,
    Omniscient,
    Placement,
    run_load,
)

BUSY = 0.95  # load as a share of the capacity of all upstreams
MODERATE = 0.7
WORK_MS, TARGET_MS = 26, 303
UPSTREAMS = 46
FAST, SLOW = 1.2, 0.55
SETTLE_MS = 3_000  # within which shares have to be right
STEP_AT_MS, STEP_END_MS, END_MS = 4_000, 10_000, 16_000
STEP_FACTOR = 5
STEPPED = 6  # upstreams that slow down
SEEDS = (7, 8)
THROUGHPUT_MS = 8_000

Speed = Callable[[int], float]


def constant(speed: float) -> Speed:
    """Returns a speed that does not change."""
    return lambda now: speed


def stepped(now: int) -> float:
    """Returns the speed of an upstream that is slower for 6 s."""
    return 1 / STEP_FACTOR if STEP_AT_MS <= now < STEP_END_MS else 1.0


def cold(now: int) -> float:
    """Returns the speed of an upstream that is cold for its first 2 s."""
    return 1 / 1.6 if now < 2_000 else 1.0


def make_uneven(slots: int = 1) -> list[ModelUpstream]:
    """Returns upstreams of which a quarter is slow."""
    speeds = [SLOW if number % 4 == 0 else FAST for number in range(UPSTREAMS)]
    return [ModelUpstream(constant(speed), slots) for speed in speeds]


def make_stepped() -> list[ModelUpstream]:
    """Returns upstreams of which some slow down for 6 s."""
    return [
        ModelUpstream(stepped if number < STEPPED else constant(1.0)) for number in range(UPSTREAMS)
    ]


def make_contended() -> list[ModelUpstream]:
    """Returns upstreams with 4 slots, of which half have one processor for all requests."""
    return [ModelUpstream(constant(1.0), 4, number % 2) for number in range(UPSTREAMS // 2)]


def make_cold() -> list[ModelUpstream]:
    """Returns upstreams of which half are cold at first."""
    return [ModelUpstream(cold if number % 2 else constant(1.0)) for number in range(UPSTREAMS)]


def load_per_s(upstreams: list[ModelUpstream], load: float, now: int = 0) -> float:
    """Returns the requests a second that are a share of the capacity at a time."""
    mean_work_ms = WORK_MS * (1 + TAIL_SHARE * (TAIL_FACTOR - 1))
    slots = [
        upstream.speed(now) * upstream.slots / (1 + upstream.contention * (upstream.slots - 1))
        for upstream in upstreams
    ]
    return load * sum(slots) * 1_000 / mean_work_ms


def work_between(upstreams: list[ModelUpstream], start: int, end: int) -> float:
    """Returns the mean number of requests that the upstreams answered in a span (ms)."""
    return sum(start <= at < end for one in upstreams for at in one.finished_at) / len(upstreams)


def relative_work(upstreams: list[ModelUpstream], start: int, end: int) -> float:
    """Returns the work of an upstream that slows down, as a multiple of the mean of all."""
    return work_between(upstreams[:STEPPED], start, end) / work_between(upstreams, start, end)


class ShareTest(unittest.TestCase):
    """Guards against work that does not follow the speeds of upstreams."""

    def test_shares_follow_speeds_when_busy(self) -> None:
        """Fails when slow upstreams get more or less than their speed allows after 3 s."""
        for slots in (1, 2):
            upstreams = make_uneven(slots)
            run_load(LearnedCapacity, upstreams, load_per_s(upstreams, BUSY), WORK_MS, 8_000)
            fast = [one for one in upstreams if one.speed(0) == FAST]
            slow = [one for one in upstreams if one.speed(0) == SLOW]
            ratio = work_between(fast, SETTLE_MS, 8_000) / work_between(slow, SETTLE_MS, 8_000)
            print(f"{slots} slots: fast to slow upstreams {ratio:.2f}, speeds {FAST / SLOW:.2f}")
            self.assertAlmostEqual(1.0, ratio / (FAST / SLOW), delta=0.1)

    def test_no_oscillation_in_steady_load(self) -> None:
        """Fails when the share of the slow upstreams in a second is 20% off its mean."""
        for load in (MODERATE, BUSY):
            upstreams = make_uneven()
            run_load(LearnedCapacity, upstreams, load_per_s(upstreams, load), WORK_MS, 12_000)
            slow = [one for one in upstreams if one.speed(0) == SLOW]
            seconds = range(SETTLE_MS, 12_000, 1_000)
            shares = [
                work_between(slow, at, at + 1_000) / work_between(upstreams, at, at + 1_000)
                for at in seconds
            ]
            mean = sum(shares) / len(shares)
            low, high = min(shares), max(shares)
            print(f"share of slow upstreams at load {load}: {mean:.2f}, {low:.2f} to {high:.2f}")
            self.assertLess(max(abs(share / mean - 1) for share in shares), 0.2)

    def test_share_follows_a_slow_down_and_its_end(self) -> None:
        """Fails when work goes on to upstreams that are 5 times slower, or does not come back."""
        # What the slow upstreams can do, as a share of the mean of all.
        able = UPSTREAMS / STEP_FACTOR / (UPSTREAMS - STEPPED + STEPPED / STEP_FACTOR)
        # When busy, the share is within 10% of the speed; else 90% of the way from 1.0 to there.
        for load, limit in ((MODERATE, able + 0.1 * (1 - able)), (BUSY, 1.1 * able)):
            upstreams = make_stepped()
            per_s = load_per_s(upstreams, load, STEP_AT_MS)
            run_load(LearnedCapacity, upstreams, per_s, WORK_MS, END_MS)
            before = relative_work(upstreams, STEP_AT_MS - 2_000, STEP_AT_MS)
            slow = relative_work(upstreams, STEP_AT_MS + 1_000, STEP_END_MS)
            after = relative_work(upstreams, STEP_END_MS + 3_000, END_MS)
            print(f"step at load {load}: {before:.2f}, slower {slow:.2f}, after {after:.2f}")
            self.assertLessEqual(slow, limit)
            self.assertGreater(slow, 0.0)
            self.assertAlmostEqual(1.0, after, delta=0.1)

    def test_a_replacement_and_an_idle_upstream_get_their_share(self) -> None:
        """Fails when a new process under the same address, or an idle one, inherits a slow past."""
        upstreams = make_stepped()

        def replace(now: int) -> None:
            if now == STEP_END_MS:
                for upstream in upstreams[:STEPPED]:
                    upstream.estimator.restart(now)

        per_s = load_per_s(upstreams, MODERATE)
        run_load(LearnedCapacity, upstreams, per_s, WORK_MS, END_MS, on_tick=replace)
        share = relative_work(upstreams, STEP_END_MS + 2_000, END_MS)
        self.assertAlmostEqual(1.0, share, delta=0.1)

        run_load(LearnedCapacity, upstreams, 0.001, WORK_MS, 1)  # everything else is idle
        for upstream in upstreams:
            self.assertEqual(0.0, upstream.estimator.service_ms(END_MS + 5_000))


class ThroughputTest(unittest.TestCase):
    """Guards against placement that answers fewer callers in time than it could."""

    CASES = (make_uneven, make_contended, make_stepped, make_cold)

    def share_in_time(
        self, policy: type[Placement], make: Callable[[], list[ModelUpstream]], load: float
    ) -> float:
        """Returns the share of requests answered in time, over all seeds."""
        results: list[tuple[int, int | None]] = []
        for seed in SEEDS:
            upstreams = make()
            # The least capacity of the run, so that there is room for all.
            per_s = min(load_per_s(upstreams, load, at) for at in (0, STEP_AT_MS))
            results += run_load(policy, upstreams, per_s, WORK_MS, THROUGHPUT_MS, seed=seed)
        return sum(ms is not None and ms <= TARGET_MS for _, ms in results) / len(results)

    def test_more_are_in_time_than_with_fixed_slots(self) -> None:
        """Fails when learned values cost answers, or a case is far from what is possible."""
        policies: tuple[type[Placement], ...] = (FixedSlots, LearnedCapacity, Omniscient)
        totals = dict.fromkeys(policies, 0.0)
        for make in self.CASES:
            for load in (MODERATE, BUSY):
                shares = {policy: self.share_in_time(policy, make, load) for policy in policies}
                text = ", ".join(f"{one.__name__} {share:.4f}" for one, share in shares.items())
                print(f"in time, {make.__name__} at load {load}: {text}")
                with self.subTest(case=make.__name__, load=load):
                    self.assertGreaterEqual(shares[LearnedCapacity], 0.95 * shares[Omniscient])
                for policy, share in shares.items():
                    totals[policy] += share / len(self.CASES) / 2
        text = ", ".join(f"{one.__name__} {share:.4f}" for one, share in totals.items())
        print(f"in time, all cases: {text}")
        self.assertGreater(totals[LearnedCapacity], totals[FixedSlots])


if __name__ == "__main__":
    unittest.main()
