"""Planned changes: graceful stops, replaced upstreams, additions and series of random changes."""

__all__ = ["add_upstream", "churn", "refill_upstream", "stop_balancer", "upgrade_agent"]

from collections.abc import Callable

from standins.deployments import upstream_record
from standins.world import FABRIC_LAG_MS, World, agent_name

POLL_INTERVAL_MS = 100  # between checks of a process that is stopping
MAX_SERVERS_PER_SERVICE = 12  # random additions stop here
STOP_TIMEOUT_MS = 30_000  # then a stopping process is killed


def stop_balancer(world: World, name: str) -> None:
    """Stops a balancer gracefully.

    Meanwhile the VM list shows it as leaving, and the fabric drops it after its lag.
    """
    process = world.runtime.process(name)
    if process is None:
        return
    world.journal.planned_stops.append((world.now, name))
    process.core.stop(world.now)  # type: ignore[attr-defined]
    world.update_vm_list(name, "leaving")
    world.runtime.call_at(world.now + FABRIC_LAG_MS, lambda: world.remove_from_fabric(name))
    _call_when_stopped(world, name, lambda: world.update_vm_list(name, ""))


def upgrade_agent(world: World, name: str) -> None:
    """Stops an agent gracefully and starts a new one in its place."""
    process = world.runtime.process(agent_name(name))
    if process is None:
        return
    world.journal.planned_stops.append((world.now, agent_name(name)))
    process.core.stop(world.now)  # type: ignore[attr-defined]
    _call_when_stopped(world, agent_name(name), lambda: world.start_agent(name))


def _call_when_stopped(world: World, name: str, on_stopped: Callable[[], None]) -> None:
    process = world.runtime.process(name)
    limit = world.now + STOP_TIMEOUT_MS

    def poll() -> None:
        if process is None or not process.alive:
            return
        if process.core.stopped or world.now >= limit:  # type: ignore[attr-defined]
            world.runtime.kill(name)
            on_stopped()
        else:
            world.runtime.call_at(world.now + POLL_INTERVAL_MS, poll)

    world.runtime.call_at(world.now + POLL_INTERVAL_MS, poll)


def refill_upstream(world: World, name: str) -> None:
    """Replaces a server's process as planned: drains it, waits for open work, restarts it cold."""
    upstream = world.upstream(name)
    if upstream is None:
        return
    world.publish_upstream(name, "leaving")
    world.journal.planned_stops.append((world.now, name))
    upstream.draining = True
    started_at = world.now

    def poll() -> None:
        busy = len(upstream.requests) or len(upstream.feeds) or world.now < started_at + 4000
        if busy and world.now < started_at + STOP_TIMEOUT_MS:
            world.runtime.call_at(world.now + POLL_INTERVAL_MS, poll)
            return
        upstream.record_interrupted_requests()
        world.end_upstream(name)
        world.start_upstream(name)
        world.publish_upstream(name, "active")

    world.runtime.call_at(world.now + POLL_INTERVAL_MS, poll)


def add_upstream(world: World, service: str, data_centre: str) -> str:
    """Adds a cold server with its agent and returns the server's name."""
    slots = next(
        s.settings.slots for s in world.plan.servers.values() if s.settings.service == service
    )
    server = world.plan.add_server(service, data_centre, slots)
    name = server.settings.name
    world.start_upstream(name)
    world.start_agent(name)
    world.update_vm_list(name, "live")
    world.publish({f"upstream/{name}": upstream_record(server)})
    return name


def churn(world: World, count: int, interval: int) -> None:
    """Makes a series of random planned changes.

    Args:
        world: The deployment.
        count: Number of changes.
        interval: Time between two changes, in ms.
    """
    for number in range(count):
        world.runtime.call_at(world.now + number * interval, lambda: _make_random_change(world))


def _make_random_change(world: World) -> None:
    change = world.rng.choice(_CHANGES)
    change(world)


def _change_share(world: World) -> None:
    name = world.rng.choice(sorted(world.plan.customers))
    world.plan.customers[name] = world.rng.randint(1, 5)
    world.publish({f"customer/{name}": world.plan.customer_record(name)})


def _drain_or_undrain(world: World) -> None:
    service = world.rng.choice(world.plan.services)
    names = [n for n, s in world.plan.servers.items() if s.settings.service == service]
    leaving = [n for n in names if _is_leaving(world, n)]
    if leaving and (len(leaving) > len(names) // 3 or world.rng.random() < 0.5):
        world.publish_upstream(world.rng.choice(leaving), "active")
    else:
        world.publish_upstream(world.rng.choice(names), "leaving")


def _is_leaving(world: World, name: str) -> bool:
    spans = world.journal.leaving.get(name)
    return bool(spans) and spans[-1].end > world.now  # type: ignore[index]


def _add_or_stop_balancer(world: World) -> None:
    live = [n for n, (a, _) in world.plan.balancers.items() if a in world.fabric.balancers]
    _, data_centre = world.plan.balancers[live[0]]
    if len(live) > len(world.plan.data_centres):
        stop_balancer(world, live[0])
        return
    name = world.plan.add_balancer(data_centre)
    world.start_balancer(name)
    world.update_vm_list(name, "live")


def _add_or_drain_upstream(world: World) -> None:
    service = world.rng.choice(world.plan.services)
    names = _servers_of(world, service)
    if len(names) < MAX_SERVERS_PER_SERVICE:
        add_upstream(world, service, world.rng.choice(world.plan.data_centres))
    else:
        _drain_or_undrain(world)


def _upgrade_random_agent(world: World) -> None:
    names = _servers_of(world, world.rng.choice(world.plan.services))
    upgrade_agent(world, world.rng.choice(names))


def _servers_of(world: World, service: str) -> list[str]:
    return [n for n, s in sorted(world.plan.servers.items()) if s.settings.service == service]


_CHANGES = (
    _change_share,
    _drain_or_undrain,
    _add_or_stop_balancer,
    _add_or_drain_upstream,
    _upgrade_random_agent,
)
