"""A model of upstreams and balancers on a virtual clock, for tests of placement."""

__all__ = ["FixedSlots", "LearnedCapacity", "ModelUpstream", "Omniscient", "Placement", "run_load"]

import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from shallotshore.scheduling.capacity import CapacityEstimator
from shallotshore.scheduling.placement import (
    completion_score,
    load_weight,
    median_service_ms,
    usable_slots,
)

REPORT_INTERVAL_MS = 40
MEDIAN_INTERVAL_MS = 200
JITTER_SLOTS = 0.25
MAX_HOLD_MS = 150
MAX_TRIED_UPSTREAMS = 4  # the first one and three that it is passed to
TAIL_SHARE, TAIL_FACTOR = 0.03, 7


@dataclass(slots=True)
class ModelUpstream:
    """An upstream with slots and a queue.

    Attributes:
        speed: Speed by time in ms, relative to nominal.
        slots: Requests that it works on at once.
        contention: By how much each further running request lengthens a service time.
        is_limited: Whether its agent limits what runs by the learned concurrency.
        finished_at: Times at which requests ended, in ms.
    """

    speed: Callable[[int], float]
    slots: int = 1
    contention: float = 0.0
    is_limited: bool = False
    estimator: CapacityEstimator = field(default_factory=CapacityEstimator)
    finished_at: list[int] = field(default_factory=list)
    in_flight: int = 0
    _free_at: list[float] = field(default_factory=list)

    def __post_init__(self) -> None:
        self._free_at = [0.0] * self.slots
        self.estimator.declared_slots = self.slots

    def has_room(self, now: int) -> bool:
        """Whether a request that is placed now is held for at most `MAX_HOLD_MS`."""
        return self.start_time(now) - now <= MAX_HOLD_MS

    def start_time(self, now: int) -> float:
        """Returns when a request that is placed now would begin."""
        limit = self.slots
        if self.is_limited:
            # The agent hands over one request more than the upstream handles well.
            learned = usable_slots(self.slots, self.estimator.concurrency(self.slots, now))
            limit = min(self.slots, learned + 1)
        return max(float(now), sorted(self._free_at)[-limit])

    def finish_time(self, work_ms: float, now: int) -> float:
        """Returns when a request that is placed now would end."""
        start = self.start_time(now)
        return start + work_ms / self.speed(int(start)) * (1 + self.contention * self._busy(start))

    def place(self, work_ms: float, now: int) -> tuple[int, int, int]:
        """Places a request.

        Returns:
            When it ends, when the agent hands it over, and the requests in flight then.
        """
        start, finish = self.start_time(now), self.finish_time(work_ms, now)
        busy = self._busy(start)
        heapq.heapreplace(self._free_at, finish)
        self.in_flight += 1
        if start > now and busy + 1 < self.slots:
            return round(finish), round(start), busy + 1
        return round(finish), now, self.in_flight

    def _busy(self, at: float) -> int:
        return sum(free_at > at for free_at in self._free_at)


class Placement:
    """A policy of placement; `reports` has load, concurrency and service time of each upstream."""

    has_learned_limit = False

    def __init__(self, upstreams: list[ModelUpstream], rng: random.Random) -> None:
        for upstream in upstreams:
            upstream.is_limited = self.has_learned_limit
        self.upstreams = upstreams
        self.rng = rng
        self.reports = [(0, 0.0, 0.0)] * len(upstreams)
        self.sent = [0] * len(upstreams)
        self.median_ms = 0.0

    def choose(self, work_ms: float, now: int) -> list[int]:
        """Returns the numbers of the upstreams for a request, best first."""
        numbers = range(len(self.upstreams))
        scores = {number: self.score(number, work_ms, now) for number in numbers}
        return heapq.nsmallest(MAX_TRIED_UPSTREAMS, scores, key=scores.__getitem__)

    def score(self, number: int, work_ms: float, now: int) -> float:
        """Returns the score of an upstream; the lowest one is chosen."""
        raise NotImplementedError

    def load(self, number: int) -> float:
        """Returns the reported load, what was sent since, and some jitter."""
        return self.reports[number][0] + self.sent[number] + self.rng.random() * JITTER_SLOTS


class FixedSlots(Placement):
    """The least load per declared slot."""

    def score(self, number: int, work_ms: float, now: int) -> float:
        return self.load(number) / self.upstreams[number].slots


class LearnedCapacity(Placement):
    """The earliest expected completion by learned values."""

    has_learned_limit = True

    def score(self, number: int, work_ms: float, now: int) -> float:
        slots = self.upstreams[number].slots
        _, concurrency, service_ms = self.reports[number]
        if not self.median_ms:
            return self.load(number) / slots
        return completion_score(
            self.load(number), slots, concurrency, load_weight(service_ms, self.median_ms)
        )


class Omniscient(Placement):
    """The earliest completion, with knowledge of the work, all speeds and all queues."""

    def score(self, number: int, work_ms: float, now: int) -> float:
        upstream = self.upstreams[number]
        return upstream.finish_time(work_ms, now) + (0 if upstream.has_room(now) else float("inf"))


def run_load(
    policy: type[Placement],
    upstreams: list[ModelUpstream],
    per_s: float,
    work_ms: float,
    duration_ms: int,
    balancers: int = 3,
    seed: int = 1,
    on_tick: Callable[[int], None] = lambda now: None,
) -> list[tuple[int, int | None]]:
    """Plays Poisson arrivals against upstreams.

    Returns:
        For each request when it was made and its latency in ms; None when it was turned away.
    """
    arrivals, sizes = random.Random(seed), random.Random(seed + 1)
    placements = [policy(upstreams, random.Random(seed + 2 + n)) for n in range(balancers)]
    results: list[tuple[int, int | None]] = []
    answers: list[tuple[int, int, int, int]] = []  # end, upstream, start, in flight at the start
    next_arrival = arrivals.expovariate(per_s) * 1_000
    for now in range(duration_ms):
        on_tick(now)
        while answers and answers[0][0] <= now:
            _, number, started_at, in_flight = heapq.heappop(answers)
            upstream = upstreams[number]
            upstream.in_flight -= 1
            upstream.finished_at.append(now)
            upstream.estimator.record_answer(now - started_at, in_flight, now)
        if now % REPORT_INTERVAL_MS == 0:
            _report(placements, upstreams, now)
        while next_arrival <= now:
            next_arrival += arrivals.expovariate(per_s) * 1_000
            work = work_ms * (TAIL_FACTOR if sizes.random() < TAIL_SHARE else 1)
            placement = placements[sizes.randrange(balancers)]
            chosen = placement.choose(work, now)
            placement.sent[chosen[0]] += 1
            # An agent whose upstream has no room passes the request on.
            with_room = [n for n in chosen if upstreams[n].has_room(now)]
            if not with_room:
                results.append((now, None))
                continue
            number = with_room[0]
            finish, handed_over_at, in_flight = upstreams[number].place(work, now)
            heapq.heappush(answers, (finish, number, handed_over_at, in_flight))
            results.append((now, finish - now))
    return results


def _report(placements: list[Placement], upstreams: list[ModelUpstream], now: int) -> None:
    reports = [
        (
            upstream.in_flight,
            upstream.estimator.concurrency(upstream.slots, now),
            upstream.estimator.service_ms(now),
        )
        for upstream in upstreams
    ]
    for placement in placements:
        placement.reports = reports
        placement.sent = [0] * len(upstreams)
        if now % MEDIAN_INTERVAL_MS == 0:
            placement.median_ms = median_service_ms(report[2] for report in reports)
