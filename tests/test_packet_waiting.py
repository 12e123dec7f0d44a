"""What callers of two routes of one service get in an overload, with and without declared terms."""

import unittest

from shallotshore.scheduling.terms import RequestTerms
from standins.competing_routes import (
    BURST_FACTOR,
    BURST_MS,
    CLAIM,
    PRIORITIES,
    REFRESH,
    SECOND_MS,
    TERMS,
    UPSTREAMS,
    CompetingRoutes,
)

MIN_CLAIMS_IN_TIME = 0.99
MIN_SHARE_OF_EARLIER_VALUE = 0.95  # of the policy without terms, with other random arrivals


class WaitingTest(unittest.TestCase):
    """Loads that exceed the upstreams, and failures meanwhile."""

    def check_claims(self, routes: CompetingRoutes, first: int, last: int) -> None:
        """Checks that claims, whose own demand fits, are in time in each second."""
        for second in range(first, last):
            share = routes.share_in_time(CLAIM, second, second + 1)
            self.assertGreaterEqual(share, MIN_CLAIMS_IN_TIME, f"second {second}")

    def test_burst_of_refreshes(self) -> None:
        """Guards against claims that wait behind refreshes, and work on requests that are late."""
        declared, undeclared = CompetingRoutes(TERMS), CompetingRoutes(PRIORITIES)
        for routes in (declared, undeclared):
            routes.play_burst()
            self.assertLessEqual(routes.max_runs(), 1)
        self.check_claims(declared, 0, BURST_MS // SECOND_MS)
        before, after = (one.value(0, BURST_MS // SECOND_MS) for one in (undeclared, declared))
        self.assertGreaterEqual(after, MIN_SHARE_OF_EARLIER_VALUE * before)

    def test_burst_of_one_of_two_equal_routes(self) -> None:
        """Guards against a route that takes the share of another one of its priority.

        Newest first without accounts, the calm route's requests lost as many turns as the others'.
        """
        equal = {vip: RequestTerms(1, 353, 3_000) for vip in TERMS}
        routes = CompetingRoutes(equal)
        routes.play_burst()
        self.check_claims(routes, 0, BURST_MS // SECOND_MS)

    def test_overload_of_claims_leaves_a_floor_for_refreshes(self) -> None:
        """Guards against a route of lower priority that gets no turn in an overload."""
        routes = CompetingRoutes(TERMS)
        routes.load.factors[CLAIM] = 12.0
        routes.world.run(BURST_MS)
        in_time = routes.share_in_time(REFRESH, 1, BURST_MS // SECOND_MS)
        # A tenth of the turns is 32 requests a second, of 150.
        self.assertGreaterEqual(in_time, 0.1)

    def test_power_loss_with_its_backlog(self) -> None:
        """Guards against claims that wait behind the backlog, and against runs of lost flows."""
        routes = CompetingRoutes(TERMS)
        routes.lose_power()
        routes.world.run(8 * SECOND_MS)
        self.assertLessEqual(routes.max_runs(), 1)
        self.check_claims(routes, 3, 5)

    def test_agent_killed_while_it_holds(self) -> None:
        """Guards against held opening packets that are lost with their agent."""
        routes = CompetingRoutes(TERMS)
        routes.load.factors[REFRESH] = BURST_FACTOR
        routes.world.run(SECOND_MS)
        self.assertGreater(len(routes.world.agents[UPSTREAMS[0]].state.held_openings), 0)
        del routes.world.agents[UPSTREAMS[0]]
        routes.world.call_later(250, lambda: routes.start_agent(UPSTREAMS[0]))
        routes.world.run(2 * SECOND_MS)
        routes.load.factors[REFRESH] = 1.0
        routes.world.run(REFRESH.deadline_ms + SECOND_MS)
        self.assertLessEqual(routes.max_runs(), 1)
        claims = routes.made(CLAIM, 0, 3)
        answered = sum(record.answered_at is not None for record in claims)
        self.assertGreaterEqual(answered, 0.99 * len(claims))

    def check_burst(self, routes: CompetingRoutes) -> None:
        """Plays a burst, and checks that claims are answered and none runs twice."""
        routes.play_burst()
        self.assertLessEqual(routes.max_runs(), 1)
        claims = routes.made(CLAIM, 0, BURST_MS // SECOND_MS)
        answered = sum(record.answered_at is not None for record in claims)
        self.assertGreaterEqual(answered, 0.99 * len(claims))

    def test_link_cut_in_one_direction(self) -> None:
        """Guards against resets of flows whose agent cannot tell that it has offered them."""
        for direction in (1, -1):
            with self.subTest(direction=direction):
                routes = CompetingRoutes(TERMS)
                routes.world.cut_links = {
                    (UPSTREAMS[0], balancer)[::direction] for balancer in routes.world.balancers
                }
                self.check_burst(routes)

    def test_store_unavailable(self) -> None:
        """Guards against terms that are lost with the connection to the store."""
        routes = CompetingRoutes(TERMS)
        routes.world.hosts_without_store = {*routes.world.balancers, *routes.world.agents}
        routes.world.run(3 * SECOND_MS)
        routes.started_at = routes.world.now
        self.check_burst(routes)
        self.check_claims(routes, 0, BURST_MS // SECOND_MS)


if __name__ == "__main__":
    unittest.main()
