"""Runs random fault schedules by seed: `python -m bench.soak --seeds N [--first S]`.

The schedule of a failing seed is printed. It is a scenario, to be added to tests/scenarios/.
"""

__all__ = ["build_schedule", "main", "run_schedule"]

import random
import sys
import time
from collections.abc import Callable

from absl import app, flags

from standins.deployments import KOLTSEGTER, VATULELE, build_deployment
from standins.scenario import Scenario

_SEED_COUNT = flags.DEFINE_integer("seeds", 200, "Number of schedules to run.")
_FIRST_SEED = flags.DEFINE_integer("first", 1, "Seed of the first schedule.")

FAULTS_START_S = 15.0  # by then the fleet has known its upstreams for the lifetime of a claim
FAULTS_SPAN_S = 10.0  # all faults begin within this time
RECOVERY_S = 8.0  # from the latest possible start of a fault to the end of the schedule
MAX_FAULTS = 5


def build_schedule(seed: int) -> tuple[str, str]:
    """Returns the name of a user and the text of a random scenario for that user.

    Args:
        seed: Equal seeds give equal schedules.
    """
    rng = random.Random(seed)
    user = rng.choice((KOLTSEGTER, VATULELE))
    lines = [f"0 deployment {user}", f"0 seed {seed}", "3 load * * light"]
    for _ in range(rng.randint(2, MAX_FAULTS)):
        at_s = FAULTS_START_S + rng.random() * FAULTS_SPAN_S
        lines += rng.choice(_FAULT_GENERATORS)(rng, user, at_s)
    lines.append(f"{FAULTS_START_S + FAULTS_SPAN_S + RECOVERY_S} end")
    return user, "\n".join(lines)


def run_schedule(seed: int) -> list[str]:
    """Runs the schedule of a seed and returns the problems found."""
    user, text = build_schedule(seed)
    return Scenario.from_text(text).run(user).problems


def main(arguments: list[str]) -> int:
    """Runs the schedules of all seeds.

    Returns:
        Exit status: 1 when a schedule broke a promise, otherwise 0.
    """
    failed = 0
    start = time.monotonic()
    for seed in range(_FIRST_SEED.value, _FIRST_SEED.value + _SEED_COUNT.value):
        problems = run_schedule(seed)
        if problems:
            failed += 1
            print(f"# seed {seed}", build_schedule(seed)[1], *problems[:5], sep="\n", flush=True)
    print(f"{_SEED_COUNT.value} schedules, {failed} failed, {time.monotonic() - start:.0f} s")
    return int(failed > 0)


def _choose_server(rng: random.Random, user: str) -> str:
    return rng.choice(sorted(build_deployment(user).servers))


def _choose_balancer(rng: random.Random, user: str) -> str:
    return rng.choice(sorted(build_deployment(user).balancers))


def _choose_data_centre(rng: random.Random, user: str) -> str:
    return rng.choice(build_deployment(user).data_centres)


def _begin_and_end(at_s: float, begin: str, duration_s: float, end: str) -> list[str]:
    return [f"{at_s:.3f} {begin}", f"{at_s + duration_s:.3f} {end}"]


def _kill_balancer(rng: random.Random, user: str, at_s: float) -> list[str]:
    name = _choose_balancer(rng, user)
    return _begin_and_end(
        at_s, f"kill_balancer {name}", rng.uniform(0.5, 5), f"start_balancer {name}"
    )


def _restart_agent(rng: random.Random, user: str, at_s: float) -> list[str]:
    return [f"{at_s:.3f} restart_agent {_choose_server(rng, user)}"]


def _restart_upstream(rng: random.Random, user: str, at_s: float) -> list[str]:
    return [f"{at_s:.3f} restart_upstream {_choose_server(rng, user)}"]


def _drain(rng: random.Random, user: str, at_s: float) -> list[str]:
    name = _choose_server(rng, user)
    return _begin_and_end(at_s, f"drain {name}", rng.uniform(1, 6), f"undrain {name}")


def _remove_data_centre(rng: random.Random, user: str, at_s: float) -> list[str]:
    name = _choose_data_centre(rng, user)
    return _begin_and_end(
        at_s, f"data_centre {name} out", rng.uniform(1, 8), f"data_centre {name} in"
    )


def _pause(rng: random.Random, user: str, at_s: float) -> list[str]:
    name = rng.choice((_choose_balancer(rng, user), _choose_server(rng, user) + ".agent"))
    return _begin_and_end(at_s, f"pause {name}", rng.uniform(0.1, 5), f"resume {name}")


def _partition(rng: random.Random, user: str, at_s: float) -> list[str]:
    return _begin_and_end(
        at_s, f"partition {_choose_data_centre(rng, user)}", rng.uniform(0.2, 5), "heal"
    )


def _outage(rng: random.Random, user: str, at_s: float) -> list[str]:
    begin = rng.choice(("configuration down", "configuration stale", "vm_list down"))
    return _begin_and_end(at_s, begin, rng.uniform(1, 8), begin.split()[0] + " up")


def _loss(rng: random.Random, user: str, at_s: float) -> list[str]:
    begin = f"network loss={rng.uniform(0, 0.1):.3f} duplication=0.05 reordering=0.1"
    return _begin_and_end(
        at_s, begin, rng.uniform(1, 5), "network loss=0 duplication=0 reordering=0"
    )


def _add_upstream(rng: random.Random, user: str, at_s: float) -> list[str]:
    return [f"{at_s:.3f} add_upstream $main {_choose_data_centre(rng, user)}"]


_FAULT_GENERATORS: tuple[Callable[[random.Random, str, float], list[str]], ...] = (
    _kill_balancer,
    _restart_agent,
    _restart_upstream,
    _drain,
    _remove_data_centre,
    _pause,
    _partition,
    _outage,
    _loss,
    _add_upstream,
)


if __name__ == "__main__":
    app.run(lambda arguments: sys.exit(main(arguments)))
