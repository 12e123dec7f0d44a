"""Fair queue that serves the customers with queued requests by deficit round robin."""

__all__ = ["enqueue_request", "is_over_share", "pop_next_request"]

from collections import deque

from shallotshore.agent_state import AgentState
from shallotshore.agent_tables import RequestState
from shallotshore.tables import MISSING

REQUEST_COST = 1  # in units of a customer's share


def enqueue_request(state: AgentState, customer: int, key: int) -> bool:
    """Queues a claimed request.

    Returns:
        False when the table of customers is full.
    """
    queues = state.queues
    row = queues.row(customer)
    if row == MISSING:
        row = queues.add(customer)
        if row == MISSING:
            return False
        queues.waiting[row] = deque()
        state.customer_ring.append(customer)
    waiting = queues.waiting[row]
    assert waiting is not None
    waiting.append(key)
    return True


def pop_next_request(state: AgentState) -> int | None:
    """Removes and returns the key of the next queued request, or None when there is none.

    Each turn of a customer adds its share to its deficit counter, and each request costs
    `REQUEST_COST`, so that waiting customers are served in proportion to their shares.
    """
    queues = state.queues
    while state.customer_ring:
        customer = state.customer_ring[0]
        row = queues.row(customer)
        if not _has_queued_request(state, row):
            state.customer_ring.popleft()
            queues.remove(customer)
        elif queues.deficit[row] < REQUEST_COST:
            queues.deficit[row] += max(1, state.catalog.share(customer))
            state.customer_ring.rotate(-1)
        else:
            queues.deficit[row] -= REQUEST_COST
            return _pop_key(state, row)
    return None


def is_over_share(state: AgentState, customer: int, max_queued: int) -> bool:
    """Returns whether a customer fills its share of the queue while others wait too.

    Args:
        state: State of the agent.
        customer: Id of the customer.
        max_queued: Greatest number of queued requests of all customers together.
    """
    queues = state.queues
    row = queues.row(customer)
    waiting = () if row == MISSING else queues.waiting[row] or ()
    others = [
        other
        for other in state.customer_ring
        if other != customer and queues.waiting[queues.row(other)]
    ]
    if not waiting or not others:
        return False
    share = max(1, state.catalog.share(customer))
    shares = share + sum(max(1, state.catalog.share(other)) for other in others)
    return len(waiting) * shares >= max(shares, max_queued * share)


def _has_queued_request(state: AgentState, row: int) -> bool:
    """Returns whether a customer has a queued request, and removes ended requests ahead of it."""
    waiting = state.queues.waiting[row]
    while waiting:
        request_row = state.requests.row(waiting[0])
        if request_row != MISSING and state.requests.state[request_row] == RequestState.QUEUED:
            return True
        waiting.popleft()
    return False


def _pop_key(state: AgentState, row: int) -> int:
    waiting = state.queues.waiting[row]
    assert waiting
    return waiting.popleft()
