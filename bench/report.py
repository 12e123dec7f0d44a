"""Draws plots of service and load: `make report` writes build/report/*.png.

The plots show the outcomes of requests while a data centre is taken out and put back, and the load
across upstreams, for both users on the virtual clock. Further plots show what callers of the packet
front end get in a burst of one route beside another one, with and without declared terms.
"""

__all__ = ["main"]

import sys
from collections import Counter
from pathlib import Path

import matplotlib

matplotlib.use("Agg")  # no display is needed

from matplotlib import pyplot

from shallotshore.codes import Outcome
from standins.competing_routes import (
    BURST_MS,
    PRIORITIES,
    SECOND_MS,
    TERMS,
    CompetingRoutes,
)
from standins.deployments import KOLTSEGTER, VATULELE
from standins.measures import slot_utilisation
from standins.scenario import Scenario
from standins.world import World

REPORT_FOLDER = Path("build/report")
REMOVED_AT_S, RESTORED_AT_S, END_S = 20, 28, 38
BURST_STEP_MS = 100
MEASURED_FROM_S = 12  # upstreams have warmed up by then
_SCENARIO_TEXT = f"""
0 deployment {KOLTSEGTER} {VATULELE}
3 load * * half
{REMOVED_AT_S} data_centre $dc2 out
{RESTORED_AT_S} data_centre $dc2 in
{END_S} end
"""
_LABELS = {
    Outcome.DONE: "done",
    Outcome.NOT_RUN: "not run",
    Outcome.UNKNOWN: "unknown",
}


def _draw_service(world: World, user: str) -> None:
    """Draws the outcomes of requests by the second in which they ended."""
    ends = [end for log in world.caller_logs for end in log.requests if not end.cancelled]
    seconds = range(END_S)
    figure, axes = pyplot.subplots(figsize=(8, 3))
    for outcome, label in _LABELS.items():
        counts = Counter(end.ended // 1000 for end in ends if end.outcome == outcome)
        axes.plot(seconds, [counts[second] for second in seconds], label=label)
    axes.axvspan(REMOVED_AT_S, RESTORED_AT_S, alpha=0.2, label="data centre out")
    axes.set(xlabel="time (s)", ylabel="requests a second", title=f"{user}: outcomes")
    axes.legend(loc="upper left")
    _save(figure, f"service_{user}.png")


def _draw_load(world: World, user: str) -> None:
    """Draws the share of its slots that each upstream used before the data centre was taken out."""
    start, end = MEASURED_FROM_S * 1000, REMOVED_AT_S * 1000
    shares = {
        name: slot_utilisation(world, name, start, end) for name in sorted(world.upstream_logs)
    }
    figure, axes = pyplot.subplots(figsize=(8, 3))
    axes.barh(list(shares), list(shares.values()))
    axes.set(xlabel="share of slots in use", title=f"{user}: load across upstreams", xlim=(0, 1))
    _save(figure, f"load_{user}.png")


def _draw_burst(routes: CompetingRoutes, title: str, name: str) -> None:
    """Draws requests that are served, late, refused or given up, and waiting, over time."""
    records = routes.load.records
    start, end = routes.started_at - SECOND_MS, routes.started_at + 2 * BURST_MS
    times = range(start, end, BURST_STEP_MS)
    served = Counter(_step(one.answered_at) for one in records if one.is_in_time)
    late = Counter(
        _step(one.answered_at)
        for one in records
        if one.answered_at is not None and not one.is_in_time
    )
    failed = Counter(
        _step(one.ended_at)
        for one in records
        if one.ended_at is not None and one.answered_at is None
    )
    refused = Counter(_step(at) for at in routes.refused_at)
    waiting = [
        sum(one.started_at <= at and (one.ended_at is None or one.ended_at > at) for one in records)
        for at in times
    ]
    figure, axes = pyplot.subplots(figsize=(8, 3))
    seconds = [(at - routes.started_at) / SECOND_MS for at in times]
    for counts, label in (
        (served, "served in time"),
        (late, "served late"),
        (refused, "refused"),
        (failed, "given up"),
    ):
        axes.plot(seconds, [counts[_step(at)] for at in times], label=label)
    axes.plot(seconds, waiting, label="waiting", linestyle="dotted")
    axes.axvspan(0, BURST_MS / SECOND_MS, alpha=0.2, label="burst")
    axes.set(xlabel="time (s)", ylabel=f"requests in {BURST_STEP_MS} ms", title=title)
    axes.legend(loc="upper right")
    _save(figure, name)


def _step(at: int | None) -> int:
    return (at or 0) // BURST_STEP_MS


def _save(figure: "pyplot.Figure", name: str) -> None:
    figure.tight_layout()
    figure.savefig(REPORT_FOLDER / name)
    pyplot.close(figure)
    print(REPORT_FOLDER / name)


def main() -> int:
    """Runs the deployment of each user once, draws its plots and returns the exit status 0."""
    REPORT_FOLDER.mkdir(parents=True, exist_ok=True)
    scenario = Scenario.from_text(_SCENARIO_TEXT)
    for user in (KOLTSEGTER, VATULELE):
        world = scenario.run(user).world
        _draw_service(world, user)
        _draw_load(world, user)
    for terms, title, name in (
        (PRIORITIES, "burst, without terms", "burst_without_terms.png"),
        (TERMS, "burst, with declared terms", "burst_with_terms.png"),
    ):
        routes = CompetingRoutes(terms)
        routes.play_burst()
        _draw_burst(routes, title, name)
    return 0


if __name__ == "__main__":
    sys.exit(main())
