"""A loopback proxy that delays or drops datagrams, and silences or resets store connections."""

__all__ = ["Disturbance", "LoopbackProxy"]

import asyncio
import random
from contextlib import suppress

CHUNK_BYTES = 65_536


class Disturbance:
    """Impairment of the datagrams from one process to another.

    Attributes:
        max_delay_ms: Upper bound of the delay in ms; a datagram is delayed by a random part of it.
        loss: Share of datagrams that are dropped, from 0 to 1; 1 cuts the direction.
    """

    __slots__ = ("loss", "max_delay_ms")

    def __init__(self, max_delay_ms: int = 0, loss: float = 0.0) -> None:
        self.max_delay_ms = max_delay_ms
        self.loss = loss


class _ForwardingProtocol(asyncio.DatagramProtocol):
    def __init__(self, proxy: "LoopbackProxy", destination: str) -> None:
        self._proxy = proxy
        self._destination = destination

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Forwards a datagram."""
        self._proxy.forward_datagram(data, addr[0], self._destination)


class LoopbackProxy:
    """Receives traffic at the public hosts of processes and relays it to where they listen.

    The processes reach each other and the store only through the proxy.

    Attributes:
        disturbances: Disturbance by (source, destination), both as public hosts.
        silenced_store_hosts: Public hosts of processes whose connections to the store stay open
            but lose all data.
    """

    def __init__(self, port: int, rng: random.Random) -> None:
        """Creates a proxy.

        Args:
            port: Port at which every process listens for its peers.
            rng: Source of randomness for losses and delays.
        """
        self._port = port
        self._rng = rng
        self._listen_hosts: dict[str, str] = {}
        self._public_hosts: dict[str, str] = {}
        self._transports: dict[str, asyncio.DatagramTransport] = {}
        self._servers: list[asyncio.AbstractServer] = []
        self._store_connections: dict[str, set[asyncio.StreamWriter]] = {}
        self.disturbances: dict[tuple[str, str], Disturbance] = {}
        self.silenced_store_hosts: set[str] = set()

    def listen_host(self, host: str) -> str:
        """Returns the host at which the process behind a public host listens."""
        return self._listen_hosts[host]

    async def add_process(
        self, host: str, listen_host: str, store: tuple[str, int]
    ) -> tuple[str, int]:
        """Starts to relay between a process and its peers and the store.

        Args:
            host: Public host of the process.
            listen_host: Host at which the process itself listens.
            store: Address of the store.

        Returns:
            Address at which the process reaches the store through the proxy.
        """
        if host in self._listen_hosts:
            return (host, store[1])
        self._listen_hosts[host] = listen_host
        self._public_hosts[listen_host] = host
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(
            lambda: _ForwardingProtocol(self, host), local_addr=(host, self._port)
        )
        self._transports[host] = transport
        await self._start_server(host, self._port, (listen_host, self._port), is_store=False)
        await self._start_server(host, store[1], store, is_store=True)
        return (host, store[1])

    def forward_datagram(self, data: bytes, source: str, destination: str) -> None:
        """Forwards a datagram, subject to the disturbance of its direction.

        Args:
            data: Datagram as received.
            source: Host at which the sender listens; a datagram of an unknown sender is dropped.
            destination: Public host of the receiver.
        """
        public_host = self._public_hosts.get(source)
        if public_host is None:
            return
        disturbance = self.disturbances.get((public_host, destination))
        if disturbance is None:
            self._send_datagram(public_host, destination, data)
        elif self._rng.random() >= disturbance.loss:
            delay_s = self._rng.random() * disturbance.max_delay_ms / 1000
            asyncio.get_running_loop().call_later(
                delay_s, self._send_datagram, public_host, destination, data
            )

    def reset_store_connections(self, host: str) -> None:
        """Resets the store connections of the process with this public host."""
        for writer in self._store_connections.pop(host, set()):
            transport = writer.transport
            assert isinstance(transport, asyncio.Transport)
            transport.abort()

    def close(self) -> None:
        """Closes all sockets."""
        for transport in self._transports.values():
            transport.close()
        for server in self._servers:
            server.close()
        for host in list(self._store_connections):
            self.reset_store_connections(host)

    def _send_datagram(self, public_host: str, destination: str, data: bytes) -> None:
        transport = self._transports[public_host]
        if not transport.is_closing():
            transport.sendto(data, (self._listen_hosts[destination], self._port))

    async def _start_server(
        self, host: str, port: int, target: tuple[str, int], is_store: bool
    ) -> None:
        async def accept_connection(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await self._relay_connection(host, reader, writer, target, is_store)

        self._servers.append(await asyncio.start_server(accept_connection, host, port))

    async def _relay_connection(
        self,
        host: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        target: tuple[str, int],
        is_store: bool,
    ) -> None:
        if is_store:
            self._store_connections.setdefault(host, set()).add(writer)
        with suppress(OSError):
            target_reader, target_writer = await asyncio.open_connection(*target)
            await asyncio.gather(
                self._copy_stream(host, reader, target_writer, is_store),
                self._copy_stream(host, target_reader, writer, is_store),
            )
        writer.close()

    async def _copy_stream(
        self,
        host: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        is_store: bool,
    ) -> None:
        with suppress(OSError):
            while data := await reader.read(CHUNK_BYTES):
                # Data of a silenced connection is dropped, while the connection stays open.
                if not (is_store and host in self.silenced_store_hosts):
                    writer.write(data)
                    await writer.drain()
        writer.close()
