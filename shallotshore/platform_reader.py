"""Reads and watches the configuration service and the VM list.

Of all balancers only the readers do so, two in each data centre.
"""

__all__ = ["PlatformReader"]

from shallotshore.codes import Code
from shallotshore.control_messages import PlatformRead, PlatformReply
from shallotshore.hashing import address_key, rank
from shallotshore.intake import DeltaReceiver
from shallotshore.membership import READERS_PER_DATA_CENTRE
from shallotshore.messages import Address, Source
from shallotshore.peering import NEVER, Peering

WATCH_DURATION_MS = 10_000  # long, since each watch costs one read
WATCH_GRACE_MS = 2000  # a watch is taken as lost after this time beyond its end
POLL_INTERVAL_MS = (
    500  # finds changes if the watch was lost; 19 data centres poll 152 times a second
)
STALE_WATCH_DELAY_MS = 1000  # before a watch is repeated that returned no new revision
MAX_UNANSWERED_POLLS = 6  # more polls than this without an answer count as a failure
INITIAL_BACKOFF_MS = 500
RATE_LIMITED_BACKOFF_MS = 2000
MAX_BACKOFF_MS = 30_000
STANDBY_READERS = 4  # balancers that take over from silent readers
READER_SILENCE_MS = 3500  # a standby sends offers each second; three of them had no answer


class Feed:
    """State of the reads from one platform service."""

    __slots__ = (
        "started_revision",
        "failures",
        "next_poll_at",
        "retry_at",
        "unanswered_polls",
        "refused",
        "watch_expires_at",
    )

    def __init__(self) -> None:
        self.started_revision = 0
        self.failures = 0
        self.next_poll_at = 0
        self.retry_at = 0
        self.unanswered_polls = 0
        self.refused = 0
        self.watch_expires_at = 0


class PlatformReader:
    """System that reads the platform's services while this balancer is an active reader."""

    __slots__ = (
        "_feeds",
        "_receiver",
        "_cached_order",
        "_cached_at_change",
        "_peering",
        "_standby_since",
    )

    def __init__(self, peering: Peering, intake: DeltaReceiver) -> None:
        self._peering = peering
        self._receiver = intake
        self._feeds = {source: Feed() for source in peering.config.platform}
        self._standby_since = NEVER
        self._cached_order: list[Address] = []
        self._cached_at_change = -1

    def run(self, now: int) -> None:
        """Handles replies, and reads if this balancer is an active reader.

        A new process asks its peers first, since they may hold a higher revision than a stale
        service.
        """
        for source, applied in self._receiver.applied:
            if source in self._feeds and not applied.accepted:
                self._feeds[source].refused = self._feeds[source].started_revision
        for _, reply in self._peering.inbox.take(PlatformReply):
            if reply.source in self._feeds:
                self._handle_reply(reply, now)
        if self._peering.is_validated and self._is_active_reader(now):
            for source, feed in self._feeds.items():
                self._read(source, feed, now)

    def readers_ahead(self) -> list[Address]:
        """Returns the readers that come before this balancer, which it observes as a standby."""
        order = self._order()
        own = self._peering.config.address
        return order[: order.index(own)] if own in order else []

    def _order(self) -> list[Address]:
        # Cached, since it is needed at every tick and sorting 700 balancers takes a millisecond.
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
        # centres. They are ranked by the same key in every process: if each used the id of its own
        # data centre, each could rank others first, and no balancer would read.
        known = {address_key(peer): peer for peer in (*config.peers, config.address)}
        return [known[key] for key in rank(0, known, READERS_PER_DATA_CENTRE + STANDBY_READERS)]

    def _is_active_reader(self, now: int) -> bool:
        if self._peering.config.address not in self._order():
            return False
        readers_ahead = self.readers_ahead()
        if len(readers_ahead) < READERS_PER_DATA_CENTRE:
            self._standby_since = NEVER
            return True
        if self._standby_since == NEVER:
            self._standby_since = now
        heard = [
            max(self._peering.last_heard_at(each), self._standby_since) for each in readers_ahead
        ]
        return sum(now - at < READER_SILENCE_MS for at in heard) < READERS_PER_DATA_CENTRE

    def _read(self, source: Source, feed: Feed, now: int) -> None:
        if now < feed.retry_at or self._receiver.is_receiving(source):
            return
        address = self._peering.config.platform[source]
        held = self._peering.replicas[source].revision
        if now >= feed.watch_expires_at:
            feed.watch_expires_at = now + WATCH_DURATION_MS + WATCH_GRACE_MS
            self._peering.counters.add("platform.reads")
            self._peering.send(address, PlatformRead(source, held, WATCH_DURATION_MS))
        if now >= feed.next_poll_at:
            feed.next_poll_at = now + self._peering.rng.randint(
                POLL_INTERVAL_MS * 9 // 10, POLL_INTERVAL_MS
            )
            feed.unanswered_polls += 1
            if feed.unanswered_polls > MAX_UNANSWERED_POLLS:
                feed.unanswered_polls = 0
                self._back_off(source, feed, INITIAL_BACKOFF_MS, now)
                return
            self._peering.counters.add("platform.reads")
            self._peering.send(address, PlatformRead(source, held, 0))

    def _handle_reply(self, reply: PlatformReply, now: int) -> None:
        feed = self._feeds[reply.source]
        replica = self._peering.replicas[reply.source]
        counters = self._peering.counters
        if reply.code != Code.OK:
            limited = reply.code == Code.SERVICE_RATE_LIMITED
            counters.add("platform.rate_limited" if limited else "platform.failures")
            initial_backoff_ms = RATE_LIMITED_BACKOFF_MS if limited else INITIAL_BACKOFF_MS
            self._back_off(reply.source, feed, initial_backoff_ms, now)
            return
        feed.failures = 0
        if feed.unanswered_polls:
            feed.unanswered_polls = 0
        else:
            # A stale service answers every watch at once, so that the next watch is delayed.
            is_news = reply.revision > replica.revision and reply.revision != feed.refused
            feed.watch_expires_at = now if is_news else now + STALE_WATCH_DELAY_MS
        if reply.revision < replica.revision:
            counters.add("platform.stale")
        elif reply.base > replica.revision:
            counters.add("platform.gaps")
            feed.next_poll_at = now
        elif reply.revision > replica.revision and reply.revision != feed.refused:
            self._start_update(reply, now)

    def _start_update(self, reply: PlatformReply, now: int) -> None:
        if self._receiver.is_receiving(reply.source):
            return
        replica = self._peering.replicas[reply.source]
        self._feeds[reply.source].started_revision = reply.revision
        update = replica.start_update(reply.revision, relayed=False)
        update.feed(reply.entries)
        update.mark_complete()
        address = self._peering.config.platform[reply.source]
        self._receiver.start_transfer(reply.source, update, address, now)

    def _back_off(self, source: Source, feed: Feed, initial_backoff_ms: int, now: int) -> None:
        wait = min(initial_backoff_ms << min(feed.failures, 10), MAX_BACKOFF_MS)
        feed.failures += 1
        feed.retry_at = now + self._peering.rng.randint(wait // 2, wait)
        feed.next_poll_at = feed.retry_at
        feed.watch_expires_at = feed.retry_at
        feed.unanswered_polls = 0
