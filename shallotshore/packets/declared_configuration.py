"""A configuration as the operator declares it, before balancers leave out what they do not use.

Fields that a document does not declare, or that cannot be read, are None.
"""

from __future__ import annotations

__all__ = [
    "ConfigurationDeclaration",
    "DecodedConfiguration",
    "RequestType",
    "RouteDeclaration",
    "ServiceDeclaration",
    "ServiceShare",
    "TrafficLimits",
]

from dataclasses import dataclass, field
from enum import StrEnum

from shallotshore.field_rules import Problem


class RequestType(StrEnum):
    """What the requests of a route do; safe requests and downloads may run more than once."""

    SAFE = "safe"
    DOWNLOAD = "download"
    UNSAFE = "unsafe"
    UPLOAD = "upload"


@dataclass(slots=True, frozen=True)
class ServiceShare:
    """A service among which a route's new flows are split, with its weight."""

    service: str
    weight: int


@dataclass(slots=True, frozen=True)
class RouteDeclaration:
    """The route of one virtual address.

    Attributes:
        position: Index among the document's routes.
        shares: Services of the route; one with weight 1 when the flows are not split.
        is_split: Whether the route declares weights.
        limit_ms: Time limit of the requests.
        target_ms: Target latency of the requests.
        priority: Rank among other routes; 0 goes first.
    """

    position: int = field(compare=False)
    name: str = ""
    host: str | None = None
    port: int | None = None
    request_type: RequestType | None = None
    shares: tuple[ServiceShare, ...] = ()
    is_split: bool = field(default=False, compare=False)
    limit_ms: float | None = None
    target_ms: float | None = None
    priority: int | None = None
    attempts: int | None = None


@dataclass(slots=True, frozen=True)
class ServiceDeclaration:
    """A service and the limits of its upstreams.

    Attributes:
        position: Index among the document's services.
        max_connections: Flows that an upstream holds.
        cold_s: How long an upstream is cold after its start.
        cold_per_s: Requests per second that a cold upstream can handle; 0 for no limit.
    """

    position: int = field(compare=False)
    name: str | None = None
    health_path: str | None = None
    max_connections: int | None = None
    protocol: str | None = None
    is_encrypted: bool | None = None
    cold_s: float | None = None
    cold_per_s: float | None = None


@dataclass(slots=True, frozen=True)
class TrafficLimits:
    """Limits that apply to the requests of all routes."""

    max_header_bytes: int | None = None
    max_body_bytes: int | None = None
    header_timeout_ms: float | None = None
    idle_timeout_ms: float | None = None


@dataclass(slots=True, frozen=True)
class ConfigurationDeclaration:
    """One version of the operator's configuration."""

    version: int | None = None
    routes: tuple[RouteDeclaration, ...] = ()
    services: tuple[ServiceDeclaration, ...] = ()
    limits: TrafficLimits = TrafficLimits()


@dataclass(slots=True)
class DecodedConfiguration:
    """What was read from a document.

    Attributes:
        declaration: The readable part, or None if the document as a whole is unreadable.
        problems: All problems of decoding. `key` is the path of the entry and empty for the
            document itself; `field` is the path inside the entry.
    """

    declaration: ConfigurationDeclaration | None
    problems: list[Problem]
