"""Flows at an agent: opens flows under a claim, and delivers, redirects or refuses packets."""

__all__ = ["FlowIntakeSystem", "FlowSystem"]

from shallotshore.admission import find_flow_refusal, find_mismatch
from shallotshore.agent_messages import FlowHint, FlowReply, FlowReset, Forward
from shallotshore.agent_state import LOST_AFTER_MS, SILENT_AFTER_MS, AgentState
from shallotshore.agent_tables import ClaimingState, ClaimState, FlowState
from shallotshore.claim_messages import Release
from shallotshore.claiming import finish_claim, release_claim, start_claim
from shallotshore.claims import find_claim_holder
from shallotshore.codes import Code
from shallotshore.cursor import Cursor
from shallotshore.hashing import flow_key
from shallotshore.messages import Address, ClaimKind, PacketKind
from shallotshore.passing import find_next_candidate, forward_to_peer
from shallotshore.peers import add_to_witness_counts, remove_from_witness_counts, resend_claim_lists
from shallotshore.placement import quorum_size
from shallotshore.tables import MISSING
from shallotshore.upstream_link import record_upstream_data
from shallotshore.upstream_messages import UpstreamClose, UpstreamData, UpstreamOpen

FLOW_CLAIM_TIMEOUT_MS = 1_000  # a caller resends its opening packet well within this time
HINT_LEASE_MS = 30_000  # equals the lease of a flow claim
MAX_HELD_PACKETS = 8  # packets held for one flow while its claim is undecided
FLOW_IDLE_TIMEOUT_MS = 3_600_000  # closes a flow without a packet in either direction
SWEPT_ROWS_PER_TICK = 16  # rows of the flow table that are checked for idle flows


class FlowIntakeSystem:
    """Handles callers' packets that balancers or other agents forward."""

    __slots__ = ("_state",)

    def __init__(self, state: AgentState) -> None:
        self._state = state

    def run(self, now: int) -> None:
        """Runs the step at `now` (ms)."""
        for source, packet in self._state.inbox.take(Forward):
            _handle_forward(self._state, packet, now)
            _release_mistaken_claim(self._state, source, packet)


class FlowSystem:
    """Completes flow claims, sends the upstream's data to callers and ends lost or idle flows."""

    __slots__ = ("_cursor", "_incarnation", "_state")

    def __init__(self, state: AgentState) -> None:
        self._state = state
        self._incarnation = 0
        self._cursor = Cursor()

    def run(self, now: int) -> None:
        """Runs the step at `now` (ms)."""
        state = self._state
        if state.upstream.incarnation != self._incarnation:
            self._incarnation = state.upstream.incarnation
            _reset_lost_flows(state, now)
        elif not state.is_data_centre_in_service and len(state.flows):
            _reset_flows(state, list(state.flows.rows()), Code.DATA_CENTRE_OUT, now)
        for row in state.claiming.rows():
            if state.claiming.kind[row] == ClaimKind.FLOW:
                _complete_flow_claim(state, state.claiming.key[row], now)
        while state.disputed:
            _resolve_dispute(state, state.disputed.pop(), now)
        for _, data in state.inbox.take(UpstreamData):
            _handle_upstream_data(state, data, now)
        for _, close in state.inbox.take(UpstreamClose):
            _handle_upstream_close(state, close, now)
        for row in self._cursor.take(state.flows, SWEPT_ROWS_PER_TICK):
            _close_if_idle(state, row, now)


def _release_mistaken_claim(state: AgentState, source: Address, packet: Forward) -> None:
    """Asks the sender of a packet to drop a claim that it wrongly keeps for this upstream.

    The packet shows that the sender keeps such a claim as a witness: an agent forwards a packet to
    an upstream that is not among the candidates only when it takes that upstream for the owner.
    """
    is_meant_as_owner = packet.hops > 0 and state.own_id not in packet.candidates
    if is_meant_as_owner and packet.key not in state.flows and not state.phase.is_recovering:
        release = Release(packet.key, state.own_id, state.next_round())
        state.outbox.send(source, release)


def _handle_forward(state: AgentState, packet: Forward, now: int) -> None:
    state.record_peer_revision(packet.balancer, packet.revision)
    refusal = _find_packet_mismatch(state, packet)
    if refusal is None and (state.may_serve or packet.key in state.flows):
        _process_packet(state, packet, now)
    elif refusal is None or packet.revision != state.catalog.revision:
        # This agent or the balancer acts on an older revision and is soon brought up to date. The
        # caller resends the packet.
        state.counters.add("packets_dropped_while_behind")
    else:
        state.counters.add("packets_refused")
        _reset_packet_caller(state, packet, refusal)


def _find_packet_mismatch(state: AgentState, packet: Forward) -> Code | None:
    if packet.key != flow_key(packet.caller, packet.vip, packet.flow):
        return Code.WRONG_CUSTOMER
    return find_mismatch(state, packet)


def _process_packet(state: AgentState, packet: Forward, now: int) -> None:
    row = state.flows.row(packet.key)
    if not state.is_data_centre_in_service:
        _reset_packet_caller(state, packet, Code.DATA_CENTRE_OUT)
    elif row != MISSING and _is_flow_customer(state, row, packet):
        _deliver_packet(state, row, packet, now)
    elif row != MISSING:
        state.counters.add("packets_refused")
        _reset_packet_caller(state, packet, Code.WRONG_CUSTOMER)
    else:
        _redirect_packet(state, packet, now)


def _is_flow_customer(state: AgentState, row: int, packet: Forward) -> bool:
    if state.flows.state[row] == FlowState.RECOVERED:
        return True
    return state.flows.customer[row] == packet.customer


def _redirect_packet(state: AgentState, packet: Forward, now: int) -> None:
    """Forwards a packet of a flow not in the table to the flow's owner or the next candidate.

    An opening packet of a flow without a known owner starts a claim if the flow can be opened here.
    """
    claim = find_claim_holder(state, packet.key, now)
    loss_reason = _find_loss_reason(state, claim, now)
    if loss_reason is not None and packet.kind != PacketKind.OPEN:
        _reset_packet_caller(state, packet, loss_reason)
        return
    if loss_reason is None and claim is not None and forward_to_peer(state, packet, claim[1]):
        return
    refusal: Code | None = Code.NO_SUCH_FLOW
    if packet.kind == PacketKind.OPEN:
        refusal = find_flow_refusal(state, now)
        if refusal is None and _start_flow_claim(state, packet, now):
            return
    next_upstream = find_next_candidate(state, packet)
    if next_upstream is not None and forward_to_peer(state, packet, next_upstream):
        return
    _refuse_packet(state, packet, refusal or Code.TABLE_FULL, now)


def _find_loss_reason(
    state: AgentState, claim: tuple[ClaimState, int] | None, now: int
) -> Code | None:
    """Returns why a flow is lost, or None when it is not known to be lost.

    A flow is lost when the holder of its claim is lost or in a data centre that is out. `claim` is
    the state and holder of the claim that this agent keeps as a witness, or None.
    """
    if claim is None:
        return None
    if not state.is_reachable(claim[1]):
        return Code.DATA_CENTRE_OUT
    if claim[0] == ClaimState.LOST or state.is_lost(claim[1], now):
        return Code.FLOW_LOST
    return None


def _refuse_packet(state: AgentState, packet: Forward, code: Code, now: int) -> None:
    """Resets the caller of a packet that no candidate accepts, unless the flow may still exist.

    After a restart this agent may own the flow without knowing it until its peers have answered,
    and a witness that has been silent for a short time may know the owner. In both cases the
    packet is dropped without an answer.
    """
    if packet.kind == PacketKind.OPEN:
        _reset_packet_caller(state, packet, Code.FLOW_REFUSED)
    elif state.phase.is_recovering or _has_silent_witness(state, packet.key, now):
        state.counters.add("packets_dropped_in_doubt")
    else:
        _reset_packet_caller(state, packet, code)


def _has_silent_witness(state: AgentState, key: int, now: int) -> bool:
    former = state.placement.former_witnesses(state.service, key)
    witnesses = (*state.witnesses(key), *former)
    silences_ms = [state.silence_ms(peer, now) for peer in witnesses if peer != state.own_id]
    return any(SILENT_AFTER_MS <= silence_ms < LOST_AFTER_MS for silence_ms in silences_ms)


def _start_flow_claim(state: AgentState, packet: Forward, now: int) -> bool:
    """Starts the claim of a flow for its opening packet; returns False when there is no room."""
    flows = state.flows
    if flows.is_full or not start_claim(
        state, packet.key, ClaimKind.FLOW, 0, now + FLOW_CLAIM_TIMEOUT_MS, now
    ):
        return False
    row = flows.add(packet.key)
    flows.state[row] = FlowState.CLAIMING
    flows.waiting[row] = (packet,)
    _record_packet(state, row, packet, now)
    state.ramp.record_flow_open(now)
    return True


def _record_packet(state: AgentState, row: int, packet: Forward, now: int) -> None:
    flows = state.flows
    flows.customer[row] = packet.customer
    flows.flow[row] = packet.flow
    flows.caller[row] = packet.caller
    flows.vip[row] = packet.vip
    flows.balancer[row] = packet.balancer
    flows.touched[row] = now


def _deliver_packet(state: AgentState, row: int, packet: Forward, now: int) -> None:
    flows = state.flows
    if flows.state[row] == FlowState.CLAIMING:
        flows.balancer[row] = packet.balancer
        if packet.kind != PacketKind.OPEN and len(flows.waiting[row]) < MAX_HELD_PACKETS:
            flows.waiting[row] += (packet,)
        return
    flows.state[row] = FlowState.OPEN
    _record_packet(state, row, packet, now)
    if packet.hops > 0:
        hint = FlowHint(packet.key, state.own_id, HINT_LEASE_MS)
        state.outbox.send(packet.balancer, hint)
    _send_to_upstream(state, packet, now)
    if packet.kind == PacketKind.CLOSE:
        _remove_flow(state, packet.key, now)


def _send_to_upstream(state: AgentState, packet: Forward, now: int) -> None:
    """Sends a packet to the upstream, including a resent opening packet."""
    local_upstream = state.config.local_upstream
    if packet.kind == PacketKind.OPEN:
        state.flows.opened[state.flows.row(packet.key)] = now
        state.outbox.send(local_upstream, UpstreamOpen(packet.key, packet.customer, packet.payload))
    elif packet.kind == PacketKind.DATA:
        state.outbox.send(local_upstream, UpstreamData(packet.key, packet.customer, packet.payload))
    else:
        state.outbox.send(local_upstream, UpstreamClose(packet.key, Code.OK))


def _remove_flow(state: AgentState, key: int, now: int) -> None:
    """Removes a flow and releases its claims."""
    row = state.flows.row(key)
    round_number = state.flows.round[row]
    remove_from_witness_counts(state, key)
    state.flows.remove(key)
    release_claim(state, key, round_number, now)


def _complete_flow_claim(state: AgentState, key: int, now: int) -> None:
    """Opens a flow whose claim was granted; forwards its held packets when it was refused."""
    claiming = state.claiming
    row = claiming.row(key)
    claim_state = claiming.state[row]
    if claim_state not in (ClaimingState.GRANTED, ClaimingState.REFUSED):
        return
    code, holder = claiming.code[row], claiming.holder[row]
    round_number = finish_claim(state, key)
    flow_row = state.flows.row(key)
    packets = state.flows.waiting[flow_row]
    if claim_state == ClaimingState.GRANTED:
        state.flows.state[flow_row] = FlowState.OPEN
        state.flows.round[flow_row] = round_number
        state.flows.waiting[flow_row] = ()
        add_to_witness_counts(state, key)
        state.counters.add("flows_opened")
        for packet in packets:
            _process_packet(state, packet, now)
        return
    state.flows.remove(key)
    for packet in packets:
        _redirect_after_refusal(state, packet, code, holder, now)


def _redirect_after_refusal(
    state: AgentState, packet: Forward, code: int, holder: int, now: int
) -> None:
    if code == Code.HELD and holder != state.own_id and forward_to_peer(state, packet, holder):
        return
    next_upstream = find_next_candidate(state, packet)
    if next_upstream is None or not forward_to_peer(state, packet, next_upstream):
        _refuse_packet(state, packet, Code.NO_SUCH_FLOW, now)


def _handle_upstream_data(state: AgentState, data: UpstreamData, now: int) -> None:
    """Sends the upstream's data to the caller of the flow."""
    flows = state.flows
    row = flows.row(data.key)
    if row == MISSING or flows.state[row] == FlowState.CLAIMING:
        state.counters.add("upstream_data_without_flow")
        return
    caller, vip, balancer = flows.caller[row], flows.vip[row], flows.balancer[row]
    if caller is None or vip is None or balancer is None:
        state.counters.add("upstream_data_without_caller")
        return
    if flows.customer[row] != data.customer:
        state.counters.add("upstream_data_of_wrong_customer")
        return
    flows.touched[row] = now
    record_upstream_data(state, now)
    reply = FlowReply(
        key=data.key,
        service=state.service,
        customer=data.customer,
        flow=flows.flow[row],
        caller=caller,
        vip=vip,
        upstream=state.own_id,
        load=state.load(),
        payload=data.payload,
    )
    state.outbox.send(state.find_answer_address(balancer), reply)


def _handle_upstream_close(state: AgentState, close: UpstreamClose, now: int) -> None:
    flows = state.flows
    row = flows.row(close.key)
    if row == MISSING or flows.state[row] == FlowState.CLAIMING:
        return
    _reset_flow_caller(state, row, Code.FLOW_CLOSED)
    _remove_flow(state, close.key, now)


def _reset_lost_flows(state: AgentState, now: int) -> None:
    """Resets the flows of an upstream process that has ended.

    The present process may already serve a flow that was opened just before the first message of
    that process arrived. Such a flow stays open, and its claim is sent to its witnesses again,
    with the present incarnation.
    """
    lost_rows, keeps_flows = [], False
    for row in state.flows.rows():
        if state.flows.state[row] == FlowState.CLAIMING:
            # The claim names the ended incarnation; the caller resends its opening packet.
            _abandon_opening(state, row, now)
        elif state.flows.opened[row] < state.upstream.ambiguous_from:
            lost_rows.append(row)
        else:
            keeps_flows = True
    _reset_flows(state, lost_rows, Code.FLOW_LOST, now)
    if keeps_flows:
        state.counters.add("flows_kept_over_restart")
        resend_claim_lists(state, now)


def _reset_flows(state: AgentState, rows: list[int], code: Code, now: int) -> None:
    """Ends flows with a reset to the caller and a close to the upstream."""
    state.counters.add("flows_reset", len(rows))
    for row in rows:
        key = state.flows.key[row]
        if state.flows.state[row] == FlowState.CLAIMING:
            _abandon_opening(state, row, now)
            continue
        _reset_flow_caller(state, row, code)
        state.outbox.send(state.config.local_upstream, UpstreamClose(key, code))
        _remove_flow(state, key, now)


def _abandon_opening(state: AgentState, row: int, now: int) -> None:
    key = state.flows.key[row]
    state.flows.remove(key)
    release_claim(state, key, state.claiming.round[state.claiming.row(key)], now)


def _close_if_idle(state: AgentState, row: int, now: int) -> None:
    key = state.flows.key[row]
    if now - state.flows.touched[row] >= FLOW_IDLE_TIMEOUT_MS:
        state.outbox.send(state.config.local_upstream, UpstreamClose(key, Code.FLOW_CLOSED))
        _reset_flow_caller(state, row, Code.FLOW_CLOSED)
        _remove_flow(state, key, now)


def _resolve_dispute(state: AgentState, key: int, now: int) -> None:
    """Removes a flow when a quorum of its witnesses keeps the claim of another holder.

    This happens after a pause of this process that was longer than the leases of its claims. The
    caller gets no reset, since its flow continues at the other holder. Fewer witnesses than a
    quorum prove nothing, as they may keep claims that have been abandoned since.
    """
    flows = state.flows
    row = flows.row(key)
    if row == MISSING:
        return
    witnesses = flows.witnesses[row]
    if flows.votes[row].bit_count() < quorum_size(len(witnesses)):
        return
    state.outbox.send(state.config.local_upstream, UpstreamClose(key, Code.FLOW_LOST))
    state.counters.add("flows_disputed")
    _remove_flow(state, key, now)


def _reset_flow_caller(state: AgentState, row: int, code: Code) -> None:
    flows = state.flows
    caller, vip, balancer = flows.caller[row], flows.vip[row], flows.balancer[row]
    if caller is not None and vip is not None and balancer is not None:
        _send_reset(state, balancer, flows.key[row], flows.flow[row], caller, vip, code)


def _reset_packet_caller(state: AgentState, packet: Forward, code: Code) -> None:
    _send_reset(state, packet.balancer, packet.key, packet.flow, packet.caller, packet.vip, code)


def _send_reset(
    state: AgentState,
    balancer: Address,
    key: int,
    flow: int,
    caller: Address,
    vip: Address,
    code: Code,
) -> None:
    revision = state.catalog.revision
    reset = FlowReset(key, flow, caller, vip, state.own_id, code, revision)
    state.outbox.send(state.find_answer_address(balancer), reset)
