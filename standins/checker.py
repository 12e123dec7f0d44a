"""Checks the product's promises, P1 to P10, after a run.

The logs of callers, upstreams and delivered packets are compared with the journal.
"""

__all__ = [
    "ENFORCEMENT_LIMIT_MS",
    "PROMISES",
    "PromiseCheck",
    "Violation",
    "check_promises",
    "is_expected_end",
]

from collections.abc import Callable, Iterator
from typing import NamedTuple, TypeAlias

from shallotshore.codes import Outcome
from standins.caller_state import FeedEnd, RequestEnd
from standins.journal import Span
from standins.runtime import Process
from standins.upstream_state import RequestRun
from standins.world import World, agent_name

ENFORCEMENT_LIMIT_MS = 3000  # the bound that P4, P8 and P10 state
COLD_DETECTION_MS = 2000  # for an agent to detect caches lost without a restart
MAX_STOP_MS = 30_000  # for a graceful stop


class Violation(NamedTuple):
    """One breach of a promise: the promise, the time in ms and a description."""

    promise: str
    at: int
    text: str


PromiseCheck: TypeAlias = Callable[[World], Iterator[Violation]]


def _runs_by_request(world: World) -> dict[bytes, list[RequestRun]]:
    runs: dict[bytes, list[RequestRun]] = {}
    for log in world.upstream_logs.values():
        for run in log.runs:
            runs.setdefault(run.request_id, []).append(run)
    return runs


def _ended_requests(world: World) -> Iterator[RequestEnd]:
    for log in world.caller_logs:
        yield from log.requests


def is_expected_end(world: World, end: FeedEnd) -> bool:
    """Whether a feed's server ended, was cut off or had its data centre removed during the feed.

    When a data centre is unreachable, the balancers end its feeds and tell the callers so
    (docs/design.md, section 8).
    """
    name = end.session.split("/")[0]
    if any(end.opened_at <= at <= end.ended for at in world.journal.ended.get(name, ())):
        return True
    place = world.server(name).settings.data_centre
    for span, names in world.journal.partitions:
        if span.overlaps(end.last_received_at, end.ended) and {name, place, agent_name(name)} & set(
            names
        ):
            return True
    spans = world.journal.out.get(place, ())
    return any(span.overlaps(end.opened_at, end.ended) for span in spans)


def _was_customer_withdrawn(world: World, customer: str, start: int, end: int) -> bool:
    spans = world.journal.customer_withdrawn.get(customer, ())
    return any(span.overlaps(start, end) for span in spans)


def check_feeds_stay_open(world: World) -> Iterator[Violation]:
    """P1: an established feed ends only for a reason outside the load balancer.

    The reasons are that its caller closes it, its server ends or is cut off, its data centre is
    taken out of service, or its customer's record is withdrawn.
    """
    for log in world.caller_logs:
        for end in log.broken_feeds:
            if is_expected_end(world, end) or _was_customer_withdrawn(
                world, end.customer, end.opened_at, end.ended
            ):
                continue
            text = f"feed {end.flow} of {end.customer} on {end.session} ended with {end.code}"
            yield Violation("P1", end.ended, text)


def check_isolation(world: World) -> Iterator[Violation]:
    """P2: no packet reaches another service or customer, in either direction."""
    for log in world.upstream_logs.values():
        for text in log.misdelivered:
            yield Violation("P2", world.now, text)
    for caller in world.caller_logs:
        for text in caller.invalid_messages:
            if "feed packet" in text or "foreign" in text:
                yield Violation("P2", world.now, text)


def check_cold_bound(world: World) -> Iterator[Violation]:
    """P3: an upstream that has just started never has more open work than its cold bound."""
    for name, log in world.upstream_logs.items():
        turned_cold = world.journal.turned_cold_at.get(name, ())
        for at, open_work, bound in log.bound_excesses:
            if any(0 <= at - cold <= COLD_DETECTION_MS for cold in turned_cold):
                continue
            yield Violation(
                "P3",
                at,
                f"{name} had {open_work} open requests or recent feed openings, bound {bound}",
            )


def _reachable_since(world: World, process: Process, since: int, at: int) -> int:
    """Returns the time in ms from which a process could learn of a change made at `since`.

    This is the time of the change or, if the process was partitioned, the end of the partition: a
    process that is cut off continues with the state it has (docs/design.md, section 8).
    """
    for span, names in world.journal.partitions:
        if span.overlaps(since, at) and (process.name in names or process.place in names):
            since = max(since, min(span.end, at))
    return since


def _must_be_in_force(world: World, span: Span, at: int) -> bool:
    """Whether a published change has been readable for so long that it must be in force.

    What is published while the configuration service is down or stale is readable only afterwards.
    """
    return world.journal.readable_from(span.start) + ENFORCEMENT_LIMIT_MS < at <= span.end


def check_removed_data_centre(world: World) -> Iterator[Violation]:
    """P4: a removed data centre receives no packet of a caller after `ENFORCEMENT_LIMIT_MS`.

    A process that was cut off may still send there, but then the data centre's agents must refuse
    the work.
    """
    for at, place, sender in world.delivery_log.caller_packets:
        for span in world.journal.out.get(place, ()):
            if not _must_be_in_force(world, span, at):
                continue
            since = world.journal.readable_from(span.start)
            if at > _reachable_since(world, sender, since, at) + ENFORCEMENT_LIMIT_MS:
                yield Violation("P4", at, f"{place} received a packet from {sender.name}")
    for name, log in world.upstream_logs.items():
        place = world.server(name).settings.data_centre
        for span in world.journal.out.get(place, ()):
            for at, customer in log.new_work:
                if _must_be_in_force(world, span, at):
                    yield Violation("P4", at, f"{name} in {place} received work of {customer}")


def check_answers(world: World) -> Iterator[Violation]:
    """P5: every answer is complete, undamaged and the caller's own; no reported outcome changes."""
    for log in world.caller_logs:
        for text in log.invalid_messages:
            yield Violation("P5", world.now, text)
        for request_id in log.contradicted_requests:
            yield Violation(
                "P5",
                world.now,
                f"request {request_id.hex()} was reported both as done and as not run",
            )


def check_not_run(world: World) -> Iterator[Violation]:
    """P6: no upstream ever starts a request that was reported to its caller as not run."""
    runs = _runs_by_request(world)
    for end in _ended_requests(world):
        if end.outcome != Outcome.NOT_RUN:
            continue
        for run in runs.get(end.request_id, ()):
            text = (
                f"request {end.request_id.hex()} reported as not run ({end.code})"
                f" was started at {run.started}"
            )
            yield Violation("P6", end.ended, text)


def check_at_most_once(world: World) -> Iterator[Violation]:
    """P7: no non-repeatable request starts twice, whether it has ended or is still open."""
    non_repeatable = {end.request_id for end in _ended_requests(world) if not end.repeatable}
    for caller in world.callers.values():
        requests = caller.requests
        non_repeatable.update(
            requests.request_id[row] for row in requests.rows() if not requests.repeatable[row]
        )
    for request_id, runs in _runs_by_request(world).items():
        if request_id in non_repeatable and len(runs) > 1:
            times = ", ".join(str(run.started) for run in runs)
            yield Violation(
                "P7", runs[1].started, f"request {request_id.hex()} was started at {times}"
            )


def check_leaving_upstream(world: World) -> Iterator[Violation]:
    """P8: a leaving upstream receives no new work after `ENFORCEMENT_LIMIT_MS`."""
    for name, spans in world.journal.leaving.items():
        for at, customer in world.upstream_logs[name].new_work:
            if any(_must_be_in_force(world, span, at) for span in spans):
                yield Violation("P8", at, f"{name} received new work of {customer}")


def check_graceful_stops(world: World) -> Iterator[Violation]:
    """P9: a planned stop ends no request in progress and leaves no caller without its answer."""
    for name, log in world.upstream_logs.items():
        for request_id in log.interrupted:
            yield Violation(
                "P9", world.now, f"{name} was stopped while it ran request {request_id.hex()}"
            )
    if world.journal.faults:
        return  # an unplanned fault may leave outcomes unknown by itself
    planned_stops = world.journal.planned_stops
    for end in _ended_requests(world):
        if end.outcome in (Outcome.DONE, Outcome.NOT_RUN) or end.cancelled:
            continue
        if any(end.created_at <= at + MAX_STOP_MS and at <= end.ended for at, _ in planned_stops):
            yield Violation(
                "P9", end.ended, f"request {end.request_id.hex()} ended with {end.code}"
            )


def check_configuration(world: World) -> Iterator[Violation]:
    """P10: a customer's record is in force everywhere within seconds and stays in force.

    A withdrawn customer reaches no upstream; a new one is served. Removed data centres and leaving
    upstreams are checked by P4 and P8.
    """
    for customer, spans in world.journal.customer_withdrawn.items():
        for name, log in world.upstream_logs.items():
            for at, work_customer in log.new_work:
                if work_customer == customer and any(
                    _must_be_in_force(world, s, at) for s in spans
                ):
                    yield Violation("P10", at, f"{name} received work of withdrawn {customer}")
    for end in _ended_requests(world):
        since = world.journal.customer_added_at.get(end.customer)
        if since is None or end.created_at <= since + ENFORCEMENT_LIMIT_MS or end.cancelled:
            continue
        if end.outcome != Outcome.DONE and not _was_customer_withdrawn(
            world, end.customer, end.created_at, end.ended
        ):
            yield Violation(
                "P10", end.ended, f"request of new {end.customer} ended with {end.code}"
            )


PROMISES: dict[str, PromiseCheck] = {
    "P1": check_feeds_stay_open,
    "P2": check_isolation,
    "P3": check_cold_bound,
    "P4": check_removed_data_centre,
    "P5": check_answers,
    "P6": check_not_run,
    "P7": check_at_most_once,
    "P8": check_leaving_upstream,
    "P9": check_graceful_stops,
    "P10": check_configuration,
}


def check_promises(world: World, promises: tuple[str, ...] = tuple(PROMISES)) -> list[Violation]:
    """Returns every breach of the named promises, by default of all promises.

    Args:
        world: A deployment that has run.
        promises: Names from `PROMISES`.
    """
    return [violation for name in promises for violation in PROMISES[name](world)]
