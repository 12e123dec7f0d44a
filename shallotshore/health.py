"""Health of upstreams, judged by health events and by what this balancer observes itself.

Flap damping keeps new work from an upstream for a time after it has recovered. A floor keeps at
least half of a service's upstreams in use.
"""

__all__ = ["AnswerWindow", "Exclusions", "HealthTable"]

from array import array
from collections.abc import Iterator, Sequence
from typing import Protocol

from shallotshore.messages import HealthState
from shallotshore.tables import MISSING, Table

_NO_UPSTREAMS: frozenset[int] = frozenset()
_SUSPICION_THRESHOLD = 2.0  # three unanswered attempts within a half-life: 1 + 0.7 + 0.5
_TRUST_THRESHOLD = 1.0  # lower than the suspicion threshold, so that one attempt causes no flapping
_SUSPICION_HALF_LIFE_MS = 5_000
_MIN_HOLD_DOWN_MS = 2_000
_MAX_HOLD_DOWN_MS = 60_000
_FLAP_RESET_MS = 300_000
_MAX_ROWS = 16_384  # upstreams that are watched, suspected or have had a recent event
_ROWS_PER_SLICE = 256  # a row takes a few microseconds, and a slice at most 2 ms
_SERVICES_PER_SLICE = 32
_END_OF_SLICES = object()
_DOWN_SEVERITY = 1_000.0
# An upstream that has not answered a flow's opening packet for this long counts as silent. An
# answer comes sooner even over a lossy link.
_OPENING_WINDOW_MS = 1_000
# Longer than the window of an opening, since packets of an established flow need no answer. But the
# upstream of a live flow sends packets now and then.
_PACKET_WINDOW_MS = 3_000
_STALE_WINDOW_MS = 5_000  # a window this old is ignored: another balancer may have got an answer
_WINDOW_SLOT_BITS = 12  # 4,096 windows of 16 bytes
_NO_NEW_WORK_STATES = (HealthState.STALLED, HealthState.LEAVING)


class HealthCatalog(Protocol):
    """The part of the catalog that is used to apply the floor of each service."""

    @property
    def revision(self) -> int:
        """Revision in force."""

    def upstreams_of(self, service: int) -> Sequence[int]:
        """Returns the ids of all upstream records of the service."""

    def takes_new_work(self, upstream: int) -> bool:
        """Whether the upstream is not leaving and its data centre is in service."""


class AnswerWindow:
    """Direct-mapped cache of the time at which each upstream's window without an answer began."""

    __slots__ = ("_tags", "_unanswered_since")

    def __init__(self) -> None:
        self._tags = array("Q", bytes(8 << _WINDOW_SLOT_BITS))
        self._unanswered_since = array("q", bytes(8 << _WINDOW_SLOT_BITS))

    def record_packet_sent(self, upstream: int, is_opening: bool, now: int) -> bool:
        """Records a packet sent to an upstream.

        Args:
            upstream: Id of the upstream.
            is_opening: Whether the packet opens a flow. The window of openings is shorter.
            now: Time in ms.

        Returns:
            Whether the upstream has been silent for a whole window. The next window then starts.
        """
        slot = upstream >> (64 - _WINDOW_SLOT_BITS)
        age = now - self._unanswered_since[slot]
        if self._tags[slot] != upstream or age > _STALE_WINDOW_MS:
            self._tags[slot] = upstream
            self._unanswered_since[slot] = now
            return False
        if age < (_OPENING_WINDOW_MS if is_opening else _PACKET_WINDOW_MS):
            return False
        self._unanswered_since[slot] = now
        return True

    def record_answer(self, upstream: int) -> None:
        """Ends the window of an upstream from which a message has arrived."""
        slot = upstream >> (64 - _WINDOW_SLOT_BITS)
        if self._tags[slot] == upstream:
            self._tags[slot] = 0


class HealthTable(Table):
    """State of each upstream that is watched, suspected or has had an event.

    Columns:
        incarnation: Agent incarnation of the last event.
        sequence: Sequence number of the last event.
        state: `HealthState` by the last event.
        service: Id of the service.
        suspicion: Number of unanswered attempts, decayed, as of `suspected_at`.
        suspected_at: Time in ms at which the suspicion last changed.
        is_bad: 1 for an upstream that is down or suspected.
        flaps: How often the upstream has recovered lately; each time doubles the hold-down time.
        well_at: Time in ms at which the hold-down ends and new work may go to the upstream.
        changed_at: Time in ms at which the state last changed.
    """

    __slots__ = (
        "changed_at",
        "flaps",
        "incarnation",
        "is_bad",
        "sequence",
        "service",
        "state",
        "suspected_at",
        "suspicion",
        "well_at",
    )

    changed_at: "array[int]"
    flaps: "array[int]"
    incarnation: "array[int]"
    is_bad: "array[int]"
    sequence: "array[int]"
    service: "array[int]"
    state: "array[int]"
    suspected_at: "array[int]"
    suspicion: "array[float]"
    well_at: "array[int]"

    COLUMNS = {
        "changed_at": "q",
        "flaps": "B",
        "incarnation": "Q",
        "is_bad": "B",
        "sequence": "Q",
        "service": "Q",
        "state": "B",
        "suspected_at": "q",
        "suspicion": "d",
        "well_at": "q",
    }

    def __init__(self, limit: int = _MAX_ROWS) -> None:
        """Creates an empty table; upstreams beyond the limit count as healthy."""
        super().__init__(limit)

    @property
    def bad_count(self) -> int:
        """Number of upstreams that are down or suspected."""
        return sum(self.is_bad[row] for row in self.rows())

    def track(self, upstream: int, service: int) -> int:
        """Returns the row of an upstream, which is added if needed, or MISSING in a full table."""
        row = self.add(upstream)
        if row != MISSING and not self.service[row]:
            self.service[row] = service
            self.state[row] = HealthState.UP
        return row

    def suspicion_at(self, row: int, now: int) -> float:
        """Returns the suspicion of a row, halved for each 5 s since it last changed."""
        age = now - self.suspected_at[row]
        return float(self.suspicion[row]) * 0.5 ** (age / _SUSPICION_HALF_LIFE_MS)

    def record_unanswered(self, upstream: int, service: int, now: int, weight: float = 1.0) -> None:
        """Raises the suspicion of an upstream that left an attempt or packets unanswered.

        Args:
            upstream: Id of the upstream.
            service: Id of its service.
            now: Time in ms.
            weight: Number of unanswered attempts that this counts as.
        """
        row = self.track(upstream, service)
        if row != MISSING:
            self.suspicion[row] = self.suspicion_at(row, now) + weight
            self.suspected_at[row] = now

    def reduce_suspicion(self, upstream: int, now: int) -> None:
        """Reduces the suspicion to a quarter after a message from the upstream."""
        row = self.row(upstream)
        if row != MISSING and self.suspicion[row]:
            self.suspicion[row] = self.suspicion_at(row, now) / 4
            self.suspected_at[row] = now

    def update_if_newer(
        self, row: int, incarnation: int, sequence: int, state: int, now: int
    ) -> bool:
        """Stores a state when it is newer than the stored one.

        With equal sequence numbers, a state that the agent published outranks the DOWN that a
        watching balancer published because of missing heartbeats.

        Returns:
            Whether the state was stored.
        """
        stored = (self.incarnation[row], self.sequence[row])
        if (incarnation, sequence) < stored:
            return False
        overrides_silence = self.state[row] == HealthState.DOWN != state
        if (incarnation, sequence) == stored and not overrides_silence:
            return False
        if self.state[row] != state:
            self.changed_at[row] = now
        self.incarnation[row] = incarnation
        self.sequence[row] = sequence
        self.state[row] = state
        return True

    def update_verdict(self, row: int, now: int) -> None:
        """Updates whether an upstream is bad, and the hold-down time after it has recovered."""
        suspicion = self.suspicion_at(row, now)
        threshold = _TRUST_THRESHOLD if self.is_bad[row] else _SUSPICION_THRESHOLD
        is_bad = self.state[row] == HealthState.DOWN or suspicion >= threshold
        if self.is_bad[row] and not is_bad:
            hold_down_ms = min(_MAX_HOLD_DOWN_MS, _MIN_HOLD_DOWN_MS << min(self.flaps[row], 5))
            self.well_at[row] = now + hold_down_ms
            self.flaps[row] = min(self.flaps[row] + 1, 5)
        elif not is_bad and now - self.well_at[row] > _FLAP_RESET_MS:
            self.flaps[row] = 0
        self.is_bad[row] = is_bad

    def severity(self, row: int, now: int) -> float:
        """Returns how bad an upstream is; 0 when it may be used for everything."""
        if self.state[row] == HealthState.DOWN:
            return _DOWN_SEVERITY
        if self.is_bad[row]:
            return 1 + self.suspicion_at(row, now)
        return 1.0 if now < self.well_at[row] else 0.0

    def refuses_new_work(self, row: int) -> bool:
        """Whether the upstream, by its own agent's state, accepts no new work."""
        return self.state[row] in _NO_NEW_WORK_STATES

    def is_removable(self, row: int, now: int) -> bool:
        """Whether the row can be removed: healthy for so long that no late event can arrive."""
        unchanged_ms = now - max(self.changed_at[row], self.suspected_at[row], self.well_at[row])
        return (
            self.state[row] in (HealthState.UP, HealthState.COLD)
            and not self.is_bad[row]
            and unchanged_ms > _FLAP_RESET_MS
        )


class Exclusions:
    """Upstreams of each service that get no new work or no packets at present.

    At least half of a service's upstreams that accept new work stay in use, despite suspicion and
    DOWN events. Otherwise a false alarm about many upstreams would push all load onto the rest.
    """

    __slots__ = (
        "_catalog",
        "_excluded_from_new_work",
        "_excluded_from_packets",
        "_health",
        "_refresh_steps",
        "_signatures",
    )

    def __init__(self, catalog: HealthCatalog, health: HealthTable) -> None:
        self._catalog = catalog
        self._health = health
        self._excluded_from_new_work: dict[int, frozenset[int]] = {}
        self._excluded_from_packets: dict[int, frozenset[int]] = {}
        self._signatures: dict[int, tuple[object, ...]] = {}
        self._refresh_steps: Iterator[None] | None = None

    def for_new_work(self, service: int) -> frozenset[int]:
        """Returns the upstreams of a service that get no openings and no requests."""
        return self._excluded_from_new_work.get(service, _NO_UPSTREAMS)

    def for_packets(self, service: int) -> frozenset[int]:
        """Returns the upstreams of a service that get no packets of established flows."""
        return self._excluded_from_packets.get(service, _NO_UPSTREAMS)

    @property
    def is_refreshing(self) -> bool:
        """Whether a refresh has slices left."""
        return self._refresh_steps is not None

    def refresh_slice(self, now: int) -> None:
        """Updates the next slice of rows; the last slices rebuild the sets of changed services."""
        if self._refresh_steps is None:
            self._refresh_steps = self._refresh_in_slices(now)
        if next(self._refresh_steps, _END_OF_SLICES) is _END_OF_SLICES:
            self._refresh_steps = None

    def _refresh_in_slices(self, now: int) -> Iterator[None]:
        health = self._health
        unhealthy_rows: dict[int, list[int]] = {}
        for count, row in enumerate(health.rows(), 1):
            if not health.service[row]:
                continue  # the row was removed after the refresh had begun
            health.update_verdict(row, now)
            if health.severity(row, now) or health.refuses_new_work(row):
                unhealthy_rows.setdefault(health.service[row], []).append(row)
            elif health.is_removable(row, now):
                health.remove(health.key[row])
            if count % _ROWS_PER_SLICE == 0:
                yield
        for service in set(self._signatures) - set(unhealthy_rows):
            del (
                self._signatures[service],
                self._excluded_from_new_work[service],
                self._excluded_from_packets[service],
            )
        for count, (service, rows) in enumerate(unhealthy_rows.items(), 1):
            signature = (self._catalog.revision, *map(self._verdict, rows))
            if self._signatures.get(service) != signature:
                self._signatures[service] = signature
                self._rebuild_sets(service, rows, now)
            if count % _SERVICES_PER_SLICE == 0:
                yield

    def _verdict(self, row: int) -> tuple[int, int, int, int]:
        health = self._health
        return health.key[row], health.state[row], health.is_bad[row], health.well_at[row]

    def _rebuild_sets(self, service: int, rows: list[int], now: int) -> None:
        health = self._health
        refusing = {health.key[row] for row in rows if health.refuses_new_work(row)}
        eligible = {
            upstream
            for upstream in self._catalog.upstreams_of(service)
            if upstream not in refusing and self._catalog.takes_new_work(upstream)
        }
        bad_rows = [row for row in rows if health.severity(row, now)]
        worst = sorted(bad_rows, key=lambda row: health.severity(row, now), reverse=True)
        eligible_worst = [row for row in worst if health.key[row] in eligible]
        kept_in_use = set(eligible_worst[len(eligible) // 2 :])
        excluded = [row for row in worst if row not in kept_in_use]
        self._excluded_from_new_work[service] = frozenset(
            refusing | {health.key[row] for row in excluded}
        )
        self._excluded_from_packets[service] = frozenset(
            health.key[row] for row in excluded if health.is_bad[row]
        )
