"""Figures of a run: outcomes, latency, imbalance and hops, from the logs of the stand-ins."""

__all__ = ["compute_figures", "imbalance", "percentile", "slot_utilisation"]

from collections.abc import Sequence

from shallotshore.codes import Outcome
from standins.caller_state import RequestEnd
from standins.world import World


def percentile(values: Sequence[float], share: float) -> float:
    """Returns a percentile of the values, given as a share of 1; 0 without values."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))] if ordered else 0.0


def slot_utilisation(world: World, name: str, start: int, end: int) -> float:
    """Returns the average share of its slots that an upstream used.

    Args:
        world: A deployment that has run.
        name: Name of the upstream.
        start: Start of the window in ms.
        end: End of the window in ms.
    """
    used_slot_ms = sum(
        min(run.ended or end, end) - max(run.started, start)
        for run in world.upstream_logs[name].runs
        if run.started < end and (run.ended or end) > start
    )
    return used_slot_ms / max(1, end - start) / world.server(name).settings.slots


def imbalance(world: World, service: str, start: int, end: int) -> float:
    """Returns the highest slot use of a service's upstreams divided by their mean slot use.

    Args:
        world: A deployment that has run.
        service: Name of the service.
        start: Start of the window in ms.
        end: End of the window in ms.
    """
    utilisations = [
        slot_utilisation(world, name, start, end)
        for name in world.upstream_logs
        if world.server(name).settings.service == service
    ]
    mean = sum(utilisations) / len(utilisations) if utilisations else 0.0
    return max(utilisations) / mean if mean else 0.0


def compute_figures(world: World) -> dict[str, float]:
    """Returns the figures of a run by name, from the time at which its measurement starts."""
    start = world.journal.measured_from
    ends = [end for log in world.caller_logs for end in log.requests if end.created_at >= start]
    broken = [end for log in world.caller_logs for end in log.broken_feeds if end.ended >= start]
    refused = [at for log in world.caller_logs for at, _ in log.refused_opens if at >= start]
    not_cancelled = [end for end in ends if not end.cancelled]
    done = [end for end in not_cancelled if end.outcome == Outcome.DONE]
    latencies = [float(end.ended - end.created_at) for end in done]
    first = sum(at >= start for at in world.delivery_log.first_hops) or 1
    extra = sum(at >= start for at in world.delivery_log.extra_hops)
    figures = {
        "requests": float(len(ends)),
        "done": float(len(done)),
        "done_share": len(done) / len(not_cancelled) if not_cancelled else 0.0,
        "not_run": _count_outcome(not_cancelled, Outcome.NOT_RUN),
        "unknown": _count_outcome(not_cancelled, Outcome.UNKNOWN),
        "untold": float(sum(end.outcome == 0 for end in not_cancelled)),
        "p50": percentile(latencies, 0.50),
        "p99": percentile(latencies, 0.99),
        "feeds_open": float(sum(len(log.sessions) for log in world.caller_logs)),
        "feeds_broken": float(len(broken)),
        "feeds_refused": float(len(refused)),
        "feed_packets": float(sum(log.received_packets for log in world.caller_logs)),
        "longest_gap": float(max((log.longest_gap_ms for log in world.caller_logs), default=0)),
        "extra_hop_share": extra / first,
        "configuration_reads": float(world.configuration.reads),
        "configuration_refused": float(world.configuration.refused),
    }
    for service in world.plan.services:
        figures[f"imbalance_{service}"] = imbalance(world, service, start, world.now)
    return figures


def _count_outcome(ends: list[RequestEnd], outcome: Outcome) -> float:
    return float(sum(end.outcome == outcome for end in ends))
