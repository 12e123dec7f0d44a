"""Forwards a packet or an attempt to the agent of another upstream, at most `MAX_HOPS` times."""

__all__ = ["MAX_HOPS", "find_next_candidate", "forward_to_peer"]

from dataclasses import replace

from shallotshore.agent_messages import Attempt, Forward
from shallotshore.agent_state import AgentState

MAX_HOPS = 6  # three candidates, the holder, and another holder if the claim moves meanwhile


def find_next_candidate(state: AgentState, message: Forward | Attempt) -> int | None:
    """Returns the next reachable candidate after this agent's upstream, or None.

    If this agent's upstream is not a candidate, a message that came directly from a balancer goes
    to the first reachable candidate; for a message from another agent, the result is None.
    """
    candidates = message.candidates
    if state.own_id in candidates:
        following = candidates[candidates.index(state.own_id) + 1 :]
    else:
        following = candidates if message.hops == 0 else ()
    return next((upstream for upstream in following if state.is_reachable(upstream)), None)


def forward_to_peer(state: AgentState, message: Forward | Attempt, upstream: int) -> bool:
    """Forwards a message to the agent of another upstream.

    Returns:
        False when the message has used up its hops, or when the upstream is this agent's own, has
        no known address or is in a data centre that is out of service.
    """
    if upstream == state.own_id or message.hops >= MAX_HOPS or not state.is_reachable(upstream):
        state.counters.add("passes_refused")
        return False
    sent = state.send_to_peer(upstream, replace(message, hops=message.hops + 1))
    state.counters.add("passes" if sent else "passes_refused")
    return sent
