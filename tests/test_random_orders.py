"""Open flows in random orders of changes, restarts, pauses and faults of the store."""

import os
import unittest

from tests.random_orders import RandomOrders

# SHALLOTSHORE_ORDER_SEEDS is a list of seeds, or FIRST-LAST.
SEEDS_VARIABLE = "SHALLOTSHORE_ORDER_SEEDS"
DEFAULT_SEEDS = (1, 2, 3, 4)
PLAYED_MS = 12_000
MIN_OPENED_FLOWS = 100


def read_seeds() -> list[int]:
    """Returns the seeds to play."""
    text = os.environ.get(SEEDS_VARIABLE, "")
    if "-" in text:
        first, last = map(int, text.split("-"))
        return list(range(first, last + 1))
    return [int(seed) for seed in text.split(",")] if text else list(DEFAULT_SEEDS)


class RandomOrdersTest(unittest.TestCase):
    """Guards against resets of flows by what a process believed before they opened."""

    def test_open_flows_are_not_reset(self) -> None:
        for seed in read_seeds():
            with self.subTest(seed=seed):
                orders = RandomOrders(seed)
                orders.play(PLAYED_MS)
                self.assertEqual([], orders.wrong_resets)
                self.assertGreater(orders.opened, MIN_OPENED_FLOWS)


if __name__ == "__main__":
    unittest.main()
