"""Chooses upstreams for a new flow by their reported load."""

from __future__ import annotations

__all__ = ["choose_service", "count_recent_offer", "has_free_slot", "rank_upstreams"]

from shallotshore.packets.balancer_state import BalancerState, RouteView
from shallotshore.packets.node_messages import UpstreamHealth
from shallotshore.scheduling.placement import completion_score, usable_slots

OPEN_FLOW_SLOTS = 0.03  # load of an open flow without a request in flight
# Each of the penalties is added to the load per slot, which is 1.0 when all slots are busy.
# Traffic between data centres is expensive, and reports from other data centres are older.
OTHER_DATA_CENTRE_PENALTY = 0.3
COLD_PENALTY = 3.0  # a cold upstream is chosen only when all others are loaded
UNREPORTED_PENALTY = 4.0  # the load of the upstream is not known, or its VM is gone
SILENT_PENALTY = 20.0  # the agent reports that its upstream does not answer
JITTER_SLOTS = 0.25  # keeps balancers with the same reports from choosing the same upstream
# Ranking 51 upstreams takes four times as long as ranking 13. For a service with more upstreams
# than this limit, only those are ranked whose reports this balancer gets, and of these only those
# of its own data centre while two of them are free. The third candidate is the best of the others,
# in case these two cannot accept the flow.
MAX_FULLY_RANKED_UPSTREAMS = 16
SAMPLED_UPSTREAMS = 4  # without known load, ranked first when all others are busy
RECENT_OFFER_MS = 60  # a flow offered within this time may not be in the upstream's report yet


def choose_service(state: BalancerState, route: RouteView) -> int:
    """Returns the service for a new flow, drawn at random by the weights of the route."""
    if len(route.services) == 1:
        return route.services[0]
    return state.rng.choices(route.services, route.weights)[0]


def rank_upstreams(state: BalancerState, service: int, excluded: list[int], now: int) -> list[int]:
    """Returns the hosts that a new flow may be offered to, best first.

    Args:
        state: The balancer's tables.
        service: Id of the service.
        excluded: Hosts to leave out, since the flow was offered to them before.
        now: Time in ms.
    """
    hosts = state.upstreams.hosts_of_service(service)
    if len(hosts) <= MAX_FULLY_RANKED_UPSTREAMS:
        return _rank_hosts(state, hosts, excluded, now)
    known = [host for host in hosts if state.upstreams.is_subscribed[state.upstreams.row(host)]]
    near = [host for host in known if state.is_same_data_centre(host)]
    near = _rank_hosts(state, near, excluded, now)
    if len(near) > 1 and has_free_slot(state, near[1], now):
        others = [host for host in known if host not in near]
        return near[:2] + _rank_hosts(state, others, excluded, now)[:1] + near[2:]
    ranked = _rank_hosts(state, known, excluded, now)
    if ranked and has_free_slot(state, ranked[0], now):
        return ranked
    # Every upstream with a known load is busy, so any other one is more likely to be free.
    unknown = [host for host in hosts if host not in known]
    sample = state.rng.sample(unknown, min(SAMPLED_UPSTREAMS, len(unknown)))
    return _rank_hosts(state, sample, excluded, now) + ranked


def _rank_hosts(state: BalancerState, hosts: list[int], excluded: list[int], now: int) -> list[int]:
    """Returns the hosts that accept new flows and are not excluded, by ascending load score."""
    upstreams = state.upstreams
    scored = []
    for host in hosts:
        row = upstreams.row(host)
        if host in excluded or upstreams.data_centre[row] in state.data_centres_out:
            continue
        if upstreams.accepts_new_flows(row, now):
            scored.append((_load_score(state, row, now), host))
    scored.sort()
    return [host for _, host in scored]


def count_recent_offer(state: BalancerState, host: int, now: int) -> None:
    """Counts a flow that this balancer has offered to an upstream.

    The count is added to the reported load until a report can contain the flow.
    """
    upstreams = state.upstreams
    row = upstreams.row(host)
    if now - upstreams.last_offer_at[row] > RECENT_OFFER_MS:
        upstreams.recent_offers[row] = 0
    upstreams.recent_offers[row] = min(upstreams.recent_offers[row] + 1, 65_535)
    upstreams.last_offer_at[row] = now


def has_free_slot(state: BalancerState, host: int, now: int) -> bool:
    """Whether an upstream has a free slot, according to a recent report."""
    upstreams = state.upstreams
    row = upstreams.row(host)
    return (
        upstreams.has_fresh_report(row, now)
        and upstreams.health[row] == UpstreamHealth.ANSWERS
        and upstreams.in_flight[row] < _slots(state, row)
    )


def _slots(state: BalancerState, row: int) -> int:
    """Returns the slots of an upstream that count as places for work."""
    upstreams = state.upstreams
    if not upstreams.load_weight[row]:
        return upstreams.slots[row]
    return usable_slots(upstreams.slots[row], upstreams.concurrency[row])


def _load_score(state: BalancerState, row: int, now: int) -> float:
    """Returns the load of an upstream with all penalties.

    The load is a multiple of the upstream's slots. With learned values it accounts for the speed,
    and stays the same for an upstream of median speed.
    """
    upstreams = state.upstreams
    is_fresh = upstreams.has_fresh_report(row, now)
    load = upstreams.in_flight[row] + OPEN_FLOW_SLOTS * upstreams.flows[row]
    if now - upstreams.last_offer_at[row] <= RECENT_OFFER_MS:
        load += upstreams.recent_offers[row]
    load += state.rng.random() * JITTER_SLOTS
    weight = upstreams.load_weight[row]
    if weight and is_fresh:
        concurrency = upstreams.concurrency[row]
        score = completion_score(load, upstreams.slots[row], concurrency, weight)
    else:
        score = load / upstreams.slots[row]
    if upstreams.data_centre[row] != state.data_centre:
        score += OTHER_DATA_CENTRE_PENALTY
    if upstreams.cold_until[row] > now:
        score += COLD_PENALTY
    if not is_fresh:
        score += UNREPORTED_PENALTY
    if upstreams.health[row] == UpstreamHealth.SILENT:
        score += SILENT_PENALTY
    return score
