"""Handles clients' packets at an agent; packets of flows that the upstream holds are forwarded."""

from __future__ import annotations

__all__ = ["ClientPacketSystem", "DenialSystem"]

from result import Err

from shallotshore.packets.agent_state import AgentState
from shallotshore.packets.agent_tables import CLIENT_ENDED, UPSTREAM_ENDED, AgentFlowStage
from shallotshore.packets.hosts import host_text
from shallotshore.packets.node_messages import (
    Carry,
    CarryKind,
    Denied,
    Missing,
    OwnedFlow,
    Search,
)
from shallotshore.packets.openings import handle_opening
from shallotshore.packets.packet import ENDS, RESETS, SEQUENCE_MASK, DecodePacket, Packet
from shallotshore.tables import MISSING

# An upstream may have sent up to this number of bytes before the client's first packet arrives at
# the agent. If the client acknowledges a sequence number further than this from the one with which
# the upstream accepted the flow, another upstream has accepted the flow too, and the client uses
# the flow with that other upstream.
ACK_WINDOW_BYTES = 1 << 20
DENIAL_INTERVAL_MS = 20  # a search takes some round trips


class ClientPacketSystem:
    """Handles clients' packets that arrive from balancers and other agents."""

    __slots__ = ("_decode", "_state")

    def __init__(self, state: AgentState, decode: DecodePacket) -> None:
        """Creates the system.

        Args:
            state: The agent's tables.
            decode: Decodes a client's packet.
        """
        self._state = state
        self._decode = decode

    def run(self, now: int) -> None:
        """Runs the step at `now` (ms)."""
        state = self._state
        for _, carry in state.inbox.take(Carry):
            packet = self._decode(carry.frame)
            if isinstance(packet, Err):
                state.counters.add("packets.unreadable")
            elif packet.ok_value.is_opening:
                handle_opening(state, carry, packet.ok_value, now)
            else:
                _handle_packet(state, carry, packet.ok_value, now)
        for _, search in state.inbox.take(Search):
            if search.is_relayed:
                _pass_search_on(state, search)
            for frame in search.frames:
                self._handle_searched(search, frame, now)

    def _handle_searched(self, search: Search, frame: bytes, now: int) -> None:
        packet = self._decode(frame)
        if isinstance(packet, Err) or packet.ok_value.is_opening:
            self._state.counters.add("packets.unreadable")
            return
        carry = Carry(CarryKind.SEARCH, search.service, 0, (), 0.0, 0, 0, search.origin, frame)
        _handle_packet(self._state, carry, packet.ok_value, now, is_searched=True)


class DenialSystem:
    """Sends denials, in one message for each balancer.

    The upstream returns the packets of a search one by one, and each arrival causes a tick.
    """

    __slots__ = ("_sent_at", "_state")

    def __init__(self, state: AgentState) -> None:
        self._state = state
        self._sent_at = 0

    def run(self, now: int) -> None:
        """Runs the step at `now` (ms)."""
        denials = self._state.denials
        if not denials or now - self._sent_at < DENIAL_INTERVAL_MS:
            return
        self._sent_at = now
        for origin, keys in denials.items():
            self._state.send(origin, Denied(keys))
        denials.clear()


def _pass_search_on(state: AgentState, search: Search) -> None:
    """Sends a search to the other agents of the service in this data centre.

    They answer the balancer themselves. It need not send the packets to each of them over its own
    link, which may be a hundredth of an agent's.
    """
    message = Search(search.service, search.origin, search.frames)
    for host in state.peers:
        state.send(host, message)
    state.counters.add("searches.passed_on")


def _handle_packet(
    state: AgentState, carry: Carry, packet: Packet, now: int, is_searched: bool = False
) -> None:
    """Handles a packet that opens no flow; `is_searched` tells whether it came in a Search."""
    flows = state.flows
    row = flows.row(packet.key)
    if row == MISSING:
        _handle_unknown_flow(state, carry, packet, now, is_searched)
        return
    flows.is_searched[row] = is_searched
    stage = flows.stage[row]
    acknowledged_offset = (packet.acknowledged - flows.answer_sequence[row]) & SEQUENCE_MASK
    if stage == AgentFlowStage.ACCEPTED and acknowledged_offset < ACK_WINDOW_BYTES:
        flows.origin[row] = carry.origin
        flows.is_confirmed[row] = acknowledged_offset == 1
        state.record_open(row)
        _log_opened(state, row, packet, carry, now)
    elif stage == AgentFlowStage.PROBED:
        flows.origin[row] = carry.origin
        state.send_to_upstream(carry.frame)
        return
    elif stage != AgentFlowStage.OPEN:
        _deny(state, carry, packet, is_searched)
        return
    _forward_to_upstream(state, row, carry, packet, now)


def _handle_unknown_flow(
    state: AgentState, carry: Carry, packet: Packet, now: int, is_searched: bool
) -> None:
    """Denies a flow that the table lacks, or probes whether the upstream holds it.

    A search goes to the agents of all services, and may rest on the record of an earlier upstream
    of the VM. It is answered by what the upstream holds, whatever service it names.
    """
    flows = state.flows
    is_misdirected = carry.service != state.service and carry.kind != CarryKind.SEARCH
    if is_misdirected or state.knows_all_flows(now):
        _deny(state, carry, packet, is_searched)
        return
    row = flows.add(packet.key)
    if row == MISSING:
        state.counters.add("flows.table_full")
        return
    # The upstream accepts or returns the packet, which shows whether it holds the flow.
    state.set_stage(row, AgentFlowStage.PROBED)
    flows.last_packet_at[row] = now
    flows.origin[row] = carry.origin
    flows.is_searched[row] = is_searched
    state.counters.add("flows.probed")
    state.send_to_upstream(carry.frame)


def _deny(state: AgentState, carry: Carry, packet: Packet, is_searched: bool) -> None:
    """Tells the balancer that the upstream does not hold a flow."""
    if is_searched:
        state.deny(carry.origin, packet.key)
        return
    state.counters.add("packets.denied")
    frame = carry.frame if carry.kind == CarryKind.OWNED else b""
    state.send(carry.origin, Missing(packet.key, False, frame))


def _forward_to_upstream(
    state: AgentState, row: int, carry: Carry, packet: Packet, now: int
) -> None:
    flows = state.flows
    flows.idle_ms[row] = now - flows.last_packet_at[row]
    flows.last_packet_at[row] = now
    flows.origin[row] = carry.origin
    if carry.kind == CarryKind.SEARCH:
        state.send(carry.origin, OwnedFlow(packet.key))
    if packet.size:
        _record_data(state, row, packet, now)
    if packet.flags & RESETS:
        # The upstream drops the flow without an answer.
        state.record_end(row, CLIENT_ENDED | UPSTREAM_ENDED)
    elif packet.flags & ENDS:
        state.record_end(row, CLIENT_ENDED)
    state.send_to_upstream(carry.frame)


def _record_data(state: AgentState, row: int, packet: Packet, now: int) -> None:
    """Records data of the client, which the upstream has to answer."""
    flows = state.flows
    next_sequence = (packet.sequence + packet.size) & SEQUENCE_MASK
    is_new = 0 < (next_sequence - flows.client_next[row]) & SEQUENCE_MASK < ACK_WINDOW_BYTES
    if is_new or not flows.client_next[row]:
        flows.client_next[row] = next_sequence
        if not flows.awaits_answer[row]:
            flows.awaiting_since[row] = now
            if flows.offered_at[row]:
                state.answer_times.record_request_delay(now - flows.offered_at[row])
                flows.offered_at[row] = 0
            # The first data of a request, which the offer of some flow announced.
            if state.recent_offer_times:
                state.recent_offer_times.pop(0)
        state.set_awaits_answer(row, True)
    state.unanswered_data_at = state.unanswered_data_at or now


def _log_opened(state: AgentState, row: int, packet: Packet, carry: Carry, now: int) -> None:
    if state.log.try_admit_decision(now):
        state.log.write(
            now,
            "flow_opened",
            flow=packet.name,
            balancer=host_text(carry.origin),
            after_ms=now - state.flows.last_packet_at[row],
            in_flight=state.in_flight,
            flows=state.open_flows,
        )
