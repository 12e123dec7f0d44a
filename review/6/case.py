"""FLOW: a balancer that is added resets open flows of a route that was added at the same time."""

import asyncio
import itertools
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path[:0] = [str(FOLDER.parent), str(FOLDER.parent.parent)]

from fleet_2 import SERVICE, VIP, Fleet, now_ms, run_case  # noqa: E402

from shallotshore.hashing import flow_key  # noqa: E402

SERVERS = 6
STEPS = 4  # a balancer is added in each; the site has four spare machines
STEP_S = 5.0
STORM_S = 2.0  # of `config_storm`; the site file has up to 4.86 s, with a gap of 0.162 s and more
STORM_GAP_S = 0.2
FLOWS_PER_S = 80  # on the newest route
FLOW_LIFE_S = 1.0
REQUEST_GAP_S = 0.1


def make_config(version: int, routes: int) -> dict[str, object]:
    """Returns a configuration with a number of routes that differ by their ports."""
    return {
        "version": version,
        "routes": [
            {
                "name": f"watch-{number}",
                "host": VIP[0],
                "prefix": f"/{VIP[1] + number}/",
                "type": "safe",
                "timeoutMs": 1500,
                "targetLatencyMs": 120,
                "priority": 2,
                "service": SERVICE,
            }
            for number in range(routes)
        ],
        "services": [{"name": SERVICE, "coldStartS": 2.0, "coldPerS": 0.0}],
        "limits": {"idleTimeoutMs": 15000},
    }


async def play(fleet: Fleet, is_trouble: bool) -> bool | None:
    """Adds balancers during storms of new routes, while clients use flows of the newest route."""
    await fleet.store.put("op/config", make_config(7, 1))
    for number in range(1, SERVERS + 1):
        await fleet.add_server(number)
    for number in (1, 2, 3):
        await fleet.add_balancer(number)
    if not await fleet.wait_until(lambda: len(fleet.rotation) == 3):
        return None
    await asyncio.sleep(4)
    resets: list[int] = []
    newest = [0]
    fleet.spawn(make_flows(fleet, newest, resets))
    await asyncio.sleep(3)
    stale = [f"{fleet.prefix}.8.{number}" for number in (1, 2, 3)]
    for step in range(STEPS):
        if is_trouble:
            host = await fleet.add_balancer(4 + step, seeds=stale)
            fleet.record(f"balancer {host} is started")
        for _ in range(round(STORM_S / STORM_GAP_S)):
            await asyncio.sleep(STORM_GAP_S)
            number = newest[0] + 1
            await fleet.store.put("op/config", make_config(7 + 2 * number, 1 + number))
            newest[0] = number
        await asyncio.sleep(STEP_S)
    opened = sum(client.opened_at is not None for client in fleet.clients.values())
    fleet.record(f"{opened} of {len(fleet.clients)} flows opened, {len(resets)} open flows reset")
    for line in fleet.log_lines:
        if line["event"] == "flow_reset" and any(f":{port}-" in line["flow"] for port in resets):
            fleet.record(f"log: {line}")
    if opened < len(fleet.clients) / 2:
        return None
    return bool(resets)


async def make_flows(fleet: Fleet, newest: list[int], resets: list[int]) -> None:
    """Opens flows to the newest route at a steady rate."""
    for port in itertools.count(20_000):
        vip = (VIP[0], VIP[1] + newest[0])
        fleet.spawn(use_flow(fleet, port, vip, resets))
        await asyncio.sleep(1 / FLOWS_PER_S)


async def use_flow(fleet: Fleet, port: int, vip: tuple[str, int], resets: list[int]) -> None:
    """Sends requests on one flow, and notes a reset while its server holds the flow."""
    client = fleet.open_flow(port, vip)
    key = flow_key(client.address, vip, 0)
    is_closing = False

    def on_packet() -> None:
        if client.reset_at is None or client.opened_at is None or is_closing:
            return
        client.on_packet = lambda: None
        holders = [one.host for one in fleet.servers.values() if one.holds(key)]
        if holders:
            resets.append(port)
            age_ms = now_ms() - client.opened_at
            fleet.record(f"flow {port}, open at {holders[0]} for {age_ms} ms, is reset")

    client.on_packet = on_packet
    await fleet.wait_until(lambda: client.opened_at is not None, 1.4)
    end_at = now_ms() + FLOW_LIFE_S * 1000
    sent = 0
    while True:
        if client.opened_at is None or client.reset_at is not None or now_ms() > end_at:
            break
        sent += 1
        fleet.request(client, b"GET %d-%d" % (port, sent))
        await fleet.wait_until(lambda sent=sent: len(client.answers) >= sent or client.reset_at, 3)
        await asyncio.sleep(REQUEST_GAP_S)
    is_closing = True
    fleet.end_flow(client)


if __name__ == "__main__":
    sys.exit(run_case(play, FOLDER))
