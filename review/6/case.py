"""FAILBACK: servers that start again cold get more flows than cold servers bear."""

import asyncio
import itertools
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path[:0] = [str(FOLDER.parent), str(FOLDER.parent.parent)]

from fleet_2 import HEARTBEAT_MS, SERVICE, VIP, Fleet, Server, run_case  # noqa: E402

from standins.packet_client import PacketClient  # noqa: E402

COLD_PER_S = 2.0
COLD_MS = 3_000
WINDOW_MS = 1_000
REQUESTS_PER_S = 60
SERVERS = 3
DOWN_S = 2.0  # `cold_return` of the site files takes up to 4.5 s
CONFIG = {
    "version": 7,
    "routes": [
        {
            "name": "pull",
            "host": VIP[0],
            "prefix": f"/{VIP[1]}/",
            "type": "download",
            "timeoutMs": 8000,
            "targetLatencyMs": 500,
            "priority": 2,
            "service": SERVICE,
        }
    ],
    "services": [{"name": SERVICE, "coldStartS": COLD_MS / 1000, "coldPerS": COLD_PER_S}],
}


async def play(fleet: Fleet, is_trouble: bool) -> bool | None:
    """Lets all servers of a zone crash and come back cold, under a steady load."""
    await fleet.store.put("op/config", CONFIG)
    servers = []
    for number in range(SERVERS):
        servers.append(await fleet.add_server(number + 1))
        await asyncio.sleep(HEARTBEAT_MS / 1000 / SERVERS)
    for number in (1, 2, 3):
        await fleet.add_balancer(number)
    if not await fleet.wait_until(lambda: len(fleet.rotation) == 3):
        return None
    await asyncio.sleep(6)
    fleet.record(f"clients begin to open {REQUESTS_PER_S} flows a second, one request each")
    fleet.spawn(make_requests(fleet))
    await asyncio.sleep(4)
    if is_trouble:
        fleet.record("all servers crash")
        for server in servers:
            server.crash()
    await asyncio.sleep(DOWN_S)
    if is_trouble:
        fleet.record("all servers start again, cold")
        for server in servers:
            server.start_again(COLD_MS)
    await asyncio.sleep(COLD_MS / 1000 + 3)
    answered = sum(bool(client.answers) for client in fleet.clients.values())
    fleet.record(f"{len(fleet.clients)} flows, {answered} requests answered")
    if answered < len(fleet.clients) / 4:
        return None
    limit = COLD_PER_S * fleet.bounds["cold_over"] + fleet.bounds["cold_slack"]
    return max(count_worst_second(fleet, server, limit) for server in servers) > limit


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


async def make_requests(fleet: Fleet) -> None:
    """Opens flows at a steady rate, with one request on each."""
    for port in itertools.count(20_000):
        client = fleet.open_flow(port)
        client.request(b"GET %d" % port)
        end_when_answered(client)
        await asyncio.sleep(1 / REQUESTS_PER_S)


def end_when_answered(client: PacketClient) -> None:
    """Lets a client close its flow after the answer."""

    def on_packet() -> None:
        if client.answers:
            client.on_packet = lambda: None
            client.end_flow()

    client.on_packet = on_packet


if __name__ == "__main__":
    sys.exit(run_case(play, FOLDER))
