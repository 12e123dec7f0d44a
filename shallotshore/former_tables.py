"""Former sets of a service's upstreams, whose witnesses still count while their claims live."""

__all__ = ["FORMER_LIFE", "FormerTables"]

from collections.abc import Sequence

from shallotshore.messages import Address
from shallotshore.placement import Placement

FORMER_LIFE = 14_000  # ms; the life of a request claim
MAX_FORMER = 8  # tables kept; further changes within their life drop the oldest


class FormerTable:
    """One former set of upstreams."""

    __slots__ = ("_members", "_membership", "_placement", "addresses", "until")

    def __init__(self, membership: int, addresses: dict[int, Address]) -> None:
        self._membership = membership
        self._members = sorted(addresses)
        self._placement = Placement(self)
        self.addresses = addresses
        self.until = 0

    def membership(self, service: int) -> int:
        """Returns the revision of this set."""
        return self._membership

    def upstreams_of(self, service: int) -> Sequence[int]:
        """Returns the ids of the upstreams, sorted."""
        return self._members

    def witnesses(self, service: int, key: int) -> tuple[int, ...]:
        """Returns the witnesses that a key had."""
        return self._placement.witnesses(service, key)


class FormerTables:
    """The present set of upstreams and those that it replaced within `FORMER_LIFE`."""

    __slots__ = ("_former", "_present", "_revision", "_service")

    def __init__(self, service: int) -> None:
        self._service = service
        self._revision = -1
        self._present: dict[int, Address] = {}
        self._former: list[FormerTable] = []

    @property
    def membership(self) -> int:
        """Revision of the present set, or -1."""
        return self._revision

    def adopt(self, membership: int, addresses: dict[int, Address], now: int) -> None:
        """Notes the present set of upstreams.

        Args:
            membership: Revision at which the set last changed.
            addresses: Agents' addresses by upstream id.
            now: Monotonic time in milliseconds.
        """
        if self._present:
            table = FormerTable(self._revision, self._present)
            table.until = now + FORMER_LIFE
            self._former = [*self._former[1 - MAX_FORMER :], table]
        self._revision = membership
        self._present = addresses

    def witnesses(self, key: int, now: int) -> tuple[int, ...]:
        """Returns the witnesses that a key had under former tables that still count."""
        if not self._former:
            return ()
        self._former = [table for table in self._former if now < table.until]
        found: dict[int, None] = {}
        for table in self._former:
            found.update(dict.fromkeys(table.witnesses(self._service, key)))
        return tuple(found)

    def address(self, upstream: int) -> Address | None:
        """Returns the address of an upstream of a former table."""
        for table in reversed(self._former):
            if upstream in table.addresses:
                return table.addresses[upstream]
        return None

    def members(self) -> set[int]:
        """Returns the ids of all upstreams of former tables that still count."""
        return {member for table in self._former for member in table.addresses}
