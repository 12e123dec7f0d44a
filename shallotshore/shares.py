"""Fair shares of customers in the slots of a service, from the requests seen by one balancer."""

__all__ = ["FairShare"]

from array import array

from shallotshore.balancer_state import CatalogView
from shallotshore.hashing import score
from shallotshore.tables import MISSING, Table

_MAX_ROWS = 16_384
_WAITING_FACTOR = 8  # times the in-flight limit; a burst of this size drains in a usual budget
_MIN_WAITING_LIMIT = 128
_IN_FLIGHT_FACTOR = 2  # times the share of slots: one batch runs while the next one is on its way


class ShareTable(Table):
    """Requests per (customer, service). Columns: `customer`, `service`, `in_flight`, `waiting`."""

    __slots__ = ("customer", "in_flight", "service", "waiting")

    customer: "array[int]"
    in_flight: "array[int]"
    service: "array[int]"
    waiting: "array[int]"

    COLUMNS = {"customer": "Q", "in_flight": "L", "service": "Q", "waiting": "L"}


class FairShare:
    """Bounds a customer's requests in flight while other customers of the service wait."""

    __slots__ = ("_active_pairs", "_catalog", "_pairs", "_slots")

    def __init__(self, catalog: CatalogView) -> None:
        self._catalog = catalog
        self._pairs = ShareTable(_MAX_ROWS)
        self._active_pairs: dict[int, set[int]] = {}
        # Revision and number of slots by service; cached since counting slots visits each upstream.
        self._slots: dict[int, tuple[int, int]] = {}

    def adjust_counts(self, customer: int, service: int, in_flight: int, waiting: int) -> None:
        """Changes the numbers of a customer's requests in flight and waiting.

        Args:
            customer: Id of the customer.
            service: Id of the service.
            in_flight: Change of the number in flight.
            waiting: Change of the number waiting.
        """
        pair = score(customer, service)
        row = self._pairs.add(pair)
        if row == MISSING:
            return
        pairs = self._pairs
        pairs.customer[row] = customer
        pairs.service[row] = service
        pairs.in_flight[row] = max(0, pairs.in_flight[row] + in_flight)
        pairs.waiting[row] = max(0, pairs.waiting[row] + waiting)
        active_pairs = self._active_pairs.setdefault(service, set())
        if pairs.in_flight[row] or pairs.waiting[row]:
            active_pairs.add(pair)
            return
        active_pairs.discard(pair)
        self._pairs.remove(pair)
        if not active_pairs:
            del self._active_pairs[service]
            self._slots.pop(service, None)

    def may_start(self, customer: int, service: int) -> bool:
        """Whether a customer may have one more request in flight."""
        pairs = self._pairs
        active_pairs = self._active_pairs.get(service, set())
        own_pair = score(customer, service)
        if not any(pairs.waiting[pairs.row(pair)] for pair in active_pairs if pair != own_pair):
            return True
        row = pairs.row(own_pair)
        return row == MISSING or pairs.in_flight[row] < self.in_flight_limit(customer, service)

    def in_flight_limit(self, customer: int, service: int) -> int:
        """Returns how many requests a customer may have in flight while others wait; at least 1."""
        pairs = self._pairs
        active_customers = {
            pairs.customer[pairs.row(pair)] for pair in self._active_pairs.get(service, set())
        }
        shares = sum(self._catalog.share(other) for other in active_customers | {customer})
        slots = self._slots_of(service)
        return max(1, _IN_FLIGHT_FACTOR * slots * self._catalog.share(customer) // max(shares, 1))

    def _slots_of(self, service: int) -> int:
        catalog = self._catalog
        revision, slots = self._slots.get(service, (0, 0))
        if revision != catalog.revision:
            slots = 0
            for upstream in catalog.upstreams_of(service):
                view = catalog.upstream(upstream)
                if view is not None and catalog.takes_new_work(upstream):
                    slots += view.slots
            self._slots[service] = (catalog.revision, slots)
        return slots

    def may_wait(self, customer: int, service: int) -> bool:
        """Whether one more request of a customer may wait for its turn."""
        row = self._pairs.row(score(customer, service))
        if row == MISSING:
            return not self._pairs.is_full
        return self._pairs.waiting[row] < max(
            _MIN_WAITING_LIMIT, _WAITING_FACTOR * self.in_flight_limit(customer, service)
        )
