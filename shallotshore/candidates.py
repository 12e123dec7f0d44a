"""Selects the upstreams to try for a new flow, for a flow's packets and for a request."""

__all__ = ["MAX_CANDIDATES", "Candidates"]

from collections.abc import Iterable, Iterator, Sequence

from shallotshore.balancer_state import BalancerState, UpstreamView

MAX_CANDIDATES = 3  # per message; work that one agent cannot accept goes to the next candidate
# Only this many upstreams are considered, the first ones in rendezvous order. At least three of
# them are live unless more than half of them are down.
_MAX_ORDERED_UPSTREAMS = 8
_NO_ORDER_LIMIT = 1 << 30
_SAMPLED_UPSTREAMS = 8  # per request, so that its cost does not rise with their total number


class Candidates:
    """Selects upstreams by rendezvous order, configuration records, health and load."""

    __slots__ = ("_state",)

    def __init__(self, state: BalancerState) -> None:
        self._state = state

    def for_packet(self, service: int, key: int) -> tuple[int, ...]:
        """Returns live upstreams in rendezvous order for a packet of an established flow."""
        state = self._state
        excluded = state.exclusions.for_packets(service)
        if not excluded:
            return state.placement.order(service, key, MAX_CANDIDATES)
        order = state.placement.order(service, key, _MAX_ORDERED_UPSTREAMS)
        return tuple([upstream for upstream in order if upstream not in excluded][:MAX_CANDIDATES])

    def for_customer_packet(self, service: int, customer: int, key: int) -> tuple[int, ...]:
        """Returns live upstreams for a packet when some upstreams do not serve every customer.

        The order is the rendezvous order, but upstreams that do not serve the customer come last.
        They are included because their agents may be witnesses of the customer's flows.
        """
        state = self._state
        excluded = state.exclusions.for_packets(service)
        order = state.placement.order(service, key, _MAX_ORDERED_UPSTREAMS)
        live = [upstream for upstream in order if upstream not in excluded]
        live.sort(key=lambda upstream: not self._serves_customer(upstream, customer))
        return tuple(live[:MAX_CANDIDATES])

    def for_opening(self, service: int, customer: int, key: int, now: int) -> tuple[int, ...]:
        """Returns upstreams that accept new flows, in rendezvous order, those with room first."""
        with_room: list[int] = []
        without_room: list[int] = []
        order = self._state.placement.order(service, key, _MAX_ORDERED_UPSTREAMS)
        self._sort_by_room(service, customer, order, (with_room, without_room), now)
        if not with_room and not without_room:
            order = self._state.placement.order(service, key, _NO_ORDER_LIMIT)
            self._sort_by_room(
                service, customer, order[_MAX_ORDERED_UPSTREAMS:], (with_room, without_room), now
            )
        return (*with_room, *without_room)[:MAX_CANDIDATES]

    def for_request(
        self, service: int, customer: int, avoid: Iterable[int], now: int
    ) -> tuple[int, ...]:
        """Returns upstreams that accept new work, the least loaded ones first.

        Args:
            service: Id of the service.
            customer: Id of the customer.
            avoid: Upstreams already tried for this request; they come last.
            now: Time in ms.
        """
        state = self._state
        members = state.catalog.upstreams_of(service)
        sample = members
        if len(members) > _SAMPLED_UPSTREAMS:
            sample = state.rng.sample(members, _SAMPLED_UPSTREAMS)
        eligible = list(self._find_eligible(service, customer, sample))
        if not eligible and len(members) > _SAMPLED_UPSTREAMS:
            eligible = list(self._find_eligible(service, customer, members))
        already_tried = set(avoid)
        sorted_entries = sorted(
            (
                upstream in already_tried,
                round(state.loads.relative_load(upstream, view.slots, now), 2),
                state.rng.random(),
                upstream,
            )
            for upstream, view in eligible
        )
        return tuple(entry[-1] for entry in sorted_entries[:MAX_CANDIDATES])

    def find_following(self, service: int, key: int, upstream: int, depth: int) -> tuple[int, ...]:
        """Returns the live upstreams that follow a given one in the rendezvous order of a key.

        Args:
            service: Id of the service.
            key: Flow key.
            upstream: The last upstream asked; if the order lacks it, all live ones are returned.
            depth: How many upstreams from the start of the order to consider.
        """
        state = self._state
        order = state.placement.order(service, key, depth)
        start = order.index(upstream) + 1 if upstream in order else 0
        excluded = state.exclusions.for_packets(service)
        return tuple(other for other in order[start:] if other not in excluded)

    def _sort_by_room(
        self,
        service: int,
        customer: int,
        order: Sequence[int],
        lists: tuple[list[int], list[int]],
        now: int,
    ) -> None:
        with_room, without_room = lists
        for upstream, view in self._find_eligible(service, customer, order):
            has_room = self._state.loads.has_room(upstream, view.connections, now)
            (with_room if has_room else without_room).append(upstream)
            if len(with_room) == MAX_CANDIDATES:
                return

    def _find_eligible(
        self, service: int, customer: int, members: Iterable[int]
    ) -> Iterator[tuple[int, UpstreamView]]:
        """Yields the upstreams that accept new work of a customer."""
        state = self._state
        excluded = state.exclusions.for_new_work(service)
        for upstream in members:
            if upstream in excluded:
                continue
            view = state.catalog.upstream(upstream)
            if (
                view is None
                or view.leaving
                or not state.catalog.is_data_centre_in_service(view.data_centre)
            ):
                continue
            if view.customers and customer not in view.customers:
                continue
            if not state.peers.is_leaving(view.address):
                yield upstream, view

    def _serves_customer(self, upstream: int, customer: int) -> bool:
        view = self._state.catalog.upstream(upstream)
        return view is not None and (not view.customers or customer in view.customers)
