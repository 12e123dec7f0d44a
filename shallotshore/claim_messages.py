"""Messages between agents: claims, voids and handover."""

__all__ = [
    "Claim",
    "ClaimQuery",
    "ClaimReply",
    "ClaimSync",
    "Handover",
    "HandoverQuery",
    "HandoverReceived",
    "Release",
    "Void",
    "VoidReply",
]

from dataclasses import dataclass

from shallotshore.messages import ClaimKind, HandedClaim, Message


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
