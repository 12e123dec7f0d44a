"""Forwards a packet or an attempt to the agent of another upstream, at most `MAX_HOPS` times."""

__all__ = ["MAX_HOPS", "find_next_candidate", "forward_to_peer"]

from dataclasses import replace

from shallotshore.agent_messages import Attempt, Forward
from shallotshore.agent_state import AgentState

MAX_HOPS = 6  # three candidates, the holder, and another holder if the claim moves meanwhile


def find_next_candidate(state: AgentState, message: Forward | Attempt) -> int | None:
    """Returns the next reachable candidate after the own upstream, or None.

    When the balancer sent the message here without naming the own upstream as a candidate, the
    first candidate is next.
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
        False when the message has used up its hops, or the upstream is the own one, has no known
        address or is in a data centre that is out.
    """
    if upstream == state.own_id or message.hops >= MAX_HOPS or not state.is_reachable(upstream):
        state.counters.add("passes_refused")
        return False
    sent = state.send_to_peer(upstream, replace(message, hops=message.hops + 1))
    state.counters.add("passes" if sent else "passes_refused")
    return sent
