"""Candidates and witnesses of a key: the rendezvous order of the key's bucket in its service."""

__all__ = ["WITNESSES", "Placement", "UpstreamSets", "quorum"]

from array import array
from collections.abc import Sequence
from typing import Protocol

from shallotshore.hashing import rank, score

WITNESSES = 5
# The same number for every service: a number that varied with the service's size would move all
# witnesses at once and break the intersection of quorums.
BUCKET_BITS = 12
# The bucket stays in the top bits: in the low ones, services with close ids would share orders.
_BUCKET_MASK = ((1 << BUCKET_BITS) - 1) << (64 - BUCKET_BITS)
_STRIDE = 8  # ids kept per cached bucket: five witnesses and the candidates that replace them
_SLOT_BITS = 13  # 8,192 cached buckets of 80 bytes; the cache is direct-mapped


class UpstreamSets(Protocol):
    """What placement asks of the catalog."""

    def membership(self, service: int) -> int:
        """Returns the revision at which the service's set of upstreams last changed."""

    def upstreams_of(self, service: int) -> Sequence[int]:
        """Returns the ids of all upstream records of the service, sorted."""


def quorum(count: int) -> int:
    """Returns how many of `count` witnesses must grant a claim.

    Four of five, so that the quorums of two tables that differ by one upstream intersect.
    """
    return 4 if count >= WITNESSES else count // 2 + 1


class Placement:
    """Rendezvous orders per (service, bucket), computed on demand and cached in columns."""

    __slots__ = ("_catalog", "_ids", "_lengths", "_stamps", "_tags")

    def __init__(self, catalog: UpstreamSets) -> None:
        """Creates an empty cache.

        Args:
            catalog: Source of the services' upstreams; a change of a service's membership
                invalidates its cached orders.
        """
        slots = 1 << _SLOT_BITS
        self._catalog = catalog
        self._tags = array("Q", bytes(8 * slots))
        self._stamps = array("q", [-1]) * slots
        self._lengths = bytearray(slots)
        self._ids = array("Q", bytes(8 * slots * _STRIDE))

    def order(self, service: int, key: int, limit: int) -> tuple[int, ...]:
        """Returns the first upstreams in the rendezvous order of a key's bucket.

        Args:
            service: Id of the service.
            key: Flow key or request key.
            limit: Greatest number of ids to return.
        """
        if limit > _STRIDE:
            return tuple(
                rank(_bucket_key(service, key), self._catalog.upstreams_of(service), limit)
            )
        tag = _bucket_key(service, key)
        slot = tag >> (64 - _SLOT_BITS)
        stamp = self._catalog.membership(service)
        if self._tags[slot] != tag or self._stamps[slot] != stamp:
            self._fill(slot, tag, stamp, service)
        start = slot * _STRIDE
        return tuple(self._ids[start : start + min(limit, self._lengths[slot])])

    def witnesses(self, service: int, key: int) -> tuple[int, ...]:
        """Returns the upstreams whose agents keep the claims of a key."""
        return self.order(service, key, WITNESSES)

    def _fill(self, slot: int, tag: int, stamp: int, service: int) -> None:
        ordered = rank(tag, self._catalog.upstreams_of(service), _STRIDE)
        start = slot * _STRIDE
        self._ids[start : start + len(ordered)] = array("Q", ordered)
        self._lengths[slot] = len(ordered)
        self._tags[slot] = tag
        self._stamps[slot] = stamp


def _bucket_key(service: int, key: int) -> int:
    return score(service, key & _BUCKET_MASK)
