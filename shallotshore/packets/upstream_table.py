"""A balancer's table of upstreams, one row for each VM that has or had one."""

from __future__ import annotations

__all__ = ["Listing", "UpstreamTable"]

from array import array
from collections.abc import Iterable
from enum import IntEnum

from shallotshore.hashing import name_id
from shallotshore.packets.hosts import host_number
from shallotshore.packets.node_messages import UpstreamHealth
from shallotshore.packets.upstream_use import max_report_age_ms
from shallotshore.packets.view import Upstream
from shallotshore.packets.vm_checks import VmState
from shallotshore.tables import MISSING, Table

MAX_UPSTREAM_ROWS = 200_000  # rows; above the 150,000 upstreams planned for
UNLISTED_EXPIRY_MS = 60_000  # flows may live so long on an upstream that is listed no more
LAPSE_GRACE_MS = 2_200  # an entry that lapsed in an outage is back within 2 s, or it is gone


class Listing(IntEnum):
    """What the store says of an upstream."""

    NONE = 0  # only its agent has been heard
    LISTED = 1
    LAPSED = 2  # the entry is gone, the upstream perhaps not yet


class UpstreamTable(Table):
    """Upstreams by host.

    Columns: `service` and `data_centre` are ids; `listing` is a Listing; `leaving` is 1 when the
    upstream takes no new flows; `added_at`, `lapsed_at`, `cold_until`, `reported_at`, `asked_at`,
    `opened_at` and `checked_at` are times in ms; `vm_state` is a VmState;
    `record_revision` is that of the record in force; `incarnation` is that of the agent which has
    named all its flows; `in_flight`, `flows` and `health` are the agent's last report; `is_heard`
    is 1 while the agent reports; `opened` counts flows opened by this balancer that the report
    cannot contain yet.
    """

    __slots__ = (
        "_by_service",
        "added_at",
        "asked_at",
        "checked_at",
        "cold_until",
        "data_centre",
        "flows",
        "health",
        "in_flight",
        "incarnation",
        "is_heard",
        "lapsed_at",
        "leaving",
        "listing",
        "opened",
        "opened_at",
        "record_revision",
        "reported_at",
        "service",
        "slots",
        "vm_state",
    )

    COLUMNS = {
        "service": "Q",
        "data_centre": "Q",
        "slots": "H",
        "listing": "B",
        "leaving": "B",
        "added_at": "q",
        "lapsed_at": "q",
        "cold_until": "q",
        "reported_at": "q",
        "asked_at": "q",
        "incarnation": "Q",
        "in_flight": "H",
        "flows": "L",
        "health": "B",
        "is_heard": "B",
        "opened": "H",
        "opened_at": "q",
        "checked_at": "q",
        "vm_state": "B",
        "record_revision": "Q",
    }

    service: array[int]
    data_centre: array[int]
    slots: array[int]
    listing: array[int]
    leaving: array[int]
    added_at: array[int]
    lapsed_at: array[int]
    cold_until: array[int]
    reported_at: array[int]
    asked_at: array[int]
    incarnation: array[int]
    in_flight: array[int]
    flows: array[int]
    health: array[int]
    is_heard: array[int]
    opened: array[int]
    opened_at: array[int]
    checked_at: array[int]
    vm_state: array[int]
    record_revision: array[int]

    def __init__(self) -> None:
        super().__init__(MAX_UPSTREAM_ROWS)
        self._by_service: dict[int, list[int]] = {}

    def hosts_of_service(self, service: int) -> list[int]:
        """Returns the hosts that have or had an upstream of a service."""
        return self._by_service.get(service, [])

    def ensure_row(self, host: int, service: int, now: int) -> int:
        """Returns the row of a host, which is made or moved to the service as needed."""
        row = self.row(host)
        if row != MISSING and self.service[row] != service:
            self.remove_host(host)
            row = MISSING
        if row == MISSING:
            row = self.add(host)
            if row != MISSING:
                self.service[row] = service
                self.added_at[row] = now
                self.slots[row] = 1
                self.health[row] = UpstreamHealth.ANSWERS
                self._by_service.setdefault(service, []).append(host)
        return row

    def remove_host(self, host: int) -> None:
        """Removes a host."""
        row = self.row(host)
        if row == MISSING:
            return
        hosts = self._by_service[self.service[row]]
        hosts.remove(host)
        if not hosts:
            del self._by_service[self.service[row]]
        self.remove(host)

    def apply_records(self, upstreams: Iterable[Upstream], now: int) -> None:
        """Takes over the records of the store; hosts that it names no more have lapsed."""
        newest: dict[int, Upstream] = {}
        for upstream in upstreams:
            host = host_number(upstream.host)
            held = newest.get(host)
            if held is None or held.revision < upstream.revision:
                newest[host] = upstream
        for host, upstream in newest.items():
            self._apply_record(host, upstream, now)
        for host in self.keys():
            row = self.row(host)
            if host not in newest and self.listing[row] == Listing.LISTED:
                self.listing[row] = Listing.LAPSED
                self.lapsed_at[row] = now

    def expire_unlisted(self, now: int) -> None:
        """Removes hosts that are listed no more and have been silent for long."""
        for host in self.keys():
            row = self.row(host)
            last = max(self.lapsed_at[row], self.reported_at[row])
            if self.listing[row] != Listing.LISTED and now - last > UNLISTED_EXPIRY_MS:
                self.remove_host(host)

    def record_report(self, row: int, now: int) -> None:
        """Notes a report of the agent, which shows that its VM lives."""
        self.reported_at[row] = now
        self.vm_state[row] = VmState.UNKNOWN

    def has_fresh_report(self, row: int, now: int) -> bool:
        """Whether the agent has reported lately."""
        age = now - self.reported_at[row]
        return age < max_report_age_ms(now - self.opened_at[row]) and self.reported_at[row] > 0

    def accepts_new_flows(self, row: int, now: int) -> bool:
        """Whether new flows may go to an upstream, as far as its records say."""
        if self.leaving[row] or self.health[row] == UpstreamHealth.LEAVING:
            return False
        if self.listing[row] == Listing.LISTED:
            return True
        if not self.has_fresh_report(row, now):
            return False
        return self.listing[row] == Listing.NONE or now - self.lapsed_at[row] < LAPSE_GRACE_MS

    def _apply_record(self, host: int, upstream: Upstream, now: int) -> None:
        row = self.ensure_row(host, name_id("service", upstream.service), now)
        if row == MISSING:
            return
        self.listing[row] = Listing.LISTED
        self.data_centre[row] = name_id("data_centre", upstream.data_centre)
        self.slots[row] = max(1, upstream.slots)
        self.leaving[row] = upstream.is_leaving
        self.record_revision[row] = upstream.revision
        if upstream.cold_ms:
            self.cold_until[row] = max(self.cold_until[row], now + upstream.cold_ms)
