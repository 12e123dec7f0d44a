"""A proxy between processes on loopback that delays, loses, cuts, silences and resets."""

__all__ = ["Disturbance", "LoopbackProxy"]

import asyncio
import random
from contextlib import suppress

CHUNK = 65_536


class Disturbance:
    """What happens to traffic in one direction.

    Attributes:
        delay_ms: Longest delay of a datagram; each one is delayed by a random part of it.
        loss: Share of datagrams that are lost; 1 cuts the direction.
    """

    __slots__ = ("delay_ms", "loss")

    def __init__(self, delay_ms: int = 0, loss: float = 0.0) -> None:
        self.delay_ms = delay_ms
        self.loss = loss


class _Datagrams(asyncio.DatagramProtocol):
    def __init__(self, proxy: "LoopbackProxy", destination: str) -> None:
        self._proxy = proxy
        self._destination = destination

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Carries a datagram on."""
        self._proxy.carry(data, addr[0], self._destination)


class LoopbackProxy:
    """Stands at the public hosts of processes that listen at hosts of their own.

    Attributes:
        disturbances: By public source and destination.
        silent_stores: Public hosts whose connections to the store carry nothing.
    """

    def __init__(self, port: int, rng: random.Random) -> None:
        """Creates a proxy.

        Args:
            port: Port at which the processes listen to each other.
            rng: Decides which datagrams are lost, and delays.
        """
        self._port = port
        self._rng = rng
        self._real: dict[str, str] = {}
        self._public: dict[str, str] = {}
        self._transports: dict[str, asyncio.DatagramTransport] = {}
        self._servers: list[asyncio.AbstractServer] = []
        self._connections: dict[str, set[asyncio.StreamWriter]] = {}
        self.disturbances: dict[tuple[str, str], Disturbance] = {}
        self.silent_stores: set[str] = set()

    def real(self, host: str) -> str:
        """Returns the host at which the process behind a public host listens."""
        return self._real[host]

    async def add(self, host: str, real: str, store: tuple[str, int]) -> tuple[str, int]:
        """Stands between a process and all others.

        Args:
            host: Its public host.
            real: Where it listens.
            store: Address of the store.

        Returns:
            Where the process reaches the store.
        """
        if host in self._real:
            return (host, store[1])
        self._real[host] = real
        self._public[real] = host
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(
            lambda: _Datagrams(self, host), local_addr=(host, self._port)
        )
        self._transports[host] = transport
        await self._serve(host, self._port, (real, self._port), is_store=False)
        await self._serve(host, store[1], store, is_store=True)
        return (host, store[1])

    def carry(self, data: bytes, source: str, destination: str) -> None:
        """Carries a datagram from a real source to a public destination, or loses it."""
        public = self._public.get(source)
        if public is None:
            return
        disturbance = self.disturbances.get((public, destination))
        if disturbance is None:
            self._send(public, destination, data)
        elif self._rng.random() >= disturbance.loss:
            delay = self._rng.random() * disturbance.delay_ms / 1000
            asyncio.get_running_loop().call_later(delay, self._send, public, destination, data)

    def reset_store(self, host: str) -> None:
        """Resets a process's connections to the store."""
        for writer in self._connections.pop(host, set()):
            transport = writer.transport
            assert isinstance(transport, asyncio.Transport)
            transport.abort()

    def close(self) -> None:
        """Closes all sockets."""
        for transport in self._transports.values():
            transport.close()
        for server in self._servers:
            server.close()
        for host in list(self._connections):
            self.reset_store(host)

    def _send(self, public: str, destination: str, data: bytes) -> None:
        transport = self._transports[public]
        if not transport.is_closing():
            transport.sendto(data, (self._real[destination], self._port))

    async def _serve(self, host: str, port: int, target: tuple[str, int], is_store: bool) -> None:
        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await self._join(host, reader, writer, target, is_store)

        self._servers.append(await asyncio.start_server(serve, host, port))

    async def _join(
        self,
        host: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        target: tuple[str, int],
        is_store: bool,
    ) -> None:
        if is_store:
            self._connections.setdefault(host, set()).add(writer)
        with suppress(OSError):
            far_reader, far_writer = await asyncio.open_connection(*target)
            await asyncio.gather(
                self._pipe(host, reader, far_writer, is_store),
                self._pipe(host, far_reader, writer, is_store),
            )
        writer.close()

    async def _pipe(
        self,
        host: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        is_store: bool,
    ) -> None:
        with suppress(OSError):
            while data := await reader.read(CHUNK):
                # A silenced connection loses what it carries and stays open.
                if not (is_store and host in self.silent_stores):
                    writer.write(data)
                    await writer.drain()
        writer.close()
