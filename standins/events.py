"""The verbs of the scenario language; each applies one change or fault to a deployment."""

__all__ = ["VERBS", "VerbFunction", "parse_options"]

from collections.abc import Callable
from dataclasses import fields
from functools import partial
from typing import TypeAlias

from standins import planned
from standins.caller_state import CallerLoad
from standins.configuration_service import Mode, PlatformService
from standins.deployments import data_centre_record, upstream_record
from standins.journal import Span
from standins.network import Link
from standins.upstream_state import Health
from standins.world import FABRIC_LAG_MS, PLATFORM_PLACE, World, agent_name

VerbFunction: TypeAlias = Callable[[World, list[str]], None]
VERBS: dict[str, VerbFunction] = {}
RESTART_MS = 200  # until a crashed server's process runs again
# Factors on the requests and feeds of the user's load.
LOAD_FACTORS = {"usual": (1.0, 1.0), "half": (0.5, 0.5), "light": (0.2, 0.3)}


def verb(function: VerbFunction) -> VerbFunction:
    """Registers a function as the verb of its own name."""
    VERBS[function.__name__] = function
    return function


def parse_options(arguments: list[str]) -> dict[str, str]:
    """Parses words of the form name=value."""
    return dict(word.split("=", 1) for word in arguments)


def _record_fault(world: World, description: str) -> None:
    world.journal.faults.append((world.now, description))


def _parse_range(text: str) -> tuple[int, int]:
    minimum, _, maximum = text.partition("-")
    return int(minimum), int(maximum or minimum)


_LOAD_PARSERS: dict[str, Callable[[str], object]] = {
    "rate": float,
    "non_repeatable": float,
    "cancelled": float,
    "work": _parse_range,
    "size": _parse_range,
}


@verb
def load(world: World, arguments: list[str]) -> None:
    """Sets fields of the load: service or *, customer or *, name=value ...

    A single word instead of fields scales the user's load: "usual" uses 70% of the slots; "half"
    has half of its requests and feeds, which the servers can handle without one data centre;
    "light" has a fifth of its requests and 30% of its feeds.
    """
    service, customer, *settings = arguments
    for (customer_name, service_name), caller in world.callers.items():
        if service not in ("*", service_name) or customer not in ("*", customer_name):
            continue
        if settings[0] in LOAD_FACTORS:
            usual = world.plan.loads[service_name]
            for field in fields(CallerLoad):
                setattr(caller.load, field.name, getattr(usual, field.name))
            requests, feeds = LOAD_FACTORS[settings[0]]
            caller.load.rate *= requests
            caller.load.feeds = int(caller.load.feeds * feeds)
        else:
            for name, value in parse_options(settings).items():
                setattr(caller.load, name, _LOAD_PARSERS.get(name, int)(value))
        world.tick_process(f"{customer_name}.{service_name}")


@verb
def measure(world: World, arguments: list[str]) -> None:
    """Starts the measurement of figures; earlier events count as warm-up."""
    world.journal.measured_from = world.now


@verb
def kill_balancer(world: World, arguments: list[str]) -> None:
    """Kills balancers; the fabric and the VM list drop them after their own lags."""
    for name in arguments:
        _record_fault(world, f"kill_balancer {name}")
        world.runtime.kill(name)
        world.update_vm_list(name, "")
        world.runtime.call_at(world.now + FABRIC_LAG_MS, partial(_remove_if_dead, world, name))


def _remove_if_dead(world: World, name: str) -> None:
    if world.runtime.process(name) is None:
        world.remove_from_fabric(name)


@verb
def start_balancer(world: World, arguments: list[str]) -> None:
    """Starts killed balancers again with the same names and addresses."""
    for name in arguments:
        world.start_balancer(name)
        world.update_vm_list(name, "live")


@verb
def add_balancer(world: World, arguments: list[str]) -> None:
    """Adds a balancer in a data centre."""
    name = world.plan.add_balancer(arguments[0])
    world.start_balancer(name)
    world.update_vm_list(name, "live")


@verb
def stop_balancer(world: World, arguments: list[str]) -> None:
    """Stops a balancer gracefully."""
    planned.stop_balancer(world, arguments[0])


@verb
def upgrade_agent(world: World, arguments: list[str]) -> None:
    """Stops an agent gracefully and starts a new one in its place."""
    planned.upgrade_agent(world, arguments[0])


@verb
def refill_upstream(world: World, arguments: list[str]) -> None:
    """Drains an upstream, waits until its open work is done and restarts it cold."""
    planned.refill_upstream(world, arguments[0])


@verb
def add_upstream(world: World, arguments: list[str]) -> None:
    """Adds a server with its agent; arguments are service and data centre."""
    planned.add_upstream(world, arguments[0], arguments[1])


@verb
def churn(world: World, arguments: list[str]) -> None:
    """Makes a series of random planned changes; arguments are count and interval in ms."""
    planned.churn(world, int(arguments[0]), int(arguments[1]))


@verb
def kill_agent(world: World, arguments: list[str]) -> None:
    """Kills agents; their upstreams stay alive."""
    for name in arguments:
        _record_fault(world, f"kill_agent {name}")
        world.runtime.kill(agent_name(name))


@verb
def restart_agent(world: World, arguments: list[str]) -> None:
    """Kills agents and starts them again at once with empty tables."""
    for name in arguments:
        _record_fault(world, f"restart_agent {name}")
        world.start_agent(name)


@verb
def start_agent(world: World, arguments: list[str]) -> None:
    """Starts agents that were killed."""
    for name in arguments:
        world.start_agent(name)


@verb
def kill_upstream(world: World, arguments: list[str]) -> None:
    """Kills the servers' own processes; their agents stay alive."""
    for name in arguments:
        _record_fault(world, f"kill_upstream {name}")
        world.end_upstream(name)


@verb
def start_upstream(world: World, arguments: list[str]) -> None:
    """Starts servers that were killed; they are cold."""
    for name in arguments:
        world.start_upstream(name)


@verb
def restart_upstream(world: World, arguments: list[str]) -> None:
    """Kills servers and starts them again after `RESTART_MS`, cold and unannounced."""
    kill_upstream(world, arguments)
    world.runtime.call_at(world.now + RESTART_MS, partial(start_upstream, world, arguments))


@verb
def kill_vm(world: World, arguments: list[str]) -> None:
    """Kills servers together with their agents, as the failure of a VM does."""
    for name in arguments:
        _record_fault(world, f"kill_vm {name}")
        world.end_upstream(name)
        world.runtime.kill(agent_name(name))
        world.update_vm_list(name, "")


@verb
def start_vm(world: World, arguments: list[str]) -> None:
    """Starts servers and their agents that `kill_vm` has ended."""
    for name in arguments:
        world.start_upstream(name)
        world.start_agent(name)
        world.update_vm_list(name, "live")


@verb
def cold(world: World, arguments: list[str]) -> None:
    """Makes servers lose their caches without a restart."""
    for name in arguments:
        _record_fault(world, f"cold {name}")
        world.journal.turned_cold_at.setdefault(name, []).append(world.now)
        upstream = world.upstream(name)
        if upstream is not None:
            upstream.turn_cold(world.now)


@verb
def drain(world: World, arguments: list[str]) -> None:
    """Publishes upstreams' records as leaving."""
    for name in arguments:
        world.publish_upstream(name, "leaving")


@verb
def undrain(world: World, arguments: list[str]) -> None:
    """Publishes upstreams' records as active again."""
    for name in arguments:
        world.publish_upstream(name, "active")


@verb
def leave_by_vm_list(world: World, arguments: list[str]) -> None:
    """Marks VMs as leaving in the VM list."""
    for name in arguments:
        world.update_vm_list(name, "leaving")
        if name in world.upstream_logs:
            world.journal.open_span(world.journal.leaving, name, world.now + world.vm_list.lag_ms)


@verb
def health(world: World, arguments: list[str]) -> None:
    """Sets how truthfully an upstream's health endpoint answers."""
    upstream = world.upstream(arguments[0])
    if upstream is not None:
        upstream.health = Health(arguments[1])


@verb
def slow(world: World, arguments: list[str]) -> None:
    """Multiplies an upstream's service time."""
    _record_fault(world, f"slow {arguments[0]}")
    upstream = world.upstream(arguments[0])
    if upstream is not None:
        upstream.slowdown_factor = float(arguments[1])


@verb
def configuration(world: World, arguments: list[str]) -> None:
    """Sets the configuration service's mode: up, down, or stale by a number of revisions."""
    mode = Mode(arguments[0])
    world.configuration.set_mode(mode, int(arguments[1]) if arguments[1:] else 0)
    world.journal.record_service_state(mode is Mode.UP, world.now)
    world.tick_process(PLATFORM_PLACE + ".configuration")


@verb
def vm_list(world: World, arguments: list[str]) -> None:
    """Sets the mode of the VM list, or its lag: the word "lag" and a time in ms."""
    if arguments[0] == "lag":
        world.vm_list.lag_ms = int(arguments[1])
    else:
        world.vm_list.set_mode(Mode(arguments[0]))
    world.tick_process(PLATFORM_PLACE + ".vm_list")


@verb
def restore_copy(world: World, arguments: list[str]) -> None:
    """Restores the store of a platform service from a copy.

    Arguments are "configuration" or "vm_list", the number of publications that the copy lacks, and
    the time in ms after which the lost publications are written again, if they are.
    """
    service_name, count, *delay = arguments
    _record_fault(world, "restore_copy " + " ".join(arguments))
    service = world.configuration if service_name == "configuration" else world.vm_list
    lost = service.restore_copy(int(count))
    if delay:
        write_again = partial(_publish_again, world, service_name, service, lost)
        world.runtime.call_at(world.now + int(delay[0]), write_again)


def _publish_again(
    world: World, name: str, service: PlatformService, lost: list[dict[str, bytes]]
) -> None:
    for texts in lost:
        missing = {key: text for key, text in texts.items() if not service.is_rewritten(key)}
        if missing:
            # Visible at once: the lag of the service concerns its sources, which have not changed.
            service.publish(missing, world.now - service.lag_ms)
    world.tick_process(f"{PLATFORM_PLACE}.{name}")


@verb
def publish(world: World, arguments: list[str]) -> None:
    """Publishes a text under a key without checking it."""
    world.publish({arguments[0]: arguments[1].encode()})


@verb
def share(world: World, arguments: list[str]) -> None:
    """Publishes a customer's record with a new fair share."""
    world.plan.customers[arguments[0]] = int(arguments[1])
    world.publish({f"customer/{arguments[0]}": world.plan.customer_record(arguments[0])})


@verb
def add_customer(world: World, arguments: list[str]) -> None:
    """Publishes a new customer at every service; its callers are idle until `load` is used."""
    name = arguments[0]
    number = len(world.plan.customers) + 1
    world.plan.customers[name] = 1
    fabric = world.runtime.process(PLATFORM_PLACE + ".fabric")
    assert fabric is not None
    for service in world.plan.services:
        vip = (f"192.0.{world.plan.services.index(service) + 1}.{number}", 443)
        world.plan.vips[(name, service)] = vip
        world.runtime.add_address(fabric, vip)
        world.start_caller(name, service)
    world.publish({f"customer/{name}": world.plan.customer_record(name)})
    world.journal.customer_added_at[name] = world.now


@verb
def remove_customer(world: World, arguments: list[str]) -> None:
    """Removes a customer's record; its callers continue."""
    world.publish({f"customer/{arguments[0]}": b""})
    world.journal.open_span(world.journal.customer_withdrawn, arguments[0], world.now)


@verb
def remove_upstream(world: World, arguments: list[str]) -> None:
    """Removes an upstream's record and kills its VM."""
    for name in arguments:
        world.publish({f"upstream/{name}": b""})
        world.journal.open_span(world.journal.leaving, name, world.now)
        kill_vm(world, [name])


@verb
def rehome(world: World, arguments: list[str]) -> None:
    """Removes an upstream and gives both its addresses to a new one of another service."""
    name, service = arguments
    remove_upstream(world, [name])
    old = world.server(name)
    new = world.plan.add_server(service, old.settings.data_centre, old.settings.slots)
    new.address, new.agent = old.address, old.agent
    start_vm(world, [new.settings.name])
    world.publish({f"upstream/{new.settings.name}": upstream_record(new)})


@verb
def data_centre(world: World, arguments: list[str]) -> None:
    """Takes a data centre out of service or back in; arguments are its name and "out" or "in"."""
    name, state = arguments
    world.publish({f"data_centre/{name}": data_centre_record(name, world.plan.region, state)})
    journal = world.journal
    if state == "out":
        journal.open_span(journal.out, name, world.now)
    else:
        journal.close_span(journal.out, name, world.now)
    for balancer, (address, place) in world.plan.balancers.items():
        if place != name:
            continue
        if state == "out":
            world.remove_from_fabric(balancer)
        elif address not in world.fabric.balancers and world.runtime.process(balancer):
            world.fabric.balancers.append(address)


@verb
def pause(world: World, arguments: list[str]) -> None:
    """Suspends processes; packets that arrive for them are buffered."""
    for name in arguments:
        _record_fault(world, f"pause {name}")
        world.runtime.pause(name)


@verb
def resume(world: World, arguments: list[str]) -> None:
    """Resumes paused processes."""
    for name in arguments:
        world.runtime.resume(name)


@verb
def partition(world: World, arguments: list[str]) -> None:
    """Cuts the named places or processes off from all others."""
    _record_fault(world, "partition " + " ".join(arguments))
    world.journal.partitions.append((Span(world.now), tuple(arguments)))
    world.runtime.network.partition(arguments)


@verb
def heal(world: World, arguments: list[str]) -> None:
    """Ends all partitions."""
    _record_fault(world, "heal")
    for span, _ in world.journal.partitions:
        span.end = min(span.end, world.now)
    world.runtime.network.heal()


@verb
def link(world: World, arguments: list[str]) -> None:
    """Sets the link between two places: their names, then fields of `Link` as name=value."""
    settings = parse_options(arguments[2:])
    world.runtime.network.set_link(arguments[0], arguments[1], _update_link(Link(), settings))


@verb
def network(world: World, arguments: list[str]) -> None:
    """Changes fields of every link; arguments are fields of `Link` as name=value."""
    _record_fault(world, "network " + " ".join(arguments))
    for each in world.runtime.network.links():
        _update_link(each, parse_options(arguments))


def _update_link(link: Link, settings: dict[str, str]) -> Link:
    for name, value in settings.items():
        setattr(link, name, int(value) if name in ("delay", "jitter") else float(value))
    return link
