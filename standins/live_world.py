"""A user's whole deployment on loopback, with the world's events and the checker's logs."""

__all__ = ["LiveWorld"]

from dataclasses import fields
from pathlib import Path

from standins.deployments import Deployment, Server, deployment
from standins.live import LivePump, Program, Programs
from standins.ports import Ports
from standins.world import World


class LoopbackDeployment(Deployment):
    """A deployment all of whose addresses are loopback ports."""

    __slots__ = ("_ports",)

    _ports: Ports

    @classmethod
    def of_user(cls, user: str, ports: Ports) -> "LoopbackDeployment":
        """Moves a user's deployment to loopback."""
        usual = deployment(user)
        plan = cls(**{field.name: getattr(usual, field.name) for field in fields(usual)})
        plan._ports = ports
        for server in plan.servers.values():
            plan._move(server)
        for name, (address, data_centre) in plan.balancers.items():
            plan.balancers[name] = (ports.of(address), data_centre)
        for use, vip in plan.vips.items():
            plan.vips[use] = ports.of(vip)
        return plan

    def add_server(self, service: str, data_centre: str, slots: int) -> Server:
        """Adds a server of a service and returns it."""
        server = super().add_server(service, data_centre, slots)
        self._move(server)
        return server

    def add_balancer(self, data_centre: str) -> str:
        """Adds a balancer and returns its name."""
        name = super().add_balancer(data_centre)
        address, _ = self.balancers[name]
        self.balancers[name] = (self._ports.of(address), data_centre)
        return name

    def _move(self, server: Server) -> None:
        server.address = self._ports.of(server.address)
        server.agent = self._ports.of(server.agent)


class LiveWorld(World):
    """A world whose processes run on real sockets and the real clock."""

    __slots__ = ()

    pump: LivePump  # type: ignore[assignment]

    @classmethod
    def on_loopback(cls, user: str, seed: int, ports: Ports, logs: Path) -> "LiveWorld":
        """Builds a user's deployment and starts all its processes; needs a running loop.

        Args:
            user: Name of the user.
            seed: Seed of the stand-ins' random choices.
            ports: Gives loopback addresses.
            logs: Folder for the programs' log lines.
        """
        world = cls(LoopbackDeployment.of_user(user, ports), seed, Programs(ports))
        world.pump = LivePump(world.pump.network, ports, logs)
        world.start_all()
        return world

    def programs(self) -> dict[str, Program]:
        """Returns the living balancers and agents by name."""
        names = [*self.plan.balancers, *(f"{name}.agent" for name in self.plan.servers)]
        processes = {name: self.pump.process(name) for name in names}
        return {
            name: process.core
            for name, process in processes.items()
            if process is not None and isinstance(process.core, Program)
        }
