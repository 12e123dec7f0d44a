"""Decisions on flows that a process's own records do not lead to an upstream."""

import unittest

from shallotshore.unknown_flows import NEVER, Knowledge, Verdict, judge_open_flow, judge_opening

SEEN_AT = 100_000


class OpenFlowTest(unittest.TestCase):
    """Packets of flows that may be open."""

    def test_copy_that_seems_current_refuses_no_flow(self) -> None:
        """Guards against resets in the time until a change has reached this process."""
        for as_of in (NEVER, SEEN_AT - 1):
            knowledge = Knowledge(is_kept_current=True, as_of=as_of)
            self.assertEqual(Verdict.WAIT, judge_open_flow(knowledge, SEEN_AT))

    def test_complete_copy_refuses(self) -> None:
        """Guards against clients that wait for an answer although nothing serves their flow."""
        for is_kept_current in (False, True):
            knowledge = Knowledge(is_kept_current, as_of=SEEN_AT)
            self.assertEqual(Verdict.REFUSE, judge_open_flow(knowledge, SEEN_AT))


class OpeningTest(unittest.TestCase):
    """Packets that open flows."""

    def test_current_copy_refuses_at_once(self) -> None:
        """Guards against clients of an unknown address that wait for a check."""
        current = Knowledge(is_kept_current=True)
        self.assertEqual(Verdict.REFUSE, judge_opening(current, SEEN_AT, is_only_copy=True))

    def test_packet_of_which_others_may_have_a_copy_waits(self) -> None:
        """Guards against resets of flows that a copy has opened by newer records."""
        for knowledge in (Knowledge(True), Knowledge(True, SEEN_AT), Knowledge(False, SEEN_AT)):
            self.assertEqual(Verdict.WAIT, judge_opening(knowledge, SEEN_AT, is_only_copy=False))

    def test_first_copy_waits_until_it_is_complete(self) -> None:
        """Guards against refusals of new routes by a process that has just started."""
        first = Knowledge(is_kept_current=False, as_of=SEEN_AT - 1)
        self.assertEqual(Verdict.WAIT, judge_opening(first, SEEN_AT, is_only_copy=True))
        checked = Knowledge(is_kept_current=False, as_of=SEEN_AT)
        self.assertEqual(Verdict.REFUSE, judge_opening(checked, SEEN_AT, is_only_copy=True))


if __name__ == "__main__":
    unittest.main()
