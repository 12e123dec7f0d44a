"""Settings of a process of the packet front end, read from one JSON file."""

from __future__ import annotations

__all__ = ["AGENT", "BALANCER", "NodeSettings", "read_node_settings"]

import socket
from collections.abc import Callable
from typing import Any, NamedTuple

import msgspec
from result import Err, Ok, Result

from shallotshore.codes import Code
from shallotshore.packets.hosts import host_number

BALANCER = "balancer"
AGENT = "agent"
_BOTH_ROLES = (BALANCER, AGENT)


class NodeSettings:
    """All settings of a process, checked; a setting that is not given has its default.

    Attributes:
        name: Name of the VM, for logs.
        data_centre: Name of the VM's data centre.
        host: IP address of the VM, at which the other processes reach this one.
        bind_host: IP address on which to listen for other processes: `host` unless another one is
            given, for example behind NAT.
        client_address: Address at which a balancer receives the packets of clients. It sends
            packets for clients to the same port.
        upstream_address: Address at which an agent's upstream receives packets.
        outbound_address: Address at which an agent receives the packets of its upstream.
        service: Name of the upstream's service.
        ready_address: Address of the readiness page, or None.
        node_port: Port on which every process of the system listens for the others.
        seeds: IP addresses, as integers, of the hosts that may run balancers.
        store_address: Address of the platform's store.
        first_start: Whether the whole system starts for the first time.
        cold_over: Factor applied to the limit per second that a service declares for its cold
            upstreams.
        cold_slack: Flows per second that are allowed in addition to the declared limit times
            `cold_over`.
        flow_life_s: Age in seconds after which a flow may be discarded.
    """

    __slots__ = (
        "bind_host",
        "client_address",
        "cold_over",
        "cold_slack",
        "data_centre",
        "first_start",
        "flow_life_s",
        "host",
        "link_mbps",
        "name",
        "node_port",
        "outbound_address",
        "ready_address",
        "seeds",
        "service",
        "store_address",
        "upstream_address",
    )

    def __init__(self, **values: Any) -> None:
        for spec in _SPECS:
            setattr(self, spec.name, values.get(spec.name, spec.default))
        self.bind_host = self.bind_host or self.host

    name: str
    data_centre: str
    host: str
    bind_host: str
    client_address: tuple[str, int]
    upstream_address: tuple[str, int]
    outbound_address: tuple[str, int]
    service: str
    ready_address: tuple[str, int]
    node_port: int
    seeds: tuple[int, ...]
    store_address: tuple[str, int]
    first_start: bool
    cold_over: float
    cold_slack: int
    flow_life_s: float
    link_mbps: float


def read_node_settings(role: str, text: bytes) -> Result[NodeSettings, list[str]]:
    """Reads and checks the settings of a role.

    Args:
        role: BALANCER or AGENT, which determines the required settings.
        text: The settings as a JSON object.

    Returns:
        The settings, or every problem found, each with its result code.
    """
    try:
        given = msgspec.json.decode(text)
    except msgspec.MsgspecError as error:
        return Err([_describe_problem(Code.SETTING_TYPE, "settings", str(error))])
    if not isinstance(given, dict):
        return Err([_describe_problem(Code.SETTING_TYPE, "settings", "must be an object")])
    values: dict[str, Any] = {}
    problems = []
    for spec in _SPECS:
        value = given.get(spec.name)
        if value is None or value == "":
            if role in spec.required_by:
                problems.append(_describe_problem(Code.SETTING_MISSING, spec.name, "must be given"))
            continue
        try:
            values[spec.name] = spec.parse(value)
        except (ValueError, TypeError, OSError) as error:
            problems.append(_describe_problem(Code.SETTING_VALUE, spec.name, str(error)))
    return Err(problems) if problems else Ok(NodeSettings(**values))


def _describe_problem(code: Code, setting: str, text: str) -> str:
    return f"{code.value} {code.name}: {setting}: {text}"


def _parse_text(value: object) -> str:
    if not isinstance(value, str):
        raise ValueError(f"{value!r} is not a string")
    return value


def _parse_host(value: object) -> str:
    text = _parse_text(value)
    socket.inet_aton(text)
    return text


def _parse_address(value: object) -> tuple[str, int]:
    host, _, port = _parse_text(value).rpartition(":")
    return (_parse_host(host), _parse_port(int(port)))


def _parse_port(value: object) -> int:
    if isinstance(value, bool) or not isinstance(value, int) or not 0 < value < 65_536:
        raise ValueError(f"{value!r} is not a port between 1 and 65535")
    return value


def _parse_hosts(value: object) -> tuple[int, ...]:
    if not isinstance(value, list):
        raise ValueError(f"{value!r} is not a list of addresses")
    return tuple(host_number(_parse_address(address)[0]) for address in value)


def _parse_switch(value: object) -> bool:
    if not isinstance(value, bool):
        raise ValueError(f"{value!r} is neither true nor false")
    return value


def _parse_number(value: object) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float) or value < 0:
        raise ValueError(f"{value!r} is not a number of 0 or more")
    return value


def _parse_bandwidth(value: object) -> float:
    """Parses a bandwidth, which may be given as text, since a template may have no value for it."""
    number = _parse_number(float(value) if isinstance(value, str) else value)
    if number <= 0:
        raise ValueError(f"{value!r} is not a bandwidth above 0")
    return number


class _Spec(NamedTuple):
    name: str
    parse: Callable[[object], Any]
    required_by: tuple[str, ...]
    default: Any = None


_SPECS = (
    _Spec("name", _parse_text, (), "unnamed"),
    _Spec("data_centre", _parse_text, _BOTH_ROLES),
    _Spec("host", _parse_host, _BOTH_ROLES),
    _Spec("bind_host", _parse_host, ()),
    _Spec("client_address", _parse_address, _BOTH_ROLES),
    _Spec("upstream_address", _parse_address, (AGENT,)),
    _Spec("outbound_address", _parse_address, (AGENT,)),
    _Spec("service", _parse_text, (AGENT,)),
    _Spec("ready_address", _parse_address, ()),
    _Spec("node_port", _parse_port, _BOTH_ROLES),
    _Spec("seeds", _parse_hosts, (), ()),
    _Spec("store_address", _parse_address, (BALANCER,)),
    _Spec("first_start", _parse_switch, (), False),
    _Spec("cold_over", _parse_number, (), 1.0),
    _Spec("cold_slack", _parse_number, (), 0),
    _Spec("flow_life_s", _parse_number, (), 60),
    _Spec("link_mbps", _parse_bandwidth, (), 1_000.0),
)
