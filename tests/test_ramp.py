"""Tests of the cold-start ramp."""

import unittest

from shallotshore.catalog import UpstreamView
from shallotshore.ramp import FAILURES_IN_A_ROW, OPENS_PER_SLOT, Ramp

RECORD = UpstreamView(1, 2, 3, ("10.2.0.1", 1), False, 4, 100, 1, 1_000, ())


class RampTest(unittest.TestCase):
    """Guards a cold upstream against more than it can bear."""

    def setUp(self) -> None:
        self.ramp = Ramp()
        self.ramp.restart(0)

    def warm_up(self) -> None:
        for step in range(1, 4):
            self.ramp.note_good(20, step * 1_000)
            self.ramp.advance(RECORD, step * 1_000)

    def test_opens_one_slot_per_step_with_success(self) -> None:
        limits = []
        for step in range(1, 6):
            self.ramp.note_good(20, step * 1_000)
            self.ramp.advance(RECORD, step * 1_000)
            limits.append(self.ramp.limit(RECORD))
        self.assertEqual(limits, [2, 3, 4, 4, 4])

    def test_time_alone_opens_nothing(self) -> None:
        self.ramp.advance(RECORD, 60_000)
        self.assertEqual(self.ramp.limit(RECORD), 1)

    def test_failure_starts_the_step_again(self) -> None:
        self.ramp.note_good(20, 900)
        self.ramp.note_failed(950)
        self.ramp.note_good(20, 1_000)
        self.ramp.advance(RECORD, 1_900)
        self.assertEqual(self.ramp.limit(RECORD), 1)
        self.ramp.advance(RECORD, 1_950)
        self.assertEqual(self.ramp.limit(RECORD), 2)

    def test_slow_and_failed_answers_show_a_cold_upstream(self) -> None:
        """An upstream that loses its caches gives no other sign."""
        self.warm_up()
        for moment in range(10):
            self.assertFalse(self.ramp.note_good(20, 4_000 + moment))
        self.assertFalse(self.ramp.note_good(90, 5_000))
        self.assertTrue(self.ramp.note_failed(5_500))

    def test_slow_answers_alone_are_no_sign(self) -> None:
        self.warm_up()
        signs = [self.ramp.note_good(20 if i < 10 else 200, 4_000 + i) for i in range(20)]
        self.assertNotIn(True, signs)

    def test_row_of_refusals_shows_a_cold_upstream(self) -> None:
        self.warm_up()
        signs = [self.ramp.note_failed(5_000 + i) for i in range(FAILURES_IN_A_ROW)]
        self.assertEqual(signs, [False] * (FAILURES_IN_A_ROW - 1) + [True])

    def test_opened_flows_are_ramped_too(self) -> None:
        for moment in range(OPENS_PER_SLOT):
            self.assertTrue(self.ramp.can_open(RECORD, moment))
            self.ramp.note_open(moment)
        self.assertFalse(self.ramp.can_open(RECORD, 500))
        self.assertTrue(self.ramp.can_open(RECORD, 1_000))
        self.warm_up()
        self.ramp.note_open(4_000)
        self.assertTrue(self.ramp.can_open(RECORD, 4_000))


if __name__ == "__main__":
    unittest.main()
