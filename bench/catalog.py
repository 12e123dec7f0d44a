"""Measures the catalog at the size to design for: memory by slopes, and the time of changes."""

__all__ = ["run"]

import gc
import time
import tracemalloc
from collections.abc import Iterable, Iterator

from shallotshore.catalog import Catalog
from shallotshore.intake import RECORDS_PER_STEP
from shallotshore.messages import Entry
from shallotshore.record_reader import read_record
from shallotshore.records import (
    Binding,
    Customer,
    DataCentre,
    Record,
    Service,
    Upstream,
    encode_record,
    key_of_record,
)
from shallotshore.replica import Update
from shallotshore.texts import compress_text

UPSTREAMS = 150_000
SERVICES = 8_100
DATA_CENTRES = 19
_TRACED = 3  # the allocator's trace is slow, so that slopes are taken at a third of the size
_FEWER = 2  # the smaller size of a slope is this part of the larger one
_REPEATS = 20


def run() -> dict[str, float]:
    """Returns bytes per row, and times in ms and as ratios to reading one record's text."""
    figures = _memory()
    catalog = Catalog()
    slices = _apply(catalog, 1, _records(UPSTREAMS, SERVICES))
    figures["load_seconds"] = sum(slices) / 1000
    figures["load_largest_slice_ms"] = max(slices)
    figures["load_median_slice_ms"] = _median(slices)
    base = _read_ms()
    figures["read_one_record_ms"] = base
    for name, records in _changes():
        rounds = [_apply(catalog, catalog.revision + 1, records) for _ in range(_REPEATS)]
        total = _median([sum(each) for each in rounds])
        largest = max(max(each) for each in rounds)
        figures[f"{name}_ms"] = total
        figures[f"{name}_ratio_to_read"] = total / base
        figures[f"{name}_largest_slice_ms"] = largest
        figures[f"{name}_median_slice_ms"] = _median([part for each in rounds for part in each])
    return figures


def _memory() -> dict[str, float]:
    upstreams, services = UPSTREAMS // _TRACED, SERVICES // _TRACED
    large = _traced(upstreams, services)
    fewer_upstreams = _traced(upstreams // _FEWER, services)
    fewer_services = _traced(upstreams, services // _FEWER)
    per_upstream = (large - fewer_upstreams) / (upstreams - upstreams // _FEWER)
    per_service = (large - fewer_services) / (services - services // _FEWER)
    rest = large - per_upstream * upstreams - per_service * services
    return {
        "bytes_per_upstream": per_upstream,
        "bytes_per_service": per_service,
        "megabytes_by_slopes": (rest + per_upstream * UPSTREAMS + per_service * SERVICES) / 1e6,
    }


def _traced(upstreams: int, services: int) -> int:
    """Returns the bytes that a filled catalog keeps, as the allocator counts them."""
    gc.collect()
    tracemalloc.start()
    catalog = Catalog()
    _apply(catalog, 1, _records(upstreams, services))
    gc.collect()
    used = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return used


def _apply(catalog: Catalog, revision: int, records: Iterable[Record]) -> list[float]:
    """Applies relayed records as a process does, and returns the ms of each slice."""
    update = catalog.start_update(revision, relayed=True)
    slices: list[float] = []
    batch: list[Entry] = []
    for record in records:
        batch.append(Entry(key_of_record(record), revision, compress_text(encode_record(record))))
        if len(batch) == RECORDS_PER_STEP:
            update.feed(batch)
            batch.clear()
            if catalog.revision == 0:
                slices.append(_step(update))
    update.feed(batch)
    update.mark_complete()
    while update.result is None:
        slices.append(_step(update))
    return slices


def _step(update: Update) -> float:
    # Processor time, since others run on the machine.
    start = time.process_time()
    update.step(RECORDS_PER_STEP)
    return (time.process_time() - start) * 1000


def _read_ms() -> float:
    record = next(record for record in _records(1, 1) if isinstance(record, Upstream))
    text = encode_record(record)
    start = time.process_time()
    for _ in range(10_000):
        read_record(key_of_record(record), text)
    return (time.process_time() - start) / 10


def _median(values: list[float]) -> float:
    return sorted(values)[len(values) // 2]


def _records(upstreams: int, services: int) -> Iterator[Record]:
    for number in range(DATA_CENTRES):
        yield DataCentre(_centre(number), f"region-{number % 5}")
    for number in range(services):
        yield Service(_service(number))
        address = (f"192.{number >> 8}.{number & 255}.1", 443)
        yield Customer(f"customer-{number:04}", 1, (Binding(_service(number), address),))
    for number in range(upstreams):
        yield _upstream(number, services)


def _centre(number: int) -> str:
    return f"region-{number % 5}-dc-{number:02}"


def _service(number: int) -> str:
    return f"service-{number:04}"


def _upstream(number: int, services: int, slots: int = 3) -> Upstream:
    service = _service(number % services)
    address = (f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}", 7000)
    name = f"{service}-{number // services:02}"
    return Upstream(name, service, _centre(number % DATA_CENTRES), address, slots=slots)


def _changes() -> Iterator[tuple[str, list[Record]]]:
    yield "one_upstream", [_upstream(77, SERVICES, 5)]
    yield "one_service", [Service(_service(77), 2)]
    yield "one_data_centre", [DataCentre(_centre(3), "region-3", "out")]
    yield "thousand_upstreams", [_upstream(number, SERVICES, 5) for number in range(1000)]
