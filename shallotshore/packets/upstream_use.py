"""How often an agent reports to a balancer, by whether the balancer sends it new flows.

A balancer of a large fleet uses few of all upstreams. Those that it uses report often; from the
others it needs to know only that they live. Agent and balancer both judge by the last new flow.
"""

__all__ = ["IDLE_REPORT_MS", "REPORT_MS", "USE_MS", "fresh_ms"]

USE_MS = 2_000  # since the last new flow
REPORT_MS = 250  # whole reports to a balancer that sends new flows; they show that the agent lives
IDLE_REPORT_MS = 500  # to the others
_FRESH_MS = 700  # two lost reports are tolerated
_IDLE_FRESH_MS = 1_200  # one lost report is tolerated


def fresh_ms(unused: int) -> int:
    """Returns the age up to which a report shows that its agent lives, in ms.

    Args:
        unused: Time since the balancer sent a new flow to the upstream, in ms.
    """
    return _FRESH_MS if unused < USE_MS else _IDLE_FRESH_MS
