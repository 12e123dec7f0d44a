"""Chooses the record that counts when several entries of the store have the address of one VM."""

from __future__ import annotations

__all__ = ["ReportedUpstream", "choose_record"]

from collections.abc import Container, Iterable

from shallotshore.hashing import name_id
from shallotshore.packets.view import Upstream


class ReportedUpstream:
    """What the agent of a VM knows of the upstream that runs beside it.

    Attributes:
        service: Id of the upstream's service.
        data_centre: Id of the VM's data centre.
        port: Port at which the upstream receives packets.
    """

    __slots__ = ("data_centre", "port", "service")

    def __init__(self, service: int, data_centre: int, port: int) -> None:
        self.service = service
        self.data_centre = data_centre
        self.port = port


def choose_record(
    records: Iterable[Upstream],
    reported: ReportedUpstream | None = None,
    named_services: Container[int] = (),
) -> Upstream | None:
    """Returns the record that counts, or None if there is none.

    Records of another service than the agent reports do not count, and those with the port and the
    data centre that it reports go before others. Without a report, records of services that the
    configuration names go first.

    Of records that are alike in this, one of a leaving upstream counts for as long as it is in the
    store: a restarted upstream is unused until its earlier entry lapses, but an upstream that
    leaves gets no new flows through another entry. Of the others the newest counts.

    Args:
        records: Records of one host.
        reported: The upstream that the host's agent reports; None when it is not known.
        named_services: Ids of the services that the configuration names.
    """

    def rank(record: Upstream) -> tuple[bool, bool, bool, int]:
        if reported is None:
            is_named = name_id("service", record.service) in named_services
            return is_named, False, record.is_leaving, record.revision
        is_near = name_id("data_centre", record.data_centre) == reported.data_centre
        return record.port == reported.port, is_near, record.is_leaving, record.revision

    if reported is not None:
        service = reported.service
        records = [one for one in records if name_id("service", one.service) == service]
    return max(records, key=rank, default=None)
