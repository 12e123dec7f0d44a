"""Chooses the agents that a balancer of a large fleet subscribes to.

Balancers and hosts are placed on rings by hashing. Each balancer takes an arc of hosts that begins
at its own share of the ring, so that all arcs together cover each host about equally often. The
number of subscriptions of a balancer depends on the length of its arc, not on the size of the
fleet, and a change of k members moves an arc by O(k) hosts.
"""

from __future__ import annotations

__all__ = ["arc_length", "arc_start", "choose_arc", "ring_order"]

from collections.abc import Callable, Collection, Sequence

from shallotshore.hashing import score

_RING_KEY = 0x5AB5E7  # any constant: it separates this order from other uses of `score`


def ring_order(members: Collection[int]) -> list[int]:
    """Returns the members in the order of their places on a ring, the same in every process."""
    return sorted(members, key=lambda member: score(_RING_KEY, member))


def arc_length(minimum: int, hosts: int, balancers: int, coverage: int) -> int:
    """Returns the number of hosts that each balancer subscribes to.

    Args:
        minimum: Least number of hosts that a balancer needs for its own choices.
        hosts: Number of hosts on the ring.
        balancers: Number of balancers that share the ring.
        coverage: How many balancers must subscribe to each host.
    """
    return min(hosts, max(minimum, -(-coverage * hosts // balancers)))


def arc_start(own: int, balancers: Sequence[int], hosts: int) -> int:
    """Returns the position at which the arc of a balancer begins.

    Args:
        own: The balancer.
        balancers: All balancers that share the ring, in the order of `ring_order`; contains `own`.
            When it is empty, the start follows from the balancer's own place alone.
        hosts: Number of hosts on the ring.
    """
    if balancers:
        return balancers.index(own) * hosts // len(balancers)
    return score(_RING_KEY, own) * hosts >> 64


def choose_arc(
    hosts: Sequence[int], start: int, length: int, is_usable: Callable[[int], bool]
) -> list[int]:
    """Returns the hosts in an arc.

    Args:
        hosts: All hosts, in the order of `ring_order`.
        start: Position of the first host of the arc.
        length: Least number of hosts in the arc.
        is_usable: Whether a host can take new flows. The arc is extended until it has `length`
            usable hosts.
    """
    chosen: list[int] = []
    usable = 0
    for position in range(start, start + len(hosts)):
        if usable >= length:
            break
        host = hosts[position % len(hosts)]
        chosen.append(host)
        usable += is_usable(host)
    return chosen
