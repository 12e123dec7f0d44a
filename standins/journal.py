"""Record of the changes and faults that were applied to a deployment.

The checker compares the processes' logs with this record, which no process of the deployment can
read.
"""

__all__ = ["Journal", "Span"]

from dataclasses import dataclass, field

FOREVER = 1 << 60


@dataclass(slots=True)
class Span:
    """A period of time; start and end in ms."""

    start: int
    end: int = FOREVER

    def overlaps(self, start: int, end: int) -> bool:
        """Whether this span overlaps another one; ends that coincide count."""
        return self.start <= end and start <= self.end


@dataclass(slots=True)
class Journal:
    """Changes and faults by the name of the process or record concerned; times in ms.

    Attributes:
        out: Spans during which a data centre was out of service.
        leaving: Spans during which an upstream was declared leaving.
        ended: Times at which an upstream's process ended, planned or not.
        turned_cold_at: Times at which an upstream lost its caches without a restart.
        customer_withdrawn: Spans during which a customer's record was withdrawn.
        customer_added_at: Time at which a new customer's record was published.
        planned_stops: (time, process) at which planned stops began.
        partitions: (span, names of the places and processes that were cut off).
        service_outages: Spans during which the configuration service was down or stale.
        measured_from: Time from which figures are measured.
        faults: (time, description) of all unplanned events.
    """

    out: dict[str, list[Span]] = field(default_factory=dict)
    leaving: dict[str, list[Span]] = field(default_factory=dict)
    ended: dict[str, list[int]] = field(default_factory=dict)
    turned_cold_at: dict[str, list[int]] = field(default_factory=dict)
    customer_withdrawn: dict[str, list[Span]] = field(default_factory=dict)
    customer_added_at: dict[str, int] = field(default_factory=dict)
    partitions: list[tuple[Span, tuple[str, ...]]] = field(default_factory=list)
    service_outages: list[Span] = field(default_factory=list)
    measured_from: int = 0
    planned_stops: list[tuple[int, str]] = field(default_factory=list)
    faults: list[tuple[int, str]] = field(default_factory=list)

    def readable_from(self, published: int) -> int:
        """Returns when (ms) a publication became readable: at once, or at the end of an outage."""
        ends = (span.end for span in self.service_outages if span.start <= published < span.end)
        return max(ends, default=published)

    def record_service_state(self, is_up: bool, now: int) -> None:
        """Records that the configuration service is up, or that it has become down or stale."""
        is_open = bool(self.service_outages) and self.service_outages[-1].end == FOREVER
        if is_up and is_open:
            self.service_outages[-1].end = now
        elif not is_up and not is_open:
            self.service_outages.append(Span(now))

    @staticmethod
    def open_span(spans: dict[str, list[Span]], name: str, now: int) -> None:
        """Opens a span for a name unless one is open."""
        recorded = spans.setdefault(name, [])
        if not recorded or recorded[-1].end != FOREVER:
            recorded.append(Span(now))

    @staticmethod
    def close_span(spans: dict[str, list[Span]], name: str, now: int) -> None:
        """Closes the open span of a name, if there is one."""
        recorded = spans.get(name)
        if recorded and recorded[-1].end == FOREVER:
            recorded[-1].end = now
