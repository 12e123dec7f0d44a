"""Makes the cores of the system's own processes for a deployment on the virtual clock."""

__all__ = ["PRODUCT", "Cast", "Product", "Site"]

import random
from dataclasses import dataclass
from typing import Protocol

from shallotshore.agent import AgentConfig, AgentCore
from shallotshore.balancer import BalancerConfig, BalancerCore
from shallotshore.messages import Address
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
        config = AgentConfig(
            site.address,
            site.data_centre,
            settings.name,
            settings.service,
            server.address,
            site.started + 1,
            site.peers,
        )
        return AgentCore.from_config(config, site.rng)


PRODUCT = Product()
