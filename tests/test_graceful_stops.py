"""Planned stops of agents under load."""

import unittest

from shallotshore.packets.hosts import host_number
from shallotshore.packets.node_messages import Carry, CarryKind, Passed
from standins.packet_wire import SYN, write_packet
from standins.packet_world import NODE_PORT, VIP, PacketWorld

BALANCER = "10.1.0.1"
STOPPING, OTHER = "10.1.1.1", "10.1.1.2"
OPENINGS = 5


class AgentStopTest(unittest.TestCase):
    """An agent stops while opening packets wait for a slot of its upstream."""

    def test_held_openings_go_to_other_agents(self) -> None:
        """Guards against opening packets that an agent has taken and drops when it stops.

        Their clients would send the next copy only after 200 or 400 ms.
        """
        world = PacketWorld()
        world.configure()
        world.add_agent(STOPPING, slots=1)
        world.publish(STOPPING)
        world.add_balancer(BALANCER, seeds=(BALANCER,))
        world.run(400)
        agent = world.agents[STOPPING]
        agent.state.in_flight = agent.state.slots + 1
        for port in range(OPENINGS):
            frame = write_packet(("100.64.0.9", 4000 + port), VIP, SYN, 77, 0)
            opening = Carry(
                CarryKind.OPEN,
                agent.state.service,
                0,
                (host_number(OTHER),),
                0.0,
                0,
                0,
                host_number(BALANCER),
                frame,
            )
            agent.receive((BALANCER, NODE_PORT), opening)
        agent.tick(world.now)
        self.assertEqual(OPENINGS, len(agent.state.held_openings))
        list(agent.outbox.drain())
        agent.stop(world.now)
        agent.tick(world.now)
        sent = list(agent.outbox.drain())
        passed_on = [
            message
            for (host, _), message in sent
            if host == OTHER and isinstance(message, Carry) and message.kind == CarryKind.OPEN
        ]
        self.assertEqual(OPENINGS, len(passed_on))
        self.assertEqual(OPENINGS, sum(isinstance(message, Passed) for _, message in sent))
        self.assertTrue(agent.stopped)


if __name__ == "__main__":
    unittest.main()
