"""Scores an upstream by its load, its learned speed and its learned concurrency."""

__all__ = [
    "completion_score",
    "load_weight",
    "median_service_ms",
    "relative_service",
    "usable_slots",
]

import math
from collections.abc import Iterable

from shallotshore.scheduling.median import median

MIN_MEDIAN_MS = 1.0  # latencies are measured in whole ms
# A single value of an upstream can neither attract all work nor outweigh that an upstream is silent
# or unknown.
MAX_RELATIVE_SERVICE = 8.0
# Upstreams of one service differ by small factors. One that answers in less than this share of the
# median most likely fails its requests at once, and must not attract work by that.
MIN_PLAUSIBLE_SERVICE = 0.25
MIN_COMPARABLE_MEDIAN_MS = 10.0  # below it, rounding to whole ms changes the share too much


def median_service_ms(values: Iterable[float]) -> float:
    """Returns the median of the known service times in ms; 0.0 when none is known."""
    known = [value for value in values if value > 0]
    return max(MIN_MEDIAN_MS, median(known)) if known else 0.0


def relative_service(service_ms: float, median_ms: float) -> float:
    """Returns a service time as a multiple of its service's median, within bounds.

    Args:
        service_ms: How long a request takes at the upstream; 0.0 when not known.
        median_ms: Median of the service's known service times, above 0.

    Returns:
        The multiple; 1.0 for an upstream without a value.
    """
    if not service_ms > 0:
        return 1.0
    return min(MAX_RELATIVE_SERVICE, max(1 / MAX_RELATIVE_SERVICE, service_ms / median_ms))


def load_weight(service_ms: float, median_ms: float) -> float:
    """Returns the factor on the load of an upstream that accounts for its speed.

    The square root lies between equal queues, in which requests at a slow upstream wait too long,
    and queues in proportion to the speed. The latter are so short at a slow upstream that it is
    often idle while requests wait elsewhere: at 0.85 of the capacity and with reports 40 ms old,
    0.65 of the requests were in time, 0.71 with equal queues and 0.79 with the square root.

    An upstream that is implausibly fast counts as slow, by the same factor.

    Args:
        service_ms: How long a request takes at the upstream; 0.0 when not known.
        median_ms: Median of the service's known service times, above 0.
    """
    relative = relative_service(service_ms, median_ms)
    if relative < MIN_PLAUSIBLE_SERVICE and median_ms >= MIN_COMPARABLE_MEDIAN_MS:
        relative = 1 / relative
    return math.sqrt(relative)


def usable_slots(declared_slots: int, concurrency: float) -> int:
    """Returns the slots that count as places for work.

    Args:
        declared_slots: Requests that the upstream works on at the same time, by its record.
        concurrency: Requests that it handles well at the same time; 0.0 when not known.
    """
    if not concurrency > 0:
        return declared_slots
    return max(1, min(declared_slots, round(concurrency)))


def completion_score(load: float, declared_slots: int, concurrency: float, weight: float) -> float:
    """Returns a measure of when an upstream will have done the work that it has.

    An upstream of median speed has its load per slot as score.

    Args:
        load: Requests at the upstream.
        declared_slots: Requests that the upstream works on at the same time, by its record.
        concurrency: Requests that it handles well at the same time; 0.0 when not known.
        weight: Its load weight.
    """
    slots: float = declared_slots
    if 0 < concurrency < slots:
        slots = max(1.0, concurrency)
    return weight * load / slots
