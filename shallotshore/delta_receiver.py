"""Receiving side of propagation: requests missing revisions and applies deltas in steps."""

__all__ = ["DeltaReceiver"]

from shallotshore.control_messages import Delta, DeltaRequest
from shallotshore.messages import Address, Source
from shallotshore.peering import NEVER, Peering
from shallotshore.positions import era_of, phase_of
from shallotshore.replica import Update, UpdateResult

# Applying a record takes 0.1 ms. On a busy machine 8 records took up to 2.8 ms, which exceeds the
# limit of 2 ms for a step.
RECORDS_PER_STEP = 5
RECORDS_PER_INITIAL_STEP = 256  # higher, since a process without a revision serves nobody yet
TRANSFER_SILENCE_MS = 500  # missing parts are requested when no part arrives for this long
MAX_TRANSFER_RETRIES = 3
INITIAL_REQUEST_INTERVAL_MS = 300  # above a round trip between data centres, to await an answer
MAX_REQUEST_INTERVAL_MS = 2400
MIN_REPAIR_INTERVAL_MS = 5000  # a repair transfers the whole state, so it must be rare
# Two program versions that accept different schemas have different digests even after a repair. So
# the interval between repairs doubles up to this limit while the repairs change nothing.
MAX_REPAIR_INTERVAL_MS = 600_000


class Transfer:
    """A delta that is received in parts."""

    __slots__ = ("key", "last_activity_at", "part_count", "parts", "retries", "update")

    def __init__(self, key: tuple[Address, int, int], update: Update) -> None:
        self.key = key
        self.update = update
        self.parts: set[int] = set()
        self.part_count = 0
        self.retries = 0
        self.last_activity_at = 0

    def add_part(self, delta: Delta, now: int) -> None:
        """Adds a part; only the last part states the number of parts."""
        if delta.part in self.parts:
            return
        self.parts.add(delta.part)
        self.last_activity_at = now
        self.update.feed(delta.entries)
        self.part_count = delta.parts or self.part_count
        if len(self.parts) == self.part_count:
            self.update.mark_complete()


class MissingRevision:
    """The revision that a replica is known to lack, and the timing of requests for it."""

    __slots__ = (
        "address",
        "attempts",
        "next_repair_at",
        "next_request_at",
        "phase",
        "repair_expires_at",
        "repair_interval_ms",
        "revision",
    )

    def __init__(self) -> None:
        self.revision = 0
        self.address: Address | None = None
        self.attempts = 0
        self.next_request_at = 0
        self.phase = (0, 0)  # era and phase of the last repair
        self.next_repair_at = NEVER
        self.repair_expires_at = NEVER
        self.repair_interval_ms = MIN_REPAIR_INTERVAL_MS


class DeltaReceiver:
    """System that brings the replicas up to the highest revision known to exist."""

    __slots__ = ("_missing", "_peering", "_transfers", "update_results")

    def __init__(self, peering: Peering) -> None:
        self._peering = peering
        self._transfers: dict[Source, Transfer] = {}
        self._missing = {source: MissingRevision() for source in Source}
        # Results of the updates that were completed in this tick.
        self.update_results: list[tuple[Source, UpdateResult]] = []

    @property
    def is_busy(self) -> bool:
        """Whether entries wait to be applied, so that the next tick should follow at once."""
        return any(transfer.update.is_runnable for transfer in self._transfers.values())

    @property
    def is_behind(self) -> bool:
        """Whether a configuration revision is known to exist that is above the one in force."""
        current_revision = self._peering.replicas[Source.CONFIGURATION].revision
        return self._missing[Source.CONFIGURATION].revision > current_revision

    def is_receiving(self, source: Source) -> bool:
        """Whether a delta of this platform service is being received or applied."""
        return source in self._transfers

    def record_newer_revision(self, source: Source, revision: int, address: Address | None) -> None:
        """Records that a revision above the one in force exists; `run` then requests it.

        Args:
            source: Platform service that publishes the revision.
            revision: The revision that exists.
            address: A process that can send the revision, if known.
        """
        missing = self._missing[source]
        if revision > max(missing.revision, self._peering.replicas[source].revision):
            missing.revision = revision
            missing.attempts = 0
            missing.next_request_at = 0
            missing.address = address

    def request_snapshot(self, source: Source, count: int) -> None:
        """Requests the whole state from `count` balancers.

        Does nothing when a revision is in force or arriving.
        """
        if self._peering.replicas[source].revision or source in self._transfers:
            return
        for address in self._peering.choose_balancers(count):
            self._peering.send(address, self._build_request(source, 0))

    def request_repair(self, source: Source, address: Address, now: int) -> None:
        """Requests the whole state of a peer that has the same revision but another digest.

        Does nothing before the repair interval of the source has passed.
        """
        missing = self._missing[source]
        position = self._peering.replicas[source].revision
        phase = (era_of(position), phase_of(position))
        if missing.phase != phase:
            # Differences that remain at the end of a phase would delay what the store holds.
            missing.phase = phase
            missing.next_repair_at = NEVER
            missing.repair_interval_ms = MIN_REPAIR_INTERVAL_MS
        if now >= missing.next_repair_at:
            missing.next_repair_at = now + missing.repair_interval_ms
            missing.repair_expires_at = now + MIN_REPAIR_INTERVAL_MS
            missing.repair_interval_ms = min(missing.repair_interval_ms * 2, MAX_REPAIR_INTERVAL_MS)
            self._peering.counters.add("propagation.repairs")
            self._peering.send(address, self._build_request(source, 0))

    def start_transfer(self, source: Source, update: Update, address: Address, now: int) -> None:
        """Starts to apply an update that is complete, such as one read from the platform."""
        transfer = Transfer((address, -1, update.revision), update)
        transfer.last_activity_at = now
        self._transfers[source] = transfer

    def run(self, now: int) -> None:
        """Handles received deltas, applies them in steps, and requests missing revisions."""
        self.update_results = []
        for address, delta in self._peering.inbox.take(Delta):
            self._peering.record_balancer_message(address, now, has_state=True)
            self._handle_delta(address, delta, now)
        for source in Source:
            self._apply_transfer(source, now)
            self._request_missing(source, now)

    def _handle_delta(self, address: Address, delta: Delta, now: int) -> None:
        replica = self._peering.replicas[delta.source]
        if delta.service != self._peering.scopes[delta.source]:
            self._peering.counters.add("propagation.wrong_slice")
            return
        # A snapshot of the revision in force may arrive late from a second parent. It is used only
        # if a repair has requested it.
        is_repair = delta.base == 0 and now < self._missing[delta.source].repair_expires_at
        if delta.revision < replica.revision + (not is_repair):
            self._peering.counters.add("propagation.old_deltas")
            return
        if delta.base > replica.revision:
            self._peering.counters.add("propagation.gaps")
            self.record_newer_revision(delta.source, delta.revision, address)
            return
        transfer = self._find_or_start_transfer(address, delta, now)
        if transfer is not None:
            transfer.add_part(delta, now)

    def _find_or_start_transfer(self, address: Address, delta: Delta, now: int) -> Transfer | None:
        key = (address, delta.base, delta.revision)
        transfer = self._transfers.get(delta.source)
        if transfer is not None:
            if transfer.key == key:
                return transfer
            if transfer.update.has_all_entries or delta.revision <= transfer.update.revision:
                return None
        replica = self._peering.replicas[delta.source]
        # If two balancers differ at the same revision, neither is known to be right, so the repair
        # merges both states instead of replacing this one by a snapshot.
        is_snapshot = delta.base == 0 and (
            delta.revision > replica.revision or self._peering.is_agent
        )
        update = replica.start_update(delta.revision, relayed=True, is_snapshot=is_snapshot)
        self._transfers[delta.source] = Transfer(key, update)
        return self._transfers[delta.source]

    def _apply_transfer(self, source: Source, now: int) -> None:
        transfer = self._transfers.get(source)
        if transfer is None:
            return
        update = transfer.update
        replica = self._peering.replicas[source]
        current_revision, digest = replica.revision, replica.digest(0)
        update.step(RECORDS_PER_STEP if current_revision else RECORDS_PER_INITIAL_STEP)
        if update.revision == current_revision and replica.digest(0) != digest:
            self._missing[source].repair_interval_ms = MIN_REPAIR_INTERVAL_MS
        if update.result is not None:
            del self._transfers[source]
            self._record_result(source, update.result)
        elif not update.has_all_entries and now - transfer.last_activity_at >= TRANSFER_SILENCE_MS:
            self._retry_transfer(source, transfer, now)

    def _retry_transfer(self, source: Source, transfer: Transfer, now: int) -> None:
        address, base, revision = transfer.key
        if transfer.retries < MAX_TRANSFER_RETRIES:
            transfer.retries += 1
            transfer.last_activity_at = now
            self._peering.counters.add("propagation.transfer_retries")
            self._peering.send(address, self._build_request(source, base))
            return
        del self._transfers[source]
        self._peering.counters.add("propagation.broken_transfers")
        self.record_newer_revision(source, revision, None)

    def _record_result(self, source: Source, result: UpdateResult) -> None:
        counters = self._peering.counters
        counters.add("propagation.accepted" if result.accepted else "propagation.refused")
        for problem in result.problems:
            counters.add(f"propagation.problem.{problem.code.name.lower()}")
        self.update_results.append((source, result))

    def _request_missing(self, source: Source, now: int) -> None:
        missing = self._missing[source]
        current_revision = self._peering.replicas[source].revision
        if (
            missing.revision <= current_revision
            or source in self._transfers
            or now < missing.next_request_at
        ):
            return
        addresses = self._peering.choose_balancers(1)
        if missing.attempts == 0 and missing.address is not None:
            addresses = [missing.address]
        wait = min(INITIAL_REQUEST_INTERVAL_MS << missing.attempts, MAX_REQUEST_INTERVAL_MS)
        missing.next_request_at = now + self._peering.rng.randint(wait * 3 // 4, wait)
        missing.attempts = min(missing.attempts + 1, 10)
        for address in addresses:
            self._peering.send(address, self._build_request(source, current_revision))

    def _build_request(self, source: Source, after: int) -> DeltaRequest:
        return DeltaRequest(source, after, self._peering.scopes[source])
