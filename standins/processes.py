"""Makes the cores of the system's own processes for a deployment on the virtual clock."""

__all__ = ["PRODUCT", "Cast", "Product", "Site"]

import random
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

from shallotshore.agent import AgentConfig, AgentCore
from shallotshore.balancer import BalancerConfig, BalancerCore
from shallotshore.codes import Code
from shallotshore.hashing import address_key, name_id, rank
from shallotshore.messages import Address, PlatformRead, PlatformReply, Source
from shallotshore.systems import Core
from standins.deployments import Server


@dataclass(slots=True)
class Site:
    """What a process is told by its settings."""

    name: str
    address: Address
    data_centre: str
    peers: tuple[Address, ...]
    configuration: Address
    vm_list: Address
    fabric: Address
    rng: random.Random
    started: int


class Cast(Protocol):
    """Makes the cores that stand between fabric and upstreams."""

    def balancer(self, site: Site) -> Core:
        """Returns the core of a new balancer."""

    def agent(self, site: Site, server: Server) -> Core | None:
        """Returns the core of a new agent, or None when the system has none."""


class _DirectReader:
    """Reads the configuration service from every process, until `propagation` carries it."""

    __slots__ = ("_core", "_due", "_service")

    def __init__(self, core: Core, service: Address, first: int) -> None:
        self._core = core
        self._service = service
        self._due = first

    def run(self, now: int) -> None:
        core = self._core
        catalog = core.state.catalog  # type: ignore[attr-defined]
        for _, reply in core.inbox.take(PlatformReply):
            if reply.code == Code.OK and reply.revision > catalog.revision:
                catalog.apply(reply.revision, reply.entries)
        if now >= self._due:
            self._due = now + 500
            read = PlatformRead(Source.CONFIGURATION, catalog.revision, 0)
            core.outbox.send(self._service, read)


class _KnownPeers:
    """All balancers hear health events; the first two in rendezvous order watch an upstream."""

    __slots__ = ("_all", "_own")

    def __init__(self, own: Address, peers: Sequence[Address]) -> None:
        self._own = own
        self._all = [own, *peers]

    def event_targets(self, is_origin: bool) -> Sequence[Address]:
        """Returns the balancers that a health event goes to from here."""
        return [peer for peer in self._all if peer != self._own] if is_origin else []

    def is_parent(self, upstream: int, data_centre: int) -> bool:
        """Whether this balancer watches the upstream's heartbeats."""
        return self._own in parents_of(upstream, self._all)

    def is_leaving(self, address: Address) -> bool:
        """Whether the VM list says that the VM at an address is leaving."""
        return False


def parents_of(upstream: int, balancers: Sequence[Address]) -> tuple[Address, ...]:
    """Returns the two balancers that watch an upstream."""
    by_key = {address_key(address): address for address in balancers}
    return tuple(by_key[key] for key in rank(upstream, by_key, 2))


class Product:
    """The product's own balancers and agents."""

    __slots__ = ()

    def balancer(self, site: Site) -> Core:
        """Returns the core of a new balancer."""
        config = BalancerConfig(
            site.address, site.data_centre, site.peers, (site.configuration,), (site.vm_list,)
        )
        return BalancerCore.from_config(config, site.rng)

    def agent(self, site: Site, server: Server) -> Core | None:
        """Returns the core of a new agent."""
        settings = server.settings
        parents = parents_of(name_id("upstream", settings.name), site.peers)
        config = AgentConfig(
            site.address,
            site.data_centre,
            settings.name,
            settings.service,
            server.address,
            site.started + 1,
            parents,
        )
        return AgentCore.from_config(config, site.rng)


PRODUCT = Product()
