"""Feeds of a process: reads and watches of the store, its faults, and copies from peers."""

import random
import unittest

from shallotshore.codes import Code
from shallotshore.packets.feed_content import (
    ConfigurationChange,
    DataCentreChange,
    UnreadableEntry,
    UpstreamChange,
)
from shallotshore.packets.feed_copies import CONFIRMATION_VALID_MS, MAX_WATCH_LAG_MS, WATCH_WAIT_MS
from shallotshore.packets.feed_entries import RefusedEntry
from shallotshore.packets.feeds import MAX_RETRY_PAUSE_MS, STORE_ADDRESS, FeedSystem
from shallotshore.packets.node_messages import FeedChanges, FeedRequest
from shallotshore.packets.node_state import NodeState
from shallotshore.packets.store_messages import (
    FetchedFeed,
    FetchFailed,
    FetchFeed,
    ReadFeed,
    StoreChanges,
    StoreFailed,
    StoreSnapshot,
    WatchFeed,
)
from shallotshore.packets.view import Configuration, Feed, FeedState, Upstream
from shallotshore.systems import Core

PEER = ("10.1.0.2", 7720)
START = 100_000


def configuration(version: int, revision: int) -> ConfigurationChange:
    """Returns a change to a configuration."""
    return ConfigurationChange("op/config", revision, Configuration(version))


def upstream(name: str, revision: int) -> UpstreamChange:
    """Returns a change of an upstream's record."""
    record = Upstream(name, "spend", "10.1.1.1", 80, "bud-a", 1, False, 0, revision)
    return UpstreamChange(name, revision, record)


class FeedTest(unittest.TestCase):
    """One process with its inbox and outbox."""

    def setUp(self) -> None:
        node = NodeState(Core(), 1, 7720, "bud-a", random.Random(1))
        self.node = node
        self.feeds, self.inbox, self.outbox = node.feeds, node.inbox, node.outbox
        self.counters = node.counters
        self.system = self.make(reads_store=True)
        self.now = START

    def make(self, reads_store: bool) -> FeedSystem:
        return FeedSystem(self.node, reads_store)

    def run_for(self, duration: int) -> list[object]:
        """Ticks every 20 ms for a duration in ms and returns the messages sent."""
        sent = []
        for _ in range(max(1, duration // 20)):
            self.now += 20
            self.system.run(self.now)
            sent += [message for _, message in self.outbox.drain()]
        return sent

    def answer(self, *answers: object) -> list[object]:
        """Delivers answers of the store and returns the messages sent next."""
        for one in answers:
            self.inbox.put(STORE_ADDRESS, one)
        return self.run_for(20)

    def read_both(self) -> None:
        """Brings both feeds to revision 10."""
        self.run_for(20)
        self.answer(
            StoreSnapshot(Feed.OPERATOR, 10, [configuration(4, 8)]),
            StoreSnapshot(Feed.UPSTREAMS, 10, [upstream("i-1", 9)]),
        )

    def test_reads_both_feeds_then_watches_from_there(self) -> None:
        """Guards against missing the changes between the read and the start of the watch."""
        first = self.run_for(20)
        self.assertEqual([Feed.OPERATOR, Feed.UPSTREAMS], [one.feed for one in first])
        self.assertTrue(all(isinstance(one, ReadFeed) for one in first))
        (watch,) = self.answer(StoreSnapshot(Feed.UPSTREAMS, 10, [upstream("i-1", 9)]))
        assert isinstance(watch, WatchFeed)
        self.assertEqual(10, watch.after)

    def test_lost_history_is_followed_by_a_whole_read(self) -> None:
        """Guards against keeping an upstream for ever whose removal was in the lost history."""
        self.read_both()
        self.run_for(20)
        sent = self.answer(StoreFailed(Feed.UPSTREAMS, Code.SERVICE_STALE, "gone"))
        self.answer(StoreSnapshot(Feed.UPSTREAMS, 30, [upstream("i-2", 20)]))
        self.assertEqual([ReadFeed], [type(one) for one in sent])
        self.assertEqual({"i-2"}, set(self.feeds.upstreams.content.upstreams))

    def test_too_large_answer_to_a_watch_is_followed_by_a_read(self) -> None:
        """Guards against a watch that is repeated for ever since its answer is too large.

        Another writer's entries of a megabyte came in one answer, and no change of any upstream
        was seen after them. A read comes in pages.
        """
        self.read_both()
        self.run_for(20)
        failed = StoreFailed(Feed.UPSTREAMS, Code.MESSAGE_TOO_LARGE, "body above 4194304 bytes")
        sent = self.answer(failed)
        self.assertEqual([ReadFeed], [type(one) for one in sent])
        self.assertTrue(self.feeds.upstreams.is_current(self.now))
        (watch,) = self.answer(StoreSnapshot(Feed.UPSTREAMS, 30, [upstream("i-2", 20)]))
        assert isinstance(watch, WatchFeed)
        self.assertEqual(30, watch.after)
        self.assertEqual({"i-2"}, set(self.feeds.upstreams.content.upstreams))

    def test_too_large_page_is_read_again_with_pauses(self) -> None:
        """Guards against calls without a pause when a page itself is too large."""
        self.run_for(20)
        calls = 0
        for _ in range(100):
            failed = StoreFailed(Feed.UPSTREAMS, Code.MESSAGE_TOO_LARGE, "body above the limit")
            calls += len(self.answer(failed))
        self.assertLess(calls, 20)

    def test_failed_calls_are_repeated_with_growing_pauses(self) -> None:
        """Guards against retrying a store that is down without pauses; each call is charged."""
        self.read_both()
        self.run_for(20)
        calls = 0
        for _ in range(250):
            self.inbox.put(
                STORE_ADDRESS, StoreFailed(Feed.OPERATOR, Code.SERVICE_UNREACHABLE, "down")
            )
            sent = self.run_for(20)
            while not any(getattr(one, "feed", None) is Feed.OPERATOR for one in sent):
                sent = self.run_for(20)
            calls += 1
            if self.now > START + 10_000:
                break
        self.assertLessEqual(calls, 10_000 / (MAX_RETRY_PAUSE_MS * 0.75) + 6)
        self.assertGreaterEqual(calls, 10_000 / (MAX_RETRY_PAUSE_MS * 1.3))
        self.assertFalse(self.feeds.operator.is_current(self.now))
        self.assertEqual(4, self.feeds.operator.content.configuration.version)

    def test_first_watch_after_an_outage_answers_at_once(self) -> None:
        """Guards against a list of upstreams that is confirmed only 4 s after the store recovers.

        A watch without changes takes 4 s, so the first one after an outage must be short.
        """
        self.read_both()
        self.run_for(20)
        self.answer(StoreFailed(Feed.UPSTREAMS, Code.SERVICE_UNREACHABLE, "down"))
        (watch,) = (one for one in self.run_for(200) if isinstance(one, WatchFeed))
        self.assertLessEqual(watch.wait, 100)
        (watch,) = self.answer(StoreChanges(Feed.UPSTREAMS, 10, []))
        assert isinstance(watch, WatchFeed)
        self.assertEqual(WATCH_WAIT_MS, watch.wait)
        self.assertTrue(self.feeds.upstreams.is_current(self.now))

    def test_version_never_goes_back(self) -> None:
        """Guards against a process that goes back to an older configuration without a restart.

        The store or a peer may deliver an older version after a newer one.
        """
        self.read_both()
        self.answer(StoreChanges(Feed.OPERATOR, 12, [configuration(9, 12)]))
        self.answer(StoreChanges(Feed.OPERATOR, 13, [configuration(7, 13)]))
        self.assertEqual(9, self.feeds.operator.content.configuration.version)
        self.inbox.put(PEER, FetchedFeed(FeedState(Feed.OPERATOR, 50, Configuration(5))))
        self.run_for(20)
        self.assertEqual(9, self.feeds.operator.content.configuration.version)

    def test_old_snapshot_is_ignored(self) -> None:
        """Guards against replacing a peer's newer copy by an older read of the store."""
        self.run_for(20)
        state = FeedState(Feed.OPERATOR, 40, Configuration(9), ["bud-a"])
        self.inbox.put(PEER, FetchedFeed(state))
        self.answer(StoreSnapshot(Feed.OPERATOR, 10, [configuration(4, 8)]))
        self.assertEqual({"bud-a"}, self.feeds.operator.content.data_centres_out)

    def test_copies_of_peers_are_fetched_when_the_store_is_down(self) -> None:
        """Guards against a balancer without any configuration when it starts during an outage."""
        self.run_for(20)
        self.answer(StoreFailed(Feed.OPERATOR, Code.SERVICE_UNREACHABLE, "down"))
        self.feeds.record_offer(PEER, 40, 0, self.now, is_same_data_centre=True)
        sent = [one for one in self.run_for(20) if isinstance(one, FetchFeed)]
        self.assertEqual([Feed.OPERATOR], [one.feed for one in sent])
        self.inbox.put(PEER, FetchFailed(Feed.OPERATOR, "refused"))
        self.run_for(20)
        self.feeds.record_offer(PEER, 40, 0, self.now, is_same_data_centre=True)
        self.assertTrue(any(isinstance(one, FetchFeed) for one in self.run_for(300)))

    def test_copy_comes_from_the_own_data_centre(self) -> None:
        """Guards against fetching each change from another data centre.

        In a large fleet these copies took 0.12 GB.
        """
        self.system = self.make(reads_store=False)
        self.inbox.put(PEER, FetchedFeed(FeedState(Feed.OPERATOR, 10, Configuration(2))))
        self.run_for(20)
        far, near = ("10.2.0.2", 7720), ("10.1.0.3", 7720)
        self.feeds.record_offer(far, 12, 0, self.now, is_same_data_centre=False)
        self.assertEqual([], self.run_for(60))
        self.feeds.record_offer(near, 12, 0, self.now, is_same_data_centre=True)
        self.feeds.record_offer(far, 12, 0, self.now, is_same_data_centre=False)
        self.run_for(200)
        self.assertEqual(near, self.feeds.operator.best_offer_source)
        self.assertTrue(self.feeds.operator.is_fetch_pending)

    def test_agent_does_not_call_the_store(self) -> None:
        """Guards against calls to the store that grow with the number of upstreams."""
        self.system = self.make(reads_store=False)
        self.assertEqual([], self.run_for(1_000))

    def test_data_centre_goes_out_and_comes_back(self) -> None:
        """Guards against a data centre that stays out of service after its entry is removed."""
        self.read_both()
        self.answer(StoreChanges(Feed.OPERATOR, 12, [DataCentreChange("bud-a", 12)]))
        self.assertEqual({"bud-a"}, self.feeds.operator.content.data_centres_out)
        self.answer(StoreChanges(Feed.OPERATOR, 13, [DataCentreChange("bud-a", 13, True)]))
        self.assertEqual(set(), self.feeds.operator.content.data_centres_out)

    def test_refused_record_of_a_peer_replaces_the_one_before(self) -> None:
        """Guards against an upstream that stays in use after its entry was overwritten.

        The peer is of a version that took the new entry for a record.
        """
        self.read_both()
        self.feeds.record_offer(PEER, 10, 12, self.now, is_same_data_centre=True)
        while not any(isinstance(one, FeedRequest) for one in self.run_for(20)):
            self.assertLess(self.now, START + 1_000)
        entries = (RefusedEntry("i-1", 12, None, "Expected `int` >= 0"),)
        self.inbox.put(PEER, FeedChanges(Feed.UPSTREAMS, 12, entries))
        self.run_for(20)
        self.assertEqual({}, self.feeds.upstreams.content.upstreams)
        self.assertEqual(1, self.counters["store.unreadable_entries"])

    def test_unreadable_entry_leaves_the_other_entries_usable(self) -> None:
        """Guards against one undecodable entry that makes the other entries unusable."""
        self.read_both()
        bad = UnreadableEntry("i-9", 12, "no object")
        self.answer(StoreChanges(Feed.UPSTREAMS, 12, [bad, upstream("i-2", 12)]))
        self.assertEqual({"i-1", "i-2"}, set(self.feeds.upstreams.content.upstreams))
        self.assertEqual(1, self.counters["store.unreadable_entries"])

    def test_unreadable_entry_is_logged_once_while_it_stays(self) -> None:
        """Guards against a log full of one entry, whose writer writes it again and again."""
        self.read_both()
        for revision in range(12, 40):
            bad = UnreadableEntry("i-9", revision, f"no object at {revision}")
            self.answer(StoreChanges(Feed.UPSTREAMS, revision, [bad]))
        snapshot = [upstream("i-1", 9), UnreadableEntry("i-9", 39, "no object")]
        self.answer(StoreSnapshot(Feed.UPSTREAMS, 41, snapshot))
        events = [event for _, event, _ in self.node.log.drain()]
        self.assertEqual(1, events.count("entry_unreadable"))
        self.assertEqual(0, events.count("feed_changed"))
        self.assertEqual(41, self.feeds.upstreams.revision)
        self.assertEqual(29, self.counters["store.unreadable_entries"])
        self.answer(StoreChanges(Feed.UPSTREAMS, 42, [upstream("i-9", 42)]))
        self.answer(StoreChanges(Feed.UPSTREAMS, 43, [UnreadableEntry("i-9", 43, "no object")]))
        events = [event for _, event, _ in self.node.log.drain()]
        self.assertEqual(1, events.count("entry_unreadable"))
        self.assertEqual({"i-1"}, set(self.feeds.upstreams.content.upstreams))

    def test_copy_is_doubtful_when_unconfirmed_or_behind(self) -> None:
        """Guards against resets of live flows whose upstream is missing from a stale copy."""
        self.read_both()
        copy = self.feeds.upstreams
        self.assertTrue(copy.is_current(self.now))
        self.assertFalse(copy.is_current(self.now + CONFIRMATION_VALID_MS + 1))
        self.feeds.record_offer(PEER, 0, 99, self.now, is_same_data_centre=True)
        self.assertTrue(copy.is_current(self.now + MAX_WATCH_LAG_MS))
        self.assertFalse(copy.is_current(self.now + MAX_WATCH_LAG_MS + 1))


if __name__ == "__main__":
    unittest.main()
