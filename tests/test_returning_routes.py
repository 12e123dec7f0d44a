"""Flows of a route that was dropped and is back, at balancers that have not read the last change.

Review case 12: a route that a balancer's copy had dropped counted as withdrawn until that copy had
it again, so that its open flows were reset without a check.
"""

import unittest

from shallotshore.messages import Address
from standins.packet_client import PacketClient
from standins.packet_world import PROBE_INTERVAL_MS, VIP
from tests.change_storm import BALANCERS, ChangeStorm

OTHER_VIP: Address = ("198.18.0.2", 443)
FLOW_INTERVAL_MS = 10
DROPPED_MS = 3_500
BETWEEN_CHANGES_MS = 200
# A balancer is stopped just before a probe. The second probe that it misses moves the flows 0.2 s
# after the route is back.
STOP_BEFORE_PROBE_MS = 30
SERIES_AFTER_STOP_MS = 110
ROUNDS = 3


class ReturningRouteTest(unittest.TestCase):
    """Clients that use the route as soon as it is back."""

    def setUp(self) -> None:
        self.storm = ChangeStorm(balancers=7)
        self.world = self.storm.world
        self.clients: list[PacketClient] = []
        self.port = 30_000

    def configure(self, has_other: bool) -> None:
        """Writes a version with or without the second route."""
        vips = (VIP, OTHER_VIP) if has_other else (VIP,)
        self.world.configure(dict.fromkeys(vips, "spend"))

    def run_clients(self, duration: int) -> None:
        """Opens flows, and lets all clients send data, for a duration in ms."""
        for _ in range(duration // FLOW_INTERVAL_MS):
            self.port += 1
            self.clients.append(self.world.open_flow(self.port, OTHER_VIP))
            for client in self.clients[-40:]:
                if client.opened_at is not None and not client.has_unanswered_request:
                    client.request(b"x")
            self.world.run(FLOW_INTERVAL_MS)

    def find_wrong_resets(self) -> list[Address]:
        """Returns the clients whose open flow was reset."""
        return [
            client.address
            for client in self.clients
            if client.opened_at is not None and client.reset_at is not None
        ]

    def test_flows_go_on_although_other_balancers_lack_the_last_change(self) -> None:
        """Guards against resets by a copy that is older than the flow (review/12).

        The flows move to other balancers while a time-out changes and the route comes back.
        """
        self.configure(True)
        self.world.run(2_000)
        for number in range(ROUNDS):
            self.configure(False)
            self.world.run(DROPPED_MS)
            self.world.run(-self.world.now % PROBE_INTERVAL_MS - STOP_BEFORE_PROBE_MS)
            stopped = BALANCERS[number % len(BALANCERS)]
            self.world.balancers[stopped].stop(self.world.now)
            self.world.run(SERIES_AFTER_STOP_MS)
            self.configure(False)
            self.world.run(BETWEEN_CHANGES_MS)
            self.configure(True)
            self.clients.clear()
            self.run_clients(1_000)
            self.assertGreater(sum(client.opened_at is not None for client in self.clients), 40)
            self.assertEqual([], self.find_wrong_resets(), f"round {number}")
            self.storm.stop_balancer(stopped)
            self.storm.start_balancer(number % len(BALANCERS))
            self.world.run(2_000)


if __name__ == "__main__":
    unittest.main()
