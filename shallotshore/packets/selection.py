"""Chooses upstreams for a new flow by fresh load."""

from __future__ import annotations

__all__ = ["has_free_slot", "record_opened", "choose_service", "rank_upstreams"]

from shallotshore.packets.balancer_state import BalancerState, RouteView
from shallotshore.packets.node_messages import UpstreamHealth

OPEN_FLOW_SLOTS = 0.03  # slots that an open flow without a request in flight counts for
OTHER_DATA_CENTRE_PENALTY_SLOTS = (
    0.3  # slots; bytes between data centres are dear, and a report is older
)
COLD = 3.0  # slots; a cold upstream is taken when all others are loaded
UNREPORTED_PENALTY_SLOTS = 4.0  # slots; nothing is known of its load, or its VM is gone
SILENT = 20.0  # slots; its agent says that it does not answer
JITTER_SLOTS = 0.25  # slots; keeps balancers with the same reports from choosing the same upstream
# A service with many upstreams is served from the own data centre while two of them are free there:
# ranking 51 upstreams takes four times as long as ranking 13. The third candidate is one of a few
# others, for the case that the two cannot take the flow.
MAX_FULLY_RANKED_UPSTREAMS = 16
SAMPLED_UPSTREAMS = 4
OPENED_COUNT_VALID_MS = 60  # a flow opened since is not in the report yet


def choose_service(state: BalancerState, route: RouteView) -> int:
    """Returns the service of a new flow, drawn by the weights of the route."""
    if len(route.services) == 1:
        return route.services[0]
    return state.rng.choices(route.services, route.weights)[0]


def rank_upstreams(state: BalancerState, service: int, without: list[int], now: int) -> list[int]:
    """Returns the hosts that a new flow may go to, best first.

    Args:
        state: The balancer's tables.
        service: Id of the service.
        without: Hosts that were offered the flow before.
        now: Time in ms.
    """
    hosts = state.upstreams.hosts_of_service(service)
    if len(hosts) > MAX_FULLY_RANKED_UPSTREAMS and not without:
        near = _rank_hosts(
            state, [host for host in hosts if state.is_same_data_centre(host)], without, now
        )
        if len(near) > 1 and has_free_slot(state, near[1], now):
            sample = _rank_hosts(state, state.rng.sample(hosts, SAMPLED_UPSTREAMS), near, now)
            return near[:2] + sample[:1] + near[2:]
    return _rank_hosts(state, hosts, without, now)


def _rank_hosts(state: BalancerState, hosts: list[int], without: list[int], now: int) -> list[int]:
    upstreams = state.upstreams
    scored = []
    for host in hosts:
        row = upstreams.row(host)
        if host in without or upstreams.data_centre[row] in state.data_centres_out:
            continue
        if upstreams.accepts_new_flows(row, now):
            scored.append((_load_score(state, row, now), host))
    scored.sort()
    return [host for _, host in scored]


def record_opened(state: BalancerState, host: int, now: int) -> None:
    """Counts a flow that the upstream's next report may not contain yet."""
    upstreams = state.upstreams
    row = upstreams.row(host)
    if now - upstreams.opened_at[row] > OPENED_COUNT_VALID_MS:
        upstreams.opened[row] = 0
    upstreams.opened[row] = min(upstreams.opened[row] + 1, 65_535)
    upstreams.opened_at[row] = now


def has_free_slot(state: BalancerState, host: int, now: int) -> bool:
    """Whether an upstream has reported lately that it has a free slot."""
    upstreams = state.upstreams
    row = upstreams.row(host)
    return (
        upstreams.has_fresh_report(row, now)
        and upstreams.health[row] == UpstreamHealth.ANSWERS
        and upstreams.in_flight[row] < upstreams.slots[row]
    )


def _load_score(state: BalancerState, row: int, now: int) -> float:
    """Returns the load of an upstream in units of its slots."""
    upstreams = state.upstreams
    load = upstreams.in_flight[row] + OPEN_FLOW_SLOTS * upstreams.flows[row]
    if now - upstreams.opened_at[row] <= OPENED_COUNT_VALID_MS:
        load += upstreams.opened[row]
    score = (load + state.rng.random() * JITTER_SLOTS) / upstreams.slots[row]
    if upstreams.data_centre[row] != state.data_centre:
        score += OTHER_DATA_CENTRE_PENALTY_SLOTS
    if upstreams.cold_until[row] > now:
        score += COLD
    if not upstreams.has_fresh_report(row, now):
        score += UNREPORTED_PENALTY_SLOTS
    if upstreams.health[row] == UpstreamHealth.SILENT:
        score += SILENT
    return score
