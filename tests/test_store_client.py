"""Tests of the store's client, feed copies and HTTP pages on loopback, with bad answers too."""

import asyncio
import base64
import contextlib
import json
import unittest
from collections.abc import Callable
from unittest import mock

import msgspec

import adapter.store as store_module  # isort: skip
from adapter.store import StoreClient  # isort: skip

from shallotshore.codes import Code
from shallotshore.packets import http_client, peer_copies
from shallotshore.packets.feed_content import UpstreamChange
from shallotshore.packets.http_client import HttpConnection, HttpError
from shallotshore.packets.http_server import Page, serve_pages
from shallotshore.packets.peer_copies import fetch_feed_copy, serve_feed_copies
from shallotshore.packets.store_messages import (
    CheckFeed,
    FetchedFeed,
    FetchFailed,
    ReadFeed,
    StoreChanges,
    StoreFailed,
    StoreSnapshot,
    WatchFeed,
)
from shallotshore.packets.view import Configuration, Feed, FeedState

ENTRY = {
    "service": "s",
    "address": "10.1.0.9:80",
    "zone": "z",
    "version": "v1",
    "slots": 3,
    "state": "ready",
    "coldRemainingMs": 0,
    "seq": 1,
}


def item(name: str, revision: int) -> dict[str, object]:
    """Returns an upstream's item as the store sends it."""
    value = base64.b64encode(json.dumps(ENTRY).encode()).decode()
    return {"key": f"servers/{name}", "value": value, "rev": revision}


def body(page: object, status: str = "200 OK") -> bytes:
    """Returns a complete HTTP response with a page as JSON."""
    text = json.dumps(page).encode()
    return b"HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n%s" % (status.encode(), len(text), text)


async def wait_for_end(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Waits until the client has ended a connection, and closes it."""
    with contextlib.suppress(ConnectionError):
        await reader.read()
    writer.close()


class Server:
    """Answers each request with the response that a function returns for its path, if any."""

    def __init__(self, answer: Callable[[str], bytes | None]) -> None:
        self.answer = answer
        self.paths: list[str] = []

    async def start(self) -> tuple[str, int]:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return self._server.sockets[0].getsockname()[:2]

    def close(self) -> None:
        self._server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while head := await reader.readline():
                self.paths.append(head.split()[1].decode())
                while (await reader.readline()).strip():
                    pass
                answer = self.answer(self.paths[-1])
                if answer is None:
                    await reader.read()  # until the client closes the connection
                    return
                writer.write(answer)
                if not answer.endswith(b"}"):
                    return
        except ConnectionError:
            return  # the client has closed the connection during the answer
        finally:
            writer.close()


class StoreClientTest(unittest.IsolatedAsyncioTestCase):
    """Tests reads and watches."""

    async def call_store(
        self, answer: Callable[[str], bytes | None], request: ReadFeed | WatchFeed
    ) -> object:
        """Returns the answer that the client delivers for one request."""
        self.server = Server(answer)
        address = await self.server.start()
        done: asyncio.Future[object] = asyncio.get_running_loop().create_future()
        client = StoreClient(address, done.set_result)
        client.start_call(request)
        try:
            return await asyncio.wait_for(done, 3)
        finally:
            client.close()
            self.server.close()

    async def test_reads_all_pages(self) -> None:
        """Guards against ignoring the upstreams beyond the first page."""

        def answer(path: str) -> bytes:
            if "after=" in path:
                return body({"items": [item("b", 8)], "hasMore": False, "currentRev": 12})
            return body({"items": [item("a", 7)], "hasMore": True, "currentRev": 9})

        delivered = await self.call_store(answer, ReadFeed(Feed.UPSTREAMS))
        assert isinstance(delivered, StoreSnapshot)
        self.assertEqual(
            (9, ["a", "b"]), (delivered.revision, [change.key for change in delivered.changes])
        )
        self.assertIn("after=servers%2Fa", self.server.paths[1])

    async def test_check_runs_beside_a_watch(self) -> None:
        """Guards against a check that ends the watch, or takes the answer to it for its own."""
        page = {"events": [], "currentRev": 9}
        self.server = Server(lambda path: body(page) if "waitMs=1&" in path + "&" else None)
        address = await self.server.start()
        delivered: list[object] = []
        client = StoreClient(address, delivered.append)
        client.start_call(WatchFeed(Feed.UPSTREAMS, 9, 300, 50))
        await asyncio.sleep(0.05)
        client.start_call(CheckFeed(Feed.UPSTREAMS, 9, 1, 77))
        await asyncio.sleep(0.1)
        client.close()
        self.server.close()
        (answer,) = delivered
        assert isinstance(answer, StoreChanges)
        self.assertEqual((True, 77, 9), (answer.is_check, answer.asked_at, answer.revision))
        self.assertEqual(2, len(self.server.paths))

    async def test_failed_check_is_told_from_a_failed_watch(self) -> None:
        """Guards against a store that counts as lost since a check has failed."""
        answer = b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"
        for request in (CheckFeed(Feed.UPSTREAMS, 9, 1, 77), WatchFeed(Feed.UPSTREAMS, 9, 1)):
            failed = await self.call_store(lambda path: answer, request)
            assert isinstance(failed, StoreFailed)
            self.assertEqual(isinstance(request, CheckFeed), failed.is_check)

    async def test_answers_name_the_era_of_the_store(self) -> None:
        """Guards against an era that is lost between the header and the core.

        The header's name may have any case, and failed answers have it too.
        """
        page = {"items": [item("a", 7)], "events": [], "currentRev": 9}
        for head, request, expected in (
            ("200 OK\r\nStore-Era: 3", ReadFeed(Feed.UPSTREAMS), (StoreSnapshot, 3)),
            ("200 OK\r\nstore-era: 4", WatchFeed(Feed.UPSTREAMS, 9, 1), (StoreChanges, 4)),
            ("410 Gone\r\nSTORE-ERA: 5", WatchFeed(Feed.UPSTREAMS, 9, 1), (StoreFailed, 5)),
            ("200 OK", ReadFeed(Feed.UPSTREAMS), (StoreSnapshot, 0)),
            ("200 OK\r\nStore-Era: x", ReadFeed(Feed.UPSTREAMS), (StoreFailed, 0)),
            ("200 OK\r\nStore-Era: -1", ReadFeed(Feed.UPSTREAMS), (StoreFailed, 0)),
            (f"200 OK\r\nStore-Era: {1 << 63}", ReadFeed(Feed.UPSTREAMS), (StoreFailed, 0)),
        ):
            delivered = await self.call_store(lambda path, head=head: body(page, head), request)
            assert isinstance(delivered, StoreSnapshot | StoreChanges | StoreFailed)
            self.assertEqual(expected, (type(delivered), delivered.era), head)

    async def test_pages_of_two_eras_are_no_snapshot(self) -> None:
        """Guards against a list that is half of the old era and half of the new one."""

        def answer(path: str) -> bytes:
            if "after=" in path:
                page = {"items": [item("b", 3)], "hasMore": False, "currentRev": 4}
                return body(page, "200 OK\r\nStore-Era: 2")
            page = {"items": [item("a", 7)], "hasMore": True, "currentRev": 9}
            return body(page, "200 OK\r\nStore-Era: 1")

        delivered = await self.call_store(answer, ReadFeed(Feed.UPSTREAMS))
        assert isinstance(delivered, StoreFailed)
        self.assertEqual((2, Code.SERVICE_UNREACHABLE), (delivered.era, delivered.code))

    async def test_watch_gives_changes_and_removals(self) -> None:
        """Guards against a removal that is decoded as a record."""
        events = [item("a", 11), {"key": "servers/b", "rev": 12, "tombstone": True}]
        page = body({"events": events, "currentRev": 12})
        delivered = await self.call_store(lambda path: page, WatchFeed(Feed.UPSTREAMS, 9, 100))
        assert isinstance(delivered, StoreChanges)
        self.assertEqual([False, True], [change.is_gone for change in delivered.changes])
        self.assertIsInstance(delivered.changes[0], UpstreamChange)
        self.assertIn("after=9&waitMs=100", self.server.paths[0])

    async def test_late_copy_of_an_answer_is_not_taken_for_the_next(self) -> None:
        """Guards against an answer of an earlier request, sent twice, that the next one gets.

        The copy arrives with the first answer, while the connection is idle, or after the next
        request was sent.
        """
        for delay_s in (0.0, 0.05):
            opened = 0

            async def serve(
                reader: asyncio.StreamReader,
                writer: asyncio.StreamWriter,
                delay_s: float = delay_s,
            ) -> None:
                nonlocal opened
                opened += 1
                answer = body({"connection": opened})
                await reader.readuntil(b"\r\n\r\n")
                writer.write(answer if delay_s else answer + answer)
                if delay_s:
                    await asyncio.sleep(delay_s)
                    writer.write(answer)
                await wait_for_end(reader, writer)

            server = await asyncio.start_server(serve, "127.0.0.1", 0)
            connection = HttpConnection(server.sockets[0].getsockname()[:2], 1_000)
            self.assertIn(b"1", (await connection.get("/a", 500)).body)
            await asyncio.sleep(2 * delay_s)
            self.assertIn(b"2", (await connection.get("/b", 500)).body)
            connection.close()
            await asyncio.sleep(2 * delay_s + 0.01)
            server.close()

    async def test_copy_of_an_empty_watch_is_not_taken_for_the_next(self) -> None:
        """Guards against a watch that stays one answer behind for good."""
        answers = iter([{"events": [], "currentRev": 9}, {"events": [], "currentRev": 10}])

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            page = next(answers)
            await asyncio.sleep(0.1 if page["currentRev"] == 10 else 0)
            writer.write(body(page))
            await wait_for_end(reader, writer)

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        done: asyncio.Future[object] = asyncio.get_running_loop().create_future()
        client = StoreClient(server.sockets[0].getsockname()[:2], done.set_result)
        client.start_call(WatchFeed(Feed.UPSTREAMS, 9, 100))
        delivered = await asyncio.wait_for(done, 3)
        assert isinstance(delivered, StoreChanges)
        self.assertEqual(10, delivered.revision)
        client.close()
        await asyncio.sleep(0.01)
        server.close()

    async def test_each_bad_answer_is_a_failure_with_a_code(self) -> None:
        """Guards against a bad answer that ends the process or is taken for an empty store."""
        cases: dict[bytes, Code] = {
            body({}, "410 Gone"): Code.SERVICE_STALE,
            body({}, "429 Too Many Requests"): Code.SERVICE_RATE_LIMITED,
            body({}, "503 Unavailable"): Code.SERVICE_UNREACHABLE,
            body({"items": []}): Code.MESSAGE_MALFORMED,
            body([]): Code.MESSAGE_MALFORMED,
            body({"items": [{"key": "servers/a"}], "currentRev": 1}): Code.MESSAGE_MALFORMED,
            b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n{": Code.SERVICE_UNREACHABLE,
            b"HTTP/1.1 200 OK\r\nContent-Length: 90\r\n\r\n{ ": Code.SERVICE_UNREACHABLE,
            b"garbage\r\n\r\n": Code.SERVICE_UNREACHABLE,
        }
        for raw, code in cases.items():
            delivered = await self.call_store(lambda path, raw=raw: raw, ReadFeed(Feed.UPSTREAMS))
            assert isinstance(delivered, StoreFailed)
            self.assertEqual(code, delivered.code, raw)
            self.assertTrue(delivered.reason)

    async def test_too_large_answer_has_a_code_of_its_own(self) -> None:
        """Guards against a watch that is repeated, though its answer will be too large again."""
        value = base64.b64encode(b"x" * store_module.MAX_BODY_BYTES).decode()
        raw = body({"events": [{"key": "servers/x", "rev": 11, "value": value}], "currentRev": 11})
        delivered = await self.call_store(lambda path: raw, WatchFeed(Feed.UPSTREAMS, 9, 100))
        assert isinstance(delivered, StoreFailed)
        self.assertEqual(Code.MESSAGE_TOO_LARGE, delivered.code)

    async def test_unexpected_error_is_a_failure(self) -> None:
        """Guards against a feed that waits for ever for the answer to a call that has ended.

        An exception that the client does not know of ended the task of the call without an answer.
        """
        nested = b"[" * 5_000
        raw = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(nested), nested)
        for request in (ReadFeed(Feed.UPSTREAMS), WatchFeed(Feed.UPSTREAMS, 9, 100)):
            delivered = await self.call_store(lambda path: raw, request)
            assert isinstance(delivered, StoreFailed)
            self.assertEqual(Code.MESSAGE_MALFORMED, delivered.code)
            self.assertIn("RecursionError", delivered.reason)

    async def test_silent_store_times_out(self) -> None:
        """Guards against waiting forever on a connection on which the store no longer answers."""
        with mock.patch.object(store_module, "READ_TIMEOUT_MS", 80):
            delivered = await self.call_store(lambda path: None, ReadFeed(Feed.UPSTREAMS))
        assert isinstance(delivered, StoreFailed)
        self.assertIn("no answer within 80 ms", delivered.reason)

    async def test_slow_answer_is_read_while_it_arrives(self) -> None:
        """Guards against a page that is requested again and again on a link that it fills.

        An entry of a megabyte takes longer on a small link than the time limit of a request.
        """
        for pause_s, is_read in ((0.05, True), (0.4, False)):
            ended = asyncio.Event()

            async def serve(
                reader: asyncio.StreamReader,
                writer: asyncio.StreamWriter,
                pause_s: float = pause_s,
                ended: asyncio.Event = ended,
            ) -> None:
                await reader.readuntil(b"\r\n\r\n")
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\n")
                for _ in range(8):
                    await asyncio.sleep(pause_s)
                    writer.write(b"x")
                await wait_for_end(reader, writer)
                ended.set()

            server = await asyncio.start_server(serve, "127.0.0.1", 0)
            connection = HttpConnection(server.sockets[0].getsockname()[:2], 1_000)
            with mock.patch.object(http_client, "PART_TIMEOUT_MS", 200):
                if is_read:
                    self.assertEqual(b"x" * 8, (await connection.get("/", 200)).body)
                else:
                    with self.assertRaises(HttpError):
                        await connection.get("/", 200)
            connection.close()
            await asyncio.wait_for(ended.wait(), 5)
            server.close()

    async def test_dripping_answer_ends(self) -> None:
        """Guards against a call that a store holds for hours by a byte now and then."""

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 800\r\n\r\n")
            with contextlib.suppress(ConnectionError):
                while not writer.is_closing():
                    writer.write(b"x")
                    await asyncio.sleep(0.02)
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        connection = HttpConnection(server.sockets[0].getsockname()[:2], 1_000)
        with mock.patch.object(http_client, "MAX_RESPONSE_MS", 100), self.assertRaises(HttpError):
            await asyncio.wait_for(connection.get("/", 200), 3)
        await asyncio.sleep(0.05)
        server.close()

    async def test_endless_answer_is_aborted(self) -> None:
        """Guards against an answer without end that would fill the memory."""
        endless = b"HTTP/1.1 200 OK\r\nContent-Length: 9999999999\r\n\r\n" + b"x" * 300_000
        server = Server(lambda path: endless)
        address = await server.start()
        connection = HttpConnection(address, 100_000)
        with self.assertRaises(HttpError) as caught:
            await connection.get("/", 2_000)
        self.assertIn("100000", str(caught.exception))
        server.close()

    async def test_refused_connection_is_a_failure(self) -> None:
        """Guards against an unhandled error when the store is down at the start."""
        server = Server(lambda path: None)
        address = await server.start()
        server.close()
        with self.assertRaises(HttpError):
            await HttpConnection(address, 1_000).get("/", 500)
        self.assertGreater(http_client.CONNECT_TIMEOUT_MS, 0)


class PeerCopyTest(unittest.IsolatedAsyncioTestCase):
    """Tests the transfer of feed copies between processes."""

    async def test_copy_is_transferred_completely(self) -> None:
        """Guards against fields of a copy that are lost in the transfer."""
        state = FeedState(Feed.OPERATOR, 7, Configuration(3), ["bud-a"])
        server = await serve_feed_copies(("127.0.0.1", 0), lambda feed: state)
        address = server.sockets[0].getsockname()[:2]
        delivered = await fetch_feed_copy(address, Feed.OPERATOR)
        assert isinstance(delivered, FetchedFeed)
        self.assertEqual(state, delivered.state)
        server.close()

    async def test_invalid_and_missing_copies_are_failures(self) -> None:
        """Guards against unhandled errors when a copy is invalid or a peer does not answer.

        Deep nesting raises RecursionError, which ended the task of the fetch without an answer.
        """
        unknown_field = (
            msgspec.msgpack.encode([2, 3, [0, [], []], [], [], 0, [], 0, 0])[:-1] + b"\x91" * 5_000
        )
        for invalid in (b"\xff\x00", unknown_field):

            async def send_invalid(
                reader: asyncio.StreamReader, writer: asyncio.StreamWriter, copy: bytes = invalid
            ) -> None:
                await reader.read(1)  # unread bytes would reset the connection
                writer.write(copy)
                writer.close()

            invalid_server = await asyncio.start_server(send_invalid, "127.0.0.1", 0)
            delivered = await fetch_feed_copy(
                invalid_server.sockets[0].getsockname()[:2], Feed.OPERATOR
            )
            assert isinstance(delivered, FetchFailed)
            self.assertNotIn("ConnectionResetError", delivered.reason)
            invalid_server.close()

        async def keep_silent(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.read()  # until the client closes the connection
            writer.close()

        server = await asyncio.start_server(keep_silent, "127.0.0.1", 0)
        with mock.patch.object(peer_copies, "FETCH_TIMEOUT_MS", 80):
            delivered = await fetch_feed_copy(server.sockets[0].getsockname()[:2], Feed.OPERATOR)
        assert isinstance(delivered, FetchFailed)
        self.assertIn("no answer within 80 ms", delivered.reason)
        server.close()


class PageTest(unittest.IsolatedAsyncioTestCase):
    """Tests the HTTP server of the readiness and metrics pages."""

    async def test_pages_are_served_on_one_connection(self) -> None:
        """Guards against a server that cannot serve several probes on one connection.

        Unknown paths and pages that raise an exception must be answered too, and a request above
        the limit must end the connection.
        """
        pages = {"/ready": lambda: Page(503, "not ready\n"), "/faulty": lambda: Page(*())}
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
        server = await serve_pages(("127.0.0.1", 0), pages)
        reader, writer = await asyncio.open_connection(*server.sockets[0].getsockname()[:2])
        for path, status in (
            ("/ready", b"503"),
            ("/ready?x=1", b"503"),
            ("/other", b"404"),
            ("/faulty", b"500"),
        ):
            writer.write(f"GET {path} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
            head = await reader.readuntil(b"\r\n\r\n")
            self.assertEqual(status, head.split()[1])
            await reader.readline()
        writer.write(b"x" * 20_000)
        self.assertEqual(b"", await reader.read())
        writer.close()
        server.close()


if __name__ == "__main__":
    unittest.main()
