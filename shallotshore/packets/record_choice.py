"""Chooses the record that counts when several entries of the store have the address of one VM."""

from __future__ import annotations

__all__ = ["choose_record"]

from collections.abc import Container, Iterable

from shallotshore.hashing import name_id
from shallotshore.packets.view import Upstream


def choose_record(
    records: Iterable[Upstream],
    service: int = 0,
    port: int = 0,
    named_services: Container[int] = (),
) -> Upstream | None:
    """Returns the record that counts, or None if there is none.

    The VM's agent knows which upstream runs beside it: records of another service do not count, and
    a record of its port goes before those of others. As long as the agent has not named its
    upstream, records of services that the configuration names go first. Of equal records the newest
    counts, since a restarted upstream writes an entry with another id.

    Args:
        records: Records of one host.
        service: Id of the service of the agent's upstream; 0 when it is not known.
        port: Port of the agent's upstream; 0 when it is not known.
        named_services: Ids of the services that the configuration names.
    """

    def rank(record: Upstream) -> tuple[bool, bool, int]:
        is_named = name_id("service", record.service) in named_services
        return record.port == port, is_named, record.revision

    if service:
        records = [one for one in records if name_id("service", one.service) == service]
    return max(records, key=rank, default=None)
