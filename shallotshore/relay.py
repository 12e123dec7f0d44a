"""Sending side of propagation in a balancer: relay tree, agents' slices, and gossip."""

__all__ = ["Relay"]

from collections import deque
from collections.abc import Iterator

from shallotshore.control_messages import Delta, DeltaRequest, RevisionNotice, RevisionOffer
from shallotshore.delta_receiver import DeltaReceiver
from shallotshore.messages import Address, Entry, Source
from shallotshore.peering import Peering
from shallotshore.platform_reader import PlatformReader

GOSSIP_INTERVAL_MS = 1000
PEERS_PER_OFFER_ROUND = 3
# Offers follow each push after these delays, so that a process that has missed the pushed delta
# learns of the delta sooner than from gossip.
OFFER_DELAYS_AFTER_PUSH_MS = (200, 600)
FOLLOWER_SILENCE_MS = 10_000  # an agent is removed after this time without an offer or request
MAX_FOLLOWERS = 4096
MAX_OUTGOING_DELTAS = 4096
MAX_ENTRIES_PER_PART = 128
MAX_ENTRIES_PER_TICK = 200  # selecting an entry takes up to 6 us; a step of work may take 2 ms
_PART_COST_ENTRIES = 8  # fixed time to send a part to one receiver, expressed in entries
_ENTRY_OVERHEAD_BYTES = 24  # revision and lengths of an encoded entry
_DELTA_OVERHEAD_BYTES = 48


class Follower:
    """An agent that follows this balancer: for each source, its scope and the revision it holds."""

    __slots__ = ("known_revisions", "received_at", "scopes")

    def __init__(self) -> None:
        self.scopes: dict[Source, int] = {}
        self.known_revisions: dict[Source, int] = {}
        self.received_at = 0


class OutgoingDelta:
    """A delta that is being sent in parts to one or several processes."""

    __slots__ = (
        "addresses",
        "base",
        "entries",
        "part",
        "revision",
        "scope",
        "source",
        "unsent_entry",
    )

    def __init__(
        self,
        addresses: list[Address],
        source: Source,
        scope: int,
        base: int,
        revision: int,
        entries: Iterator[Entry],
    ) -> None:
        self.addresses = addresses
        self.source = source
        self.scope = scope
        self.base = base
        self.revision = revision
        self.entries = entries
        self.unsent_entry: Entry | None = None
        self.part = 0

    def next_part(self, part_bytes: int) -> Delta:
        """Returns the next part; only the last part states the number of parts.

        Args:
            part_bytes: Maximum size of a part in bytes, unless a single entry is larger.
        """
        entries: list[Entry] = []
        size = _DELTA_OVERHEAD_BYTES
        entry = self.unsent_entry or next(self.entries, None)
        while entry is not None and len(entries) < MAX_ENTRIES_PER_PART:
            size += len(entry.key) + len(entry.text) + _ENTRY_OVERHEAD_BYTES
            if size > part_bytes and entries:
                break
            entries.append(entry)
            entry = next(self.entries, None)
        self.unsent_entry = entry
        part = self.part
        self.part += 1
        parts = self.part if entry is None else 0
        return Delta(self.source, self.base, self.revision, self.scope, part, parts, tuple(entries))


class Relay:
    """System that answers offers and requests, and pushes new revisions."""

    __slots__ = (
        "_due_offers",
        "_followers",
        "_next_gossip_at",
        "_outgoing",
        "_peering",
        "_pushed_revisions",
        "_reader",
        "_receiver",
        "_revisions_being_sent",
    )

    def __init__(self, peering: Peering, receiver: DeltaReceiver, reader: PlatformReader) -> None:
        self._peering = peering
        self._reader = reader
        self._receiver = receiver
        self._followers: dict[Address, Follower] = {}
        self._revisions_being_sent: dict[tuple[Address, Source], int] = {}
        self._outgoing: deque[OutgoingDelta] = deque()
        self._due_offers: list[tuple[int, Source]] = []
        self._pushed_revisions = dict.fromkeys(Source, 0)
        self._next_gossip_at = peering.rng.randrange(GOSSIP_INTERVAL_MS)

    @property
    def is_busy(self) -> bool:
        """Whether the reader has work left for the next tick, which should follow at once."""
        return self._reader.is_busy

    def run(self, now: int) -> None:
        """Reads the platform, answers messages, pushes new revisions and gossips."""
        self._reader.run(now)
        for address, offer in self._peering.inbox.take(RevisionOffer):
            if offer.service:
                self._handle_agent_offer(address, offer, now)
            else:
                self._peering.record_balancer_message(address, now, offer.revision > 0)
                self._handle_balancer_offer(address, offer, now)
        for address, request in self._peering.inbox.take(DeltaRequest):
            self._handle_delta_request(address, request, now)
        for source in Source:
            self._push_revision(source, now)
        self._send_due_offers(now)
        if now >= self._next_gossip_at:
            self._next_gossip_at = now + GOSSIP_INTERVAL_MS
            self._send_gossip(1)
            for address in self._reader.readers_ahead():
                self.send_offer(address, Source.CONFIGURATION)
        self._send_parts()

    def send_offer(self, address: Address, source: Source, scope: int = 0) -> None:
        """Offers the present revision, with the digest of all entries or of a slice."""
        replica = self._peering.replicas[source]
        offer = RevisionOffer(source, replica.revision, replica.digest(scope), scope)
        self._peering.send(address, offer)

    def _handle_balancer_offer(self, address: Address, offer: RevisionOffer, now: int) -> None:
        replica = self._peering.replicas[offer.source]
        if offer.revision > replica.revision:
            self._receiver.record_newer_revision(offer.source, offer.revision, address)
        elif offer.revision < replica.revision:
            self.send_offer(address, offer.source)
        elif offer.revision and offer.digest != replica.digest(0):
            self._receiver.request_repair(offer.source, address, now)
        elif offer.source == Source.CONFIGURATION:
            self._peering.send(address, RevisionNotice(replica.revision))

    def _handle_agent_offer(self, address: Address, offer: RevisionOffer, now: int) -> None:
        follower = self._record_follower(address, offer.source, offer.service, now)
        if follower is not None:
            follower.known_revisions[offer.source] = offer.revision
        replica = self._peering.replicas[offer.source]
        if offer.revision > replica.revision:
            self._receiver.record_newer_revision(offer.source, offer.revision, None)
        elif offer.revision < replica.revision:
            self._queue_delta(address, offer.source, offer.service, offer.revision)
        elif offer.revision and offer.digest != replica.digest(offer.service):
            # After this offer, the agent requests the repair itself, since the agent knows how many
            # repairs have changed nothing.
            self.send_offer(address, offer.source, offer.service)
        elif offer.source == Source.CONFIGURATION:
            self._peering.send(address, RevisionNotice(replica.revision))

    def _handle_delta_request(self, address: Address, request: DeltaRequest, now: int) -> None:
        if request.service:
            self._record_follower(address, request.source, request.service, now)
        else:
            self._peering.record_balancer_message(address, now)
        replica = self._peering.replicas[request.source]
        if request.after > replica.revision:
            self._receiver.record_newer_revision(request.source, request.after, None)
        elif replica.revision and (request.after < replica.revision):
            self._queue_delta(address, request.source, request.service, request.after)
        else:
            self.send_offer(address, request.source)

    def _record_follower(
        self, address: Address, source: Source, scope: int, now: int
    ) -> Follower | None:
        follower = self._followers.get(address)
        if follower is None:
            if len(self._followers) >= MAX_FOLLOWERS:
                self._peering.counters.add("propagation.followers_refused")
                return None
            follower = self._followers[address] = Follower()
        follower.scopes[source] = scope
        follower.received_at = now
        return follower

    def _queue_delta(self, address: Address, source: Source, scope: int, after: int) -> None:
        replica = self._peering.replicas[source]
        if self._revisions_being_sent.get((address, source)) == replica.revision:
            return
        self._revisions_being_sent[address, source] = replica.revision
        base, entries = replica.select_entries(after, scope)
        self._queue_outgoing(
            OutgoingDelta([address], source, scope, base, replica.revision, entries)
        )

    def _queue_outgoing(self, outgoing: OutgoingDelta) -> None:
        if len(self._outgoing) >= MAX_OUTGOING_DELTAS:
            self._revisions_being_sent.pop((outgoing.addresses[0], outgoing.source), None)
            self._peering.counters.add("propagation.sendings_refused")
            return
        self._outgoing.append(outgoing)

    def _push_revision(self, source: Source, now: int) -> None:
        replica = self._peering.replicas[source]
        pushed_revision = self._pushed_revisions[source]
        if replica.revision == pushed_revision:
            return
        self._pushed_revisions[source] = replica.revision
        self._due_offers += [(now + delay, source) for delay in OFFER_DELAYS_AFTER_PUSH_MS]
        children = self._children()
        if children:
            base, entries = replica.select_entries(pushed_revision, 0)
            self._queue_outgoing(
                OutgoingDelta(children, source, 0, base, replica.revision, entries)
            )
        for address, follower in list(self._followers.items()):
            if now - follower.received_at >= FOLLOWER_SILENCE_MS:
                del self._followers[address]
            elif source in follower.scopes:
                known_revision = follower.known_revisions.get(source, 0)
                follower.known_revisions[source] = replica.revision
                self._queue_delta(address, source, follower.scopes[source], known_revision)

    def _send_due_offers(self, now: int) -> None:
        due = {source for at, source in self._due_offers if at <= now}
        self._due_offers = [(at, source) for at, source in self._due_offers if at > now]
        for source in due:
            for address in [*self._children(), *self._followers]:
                self.send_offer(address, source)

    def _children(self) -> list[Address]:
        config = self._peering.config
        return self._peering.membership.children(config.address, self._peering.data_centre)

    def send_offers(self, now: int) -> None:
        """Offers the present revisions to random balancers; a balancer answers each offer."""
        self._send_gossip(PEERS_PER_OFFER_ROUND)

    def _send_gossip(self, count: int) -> None:
        for address in self._peering.choose_balancers(count):
            for source in Source:
                self.send_offer(address, source)

    def _send_parts(self) -> None:
        budget = MAX_ENTRIES_PER_TICK
        while self._outgoing and budget > 0:
            outgoing = self._outgoing.popleft()
            delta = outgoing.next_part(self._peering.config.part_bytes)
            budget -= len(delta.entries) + _PART_COST_ENTRIES * len(outgoing.addresses)
            for address in outgoing.addresses:
                self._peering.send(address, delta)
            if delta.parts == 0:
                self._outgoing.append(outgoing)
            else:
                self._revisions_being_sent.pop((outgoing.addresses[0], outgoing.source), None)
