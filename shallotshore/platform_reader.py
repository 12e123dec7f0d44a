"""Reads and watches the configuration service and the VM list, by the readers only."""

__all__ = ["PlatformReader"]

from shallotshore.codes import Code
from shallotshore.control_messages import PlatformRead, PlatformReply
from shallotshore.hashing import address_key, rank
from shallotshore.intake import Intake
from shallotshore.membership import READERS
from shallotshore.messages import Address, Source
from shallotshore.peering import NEVER, Peering

WATCH_MS = 10_000  # a watch costs one read, so it lasts long
WATCH_GRACE_MS = 2000  # a watch that is silent for longer is taken as lost
POLL_MS = 500  # finds a change whose watch was lost; 19 data centres poll 152 times a second
STALE_WATCH_MS = 1000  # before a watch that told nothing new is repeated
POLLS_UNANSWERED = 6  # so many polls without an answer count as a failure
BACKOFF_MS = 500
BACKOFF_RATE_LIMITED_MS = 2000
BACKOFF_MAX_MS = 30_000
STANDBYS = 4  # balancers that take over from readers that have fallen silent
READER_SILENCE_MS = 3500  # three of the offers that a standby sends each second


class Feed:
    """State of the reads from one platform service."""

    __slots__ = (
        "begun",
        "failures",
        "next_poll",
        "not_before",
        "polls_open",
        "refused",
        "watch_until",
    )

    def __init__(self) -> None:
        self.begun = 0
        self.failures = 0
        self.next_poll = 0
        self.not_before = 0
        self.polls_open = 0
        self.refused = 0
        self.watch_until = 0


class PlatformReader:
    """System that reads the platform's services when this balancer is one of the readers."""

    __slots__ = ("_feeds", "_intake", "_kept_order", "_kept_since", "_peering", "_standby_since")

    def __init__(self, peering: Peering, intake: Intake) -> None:
        self._peering = peering
        self._intake = intake
        self._feeds = {source: Feed() for source in peering.config.platform}
        self._standby_since = NEVER
        self._kept_order: list[Address] = []
        self._kept_since = -1

    def run(self, now: int) -> None:
        """Takes replies, and reads when it is this balancer's duty.

        A newcomer asks its peers first, since they may hold more than a stale service.
        """
        for source, applied in self._intake.applied:
            if source in self._feeds and not applied.accepted:
                self._feeds[source].refused = self._feeds[source].begun
        for _, reply in self._peering.inbox.take(PlatformReply):
            if reply.source in self._feeds:
                self._take(reply, now)
        if self._peering.is_validated and self._is_on_duty(now):
            for source, feed in self._feeds.items():
                self._read(source, feed, now)

    def ahead(self) -> list[Address]:
        """Returns the balancers that read before this one does, which it watches as a standby."""
        order = self._order()
        own = self._peering.config.address
        return order[: order.index(own)] if own in order else []

    def _order(self) -> list[Address]:
        # Asked at every tick; the order of 700 balancers takes a millisecond.
        if self._kept_since != self._peering.membership.changes:
            self._kept_since = self._peering.membership.changes
            self._kept_order = self._new_order()
        return self._kept_order

    def _new_order(self) -> list[Address]:
        membership, config = self._peering.membership, self._peering.config
        data_centre = self._peering.data_centre
        if membership.revision:
            return membership.ranked(data_centre, data_centre, READERS + STANDBYS)
        # Before the VM list is known, the settings name the first balancers, but not their data
        # centres. The order must be the same everywhere: by the own data centre's id, each of them
        # could leave the reading to others.
        known = {address_key(peer): peer for peer in (*config.peers, config.address)}
        return [known[key] for key in rank(0, known, READERS + STANDBYS)]

    def _is_on_duty(self, now: int) -> bool:
        if self._peering.config.address not in self._order():
            return False
        ahead = self.ahead()
        if len(ahead) < READERS:
            self._standby_since = NEVER
            return True
        if self._standby_since == NEVER:
            self._standby_since = now
        heard = [max(self._peering.last_heard(each), self._standby_since) for each in ahead]
        return sum(now - at < READER_SILENCE_MS for at in heard) < READERS

    def _read(self, source: Source, feed: Feed, now: int) -> None:
        if now < feed.not_before or self._intake.is_receiving(source):
            return
        address = self._peering.config.platform[source]
        held = self._peering.replicas[source].revision
        if now >= feed.watch_until:
            feed.watch_until = now + WATCH_MS + WATCH_GRACE_MS
            self._peering.counters.add("platform.reads")
            self._peering.send(address, PlatformRead(source, held, WATCH_MS))
        if now >= feed.next_poll:
            feed.next_poll = now + self._peering.rng.randint(POLL_MS * 9 // 10, POLL_MS)
            feed.polls_open += 1
            if feed.polls_open > POLLS_UNANSWERED:
                feed.polls_open = 0
                self._fail(source, feed, BACKOFF_MS, now)
                return
            self._peering.counters.add("platform.reads")
            self._peering.send(address, PlatformRead(source, held, 0))

    def _take(self, reply: PlatformReply, now: int) -> None:
        feed = self._feeds[reply.source]
        replica = self._peering.replicas[reply.source]
        counters = self._peering.counters
        if reply.code != Code.OK:
            limited = reply.code == Code.SERVICE_RATE_LIMITED
            counters.add("platform.rate_limited" if limited else "platform.failures")
            least = BACKOFF_RATE_LIMITED_MS if limited else BACKOFF_MS
            self._fail(reply.source, feed, least, now)
            return
        feed.failures = 0
        if feed.polls_open:
            feed.polls_open = 0
        else:
            # A service that is stale answers every watch at once.
            is_news = reply.revision > replica.revision and reply.revision != feed.refused
            feed.watch_until = now if is_news else now + STALE_WATCH_MS
        if reply.revision < replica.revision:
            counters.add("platform.stale")
        elif reply.base > replica.revision:
            counters.add("platform.gaps")
            feed.next_poll = now
        elif reply.revision > replica.revision and reply.revision != feed.refused:
            self._begin(reply, now)

    def _begin(self, reply: PlatformReply, now: int) -> None:
        if self._intake.is_receiving(reply.source):
            return
        replica = self._peering.replicas[reply.source]
        self._feeds[reply.source].begun = reply.revision
        update = replica.begin(reply.revision, relayed=False)
        update.feed(reply.entries)
        update.end()
        address = self._peering.config.platform[reply.source]
        self._intake.start(reply.source, update, address, now)

    def _fail(self, source: Source, feed: Feed, least: int, now: int) -> None:
        wait = min(least << min(feed.failures, 10), BACKOFF_MAX_MS)
        feed.failures += 1
        feed.not_before = now + self._peering.rng.randint(wait // 2, wait)
        feed.next_poll = feed.not_before
        feed.watch_until = feed.not_before
        feed.polls_open = 0
