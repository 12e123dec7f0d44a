"""Deployments of the users' sizes on the virtual clock, and troubles that tests play on them."""

__all__ = ["BARLEYDESK", "KOLTEG", "DeploymentSize", "LoadedDeployment"]

import random
from dataclasses import dataclass
from functools import partial

from shallotshore.scheduling.terms import RequestTerms
from standins.packet_load import LoadShape, PacketLoad
from standins.packet_world import VIP, PacketWorld

COLD_MS = 2_000  # an upstream is slow for this time after its start
COLD_FACTOR = 1.6  # on the duration of a request meanwhile
AGENT_START_MS = 250
BALANCER_START_MS = 500
START_SPREAD_MS = 300  # processes start within this time of each other
SETTLE_MS = 3_000  # before the load starts
CALM_MS = 4_000  # of load before a trouble


@dataclass(slots=True, frozen=True)
class DeploymentSize:
    """Size and load of one user's main service.

    Attributes:
        data_centres: Names of the data centres.
        upstreams, balancers: Their numbers.
        slots: Requests that an upstream runs at the same time.
        request_ms: Duration of a request.
        shapes: Kinds of request.
    """

    data_centres: tuple[str, ...]
    upstreams: int
    balancers: int
    slots: int
    request_ms: int
    shapes: tuple[LoadShape, ...]

    def scaled(self, factor: int) -> "DeploymentSize":
        """Returns a deployment with more VMs and as much more load."""
        shapes = tuple(
            LoadShape(s.per_s * factor, s.aim_ms, s.deadline_ms, s.is_pooled, s.is_repeatable)
            for s in self.shapes
        )
        return DeploymentSize(
            self.data_centres,
            self.upstreams * factor,
            self.balancers * factor,
            self.slots,
            self.request_ms,
            shapes,
        )


BARLEYDESK = DeploymentSize(
    ("suva-a", "suva-b", "suva-c"),
    upstreams=7,
    balancers=7,
    slots=1,
    request_ms=17,
    shapes=(LoadShape(146, 120, 1_500, True, True), LoadShape(42, 150, 2_000, False, False)),
)
KOLTEG = DeploymentSize(
    ("bud-a", "bud-b", "bud-c", "gyor-a"),
    upstreams=7,
    balancers=7,
    slots=3,
    request_ms=43,
    shapes=(LoadShape(146, 250, 2_000, True, True), LoadShape(42, 300, 2_500, True, False)),
)


class LoadedDeployment:
    """A deployment under its usual load.

    Attributes:
        world: The processes, upstreams and clients.
        load: The callers.
        upstreams: Hosts of the upstreams.
        balancers: Hosts of the balancers.
        trouble_at: Time of the first trouble, in ms.
    """

    __slots__ = ("_place_by_host", "_size", "balancers", "load", "trouble_at", "upstreams", "world")

    def __init__(self, size: DeploymentSize, seed: int = 1, target_ms: int = 0) -> None:
        """Starts a deployment and runs it under its usual load for `CALM_MS`.

        Args:
            size: Its size and load.
            seed: Seed of the arrivals and of the processes' random numbers.
            target_ms: Target latency of the route; 0 when not declared.
        """
        self._size = size
        places = size.data_centres
        self.world = PacketWorld(seed, places)
        self.world.configure(terms={VIP: RequestTerms(target_ms=target_ms)})
        self.upstreams = [
            f"10.{i % len(places) + 1}.0.{i // len(places) + 1}" for i in range(size.upstreams)
        ]
        self.balancers = [
            f"10.{i % len(places) + 1}.9.{i // len(places) + 1}" for i in range(size.balancers)
        ]
        self._place_by_host: dict[str, str] = {}
        for i, host in enumerate(self.upstreams):
            self.start_upstream(host, places[i % len(places)], is_first_start=True)
            self._warm_up(host)
        for i, host in enumerate(self.balancers):
            self._place_by_host[host] = places[i % len(places)]
            self.start_balancer(host)
        self.world.run(SETTLE_MS)
        self.load = PacketLoad(self.world, random.Random(seed))
        for shape in size.shapes:
            self.load.start(shape)
        self.world.run(CALM_MS)
        self.trouble_at = self.world.now

    def start_balancer(self, host: str) -> None:
        """Starts the balancer of a host."""
        self.world.add_balancer(host, self._place_by_host[host], tuple(self.balancers[:3]))

    def start_agent(self, host: str, is_first_start: bool = False) -> None:
        """Starts the agent of a host."""
        self.world.add_agent(
            host,
            place=self._place_by_host[host],
            is_first_start=is_first_start,
            slots=self._size.slots,
        )

    def start_upstream(self, host: str, place: str, is_first_start: bool = False) -> None:
        """Adds an upstream, cold, with its agent and its record."""
        self._place_by_host[host] = place
        self.start_agent(host, is_first_start)
        self.world.publish(host)
        self._cool_down(host)

    def lose_power(self, down_ms: int = 1_400) -> None:
        """Ends all processes at once; they start again, with cold upstreams, after a time in ms."""
        world = self.world
        world.balancers.clear()
        world.agents.clear()
        for number, host in enumerate(self.upstreams):
            world.upstreams[host].restart()
            world.upstreams[host].is_silent = True
            delay_ms = down_ms + AGENT_START_MS + 40 * number % START_SPREAD_MS
            world.call_later(delay_ms, partial(self._return, host))
        for number, host in enumerate(self.balancers):
            delay_ms = down_ms + BALANCER_START_MS + 40 * number % START_SPREAD_MS
            world.call_later(delay_ms, partial(self.start_balancer, host))

    def release(self, host: str, drain_ms: int = 4_000) -> None:
        """Replaces an upstream by a new one, which starts before the old one leaves."""
        world = self.world
        new = host.replace(".0.", ".5.")
        self.start_upstream(new, self._place_by_host[host], is_first_start=True)
        world.call_later(500, lambda: world.publish(host, is_leaving=True))
        world.call_later(500 + drain_ms, lambda: world.remove_upstream_record(host))

    def restart_agent(self, host: str) -> None:
        """Stops an agent as planned, and starts it again."""
        self.world.agents[host].stop(self.world.now)
        self.world.end_agent(host)
        self.world.call_later(AGENT_START_MS, lambda: self.start_agent(host))

    def crash_upstream(self, host: str, down_ms: int) -> None:
        """Ends an upstream without a word; it is back after a time in ms."""
        self.world.upstreams[host].restart()
        self.world.upstreams[host].is_silent = True
        self.world.call_later(down_ms, lambda: self._end_silence(host))

    def _return(self, host: str) -> None:
        self.start_agent(host)
        self._end_silence(host)

    def _end_silence(self, host: str) -> None:
        self.world.upstreams[host].is_silent = False
        self._cool_down(host)

    def _cool_down(self, host: str) -> None:
        duration = round(self._size.request_ms * COLD_FACTOR)
        self.world.upstreams[host].request_duration_ms = duration
        self.world.call_later(COLD_MS, lambda: self._warm_up(host))

    def _warm_up(self, host: str) -> None:
        self.world.upstreams[host].request_duration_ms = self._size.request_ms
