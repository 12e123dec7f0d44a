"""Transfers copies of feeds from one process to another over TCP."""

from __future__ import annotations

__all__ = ["fetch_feed_copy", "serve_feed_copies"]

import asyncio
import socket
from collections.abc import Callable
from typing import TYPE_CHECKING

import msgspec

from shallotshore.packets.record_decoding import decode_state
from shallotshore.packets.store_messages import FetchedFeed, FetchFailed
from shallotshore.packets.view import Feed, FeedState

if TYPE_CHECKING:
    from shallotshore.messages import Address

FETCH_TIMEOUT_MS = 600  # data centres are a few ms apart; a copy of 350 routes has 20 KB
MAX_COPY_BYTES = 32 << 20  # 150,000 upstreams take about 15 MB
_CHUNK_BYTES = 65_536
_FEEDS_BY_REQUEST = {bytes((feed,)): feed for feed in Feed}


async def serve_feed_copies(
    address: Address, get_state: Callable[[Feed], FeedState]
) -> asyncio.AbstractServer:
    """Starts a server for copies of feeds.

    A client sends one byte, the number of a feed. The server sends its copy of that feed, encoded
    by msgpack, and closes the connection.

    Args:
        address: IP address and port to listen on.
        get_state: Returns the present state of a feed.

    Raises:
        OSError: The address cannot be bound.
    """
    loop = asyncio.get_running_loop()
    return await loop.create_server(lambda: _CopyProtocol(get_state), *address)


async def fetch_feed_copy(source: Address, feed: Feed) -> FetchedFeed | FetchFailed:
    """Fetches another process's copy of a feed.

    Args:
        source: Address of the other process.
        feed: Which feed.

    Returns:
        The copy, or the reason why there is none.
    """
    try:
        async with asyncio.timeout(FETCH_TIMEOUT_MS / 1000):
            return FetchedFeed(*decode_state(await _read_all(source, bytes((feed,)))))
    except TimeoutError:
        return FetchFailed(feed, f"{source[0]}: no answer within {FETCH_TIMEOUT_MS} ms")
    except Exception as error:
        # The core waits for the answer to each fetch, whatever the other process has sent.
        return FetchFailed(feed, f"{source[0]}: {error!r}")


async def _read_all(source: Address, request: bytes) -> bytes:
    loop = asyncio.get_running_loop()
    received = bytearray()
    with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as connection:
        connection.setblocking(False)
        await loop.sock_connect(connection, source)
        await loop.sock_sendall(connection, request)
        while chunk := await loop.sock_recv(connection, _CHUNK_BYTES):
            received += chunk
            if len(received) > MAX_COPY_BYTES:
                raise OSError(f"copy above {MAX_COPY_BYTES} bytes")
    return bytes(received)


class _CopyProtocol(asyncio.Protocol):
    """Answers one request for a feed."""

    __slots__ = ("_get_state", "_transport")

    def __init__(self, get_state: Callable[[Feed], FeedState]) -> None:
        self._get_state = get_state
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keeps the transport of the new connection."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        """Sends the requested feed; data that is not a request aborts the connection."""
        assert self._transport is not None
        feed = _FEEDS_BY_REQUEST.get(data)
        if feed is None:
            self._transport.abort()
            return
        self._transport.write(msgspec.msgpack.encode(self._get_state(feed)))
        self._transport.close()
