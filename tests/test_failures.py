"""Decaying share of the requests that an upstream fails."""

import unittest

from shallotshore.packets.failures import HALF_LIFE_MS, MAX_EXTRA_REQUESTS_PER_SLOT, FailureShare

START = 100_000


class FailureShareTest(unittest.TestCase):
    """The addition to the load that an agent reports."""

    def test_single_failure_adds_nothing(self) -> None:
        """Guards against avoiding an upstream after a single reset."""
        share = FailureShare()
        share.record_failure(START)
        self.assertEqual(0, share.extra_load(3, START))

    def test_addition_follows_the_share_of_failures(self) -> None:
        """Guards against avoiding a busy upstream because of a high count but low share."""
        share = FailureShare()
        for _ in range(10):
            share.record_failure(START)
        self.assertEqual(MAX_EXTRA_REQUESTS_PER_SLOT * 3, share.extra_load(3, START))
        for _ in range(90):
            share.record_answer(START)
        self.assertEqual(1, share.extra_load(3, START))

    def test_failures_are_forgotten(self) -> None:
        """Guards against avoiding an upstream for ever after failures."""
        share = FailureShare()
        for _ in range(10):
            share.record_failure(START)
        self.assertEqual(0, share.extra_load(3, START + 4 * HALF_LIFE_MS))


if __name__ == "__main__":
    unittest.main()
