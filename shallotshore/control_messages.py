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
    """Reports the state of an agent's upstream.

    `claims` and `claims_digest` are number and digest of its flow claims that the receiver should
    keep; both are 0 if it should keep none.
    """

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
    """Reports a change of an upstream's state; relayed to every balancer."""

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
    """Reports the sender's revision and digest.

    A receiver whose digest differs at the same revision starts a repair.
    """

    source: Source
    revision: int
    digest: int
    service: int


@dataclass(slots=True)
class DeltaRequest(Message):
    """Requests the entries above a revision: of all records (service 0) or of a service's slice."""

    source: Source
    after: int
    service: int


@dataclass(slots=True)
class Delta(Message):
    """Carries one part of the entries that lead from revision `base` to a higher one."""

    source: Source
    base: int
    revision: int
    service: int
    part: int
    parts: int
    entries: tuple[Entry, ...]


@dataclass(slots=True)
class PlatformRead(Message):
    """Reads a platform service; a `wait` above 0 ms makes it a watch."""

    source: Source
    after: int
    wait: int


@dataclass(slots=True)
class PlatformReply(Message):
    """Carries the entries above the requested revision; a `code` other than OK is a failure."""

    source: Source
    code: int
    base: int
    revision: int
    entries: tuple[Entry, ...]


@dataclass(slots=True)
class StatusRequest(Message):
    """Requests the status report of a process."""

    detail: int


@dataclass(slots=True)
class StatusReply(Message):
    """Carries a status report as JSON text."""

    text: bytes
