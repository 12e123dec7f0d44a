"""Chooses the balancers that read the store for all others."""

from __future__ import annotations

__all__ = ["READERS", "choose_readers", "rank_members"]

from collections.abc import Mapping

from shallotshore.hashing import score

READERS = 3  # one is enough; two more because several may be lost at once
_READER_KEY = 0x2EAD  # any constant: it separates this order from other uses of `score`


def rank_members(data_centre_by_member: Mapping[int, int]) -> list[int]:
    """Returns all members in the order in which they are to read the store.

    Members are ordered by rendezvous hashing, but the first of each data centre go before all
    others, so that the loss of one data centre leaves readers elsewhere.

    Args:
        data_centre_by_member: Ids of data centres by member; 0 where it is not known.
    """
    ordered = sorted(data_centre_by_member, key=lambda member: -score(_READER_KEY, member))
    first: list[int] = []
    others: list[int] = []
    seen: set[int] = set()
    for member in ordered:
        data_centre = data_centre_by_member[member]
        (others if data_centre in seen else first).append(member)
        seen.add(data_centre)
    return first + others


def choose_readers(data_centre_by_member: Mapping[int, int], unusable: set[int]) -> list[int]:
    """Returns the members that read the store.

    Args:
        data_centre_by_member: Ids of data centres by member; 0 where it is not known.
        unusable: Members that have not answered, or whose calls to the store fail.
    """
    ranked = rank_members(data_centre_by_member)
    return [member for member in ranked if member not in unusable][:READERS]
