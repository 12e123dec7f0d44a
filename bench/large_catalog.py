"""Catalogs of a given size, for measurements."""

__all__ = ["FLEET_SERVICES", "FLEET_UPSTREAMS", "SMALL_SERVICES", "build_catalog", "vip_of"]

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

FLEET_SERVICES = 8_100
FLEET_UPSTREAMS = 150_000
SMALL_SERVICES = 10
_PART = 1_000  # records per revision
_DATA_CENTRES = 19
_REGIONS = 5
_VIP_PORT = 443
_AGENT_PORT = 7100


def vip_of(service: int) -> Address:
    """Returns the VIP of the service with a number."""
    return (f"10.{200 + service // 65_536}.{service // 256 % 256}.{service % 256}", _VIP_PORT)


def build_catalog(services: int, upstreams: int) -> Catalog:
    """Returns a catalog with one customer and one VIP per service.

    Args:
        services: Number of services.
        upstreams: Number of upstreams, spread evenly over services and data centres.
    """
    catalog = Catalog()
    records = _records(services, upstreams)
    # A process gets a large configuration in parts too; one part at a time keeps its memory low.
    for revision, part in enumerate(iter(lambda: list(islice(records, _PART)), []), start=1):
        entries = [Entry(key_of_record(record), revision, encode_record(record)) for record in part]
        catalog.apply_revision(revision, entries)
    return catalog


def _records(services: int, upstreams: int) -> Iterator[Record]:
    for number in range(_DATA_CENTRES):
        yield DataCentre(f"dc-{number}", f"region-{number % _REGIONS}")
    for number in range(services):
        yield Service(f"service-{number}")
        binding = Binding(f"service-{number}", vip_of(number))
        yield Customer(f"customer-{number}", 1, (binding,))
    for number in range(upstreams):
        address = (f"10.{number // 65_536}.{number // 256 % 256}.{number % 256}", _AGENT_PORT)
        yield Upstream(
            f"upstream-{number}",
            f"service-{number % services}",
            f"dc-{number // services % _DATA_CENTRES}",
            address,
            slots=3,
            cold_limit=1,
            warmup_ms=2000,
        )
