"""Messages about membership, health, configuration, the platform and status."""

__all__ = [
    "Delta",
    "DeltaRequest",
    "HealthEvent",
    "Heartbeat",
    "PlatformRead",
    "PlatformReply",
    "RevisionNotice",
    "RevisionOffer",
    "StatusReply",
    "StatusRequest",
]

from dataclasses import dataclass

from shallotshore.messages import Entry, HealthState, Load, Message, Source


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


@dataclass(slots=True)
class StatusRequest(Message):
    """Asks a process for its status report."""

    detail: int


@dataclass(slots=True)
class StatusReply(Message):
    """A status report as JSON text."""

    text: bytes
