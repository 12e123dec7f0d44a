"""Values of an earlier era of the store: how long they are kept, and which of two counts."""

import random
import unittest

import msgspec

from shallotshore.codes import Code
from shallotshore.packets.feed_content import (
    Change,
    ConfigurationChange,
    DataCentreChange,
    FeedContent,
    UpstreamChange,
    apply_change,
)
from shallotshore.packets.feeds import STORE_ADDRESS, FeedSystem
from shallotshore.packets.node_messages import FeedChanges, FeedRequest
from shallotshore.packets.node_state import NodeState
from shallotshore.packets.restored_store import (
    HELD_BELIEF_MS,
    MAX_HELD_ENTRIES,
    MAX_TOMBSTONES,
    TOMBSTONE_LIFETIME_MS,
    RetainedValues,
    read_held,
)
from shallotshore.packets.store_messages import (
    FetchedFeed,
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


def upstream(
    name: str, revision: int, is_leaving: bool = False, cold_ms: int = 0
) -> UpstreamChange:
    """Returns a change of an upstream's record."""
    record = Upstream(name, "spend", "10.1.1.1", 80, "bud-a", 1, is_leaving, cold_ms, revision)
    return UpstreamChange(name, revision, record)


def configuration(version: int, revision: int) -> ConfigurationChange:
    """Returns a change to a configuration."""
    return ConfigurationChange("op/config", revision, Configuration(version))


def content_of(*changes: Change) -> FeedContent:
    """Returns the content that some changes lead to."""
    content = FeedContent()
    for change in changes:
        apply_change(change, content)
    return content


class TombstoneTest(unittest.TestCase):
    """Removed entries that are remembered."""

    def test_number_of_remembered_removals_is_bounded(self) -> None:
        """Guards against a memory that fills up where upstreams come and go."""
        retained = RetainedValues()
        for number in range(MAX_TOMBSTONES + 10):
            retained.record_change(UpstreamChange(f"i-{number}", number, None), START)
        known, content = FeedContent(), FeedContent()
        for number in (0, 9, 10, MAX_TOMBSTONES + 9):
            apply_change(upstream(f"i-{number}", 1), content)
        retained.begin_era(known, content, START + HELD_BELIEF_MS, START)
        self.assertEqual({"i-0", "i-9"}, set(content.upstreams))

    def test_old_removal_is_forgotten(self) -> None:
        """Guards against an upstream that is kept from use by a removal of long ago."""
        retained = RetainedValues()
        retained.record_change(UpstreamChange("i-1", 5, None), START)
        now = START + TOMBSTONE_LIFETIME_MS + 1
        content = content_of(upstream("i-1", 8))
        retained.begin_era(FeedContent(), content, now + HELD_BELIEF_MS, now)
        self.assertEqual({"i-1"}, set(content.upstreams))

    def test_entry_that_is_back_has_no_tombstone(self) -> None:
        """Guards against an upstream that the next drill takes out of use."""
        retained = RetainedValues()
        retained.record_change(UpstreamChange("i-1", 5, None), START)
        retained.record_change(upstream("i-1", 6), START)
        content = content_of(upstream("i-1", 6))
        retained.begin_era(content_of(upstream("i-1", 6)), content, START + 99, START)
        self.assertEqual({"i-1"}, set(content.upstreams))

    def test_removal_that_only_a_whole_read_shows_is_remembered(self) -> None:
        """Guards against an upstream that comes back since its removal came without a change."""
        retained = RetainedValues()
        retained.record_replacement(content_of(upstream("i-1", 5)), FeedContent(), START)
        content = content_of(upstream("i-1", 5))
        retained.begin_era(FeedContent(), content, START + 99, START)
        self.assertEqual({}, content.upstreams)


class RetentionTest(unittest.TestCase):
    """Which value of an entry is in use at the start of an era."""

    def begin(self, known: FeedContent, content: FeedContent) -> RetainedValues:
        retained = RetainedValues()
        retained.begin_era(known, content, START + HELD_BELIEF_MS, START)
        return retained

    def test_return_of_a_data_centre_is_not_retained_anew(self) -> None:
        """Guards against an evacuation that a process ignores through two drills.

        The process was frozen when it began, and knew only of the end of an earlier one. Found by
        seed 23 of the random drills with restarts of agents.
        """
        retained = RetainedValues()
        retained.record_change(DataCentreChange("bud-a", 5, is_gone=True), START)
        known, content = FeedContent(), content_of(DataCentreChange("bud-a", 9))
        retained.begin_era(known, content, START + HELD_BELIEF_MS, START)
        self.assertEqual(set(), content.data_centres_out)
        later = START + 2_000
        again = content_of(DataCentreChange("bud-a", 9))
        retained.begin_era(content, again, later + HELD_BELIEF_MS, later)
        retained.release_expired(again, START + HELD_BELIEF_MS)
        self.assertEqual({"bud-a"}, again.data_centres_out)

    def test_return_of_a_data_centre_is_not_adopted(self) -> None:
        """Guards against one process that puts an evacuated data centre back for all others."""
        retained, other = RetainedValues(), RetainedValues()
        other.record_change(DataCentreChange("bud-a", 5, is_gone=True), START)
        effective = content_of(DataCentreChange("bud-a", 9))
        other.begin_era(FeedContent(), effective, START + HELD_BELIEF_MS, START)
        state = effective.state(Feed.OPERATOR, 9)
        state.held = other.to_entries(START)
        content = content_of(DataCentreChange("bud-a", 9))
        retained.begin_era(FeedContent(), content, START + HELD_BELIEF_MS, START)
        retained.adopt(read_held(state, START), effective, content, START)
        self.assertEqual({"bud-a"}, content.data_centres_out)

    def test_entry_that_was_only_repeated_is_not_retained(self) -> None:
        """Guards against a table of all upstreams, whose entries differ in the revision only."""
        content = content_of(upstream("i-1", 3))
        self.assertEqual(0, len(self.begin(content_of(upstream("i-1", 60)), content)))
        self.assertEqual(3, content.upstreams["i-1"].revision)

    def test_leaving_in_the_store_goes_before_a_known_record(self) -> None:
        """Guards against a `draining`, written before the first read, that waits."""
        content = content_of(upstream("i-1", 3, is_leaving=True))
        self.begin(content_of(upstream("i-1", 60)), content)
        self.assertTrue(content.upstreams["i-1"].is_leaving)

    def test_restored_cold_record_makes_no_warm_upstream_cold(self) -> None:
        """Guards against limits on an upstream that was cold when the copy was taken."""
        content = content_of(upstream("i-1", 3, cold_ms=4_000))
        self.begin(content_of(upstream("i-1", 60)), content)
        self.assertEqual(0, content.upstreams["i-1"].cold_ms)

    def test_retained_record_is_older_than_all_of_the_new_era(self) -> None:
        """Guards against a lost record that counts for a host since its revision is higher."""
        content = FeedContent()
        self.begin(content_of(upstream("i-1", 60, cold_ms=500)), content)
        record = content.upstreams["i-1"]
        self.assertEqual((0, 0), (record.revision, record.cold_ms))

    def test_number_of_retained_values_is_bounded(self) -> None:
        """Guards against a process that stands still after a restore from an empty copy.

        Removals go first, since nothing else keeps an upstream that has left from use.
        """
        known = content_of(*(upstream(f"i-{n}", n) for n in range(MAX_HELD_ENTRIES + 5)))
        retained = RetainedValues()
        retained.record_change(UpstreamChange("i-gone", 5, None), START)
        content = content_of(upstream("i-gone", 1))
        retained.begin_era(known, content, START + HELD_BELIEF_MS, START)
        self.assertEqual((MAX_HELD_ENTRIES, 6), (len(retained), retained.left_out))
        self.assertNotIn("i-gone", content.upstreams)

    def test_values_take_effect_when_their_time_is_over(self) -> None:
        """Guards against a value that is kept too long, or dropped too early."""
        known = content_of(configuration(9, 50), DataCentreChange("bud-a", 51))
        content = content_of(configuration(7, 20), DataCentreChange("bud-b", 21))
        retained = self.begin(known, content)
        end = START + HELD_BELIEF_MS
        self.assertEqual([], retained.release_expired(content, end - 1))
        self.assertEqual(9, content.configuration.version)
        self.assertEqual({"bud-a", "bud-b"}, content.data_centres_out)
        self.assertEqual(2, len(retained.release_expired(content, end)))
        self.assertEqual(7, content.configuration.version)
        self.assertEqual({"bud-b"}, content.data_centres_out)
        self.assertEqual(0, len(retained))


class EraTest(unittest.TestCase):
    """One process that reads the store, with its inbox and outbox."""

    def setUp(self) -> None:
        self.node = NodeState(Core(), 1, 7720, "bud-a", random.Random(1))
        self.system = FeedSystem(self.node, True)
        self.now = START
        self.copy = self.node.feeds.operator
        self.tick()
        self.tick(StoreSnapshot(Feed.UPSTREAMS, 60, [upstream("i-1", 59)], 1))
        self.tick(StoreSnapshot(Feed.OPERATOR, 60, [configuration(9, 60)], 1))

    def tick(self, *answers: object, source: tuple[str, int] = STORE_ADDRESS) -> list[object]:
        """Delivers messages and returns what the process sends in the next 20 ms."""
        for answer in answers:
            self.node.inbox.put(source, answer)
        self.now += 20
        self.system.run(self.now)
        return [message for _, message in self.node.outbox.drain()]

    def offer(self, era: int, revision: int) -> None:
        self.node.feeds.record_offer(PEER, revision, 0, self.now, True, (era, 0))

    def test_changes_of_a_new_era_are_followed_by_a_whole_read_of_both_feeds(self) -> None:
        """Guards against changes that are applied to a copy which lacks those before them."""
        sent = self.tick(StoreChanges(Feed.OPERATOR, 70, [configuration(12, 70)], 2, 60))
        self.assertEqual([ReadFeed, ReadFeed], [type(one) for one in sent])
        self.assertEqual((1, 60), self.copy.position)
        self.assertFalse(self.copy.is_current(self.now))
        self.tick(StoreSnapshot(Feed.OPERATOR, 30, [configuration(10, 30)], 2))
        self.assertEqual((2, 30), self.copy.position)
        self.assertEqual(10, self.copy.content.configuration.version)

    def test_failed_answer_of_a_new_era_is_followed_by_a_read(self) -> None:
        """Guards against a feed that stays in the old era while its own watch is pending."""
        sent = self.tick(StoreFailed(Feed.OPERATOR, Code.SERVICE_STALE, "gone", 2))
        self.assertEqual({Feed.OPERATOR, Feed.UPSTREAMS}, {one.feed for one in sent})
        self.assertEqual([ReadFeed, ReadFeed], [type(one) for one in sent])

    def test_answers_of_an_earlier_era_are_ignored_and_counted(self) -> None:
        """Guards against an answer from before the drill that arrives late, and is applied."""
        for answer in (
            StoreSnapshot(Feed.OPERATOR, 99, [configuration(50, 99)], 0),
            StoreChanges(Feed.OPERATOR, 99, [configuration(50, 99)], 0, 60),
        ):
            self.tick(answer)
            self.assertEqual(9, self.copy.content.configuration.version)
            self.assertFalse(self.copy.is_current(self.now))
        self.assertEqual(2, self.node.counters["store.old_era_answers"])

    def test_copies_and_changes_of_an_earlier_era_are_ignored(self) -> None:
        """Guards against a process of an older era that overrides one of a newer era."""
        self.offer(0, 999)
        self.assertEqual((0, 0), self.copy.best_offered)
        self.tick(FetchedFeed(FeedState(Feed.OPERATOR, 999, Configuration(50))), source=PEER)
        self.assertEqual((1, 60), self.copy.position)
        self.assertEqual(1, self.node.counters["peers.old_era_copies"])

    def test_request_for_changes_of_another_era_is_answered_without_changes(self) -> None:
        """Guards against changes that the receiver counts from a revision of its own era."""
        self.tick(StoreChanges(Feed.OPERATOR, 61, [configuration(12, 61)], 1, 60))
        for era, expected in ((1, 1), (0, None), (2, None)):
            (answer,) = (
                one
                for one in self.tick(FeedRequest(Feed.OPERATOR, 60, era), source=PEER)
                if isinstance(one, FeedChanges)
            )
            entries = None if answer.entries is None else len(answer.entries)
            self.assertEqual((expected, 1), (entries, answer.era))

    def test_copy_of_a_newer_era_is_fetched_whole_and_restarts_the_watch(self) -> None:
        """Guards against a watch from a revision of the old era, which misses changes."""
        self.system = FeedSystem(self.node, True)
        self.offer(2, 30)
        sent = self.tick()
        self.assertIn(ReadFeed, [type(one) for one in sent])  # the store itself may be reached
        for _ in range(30):
            sent += self.tick()
        self.assertIn(FetchFeed, [type(one) for one in sent])
        state = FeedState(Feed.OPERATOR, 30, Configuration(7), era=2, held_ms=1_000)
        self.tick(FetchedFeed(state), source=PEER)
        self.assertEqual((2, 30, 30), (*self.copy.position, self.copy.watch_after))
        self.assertEqual(9, self.copy.content.configuration.version)
        late = StoreChanges(Feed.OPERATOR, 70, [configuration(20, 70)], 2, 60)
        self.tick(late)
        self.assertEqual((2, 30), self.copy.position)
        self.assertLessEqual(self.copy.retained.until, self.now + 1_000)

    def test_retained_values_pass_from_process_to_process(self) -> None:
        """Guards against a chain of processes in which a lost value never ends."""
        self.tick(StoreSnapshot(Feed.OPERATOR, 30, [configuration(7, 30)], 2))
        until = self.copy.retained.until
        state = msgspec.convert(msgspec.to_builtins(self.copy.state(self.now)), FeedState)
        other = EraTest()
        other.setUp()
        other.now = self.now + 1_000
        other.tick(FetchedFeed(self.copy.state(other.now)), source=PEER)
        self.assertEqual((9, 7), (state.configuration.version, state.held[0].configuration.version))
        self.assertEqual((2, 30), other.copy.position)
        self.assertLessEqual(other.copy.retained.until, until + 20)
        while other.now < until:
            self.assertEqual(9, other.copy.content.configuration.version)
            other.tick()
        other.tick()
        self.assertEqual(7, other.copy.content.configuration.version)

    def test_watch_continues_in_the_new_era(self) -> None:
        """Guards against a watch from the revision of the old era after the read."""
        sent = self.tick(StoreSnapshot(Feed.OPERATOR, 30, [configuration(7, 30)], 2))
        (watch,) = (one for one in sent if isinstance(one, WatchFeed) and one.feed is Feed.OPERATOR)
        self.assertEqual(30, watch.after)

    def test_logs_and_counters_name_each_change_of_state_once(self) -> None:
        """Guards against a log without the cause of an old value, or with a line for each."""
        self.node.log.drain()
        self.tick(StoreSnapshot(Feed.OPERATOR, 30, [configuration(7, 30)], 2))
        for _ in range(2 * HELD_BELIEF_MS // 20):
            self.tick()
        events = [event for _, event, _ in self.node.log.drain()]
        for event in ("store_era_changed", "retained_values_dropped"):
            self.assertEqual(1, events.count(event), event)
        counters = self.node.counters
        names = ("store.era_changes", "feeds.values_retained", "feeds.values_dropped")
        self.assertEqual([1, 1, 1], [counters[name] for name in names])


if __name__ == "__main__":
    unittest.main()
