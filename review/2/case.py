"""A new balancer resets open flows, since one foreign entry hides part of the servers from it."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from harness import BOUNDS, Client, Fleet, run_case

ZONES = ("bud-a", "bud-b", "bud-c")
SERVICE = "spend-stream"
FLOWS = 60
SETTLE_S = 4.5  # longer than stableWindowMs
OBSERVED_S = 14.0
ADD_GAP_S = 6.0  # the first added balancer is then in touch


async def use_flow(fleet: Fleet, number: int, client: Client, ends_at: float) -> None:
    """Opens a flow and sends a request on it every 0.4 s."""
    if not await client.open():
        return
    count = 0
    while time.monotonic() < ends_at and client.reset_at is None:
        count += 1
        await client.request(f"f{number}-{count}", deadline_s=5.0)
        await asyncio.sleep(0.4)


async def case(fleet: Fleet, has_trouble: bool) -> str:
    """Returns how the rule was broken, or an empty text."""
    fronts = [fleet.host("front", number) for number in (1, 2, 3)]
    added = [fleet.host("front", number) for number in (4, 5)]
    route = {"name": "r-1", "host": fleet.vip[0], "prefix": f"/{fleet.vip[1]}/", "type": "safe"}
    fleet.store.put_json(
        "op/config",
        {
            "version": 7,
            "routes": [{**route, "timeoutMs": 2500, "priority": 1, "service": SERVICE}],
            "services": [{"name": SERVICE, "coldStartS": 2.0, "coldPerS": 0.0}],
            "limits": {"idleTimeoutMs": 15000},
        },
    )
    names = ("i-1f3a91c", "i-4b7720e", "i-9d01aa2", "i-c55e013")
    servers = [
        await fleet.add_server(name, number, SERVICE) for number, name in enumerate(names, start=1)
    ]
    for server, zone in zip(servers, (*ZONES, ZONES[0]), strict=True):
        fleet.register(server, SERVICE, zone)
        await fleet.start_side(server.host, zone, fronts, SERVICE)
    for host, zone in zip(fronts, ZONES, strict=True):
        await fleet.start_front(host, zone, fronts)
    if not await fleet.wait_ready(fronts):
        raise RuntimeError("the balancers did not become ready")

    if has_trouble:
        foreign_host = f"{fleet.network}.9.9"
        await fleet.add_silent_host(foreign_host)
        # The entry of another writer: its service is none of the configuration.
        fleet.store.put_json(
            "servers/i-77cache",
            {
                "service": "object-cache",
                "address": f"{foreign_host}:6379",
                "zone": ZONES[1],
                "version": "v3",
                "slots": 100_000,
                "state": "ready",
                "coldRemainingMs": 0,
                "seq": 1,
            },
        )
        fleet.note("entry of another writer", key="servers/i-77cache", service="object-cache")
    ends_at = time.monotonic() + SETTLE_S + OBSERVED_S
    clients = [fleet.new_client() for _ in range(FLOWS)]
    tasks = [
        asyncio.ensure_future(use_flow(fleet, number, client, ends_at))
        for number, client in enumerate(clients)
    ]
    await asyncio.sleep(SETTLE_S)
    opened = sum(client.is_open for client in clients)
    for host, zone in zip(added, ZONES[:2], strict=True):
        await fleet.start_front(host, zone, fronts)
        fleet.note("planned work", kind="add_nodes", host=host)
        await asyncio.sleep(ADD_GAP_S)
    await asyncio.gather(*tasks)
    if not set(added) <= set(fleet.rotation):
        raise RuntimeError("the added balancers did not become ready")
    if opened < FLOWS // 2:
        raise RuntimeError("too few flows were opened")
    broken = in_touch = 0
    for client in clients:
        holders = [server.name for server in servers if server.holds(client.key)]
        if client.reset_at is not None and client.was_open_at_reset and holders:
            broken += 1
            # Resets of a balancer that has not run for stableWindowMs are left out, so that the
            # case does not rest on "under planned work it always counts".
            is_in_touch = client.sender_age_s > BOUNDS["stableWindowMs"] / 1000
            in_touch += is_in_touch
            fleet.note(
                "open flow was reset",
                client=client.address[1],
                still_held_by=holders[0],
                sender=client.reset_by,
                sender_in_touch=is_in_touch,
            )
    answered = sum(len(client.answers) for client in clients)
    fleet.note("totals", flows=opened, answered=answered, reset=broken, in_touch=in_touch)
    if not in_touch:
        return ""
    return f"{in_touch} of {opened} held, open flows reset by a balancer in touch ({broken} in all)"


run_case(case, Path(__file__).resolve().parent)
