"""Runs one short seed of the soak test with real processes; `make soak-processes` runs more."""

import unittest

from bench.process_soak import run_seed

SEED = 3  # regression: a flow was reset while its agent was restarting


class ProcessSoakTest(unittest.TestCase):
    """Guards against flows and requests that are lost when processes are killed and paused."""

    def test_regression_seed(self) -> None:
        """Fails on any reset flow and on any lost, duplicated or damaged request."""
        self.assertEqual([], run_seed(SEED))


if __name__ == "__main__":
    unittest.main()
