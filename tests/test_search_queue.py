"""Batches and budget of searches."""

import unittest

from shallotshore.packets.search_queue import (
    BURST_MS,
    BYTES_PER_MS_AND_MBPS,
    FAR_FLUSH_INTERVAL_MS,
    FAR_MESSAGES_BURST,
    MAX_BATCH_BYTES,
    MAX_LINK_SHARE,
    SearchQueue,
    SearchTarget,
)

NEAR, FAR, SERVICE = 1, 2, 9
START = 100_000
FRAME = bytes(300)
SECONDS = 10


class SearchQueueTest(unittest.TestCase):
    """Packets of many flows for the agents of two data centres."""

    def test_packets_share_datagrams(self) -> None:
        """Guards against a message for each flow, and a batch that does not fit into a packet."""
        queue = SearchQueue(NEAR, 1_000)
        target = SearchTarget(SERVICE, NEAR)
        for key in range(10):
            queue.add(SearchTarget(SERVICE, NEAR), key, FRAME)
        queue.add(target, 0, FRAME)
        batches = [batch for _, batch in queue.take_due(START)]
        self.assertEqual([4, 4, 2], [len(batch) for batch in batches])
        self.assertLessEqual(max(sum(map(len, batch)) for batch in batches), MAX_BATCH_BYTES)
        self.assertEqual(0, len(queue))

    def test_a_narrow_link_is_not_filled(self) -> None:
        """Guards against searches that displace the clients' packets on a link of 5 Mbit/s."""
        link_mbps = 5.0
        queue = SearchQueue(NEAR, link_mbps)
        sent = 0
        for now in range(START, START + SECONDS * 1_000, FAR_FLUSH_INTERVAL_MS):
            for host in range(1, 60):
                for key in range(20):
                    queue.add(SearchTarget(SERVICE, NEAR, host), key, FRAME)
            sent += sum(len(b"".join(batch)) for _, batch in queue.take_due(now))
        limit = link_mbps * BYTES_PER_MS_AND_MBPS * MAX_LINK_SHARE
        self.assertLessEqual(sent, limit * (SECONDS * 1_000 + BURST_MS))
        self.assertGreaterEqual(sent, limit * SECONDS * 1_000 * 0.9)

    def test_every_target_has_its_turn(self) -> None:
        """Guards against agents that are never queried while the budget is spent on others."""
        queue = SearchQueue(NEAR, 5.0)
        served = set()
        for now in range(START, START + SECONDS * 1_000, FAR_FLUSH_INTERVAL_MS):
            for host in range(1, 200):
                queue.add(SearchTarget(SERVICE, FAR, host), now % 7, FRAME)
            served |= {target.host for target, _ in queue.take_due(now)}
        self.assertEqual(set(range(1, 200)), served)

    def test_far_targets_do_not_hold_near_ones_back(self) -> None:
        """Guards against a search of the own data centre that waits for the limit of the others."""
        queue = SearchQueue(NEAR, 1_000)
        for host in range(1, FAR_MESSAGES_BURST + 50):
            queue.add(SearchTarget(SERVICE, FAR, host), 1, FRAME)
        queue.add(SearchTarget(SERVICE, NEAR, 999), 1, FRAME)
        sent = [target.host for target, _ in queue.take_due(START)]
        self.assertEqual(FAR_MESSAGES_BURST + 1, len(sent))
        self.assertIn(999, sent)


if __name__ == "__main__":
    unittest.main()
