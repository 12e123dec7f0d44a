"""Typed messages between callers, balancers, agents, upstreams and the platform.

Messages are plain data without encoding. Durations are milliseconds; ids and keys are unsigned
64-bit numbers made by `shallotshore.hashing`.
"""

__all__ = [
    "Address",
    "Attempt",
    "AttemptAnswer",
    "CallerAnswer",
    "CallerCancel",
    "CallerClose",
    "CallerData",
    "CallerOpen",
    "CallerRequest",
    "CallerReset",
    "CancelAttempt",
    "Cancelled",
    "Claim",
    "ClaimKind",
    "ClaimQuery",
    "ClaimReply",
    "ClaimSync",
    "Declined",
    "Delta",
    "DeltaRequest",
    "Entry",
    "FabricPacket",
    "FlowHint",
    "FlowReply",
    "FlowReset",
    "Forward",
    "HandedClaim",
    "Handover",
    "HandoverQuery",
    "HandoverReceived",
    "HealthEvent",
    "HealthState",
    "Heartbeat",
    "Load",
    "Message",
    "PacketKind",
    "PlatformRead",
    "PlatformReply",
    "Release",
    "RevisionNotice",
    "RevisionOffer",
    "Source",
    "StatusReply",
    "StatusRequest",
    "UpstreamAnswer",
    "UpstreamCancel",
    "UpstreamClose",
    "UpstreamData",
    "UpstreamHealth",
    "UpstreamOpen",
    "UpstreamProbe",
    "UpstreamRequest",
    "Void",
    "VoidReply",
]

from dataclasses import dataclass
from enum import IntEnum
from typing import NamedTuple, TypeAlias

Address: TypeAlias = tuple[str, int]


class PacketKind(IntEnum):
    """What a forwarded packet does to its flow."""

    OPEN = 1
    DATA = 2
    CLOSE = 3


class ClaimKind(IntEnum):
    """What a claim protects."""

    FLOW = 1
    REQUEST = 2
    REPEATABLE_REQUEST = 3


class Source(IntEnum):
    """Which of the platform's read-only services a revision comes from."""

    CONFIGURATION = 1
    VM_LIST = 2


class HealthState(IntEnum):
    """State of an upstream as published by its agent or by a watching balancer."""

    UP = 1
    COLD = 2
    LEAVING = 3
    STALLED = 4
    DOWN = 5


class Load(NamedTuple):
    """Load of one upstream as its agent counts it."""

    running: int
    queued: int
    limit: int
    connections: int


class Entry(NamedTuple):
    """One key of the configuration at a revision; an empty text is a deletion."""

    key: str
    revision: int
    text: bytes


class HandedClaim(NamedTuple):
    """A request claim or void that a stopping witness hands to its successor."""

    key: int
    kind: ClaimKind
    voided: bool
    holder: int
    incarnation: int
    attempt: int
    lease: int


class Message:
    """Base of all messages."""

    __slots__ = ()


# Callers and balancers.


@dataclass(slots=True)
class CallerOpen(Message):
    """Caller opens a flow; resent until data or a reset arrives."""

    flow: int
    payload: bytes


@dataclass(slots=True)
class CallerData(Message):
    """A packet of an open flow, in either direction."""

    flow: int
    payload: bytes


@dataclass(slots=True)
class CallerClose(Message):
    """Caller ends a flow."""

    flow: int


@dataclass(slots=True)
class CallerReset(Message):
    """The flow does not exist any more; the caller may open a new one."""

    flow: int
    code: int


@dataclass(slots=True)
class CallerRequest(Message):
    """A one-off request; a resend carries the same 16-byte id and a higher age."""

    request: bytes
    repeatable: bool
    age: int
    budget: int
    payload: bytes


@dataclass(slots=True)
class CallerCancel(Message):
    """Caller no longer wants the answer."""

    request: bytes


@dataclass(slots=True)
class CallerAnswer(Message):
    """One part of the answer to a request, with the checksum of the whole payload."""

    request: bytes
    outcome: int
    code: int
    part: int
    parts: int
    checksum: int
    payload: bytes


# Fabric and balancers.


@dataclass(slots=True)
class FabricPacket(Message):
    """A caller's datagram or the answer to it, with both outer addresses."""

    caller: Address
    vip: Address
    payload: Message


# Balancers and agents: flows.


@dataclass(slots=True)
class Forward(Message):
    """A caller's packet on its way to the owner of the flow."""

    key: int
    kind: PacketKind
    service: int
    customer: int
    flow: int
    caller: Address
    vip: Address
    balancer: Address
    candidates: tuple[int, ...]
    hops: int
    revision: int
    payload: bytes


@dataclass(slots=True)
class FlowReply(Message):
    """A packet from an upstream to the caller of a flow."""

    key: int
    service: int
    customer: int
    flow: int
    caller: Address
    vip: Address
    upstream: int
    load: Load
    payload: bytes


@dataclass(slots=True)
class FlowReset(Message):
    """No candidate named in a `Forward` owns the flow, or its owner is lost."""

    key: int
    flow: int
    caller: Address
    vip: Address
    upstream: int
    code: int
    revision: int


@dataclass(slots=True)
class FlowHint(Message):
    """Tells a balancer which upstream owns a flow that took an extra hop."""

    key: int
    upstream: int
    lease: int


# Balancers and agents: requests.


@dataclass(slots=True)
class Attempt(Message):
    """One attempt to run a request; `attempt` is unique for each try of each balancer."""

    key: int
    attempt: int
    service: int
    customer: int
    repeatable: bool
    age: int
    budget: int
    caller: Address
    vip: Address
    balancer: Address
    candidates: tuple[int, ...]
    hops: int
    revision: int
    payload: bytes


@dataclass(slots=True)
class AttemptAnswer(Message):
    """One part of the answer to an attempt."""

    key: int
    attempt: int
    service: int
    customer: int
    upstream: int
    code: int
    part: int
    parts: int
    checksum: int
    load: Load
    payload: bytes


@dataclass(slots=True)
class Declined(Message):
    """The attempt was refused before start by the upstream named; `code` says why."""

    key: int
    attempt: int
    upstream: int
    code: int
    load: Load
    revision: int


@dataclass(slots=True)
class CancelAttempt(Message):
    """Asks the agent to stop an attempt."""

    key: int
    attempt: int


@dataclass(slots=True)
class Cancelled(Message):
    """Answer to `CancelAttempt`; `in_time` only when the upstream had not started."""

    key: int
    attempt: int
    upstream: int
    in_time: bool


# Claims.


@dataclass(slots=True)
class Claim(Message):
    """Asks a witness to record that `holder` owns a key."""

    key: int
    kind: ClaimKind
    service: int
    holder: int
    incarnation: int
    attempt: int
    age: int
    lease: int
    membership: int


@dataclass(slots=True)
class ClaimReply(Message):
    """A witness's verdict on a claim: code OK grants, HELD names the present holder."""

    key: int
    attempt: int
    witness: int
    code: int
    holder: int


@dataclass(slots=True)
class Release(Message):
    """The holder gives a claim back without having started anything under it, or has ended it."""

    key: int
    holder: int
    attempt: int


@dataclass(slots=True)
class ClaimSync(Message):
    """A holder's flow claims, sent to a witness that is new or lacks them."""

    service: int
    holder: int
    incarnation: int
    lease: int
    part: int
    parts: int
    keys: tuple[int, ...]


@dataclass(slots=True)
class ClaimQuery(Message):
    """A restarted agent asks a witness for the flow claims that its upstream holds."""

    service: int
    holder: int
    incarnation: int


@dataclass(slots=True)
class Void(Message):
    """Asks a witness to refuse every later claim of a request's key."""

    key: int
    attempt: int
    service: int
    age: int
    lease: int
    membership: int


@dataclass(slots=True)
class VoidReply(Message):
    """A witness's verdict on a void: code OK grants, HELD says that an attempt has a claim."""

    key: int
    attempt: int
    witness: int
    code: int


@dataclass(slots=True)
class Handover(Message):
    """What a stopping witness knows of requests, kept by another agent for its successor.

    `uptime` says for how long the witness had vouched, `taker` is the incarnation of the successor
    it is meant for; 0 on the way to the keeper.
    """

    service: int
    owner: int
    incarnation: int
    taker: int
    uptime: int
    part: int
    parts: int
    claims: tuple[HandedClaim, ...]


@dataclass(slots=True)
class HandoverReceived(Message):
    """A keeper has a part of a handover."""

    service: int
    owner: int
    incarnation: int
    part: int


@dataclass(slots=True)
class HandoverQuery(Message):
    """A started agent asks for the handover of its predecessor; `incarnation` is its own."""

    service: int
    owner: int
    incarnation: int


# Membership, health and load.


@dataclass(slots=True)
class Heartbeat(Message):
    """An agent's word on its upstream and on the flow claims it holds at the receiver."""

    upstream: int
    service: int
    agent_incarnation: int
    incarnation: int
    sequence: int
    state: HealthState
    load: Load
    revision: int
    claims: int
    claims_digest: int


@dataclass(slots=True)
class HealthEvent(Message):
    """A change of an upstream's state, relayed to every balancer."""

    upstream: int
    incarnation: int
    sequence: int
    state: HealthState


# Configuration.


@dataclass(slots=True)
class RevisionNotice(Message):
    """Tells a peer that a higher revision exists."""

    revision: int


@dataclass(slots=True)
class RevisionOffer(Message):
    """A peer's revision and digest; a mismatch starts a repair."""

    source: Source
    revision: int
    digest: int
    service: int


@dataclass(slots=True)
class DeltaRequest(Message):
    """Asks for all entries above a revision; service 0 asks for all records, else for one slice."""

    source: Source
    after: int
    service: int


@dataclass(slots=True)
class Delta(Message):
    """Entries that lead from one revision to a higher one."""

    source: Source
    base: int
    revision: int
    service: int
    part: int
    parts: int
    entries: tuple[Entry, ...]


# Platform.


@dataclass(slots=True)
class PlatformRead(Message):
    """Reads a platform service; with `wait` above 0 ms it is a watch."""

    source: Source
    after: int
    wait: int


@dataclass(slots=True)
class PlatformReply(Message):
    """Entries above the revision asked for; `code` other than OK is a failure."""

    source: Source
    code: int
    base: int
    revision: int
    entries: tuple[Entry, ...]


# Operators.


@dataclass(slots=True)
class StatusRequest(Message):
    """Asks a process for its status report."""

    detail: int


@dataclass(slots=True)
class StatusReply(Message):
    """A status report as JSON text."""

    text: bytes


# Agents and their upstreams.


@dataclass(slots=True)
class UpstreamProbe(Message):
    """Agent asks its upstream for `UpstreamHealth`."""

    sequence: int


@dataclass(slots=True)
class UpstreamHealth(Message):
    """The upstream's own word; it may lag or mislead."""

    incarnation: int
    sequence: int
    ready: bool
    running: int
    connections: int


@dataclass(slots=True)
class UpstreamOpen(Message):
    """Agent opens a flow at its upstream."""

    key: int
    customer: int
    payload: bytes


@dataclass(slots=True)
class UpstreamData(Message):
    """A packet of an open flow, in either direction."""

    key: int
    customer: int
    payload: bytes


@dataclass(slots=True)
class UpstreamClose(Message):
    """Either side ends a flow; `code` says why."""

    key: int
    code: int


@dataclass(slots=True)
class UpstreamRequest(Message):
    """Agent hands a request to its upstream."""

    key: int
    attempt: int
    customer: int
    budget: int
    payload: bytes


@dataclass(slots=True)
class UpstreamCancel(Message):
    """Agent asks its upstream to stop a request."""

    key: int
    attempt: int


@dataclass(slots=True)
class UpstreamAnswer(Message):
    """One part of an upstream's answer; a code other than OK says that the request failed.

    OVERLOADED and CANCELLED from an upstream say that the request was not started.
    """

    key: int
    attempt: int
    customer: int
    incarnation: int
    code: int
    part: int
    parts: int
    checksum: int
    payload: bytes
