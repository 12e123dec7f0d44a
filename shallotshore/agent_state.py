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
# Time without a message after which the upstream counts as stalled. It spans many probe intervals,
# so that an upstream whose process is scheduled late does not count as stalled.
STALLED_AFTER_MS = 1_000
LOST_AFTER_MS = 10_000  # ten heartbeats; a shorter pause of a process must not end its flows
SILENT_AFTER_MS = 1_500  # one heartbeat interval and a half
NEVER = -1_000_000  # a time (ms) before the start of any request
# The incarnation, a start time in ms, is shifted by this many bits to make room for a count of
# claims. Round numbers rise across restarts as long as a process makes fewer than 2^22 claims per
# ms.
ROUND_BITS = 22
_UINT64_MASK = (1 << 64) - 1


@dataclass(slots=True)
class AgentConfig:
    """Settings of an agent.

    Attributes:
        address: Address for messages of balancers and other agents.
        data_centre: Name of the data centre.
        upstream: Name of the local upstream.
        service: Name of the service.
        local_upstream: Address of the local upstream.
        incarnation: Number that rises with each start of the process.
        peers: Addresses to get the configuration from until the VM list names parents.
    """

    address: Address
    data_centre: str
    upstream: str
    service: str
    local_upstream: Address
    incarnation: int
    peers: tuple[Address, ...] = ()


@dataclass(slots=True)
class UpstreamStatus:
    """State of the local upstream, as known by the agent.

    Attributes:
        incarnation: Number of the present process of the upstream; 0 before its first message.
        ready: Whether the present process reports that it can work.
        heard_at: Time (ms) of the last message from the upstream.
        confirmed_at: Time (ms) of the last message that names the present incarnation.
        ambiguous_from: Time (ms) from which work sent to the upstream may have reached the present
            process; work sent before that time went to the previous process.
        probed_at: Time (ms) of the last probe.
        previous_probe_at: Time (ms) of the probe before the last one.
        sequence: Number of the last probe.
    """

    incarnation: int = 0
    ready: bool = False
    heard_at: int = 0
    confirmed_at: int = 0
    ambiguous_from: int = 0
    probed_at: int = 0
    previous_probe_at: int = 0
    sequence: int = 0


@dataclass(slots=True)
class WorkCount:
    """Counts of the requests that this agent has accepted, by state."""

    claiming: int = 0
    queued: int = 0
    running: int = 0

    @property
    def accepted(self) -> int:
        """Number of accepted requests that have not ended."""
        return self.claiming + self.queued + self.running


@dataclass(slots=True)
class Phase:
    """Stages in the life of the agent's process, which limit what it may do.

    Times are in ms; 0 means that the stage is not reached.

    Attributes:
        started: Time of the first tick.
        grants_complete_since: Start of the period for which this witness knows every request claim
            and void that it has granted, including those granted by predecessors of the process.
        stopping_since: Time at which the graceful stop began.
        leaving_since: Time at which the upstream's record was first seen to say "leaving".
        is_recovering: Whether peers are still asked for the flows of the local upstream.
        is_handing_over: Whether the process has stopped acting as a witness and hands over its
            grants.
        was_record_seen: Whether the catalog has had a record of the local upstream.
        was_record_absent: Whether the catalog has had records of the service's upstreams but none
            of the local one.
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
        own_id: Id of the local upstream.
        service: Id of the service.
        data_centre: Id of this agent's data centre.
        record: Record of the local upstream in this tick, or None when there is none.
        is_data_centre_in_service: Whether this agent's data centre is in service in this tick.
        membership_revision: Revision at which the service's table of upstreams last changed.
        has_membership_changed: Whether `membership_revision` differs from that of the tick before.
        parents: Balancers to which this agent sends heartbeats.
        vm_list_revision: Revision of the VM list that `parents` was taken from.
        known_balancers: Balancers that the VM list has named since the process started.
        may_serve: Whether the process is up to date enough to act on its state for callers.
        received_revisions: Highest revision named in messages of this tick, by sender.
        is_membership_stale: Whether a witness has refused a claim because this agent's table of
            upstreams is older than that of the witness.
        asked_at: Time (ms) at which peers were last asked for newer records because the table is
            stale.
        limit: Number of requests that may run at once.
        ramp: Cold-start ramp that sets `limit`.
        customer_ring: Customers with queued requests, in the order of their turns.
        flow_keys_by_holder: Keys of the flow claims that this agent keeps as a witness, by holder.
        disputed: Keys of flows of the local upstream for which a witness keeps a claim of another
            holder.
        stored_bytes: Size of all stored answers.
        last_finished_at: Time (ms) at which a request last ended.
        open_request_keys: Keys of the requests that have not ended, in order of arrival.
        claim_rounds: Number of claim rounds since the start of the process.
        phase: Stages in the life of the process.
        work: Counts of accepted requests.
        upstream: State of the local upstream.
        claims: Claims kept for peers, and for the local upstream when its agent is a witness.
        claiming: Claims that this agent makes for the local upstream and that are not yet decided.
        passed: Attempts that were passed on to another upstream or cancelled.
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
    is_data_centre_in_service: bool = False
    membership_revision: int = -1
    has_membership_changed: bool = False
    ramp: Ramp = field(default_factory=Ramp)
    customer_ring: deque[int] = field(default_factory=deque)
    flow_keys_by_holder: dict[int, set[int]] = field(default_factory=dict)
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
        """Whether the upstream leaves the service or the agent stops."""
        record = self.record
        return self.phase.stopping_since > 0 or (record is not None and record.leaving)

    def is_upstream_ready(self, now: int) -> bool:
        """Returns whether the upstream was heard recently and reports that it can work."""
        upstream = self.upstream
        return upstream.ready and now - upstream.heard_at <= STALLED_AFTER_MS

    def update_from_catalog(self, now: int) -> None:
        """Updates what depends on the catalog and the VM list, for the tick at `now` (ms)."""
        self.record = self.catalog.upstream(self.own_id)
        self._record_own_entry()
        self.is_data_centre_in_service = self.catalog.is_data_centre_in_service(self.data_centre)
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
        """Lets the agent of a newly added upstream grant claims of any age.

        While its upstream has no record, no claimant asks this agent for a grant. An agent that was
        already running when the record was added therefore knows all its grants; a restarted
        agent does not.
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
        """Returns the load to report with answers and heartbeats."""
        waiting = self.work.claiming + self.work.queued
        return Load(self.work.running, waiting, self.limit, len(self.flows))

    def next_round(self) -> int:
        """Returns a round number higher than those of all earlier claims of this upstream."""
        self.claim_rounds += 1
        return ((self.config.incarnation << ROUND_BITS) + self.claim_rounds) & _UINT64_MASK

    def witnesses(self, key: int) -> tuple[int, ...]:
        """Returns the witnesses of a key of this agent's service."""
        return self.placement.witnesses(self.service, key)

    def peer_ids(self) -> list[int]:
        """Returns the ids of the service's other upstreams."""
        return [peer for peer in self.catalog.upstreams_of(self.service) if peer != self.own_id]

    def send_to_peer(self, peer: int, message: Message) -> bool:
        """Sends a message to the agent of an upstream.

        Returns:
            False when the address of the agent is not known.
        """
        address = self._find_address(peer)
        if address is None:
            return False
        self.outbox.send(address, message)
        return True

    def _find_address(self, peer: int) -> Address | None:
        """Returns an agent's address: from its record or, if there is none, its last heartbeat.

        The heartbeat is needed because an upstream whose record was removed may still hold flows,
        and its agent may still keep claims.
        """
        record = self.catalog.upstream(peer)
        if record is not None:
            return record.address
        row = self.peers.row(peer)
        return None if row == MISSING else self.peers.address[row]

    def is_reachable(self, upstream: int) -> bool:
        """Returns whether packets and attempts may be sent to an upstream.

        Nothing is sent to an upstream whose data centre is out of service. An upstream without a
        record counts as reachable, since it may still own flows.
        """
        record = self.catalog.upstream(upstream)
        return record is None or self.catalog.is_data_centre_in_service(record.data_centre)

    def silence_ms(self, peer: int, now: int) -> int:
        """Returns how long (ms) a peer has been silent.

        The silence begins with the peer's last heartbeat or with the start of this process,
        whichever is later.
        """
        row = self.peers.row(peer)
        heard_at = 0 if row == MISSING else self.peers.heard[row]
        return now - max(heard_at, self.phase.started)

    def is_lost(self, peer: int, now: int) -> bool:
        """Returns whether a peer counts as lost at `now` (ms).

        A peer is lost if it has been silent for `LOST_AFTER_MS` while more than half of the other
        peers are heard. A peer that was never heard is not lost: a claim of a new holder may arrive
        before the holder's first heartbeat.
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
        """Returns the address to send an answer to: the balancer, or a parent if that is gone.

        A balancer is known to be gone when the VM list has named it before and no longer does.
        """
        is_gone = balancer in self.known_balancers and not self.membership.is_balancer(balancer)
        return self.parents[0] if is_gone and self.parents else balancer

    def _update_balancers(self) -> None:
        """Updates parents and known balancers when the VM list has changed."""
        if self.membership.revision == self.vm_list_revision:
            return
        self.vm_list_revision = self.membership.revision
        listed = self.membership.parents(self.own_id, self.data_centre)
        self.parents = tuple(listed) or self.config.peers[:2]
        if len(self.known_balancers) >= MAX_BALANCERS:
            self.known_balancers.clear()
        self.known_balancers.update(self.membership.all_balancers())

    def record_peer_revision(self, address: Address, revision: int) -> None:
        """Records the sender's revision from a message, to be compared at the end of the tick."""
        self.received_revisions[address] = max(revision, self.received_revisions.get(address, 0))

    def health(self, now: int) -> HealthState:
        """Returns the state of the local upstream to report at `now` (ms)."""
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
