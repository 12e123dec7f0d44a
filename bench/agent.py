"""Measures memory, processor time and control messages of an agent with many flows and claims."""

__all__ = ["run"]

import random
import time
import tracemalloc
from functools import singledispatchmethod

from shallotshore import codec
from shallotshore.agent import AgentConfig, AgentCore
from shallotshore.agent_messages import Forward
from shallotshore.catalog import Catalog
from shallotshore.claim_messages import Claim, ClaimReply, ClaimSync
from shallotshore.codes import Code
from shallotshore.hashing import flow_key, name_id
from shallotshore.membership import Membership
from shallotshore.messages import Address, ClaimKind, Entry, Message, PacketKind
from shallotshore.records import (
    Binding,
    Customer,
    DataCentre,
    Record,
    Service,
    Upstream,
    encode_record,
    key_of_record,
)
from shallotshore.upstream_messages import UpstreamHealth, UpstreamOpen, UpstreamProbe

FLOW_COUNT = 2_000
SERVICE_UPSTREAM_COUNT = 18  # 150,000 upstreams / 8,100 services
# Claims that one agent keeps for its peers: 490 M flows x 4 claims at peers / 150,000 agents. Each
# flow has five claims, four of them at peers.
PEER_CLAIM_COUNT = 13_000
_TICK_MS = 20
_OPENINGS_PER_TICK = 20
_START_UP_MS = 4_000
_VIP = ("10.9.0.1", 443)
_BALANCER_ADDRESS = ("10.1.0.1", 7000)
_UPSTREAM_ADDRESS = ("127.0.0.1", 7200)
_LEASE_MS = 600_000
_IDLE_TICKS = 500


def _agent_address(number: int) -> Address:
    return (f"10.2.0.{number}", 7100)


def _build_upstream(number: int) -> Upstream:
    return Upstream(
        f"desk-{number}", "spotdesk", f"dc-{number % 3}", _agent_address(number), cold_limit=1_000
    )


def _build_records() -> list[Record]:
    centres = [DataCentre(f"dc-{number}", "suva") for number in range(3)]
    customer = Customer("acme", 1, (Binding("spotdesk", _VIP),))
    return [
        Service("spotdesk"),
        customer,
        *centres,
        *(_build_upstream(n) for n in range(SERVICE_UPSTREAM_COUNT)),
    ]


class _AgentHarness:
    """Runs one agent, answers its upstream probes and claims, and counts its claim syncs."""

    __slots__ = ("core", "now", "sync_bytes", "sync_count")

    def __init__(self) -> None:
        config = AgentConfig(
            _agent_address(0), "dc-0", "desk-0", "spotdesk", _UPSTREAM_ADDRESS, incarnation=1
        )
        catalog = Catalog.from_records(1, _build_records())
        self.core = AgentCore(config, random.Random(1), catalog, Membership())
        self.now = 1_000
        self.sync_count = 0
        self.sync_bytes = 0

    def run(self, milliseconds: int) -> None:
        """Advances the virtual clock by a time in ms, tick by tick."""
        for _ in range(milliseconds // _TICK_MS):
            self.tick()

    def tick(self) -> None:
        """Runs one tick of the agent and answers the messages that it sent."""
        self.now += _TICK_MS
        self.core.tick(self.now)
        for destination, message in self.core.outbox.drain():
            self.handle_message(message, destination)

    @singledispatchmethod
    def handle_message(self, message: Message, destination: Address) -> None:
        """Answers a message as its destination would; most messages need no answer."""

    @handle_message.register
    def _(self, message: UpstreamProbe, destination: Address) -> None:
        health = UpstreamHealth(1, message.sequence, True, 0, 0)
        self.core.receive(destination, health)

    @handle_message.register
    def _(self, message: Claim, destination: Address) -> None:
        witness = name_id("upstream", f"desk-{destination[0].rpartition('.')[2]}")
        reply = ClaimReply(message.key, message.attempt, witness, Code.OK, message.holder)
        self.core.receive(destination, reply)

    @handle_message.register
    def _(self, message: ClaimSync, destination: Address) -> None:
        self.sync_count += 1
        self.sync_bytes += len(codec.encode(message))


def _build_opening(number: int) -> Forward:
    caller = (f"10.8.{number >> 8}.{number & 255}", 5000)
    own_id = name_id("upstream", "desk-0")
    return Forward(
        flow_key(caller, _VIP, number),
        PacketKind.OPEN,
        name_id("service", "spotdesk"),
        name_id("customer", "acme"),
        number,
        caller,
        _VIP,
        _BALANCER_ADDRESS,
        (own_id,),
        0,
        1,
        b"",
    )


def _open_flows(harness: _AgentHarness) -> int:
    opened = 0
    for start in range(0, FLOW_COUNT, _OPENINGS_PER_TICK):
        for number in range(start, start + _OPENINGS_PER_TICK):
            harness.core.receive(_BALANCER_ADDRESS, _build_opening(number))
        harness.core.tick(harness.now)
        for destination, message in harness.core.outbox.drain():
            opened += isinstance(message, UpstreamOpen)
            harness.handle_message(message, destination)
        harness.tick()
    harness.run(1_000)
    return opened


def _receive_claims(harness: _AgentHarness) -> None:
    rng = random.Random(2)
    service = name_id("service", "spotdesk")
    for number in range(PEER_CLAIM_COUNT):
        holder = 1 + number % (SERVICE_UPSTREAM_COUNT - 1)
        claim = Claim(
            rng.getrandbits(64),
            ClaimKind.FLOW,
            service,
            name_id("upstream", f"desk-{holder}"),
            1,
            rng.getrandbits(32),
            0,
            _LEASE_MS,
            1,
        )
        harness.core.receive(_agent_address(holder), claim)
        if number % 500 == 0:
            harness.tick()
    harness.tick()


def _measure_idle_share(harness: _AgentHarness) -> float:
    """Returns the share of one processor core that ticks without new messages use."""
    start = time.process_time()
    harness.run(_IDLE_TICKS * _TICK_MS)
    return (time.process_time() - start) / (_IDLE_TICKS * _TICK_MS / 1000)


def _add_upstream(harness: _AgentHarness) -> None:
    added = _build_upstream(SERVICE_UPSTREAM_COUNT)
    entry = Entry(key_of_record(added), 2, encode_record(added))
    harness.core.state.catalog.apply_revision(2, (entry,))
    harness.run(3_000)


def _traced_bytes() -> int:
    return tracemalloc.get_traced_memory()[0]


def run() -> dict[str, float]:
    """Measures an agent that opens flows, keeps claims of peers, idles and learns a new upstream.

    Returns:
        Figures by name: counts, bytes, and shares of one processor core.
    """
    harness = _AgentHarness()
    harness.run(_START_UP_MS)
    empty_share = _measure_idle_share(harness)
    tracemalloc.start()
    bytes_before = _traced_bytes()
    _open_flows(harness)
    bytes_after_flows = _traced_bytes()
    _receive_claims(harness)
    bytes_after_claims = _traced_bytes()
    tracemalloc.stop()
    claims = len(harness.core.state.claims)
    flows = len(harness.core.state.flows)
    loaded_share = _measure_idle_share(harness)
    harness.sync_count = harness.sync_bytes = 0
    _add_upstream(harness)
    return {
        "flows": flows,
        "claims_kept": claims,
        "bytes_per_flow": (bytes_after_flows - bytes_before) / max(1, flows),
        "bytes_per_claim": (bytes_after_claims - bytes_after_flows) / PEER_CLAIM_COUNT,
        "core_share_idle_empty": empty_share,
        "core_share_idle_loaded": loaded_share,
        "sync_messages_per_table_change": harness.sync_count,
        "sync_bytes_per_table_change": harness.sync_bytes,
    }
