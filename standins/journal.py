"""What was done to a deployment and when: the side of the truth that no process can see."""

__all__ = ["Journal", "Span"]

from dataclasses import dataclass, field

FOREVER = 1 << 60


@dataclass(slots=True)
class Span:
    """A time in ms during which something holds."""

    start: int
    end: int = FOREVER

    def meets(self, start: int, end: int) -> bool:
        """Whether it overlaps another span, both ends included."""
        return self.start <= end and start <= self.end


@dataclass(slots=True)
class Journal:
    """Events by the name of what they happened to.

    Attributes:
        out: Spans in which a data centre was out of service.
        leaving: Spans in which an upstream was declared leaving.
        ended: Times at which an upstream's process ended, planned or not.
        turned_cold: Times at which an upstream lost its caches without a restart.
        without_customer: Spans in which a customer's record was withdrawn.
        customer_since: Times at which a customer's record was published.
        stops: Times at which a planned stop began, by process.
        splits: (span, names) of partitions with the places and processes that were cut off.
        unreadable: Spans in which the configuration service was down or stale.
        measured_from: Time from which figures count.
        faults: (time, what) of everything that no operator plans.
    """

    out: dict[str, list[Span]] = field(default_factory=dict)
    leaving: dict[str, list[Span]] = field(default_factory=dict)
    ended: dict[str, list[int]] = field(default_factory=dict)
    turned_cold: dict[str, list[int]] = field(default_factory=dict)
    without_customer: dict[str, list[Span]] = field(default_factory=dict)
    customer_since: dict[str, int] = field(default_factory=dict)
    splits: list[tuple[Span, tuple[str, ...]]] = field(default_factory=list)
    unreadable: list[Span] = field(default_factory=list)
    measured_from: int = 0
    stops: list[tuple[int, str]] = field(default_factory=list)
    faults: list[tuple[int, str]] = field(default_factory=list)

    def readable_from(self, published: int) -> int:
        """Returns when a publication could first be read: at once, or after an outage."""
        ends = (span.end for span in self.unreadable if span.start <= published < span.end)
        return max(ends, default=published)

    def note_service(self, is_up: bool, now: int) -> None:
        """Notes that the configuration service shows what is published, or stops doing so."""
        is_open = bool(self.unreadable) and self.unreadable[-1].end == FOREVER
        if is_up and is_open:
            self.unreadable[-1].end = now
        elif not is_up and not is_open:
            self.unreadable.append(Span(now))

    @staticmethod
    def begin(spans: dict[str, list[Span]], name: str, now: int) -> None:
        """Begins a span unless one is open."""
        kept = spans.setdefault(name, [])
        if not kept or kept[-1].end != FOREVER:
            kept.append(Span(now))

    @staticmethod
    def finish(spans: dict[str, list[Span]], name: str, now: int) -> None:
        """Ends the open span."""
        kept = spans.get(name)
        if kept and kept[-1].end == FOREVER:
            kept[-1].end = now
