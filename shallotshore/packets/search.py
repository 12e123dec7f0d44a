"""Finds the owner of a flow that this balancer does not know, by asking the agents."""

from __future__ import annotations

__all__ = [
    "begin_search",
    "carry",
    "is_denied_by_all",
    "note_denial",
    "search_on",
    "service_of",
    "undecided_hosts",
]

from collections.abc import Iterable

from shallotshore.packets.balancer_state import BalancerState, RouteView
from shallotshore.packets.flow_cache import FlowStage
from shallotshore.packets.node_messages import Carry, CarryKind
from shallotshore.packets.packet import Packet
from shallotshore.packets.vm_checks import is_gone
from shallotshore.tables import MISSING

ASKED_LIMIT = 200  # agents asked for a flow that the route's own services do not know
# An agent that has just started has not been heard either: it answers the search itself by then.
SILENT_SEARCH_MS = 300


def begin_search(state: BalancerState, row: int, now: int) -> None:
    """Starts the search for the owner of a flow."""
    flows = state.flows
    flows.stage[row] = FlowStage.SEARCHING
    flows.searched_at[row] = now
    flows.is_wide[row] = False
    flows.denied[row] = {}
    flows.watch(row)
    state.counters.add("flows.searched")


def search_on(state: BalancerState, row: int, packet: Packet, route: RouteView) -> None:
    """Sends a packet to all agents that may know its owner and have not denied it.

    The agents of the route's services come first. An earlier configuration may have sent the flow
    to another service: the other agents are asked once those have denied it.
    """
    flows = state.flows
    denied = flows.denied[row] or {}
    for host in _asked(state, route, bool(flows.is_wide[row])):
        if host not in denied:
            carry(state, host, CarryKind.SEARCH, service_of(state, host), packet)


def note_denial(state: BalancerState, row: int, host: int, now: int) -> None:
    """Notes that an agent does not know a flow, and widens the search when none of them does."""
    flows = state.flows
    denied = flows.denied[row]
    if denied is None:
        denied = flows.denied[row] = {}
    denied[host] = now
    packet = flows.pending[row]
    route = state.routes.get(packet.vip) if packet is not None else None
    if flows.is_wide[row] or packet is None or route is None:
        return
    if _all_denied(state, _asked(state, route, False), denied, now):
        flows.is_wide[row] = True
        search_on(state, row, packet, route)


def undecided_hosts(state: BalancerState, now: int) -> set[int]:
    """Returns the hosts that may own a flow which they have not denied: all that are not gone."""
    upstreams = state.upstreams
    return {upstreams.key[row] for row in upstreams.rows() if not is_gone(state, row, now)}


def is_denied_by_all(state: BalancerState, row: int, undecided: set[int], now: int) -> bool:
    """Whether every agent that may know a flow has denied it, or is gone.

    Args:
        state: The balancer's tables.
        row: Row of the flow.
        undecided: What `undecided_hosts` has returned in this tick.
        now: Time in ms.
    """
    flows = state.flows
    if not len(state.upstreams):
        return False
    denied = flows.denied[row] or {}
    if now - flows.searched_at[row] < SILENT_SEARCH_MS:
        return denied.keys() >= set(state.upstreams.keys())
    return denied.keys() >= undecided


def service_of(state: BalancerState, host: int) -> int:
    """Returns the id of the service that a host serves; 0 for an unknown host."""
    row = state.upstreams.row(host)
    return state.upstreams.service[row] if row != MISSING else 0


def carry(state: BalancerState, host: int, kind: CarryKind, service: int, packet: Packet) -> None:
    """Sends a packet that opens no flow to an agent."""
    message = Carry(kind, service, 0, (), 0.0, 0, 0, state.host, packet.frame)
    state.send(host, message)


def _asked(state: BalancerState, route: RouteView, is_wide: bool) -> list[int]:
    upstreams = state.upstreams
    if is_wide and len(upstreams) <= ASKED_LIMIT:
        return list(upstreams.keys())
    return [host for service in route.services for host in upstreams.of_service(service)]


def _all_denied(
    state: BalancerState, hosts: Iterable[int], denied: dict[int, int], now: int
) -> bool:
    asked = (state.upstreams.row(host) for host in hosts if host not in denied)
    return all(is_gone(state, row, now) for row in asked)
