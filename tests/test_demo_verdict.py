"""Tests of the demo's verdict."""

import unittest

from standins.demo_verdict import MAX_LAG_MS, Fault, Verdict, judge

LATE = Fault("P5: 3 requests were answered too late", True)
LOST = Fault("P5: 1 request was never answered", False)


class VerdictTest(unittest.TestCase):
    """Faults on a machine that is fast enough, and on one that is not."""

    def test_a_slow_machine_is_told_apart_from_a_broken_promise(self) -> None:
        """Guards against a demo that blames the product when its processes get no processor."""
        self.assertEqual(judge([LATE], MAX_LAG_MS), Verdict.TOO_SLOW)
        self.assertEqual(judge([LATE], MAX_LAG_MS - 1), Verdict.BROKEN)

    def test_a_loss_fails_on_any_machine(self) -> None:
        """Guards against a slow machine that hides a request which the product has lost."""
        self.assertEqual(judge([LOST], MAX_LAG_MS * 10), Verdict.BROKEN)
        self.assertEqual(judge([LATE, LOST], MAX_LAG_MS * 10), Verdict.BROKEN)

    def test_a_run_without_faults_is_kept_on_any_machine(self) -> None:
        """Guards against a verdict that rests on the machine alone."""
        self.assertEqual(judge([], MAX_LAG_MS * 10), Verdict.KEPT)


if __name__ == "__main__":
    unittest.main()
