"""Maps addresses (VIPs) to the customer and service that they belong to."""

__all__ = ["AddressOwners", "Route"]

from collections.abc import Callable
from typing import NamedTuple


class Route(NamedTuple):
    """The service and the customer to which an address belongs, by their ids."""

    service: int
    customer: int


class AddressOwners:
    """Maps the key of each address to the customer that owns the address.

    A balancer that reads the platform's records refuses a record that claims an address in use. Two
    such balancers that have read different revisions may accept different records. Until both have
    read the same revision, a catalog may hold the claims of several customers to one address; all
    catalogs then choose the same owner.
    """

    __slots__ = ("_claims", "_routes")

    def __init__(self) -> None:
        self._claims: dict[int, dict[int, Route]] = {}
        self._routes: dict[int, Route] = {}

    def get(self, address: int) -> Route | None:
        """Returns the route of an address, or None."""
        return self._routes.get(address)

    def bind(self, address: int, route: Route) -> None:
        """Gives an address to a customer, or adds the customer's claim if another one owns it."""
        present = self._routes.setdefault(address, route)
        if present.customer == route.customer:
            self._routes[address] = route
            return
        # Keeps both claims, since the present owner may release the address later in this update.
        claims = self._claims.setdefault(address, {present.customer: present})
        claims[route.customer] = route

    def unbind(self, address: int, customer: int) -> None:
        """Removes a customer's claim to an address."""
        self._claims.get(address, {}).pop(customer, None)
        route = self._routes.get(address)
        if route is not None and route.customer == customer:
            del self._routes[address]

    def resolve_owners(self, precedence: Callable[[int], tuple[int, int]]) -> None:
        """Chooses the owners of addresses that several customers claim.

        Args:
            precedence: Sort key of a customer; the customer with the lowest one gets the address.
        """
        for address, claims in list(self._claims.items()):
            if claims:
                self._routes[address] = claims[min(claims, key=precedence)]
            if len(claims) <= 1:
                del self._claims[address]
