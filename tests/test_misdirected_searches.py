"""Searches that name another service than the agent's, after its process was restarted."""

import unittest

from shallotshore.hashing import name_id
from shallotshore.packets.hosts import host_number
from standins.packet_world import PacketWorld

BALANCERS = ("10.1.0.1", "10.1.0.2")
AGENTS = ("10.1.1.1", "10.1.1.2", "10.1.1.3")


class MisdirectedSearchTest(unittest.TestCase):
    """A balancer whose record of the owner names another service."""

    def setUp(self) -> None:
        self.world = PacketWorld()
        self.world.configure()
        for host in AGENTS:
            self.world.add_agent(host)
            self.world.publish(host)
        for host in BALANCERS:
            self.world.add_balancer(host, seeds=BALANCERS)
        self.world.run(1_000)
        self.client = self.world.open_flow(4_000)
        self.client.request(b"one")
        self.world.run(100)
        self.owner = next(host for host in AGENTS if self.world.upstreams[host].flows)
        self.world.add_agent(self.owner, is_first_start=False)

    def test_record_of_an_earlier_upstream_of_the_vm(self) -> None:
        """Guards against denials of a flow that the agent's new process has not seen."""
        for core in self.world.balancers.values():
            upstreams, flows = core.state.upstreams, core.state.flows
            row = upstreams.row(host_number(self.owner))
            upstreams.service[row] = name_id("service", "export")
            upstreams._by_service[name_id("service", "export")] = [host_number(self.owner)]
            upstreams._by_service[name_id("service", "spend")].remove(host_number(self.owner))
            for key in list(flows.keys()):
                flows.remove(key)
        self.world.cut_links.update((self.owner, host) for host in BALANCERS)
        self.client.request(b"two")
        self.world.run(20)
        self.world.cut_links.clear()
        self.world.run(2_000)
        self.assertIsNone(self.client.reset_at)


if __name__ == "__main__":
    unittest.main()
