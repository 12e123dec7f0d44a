"""Finds the owner of a flow that this balancer does not know, by asking the agents."""

from __future__ import annotations

__all__ = [
    "SEARCH_RETRY_MS",
    "start_search",
    "send_carry",
    "is_denied_by_all",
    "record_denial",
    "query_agents",
    "find_service",
    "find_possible_owners",
    "widen_search",
]

from collections.abc import Iterable

from shallotshore.packets.balancer_state import SEARCH_MESSAGES_BURST, BalancerState, RouteView
from shallotshore.packets.flow_cache import CachedFlowStage, SearchScope
from shallotshore.packets.node_messages import Carry, CarryKind
from shallotshore.packets.packet import Packet
from shallotshore.packets.vm_checks import is_gone
from shallotshore.tables import MISSING

MAX_SEARCH_AGENTS = 200  # agents asked for a flow that the route's own services do not know
# Agents of the own data centre answer within 10 ms; most flows live there.
SAME_DATA_CENTRE_SEARCH_MS = 30
# Clients send a packet again after 200, 600 and 1,400 ms. Agents that have been asked are asked
# again only then, since their answers may still wait to be read.
SEARCH_RETRY_MS = 1_000
# An agent that has just started has not been heard either: it answers the search itself by then.
SILENT_AGENT_WAIT_MS = 300


def start_search(state: BalancerState, row: int, now: int) -> None:
    """Starts the search for the owner of a flow."""
    flows = state.flows
    flows.stage[row] = CachedFlowStage.SEARCHING
    flows.searched_at[row] = now
    flows.asked_at[row] = now - SEARCH_RETRY_MS
    flows.scope[row] = SearchScope.SAME_DATA_CENTRE
    flows.denied[row] = {}
    flows.schedule_check(row)
    state.counters.add("flows.searched")


def query_agents(
    state: BalancerState, row: int, packet: Packet, route: RouteView, now: int
) -> None:
    """Sends a packet to all agents in the search's scope that have not denied its flow."""
    flows = state.flows
    flows.asked_at[row] = now
    denied = flows.denied[row] or {}
    for host in _find_hosts_in_scope(state, route, flows.scope[row]):
        if host not in denied:
            send_carry(state, host, CarryKind.SEARCH, find_service(state, host), packet)


def widen_search(state: BalancerState, row: int, now: int) -> None:
    """Asks more agents, when those asked so far do not own a flow or have had time to say so.

    The agents of the route's services in the own data centre come first, then those of the other
    data centres. An earlier configuration may have sent the flow to another service: the other
    agents are asked once those have denied it.
    """
    flows = state.flows
    packet = flows.pending[row]
    route = state.routes.get(packet.vip) if packet is not None else None
    if packet is None or route is None or flows.scope[row] == SearchScope.ALL_AGENTS:
        return
    scope = SearchScope(flows.scope[row])
    denied = flows.denied[row] or {}
    is_late = (
        scope == SearchScope.SAME_DATA_CENTRE
        and now - flows.asked_at[row] >= SAME_DATA_CENTRE_SEARCH_MS
    )
    if not is_late and not _have_all_denied(
        state, _find_hosts_in_scope(state, route, scope), denied, now
    ):
        return
    asked = [
        host
        for host in _find_hosts_in_scope(state, route, SearchScope(scope + 1))
        if host not in denied
    ]
    if not state.search_budget.take(now, min(len(asked), SEARCH_MESSAGES_BURST)):
        state.counters.add("flows.searches_postponed")
        return
    flows.scope[row] = scope + 1
    query_agents(state, row, packet, route, now)


def record_denial(state: BalancerState, row: int, host: int, now: int) -> None:
    """Notes that an agent does not know a flow, and widens the search when none of them does."""
    flows = state.flows
    denied = flows.denied[row]
    if denied is None:
        denied = flows.denied[row] = {}
    denied[host] = now
    widen_search(state, row, now)


def find_possible_owners(state: BalancerState, now: int) -> set[int]:
    """Returns the hosts that may own a flow which they have not denied: all that are not gone."""
    upstreams = state.upstreams
    return {upstreams.key[row] for row in upstreams.rows() if not is_gone(state, row, now)}


def is_denied_by_all(state: BalancerState, row: int, undecided: set[int], now: int) -> bool:
    """Whether every agent that may know a flow has denied it, or is gone.

    Args:
        state: The balancer's tables.
        row: Row of the flow.
        undecided: What `find_possible_owners` has returned in this tick.
        now: Time in ms.
    """
    flows = state.flows
    if not len(state.upstreams):
        return False
    denied = flows.denied[row] or {}
    if now - flows.searched_at[row] < SILENT_AGENT_WAIT_MS:
        return denied.keys() >= set(state.upstreams.keys())
    return denied.keys() >= undecided


def find_service(state: BalancerState, host: int) -> int:
    """Returns the id of the service that a host serves; 0 for an unknown host."""
    row = state.upstreams.row(host)
    return state.upstreams.service[row] if row != MISSING else 0


def send_carry(
    state: BalancerState, host: int, kind: CarryKind, service: int, packet: Packet
) -> None:
    """Sends a packet that opens no flow to an agent."""
    message = Carry(kind, service, 0, (), 0.0, 0, 0, state.host, packet.frame)
    state.send(host, message)


def _find_hosts_in_scope(state: BalancerState, route: RouteView, scope: int) -> list[int]:
    upstreams = state.upstreams
    if scope == SearchScope.ALL_AGENTS and len(upstreams) <= MAX_SEARCH_AGENTS:
        return list(upstreams.keys())
    hosts = [host for service in route.services for host in upstreams.hosts_of_service(service)]
    if scope != SearchScope.SAME_DATA_CENTRE:
        return hosts
    return [host for host in hosts if state.is_same_data_centre(host)]


def _have_all_denied(
    state: BalancerState, hosts: Iterable[int], denied: dict[int, int], now: int
) -> bool:
    asked = (state.upstreams.row(host) for host in hosts if host not in denied)
    return all(is_gone(state, row, now) for row in asked)
