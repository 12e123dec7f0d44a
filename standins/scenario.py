"""The scenario language: plain lines of time, verb and arguments, run on the virtual clock.

A line is `TIME VERB ARGUMENT ...`, split like a shell command; TIME is in seconds from the start,
and `#` starts a comment. `deployment USER ...` (the users whose deployments the scenario runs
in), `seed N`, `end` and `expect NAME<=BOUND` are read before the run; all other verbs are in
`standins.events`. Placeholders stand for each user's own names: `$main` and `$bulk` for services,
`$dc1`, `$dc2` and so on for data centres, `$customer1` and so on for customers. Every scenario is
checked against all promises.
"""

__all__ = ["Outcome", "Scenario", "ScenarioError", "ScenarioLine"]

import shlex
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from string import Template

from standins.checker import Violation, check_promises
from standins.events import VERBS
from standins.measures import compute_figures
from standins.processes import PRODUCT_FACTORY, ProcessFactory
from standins.world import World


class ScenarioError(ValueError):
    """A scenario or a line of it is invalid."""


@dataclass(slots=True)
class ScenarioLine:
    """One event: its time in ms, its verb and its arguments."""

    at: int
    verb: str
    arguments: list[str]


@dataclass(slots=True)
class Expectation:
    """A bound on a figure of `standins.measures`."""

    name: str
    is_minimum: bool
    bound: float

    def describe_miss(self, figures: dict[str, float]) -> str:
        """Returns a description if the figure is beyond its bound, else an empty string."""
        value = figures[self.name]
        if value >= self.bound if self.is_minimum else value <= self.bound:
            return ""
        sign = ">=" if self.is_minimum else "<="
        return f"{self.name} is {value:.4g}, expected {sign} {self.bound:g}"


@dataclass(slots=True)
class Outcome:
    """Results of a run: breaches of promises, missed bounds, figures and the deployment itself."""

    violations: list[Violation]
    missed_bounds: list[str]
    figures: dict[str, float]
    world: World

    @property
    def problems(self) -> list[str]:
        """All breaches of promises and missed bounds as text."""
        lines = [
            f"{violation.promise} at {violation.at / 1000:.3f} s: {violation.text}"
            for violation in self.violations
        ]
        return lines + self.missed_bounds


@dataclass(slots=True)
class Scenario:
    """A scenario: its users, seed and events, its end in ms, and bounds on figures."""

    users: tuple[str, ...] = ()
    seed: int = 1
    end: int = 0
    lines: list[ScenarioLine] = field(default_factory=list)
    expectations: list[Expectation] = field(default_factory=list)

    @classmethod
    def from_text(cls, text: str) -> "Scenario":
        """Parses a scenario.

        Args:
            text: Lines of the scenario language.

        Raises:
            ScenarioError: A line has no time or an unknown verb, or the line `deployment` or `end`
                is missing.
        """
        scenario = cls()
        for number, line in enumerate(text.splitlines(), start=1):
            words = shlex.split(line, comments=True)
            if words:
                scenario._parse_line(number, words)
        if not scenario.users or not scenario.end:
            raise ScenarioError("a scenario needs the lines `deployment` and `end`")
        return scenario

    def run(
        self,
        user: str,
        seed: int | None = None,
        process_factory: ProcessFactory = PRODUCT_FACTORY,
        prepare: Callable[[World], None] | None = None,
    ) -> Outcome:
        """Runs the scenario and checks all promises and bounds.

        Args:
            user: Name of the user whose deployment to run.
            seed: Seed of all random numbers; by default the one in the scenario.
            process_factory: Makes the balancers and agents.
            prepare: Called with the deployment before the run starts.
        """
        world = World.for_user(user, self.seed if seed is None else seed, process_factory)
        if prepare is not None:
            prepare(world)
        names = world.plan.scenario_names()
        for line in self.lines:
            arguments = [Template(word).substitute(names) for word in line.arguments]
            world.runtime.call_at(line.at, partial(VERBS[line.verb], world, arguments))
        world.runtime.run_until(self.end)
        figures = compute_figures(world)
        for service, word in zip(world.plan.services, ("main", "bulk"), strict=True):
            figures[f"imbalance_{word}"] = figures.pop(f"imbalance_{service}")
        missed_bounds = [
            text
            for expectation in self.expectations
            if (text := expectation.describe_miss(figures))
        ]
        return Outcome(check_promises(world), missed_bounds, figures, world)

    def _parse_line(self, number: int, words: list[str]) -> None:
        try:
            at = int(float(words[0]) * 1000)
            name, *rest = words[1:]
        except ValueError as error:
            raise ScenarioError(f"line {number}: expected time and verb: {error}") from error
        if name == "deployment":
            self.users = tuple(rest)
        elif name == "seed":
            self.seed = int(rest[0])
        elif name == "end":
            self.end = at
        elif name == "expect":
            self.expectations.extend(_parse_expectation(number, word) for word in rest)
        elif name in VERBS:
            self.lines.append(ScenarioLine(at, name, rest))
        else:
            raise ScenarioError(f"line {number}: unknown verb {name!r}")


def _parse_expectation(number: int, word: str) -> Expectation:
    for sign in (">=", "<="):
        name, found, bound = word.partition(sign)
        if found:
            return Expectation(name, sign == ">=", float(bound))
    raise ScenarioError(f"line {number}: expected NAME>=BOUND or NAME<=BOUND, found {word!r}")
