"""Receiving side of propagation: asks for what is missing and applies deltas in slices."""

__all__ = ["Intake"]

from shallotshore.control_messages import Delta, DeltaRequest
from shallotshore.messages import Address, Source
from shallotshore.peering import NEVER, Peering
from shallotshore.replica import Applied, Update

RECORDS_PER_SLICE = 5  # 0.1 ms each; 8 took up to 2.8 ms on a busy machine, the bound is 2 ms
RECORDS_PER_FIRST_SLICE = 256  # a process that holds nothing yet serves nobody
TRANSFER_SILENCE_MS = 500  # without a new part for so long, the missing ones are asked for
TRANSFER_RETRIES = 3
REQUEST_MS = 300  # time to answer a request; above the round trip between data centres
REQUEST_MAX_MS = 2400
REPAIR_MS = 5000  # a repair sends everything, so it is rare
# Versions of the program that accept different schemas cannot be repaired, so repairs that change
# nothing become rarer.
REPAIR_MAX_MS = 600_000


class Transfer:
    """Parts of one delta on their way in."""

    __slots__ = ("key", "parts", "retries", "total", "touched", "update")

    def __init__(self, key: tuple[Address, int, int], update: Update) -> None:
        self.key = key
        self.update = update
        self.parts: set[int] = set()
        self.total = 0
        self.retries = 0
        self.touched = 0

    def add(self, delta: Delta, now: int) -> None:
        """Takes a part; only the last part states how many there are."""
        if delta.part in self.parts:
            return
        self.parts.add(delta.part)
        self.touched = now
        self.update.feed(delta.entries)
        self.total = delta.parts or self.total
        if len(self.parts) == self.total:
            self.update.end()


class Wish:
    """What is known to be missing from one replica."""

    __slots__ = (
        "address",
        "attempts",
        "next_repair",
        "next_request",
        "repair_until",
        "repair_wait",
        "revision",
    )

    def __init__(self) -> None:
        self.revision = 0
        self.address: Address | None = None
        self.attempts = 0
        self.next_request = 0
        self.next_repair = NEVER
        self.repair_until = NEVER
        self.repair_wait = REPAIR_MS


class Intake:
    """System that brings the replicas up to the highest revision it has heard of."""

    __slots__ = ("_peering", "_transfers", "_wishes", "applied")

    def __init__(self, peering: Peering) -> None:
        self._peering = peering
        self._transfers: dict[Source, Transfer] = {}
        self._wishes = {source: Wish() for source in Source}
        # Results of the updates that were completed in the present tick.
        self.applied: list[tuple[Source, Applied]] = []

    @property
    def is_busy(self) -> bool:
        """Whether entries wait to be worked off, so that the next tick should follow at once."""
        return any(transfer.update.is_runnable for transfer in self._transfers.values())

    @property
    def is_behind(self) -> bool:
        """Whether a higher revision of the records is known than the one in force."""
        held = self._peering.replicas[Source.CONFIGURATION].revision
        return self._wishes[Source.CONFIGURATION].revision > held

    def is_receiving(self, source: Source) -> bool:
        """Whether a delta is on its way in."""
        return source in self._transfers

    def want(self, source: Source, revision: int, address: Address | None) -> None:
        """Notes that a higher revision exists.

        Args:
            source: Platform service of the revision.
            revision: The revision that exists.
            address: A process that can send it, if known.
        """
        wish = self._wishes[source]
        if revision > max(wish.revision, self._peering.replicas[source].revision):
            wish.revision = revision
            wish.attempts = 0
            wish.next_request = 0
            wish.address = address

    def ask_for_all(self, source: Source, count: int) -> None:
        """Asks some balancers for everything, when nothing is held or on its way."""
        if self._peering.replicas[source].revision or source in self._transfers:
            return
        for address in self._peering.choose(count):
            self._peering.send(address, self._request(source, 0))

    def repair(self, source: Source, address: Address, now: int) -> None:
        """Asks for everything after a mismatch of digests at equal revisions."""
        wish = self._wishes[source]
        if now >= wish.next_repair:
            wish.next_repair = now + wish.repair_wait
            wish.repair_until = now + REPAIR_MS
            wish.repair_wait = min(wish.repair_wait * 2, REPAIR_MAX_MS)
            self._peering.counters.add("propagation.repairs")
            self._peering.send(address, self._request(source, 0))

    def start(self, source: Source, update: Update, address: Address, now: int) -> None:
        """Works off an update that is complete, such as one read from the platform."""
        transfer = Transfer((address, -1, update.revision), update)
        transfer.touched = now
        self._transfers[source] = transfer

    def run(self, now: int) -> None:
        """Takes deltas, works them off, and asks for what is missing."""
        self.applied = []
        for address, delta in self._peering.inbox.take(Delta):
            self._peering.hear(address, now, has_state=True)
            self._take(address, delta, now)
        for source in Source:
            self._work_off(source, now)
            self._ask(source, now)

    def _take(self, address: Address, delta: Delta, now: int) -> None:
        replica = self._peering.replicas[delta.source]
        if delta.service != self._peering.scopes[delta.source]:
            self._peering.counters.add("propagation.wrong_slice")
            return
        # A second parent sends the whole state late; only a repair needs it at the held revision.
        is_repair = delta.base == 0 and now < self._wishes[delta.source].repair_until
        if delta.revision < replica.revision + (not is_repair):
            self._peering.counters.add("propagation.old_deltas")
            return
        if delta.base > replica.revision:
            self._peering.counters.add("propagation.gaps")
            self.want(delta.source, delta.revision, address)
            return
        transfer = self._transfer_of(address, delta, now)
        if transfer is not None:
            transfer.add(delta, now)

    def _transfer_of(self, address: Address, delta: Delta, now: int) -> Transfer | None:
        key = (address, delta.base, delta.revision)
        transfer = self._transfers.get(delta.source)
        if transfer is not None:
            if transfer.key == key:
                return transfer
            if transfer.update.is_ended or delta.revision <= transfer.update.revision:
                return None
        replica = self._peering.replicas[delta.source]
        # At equal revisions neither side is right, so the repair is a union of both.
        replace = delta.base == 0 and (delta.revision > replica.revision or self._peering.is_agent)
        update = replica.begin(delta.revision, relayed=True, replace=replace)
        self._transfers[delta.source] = Transfer(key, update)
        return self._transfers[delta.source]

    def _work_off(self, source: Source, now: int) -> None:
        transfer = self._transfers.get(source)
        if transfer is None:
            return
        update = transfer.update
        replica = self._peering.replicas[source]
        held, digest = replica.revision, replica.digest(0)
        update.step(RECORDS_PER_SLICE if held else RECORDS_PER_FIRST_SLICE)
        if update.revision == held and replica.digest(0) != digest:
            self._wishes[source].repair_wait = REPAIR_MS
        if update.result is not None:
            del self._transfers[source]
            self._report(source, update.result)
        elif not update.is_ended and now - transfer.touched >= TRANSFER_SILENCE_MS:
            self._retry(source, transfer, now)

    def _retry(self, source: Source, transfer: Transfer, now: int) -> None:
        address, base, revision = transfer.key
        if transfer.retries < TRANSFER_RETRIES:
            transfer.retries += 1
            transfer.touched = now
            self._peering.counters.add("propagation.transfer_retries")
            self._peering.send(address, self._request(source, base))
            return
        del self._transfers[source]
        self._peering.counters.add("propagation.broken_transfers")
        self.want(source, revision, None)

    def _report(self, source: Source, result: Applied) -> None:
        counters = self._peering.counters
        counters.add("propagation.accepted" if result.accepted else "propagation.refused")
        for problem in result.problems:
            counters.add(f"propagation.problem.{problem.code.name.lower()}")
        self.applied.append((source, result))

    def _ask(self, source: Source, now: int) -> None:
        wish = self._wishes[source]
        held = self._peering.replicas[source].revision
        if wish.revision <= held or source in self._transfers or now < wish.next_request:
            return
        addresses = self._peering.choose(1)
        if wish.attempts == 0 and wish.address is not None:
            addresses = [wish.address]
        wait = min(REQUEST_MS << wish.attempts, REQUEST_MAX_MS)
        wish.next_request = now + self._peering.rng.randint(wait * 3 // 4, wait)
        wish.attempts = min(wish.attempts + 1, 10)
        for address in addresses:
            self._peering.send(address, self._request(source, held))

    def _request(self, source: Source, after: int) -> DeltaRequest:
        return DeltaRequest(source, after, self._peering.scopes[source])
