"""Keeps what agents have learned of their upstreams' speed, relative to the service's median."""

from __future__ import annotations

__all__ = ["LearnedCapacitySystem", "record_learned"]

from shallotshore.packets.balancer_state import BalancerState
from shallotshore.packets.hosts import host_text
from shallotshore.scheduling.placement import (
    load_weight,
    median_service_ms,
    relative_service,
)
from shallotshore.tables import MISSING

REFRESH_INTERVAL_MS = 200  # agents notice a change of speed within some hundreds of ms
# A row costs up to 2 us, and packets wait during a tick. Further services follow in later ticks.
ROWS_PER_TICK = 500
OUTLIER_FACTOR = 2.0  # from the median, in either direction
# An idle upstream is tried about once a second and has no value in between, so that it counts as
# back only after it has been within the factor for longer.
OUTLIER_HOLD_MS = 3_000


def record_learned(state: BalancerState, row: int, service_ms: float, concurrency: float) -> None:
    """Records the learned values of a report."""
    upstreams = state.upstreams
    upstreams.service_ms[row] = service_ms
    upstreams.concurrency[row] = concurrency
    median_ms = state.median_service_ms.get(upstreams.service[row])
    if median_ms:
        upstreams.load_weight[row] = load_weight(service_ms, median_ms)


class LearnedCapacitySystem:
    """Refreshes the medians of services whose routes declare a target latency."""

    __slots__ = ("_next_run_at", "_outlier_at", "_services", "_state", "_waiting")

    def __init__(self, state: BalancerState) -> None:
        self._state = state
        self._services: set[int] = set()
        self._waiting: list[int] = []  # services that this round has not refreshed yet
        self._outlier_at: dict[int, int] = {}  # when an upstream was last an outlier, by host
        self._next_run_at = 0

    def run(self, now: int) -> None:
        """Runs the step at `now` (ms)."""
        services = self._state.timed_services
        if services is not self._services:
            for service in self._services - services:
                self._clear(service)
            self._services = services
            self._waiting.clear()
        if not self._waiting:
            if now < self._next_run_at:
                return
            self._next_run_at = now + REFRESH_INTERVAL_MS
            self._waiting.extend(services)
            self._forget_outliers(now)
        refreshed_rows = 0
        while self._waiting and refreshed_rows < ROWS_PER_TICK:
            service = self._waiting.pop()
            refreshed_rows += len(self._state.upstreams.hosts_of_service(service))
            self._refresh(service, now)

    def _refresh(self, service: int, now: int) -> None:
        """Computes the median of a service and compares its upstreams with it."""
        state, upstreams = self._state, self._state.upstreams
        rows = [upstreams.row(host) for host in upstreams.hosts_of_service(service)]
        values = [
            upstreams.service_ms[row] if upstreams.has_fresh_report(row, now) else 0.0
            for row in rows
        ]
        median_ms = median_service_ms(values)
        if not median_ms:
            self._clear(service)
            return
        state.median_service_ms[service] = median_ms
        for row, service_ms in zip(rows, values, strict=True):
            upstreams.load_weight[row] = load_weight(service_ms, median_ms)
            relative = relative_service(service_ms, median_ms)
            if not 1 / OUTLIER_FACTOR <= relative <= OUTLIER_FACTOR:
                self._record_outlier(row, median_ms, now)

    def _clear(self, service: int) -> None:
        """Returns to the declared slots for a service without known values or without a target."""
        upstreams = self._state.upstreams
        self._state.median_service_ms.pop(service, None)
        for host in upstreams.hosts_of_service(service):
            upstreams.load_weight[upstreams.row(host)] = 0.0

    def _record_outlier(self, row: int, median_ms: float, now: int) -> None:
        upstreams = self._state.upstreams
        host = upstreams.key[row]
        if host not in self._outlier_at:
            self._state.counters.add("upstreams.speed_outliers")
            self._state.log.write(
                now,
                "upstream_speed",
                upstream=host_text(host),
                is_usual=False,
                service_ms=round(upstreams.service_ms[row]),
                median_ms=round(median_ms),
            )
        self._outlier_at[host] = now

    def _forget_outliers(self, now: int) -> None:
        """Logs the upstreams that have had a usual speed for some time, and forgets them."""
        upstreams = self._state.upstreams
        for host, seen_at in list(self._outlier_at.items()):
            if now - seen_at <= OUTLIER_HOLD_MS:
                continue
            del self._outlier_at[host]
            row = upstreams.row(host)
            if row != MISSING:
                self._state.log.write(
                    now,
                    "upstream_speed",
                    upstream=host_text(host),
                    is_usual=True,
                    service_ms=round(upstreams.service_ms[row]),
                    median_ms=round(self._state.median_service_ms.get(upstreams.service[row], 0.0)),
                )
