"""Base types of the typed messages between callers, balancers, agents, upstreams and the platform.

Messages are plain data without encoding. Durations are milliseconds; ids and keys are unsigned
64-bit numbers made by `shallotshore.hashing`. The messages themselves are in `caller_messages`,
`agent_messages`, `claim_messages`, `control_messages` and `upstream_messages`.
"""

__all__ = [
    "Address",
    "ClaimKind",
    "Entry",
    "HandedClaim",
    "HealthState",
    "Load",
    "Message",
    "PacketKind",
    "Source",
]

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
    """The read-only service of the platform from which a revision comes."""

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
    """One key of the configuration or VM list at a revision; an empty `text` deletes the key."""

    key: str
    revision: int
    text: bytes


class HandedClaim(NamedTuple):
    """A request claim or void that a stopping witness hands over to its successor."""

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
