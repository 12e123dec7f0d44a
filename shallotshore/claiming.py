"""Claimant side of claims: collects grants from the witnesses before a flow or request starts.

A claim takes one or more rounds. In a round, the claim is sent to all witnesses of its key until
enough of them have granted it or too many have refused it.

The service's table of upstreams determines the witnesses of a key. After a change of the table, the
witnesses by earlier tables are asked too, since they may have granted a claim that is in force.
"""

__all__ = ["DISPUTE_ROUND", "ClaimingSystem", "finish_claim", "release_claim", "start_claim"]

from shallotshore.agent_state import AgentState
from shallotshore.agent_tables import ClaimingState
from shallotshore.claim_messages import Claim, ClaimReply, Release
from shallotshore.claims import FLOW_LEASE_MS, REQUEST_LEASE_MS, apply_release, decide_claim
from shallotshore.codes import Code
from shallotshore.messages import ClaimKind
from shallotshore.placement import REQUEST_LIFETIME_MS, quorum_size
from shallotshore.tables import MISSING

# Interval between copies of a claim to a witness that has not replied; several round trips between
# data centres fit into a request's budget.
RESEND_INTERVAL_MS = 30
# A witness that has not replied after this time counts as silent. The time is longer than the round
# trip between data centres.
MAX_ANSWER_WAIT_MS = 150
MAX_FORMER_WITNESSES = 24  # with five present witnesses they fit into bit sets of 32 bits
MAX_CLAIM_ROUNDS = 4
DISPUTE_ROUND = 0  # in replies that report another holder of a flow that the recipient owns
# Range (ms) of the random delay before another round, so that two claimants that have each got some
# of the witnesses don't collide again.
BACKOFF_RANGE_MS = (10, 50)


class ClaimingSystem:
    """Sends and resends this agent's claims, collects replies and decides each round."""

    __slots__ = ("_state",)

    def __init__(self, state: AgentState) -> None:
        self._state = state

    def run(self, now: int) -> None:
        """Runs this system in the tick at `now` (ms)."""
        for _, reply in self._state.inbox.take(ClaimReply):
            _record_reply(self._state, reply)
        for row in self._state.claiming.rows():
            _advance_claim(self._state, row, now)


def start_claim(
    state: AgentState, key: int, kind: ClaimKind, age: int, deadline: int, now: int
) -> bool:
    """Starts to claim a key for the local upstream.

    Args:
        state: State of the claimant.
        key: Flow key or request key.
        kind: What the claim protects.
        age: Milliseconds since the request began at its caller; 0 for flows.
        deadline: Time (ms) after which the claim is of no use.
        now: Monotonic time in milliseconds.

    Returns:
        False when the table is full.
    """
    claiming = state.claiming
    row = claiming.add(key)
    if row == MISSING:
        return False
    claiming.kind[row] = kind
    claiming.request_started_at[row] = now - age
    claiming.deadline[row] = deadline
    _start_round(state, row, now)
    return True


def finish_claim(state: AgentState, key: int) -> int:
    """Removes a decided claim from the table and returns its round; the grants stay in force."""
    row = state.claiming.row(key)
    round_number = state.claiming.round[row]
    state.claiming.remove(key)
    return round_number


def release_claim(state: AgentState, key: int, round_number: int, now: int) -> None:
    """Releases a key at all its witnesses and drops a claim of the key that is in progress."""
    witnesses = set(state.witnesses(key))
    row = state.claiming.row(key)
    if row != MISSING:
        witnesses.update(state.claiming.witnesses[row])
        state.claiming.remove(key)
    _send_releases(state, witnesses, Release(key, state.own_id, round_number), now)


def _send_releases(
    state: AgentState, witnesses: "set[int] | tuple[int, ...]", release: Release, now: int
) -> None:
    for witness in sorted(witnesses):
        if witness == state.own_id:
            apply_release(state, release, now)
        else:
            state.send_to_peer(witness, release)


def _start_round(state: AgentState, row: int, now: int) -> None:
    claiming = state.claiming
    claiming.round[row] = state.next_round()
    claiming.state[row] = ClaimingState.COLLECTING
    claiming.round_count[row] += 1
    _choose_witnesses(state, row, now)


def _choose_witnesses(state: AgentState, row: int, now: int) -> None:
    """Sets the witnesses to ask: those of the present table, then those of former tables.

    Replies recorded for the claim so far are discarded.
    """
    claiming = state.claiming
    key = claiming.key[row]
    present = state.witnesses(key)
    former = state.placement.former_witnesses(state.service, key)[:MAX_FORMER_WITNESSES]
    claiming.witnesses[row] = present + former
    claiming.present_count[row] = len(present)
    claiming.needed_grants[row] = _needed_grants(state, row, len(present), now)
    claiming.membership[row] = state.membership_revision
    claiming.granted[row] = 0
    claiming.refused[row] = 0
    claiming.code[row] = Code.NO_QUORUM
    claiming.witnesses_chosen_at[row] = now
    claiming.next_send_at[row] = now


def _needed_grants(state: AgentState, row: int, count: int, now: int) -> int:
    """Returns how many present witnesses must grant the claim.

    A quorum suffices when the agent knows all former tables under which the key may have been
    claimed, since the agent then asks the witnesses by those tables too. Otherwise all present
    witnesses must grant: as long as two witnesses of the key are the same by the present and by the
    earlier table, one of the two took part in every earlier quorum.
    """
    is_flow = state.claiming.kind[row] == ClaimKind.FLOW
    age = REQUEST_LIFETIME_MS if is_flow else max(0, now - state.claiming.request_started_at[row])
    return (
        quorum_size(count) if state.placement.knows_former_witnesses(state.service, age) else count
    )


def _record_reply(state: AgentState, reply: ClaimReply) -> None:
    claiming = state.claiming
    if reply.attempt == DISPUTE_ROUND:
        _record_dispute(state, reply)
        return
    row = claiming.row(reply.key)
    is_current = row != MISSING and claiming.round[row] == reply.attempt
    if not is_current or reply.witness not in claiming.witnesses[row]:
        state.counters.add("claim_replies_late")
        return
    bit = 1 << claiming.witnesses[row].index(reply.witness)
    if reply.code == Code.OK:
        claiming.granted[row] |= bit
        return
    if reply.code == Code.STALE_TABLE:
        state.is_membership_stale = True
    if claiming.granted[row] & bit or _may_be_granted_later(claiming.kind[row], reply.code):
        return
    claiming.refused[row] |= bit
    if claiming.code[row] not in (Code.HELD, Code.VOIDED):
        claiming.code[row] = reply.code
        claiming.holder[row] = reply.holder


def _record_dispute(state: AgentState, reply: ClaimReply) -> None:
    """Records that a witness keeps another holder's claim of a flow of the local upstream."""
    flows = state.flows
    row = flows.row(reply.key)
    is_known = row != MISSING and reply.witness in flows.witnesses[row]
    if is_known and reply.holder != state.own_id:
        flows.votes[row] |= 1 << flows.witnesses[row].index(reply.witness)
        state.disputed.add(reply.key)


def _may_be_granted_later(kind: int, code: int) -> bool:
    """Returns whether a refused claim may be granted when it is sent again in the same round.

    TOO_YOUNG means that the witness started too recently to know every earlier claim of the key. A
    request claim is then refused again, since the request ages as fast as the witness. A flow claim
    has no age and is granted once the witness has run long enough.
    """
    return code == Code.STALE_TABLE or (code == Code.TOO_YOUNG and kind == ClaimKind.FLOW)


def _advance_claim(state: AgentState, row: int, now: int) -> None:
    claiming = state.claiming
    if claiming.state[row] == ClaimingState.BACKING_OFF and now >= claiming.next_send_at[row]:
        _start_round(state, row, now)
    if claiming.state[row] != ClaimingState.COLLECTING:
        return
    if now >= claiming.deadline[row]:
        _fail_round(state, row, now, retry=False)
        return
    if claiming.membership[row] != state.membership_revision:
        _choose_witnesses(state, row, now)
    if now >= claiming.next_send_at[row]:
        claiming.next_send_at[row] = now + RESEND_INTERVAL_MS
        _send_claims(state, row, now)
    _decide_round(state, row, now)


def _send_claims(state: AgentState, row: int, now: int) -> None:
    claiming = state.claiming
    answered = claiming.granted[row] | claiming.refused[row]
    claim = _build_claim(state, row, now)
    for index, witness in enumerate(claiming.witnesses[row]):
        if answered >> index & 1:
            continue
        if witness != state.own_id:
            state.send_to_peer(witness, claim)
            continue
        reply = decide_claim(state, claim, now)
        if reply is not None:
            _record_reply(state, reply)


def _build_claim(state: AgentState, row: int, now: int) -> Claim:
    claiming = state.claiming
    kind = ClaimKind(claiming.kind[row])
    is_flow = kind == ClaimKind.FLOW
    return Claim(
        key=claiming.key[row],
        kind=kind,
        service=state.service,
        holder=state.own_id,
        incarnation=state.upstream.incarnation if is_flow else state.config.incarnation,
        attempt=claiming.round[row],
        age=0 if is_flow else max(0, now - claiming.request_started_at[row]),
        lease=FLOW_LEASE_MS if is_flow else REQUEST_LEASE_MS,
        membership=claiming.membership[row],
    )


def _decide_round(state: AgentState, row: int, now: int) -> None:
    claiming = state.claiming
    count, needed = claiming.present_count[row], claiming.needed_grants[row]
    present_mask = (1 << count) - 1
    grants = (claiming.granted[row] & present_mask).bit_count()
    refusals = (claiming.refused[row] & present_mask).bit_count()
    if claiming.code[row] == Code.VOIDED:
        _fail_round(state, row, now, retry=False)
    elif _refused_by_former(state, row) or count - refusals < needed:
        is_held = claiming.code[row] == Code.HELD
        if not is_held and not _all_answered_or_silent(state, row, now):
            return  # the reply of another witness may name the holder
        # Another holder can have a quorum only among the witnesses that did not grant this claim.
        # If fewer than a quorum did not, no claimant has a quorum, and another round may succeed.
        is_contended = is_held and count - grants < quorum_size(count)
        _fail_round(state, row, now, retry=is_contended)
    elif grants >= needed and _former_answered_or_silent(state, row, now):
        claiming.state[row] = ClaimingState.GRANTED


def _refused_by_former(state: AgentState, row: int) -> bool:
    """Returns whether former witnesses are asked and any witness has reported another holder."""
    claiming = state.claiming
    has_former = len(claiming.witnesses[row]) > claiming.present_count[row]
    return has_former and claiming.code[row] == Code.HELD


def _all_answered_or_silent(state: AgentState, row: int, now: int) -> bool:
    claiming = state.claiming
    answered = claiming.granted[row] | claiming.refused[row]
    all_witnesses = (1 << len(claiming.witnesses[row])) - 1
    return (
        answered == all_witnesses or now - claiming.witnesses_chosen_at[row] >= MAX_ANSWER_WAIT_MS
    )


def _former_answered_or_silent(state: AgentState, row: int, now: int) -> bool:
    claiming = state.claiming
    answered = claiming.granted[row] | claiming.refused[row]
    all_witnesses = (1 << len(claiming.witnesses[row])) - 1
    former = all_witnesses & ~((1 << claiming.present_count[row]) - 1)
    return (
        answered & former == former or now - claiming.witnesses_chosen_at[row] >= MAX_ANSWER_WAIT_MS
    )


def _fail_round(state: AgentState, row: int, now: int, retry: bool) -> None:
    """Releases the grants of a failed round, then plans another round or refuses the claim."""
    claiming = state.claiming
    release = Release(claiming.key[row], state.own_id, claiming.round[row])
    _send_releases(state, claiming.witnesses[row], release, now)
    if retry and claiming.round_count[row] < MAX_CLAIM_ROUNDS:
        claiming.state[row] = ClaimingState.BACKING_OFF
        claiming.next_send_at[row] = now + state.rng.randint(*BACKOFF_RANGE_MS)
        state.counters.add("claims_contended")
    else:
        claiming.state[row] = ClaimingState.REFUSED
        state.counters.add("claims_given_up")
