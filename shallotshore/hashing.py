"""Computes 64-bit keys with xxhash, and from them the rendezvous order of members."""

from __future__ import annotations

__all__ = ["address_key", "flow_key", "name_id", "rank", "request_key", "score"]

from array import array
from collections.abc import Iterable
from functools import lru_cache
from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from shallotshore.messages import Address

_MASK = (1 << 64) - 1
_MIX_MULTIPLIER = 0x9E3779B97F4A7C15  # odd, from the golden ratio: spreads all bits upwards
_LAST_MULTIPLIER = 0xBF58476D1CE4E5B9  # odd, from splitmix64
_MAX_LANES = 256  # members whose scores are computed at once


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
    """Returns the key of a flow, which is the same on every balancer."""
    text = f"{caller[0]}\0{caller[1]}\0{vip[0]}\0{vip[1]}\0{flow}"
    return xxhash.xxh64_intdigest(text.encode())


def request_key(vip: Address, request: bytes) -> int:
    """Returns the key of a request; a resend from another caller port has the same key."""
    return xxhash.xxh64_intdigest(f"{vip[0]}\0{vip[1]}\0".encode() + request)


def score(key: int, member: int) -> int:
    """Returns the rendezvous score of a member for a key; the highest score ranks first."""
    mixed = ((key ^ member) * _MIX_MULTIPLIER) & _MASK
    mixed ^= mixed >> 29
    mixed = (mixed * _LAST_MULTIPLIER) & _MASK
    return mixed ^ (mixed >> 32)


def rank(key: int, members: Iterable[int], limit: int) -> list[int]:
    """Returns the first members of the rendezvous order of a key.

    Args:
        key: Key whose order is wanted.
        members: 64-bit ids of the members to rank.
        limit: Greatest number of members to return.
    """
    ids = array("Q", members)
    by_score: dict[int, int] = {}
    for start in range(0, len(ids), _MAX_LANES):
        chunk = ids[start : start + _MAX_LANES]
        # For a given key no two members have the same score, as each step of `score` is invertible.
        by_score.update(zip(_scores(key, chunk), chunk, strict=True))
    return [by_score[member_score] for member_score in sorted(by_score, reverse=True)[:limit]]


def _scores(key: int, members: array) -> array:
    """Returns the scores of members.

    All scores are computed at once in one large integer. Each member has a lane of 128 bits in it,
    which is wide enough for the products in `score`. For 18 members this takes two thirds of the
    time of 18 calls of `score`.
    """
    count = len(members)
    ones, whole, after_first, after_last = _lane_masks(count)
    lanes = array("Q", bytes(16 * count))
    lanes[::2] = members
    mixed = int.from_bytes(lanes.tobytes(), "little") ^ key * ones
    mixed = mixed * _MIX_MULTIPLIER & whole
    mixed ^= mixed >> 29 & after_first
    mixed = mixed * _LAST_MULTIPLIER & whole
    mixed ^= mixed >> 32 & after_last
    return array("Q", mixed.to_bytes(16 * count, "little"))[::2]


@lru_cache(maxsize=_MAX_LANES)
def _lane_masks(count: int) -> tuple[int, int, int, int]:
    ones = sum(1 << 128 * lane for lane in range(count))
    return ones, ones * _MASK, ones * (_MASK >> 29), ones * (_MASK >> 32)
