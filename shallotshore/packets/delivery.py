"""Decides what an agent does with the packets of clients and of its upstream."""

from __future__ import annotations

__all__ = ["ClientPacketSystem", "HeldOpeningSystem", "UpstreamPacketSystem"]

from collections.abc import Callable
from typing import TYPE_CHECKING

from result import Err, Result

from shallotshore.codes import Code
from shallotshore.packets.agent_state import AgentState
from shallotshore.packets.agent_tables import FlowStage
from shallotshore.packets.held_openings import HeldOpening
from shallotshore.packets.hosts import host_text
from shallotshore.packets.node_messages import (
    Carry,
    CarryKind,
    Missing,
    OwnedFlow,
    Passed,
    UpstreamHealth,
)
from shallotshore.packets.packet import ENDS, OPENS, RESETS, RETURNED, Packet, ToClient
from shallotshore.tables import MISSING

if TYPE_CHECKING:
    pass

# Requests that may wait at the upstream itself: one keeps it busy while the next is on its way.
QUEUED_AT_UPSTREAM = 1
HOLD_MS = 150  # the client's first copy comes after 200 ms
MAX_HOPS = 3  # agents that pass an opening packet on
SEQUENCE_MASK = (1 << 32) - 1
# Bytes that an upstream may have sent before the client's first packet arrives here.
ACKNOWLEDGED_WINDOW = 1 << 20
CLIENT_ENDED = 1
UPSTREAM_ENDED = 2

Decode = Callable[[bytes], Result[Packet, Code]]


class ClientPacketSystem:
    """Takes packets of clients that balancers and other agents send."""

    __slots__ = ("_decode", "_state")

    def __init__(self, state: AgentState, decode: Decode) -> None:
        """Creates the system.

        Args:
            state: The agent's tables.
            decode: Reads a client's packet.
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
                _take_opening(state, carry, packet.ok_value, now)
            else:
                _take_packet(state, carry, packet.ok_value, now)


def _take_opening(state: AgentState, carry: Carry, packet: Packet, now: int) -> None:
    flows = state.flows
    row = flows.row(packet.key)
    if row != MISSING and flows.stage[row] in (FlowStage.OFFERED, FlowStage.ACCEPTED):
        flows.touched[row] = now
        state.deliver(carry.frame)
        return
    if row != MISSING and flows.stage[row] == FlowStage.OPEN:
        state.counters.add("packets.late_openings")
        return
    refusal = _refusal(state, carry, now)
    if refusal is not None:
        _pass_on(state, carry.candidates, carry, packet, refusal, now)
        return
    if state.load(now) < state.slots + QUEUED_AT_UPSTREAM:
        _offer(state, carry, packet, now)
    elif state.held.hold(HeldOpening(carry, packet, now)):
        state.counters.add("openings.held")
    else:
        _pass_on(state, carry.candidates, carry, packet, Code.OVERLOADED, now)


def _offer(state: AgentState, carry: Carry, packet: Packet, now: int) -> None:
    """Hands an opening packet to the upstream."""
    flows = state.flows
    row = flows.add(packet.key)
    if row == MISSING:
        _pass_on(state, carry.candidates, carry, packet, Code.TABLE_FULL, now)
        return
    state.set_stage(row, FlowStage.OFFERED)
    flows.touched[row] = now
    flows.origin[row] = carry.origin
    flows.hops[row] = carry.hops
    flows.candidates[row] = carry.candidates
    flows.client_next[row] = (packet.sequence + 1) & SEQUENCE_MASK
    state.unanswered_opening_at = state.unanswered_opening_at or now
    state.recent_offers.append(now)
    state.counters.add("flows.offered")
    state.deliver(carry.frame)


def _refusal(state: AgentState, carry: Carry, now: int) -> Code | None:
    """Returns why the upstream must not be given a new flow, or None."""
    if carry.service != state.service:
        return Code.WRONG_SERVICE
    if state.is_out:
        return Code.DATA_CENTRE_OUT
    if state.is_leaving:
        return Code.UPSTREAM_LEAVING
    if state.health == UpstreamHealth.SILENT and carry.candidates:
        return Code.UPSTREAM_LOST
    if not state.feeds.operator.revision:
        # The balancer knows the service's limit before this agent has heard of it.
        state.limit.set_rate(carry.cold_per_s)
    if not state.limit.take(now):
        return Code.UPSTREAM_COLD
    return None


def _pass_on(
    state: AgentState,
    candidates: tuple[int, ...],
    carry: Carry,
    packet: Packet,
    refusal: Code,
    now: int,
) -> None:
    """Passes an opening packet on to the next candidate; without one the client sends a copy."""
    state.counters.add(f"openings.refused.{refusal.name.lower()}")
    is_passed = bool(candidates) and carry.hops < MAX_HOPS
    if state.log.admits(now):
        state.log.write(
            now,
            "flow_refused",
            flow=packet.name,
            code=int(refusal),
            revision=state.feeds.upstreams.revision,
            cold_ms=state.limit.cold_ms(now),
            passed_to=host_text(candidates[0]) if is_passed else None,
        )
    if not is_passed:
        return
    follower = Carry(
        CarryKind.OPEN,
        carry.service,
        carry.revision,
        candidates[1:],
        carry.cold_per_s,
        carry.priority,
        carry.hops + 1,
        carry.origin,
        carry.frame,
    )
    state.send(candidates[0], follower)
    state.send(carry.origin, Passed(packet.key, candidates[0]))


def _take_packet(state: AgentState, carry: Carry, packet: Packet, now: int) -> None:
    flows = state.flows
    row = flows.row(packet.key)
    if row == MISSING:
        _take_unknown(state, carry, packet, now)
        return
    stage = flows.stage[row]
    if stage == FlowStage.ACCEPTED and _is_accepted_here(state, row, packet):
        flows.origin[row] = carry.origin
        state.note_open(row)
        _log_opened(state, row, packet, carry, now)
    elif stage == FlowStage.PROBED:
        flows.origin[row] = carry.origin
        state.deliver(carry.frame)
        return
    elif stage != FlowStage.OPEN:
        _deny(state, carry, packet)
        return
    _deliver(state, row, carry, packet, now)


def _is_accepted_here(state: AgentState, row: int, packet: Packet) -> bool:
    """Whether the client goes on with the upstream beside this agent, not with another one."""
    distance = (packet.acknowledged - state.flows.answer_sequence[row]) & SEQUENCE_MASK
    return distance < ACKNOWLEDGED_WINDOW


def _take_unknown(state: AgentState, carry: Carry, packet: Packet, now: int) -> None:
    flows = state.flows
    if carry.service != state.service or state.is_certain(now):
        _deny(state, carry, packet)
        return
    row = flows.add(packet.key)
    if row == MISSING:
        state.counters.add("flows.table_full")
        return
    # The upstream takes the packet or returns it, which tells whether it holds the flow.
    state.set_stage(row, FlowStage.PROBED)
    flows.touched[row] = now
    flows.origin[row] = carry.origin
    state.counters.add("flows.probed")
    state.deliver(carry.frame)


def _deny(state: AgentState, carry: Carry, packet: Packet) -> None:
    state.counters.add("packets.denied")
    frame = carry.frame if carry.kind == CarryKind.OWNED else b""
    state.send(carry.origin, Missing(packet.key, False, frame))


def _deliver(state: AgentState, row: int, carry: Carry, packet: Packet, now: int) -> None:
    flows = state.flows
    flows.touched[row] = now
    flows.origin[row] = carry.origin
    if carry.kind == CarryKind.SEARCH:
        state.send(carry.origin, OwnedFlow(packet.key))
    if packet.size:
        _note_data(state, row, packet, now)
    if packet.flags & (ENDS | RESETS):
        _note_end(state, row, CLIENT_ENDED)
    state.deliver(carry.frame)


def _note_data(state: AgentState, row: int, packet: Packet, now: int) -> None:
    flows = state.flows
    after = (packet.sequence + packet.size) & SEQUENCE_MASK
    is_new = 0 < (after - flows.client_next[row]) & SEQUENCE_MASK < ACKNOWLEDGED_WINDOW
    if is_new or not flows.client_next[row]:
        flows.client_next[row] = after
        if not flows.awaits[row]:
            flows.awaited_at[row] = now
        state.set_awaits(row, True)
        if state.recent_offers:
            state.recent_offers.pop(0)
    state.unanswered_data_at = state.unanswered_data_at or now


def _note_end(state: AgentState, row: int, end: int) -> None:
    flows = state.flows
    was_open = flows.ends[row] != CLIENT_ENDED | UPSTREAM_ENDED
    flows.ends[row] |= end
    if flows.ends[row] == CLIENT_ENDED | UPSTREAM_ENDED and was_open:
        state.set_awaits(row, False)


def _log_opened(state: AgentState, row: int, packet: Packet, carry: Carry, now: int) -> None:
    if state.log.admits(now):
        state.log.write(
            now,
            "flow_opened",
            flow=packet.name,
            balancer=host_text(carry.origin),
            after_ms=now - state.flows.touched[row],
            in_flight=state.in_flight,
            flows=state.open_flows,
        )


class HeldOpeningSystem:
    """Releases opening packets as the upstream gets free, and gives up those that waited long."""

    __slots__ = ("_state",)

    def __init__(self, state: AgentState) -> None:
        self._state = state

    def run(self, now: int) -> None:
        """Runs the step at `now` (ms)."""
        state = self._state
        held = state.held
        if not len(held):
            return
        for opening in held.take_held_before(now - HOLD_MS):
            # The client's next copy is on its way, and may find another upstream.
            state.counters.add("openings.held_too_long")
            _log_dropped(state, opening, now)
        while len(held) and state.load(now) < state.slots + QUEUED_AT_UPSTREAM:
            opening = held.take_best()
            _take_opening(state, opening.carry, opening.packet, now)


def _log_dropped(state: AgentState, opening: HeldOpening, now: int) -> None:
    if state.log.admits(now):
        state.log.write(
            now,
            "flow_held_too_long",
            flow=opening.packet.name,
            code=int(Code.OVERLOADED),
            held_ms=now - opening.held_at,
            in_flight=state.in_flight,
            slots=state.slots,
        )


class UpstreamPacketSystem:
    """Takes what the upstream sends: its own packets, and packets of clients that it returns."""

    __slots__ = ("_state",)

    def __init__(self, state: AgentState) -> None:
        self._state = state

    def run(self, now: int) -> None:
        """Runs the step at `now` (ms)."""
        state = self._state
        for _, packet in state.inbox.take(Packet):
            state.heard_at = now
            state.unanswered_opening_at = state.unanswered_data_at = 0
            if packet.flags & RETURNED:
                _take_returned(state, packet, now)
            else:
                _take_answer(state, packet, now)


def _take_answer(state: AgentState, packet: Packet, now: int) -> None:
    flows = state.flows
    row = flows.row(packet.key)
    if row == MISSING:
        row = _note_unknown_flow(state, packet)
    if row != MISSING:
        flows.touched[row] = now
        if packet.flags & OPENS:
            if flows.stage[row] == FlowStage.OFFERED:
                state.set_stage(row, FlowStage.ACCEPTED)
            flows.answer_sequence[row] = packet.sequence
        elif flows.stage[row] in (FlowStage.PROBED, FlowStage.FOREIGN):
            state.note_open(row)
        if packet.size and flows.awaits[row]:
            waited = now - flows.awaited_at[row]
            state.latencies.record("first_answer", packet.route_name, waited)
            state.set_awaits(row, False)
        if packet.flags & ENDS:
            _note_end(state, row, UPSTREAM_ENDED)
        if packet.flags & RESETS:
            _note_end(state, row, CLIENT_ENDED | UPSTREAM_ENDED)
    state.outbox.send(packet.client, ToClient(packet.frame))


def _note_unknown_flow(state: AgentState, packet: Packet) -> int:
    """Takes up a flow that the upstream holds since before the agent's start."""
    row = state.flows.add(packet.key)
    if row != MISSING:
        state.counters.add("flows.learnt")
        state.set_stage(row, FlowStage.ACCEPTED if packet.flags & OPENS else FlowStage.OPEN)
    return row


def _take_returned(state: AgentState, packet: Packet, now: int) -> None:
    flows = state.flows
    row = flows.row(packet.key)
    state.counters.add("packets.returned")
    if row == MISSING:
        return
    origin, stage = flows.origin[row], flows.stage[row]
    if packet.is_opening:
        if stage == FlowStage.OFFERED:
            _pass_returned(state, row, packet, now)
        return
    if stage == FlowStage.OPEN:
        # The upstream has started again, or has given the flow up.
        state.forget(row)
        state.counters.add("flows.lost")
        state.send(origin, Missing(packet.key, True, packet.frame))
        _log_lost(state, packet, now)
    elif stage == FlowStage.PROBED:
        state.set_stage(row, FlowStage.FOREIGN)
        flows.touched[row] = now
        state.send(origin, Missing(packet.key, False, b""))


def _pass_returned(state: AgentState, row: int, packet: Packet, now: int) -> None:
    flows = state.flows
    carry = Carry(
        CarryKind.OPEN,
        state.service,
        0,
        flows.candidates[row],
        0.0,
        0,
        flows.hops[row],
        flows.origin[row],
        packet.frame,
    )
    state.forget(row)
    _pass_on(state, carry.candidates, carry, packet, Code.OVERLOADED, now)


def _log_lost(state: AgentState, packet: Packet, now: int) -> None:
    if state.log.admits(now):
        state.log.write(
            now,
            "flow_lost",
            flow=packet.name,
            code=int(Code.FLOW_LOST),
            agent_age_ms=now - state.started_at,
        )
