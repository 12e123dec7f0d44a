"""Measures memory and update times of the catalog at the size that it is designed for.

Memory per row is taken as a slope: the difference in bytes between two catalogs, divided by the
difference in their numbers of rows of one kind. A slice of an update is the work of one call of
`Update.step`.
"""

__all__ = ["run"]

import gc
import time
import tracemalloc
from collections.abc import Iterable, Iterator

from shallotshore.catalog import Catalog
from shallotshore.delta_receiver import RECORDS_PER_STEP
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

UPSTREAM_COUNT = 150_000
SERVICE_COUNT = 8_100
DATA_CENTRE_COUNT = 19
_TRACE_DIVISOR = 3  # tracemalloc is slow, so slopes are taken at a third of the full size
_SLOPE_DIVISOR = 2  # the smaller catalog of a slope has half of the rows of one kind
_ROUNDS_PER_CHANGE = 20


def run() -> dict[str, float]:
    """Measures memory and update times.

    Returns:
        Figures by name: bytes per row, and times in ms and as ratios to the time that decoding
        one record takes.
    """
    figures = _measure_memory()
    catalog = Catalog()
    slices = _time_update_slices(catalog, 1, _generate_records(UPSTREAM_COUNT, SERVICE_COUNT))
    figures["load_seconds"] = sum(slices) / 1000
    figures["load_largest_slice_ms"] = max(slices)
    figures["load_median_slice_ms"] = _median(slices)
    read_ms = _measure_read_ms()
    figures["read_one_record_ms"] = read_ms
    for name, records in _build_changes():
        slices_by_round = [
            _time_update_slices(catalog, catalog.revision + 1, records)
            for _ in range(_ROUNDS_PER_CHANGE)
        ]
        total_ms = _median([sum(round_slices) for round_slices in slices_by_round])
        largest_ms = max(max(round_slices) for round_slices in slices_by_round)
        figures[f"{name}_ms"] = total_ms
        figures[f"{name}_ratio_to_read"] = total_ms / read_ms
        figures[f"{name}_largest_slice_ms"] = largest_ms
        figures[f"{name}_median_slice_ms"] = _median(
            [slice_ms for round_slices in slices_by_round for slice_ms in round_slices]
        )
    return figures


def _measure_memory() -> dict[str, float]:
    upstreams, services = UPSTREAM_COUNT // _TRACE_DIVISOR, SERVICE_COUNT // _TRACE_DIVISOR
    full_bytes = _measure_traced_bytes(upstreams, services)
    fewer_upstreams_bytes = _measure_traced_bytes(upstreams // _SLOPE_DIVISOR, services)
    fewer_services_bytes = _measure_traced_bytes(upstreams, services // _SLOPE_DIVISOR)
    bytes_per_upstream = (full_bytes - fewer_upstreams_bytes) / (
        upstreams - upstreams // _SLOPE_DIVISOR
    )
    bytes_per_service = (full_bytes - fewer_services_bytes) / (
        services - services // _SLOPE_DIVISOR
    )
    fixed_bytes = full_bytes - bytes_per_upstream * upstreams - bytes_per_service * services
    return {
        "bytes_per_upstream": bytes_per_upstream,
        "bytes_per_service": bytes_per_service,
        "megabytes_by_slopes": (
            fixed_bytes + bytes_per_upstream * UPSTREAM_COUNT + bytes_per_service * SERVICE_COUNT
        )
        / 1e6,
    }


def _measure_traced_bytes(upstreams: int, services: int) -> int:
    """Returns the bytes that a filled catalog keeps, as tracemalloc counts them."""
    gc.collect()
    tracemalloc.start()
    catalog = Catalog()
    _time_update_slices(catalog, 1, _generate_records(upstreams, services))
    gc.collect()
    used_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return used_bytes


def _time_update_slices(catalog: Catalog, revision: int, records: Iterable[Record]) -> list[float]:
    """Applies relayed records as a process does; returns the processor time of each slice in ms."""
    update = catalog.start_update(revision, relayed=True)
    slices: list[float] = []
    batch: list[Entry] = []
    for record in records:
        batch.append(Entry(key_of_record(record), revision, compress_text(encode_record(record))))
        if len(batch) == RECORDS_PER_STEP:
            update.feed(batch)
            batch.clear()
            if catalog.revision == 0:
                slices.append(_time_step_ms(update))
    update.feed(batch)
    update.mark_complete()
    while update.result is None:
        slices.append(_time_step_ms(update))
    return slices


def _time_step_ms(update: Update) -> float:
    # Processor time, so that other work on the machine does not count.
    start = time.process_time()
    update.step(RECORDS_PER_STEP)
    return (time.process_time() - start) * 1000


def _measure_read_ms() -> float:
    record = next(record for record in _generate_records(1, 1) if isinstance(record, Upstream))
    text = encode_record(record)
    start = time.process_time()
    for _ in range(10_000):
        read_record(key_of_record(record), text)
    return (time.process_time() - start) / 10


def _median(values: list[float]) -> float:
    return sorted(values)[len(values) // 2]


def _generate_records(upstreams: int, services: int) -> Iterator[Record]:
    for number in range(DATA_CENTRE_COUNT):
        yield DataCentre(_data_centre_name(number), f"region-{number % 5}")
    for number in range(services):
        yield Service(_service_name(number))
        address = (f"192.{number >> 8}.{number & 255}.1", 443)
        yield Customer(f"customer-{number:04}", 1, (Binding(_service_name(number), address),))
    for number in range(upstreams):
        yield _build_upstream(number, services)


def _data_centre_name(number: int) -> str:
    return f"region-{number % 5}-dc-{number:02}"


def _service_name(number: int) -> str:
    return f"service-{number:04}"


def _build_upstream(number: int, services: int, slots: int = 3) -> Upstream:
    service = _service_name(number % services)
    address = (f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}", 7000)
    name = f"{service}-{number // services:02}"
    return Upstream(
        name, service, _data_centre_name(number % DATA_CENTRE_COUNT), address, slots=slots
    )


def _build_changes() -> Iterator[tuple[str, list[Record]]]:
    yield "one_upstream", [_build_upstream(77, SERVICE_COUNT, 5)]
    yield "one_service", [Service(_service_name(77), 2)]
    yield "one_data_centre", [DataCentre(_data_centre_name(3), "region-3", "out")]
    yield "thousand_upstreams", [
        _build_upstream(number, SERVICE_COUNT, 5) for number in range(1000)
    ]
