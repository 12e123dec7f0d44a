"""Odd entries of other writers, listed and drawn, in the store of a whole deployment.

Whatever another writer leaves among the entries of the upstreams, these stay in use, a leaving
upstream gets no new flows, and all processes start again beside the entries.
"""

import os
import unittest
from collections.abc import Mapping

from hypothesis import HealthCheck, given, settings

from shallotshore.packets.view import Feed
from standins.packet_world import PacketWorld
from tests.odd_entries import list_odd_entries, odd_values
from tests.test_foreign_entries import change

EXAMPLES = int(os.environ.get("ODD_ENTRY_EXAMPLES", "30"))
BALANCERS = ("10.0.0.1", "10.0.0.2")
AGENTS = ("10.1.0.1", "10.1.0.2", "10.1.0.3")
LEAVING = AGENTS[0]
ADDRESS = f"{LEAVING}:8080"
SERVICE = "spend"
BATCH = 24  # listed entries that are in the store together
FLOWS = 6


class Deployment:
    """Two balancers and three upstreams on a virtual clock."""

    def __init__(self) -> None:
        self.world = PacketWorld()
        self.world.configure()
        self.start(is_first_start=True)
        for host in AGENTS:
            self.world.publish(host)
        self.world.run(600)
        self._port = 20_000

    def start(self, is_first_start: bool) -> None:
        """Starts all processes, without the state of those before."""
        for host in BALANCERS:
            self.world.add_balancer(host, seeds=BALANCERS)
        for host in AGENTS:
            self.world.add_agent(host, is_first_start=is_first_start)

    def put(self, entries: Mapping[str, bytes]) -> None:
        """Writes entries of another writer."""
        for key, value in entries.items():
            self.world.store.append_change(
                Feed.UPSTREAMS,
                lambda revision, key=key, value=value: change(f"servers/{key}", value, revision),
            )
        self.world.run(1_500)

    def serve(self) -> list[str]:
        """Opens flows and returns the hosts of the upstreams that ran their requests."""
        upstreams = self.world.upstreams
        before = {host: len(upstreams[host].executed_requests) for host in AGENTS}
        clients = []
        for _ in range(FLOWS):
            self._port += 1
            clients.append(self.world.open_flow(self._port))
            clients[-1].request(b"one")
        self.world.run(600)
        if not all(client.answers for client in clients):
            raise AssertionError("a request was not answered")
        return [host for host in AGENTS if len(upstreams[host].executed_requests) > before[host]]

    def failed_systems(self) -> list[str]:
        """Returns the systems that raised an exception."""
        cores = [*self.world.balancers.values(), *self.world.agents.values()]
        names = {name for core in cores for name in core.counters.snapshot()}
        return sorted(name for name in names if name.startswith("systems.failed"))


class OddEntryTest(unittest.TestCase):
    """Guards against entries of other writers that end or stop the following of the others."""

    def play(self, entries: Mapping[str, bytes]) -> None:
        """Plays each way in: a watch, an entry that was sound before, a start, a peer's copy."""
        deployment = Deployment()
        deployment.put(entries)
        self.assertTrue(deployment.serve())
        deployment.world.publish(LEAVING, is_leaving=True)
        deployment.put(entries)
        self.assertNotIn(LEAVING, deployment.serve(), "after the watch")
        deployment.start(is_first_start=False)
        deployment.world.run(1_000)
        self.assertNotIn(LEAVING, deployment.serve(), "after the restart")
        # The entry of an upstream that is overwritten names none; the others stay.
        deployment.put({f"i-{AGENTS[1]}": next(iter(entries.values()))})
        deployment.world.run(2_500)
        self.assertNotIn(LEAVING, deployment.serve(), "after the overwritten entry")
        self.assertEqual([], deployment.failed_systems())

    def test_listed_entries(self) -> None:
        """Each kind of odd entry, with the address of a leaving upstream."""
        odd = list_odd_entries(ADDRESS, SERVICE)
        names = sorted(odd)
        for start in range(0, len(names), BATCH):
            batch = {name: odd[name] for name in names[start : start + BATCH]}
            with self.subTest(entries=list(batch)):
                self.play(batch)

    @settings(
        max_examples=EXAMPLES,
        deadline=None,
        derandomize="ODD_ENTRY_EXAMPLES" not in os.environ,
        suppress_health_check=list(HealthCheck),
    )
    @given(odd_values(ADDRESS, SERVICE))
    def test_drawn_entry(self, value: bytes) -> None:
        """One entry that Hypothesis draws."""
        self.play({"x": value})


if __name__ == "__main__":
    unittest.main()
