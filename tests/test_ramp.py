"""Tests of the cold-start ramp."""

import unittest

from shallotshore.catalog import UpstreamView
from shallotshore.ramp import FAILURES_IN_A_ROW, OPENS_PER_SLOT, Ramp

RECORD = UpstreamView(1, 2, 3, ("10.2.0.1", 1), False, 4, 100, 1, 1_000, ())


class RampTest(unittest.TestCase):
    """Guards a cold upstream against overload."""

    def setUp(self) -> None:
        self.ramp = Ramp()
        self.ramp.restart(0)

    def warm_up(self) -> None:
        for step in range(1, 4):
            self.ramp.advance(RECORD, step * 1_000)
        for _ in range(10):
            self.ramp.record_success(20)

    def test_opens_one_slot_per_step(self) -> None:
        limits = []
        for step in range(1, 6):
            self.ramp.advance(RECORD, step * 1_000 - 1)
            limits.append(self.ramp.limit(RECORD))
            self.ramp.advance(RECORD, step * 1_000)
        self.assertEqual(limits, [1, 2, 3, 4, 4])

    def test_failure_starts_the_step_again(self) -> None:
        self.ramp.record_failure(950)
        self.ramp.advance(RECORD, 1_949)
        self.assertEqual(self.ramp.limit(RECORD), 1)
        self.ramp.advance(RECORD, 1_950)
        self.assertEqual(self.ramp.limit(RECORD), 2)

    def test_slow_and_failed_answers_show_a_cold_upstream(self) -> None:
        """Guards against an overload of an upstream that has lost its caches.

        Slow and failed answers are the only sign of that.
        """
        self.warm_up()
        self.assertTrue(self.ramp.is_slow(90))
        self.assertFalse(self.ramp.record_slow_request(5_000))
        self.assertTrue(self.ramp.record_failure(5_500))

    def test_several_slow_requests_show_a_cold_upstream(self) -> None:
        """Guards against an overload of a collapsing upstream.

        Such an upstream may slow down without shedding or failing any request before the request's
        deadline.
        """
        self.warm_up()
        self.assertEqual(
            [self.ramp.record_slow_request(at) for at in (5_000, 6_500)], [False, False]
        )
        self.assertTrue(self.ramp.record_slow_request(7_000))

    def test_usual_spread_of_service_times_is_not_slow(self) -> None:
        self.warm_up()
        self.assertFalse(self.ramp.is_slow(59))
        self.ramp.record_success(59)
        self.assertFalse(self.ramp.is_slow(80))

    def test_refusals_in_a_row_show_a_cold_upstream(self) -> None:
        self.warm_up()
        turned_cold_at = [self.ramp.record_failure(5_000 + i) for i in range(FAILURES_IN_A_ROW)]
        self.assertEqual(turned_cold_at, [False] * (FAILURES_IN_A_ROW - 1) + [True])

    def test_ramp_limits_new_flows_too(self) -> None:
        for opened_at in range(OPENS_PER_SLOT):
            self.assertTrue(self.ramp.can_open(RECORD, opened_at))
            self.ramp.record_flow_open(opened_at)
        self.assertFalse(self.ramp.can_open(RECORD, 500))
        self.assertTrue(self.ramp.can_open(RECORD, 1_000))
        self.warm_up()
        self.ramp.record_flow_open(4_000)
        self.assertTrue(self.ramp.can_open(RECORD, 4_000))


if __name__ == "__main__":
    unittest.main()
