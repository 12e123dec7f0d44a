"""Runs the programs of the deploy file on loopback addresses, for the cases of the third review.

The programs are started with the commands of `deploy/system.toml`, the variable of the settings
file and nothing else of the caller's environment. Store, upstreams and clients run in this process.
"""

__all__ = [
    "HEARTBEAT_MS",
    "CaseFleet",
    "ListedServer",
    "Record",
    "exit_status",
    "is_troubled",
    "most_in_one_second",
    "sleep_until",
]

import asyncio
import json
import os
import random
import signal
import socket
import sys
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path

import standins.packet_processes as processes
from standins.packet_processes import ROOT, LoopbackFleet

RULE_HELD, RULE_BROKEN, NOT_RUN = 0, 1, 2
LONGEST_RUN_S = 115
HEARTBEAT_MS = 770
STABLE_S = 4.0  # stableWindowMs
PROBE_INTERVAL_S = 0.5  # of the routers in front of the balancers

_started: list[asyncio.subprocess.Process] = []  # all processes that the case has started


def is_troubled() -> bool:
    """Whether the disruption is to be played."""
    return os.environ.get("TROUBLE", "1") != "0"


async def sleep_until(time: float) -> None:
    """Sleeps until a time of the event loop."""
    await asyncio.sleep(max(0.0, time - asyncio.get_running_loop().time()))


class Record:
    """The file that says what was sent, answered and run."""

    def __init__(self, folder: Path) -> None:
        self._path = folder / "record.txt"
        self._started_at = time.monotonic()
        self._lines: list[str] = []

    def write(self, text: str) -> None:
        """Adds a line with the time since the start."""
        self._lines.append(f"{time.monotonic() - self._started_at:8.3f} {text}")

    def save(self) -> None:
        """Writes the file."""
        self._path.write_text("\n".join(self._lines) + "\n")


def exit_status(folder: Path, play: Callable[[Record], Awaitable[bool]]) -> int:
    """Plays a case and returns the exit status of its script.

    Args:
        folder: Folder of the case.
        play: Plays the case, and returns whether the rule was broken.
    """
    record = Record(folder)
    record.write(f"disruption: {'on' if is_troubled() else 'off'}")
    try:
        is_broken = asyncio.run(asyncio.wait_for(play(record), LONGEST_RUN_S))
        status = RULE_BROKEN if is_broken else RULE_HELD
    except Exception as error:
        record.write(f"the case could not run: {error!r}")
        status = NOT_RUN
    finally:
        for process in _started:
            if process.returncode is None:
                os.kill(process.pid, signal.SIGKILL)
    record.write(f"exit status {status}")
    record.save()
    return status


def _find_free_network() -> int:
    """Returns the second number of a loopback network in which no other case runs."""
    numbers = random.sample(range(20, 250), 50)
    for number in numbers:
        with socket.socket() as probe:
            try:
                probe.bind((f"127.{number}.3.1", processes.STORE_ADDRESS[1]))
            except OSError:
                continue
            return number
    raise OSError("no free loopback network")


class CaseFleet(LoopbackFleet):
    """A fleet in a loopback network of its own, with the settings of a small deployment.

    Attributes:
        network: Second number of all addresses.
        data_centre_by_host: Data centres of hosts; `zone-a` for hosts that are not named.
        service_by_host: Services of the upstreams beside agents; `spend` where none is named.
        next_probe_at: When the routers probe the balancers next, in s of the event loop.
    """

    def __init__(self, seeds: tuple[str, ...] = ()) -> None:
        self.network = _find_free_network()
        # Module constants of the project's stand-in, read when its methods run.
        processes.STORE_ADDRESS = (self.address("3.1"), processes.STORE_ADDRESS[1])
        processes.CLIENT_HOST = self.address("9.1")
        super().__init__(seeds=[self.address(seed) for seed in seeds])
        self.data_centre_by_host: dict[str, str] = {}
        self.service_by_host: dict[str, str] = {}
        self.next_probe_at = 0.0
        self._disturbed_at: dict[str, list[float]] = {}
        self._is_closed = False
        self._tombstones: dict[str, int] = {}
        self._rotation: list[str] | None = None
        self._probe_misses: dict[str, int] = {}
        with (ROOT / "deploy" / "system.toml").open("rb") as file:
            self._roles = tomllib.load(file)["roles"]

    def address(self, end: str) -> str:
        """Returns the address with these last two numbers."""
        return f"127.{self.network}.{end}"

    async def close(self) -> None:
        """Ends all processes and closes all sockets, without late packets of the stand-ins."""
        self._is_closed = True
        for upstream in self.upstreams.values():
            upstream.restart()
        await super().close()

    async def stop(self, host: str, number: int = signal.SIGTERM) -> int:
        """Sends a signal to the process of a host, waits for its end, returns the exit status."""
        self._note_disturbance(host)
        return await super().stop(host, number)

    def _note_disturbance(self, host: str) -> None:
        now = asyncio.get_running_loop().time()
        self._disturbed_at.setdefault(host, []).append(now)

    def is_calm(self, host: str, at: float) -> bool:
        """Whether a process ran without a start or signal for STABLE_S before a time."""
        disturbed = [one for one in self._disturbed_at.get(host, []) if one <= at]
        return bool(disturbed) and at - disturbed[-1] > STABLE_S

    def remove(self, key: str) -> None:
        """Removes an entry of the store; watches get a tombstone."""
        self._revision += 1
        self._store_entries.pop(key, None)
        self._tombstones[key] = self._revision

    def publish(self, key: str, value: object) -> None:
        """Writes an entry to the store."""
        self._tombstones.pop(key, None)
        super().publish(key, value)

    def _select_entries(self, prefix: str, after: int) -> list[dict[str, object]]:
        entries = super()._select_entries(prefix, after)
        if after:
            entries += [
                {"key": key, "rev": revision, "tombstone": True}
                for key, revision in self._tombstones.items()
                if key.startswith(prefix) and revision > after
            ]
        return sorted(entries, key=lambda entry: entry["rev"])

    async def route_by_probes(self, balancers: list[str]) -> None:
        """Probes balancers and spreads clients over those in rotation, as the routers do.

        A balancer is out of rotation after two misses, until it answers 200 again. If fewer than
        half are in rotation, all are used.
        """
        self.next_probe_at = asyncio.get_running_loop().time()
        while True:
            statuses = await asyncio.gather(*(self._probe(host) for host in balancers))
            for host, status in zip(balancers, statuses, strict=True):
                misses = 0 if status == 200 else self._probe_misses.get(host, 2) + 1
                self._probe_misses[host] = misses
            ready = [host for host in balancers if self._probe_misses[host] < 2]
            self._rotation = ready if 2 * len(ready) >= len(balancers) else balancers
            self.next_probe_at += PROBE_INTERVAL_S
            await sleep_until(self.next_probe_at)

    async def _probe(self, host: str) -> int:
        try:
            status, _ = await asyncio.wait_for(
                self.get(host, processes.READY_PORT, "/api/ready"), PROBE_INTERVAL_S
            )
        except (TimeoutError, OSError, IndexError):
            return 0
        return status

    def _send_from_client(self, port: int, frame: bytes) -> None:
        if self._is_closed:
            return
        if self._rotation is not None:
            self._ingress_balancers[port] = self._rotation[port % len(self._rotation)]
        super()._send_from_client(port, frame)

    async def _start_process(self, role: str, host: str) -> None:
        settings = {
            "name": f"{role}-{host}",
            "data_centre": self.data_centre_by_host.get(host, "zone-a"),
            "host": host,
            "client_address": f"{host}:{processes.CLIENT_PORT}",
            "upstream_address": f"{host}:{processes.UPSTREAM_PORT}" if role == "agent" else "",
            "outbound_address": f"{host}:{processes.OUTBOUND_PORT}" if role == "agent" else "",
            "service": self.service_by_host.get(host, processes.SERVICE) if role == "agent" else "",
            "ready_address": f"{host}:{processes.READY_PORT}",
            "node_port": processes.NODE_PORT,
            "seeds": [f"{seed}:{processes.READY_PORT}" for seed in self._seeds],
            "store_address": ":".join(map(str, processes.STORE_ADDRESS)),
            # True only when the whole system starts for the first time.
            "first_start": host not in self._disturbed_at,
            "cold_over": 1.5,
            "cold_slack": 5,
            "flow_life_s": 60,
            "link_mbps": "1000.0",
        }
        path = Path(self._settings_folder.name) / f"{host}.json"
        path.write_text(json.dumps(settings))
        program, *arguments = self._roles[role]["run"].split()
        environment = {name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ}
        process = await asyncio.create_subprocess_exec(
            sys.executable if program == "python3" else program,
            *arguments,
            cwd=ROOT,
            env={
                **environment,
                "PYTHONPATH": str(ROOT / "target" / "deps"),
                "SHALLOTSHORE_NODE_FILE": str(path),
            },
            stdout=asyncio.subprocess.PIPE,
        )
        self._processes[host] = process
        _started.append(process)
        self._note_disturbance(host)
        self._log_readers.append(asyncio.ensure_future(self._read_log_lines(process)))


class ListedServer:
    """An upstream with its entry in the store, which it writes at its heartbeats.

    Attributes:
        name: Id of the upstream.
        cold_spans: Start and end of the times in which it was cold, in s of the event loop.
        arrivals: Time and client's port of each opening packet that it took.
    """

    def __init__(self, fleet: CaseFleet, host: str, name: str, record: Record) -> None:
        """Creates a server that has not written its entry yet; its agent has been started."""
        self._fleet, self._host, self.name, self._record = fleet, host, name, record
        self._rng = random.Random(name)
        self._beats = 0
        self._cold_until = 0.0
        self.cold_spans: list[tuple[float, float]] = []
        self.arrivals: list[tuple[float, int]] = []
        self._is_up = True
        self._written: dict[str, object] | None = None
        self._watch_openings()

    def _now(self) -> float:
        return asyncio.get_running_loop().time()

    def _watch_openings(self) -> None:
        upstream = self._fleet.upstreams[self._host]
        handle = upstream._handle_opening

        def handle_and_note(packet, now):  # noqa: ANN001, ANN202
            taken = len(upstream.opening_times_ms)
            handle(packet, now)
            if len(upstream.opening_times_ms) > taken:
                self.arrivals.append((self._now(), packet.client[1]))

        upstream._handle_opening = handle_and_note

    async def beat(self, first_delay_s: float) -> None:
        """Writes the entry at each heartbeat if more than `seq` has changed."""
        await asyncio.sleep(first_delay_s)
        while self._is_up:
            self._beats += 1
            remaining_ms = max(0, round((self._cold_until - self._now()) * 1000))
            before = self._written
            if before is None or remaining_ms != before["coldRemainingMs"]:
                self._written = {
                    "service": self._fleet.service_by_host.get(self._host, processes.SERVICE),
                    "address": f"{self._host}:{processes.UPSTREAM_PORT}",
                    "zone": self._fleet.data_centre_by_host.get(self._host, "zone-a"),
                    "version": "v1",
                    "slots": self._fleet.upstreams[self._host].slots,
                    "state": "ready",
                    "coldRemainingMs": remaining_ms,
                    "seq": self._beats,
                }
                self._fleet.publish(f"servers/{self.name}", self._written)
                self._record.write(f"{self.name} writes its entry, cold {remaining_ms} ms")
            await asyncio.sleep(HEARTBEAT_MS / 1000)

    def become_cold(self, cold_ms: int) -> None:
        """Lets the server be cold from now on."""
        self._cold_until = self._now() + cold_ms / 1000
        self.cold_spans.append((self._now(), self._cold_until))

    def crash(self) -> None:
        """Ends the server; it is dark, and writes nothing."""
        self._record.write(f"{self.name} crashes")
        self._is_up = False
        upstream = self._fleet.upstreams[self._host]
        upstream.restart()
        upstream.is_silent = True

    def start_again(self, cold_ms: int) -> None:
        """Starts the server under the same id, without flows, and cold.

        Its first heartbeat comes at a random moment of an interval, as on the users' bench.
        """
        self._record.write(f"{self.name} is back, cold")
        self._is_up, self._written, self._beats = True, None, 0
        self.become_cold(cold_ms)
        self._fleet.upstreams[self._host].is_silent = False
        asyncio.ensure_future(self.beat(self._rng.random() * HEARTBEAT_MS / 1000))


def most_in_one_second(server: ListedServer, sent_at: dict[int, float], record: Record) -> int:
    """Returns the most flows that a cold server got, sent and arrived inside one second.

    Args:
        server: The server.
        sent_at: When the client of each port sent its opening packet.
        record: Gets a line for each time in which the server was cold.
    """
    worst = 0
    for start, end in server.cold_spans:
        cold = [(sent_at[port], at) for at, port in server.arrivals if start <= at < end]
        counts = [sum(sent >= since and at < since + 1.0 for sent, at in cold) for since, _ in cold]
        most = max(counts, default=0)
        worst = max(worst, most)
        record.write(f"{server.name} cold: {len(cold)} new flows, {most} within one second")
    return worst
