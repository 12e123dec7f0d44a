"""One short seed of the soak of the platform's real programs; `make soak-processes` plays more."""

import unittest

from bench.process_soak import run_seed

SEED = 3  # a flow was reset while its agent was starting again


class ProcessSoakTest(unittest.TestCase):
    """Guards against flows and requests that get lost when processes are killed and paused."""

    def test_regression_seed(self) -> None:
        """Fails on any reset, lost, doubled or damaged request."""
        self.assertEqual([], run_seed(SEED))


if __name__ == "__main__":
    unittest.main()
