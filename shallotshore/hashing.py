"""64-bit keys and rendezvous scores on top of xxhash."""

__all__ = ["address_key", "flow_key", "name_id", "rank", "request_key", "score"]

from collections.abc import Iterable

import xxhash

from shallotshore.messages import Address

_MASK = (1 << 64) - 1
_MIX_MULTIPLIER = 0x9E3779B97F4A7C15  # odd, from the golden ratio: spreads all bits upwards


def name_id(kind: str, name: str) -> int:
    """Returns the 64-bit id of a named record.

    Args:
        kind: Record kind, such as "service"; it separates equal names of different kinds.
        name: Name as written in the record.
    """
    return xxhash.xxh64_intdigest(f"{kind}\0{name}".encode())


def address_key(address: Address) -> int:
    """Returns the 64-bit key of a (host, port) address."""
    return xxhash.xxh64_intdigest(f"{address[0]}\0{address[1]}".encode())


def flow_key(caller: Address, vip: Address, flow: int) -> int:
    """Returns the key of a flow: the same on every balancer that sees one of its packets."""
    text = f"{caller[0]}\0{caller[1]}\0{vip[0]}\0{vip[1]}\0{flow}"
    return xxhash.xxh64_intdigest(text.encode())


def request_key(vip: Address, request: bytes) -> int:
    """Returns the key of a request; a resend from another caller port has the same key."""
    return xxhash.xxh64_intdigest(f"{vip[0]}\0{vip[1]}\0".encode() + request)


def score(key: int, member: int) -> int:
    """Returns the rendezvous score of a member for a key; the highest score ranks first."""
    mixed = ((key ^ member) * _MIX_MULTIPLIER) & _MASK
    mixed ^= mixed >> 29
    mixed = (mixed * 0xBF58476D1CE4E5B9) & _MASK
    return mixed ^ (mixed >> 32)


def rank(key: int, members: Iterable[int], limit: int) -> list[int]:
    """Returns the first members of the rendezvous order of a key.

    Args:
        key: Key whose order is wanted.
        members: 64-bit ids.
        limit: Greatest number of members to return.
    """
    ordered = sorted(members, key=lambda member: score(key, member), reverse=True)
    return ordered[:limit]
