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
    PassedTable,
    PeerTable,
    QueueTable,
    RequestTable,
)
from shallotshore.catalog import Catalog, UpstreamView
from shallotshore.hashing import name_id
from shallotshore.messages import Address, HealthState, Load, Message
from shallotshore.placement import Placement
from shallotshore.ramp import Ramp
from shallotshore.systems import Counters, Inbox, Outbox
from shallotshore.tables import MISSING

MAX_CLAIMS = 65_536
MAX_CLAIMING = 4_096
MAX_FLOWS = 8_192
MAX_REQUESTS = 8_192
MAX_PASSED = 8_192
MAX_PEERS = 4_096
MAX_CUSTOMERS = 4_096
STALLED_AFTER = 1_000  # ms of silence; ten probes, so that a late scheduler is no stall
ROUND_BITS = 22  # claims per millisecond of incarnation: rounds rise across restarts
_MASK = (1 << 64) - 1


@dataclass(slots=True)
class AgentConfig:
    """Settings of an agent; `incarnation` must rise with each start of the process."""

    address: Address
    data_centre: str
    upstream: str
    service: str
    local: Address
    incarnation: int
    peers: tuple[Address, ...] = ()


@dataclass(slots=True)
class UpstreamStatus:
    """What the agent knows about its upstream; incarnation 0 means not heard yet."""

    incarnation: int = 0
    ready: bool = False
    heard: int = 0
    probed: int = 0
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
    """Times that bound what the process may do; 0 means not reached."""

    started: int = 0
    settling_until: int = 0
    stopping_since: int = 0
    recovering: bool = True


@dataclass(slots=True)
class AgentState:
    """Everything that the systems of one agent read and write."""

    config: AgentConfig
    catalog: Catalog
    placement: Placement
    rng: random.Random
    inbox: Inbox
    outbox: Outbox
    counters: Counters
    own: int
    service: int
    limit: int = 0
    table: int = -1
    table_changed: bool = False
    ramp: Ramp = field(default_factory=Ramp)
    ring: deque[int] = field(default_factory=deque)
    disputed: set[int] = field(default_factory=set)
    stored_bytes: int = 0
    last_finished: int = 0
    active: dict[int, None] = field(default_factory=dict)
    rounds: int = 0
    parents: tuple[Address, ...] = ()
    phase: Phase = field(default_factory=Phase)
    work: WorkCount = field(default_factory=WorkCount)
    upstream: UpstreamStatus = field(default_factory=UpstreamStatus)
    claims: ClaimTable = field(default_factory=lambda: ClaimTable(MAX_CLAIMS))
    claiming: ClaimingTable = field(default_factory=lambda: ClaimingTable(MAX_CLAIMING))
    flows: FlowTable = field(default_factory=lambda: FlowTable(MAX_FLOWS))
    requests: RequestTable = field(default_factory=lambda: RequestTable(MAX_REQUESTS))
    queues: QueueTable = field(default_factory=lambda: QueueTable(MAX_CUSTOMERS))
    passed: PassedTable = field(default_factory=lambda: PassedTable(MAX_PASSED))
    peers: PeerTable = field(default_factory=lambda: PeerTable(MAX_PEERS))

    @property
    def record(self) -> UpstreamView | None:
        """The record of the own upstream, or None while it is unknown."""
        return self.catalog.upstream(self.own)

    @property
    def membership(self) -> int:
        """Revision at which the own service's set of upstreams last changed."""
        return self.catalog.membership(self.service)

    @property
    def data_centre_in(self) -> bool:
        """Whether the own data centre is in service."""
        return self.catalog.data_centre_in(name_id("data_centre", self.config.data_centre))

    @property
    def leaving(self) -> bool:
        """Whether the upstream leaves or the agent stops."""
        record = self.record
        return self.phase.stopping_since > 0 or (record is not None and record.leaving)

    def is_upstream_ready(self, now: int) -> bool:
        """Returns whether the upstream gives signs of life and says that it can work."""
        upstream = self.upstream
        return upstream.ready and now - upstream.heard <= STALLED_AFTER

    def follow_table(self, now: int) -> None:
        """Takes over a changed set of upstreams; `table_changed` holds for this tick."""
        self.placement.refresh(now)
        self.table_changed = self.membership != self.table
        self.table = self.membership

    def load(self) -> Load:
        """Returns the load that rides on answers and heartbeats."""
        waiting = self.work.claiming + self.work.queued
        return Load(self.work.running, waiting, self.limit, len(self.flows))

    def next_round(self) -> int:
        """Returns a number that is higher than those of all earlier claims of this upstream."""
        self.rounds += 1
        return ((self.config.incarnation << ROUND_BITS) + self.rounds) & _MASK

    def witnesses(self, key: int) -> tuple[int, ...]:
        """Returns the witnesses of a key of the own service."""
        return self.placement.witnesses(self.service, key)

    def peer_ids(self) -> list[int]:
        """Returns the ids of the service's other upstreams."""
        return [peer for peer in self.catalog.upstreams_of(self.service) if peer != self.own]

    def send_to_peer(self, peer: int, message: Message) -> bool:
        """Sends a message to the agent of an upstream.

        Returns:
            False when the upstream has no record.
        """
        address = self._address_of(peer)
        if address is None:
            return False
        self.outbox.send(address, message)
        return True

    def _address_of(self, peer: int) -> Address | None:
        """Returns an agent's address by its record, or by its last heartbeat without one.

        The upstream of a former table may still hold flows or claims when its record is gone.
        """
        record = self.catalog.upstream(peer)
        if record is not None:
            return record.address
        row = self.peers.row(peer)
        return None if row == MISSING else self.peers.address[row]

    def live_balancer(self, balancer: Address) -> Address:
        """Returns the address to answer to: the balancer, or a parent when it is gone."""
        return balancer

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
