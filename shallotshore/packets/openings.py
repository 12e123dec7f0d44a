"""Handles opening packets at an agent.

An opening packet is offered to the upstream, held while the upstream is busy, or passed to another
agent.
"""

from __future__ import annotations

__all__ = ["HeldOpeningSystem", "handle_opening", "pass_to_next_candidate"]

from msgspec.structs import replace

from shallotshore.codes import Code
from shallotshore.packets.agent_state import AgentState
from shallotshore.packets.agent_tables import AgentFlowStage
from shallotshore.packets.attempts import ATTEMPT_MS
from shallotshore.packets.held_openings import HeldOpening
from shallotshore.packets.hosts import host_text
from shallotshore.packets.node_messages import Carry, Passed, Refused, UpstreamHealth
from shallotshore.packets.packet import SEQUENCE_MASK, Packet
from shallotshore.scheduling.admission import expected_wait_ms
from shallotshore.tables import MISSING

# One request queued at the upstream keeps the upstream busy while the next request is on its way.
MAX_UPSTREAM_QUEUED_REQUESTS = 1
MAX_HOPS = 3
_PENDING_STAGES = (AgentFlowStage.OFFERED, AgentFlowStage.ACCEPTED)
_UPSTREAM_MAY_HOLD = (AgentFlowStage.OFFERED, AgentFlowStage.ACCEPTED, AgentFlowStage.OPEN)


class HeldOpeningSystem:
    """Releases held opening packets when the upstream has room, and drops those held too long.

    An agent that stops passes all of them to other agents.
    """

    __slots__ = ("_state",)

    def __init__(self, state: AgentState) -> None:
        self._state = state

    def run(self, now: int) -> None:
        """Runs the step at `now` (ms)."""
        state = self._state
        held = state.held_openings
        if state.is_stopping:
            while (opening := held.pop_best(now)) is not None:
                handle_opening(state, opening.carry_now(now), opening.packet, now)
        for opening in held.pop_overdue(now):
            # The next retransmission will arrive soon and may be offered to another upstream.
            state.counters.add("openings.held_too_long")
            send_refused(state, opening.carry, opening.packet, Code.OVERLOADED, now)
            _log_held_too_long(state, opening, now)
        while (
            len(held) and state.load(now) < state.usable_slots(now) + MAX_UPSTREAM_QUEUED_REQUESTS
        ):
            opening = held.pop_best(now, state.answer_times.expected_ms)
            if opening is None:
                break
            carry = opening.carry_now(now)
            handle_opening(state, carry, opening.packet, now, is_released=True)


def handle_opening(
    state: AgentState, carry: Carry, packet: Packet, now: int, is_released: bool = False
) -> None:
    """Offers a client's opening packet to the upstream, holds it or passes it to another agent.

    Args:
        state: The agent's state.
        carry: The message in which the packet arrived.
        packet: The decoded packet.
        now: Time in ms.
        is_released: Whether the packet was held and has its turn.
    """
    state.subscribers.record_use(carry.origin, now)
    if _has_client_gone(carry):
        state.counters.add("openings.client_gone")
        return
    # What is decided on this copy holds for the earlier one too.
    state.held_openings.remove_declared(packet.key)
    flows = state.flows
    row = flows.row(packet.key)
    is_pending = row != MISSING and flows.stage[row] in _PENDING_STAGES
    if is_pending and flows.offered_at[row] < state.upstream_restarted_at:
        # The restarted upstream does not know the flow, so that the copy opens a new one.
        state.remove_flow(row)
        row = MISSING
    elif is_pending:
        flows.last_packet_at[row] = now
        state.send_to_upstream(carry.frame)
        return
    if row != MISSING and flows.stage[row] == AgentFlowStage.OPEN:
        if not flows.is_reopening(row, packet.sequence):
            state.counters.add("packets.late_openings")
            return
        state.counters.add("flows.reopened")
        state.remove_flow(row)
    refusal = _find_refusal(state, carry)
    if refusal is not None:
        pass_to_next_candidate(state, carry.candidates, carry, packet, refusal, now)
        return
    # Where terms are declared, a new packet waits for its turn if others wait. Held packets get
    # their turns in the same tick.
    must_wait = carry.terms.is_declared and not is_released and len(state.held_openings) > 0
    has_room = state.load(now) < state.usable_slots(now) + MAX_UPSTREAM_QUEUED_REQUESTS
    if has_room and not must_wait:
        _offer_to_upstream(state, carry, packet, now)
    elif state.held_openings.try_hold(HeldOpening(carry, packet, now)):
        state.counters.add("openings.held")
    else:
        pass_to_next_candidate(state, carry.candidates, carry, packet, Code.OVERLOADED, now)


def _has_client_gone(carry: Carry) -> bool:
    """Whether the client has ended its attempt, or no longer waits for an answer."""
    terms = carry.terms
    if not terms.is_declared:
        return False
    return carry.age_ms >= ATTEMPT_MS or not terms.is_within_limit(0, carry.age_ms)


def _offer_to_upstream(state: AgentState, carry: Carry, packet: Packet, now: int) -> None:
    """Sends an opening packet to the upstream, unless a cold upstream's limit is reached."""
    if not state.feeds.operator.revision:
        # This agent has no copy of the configuration yet; the balancer has sent the limit along.
        state.openings_limit.set_rate(carry.cold_per_s)
    if not state.openings_limit.try_admit(now):
        pass_to_next_candidate(state, carry.candidates, carry, packet, Code.UPSTREAM_COLD, now)
        return
    flows = state.flows
    row = flows.add(packet.key)
    if row == MISSING:
        pass_to_next_candidate(state, carry.candidates, carry, packet, Code.TABLE_FULL, now)
        return
    state.set_stage(row, AgentFlowStage.OFFERED)
    flows.last_packet_at[row] = flows.offered_at[row] = now
    flows.terms[row] = carry.terms
    flows.asked_at[row] = now - carry.age_ms
    flows.origin[row] = carry.origin
    flows.hops[row] = carry.hops
    flows.candidates[row] = carry.candidates
    flows.opening_sequence[row] = packet.sequence
    flows.has_opening[row] = True
    flows.client_next[row] = (packet.sequence + 1) & SEQUENCE_MASK
    state.unanswered_opening_at = state.unanswered_opening_at or now
    state.recent_offer_times.append(now)
    state.counters.add("flows.offered")
    state.send_to_upstream(carry.frame)


def _find_refusal(state: AgentState, carry: Carry) -> Code | None:
    """Returns why the upstream must not get a new flow, or None."""
    if carry.service != state.service:
        return Code.WRONG_SERVICE
    if state.is_stopping:
        return Code.STOPPING
    if state.is_out:
        return Code.DATA_CENTRE_OUT
    if state.is_leaving:
        return Code.UPSTREAM_LEAVING
    if state.health == UpstreamHealth.SILENT and carry.candidates:
        return Code.UPSTREAM_LOST
    return None


def pass_to_next_candidate(
    state: AgentState,
    candidates: tuple[int, ...],
    carry: Carry,
    packet: Packet,
    refusal: Code,
    now: int,
    was_offered: bool = False,
) -> None:
    """Passes an opening packet to the next candidate, and tells the balancer.

    Without a candidate, or after MAX_HOPS agents, the packet is dropped, and the client
    retransmits it.

    Args:
        state: The agent's state.
        candidates: Hosts that the packet can be passed to, best first.
        carry: The message in which the packet arrived.
        packet: The decoded packet.
        refusal: Why the agent's own upstream does not get the flow.
        now: Time in ms.
        was_offered: Whether the agent's own upstream has got and returned the packet.
    """
    state.counters.add(f"openings.refused.{refusal.name.lower()}")
    is_passed = bool(candidates) and carry.hops < MAX_HOPS
    if state.log.try_admit_decision(now):
        state.log.write(
            now,
            "flow_refused",
            flow=packet.name,
            code=int(refusal),
            revision=state.feeds.upstreams.revision,
            cold_ms=state.openings_limit.cold_ms(now),
            passed_to=host_text(candidates[0]) if is_passed else None,
        )
    if not is_passed:
        if not was_offered:
            send_refused(state, carry, packet, refusal, now)
        return
    forwarded = replace(carry, candidates=candidates[1:], hops=carry.hops + 1)
    state.send(candidates[0], forwarded)
    is_unoffered = not was_offered and _can_refuse(state, carry, packet.key, now)
    state.send(carry.origin, Passed(packet.key, candidates[0], is_unoffered))


def send_refused(state: AgentState, carry: Carry, packet: Packet, code: Code, now: int) -> None:
    """Tells the balancer that an opening packet was dropped, of which the upstream has no copy.

    Args:
        state: The agent's state.
        carry: The message in which the packet arrived.
        packet: The decoded packet.
        code: Why the upstream does not get the flow.
        now: Time in ms.
    """
    if not _can_refuse(state, carry, packet.key, now):
        return
    wait_ms = expected_wait_ms(
        len(state.held_openings), state.load(now), state.slots, state.answer_times.answer_ms
    )
    state.counters.add("refusals.sent")
    state.send(carry.origin, Refused(packet.key, int(code), round(wait_ms)))


def _can_refuse(state: AgentState, carry: Carry, key: int, now: int) -> bool:
    """Whether this process knows that its upstream has got no copy of an opening packet.

    The process before it may have offered an earlier copy of the same attempt.
    """
    row = state.flows.row(key)
    if row != MISSING and state.flows.stage[row] in _UPSTREAM_MAY_HOLD:
        return False
    is_old = now - state.started_at >= ATTEMPT_MS
    return carry.terms.is_declared and (is_old or state.settings.is_first_start)


def _log_held_too_long(state: AgentState, opening: HeldOpening, now: int) -> None:
    if state.log.try_admit_decision(now):
        state.log.write(
            now,
            "flow_held_too_long",
            flow=opening.packet.name,
            code=int(Code.OVERLOADED),
            held_ms=now - opening.held_at,
            in_flight=state.in_flight,
            slots=state.slots,
        )
