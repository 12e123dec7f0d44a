"""The demo's table: results of each customer at each service."""

__all__ = ["Row", "build_rows", "format_table"]

from typing import NamedTuple

from shallotshore.codes import Outcome
from standins.caller import Caller
from standins.checker import is_expected_end
from standins.measures import imbalance, percentile
from standins.world import World


class Row(NamedTuple):
    """Results of one customer at one service: counts of flows and requests, latencies in ms.

    `given_up` counts feeds that ended because their server or its data centre was stopped, removed
    or cut off; `broken` counts all other feeds that the caller did not close. `lost` counts
    requests for which the caller never received an answer, `late` those whose answer came after the
    caller had given up, `doubled` non-repeatable requests that were started more than once.
    """

    customer: str
    service: str
    flows: int
    broken: int
    given_up: int
    requests: int
    done: int
    lost: int
    late: int
    doubled: int
    not_run: int
    unknown: int
    p50: int
    p99: int
    imbalance: float
    late_packets: int


def build_rows(world: World, steady: tuple[int, int], late_packets: dict[str, int]) -> list[Row]:
    """Returns a deployment's rows, one for each customer and service.

    Args:
        world: A deployment that has run.
        steady: Start and end (ms) of the window in which imbalance is measured.
        late_packets: Packets, by service, that reached agents of a removed data centre after the
            time limit for its removal.
    """
    starts: dict[bytes, int] = {}
    for log in world.upstream_logs.values():
        for run in log.runs:
            starts[run.request_id] = starts.get(run.request_id, 0) + 1
    return [
        _row(world, caller, starts, steady, late_packets.get(caller.service, 0))
        for caller in world.callers.values()
    ]


def _row(
    world: World, caller: Caller, starts: dict[bytes, int], steady: tuple[int, int], late: int
) -> Row:
    log = caller.log
    outcomes = [end.outcome for end in log.requests]
    latencies = [end.ended - end.created_at for end in log.requests if end.outcome == Outcome.DONE]
    given_up = sum(is_expected_end(world, end) for end in log.broken_feeds)
    doubled = sum(not end.repeatable and starts.get(end.request_id, 0) > 1 for end in log.requests)
    late_answers = sum(
        not end.outcome and end.request_id in log.answered_late for end in log.requests
    )
    return Row(
        caller.customer,
        caller.service,
        len(log.sessions) + len(log.broken_feeds),
        len(log.broken_feeds) - given_up,
        given_up,
        len(outcomes),
        outcomes.count(Outcome.DONE),
        outcomes.count(0) - late_answers,
        late_answers,
        doubled,
        outcomes.count(Outcome.NOT_RUN),
        outcomes.count(Outcome.UNKNOWN),
        int(percentile(latencies, 0.50)),
        int(percentile(latencies, 0.99)),
        round(imbalance(world, caller.service, *steady), 2),
        late,
    )


def format_table(rows: list[Row]) -> str:
    """Returns rows as text in aligned columns under their headings."""
    headings = [name.replace("_", " ") for name in Row._fields]
    lines = [headings, *([str(value) for value in row] for row in rows)]
    widths = [max(len(line[column]) for line in lines) for column in range(len(headings))]
    return "\n".join(
        "  ".join(
            cell.ljust(width) if column < 2 else cell.rjust(width)
            for column, (cell, width) in enumerate(zip(line, widths, strict=True))
        )
        for line in lines
    )
