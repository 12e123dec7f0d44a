"""Positions order the revisions of a platform service across the eras of its store.

A store that is restored from a copy raises its era, and its revisions go back. So the processes
compare positions: one integer of era, phase, revision and rank. Messages carry positions wherever
they carried revisions. A position of era 0 equals its revision, so that processes of releases
without eras order positions in the same way and relay them unchanged.

A new era passes through phases. In phase `RETAINING` the processes retain what the restored store
does not hold yet. From `CONFIRMED` on the store's values count. For `VERIFIED` they are compared
once more, after the processes have repaired differences between each other.
"""

__all__ = [
    "CONFIRMED",
    "MAX_ERA",
    "MAX_REVISION",
    "RETAINING",
    "VERIFIED",
    "Rank",
    "describe_position",
    "era_of",
    "make_position",
    "phase_of",
    "position_of_write",
    "revision_of",
]

from enum import IntEnum

_RANK_BITS = 2
_REVISION_BITS = 44  # a revision that is a time in ms needs 41
_PHASE_BITS = 2
_PHASE_SHIFT = _RANK_BITS + _REVISION_BITS
_ERA_SHIFT = _PHASE_SHIFT + _PHASE_BITS
MAX_REVISION = (1 << _REVISION_BITS) - 1
MAX_ERA = (1 << 63 - _ERA_SHIFT) - 1  # some tables hold positions as signed integers

RETAINING = 1
CONFIRMED = 2
VERIFIED = 3


class Rank(IntEnum):
    """Precedence of the values that processes hold for a key at one revision.

    Processes that know different parts of the earlier era judge a value of the store differently.

    Attributes:
        UNJUDGED: The store's value; the process knew none.
        RETAINED: A value of an earlier era in place of the store's.
        WRITTEN: The store's value, which was written in this era or which counts by the phase.
        COMPLETE: Everything up to the revision, in positions of whole states.
    """

    UNJUDGED = 0
    RETAINED = 1
    WRITTEN = 2
    COMPLETE = 3


def make_position(era: int, phase: int, revision: int, rank: Rank = Rank.COMPLETE) -> int:
    """Returns the position of a revision; era 0 has neither phases nor ranks."""
    if era == 0:
        return revision
    return era << _ERA_SHIFT | phase << _PHASE_SHIFT | revision << _RANK_BITS | rank


def position_of_write(state: int, revision: int, rank: Rank = Rank.WRITTEN) -> int:
    """Returns the position of a key's value in the era and phase of a state's position."""
    return make_position(era_of(state), phase_of(state), revision, rank)


def era_of(position: int) -> int:
    """Returns the era of a position."""
    return position >> _ERA_SHIFT


def phase_of(position: int) -> int:
    """Returns the phase of a position; 0 in era 0."""
    return position >> _PHASE_SHIFT & (1 << _PHASE_BITS) - 1


def revision_of(position: int) -> int:
    """Returns the store's revision in a position."""
    return position >> _RANK_BITS & MAX_REVISION if era_of(position) else position


def describe_position(position: int) -> dict[str, int]:
    """Returns the fields of a status report that show a position."""
    report = {"revision": revision_of(position)}
    if era_of(position):
        report |= {"era": era_of(position), "era_phase": phase_of(position)}
    return report
