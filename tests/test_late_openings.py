"""Opening packets that a balancer handles when the client's next copy is out already.

The copy may have opened the flow at another balancer by a newer configuration.
"""

import unittest

from standins.packet_client import PacketClient
from standins.packet_world import VIP, PacketWorld

BALANCERS = ("10.1.0.1", "10.1.0.2")
LATE = "10.1.0.3"
GONE = ("10.8.0.1",)  # hosts at which nothing runs
NEW_VIP = ("198.18.0.7", 443)
LOST_STORE_MS = 8_000  # until the last watch has ended
ADDED_AFTER_MS = 190  # from the first copy until the route is added
COPY_SENT_AFTER_MS = 200


class LateOpeningTest(unittest.TestCase):
    """A route is added between the first copy and the second one."""

    def setUp(self) -> None:
        self.world = PacketWorld()
        self.world.configure()
        for host in ("10.1.1.1", "10.1.1.2"):
            self.world.add_agent(host)
            self.world.publish(host)
        for host in BALANCERS:
            self.world.add_balancer(host, seeds=BALANCERS)
        self.world.run(3_000)

    def cut_off(self) -> None:
        """Lets the late balancer hear of no newer revision from others."""
        hosts = (*BALANCERS, *self.world.agents)
        self.world.cut_links.update((host, LATE) for host in hosts)

    def open_flow(self) -> PacketClient:
        """Sends the first copy to the late balancer, and the second one to another balancer."""
        self.world._rotation = [LATE]
        client = self.world.open_flow(4_000, NEW_VIP)
        self.world.run(ADDED_AFTER_MS)
        self.world.configure({VIP: "spend", NEW_VIP: "spend"})
        self.world.run(COPY_SENT_AFTER_MS - ADDED_AFTER_MS - 1)
        self.world._rotation = [BALANCERS[0]]
        self.world.run(31)
        self.assertIsNotNone(client.opened_at)
        return client

    def check(self, client: PacketClient) -> None:
        """Checks that the flow goes on."""
        client.request(b"x")
        self.world.run(2_000)
        self.assertTrue(self.world.balancers[LATE].state.is_ready_to_route)
        self.assertIsNone(client.reset_at)
        self.assertEqual([b"200 x"], client.answers)

    def test_in_the_socket_of_a_balancer_that_wakes(self) -> None:
        """Guards against resets by a balancer that wakes and has not heard of the new version."""
        self.world.add_balancer(LATE, seeds=GONE)
        self.world.run(2_000)
        self.cut_off()
        self.world.hosts_without_store.add(LATE)
        self.world.run(LOST_STORE_MS)
        self.world.paused_hosts.add(LATE)
        client = self.open_flow()
        self.world.paused_hosts.clear()
        self.check(client)


if __name__ == "__main__":
    unittest.main()
