"""Witness side of claims: grants and refuses claims and voids, and keeps the claims of peers.

A claim reserves the key of a flow or request for one holder. A void forbids all later claims of a
request's key. A claim or void is in force when a quorum of the key's witnesses has granted it.
"""

__all__ = [
    "FLOW_LEASE_MS",
    "MAX_PACKET_DELAY_MS",
    "REQUEST_LEASE_MS",
    "ClaimsSystem",
    "apply_release",
    "decide_claim",
    "find_claim_holder",
    "find_flow_claims",
    "is_voided",
    "list_claims_to_hand_over",
    "mark_flow_claims_lost",
    "record_handed_claim",
    "record_listed_flow_claim",
    "remove_flow_claim",
]

from collections.abc import Container
from functools import singledispatch

from shallotshore.agent_state import ROUND_BITS, AgentState
from shallotshore.agent_tables import ClaimState, ClaimTable, FlowState
from shallotshore.claim_messages import Claim, ClaimReply, Release, Void, VoidReply
from shallotshore.codes import Code
from shallotshore.cursor import Cursor
from shallotshore.messages import Address, ClaimKind, HandedClaim, Message
from shallotshore.tables import MISSING

MAX_PACKET_DELAY_MS = 2_000  # the greatest delay of a packet that the design allows for
REQUEST_LEASE_MS = 14_000  # the longest lifetime of a request plus twice the packet delay
FLOW_LEASE_MS = 30_000  # the holder's heartbeats renew the lease
# A released key is remembered for this time, after which no copy of its claim can still arrive.
TOMBSTONE_LEASE_MS = 2 * MAX_PACKET_DELAY_MS
# Holders of a repeatable request besides the first; each holder runs one attempt of a balancer.
MAX_HOLDERS_PER_KEY = 8
SWEPT_ROWS_PER_TICK = 16  # number of rows checked for expired claims in a tick


class ClaimsSystem:
    """Replies to claims and voids, applies releases and removes expired claims."""

    __slots__ = ("_cursor", "_state")

    def __init__(self, state: AgentState) -> None:
        self._state = state
        self._cursor = Cursor()

    def run(self, now: int) -> None:
        """Runs this system in the tick at `now` (ms)."""
        for message_type in (Claim, Void, Release):
            for source, message in self._state.inbox.take(message_type):
                _handle(message, self._state, source, now)
        claims = self._state.claims
        for row in self._cursor.take(claims, SWEPT_ROWS_PER_TICK):
            _expire_claim(self._state, claims.key[row], now)


@singledispatch
def _handle(message: Message, state: AgentState, source: Address, now: int) -> None:
    raise TypeError(f"no handler for a message of type {type(message).__name__}")


@_handle.register
def _(message: Claim, state: AgentState, source: Address, now: int) -> None:
    reply = decide_claim(state, message, now)
    if reply is not None:
        state.outbox.send(source, reply)


@_handle.register
def _(message: Release, state: AgentState, source: Address, now: int) -> None:
    apply_release(state, message, now)


@_handle.register
def _(message: Void, state: AgentState, source: Address, now: int) -> None:
    if message.service != state.service:
        state.counters.add("claims_of_wrong_service")
        return
    if state.phase.is_handing_over:
        return
    code = _decide_void(state, message, now)
    if code == Code.OK:
        code = _record_void(state, message, now)
    state.outbox.send(source, VoidReply(message.key, message.attempt, state.own_id, code))


def decide_claim(state: AgentState, claim: Claim, now: int) -> ClaimReply | None:
    """Grants or refuses a claim, and records a granted one.

    Args:
        state: State of the witness.
        claim: The claim.
        now: Monotonic time in milliseconds.

    Returns:
        The reply to the claimant. None when no reply is due: for a late copy of an earlier claim,
        for a claim of another service, and after this witness has begun its handover.
    """
    if claim.service != state.service:
        state.counters.add("claims_of_wrong_service")
        return None
    if state.phase.is_handing_over:
        return None
    if claim.holder != state.own_id and _owns_flow(state, claim.key):
        return ClaimReply(claim.key, claim.attempt, state.own_id, Code.HELD, state.own_id)
    _expire_claim(state, claim.key, now)
    row = state.claims.row(claim.key)
    code = _decide_unopposed_claim(state, claim, now) if row == MISSING else None
    if code is None:
        code = _decide_recorded_claim(state, claim, row, now)
    if code is None:
        state.counters.add("claims_late")
        return None
    if code == Code.OK:
        code = _record_claim(state, claim, now)
    holder = claim.holder if code == Code.OK or row == MISSING else state.claims.holder[row]
    state.counters.add("claims_granted" if code == Code.OK else "claims_refused")
    return ClaimReply(claim.key, claim.attempt, state.own_id, code, holder)


def apply_release(state: AgentState, release: Release, now: int) -> None:
    """Applies a release that a holder has sent.

    The row of the claim stays as a tombstone, so that a late copy of the claim isn't granted again.
    """
    claims = state.claims
    row = claims.row(release.key)
    if row == MISSING:
        row = claims.add(release.key)
        if row != MISSING:
            _record_release(claims, row, release, now)
        return
    if claims.state[row] not in (ClaimState.HELD, ClaimState.LOST):
        return
    if _remove_holder(claims, row, release):
        return
    if claims.holder[row] != release.holder or release.attempt < claims.round[row]:
        return
    is_request = claims.kind[row] != ClaimKind.FLOW
    if is_request and release.attempt >> ROUND_BITS != claims.round[row] >> ROUND_BITS:
        # Ignores the release of a request claim by a restarted agent: the agent does not know
        # whether its predecessor started the request. A release of a flow claim is applied, since
        # a restarted agent recovers its flows from its peers.
        return
    _remove_claim(state, release.key)
    row = claims.add(release.key)
    _record_release(claims, row, release, now)


def find_claim_holder(state: AgentState, key: int, now: int) -> tuple[ClaimState, int] | None:
    """Returns the state (HELD or LOST) and holder of a key's claim at this witness, or None."""
    _expire_claim(state, key, now)
    row = state.claims.row(key)
    if row == MISSING or state.claims.state[row] not in (ClaimState.HELD, ClaimState.LOST):
        return None
    return ClaimState(state.claims.state[row]), state.claims.holder[row]


def is_voided(state: AgentState, key: int, now: int) -> bool:
    """Returns whether this witness has granted a void of the key that is still in force."""
    _expire_claim(state, key, now)
    row = state.claims.row(key)
    return row != MISSING and state.claims.state[row] == ClaimState.VOIDED


def find_flow_claims(state: AgentState, holder: int) -> list[int]:
    """Returns the keys of the flow claims that this witness keeps for a holder."""
    return list(state.flow_keys_by_holder.get(holder, ()))


def mark_flow_claims_lost(
    state: AgentState, holder: int, incarnation: int, now: int, served_keys: Container[int] = ()
) -> None:
    """Marks the flow claims of earlier incarnations of the holder's upstream as lost.

    Args:
        state: State of the witness.
        holder: Id of the upstream.
        incarnation: Present incarnation of the upstream.
        now: Monotonic time in milliseconds.
        served_keys: Keys of flows that this incarnation still serves; their claims move to it.
    """
    for key in find_flow_claims(state, holder):
        row = state.claims.row(key)
        if key in served_keys:
            state.claims.incarnation[row] = max(state.claims.incarnation[row], incarnation)
        elif state.claims.incarnation[row] < incarnation:
            _update_holder_counts(state, row, -1)
            state.claims.state[row] = ClaimState.LOST
            state.claims.expires_at[row] = now + FLOW_LEASE_MS


def record_listed_flow_claim(
    state: AgentState, claim: Claim, now: int, spare: bool = False
) -> Code:
    """Records a flow claim that a `ClaimSync` lists; an existing claim of another holder stays.

    Args:
        state: State of the witness.
        claim: The claim, built from the list.
        now: Monotonic time in milliseconds.
        spare: Whether the list was sent by a stopping witness instead of the holder.

    Returns:
        OK when the claim is recorded or need not be recorded, HELD when another holder has the key,
        or TABLE_FULL.
    """
    claims = state.claims
    row = claims.row(claim.key)
    key_state = ClaimState(claims.state[row]) if row != MISSING else ClaimState.LOST
    is_same_holder = row != MISSING and claims.holder[row] == claim.holder
    if key_state == ClaimState.HELD and not is_same_holder:
        return Code.HELD
    if key_state == ClaimState.HELD and (spare or not claims.spare[row]):
        return Code.OK
    if key_state == ClaimState.RELEASED and is_same_holder:
        return Code.OK  # the holder sent the list before it released the flow
    code = _record_claim(state, claim, now)
    if code == Code.OK and spare:
        row = claims.row(claim.key)
        _update_holder_counts(state, row, -1)
        claims.spare[row] = 1
        _update_holder_counts(state, row, 1)
    return code


def list_claims_to_hand_over(state: AgentState, now: int) -> list[HandedClaim]:
    """Returns the unexpired request claims and voids of this witness, for its successor."""
    claims = state.claims
    handed = []
    for row in claims.rows():
        is_void = claims.state[row] == ClaimState.VOIDED
        is_held = claims.state[row] == ClaimState.HELD and claims.kind[row] != ClaimKind.FLOW
        remaining_ms = claims.expires_at[row] - now
        if remaining_ms <= 0 or not (is_void or is_held):
            continue
        kind = ClaimKind(claims.kind[row] or ClaimKind.REQUEST)
        holders = ((claims.holder[row], claims.round[row]), *claims.further_holders[row])
        for holder, round_number in holders:
            key, incarnation = claims.key[row], claims.incarnation[row]
            handed.append(
                HandedClaim(key, kind, is_void, holder, incarnation, round_number, remaining_ms)
            )
    return handed


def record_handed_claim(state: AgentState, handed: HandedClaim, now: int) -> None:
    """Records a request claim or void that the predecessor of this process had granted."""
    if handed.voided:
        _record_void(state, Void(handed.key, 0, state.service, 0, handed.lease, 0), now)
        return
    claim = Claim(
        key=handed.key,
        kind=handed.kind,
        service=state.service,
        holder=handed.holder,
        incarnation=handed.incarnation,
        attempt=handed.attempt,
        age=0,
        lease=handed.lease,
        membership=0,
    )
    row = state.claims.row(handed.key)
    if row == MISSING or state.claims.state[row] == ClaimState.HELD:
        _record_claim(state, claim, now)


def remove_flow_claim(state: AgentState, key: int) -> None:
    """Removes a flow claim that is missing in the list sent by its holder."""
    _remove_claim(state, key)


def _owns_flow(state: AgentState, key: int) -> bool:
    row = state.flows.row(key)
    return row != MISSING and state.flows.state[row] != FlowState.CLAIMING


def _decide_unopposed_claim(state: AgentState, claim: Claim, now: int) -> Code:
    """Decides on a claim that no recorded claim or void forbids."""
    if claim.membership < state.membership_revision:
        return Code.STALE_TABLE
    # A witness grants a claim only if it would know any earlier claim of the key. After a restart,
    # holders send their flow claims again, but request claims that were granted before the restart
    # can come only from the handover of the predecessor.
    is_flow = claim.kind == ClaimKind.FLOW
    since = state.phase.started if is_flow else state.phase.grants_complete_since
    return Code.TOO_YOUNG if now - since < claim.age + MAX_PACKET_DELAY_MS else Code.OK


def _decide_recorded_claim(state: AgentState, claim: Claim, row: int, now: int) -> Code | None:
    """Decides on a claim of a key that is in the claim table; returns None for a late copy."""
    claims = state.claims
    key_state = ClaimState(claims.state[row])
    if key_state == ClaimState.VOIDED:
        return Code.VOIDED
    is_same_holder = claims.holder[row] == claim.holder
    if is_same_holder and claim.attempt < claims.round[row]:
        return None
    if key_state == ClaimState.RELEASED:
        is_late_copy = is_same_holder and claim.attempt == claims.round[row]
        return None if is_late_copy else _decide_unopposed_claim(state, claim, now)
    if key_state == ClaimState.LOST:
        return _decide_unopposed_claim(state, claim, now)
    if is_same_holder and claim.attempt == claims.round[row]:
        return Code.OK
    if claim.kind == claims.kind[row] == ClaimKind.REPEATABLE_REQUEST:
        return _decide_unopposed_claim(state, claim, now)
    if not is_same_holder:
        return Code.HELD
    if claim.kind != ClaimKind.FLOW and claim.incarnation != claims.incarnation[row]:
        return Code.HELD
    return _decide_unopposed_claim(state, claim, now)


def _record_claim(state: AgentState, claim: Claim, now: int) -> Code:
    claims = state.claims
    row = claims.add(claim.key)
    if row == MISSING:
        return Code.TABLE_FULL
    if claims.state[row] == ClaimState.HELD and claims.kind[row] == ClaimKind.REPEATABLE_REQUEST:
        return _record_further_holder(claims, row, claim, now)
    if claims.state[row] == ClaimState.HELD:
        _update_holder_counts(state, row, -1)
    claims.state[row] = ClaimState.HELD
    claims.kind[row] = claim.kind
    claims.holder[row] = claim.holder
    claims.incarnation[row] = claim.incarnation
    claims.round[row] = claim.attempt
    claims.granted[row] = now
    claims.spare[row] = 0
    max_lease = FLOW_LEASE_MS if claim.kind == ClaimKind.FLOW else REQUEST_LEASE_MS
    claims.expires_at[row] = now + min(claim.lease, max_lease)
    _update_holder_counts(state, row, 1)
    return Code.OK


def _record_further_holder(claims: ClaimTable, row: int, claim: Claim, now: int) -> Code:
    pair = (claim.holder, claim.attempt)
    is_known = pair in claims.further_holders[row] or pair == (
        claims.holder[row],
        claims.round[row],
    )
    if not is_known and len(claims.further_holders[row]) >= MAX_HOLDERS_PER_KEY:
        return Code.TABLE_FULL
    if not is_known:
        claims.further_holders[row] += (pair,)
    claims.expires_at[row] = max(claims.expires_at[row], now + min(claim.lease, REQUEST_LEASE_MS))
    return Code.OK


def _remove_holder(claims: ClaimTable, row: int, release: Release) -> bool:
    """Removes one holder of a repeatable request and returns whether others remain."""
    if claims.kind[row] != ClaimKind.REPEATABLE_REQUEST:
        return False
    holders = ((claims.holder[row], claims.round[row]), *claims.further_holders[row])
    remaining = tuple(pair for pair in holders if pair != (release.holder, release.attempt))
    if not remaining:
        return False
    claims.holder[row], claims.round[row] = remaining[0]
    claims.further_holders[row] = remaining[1:]
    return True


def _decide_void(state: AgentState, void: Void, now: int) -> Code:
    _expire_claim(state, void.key, now)
    row = state.claims.row(void.key)
    if row != MISSING and state.claims.state[row] == ClaimState.VOIDED:
        return Code.OK
    if row != MISSING and state.claims.state[row] != ClaimState.RELEASED:
        return Code.HELD
    if void.membership < state.membership_revision:
        return Code.STALE_TABLE
    if now - state.phase.grants_complete_since < void.age + MAX_PACKET_DELAY_MS:
        return Code.TOO_YOUNG
    return Code.OK


def _record_void(state: AgentState, void: Void, now: int) -> Code:
    claims = state.claims
    row = claims.add(void.key)
    if row == MISSING:
        return Code.TABLE_FULL
    claims.state[row] = ClaimState.VOIDED
    claims.expires_at[row] = max(claims.expires_at[row], now + min(void.lease, REQUEST_LEASE_MS))
    return Code.OK


def _record_release(claims: ClaimTable, row: int, release: Release, now: int) -> None:
    claims.state[row] = ClaimState.RELEASED
    claims.holder[row] = release.holder
    claims.round[row] = release.attempt
    claims.expires_at[row] = now + TOMBSTONE_LEASE_MS


def _remove_claim(state: AgentState, key: int) -> None:
    row = state.claims.row(key)
    if row != MISSING and state.claims.state[row] == ClaimState.HELD:
        _update_holder_counts(state, row, -1)
    state.claims.remove(key)


def _update_holder_counts(state: AgentState, row: int, change: int) -> None:
    """Adds a flow claim to its holder's keys (`change` is 1) or removes it (-1).

    Also updates the count and the digest that are compared with the holder's heartbeat, except for
    spare claims, which a stopping witness has sent instead of the holder.
    """
    claims = state.claims
    if claims.kind[row] != ClaimKind.FLOW:
        return
    holder, key = claims.holder[row], claims.key[row]
    if change > 0:
        state.flow_keys_by_holder.setdefault(holder, set()).add(key)
    else:
        state.flow_keys_by_holder[holder].discard(key)
    if claims.spare[row]:
        return
    peer = state.peers.add(holder)
    if peer == MISSING:
        state.counters.add("peers_full")
        return
    state.peers.held[peer] += change
    state.peers.held_digest[peer] ^= key


def _claim_expires_at(state: AgentState, row: int) -> int:
    claims = state.claims
    if claims.kind[row] != ClaimKind.FLOW or claims.state[row] != ClaimState.HELD:
        return claims.expires_at[row]
    peer = state.peers.row(claims.holder[row])
    lease = 0 if peer == MISSING else state.peers.lease[peer]
    return max(claims.expires_at[row], lease)


def _expire_claim(state: AgentState, key: int, now: int) -> None:
    row = state.claims.row(key)
    if row != MISSING and now >= _claim_expires_at(state, row):
        _remove_claim(state, key)
        state.counters.add("claims_lapsed")
