"""Breaks the product on purpose, one promise at a time, and checks that a scenario detects it.

Each case has a scenario, a user, the broken promise and the patches. docs/promises.md lists them.
"""

import unittest
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from contextlib import ExitStack
from unittest import mock

from shallotshore.catalog import Catalog, Route
from shallotshore.claim_messages import ClaimReply
from shallotshore.codes import Code
from standins.deployments import KOLTSEGTER, VATULELE
from tests.test_scenarios import MAX_WORKERS, load_scenario


def grant_any_claim(state: object, claim: object, now: int) -> ClaimReply:
    """Grants every claim, as a witness without a record of claims does."""
    return ClaimReply(claim.key, claim.attempt, state.own_id, Code.OK, claim.holder)


def accept_single_void(self: object, row: int, now: int) -> bool:
    """Takes a single granted void, instead of a quorum, as proof that a request was not run."""
    return self._voids.granted[row] != 0


def return_first_part(self: object, answer: object) -> tuple[bytes, ...]:
    """Takes the first part of an answer for the whole."""
    return (answer.payload,)


original_route = Catalog.route
first_customer_by_service: dict[int, int] = {}


def route_to_first_customer(self: Catalog, vip: tuple[str, int]) -> Route | None:
    """Routes all addresses of a service to the customer whose address was looked up first."""
    route = original_route(self, vip)
    if route is None:
        return None
    return Route(route.service, first_customer_by_service.setdefault(route.service, route.customer))


CASES: dict[str, tuple[str, str, str, dict[str, object]]] = {
    "agents_forget_claims": (
        "feeds_through_agent_restarts",
        KOLTSEGTER,
        "P1",
        {
            "shallotshore.flows.find_claim_holder": lambda *_: None,
            "shallotshore.peers.find_flow_claims": lambda *_: [],
        },
    ),
    "every_vip_belongs_to_one_customer": (
        "crossed_and_late_packets",
        VATULELE,
        "P2",
        {"shallotshore.catalog.Catalog.route": route_to_first_customer},
    ),
    "ramp_admits_in_full": (
        "upstreams_start_cold",
        KOLTSEGTER,
        "P3",
        {
            "shallotshore.ramp.Ramp.limit": lambda _, record: record.slots,
            "shallotshore.ramp.Ramp.can_open": lambda *_: True,
        },
    ),
    "nobody_looks_at_the_data_centre": (
        "data_centre_out_during_outage",
        VATULELE,
        "P4",
        {"shallotshore.catalog.Catalog.is_data_centre_in_service": lambda *_: True},
    ),
    "first_part_is_the_answer": (
        "crossed_and_late_packets",
        VATULELE,
        "P5",
        {"shallotshore.answers.AnswerParts.add": return_first_part},
    ),
    "not_run_without_quorum": (
        "not_run_is_true",
        KOLTSEGTER,
        "P6",
        {"shallotshore.voids.VoidSystem._is_proven": accept_single_void},
    ),
    "retry_without_claims": (
        "edits_run_once",
        KOLTSEGTER,
        "P7",
        {
            "shallotshore.claims.decide_claim": grant_any_claim,
            "shallotshore.claiming.decide_claim": grant_any_claim,
        },
    ),
    "nobody_looks_at_the_state_of_upstreams": (
        "upstream_leaves",
        VATULELE,
        "P8",
        {
            "shallotshore.catalog.Catalog.takes_new_work": lambda *_: True,
            "shallotshore.catalog.UpstreamView.leaving": False,
            "shallotshore.agent_state.AgentState.leaving": False,
        },
    ),
    "stops_at_once": (
        "graceful_stops",
        KOLTSEGTER,
        "P9",
        {
            "shallotshore.agent.AgentCore.stopped": True,
            "shallotshore.balancer.BalancerCore.stopped": True,
        },
    ),
    "deletions_are_not_applied": (
        "configuration_in_force",
        VATULELE,
        "P10",
        {"shallotshore.replica.Update._delete": lambda *_: None},
    ),
}


def find_broken_promises(name: str) -> set[str]:
    """Runs a case and returns the promises that were broken in its scenario."""
    scenario, user, _, patches = CASES[name]
    with ExitStack() as stack:
        for target, replacement in patches.items():
            stack.enter_context(mock.patch(target, replacement))
        return {violation.promise for violation in load_scenario(scenario).run(user).violations}


class MutationTest(unittest.TestCase):
    """Guards against scenarios that pass although the product breaks the promise they check."""

    broken_promises_by_case: dict[str, set[str]] = {}

    def check_case(self, name: str) -> None:
        if not self.broken_promises_by_case:
            with ProcessPoolExecutor(MAX_WORKERS) as pool:
                results = zip(CASES, pool.map(find_broken_promises, CASES), strict=True)
                self.broken_promises_by_case.update(results)
        self.assertIn(CASES[name][2], self.broken_promises_by_case[name])


def _make_test(name: str) -> Callable[[MutationTest], None]:
    return lambda self: self.check_case(name)


for _name in CASES:
    setattr(MutationTest, f"test_{_name}", _make_test(_name))
