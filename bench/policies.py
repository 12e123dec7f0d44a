"""Compares the product with common flow and load policies, and measures figures with targets.

All runs use the same seed, callers, upstreams and network, on the virtual clock.
"""

__all__ = ["run"]

from collections.abc import Iterator

from bench.plain_balancer import FlowPolicy, LoadPolicy, PlainProcessFactory
from standins.checker import check_promises
from standins.deployments import KOLTSEGTER, VATULELE
from standins.processes import PRODUCT_FACTORY, ProcessFactory
from standins.scenario import Outcome, Scenario

SEED = 1
PLANNED_CHANGE_COUNT = 1000
CHANGE_INTERVAL_MS = 60

_DEPLOYMENT_LINE = "0 deployment koltsegter vatulele\n"
_PLANNED_CHANGES_SCENARIO = (
    _DEPLOYMENT_LINE
    + "3 load * * light rate=1\n17 measure\n17 churn {count} {interval}\n{end} end\n"
)
_BALANCER_KILLS_SCENARIO = _DEPLOYMENT_LINE + (
    "3 load * * light\n15 kill_balancer balancer-1\n18 start_balancer balancer-1\n"
    "21 kill_balancer balancer-2\n24 start_balancer balancer-2\n30 end\n"
)
_EXTRA_HOPS_SCENARIO = (
    _DEPLOYMENT_LINE + "3 load * * light\n15 add_upstream $main $dc1\n20 measure\n30 end\n"
)
_STEADY_LOAD_SCENARIO = _DEPLOYMENT_LINE + "12 load * * usual\n21 measure\n41 end\n"
_DATA_CENTRE_CHANGE_SCENARIO = _DEPLOYMENT_LINE + (
    "12 load * * half\n17 measure\n19 data_centre $dc2 out\n27 data_centre $dc2 in\n37 end\n"
)
_FAULTS_SCENARIO = _DEPLOYMENT_LINE + (
    "12 load * * usual\n15 network loss=0.02 duplication=0.02 reordering=0.05\n"
    "17 restart_upstream $main-1\n19 drain $main-2\n20 kill_balancer balancer-1\n"
    "22 restart_agent $main-3\n23 start_balancer balancer-1\n25 restart_upstream $main-4\n32 end\n"
)


def run(changes: int = PLANNED_CHANGE_COUNT) -> dict[str, float]:
    """Runs all comparisons and measurements.

    Args:
        changes: Number of planned changes that flows must survive.

    Returns:
        Figures by name.
    """
    figures: dict[str, float] = {}
    figures.update(_measure_flow_policies(changes))
    figures.update(_measure_load_policies())
    figures.update(_measure_fault_targets())
    return figures


def _run_scenario(
    text: str, user: str, process_factory: ProcessFactory = PRODUCT_FACTORY
) -> Outcome:
    return Scenario.from_text(text).run(user, SEED, process_factory)


def _measure_flow_policies(changes: int) -> Iterator[tuple[str, float]]:
    """Yields how many flows planned changes break, for the product and common flow policies.

    Also yields, for the product, how many flows killed balancers break and the share of extra hops.
    """
    text = _PLANNED_CHANGES_SCENARIO.format(
        count=changes, interval=CHANGE_INTERVAL_MS, end=22 + changes * CHANGE_INTERVAL_MS // 1000
    )
    yield "planned_changes", float(changes)
    outcome = _run_scenario(text, KOLTSEGTER)
    yield "broken_flows_planned_changes", _count_violations(outcome, "P1")
    for flow_policy in FlowPolicy:
        plain = _run_scenario(
            text, KOLTSEGTER, PlainProcessFactory(flow_policy, LoadPolicy.ROUND_ROBIN)
        )
        yield f"broken_flows_{flow_policy.value}", _count_violations(plain, "P1")
    kill_runs = [_run_scenario(_BALANCER_KILLS_SCENARIO, user) for user in (KOLTSEGTER, VATULELE)]
    yield "broken_flows_balancer_killed", sum(_count_violations(each, "P1") for each in kill_runs)
    yield "extra_hop_share_after_5s", _run_scenario(_EXTRA_HOPS_SCENARIO, KOLTSEGTER).figures[
        "extra_hop_share"
    ]


def _measure_load_policies() -> Iterator[tuple[str, float]]:
    """Yields imbalance and p99 latency at 70% load, for the product and common load policies."""
    product = _run_scenario(_STEADY_LOAD_SCENARIO, KOLTSEGTER)
    yield "slot_imbalance_70_percent", product.figures["imbalance_main"]
    yield "p99_ms", product.figures["p99"]
    yield "done_share", product.figures["done_share"]
    for load_policy in LoadPolicy:
        plain = _run_scenario(
            _STEADY_LOAD_SCENARIO, KOLTSEGTER, PlainProcessFactory(FlowPolicy.HASH, load_policy)
        )
        yield f"slot_imbalance_{load_policy.value}", plain.figures["imbalance_main"]
        yield f"p99_ms_{load_policy.value}", plain.figures["p99"]
        yield f"done_share_{load_policy.value}", plain.figures["done_share"]


def _measure_fault_targets() -> Iterator[tuple[str, float]]:
    """Yields the figures of runs with a data centre change and of runs with a mix of faults."""
    data_centre_runs = [
        _run_scenario(_DATA_CENTRE_CHANGE_SCENARIO, user) for user in (KOLTSEGTER, VATULELE)
    ]
    yield (
        "answered_share_data_centre_change",
        min(each.figures["done_share"] for each in data_centre_runs),
    )
    yield "packets_to_removed_data_centre", sum(
        _count_violations(each, "P4") for each in data_centre_runs
    )
    fault_runs = [_run_scenario(_FAULTS_SCENARIO, user) for user in (KOLTSEGTER, VATULELE)]
    all_runs = [*data_centre_runs, *fault_runs]
    yield "requests_checked", sum(each.figures["requests"] for each in all_runs)
    yield "requests_lost_or_doubled", sum(_count_violations(each, "P5", "P7") for each in all_runs)
    yield "not_run_but_run", sum(_count_violations(each, "P6") for each in all_runs)
    yield "cold_over_bound", sum(_count_violations(each, "P3") for each in all_runs)
    yield "new_work_to_leaving_upstream", sum(_count_violations(each, "P8") for each in all_runs)
    yield "cross_customer_packets", sum(_count_violations(each, "P2") for each in all_runs)


def _count_violations(outcome: Outcome, *promises: str) -> float:
    return float(len(check_promises(outcome.world, promises)))
