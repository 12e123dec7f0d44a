"""Stand-ins of clients, servers and the platform, and the project's programs as processes.

The stand-ins follow `PROTOCOL.md`. They share nothing with the project's code, so that a fault in
its packet format or in its own stand-ins cannot hide here. All addresses are loopback addresses
in one network 127.N.0.0 that is free at the start.
"""

import asyncio
import base64
import contextlib
import json
import os
import random
import shlex
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
import urllib.parse
import zlib
from collections.abc import Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
SYN, ACK, FIN, RST, BOUNCED = 8, 4, 16, 128, 2
HEAD = struct.Struct("<HBIIII4s4sHH")
SUM_KEY = 0x51A7
STORE_DELAY_S = 0.004  # "4 ms an answer"
PAGE_ITEMS = 500  # "at most about 500 items or 1 MB"
PAGE_BYTES = 1_000_000
HISTORY_S = 20.0
METRICS_PORT = 9464  # as deploy/system.toml says
OPENING_COPIES_S = (0.0, 0.2, 0.6)
OPENING_LIMIT_S = 1.4
FIRST_RESEND_S, LONGEST_RESEND_S, MAX_RESENDS = 0.2, 1.6, 8
PROBE_S = 0.5  # the routers probe twice a second; two misses put a node out of rotation
BOUNDS = {  # as SYSTEM.md gives them for kolteg-lb
    "stableWindowMs": 4_000,
    "drainMs": 3_000,
    "configApplyMs": 3_000,
    "evacuateMs": 5_000,
    "coldOver": 1.5,
    "coldSlack": 5,
    "maxFlowS": 60,
    "flowMs": 2_000,
    "recoverS": 12,
}

Address = tuple[str, int]


def encode_packet(
    source: Address, destination: Address, flags: int, seq: int, ack: int, data: bytes = b""
) -> bytes:
    """Returns a packet with its keyed sum."""
    ends = (
        socket.inet_aton(destination[0])[::-1],
        socket.inet_aton(source[0])[::-1],
        source[1],
        destination[1],
    )
    seq, ack = seq & 0xFFFFFFFF, ack & 0xFFFFFFFF
    plain = HEAD.pack(len(data), flags, 0, seq, ack, 0, *ends) + data
    return HEAD.pack(len(data), flags, zlib.crc32(plain, SUM_KEY), seq, ack, 0, *ends) + data


class Packet:
    """A decoded packet."""

    def __init__(self, frame: bytes) -> None:
        size, self.flags, self.sum, self.seq, self.ack, self.echo, dst, src, sport, dport = (
            HEAD.unpack_from(frame)
        )
        self.frame = frame
        self.data = frame[HEAD.size : HEAD.size + size]
        self.src = (socket.inet_ntoa(src[::-1]), sport)
        self.dst = (socket.inet_ntoa(dst[::-1]), dport)

    @property
    def is_intact(self) -> bool:
        """Whether the packet is as its sender wrote it."""
        plain = HEAD.pack(
            len(self.data),
            self.flags & ~BOUNCED,
            0,
            self.seq,
            self.ack,
            0,
            *struct.unpack_from("<4s4sHH", self.frame, 19),
        )
        return self.sum == zlib.crc32(plain + self.data, SUM_KEY)


class Udp(asyncio.DatagramProtocol):
    """Passes datagrams to a function."""

    def __init__(self, deliver: Callable[[bytes, str], None]) -> None:
        self._deliver = deliver

    def datagram_received(self, data: bytes, addr: Address) -> None:
        """Handles one datagram."""
        self._deliver(data, addr[0])


async def open_udp(
    address: Address, deliver: Callable[[bytes, str], None]
) -> asyncio.DatagramTransport:
    """Binds a UDP socket."""
    loop = asyncio.get_running_loop()
    transport, _ = await loop.create_datagram_endpoint(lambda: Udp(deliver), local_addr=address)
    return transport


class Store:
    """The platform's metadata store: items, revisions, reads and watches."""

    def __init__(self) -> None:
        self.revision = 100
        self.items: dict[str, dict[str, Any]] = {}
        self.events: list[dict[str, Any]] = []
        self._written_at: list[float] = []
        self._changed = asyncio.Event()
        self.lost_after = 0  # watches from before this revision get 410
        self.calls = 0

    def put(self, key: str, value: bytes) -> None:
        """Writes an item; the return is the acknowledgement."""
        self.revision += 1
        created = self.items.get(key, {}).get("createdRev", self.revision)
        item = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "rev": self.revision,
            "createdRev": created,
            "lease": 0,
        }
        self.items[key] = item
        self._append(item)

    def put_json(self, key: str, value: object) -> None:
        """Writes an item whose value is JSON."""
        self.put(key, json.dumps(value).encode())

    def delete(self, key: str) -> None:
        """Removes an item."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._append({"key": key, "rev": self.revision, "tombstone": True})

    def _append(self, event: dict[str, Any]) -> None:
        self.events.append(event)
        self._written_at.append(time.monotonic())
        self._changed.set()
        self._changed = asyncio.Event()

    async def serve(self, address: Address) -> asyncio.AbstractServer:
        """Starts to listen."""
        return await asyncio.start_server(self._serve_connection, *address)

    async def _serve_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(ConnectionError, asyncio.CancelledError):
            while line := await reader.readline():
                while (await reader.readline()).strip():
                    pass
                self.calls += 1
                status, body = await self._answer(line.split()[1].decode())
                await asyncio.sleep(STORE_DELAY_S)
                text = json.dumps(body).encode()
                head = f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                writer.write(head.encode() + b"Content-Length: %d\r\n\r\n" % len(text) + text)
                await writer.drain()
        writer.close()

    async def _answer(self, target: str) -> tuple[int, dict[str, Any]]:
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query))
        if url.path == "/api/kv-key":
            item = self.items.get(query["key"])
            if item is None:
                return 404, {"currentRev": self.revision}
            return 200, {**item, "currentRev": self.revision}
        prefix = query.get("prefix", "")
        if url.path == "/api/kv-range":
            keys = sorted(k for k in self.items if k.startswith(prefix))
            keys = [k for k in keys if k > query.get("after", "")]
            page: list[dict[str, Any]] = []
            size = 0
            for key in keys[:PAGE_ITEMS]:
                size += len(self.items[key]["value"])
                if page and size > PAGE_BYTES:
                    break
                page.append(self.items[key])
            return 200, {
                "items": page,
                "hasMore": len(keys) > len(page),
                "currentRev": self.revision,
            }
        after = int(query["after"])
        while self._written_at and time.monotonic() - self._written_at[0] > HISTORY_S:
            self._written_at.pop(0)
            self.lost_after = self.events.pop(0)["rev"]
        if after < self.lost_after:
            return 410, {}
        ends_at = time.monotonic() + int(query.get("waitMs", "0")) / 1000
        while True:
            changed = self._changed
            events = [e for e in self.events if e["rev"] > after and e["key"].startswith(prefix)]
            left = ends_at - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "currentRev": self.revision}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(changed.wait(), left)


class Server:
    """A server beside an agent: accepts flows, runs requests, returns what it does not hold."""

    def __init__(self, name: str, fleet: "Fleet", host: str) -> None:
        self.name, self.host = name, host
        self._fleet = fleet
        self._rng = random.Random(name)
        self._half_open: dict[tuple[Address, Address], int] = {}
        self._flows: dict[tuple[Address, Address], dict[str, Any]] = {}
        self.taken: list[tuple[float, tuple[Address, Address]]] = []
        self.ran: dict[str, int] = {}
        self.is_draining = False  # closes each flow after its next response
        self.damaged = 0
        self.foreign = 0  # packets of flows that this server does not hold

    async def start(self) -> None:
        """Binds the server's address."""
        self._socket = await open_udp((self.host, self._fleet.ports["app"]), self._receive)

    def holds(self, key: tuple[Address, Address]) -> bool:
        """Whether a flow is open here."""
        return key in self._flows

    def _send(self, frame: bytes) -> None:
        self._socket.sendto(frame, (self.host, self._fleet.ports["outbound"]))

    def _receive(self, frame: bytes, sender: str) -> None:
        packet = Packet(frame)
        key = (packet.src, packet.dst)
        if not packet.is_intact:
            self.damaged += 1
        elif packet.flags & SYN:
            if key not in self._half_open and key not in self._flows:
                self._half_open[key] = self._rng.getrandbits(31)
                self.taken.append((time.monotonic(), key))
            if key in self._half_open:
                seq = self._half_open[key]
                self._send(encode_packet(packet.dst, packet.src, SYN | ACK, seq, packet.seq + 1))
        elif key in self._flows:
            self._handle(key, packet)
        elif packet.ack == self._half_open.get(key, -2) + 1:
            seq = self._half_open.pop(key) + 1
            self._flows[key] = {"seq": seq, "next": packet.seq, "acked": seq}
            self._fleet.note("open", server=self.name, client=key[0][1])
            self._handle(key, packet)
        else:
            self.foreign += 1
            flags = bytes((packet.flags | BOUNCED,))
            self._send(frame[:2] + flags + frame[3:])

    def _handle(self, key: tuple[Address, Address], packet: Packet) -> None:
        flow = self._flows[key]
        flow["acked"] = max(flow["acked"], packet.ack)
        if packet.flags & RST:
            del self._flows[key]
        elif packet.data and packet.seq == flow["next"]:
            flow["next"] += len(packet.data)
            request = packet.data.decode()
            self.ran[request] = self.ran.get(request, 0) + 1
            self._fleet.note("run", server=self.name, request=request)
            asyncio.get_running_loop().call_later(0.01, self._respond, key, request)
        elif packet.data:
            self._send(encode_packet(key[1], key[0], ACK, flow["seq"], flow["next"]))
        if packet.flags & FIN:
            self._send(encode_packet(key[1], key[0], FIN | ACK, flow["seq"], packet.seq + 1))
            del self._flows[key]

    def _respond(self, key: tuple[Address, Address], request: str) -> None:
        flow = self._flows.get(key)
        if flow is not None:
            data = f"200 {request}".encode()
            seq, flow["seq"] = flow["seq"], flow["seq"] + len(data)
            self._send_answer(key, seq, data, FIRST_RESEND_S, MAX_RESENDS)
            if self.is_draining:
                self._send(encode_packet(key[1], key[0], FIN | ACK, flow["seq"], flow["next"]))

    def _send_answer(
        self, key: tuple[Address, Address], seq: int, data: bytes, delay: float, left: int
    ) -> None:
        flow = self._flows.get(key)
        if flow is None or flow["acked"] >= seq + len(data):
            return
        if not left:
            del self._flows[key]
            return
        self._send(encode_packet(key[1], key[0], ACK, seq, flow["next"], data))
        next_delay = min(2 * delay, LONGEST_RESEND_S)
        asyncio.get_running_loop().call_later(
            delay, self._send_answer, key, seq, data, next_delay, left - 1
        )


class Client:
    """A client with one flow."""

    def __init__(self, fleet: "Fleet", address: Address, vip: Address) -> None:
        self.address, self.vip = address, vip
        self._fleet = fleet
        self._seq = random.getrandbits(31)
        self._expected = 0
        self.is_open = False
        self.sent_at = time.monotonic()
        self.reset_at: float | None = None
        self.was_open_at_reset = False
        self.reset_by = ""
        self.sender_age_s = 0.0  # how long the sender of the reset had been running
        self.answers: list[str] = []
        self.damaged = 0
        self._waiting: str | None = None
        self._is_done = False

    @property
    def key(self) -> tuple[Address, Address]:
        """The two ends of the flow."""
        return (self.address, self.vip)

    async def open(self) -> bool:
        """Sends the opening packet and its copies; returns whether the flow opened."""
        started = time.monotonic()
        for copy, at in enumerate(OPENING_COPIES_S):
            while time.monotonic() < started + at and not self.is_open and not self.reset_at:
                await asyncio.sleep(0.005)
            if not self.is_open and not self.reset_at:
                self._send(SYN, copy)
        while time.monotonic() < started + OPENING_LIMIT_S and not (self.is_open or self.reset_at):
            await asyncio.sleep(0.005)
        self._is_done = not self.is_open
        return self.is_open

    async def request(self, text: str, deadline_s: float = 2.5) -> bool:
        """Sends a request; returns whether it was answered with success in time."""
        self._waiting = text
        data, seq = text.encode(), self._seq
        self._seq += len(data)
        self._fleet.note("sent", client=self.address[1], request=text)
        ends_at, delay = time.monotonic() + deadline_s, FIRST_RESEND_S
        resend_at = 0.0
        while time.monotonic() < ends_at and self._waiting and not self.reset_at:
            if time.monotonic() >= resend_at:
                self._send(ACK, self._expected, data, seq)
                resend_at = time.monotonic() + delay
                delay = min(2 * delay, LONGEST_RESEND_S)
            await asyncio.sleep(0.005)
        is_answered = self._waiting is None
        self._fleet.note("answered" if is_answered else "unanswered", request=text)
        return is_answered

    def close(self) -> None:
        """Ends the flow."""
        if self.is_open and not self.reset_at:
            self._send(ACK | FIN, self._expected)
        self._is_done = True

    def receive(self, packet: Packet, sender: str) -> None:
        """Handles a packet sent to this client."""
        if packet.flags & RST and packet.sum == 0:
            if not self._is_done and self.reset_at is None:
                self.reset_at = time.monotonic()
                self.was_open_at_reset = self.is_open
                self.reset_by = sender
                self.sender_age_s = self.reset_at - self._fleet.running_since.get(sender, 1e18)
                self._fleet.note(
                    "reset by the system",
                    client=self.address[1],
                    was_open=self.is_open,
                    sender=sender,
                    sender_runs_s=round(self.sender_age_s, 3),
                )
            return
        if not packet.is_intact:
            self.damaged += 1
            return
        if packet.flags & SYN and not self.is_open:
            self.is_open = True
            self._expected = packet.seq + 1
            self._seq += 1
            self._send(ACK, self._expected)
        elif packet.data and packet.seq == self._expected:
            self._expected += len(packet.data)
            text = packet.data.decode()
            self.answers.append(text)
            if text == f"200 {self._waiting}":
                self._waiting = None
            self._send(ACK, self._expected)
        elif packet.data:
            self._send(ACK, self._expected)

    def _send(self, flags: int, ack: int, data: bytes = b"", seq: int | None = None) -> None:
        number = self._seq if seq is None else seq
        frame = encode_packet(self.address, self.vip, flags, number, ack, data)
        self._fleet.route(self.address, self.vip, frame)


class Fleet:
    """The platform around the project's programs: routers, store, machines and operator.

    Attributes:
        network: First two parts of all addresses.
        ports: The ports that are the same on all machines.
        rotation: Hosts of the balancers that the routers use.
        servers: Servers by host.
    """

    def __init__(self, folder: Path) -> None:
        self._started_at = time.monotonic()
        self._record = (folder / "record.txt").open("w")
        self.deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        self.network, self.ports, self._reservation = _find_free_network()
        self.store = Store()
        self.rotation: list[str] = []
        self._probed: dict[str, int] = {}
        self.servers: dict[str, Server] = {}
        self.clients: dict[int, Client] = {}
        self._processes: dict[str, asyncio.subprocess.Process] = {}
        self._settings: dict[str, dict[str, Any]] = {}
        self._temporary = tempfile.TemporaryDirectory()
        self._next_port = 20_000
        self._tasks: list[asyncio.Task[None]] = []
        self.running_since: dict[str, float] = {}
        self.logs: list[dict[str, Any]] = []
        self._fillers: list[socket.socket] = []
        self.vip = ("198.18.0.1", 443)
        self.client_host = f"{self.network}.9.1"

    def note(self, event: str, **fields: object) -> None:
        """Writes a line into the record."""
        at = time.monotonic() - self._started_at
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self._record.write(f"{at:8.3f} {event} {text}\n")

    def elapsed(self, at: float) -> float:
        """Returns a time as the record shows it."""
        return at - self._started_at

    async def start(self) -> None:
        """Starts store, routers and the socket of the clients."""
        self._server = await self.store.serve((f"{self.network}.3.1", self.ports["store"]))
        self._client_socket = await open_udp(
            (self.client_host, self.ports["client"]), self._to_client
        )
        self._tasks.append(asyncio.ensure_future(self._probe_nodes()))

    async def stop(self) -> None:
        """Ends all processes that were started."""
        for task in self._tasks:
            task.cancel()
        for process in self._processes.values():
            if process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    process.kill()
                await process.wait()
        self._server.close()
        self._reservation.close()
        self._record.close()
        self._temporary.cleanup()

    def host(self, kind: str, number: int) -> str:
        """Returns the address of a machine: kind "front" or "side"."""
        return f"{self.network}.{1 if kind == 'front' else 2}.{number}"

    async def start_front(self, host: str, zone: str, seeds: list[str]) -> None:
        """Starts the role of a front machine; the routers take it in once it is ready."""
        await self._start("balancer", host, zone, seeds, "")
        self._probed.setdefault(host, 9)

    async def start_side(self, host: str, zone: str, seeds: list[str], service: str) -> None:
        """Starts the role of a side machine."""
        await self._start("agent", host, zone, seeds, service)

    async def _start(self, role: str, host: str, zone: str, seeds: list[str], service: str) -> None:
        ports = self.ports
        listen = {
            "datagramAddr": f"{host}:{ports['client']}",
            "outbound": f"{host}:{ports['outbound']}",
            "ready": f"{host}:{ports['ready']}",
        }
        settings = {  # the fields of platform/settings.json.tmpl
            "name": f"{role}-{host}",
            "data_centre": zone,
            "host": host,
            "client_address": listen["datagramAddr"],
            "upstream_address": f"{host}:{ports['app']}" if role == "agent" else "",
            "outbound_address": listen["outbound"] if role == "agent" else "",
            "service": service,
            "ready_address": listen["ready"],
            "node_port": ports["node"],
            "seeds": [f"{seed}:{ports['ready']}" for seed in seeds],
            "store_address": f"{self.network}.3.1:{ports['store']}",
            "first_start": False,
            "cold_over": BOUNDS["coldOver"],
            "cold_slack": BOUNDS["coldSlack"],
            "flow_life_s": BOUNDS["maxFlowS"],
            "link_mbps": "1000.0",
        }
        self._settings[host] = {"role": role, "settings": settings}
        await self.restart(host)

    async def restart(self, host: str) -> None:
        """Starts the process of a machine again."""
        role = self._settings[host]["role"]
        path = Path(self._temporary.name) / f"{host}.json"
        path.write_text(json.dumps(self._settings[host]["settings"]))
        command = shlex.split(self.deploy["roles"][role]["run"])
        kept = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        process = await asyncio.create_subprocess_exec(
            *command,
            cwd=ROOT,
            env={
                **kept,
                "PYTHONPATH": str(ROOT / "target" / "deps"),
                "SHALLOTSHORE_NODE_FILE": str(path),
            },
            stdout=asyncio.subprocess.PIPE,
        )
        self._processes[host] = process
        self.running_since[host] = time.monotonic()
        self._tasks.append(asyncio.ensure_future(self._read_log(host, process)))
        self.note("process started", host=host, role=role, pid=process.pid)

    async def signal(self, host: str, number: int) -> None:
        """Sends a signal to the process of a machine."""
        self.note("signal", host=host, signal=signal.Signals(number).name)
        self._processes[host].send_signal(number)

    async def wait_end(self, host: str, seconds: float) -> None:
        """Waits for the end of a process; after `graceS` it gets SIGKILL."""
        process = self._processes[host]
        try:
            await asyncio.wait_for(process.wait(), seconds)
        except TimeoutError:
            process.kill()
            await process.wait()
        self.note("process ended", host=host, status=process.returncode)

    def is_running(self, host: str) -> bool:
        """Whether the process of a machine runs."""
        return self._processes[host].returncode is None

    async def _read_log(self, host: str, process: asyncio.subprocess.Process) -> None:
        assert process.stdout is not None
        while line := await process.stdout.readline():
            with contextlib.suppress(ValueError):
                entry = json.loads(line)
                self.logs.append(entry)
                if entry.get("event") in ("flow_reset", "tick_failed", "peer_copy_failed"):
                    self._record.write(f"         log of {host}: {line.decode()[:600].strip()}\n")

    async def _probe_nodes(self) -> None:
        while True:
            for host in list(self._probed):
                is_ready = await self._is_ready(host)
                self._probed[host] = 0 if is_ready else self._probed[host] + 1
                if is_ready and host not in self.rotation:
                    self.rotation.append(host)
                    self.note("in rotation", host=host)
                elif self._probed[host] >= 2 and host in self.rotation:
                    self.rotation.remove(host)
                    self.note("out of rotation", host=host)
            await asyncio.sleep(PROBE_S)

    async def _is_ready(self, host: str) -> bool:
        try:
            async with asyncio.timeout(0.4):
                reader, writer = await asyncio.open_connection(host, self.ports["ready"])
                writer.write(b"GET /api/ready HTTP/1.1\r\nHost: n\r\nConnection: close\r\n\r\n")
                line = await reader.readline()
                writer.close()
                return line.split()[1:2] == [b"200"]
        except (OSError, TimeoutError):
            return False

    async def wait_ready(self, hosts: list[str], seconds: float = 12.0) -> bool:
        """Waits until the routers use all of these hosts."""
        ends_at = time.monotonic() + seconds
        while time.monotonic() < ends_at:
            if all(host in self.rotation for host in hosts):
                return True
            await asyncio.sleep(0.05)
        return False

    def route(self, client: Address, vip: Address, frame: bytes) -> None:
        """Sends a client's packet to the balancer that the routers' hash selects (`mod`)."""
        if not self.rotation:
            return
        hosts = sorted(self.rotation)
        number = zlib.crc32(repr((client, vip)).encode())
        host = hosts[number % len(hosts)]
        self._client_socket.sendto(frame, (host, self.ports["client"]))

    def new_client(self, vip: Address | None = None) -> Client:
        """Returns a client with a new port."""
        self._next_port += 1
        client = Client(self, (self.client_host, self._next_port), vip or self.vip)
        self.clients[self._next_port] = client
        return client

    def _to_client(self, frame: bytes, sender: str) -> None:
        packet = Packet(frame)
        client = self.clients.get(packet.dst[1])
        if client is not None:
            client.receive(packet, sender)

    async def add_silent_host(self, host: str) -> None:
        """Makes an address of a machine that is not there: what is sent to it has no answer.

        The kernel drops the opening segments of connections to a listener whose queue is full.
        """
        await open_udp((host, self.ports["node"]), lambda data, sender: None)
        listener = socket.socket()
        listener.bind((host, self.ports["node"]))
        listener.listen(0)
        self._fillers.append(listener)
        for _ in range(4):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex((host, self.ports["node"]))
            self._fillers.append(filler)
        await asyncio.sleep(0.1)

    async def add_server(self, name: str, number: int, service: str) -> Server:
        """Starts a server on a side machine."""
        server = Server(name, self, self.host("side", number))
        await server.start()
        self.servers[server.host] = server
        return server

    def register(self, server: Server, service: str, zone: str, state: str = "ready") -> None:
        """Writes a server's entry, as the server does."""
        entry = {
            "service": service,
            "address": f"{server.host}:{self.ports['app']}",
            "zone": zone,
            "version": "v1",
            "slots": 3,
            "state": state,
            "coldRemainingMs": 0,
            "seq": 1,
            "born": int(time.time() * 1000),
        }
        server.is_draining = state == "draining"
        self.store.put_json(f"servers/{server.name}", entry)
        self.note("entry acknowledged", server=server.name, state=state)


def _find_free_network() -> tuple[str, dict[str, int], socket.socket]:
    """Returns a loopback network, free ports, and a socket that keeps other cases out of it."""
    names = ("client", "outbound", "ready", "node", "app", "store")
    for _ in range(50):
        network = f"127.{random.randrange(20, 250)}"
        base = random.randrange(12_000, 19_000)
        ports = {name: base + number for number, name in enumerate(names)}
        reservation = socket.socket()
        try:
            reservation.bind((f"{network}.250.1", METRICS_PORT))
            for port in (*ports.values(), METRICS_PORT):
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    with socket.socket(socket.AF_INET, kind) as trial:
                        trial.bind((f"{network}.1.1", port))
        except OSError:
            reservation.close()
            continue
        return network, ports, reservation
    raise OSError("no free network")


def run_case(case: Callable[[Fleet, bool], Any], folder: Path) -> None:
    """Runs a case and exits with 1 if the rule was broken, 0 if it held, 2 if it could not run."""
    has_trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run() -> int:
        fleet = Fleet(folder)
        task = asyncio.current_task()
        assert task is not None
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        try:
            await fleet.start()
            async with asyncio.timeout(110):
                broken = await case(fleet, has_trouble)
            verdict = "broken" if broken else "held"
            fleet.note(f"the rule was {verdict}", detail=broken)
            print(f"the rule was {verdict}: {broken}")
            return 1 if broken else 0
        except Exception as error:
            fleet.note("the case could not run", error=repr(error))
            print(f"the case could not run: {error!r}")
            return 2
        finally:
            await fleet.stop()

    sys.exit(asyncio.run(run()))
