"""Tests of the simulated runtime, its virtual clock and the scenario language."""

import random
import unittest

from shallotshore.control_messages import RevisionNotice
from shallotshore.messages import Message
from shallotshore.systems import Core
from standins.network import Link, Network
from standins.runtime import TICK_INTERVAL_MS, SimulatedRuntime
from standins.scenario import Scenario, ScenarioError

ONE, OTHER = ("10.0.0.1", 1), ("10.0.0.2", 1)


class Recorder(Core):
    """Records the times of ticks and arrivals."""

    def __init__(self) -> None:
        super().__init__()
        self.ticks: list[int] = []
        self.received: list[tuple[int, Message]] = []

    def tick(self, now: int) -> None:
        self.ticks.append(now)
        self.received += [(now, message) for _, message in self.inbox.take(RevisionNotice)]


class SimulatedRuntimeTest(unittest.TestCase):
    """Guards the simulation, whose own faults would look like faults of the product."""

    def setUp(self) -> None:
        self.network = Network(random.Random(1))
        self.network.set_link("a", "b", Link(delay=5))
        self.runtime = SimulatedRuntime(self.network)
        self.one, self.other = Recorder(), Recorder()
        self.sender = self.runtime.start("one", "a", [ONE], self.one)
        self.runtime.start("other", "b", [OTHER], self.other)
        self.runtime.run_until(0)

    def send(self, *numbers: int) -> None:
        for number in numbers:
            self.one.outbox.send(OTHER, RevisionNotice(number))
        self.runtime.flush_outbox(self.sender)

    def revisions(self) -> list[int]:
        return [message.revision for _, message in self.other.received]

    def test_arrivals_come_after_the_delay_and_ticks_at_least_each_interval(self) -> None:
        """Guards against wrong delays, and against ticks that are missed when nothing arrives."""
        self.send(7)
        self.runtime.run_until(100)
        self.assertEqual(self.other.received[0][0], 5)
        gaps = [b - a for a, b in zip(self.other.ticks, self.other.ticks[1:], strict=False)]
        self.assertLessEqual(max(gaps), TICK_INTERVAL_MS)

    def test_paused_process_receives_buffered_packets_on_resume(self) -> None:
        """Guards against packets that are delivered during a pause or lost by it."""
        self.runtime.pause("other")
        self.send(1, 2)
        self.runtime.run_until(1000)
        self.assertEqual(self.revisions(), [])
        self.runtime.resume("other")
        self.runtime.run_until(1001)
        self.assertEqual(self.revisions(), [1, 2])

    def test_partition_cuts_both_places_until_healed(self) -> None:
        """Guards against packets that cross a partition, and partitions that outlast `heal`."""
        self.network.partition(["b"])
        self.send(1)
        self.runtime.run_until(50)
        self.network.heal()
        self.send(2)
        self.runtime.run_until(100)
        self.assertEqual(self.revisions(), [2])

    def test_packets_to_killed_process_are_lost(self) -> None:
        """Guards against packets that are kept for the successor of a killed process."""
        self.send(1)
        self.runtime.kill("other")
        fresh = Recorder()
        self.runtime.call_at(20, lambda: self.runtime.start("other", "b", [OTHER], fresh) and None)
        self.runtime.run_until(100)
        self.assertEqual((self.other.received, fresh.received), ([], []))

    def test_loss_duplication_and_reordering_have_their_shares(self) -> None:
        """Guards against a network that injects fewer or more faults than the link says."""
        self.network.set_link("a", "b", Link(5, 0, 0.2, 0.1, 0.1))
        self.send(*range(5000))
        self.runtime.run_until(1000)
        revisions = self.revisions()
        self.assertAlmostEqual(len(set(revisions)) / 5000, 0.8, delta=0.02)
        self.assertAlmostEqual(len(revisions) / len(set(revisions)), 1.1, delta=0.02)
        self.assertNotEqual(revisions, sorted(revisions))


class LanguageTest(unittest.TestCase):
    """Guards against scenarios with mistakes that run without effect and still pass."""

    def test_unknown_verb_is_refused_with_its_line(self) -> None:
        """Guards against a misspelt verb that is skipped."""
        with self.assertRaisesRegex(ScenarioError, "line 2: unknown verb 'kill_balancr'"):
            Scenario.from_text("0 deployment vatulele\n1 kill_balancr balancer-1\n2 end")

    def test_missing_end_is_refused(self) -> None:
        """Guards against a scenario without `end`, which would end at once."""
        with self.assertRaisesRegex(ScenarioError, "`end`"):
            Scenario.from_text("0 deployment vatulele")
