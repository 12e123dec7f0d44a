"""Tests of upstream health: missing heartbeats, events, suspicion, floor and flap damping."""

import random
import unittest

from shallotshore.control_messages import HealthEvent, Heartbeat
from shallotshore.messages import HealthState
from shallotshore.retries import RetryBudget, backoff_ms
from tests.balancer_fakes import IDLE, PEER, SERVICE, Bench, only


class WatchingTest(unittest.TestCase):
    """Guards against the use of dead upstreams, and against wrongly excluding most of a service."""

    def setUp(self) -> None:
        self.bench = Bench()
        self.sequence = 0

    def send_heartbeats(
        self, *upstreams: int, state: HealthState = HealthState.UP, steps: int = 1
    ) -> list[HealthEvent]:
        """Delivers heartbeats every 500 ms and returns the events sent."""
        events = []
        for _ in range(steps):
            self.sequence += 1
            heartbeats = [
                Heartbeat(u, SERVICE, 1, 1, self.sequence, state, IDLE, 1, 0, 0) for u in upstreams
            ]
            events += only(self.bench.run(*heartbeats, wait=500), HealthEvent)
        return events

    def excluded(self, *, packets: bool = False) -> frozenset[int]:
        exclusions = self.bench.core.state.exclusions
        return exclusions.for_packets(SERVICE) if packets else exclusions.for_new_work(SERVICE)

    def down_event(self, upstream: int, sequence: int) -> HealthEvent:
        return HealthEvent(upstream, 1, sequence, HealthState.DOWN)

    def test_silent_upstream_is_published_once_and_excluded_until_its_hold_down_ends(self) -> None:
        dead, *alive = self.bench.ids
        self.assertEqual(self.send_heartbeats(*self.bench.ids, steps=2), [])
        events = self.send_heartbeats(*alive, steps=6)
        self.assertEqual([(e.upstream, e.state) for e in events], [(dead, HealthState.DOWN)])
        self.assertEqual(self.excluded(packets=True), {dead})
        events = self.send_heartbeats(*self.bench.ids)
        self.assertEqual([(e.upstream, e.state) for e in events], [(dead, HealthState.UP)])
        self.assertEqual((self.excluded(), self.excluded(packets=True)), ({dead}, frozenset()))
        self.send_heartbeats(*self.bench.ids, steps=5)
        self.assertEqual(self.excluded(), frozenset())

    def test_each_flap_doubles_the_hold_down_time(self) -> None:
        flapping, *alive = self.bench.ids
        self.send_heartbeats(*self.bench.ids)
        waits = []
        for _ in range(3):
            self.send_heartbeats(*alive, steps=5)
            waits.append(0)
            while flapping in self.excluded():
                self.send_heartbeats(*self.bench.ids)
                waits[-1] += 1
        self.assertEqual(waits, sorted(waits))
        self.assertGreater(waits[2], 3 * waits[0])

    def test_silence_of_most_upstreams_is_not_published_at_first(self) -> None:
        self.send_heartbeats(*self.bench.ids, steps=2)
        self.assertEqual(self.send_heartbeats(*self.bench.ids[:3], steps=8), [])
        self.assertEqual(self.bench.core.counters["health.self_suspected"], 1)
        self.assertEqual(self.excluded(), frozenset())

    def test_own_pause_does_not_count_as_silence_of_upstreams(self) -> None:
        self.send_heartbeats(*self.bench.ids, steps=2)
        self.bench.now += 10_000
        self.assertEqual(self.send_heartbeats(*self.bench.ids, steps=4), [])

    def test_upstream_that_another_balancer_watches_is_not_published(self) -> None:
        self.send_heartbeats(*self.bench.ids, steps=2)
        self.bench.peers.unwatched = {self.bench.ids[0]}
        self.assertEqual(self.send_heartbeats(*self.bench.ids[1:], steps=6), [])

    def test_old_events_change_nothing_and_new_ones_are_relayed_once(self) -> None:
        upstream = self.bench.ids[0]
        sent = self.bench.run(self.down_event(upstream, 9), wait=100)
        self.assertEqual(sent, [(PEER, self.down_event(upstream, 9))])
        old = HealthEvent(upstream, 1, 8, HealthState.UP)
        self.assertEqual(self.bench.run(self.down_event(upstream, 9), old, wait=200), [])
        self.assertEqual(self.excluded(), {upstream})

    def test_heartbeats_outrank_a_down_event_of_another_balancer(self) -> None:
        upstream = self.bench.ids[0]
        self.send_heartbeats(*self.bench.ids, steps=3)
        (event,) = only(self.bench.run(self.down_event(upstream, 2), wait=200), HealthEvent)
        self.assertEqual((event.state, event.sequence), (HealthState.UP, 3))
        self.assertEqual(self.excluded(), frozenset())

    def test_half_of_a_service_stays_in_use_despite_down_events(self) -> None:
        dead = self.bench.ids[:6]
        self.bench.run(*[self.down_event(upstream, 9) for upstream in dead], wait=200)
        self.assertEqual(len(self.excluded()), 3)
        self.bench.catalog.upstreams[self.bench.ids[6]].leaving = True
        self.bench.catalog.revision += 1
        self.bench.run(wait=200)
        self.assertEqual(len(self.excluded()), 3)

    def test_stalled_upstream_gets_packets_but_no_new_work(self) -> None:
        self.send_heartbeats(self.bench.ids[0], state=HealthState.STALLED)
        self.assertEqual(self.excluded(), {self.bench.ids[0]})
        self.assertEqual(self.excluded(packets=True), frozenset())

    def test_unanswered_attempts_exclude_an_upstream_for_a_time(self) -> None:
        state = self.bench.core.state
        for _ in range(3):
            state.health.record_unanswered(self.bench.ids[0], SERVICE, self.bench.now)
        self.assertEqual(only(self.bench.run(wait=200), HealthEvent), [])
        self.assertEqual(self.excluded(), {self.bench.ids[0]})
        self.bench.run(wait=12_000)
        self.assertEqual(self.excluded(), frozenset())


class RetriesTest(unittest.TestCase):
    """Guards against retries that multiply the load of a failing service."""

    def test_retries_are_a_tenth_of_fresh_requests_but_three_a_second(self) -> None:
        budget = RetryBudget()
        allowed = 0
        for now in range(0, 100_000, 10):  # 100 requests a second
            budget.record_request(1, 2, now)
            allowed += budget.spend_retry(1, 2, now)
        self.assertAlmostEqual(allowed, 1000, delta=25)
        quiet = sum(budget.spend_retry(3, 2, now) for now in range(0, 10_000, 100))
        self.assertAlmostEqual(quiet, 30, delta=4)

    def test_new_customers_get_retries_when_the_table_is_full(self) -> None:
        """Guards against a table that fills up for good, so that new customers get no retries."""
        budget = RetryBudget(limit=2)
        for customer in (1, 2):
            budget.record_request(customer, 9, 0)
        self.assertFalse(budget.spend_retry(3, 9, 1_000))
        self.assertTrue(budget.spend_retry(3, 9, 120_000))

    def test_backoff_is_spread_over_the_whole_doubling_range(self) -> None:
        rng = random.Random(1)
        for failures, bound in ((1, 20), (2, 40), (10, 500)):
            delays = [backoff_ms(failures, rng) for _ in range(500)]
            self.assertLessEqual(max(delays), bound)
            self.assertGreater(max(delays), 0.9 * bound)
            self.assertLess(min(delays), 0.1 * bound)


if __name__ == "__main__":
    unittest.main()
