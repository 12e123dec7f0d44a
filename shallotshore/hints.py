"""Bounded cache of flow owners, for flows whose owner is not the first in rendezvous order."""

__all__ = ["HINT_LEASE_MS", "HintTable"]

from array import array

# Equals the lease of flow claims: an owner that is silent for this long may have lost its claims.
HINT_LEASE_MS = 30_000
_SLOT_BITS = 16  # 65,536 hints of 24 bytes; an evicted hint costs one extra hop
_NO_OWNER = 0


class HintTable:
    """Columns of a two-way set-associative cache from flow key to owner.

    There is no index beside the columns, so that a hint takes 24 bytes.
    """

    __slots__ = ("_mask", "expires", "key", "upstream")

    def __init__(self, slot_bits: int = _SLOT_BITS) -> None:
        """Creates an empty cache.

        Args:
            slot_bits: Binary logarithm of the number of hints.
        """
        slots = 1 << slot_bits
        self._mask = (slots - 1) & ~1
        self.key = array("Q", bytes(8 * slots))
        self.upstream = array("Q", bytes(8 * slots))
        self.expires = array("q", bytes(8 * slots))

    def find_owner(self, key: int, now: int) -> int:
        """Returns the id of the upstream that owns a flow, or 0 when there is no valid hint."""
        slot = key & self._mask
        if self.key[slot] != key:
            slot += 1
            if self.key[slot] != key:
                return _NO_OWNER
        return self.upstream[slot] if now < self.expires[slot] else _NO_OWNER

    def put(self, key: int, upstream: int, expires: int) -> None:
        """Stores the owner of a flow until `expires` (ms).

        When both ways of the set hold other flows, the hint that expires first is evicted.
        """
        slot = key & self._mask
        if self.key[slot] != key and (
            self.key[slot + 1] == key or self.expires[slot + 1] < self.expires[slot]
        ):
            slot += 1
        self.key[slot] = key
        self.upstream[slot] = upstream
        self.expires[slot] = expires

    def renew(self, key: int, upstream: int, expires: int) -> None:
        """Renews the hint of a flow if there is one, as a packet from the owner has arrived."""
        slot = key & self._mask
        if self.key[slot] == key or self.key[slot + 1] == key:
            self.put(key, upstream, expires)

    def remove(self, key: int) -> None:
        """Removes the hint of a flow."""
        slot = key & self._mask
        for way in (slot, slot + 1):
            if self.key[way] == key:
                self.expires[way] = 0
