"""The scenario language: plain lines of time, verb and arguments, run on the virtual clock.

A line is `TIME VERB ARGUMENT ...` in the words of a shell; TIME is in seconds from the start, and
a `#` begins a comment. `deployment USER ...` (the users that the scenario holds for), `seed N`,
`end` and `expect NAME<=BOUND` are read before the run; all other verbs are in `standins.events`.
The words `$main`, `$bulk` (services), `$dc1`, `$dc2` ... and `$customer1` ... stand for each user's
own names. Every scenario is judged by all promises.
"""

__all__ = ["Line", "Outcome", "Scenario", "ScenarioError"]

import shlex
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from string import Template

from standins.checker import Verdict, judge
from standins.events import VERBS
from standins.measures import figures_of
from standins.processes import PRODUCT, Cast
from standins.world import World


class ScenarioError(ValueError):
    """A line that cannot be read."""


@dataclass(slots=True)
class Line:
    """One event: its time in ms, its verb and its arguments."""

    at: int
    verb: str
    words: list[str]


@dataclass(slots=True)
class Expectation:
    """A bound on a figure of `standins.measures`."""

    name: str
    at_least: bool
    bound: float

    def misses(self, figures: dict[str, float]) -> str:
        """Returns a sentence when the figure is beyond its bound, else an empty text."""
        value = figures[self.name]
        if value >= self.bound if self.at_least else value <= self.bound:
            return ""
        sign = ">=" if self.at_least else "<="
        return f"{self.name} is {value:.4g}, expected {sign} {self.bound:g}"


@dataclass(slots=True)
class Outcome:
    """What a run showed."""

    verdicts: list[Verdict]
    missed: list[str]
    figures: dict[str, float]
    world: World

    @property
    def problems(self) -> list[str]:
        """Every breach and missed bound as text."""
        lines = [f"{v.promise} at {v.at / 1000:.3f} s: {v.text}" for v in self.verdicts]
        return lines + self.missed


@dataclass(slots=True)
class Scenario:
    """The users it holds for, a seed and a list of events."""

    users: tuple[str, ...] = ()
    seed: int = 1
    end: int = 0
    lines: list[Line] = field(default_factory=list)
    expectations: list[Expectation] = field(default_factory=list)

    @classmethod
    def from_text(cls, text: str) -> "Scenario":
        """Reads a scenario.

        Args:
            text: Lines of the scenario language.

        Raises:
            ScenarioError: A line has no time, an unknown verb, or a head line is missing.
        """
        scenario = cls()
        for number, line in enumerate(text.splitlines(), start=1):
            words = shlex.split(line, comments=True)
            if words:
                scenario._add(number, words)
        if not scenario.users or not scenario.end:
            raise ScenarioError("a scenario needs the lines `deployment` and `end`")
        return scenario

    def run(
        self,
        user: str,
        seed: int | None = None,
        cast: Cast = PRODUCT,
        prepare: Callable[[World], None] | None = None,
    ) -> Outcome:
        """Runs the scenario and judges it.

        Args:
            user: Whose deployment it runs in.
            seed: Seed of all random numbers; by default the one of the scenario's text.
            cast: Makes the cores of balancers and agents.
            prepare: Called with the deployment before time starts.
        """
        world = World.of_user(user, self.seed if seed is None else seed, cast)
        if prepare is not None:
            prepare(world)
        names = world.plan.words()
        for line in self.lines:
            words = [Template(word).substitute(names) for word in line.words]
            world.pump.call_at(line.at, partial(VERBS[line.verb], world, words))
        world.pump.run_until(self.end)
        figures = figures_of(world)
        for service, word in zip(world.plan.services, ("main", "bulk"), strict=True):
            figures[f"imbalance_{word}"] = figures.pop(f"imbalance_{service}")
        missed = [text for e in self.expectations if (text := e.misses(figures))]
        return Outcome(judge(world), missed, figures, world)

    def _add(self, number: int, words: list[str]) -> None:
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
            self.expectations.extend(_expectation(number, word) for word in rest)
        elif name in VERBS:
            self.lines.append(Line(at, name, rest))
        else:
            raise ScenarioError(f"line {number}: unknown verb {name!r}")


def _expectation(number: int, word: str) -> Expectation:
    for sign in (">=", "<="):
        name, found, bound = word.partition(sign)
        if found:
            return Expectation(name, sign == ">=", float(bound))
    raise ScenarioError(f"line {number}: expected NAME>=BOUND or NAME<=BOUND, found {word!r}")
