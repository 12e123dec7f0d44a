"""Chooses upstreams for a new flow by fresh load."""

from __future__ import annotations

__all__ = ["is_free", "note_opened", "pick_service", "rank_upstreams"]

from shallotshore.packets.balancer_state import BalancerState, RouteView
from shallotshore.packets.node_messages import UpstreamHealth

FLOW_WEIGHT = 0.03  # slots that an open flow without a request in flight counts for
OTHER_DATA_CENTRE = 0.3  # slots; bytes between data centres are dear, and a report is older
COLD = 3.0  # slots; a cold upstream is taken when all others are loaded
UNREPORTED = 4.0  # slots; nothing is known of its load, or its VM is gone
SILENT = 20.0  # slots; its agent says that it does not answer
JITTER = 0.25  # slots; keeps balancers with the same reports from choosing the same upstream
# A service with many upstreams is served from the own data centre while two of them are free there:
# ranking 51 upstreams takes four times as long as ranking 13. The third candidate is one of a few
# others, for the case that the two cannot take the flow.
NEAR_FIRST_ABOVE = 16
FAR_SAMPLE = 4
OPENED_FRESH_MS = 60  # a flow opened since is not in the report yet


def pick_service(state: BalancerState, route: RouteView) -> int:
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
    hosts = state.upstreams.of_service(service)
    if len(hosts) > NEAR_FIRST_ABOVE and not without:
        near = _ranked(state, [host for host in hosts if state.is_near(host)], without, now)
        if len(near) > 1 and is_free(state, near[1], now):
            sample = _ranked(state, state.rng.sample(hosts, FAR_SAMPLE), near, now)
            return near[:2] + sample[:1] + near[2:]
    return _ranked(state, hosts, without, now)


def _ranked(state: BalancerState, hosts: list[int], without: list[int], now: int) -> list[int]:
    upstreams = state.upstreams
    scored = []
    for host in hosts:
        row = upstreams.row(host)
        if host in without or upstreams.data_centre[row] in state.data_centres_out:
            continue
        if upstreams.may_open(row, now):
            scored.append((_score(state, row, now), host))
    scored.sort()
    return [host for _, host in scored]


def note_opened(state: BalancerState, host: int, now: int) -> None:
    """Counts a flow that the upstream's next report may not contain yet."""
    upstreams = state.upstreams
    row = upstreams.row(host)
    if now - upstreams.opened_at[row] > OPENED_FRESH_MS:
        upstreams.opened[row] = 0
    upstreams.opened[row] = min(upstreams.opened[row] + 1, 65_535)
    upstreams.opened_at[row] = now


def is_free(state: BalancerState, host: int, now: int) -> bool:
    """Whether an upstream has reported lately that it has a free slot."""
    upstreams = state.upstreams
    row = upstreams.row(host)
    return (
        upstreams.is_reported(row, now)
        and upstreams.health[row] == UpstreamHealth.ANSWERS
        and upstreams.in_flight[row] < upstreams.slots[row]
    )


def _score(state: BalancerState, row: int, now: int) -> float:
    """Returns the load of an upstream in units of its slots."""
    upstreams = state.upstreams
    load = upstreams.in_flight[row] + FLOW_WEIGHT * upstreams.flows[row]
    if now - upstreams.opened_at[row] <= OPENED_FRESH_MS:
        load += upstreams.opened[row]
    score = (load + state.rng.random() * JITTER) / upstreams.slots[row]
    if upstreams.data_centre[row] != state.data_centre:
        score += OTHER_DATA_CENTRE
    if upstreams.cold_until[row] > now:
        score += COLD
    if not upstreams.is_reported(row, now):
        score += UNREPORTED
    if upstreams.health[row] == UpstreamHealth.SILENT:
        score += SILENT
    return score
