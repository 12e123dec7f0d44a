"""Counters of the messages between processes."""

import unittest

from shallotshore.packets.node_messages import OwnedFlow
from shallotshore.packets.traffic import count_received, count_sent
from shallotshore.systems import Counters


class TrafficTest(unittest.TestCase):
    """Counts by direction and kind."""

    def test_messages_and_bytes_are_counted_by_kind(self) -> None:
        """Guards against control traffic whose kind cannot be told from the metrics."""
        counters = Counters()
        for size in (10, 12):
            count_received(counters, OwnedFlow(1), size)
        count_sent(counters, OwnedFlow(1), 7)
        self.assertEqual(2, counters["messages.received.ownedflow"])
        self.assertEqual(22, counters["bytes.received.ownedflow"])
        self.assertEqual(1, counters["messages.sent.ownedflow"])
        self.assertEqual(7, counters["bytes.sent.ownedflow"])


if __name__ == "__main__":
    unittest.main()
