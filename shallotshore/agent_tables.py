"""Tables of the agent: claims kept for peers, own claims, flows, requests, queues and peers."""

__all__ = [
    "ClaimState",
    "ClaimTable",
    "ClaimingState",
    "ClaimingTable",
    "FlowState",
    "FlowTable",
    "HandoverTable",
    "PassedAttemptTable",
    "PeerTable",
    "QueueTable",
    "RequestState",
    "RequestTable",
]

from array import array
from collections import deque
from enum import IntEnum

from shallotshore.agent_messages import Attempt, Forward
from shallotshore.messages import Address, HandedClaim
from shallotshore.tables import Table


class ClaimState(IntEnum):
    """State of a claim or void that a witness keeps for a key."""

    HELD = 1
    RELEASED = 2
    VOIDED = 3
    LOST = 4


class ClaimTable(Table):
    """Claims that this agent keeps as a witness, by key of the flow or request.

    `round` is the `attempt` field of the claim. A holder numbers its claims in rising order, so
    late messages about an earlier claim can be recognized. A repeatable request may have several
    holders: `holder` and `round` are those of the first holder, `further_holders` lists the
    (holder, round) pairs of all further ones. `spare` is 1 for a flow claim received from a
    stopping witness; the claim counts in the holder's heartbeat do not include it. `granted` and
    `expires_at` are times in ms.
    """

    __slots__ = (
        "expires_at",
        "further_holders",
        "granted",
        "holder",
        "incarnation",
        "kind",
        "round",
        "spare",
        "state",
    )

    COLUMNS = {
        "state": "B",
        "kind": "B",
        "spare": "B",
        "holder": "Q",
        "incarnation": "Q",
        "round": "Q",
        "granted": "q",
        "expires_at": "q",
    }
    OBJECT_COLUMNS = {"further_holders": ()}

    state: "array[int]"
    kind: "array[int]"
    spare: "array[int]"
    holder: "array[int]"
    incarnation: "array[int]"
    round: "array[int]"
    granted: "array[int]"
    expires_at: "array[int]"
    further_holders: list[tuple[tuple[int, int], ...]]


class ClaimingState(IntEnum):
    """Progress of a claim that this agent makes."""

    COLLECTING = 1
    BACKING_OFF = 2
    GRANTED = 3
    REFUSED = 4


class ClaimingTable(Table):
    """Claims for which this agent collects grants, by key of the flow or request.

    `witnesses` lists the present witnesses, which the table of upstreams in force gives, and after
    them the former witnesses, which earlier tables gave. `present_count` is the number of present
    witnesses, and `needed_grants` says how many of them must grant the claim. `granted` and
    `refused` are bit sets over `witnesses`. `round` identifies the present round, `round_count`
    counts the rounds so far. `code` and `holder` are those of the refusal that will be reported.
    The other columns are times in ms: `request_started_at` (when the request began at its caller),
    `witnesses_chosen_at`, `next_send_at` (of the next resend or round) and `deadline`.
    """

    __slots__ = (
        "code",
        "deadline",
        "granted",
        "holder",
        "kind",
        "membership",
        "needed_grants",
        "next_send_at",
        "present_count",
        "refused",
        "request_started_at",
        "round",
        "round_count",
        "state",
        "witnesses",
        "witnesses_chosen_at",
    )

    COLUMNS = {
        "state": "B",
        "kind": "B",
        "round_count": "B",
        "present_count": "B",
        "needed_grants": "B",
        "code": "H",
        "round": "Q",
        "holder": "Q",
        "membership": "Q",
        "witnesses_chosen_at": "q",
        "request_started_at": "q",
        "deadline": "q",
        "next_send_at": "q",
        "granted": "L",
        "refused": "L",
    }
    OBJECT_COLUMNS = {"witnesses": ()}

    state: "array[int]"
    kind: "array[int]"
    round_count: "array[int]"
    present_count: "array[int]"
    needed_grants: "array[int]"
    witnesses_chosen_at: "array[int]"
    code: "array[int]"
    round: "array[int]"
    holder: "array[int]"
    membership: "array[int]"
    request_started_at: "array[int]"
    deadline: "array[int]"
    next_send_at: "array[int]"
    granted: "array[int]"
    refused: "array[int]"
    witnesses: list[tuple[int, ...]]


class FlowState(IntEnum):
    """State of a flow at the agent that owns or claims it."""

    CLAIMING = 1
    OPEN = 2
    RECOVERED = 3


class FlowTable(Table):
    """Flows that the local upstream serves or that are being claimed for it.

    Of a RECOVERED flow only the key is known until its next packet names the caller. `waiting`
    holds the packets that arrived while the flow was being claimed. `opened` is the time (ms) at
    which the upstream was asked to open the flow, `touched` the time (ms) of the flow's last
    packet. `witnesses` lists the witnesses of the flow's claim; `votes` is a bit set of the
    witnesses that keep a claim of another holder.
    """

    __slots__ = (
        "balancer",
        "caller",
        "customer",
        "flow",
        "opened",
        "round",
        "state",
        "touched",
        "vip",
        "votes",
        "waiting",
        "witnesses",
    )

    COLUMNS = {
        "state": "B",
        "votes": "B",
        "customer": "Q",
        "flow": "Q",
        "round": "Q",
        "opened": "q",
        "touched": "q",
    }
    OBJECT_COLUMNS = {
        "caller": None,
        "vip": None,
        "balancer": None,
        "waiting": (),
        "witnesses": (),
    }

    state: "array[int]"
    votes: "array[int]"
    customer: "array[int]"
    flow: "array[int]"
    round: "array[int]"
    opened: "array[int]"
    touched: "array[int]"
    caller: list[Address | None]
    vip: list[Address | None]
    balancer: list[Address | None]
    waiting: list[tuple[Forward, ...]]
    witnesses: list[tuple[int, ...]]


class RequestState(IntEnum):
    """State of a request at the agent."""

    CLAIMING = 1
    QUEUED = 2
    RUNNING = 3
    DONE = 4


class RequestTable(Table):
    """Requests that this agent claims, queues or runs, and the stored answers of ended ones.

    `round` is the round number of the request's claim; it identifies the run to the upstream. The
    age and budget in `attempt` are as of the time `accepted_at`. `waiting_attempts` lists the
    (balancer, attempt) pairs that get the answer. `answer` maps part numbers to payloads.
    `was_slow` is 1 once the request has run far longer than usual. `keep_until` is the time (ms) at
    which the claim has expired at all witnesses.
    """

    __slots__ = (
        "accepted_at",
        "answer",
        "attempt",
        "cancelling",
        "checksum",
        "code",
        "customer",
        "deadline",
        "keep_until",
        "next_cancel_at",
        "parts",
        "round",
        "started_at",
        "state",
        "waiting_attempts",
        "was_slow",
    )

    COLUMNS = {
        "state": "B",
        "cancelling": "B",
        "was_slow": "B",
        "code": "H",
        "parts": "L",
        "customer": "Q",
        "round": "Q",
        "checksum": "Q",
        "accepted_at": "q",
        "deadline": "q",
        "started_at": "q",
        "next_cancel_at": "q",
        "keep_until": "q",
    }
    OBJECT_COLUMNS = {"waiting_attempts": (), "attempt": None, "answer": None}

    state: "array[int]"
    cancelling: "array[int]"
    was_slow: "array[int]"
    code: "array[int]"
    parts: "array[int]"
    customer: "array[int]"
    round: "array[int]"
    checksum: "array[int]"
    accepted_at: "array[int]"
    deadline: "array[int]"
    started_at: "array[int]"
    next_cancel_at: "array[int]"
    keep_until: "array[int]"
    waiting_attempts: list[tuple[tuple[Address, int], ...]]
    attempt: list[Attempt | None]
    answer: list[dict[int, bytes] | None]


class QueueTable(Table):
    """Keys of queued requests by customer, with the customer's deficit round robin counter."""

    __slots__ = ("deficit", "waiting")

    COLUMNS = {"deficit": "q"}
    OBJECT_COLUMNS = {"waiting": None}

    deficit: "array[int]"
    waiting: list[deque[int] | None]


class PeerTable(Table):
    """Agents of the same service, by upstream id.

    `held` and `held_digest` are the number and digest of the flow claims that this agent keeps for
    the peer. `claims_at_peer` and `claims_at_peer_digest` are the number and digest of this agent's
    flow claims that the peer keeps. `lease` is the time (ms) until which the claims kept for the
    peer stay in force. While the peer's claim list arrives, `listed` collects the keys in it and
    `parts` the numbers of the received parts. `recovered` is 1 once the peer has sent the claims
    that it keeps for the local upstream. `heard` is the time (ms) of the peer's last heartbeat,
    `asked` the time (ms) at which this agent last asked the peer for its claim list.
    """

    __slots__ = (
        "address",
        "agent_incarnation",
        "asked",
        "claims_at_peer",
        "claims_at_peer_digest",
        "heard",
        "held",
        "held_digest",
        "incarnation",
        "lease",
        "listed",
        "mismatches",
        "parts",
        "recovered",
        "sequence",
        "state",
    )

    COLUMNS = {
        "state": "B",
        "mismatches": "B",
        "recovered": "B",
        "agent_incarnation": "Q",
        "incarnation": "Q",
        "sequence": "Q",
        "held": "L",
        "held_digest": "Q",
        "claims_at_peer": "L",
        "claims_at_peer_digest": "Q",
        "heard": "q",
        "lease": "q",
        "asked": "q",
    }
    OBJECT_COLUMNS = {"address": None, "listed": frozenset(), "parts": frozenset()}

    state: "array[int]"
    mismatches: "array[int]"
    recovered: "array[int]"
    agent_incarnation: "array[int]"
    incarnation: "array[int]"
    sequence: "array[int]"
    held: "array[int]"
    held_digest: "array[int]"
    claims_at_peer: "array[int]"
    claims_at_peer_digest: "array[int]"
    heard: "array[int]"
    lease: "array[int]"
    asked: "array[int]"
    address: list[Address | None]
    listed: list[frozenset[int]]
    parts: list[frozenset[int]]


class HandoverTable(Table):
    """Handovers kept for successors of stopped witnesses, by upstream id.

    `incarnation` is the incarnation of the stopped agent, `successor` that of the first successor
    that asked for the handover. No other process gets it, since a later successor would not know
    what the first one has granted. `claims` maps part numbers to claims.
    """

    __slots__ = (
        "claims",
        "expires_at",
        "incarnation",
        "parts",
        "received_at",
        "successor",
        "uptime",
    )

    COLUMNS = {
        "incarnation": "Q",
        "successor": "Q",
        "parts": "L",
        "uptime": "q",
        "received_at": "q",
        "expires_at": "q",
    }
    OBJECT_COLUMNS = {"claims": None}

    incarnation: "array[int]"
    successor: "array[int]"
    parts: "array[int]"
    uptime: "array[int]"
    received_at: "array[int]"
    expires_at: "array[int]"
    claims: list[dict[int, tuple[HandedClaim, ...]] | None]


class PassedAttemptTable(Table):
    """Attempts that were passed to another upstream or cancelled, by attempt id.

    A cancellation of a passed attempt is forwarded to `upstream`, to which the attempt was passed.
    `upstream` is 0 when the attempt was cancelled before it arrived.
    """

    __slots__ = ("balancer", "expires_at", "upstream")

    COLUMNS = {"upstream": "Q", "expires_at": "q"}
    OBJECT_COLUMNS = {"balancer": None}

    upstream: "array[int]"
    expires_at: "array[int]"
    balancer: list[Address | None]
