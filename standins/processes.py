"""Factories for the cores of balancers and agents of a deployment."""

__all__ = ["PRODUCT_FACTORY", "ProcessFactory", "ProcessSettings", "ProductFactory"]

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
    """Settings of a new balancer or agent.

    Attributes:
        name: Name of the process.
        address: Address of the process.
        data_centre: Name of its data centre.
        peers: Addresses of the other balancers.
        configuration: Address of the configuration service.
        vm_list: Address of the VM list.
        fabric: Address of the fabric.
        rng: Random number generator of the process.
        started_at: Start time in ms.
    """

    name: str
    address: Address
    data_centre: str
    peers: tuple[Address, ...]
    configuration: Address
    vm_list: Address
    fabric: Address
    rng: random.Random
    started_at: int


class ProcessFactory(Protocol):
    """Makes the cores of balancers and agents, which run between fabric and upstreams."""

    def balancer(self, process_settings: ProcessSettings) -> Core:
        """Returns the core of a new balancer."""

    def agent(self, process_settings: ProcessSettings, server: Server) -> Core | None:
        """Returns the core of a new agent, or None if the tested system has no agents."""


class ProductFactory:
    """Makes the product's balancers and agents."""

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
            process_settings.started_at + 1,
            process_settings.peers,
        )
        return AgentCore.from_config(config, process_settings.rng)


PRODUCT_FACTORY = ProductFactory()
