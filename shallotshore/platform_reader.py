"""Reads and watches the configuration service and the VM list.

Only some balancers do this: the readers, two in each data centre.
"""

__all__ = ["PlatformReader"]

from collections.abc import Iterable

from shallotshore.codes import Code
from shallotshore.control_messages import PlatformRead, PlatformReply
from shallotshore.delta_receiver import DeltaReceiver
from shallotshore.era_reading import EraReading
from shallotshore.hashing import address_key, rank
from shallotshore.membership import READERS_PER_DATA_CENTRE
from shallotshore.messages import Address, Entry, Source
from shallotshore.peering import NEVER, Peering
from shallotshore.positions import (
    MAX_ERA,
    MAX_REVISION,
    era_of,
    make_position,
    phase_of,
    position_of_write,
    revision_of,
)

WATCH_DURATION_MS = 10_000  # long, since each watch costs one read
WATCH_GRACE_MS = 2000  # a watch without a reply is taken as lost this long after its end
POLL_INTERVAL_MS = 500  # finds changes after a lost watch; 19 data centres poll 152 times a second
STALE_WATCH_DELAY_MS = 1000  # delay before a watch that returned no new revision is repeated
MAX_UNANSWERED_POLLS = 6  # more polls than this without an answer count as a failure
INITIAL_BACKOFF_MS = 500
RATE_LIMITED_BACKOFF_MS = 2000
MAX_BACKOFF_MS = 30_000
STANDBY_READERS = 4  # balancers that take over from silent readers
# A standby sends the readers an offer each second, and takes a reader as silent once the reader has
# left three offers unanswered.
READER_SILENCE_MS = 3500


class SourceState:
    """State of the reads from one platform service."""

    __slots__ = (
        "failures",
        "next_poll_at",
        "refused_revision",
        "retry_at",
        "started_revision",
        "unanswered_polls",
        "watch_expires_at",
    )

    def __init__(self) -> None:
        self.started_revision = 0
        self.failures = 0
        self.next_poll_at = 0
        self.retry_at = 0
        self.unanswered_polls = 0
        self.refused_revision = 0
        self.watch_expires_at = 0


class PlatformReader:
    """System that reads the platform's services while this balancer is an active reader."""

    __slots__ = (
        "_cached_at_change",
        "_cached_order",
        "_eras",
        "_peering",
        "_receiver",
        "_standby_since",
        "_states",
    )

    def __init__(self, peering: Peering, receiver: DeltaReceiver) -> None:
        self._peering = peering
        self._receiver = receiver
        self._states = {source: SourceState() for source in peering.config.platform}
        self._eras = EraReading(peering, peering.config.platform)
        self._standby_since = NEVER
        self._cached_order: list[Address] = []
        self._cached_at_change = -1

    @property
    def is_busy(self) -> bool:
        """Whether work is left for the next tick, which should follow at once."""
        return self._eras.is_busy

    def run(self, now: int) -> None:
        """Handles replies, and reads if this balancer is an active reader.

        A new process asks its peers first, since they may hold a higher revision than a platform
        service that is stale.
        """
        for source, result in self._receiver.update_results:
            if source in self._states and not result.accepted:
                self._states[source].refused_revision = self._states[source].started_revision
        self._eras.track_phases(now)
        for _, reply in self._peering.inbox.take(PlatformReply):
            if reply.source in self._states:
                self._handle_reply(reply, now)
        for source, read in self._eras.step_comparisons():
            if not self._receiver.is_receiving(source):
                self._peering.counters.add("platform.retained_keys", read.retained)
                self._start_update(source, read.position, read.changes, read.equal, now)
        if self._peering.is_validated and self._is_active_reader(now):
            for source, state in self._states.items():
                self._read(source, state, now)

    def readers_ahead(self) -> list[Address]:
        """Returns the readers ranked before this balancer, which it observes as a standby."""
        order = self._reader_order()
        own = self._peering.config.address
        return order[: order.index(own)] if own in order else []

    def _reader_order(self) -> list[Address]:
        # The order is cached: every tick needs it, and sorting 700 balancers takes a millisecond.
        if self._cached_at_change != self._peering.membership.change_count:
            self._cached_at_change = self._peering.membership.change_count
            self._cached_order = self._compute_order()
        return self._cached_order

    def _compute_order(self) -> list[Address]:
        membership, config = self._peering.membership, self._peering.config
        data_centre = self._peering.data_centre
        if membership.revision:
            return membership.rank_balancers(
                data_centre, data_centre, READERS_PER_DATA_CENTRE + STANDBY_READERS
            )
        # Before the VM list is known, the settings name the first balancers, but not their data
        # centres. Every process ranks these balancers by the same key: if each process used the id
        # of its own data centre, each could rank others first, and no balancer would read.
        balancers = {address_key(peer): peer for peer in (*config.peers, config.address)}
        return [
            balancers[key] for key in rank(0, balancers, READERS_PER_DATA_CENTRE + STANDBY_READERS)
        ]

    def _is_active_reader(self, now: int) -> bool:
        if self._peering.config.address not in self._reader_order():
            return False
        readers_ahead = self.readers_ahead()
        if len(readers_ahead) < READERS_PER_DATA_CENTRE:
            self._standby_since = NEVER
            return True
        if self._standby_since == NEVER:
            self._standby_since = now
        heard_at = [
            max(self._peering.last_heard_at(reader), self._standby_since)
            for reader in readers_ahead
        ]
        return sum(now - at < READER_SILENCE_MS for at in heard_at) < READERS_PER_DATA_CENTRE

    def _read(self, source: Source, state: SourceState, now: int) -> None:
        if now < state.retry_at or self._receiver.is_receiving(source):
            return
        address = self._peering.config.platform[source]
        current_revision = revision_of(self._peering.replicas[source].revision)
        if self._eras.is_phase_over(source, now):
            self._eras.request_full_read(source, now)
        if now >= state.watch_expires_at:
            state.watch_expires_at = now + WATCH_DURATION_MS + WATCH_GRACE_MS
            self._peering.counters.add("platform.reads")
            self._peering.send(address, PlatformRead(source, current_revision, WATCH_DURATION_MS))
        if now >= state.next_poll_at:
            state.next_poll_at = now + self._peering.rng.randint(
                POLL_INTERVAL_MS * 9 // 10, POLL_INTERVAL_MS
            )
            state.unanswered_polls += 1
            if state.unanswered_polls > MAX_UNANSWERED_POLLS:
                state.unanswered_polls = 0
                self._back_off(source, state, INITIAL_BACKOFF_MS, now)
                return
            self._peering.counters.add("platform.reads")
            self._peering.send(address, PlatformRead(source, current_revision, 0))

    def _handle_reply(self, reply: PlatformReply, now: int) -> None:
        state = self._states[reply.source]
        counters = self._peering.counters
        # A store that sends an era refuses a watch from a revision that it does not have. All other
        # errors are failures.
        is_refused_watch = reply.code == Code.SERVICE_STALE and reply.era > 0
        if reply.code != Code.OK and not is_refused_watch:
            is_rate_limited = reply.code == Code.SERVICE_RATE_LIMITED
            counters.add("platform.rate_limited" if is_rate_limited else "platform.failures")
            initial_backoff_ms = RATE_LIMITED_BACKOFF_MS if is_rate_limited else INITIAL_BACKOFF_MS
            self._back_off(reply.source, state, initial_backoff_ms, now)
            return
        state.failures = 0
        held = self._peering.replicas[reply.source].revision
        position = make_position(era_of(held), phase_of(held), reply.revision)
        if state.unanswered_polls:
            state.unanswered_polls = 0
        else:
            # A stale service answers every watch immediately, so the next watch is delayed unless
            # the reply is new.
            is_new = self._is_new(reply, position)
            state.watch_expires_at = now if is_new else now + STALE_WATCH_DELAY_MS
        if reply.era > MAX_ERA or reply.revision > MAX_REVISION:
            counters.add("platform.out_of_range")
        elif reply.era < era_of(held):
            counters.add("platform.old_era")
        elif not self._eras.handle_reply(reply, state.refused_revision, now):
            self._handle_changes(reply, position, now)

    def _is_new(self, reply: PlatformReply, position: int) -> bool:
        held = self._peering.replicas[reply.source].revision
        if reply.era != era_of(held):
            return reply.era > era_of(held)
        return position > held and position != self._states[reply.source].refused_revision

    def _handle_changes(self, reply: PlatformReply, position: int, now: int) -> None:
        """Handles a reply of the era and phase in force."""
        held = self._peering.replicas[reply.source].revision
        if position < held:
            self._peering.counters.add("platform.stale")
        elif reply.base > revision_of(held):
            self._peering.counters.add("platform.gaps")
            self._states[reply.source].next_poll_at = now
        elif self._is_new(reply, position) and not self._receiver.is_receiving(reply.source):
            self._start_update(reply.source, position, _to_positions(reply, held), (), now)

    def _start_update(
        self,
        source: Source,
        position: int,
        entries: Iterable[Entry],
        equal: Iterable[Entry],
        now: int,
    ) -> None:
        self._states[source].started_revision = position
        update = self._peering.replicas[source].start_update(position, relayed=False)
        update.feed(entries)
        update.feed_equal(equal)
        update.mark_complete()
        self._receiver.start_transfer(source, update, self._peering.config.platform[source], now)

    def _back_off(
        self, source: Source, state: SourceState, initial_backoff_ms: int, now: int
    ) -> None:
        wait = min(initial_backoff_ms << min(state.failures, 10), MAX_BACKOFF_MS)
        state.failures += 1
        state.retry_at = now + self._peering.rng.randint(wait // 2, wait)
        state.next_poll_at = state.retry_at
        state.watch_expires_at = state.retry_at
        state.unanswered_polls = 0


def _to_positions(reply: PlatformReply, held: int) -> Iterable[Entry]:
    """Returns the entries of a reply with positions in place of revisions.

    In an era above 0, entries up to the revision held are left out: they are known, but may have
    been read in an earlier phase, so that another position would make the digests differ.
    """
    if era_of(held) == 0:
        return reply.entries
    return [
        entry._replace(revision=position_of_write(held, entry.revision))
        for entry in reply.entries
        if entry.revision > revision_of(held)
    ]
