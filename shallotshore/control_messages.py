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

    `claims` and `claims_digest` are the number and digest of the upstream's flow claims that the
    receiver should keep as a witness; both are 0 if the receiver should keep none.
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
    """Reports a change of an upstream's state; balancers relay the message to every balancer."""

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
    """Requests the entries above revision `after`: a service's slice, or all for service 0."""

    source: Source
    after: int
    service: int


@dataclass(slots=True)
class Delta(Message):
    """Carries one part of the entries that lead from revision `base` to the higher `revision`."""

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
    """Carries the entries above the requested revision; a `code` other than OK is a failure.

    `era` is the era of the service's store, which rises when the store is restored from a copy.
    `SERVICE_STALE` with an era above 0 refuses a watch from a revision that the store lacks.
    """

    source: Source
    code: int
    base: int
    revision: int
    entries: tuple[Entry, ...]
    era: int = 0


@dataclass(slots=True)
class StatusRequest(Message):
    """Requests the status report of a process."""

    detail: int


@dataclass(slots=True)
class StatusReply(Message):
    """Carries a status report as JSON text."""

    text: bytes
