"""An upstream crashes, comes back cold, and the first packet that it gets is of an idle flow."""

import asyncio
import random
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT))

import standins.packet_processes as processes  # noqa: E402
from review.fleet_3 import CaseFleet, Record, exit_status, is_troubled  # noqa: E402
from standins.packet_client import PacketClient  # noqa: E402

COLD_PER_S, COLD_OVER, COLD_SLACK = 2.0, 1.5, 5
COLD_MS = 3_000  # coldStartS of the configuration
HEARTBEAT_MS = 770
DASHBOARDS = 10
POLL_INTERVAL_S = 6.0  # less than idleTimeoutMs, after which a flow may be discarded
POLL_SPREAD_S = 0.2
EXPORTS_PER_S = 40
DEADLINE_S = 2.0
# Of a round of polls: the upstream crashes in the pause before the next one.
CRASH_AFTER_POLL_S = 4.6
DOWN_S = 1.3
CRASHES = 3
SERVICE = processes.SERVICE
VIPS = {"feed": ("198.18.0.1", 443), "export": ("198.18.0.1", 8443)}
CONFIG = {
    "version": 7,
    "routes": [
        {
            "name": f"r-{name}",
            "host": vip[0],
            "prefix": f"/{vip[1]}/",
            "type": "safe",
            "timeoutMs": 2_000,
            "targetLatencyMs": 250,
            "priority": 2,
            "service": SERVICE,
        }
        for name, vip in VIPS.items()
    ],
    "services": [{"name": SERVICE, "coldStartS": COLD_MS / 1000, "coldPerS": COLD_PER_S}],
    "limits": {"idleTimeoutMs": 15_000},
}


class Server:
    """An upstream with its entry in the store, which it writes at its heartbeats."""

    def __init__(self, fleet: CaseFleet, host: str, name: str, record: Record) -> None:
        self._fleet, self._host, self.name, self._record = fleet, host, name, record
        self._beats = 0
        self._cold_until = 0.0
        self.cold_spans: list[tuple[float, float]] = []
        self.arrivals: list[tuple[float, int]] = []  # time of a taken opening packet, client port
        self._is_up = True
        self._written: dict[str, object] | None = None
        upstream = fleet.upstreams[host]
        upstream.on_opening = lambda port: self.arrivals.append((self._now(), port))

    def _now(self) -> float:
        return asyncio.get_running_loop().time()

    async def beat(self, first_delay_s: float) -> None:
        """Writes the entry at each heartbeat if more than `seq` has changed."""
        await asyncio.sleep(first_delay_s)
        while self._is_up:
            self._beats += 1
            remaining_ms = max(0, round((self._cold_until - self._now()) * 1000))
            if self._written is None or bool(remaining_ms) != bool(
                self._written["coldRemainingMs"]
            ):
                self._written = {
                    "service": SERVICE,
                    "address": f"{self._host}:{processes.UPSTREAM_PORT}",
                    "zone": "zone-a",
                    "version": "v1",
                    "slots": 3,
                    "state": "ready",
                    "coldRemainingMs": remaining_ms,
                    "seq": self._beats,
                }
                self._fleet.publish(f"servers/{self.name}", self._written)
                self._record.write(f"{self.name} writes its entry, cold {remaining_ms} ms")
            await asyncio.sleep(HEARTBEAT_MS / 1000)

    def crash(self) -> None:
        """Ends the server; it is dark, and writes nothing."""
        self._record.write(f"{self.name} crashes")
        self._is_up = False
        upstream = self._fleet.upstreams[self._host]
        upstream.restart()
        upstream.is_silent = True

    def start_again(self) -> None:
        """Starts the server under the same id, without flows, and cold."""
        self._record.write(f"{self.name} is back, cold")
        self._is_up, self._written, self._beats = True, None, 0
        self._cold_until = self._now() + COLD_MS / 1000
        self.cold_spans.append((self._now(), self._cold_until))
        self._fleet.upstreams[self._host].is_silent = False
        asyncio.ensure_future(self.beat(HEARTBEAT_MS / 1000))


def watch_openings(fleet: CaseFleet, host: str) -> None:
    """Lets an upstream name the client of each flow that it takes."""
    upstream = fleet.upstreams[host]
    handle = upstream._handle_opening

    def handle_and_tell(packet, now):  # noqa: ANN001, ANN202
        taken = len(upstream.opening_times_ms)
        handle(packet, now)
        if len(upstream.opening_times_ms) > taken:
            upstream.on_opening(packet.client[1])

    upstream._handle_opening = handle_and_tell


class Clients:
    """Dashboards that poll on flows which stay open, and exports on a flow each."""

    def __init__(self, fleet: CaseFleet, balancers: list[str], record: Record) -> None:
        self._fleet, self._balancers, self._record = fleet, balancers, record
        self._rng = random.Random(11)
        self._next_port = 20_000
        self.sent_at: dict[int, float] = {}
        self.answered = 0
        self.asked = 0

    def open(self, kind: str) -> PacketClient:
        """Opens a flow through one of the balancers."""
        port = self._next_port
        self._next_port += 1
        self.sent_at[port] = asyncio.get_running_loop().time()
        return self._fleet.open_flow(port, self._rng.choice(self._balancers), VIPS[kind])

    async def poll_round(self, flows: list[PacketClient | None]) -> None:
        """Sends one poll on the flow of each dashboard; a lost flow is replaced."""

        async def poll(number: int) -> None:
            await asyncio.sleep(self._rng.random() * POLL_SPREAD_S)
            for _ in range(3):  # the first try and two retries
                flow = flows[number]
                if flow is None or flow.reset_at is not None:
                    flow = flows[number] = self.open("feed")
                self.asked += 1
                if await self._is_answered(flow, b"poll"):
                    self.answered += 1
                    return
                flows[number] = None

        await asyncio.gather(*(poll(number) for number in range(len(flows))))

    async def _is_answered(self, flow: PacketClient, data: bytes) -> bool:
        """Sends a request, and returns whether its answer arrives before the deadline."""
        before = len(flow.answers)
        flow.request(data)
        await self._fleet.wait_until(
            lambda: len(flow.answers) > before or flow.reset_at is not None, DEADLINE_S
        )
        return len(flow.answers) > before

    async def send_exports(self) -> None:
        """Sends exports at random times, each on a flow of its own."""
        while True:
            await asyncio.sleep(self._rng.expovariate(EXPORTS_PER_S))
            flow = self.open("export")
            self.asked += 1
            flow.request(b"export")
            flow.on_packet = lambda flow=flow: self._end_when_answered(flow)

    def _end_when_answered(self, flow: PacketClient) -> None:
        if flow.answers and not getattr(flow, "is_ended", False):
            flow.is_ended = True
            self.answered += 1
            flow.end_flow()


async def play(record: Record) -> bool:
    """Plays the case; returns whether the rule was broken."""
    fleet = CaseFleet(seeds=("1.1", "1.2"))
    balancers = [fleet.address("1.1"), fleet.address("1.2")]
    hosts = [fleet.address("2.1"), fleet.address("2.2")]
    await fleet.start()
    tasks = []
    try:
        fleet.publish("op/config", CONFIG)
        for host in hosts:
            await fleet.start_agent(host)
            watch_openings(fleet, host)
        servers = [Server(fleet, host, f"i-{n}", record) for n, host in enumerate(hosts)]
        tasks += [asyncio.ensure_future(server.beat(0.0)) for server in servers]
        for host in balancers:
            await fleet.start_balancer(host)
        for host in balancers:
            if not await fleet.wait_until_balancer_ready(host):
                raise TimeoutError(f"{host} is not ready")
        await asyncio.sleep(5.0)  # until a start no longer counts as cold
        clients = Clients(fleet, balancers, record)
        flows: list[PacketClient | None] = [None] * DASHBOARDS
        await clients.poll_round(flows)
        record.write(f"{sum(flow is not None for flow in flows)} dashboards have a flow")
        tasks.append(asyncio.ensure_future(clients.send_exports()))
        await asyncio.sleep(POLL_INTERVAL_S)
        for number in range(CRASHES):
            crashed = servers[number % len(servers)]
            poll_at = asyncio.get_running_loop().time()
            await clients.poll_round(flows)
            await sleep_until(poll_at + CRASH_AFTER_POLL_S)
            if is_troubled():
                crashed.crash()
            await asyncio.sleep(DOWN_S)
            if is_troubled():
                crashed.start_again()
            await sleep_until(poll_at + POLL_INTERVAL_S)
            await clients.poll_round(flows)
            await asyncio.sleep(COLD_MS / 1000 + 5.0)
        record.write(f"{clients.asked} requests sent, {clients.answered} answered")
        if clients.answered < clients.asked * 0.8:
            raise RuntimeError("too few requests were answered")
        return judge(servers, clients, record)
    finally:
        for task in tasks:
            task.cancel()
        await fleet.close()


async def sleep_until(time: float) -> None:
    """Sleeps until a time of the event loop."""
    await asyncio.sleep(max(0.0, time - asyncio.get_running_loop().time()))


def judge(servers: list[Server], clients: Clients, record: Record) -> bool:
    """Counts the flows that a cold server got, sent and arrived inside one second."""
    allowed = COLD_PER_S * COLD_OVER + COLD_SLACK
    worst = 0
    for server in servers:
        for start, end in server.cold_spans:
            cold = [
                (clients.sent_at[port], at) for at, port in server.arrivals if start <= at < end
            ]
            counts = [
                sum(sent_at >= since and at < since + 1.0 for sent_at, at in cold)
                for since, _ in cold
            ]
            most = max(counts, default=0)
            worst = max(worst, most)
            record.write(f"{server.name} cold: {len(cold)} new flows, {most} within one second")
    record.write(f"allowed within one second: {allowed:g}; most: {worst}")
    return worst > allowed


if __name__ == "__main__":
    sys.exit(exit_status(Path(__file__).resolve().parent, play))
