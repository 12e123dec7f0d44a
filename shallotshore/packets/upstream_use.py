"""Intervals of an agent's reports to a balancer, which depend on recent new flows between the two.

In a large fleet a balancer sends new flows to few of the upstreams. The agents of these upstreams
report often; the other agents only have to show the balancer that they are alive. Agent and
balancer both decide by the time since the last new flow, so that they agree on the interval.
"""

__all__ = ["IDLE_REPORT_INTERVAL_MS", "RECENT_USE_MS", "REPORT_INTERVAL_MS", "max_report_age_ms"]

RECENT_USE_MS = 2_000  # a new flow less than this time ago counts as recent
# Interval of full reports, which show that the agent is alive, to a balancer that sends new flows.
REPORT_INTERVAL_MS = 250
IDLE_REPORT_INTERVAL_MS = 500  # interval of full reports to other balancers
_MAX_REPORT_AGE_MS = 700  # tolerates two lost reports
_MAX_IDLE_REPORT_AGE_MS = 1_200  # tolerates one lost report


def max_report_age_ms(unused_ms: int) -> int:
    """Returns the age up to which a report shows that its agent is alive, in ms.

    Args:
        unused_ms: Time since the balancer sent a new flow to the upstream, in ms.
    """
    return _MAX_REPORT_AGE_MS if unused_ms < RECENT_USE_MS else _MAX_IDLE_REPORT_AGE_MS
