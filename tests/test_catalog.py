"""Tests of the catalog."""

import json
import random
import unittest
from unittest import mock

from shallotshore import store
from shallotshore.catalog import Catalog, Route, UpdateResult
from shallotshore.codes import Code
from shallotshore.hashing import name_id
from shallotshore.messages import Entry
from shallotshore.records import (
    Binding,
    Customer,
    DataCentre,
    Service,
    Upstream,
    encode_record,
    key_of_record,
)
from shallotshore.tables import MISSING

DESK = name_id("service", "desk")
UPSTREAM_1 = name_id("upstream", "desk-1")
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
    return Entry(key_of_record(record), revision, encode_record(record))


class CatalogTest(unittest.TestCase):
    """Guards against wrong answers of the catalog, on which routing, claims and admission rely."""

    def setUp(self) -> None:
        self.catalog = Catalog.from_records(5, records())

    def test_address_leads_to_its_service_and_customer_only(self) -> None:
        self.assertEqual(self.catalog.route(VIP), Route(DESK, name_id("customer", "acme")))
        self.assertIsNone(self.catalog.route(("127.0.0.1", 9001)))

    def test_upstream_takes_cold_start_settings_of_its_service(self) -> None:
        view = self.catalog.upstream(UPSTREAM_1)
        self.assertEqual((view.cold_limit, view.warmup, view.slots), (2, 500, 1))
        self.assertEqual(self.catalog.upstream(name_id("upstream", "desk-2")).cold_limit, 1)

    def test_membership_rises_only_when_the_set_of_upstreams_changes(self) -> None:
        leaving = Upstream("desk-1", "desk", "suva-a", ("127.0.0.1", 7001), state="leaving")
        applied = self.catalog.apply_revision(6, [entry(6, leaving)])
        self.assertEqual(applied.changed_services, {DESK})
        self.assertEqual(self.catalog.membership(DESK), 5)
        self.assertFalse(self.catalog.takes_new_work(UPSTREAM_1))
        self.catalog.apply_revision(7, [Entry("upstream/desk-1", 7, b"")])
        self.assertEqual(self.catalog.membership(DESK), 7)
        self.assertEqual(len(self.catalog.upstreams_of(DESK)), 1)

    def test_data_centre_out_stops_new_work(self) -> None:
        out = DataCentre("suva-a", "suva", "out")
        applied = self.catalog.apply_revision(6, [entry(6, out)])
        self.assertEqual(applied.changed_data_centres, {name_id("data_centre", "suva-a")})
        self.assertFalse(self.catalog.takes_new_work(UPSTREAM_1))

    def test_change_of_a_data_centre_raises_the_membership_of_its_services(self) -> None:
        self.catalog.apply_revision(6, [entry(6, DataCentre("suva-a", "suva", "out"))])
        self.assertEqual(self.catalog.membership(DESK), 6)
        self.catalog.apply_revision(7, [entry(7, DataCentre("other", "suva", "out"))])
        self.assertEqual(self.catalog.membership(DESK), 6)

    def test_upstream_that_moves_changes_both_services(self) -> None:
        moved = Upstream("desk-1", "vault", "suva-a", ("127.0.0.1", 7001))
        applied = self.catalog.apply_revision(6, [entry(6, moved)])
        vault = name_id("service", "vault")
        self.assertEqual(applied.changed_services, {DESK, vault})
        self.assertEqual([self.catalog.membership(DESK), self.catalog.membership(vault)], [6, 6])
        self.assertEqual(list(self.catalog.upstreams_of(vault)), [UPSTREAM_1])
        self.assertNotIn(UPSTREAM_1, self.catalog.upstreams_of(DESK))

    def test_sets_of_upstreams_and_revision_change_together(self) -> None:
        update = self.catalog.start_update(6, relayed=False)
        names = [f"desk-{number}" for number in range(10, 40)]
        added = [Upstream(name, "desk", "suva-a", ("127.0.0.1", 7100)) for name in names]
        update.feed([entry(6, record) for record in added])
        update.mark_complete()
        while update.result is None:
            seen = (len(self.catalog.upstreams_of(DESK)), self.catalog.membership(DESK))
            self.assertEqual((*seen, self.catalog.revision), (2, 5, 5))
            update.step(7)
        self.assertEqual(len(self.catalog.upstreams_of(DESK)), 32)
        self.assertEqual((self.catalog.membership(DESK), self.catalog.revision), (6, 6))

    def test_random_changes_lead_to_the_same_catalog_as_a_fresh_start(self) -> None:
        rng = random.Random(3)
        live: dict[str, Upstream] = {}
        for revision in range(6, 200):
            name = f"desk-{rng.randrange(20)}"
            key = f"upstream/{name}"
            if rng.random() < 0.3:
                live.pop(key, None)
                self.catalog.apply_revision(revision, [Entry(key, revision, b"")])
                continue
            service, slots = rng.choice(["desk", "vault"]), rng.randint(1, 9)
            state = rng.choice(["active", "leaving"])
            address = (rng.choice(["10.0.0.1", "fd00::1"]), 7000)
            customers = tuple(rng.sample(["acme", "b"], rng.randrange(3)))
            live[key] = Upstream(
                name, service, "suva-a", address, state, slots, customers=customers
            )
            self.catalog.apply_revision(revision, [entry(revision, live[key])])
        base = [record for record in records() if not isinstance(record, Upstream)]
        fresh = Catalog.from_records(1, [*base, *live.values()])
        for service in (DESK, name_id("service", "vault")):
            members = fresh.upstreams_of(service)
            self.assertEqual(list(self.catalog.upstreams_of(service)), list(members))
            for upstream in members:
                self.assertEqual(self.catalog.upstream(upstream), fresh.upstream(upstream))


class RefusalTest(unittest.TestCase):
    """Guards the records in force against mistakes in what operators publish.

    Examples are malformed texts, revisions that do not rise, duplicate addresses and colliding ids.
    """

    def setUp(self) -> None:
        self.catalog = Catalog.from_records(5, records())

    def apply_revision(self, revision: int, **texts: bytes) -> UpdateResult:
        entries = [Entry(f"upstream/{name}", revision, text) for name, text in texts.items()]
        return self.catalog.apply_revision(revision, entries)

    def test_revision_that_does_not_rise_is_refused(self) -> None:
        for revision in (4, 5):
            applied = self.catalog.apply_revision(
                revision, [entry(9, DataCentre("suva-a", "suva", "out"))]
            )
            self.assertFalse(applied.accepted)
            self.assertEqual(applied.problems[0].code, Code.REVISION_NOT_RISING)
        self.assertTrue(self.catalog.takes_new_work(UPSTREAM_1))

    def test_last_good_record_stays_while_the_rest_is_applied(self) -> None:
        later = json.dumps({"kind": "upstream", "schema": 99, "name": "desk-1"}).encode()
        good = Upstream("desk-3", "desk", "suva-a", ("127.0.0.1", 7003))
        applied = self.catalog.apply_revision(
            6, [Entry("upstream/desk-1", 6, later), entry(6, good), entry(6, Service("late"))]
        )
        self.assertTrue(applied.accepted)
        self.assertEqual([p.code for p in applied.problems], [Code.RECORD_VERSION_UNKNOWN])
        self.assertTrue(self.catalog.takes_new_work(UPSTREAM_1))
        self.assertEqual(len(self.catalog.upstreams_of(DESK)), 3)
        self.assertEqual(self.catalog.revision, 6)

    def test_mostly_refused_revision_is_refused_as_a_whole_from_ten_records_on(self) -> None:
        bad = {f"new-{number}": b"{" for number in range(10)}
        applied = self.apply_revision(6, **bad)
        self.assertFalse(applied.accepted)
        self.assertEqual(applied.problems[0].code, Code.REVISION_MOSTLY_REFUSED)
        self.assertEqual(self.catalog.revision, 5)
        del bad["new-0"]
        self.assertTrue(self.apply_revision(6, **bad).accepted)

    def test_address_of_another_customer_is_refused_until_it_is_free(self) -> None:
        thief = Customer("thief", 1, (Binding("desk", VIP),))
        applied = self.catalog.apply_revision(6, [entry(6, thief)])
        self.assertEqual([p.code for p in applied.problems], [Code.RECORD_DUPLICATE])
        self.assertEqual(self.catalog.route(VIP).customer, name_id("customer", "acme"))
        both = [entry(7, thief), entry(7, Customer("acme", 4))]
        self.assertEqual(self.catalog.apply_revision(7, both).problems, ())
        self.assertEqual(self.catalog.route(VIP).customer, name_id("customer", "thief"))

    def test_refused_customer_comes_into_force_everywhere_when_its_address_is_free(self) -> None:
        thief = Customer("thief", 1, (Binding("desk", VIP),))
        self.catalog.apply_revision(6, [entry(6, thief)])
        self.catalog.apply_revision(7, [Entry("customer/acme", 7, b"")])
        self.assertEqual(self.catalog.route(VIP).customer, name_id("customer", "thief"))
        self.assertEqual(self.catalog.store.refused, {})

    def test_second_name_with_the_same_id_is_refused(self) -> None:
        forged = name_id("upstream", "desk-1")
        record = Upstream("twin", "vault", "suva-a", ("127.0.0.1", 7009))
        real = store.name_id
        with mock.patch.object(
            store, "name_id", lambda kind, name: forged if name == "twin" else real(kind, name)
        ):
            applied = self.catalog.apply_revision(6, [entry(6, record)])
        self.assertEqual([p.code for p in applied.problems], [Code.RECORD_ID_COLLISION])
        self.assertEqual(self.catalog.name(UPSTREAM_1), "desk-1")
        self.assertEqual(self.catalog.upstream(UPSTREAM_1).service, DESK)

    def test_full_tables_refuse_new_rows_and_keep_the_present_ones(self) -> None:
        with mock.patch.multiple("shallotshore.catalog", MAX_SERVICES=1, MAX_CUSTOMERS=1):
            catalog = Catalog(limit=8)
        catalog.apply_revision(5, [entry(5, record) for record in records()])
        more = [
            Service("vault"),
            Customer("b", 1, (Binding("desk", ("127.0.0.1", 9009)),)),
            *(Upstream(f"d-{n}", "desk", "suva-a", ("127.0.0.1", 8000 + n)) for n in range(5)),
            Upstream("desk-1", "desk", "suva-a", ("127.0.0.1", 7001), slots=9),
        ]
        applied = catalog.apply_revision(6, [entry(6, record) for record in more])
        self.assertEqual({problem.code for problem in applied.problems}, {Code.TABLE_FULL})
        self.assertEqual(catalog.upstream(UPSTREAM_1).slots, 9)
        self.assertEqual(catalog.route(VIP).service, DESK)

    def test_missing_references_take_no_work_and_heal_when_published(self) -> None:
        early = Upstream("vault-1", "vault", "nadi", ("127.0.0.1", 7005))
        self.catalog.apply_revision(6, [entry(6, early)])
        self.assertFalse(self.catalog.takes_new_work(name_id("upstream", "vault-1")))
        self.catalog.apply_revision(
            7, [entry(7, DataCentre("nadi", "fiji")), entry(7, Service("vault", 7))]
        )
        self.assertTrue(self.catalog.takes_new_work(name_id("upstream", "vault-1")))
        self.assertEqual(self.catalog.upstream(name_id("upstream", "vault-1")).cold_limit, 7)


class RelayTest(unittest.TestCase):
    """Guards against catalogs that differ from that of the balancer which read the records.

    The balancer that reads records from the platform, `reader` in the tests, relays them to others.
    """

    def relay(self, source: Catalog, target: Catalog, scope: int = 0) -> UpdateResult | None:
        base, entries = source.select_entries(target.revision, scope)
        update = target.start_update(source.revision, relayed=True, is_snapshot=base == 0)
        update.feed(entries)
        update.mark_complete()
        while update.result is None:
            update.step(3)
        return update.result

    def test_newcomer_learns_refused_texts_and_memberships(self) -> None:
        reader, newcomer = Catalog.from_records(5, records()), Catalog()
        reader.apply_revision(6, [entry(6, Upstream("desk-1", "desk", "suva-a", ("127.0.0.1", 1)))])
        reader.apply_revision(
            7, [Entry("upstream/desk-2", 7, b"{"), Entry("data_centre/suva-a", 7, b"[")]
        )
        self.relay(reader, newcomer)
        self.assertEqual(newcomer.digest(0), reader.digest(0))
        self.assertEqual(newcomer.membership(DESK), reader.membership(DESK))
        self.assertEqual(newcomer.membership(DESK), 5)
        self.assertEqual(len(newcomer.upstreams_of(DESK)), 2)
        self.assertEqual(len(newcomer.store.refused), 2)

    def test_agent_holds_its_slice_only_and_follows_deletions(self) -> None:
        reader, agent = Catalog.from_records(5, records()), Catalog()
        others = [Service("vault"), Customer("b", 1, (Binding("vault", ("127.0.0.1", 9009)),))]
        reader.apply_revision(6, [entry(6, record) for record in others])
        self.relay(reader, agent, DESK)
        self.assertEqual(agent.digest(DESK), reader.digest(DESK))
        self.assertEqual(agent.store.row(name_id("customer", "b")), MISSING)
        self.assertEqual(agent.route(VIP), reader.route(VIP))
        reader.apply_revision(7, [Entry("upstream/desk-1", 7, b"")])
        self.relay(reader, agent, DESK)
        self.assertEqual(list(agent.upstreams_of(DESK)), list(reader.upstreams_of(DESK)))
        self.assertEqual(agent.membership(DESK), 7)
        reader.apply_revision(8, [entry(8, Customer("acme", 4))])
        self.relay(reader, agent, DESK)
        self.assertNotEqual(
            agent.digest(DESK),
            reader.digest(DESK),
            "a record that has left the slice is removed by a repair only",
        )
        update = agent.start_update(8, relayed=True, is_snapshot=True)
        update.feed(reader.select_entries(0, DESK)[1])
        update.mark_complete()
        while update.result is None:
            update.step(100)
        self.assertEqual(agent.digest(DESK), reader.digest(DESK))
        self.assertIsNone(agent.route(VIP))
