"""A balancer's table of upstreams, with one row for each VM that runs or ran an upstream."""

from __future__ import annotations

__all__ = ["Listing", "UpstreamTable"]

from array import array
from collections.abc import Iterable
from enum import IntEnum

from shallotshore.hashing import name_id
from shallotshore.packets.hosts import host_number
from shallotshore.packets.node_messages import UpstreamHealth
from shallotshore.packets.record_choice import ReportedUpstream, choose_record
from shallotshore.packets.upstream_use import max_report_age_ms
from shallotshore.packets.view import Upstream
from shallotshore.packets.vm_state import VmState
from shallotshore.tables import MISSING, Table
from shallotshore.unknown_flows import NEVER

MAX_UPSTREAM_ROWS = 200_000  # the system is planned for 150,000 upstreams
UNLISTED_EXPIRY_MS = 60_000  # a flow may live this long on an upstream without a store entry
# An entry that is missing for this long, while the store answers, belongs to no living upstream: an
# upstream that can reach the store writes its entry again within 2 s.
MAX_MISSING_ENTRY_MS = 5_000
LAPSE_GRACE_MS = 2_200  # an entry that lapsed in an outage returns within 2 s if its upstream lives


class Listing(IntEnum):
    """Whether the store has an entry of an upstream."""

    NONE = 0  # no entry seen since this process started; known only from its agent's reports
    LISTED = 1
    LAPSED = 2  # the entry was removed, but the upstream may still run


class UpstreamTable(Table):
    """Upstreams by host.

    Columns:
        service: Id of the upstream's service.
        data_centre: Id of the upstream's data centre.
        slots: Requests that the upstream works on at the same time.
        listing: A Listing.
        leaving: 1 when the upstream's record says that it accepts no new flows.
        added_at: When the row was added, in ms.
        is_new: 1 when the upstream's first entry was written after the configurations began to be
            followed one by one.
        lapsed_at: When the store's entry was found removed, in ms.
        cold_until: When the upstream stops being cold, in ms.
        reported_at: Time of the agent's last report, in ms.
        is_subscribed: 1 while this balancer subscribes to the agent's reports.
        subscribed_since: When the present subscription began, in ms.
        subscribed_at: When this balancer last sent a subscription to the agent, in ms.
        heard_at: Time of the agent's last message of any kind, in ms.
        queried_at: When the agent was first queried about a flow since its last message, in ms.
        answers_searches: 1 when the agent has answered a Search.
        incarnation: Incarnation that the agent's last report with `is_complete` named; 0 before
            such a report.
        in_flight, flows, health, service_ms, concurrency: Values of the agent's last report.
        load_weight: Factor on the load by `service_ms` and the median of the service; 0.0 when no
            upstream of the service has a value, or learned values are not used for it.
        is_reporting: 1 while the agent sends reports.
        recent_offers: Number of flows that this balancer has offered too recently for a report to
            contain them.
        last_offer_at: When this balancer last offered a flow to the upstream, in ms.
        checked_at: When the VM was last checked, in ms.
        vm_state: A VmState.
        vm_state_at: When `vm_state` was last found, in ms.
        record_revision: Revision of the store's entry that is in use.
        agent_port: Port of the upstream that the agent's last report names; 0 before a report.
        agent_data_centre: Id of the data centre that the agent's last report names; 0 before one.

    Attributes:
        are_unlisted_usable: Whether upstreams without an entry may get new flows.
        must_apply_records: Whether the agent of a host has named another service than the host had,
            so that another record may count.
        must_settle_disputes: Whether the choice between the records of a host may have changed.
        named_services: Ids of the services that a configuration has named.
    """

    __slots__ = (
        "_by_service",
        "_disputed",
        "_followed_from",
        "_followed_since",
        "added_at",
        "agent_data_centre",
        "agent_port",
        "answers_searches",
        "are_unlisted_usable",
        "checked_at",
        "cold_until",
        "concurrency",
        "data_centre",
        "flows",
        "health",
        "heard_at",
        "in_flight",
        "incarnation",
        "is_new",
        "is_reporting",
        "is_subscribed",
        "lapsed_at",
        "last_offer_at",
        "leaving",
        "listing",
        "load_weight",
        "must_apply_records",
        "must_settle_disputes",
        "named_services",
        "queried_at",
        "recent_offers",
        "record_revision",
        "reported_at",
        "service",
        "service_ms",
        "slots",
        "subscribed_at",
        "subscribed_since",
        "vm_state",
        "vm_state_at",
    )

    COLUMNS = {
        "service": "Q",
        "data_centre": "Q",
        "slots": "H",
        "listing": "B",
        "leaving": "B",
        "added_at": "q",
        "is_new": "B",
        "lapsed_at": "q",
        "cold_until": "q",
        "reported_at": "q",
        "is_subscribed": "B",
        "subscribed_since": "q",
        "subscribed_at": "q",
        "heard_at": "q",
        "queried_at": "q",
        "answers_searches": "B",
        "incarnation": "Q",
        "in_flight": "H",
        "flows": "L",
        "health": "B",
        "is_reporting": "B",
        "recent_offers": "H",
        "last_offer_at": "q",
        "checked_at": "q",
        "vm_state": "B",
        "vm_state_at": "q",
        "record_revision": "Q",
        "agent_port": "H",
        "agent_data_centre": "Q",
        "service_ms": "f",
        "concurrency": "f",
        "load_weight": "f",
    }

    service: array[int]
    data_centre: array[int]
    slots: array[int]
    listing: array[int]
    leaving: array[int]
    added_at: array[int]
    is_new: array[int]
    lapsed_at: array[int]
    cold_until: array[int]
    reported_at: array[int]
    is_subscribed: array[int]
    subscribed_since: array[int]
    subscribed_at: array[int]
    heard_at: array[int]
    queried_at: array[int]
    answers_searches: array[int]
    incarnation: array[int]
    in_flight: array[int]
    flows: array[int]
    health: array[int]
    is_reporting: array[int]
    recent_offers: array[int]
    last_offer_at: array[int]
    checked_at: array[int]
    vm_state: array[int]
    vm_state_at: array[int]
    record_revision: array[int]
    agent_port: array[int]
    agent_data_centre: array[int]
    service_ms: array[float]
    concurrency: array[float]
    load_weight: array[float]

    def __init__(self) -> None:
        super().__init__(MAX_UPSTREAM_ROWS)
        self._by_service: dict[int, list[int]] = {}
        self._disputed: dict[int, list[Upstream]] = {}
        self._followed_from = 0
        self._followed_since = NEVER
        self.are_unlisted_usable = True
        self.must_apply_records = False
        self.must_settle_disputes = False
        self.named_services: set[int] = set()

    def hosts_of_service(self, service: int) -> list[int]:
        """Returns the hosts that run or ran an upstream of a service."""
        return self._by_service.get(service, [])

    def ensure_row(self, host: int, service: int, now: int) -> int:
        """Returns the row of a host; adds the row, or replaces it when the service has changed.

        Args:
            host: The host.
            service: Id of the service that the host's upstream serves.
            now: Time in ms.

        Returns:
            The row, or MISSING when the table is full.
        """
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
        """Removes the row of a host, if there is one."""
        row = self.row(host)
        if row == MISSING:
            return
        hosts = self._by_service[self.service[row]]
        hosts.remove(host)
        if not hosts:
            del self._by_service[self.service[row]]
        self.remove(host)

    def apply_records(
        self, upstreams: Iterable[Upstream], now: int, lapsed_hosts: Iterable[str] = ()
    ) -> None:
        """Applies all records of the store; hosts that no longer have a record become LAPSED.

        Args:
            upstreams: The records.
            now: Time in ms.
            lapsed_hosts: Hosts whose record was retained until now after the store had lost it, so
                that their time of grace is over.
        """
        self.must_apply_records = False
        records: dict[int, Upstream] = {}
        disputed: dict[int, list[Upstream]] = {}
        for upstream in upstreams:
            host = host_number(upstream.host)
            known = records.setdefault(host, upstream)
            if known is not upstream:
                disputed.setdefault(host, [known]).append(upstream)
        for host, upstream in records.items():
            if host in disputed:
                continue
            if self._is_contradicted(host, upstream, now):
                disputed[host] = [upstream]
            else:
                self._apply_record(host, upstream, now)
        self._disputed = disputed
        self.settle_disputes(now)
        for host in self.keys():
            if host not in records:
                self._mark_lapsed(host, now)
        for host_of_lapsed in map(host_number, lapsed_hosts):
            row = self.row(host_of_lapsed)
            if row != MISSING and self.listing[row] == Listing.LAPSED:
                self.lapsed_at[row] = now - LAPSE_GRACE_MS

    def settle_disputes(self, now: int) -> None:
        """Applies the records of hosts that have several, or whose agent contradicts the record."""
        self.must_settle_disputes = False
        for host, records in self._disputed.items():
            reported = self._reported_upstream(host, now)
            chosen = choose_record(records, reported, self.named_services)
            if chosen is None:
                self._mark_lapsed(host, now)
            else:
                self._apply_record(host, chosen, now)

    def record_agent(self, host: int, reported: ReportedUpstream, now: int) -> int:
        """Records which upstream the agent of a host names in a report.

        Args:
            host: The host.
            reported: The upstream.
            now: Time in ms.

        Returns:
            The row of the host, or MISSING when the table is full.
        """
        row = self.row(host)
        if row != MISSING and self.service[row] != reported.service:
            self.must_apply_records = True
        row = self.ensure_row(host, reported.service, now)
        if row == MISSING:
            return row
        if host in self._disputed and not self.has_fresh_report(row, now):
            self.must_settle_disputes = True
        self.agent_port[row] = reported.port
        self.agent_data_centre[row] = reported.data_centre
        return row

    def name_services(self, services: Iterable[int]) -> None:
        """Records the ids of services that a configuration names."""
        before = len(self.named_services)
        self.named_services.update(services)
        self.must_settle_disputes |= len(self.named_services) != before

    def record_history(self, revision: int, since: int) -> None:
        """Records from when on every configuration is known.

        Args:
            revision: Revision of the store after which no configuration was missed.
            since: When that revision was read, in ms.
        """
        if (revision, since) == (self._followed_from, self._followed_since):
            return
        self._followed_from, self._followed_since = revision, since
        for row in self.rows():
            self.is_new[row] = 0

    def is_foreign(self, row: int, now: int) -> bool:
        """Whether no configuration can have sent a flow to an upstream that may be open.

        Its service must not have been named in the life of a flow, or since its first entry. What
        was named before this process started is not known: its agent then has to answer, though
        the service is not named now.
        """
        if self.service[row] in self.named_services or self.heard_at[row]:
            return False
        return bool(self.is_new[row]) or now - self._followed_since > UNLISTED_EXPIRY_MS

    def expire_unlisted(self, now: int) -> None:
        """Removes hosts that have no entry in the store and have been silent for long."""
        for host in self.keys():
            row = self.row(host)
            last_seen_at = max(self.lapsed_at[row], self.reported_at[row])
            if self.listing[row] != Listing.LISTED and now - last_seen_at > UNLISTED_EXPIRY_MS:
                self.remove_host(host)

    def record_report(self, row: int, now: int) -> None:
        """Records a report of the agent."""
        self.reported_at[row] = now
        self.record_heard(row, now)

    def record_heard(self, row: int, now: int) -> None:
        """Records a message of the agent, which shows that its VM is alive."""
        self.heard_at[row] = now
        self.vm_state[row] = VmState.UNKNOWN

    def record_query(self, row: int, now: int) -> None:
        """Records that the agent was queried about a flow."""
        if self.queried_at[row] <= self.heard_at[row]:
            self.queried_at[row] = now

    def services(self) -> list[int]:
        """Returns the ids of all services that have a host."""
        return list(self._by_service)

    def has_fresh_report(self, row: int, now: int) -> bool:
        """Whether the agent's last report is recent enough to show that the agent is alive."""
        age = now - self.reported_at[row]
        return age < max_report_age_ms(now - self.last_offer_at[row]) and self.reported_at[row] > 0

    def accepts_new_flows(self, row: int, now: int) -> bool:
        """Whether new flows may be offered to an upstream, according to its record and reports."""
        if self.leaving[row] or self.health[row] == UpstreamHealth.LEAVING:
            return False
        if self.listing[row] == Listing.LISTED:
            return True
        if not self.has_fresh_report(row, now):
            return False
        if self.listing[row] == Listing.NONE:
            return self.are_unlisted_usable
        return now - self.lapsed_at[row] < LAPSE_GRACE_MS

    def has_left(self, row: int, now: int) -> bool:
        """Whether an upstream has announced that it leaves, and its entry is gone for good.

        An entry may also lapse while the store, or the way to it, is down. A living upstream then
        writes its entry again within LAPSE_GRACE_MS.
        """
        is_lapsed = self.listing[row] == Listing.LAPSED
        return bool(self.leaving[row]) and is_lapsed and now - self.lapsed_at[row] >= LAPSE_GRACE_MS

    def is_missing(self, row: int, now: int) -> bool:
        """Whether an upstream's entry has been missing for MAX_MISSING_ENTRY_MS."""
        is_lapsed = self.listing[row] == Listing.LAPSED
        return is_lapsed and now - self.lapsed_at[row] >= MAX_MISSING_ENTRY_MS

    def _is_contradicted(self, host: int, upstream: Upstream, now: int) -> bool:
        """Whether the host's agent reports an upstream of another service than a record names."""
        row = self.row(host)
        return (
            row != MISSING
            and self.has_fresh_report(row, now)
            and self.service[row] != name_id("service", upstream.service)
        )

    def _reported_upstream(self, host: int, now: int) -> ReportedUpstream | None:
        """Returns the upstream that the host's agent has reported lately, or None."""
        row = self.row(host)
        if row == MISSING or not self.has_fresh_report(row, now):
            return None
        return ReportedUpstream(
            self.service[row], self.agent_data_centre[row], self.agent_port[row]
        )

    def _mark_lapsed(self, host: int, now: int) -> None:
        """Records that no entry of the store names the upstream of a host any more."""
        row = self.row(host)
        if row != MISSING and self.listing[row] == Listing.LISTED:
            self.listing[row] = Listing.LAPSED
            self.lapsed_at[row] = now

    def _apply_record(self, host: int, upstream: Upstream, now: int) -> None:
        service = name_id("service", upstream.service)
        known = self.row(host)
        is_added = known == MISSING or self.service[known] != service
        row = self.ensure_row(host, service, now)
        if row == MISSING:
            return
        if is_added:
            self.is_new[row] = upstream.revision > self._followed_from > 0
        self.listing[row] = Listing.LISTED
        self.data_centre[row] = name_id("data_centre", upstream.data_centre)
        self.slots[row] = max(1, upstream.slots)
        self.leaving[row] = upstream.is_leaving
        if upstream.cold_ms and self.record_revision[row] != upstream.revision:
            self.cold_until[row] = max(self.cold_until[row], now + upstream.cold_ms)
        self.record_revision[row] = upstream.revision
