"""A small deployment for the scripts of the second review, on loopback and the real clock.

Balancers and agents are started by the commands of the deploy file. Store, routers, servers and
clients are stand-ins that run in this process.
"""

from __future__ import annotations

__all__ = [
    "SERVICE",
    "VIP",
    "Fleet",
    "Server",
    "Store",
    "count_worst_second",
    "make_requests",
    "run_case",
]

import asyncio
import base64
import itertools
import json
import os
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable, Sequence
from pathlib import Path
from typing import Any
from urllib.parse import parse_qsl

ROOT = Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT / "platform")]

from shallotshore.hashing import flow_key  # noqa: E402
from standins.packet_client import PacketClient  # noqa: E402  its import needs the path
from standins.packet_upstream import PacketUpstream  # noqa: E402
from standins.packet_world import decode_packet  # noqa: E402

VIP = ("127.251.0.1", 443)  # only a value in packets; nothing is sent to it
ATTEMPT_MS = 1_400  # "If no SYN+ACK has arrived after 1.4 s" (PROTOCOL.md, Flows)
MAX_CASE_S = 110
COLD_FACTOR = 1.6
SERVICE = "docvault"
ZONE = "suva-a"
HEARTBEAT_MS = 770  # `heartbeatMs` of the settings in DEPLOY.md
PROBE_INTERVAL_S = 0.5  # "twice per second" (PROTOCOL.md, Ingress)
MAX_MISSES = 2
RESTART_DELAY_S = 0.3  # "restarted after a short delay" (DEPLOY.md, Ends)
STORE_DELAY_S = 0.004  # "4 ms an answer" (SYSTEM.md)
WINDOW_MS = 1_000  # "in one second" (RULES.md, FAILBACK)
FIRST_PORT = 20_000  # of the clients
PORT_NAMES = ("node", "client", "app", "outbound", "ready", "store", "control")


def now_ms() -> int:
    """Returns the steady time in ms."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000


def _find_free_ports(count: int) -> list[int]:
    probes = [socket.socket() for _ in range(count)]
    for probe in probes:
        probe.bind(("127.0.0.1", 0))
    ports = [probe.getsockname()[1] for probe in probes]
    for probe in probes:
        probe.close()
    return ports


class Store:
    """The platform's store: linearizable reads and watches; nothing acknowledged is lost."""

    def __init__(self) -> None:
        self.revision = 100
        self._items: dict[str, tuple[int, bytes]] = {}
        self._events: list[tuple[int, str, bytes | None]] = []
        self._changed = asyncio.Condition()

    async def put(self, key: str, value: object) -> None:
        """Writes an item."""
        self.revision += 1
        content = value if isinstance(value, bytes) else json.dumps(value).encode()
        self._items[key] = (self.revision, content)
        await self._append(key, content)

    async def remove(self, key: str) -> None:
        """Removes an item, if there is one."""
        if self._items.pop(key, None) is not None:
            self.revision += 1
            await self._append(key, None)

    async def _append(self, key: str, content: bytes | None) -> None:
        self._events.append((self.revision, key, content))
        async with self._changed:
            self._changed.notify_all()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answers the requests of one connection."""
        try:
            while head := await reader.readline():
                while (await reader.readline()).strip():
                    pass
                path, _, text = head.split()[1].decode().partition("?")
                query = dict(parse_qsl(text))
                await asyncio.sleep(STORE_DELAY_S)
                if path.endswith("kv-watch"):
                    page = await self._watch(query)
                else:
                    page = self._read(query)
                body = json.dumps(page).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n")
                writer.write(b"Content-Length: %d\r\n\r\n%s" % (len(body), body))
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    def _read(self, query: dict[str, str]) -> dict[str, object]:
        keys = sorted(
            key
            for key in self._items
            if key.startswith(query["prefix"]) and key > query.get("after", "")
        )
        items = [_item(key, *self._items[key]) for key in keys]
        return {"items": items, "hasMore": False, "currentRev": self.revision}

    async def _watch(self, query: dict[str, str]) -> dict[str, object]:
        def select() -> list[dict[str, object]]:
            return [
                (
                    {"key": key, "rev": rev, "tombstone": True}
                    if content is None
                    else _item(key, rev, content)
                )
                for rev, key, content in self._events
                if rev > int(query["after"]) and key.startswith(query["prefix"])
            ]

        try:
            async with asyncio.timeout(int(query["waitMs"]) / 1000), self._changed:
                await self._changed.wait_for(select)
        except TimeoutError:
            pass
        return {"events": select(), "currentRev": self.revision}


def _item(key: str, rev: int, content: bytes) -> dict[str, object]:
    text = base64.b64encode(content).decode()
    return {"key": key, "value": text, "rev": rev, "createdRev": rev, "lease": 0}


class _Receiver(asyncio.DatagramProtocol):
    def __init__(self, on_datagram: Callable[[bytes], None]) -> None:
        self._on_datagram = on_datagram

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        self._on_datagram(data)


class Server:
    """A server beside an agent, with its entry in the store.

    Attributes:
        taken: (key of the flow, when its opening packet arrived first, in ms) of each flow that
            opened here.
        cold_spans: Spans in ms in which the server was cold.
    """

    def __init__(
        self, fleet: Fleet, host: str, name: str, service: str, slots: int, zone: str
    ) -> None:
        self.fleet, self.host, self.name, self.service = fleet, host, name, service
        self.zone = zone
        self.taken: list[tuple[int, int]] = []
        self.cold_spans: list[tuple[int, int]] = []
        self._seq = 0
        self._cold_until = 0
        self._born = int(time.time() * 1000)
        self._arrived: dict[int, int] = {}
        self.upstream = PacketUpstream(self._send, fleet.call_later, slots, seed=host)
        self._to_agent: asyncio.DatagramTransport | None = None

    async def open(self) -> None:
        """Binds the server's port and registers the server."""
        self._to_agent = await self.fleet.bind((self.host, self.fleet.ports["app"]), self._receive)
        self.fleet.spawn(self._beat())

    def holds(self, key: int) -> bool:
        """Whether the server holds an open flow."""
        return key in self.upstream._flows

    def crash(self) -> None:
        """Drops everything and falls silent."""
        self.upstream.restart()
        self.upstream.is_silent = True
        self._arrived.clear()

    def start_again(self, cold_ms: int) -> None:
        """Starts again under the same id, cold; the entry follows with the next heartbeat."""
        self.upstream.restart()
        self._born = int(time.time() * 1000)
        self._seq = 0
        self._cold_until = now_ms() + cold_ms
        self.cold_spans.append((now_ms(), self._cold_until))
        self.upstream.is_silent = False
        # "A server that has just started is slow for some seconds" (PROTOCOL.md, Servers); the site
        # files have `cold_x` 1.6.
        usual_ms = self.upstream.request_duration_ms
        self.upstream.request_duration_ms = round(usual_ms * COLD_FACTOR)
        self.fleet.call_later(
            cold_ms, lambda: setattr(self.upstream, "request_duration_ms", usual_ms)
        )

    async def _beat(self) -> None:
        """Writes the entry; the store removes it after three heartbeats without a write."""
        written: dict[str, object] = {}
        silent_beats = 0
        while True:
            if self.upstream.is_silent:
                silent_beats += 1
                if silent_beats == 3:
                    await self.fleet.store.remove(f"servers/{self.name}")
                    written = {}
            else:
                silent_beats = 0
                written = await self._write_entry(written)
            await asyncio.sleep(HEARTBEAT_MS / 1000)

    async def _write_entry(self, written: dict[str, object]) -> dict[str, object]:
        """Writes the entry if more than `seq` and the remaining time have changed."""
        self._seq += 1
        cold_ms = max(0, self._cold_until - now_ms())
        entry: dict[str, object] = {
            "service": self.service,
            "address": f"{self.host}:{self.fleet.ports['app']}",
            "zone": self.zone,
            "version": "v1",
            "slots": self.upstream.slots,
            "state": "ready",
            "born": self._born,
        }
        known = {**entry, "is_cold": cold_ms > 0}
        if known != written:
            beat = {**entry, "coldRemainingMs": cold_ms, "seq": self._seq}
            await self.fleet.store.put(f"servers/{self.name}", beat)
            self.fleet.record(f"{self.name} writes its entry, coldRemainingMs {cold_ms}")
        return known

    def _receive(self, data: bytes) -> None:
        if self.upstream.is_silent:
            return
        packet = decode_packet(data).unwrap()
        if packet.is_opening:
            self._arrived.setdefault(packet.key, now_ms())
        before = self.upstream.flows
        self.upstream.receive_packet(data, now_ms())
        if self.upstream.flows > before and packet.key in self._arrived:
            self.taken.append((packet.key, self._arrived.pop(packet.key)))

    def _send(self, frame: bytes) -> None:
        if self._to_agent is not None and not self._to_agent.is_closing():
            self._to_agent.sendto(frame, (self.host, self.fleet.ports["outbound"]))


class Fleet:
    """Balancers and agents as child processes, with the stand-ins around them.

    Attributes:
        sent_at: When the client of a flow sent its first opening packet, in ms, by key of the flow.
        exits: (host, exit status) of each process that ended without being told to.
    """

    def __init__(self, record: list[str]) -> None:
        network = os.getpid() % 250 + 1
        self.prefix = f"127.{network}"
        self.ports = dict(zip(PORT_NAMES, _find_free_ports(len(PORT_NAMES)), strict=True))
        self.store = Store()
        self.store_host = f"{self.prefix}.3.1"
        self.client_host = f"{self.prefix}.9.1"
        self.record_lines = record
        self.servers: dict[str, Server] = {}
        self.clients: dict[int, PacketClient] = {}
        self.sent_at: dict[int, int] = {}
        self.requests: dict[int, list[bytes]] = {}
        self.exits: list[tuple[str, int]] = []
        self.balancers: list[str] = []
        self._zones: dict[str, str] = {}
        self._seeds: dict[str, list[str]] = {}
        self.rotation: list[str] = []
        self.log_lines: list[dict[str, Any]] = []
        self.bounds = {"cold_over": 1.5, "cold_slack": 5, "flow_life_s": 60}
        self._processes: dict[str, asyncio.subprocess.Process] = {}
        self._transports: list[asyncio.DatagramTransport] = []
        self._tasks: set[asyncio.Task[None]] = set()
        self._told: set[int] = set()
        self._is_closing = False
        self._folder = tempfile.TemporaryDirectory()
        self._started_at = now_ms()

    def record(self, text: str) -> None:
        """Adds a line to the record of the case."""
        self.record_lines.append(f"{(now_ms() - self._started_at) / 1000:7.3f} s  {text}")

    def spawn(self, work: Any) -> None:
        """Runs a coroutine until the end of the case."""
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def call_later(self, delay_ms: int, action: Callable[[], object]) -> None:
        """Calls a function after some time in ms."""
        asyncio.get_running_loop().call_later(delay_ms / 1000, action)

    async def bind(
        self, address: tuple[str, int], on_datagram: Callable[[bytes], None]
    ) -> asyncio.DatagramTransport:
        """Binds a UDP port."""
        transport, _ = await asyncio.get_running_loop().create_datagram_endpoint(
            lambda: _Receiver(on_datagram), local_addr=address
        )
        self._transports.append(transport)
        return transport

    async def start(self) -> None:
        """Starts the store, the routers and the socket of the clients."""
        self._store_server = await asyncio.start_server(
            self.store.serve, self.store_host, self.ports["store"]
        )
        self._client_socket = await self.bind(
            (self.client_host, self.ports["client"]), self._deliver_to_client
        )
        self.spawn(self._probe_balancers())

    async def close(self) -> None:
        """Kills the child processes, each by its own id, and closes all sockets."""
        self._is_closing = True
        for task in list(self._tasks):
            task.cancel()
        for process in self._processes.values():
            if process.returncode is None:
                process.kill()
                await process.wait()
        for transport in self._transports:
            transport.close()
        self._store_server.close()
        self._folder.cleanup()

    async def add_server(
        self,
        number: int,
        service: str = SERVICE,
        slots: int = 3,
        zone: str = ZONE,
        is_first_start: bool = True,
    ) -> Server:
        """Starts a server and the agent beside it, by default with the whole system.

        A server that is added later registers once its agent has started.
        """
        host = f"{self.prefix}.2.{number}"
        server = self.servers[host] = Server(self, host, f"i-{number}", service, slots, zone)
        if is_first_start:
            await server.open()
        await self.start_process("agent", host, is_first_start)
        return server

    async def add_balancer(
        self, number: int, zone: str = ZONE, seeds: Sequence[str] | None = None
    ) -> str:
        """Starts a balancer; the routers use it as soon as it is ready.

        Args:
            number: Number of the machine.
            zone: Its zone.
            seeds: Hosts that its settings name as seeds; the first three balancers by default.
        """
        host = f"{self.prefix}.1.{number}"
        self.balancers.append(host)
        self._zones[host] = zone
        if seeds is not None:
            self._seeds[host] = list(seeds)
        await self.start_process("balancer", host, seeds is None)
        return host

    async def start_process(self, role: str, host: str, is_first_start: bool = False) -> None:
        """Starts the process of a machine by the command of the deploy file."""
        ports = self.ports
        seeds = self._seeds.get(host) or [f"{self.prefix}.1.{number}" for number in (1, 2, 3)]
        is_agent = role == "agent"
        settings = {
            "name": f"{role}-{host}",
            "data_centre": self.servers[host].zone if is_agent else self._zones[host],
            "host": host,
            "client_address": f"{host}:{ports['client']}",
            "upstream_address": f"{host}:{ports['app']}" if is_agent else "",
            "outbound_address": f"{host}:{ports['outbound']}" if is_agent else "",
            "service": self.servers[host].service if is_agent else "",
            "ready_address": f"{host}:{ports['ready']}",
            "node_port": ports["node"],
            "seeds": [f"{seed}:{ports['control']}" for seed in seeds],
            "store_address": f"{self.store_host}:{ports['store']}",
            "first_start": is_first_start,
            "link_mbps": "1000.0",
            **self.bounds,
        }
        path = Path(self._folder.name) / f"{host}.json"
        path.write_text(json.dumps(settings))
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        words = deploy["roles"][role]["run"].split()
        kept = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment = {**kept, "PYTHONPATH": str(ROOT / "target" / "deps")}
        environment["SHALLOTSHORE_NODE_FILE"] = str(path)
        if self._is_closing:
            return
        process = await asyncio.create_subprocess_exec(
            *words, cwd=ROOT, env=environment, stdout=asyncio.subprocess.PIPE
        )
        self._processes[host] = process
        self.spawn(self._read_log_lines(process))
        self.spawn(self._await_end(role, host, process))

    async def _read_log_lines(self, process: asyncio.subprocess.Process) -> None:
        assert process.stdout is not None
        while line := await process.stdout.readline():
            self.log_lines.append(json.loads(line))

    async def _await_end(self, role: str, host: str, process: asyncio.subprocess.Process) -> None:
        """Starts a process again that has ended by itself, as the platform does."""
        status = await process.wait()
        if process.pid in self._told:
            return
        self.exits.append((host, status))
        self.record(f"the {role} of {host} has ended by itself, exit status {status}")
        await asyncio.sleep(RESTART_DELAY_S)
        await self.start_process(role, host)

    def send_signal(self, host: str, number: int) -> None:
        """Sends a signal to the process of a machine."""
        if self._processes[host].returncode is None:
            self._processes[host].send_signal(number)

    async def kill(self, host: str) -> None:
        """Ends a process by SIGKILL, as a loss of power does, without a new start."""
        process = self._processes[host]
        self._told.add(process.pid)
        process.kill()
        await process.wait()

    async def restart(self, host: str, role: str) -> None:
        """Stops a process by SIGTERM, and starts it again as the platform does."""
        process = self._processes[host]
        self._told.add(process.pid)
        process.send_signal(signal.SIGTERM)
        await process.wait()
        await asyncio.sleep(RESTART_DELAY_S)
        await self.start_process(role, host)

    async def _probe_balancers(self) -> None:
        """Keeps the rotation of the routers."""
        misses: dict[str, int] = {}
        while True:
            for host in list(self.balancers):
                is_ready = await self._is_ready(host)
                misses[host] = 0 if is_ready else misses.get(host, MAX_MISSES) + 1
            rotation = [host for host in self.balancers if misses.get(host, 9) < MAX_MISSES]
            if rotation != self.rotation:
                self.rotation = rotation
                self.record(f"{len(rotation)} balancers are in rotation")
            await asyncio.sleep(PROBE_INTERVAL_S)

    async def _is_ready(self, host: str) -> bool:
        try:
            async with asyncio.timeout(0.4):
                reader, writer = await asyncio.open_connection(host, self.ports["ready"])
                writer.write(b"GET /api/ready HTTP/1.1\r\nHost: %s\r\n\r\n" % host.encode())
                status = (await reader.readline()).split()[1]
                writer.close()
                return status == b"200"
        except (OSError, IndexError, TimeoutError):
            return False

    async def wait_until(self, condition: Callable[[], object], seconds: float = 10.0) -> bool:
        """Waits for a condition and returns whether it came true."""
        for _ in range(int(seconds / 0.02)):
            if condition():
                return True
            await asyncio.sleep(0.02)
        return bool(condition())

    def open_flow(self, port: int, vip: tuple[str, int] = VIP) -> PacketClient:
        """Opens a flow of a new client port, through the balancer that the routers select."""
        client = PacketClient(
            (self.client_host, port),
            vip,
            lambda frame: self._send_from_client(port, frame),
            self.call_later,
        )
        self.clients[port] = client
        client.send_opening_packets()
        return client

    def _send_from_client(self, port: int, frame: bytes) -> None:
        if self._client_socket.is_closing():
            return
        packet = decode_packet(frame).unwrap()
        if packet.is_opening:
            self.sent_at.setdefault(packet.key, now_ms())
        nodes = self.rotation or self.balancers
        balancer = nodes[port % len(nodes)]
        self._client_socket.sendto(frame, (balancer, self.ports["client"]))

    def _deliver_to_client(self, data: bytes) -> None:
        packet = decode_packet(data, is_from_upstream=True).unwrap()
        client = self.clients.get(packet.client[1])
        if client is not None and not self._has_given_up(client, packet.key):
            client.receive_packet(data, now_ms())

    def _has_given_up(self, client: PacketClient, key: int) -> bool:
        """Whether a client has ended its attempt, after a reset or because none was accepted."""
        is_late = now_ms() - self.sent_at.get(key, 0) >= ATTEMPT_MS
        return client.opened_at is None and (client.reset_at is not None or is_late)

    def end_flow(self, client: PacketClient) -> None:
        """Lets a client close its flow, if the flow is open."""
        if client.opened_at is not None and client.reset_at is None:
            client.end_flow()

    def record_flows(self) -> None:
        """Records what each client sent and was answered, and which server ran it."""
        runs: dict[bytes, list[str]] = {}
        for server in self.servers.values():
            for data in server.upstream.executed_requests:
                runs.setdefault(data, []).append(server.host)
        taken = {key: server.host for server in self.servers.values() for key, _ in server.taken}

        def text(at: int | None) -> str:
            return "never" if at is None else f"{(at - self._started_at) / 1000:.3f} s"

        for port, client in self.clients.items():
            key = flow_key(client.address, client.vip, 0)
            ran = [
                f"{data.decode()} at {','.join(runs[data])}"
                for data in self.requests.get(port, [])
                if data in runs
            ]
            sent, answered = len(self.requests.get(port, [])), len(client.answers)
            self.record_lines.append(
                f"flow {port} to {client.vip[0]}:{client.vip[1]}: sent"
                f" {text(self.sent_at.get(key))}, opened {text(client.opened_at)}, server"
                f" {taken.get(key)}, reset {text(client.reset_at)}; requests sent {sent},"
                f" answered {answered}; run: {'; '.join(ran) or 'none'}"
            )

    def request(self, client: PacketClient, data: bytes) -> None:
        """Lets a client send a request on its flow."""
        self.requests.setdefault(client.address[1], []).append(data)
        client.request(data)


async def make_requests(fleet: Fleet, per_s: float) -> None:
    """Opens flows at a steady rate, with one request on each, and ends them after the answer."""
    for port in itertools.count(FIRST_PORT):
        client = fleet.open_flow(port)
        fleet.request(client, b"GET %d" % port)
        _end_when_answered(fleet, client)
        await asyncio.sleep(1 / per_s)


def _end_when_answered(fleet: Fleet, client: PacketClient) -> None:
    def on_packet() -> None:
        if client.answers:
            client.on_packet = lambda: None
            fleet.end_flow(client)

    client.on_packet = on_packet


def count_worst_second(fleet: Fleet, server: Server, limit: float) -> int:
    """Returns the most flows in one second that were sent and arrived while the server was cold."""
    worst, worst_at = 0, 0
    for begin, end in server.cold_spans:
        flows = [(fleet.sent_at[key], at) for key, at in server.taken if begin <= at < end]
        for start in (sent_at for sent_at, _ in flows if sent_at >= begin):
            inside = sum(start <= sent and at < start + WINDOW_MS for sent, at in flows)
            if inside > worst:
                worst, worst_at = inside, start - begin
    fleet.record(
        f"{server.name}: {worst} flows in the second that begins {worst_at} ms after its cold"
        f" start; a cold server gets {limit:g} at most"
    )
    return worst


def run_case(case: Callable[[Fleet, bool], Awaitable[bool | None]], folder: Path) -> int:
    """Runs a case and writes its record.

    Args:
        case: Gets the fleet and whether the disruption is made. Returns whether the rule was
            broken, or None if the case could not run.
        folder: Gets `record.txt`.

    Returns:
        The exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
    """
    is_trouble = os.environ.get("TROUBLE", "1") != "0"
    record: list[str] = []

    async def run() -> bool | None:
        fleet = Fleet(record)
        try:
            await fleet.start()
            async with asyncio.timeout(MAX_CASE_S):
                return await case(fleet, is_trouble)
        finally:
            fleet.record_flows()
            await fleet.close()

    try:
        is_broken = asyncio.run(run())
    except Exception as error:
        record.append(f"the case could not run: {error!r}")
        is_broken = None
    status = {True: 1, False: 0, None: 2}[is_broken]
    record.append(f"exit status {status}, disruption {'made' if is_trouble else 'left out'}")
    (folder / "record.txt").write_text("".join(line + "\n" for line in record))
    return status
