"""Placement of flows and requests: upstreams in rendezvous order, by service and key bucket.

A key's bucket is its top 12 bits. The first upstreams in the order of the bucket are the key's
candidates and its witnesses.
"""

__all__ = ["REQUEST_LIFETIME_MS", "WITNESS_COUNT", "Placement", "PlacementCatalog", "quorum_size"]

from array import array
from collections.abc import Iterator, Sequence
from itertools import islice
from typing import Protocol

from shallotshore.hashing import rank, score

WITNESS_COUNT = 5
# The number of buckets must not depend on the size of the service: a change of the number would
# replace all witnesses at once, and quorums would no longer intersect.
BUCKET_BITS = 12
# The bucket is taken from the top bits of a key: if it were in the low bits, services with close
# ids would get the same orders.
_BUCKET_MASK = ((1 << BUCKET_BITS) - 1) << (64 - BUCKET_BITS)
_IDS_PER_BUCKET = 8  # ids cached per bucket: five witnesses and the candidates that replace them
_CACHE_SLOT_BITS = 13  # 8,192 cached buckets of 80 bytes; the cache is direct-mapped
FORMER_MEMBERS_MS = 14_000  # lifetime of a request claim; its witnesses may change meanwhile
REQUEST_LIFETIME_MS = 10_000  # greatest age plus budget of a request
_PACKET_DELAY_MS = 2_000  # greatest delay of a packet that the design allows for
_PROPAGATION_LAG_MS = 3_000  # until a changed set of upstreams is in force everywhere
_SERVICES_CHECKED_PER_TICK = 500  # after a new revision; takes under 2 ms
_NO_REVISION = -1


class UpstreamLocation(Protocol):
    """The location of an upstream."""

    @property
    def data_centre(self) -> int:
        """Id of the data centre."""


class PlacementCatalog(Protocol):
    """The part of the catalog that placement uses."""

    @property
    def revision(self) -> int:
        """Revision in force."""

    def membership(self, service: int) -> int:
        """Returns the revision at which the service's set of upstreams last changed."""

    def upstreams_of(self, service: int) -> Sequence[int]:
        """Returns the ids of all upstream records of the service, sorted."""

    def upstream(self, upstream: int) -> UpstreamLocation | None:
        """Returns the record of an upstream."""

    def is_data_centre_in_service(self, data_centre: int) -> bool:
        """Whether the data centre is in service."""


def quorum_size(count: int) -> int:
    """Returns how many of `count` witnesses must grant a claim.

    A quorum is four of five witnesses, so that the quorums before and after a change of one
    upstream intersect.
    """
    return 4 if count >= WITNESS_COUNT else count // 2 + 1


class _ServiceMembers:
    """The upstreams of a service whose data centre is in service, now and in the last 14 s.

    Attributes:
        checked_revision: Catalog revision at which the members were last checked.
        membership_revision: Revision at which the members last changed.
        members: Ids of the upstreams.
        known_since: Time in ms; every change of the members after this time is known.
        former_members: Replaced sets of members, each with the time (ms) at which it is dropped.
    """

    __slots__ = (
        "checked_revision",
        "former_members",
        "known_since",
        "members",
        "membership_revision",
    )

    def __init__(self, now: int) -> None:
        self.checked_revision = _NO_REVISION
        self.membership_revision = _NO_REVISION
        self.members = array("Q")
        self.known_since = now
        self.former_members: tuple[tuple[int, array], ...] = ()


class Placement:
    """Rendezvous orders per (service, bucket), computed on demand and cached in columns."""

    __slots__ = (
        "_bucket_keys",
        "_catalog",
        "_id_counts",
        "_ids",
        "_membership_revisions",
        "_now",
        "_revision_history",
        "_services",
        "_unchecked_services",
    )

    def __init__(self, catalog: PlacementCatalog) -> None:
        """Creates an empty cache.

        Args:
            catalog: Source of the services' upstreams; a change of a service's upstreams
                invalidates its cached orders.
        """
        slots = 1 << _CACHE_SLOT_BITS
        self._catalog = catalog
        self._now = 0
        self._revision_history: list[tuple[int, int]] = []
        self._services: dict[int, _ServiceMembers] = {}
        self._unchecked_services: Iterator[int] = iter(())
        self._bucket_keys = array("Q", bytes(8 * slots))
        self._membership_revisions = array("q", [_NO_REVISION]) * slots
        self._id_counts = bytearray(slots)
        self._ids = array("Q", bytes(8 * slots * _IDS_PER_BUCKET))

    def refresh(self, now: int) -> None:
        """Brings the members of services up to date with the catalog; to be called at each tick.

        Args:
            now: Time in ms; former members are dropped 14 s after they were replaced.
        """
        self._now = now
        for service in islice(self._unchecked_services, _SERVICES_CHECKED_PER_TICK):
            self._find_service_members(service)
        revision = self._catalog.revision
        if self._revision_history and self._revision_history[-1][1] == revision:
            return
        self._revision_history.append((now, revision))
        while (
            len(self._revision_history) > 1
            and self._revision_history[1][0] <= now - FORMER_MEMBERS_MS
        ):
            del self._revision_history[0]
        self._unchecked_services = iter(tuple(self._services))

    def order(self, service: int, key: int, limit: int) -> tuple[int, ...]:
        """Returns the first upstreams in the rendezvous order of a key's bucket.

        Upstreams whose data centre is out are not in the order.

        Args:
            service: Id of the service.
            key: Flow key or request key.
            limit: Greatest number of ids to return.
        """
        current = self._find_service_members(service)
        bucket_key = score(service, key & _BUCKET_MASK)
        if limit > _IDS_PER_BUCKET:
            return tuple(rank(bucket_key, current.members, limit))
        slot = bucket_key >> (64 - _CACHE_SLOT_BITS)
        if (
            self._bucket_keys[slot] != bucket_key
            or self._membership_revisions[slot] != current.membership_revision
        ):
            self._fill_slot(slot, bucket_key, current)
        start = slot * _IDS_PER_BUCKET
        return tuple(self._ids[start : start + min(limit, self._id_counts[slot])])

    def witnesses(self, service: int, key: int) -> tuple[int, ...]:
        """Returns the upstreams whose agents keep the claims of a key."""
        return self.order(service, key, WITNESS_COUNT)

    def former_witnesses(self, service: int, key: int) -> tuple[int, ...]:
        """Returns upstreams that were witnesses of a key in the last 14 s and no longer are."""
        current = self._find_service_members(service)
        if not current.former_members:
            return ()
        current.former_members = tuple(
            entry for entry in current.former_members if entry[0] > self._now
        )
        bucket_key = score(service, key & _BUCKET_MASK)
        present = self.witnesses(service, key)
        found: dict[int, None] = {}
        for _, members in current.former_members:
            found.update(dict.fromkeys(rank(bucket_key, members, WITNESS_COUNT)))
        return tuple(upstream for upstream in found if upstream not in present)

    def knows_former_witnesses(self, service: int, age: int = REQUEST_LIFETIME_MS) -> bool:
        """Whether every witness that may keep a claim of a request is known here.

        Args:
            service: Id of the service.
            age: Age of the request in ms.
        """
        known_for = self._now - self._find_service_members(service).known_since
        return known_for >= min(FORMER_MEMBERS_MS, age + _PACKET_DELAY_MS + _PROPAGATION_LAG_MS)

    def _find_service_members(self, service: int) -> _ServiceMembers:
        current = self._services.get(service)
        if current is None:
            current = self._services[service] = _ServiceMembers(self._known_since(service))
        revision = self._catalog.revision
        if current.checked_revision != revision:
            current.checked_revision = revision
            membership_revision = self._catalog.membership(service)
            if current.membership_revision != membership_revision:
                self._update_members(current, service, membership_revision)
        return current

    def _known_since(self, service: int) -> int:
        """Returns the time in ms after which all changes of a service's members are known.

        Used when a service is looked up for the first time.
        """
        membership = self._catalog.membership(service)
        return next(
            (
                time
                for time, known_revision in self._revision_history
                if known_revision >= membership
            ),
            self._now,
        )

    def _update_members(
        self, current: _ServiceMembers, service: int, membership_revision: int
    ) -> None:
        members = array("Q", filter(self._is_data_centre_in, self._catalog.upstreams_of(service)))
        if current.membership_revision != _NO_REVISION and members != current.members:
            still_former = tuple(entry for entry in current.former_members if entry[0] > self._now)
            current.former_members = (
                *still_former,
                (self._now + FORMER_MEMBERS_MS, current.members),
            )
        current.membership_revision = membership_revision
        current.members = members

    def _is_data_centre_in(self, upstream: int) -> bool:
        view = self._catalog.upstream(upstream)
        return view is not None and self._catalog.is_data_centre_in_service(view.data_centre)

    def _fill_slot(self, slot: int, bucket_key: int, current: _ServiceMembers) -> None:
        ordered = rank(bucket_key, current.members, _IDS_PER_BUCKET)
        start = slot * _IDS_PER_BUCKET
        self._ids[start : start + len(ordered)] = array("Q", ordered)
        self._id_counts[slot] = len(ordered)
        self._bucket_keys[slot] = bucket_key
        self._membership_revisions[slot] = current.membership_revision
