"""The order of waiting requests, and the decisions on admission, without a front end."""

import random
import unittest
from collections import Counter

from shallotshore.scheduling.admission import (
    MAX_RETRY_AFTER_MS,
    Verdict,
    decide,
    expected_wait_ms,
    retry_after_ms,
)
from shallotshore.scheduling.terms import RequestTerms
from shallotshore.scheduling.waiting import MAX_PASSED_OVER_TURNS, WaitingQueue, WaitingRequest
from tests.test_layout import find_imports, find_modules

CLAIM = RequestTerms(1, 352, 3_516)
REFRESH = RequestTerms(2, 353, 2_940)
SERVICE_MS = 40
START = 100_000


class WaitingQueueTest(unittest.TestCase):
    """The order in which requests get their turns."""

    def setUp(self) -> None:
        self.queue = WaitingQueue(1_000)
        self.keys = iter(range(1_000_000))

    def push(
        self, terms: RequestTerms = REFRESH, age_ms: int = 0, account: str = "a", now: int = START
    ) -> int:
        """Adds a request that was first made some time ago, and returns its key."""
        key = next(self.keys)
        self.queue.push(WaitingRequest(key, terms, account, now - age_ms, None), now)
        return key

    def pop_all(self, now: int = START) -> list[int]:
        """Returns the keys of all requests in the order of their turns."""
        keys = []
        while (request := self.queue.pop_next(now, SERVICE_MS)) is not None:
            keys.append(request.key)
        return keys

    def test_in_time_then_priority_then_newest(self) -> None:
        """Guards against slots used for requests that are late already while others become late."""
        late_claim = self.push(CLAIM, age_ms=400)
        older = self.push(REFRESH, age_ms=100)
        newer = self.push(REFRESH, age_ms=50)
        claim = self.push(CLAIM, age_ms=200)
        # An answer after `SERVICE_MS` is just late.
        late = self.push(REFRESH, age_ms=REFRESH.target_ms - SERVICE_MS + 1)
        self.assertEqual([claim, newer, older, late_claim, late], self.pop_all())

    def test_a_copy_replaces_the_earlier_one(self) -> None:
        """Guards against one request that gets two turns."""
        self.queue.push(WaitingRequest(7, REFRESH, "a", START, "first"), START)
        self.queue.push(WaitingRequest(7, REFRESH, "a", START, "second"), START)
        self.assertEqual(1, len(self.queue))
        request = self.queue.pop_next(START, SERVICE_MS)
        assert request is not None
        self.assertEqual("second", request.item)

    def test_accounts_take_turns(self) -> None:
        """Guards against an account that gets all turns because it asks more often."""
        for number in range(200):
            self.push(account="busy" if number % 10 else "calm")
        accounts = []
        for _ in range(38):
            request = self.queue.pop_next(START, SERVICE_MS)
            assert request is not None
            accounts.append(request.account)
        self.assertLessEqual(accounts.count("busy"), 1.25 * len(accounts) / 2)

    def test_an_account_with_one_request_at_a_time_gets_no_more_than_its_share(self) -> None:
        """Guards against an account that is always served first since its line was empty."""
        for _ in range(100):
            self.push(account="many")
        served: Counter[object] = Counter()
        for _ in range(60):
            if not any(self.queue.get(key) for key in (self.last_single,) if key is not None):
                self.last_single = self.push(account="single")
            request = self.queue.pop_next(START, SERVICE_MS)
            assert request is not None
            served[request.account] += 1
        self.assertLessEqual(max(served.values()), 1.25 * 30)

    last_single: int | None = None

    def test_an_account_without_work_saves_no_turns(self) -> None:
        """Guards against an account that takes all turns after a quiet time."""
        for _ in range(50):
            self.push(account="steady")
            self.queue.pop_next(START, SERVICE_MS)
        for _ in range(20):
            self.push(account="steady")
            self.push(account="back")
        accounts = Counter()
        for _ in range(20):
            request = self.queue.pop_next(START, SERVICE_MS)
            assert request is not None
            accounts[request.account] += 1
        self.assertLessEqual(max(accounts.values()), 1.25 * 10)

    def test_lower_priority_gets_every_tenth_turn(self) -> None:
        """Guards against a class that is never served while a more urgent one fills the servers."""
        for _ in range(100):
            self.push(CLAIM)
            self.push(REFRESH)
        priorities = []
        for _ in range(10 * (MAX_PASSED_OVER_TURNS + 1)):
            request = self.queue.pop_next(START, SERVICE_MS)
            assert request is not None
            priorities.append(request.terms.priority)
        self.assertEqual(10, priorities.count(2))

    def test_lower_priority_gets_a_turn_within_its_limit_when_turns_are_rare(self) -> None:
        """Guards against a class that waits beyond its limit for a tenth of few turns."""
        waiting = self.push(REFRESH)
        now = START
        while self.queue.get(waiting) is not None:
            now += 500
            self.push(CLAIM, now=now)
            self.queue.pop_next(now, SERVICE_MS)
        self.assertLess(now, START + REFRESH.limit_ms)
        self.assertEqual([], self.queue.take_expired(now))

    def test_requests_beyond_their_limit_are_dropped(self) -> None:
        """Guards against work for clients that have gone."""
        gone = self.push(REFRESH, age_ms=REFRESH.limit_ms)
        self.queue.push(WaitingRequest(-1, REFRESH, "a", START, None, expires_at=START + 50), START)
        kept = self.push(REFRESH)
        self.assertEqual([gone], [request.key for request in self.queue.take_expired(START)])
        self.assertEqual([kept], self.pop_all(START + 50))
        self.assertEqual([-1], [request.key for request in self.queue.take_expired(START + 50)])

    def test_a_full_queue_takes_copies_only(self) -> None:
        """Guards against a flood that fills the memory, and against lost copies during one."""
        queue = WaitingQueue(2)
        for key in range(2):
            self.assertTrue(queue.push(WaitingRequest(key, REFRESH, "a", START, None), START))
        self.assertFalse(queue.push(WaitingRequest(2, REFRESH, "a", START, None), START))
        self.assertTrue(queue.push(WaitingRequest(1, REFRESH, "a", START, None), START))

    def test_state_stays_bounded(self) -> None:
        """Guards against expiry times and accounts that are kept after their requests."""
        queue = WaitingQueue(10)
        for number in range(5_000):
            now = START + number
            queue.push(WaitingRequest(number, REFRESH, f"account {number}", now, None), now)
            queue.pop_next(now, SERVICE_MS)
        self.assertEqual(0, len(queue))
        self.assertLessEqual(len(queue._expiries), 21)
        self.assertLessEqual(len(queue._levels[2].charged), 300)


class AdmissionTest(unittest.TestCase):
    """The expected wait, the verdict and the time of return."""

    def test_expected_wait_counts_only_what_must_end_first(self) -> None:
        """Guards against waits counted for an upstream with a free slot, or without evidence."""
        self.assertEqual(0, expected_wait_ms(0, 1, 2, 40))
        self.assertEqual(20, expected_wait_ms(0, 2, 2, 40))
        self.assertEqual(120, expected_wait_ms(5, 2, 2, 40))
        self.assertEqual(0, expected_wait_ms(5, 2, 2, 0.0))
        self.assertEqual(0, expected_wait_ms(5, 2, 0, 40))

    def test_verdict_follows_from_target_and_limit(self) -> None:
        """Guards against refusals of requests that can still be answered, and against late ones."""
        for wait_ms, is_free, expected in (
            (300, False, Verdict.SERVE_IN_TIME),
            (320, False, Verdict.SERVE_LATE),
            (2_900, False, Verdict.SERVE_LATE),
            (2_901, False, Verdict.REFUSE),
            (9_999, True, Verdict.SERVE_LATE),
        ):
            verdict = decide(REFRESH, START, wait_ms, SERVICE_MS, is_free, START)
            self.assertEqual(expected, verdict, wait_ms)

    def test_undeclared_terms_are_never_refused(self) -> None:
        """Guards against a change for deployments that declare nothing."""
        verdict = decide(RequestTerms(), 0, 1e9, SERVICE_MS, False, START)
        self.assertEqual(Verdict.SERVE_IN_TIME, verdict)

    def test_clients_return_by_priority_and_age(self) -> None:
        """Guards against refused clients that all return at once, or the least urgent first."""
        rng = random.Random(1)

        def mean(terms: RequestTerms, age_ms: int) -> float:
            return sum(retry_after_ms(100, 50, terms, age_ms, rng) for _ in range(99)) / 99

        self.assertLess(mean(CLAIM, 0), mean(REFRESH, 2_000))
        self.assertLess(mean(REFRESH, 2_000), mean(REFRESH, 0))
        values = [retry_after_ms(100, 50, REFRESH, 0, rng) for _ in range(99)]
        self.assertGreater(len(set(values)), 20)
        self.assertGreaterEqual(min(values), 2_000)
        self.assertLessEqual(max(values), 4_000)
        self.assertEqual(MAX_RETRY_AFTER_MS, retry_after_ms(10**6, 1, REFRESH, 0, rng))


class PackageTest(unittest.TestCase):
    """What the package may import."""

    def test_the_package_imports_neither_front_end(self) -> None:
        """Guards against shared decisions that know messages or sockets of a front end."""
        modules = find_modules()
        for name, path in modules.items():
            if name.startswith("shallotshore.scheduling"):
                outer = {
                    needed
                    for needed in find_imports(path, modules) - {"shallotshore"}
                    if not needed.startswith("shallotshore.scheduling")
                }
                self.assertEqual(set(), outer, name)


if __name__ == "__main__":
    unittest.main()
