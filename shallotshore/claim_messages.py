"""Messages about claims, voids and handovers, to and from the agents that act as witnesses."""

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
    """Asks a witness to reserve the key of a flow or request for `holder`.

    `attempt` is the number of the claim's round. `age` is the time (ms) since the request began at
    its caller, 0 for a flow. `lease` is how long (ms) the witness keeps the claim unless the
    holder renews it. `membership` is the revision of the claimant's table of upstreams.
    """

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
    """A witness grants a claim (code OK) or refuses it; with HELD it names the present holder."""

    key: int
    attempt: int
    witness: int
    code: int
    holder: int


@dataclass(slots=True)
class Release(Message):
    """The holder gives up a claim: its flow or request was never started, or has ended."""

    key: int
    holder: int
    attempt: int


@dataclass(slots=True)
class ClaimSync(Message):
    """One part of a list of a holder's flow claims, sent to a witness that may lack some of them.

    A witness also sends such a list to a restarted holder that asks for its own claims.
    """

    service: int
    holder: int
    incarnation: int
    lease: int
    part: int
    parts: int
    keys: tuple[int, ...]


@dataclass(slots=True)
class ClaimQuery(Message):
    """Asks for the list of a holder's flow claims.

    A restarted holder sends this message to its witnesses. A witness sends it to the holder when
    its count or digest of the holder's claims differs from that in the holder's heartbeat.
    """

    service: int
    holder: int
    incarnation: int


@dataclass(slots=True)
class Void(Message):
    """Asks a witness to refuse all later claims of a request's key."""

    key: int
    attempt: int
    service: int
    age: int
    lease: int
    membership: int


@dataclass(slots=True)
class VoidReply(Message):
    """A witness grants a void (code OK) or refuses it; HELD means that the key was claimed."""

    key: int
    attempt: int
    witness: int
    code: int


@dataclass(slots=True)
class Handover(Message):
    """One part of the request claims and voids of a stopping witness, for its successor.

    The successor is the process that next runs as the agent of the same upstream, `owner`. Another
    agent, the recipient, stores the part until the successor asks for it. `uptime` is how long (ms)
    the witness has known every grant it made. `taker` is the incarnation of the successor that the
    part is sent to, or 0 while the part is sent to the recipient.
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
    """The recipient confirms that it has stored a part of a handover."""

    service: int
    owner: int
    incarnation: int
    part: int


@dataclass(slots=True)
class HandoverQuery(Message):
    """An agent that has just started asks its peers for its predecessor's handover.

    `incarnation` is the incarnation of the asking agent.
    """

    service: int
    owner: int
    incarnation: int
