"""Several entries of the store with the address of one VM."""

import unittest

import msgspec

from shallotshore.hashing import name_id
from shallotshore.packets.feed_content import UpstreamChange
from shallotshore.packets.hosts import host_number
from shallotshore.packets.record_choice import ReportedUpstream, choose_record
from shallotshore.packets.search import find_possible_owners
from shallotshore.packets.upstream_table import LAPSE_GRACE_MS, Listing, UpstreamTable
from shallotshore.packets.view import Feed, Upstream
from standins.packet_world import PacketWorld

HOST = "10.1.1.1"
BALANCERS = ("10.0.0.1", "10.0.0.2")
AGENTS = ("10.1.0.1", "10.1.0.2", "10.1.0.3")
NOW = 100_000
PORT = 8080
REPORTED = ReportedUpstream(name_id("service", "spend"), name_id("data_centre", "bud-a"), PORT)


def record(
    name: str, revision: int, service: str = "spend", port: int = PORT, is_leaving: bool = False
) -> Upstream:
    """Returns a record of the host."""
    return Upstream(name, service, HOST, port, "bud-a", 1, is_leaving, 0, revision)


class ChoiceTest(unittest.TestCase):
    """The choice between records."""

    def test_agent_decides(self) -> None:
        """Guards against a record that hides the upstream which runs beside the agent."""
        own = record("i-1", 3)
        others = [record("a", 9, service="object-cache"), record("b", 8, port=6379)]
        others.append(msgspec.structs.replace(others[1], port=PORT, data_centre="elsewhere"))
        self.assertEqual(own, choose_record([*others, own], REPORTED))
        self.assertIsNone(choose_record(others[:1], REPORTED))
        self.assertEqual(others[1], choose_record(others[:2], REPORTED))

    def test_named_service_goes_before_a_newer_record(self) -> None:
        """Guards against entries of another service that hide upstreams after a power loss."""
        own, foreign = record("i-1", 3), record("a", 9, service="object-cache")
        named = {name_id("service", "spend")}
        self.assertEqual(own, choose_record([own, foreign], named_services=named))
        self.assertEqual(foreign, choose_record([own, foreign]))

    def test_newest_record_of_an_upstream_counts(self) -> None:
        """Guards against the record of an upstream before its restart, which says less."""
        old, new = record("i-1", 3), record("i-2", 5)
        self.assertEqual(new, choose_record([new, old], REPORTED))
        self.assertEqual(new, choose_record([old, new], named_services={REPORTED.service}))

    def test_leaving_record_counts_while_it_is_there(self) -> None:
        """Guards against a leaving upstream in use for a newer entry with its whole address."""
        leaving, new = record("i-1", 3, is_leaving=True), record("x", 5)
        self.assertEqual(leaving, choose_record([new, leaving], REPORTED))
        self.assertEqual(leaving, choose_record([leaving, new], named_services={REPORTED.service}))


class TableTest(unittest.TestCase):
    """A balancer's table of upstreams."""

    def setUp(self) -> None:
        self.table = UpstreamTable()
        self.host = host_number(HOST)
        self.spend = name_id("service", "spend")
        self.table.name_services([self.spend, name_id("service", "report")])

    def report(self, service: str = "spend", port: int = PORT) -> None:
        """Records a report of the agent."""
        reported = ReportedUpstream(name_id("service", service), REPORTED.data_centre, port)
        row = self.table.record_agent(self.host, reported, NOW)
        self.table.record_report(row, NOW)

    def state(self) -> tuple[int, int, int]:
        """Returns the service, the listing and the record's revision of the host's row."""
        row = self.table.row(self.host)
        table = self.table
        return table.service[row], table.listing[row], table.record_revision[row]

    def test_report_settles_which_record_counts(self) -> None:
        """Guards against the row of an upstream that another service's entry takes for good.

        The row was replaced by one of the other service, and by one without a record at the next
        report; upstreams without a record get no new flows.
        """
        self.table.apply_records([record("i-1", 3), record("a", 9, "report", 6379)], NOW)
        self.assertNotEqual(self.spend, self.state()[0])
        self.report()
        self.assertTrue(self.table.must_apply_records)
        self.table.apply_records([record("i-1", 3), record("a", 9, "report", 6379)], NOW)
        self.assertEqual((self.spend, Listing.LISTED, 3), self.state())

    def test_report_settles_which_port_counts(self) -> None:
        """Guards against a leaving upstream in use for an entry of its host with another port."""
        records = [record("i-1", 3, is_leaving=True), record("a", 9, port=6379)]
        self.table.apply_records(records, NOW)
        self.report()
        self.assertTrue(self.table.must_settle_disputes)
        self.table.settle_disputes(NOW)
        self.assertEqual((self.spend, Listing.LISTED, 3), self.state())
        self.assertTrue(self.table.leaving[self.table.row(self.host)])

    def test_removed_record_lapses_beside_an_entry_of_another_service(self) -> None:
        """Guards against an upstream that has left and stays listed for an entry of its host."""
        foreign = record("a", 9, service="object-cache")
        self.table.apply_records([record("i-1", 3), foreign], NOW)
        self.report()
        self.table.apply_records([foreign], NOW)
        self.assertEqual((self.spend, Listing.LAPSED, 3), self.state())
        self.assertFalse(
            self.table.accepts_new_flows(self.table.row(self.host), NOW + LAPSE_GRACE_MS)
        )

    def test_reused_host_is_listed_after_a_late_report(self) -> None:
        """Guards against an upstream that is not used, since its host ran another one before.

        The last report of the earlier upstream's agent comes after the new upstream's entry.
        """
        records = [record("i-2", 9, service="report")]
        self.table.apply_records(records, NOW)
        self.report()
        self.table.apply_records(records, NOW)
        self.report("report")
        self.assertTrue(self.table.must_apply_records)
        self.table.apply_records(records, NOW)
        self.assertEqual((name_id("service", "report"), Listing.LISTED, 9), self.state())

    def test_silent_agent_no_longer_decides(self) -> None:
        """Guards against a host whose new upstream is never listed, as its agent is not heard."""
        records = [record("i-2", 9, service="report")]
        self.report()
        self.table.apply_records(records, NOW)
        self.assertEqual(self.spend, self.state()[0])
        self.table.settle_disputes(NOW + 5_000)
        self.assertEqual((name_id("service", "report"), Listing.LISTED, 9), self.state())

    def test_cold_time_counts_from_the_entry(self) -> None:
        """Guards against an upstream that stays cold while entries of others change."""
        cold = Upstream("i-1", "spend", HOST, PORT, "bud-a", 1, False, 500, 3)
        self.table.apply_records([cold], NOW)
        self.table.apply_records([cold], NOW + 400)
        self.assertEqual(NOW + 500, self.table.cold_until[self.table.row(self.host)])


class ForeignEntriesTest(unittest.TestCase):
    """A deployment with entries of other writers on the VMs of its upstreams."""

    def setUp(self) -> None:
        self.world = PacketWorld()
        self.world.configure()
        for host in BALANCERS:
            self.world.add_balancer(host, seeds=BALANCERS)
        for host in AGENTS:
            self.world.add_agent(host)
            self.world.publish(host)
        self.world.run(1_000)

    def put_entries(self, service: str, port: int) -> None:
        """Writes an entry for each VM."""
        for host in AGENTS:
            foreign = Upstream(f"x-{host}", service, host, port, "bud-a", 4, False, 0, 0)

            def make_change(revision: int, foreign: Upstream = foreign) -> UpstreamChange:
                newest = msgspec.structs.replace(foreign, revision=revision)
                return UpstreamChange(foreign.id, revision, newest)

            self.world.store.append_change(Feed.UPSTREAMS, make_change)
        self.world.run(500)

    def test_host_of_an_unnamed_service_is_not_waited_for(self) -> None:
        """Guards against lost flows that are never reset, since a foreign host denies nothing."""
        foreign = Upstream("x", "object-cache", "10.1.9.9", 6379, "bud-a", 4, False, 0, 0)
        self.world.store.append_change(
            Feed.UPSTREAMS,
            lambda revision: UpstreamChange(
                "x", revision, msgspec.structs.replace(foreign, revision=revision)
            ),
        )
        self.world.run(500)
        state = self.world.balancers[BALANCERS[0]].state
        self.assertIn(host_number("10.1.9.9"), list(state.upstreams.keys()))
        self.assertEqual(
            {host_number(host) for host in AGENTS}, find_possible_owners(state, self.world.now)
        )

    def answered(self, first_port: int) -> int:
        """Returns how many of ten new flows are answered."""
        clients = [self.world.open_flow(first_port + number) for number in range(10)]
        for client in clients:
            client.request(b"one")
        self.world.run(2_000)
        return sum(len(client.answers) for client in clients)

    def test_upstreams_stay_in_use(self) -> None:
        """Guards against an outage that lasts as long as the entries (review/1).

        All processes then start again beside the entries.
        """
        for number, service in enumerate(("object-cache", "spend")):
            self.put_entries(service, 6379)
            self.assertEqual(10, self.answered(41_000 + 100 * number), service)
            for host in BALANCERS:
                self.world.add_balancer(host, seeds=BALANCERS)
            for host in AGENTS:
                self.world.add_agent(host, is_first_start=False)
            self.world.run(1_000)
            self.assertEqual(10, self.answered(42_000 + 100 * number), service)

    def test_leaving_upstream_stays_out_of_use(self) -> None:
        """Guards against new flows at a leaving upstream after an entry with its host.

        The balancers and the upstream's agent took the newest record of the host.
        """
        cases = (("object-cache", 6379), ("object-cache", PORT), ("spend", 6379), ("spend", PORT))
        for number, (service, port) in enumerate(cases):
            self.world.publish(AGENTS[0], is_leaving=True)
            self.put_entries(service, port)
            executed = self.world.upstreams[AGENTS[0]].executed_requests
            before = list(executed)
            self.assertEqual(10, self.answered(43_000 + 100 * number), service)
            self.assertEqual(before, executed, service)


if __name__ == "__main__":
    unittest.main()
