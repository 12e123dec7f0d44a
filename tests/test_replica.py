"""Tests of replicas with random histories: copies reach one state, whenever they joined."""

import random
import unittest

from shallotshore.catalog import Catalog
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

SERVICES = ("desk", "vault", "late")
VIPS = [("192.0.2.1", port) for port in range(80, 84)]


def random_entry(rng: random.Random, revision: int) -> Entry:
    """Returns a published entry: usually valid, sometimes a deletion, malformed or in conflict."""
    service, centre = rng.choice(SERVICES), f"dc-{rng.randrange(3)}"
    number = rng.randrange(6)
    record = rng.choice(
        [
            Service(service, rng.randint(1, 3)),
            DataCentre(centre, "suva", rng.choice(["in", "out"])),
            Upstream(f"u-{number}", service, centre, ("10.0.0.1", 7000 + number)),
            Upstream(f"u-{number}", "desk", "dc-0", ("10.0.0.1", 7000), "leaving"),
            Customer(f"c-{number}", 1, (Binding(service, rng.choice(VIPS)),)),
            Customer(f"c-{number}", 2, tuple(Binding("desk", vip) for vip in VIPS[:2])),
        ]
    )
    chance = rng.random()
    text = b"" if chance < 0.15 else b"{" if chance < 0.3 else encode_record(record)
    return Entry(key_of_record(record), revision, text)


def observable_state(catalog: Catalog) -> dict[str, object]:
    """Returns everything that a catalog can be asked for."""
    services = [name_id("service", name) for name in SERVICES]
    upstreams = [name_id("upstream", f"u-{number}") for number in range(6)]
    return {
        "revision": catalog.revision,
        "digest": catalog.digest(0),
        "routes": [catalog.route(vip) for vip in VIPS],
        "members": [list(catalog.upstreams_of(service)) for service in services],
        "memberships": [catalog.membership(service) for service in services],
        "upstreams": [catalog.upstream(upstream) for upstream in upstreams],
        "work": [catalog.takes_new_work(upstream) for upstream in upstreams],
    }


def send_delta(source: Catalog, target: Catalog, scope: int, after: int) -> None:
    """Brings a copy up to date with a delta from another copy."""
    base, entries = source.select_entries(after, scope)
    is_snapshot = base == 0 and (source.revision > target.revision or scope != 0)
    update = target.start_update(source.revision, relayed=True, is_snapshot=is_snapshot)
    update.feed(entries)
    update.mark_complete()
    while update.result is None:
        update.step(3)


class HistoryTest(unittest.TestCase):
    """Guards against copies that differ in a route, a set of upstreams or its revision.

    They could differ after refused records, deletions, missed revisions and late joining.
    """

    def test_copies_agree_after_random_histories(self) -> None:
        for seed in range(60):
            rng = random.Random(seed)
            reader, slow, agent = Catalog(), Catalog(), Catalog()
            desk = name_id("service", "desk")
            for revision in range(1, 40):
                entries = [random_entry(rng, revision) for _ in range(rng.randint(1, 5))]
                reader.apply_revision(revision, {entry.key: entry for entry in entries}.values())
                if rng.random() < 0.3:
                    send_delta(reader, slow, 0, slow.revision)
                if rng.random() < 0.3:
                    send_delta(reader, agent, desk, agent.revision)
            newcomer = Catalog()
            send_delta(reader, newcomer, 0, 0)
            send_delta(reader, slow, 0, slow.revision)
            send_delta(reader, agent, desk, 0)
            expected = observable_state(reader)
            for name, copy in (("slow", slow), ("newcomer", newcomer)):
                with self.subTest(seed=seed, copy=name):
                    self.assertEqual(observable_state(copy), expected)
            with self.subTest(seed=seed, copy="agent"):
                self.assertEqual(agent.digest(desk), reader.digest(desk))
                self.assertEqual(agent.membership(desk), reader.membership(desk))
                self.assertEqual(agent.upstreams_of(desk), reader.upstreams_of(desk))

    def test_readers_that_saw_different_revisions_agree_after_a_repair(self) -> None:
        for seed in range(60):
            rng = random.Random(seed)
            one, other = Catalog(), Catalog()
            unseen: dict[str, Entry] = {}
            for revision in range(1, 30):
                entries = [random_entry(rng, revision) for _ in range(rng.randint(1, 5))]
                published = {entry.key: entry for entry in entries}
                unseen |= published
                one.apply_revision(revision, published.values())
                if rng.random() < 0.2:
                    other.apply_revision(revision, unseen.values())
                    unseen = {}
            other.apply_revision(30, unseen.values())
            one.apply_revision(30, [])
            for _ in range(2):
                if one.digest(0) != other.digest(0):
                    send_delta(one, other, 0, 0)
                    send_delta(other, one, 0, 0)
            with self.subTest(seed=seed):
                self.assertEqual(observable_state(one), observable_state(other))
