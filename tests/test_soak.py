"""Runs the random fault schedules of `bench.soak` for a few fixed seeds."""

import unittest

from bench.soak import build_schedule, run_schedule

SEEDS = (1, 2, 3)


class SoakTest(unittest.TestCase):
    """Guards all promises against combinations of faults that no scenario has."""

    def test_fixed_seeds_break_no_promise(self) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed, schedule=build_schedule(seed)):
                self.assertEqual(run_schedule(seed), [])
