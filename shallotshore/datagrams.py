"""UDP endpoint of a process: sends and receives datagrams, most of which carry a MAC."""

__all__ = ["MAX_DATAGRAM_BYTES", "DatagramEndpoint", "decode_datagram", "encode_datagram"]

import asyncio
import socket
from collections.abc import Callable

from result import Err, Ok, Result

from shallotshore import codec
from shallotshore.codec import Transport
from shallotshore.codes import Code
from shallotshore.messages import Address, Message
from shallotshore.security import MAC_BYTES, MacKeys, is_ip_address
from shallotshore.systems import Counters

MAX_DATAGRAM_BYTES = 65_507  # the largest payload of a UDP datagram over IPv4
_MAX_DATAGRAMS_PER_READ = 256  # after these, other work of the event loop gets its turn
_SOCKET_BUFFER_BYTES = 4 * 1024 * 1024  # requested from the kernel, which may grant less

DeliverMessage = Callable[[Address, Message], None]


def encode_datagram(message: Message, keys: MacKeys) -> Result[bytes, Code]:
    """Encodes a message as a datagram, with a MAC if messages of its kind are authenticated.

    Returns:
        The datagram, or MESSAGE_TOO_LARGE.
    """
    frame = codec.encode(message)
    if codec.transport_of(message) is Transport.AUTHENTICATED:
        frame += keys.sign(frame)
    return Ok(frame) if len(frame) <= MAX_DATAGRAM_BYTES else Err(Code.MESSAGE_TOO_LARGE)


def decode_datagram(frame: bytes, keys: MacKeys) -> Result[Message, Code]:
    """Decodes a datagram and verifies its MAC; refuses kinds that are not sent as datagrams.

    Returns:
        The message, or a code of the family MESSAGE_*.
    """
    transport = codec.transport_of_bytes(frame)
    if isinstance(transport, Err):
        return transport
    if transport.ok_value is Transport.PLAIN:
        return codec.decode(frame)
    if transport.ok_value is not Transport.AUTHENTICATED:
        return Err(Code.MESSAGE_KIND_UNKNOWN)
    if len(frame) <= MAC_BYTES:
        return Err(Code.MESSAGE_TRUNCATED)
    body, mac = frame[:-MAC_BYTES], frame[-MAC_BYTES:]
    if not keys.verify(body, mac):
        return Err(Code.MESSAGE_NOT_AUTHENTIC)
    return codec.decode(body)


class DatagramEndpoint:
    """One UDP socket; each turn of the event loop reads a batch of datagrams."""

    __slots__ = (
        "_address",
        "_allowed_plain_source",
        "_counters",
        "_deliver",
        "_keys",
        "_loop",
        "_socket",
    )

    def __init__(
        self,
        address: Address,
        keys: MacKeys,
        counters: Counters,
        deliver: DeliverMessage,
        allowed_plain_source: Address | None = None,
    ) -> None:
        """Creates a closed endpoint.

        Args:
            address: IP address and port to listen on.
            keys: Keys that sign and verify the MAC.
            counters: Counts datagrams that are received, refused or not sent.
            deliver: Called with the source and the message of every valid datagram.
            allowed_plain_source: The only address from which messages without a MAC are accepted,
                or None to accept them from every address.
        """
        self._address = address
        self._keys = keys
        self._counters = counters
        self._deliver = deliver
        self._allowed_plain_source = allowed_plain_source
        self._loop: asyncio.AbstractEventLoop | None = None
        self._socket: socket.socket | None = None

    async def start(self) -> None:
        """Binds the socket.

        Raises:
            OSError: The address cannot be bound.
        """
        family = socket.AF_INET6 if ":" in self._address[0] else socket.AF_INET
        endpoint = socket.socket(family, socket.SOCK_DGRAM)
        try:
            endpoint.setblocking(False)
            endpoint.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _SOCKET_BUFFER_BYTES)
            endpoint.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, _SOCKET_BUFFER_BYTES)
            endpoint.bind(self._address)
        except OSError:
            endpoint.close()
            raise
        self._socket = endpoint
        self._loop = asyncio.get_running_loop()
        self._loop.add_reader(endpoint.fileno(), self.read_datagrams, _MAX_DATAGRAMS_PER_READ)

    async def close(self) -> None:
        """Closes the socket; datagrams in its buffer are lost."""
        if self._socket is not None and self._loop is not None:
            self._loop.remove_reader(self._socket.fileno())
            self._socket.close()
            self._socket = None

    def send(self, destination: Address, message: Message) -> None:
        """Sends a message, which is dropped when it is too large or the send buffer is full."""
        encoded = encode_datagram(message, self._keys)
        if isinstance(encoded, Err):
            self._counters.add(f"datagrams.unsent.{encoded.err_value.name.lower()}")
            return
        if self._socket is None:
            return
        if not is_ip_address(destination[0]):
            self._counters.add("datagrams.unsent.no_ip_number")
            return
        try:
            self._socket.sendto(encoded.ok_value, destination)
        except OSError:
            self._counters.add("datagrams.unsent.socket")

    def read_datagrams(self, max_datagrams: int) -> None:
        """Reads datagrams from the socket's buffer and delivers their messages.

        Args:
            max_datagrams: Greatest number of datagrams to read.
        """
        for _ in range(max_datagrams):
            if self._socket is None:
                return
            try:
                frame, source = self._socket.recvfrom(MAX_DATAGRAM_BYTES)
            except BlockingIOError:
                return
            except OSError:
                # An ICMP error has arrived: the destination of an earlier datagram is unreachable.
                self._counters.add("datagrams.bounced")
                continue
            self._handle_datagram(frame, (source[0], source[1]))

    def _handle_datagram(self, frame: bytes, source: Address) -> None:
        decoded = decode_datagram(frame, self._keys)
        if isinstance(decoded, Err):
            self._counters.add(f"datagrams.refused.{decoded.err_value.name.lower()}")
            return
        message = decoded.ok_value
        plain = codec.transport_of(message) is Transport.PLAIN
        if plain and self._allowed_plain_source not in (None, source):
            self._counters.add("datagrams.refused.plain_source")
            return
        self._counters.add(f"datagrams.received.{type(message).__name__.lower()}")
        self._deliver(source, message)
