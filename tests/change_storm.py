"""A fleet under load while routes and upstreams are added, for tests of faults meanwhile."""

import itertools

from shallotshore.hashing import flow_key
from shallotshore.messages import Address
from standins.packet_client import PacketClient
from standins.packet_world import VIP, PacketWorld

PLACES = ("bud-a", "bud-b", "bud-c")
BALANCERS = tuple(f"10.{number % 3 + 1}.9.{number // 3 + 1}" for number in range(7))
SEEDS = BALANCERS[:3]
GONE = ("10.8.9.1", "10.8.9.2", "10.8.9.3")  # hosts at which nothing runs
CHANGE_INTERVAL_MS = 200
FLOW_INTERVAL_MS = 12
REQUEST_INTERVAL_MS = 100
FLOW_LIFE_MS = 1_000
UPSTREAMS = 6


class ChangeStorm:
    """Clients that use the newest routes, and upstreams that have just been added.

    Attributes:
        world: The processes, upstreams and clients.
        resets: Clients whose flow was reset while an upstream held it, with the time in ms.
        started, opened: Number of flows that were started, and that opened, of those that have
            ended.
    """

    def __init__(self, balancers: int = 3, seed: int = 1, adds_upstreams: bool = False) -> None:
        self.world = PacketWorld(seed, PLACES)
        self.world.configure()
        self.resets: list[tuple[Address, int]] = []
        self.started = self.opened = 0
        self._adds_upstreams = adds_upstreams
        self._upstream_numbers = itertools.count()
        self._ports = itertools.count(10_000)
        self._vips = [VIP]
        self._storm_ends_at = 0
        for _ in range(UPSTREAMS):
            self._add_upstream()
        for number in range(balancers):
            self.start_balancer(number)
        self.world.start_probes()
        self.world.run(4_000)
        self._open_flow()
        self.world.run(1_500)

    def start_balancer(self, number: int, seeds: tuple[str, ...] = SEEDS) -> str:
        """Starts a balancer, or starts it again without its state, and returns its host."""
        host = BALANCERS[number]
        self.world.add_balancer(host, PLACES[number % len(PLACES)], seeds)
        return host

    def restart_agent(self, host: str) -> None:
        """Starts the agent of a host, whose upstream runs on."""
        place = self.world.data_centre_by_host[host]
        self.world.add_agent(host, place=place, is_first_start=False)

    def stop_balancer(self, host: str) -> None:
        """Ends the process of a balancer; its packets go to the others."""
        self.world.balancers.pop(host, None)

    def change_for(self, duration: int) -> None:
        """Starts a series of changes for a duration in ms."""
        is_running = self.world.now < self._storm_ends_at
        self._storm_ends_at = self.world.now + duration
        if not is_running:
            self._change()

    def run(self, duration: int) -> None:
        """Runs the fleet for a duration in ms."""
        self.world.run(duration)

    def _change(self) -> None:
        if self.world.now >= self._storm_ends_at:
            return
        if self._adds_upstreams:
            self._add_upstream()
        else:
            self._vips.append((VIP[0], VIP[1] + len(self._vips)))
            self.world.configure(dict.fromkeys(self._vips, "spend"))
        self.world.call_later(CHANGE_INTERVAL_MS, self._change)

    def _add_upstream(self) -> None:
        number = next(self._upstream_numbers)
        host = f"10.{number % 3 + 1}.0.{number // 3 + 1}"
        self.world.add_agent(host, place=PLACES[number % 3])
        self.world.publish(host)

    def _open_flow(self) -> None:
        self.world.call_later(FLOW_INTERVAL_MS, self._open_flow)
        client = self.world.open_flow(next(self._ports), self._vips[-1])
        client.on_packet = lambda: self._watch(client)
        self.world.call_later(FLOW_LIFE_MS, lambda: self._end(client))
        self._request(client)

    def _request(self, client: PacketClient) -> None:
        if client.reset_at is None and client.address in self.world.clients:
            client.request(b"x")
            self.world.call_later(REQUEST_INTERVAL_MS, lambda: self._request(client))

    def _watch(self, client: PacketClient) -> None:
        if client.reset_at is not None:
            client.on_packet = lambda: None
            key = flow_key(client.address, client.vip, 0)
            is_held = any(upstream.holds(key) for upstream in self.world.upstreams.values())
            if client.opened_at is not None and is_held:
                self.resets.append((client.address, client.reset_at))

    def _end(self, client: PacketClient) -> None:
        self.started += 1
        self.opened += client.opened_at is not None
        self.world.clients.pop(client.address, None)
        if client.opened_at is not None and client.reset_at is None:
            client.end_flow()
