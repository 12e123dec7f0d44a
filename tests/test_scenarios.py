"""Runs every scenario for each of its users; a scenario's first line says what it guards."""

import os
import unittest
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

from standins.scenario import Scenario

SCENARIO_FOLDER = Path(__file__).parent / "scenarios"
MAX_WORKERS = min(5, os.cpu_count() or 1)  # one scenario takes a few seconds of one processor core

Job = tuple[str, str]


def load_scenario(name: str) -> Scenario:
    """Returns the scenario with a file name, given without suffix."""
    return Scenario.from_text((SCENARIO_FOLDER / f"{name}.txt").read_text(encoding="utf-8"))


def find_problems(job: Job) -> list[str]:
    """Runs a scenario for a user and returns the problems found."""
    name, user = job
    return load_scenario(name).run(user).problems


def list_jobs() -> list[Job]:
    """Returns every scenario with each of its users."""
    names = sorted(path.stem for path in SCENARIO_FOLDER.glob("*.txt"))
    return [(name, user) for name in names for user in load_scenario(name).users]


class ScenarioTest(unittest.TestCase):
    """Has a test for each scenario and user; the first test that runs runs all scenarios."""

    problems_by_job: dict[Job, list[str]] = {}

    def check_job(self, job: Job) -> None:
        if not self.problems_by_job:
            with ProcessPoolExecutor(MAX_WORKERS) as pool:
                all_jobs = list_jobs()
                self.problems_by_job.update(
                    zip(all_jobs, pool.map(find_problems, all_jobs), strict=True)
                )
        self.assertEqual(self.problems_by_job[job], [])


def _add_tests() -> None:
    for job in list_jobs():
        setattr(ScenarioTest, f"test_{job[0]}_{job[1]}", lambda self, job=job: self.check_job(job))


_add_tests()
