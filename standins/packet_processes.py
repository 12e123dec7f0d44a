"""Runs balancers and agents as processes on loopback addresses, with stand-ins around them."""

__all__ = ["LoopbackFleet"]

import asyncio
import base64
import json
import os
import signal
import sys
import tempfile
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any
from urllib.parse import parse_qsl

from standins.loopback_proxy import LoopbackProxy
from standins.packet_client import PacketClient
from standins.packet_upstream import PacketUpstream
from standins.packet_world import decode_packet

ROOT = Path(__file__).resolve().parent.parent
NODE_PORT, CLIENT_PORT, UPSTREAM_PORT, OUTBOUND_PORT, READY_PORT = 7720, 8172, 8080, 8162, 8167
STORE_ADDRESS = ("127.0.3.1", 8169)
VIP = ("198.18.0.1", 443)
CLIENT_HOST = "127.0.9.1"
SERVICE = "spend"
STORE_PAGE_ENTRIES = 500
STORE_PAGE_BYTES = 1_000_000


class _DatagramReceiver(asyncio.DatagramProtocol):
    def __init__(self, on_datagram: Callable[[bytes], None]) -> None:
        self._on_datagram = on_datagram

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Passes a datagram to the callback."""
        self._on_datagram(data)


class LoopbackFleet:
    """Balancers and agents as child processes; store, upstreams and clients run in this process.

    The child processes run `platform/run.py`. With a proxy, each listens at a host other than
    its public one, and they reach each other and the store only through the proxy; the methods of
    this class take public hosts.

    Attributes:
        upstreams: Stand-ins of upstreams by public host.
        log_lines: Log lines of all child processes, as decoded JSON objects.
        release_folders: Folders of other releases from which hosts run their processes.
    """

    def __init__(self, proxy: LoopbackProxy | None = None, seeds: Sequence[str] = ()) -> None:
        """Creates a fleet without processes.

        Args:
            proxy: Carries all traffic between the processes, and to the store.
            seeds: Hosts that may run balancers; without any, each balancer is on its own.
        """
        self._proxy = proxy
        self._seeds = seeds
        self.upstreams: dict[str, PacketUpstream] = {}
        self.log_lines: list[dict[str, Any]] = []
        self.release_folders: dict[str, Path] = {}
        # All writes to the store: revision, key, and content; None for a removal.
        self._writes: list[tuple[int, str, object]] = []
        self._store_entries: dict[str, tuple[int, object]] = {}
        self._revision = 0
        self._era = 0
        self._is_store_down = False
        self._processes: dict[str, asyncio.subprocess.Process] = {}
        self._log_readers: list[asyncio.Task[None]] = []
        self._clients: dict[int, PacketClient] = {}
        self._ingress_balancers: dict[int, str] = {}
        self._transports: list[asyncio.DatagramTransport] = []
        self._settings_folder = tempfile.TemporaryDirectory()

    async def start(self) -> None:
        """Starts the store and opens the socket of the clients."""
        self._loop = asyncio.get_running_loop()
        self._store_server = await asyncio.start_server(self._serve_store, *STORE_ADDRESS)
        self._client_socket = await self._bind_socket(
            (CLIENT_HOST, CLIENT_PORT), self._deliver_to_client
        )

    async def close(self) -> None:
        """Kills the child processes, each by its own id, and closes all sockets."""
        for process in self._processes.values():
            if process.returncode is None:
                process.kill()
                await process.wait()
        for reader in self._log_readers:
            reader.cancel()
        for transport in self._transports:
            transport.close()
        self._store_server.close()
        if self._proxy is not None:
            self._proxy.close()
        self._settings_folder.cleanup()

    def publish(self, key: str, value: object) -> None:
        """Writes an entry to the store.

        Args:
            key: Key of the entry.
            value: Content: the bytes as they are, or any other value as JSON.
        """
        self._revision += 1
        self._writes.append((self._revision, key, value))
        self._store_entries[key] = (self._revision, value)

    @property
    def is_store_down(self) -> bool:
        """Whether the store answers all requests by status 503."""
        return self._is_store_down

    async def restore_store(
        self, lost_revisions: int, down_s: float, keeps_watches: bool = False
    ) -> dict[str, object]:
        """Lets the store fail for a moment and come back from a copy, in a new era.

        Args:
            lost_revisions: Number of the newest writes that are lost.
            down_s: How long the store answers all requests by status 503, in s.
            keeps_watches: Whether pending watches are answered in the new era.

        Returns:
            The newest lost content by key; None for a lost removal.
        """
        self._is_store_down = not keeps_watches
        await asyncio.sleep(down_s)
        self._revision -= min(lost_revisions, self._revision)
        lost = {key: value for at, key, value in self._writes if at > self._revision}
        self._writes = [write for write in self._writes if write[0] <= self._revision]
        self._store_entries = {key: (at, value) for at, key, value in self._writes}
        self._era += 1
        self._is_store_down = False
        return lost

    async def start_balancer(self, host: str) -> None:
        """Starts the balancer of a host, or restarts it after it ended."""
        await self._start_process("balancer", host)

    async def start_agent(self, host: str) -> None:
        """Starts the agent of a host, and its upstream unless the upstream already runs."""
        if host not in self.upstreams:
            listen_host = self._listen_host(host)
            to_agent = await self._bind_socket(
                (listen_host, UPSTREAM_PORT), lambda data: self._deliver_to_upstream(host, data)
            )
            upstream = PacketUpstream(
                lambda frame: to_agent.sendto(frame, (listen_host, OUTBOUND_PORT)),
                self._call_later,
                seed=host,
            )
            self.upstreams[host] = upstream
        await self._start_process("agent", host)

    def send_signal(self, host: str, number: int) -> None:
        """Sends a signal to the child process of a host."""
        self._processes[host].send_signal(number)

    async def stop(self, host: str, number: int = signal.SIGTERM) -> int:
        """Sends a signal to the process of a host, waits for its end, returns the exit status."""
        process = self._processes[host]
        process.send_signal(number)
        return await process.wait()

    def open_flow(self, port: int, balancer: str, vip: tuple[str, int] = VIP) -> PacketClient:
        """Starts a client that opens a flow.

        Args:
            port: Port of the client.
            balancer: Host of the balancer that gets the client's packets; `move_client` changes it.
            vip: Virtual address that the flow is opened to.
        """
        client = PacketClient(
            (CLIENT_HOST, port),
            vip,
            lambda frame: self._send_from_client(port, frame),
            self._call_later,
        )
        self._clients[port] = client
        self._ingress_balancers[port] = balancer
        client.send_opening_packets()
        return client

    def move_client(self, port: int, balancer: str) -> None:
        """Sends all further packets of the client with this port to another balancer."""
        self._ingress_balancers[port] = balancer

    async def wait_until(self, condition: Callable[[], object], seconds: float = 5.0) -> bool:
        """Waits for a condition, at most for a time in s, and returns whether it came true."""
        for _ in range(int(seconds / 0.02)):
            if condition():
                return True
            await asyncio.sleep(0.02)
        return bool(condition())

    async def wait_until_balancer_ready(self, host: str, seconds: float = 10.0) -> bool:
        """Waits until a balancer reports ready, as the platform's routers do.

        Args:
            host: Host of the balancer.
            seconds: Longest time to wait, in s.

        Returns:
            Whether the balancer became ready in time.
        """
        for _ in range(int(seconds / 0.05)):
            status, _ = await self.get(host, READY_PORT, "/api/ready")
            if status == 200:
                return True
            await asyncio.sleep(0.05)
        return False

    def save_log_lines(self, path: Path) -> None:
        """Writes the log lines of all processes, one JSON object a line, ordered by timestamp."""
        ordered = sorted(self.log_lines, key=lambda line: str(line["timestamp"]))
        path.parent.mkdir(parents=True, exist_ok=True)
        path.write_text("".join(json.dumps(line) + "\n" for line in ordered))

    async def get(self, host: str, port: int, path: str) -> tuple[int, str]:
        """Fetches a page by HTTP and returns (status, text); status 0 means no connection."""
        try:
            reader, writer = await asyncio.open_connection(self._listen_host(host), port)
        except OSError:
            return 0, ""
        writer.write(f"GET {path} HTTP/1.1\r\nHost: {host}\r\nConnection: close\r\n\r\n".encode())
        answer = await reader.read()
        writer.close()
        head, _, text = answer.partition(b"\r\n\r\n")
        return int(head.split()[1]), text.decode()

    def _listen_host(self, host: str) -> str:
        """Returns the host at which the process with a public host listens."""
        prefix, _, network, number = host.split(".")
        return host if self._proxy is None else f"{prefix}.1.{network}.{number}"

    async def _start_process(self, role: str, host: str) -> None:
        listen_host, store = self._listen_host(host), STORE_ADDRESS
        if self._proxy is not None:
            store = await self._proxy.add_process(host, listen_host, STORE_ADDRESS)
        settings = {
            "name": f"{role}-{host}",
            "data_centre": "bud-a",
            "host": host,
            "bind_host": listen_host,
            "client_address": f"{listen_host}:{CLIENT_PORT}",
            "upstream_address": f"{listen_host}:{UPSTREAM_PORT}",
            "outbound_address": f"{listen_host}:{OUTBOUND_PORT}",
            "service": SERVICE,
            "ready_address": f"{listen_host}:{READY_PORT}",
            "node_port": NODE_PORT,
            "seeds": [f"{seed}:{READY_PORT}" for seed in self._seeds],
            "store_address": f"{store[0]}:{store[1]}",
        }
        path = Path(self._settings_folder.name) / f"{host}.json"
        path.write_text(json.dumps(settings))
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "platform/run.py",
            role,
            cwd=self.release_folders.get(host, ROOT),
            env={**os.environ, "SHALLOTSHORE_NODE_FILE": str(path)},
            stdout=asyncio.subprocess.PIPE,
        )
        self._processes[host] = process
        self._log_readers.append(asyncio.ensure_future(self._read_log_lines(process)))

    async def _read_log_lines(self, process: asyncio.subprocess.Process) -> None:
        assert process.stdout is not None
        while line := await process.stdout.readline():
            self.log_lines.append(json.loads(line))

    async def _bind_socket(
        self, address: tuple[str, int], on_datagram: Callable[[bytes], None]
    ) -> asyncio.DatagramTransport:
        transport, _ = await self._loop.create_datagram_endpoint(
            lambda: _DatagramReceiver(on_datagram), local_addr=address
        )
        self._transports.append(transport)
        return transport

    def _now_ms(self) -> int:
        return int(self._loop.time() * 1000)

    def _call_later(self, delay: int, action: Callable[[], object]) -> None:
        self._loop.call_later(delay / 1000, action)

    def _deliver_to_upstream(self, host: str, data: bytes) -> None:
        self.upstreams[host].receive_packet(data, self._now_ms())

    def _send_from_client(self, port: int, frame: bytes) -> None:
        self._client_socket.sendto(
            frame, (self._listen_host(self._ingress_balancers[port]), CLIENT_PORT)
        )

    def _deliver_to_client(self, data: bytes) -> None:
        packet = decode_packet(data, is_from_upstream=True).unwrap()
        client = self._clients.get(packet.client[1])
        if client is not None:
            client.receive_packet(data, self._now_ms())

    async def _serve_store(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while head := await reader.readline():
                while (await reader.readline()).strip():
                    pass
                status, page = await self._build_store_reply(head.split()[1].decode())
                text = json.dumps(page).encode()
                era = b"Store-Era: %d\r\n" % self._era if self._era else b""
                writer.write(
                    b"HTTP/1.1 %d -\r\n%sContent-Length: %d\r\n\r\n%s"
                    % (status, era, len(text), text)
                )
        except (ConnectionError, asyncio.CancelledError):
            return
        finally:
            writer.close()

    async def _build_store_reply(self, target: str) -> tuple[int, dict[str, object]]:
        """Returns the status and the page that answer a request."""
        path, _, text = target.partition("?")
        query = dict(parse_qsl(text))
        if path.endswith("range") and not self._is_store_down:
            return 200, self._build_page(query["prefix"], query.get("after", ""))
        after = int(query.get("after") or 0) if not path.endswith("range") else 0
        if after > self._revision and not self._is_store_down:
            return 410, {}
        for _ in range(int(query.get("waitMs", 0)) // 20):
            if self._is_store_down or self._select_entries(query["prefix"], after):
                break
            await asyncio.sleep(0.02)
        if self._is_store_down:
            return 503, {}
        events = self._select_entries(query["prefix"], after)
        return 200, {"events": events, "currentRev": self._revision}

    def _build_page(self, prefix: str, after: str) -> dict[str, object]:
        """Returns the page after a key: about `STORE_PAGE_BYTES`, and at least one entry."""
        left = [one for one in self._select_entries(prefix, 0) if str(one["key"]) > after]
        left.sort(key=lambda one: str(one["key"]))
        page: list[dict[str, object]] = []
        size = 0
        for one in left[:STORE_PAGE_ENTRIES]:
            size += len(str(one["value"]))
            if page and size > STORE_PAGE_BYTES:
                break
            page.append(one)
        return {
            "items": page,
            "hasMore": len(page) < len(left),
            "currentRev": self._revision,
        }

    def _select_entries(self, prefix: str, after: int) -> list[dict[str, object]]:
        return [
            {"key": key, "rev": revision, "value": base64.b64encode(_to_bytes(value)).decode()}
            for key, (revision, value) in self._store_entries.items()
            if key.startswith(prefix) and revision > after
        ]


def _to_bytes(value: object) -> bytes:
    """Returns the content of an entry as the store keeps it."""
    return value if isinstance(value, bytes) else json.dumps(value).encode()
