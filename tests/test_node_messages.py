"""Messages between processes of two versions during a rolling upgrade."""

import unittest

import msgspec

from shallotshore.codes import Code
from shallotshore.packets.node_messages import (
    Carry,
    CarryKind,
    FeedChanges,
    FeedRequest,
    FeedStatus,
    Hello,
    LoadReport,
    Passed,
    Report,
    Subscribe,
    UpstreamHealth,
    decode,
    encode,
)
from shallotshore.packets.view import Feed, Route

# Fields as version 0.1.0 of the packet front end first sent them.
FIRST_SUBSCRIBE = [4, 11, 12, 13, 14]
FIRST_REPORT = [5, 1, 2, 3, 80, 1, 0, 2, 5, 13, 14, b"opened01", b""]
FIRST_LOAD_REPORT = [8, 2, 5, b"opened01", b""]
# Fields as the release before declared targets and limits sent them.
EARLIER_CARRY = [1, 1, 11, 12, [7, 8], 0.5, 2, 1, 9, b"packet"]
EARLIER_PASSED = [7, 11, 12]
EARLIER_ROUTE = ["r", "198.18.0.1", 443, [["s", 1]], 2]


class RollingUpgradeTest(unittest.TestCase):
    """Guards against processes of two versions that reject each other's messages."""

    def test_messages_of_the_first_version_are_read(self) -> None:
        """Guards against a new field without a default, which an older sender leaves out."""
        subscribe = decode(msgspec.msgpack.encode(FIRST_SUBSCRIBE)).unwrap()
        self.assertEqual(Subscribe(11, 12, 13, 14, 0), subscribe)
        report = decode(msgspec.msgpack.encode(FIRST_REPORT)).unwrap()
        expected = Report(
            1, 2, 3, 80, UpstreamHealth.ANSWERS, 0, 2, 5, 13, 14, b"opened01", b"", False
        )
        self.assertEqual(expected, report)
        self.assertEqual((0.0, 0.0), (report.service_ms, report.concurrency))
        load = decode(msgspec.msgpack.encode(FIRST_LOAD_REPORT)).unwrap()
        self.assertEqual(LoadReport(2, 5, b"opened01", b"", 0.0, 0.0), load)

    def test_new_fields_come_last(self) -> None:
        """Guards against a moved field, which the first version would read as another one."""
        subscribe = msgspec.msgpack.decode(encode(Subscribe(11, 12, 13, 14, 15)))
        self.assertEqual(FIRST_SUBSCRIBE, subscribe[: len(FIRST_SUBSCRIBE)])
        report = Report(
            1, 2, 3, 80, UpstreamHealth.ANSWERS, 0, 2, 5, 13, 14, b"opened01", b"", True
        )
        fields = msgspec.msgpack.decode(encode(report))
        self.assertEqual(FIRST_REPORT, fields[: len(FIRST_REPORT)])
        fields = msgspec.msgpack.decode(encode(LoadReport(2, 5, b"opened01", b"", 30.0, 1.5)))
        self.assertEqual(FIRST_LOAD_REPORT, fields[: len(FIRST_LOAD_REPORT)])

    def test_fields_of_this_version_follow_those_of_the_last(self) -> None:
        """Guards against an era or a learned value that another version reads as another field.

        The other version may be the last one, whose messages end before the eras.
        """
        report = Report(
            1, 2, 3, 80, UpstreamHealth.ANSWERS, 0, 2, 5, 13, 14, b"", b"", True, 21, 22, 41.5, 1.5
        )
        for message, new_fields in (
            (Subscribe(11, 12, 13, 14, 15, False, 21, 22), [21, 22]),
            (report, [21, 22, 41.5, 1.5]),
            (LoadReport(3, 7, b"", b"", 41.5, 1.5), [41.5, 1.5]),
            (Hello(11, True, False, 13, 14, (), (), 21, 22), [21, 22]),
            (FeedStatus(13, 14, None, 5, 21, 22), [21, 22]),
            (FeedRequest(Feed.OPERATOR, 13, 21), [21]),
            (FeedChanges(Feed.OPERATOR, 13, (), 21), [21]),
        ):
            count = len(new_fields)
            fields = msgspec.msgpack.decode(encode(message))
            self.assertEqual(new_fields, fields[-count:])
            self.assertEqual(message, decode(encode(message)).unwrap())
            last = decode(msgspec.msgpack.encode(fields[:-count])).unwrap()
            self.assertEqual([0] * count, msgspec.msgpack.decode(encode(last))[-count:])
            self.assertEqual(fields[:-count], msgspec.msgpack.decode(encode(last))[:-count])

    def test_an_offer_without_terms_declares_none(self) -> None:
        """Guards against offers of the last release that are held or refused by unknown terms."""
        carry = decode(msgspec.msgpack.encode(EARLIER_CARRY)).unwrap()
        self.assertEqual(
            Carry(CarryKind.OPEN, 11, 12, (7, 8), 0.5, 2, 1, 9, b"packet", 0, 0, 0), carry
        )
        self.assertFalse(carry.terms.is_declared)
        sent = Carry(CarryKind.OPEN, 11, 12, (7, 8), 0.5, 2, 1, 9, b"packet", 350, 3_000, 200)
        fields = msgspec.msgpack.decode(encode(sent))
        self.assertEqual(EARLIER_CARRY, fields[: len(EARLIER_CARRY)])
        route = msgspec.convert(EARLIER_ROUTE, Route)
        self.assertEqual((0, 0), (route.target_ms, route.limit_ms))

    def test_a_passed_packet_of_the_last_release_may_have_been_offered(self) -> None:
        """Guards against resets of flows that an agent of the last release has offered."""
        self.assertEqual(
            Passed(11, 12, False), decode(msgspec.msgpack.encode(EARLIER_PASSED)).unwrap()
        )
        fields = msgspec.msgpack.decode(encode(Passed(11, 12, True)))
        self.assertEqual(EARLIER_PASSED, fields[: len(EARLIER_PASSED)])

    def test_deep_nesting_is_malformed(self) -> None:
        """Guards against an exception that the reader of the socket does not expect.

        A field that this version does not know may hold anything.
        """
        frame = (
            msgspec.msgpack.encode([*FIRST_SUBSCRIBE, 15, False, 0, 0, 0])[:-1] + b"\x91" * 5_000
        )
        self.assertEqual(Code.MESSAGE_MALFORMED, decode(frame).unwrap_err())


if __name__ == "__main__":
    unittest.main()
