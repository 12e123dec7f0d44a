"""A user's whole deployment on loopback; events and checker work on it as on `World`."""

__all__ = ["LiveWorld"]

from dataclasses import fields
from functools import partial
from pathlib import Path

from standins.deployments import Deployment, Server, build_deployment
from standins.live import LiveRuntime, Program, ProgramFactory
from standins.ports import Ports
from standins.world import World


class LoopbackDeployment(Deployment):
    """A deployment in which every address is a loopback port."""

    __slots__ = ("_ports",)

    _ports: Ports

    @classmethod
    def for_user(cls, user: str, ports: Ports) -> "LoopbackDeployment":
        """Returns a user's deployment with all addresses replaced by loopback ports."""
        original = build_deployment(user)
        plan = cls(**{field.name: getattr(original, field.name) for field in fields(original)})
        plan._ports = ports
        for server in plan.servers.values():
            plan._move_to_loopback(server)
        for name, (address, data_centre) in plan.balancers.items():
            plan.balancers[name] = (ports.loopback_address(address), data_centre)
        for key, vip in plan.vips.items():
            plan.vips[key] = ports.loopback_address(vip)
        return plan

    def add_server(self, service: str, data_centre: str, slots: int) -> Server:
        """Adds a server of a service, with loopback addresses, and returns it."""
        server = super().add_server(service, data_centre, slots)
        self._move_to_loopback(server)
        return server

    def add_balancer(self, data_centre: str) -> str:
        """Adds a balancer, with a loopback address, and returns its name."""
        name = super().add_balancer(data_centre)
        address, _ = self.balancers[name]
        self.balancers[name] = (self._ports.loopback_address(address), data_centre)
        return name

    def _move_to_loopback(self, server: Server) -> None:
        server.address = self._ports.loopback_address(server.address)
        server.agent = self._ports.loopback_address(server.agent)


class LiveWorld(World):
    """A world whose processes run on real sockets and the real clock."""

    __slots__ = ()

    runtime: LiveRuntime  # type: ignore[assignment]

    @classmethod
    def on_loopback(cls, user: str, seed: int, ports: Ports, logs: Path) -> "LiveWorld":
        """Builds a user's deployment and starts all its processes; needs a running event loop.

        Args:
            user: Name of the user.
            seed: Seed of the stand-ins' random choices.
            ports: Maps addresses to loopback addresses.
            logs: Folder for the programs' log files.
        """
        world = cls(LoopbackDeployment.for_user(user, ports), seed, ProgramFactory(ports))
        world.runtime = LiveRuntime(world.runtime.network, ports, logs)
        world.start_all()
        return world

    def add_to_fabric(self, name: str) -> None:
        """Adds a balancer to the fabric as soon as it is ready, like a fabric that probes it."""
        self.runtime.call_when_ready(name, partial(super().add_to_fabric, name))

    def running_programs(self) -> dict[str, Program]:
        """Returns the running balancers and agents by name."""
        names = [*self.plan.balancers, *(f"{name}.agent" for name in self.plan.servers)]
        processes = {name: self.runtime.process(name) for name in names}
        return {
            name: process.core
            for name, process in processes.items()
            if process is not None and isinstance(process.core, Program)
        }
