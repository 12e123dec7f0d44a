"""Estimates how many concurrent requests an upstream handles well, and how long one takes there."""

__all__ = ["CapacityEstimator"]

from collections import deque

from shallotshore.scheduling.median import median

MAX_LEVEL_REQUESTS = 16  # numbers of running requests above this share one set of samples
# Half of these must be slow before the median is. With tails of 3% that happens once in 10^8 times.
MAX_LEVEL_SAMPLES = 15
MIN_SAMPLES = 3  # a median of fewer follows a single slow request
MAX_SAMPLE_AGE_MS = 4_000
MAX_DEPARTURES = 64  # more than an upstream has in flight
# This many successive requests at once, all beyond STEP_FACTOR in the same direction, mean that the
# speed has changed. With tails of 3%, this happens by chance for one request of 37,000.
STEP_SAMPLES = 3
STEP_FACTOR = 2.0  # upstreams become 3 to 8 times slower, and cold ones 1.6 times
# Without answers for this time the service time counts as not known, so that the upstream is given
# a request like one of median speed, which confirms or corrects the estimate. An upstream that is
# 8 times slower thus serves about one request a second while the others have room.
FRESH_MS = 1_000
FADE_HALF_LIFE_MS = 500  # of the difference between learned and declared concurrency, after that
FAILURE_HALF_LIFE_MS = 1_000
MIN_FAILURES = 2.0  # decayed count; a single failure says nothing about the upstream
# Requests take up to 7 times as long as others, so only a longer silence shows a slower upstream.
SILENCE_FACTOR = 8.0


class CapacityEstimator:
    """Service time and useful concurrency of one upstream, from what its agent observes.

    The upstream is assumed to work on up to its declared slots at once and to queue further
    requests in order of arrival. The time that a request has waited there is computed from the
    answers before it, so that one long request counts once and not for all that waited behind it.
    The service times are kept by the number of requests that run at the same time. Where their
    ratio (the throughput) stops growing, more concurrency only adds latency.

    Attributes:
        declared_slots: Requests that the upstream works on at the same time, by its record.
    """

    __slots__ = (
        "_answers",
        "_departures",
        "_failed_at",
        "_failures",
        "_fit",
        "_is_confirmed",
        "_last_answer_at",
        "_samples",
        "_step",
        "_step_direction",
        "declared_slots",
    )

    def __init__(self, declared_slots: int = 1) -> None:
        self.declared_slots = max(1, declared_slots)
        self.restart(0)

    def restart(self, now: int) -> None:
        """Forgets all evidence, since another process serves the upstream's address."""
        self._samples: dict[int, deque[tuple[int, int, int]]] = {}  # (time, running, service_ms)
        self._departures: deque[int] = deque(maxlen=MAX_DEPARTURES)
        # The latest samples that are beyond STEP_FACTOR, all in the same direction.
        self._step: list[tuple[int, int, int]] = []
        self._step_direction = 0
        self._fit: tuple[float, float] | None = None
        self._is_confirmed = False
        self._last_answer_at = now
        self._answers = self._failures = 0.0
        self._failed_at = now

    def record_answer(self, latency_ms: int, in_flight: int, now: int) -> None:
        """Records the first byte of an answer.

        Args:
            latency_ms: Time since the request.
            in_flight: Requests in flight when the request began, including it.
            now: Time in ms.
        """
        self._decay_failures(now)
        self._answers += 1
        sample = self._make_sample(latency_ms, max(1, in_flight), now)
        self._departures.append(now)
        is_stale = now - self._last_answer_at > FRESH_MS
        self._last_answer_at = now
        deviation = self._deviation(sample)
        if deviation and is_stale:
            # The speed may have changed while the upstream was idle. The next few requests show
            # it; until then the estimate counts as not known.
            self._is_confirmed = False
        self._add_sample(sample, deviation)

    def record_failure(self, now: int, was_running: bool = True) -> None:
        """Records a request that ended without an answer.

        Args:
            now: Time in ms.
            was_running: Whether the request was in flight (reset or abandoned), and not returned
                before it began.
        """
        self._decay_failures(now)
        self._failures += 1
        if was_running:
            self._departures.append(now)

    def concurrency(self, declared_slots: int, now: int) -> float:
        """Returns how many concurrent requests the upstream handles well.

        Args:
            declared_slots: Requests that it works on at the same time, by its record.
            now: Time in ms.

        Returns:
            From 1.0 up to the declared slots; these without evidence.
        """
        declared = float(max(1, declared_slots))
        if not self._is_confirmed:
            return declared
        learned = min(declared, self._current_fit()[1]) * (1.0 - self._failed_share(now))
        return max(1.0, declared - (declared - learned) * self._freshness(now))

    def service_ms(self, now: int, unanswered_ms: int = 0) -> float:
        """Returns how long a request takes that runs alone.

        Args:
            now: Time in ms.
            unanswered_ms: How long the upstream has sent nothing although data of clients is not
                answered.

        Returns:
            The time in ms; 0.0 while it is not known.
        """
        is_stale = not unanswered_ms and now - self._last_answer_at > FRESH_MS
        if not self._is_confirmed or is_stale:
            return 0.0
        return max(self._current_fit()[0], unanswered_ms / SILENCE_FACTOR)

    def _make_sample(self, latency_ms: int, in_flight: int, now: int) -> tuple[int, int, int]:
        """Returns a sample without the time that the request has waited for a slot."""
        asked_at = now - latency_ms
        waited_for = in_flight - self.declared_slots
        started_at = asked_at
        if waited_for > 0:
            later = [at for at in self._departures if at > asked_at]
            # Without all departures, for example when clients have given up, the last one counts.
            started_at = later[min(waited_for, len(later)) - 1] if later else asked_at
        return now, min(in_flight, self.declared_slots), max(1, now - started_at)

    def _deviation(self, sample: tuple[int, int, int]) -> int | None:
        """Compares a sample with the estimate for the same number of running requests.

        Returns:
            1 for a sample far above the estimate, -1 for one far below, 0 for one that agrees, and
            None without an estimate.
        """
        _, running, service_ms = sample
        known = self._samples.get(min(running, MAX_LEVEL_REQUESTS), ())
        if len(known) < MIN_SAMPLES:
            return None
        expected_ms = median(value for _, _, value in known)
        if service_ms > expected_ms * STEP_FACTOR:
            return 1
        return -1 if service_ms * STEP_FACTOR < expected_ms else 0

    def _add_sample(self, sample: tuple[int, int, int], deviation: int | None) -> None:
        """Adds a sample, or replaces all others after a step of the speed."""
        self._fit = None
        if deviation != self._step_direction and deviation is not None:
            self._step.clear()
            self._step_direction = deviation
        if deviation:
            self._step.append(sample)
        if len(self._step) < STEP_SAMPLES:
            self._append(sample)
        else:
            self._samples.clear()
            for step_sample in self._step:
                self._append(step_sample)
            self._step.clear()
        if not self._step and sum(map(len, self._samples.values())) >= MIN_SAMPLES:
            self._is_confirmed = True

    def _append(self, sample: tuple[int, int, int]) -> None:
        level = min(sample[1], MAX_LEVEL_REQUESTS)
        self._samples.setdefault(level, deque(maxlen=MAX_LEVEL_SAMPLES)).append(sample)

    def _current_fit(self) -> tuple[float, float]:
        """Returns the service time of a lone request in ms, and the useful concurrency."""
        if self._fit is None:
            self._fit = self._compute_fit()
        return self._fit

    def _compute_fit(self) -> tuple[float, float]:
        levels = self._medians_by_level()
        base_ms = levels[min(levels)]
        best = max(levels, key=lambda level: level / levels[level])
        useful = base_ms * best / levels[best]
        if best == max(levels):
            # Throughput still grows at the highest level seen, and is assumed to grow further.
            useful *= max(1.0, self.declared_slots / best)
        return base_ms, useful

    def _medians_by_level(self) -> dict[int, float]:
        """Returns the median service time in ms by number of running requests."""
        newest = max(samples[-1][0] for samples in self._samples.values())
        for max_age_ms in (MAX_SAMPLE_AGE_MS, newest):
            levels = {}
            for level, samples in self._samples.items():
                values = [value for at, _, value in samples if newest - at <= max_age_ms]
                if len(values) >= MIN_SAMPLES:
                    levels[level] = median(values)
            if levels:
                return levels
        values = [value for samples in self._samples.values() for _, _, value in samples]
        return {self.declared_slots: float(median(values))}

    def _freshness(self, now: int) -> float:
        """Returns 1.0 with recent answers, and a number falling towards 0.0 without."""
        idle_ms = now - self._last_answer_at - FRESH_MS
        return 1.0 if idle_ms <= 0 else float(0.5 ** (idle_ms / FADE_HALF_LIFE_MS))

    def _failed_share(self, now: int) -> float:
        self._decay_failures(now)
        if self._failures < MIN_FAILURES:
            return 0.0
        return self._failures / (self._failures + self._answers)

    def _decay_failures(self, now: int) -> None:
        factor = 0.5 ** ((now - self._failed_at) / FAILURE_HALF_LIFE_MS)
        self._failed_at = now
        self._answers *= factor
        self._failures *= factor
