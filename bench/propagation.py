"""Measures propagation: time until all processes hold a revision, idle traffic, platform reads."""

__all__ = ["run"]

import random
import time

from bench.fleet import Fleet
from shallotshore import codec
from shallotshore.control_messages import Delta, DeltaRequest, RevisionNotice, RevisionOffer
from shallotshore.records import DataCentre
from standins.runtime import Process

LOSS_SHARE = 0.05
START_MS = 6000
SEED_COUNT = 5
CHANGE_COUNT = 20
SPREAD_TIMEOUT_MS = 30_000
IDLE_MS = 20_000
DATA_CENTRE_COUNT = 2
_CONTROL_MESSAGE_TYPES = (Delta, DeltaRequest, RevisionOffer, RevisionNotice)


def run() -> dict[str, float]:
    """Measures fleets of several sizes.

    Returns:
        Figures by name. Times are of the virtual clock; bytes are those of encoded messages
        without headers.
    """
    figures = {"seconds_until_last_5_percent_loss": 0.0}
    for processes in (11, 20):
        worst = max(_measure_slowest_change_s(processes, seed) for seed in range(SEED_COUNT))
        figures[f"seconds_until_last_{processes}_processes"] = worst
        figures["seconds_until_last_5_percent_loss"] = max(
            figures["seconds_until_last_5_percent_loss"], worst
        )
    for processes in (4, 40, 400):
        figures |= _measure_idle_cost(processes)
    return figures


def _start_fleet(processes: int, seed: int) -> Fleet:
    balancers = max(2, processes // 4)
    fleet = Fleet(balancers, processes - balancers, DATA_CENTRE_COUNT, seed, LOSS_SHARE)
    fleet.publish(*fleet.records())
    fleet.run(START_MS)
    return fleet


def _measure_slowest_change_s(processes: int, seed: int) -> float:
    """Returns the longest time in s, of several changes, until all processes held the change."""
    fleet = _start_fleet(processes, seed)
    rng = random.Random(seed)
    slowest = 0
    for number in range(CHANGE_COUNT):
        revision = fleet.publish(DataCentre("dc-0", "suva", "in" if number % 2 else "out"))
        slowest = max(slowest, fleet.run_until_all_hold(revision, SPREAD_TIMEOUT_MS))
        fleet.run(rng.randrange(1500))
    return slowest / 1000


def _measure_idle_cost(processes: int) -> dict[str, float]:
    """Returns reads a second of both services, and an idle process's control traffic and load."""
    fleet = _start_fleet(processes, processes)
    sent = [0]

    def count(now: int, source: object, process: Process, message: object) -> None:
        sent[0] += len(codec.encode(message))  # type: ignore[arg-type]

    for message_type in _CONTROL_MESSAGE_TYPES:
        fleet.runtime.observers[message_type] = [count]
    reads = fleet.configuration.reads + fleet.vm_list.reads
    start = time.process_time()
    fleet.run(IDLE_MS)
    used_s = time.process_time() - start
    seconds = IDLE_MS / 1000
    reads = fleet.configuration.reads + fleet.vm_list.reads - reads
    return {
        f"reads_per_second_{processes}_processes": reads / seconds,
        f"idle_bytes_per_second_{processes}_processes": sent[0] / seconds / processes,
        f"idle_core_share_{processes}_processes": used_s / seconds / processes,
    }
