"""Finds what is wrong in a configuration whose single fields are sound.

The paths in the problems consist of names of the declaration's fields.
"""

from __future__ import annotations

__all__ = ["check_version", "find_problems"]

from collections.abc import Iterable, Iterator
from functools import singledispatch

from shallotshore.codes import Code
from shallotshore.field_rules import Problem
from shallotshore.packets.declared_configuration import (
    ConfigurationDeclaration,
    RouteDeclaration,
    ServiceDeclaration,
    TrafficLimits,
)

_MS_PER_S = 1_000


def find_problems(configuration: ConfigurationDeclaration) -> list[Problem]:
    """Returns all problems of a configuration, in the order of the checks.

    Args:
        configuration: The configuration; undeclared fields are not checked.
    """
    return [
        *_find_shared_addresses(configuration.routes),
        *_find_repeated_names("routes", configuration.routes),
        *_find_repeated_names("services", configuration.services),
        *_find_unknown_services(configuration),
        *_find_unusable_splits(configuration.routes),
        *_find_contradicting_limits(configuration.routes),
        *_find_zero_limits(configuration),
        *_find_limits_below_cold_minimum(configuration),
        *_find_cold_limits_without_route(configuration),
    ]


def check_version(
    new: ConfigurationDeclaration, in_force: ConfigurationDeclaration
) -> list[Problem]:
    """Returns a problem if a configuration's version does not rise above the one in force.

    Processes ignore a configuration of a lower version, and log lines tell versions apart only by
    their numbers.
    """
    if new.version is None or in_force.version is None or new.version > in_force.version:
        return []
    detail = f"{new.version} is not above {in_force.version}, the version in force"
    return [Problem(Code.REVISION_NOT_RISING, "", "version", detail)]


def _find_shared_addresses(routes: Iterable[RouteDeclaration]) -> Iterator[Problem]:
    owners: dict[tuple[str, int], RouteDeclaration] = {}
    for route in routes:
        if route.host is None or route.port is None:
            continue
        owner = owners.setdefault((route.host, route.port), route)
        if owner is not route:
            detail = f"{route.host}:{route.port} is also the address of {_title(owner)}"
            yield _route_problem(Code.ROUTE_ADDRESS_TAKEN, route, "host", detail)


def _find_repeated_names(
    kind: str, entries: Iterable[RouteDeclaration] | Iterable[ServiceDeclaration]
) -> Iterator[Problem]:
    first_positions: dict[str, int] = {}
    for entry in entries:
        if not entry.name:
            continue
        first = first_positions.setdefault(entry.name, entry.position)
        if first != entry.position:
            detail = f"{entry.name!r} is also the name of {kind}[{first}]"
            yield Problem(Code.RECORD_DUPLICATE, f"{kind}[{entry.position}]", "name", detail)


def _find_unknown_services(configuration: ConfigurationDeclaration) -> Iterator[Problem]:
    declared = {service.name for service in configuration.services}
    for route in configuration.routes:
        for index, share in enumerate(route.shares):
            if share.service not in declared:
                field = f"shares[{index}].service" if route.is_split else "service"
                detail = f"the service {share.service!r} is not declared"
                yield _route_problem(Code.RECORD_REFERENCE_UNKNOWN, route, field, detail)


def _find_unusable_splits(routes: Iterable[RouteDeclaration]) -> Iterator[Problem]:
    for route in routes:
        if route.is_split and not any(share.weight for share in route.shares):
            detail = f"no service of {_title(route)} has a weight above 0"
            yield _route_problem(Code.SPLIT_WITHOUT_WEIGHT, route, "shares", detail)
        named: set[str] = set()
        for index, share in enumerate(route.shares):
            if share.service in named:
                detail = f"the split names the service {share.service!r} before"
                field = f"shares[{index}].service"
                yield _route_problem(Code.SPLIT_SERVICE_REPEATED, route, field, detail)
            named.add(share.service)


def _find_contradicting_limits(routes: Iterable[RouteDeclaration]) -> Iterator[Problem]:
    for route in routes:
        limit_ms, target_ms = route.limit_ms, route.target_ms
        if limit_ms is not None and target_ms is not None and target_ms > limit_ms:
            detail = f"the target of {target_ms} ms is above the time limit of {limit_ms} ms"
            yield _route_problem(Code.TARGET_ABOVE_LIMIT, route, "target_ms", detail)


def _find_zero_limits(configuration: ConfigurationDeclaration) -> Iterator[Problem]:
    entries: list[tuple[str, object]] = [("limits", configuration.limits)]
    entries += [(f"routes[{route.position}]", route) for route in configuration.routes]
    entries += [(f"services[{one.position}]", one) for one in configuration.services]
    for path, entry in entries:
        for field in _positive_limits(entry):
            value = getattr(entry, field)
            # Balancers round times to whole ms.
            if value is not None and round(value) == 0:
                detail = f"a limit of {value} leaves nothing that could be served"
                yield Problem(Code.LIMIT_UNATTAINABLE, path, field, detail)


@singledispatch
def _positive_limits(entry: object) -> tuple[str, ...]:
    """Returns the names of the fields that must not be 0 where they are declared."""
    raise TypeError(f"no limits are known for {type(entry).__name__}")


@_positive_limits.register
def _(entry: RouteDeclaration) -> tuple[str, ...]:
    return "limit_ms", "target_ms"


@_positive_limits.register
def _(entry: ServiceDeclaration) -> tuple[str, ...]:
    return ("max_connections",)


@_positive_limits.register
def _(entry: TrafficLimits) -> tuple[str, ...]:
    # Requests without a body are served where bodies are limited to 0 bytes.
    return "max_header_bytes", "header_timeout_ms", "idle_timeout_ms"


def _find_limits_below_cold_minimum(configuration: ConfigurationDeclaration) -> Iterator[Problem]:
    """Finds time limits below the shortest time that a cold upstream takes for a request.

    An upstream that handles r requests a second one after the other takes 1/r s for each; with more
    slots it takes a multiple of that.
    """
    minimum_ms = {
        service.name: _MS_PER_S / service.cold_per_s
        for service in configuration.services
        if service.cold_per_s
    }
    for route in configuration.routes:
        slowest = max(route.shares, key=lambda s: minimum_ms.get(s.service, 0.0), default=None)
        if slowest is None or not route.limit_ms:
            continue
        needed_ms = minimum_ms.get(slowest.service, 0.0)
        if route.limit_ms < needed_ms:
            detail = (
                f"{route.limit_ms} ms is below the {needed_ms:.0f} ms that a cold upstream of"
                f" {slowest.service!r} takes for one request"
            )
            yield _route_problem(Code.LIMIT_UNATTAINABLE, route, "limit_ms", detail)


def _find_cold_limits_without_route(configuration: ConfigurationDeclaration) -> Iterator[Problem]:
    routed = {share.service for route in configuration.routes for share in route.shares}
    for service in configuration.services:
        if service.cold_per_s and service.name is not None and service.name not in routed:
            detail = f"no route names the service {service.name!r}"
            path = f"services[{service.position}]"
            yield Problem(Code.COLD_LIMIT_UNUSED, path, "cold_per_s", detail)


def _route_problem(code: Code, route: RouteDeclaration, field: str, detail: str) -> Problem:
    return Problem(code, f"routes[{route.position}]", field, detail)


def _title(route: RouteDeclaration) -> str:
    position = f"routes[{route.position}]"
    return f"{position} ({route.name!r})" if route.name else position
