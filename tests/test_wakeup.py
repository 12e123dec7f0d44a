"""Tests of the wake-up guard."""

import unittest

from shallotshore.control_messages import RevisionNotice
from shallotshore.systems import Core
from shallotshore.wakeup import WakeupGuard


class WakeupGuardTest(unittest.TestCase):
    """Guards against a process that acts on outdated state after a pause."""

    def setUp(self) -> None:
        self.core = Core()
        self.asked: list[int] = []
        self.answer = 0
        self.guard = WakeupGuard(self.core, self.asked.append, lambda time: self.answer > time)
        for now in range(0, 2001, 1000):
            self.guard.run(now)

    def test_ticks_a_second_apart_are_no_pause(self) -> None:
        self.assertTrue(self.guard.may_serve)
        self.assertEqual(self.asked, [])

    def test_pause_drops_what_was_buffered_and_waits_for_an_answer(self) -> None:
        self.core.receive(("10.0.0.1", 1), RevisionNotice(1))
        self.guard.run(3001)
        self.assertFalse(self.core.inbox)
        self.assertEqual(self.asked, [3001])
        self.guard.run(3100)
        self.assertFalse(self.guard.may_serve)
        self.answer = 3150
        self.guard.run(3200)
        self.assertTrue(self.guard.may_serve)

    def test_process_without_peers_serves_again_after_a_second(self) -> None:
        for now in (3001, 3500, 4000):
            self.guard.run(now)
            self.assertFalse(self.guard.may_serve)
        self.guard.run(4001)
        self.assertTrue(self.guard.may_serve)
