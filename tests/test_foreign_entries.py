"""Entries of other writers in the store: they name no upstream, and the others stay in use."""

import base64
import json
import random
import unittest
from collections.abc import Mapping

import msgspec
from adapter.entries import decode_item
from adapter.packets import decode_packet

from shallotshore.hashing import name_id
from shallotshore.packets.balancer import PacketBalancer
from shallotshore.packets.balancer_state import BalancerSettings
from shallotshore.packets.feed_content import Change, UnreadableEntry, UpstreamChange
from shallotshore.packets.feeds import STORE_ADDRESS
from shallotshore.packets.hosts import host_number
from shallotshore.packets.store_messages import StoreSnapshot
from shallotshore.packets.upstream_table import Listing
from shallotshore.packets.view import Feed, Upstream, check_limits
from shallotshore.tables import MISSING

START = 100_000
PORT = 7720
SERVICE = "spend"
HOSTS = ("10.1.1.1", "10.1.1.2", "10.1.1.3")
FOREIGN_HOST = "10.1.9.9"
# The fields of an entry that an upstream writes.
ENTRY: dict[str, object] = {
    "service": SERVICE,
    "address": f"{HOSTS[0]}:8080",
    "zone": "bud-a",
    "version": "v1",
    "slots": 3,
    "state": "ready",
    "coldRemainingMs": 0,
    "seq": 1,
}
FOREIGN = {**ENTRY, "service": "object-cache", "address": f"{FOREIGN_HOST}:6379"}
CONFIGURATION = {
    "version": 7,
    "routes": [{"host": "198.18.0.1", "prefix": "/443/", "service": SERVICE}],
    "services": [{"name": SERVICE}],
}


def change(key: str, value: object, revision: int = 7) -> Change:
    """Returns the change that the adapter decodes from an entry; bytes are stored as they are."""
    raw = value if isinstance(value, bytes) else json.dumps(value).encode()
    item = {"key": key, "value": base64.b64encode(raw).decode(), "rev": revision}
    decoded = decode_item(item)
    assert decoded is not None
    return decoded


def own_entries() -> dict[str, object]:
    """Returns the entries of the upstreams."""
    return {f"servers/i-{h}": {**ENTRY, "address": f"{h}:8080"} for h in HOSTS}


class Balancer:
    """A balancer that has read a configuration and the entries of the store."""

    def __init__(self, entries: Mapping[str, object]) -> None:
        settings = BalancerSettings(host_number("10.9.0.1"), "bud-a", PORT)
        self.core = PacketBalancer(settings, random.Random(1), decode_packet)
        self.now = START
        self.core.tick(self.now)
        self.read(Feed.OPERATOR, {"op/config": CONFIGURATION}, 5)
        self.read(Feed.UPSTREAMS, entries, 9)

    def read(self, feed: Feed, entries: Mapping[str, object], revision: int) -> None:
        """Delivers a read of the store, in the order of the keys."""
        changes = [change(key, entries[key], revision) for key in sorted(entries)]
        self.deliver(StoreSnapshot(feed, revision, changes))

    def deliver(self, message: object, source: tuple[str, int] = STORE_ADDRESS) -> None:
        """Delivers a message and runs a tick."""
        self.now += 20
        self.core.receive(source, message)
        self.core.tick(self.now)

    def listed_hosts(self) -> list[str]:
        """Returns the hosts that have a row with the service and an entry."""
        upstreams = self.core.state.upstreams
        service = name_id("service", SERVICE)
        return [
            host
            for host in HOSTS
            if (row := upstreams.row(host_number(host))) != MISSING
            and upstreams.service[row] == service
            and upstreams.listing[row] == Listing.LISTED
        ]


class LimitTest(unittest.TestCase):
    """Numbers beyond the limits of messages and tables."""

    def test_too_large_number_does_not_hide_the_entries_after_it(self) -> None:
        """Guards against new balancers that reset open flows of upstreams that they never listed.

        The table of upstreams raised OverflowError at 100,000 slots, and the records after this one
        were left out (review/2).
        """
        for field, value in (("slots", 100_000), ("coldRemainingMs", 1e19), ("slots", 1 << 80)):
            entries = {**own_entries(), "servers/a-cache": {**FOREIGN, field: value}}
            self.assertEqual(list(HOSTS), Balancer(entries).listed_hosts(), f"{field} {value}")

    def test_negative_number_is_refused_where_it_enters(self) -> None:
        """Guards against a record of a reader that no other process accepts (review/4)."""
        for field in ("slots", "coldRemainingMs"):
            decoded = change("servers/queue-41", {**FOREIGN, field: -1})
            self.assertIsInstance(decoded, UnreadableEntry, field)

    def test_only_one_notation_of_an_address_is_accepted(self) -> None:
        """Guards against a text that passes the check of a record and cannot be converted later."""
        record = Upstream("i-1", SERVICE, HOSTS[0], 8080, "bud-a", 1, False, 0, 7)
        self.assertEqual(record, check_limits(record))
        for host in ("08.1.1.1", "10.1.1.1\n", "10.1.1.\u0661", "010.1.1.1", "10.1.1", "256.1.1.1"):
            with self.assertRaises(msgspec.ValidationError, msg=repr(host)):
                check_limits(msgspec.structs.replace(record, host=host))


class UnreadableTest(unittest.TestCase):
    """Bytes that the decoder cannot read."""

    def test_deep_nesting_does_not_end_the_call(self) -> None:
        """Guards against balancers that never again hear of a change of any upstream.

        The decoder raised RecursionError, which ended the task of the call to the store without an
        answer (review/3).
        """
        for text in (b'{"members":' + b"[" * 1_500, b'{"a":' * 5_000, b"[" * 100_000):
            self.assertIsInstance(change("servers/backup-41", text), UnreadableEntry)


class IncompleteTest(unittest.TestCase):
    """Entries that lack what every upstream writes, or have it in another form."""

    def test_entry_of_an_upstream_is_a_record(self) -> None:
        """Guards against an upstream without new flows because its entry is taken for foreign."""
        for entry in (
            ENTRY,
            {**ENTRY, "born": 1_780_000_000_000},
            {**ENTRY, "coldRemainingMs": 1_250.5, "seq": 0},
            {**ENTRY, "weight": {"a": [1, None]}},
        ):
            decoded = change("servers/i-1", entry)
            assert isinstance(decoded, UpstreamChange) and decoded.upstream is not None
            self.assertEqual((HOSTS[0], 8080), (decoded.upstream.host, decoded.upstream.port))

    def test_missing_field_is_refused(self) -> None:
        """Guards against a leaving upstream that gets new flows again (review/5).

        An entry with its address and some of the fields missing was taken for its newest record.
        """
        for field in ENTRY:
            entry = {name: value for name, value in ENTRY.items() if name != field}
            self.assertIsInstance(change("servers/copy-41", entry), UnreadableEntry, field)

    def test_field_of_another_type_or_form_is_refused(self) -> None:
        """Guards against a record made from an entry that no upstream has written."""
        for field, values in {
            "service": (None, 5, "", "x" * 10_000, ["spend"]),
            "address": (
                *(None, 8080, "", "10.1.1.1", "10.1.1.1:", ":8080", "10.1.1.1:0", "[::1]:8080"),
                *("10.1.1.1:65536", "10.1.1.1:+80", "10.1.1.1: 80", "10.1.1.1:8_0", "10.1.1:80"),
                *("10.1.1.1:80 ", "host:80", "10.1.1.1:\u0661", "0.0.0.0:80", "255.255.255.255:80"),
                *("224.0.0.1:80", "10.1.1.1:80:80", "10.1.1.1:080", "10.1.1.1:80\n"),
            ),
            "zone": (None, 5, "", "x" * 10_000, {}),
            "version": (None, 1, ["v1"]),
            "slots": (None, "3", 0, -1, 1.5, 65_536, True, []),
            "state": (None, 0, "", "READY", "asleep", "ready ", True),
            "coldRemainingMs": (None, "0", -1, 1 << 31, 1e300, True),
            "seq": (None, "1", -1, 1 << 63, 1.5, True),
            "born": (None, "now", 1.5, -1, []),
        }.items():
            for value in values:
                decoded = change("servers/copy-41", {**ENTRY, field: value})
                self.assertIsInstance(decoded, UnreadableEntry, f"{field} {value!r}")

    def test_bytes_that_are_no_text_are_refused(self) -> None:
        """Guards against a record from an entry in which a field that is not used is no text."""
        text = json.dumps({**ENTRY, "note": "?"}).encode()
        for bad in (b"\xff", b"\xed\xa0\x80", b"\xc0\xaf"):
            decoded = change("servers/copy-41", text.replace(b"?", bad))
            self.assertIsInstance(decoded, UnreadableEntry, bad)

    def test_reason_is_short(self) -> None:
        """Guards against log lines of a megabyte that quote a value of the entry."""
        for field in ("state", "address"):
            decoded = change("servers/copy-41", {**ENTRY, field: "x" * 700_000})
            assert isinstance(decoded, UnreadableEntry)
            self.assertLessEqual(len(decoded.reason), 200)

    def test_entry_without_an_id_is_refused(self) -> None:
        """Guards against a record that no process can name."""
        self.assertIsInstance(change("servers/", ENTRY), UnreadableEntry)


if __name__ == "__main__":
    unittest.main()
