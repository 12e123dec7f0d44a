"""A small HTTP server for readiness probes and metrics, with a fixed set of paths."""

from __future__ import annotations

__all__ = ["Page", "serve_pages"]

import asyncio
from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING, NamedTuple

import httptools

if TYPE_CHECKING:
    from shallotshore.messages import Address

MAX_REQUEST_BYTES = 8_192  # a probe sends less than 200
_REASONS = {200: "OK", 404: "Not Found", 500: "Internal Error", 503: "Service Unavailable"}


class Page(NamedTuple):
    """An HTTP response: its status and its body as text."""

    status: int
    text: str


async def serve_pages(
    address: Address, pages: Mapping[str, Callable[[], Page]]
) -> asyncio.AbstractServer:
    """Starts an HTTP server.

    Args:
        address: IP address and port to listen on.
        pages: For each path, the function that builds its page.

    Raises:
        OSError: The address cannot be bound.
    """
    loop = asyncio.get_running_loop()
    return await loop.create_server(lambda: _RequestProtocol(pages), *address)


class _RequestProtocol(asyncio.Protocol):
    """Parses requests and sends the page of each."""

    __slots__ = ("_pages", "_parser", "_path", "_received_bytes", "_transport")

    def __init__(self, pages: Mapping[str, Callable[[], Page]]) -> None:
        self._pages = pages
        self._parser = httptools.HttpRequestParser(self)
        self._path = b""
        self._received_bytes = 0
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keeps the transport of the new connection."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        """Parses received data; bad or too long requests close the connection."""
        assert self._transport is not None
        self._received_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self._transport.abort()
            return
        if self._received_bytes > MAX_REQUEST_BYTES:
            self._transport.abort()

    def on_message_begin(self) -> None:
        """Starts a new request."""
        self._path = b""

    def on_url(self, url: bytes) -> None:
        """Appends a part of the path."""
        self._path += url

    def on_message_complete(self) -> None:
        """Sends the page of the requested path."""
        assert self._transport is not None
        self._received_bytes = 0
        path = self._path.partition(b"?")[0].decode("latin-1")
        build = self._pages.get(path)
        page = self._build_page(build, path) if build is not None else Page(404, "unknown path\n")
        body = page.text.encode()
        is_kept_alive = self._parser.should_keep_alive()
        head = (
            f"HTTP/1.1 {page.status} {_REASONS[page.status]}\r\n"
            "Content-Type: text/plain; version=0.0.4; charset=utf-8\r\n"
            f"Content-Length: {len(body)}\r\n"
            f"Connection: {'keep-alive' if is_kept_alive else 'close'}\r\n\r\n"
        )
        self._transport.write(head.encode("ascii") + body)
        if not is_kept_alive:
            self._transport.close()

    def _build_page(self, build: Callable[[], Page], path: str) -> Page:
        """Builds a page, or one that reports the exception, so that every request is answered."""
        try:
            return build()
        except Exception as error:
            context = {"message": f"page {path} cannot be built", "exception": error}
            asyncio.get_running_loop().call_exception_handler(context)
            return Page(500, f"{error!r}\n")
