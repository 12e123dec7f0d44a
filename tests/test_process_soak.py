"""Runs one short seed of the soak test with real processes; `make soak-processes` runs more."""

import unittest

from bench.process_soak import run_seed

SEED = 3  # regression: a flow was reset while its agent was restarting
DRILL_SEED = 1  # regression: routes of a restored store were never applied


class ProcessSoakTest(unittest.TestCase):
    """Guards against flows and requests that are lost when processes are killed and paused."""

    def test_regression_seed(self) -> None:
        """Fails on any reset flow and on any lost, duplicated or damaged request."""
        self.assertEqual([], run_seed(SEED))

    def test_store_that_comes_back_from_a_copy(self) -> None:
        """Fails on a route that is not in force, or a draining upstream that is used, in time.

        The store loses its newest writes while configurations change and processes are killed.
        """
        self.assertEqual([], run_seed(DRILL_SEED, has_drills=True))


if __name__ == "__main__":
    unittest.main()
