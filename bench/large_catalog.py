"""Builds catalogs of a given size for benchmarks."""

__all__ = [
    "FLEET_SERVICE_COUNT",
    "FLEET_UPSTREAM_COUNT",
    "SMALL_SERVICE_COUNT",
    "build_catalog",
    "service_vip",
]

from collections.abc import Iterator
from itertools import islice

from shallotshore.catalog import Catalog
from shallotshore.messages import Address, Entry
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

FLEET_SERVICE_COUNT = 8_100
FLEET_UPSTREAM_COUNT = 150_000
SMALL_SERVICE_COUNT = 10
_RECORDS_PER_REVISION = 1_000
_DATA_CENTRE_COUNT = 19
_REGION_COUNT = 5
_VIP_PORT = 443
_AGENT_PORT = 7100


def service_vip(service: int) -> Address:
    """Returns the VIP of a service by its number."""
    return (f"10.{200 + service // 65_536}.{service // 256 % 256}.{service % 256}", _VIP_PORT)


def build_catalog(services: int, upstreams: int) -> Catalog:
    """Returns a catalog with one customer and one VIP per service.

    Args:
        services: Number of services.
        upstreams: Number of upstreams, spread evenly over services and data centres.
    """
    catalog = Catalog()
    records = _generate_records(services, upstreams)
    # One part at a time keeps memory low; a process receives a large configuration in parts too.
    for revision, part in enumerate(
        iter(lambda: list(islice(records, _RECORDS_PER_REVISION)), []), start=1
    ):
        entries = [Entry(key_of_record(record), revision, encode_record(record)) for record in part]
        catalog.apply_revision(revision, entries)
    return catalog


def _generate_records(services: int, upstreams: int) -> Iterator[Record]:
    for number in range(_DATA_CENTRE_COUNT):
        yield DataCentre(f"dc-{number}", f"region-{number % _REGION_COUNT}")
    for number in range(services):
        yield Service(f"service-{number}")
        binding = Binding(f"service-{number}", service_vip(number))
        yield Customer(f"customer-{number}", 1, (binding,))
    for number in range(upstreams):
        address = (f"10.{number // 65_536}.{number // 256 % 256}.{number % 256}", _AGENT_PORT)
        yield Upstream(
            f"upstream-{number}",
            f"service-{number % services}",
            f"dc-{number // services % _DATA_CENTRE_COUNT}",
            address,
            slots=3,
            cold_limit=1,
            warmup_ms=2000,
        )
