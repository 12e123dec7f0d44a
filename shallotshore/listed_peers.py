"""Looks up the roles of other balancers and the state of VMs in the VM list."""

__all__ = ["ListedPeers"]

from collections.abc import Sequence

from shallotshore.hashing import name_id
from shallotshore.membership import Membership
from shallotshore.messages import Address

# Up to this number of balancers, events go to all of them directly, without the delay of a relay.
_MAX_DIRECT_BALANCERS = 32


class ListedPeers:
    """Finds receivers of health events and hints, and the upstreams that this balancer watches.

    A reader is a balancer that reads the platform's services for its data centre. In a large
    deployment a health event goes from its origin to the readers of the origin's data centre, from
    these to the readers of all other data centres, and down the relay tree of each data centre.
    """

    __slots__ = (
        "_address",
        "_data_centre",
        "_event_targets",
        "_hint_targets",
        "_is_parent_of",
        "_membership",
        "_revision",
    )

    def __init__(self, address: Address, data_centre: str, membership: Membership) -> None:
        """Creates an empty cache of results.

        Args:
            address: Address of this balancer.
            data_centre: Name of this balancer's data centre.
            membership: The VM list.
        """
        self._address = address
        self._data_centre = name_id("data_centre", data_centre)
        self._membership = membership
        self._revision = -1
        self._hint_targets: tuple[Address, ...] | None = None
        self._event_targets: dict[bool, tuple[Address, ...]] = {}
        self._is_parent_of: dict[int, bool] = {}

    def event_targets(self, is_origin: bool) -> Sequence[Address]:
        """Returns the balancers to which this balancer sends a health event.

        Args:
            is_origin: Whether this balancer published the event itself rather than received it.
        """
        self._clear_if_changed()
        if is_origin not in self._event_targets:
            unique_targets = dict.fromkeys(self._find_event_targets(is_origin))
            unique_targets.pop(self._address, None)
            self._event_targets[is_origin] = tuple(unique_targets)
        return self._event_targets[is_origin]

    def hint_targets(self, source: Address) -> Sequence[Address]:
        """Returns the balancers to which a hint from `source` is relayed.

        With few balancers, a hint of an agent goes to all of them, since packets of a flow may
        reach any of them. A hint from a balancer is not relayed again.
        """
        self._clear_if_changed()
        if self._membership.is_balancer(source):
            return ()
        if self._hint_targets is None:
            balancers = self._membership.all_balancers()
            others = [address for address in balancers if address != self._address]
            self._hint_targets = tuple(others) if len(balancers) <= _MAX_DIRECT_BALANCERS else ()
        return self._hint_targets

    def is_parent(self, upstream: int, data_centre: int) -> bool:
        """Whether this balancer watches the upstream's heartbeats."""
        self._clear_if_changed()
        if upstream not in self._is_parent_of:
            parents = self._membership.parents(upstream, data_centre)
            self._is_parent_of[upstream] = not parents or self._address in parents
        return self._is_parent_of[upstream]

    def is_leaving(self, address: Address) -> bool:
        """Whether the VM list says that the VM at an address is leaving."""
        return self._membership.is_leaving(address)

    def _clear_if_changed(self) -> None:
        """Clears the cached results when the VM list has changed."""
        if self._revision != self._membership.revision:
            self._revision = self._membership.revision
            self._hint_targets = None
            self._event_targets.clear()
            self._is_parent_of.clear()

    def _find_event_targets(self, is_origin: bool) -> list[Address]:
        membership = self._membership
        balancers = membership.all_balancers()
        if len(balancers) <= _MAX_DIRECT_BALANCERS:
            return balancers if is_origin else []
        readers = membership.readers(self._data_centre)
        targets = list(membership.children(self._address, self._data_centre))
        if is_origin:
            targets += readers
        if self._address in readers:
            for data_centre in membership.data_centres():
                targets += membership.readers(data_centre)
        return targets
