"""Passes a packet or attempt on to another agent, within a bound on hops."""

__all__ = ["MAX_HOPS", "find_next_candidate", "forward_to_peer"]

from dataclasses import replace

from shallotshore.agent_messages import Attempt, Forward
from shallotshore.agent_state import AgentState

MAX_HOPS = 6  # three candidates, a holder, and a second holder when claims change hands meanwhile


def find_next_candidate(state: AgentState, message: Forward | Attempt) -> int | None:
    """Returns the candidate that follows the own upstream in the message, or None.

    An agent that the balancer addressed without naming it passes on to the first candidate.
    """
    candidates = message.candidates
    if state.own_id in candidates:
        after = candidates[candidates.index(state.own_id) + 1 :]
    else:
        after = candidates if message.hops == 0 else ()
    return next((upstream for upstream in after if state.is_reachable(upstream)), None)


def forward_to_peer(state: AgentState, message: Forward | Attempt, upstream: int) -> bool:
    """Sends a message on to another upstream's agent.

    Returns:
        False when the message may take no further hop, the upstream is unknown or its data
        centre is out.
    """
    if upstream == state.own_id or message.hops >= MAX_HOPS or not state.is_reachable(upstream):
        state.counters.add("passes_refused")
        return False
    sent = state.send_to_peer(upstream, replace(message, hops=message.hops + 1))
    state.counters.add("passes" if sent else "passes_refused")
    return sent
