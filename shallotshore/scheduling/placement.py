"""Scores an upstream by the expected completion time of a request that is sent there."""

__all__ = [
    "MIN_MEDIAN_MS",
    "completion_score",
    "median_service_ms",
    "relative_service",
    "usable_slots",
]

from collections.abc import Iterable

from shallotshore.scheduling.median import median

MIN_MEDIAN_MS = 1.0  # latencies are measured in whole ms
# A single value of an upstream can neither attract all work nor outweigh that an upstream is silent
# or unknown.
MAX_RELATIVE_SERVICE = 8.0


def median_service_ms(values: Iterable[float]) -> float:
    """Returns the median of the known service times in ms; 0.0 when none is known."""
    known = [value for value in values if value > 0]
    return max(MIN_MEDIAN_MS, median(known)) if known else 0.0


def relative_service(service_ms: float, median_ms: float) -> float:
    """Returns a service time as a multiple of its service's median.

    Args:
        service_ms: How long a request takes at the upstream; 0.0 when not known.
        median_ms: Median of the service's known service times; 0.0 when none is known.

    Returns:
        The multiple, 1.0 for an upstream without a value; 0.0 when no median is known.
    """
    if not median_ms > 0:
        return 0.0
    if not service_ms > 0:
        return 1.0
    return min(MAX_RELATIVE_SERVICE, max(1 / MAX_RELATIVE_SERVICE, service_ms / median_ms))


def usable_slots(declared_slots: int, concurrency: float) -> int:
    """Returns the slots that count as places for work.

    Args:
        declared_slots: Requests that the upstream works on at the same time, by its record.
        concurrency: Requests that it handles well at the same time; 0.0 when not known.
    """
    if not concurrency > 0:
        return declared_slots
    return max(1, min(declared_slots, round(concurrency)))


def completion_score(
    load: float, declared_slots: int, concurrency: float, relative: float
) -> float:
    """Returns the expected time until an upstream has done the work that it has.

    The unit is the median service time of the service, so an upstream of median speed has its load
    per slot as score. The time for the new request itself is left out: with it, upstreams at half
    speed got work only when the others were loaded, and their share changed by up to 70% from one
    second to the next at half load.

    Args:
        load: Requests at the upstream.
        declared_slots: Requests that the upstream works on at the same time, by its record.
        concurrency: Requests that it handles well at the same time; 0.0 when not known.
        relative: Its service time as a multiple of the median.
    """
    slots: float = declared_slots
    if 0 < concurrency < slots:
        slots = max(1.0, concurrency)
    return relative * load / slots
