"""Messages between balancers and agents: packets of flows, and attempts of requests."""

__all__ = [
    "Attempt",
    "AttemptAnswer",
    "CancelAttempt",
    "Cancelled",
    "Declined",
    "FlowHint",
    "FlowReply",
    "FlowReset",
    "Forward",
]

from dataclasses import dataclass

from shallotshore.messages import Address, Load, Message, PacketKind


@dataclass(slots=True)
class Forward(Message):
    """Carries a caller's packet to the agent whose upstream owns the flow."""

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
    """Carries a packet from an upstream to the caller of a flow."""

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
    """Reports that no candidate named in a `Forward` owns the flow, or that its owner is lost."""

    key: int
    flow: int
    caller: Address
    vip: Address
    upstream: int
    code: int
    revision: int


@dataclass(slots=True)
class FlowHint(Message):
    """Tells a balancer which upstream owns a flow whose packet another agent had to forward."""

    key: int
    upstream: int
    lease: int


@dataclass(slots=True)
class Attempt(Message):
    """Asks an agent to run a request; `attempt` is unique among the attempts of all balancers."""

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
    """Carries one part of the answer to an attempt."""

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
    """Refuses an attempt that the agent of `upstream` has not started; `code` says why."""

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
    """Answers a `CancelAttempt`; `in_time` is true if the upstream had not started the request."""

    key: int
    attempt: int
    upstream: int
    in_time: bool
