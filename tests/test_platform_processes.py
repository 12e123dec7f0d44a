"""Tests of balancers and agents as real processes on loopback: start, flows, kills and stop."""

import signal
import unittest

from standins.packet_processes import SERVICE, VIP, LoopbackFleet

BALANCERS = ("127.0.1.1", "127.0.1.2")
AGENT = "127.0.2.1"
METRICS_PORT = 9464
CONFIG = {
    "version": 3,
    "routes": [{"host": VIP[0], "prefix": f"/{VIP[1]}/", "service": SERVICE}],
    "services": [{"name": SERVICE}],
}
ENTRY = {
    "service": SERVICE,
    "address": f"{AGENT}:8080",
    "zone": "bud-a",
    "version": "v1",
    "slots": 3,
    "state": "ready",
    "coldRemainingMs": 0,
    "seq": 1,
}


class ProcessTest(unittest.IsolatedAsyncioTestCase):
    """Tests two balancers and one agent."""

    async def asyncSetUp(self) -> None:
        self.fleet = LoopbackFleet()
        await self.fleet.start()
        self.fleet.publish("op/config", CONFIG)
        self.fleet.publish("servers/i-1", ENTRY)
        await self.fleet.start_agent(AGENT)
        for host in BALANCERS:
            await self.fleet.start_balancer(host)
        for host in BALANCERS:
            await self.wait_until_ready(host)

    async def asyncTearDown(self) -> None:
        await self.fleet.close()

    async def wait_until_ready(self, host: str) -> None:
        self.assertTrue(
            await self.fleet.wait_until_balancer_ready(host), f"{host} did not become ready"
        )

    async def test_flows_survive_kills_of_balancers_and_of_the_agent(self) -> None:
        """Guards against flows that end when a process is killed; the state must be recovered."""
        fleet = self.fleet
        client = fleet.open_flow(40_001, BALANCERS[0])
        client.request(b"one")
        self.assertTrue(await fleet.wait_until(lambda: len(client.answers) == 1))
        await fleet.stop(BALANCERS[0], signal.SIGKILL)
        fleet.move_client(40_001, BALANCERS[1])
        client.request(b"two")
        self.assertTrue(await fleet.wait_until(lambda: len(client.answers) == 2))
        await fleet.stop(AGENT, signal.SIGKILL)
        await fleet.start_agent(AGENT)
        client.request(b"three")
        self.assertTrue(await fleet.wait_until(lambda: len(client.answers) == 3))
        await fleet.start_balancer(BALANCERS[0])
        fleet.move_client(40_001, BALANCERS[0])
        client.request(b"four")
        self.assertTrue(await fleet.wait_until(lambda: len(client.answers) == 4))
        self.assertIsNone(client.reset_at)
        self.assertEqual(0, client.damaged_packets)
        self.assertEqual(
            [b"one", b"two", b"three", b"four"], fleet.upstreams[AGENT].executed_requests
        )

    async def test_flow_waits_for_an_agent_that_is_down_for_long(self) -> None:
        """Guards against a reset of a flow while its agent restarts.

        A balancer must not conclude from the silence of the agent that the VM is gone.
        """
        fleet = self.fleet
        client = fleet.open_flow(40_003, BALANCERS[0])
        client.request(b"one")
        self.assertTrue(await fleet.wait_until(lambda: len(client.answers) == 1))
        for host in BALANCERS:
            await fleet.stop(host, signal.SIGKILL)
        await fleet.stop(AGENT, signal.SIGKILL)
        await fleet.start_balancer(BALANCERS[1])
        await self.wait_until_ready(BALANCERS[1])
        fleet.move_client(40_003, BALANCERS[1])
        client.request(b"two")
        await fleet.wait_until(lambda: client.reset_at, 2.5)
        await fleet.start_agent(AGENT)
        self.assertTrue(await fleet.wait_until(lambda: len(client.answers) == 2))
        self.assertIsNone(client.reset_at)
        states = [line["state"] for line in self.logged_events("vm_checked")]
        # The VM refuses connections until the new process of the agent accepts them.
        self.assertEqual("REFUSES", states[0])
        self.assertNotIn("SILENT", states)

    async def test_stop_is_announced_and_ends_cleanly(self) -> None:
        """Guards against a stop that ends flows, hangs, fails or is missing in the log."""
        fleet = self.fleet
        client = fleet.open_flow(40_002, BALANCERS[0])
        client.request(b"one")
        self.assertTrue(await fleet.wait_until(lambda: client.answers))
        _, text = await fleet.get(BALANCERS[0], METRICS_PORT, "/metrics")
        self.assertIn('shallotshore_events_total{name="flows.opening"} 1.0', text)
        self.assertEqual(0, await fleet.stop(BALANCERS[0]))
        self.assertEqual(0, await fleet.stop(AGENT))
        await fleet.wait_until(lambda: len(self.logged_events("ended")) == 2)
        for event in ("started", "stopping", "ended"):
            self.assertGreaterEqual(len(self.logged_events(event)), 1, event)
        self.assertTrue(self.logged_events("flow_offered"))

    def logged_events(self, name: str) -> list[dict[str, object]]:
        return [line for line in self.fleet.log_lines if line["event"] == name]


if __name__ == "__main__":
    unittest.main()
