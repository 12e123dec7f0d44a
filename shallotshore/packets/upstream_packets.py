"""Handles packets that an agent receives from its upstream, including returned client packets."""

from __future__ import annotations

__all__ = ["UpstreamPacketSystem"]

from shallotshore.codes import Code
from shallotshore.packets.agent_state import AgentState
from shallotshore.packets.agent_tables import CLIENT_ENDED, UPSTREAM_ENDED, AgentFlowStage
from shallotshore.packets.node_messages import Carry, CarryKind, Missing, OwnedFlow
from shallotshore.packets.openings import pass_to_next_candidate
from shallotshore.packets.packet import ENDS, OPENS, RESETS, RETURNED, Packet, PacketToClient
from shallotshore.scheduling.terms import RequestTerms
from shallotshore.tables import MISSING

MAX_KEPT_IDLE_MS = 5_000  # an upstream may abandon flows that are idle for longer
_UNSEEN_STAGES = (AgentFlowStage.PROBED, AgentFlowStage.NOT_HELD)


class UpstreamPacketSystem:
    """Handles the upstream's own packets, and clients' packets that it returns."""

    __slots__ = ("_state",)

    def __init__(self, state: AgentState) -> None:
        self._state = state

    def run(self, now: int) -> None:
        """Runs the step at `now` (ms)."""
        state = self._state
        for _, packet in state.inbox.take(Packet):
            shows_restart = _shows_restart(state, packet)
            if shows_restart and not state.openings_limit.is_unlimited:
                state.record_upstream_restart(now)
            if shows_restart or not packet.flags & (RETURNED | OPENS):
                # A packet that the upstream only returns leaves open which process it is.
                state.is_upstream_silent = False
            state.last_upstream_packet_at = now
            state.unanswered_opening_at = state.unanswered_data_at = 0
            if packet.flags & RETURNED:
                _handle_returned(state, packet, now)
            else:
                _handle_upstream_packet(state, packet, now)


def _shows_restart(state: AgentState, packet: Packet) -> bool:
    """Whether a packet shows that the upstream has restarted, or may have.

    A restarted upstream returns the packets of flows that it held. One that was silent and now
    accepts a flow may have restarted; one that goes on with a flow has not. A flow that was idle,
    or that the client has ended, may have been abandoned.
    """
    flows = state.flows
    if not packet.flags & RETURNED:
        return state.is_upstream_silent and bool(packet.flags & OPENS)
    row = flows.row(packet.key)
    return (
        row != MISSING
        and not packet.is_opening
        and flows.stage[row] == AgentFlowStage.OPEN
        and bool(flows.is_confirmed[row])
        and not flows.ends[row]
        and flows.opened_at[row] > state.upstream_restarted_at
        and flows.idle_ms[row] <= MAX_KEPT_IDLE_MS
    )


def _handle_upstream_packet(state: AgentState, packet: Packet, now: int) -> None:
    flows = state.flows
    row = flows.row(packet.key)
    if row == MISSING:
        row = _add_unknown_flow(state, packet)
    if row != MISSING:
        flows.last_packet_at[row] = now
        if packet.flags & OPENS:
            if flows.stage[row] == AgentFlowStage.OFFERED:
                state.set_stage(row, AgentFlowStage.ACCEPTED)
            flows.answer_sequence[row] = packet.sequence
        else:
            flows.is_confirmed[row] = True
            if flows.stage[row] in _UNSEEN_STAGES:
                state.record_open(row)
                state.openings_limit.end_assumption()
                # The balancer that searches for the owner may not have subscribed to this process
                # yet, and would then get no report.
                state.send(flows.origin[row], OwnedFlow(packet.key))
        if packet.size and flows.awaits_answer[row]:
            waited_ms = now - flows.awaiting_since[row]
            state.latencies.record("first_answer", packet.route_name, waited_ms)
            state.answer_times.record_answer(waited_ms)
            state.set_awaits_answer(row, False)
            state.failures.record_answer(now)
            state.capacity.record_answer(waited_ms, flows.in_flight_at_request[row], now)
        if packet.flags & RESETS and flows.awaits_answer[row]:
            state.failures.record_failure(now)
            state.capacity.record_failure(now)
            state.counters.add("flows.reset_by_upstream")
        if packet.flags & ENDS:
            state.record_end(row, UPSTREAM_ENDED)
        if packet.flags & RESETS:
            state.record_end(row, CLIENT_ENDED | UPSTREAM_ENDED)
    state.outbox.send(packet.client, PacketToClient(packet.frame))


def _add_unknown_flow(state: AgentState, packet: Packet) -> int:
    """Adds a flow that the upstream accepted before the agent started.

    Returns:
        The row of the flow, or MISSING when the table is full.
    """
    row = state.flows.add(packet.key)
    if not packet.flags & OPENS:
        # The upstream has run since before this agent's start.
        state.openings_limit.end_assumption()
    if row != MISSING:
        state.counters.add("flows.learnt")
        state.set_stage(
            row, AgentFlowStage.ACCEPTED if packet.flags & OPENS else AgentFlowStage.OPEN
        )
    return row


def _handle_returned(state: AgentState, packet: Packet, now: int) -> None:
    """Handles a client's packet that the upstream, which does not hold the flow, has returned."""
    flows = state.flows
    row = flows.row(packet.key)
    state.counters.add("packets.returned")
    if row == MISSING:
        return
    origin, stage = flows.origin[row], flows.stage[row]
    if packet.is_opening:
        if stage == AgentFlowStage.OFFERED:
            state.failures.record_failure(now)
            state.capacity.record_failure(now, was_running=False)
            _pass_returned_opening(state, row, packet, now)
        return
    if stage == AgentFlowStage.OPEN and not flows.is_confirmed[row]:
        # Two upstreams had accepted the flow, with sequence numbers close to each other, and the
        # client uses it with the other upstream.
        state.remove_flow(row)
        state.counters.add("flows.accepted_elsewhere")
        state.send(origin, Missing(packet.key, False, packet.frame))
    elif stage == AgentFlowStage.OPEN:
        # The upstream has restarted, or has abandoned the flow.
        state.remove_flow(row)
        state.forget_requests()
        state.counters.add("flows.lost")
        state.send(origin, Missing(packet.key, True, packet.frame))
        _log_lost_flow(state, packet, now)
    elif stage == AgentFlowStage.PROBED:
        state.set_stage(row, AgentFlowStage.NOT_HELD)
        flows.last_packet_at[row] = now
        if flows.is_searched[row]:
            state.deny(origin, packet.key)
        else:
            state.send(origin, Missing(packet.key, False, packet.frame))


def _pass_returned_opening(state: AgentState, row: int, packet: Packet, now: int) -> None:
    """Passes an opening packet that the upstream has returned to the next candidate."""
    flows = state.flows
    terms = flows.terms[row] or RequestTerms()
    carry = Carry(
        CarryKind.OPEN,
        state.service,
        0,
        flows.candidates[row],
        0.0,
        terms.priority if terms.is_declared else 0,
        flows.hops[row],
        flows.origin[row],
        packet.frame,
        terms.target_ms,
        terms.limit_ms,
        now - flows.asked_at[row] if terms.is_declared else 0,
    )
    state.remove_flow(row)
    pass_to_next_candidate(state, carry.candidates, carry, packet, Code.OVERLOADED, now, True)


def _log_lost_flow(state: AgentState, packet: Packet, now: int) -> None:
    if state.log.try_admit_decision(now):
        state.log.write(
            now,
            "flow_lost",
            flow=packet.name,
            code=int(Code.FLOW_LOST),
            agent_age_ms=now - state.started_at,
        )
