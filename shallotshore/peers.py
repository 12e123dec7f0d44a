"""Heartbeats between agents, repair of lists of flow claims, and recovery after a restart."""

__all__ = [
    "PeersSystem",
    "add_to_witness_counts",
    "extend_peer_leases",
    "hand_over_flow_claims",
    "remove_from_witness_counts",
    "resend_claim_lists",
]

from functools import singledispatch

from shallotshore.agent_state import AgentState
from shallotshore.agent_tables import ClaimState, FlowState
from shallotshore.claim_messages import Claim, ClaimQuery, ClaimReply, ClaimSync
from shallotshore.claiming import DISPUTE_ROUND
from shallotshore.claims import (
    FLOW_LEASE_MS,
    MAX_PACKET_DELAY_MS,
    find_flow_claims,
    mark_flow_claims_lost,
    record_listed_flow_claim,
    remove_flow_claim,
)
from shallotshore.codes import Code
from shallotshore.control_messages import Heartbeat
from shallotshore.messages import Address, ClaimKind, HealthState, Message
from shallotshore.placement import WITNESS_COUNT
from shallotshore.tables import MISSING

PARENT_HEARTBEAT_INTERVAL_MS = 500  # between heartbeats to a parent balancer
PEER_HEARTBEAT_INTERVAL_MS = 1_000  # between heartbeats to agents of the service's other upstreams
RECOVERY_QUERY_INTERVAL_MS = 100  # between queries to a peer that has not answered
RECOVERY_TIMEOUT_MS = 2_000  # counted from when the peers and this agent's upstream are known
MISMATCHES_BEFORE_QUERY = 2  # one heartbeat can differ because of a claim or release in flight
CLAIM_QUERY_INTERVAL_MS = 3_000  # between queries to the same peer
REASSIGNED_FLOWS_PER_TICK = 64  # recomputing the witnesses of that many flows takes under 2 ms
KEYS_PER_SYNC = 120  # keeps a datagram below 1,200 bytes
# A claim granted less than this long ago is kept even if its holder's list lacks it, since the list
# may have been sent before the claim was granted.
MIN_SYNCED_CLAIM_AGE_MS = 2 * MAX_PACKET_DELAY_MS


class PeersSystem:
    """Exchanges heartbeats and lists of flow claims with the service's other agents."""

    __slots__ = (
        "_keys_to_reassign",
        "_next_parent_heartbeat_at",
        "_next_peer_heartbeat_at",
        "_next_recovery_query_at",
        "_peers_to_sync",
        "_published_health",
        "_recovery_started_at",
        "_sequence",
        "_state",
    )

    def __init__(self, state: AgentState) -> None:
        self._state = state
        self._sequence = 0
        self._next_parent_heartbeat_at = 0
        self._next_peer_heartbeat_at = 0
        self._next_recovery_query_at = 0
        self._recovery_started_at = 0
        self._published_health = HealthState.DOWN
        self._keys_to_reassign: list[int] = []
        self._peers_to_sync: set[int] = set()

    def run(self, now: int) -> None:
        """Runs the step at `now` (ms)."""
        state = self._state
        if state.has_membership_changed:
            self._keys_to_reassign = [state.flows.key[row] for row in state.flows.rows()]
        if self._keys_to_reassign or self._peers_to_sync:
            self._reassign_witnesses(now)
        for message_type in (Heartbeat, ClaimQuery, ClaimSync):
            for source, message in state.inbox.take(message_type):
                _handle_message(message, state, source, now)
        self._query_peers_for_flows(now)
        health = state.health(now)
        if now >= self._next_parent_heartbeat_at or health != self._published_health:
            self._next_parent_heartbeat_at = now + PARENT_HEARTBEAT_INTERVAL_MS
            self._published_health = health
            for parent in state.parents:
                state.outbox.send(parent, self._build_heartbeat(MISSING, now))
        if now >= self._next_peer_heartbeat_at:
            self._next_peer_heartbeat_at = now + PEER_HEARTBEAT_INTERVAL_MS
            _renew_own_lease(state, now)
            _expire_departed_peers(state, now)
            for peer in state.peer_ids():
                state.send_to_peer(peer, self._build_heartbeat(state.peers.add(peer), now))

    def _reassign_witnesses(self, now: int) -> None:
        """Recomputes the witnesses of some of this agent's flows after a change of the upstreams.

        Once all flows are done, one new witness per tick gets the list of flows that it witnesses.
        """
        state = self._state
        chunk, self._keys_to_reassign = (
            self._keys_to_reassign[:REASSIGNED_FLOWS_PER_TICK],
            self._keys_to_reassign[REASSIGNED_FLOWS_PER_TICK:],
        )
        for key in chunk:
            self._peers_to_sync.update(_reassign_flow_witnesses(state, key))
        if self._keys_to_reassign or not self._peers_to_sync:
            return
        peer = self._peers_to_sync.pop()
        if peer != state.own_id:
            _send_claim_list(state, peer, state.own_id)
            return
        for key in _find_keys_witnessed_by(state, state.own_id):
            _record_own_claim(state, key, now)

    def _build_heartbeat(self, row: int, now: int) -> Heartbeat:
        state = self._state
        self._sequence += 1
        return Heartbeat(
            upstream=state.own_id,
            service=state.service,
            agent_incarnation=state.config.incarnation,
            incarnation=state.upstream.incarnation,
            sequence=self._sequence,
            state=state.health(now),
            load=state.load(),
            revision=state.catalog.revision,
            claims=0 if row == MISSING else state.peers.claims_at_peer[row],
            claims_digest=0 if row == MISSING else state.peers.claims_at_peer_digest[row],
        )

    def _query_peers_for_flows(self, now: int) -> None:
        """Asks all peers for this upstream's flows until all have answered or time is up."""
        state = self._state
        if not state.phase.is_recovering or state.upstream.incarnation == 0:
            return
        if not state.catalog.upstreams_of(state.service):
            return
        self._recovery_started_at = self._recovery_started_at or now
        unanswered = [peer for peer in state.peer_ids() if not _has_answered(state, peer)]
        if not unanswered or now - self._recovery_started_at >= RECOVERY_TIMEOUT_MS:
            state.phase.is_recovering = False
            return
        if now >= self._next_recovery_query_at:
            self._next_recovery_query_at = now + RECOVERY_QUERY_INTERVAL_MS
            query = ClaimQuery(state.service, state.own_id, state.upstream.incarnation)
            for peer in unanswered:
                state.send_to_peer(peer, query)


def add_to_witness_counts(state: AgentState, key: int) -> None:
    """Adds a flow of this agent to the claim count and digest for each of the flow's witnesses.

    The heartbeats to a witness carry its count and digest.
    """
    row = state.flows.row(key)
    state.flows.witnesses[row] = state.witnesses(key)
    _change_witness_counts(state, row, 1)


def remove_from_witness_counts(state: AgentState, key: int) -> None:
    """Subtracts a flow from the claim counts and digests for its witnesses before its removal."""
    row = state.flows.row(key)
    _change_witness_counts(state, row, -1)
    state.flows.witnesses[row] = ()


def _change_witness_counts(state: AgentState, row: int, change: int) -> None:
    for witness in state.flows.witnesses[row]:
        peer = state.peers.add(witness)
        if peer != MISSING:
            state.peers.claims_at_peer[peer] += change
            state.peers.claims_at_peer_digest[peer] ^= state.flows.key[row]


def _reassign_flow_witnesses(state: AgentState, key: int) -> set[int]:
    """Recomputes the witnesses of a flow; returns those that were not its witnesses before."""
    row = state.flows.row(key)
    if row == MISSING or state.flows.state[row] == FlowState.CLAIMING:
        return set()
    former_witnesses = state.flows.witnesses[row]
    _change_witness_counts(state, row, -1)
    add_to_witness_counts(state, key)
    return set(state.flows.witnesses[row]).difference(former_witnesses)


def _expire_departed_peers(state: AgentState, now: int) -> None:
    """Removes silent peers that have no record and for which no claims are kept here."""
    recorded = set(state.peer_ids())
    recorded.add(state.own_id)
    for row in state.peers.rows():
        peer = state.peers.key[row]
        is_silent = now - state.peers.heard[row] >= FLOW_LEASE_MS
        if peer not in recorded and is_silent and not state.peers.held[row]:
            state.peers.remove(peer)


def resend_claim_lists(state: AgentState, now: int) -> None:
    """Sends each witness its list of flows again, with this upstream's present incarnation."""
    rows = state.flows.rows()
    witnesses = {witness for row in rows for witness in state.flows.witnesses[row]}
    for peer in witnesses:
        _send_claim_list(state, peer, state.own_id)
    for key in _find_keys_witnessed_by(state, state.own_id):
        _record_own_claim(state, key, now)


def extend_peer_leases(state: AgentState, pause_ms: int) -> None:
    """Extends the leases of claims kept for peers by the length of a pause of this process.

    During the pause, the peers' heartbeats, which renew the leases, could not be handled.
    """
    for row in state.peers.rows():
        if state.peers.lease[row]:
            state.peers.lease[row] += pause_ms


def hand_over_flow_claims(state: AgentState) -> None:
    """Hands over the flow claims kept for peers, during a graceful stop.

    The claims of a key go to the upstream that ranks next after the key's witnesses, since it
    becomes a witness when this upstream leaves.
    """
    claim_lists: dict[tuple[int, int], list[int]] = {}
    for row in state.claims.rows():
        key, holder = state.claims.key[row], state.claims.holder[row]
        is_flow = state.claims.kind[row] == ClaimKind.FLOW
        if not is_flow or state.claims.state[row] != ClaimState.HELD or holder == state.own_id:
            continue
        order = state.placement.order(state.service, key, WITNESS_COUNT + 1)
        if len(order) > WITNESS_COUNT and order[-1] not in (holder, state.own_id):
            claim_lists.setdefault((order[-1], holder), []).append(key)
    for (peer, holder), keys in claim_lists.items():
        _send_claim_list_parts(state, peer, holder, _incarnation_of(state, holder), keys)
    state.counters.add("claims_handed_over", sum(len(keys) for keys in claim_lists.values()))


def _renew_own_lease(state: AgentState, now: int) -> None:
    row = state.peers.add(state.own_id)
    if row != MISSING:
        state.peers.lease[row] = now + FLOW_LEASE_MS


@singledispatch
def _handle_message(message: Message, state: AgentState, source: Address, now: int) -> None:
    raise TypeError(f"no handler for a message of type {type(message).__name__}")


@_handle_message.register
def _handle_heartbeat(message: Heartbeat, state: AgentState, source: Address, now: int) -> None:
    if message.service != state.service or message.upstream == state.own_id:
        state.counters.add("heartbeats_misdirected")
        return
    peers = state.peers
    row = peers.add(message.upstream)
    if row == MISSING:
        state.counters.add("peers_full")
        return
    version = (message.agent_incarnation, message.sequence)
    if version <= (peers.agent_incarnation[row], peers.sequence[row]):
        state.counters.add("heartbeats_late")
        return
    has_restarted = message.agent_incarnation != peers.agent_incarnation[row]
    peers.agent_incarnation[row], peers.sequence[row] = version
    peers.heard[row] = now
    peers.address[row] = source
    state.record_peer_revision(source, message.revision)
    peers.state[row] = message.state
    if has_restarted and peers.claims_at_peer[row]:
        _send_claim_list(state, message.upstream, state.own_id)
    _record_incarnation(state, row, message, now)
    _compare_claims(state, row, message, now)


def _record_incarnation(state: AgentState, row: int, message: Heartbeat, now: int) -> None:
    peers = state.peers
    if message.incarnation == 0:
        return
    if message.incarnation > peers.incarnation[row]:
        mark_flow_claims_lost(state, message.upstream, message.incarnation, now)
        peers.incarnation[row] = message.incarnation
    if message.incarnation == peers.incarnation[row]:
        peers.lease[row] = now + FLOW_LEASE_MS


def _compare_claims(state: AgentState, row: int, message: Heartbeat, now: int) -> None:
    """Compares a holder's heartbeat with its claims kept here; asks for its list if they differ.

    The list is requested only after repeated differences in count or digest.
    """
    peers = state.peers
    kept = (peers.held[row], peers.held_digest[row])
    if kept == (message.claims, message.claims_digest):
        peers.mismatches[row] = 0
        return
    peers.mismatches[row] = min(255, peers.mismatches[row] + 1)
    is_due = peers.asked[row] == 0 or now - peers.asked[row] >= CLAIM_QUERY_INTERVAL_MS
    if message.incarnation and peers.mismatches[row] >= MISMATCHES_BEFORE_QUERY and is_due:
        peers.asked[row] = now
        state.counters.add("claim_lists_asked")
        query = ClaimQuery(state.service, message.upstream, message.incarnation)
        state.send_to_peer(message.upstream, query)


@_handle_message.register
def _handle_claim_query(message: ClaimQuery, state: AgentState, source: Address, now: int) -> None:
    if message.service != state.service:
        state.counters.add("claims_of_wrong_service")
        return
    if message.holder != state.own_id:
        mark_flow_claims_lost(state, message.holder, message.incarnation, now)
        _send_claim_list(state, message.holder, message.holder)
        return
    for peer in state.peer_ids():
        if _is_sender(state, source, peer):
            _send_claim_list(state, peer, state.own_id)


def _send_claim_list(state: AgentState, peer: int, holder: int) -> None:
    """Sends a peer the list of a holder's flow claims.

    If the holder is this agent's upstream, the list names the flows for which the peer is a
    witness. If the holder is the peer itself, the list names the peer's claims kept here.
    """
    if holder != state.own_id:
        keys = find_flow_claims(state, holder)
        _send_claim_list_parts(state, peer, holder, _incarnation_of(state, holder), keys)
    elif peer != state.own_id and not state.phase.is_recovering:
        keys = _find_keys_witnessed_by(state, peer)
        _send_claim_list_parts(state, peer, holder, state.upstream.incarnation, keys)


def _incarnation_of(state: AgentState, peer: int) -> int:
    row = state.peers.row(peer)
    return 0 if row == MISSING else state.peers.incarnation[row]


def _send_claim_list_parts(
    state: AgentState, peer: int, holder: int, incarnation: int, keys: list[int]
) -> None:
    parts = max(1, -(-len(keys) // KEYS_PER_SYNC))
    for part in range(parts):
        chunk = tuple(keys[part * KEYS_PER_SYNC : (part + 1) * KEYS_PER_SYNC])
        sync = ClaimSync(state.service, holder, incarnation, FLOW_LEASE_MS, part, parts, chunk)
        state.send_to_peer(peer, sync)
    state.counters.add("claim_lists_sent")


def _find_keys_witnessed_by(state: AgentState, peer: int) -> list[int]:
    flows = state.flows
    return [flows.key[row] for row in flows.rows() if peer in flows.witnesses[row]]


@_handle_message.register
def _handle_claim_sync(message: ClaimSync, state: AgentState, source: Address, now: int) -> None:
    if message.service != state.service:
        state.counters.add("claims_of_wrong_service")
    elif message.holder == state.own_id:
        _recover_flows(state, message, source, now)
    else:
        _record_listed_claims(state, message, source, now)


def _recover_flows(state: AgentState, message: ClaimSync, source: Address, now: int) -> None:
    if not state.phase.is_recovering or state.upstream.incarnation == 0:
        state.counters.add("claim_lists_late")
        return
    for peer in state.peer_ids():
        row = state.peers.add(peer)
        if _is_sender(state, source, peer) and row != MISSING:
            _record_recovery_answer(state, row, message)
    for key in message.keys:
        _recover_flow(state, key, now)


def _recover_flow(state: AgentState, key: int, now: int) -> None:
    flows = state.flows
    if key in flows or flows.is_full:
        return
    row = flows.add(key)
    flows.state[row] = FlowState.RECOVERED
    flows.touched[row] = now
    flows.round[row] = state.next_round()
    state.counters.add("flows_recovered")
    add_to_witness_counts(state, key)
    _record_own_claim(state, key, now)


def _record_own_claim(state: AgentState, key: int, now: int) -> None:
    if state.own_id in state.witnesses(key):
        record_listed_flow_claim(
            state, _build_flow_claim(state, key, state.own_id, state.upstream.incarnation), now
        )


def _build_flow_claim(state: AgentState, key: int, holder: int, incarnation: int) -> Claim:
    return Claim(
        key=key,
        kind=ClaimKind.FLOW,
        service=state.service,
        holder=holder,
        incarnation=incarnation,
        attempt=0,
        age=0,
        lease=FLOW_LEASE_MS,
        membership=state.membership_revision,
    )


def _record_recovery_answer(state: AgentState, row: int, message: ClaimSync) -> None:
    """Records that a peer has answered the recovery query once its list's last part arrives."""
    if message.part + 1 == message.parts:
        state.peers.recovered[row] = 1


def _has_answered(state: AgentState, peer: int) -> bool:
    row = state.peers.row(peer)
    return row != MISSING and state.peers.recovered[row] == 1


def _record_listed_claims(state: AgentState, message: ClaimSync, source: Address, now: int) -> None:
    """Records the claims in a list of one holder's claims.

    A list sent by the holder itself also shows which of the holder's flows have ended.
    """
    row = state.peers.add(message.holder)
    mark_flow_claims_lost(state, message.holder, message.incarnation, now, set(message.keys))
    if row == MISSING or message.incarnation < state.peers.incarnation[row]:
        state.counters.add("claim_lists_late")
        return
    is_own_list = _is_sender(state, source, message.holder)
    for key in message.keys:
        claim = _build_flow_claim(state, key, message.holder, message.incarnation)
        if record_listed_flow_claim(state, claim, now, spare=not is_own_list) == Code.HELD:
            _send_dispute(state, key, source)
    if is_own_list and _collect_list_part(state, row, message):
        _remove_unlisted_claims(state, message.holder, state.peers.listed[row], now)


def _send_dispute(state: AgentState, key: int, source: Address) -> None:
    """Tells the sender of a list that another holder has the claim kept here for a listed flow."""
    state.counters.add("claim_conflicts")
    present_holder = state.claims.holder[state.claims.row(key)]
    reply = ClaimReply(key, DISPUTE_ROUND, state.own_id, Code.HELD, present_holder)
    state.outbox.send(source, reply)


def _is_sender(state: AgentState, source: Address, peer: int) -> bool:
    record = state.catalog.upstream(peer)
    row = state.peers.row(peer)
    last_address = None if row == MISSING else state.peers.address[row]
    return source == (last_address if record is None else record.address)


def _collect_list_part(state: AgentState, row: int, message: ClaimSync) -> bool:
    """Adds a part to a list; returns whether the list is now complete.

    A part that arrives a second time is taken as the start of a new list.
    """
    peers = state.peers
    if message.part in peers.parts[row] or message.parts == 1:
        peers.parts[row] = peers.listed[row] = frozenset()
    peers.parts[row] |= {message.part}
    peers.listed[row] |= frozenset(message.keys)
    if len(peers.parts[row]) < message.parts:
        return False
    peers.parts[row] = frozenset()
    return True


def _remove_unlisted_claims(
    state: AgentState, holder: int, listed: frozenset[int], now: int
) -> None:
    claims = state.claims
    for key in find_flow_claims(state, holder):
        row = claims.row(key)
        is_settled = now - claims.granted[row] >= MIN_SYNCED_CLAIM_AGE_MS
        if key not in listed and is_settled and not claims.spare[row]:
            remove_flow_claim(state, key)
