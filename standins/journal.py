"""What was done to a deployment and when: the side of the truth that no process can see."""

__all__ = ["Journal", "Span"]

from dataclasses import dataclass, field

FOREVER = 1 << 60


@dataclass(slots=True)
class Span:
    """A time in ms during which something holds."""

    start: int
    end: int = FOREVER

    def overlaps(self, start: int, end: int) -> bool:
        """Whether it overlaps another span, both ends included."""
        return self.start <= end and start <= self.end


@dataclass(slots=True)
class Journal:
    """Events by the name of what they happened to.

    Attributes:
        out: Spans in which a data centre was out of service.
        leaving: Spans in which an upstream was declared leaving.
        ended: Times at which an upstream's process ended, planned or not.
        turned_cold_at: Times at which an upstream lost its caches without a restart.
        customer_withdrawn: Spans in which a customer's record was withdrawn.
        customer_added_at: Times at which a customer's record was published.
        planned_stops: Times at which a planned stop began, by process.
        partitions: (span, names) of partitions with the places and processes that were cut off.
        service_outages: Spans in which the configuration service was down or stale.
        measured_from: Time from which figures count.
        faults: (time, what) of everything that no operator plans.
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
        """Returns when a publication could first be read: at once, or after an outage."""
        ends = (span.end for span in self.service_outages if span.start <= published < span.end)
        return max(ends, default=published)

    def record_service_state(self, is_up: bool, now: int) -> None:
        """Notes that the configuration service shows what is published, or stops doing so."""
        is_open = bool(self.service_outages) and self.service_outages[-1].end == FOREVER
        if is_up and is_open:
            self.service_outages[-1].end = now
        elif not is_up and not is_open:
            self.service_outages.append(Span(now))

    @staticmethod
    def open_span(spans: dict[str, list[Span]], name: str, now: int) -> None:
        """Begins a span unless one is open."""
        kept = spans.setdefault(name, [])
        if not kept or kept[-1].end != FOREVER:
            kept.append(Span(now))

    @staticmethod
    def close_span(spans: dict[str, list[Span]], name: str, now: int) -> None:
        """Ends the open span."""
        kept = spans.get(name)
        if kept and kept[-1].end == FOREVER:
            kept[-1].end = now
