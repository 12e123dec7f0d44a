"""Positions order the revisions of a platform service across the eras of its store.

A store that is restored from a copy raises its era, and its revisions go back. So the processes
compare positions: one integer of era, phase and revision. Messages carry positions wherever they
carried revisions. A position of era 0 equals its revision, so that processes of releases without
eras order positions in the same way and relay them unchanged.

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
    "describe_position",
    "era_of",
    "in_same_phase",
    "make_position",
    "phase_of",
    "revision_of",
]

# A revision that is a time in ms needs 41 bits. Positions stay below 2 ** 63, as some tables hold
# them as signed integers.
_REVISION_BITS = 46
_PHASE_BITS = 2
_ERA_BITS = 63 - _REVISION_BITS - _PHASE_BITS
MAX_REVISION = (1 << _REVISION_BITS) - 1
MAX_ERA = (1 << _ERA_BITS) - 1

RETAINING = 1
CONFIRMED = 2
VERIFIED = 3


def make_position(era: int, phase: int, revision: int) -> int:
    """Returns the position of a revision; era 0 has no phases."""
    if era == 0:
        return revision
    return ((era << _PHASE_BITS) | phase) << _REVISION_BITS | revision


def in_same_phase(position: int, revision: int) -> int:
    """Returns the position of another revision in the era and phase of `position`."""
    return position & ~MAX_REVISION | revision


def era_of(position: int) -> int:
    """Returns the era of a position."""
    return position >> _REVISION_BITS + _PHASE_BITS


def phase_of(position: int) -> int:
    """Returns the phase of a position; 0 in era 0."""
    return position >> _REVISION_BITS & (1 << _PHASE_BITS) - 1


def revision_of(position: int) -> int:
    """Returns the store's revision in a position."""
    return position & MAX_REVISION


def describe_position(position: int) -> dict[str, int]:
    """Returns the fields of a status report that show a position."""
    report = {"revision": revision_of(position)}
    if era_of(position):
        report |= {"era": era_of(position), "era_phase": phase_of(position)}
    return report
