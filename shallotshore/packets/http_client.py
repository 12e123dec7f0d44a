"""An HTTP connection that is kept open between requests; each request has its own timeout."""

from __future__ import annotations

__all__ = ["BodyTooLargeError", "HttpConnection", "HttpError", "HttpResponse"]

import asyncio
import errno
import socket
from typing import TYPE_CHECKING

import httptools

if TYPE_CHECKING:
    from shallotshore.messages import Address

CONNECT_TIMEOUT_MS = 400  # data centres are a few ms apart
# A page of 1.4 MB takes over 2 s on a link of 5 Mbit/s. A request that fails while its response
# arrives would be repeated, and fill the link.
PART_TIMEOUT_MS = 1_000  # from one part of a response to the next
MAX_RESPONSE_MS = 10_000  # after the time limit of the request
# Keep-alive probes end a connection whose peer is cut off, while a response is awaited.
KEEP_ALIVE_IDLE_S = 1
KEEP_ALIVE_INTERVAL_S = 1
KEEP_ALIVE_PROBES = 1
MAX_HEADERS = 64  # of a response; later ones are left out
_STATUS_OK = 200


class HttpResponse:
    """A complete response.

    Attributes:
        status: HTTP status.
        headers: Values of the headers by name in lower case.
        body: The body.
    """

    __slots__ = ("body", "headers", "status")

    def __init__(self, status: int, headers: dict[str, str], body: bytes) -> None:
        self.status = status
        self.headers = headers
        self.body = body


class HttpError(Exception):
    """A request failed: there was no response, or not a successful one.

    Attributes:
        status: HTTP status of the response; 0 if there was none.
        headers: Values of the headers of the response by name in lower case.
    """

    def __init__(self, status: int, reason: str, headers: dict[str, str] | None = None) -> None:
        super().__init__(reason)
        self.status = status
        self.headers = headers or {}


class BodyTooLargeError(HttpError):
    """The body of a response is longer than the limit."""

    def __init__(self, limit_bytes: int) -> None:
        super().__init__(0, f"body above {limit_bytes} bytes")


class HttpConnection:
    """One connection that serves one request at a time."""

    __slots__ = ("_address", "_max_body_bytes", "_protocol")

    def __init__(self, address: Address, max_body_bytes: int) -> None:
        """Creates a closed connection.

        Args:
            address: IP address and port of the server.
            max_body_bytes: Greatest size of a response body.
        """
        self._address = address
        self._max_body_bytes = max_body_bytes
        self._protocol: _ResponseProtocol | None = None

    async def get(self, path: str, timeout_ms: int) -> HttpResponse:
        """Sends a GET request and returns the response.

        Args:
            path: Path and query.
            timeout_ms: Time limit for connecting and for the response. A response that arrives by
                then may take longer, as long as each part follows within PART_TIMEOUT_MS.

        Raises:
            BodyTooLargeError: The body is longer than the limit.
            HttpError: There was no response, or its status was not 200.
        """
        try:
            async with asyncio.timeout(timeout_ms / 1000) as limit:
                protocol = await self._connect()
                response = await protocol.request(path, self._address, _Deadline(limit))
        except TimeoutError:
            self.close()
            raise HttpError(0, f"no answer within {timeout_ms} ms") from None
        except (asyncio.CancelledError, BodyTooLargeError):
            self.close()
            raise
        except (OSError, httptools.HttpParserError) as error:
            self.close()
            raise HttpError(0, repr(error)) from None
        if response.status != _STATUS_OK:
            raise HttpError(response.status, f"status {response.status}", response.headers)
        return response

    def close(self) -> None:
        """Closes the connection; the next request opens a new one."""
        if self._protocol is not None:
            self._protocol.abort()
            self._protocol = None

    async def _connect(self) -> _ResponseProtocol:
        if self._protocol is None or self._protocol.is_closed:
            self.close()
            loop = asyncio.get_running_loop()
            async with asyncio.timeout(CONNECT_TIMEOUT_MS / 1000):
                transport, self._protocol = await loop.create_connection(
                    lambda: _ResponseProtocol(self._max_body_bytes),
                    *self._address,
                    family=socket.AF_INET,
                )
            _enable_keep_alive(transport.get_extra_info("socket"))
        return self._protocol


def _enable_keep_alive(connection: socket.socket) -> None:
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEP_ALIVE_IDLE_S)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEP_ALIVE_INTERVAL_S)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEP_ALIVE_PROBES)


class _Deadline:
    """The time limit of a request, which moves while the response arrives."""

    __slots__ = ("_latest", "_limit")

    def __init__(self, limit: asyncio.Timeout) -> None:
        self._limit = limit
        self._latest = (limit.when() or 0.0) + MAX_RESPONSE_MS / 1000

    def extend(self) -> None:
        """Allows PART_TIMEOUT_MS for the next part of the response."""
        now = asyncio.get_running_loop().time()
        when = self._limit.when()
        if when is not None and when > now:
            self._limit.reschedule(max(when, min(self._latest, now + PART_TIMEOUT_MS / 1000)))


class _ResponseProtocol(asyncio.Protocol):
    """Sends a request and collects its response, one at a time."""

    __slots__ = (
        "_body",
        "_deadline",
        "_headers",
        "_max_body_bytes",
        "_parser",
        "_pending_response",
        "_transport",
        "is_closed",
    )

    def __init__(self, max_body_bytes: int) -> None:
        self._max_body_bytes = max_body_bytes
        self._transport: asyncio.Transport | None = None
        self._parser: httptools.HttpResponseParser | None = None
        self._body = bytearray()
        self._headers: dict[str, str] = {}
        self._deadline: _Deadline | None = None
        self._pending_response: asyncio.Future[HttpResponse] | None = None
        self.is_closed = False

    async def request(self, path: str, address: Address, deadline: _Deadline) -> HttpResponse:
        """Sends a GET request and returns its response."""
        assert self._transport is not None
        self._deadline = deadline
        self._parser = httptools.HttpResponseParser(self)
        self._body.clear()
        self._headers = {}
        self._pending_response = asyncio.get_running_loop().create_future()
        head = f"GET {path} HTTP/1.1\r\nHost: {address[0]}:{address[1]}\r\n\r\n"
        self._transport.write(head.encode("ascii"))
        return await self._pending_response

    def abort(self) -> None:
        """Closes the connection at once; unsent data is dropped."""
        self.is_closed = True
        if self._transport is not None:
            self._transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keeps the transport of the new connection."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        """Parses received data; data that is not HTTP fails the pending request.

        Data without a pending request, such as a second copy of a response, aborts the connection,
        since the next request could take the data for its own response.
        """
        if self._parser is None or self._pending_response is None or self._pending_response.done():
            self.abort()
            return
        if self._deadline is not None:
            self._deadline.extend()
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            self._fail_request(error)

    def connection_lost(self, exc: Exception | None) -> None:
        """Fails the pending request."""
        self.is_closed = True
        self._fail_request(exc or ConnectionResetError(errno.ECONNRESET, "connection closed"))

    def on_message_begin(self) -> None:
        """Aborts the connection when a second response begins in the same data."""
        if self._pending_response is not None and self._pending_response.done():
            self.abort()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keeps a header of the response."""
        if len(self._headers) < MAX_HEADERS:
            self._headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_body(self, body: bytes) -> None:
        """Appends a part of the body; a body above the limit fails the request."""
        self._body += body
        if len(self._body) > self._max_body_bytes:
            self._fail_request(BodyTooLargeError(self._max_body_bytes))
            self.abort()

    def on_message_complete(self) -> None:
        """Completes the pending request with the status and body received."""
        if (
            self._pending_response is not None
            and not self._pending_response.done()
            and self._parser is not None
        ):
            status = self._parser.get_status_code()
            response = HttpResponse(status, self._headers, bytes(self._body))
            self._pending_response.set_result(response)
            self._headers = {}  # a second response in the same data has headers of its own
            if not self._parser.should_keep_alive():
                self.abort()

    def _fail_request(self, error: Exception) -> None:
        if self._pending_response is not None and not self._pending_response.done():
            self._pending_response.set_exception(error)
