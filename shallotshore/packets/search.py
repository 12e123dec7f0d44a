"""Searches for the owner of a flow that this balancer does not know, by querying the agents."""

from __future__ import annotations

__all__ = [
    "SEARCH_RETRY_MS",
    "find_possible_owners",
    "find_service",
    "is_denied_by_all",
    "query_agents",
    "record_denial",
    "repeat_queries",
    "send_carry",
    "send_searches",
    "start_search",
    "widen_search",
]

from collections.abc import Iterable
from typing import TYPE_CHECKING

from shallotshore.packets.balancer_state import BalancerState
from shallotshore.packets.flow_cache import CachedFlowStage, SearchScope
from shallotshore.packets.node_messages import Carry, CarryKind, Search
from shallotshore.packets.packet import Packet
from shallotshore.packets.search_queue import SearchTarget
from shallotshore.packets.vm_checks import is_gone
from shallotshore.tables import MISSING

if TYPE_CHECKING:
    from shallotshore.messages import Address

# With more upstreams than this, the search does not go beyond the services of the route.
MAX_SEARCH_AGENTS = 200
# Most flows are owned by upstreams in the balancer's data centre, whose agents answer within 10 ms.
SAME_DATA_CENTRE_SEARCH_MS = 30
# An agent of the route's services that has not decided by then does not delay the queries to the
# agents of all other services, whose denials a reset needs as well.
ROUTE_SERVICES_SEARCH_MS = 200
# Clients retransmit a packet after 200, 600 and 1,400 ms. Agents are queried again only when a
# packet arrives after this time, since earlier answers may still wait to be read.
SEARCH_RETRY_MS = 500
# The balancer repeats unanswered queries itself, after intervals that start with this one and
# double. After a power loss the first query arrives before some upstreams have started, and a
# client that has retransmitted for seconds sends its next packet only after 1.6 s.
FIRST_REPEAT_MS = 150
MAX_REPEATS = 4
# With fewer agents of one service in a data centre, each of them is queried by the balancer itself.
MIN_RELAYED_AGENTS = 3
# After this number of queries the balancer queries each agent itself, since the agents that were to
# pass the queries on may be gone, of an earlier version, or not know the others.
MAX_RELAYED_QUERIES = 2
MAX_RELAY_SILENCE_MS = 1_500
# Until a search is this old, a flow counts as denied by all only if every known agent has denied
# it, also the silent agents. An agent that is silent because it has just started answers by then.
SILENT_AGENT_WAIT_MS = 300


def start_search(state: BalancerState, row: int, now: int) -> None:
    """Starts the search for the owner of a flow."""
    flows = state.flows
    flows.stage[row] = CachedFlowStage.SEARCHING
    flows.search_started_at[row] = now
    flows.last_sent_at[row] = now - SEARCH_RETRY_MS
    flows.scope[row] = SearchScope.SAME_DATA_CENTRE
    flows.query_count[row] = 0
    flows.repeat_count[row] = 0
    flows.repeated_at[row] = now
    flows.denied[row] = {}
    flows.schedule_check(row)
    state.counters.add("flows.searched")


def query_agents(state: BalancerState, row: int, packet: Packet, now: int) -> None:
    """Sends a packet to all agents in the search's scope that have not denied its flow.

    Args:
        state: The balancer's state.
        row: Row of the flow.
        packet: The client's packet.
        now: Time in ms.
    """
    flows = state.flows
    queries = min(flows.query_count[row] + 1, 255)
    flows.query_count[row] = queries
    flows.last_sent_at[row] = now
    denied = flows.denied[row] or {}
    hosts = _find_hosts_in_scope(state, packet.vip, flows.scope[row])
    flows.queried_hosts[row] = min(len(hosts), 65_535)
    for target, members in _group_hosts(state, hosts).items():
        waiting = [host for host in members if host not in denied]
        if not waiting:
            continue
        relayed_queries = MAX_RELAYED_QUERIES if len(members) >= MIN_RELAYED_AGENTS else 0
        if queries <= relayed_queries:
            state.searches.add(target, packet.key, packet.frame)
            continue
        is_repeated = queries > relayed_queries + 1
        for host in waiting:
            _query_agent(state, host, target, packet, is_repeated, now)


def _group_hosts(state: BalancerState, hosts: list[int]) -> dict[SearchTarget, list[int]]:
    """Returns the hosts by service and data centre."""
    upstreams = state.upstreams
    groups: dict[SearchTarget, list[int]] = {}
    for host in hosts:
        row = upstreams.row(host)
        target = SearchTarget(upstreams.service[row], upstreams.data_centre[row])
        groups.setdefault(target, []).append(host)
    return groups


def _query_agent(
    state: BalancerState,
    host: int,
    group: SearchTarget,
    packet: Packet,
    is_repeated: bool,
    now: int,
) -> None:
    """Queues a query for one agent.

    Agents of an earlier version do not know the message Search, and get the packet alone when the
    first query has had no answer.
    """
    row = state.upstreams.row(host)
    if not is_repeated or state.upstreams.answers_searches[row]:
        target = SearchTarget(group.service, group.data_centre, host)
        state.searches.add(target, packet.key, packet.frame)
        return
    if state.searches.try_spend(len(packet.frame), now):
        state.upstreams.record_query(row, now)
        send_carry(state, host, CarryKind.SEARCH, group.service, packet)


def repeat_queries(state: BalancerState, row: int, now: int) -> None:
    """Queries the agents in a search's scope again that have not answered for some time."""
    flows = state.flows
    packet = flows.pending_packet[row]
    if packet is None or flows.repeat_count[row] >= MAX_REPEATS:
        return
    if now - flows.repeated_at[row] < FIRST_REPEAT_MS << flows.repeat_count[row]:
        return
    flows.repeat_count[row] += 1
    flows.repeated_at[row] = now
    state.counters.add("flows.queries_repeated")
    query_agents(state, row, packet, now)


def send_searches(state: BalancerState, now: int) -> None:
    """Sends the queued queries that are due."""
    if not len(state.searches):
        return
    for target, batch in state.searches.take_due(now):
        hosts = [target.host] if target.host else _find_hosts_of_target(state, target)
        if not hosts:
            continue
        for host in hosts:
            state.upstreams.record_query(state.upstreams.row(host), now)
        receiver = target.host or _choose_relay(state, hosts, now)
        is_relayed = not target.host
        state.send(receiver, Search(target.service, state.host, batch, is_relayed))
    if len(state.searches):
        state.counters.add("flows.searches_postponed")


def _find_hosts_of_target(state: BalancerState, target: SearchTarget) -> list[int]:
    upstreams = state.upstreams
    return [
        host
        for host in upstreams.hosts_of_service(target.service)
        if upstreams.data_centre[upstreams.row(host)] == target.data_centre
    ]


def _choose_relay(state: BalancerState, hosts: list[int], now: int) -> int:
    """Returns the agent that passes a query on, at random among those heard lately."""
    upstreams = state.upstreams
    heard = [
        host
        for host in hosts
        if now - upstreams.heard_at[upstreams.row(host)] <= MAX_RELAY_SILENCE_MS
    ]
    return state.rng.choice(heard or hosts)


def widen_search(state: BalancerState, row: int, now: int) -> None:
    """Queries more agents, when the agents queried so far have denied a flow or had time to answer.

    Agents of the route's services in the balancer's data centre are queried first, then those in
    the other data centres. Once these have denied the flow, or after ROUTE_SERVICES_SEARCH_MS, the
    agents of all other services are queried, since an earlier configuration may have sent the flow
    to another service.
    """
    flows = state.flows
    packet = flows.pending_packet[row]
    if packet is None or flows.scope[row] == SearchScope.ALL_AGENTS:
        return
    scope = SearchScope(flows.scope[row])
    denied = flows.denied[row] or {}
    if scope == SearchScope.SAME_DATA_CENTRE:
        is_late = now - flows.last_sent_at[row] >= SAME_DATA_CENTRE_SEARCH_MS
    else:
        is_late = now - flows.search_started_at[row] >= ROUTE_SERVICES_SEARCH_MS
    if not is_late and not _have_all_denied(
        state, _find_hosts_in_scope(state, packet.vip, scope), denied, now
    ):
        return
    flows.scope[row] = _next_scope(state, packet.vip, scope)
    flows.query_count[row] = 0
    query_agents(state, row, packet, now)
    if flows.scope[row] == SearchScope.ALL_AGENTS:
        # Most flows that get here have no owner, and are judged once all agents have answered.
        state.feeds.upstreams.check.request(flows.search_started_at[row])


def _next_scope(state: BalancerState, vip: Address, scope: SearchScope) -> SearchScope:
    """Returns the next wider scope that has any agents."""
    if scope == SearchScope.SAME_DATA_CENTRE and state.services_of(vip):
        return SearchScope.ROUTE_SERVICES
    return SearchScope.ALL_AGENTS


def record_denial(state: BalancerState, row: int, host: int, now: int) -> None:
    """Records an agent's denial of a flow, and widens the search if all queried agents deny it.

    Agents that are gone are noticed by the next check of the search.
    """
    flows = state.flows
    denied = flows.denied[row]
    if denied is None:
        denied = flows.denied[row] = {}
    denied[host] = now
    if len(denied) >= flows.queried_hosts[row]:
        widen_search(state, row, now)


def find_possible_owners(state: BalancerState, now: int) -> set[int]:
    """Returns the hosts of all known upstreams whose VMs are not gone.

    Each of them may own a flow that it has not denied.
    """
    upstreams = state.upstreams
    return {
        upstreams.key[row]
        for row in upstreams.rows()
        if not upstreams.is_foreign(row, now) and not is_gone(state, row, now)
    }


def is_denied_by_all(state: BalancerState, row: int, possible_owners: set[int], now: int) -> bool:
    """Whether every agent that may know a flow has denied the flow, or its VM is gone.

    Args:
        state: The balancer's tables.
        row: Row of the flow.
        possible_owners: Result of `find_possible_owners` in this tick.
        now: Time in ms.
    """
    flows = state.flows
    if not len(state.upstreams):
        return False
    denied = flows.denied[row] or {}
    if now - flows.search_started_at[row] < SILENT_AGENT_WAIT_MS:
        return len(denied) >= len(state.upstreams) and denied.keys() >= set(state.upstreams.keys())
    return denied.keys() >= possible_owners


def find_service(state: BalancerState, host: int) -> int:
    """Returns the id of the service that a host serves, or 0 for an unknown host."""
    row = state.upstreams.row(host)
    return state.upstreams.service[row] if row != MISSING else 0


def send_carry(
    state: BalancerState, host: int, kind: CarryKind, service: int, packet: Packet
) -> None:
    """Sends an agent a client's packet that is not an opening packet.

    Args:
        state: The balancer's state.
        host: Host of the agent.
        kind: Why the packet is sent to this agent.
        service: Id of the service that the upstream must serve.
        packet: The client's packet.
    """
    message = Carry(kind, service, 0, (), 0.0, 0, 0, state.host, packet.frame)
    state.send(host, message)


def _find_hosts_in_scope(state: BalancerState, vip: Address, scope: int) -> list[int]:
    """Returns the hosts whose agents are queried in a SearchScope.

    Args:
        state: The balancer's state.
        vip: Virtual address of the flow.
        scope: The scope.
    """
    upstreams = state.upstreams
    if scope == SearchScope.ALL_AGENTS and len(upstreams) <= MAX_SEARCH_AGENTS:
        return list(upstreams.keys())
    hosts = [
        host for service in state.services_of(vip) for host in upstreams.hosts_of_service(service)
    ]
    if scope != SearchScope.SAME_DATA_CENTRE:
        return hosts
    return [host for host in hosts if state.is_same_data_centre(host)]


def _have_all_denied(
    state: BalancerState, hosts: Iterable[int], denied: dict[int, int], now: int
) -> bool:
    rows = (state.upstreams.row(host) for host in hosts if host not in denied)
    return all(is_gone(state, row, now) for row in rows)
