"""Tests of the catalog."""

import unittest

from shallotshore.catalog import Catalog, Route
from shallotshore.hashing import name_id
from shallotshore.messages import Entry
from shallotshore.records import Binding, Customer, DataCentre, Service, Upstream, key_of, to_text

DESK = name_id("service", "desk")
ONE = name_id("upstream", "desk-1")
VIP = ("127.0.0.1", 9000)


def records() -> list:
    """Returns one service with two upstreams, a data centre and a customer."""
    return [
        DataCentre("suva-a", "suva"),
        Service("desk", cold_limit=2, warmup_ms=500),
        Upstream("desk-1", "desk", "suva-a", ("127.0.0.1", 7001)),
        Upstream("desk-2", "desk", "suva-a", ("127.0.0.1", 7002), slots=3, cold_limit=1),
        Customer("acme", 4, (Binding("desk", VIP),)),
    ]


def entry(revision: int, record) -> Entry:
    """Returns the entry that publishes a record."""
    return Entry(key_of(record), revision, to_text(record))


class CatalogTest(unittest.TestCase):
    """Guards the answers on which routing, claims and admission rely."""

    def setUp(self) -> None:
        self.catalog = Catalog.from_records(5, records())

    def test_address_leads_to_its_service_and_customer_only(self) -> None:
        self.assertEqual(self.catalog.route(VIP), Route(DESK, name_id("customer", "acme")))
        self.assertIsNone(self.catalog.route(("127.0.0.1", 9001)))

    def test_upstream_takes_cold_start_settings_of_its_service(self) -> None:
        view = self.catalog.upstream(ONE)
        self.assertEqual((view.cold_limit, view.warmup, view.slots), (2, 500, 1))
        self.assertEqual(self.catalog.upstream(name_id("upstream", "desk-2")).cold_limit, 1)

    def test_membership_rises_only_when_the_set_of_upstreams_changes(self) -> None:
        leaving = Upstream("desk-1", "desk", "suva-a", ("127.0.0.1", 7001), state="leaving")
        applied = self.catalog.apply(6, [entry(6, leaving)])
        self.assertEqual(applied.changed_services, {DESK})
        self.assertEqual(self.catalog.membership(DESK), 5)
        self.assertFalse(self.catalog.takes_new_work(ONE))
        self.catalog.apply(7, [Entry("upstream/desk-1", 7, b"")])
        self.assertEqual(self.catalog.membership(DESK), 7)
        self.assertEqual(len(self.catalog.upstreams_of(DESK)), 1)

    def test_data_centre_out_stops_new_work(self) -> None:
        out = DataCentre("suva-a", "suva", "out")
        applied = self.catalog.apply(6, [entry(6, out)])
        self.assertEqual(applied.changed_data_centres, {name_id("data_centre", "suva-a")})
        self.assertFalse(self.catalog.takes_new_work(ONE))

    def test_revision_that_does_not_rise_is_refused(self) -> None:
        self.assertFalse(self.catalog.apply(5, []).accepted)
