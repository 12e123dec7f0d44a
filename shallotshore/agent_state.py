"""State that the agent's systems share: settings, tables, catalog and the local upstream."""

__all__ = [
    "AgentConfig",
    "AgentState",
    "UpstreamStatus",
]

import random
from collections import deque
from dataclasses import dataclass, field

from shallotshore.agent_tables import (
    ClaimingTable,
    ClaimTable,
    FlowTable,
    HandoverTable,
    PassedAttemptTable,
    PeerTable,
    QueueTable,
    RequestTable,
)
from shallotshore.catalog import Catalog, UpstreamView
from shallotshore.membership import Membership
from shallotshore.messages import Address, HealthState, Load, Message
from shallotshore.placement import Placement
from shallotshore.ramp import Ramp
from shallotshore.systems import Counters, Inbox, Outbox
from shallotshore.tables import MISSING

MAX_CLAIMS = 65_536
MAX_OWN_CLAIMS = 4_096
MAX_FLOWS = 8_192
MAX_REQUESTS = 8_192
MAX_HANDOVERS = 256
MAX_PASSED_ATTEMPTS = 8_192
MAX_BALANCERS = 4_096
MAX_PEERS = 4_096
MAX_CUSTOMERS = 4_096
STALLED_AFTER_MS = 1_000  # ms of silence, many probes, so that a late scheduler is no stall
LOST_AFTER_MS = 10_000  # ms, ten heartbeats; a shorter pause of a process must not end its flows
SILENT_AFTER_MS = 1_500  # ms; one heartbeat and a half
NEVER = -1_000_000  # ms; older than any request
ROUND_BITS = 22  # claims per millisecond of incarnation: rounds rise across restarts
_MASK = (1 << 64) - 1


@dataclass(slots=True)
class AgentConfig:
    """Settings of an agent; `incarnation` must rise with each start of the process."""

    address: Address
    data_centre: str
    upstream: str
    service: str
    local_upstream: Address
    incarnation: int
    peers: tuple[Address, ...] = ()


@dataclass(slots=True)
class UpstreamStatus:
    """What the agent knows about its upstream; incarnation 0 means not heard yet.

    Attributes:
        incarnation: The present process of the upstream.
        ready: Whether that process says that it can work.
        heard: Time (ms) of its last sign of life.
        confirmed_at: Time (ms) of the last message that named its incarnation.
        ambiguous_from: Work sent from this time (ms) on may have reached the present process, not
            the one before.
        probed_at: Time (ms) of the last probe, `previous_probe_at` that of the one before it.
        sequence: Number of the last probe.
    """

    incarnation: int = 0
    ready: bool = False
    heard: int = 0
    confirmed_at: int = 0
    ambiguous_from: int = 0
    probed_at: int = 0
    previous_probe_at: int = 0
    sequence: int = 0


@dataclass(slots=True)
class WorkCount:
    """Exact counts of the work that this agent has accepted."""

    claiming: int = 0
    queued: int = 0
    running: int = 0

    @property
    def accepted(self) -> int:
        """Requests accepted and not yet ended."""
        return self.claiming + self.queued + self.running


@dataclass(slots=True)
class Phase:
    """Times (ms) that bound what the process may do; 0 means not reached.

    Attributes:
        started: First tick.
        grants_complete_since: Since when no grant of a request that was made here can be missing.
        stopping_since: Start of the graceful stop.
        leaving_since: When a record first said that the upstream leaves.
        is_recovering: Whether peers are still asked for the flows of the upstream.
        is_handing_over: Whether the process has stopped to be a witness.
        was_record_seen: Whether the process has seen a record of its upstream.
        was_record_absent: Whether it has seen the service's records without one.
    """

    started: int = 0
    grants_complete_since: int = 0
    stopping_since: int = 0
    leaving_since: int = 0
    is_recovering: bool = True
    is_handing_over: bool = False
    was_record_seen: bool = False
    was_record_absent: bool = False


@dataclass(slots=True)
class AgentState:
    """Everything that the systems of one agent read and write.

    Attributes:
        record: Record of the own upstream as of this tick, or None while it is unknown.
        data_centre_in: Whether the own data centre is in service as of this tick.
        membership_revision: Membership of the service as of this tick.
        has_membership_changed: Whether it is another one than at the tick before.
        parents: Balancers that heartbeats go to.
        known_balancers: Balancers that the VM list has named since the start.
        may_serve: Whether the process may act on what it holds for callers.
        received_revisions: Revisions named in messages of this tick, by sender.
        is_membership_stale: Whether a witness has refused a claim under the table of this process.
        asked_at: When peers were asked because of that (ms).
        limit: Requests that may run at once.
        customer_ring: Customers whose requests wait, in the order of their turns.
        kept: Keys of the flow claims kept here, by holder.
        disputed: Keys of own flows that a witness has another holder for.
        stored_bytes: Size of all stored answers.
        open_request_keys: Keys of the requests that have not ended, in order of arrival.
        last_finished_at: When a request ended last (ms).
    """

    config: AgentConfig
    catalog: Catalog
    membership: Membership
    placement: Placement
    rng: random.Random
    inbox: Inbox
    outbox: Outbox
    counters: Counters
    own_id: int
    service: int
    limit: int = 0
    record: UpstreamView | None = None
    data_centre: int = 0
    data_centre_in: bool = False
    membership_revision: int = -1
    has_membership_changed: bool = False
    ramp: Ramp = field(default_factory=Ramp)
    customer_ring: deque[int] = field(default_factory=deque)
    kept: dict[int, set[int]] = field(default_factory=dict)
    disputed: set[int] = field(default_factory=set)
    stored_bytes: int = 0
    last_finished_at: int = 0
    open_request_keys: dict[int, None] = field(default_factory=dict)
    claim_rounds: int = 0
    parents: tuple[Address, ...] = ()
    vm_list_revision: int = -1
    known_balancers: set[Address] = field(default_factory=set)
    may_serve: bool = False
    received_revisions: dict[Address, int] = field(default_factory=dict)
    is_membership_stale: bool = False
    asked_at: int = 0
    phase: Phase = field(default_factory=Phase)
    work: WorkCount = field(default_factory=WorkCount)
    upstream: UpstreamStatus = field(default_factory=UpstreamStatus)
    claims: ClaimTable = field(default_factory=lambda: ClaimTable(MAX_CLAIMS))
    claiming: ClaimingTable = field(default_factory=lambda: ClaimingTable(MAX_OWN_CLAIMS))
    flows: FlowTable = field(default_factory=lambda: FlowTable(MAX_FLOWS))
    requests: RequestTable = field(default_factory=lambda: RequestTable(MAX_REQUESTS))
    queues: QueueTable = field(default_factory=lambda: QueueTable(MAX_CUSTOMERS))
    handovers: HandoverTable = field(default_factory=lambda: HandoverTable(MAX_HANDOVERS))
    passed: PassedAttemptTable = field(
        default_factory=lambda: PassedAttemptTable(MAX_PASSED_ATTEMPTS)
    )
    peers: PeerTable = field(default_factory=lambda: PeerTable(MAX_PEERS))

    @property
    def leaving(self) -> bool:
        """Whether the upstream leaves or the agent stops."""
        record = self.record
        return self.phase.stopping_since > 0 or (record is not None and record.leaving)

    def is_upstream_ready(self, now: int) -> bool:
        """Returns whether the upstream gives signs of life and says that it can work."""
        upstream = self.upstream
        return upstream.ready and now - upstream.heard <= STALLED_AFTER_MS

    def update_from_catalog(self, now: int) -> None:
        """Takes over what the catalog says of the service, for the tick at `now` (ms)."""
        self.record = self.catalog.upstream(self.own_id)
        self._record_own_entry()
        self.data_centre_in = self.catalog.data_centre_in(self.data_centre)
        self._record_leaving(now)
        self.placement.refresh(now)
        membership_revision = self.catalog.membership(self.service)
        self.has_membership_changed = membership_revision != self.membership_revision
        self.membership_revision = membership_revision
        self._update_balancers()

    def _record_leaving(self, now: int) -> None:
        if self.record is None or not self.record.leaving:
            self.phase.leaving_since = 0
        elif not self.phase.leaving_since:
            self.phase.leaving_since = now

    def _record_own_entry(self) -> None:
        """Lets a witness vouch at once that was running before its record appeared.

        It has lost no grant, unlike one that was restarted.
        """
        if self.phase.was_record_seen:
            return
        self.phase.was_record_seen = self.record is not None
        if self.record is None:
            self.phase.was_record_absent = self.may_serve and bool(
                self.catalog.upstreams_of(self.service)
            )
        elif self.phase.was_record_absent:
            self.phase.grants_complete_since = NEVER
            self.counters.add("vouched_as_new")

    def load(self) -> Load:
        """Returns the load that rides on answers and heartbeats."""
        waiting = self.work.claiming + self.work.queued
        return Load(self.work.running, waiting, self.limit, len(self.flows))

    def next_round(self) -> int:
        """Returns a number that is higher than those of all earlier claims of this upstream."""
        self.claim_rounds += 1
        return ((self.config.incarnation << ROUND_BITS) + self.claim_rounds) & _MASK

    def witnesses(self, key: int) -> tuple[int, ...]:
        """Returns the witnesses of a key of the own service."""
        return self.placement.witnesses(self.service, key)

    def peer_ids(self) -> list[int]:
        """Returns the ids of the service's other upstreams."""
        return [peer for peer in self.catalog.upstreams_of(self.service) if peer != self.own_id]

    def send_to_peer(self, peer: int, message: Message) -> bool:
        """Sends a message to the agent of an upstream.

        Returns:
            False when the upstream has no record.
        """
        address = self._find_address(peer)
        if address is None:
            return False
        self.outbox.send(address, message)
        return True

    def _find_address(self, peer: int) -> Address | None:
        """Returns an agent's address by its record, or by its last heartbeat without one.

        The upstream of a former table may still hold flows or claims when its record is gone.
        """
        record = self.catalog.upstream(peer)
        if record is not None:
            return record.address
        row = self.peers.row(peer)
        return None if row == MISSING else self.peers.address[row]

    def is_reachable(self, upstream: int) -> bool:
        """Returns whether callers' packets may go to an upstream: not when its data centre is out.

        An upstream without record may still own flows.
        """
        record = self.catalog.upstream(upstream)
        return record is None or self.catalog.data_centre_in(record.data_centre)

    def silence_ms(self, peer: int, now: int) -> int:
        """Returns for how long (ms) a peer has not been heard, at most since the own start."""
        row = self.peers.row(peer)
        heard_at = 0 if row == MISSING else self.peers.heard[row]
        return now - max(heard_at, self.phase.started)

    def is_lost(self, peer: int, now: int) -> bool:
        """Returns whether a peer is silent for long while most others are heard at `now` (ms).

        Nothing is known about a peer that was never heard, such as the holder of a claim that
        comes before its first heartbeat.
        """
        row = self.peers.row(peer)
        if (
            row == MISSING
            or not self.peers.heard[row]
            or self.silence_ms(peer, now) < LOST_AFTER_MS
        ):
            return False
        others = [other for other in self.peer_ids() if other != peer]
        heard = [other for other in others if self.silence_ms(other, now) < SILENT_AFTER_MS]
        return 2 * len(heard) > len(others)

    def find_answer_address(self, balancer: Address) -> Address:
        """Returns the address to answer to: the balancer, or a parent when it is gone.

        Only balancers that the VM list has named before can be known to be gone.
        """
        is_gone = balancer in self.known_balancers and not self.membership.is_balancer(balancer)
        return self.parents[0] if is_gone and self.parents else balancer

    def _update_balancers(self) -> None:
        """Takes over the parents and the known balancers of a changed VM list."""
        if self.membership.revision == self.vm_list_revision:
            return
        self.vm_list_revision = self.membership.revision
        listed = self.membership.parents(self.own_id, self.data_centre)
        self.parents = tuple(listed) or self.config.peers[:2]
        if len(self.known_balancers) >= MAX_BALANCERS:
            self.known_balancers.clear()
        self.known_balancers.update(self.membership.all_balancers())

    def record_peer_revision(self, address: Address, revision: int) -> None:
        """Notes the revision in a received message, to be compared at the end of the tick."""
        self.received_revisions[address] = max(revision, self.received_revisions.get(address, 0))

    def health(self, now: int) -> HealthState:
        """Returns the state to publish about the upstream at `now` (ms)."""
        if self.upstream.incarnation == 0:
            return HealthState.DOWN
        if self.leaving:
            return HealthState.LEAVING
        if not self.is_upstream_ready(now):
            return HealthState.STALLED
        record = self.record
        if record is not None and self.limit < record.slots:
            return HealthState.COLD
        return HealthState.UP
