"""Copies and changes of feeds with records that this version refuses."""

import asyncio
import unittest

import msgspec

from shallotshore.packets import node_messages
from shallotshore.packets.feed_content import UnreadableEntry
from shallotshore.packets.feed_entries import UpstreamEntry, to_change
from shallotshore.packets.node_messages import FeedChanges
from shallotshore.packets.peer_copies import fetch_feed_copy
from shallotshore.packets.record_decoding import decode_state
from shallotshore.packets.store_messages import FetchedFeed
from shallotshore.packets.view import (
    Configuration,
    Feed,
    FeedState,
    HeldEntry,
    Route,
    Upstream,
)

GOOD = Upstream("i-1", "spend", "10.1.1.1", 80, "bud-a", 3, False, 0, 8)
# Fields of which each makes a record unusable.
REFUSED = (
    ("slots", -1),
    ("slots", 100_000),
    ("port", 70_000),
    ("host", "nowhere"),
    ("cold_ms", 1 << 40),
    ("service", None),
    ("is_leaving", "no"),
)


class EraTest(unittest.TestCase):
    """The era and the retained values of a copy that another process sends."""

    def make_state(self) -> FeedState:
        held = [HeldEntry("i-1", GOOD, None, False, 900), HeldEntry("i-2", None, None, False, 800)]
        return FeedState(Feed.UPSTREAMS, 9, upstreams=[GOOD], era=3, held=held, held_ms=1_000)

    def test_era_and_retained_values_are_transferred(self) -> None:
        """Guards against a receiver that takes retained values for those of the store."""
        state = self.make_state()
        self.assertEqual((state, []), decode_state(msgspec.msgpack.encode(state)))

    def test_copy_of_the_last_release_has_no_era(self) -> None:
        """Guards against copies that are refused during a rolling upgrade."""
        fields = msgspec.to_builtins(self.make_state())[:5]
        state, _ = decode_state(msgspec.msgpack.encode(fields))
        self.assertEqual((0, [], 0), (state.era, state.held, state.held_ms))

    def test_refused_record_leaves_the_era_and_the_other_values(self) -> None:
        """Guards against a copy that falls back to era 0 because of one refused record."""
        state = self.make_state()
        state.upstreams.append(msgspec.structs.replace(GOOD, id="i-3", slots=-1))
        bad = msgspec.structs.replace(GOOD, id="i-4", port=70_000)
        state.held.insert(0, HeldEntry("i-4", bad, None, False, 900))
        decoded, refused = decode_state(msgspec.msgpack.encode(state))
        self.assertEqual(["i-3"], [entry.key for entry in refused])
        self.assertEqual((3, 1_000), (decoded.era, decoded.held_ms))
        self.assertEqual(self.make_state().held, decoded.held)


class ChangesTest(unittest.TestCase):
    """Changes that another process sends."""

    def test_one_refused_entry_leaves_the_others_usable(self) -> None:
        """Guards against followers and agents that miss all changes because of one entry.

        Every message with the entry was refused as a whole (review/4). The record that an upstream
        had before is removed.
        """
        for field, value in REFUSED:
            bad = msgspec.structs.replace(GOOD, id="i-2", **{field: value})
            entries = (UpstreamEntry("i-2", 7, bad), UpstreamEntry("i-1", 8, GOOD))
            frame = node_messages.encode(FeedChanges(Feed.UPSTREAMS, 9, entries))
            message = node_messages.decode(frame).unwrap()
            assert isinstance(message, FeedChanges) and message.entries is not None
            refused, good = message.entries
            change = to_change(refused)
            assert isinstance(change, UnreadableEntry)
            self.assertEqual(("i-2", 7), (change.key, change.revision))
            self.assertTrue(change.reason)
            self.assertEqual(entries[1], good)

    def test_entry_without_a_key_makes_the_message_malformed(self) -> None:
        """Guards against a copy that lacks a change and whose revision says that it has it.

        The whole copy is fetched instead.
        """
        frame = msgspec.msgpack.encode([12, 2, 9, [[1, None, 7, None]]])
        self.assertTrue(node_messages.decode(frame).is_err())


class StateTest(unittest.IsolatedAsyncioTestCase):
    """Whole copies."""

    async def test_one_refused_record_leaves_the_others_usable(self) -> None:
        """Guards against agents that start and get no copy at all because of one record."""
        for field, value in REFUSED:
            bad = msgspec.structs.replace(GOOD, id="i-2", **{field: value})
            state = FeedState(Feed.UPSTREAMS, 9, upstreams=[bad, GOOD])

            async def send(
                reader: asyncio.StreamReader,
                writer: asyncio.StreamWriter,
                state: FeedState = state,
            ) -> None:
                await reader.read(1)
                writer.write(msgspec.msgpack.encode(state))
                writer.close()

            server = await asyncio.start_server(send, "127.0.0.1", 0)
            fetched = await fetch_feed_copy(server.sockets[0].getsockname()[:2], Feed.UPSTREAMS)
            server.close()
            assert isinstance(fetched, FetchedFeed)
            self.assertEqual([GOOD], fetched.state.upstreams)
            self.assertEqual(["i-2"], [entry.key for entry in fetched.refused])

    def test_refused_configuration_leaves_the_data_centres(self) -> None:
        """Guards against a data centre that gets flows again because of a refused route."""
        route = Route("r", "198.18.0.1", 443, (("spend", -1),))
        state = FeedState(Feed.OPERATOR, 9, Configuration(4, (route,)), ["bud-a"])
        decoded, refused = decode_state(msgspec.msgpack.encode(state))
        self.assertEqual(
            (Configuration(), ["bud-a"]), (decoded.configuration, decoded.data_centres_out)
        )
        self.assertEqual(1, len(refused))

    def test_sound_copy_is_decoded_as_sent(self) -> None:
        """Guards against fields that are lost on the way through the decoder."""
        state = FeedState(Feed.UPSTREAMS, 9, Configuration(2), ["bud-b"], [GOOD])
        self.assertEqual((state, []), decode_state(msgspec.msgpack.encode(state)))


if __name__ == "__main__":
    unittest.main()
