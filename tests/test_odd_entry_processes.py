"""Odd entries of other writers in the store of real processes, with a drain and a power loss."""

import asyncio
import os
import signal
import unittest

from standins.packet_processes import SERVICE, VIP, LoopbackFleet
from tests.odd_entries import pick_odd_entries

# `ODD_ENTRY_SEEDS=1-50` plays more draws by hand; each takes about 15 s.
SEEDS = os.environ.get("ODD_ENTRY_SEEDS", "1-1")
BALANCERS = ("127.0.1.11", "127.0.1.12", "127.0.1.13", "127.0.1.14")
AGENTS = ("127.0.2.11", "127.0.2.12", "127.0.2.13")
LEAVING = AGENTS[0]
ENTRY_COUNT = 64
MAX_RUN_S = 90.0
DRAIN_S = 3.0  # the tightest limit of the users on the time until a change takes effect
FLOWS = 12
CONFIG = {
    "version": 3,
    "routes": [{"host": VIP[0], "prefix": f"/{VIP[1]}/", "service": SERVICE}],
    "services": [{"name": SERVICE}],
}


class OddEntryProcessTest(unittest.IsolatedAsyncioTestCase):
    """Guards against processes that end, or stop following the store, at an odd entry."""

    async def test_drawn_entries(self) -> None:
        """Half of the entries are there at the start, the others come by the watch."""
        first, _, last = SEEDS.partition("-")
        for seed in range(int(first), int(last or first) + 1):
            self.fleet = LoopbackFleet(seeds=BALANCERS[:3])
            self.port = 42_000
            await self.fleet.start()
            try:
                with self.subTest(seed=seed):
                    async with asyncio.timeout(MAX_RUN_S):
                        await self.play(seed)
            finally:
                await self.fleet.close()

    async def play(self, seed: int) -> None:
        """Plays a start, a drain and a loss of all processes beside the entries of one seed."""
        odd = pick_odd_entries(f"{LEAVING}:8080", SERVICE, ENTRY_COUNT, seed)
        early, late = list(odd)[: ENTRY_COUNT // 2], list(odd)[ENTRY_COUNT // 2 :]
        self.fleet.publish("op/config", CONFIG)
        for host in AGENTS:
            self.publish_upstream(host, "ready")
        for name in early:
            self.fleet.publish(f"servers/{name}", odd[name])
        await self.start()
        self.assertTrue(await self.serve())
        for name in late:
            self.fleet.publish(f"servers/{name}", odd[name])
        await self.fleet.wait_until(lambda: False, 1.0)
        self.publish_upstream(LEAVING, "draining")
        await self.fleet.wait_until(lambda: False, DRAIN_S)
        self.assertNotIn(LEAVING, await self.serve(), "after the drain")
        for host in (*BALANCERS, *AGENTS):
            await self.fleet.stop(host, signal.SIGKILL)
        await self.start()
        self.assertNotIn(LEAVING, await self.serve(), "after the restart")
        for host in (*BALANCERS, *AGENTS):
            self.assertEqual(0, await self.fleet.stop(host), f"{host} did not stop as asked")
        self.assertEqual(
            [], [line for line in self.fleet.log_lines if line["event"] == "tick_failed"]
        )

    def publish_upstream(self, host: str, state: str) -> None:
        """Writes the entry of an upstream."""
        entry = {"service": SERVICE, "address": f"{host}:8080", "zone": "bud-a", "version": "v1"}
        entry |= {"slots": 3, "state": state, "coldRemainingMs": 0, "seq": 1}
        self.fleet.publish(f"servers/i-{host}", entry)

    async def start(self) -> None:
        """Starts all processes and waits until the balancers are ready."""
        for host in AGENTS:
            await self.fleet.start_agent(host)
        for host in BALANCERS:
            await self.fleet.start_balancer(host)
        for host in BALANCERS:
            self.assertTrue(await self.fleet.wait_until_balancer_ready(host), host)

    async def serve(self) -> list[str]:
        """Opens flows and returns the hosts of the upstreams that ran their requests."""
        upstreams = self.fleet.upstreams
        before = {host: len(upstreams[host].executed_requests) for host in AGENTS}
        clients = []
        for number in range(FLOWS):
            self.port += 1
            clients.append(self.fleet.open_flow(self.port, BALANCERS[number % len(BALANCERS)]))
            clients[-1].request(b"one")
        is_served = await self.fleet.wait_until(lambda: all(one.answers for one in clients), 3.0)
        self.assertTrue(is_served, "a request was not answered")
        return [host for host in AGENTS if len(upstreams[host].executed_requests) > before[host]]


if __name__ == "__main__":
    unittest.main()
