"""Tests of the fair queue over customers."""

import unittest
from collections import Counter

from shallotshore.agent_tables import RequestState
from shallotshore.fair_queue import enqueue_request, is_over_share, pop_next_request
from tests.agents import ACME, GROVE, Fleet


class FairQueueTest(unittest.TestCase):
    """Guards each customer's share against a flood of requests from another customer.

    The share of acme is 1, that of grove is 3.
    """

    def setUp(self) -> None:
        self.state = next(iter(Fleet(1).agents.values())).state

    def enqueue_requests(self, customer: int, keys: range) -> None:
        for key in keys:
            row = self.state.requests.add(key)
            self.state.requests.state[row] = RequestState.QUEUED
            self.state.requests.customer[row] = customer
            enqueue_request(self.state, customer, key)

    def pop_customers(self, count: int) -> list[int]:
        customers = []
        for _ in range(count):
            key = pop_next_request(self.state)
            assert key is not None
            customers.append(self.state.requests.customer[self.state.requests.row(key)])
        return customers

    def test_serves_in_proportion_to_shares(self) -> None:
        self.enqueue_requests(ACME, range(1, 101))
        self.enqueue_requests(GROVE, range(101, 201))
        self.assertEqual(Counter(self.pop_customers(80)), {ACME: 20, GROVE: 60})

    def test_single_customer_gets_everything_in_order(self) -> None:
        self.enqueue_requests(ACME, range(1, 6))
        self.assertEqual([pop_next_request(self.state) for _ in range(6)], [1, 2, 3, 4, 5, None])

    def test_cancelled_requests_are_skipped_and_cost_nothing(self) -> None:
        self.enqueue_requests(ACME, range(1, 4))
        self.state.requests.remove(1)
        self.state.requests.state[self.state.requests.row(2)] = RequestState.DONE
        self.assertEqual([pop_next_request(self.state), pop_next_request(self.state)], [3, None])
        self.assertEqual((len(self.state.queues), len(self.state.customer_ring)), (0, 0))

    def test_flooding_customer_is_limited_to_its_share_while_others_wait(self) -> None:
        self.enqueue_requests(ACME, range(1, 9))
        self.assertFalse(is_over_share(self.state, ACME, 8))
        self.enqueue_requests(GROVE, range(11, 12))
        self.assertTrue(is_over_share(self.state, ACME, 8))
        self.assertFalse(is_over_share(self.state, GROVE, 8))


if __name__ == "__main__":
    unittest.main()
