"""Messages between processes of two versions during a rolling upgrade."""

import unittest

import msgspec

from shallotshore.codes import Code
from shallotshore.packets.node_messages import (
    FeedChanges,
    FeedRequest,
    FeedStatus,
    Hello,
    LoadReport,
    Report,
    Subscribe,
    UpstreamHealth,
    decode,
    encode,
)
from shallotshore.packets.view import Feed

# Fields as version 0.1.0 of the packet front end first sent them.
FIRST_SUBSCRIBE = [4, 11, 12, 13, 14]
FIRST_REPORT = [5, 1, 2, 3, 80, 1, 0, 2, 5, 13, 14, b"opened01", b""]
FIRST_LOAD_REPORT = [8, 2, 5, b"opened01", b""]


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
