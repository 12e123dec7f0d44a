"""Ordered upstreams for a flow's packets, for its opening and for a request."""

__all__ = ["MAX_CANDIDATES", "Candidates"]

from collections.abc import Iterable

from shallotshore.balancer_state import BalancerState, UpstreamView

MAX_CANDIDATES = 3  # named in a message; an agent passes on to them what it cannot take
_ORDER_DEPTH = 8  # enough that three of them are live unless more than half of the first are not
_SAMPLE = 16  # upstreams compared for a request; more would not even out the load further


class Candidates:
    """Selects upstreams by rendezvous order, records, health and load."""

    __slots__ = ("_state",)

    def __init__(self, state: BalancerState) -> None:
        self._state = state

    def for_packet(self, service: int, customer: int, key: int) -> tuple[int, ...]:
        """Returns live upstreams in rendezvous order for a packet of an established flow."""
        state = self._state
        excluded = state.exclusions.for_packets(service)
        chosen: list[int] = []
        others: list[int] = []
        for upstream in state.placement.order(service, key, _ORDER_DEPTH):
            view = state.catalog.upstream(upstream)
            if upstream in excluded or view is None or not self._is_in(view):
                continue
            serves = not view.customers or customer in view.customers
            (chosen if serves else others).append(upstream)
            if len(chosen) == MAX_CANDIDATES:
                break
        # An upstream that does not serve the customer may still be a witness of its flows.
        return (*chosen, *others)[:MAX_CANDIDATES]

    def for_opening(self, service: int, customer: int, key: int, now: int) -> tuple[int, ...]:
        """Returns upstreams that take new flows, in rendezvous order, those with room first."""
        state = self._state
        order = state.placement.order(service, key, _ORDER_DEPTH)
        able = self._taking_new(service, customer, order)
        if not able:
            able = self._taking_new(service, customer, self._whole_order(service, key))
        roomy = []
        for upstream, view in able:
            if state.loads.has_room(upstream, view.connections, now):
                roomy.append(upstream)
        if len(roomy) < len(able):
            roomy += [upstream for upstream, _ in able if upstream not in roomy]
        return tuple(roomy[:MAX_CANDIDATES])

    def for_request(
        self, service: int, customer: int, avoid: Iterable[int], now: int
    ) -> tuple[int, ...]:
        """Returns upstreams that take new work, those with the least load first.

        Args:
            service: Id of the service.
            customer: Id of the customer.
            avoid: Upstreams already tried; they come last.
            now: Time in ms.
        """
        state = self._state
        members = state.catalog.upstreams_of(service)
        if len(members) > _SAMPLE:
            members = state.rng.sample(members, _SAMPLE)
        able = self._taking_new(service, customer, members)
        if not able and len(state.catalog.upstreams_of(service)) > _SAMPLE:
            able = self._taking_new(service, customer, state.catalog.upstreams_of(service))
        tried = set(avoid)
        ordered = sorted(
            (
                upstream in tried,
                round(state.loads.weight(upstream, view.slots, now), 2),
                state.rng.random(),
                upstream,
            )
            for upstream, view in able
        )
        return tuple(entry[-1] for entry in ordered[:MAX_CANDIDATES])

    def after(self, service: int, key: int, upstream: int, depth: int) -> tuple[int, ...]:
        """Returns the live upstreams that follow one in the rendezvous order of a key.

        Args:
            service: Id of the service.
            key: Flow key.
            upstream: The last upstream asked; when it is not in the order, all are returned.
            depth: How far into the order to look.
        """
        state = self._state
        order = state.placement.order(service, key, depth)
        start = order.index(upstream) + 1 if upstream in order else 0
        excluded = state.exclusions.for_packets(service)
        found = []
        for other in order[start:]:
            view = state.catalog.upstream(other)
            if other not in excluded and view is not None and self._is_in(view):
                found.append(other)
        return tuple(found)

    def _taking_new(
        self, service: int, customer: int, members: Iterable[int]
    ) -> list[tuple[int, UpstreamView]]:
        state = self._state
        excluded = state.exclusions.for_new_work(service)
        able = []
        for upstream in members:
            if upstream in excluded or not state.catalog.takes_new_work(upstream):
                continue
            view = state.catalog.upstream(upstream)
            if view is None or (view.customers and customer not in view.customers):
                continue
            if not state.peers.is_leaving(view.address):
                able.append((upstream, view))
        return able

    def _whole_order(self, service: int, key: int) -> tuple[int, ...]:
        return self._state.placement.order(service, key, 1 << 30)

    def _is_in(self, view: UpstreamView) -> bool:
        return self._state.catalog.data_centre_in(view.data_centre)
