"""Follows a platform service into a new era of its store, by full reads that replace deltas."""

__all__ = ["HELD_BELIEF_MS", "EraReading"]

from collections.abc import Iterable, Iterator

from shallotshore.codes import Code
from shallotshore.control_messages import PlatformRead, PlatformReply
from shallotshore.messages import Source
from shallotshore.peering import Peering
from shallotshore.positions import (
    CONFIRMED,
    RETAINING,
    era_of,
    make_position,
    phase_of,
    revision_of,
)
from shallotshore.restored_read import RestoredRead

# How long the processes retain what the restored store does not hold. A new configuration has to be
# in force 3,000 ms after the operator's acknowledgement, so no older one may hide it for longer.
# The time counts from the earliest possible acknowledgement, which is one interval between polls
# before the first reply of the era, unless a reply of the era before came later.
HELD_BELIEF_MS = 2_500
DETECTION_MS = 500
# Two rounds of repairs between processes (5,000 ms each) fit in before the last comparison.
VERIFICATION_DELAY_MS = 10_000
_PHASE_DURATIONS_MS = {RETAINING: HELD_BELIEF_MS, CONFIRMED: VERIFICATION_DELAY_MS}
FULL_READ_INTERVAL_MS = 500  # until a full read without an answer is repeated; equals the polls'


class SourceEra:
    """Progress of one platform service's era at this process."""

    __slots__ = (
        "comparison",
        "confirmed_at",
        "era",
        "next_full_read_at",
        "phase",
        "phase_started_at",
        "seen_at",
        "seen_era",
    )

    def __init__(self) -> None:
        self.comparison: RestoredRead | None = None
        self.era = 0
        self.phase = 0
        self.phase_started_at = 0
        self.next_full_read_at = 0
        self.confirmed_at = 0  # time of the last reply of the era held
        self.seen_era = 0  # highest era of any reply
        self.seen_at = 0

    def enter(self, era: int, phase: int, now: int) -> None:
        """Notes that the replica has entered a phase."""
        if era == self.era:
            self.phase_started_at = now
        else:
            seen_at = self.seen_at if self.seen_era == era else now
            self.phase_started_at = min(seen_at, max(seen_at - DETECTION_MS, self.confirmed_at))
        self.era, self.phase = era, phase


class EraReading:
    """System that moves the replicas from one era or phase to the next.

    Every balancer tracks the phases, so that one that becomes a reader knows when a phase ends.
    """

    __slots__ = ("_peering", "_sources")

    def __init__(self, peering: Peering, sources: Iterable[Source]) -> None:
        self._peering = peering
        self._sources = {source: SourceEra() for source in sources}

    @property
    def is_busy(self) -> bool:
        """Whether a comparison is under way, so that the next tick should follow at once."""
        return any(state.comparison is not None for state in self._sources.values())

    def track_phases(self, now: int) -> None:
        """Notes when the replicas have entered their present phases."""
        for source, state in self._sources.items():
            position = self._peering.replicas[source].revision
            era, phase = era_of(position), phase_of(position)
            if (era, phase) != (state.era, state.phase):
                if era != state.era:
                    self._peering.counters.add("platform.era_changes")
                state.enter(era, phase, now)

    def is_phase_over(self, source: Source, now: int) -> bool:
        """Whether a full read should lead to the next phase of the era."""
        state = self._sources[source]
        duration = _PHASE_DURATIONS_MS.get(state.phase)
        return duration is not None and now - state.phase_started_at >= duration

    def request_full_read(self, source: Source, now: int) -> None:
        """Sends a full read unless one was sent a short time ago."""
        state = self._sources[source]
        if now >= state.next_full_read_at and state.comparison is None:
            state.next_full_read_at = now + FULL_READ_INTERVAL_MS
            self._peering.counters.add("platform.reads")
            self._peering.counters.add("platform.full_reads")
            self._peering.send(self._peering.config.platform[source], PlatformRead(source, 0, 0))

    def handle_reply(self, reply: PlatformReply, refused_position: int, now: int) -> bool:
        """Handles a reply that leads to another era or phase.

        Args:
            reply: A reply of the era held here or of a higher one.
            refused_position: Position whose changes were refused as a whole.
            now: Monotonic time in milliseconds.

        Returns:
            Whether the reply was handled; otherwise it brings changes of the present phase.
        """
        source = reply.source
        held = self._peering.replicas[source].revision
        state = self._sources[source]
        if reply.era > state.seen_era:
            state.seen_era, state.seen_at = reply.era, now
        if reply.era > era_of(held):
            position = make_position(reply.era, RETAINING, reply.revision)
        elif self.is_phase_over(source, now) and reply.revision >= revision_of(held):
            position = make_position(reply.era, phase_of(held) + 1, reply.revision)
        else:
            state.confirmed_at = now
            return False
        if reply.code != Code.OK or reply.base > 0:
            self.request_full_read(source, now)
        elif position != refused_position and state.comparison is None:
            replica = self._peering.replicas[source]
            state.comparison = RestoredRead(replica, position, reply.entries)
        return True

    def step_comparisons(self) -> Iterator[tuple[Source, RestoredRead]]:
        """Continues the comparisons, and yields those that are complete and still apply."""
        for source, state in self._sources.items():
            comparison = state.comparison
            if comparison is None or not comparison.step():
                continue
            state.comparison = None
            state.next_full_read_at = 0
            if comparison.replaces == self._peering.replicas[source].revision:
                yield source, comparison
