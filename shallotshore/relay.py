"""Sending side of propagation in a balancer: the relay tree, agents' slices and gossip."""

__all__ = ["Relay"]

from collections import deque
from collections.abc import Iterator

from shallotshore.control_messages import Delta, DeltaRequest, RevisionNotice, RevisionOffer
from shallotshore.intake import Intake
from shallotshore.messages import Address, Entry, Source
from shallotshore.peering import Peering
from shallotshore.platform_reader import PlatformReader

GOSSIP_MS = 1000
ASKED_AT_ONCE = 3
# A process that has missed a delta learns of it from these offers, sooner than from gossip.
OFFER_AFTER_PUSH_MS = (200, 600)
FOLLOWER_SILENCE_MS = 10_000  # an agent that has offered nothing for so long is forgotten
FOLLOWER_LIMIT = 4096
SENDING_LIMIT = 4096
ENTRIES_PER_PART = 128
ENTRIES_PER_TICK = 200  # an entry takes up to 6 us to select; a slice of work takes at most 2 ms
_PART_COST = 8  # a part costs as much as so many entries, apart from its entries
_ENTRY_OVERHEAD = 24  # bytes of an entry's revision and lengths when encoded
_DELTA_OVERHEAD = 48


class Follower:
    """An agent that follows this balancer, and the revisions it is known to hold."""

    __slots__ = ("held", "scopes", "seen")

    def __init__(self) -> None:
        self.scopes: dict[Source, int] = {}
        self.held: dict[Source, int] = {}
        self.seen = 0


class Sending:
    """A delta on its way out, to one or several processes."""

    __slots__ = ("addresses", "base", "entries", "left_over", "part", "revision", "scope", "source")

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
        self.left_over: Entry | None = None
        self.part = 0

    def next_part(self, part_bytes: int) -> Delta:
        """Returns the next part; only the last one states the number of parts."""
        entries: list[Entry] = []
        size = _DELTA_OVERHEAD
        entry = self.left_over or next(self.entries, None)
        while entry is not None and len(entries) < ENTRIES_PER_PART:
            size += len(entry.key) + len(entry.text) + _ENTRY_OVERHEAD
            if size > part_bytes and entries:
                break
            entries.append(entry)
            entry = next(self.entries, None)
        self.left_over = entry
        part = self.part
        self.part += 1
        parts = self.part if entry is None else 0
        return Delta(self.source, self.base, self.revision, self.scope, part, parts, tuple(entries))


class Relay:
    """System that answers offers and requests and pushes new revisions."""

    __slots__ = (
        "_answering",
        "_followers",
        "_intake",
        "_next_gossip",
        "_offers",
        "_peering",
        "_pushed",
        "_reader",
        "_sendings",
    )

    def __init__(self, peering: Peering, intake: Intake, reader: PlatformReader) -> None:
        self._peering = peering
        self._reader = reader
        self._intake = intake
        self._followers: dict[Address, Follower] = {}
        self._answering: dict[tuple[Address, Source], int] = {}
        self._sendings: deque[Sending] = deque()
        self._offers: list[tuple[int, Source]] = []
        self._pushed = dict.fromkeys(Source, 0)
        self._next_gossip = peering.rng.randrange(GOSSIP_MS)

    def run(self, now: int) -> None:
        """Answers what arrived, reads the platform, pushes new revisions and gossips."""
        self._reader.run(now)
        for address, offer in self._peering.inbox.take(RevisionOffer):
            if offer.service:
                self._answer_agent(address, offer, now)
            else:
                self._peering.hear(address, now, offer.revision > 0)
                self._answer_balancer(address, offer, now)
        for address, request in self._peering.inbox.take(DeltaRequest):
            self._answer_request(address, request, now)
        for source in Source:
            self._push(source, now)
        self._offer_again(now)
        if now >= self._next_gossip:
            self._next_gossip = now + GOSSIP_MS
            self._gossip(1)
            for address in self._reader.ahead():
                self.offer_to(address, Source.CONFIGURATION)
        self._send_parts()

    def offer_to(self, address: Address, source: Source, scope: int = 0) -> None:
        """Sends the revision held and its digest, or that of a slice."""
        replica = self._peering.replicas[source]
        offer = RevisionOffer(source, replica.revision, replica.digest(scope), scope)
        self._peering.send(address, offer)

    def _answer_balancer(self, address: Address, offer: RevisionOffer, now: int) -> None:
        replica = self._peering.replicas[offer.source]
        if offer.revision > replica.revision:
            self._intake.want(offer.source, offer.revision, address)
        elif offer.revision < replica.revision:
            self.offer_to(address, offer.source)
        elif offer.revision and offer.digest != replica.digest(0):
            self._intake.repair(offer.source, address, now)
        elif offer.source == Source.CONFIGURATION:
            self._peering.send(address, RevisionNotice(replica.revision))

    def _answer_agent(self, address: Address, offer: RevisionOffer, now: int) -> None:
        follower = self._note_follower(address, offer.source, offer.service, now)
        if follower is not None:
            follower.held[offer.source] = offer.revision
        replica = self._peering.replicas[offer.source]
        if offer.revision > replica.revision:
            self._intake.want(offer.source, offer.revision, None)
        elif offer.revision < replica.revision:
            self._start(address, offer.source, offer.service, offer.revision)
        elif offer.revision and offer.digest != replica.digest(offer.service):
            # The agent asks for a repair; it knows how often it has done so in vain.
            self.offer_to(address, offer.source, offer.service)
        elif offer.source == Source.CONFIGURATION:
            self._peering.send(address, RevisionNotice(replica.revision))

    def _answer_request(self, address: Address, request: DeltaRequest, now: int) -> None:
        if request.service:
            self._note_follower(address, request.source, request.service, now)
        else:
            self._peering.hear(address, now)
        replica = self._peering.replicas[request.source]
        if request.after > replica.revision:
            self._intake.want(request.source, request.after, None)
        elif replica.revision and (request.after < replica.revision):
            self._start(address, request.source, request.service, request.after)
        else:
            self.offer_to(address, request.source)

    def _note_follower(
        self, address: Address, source: Source, scope: int, now: int
    ) -> Follower | None:
        follower = self._followers.get(address)
        if follower is None:
            if len(self._followers) >= FOLLOWER_LIMIT:
                self._peering.counters.add("propagation.followers_refused")
                return None
            follower = self._followers[address] = Follower()
        follower.scopes[source] = scope
        follower.seen = now
        return follower

    def _start(self, address: Address, source: Source, scope: int, after: int) -> None:
        replica = self._peering.replicas[source]
        if self._answering.get((address, source)) == replica.revision:
            return
        self._answering[address, source] = replica.revision
        base, entries = replica.select(after, scope)
        self._add(Sending([address], source, scope, base, replica.revision, entries))

    def _add(self, sending: Sending) -> None:
        if len(self._sendings) >= SENDING_LIMIT:
            self._answering.pop((sending.addresses[0], sending.source), None)
            self._peering.counters.add("propagation.sendings_refused")
            return
        self._sendings.append(sending)

    def _push(self, source: Source, now: int) -> None:
        replica = self._peering.replicas[source]
        before = self._pushed[source]
        if replica.revision == before:
            return
        self._pushed[source] = replica.revision
        self._offers += [(now + delay, source) for delay in OFFER_AFTER_PUSH_MS]
        children = self._children()
        if children:
            base, entries = replica.select(before, 0)
            self._add(Sending(children, source, 0, base, replica.revision, entries))
        for address, follower in list(self._followers.items()):
            if now - follower.seen >= FOLLOWER_SILENCE_MS:
                del self._followers[address]
            elif source in follower.scopes:
                held = follower.held.get(source, 0)
                follower.held[source] = replica.revision
                self._start(address, source, follower.scopes[source], held)

    def _offer_again(self, now: int) -> None:
        due = {source for at, source in self._offers if at <= now}
        self._offers = [(at, source) for at, source in self._offers if at > now]
        for source in due:
            for address in [*self._children(), *self._followers]:
                self.offer_to(address, source)

    def _children(self) -> list[Address]:
        config = self._peering.config
        return self._peering.membership.children(config.address, self._peering.data_centre)

    def ask(self, now: int) -> None:
        """Offers the revisions held to some balancers, which answer."""
        self._gossip(ASKED_AT_ONCE)

    def _gossip(self, count: int) -> None:
        for address in self._peering.choose(count):
            for source in Source:
                self.offer_to(address, source)

    def _send_parts(self) -> None:
        budget = ENTRIES_PER_TICK
        while self._sendings and budget > 0:
            sending = self._sendings.popleft()
            delta = sending.next_part(self._peering.config.part_bytes)
            budget -= len(delta.entries) + _PART_COST * len(sending.addresses)
            for address in sending.addresses:
                self._peering.send(address, delta)
            if delta.parts == 0:
                self._sendings.append(sending)
            else:
                self._answering.pop((sending.addresses[0], sending.source), None)
