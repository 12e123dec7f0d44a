"""Restores the configuration service at random: `python -m bench.era_soak --drill_seeds N`.

Each run mixes drills with bursts of writes, pauses of processes and outages of the service. After
each step an operator takes a data centre out or in, which must be in force everywhere in time.
"""

__all__ = ["main", "run_seed"]

import random
import sys

from absl import app, flags

from bench.fleet import Fleet
from shallotshore.hashing import name_id
from shallotshore.positions import VERIFIED, era_of, phase_of, revision_of
from shallotshore.records import DataCentre, Service
from standins.configuration_service import Mode

_SEED_COUNT = flags.DEFINE_integer("drill_seeds", 100, "Number of runs.")
_FIRST_SEED = flags.DEFINE_integer("first_drill_seed", 0, "Seed of the first run.")

ENFORCEMENT_LIMIT_MS = 3000  # the stated bound from an acknowledgement to enforcement everywhere
GIVE_UP_MS = 6000
SETTLING_MS = 20_500  # retention, verification, and the repairs between them
STEPS = 12
_CHANGED = "dc-1"
_CHANGED_ID = name_id("data_centre", _CHANGED)


class EraSoak:
    """One run: a fleet with 5% loss, and the problems found."""

    __slots__ = ("_fleet", "_rng", "_state", "problems")

    def __init__(self, seed: int) -> None:
        self._rng = random.Random(seed)
        self._fleet = Fleet(6, 8, 3, seed, 0.05)
        self._state = "in"
        self.problems: list[str] = []

    def run(self) -> list[str]:
        """Runs all steps and returns the problems."""
        self._fleet.publish(*self._fleet.records())
        self._fleet.run(6000)
        self._write_burst(self._rng.randrange(5, 40))
        for number in range(STEPS):
            step = self._rng.choice(_STEPS)
            step(self)
            self._state = self._rng.choice(("in", "out"))
            self._fleet.publish(DataCentre(_CHANGED, "suva", self._state))
            self._check_enforcement(f"step {number} ({step.__name__.strip('_')})")
        self._check_final_state()
        return self.problems

    def _write_burst(self, count: int) -> None:
        for number in range(count):
            self._fleet.publish(Service(f"other-{number % 7}", 1 + number))
            self._fleet.run(30)

    def _drill(self) -> None:
        service = self._fleet.configuration
        lost = service.restore_copy(self._rng.randrange(20))
        self._fleet.run(self._rng.choice((0, 50, 300, 1000, 2000)))
        if self._rng.random() < 0.7:
            for texts in lost:
                missing = {k: text for k, text in texts.items() if not service.is_rewritten(k)}
                if missing:
                    service.publish(missing, self._fleet.runtime.now)
                self._fleet.run(self._rng.randrange(30))

    def _burst(self) -> None:
        self._write_burst(self._rng.randrange(20))

    def _write(self) -> None:
        """Does nothing, so that only the operator's change follows."""

    def _pause(self) -> None:
        name = self._rng.choice(sorted(self._fleet.cores))
        self._fleet.runtime.pause(name)
        self._fleet.run(self._rng.randrange(3000))
        self._fleet.runtime.resume(name)

    def _outage(self) -> None:
        self._fleet.configuration.set_mode(Mode.DOWN)
        self._fleet.run(self._rng.randrange(2000))
        self._fleet.configuration.set_mode(Mode.UP)
        self._fleet.run(self._rng.randrange(300))

    def _check_enforcement(self, step: str) -> None:
        start = self._fleet.runtime.now
        while self._find_failing() and self._fleet.runtime.now - start < GIVE_UP_MS:
            self._fleet.run(20)
        elapsed = self._fleet.runtime.now - start
        if elapsed >= ENFORCEMENT_LIMIT_MS:
            self.problems.append(f"{step}: took {elapsed} ms at {self._find_failing()}")
        end = self._fleet.runtime.now + self._rng.randrange(2500)
        while self._fleet.runtime.now < end:
            failing = self._find_failing()
            if failing and self._fleet.runtime.now - start > ENFORCEMENT_LIMIT_MS:
                self.problems.append(f"{step}: undone at {failing}")
                return
            self._fleet.run(20)

    def _find_failing(self) -> list[str]:
        return [
            name
            for name, core in self._fleet.cores.items()
            if core.catalog.is_data_centre_in_service(_CHANGED_ID) != (self._state == "in")
        ]

    def _check_final_state(self) -> None:
        self._fleet.run(SETTLING_MS)
        service = self._fleet.configuration
        phase = VERIFIED if service.era else 0
        expected = (service.era, phase, service.revision)
        catalogs = {n: c.catalog for n, c in self._fleet.cores.items() if n.startswith("balancer")}
        for name, catalog in catalogs.items():
            position = catalog.revision
            found = (era_of(position), phase_of(position), revision_of(position))
            if found != expected:
                self.problems.append(f"{name} holds {found}, not {expected}")
        if len({catalog.digest(0) for catalog in catalogs.values()}) > 1:
            self.problems.append("the balancers' digests differ")


_STEPS = (
    EraSoak._drill,
    EraSoak._drill,
    EraSoak._burst,
    EraSoak._write,
    EraSoak._write,
    EraSoak._pause,
    EraSoak._outage,
)


def run_seed(seed: int) -> list[str]:
    """Returns the problems that the run of a seed has."""
    return EraSoak(seed).run()


def main(arguments: list[str]) -> int:
    """Runs all seeds.

    Returns:
        Exit status: 1 when a run had a problem, otherwise 0.
    """
    failed = 0
    for seed in range(_FIRST_SEED.value, _FIRST_SEED.value + _SEED_COUNT.value):
        problems = run_seed(seed)
        failed += bool(problems)
        for problem in problems:
            print(f"seed {seed}: {problem}", flush=True)
    print(f"{failed} of {_SEED_COUNT.value} runs had problems")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(app.run(main))
