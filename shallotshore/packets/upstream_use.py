"""How often an agent reports to a balancer, by whether the balancer sends it new flows.

A balancer of a large fleet uses few of all upstreams. Those that it uses report often; from the
others it needs to know only that they live. Agent and balancer both judge by the last new flow.
"""

__all__ = ["IDLE_REPORT_INTERVAL_MS", "REPORT_INTERVAL_MS", "RECENT_USE_MS", "max_report_age_ms"]

RECENT_USE_MS = 2_000  # since the last new flow
REPORT_INTERVAL_MS = (
    250  # whole reports to a balancer that sends new flows; they show that the agent lives
)
IDLE_REPORT_INTERVAL_MS = 500  # to the others
_MAX_REPORT_AGE_MS = 700  # two lost reports are tolerated
_MAX_IDLE_REPORT_AGE_MS = 1_200  # one lost report is tolerated


def max_report_age_ms(unused: int) -> int:
    """Returns the age up to which a report shows that its agent lives, in ms.

    Args:
        unused: Time since the balancer sent a new flow to the upstream, in ms.
    """
    return _MAX_REPORT_AGE_MS if unused < RECENT_USE_MS else _MAX_IDLE_REPORT_AGE_MS
