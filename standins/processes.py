"""Makes the cores of the system's own processes for a deployment on the virtual clock."""

__all__ = ["PRODUCT_FACTORY", "ProcessFactory", "ProductFactory", "ProcessSettings"]

import random
from dataclasses import dataclass
from typing import Protocol

from shallotshore.agent import AgentConfig, AgentCore
from shallotshore.balancer import BalancerConfig, BalancerCore
from shallotshore.messages import Address
from shallotshore.systems import Core
from standins.deployments import Server


@dataclass(slots=True)
class ProcessSettings:
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


class ProcessFactory(Protocol):
    """Makes the cores that stand between fabric and upstreams."""

    def balancer(self, process_settings: ProcessSettings) -> Core:
        """Returns the core of a new balancer."""

    def agent(self, process_settings: ProcessSettings, server: Server) -> Core | None:
        """Returns the core of a new agent, or None when the system has none."""


class ProductFactory:
    """The product's own balancers and agents."""

    __slots__ = ()

    def balancer(self, process_settings: ProcessSettings) -> Core:
        """Returns the core of a new balancer."""
        config = BalancerConfig(
            process_settings.address,
            process_settings.data_centre,
            process_settings.peers,
            (process_settings.configuration,),
            (process_settings.vm_list,),
        )
        return BalancerCore.from_config(config, process_settings.rng)

    def agent(self, process_settings: ProcessSettings, server: Server) -> Core | None:
        """Returns the core of a new agent."""
        settings = server.settings
        config = AgentConfig(
            process_settings.address,
            process_settings.data_centre,
            settings.name,
            settings.service,
            server.address,
            process_settings.started + 1,
            process_settings.peers,
        )
        return AgentCore.from_config(config, process_settings.rng)


PRODUCT_FACTORY = ProductFactory()
