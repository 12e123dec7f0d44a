"""Balancers of the usual kinds, without agents, to compare the product with.

They hand callers' work straight to upstreams and keep what such balancers keep: a hash table, a
hash table and its predecessor, or a table of flows. Requests go by a random, a rotating or a hashed
choice. All read the configuration service once a second.
"""

__all__ = ["Flows", "Load", "PlainBalancer", "PlainCast"]

import random
from collections.abc import Callable
from enum import Enum
from functools import partial

from result import Ok

from shallotshore.caller_messages import (
    CallerAnswer,
    CallerClose,
    CallerData,
    CallerOpen,
    CallerRequest,
    CallerReset,
    FabricPacket,
)
from shallotshore.codes import Code, outcome_of
from shallotshore.control_messages import PlatformRead, PlatformReply
from shallotshore.hashing import flow_key, name_id, rank, request_key
from shallotshore.messages import Address, Message, Source
from shallotshore.record_reader import read_record
from shallotshore.records import Customer, DataCentre, Upstream
from shallotshore.systems import Core
from shallotshore.upstream_messages import (
    UpstreamAnswer,
    UpstreamClose,
    UpstreamData,
    UpstreamOpen,
    UpstreamRequest,
)
from standins.deployments import SERVER_PORT, Server
from standins.processes import Site

READ_INTERVAL = 1000  # ms


class Flows(Enum):
    """How packets of a flow find its upstream."""

    HASH = "hash"
    HASH_WITH_EARLIER = "hash_with_earlier"
    FLOW_TABLE = "flow_table"


class Load(Enum):
    """How an upstream is chosen for a request."""

    RANDOM = "random"
    ROUND_ROBIN = "round_robin"


class PlainBalancer(Core):
    """A balancer that knows only what it has read and what it has seen itself.

    Attributes:
        flows: How packets of a flow find their upstream.
        load: How an upstream is chosen for a request.
        texts: Records by key.
        members: Addresses of upstreams by service, by the newest table.
        earlier: The same by the table before.
        routes: (customer, service) by VIP.
        owners: Upstream's address of flows that this balancer saw opened.
        origins: (caller, VIP, caller's flow number) by flow key.
        asked: (caller, VIP, request) by request key.
    """

    __slots__ = (
        "_rng",
        "asked",
        "earlier",
        "flows",
        "load",
        "members",
        "origins",
        "owners",
        "routes",
        "texts",
        "turn",
    )

    def __init__(
        self, configuration: Address, fabric: Address, flows: Flows, load: Load, rng: random.Random
    ) -> None:
        super().__init__()
        self.flows = flows
        self.load = load
        self.texts: dict[str, bytes] = {}
        self.members: dict[str, dict[int, Address]] = {}
        self.earlier: dict[str, dict[int, Address]] = {}
        self.routes: dict[Address, tuple[int, str]] = {}
        self.owners: dict[int, Address] = {}
        self.origins: dict[int, tuple[Address, Address, int]] = {}
        self.asked: dict[int, tuple[Address, Address, bytes]] = {}
        self.turn = 0
        self._rng = rng
        self._systems = [_Reader(self, configuration), _Inward(self), _Outward(self, fabric)]

    @property
    def stopped(self) -> bool:
        """Always true: such a balancer has nothing to finish."""
        return True

    def stop(self, now: int) -> None:
        """Does nothing: callers' packets go elsewhere."""

    def owner(self, key: int, service: str, opens: bool) -> Address | None:
        """Returns where a flow's packet goes."""
        newest = _first(key, self.members.get(service, {}))
        if self.flows is Flows.HASH or opens:
            self.owners[key] = newest or ("", 0)
            return newest
        if self.flows is Flows.FLOW_TABLE:
            return self.owners.get(key, newest)
        return _first(key, self.earlier.get(service, {})) or newest

    def choose(self, service: str) -> Address | None:
        """Returns where a request goes."""
        members = list(self.members.get(service, {}).values())
        if not members:
            return None
        self.turn += 1
        if self.load is Load.RANDOM:
            return self._rng.choice(members)
        return members[self.turn % len(members)]

    def rebuild(self) -> None:
        """Makes new tables from the records."""
        read = [read_record(key, text) for key, text in self.texts.items() if text]
        records = [each.ok_value for each in read if isinstance(each, Ok)]
        out = {r.name for r in records if isinstance(r, DataCentre) and r.state == "out"}
        members: dict[str, dict[int, Address]] = {}
        for record in records:
            if isinstance(record, Upstream) and _takes_work(record, out):
                group = members.setdefault(record.service, {})
                group[name_id("upstream", record.name)] = (record.address[0], SERVER_PORT)
            elif isinstance(record, Customer):
                for binding in record.bindings:
                    customer = name_id("customer", record.name)
                    self.routes[binding.address] = (customer, binding.service)
        if members != self.members:
            self.earlier, self.members = self.members, members


def _takes_work(record: Upstream, out: set[str]) -> bool:
    return record.data_centre not in out and record.state == "active"


def _first(key: int, members: dict[int, Address]) -> Address | None:
    ranked = rank(key, members, 1)
    return members[ranked[0]] if ranked else None


def _data(payload: bytes, flow: int) -> Message:
    return CallerData(flow, payload)


def _reset(code: int, flow: int) -> Message:
    return CallerReset(flow, code)


class _Reader:
    """Reads the configuration once a second."""

    __slots__ = ("_balancer", "_configuration", "_due", "_revision")

    def __init__(self, balancer: PlainBalancer, configuration: Address) -> None:
        self._balancer = balancer
        self._configuration = configuration
        self._due = 0
        self._revision = 0

    def run(self, now: int) -> None:
        balancer = self._balancer
        for _, reply in balancer.inbox.take(PlatformReply):
            if reply.revision > self._revision:
                self._revision = reply.revision
                balancer.texts.update({entry.key: entry.text for entry in reply.entries})
                balancer.rebuild()
        if now >= self._due:
            self._due = now + READ_INTERVAL
            read = PlatformRead(Source.CONFIGURATION, self._revision, 0)
            balancer.outbox.send(self._configuration, read)


class _Inward:
    """Hands callers' packets to upstreams."""

    __slots__ = ("_balancer", "_handlers")

    def __init__(self, balancer: PlainBalancer) -> None:
        self._balancer = balancer
        self._handlers: dict[type, Callable[[FabricPacket, int, str], None]] = {
            CallerOpen: self._flow,
            CallerData: self._flow,
            CallerClose: self._flow,
            CallerRequest: self._request,
        }

    def run(self, now: int) -> None:
        balancer = self._balancer
        for _, packet in balancer.inbox.take(FabricPacket):
            route = balancer.routes.get(packet.vip)
            handler = self._handlers.get(type(packet.payload))
            if route is not None and handler is not None:
                handler(packet, *route)

    def _flow(self, packet: FabricPacket, customer: int, service: str) -> None:
        balancer, inner = self._balancer, packet.payload
        key = flow_key(packet.caller, packet.vip, inner.flow)  # type: ignore[attr-defined]
        balancer.origins[key] = (packet.caller, packet.vip, inner.flow)  # type: ignore[attr-defined]
        owner = balancer.owner(key, service, isinstance(inner, CallerOpen))
        if owner is None:
            return
        message: Message = UpstreamClose(key, Code.FLOW_CLOSED)
        if isinstance(inner, CallerOpen):
            message = UpstreamOpen(key, customer, inner.payload)
        elif isinstance(inner, CallerData):
            message = UpstreamData(key, customer, inner.payload)
        balancer.outbox.send(owner, message)

    def _request(self, packet: FabricPacket, customer: int, service: str) -> None:
        balancer, inner = self._balancer, packet.payload
        assert isinstance(inner, CallerRequest)
        key = request_key(packet.vip, inner.request)
        upstream = balancer.choose(service)
        if key in balancer.asked or upstream is None:
            return
        balancer.asked[key] = (packet.caller, packet.vip, inner.request)
        balancer.outbox.send(
            upstream, UpstreamRequest(key, 1, customer, inner.budget, inner.payload)
        )


class _Outward:
    """Hands upstreams' packets to callers."""

    __slots__ = ("_balancer", "_fabric")

    def __init__(self, balancer: PlainBalancer, fabric: Address) -> None:
        self._balancer = balancer
        self._fabric = fabric

    def run(self, now: int) -> None:
        inbox = self._balancer.inbox
        for _, data in inbox.take(UpstreamData):
            self._send(data.key, partial(_data, data.payload))
        for _, close in inbox.take(UpstreamClose):
            self._send(close.key, partial(_reset, close.code))
        for _, answer in inbox.take(UpstreamAnswer):
            self._answer(answer)

    def _send(self, key: int, message_for: Callable[[int], Message]) -> None:
        origin = self._balancer.origins.get(key)
        if origin is not None:
            packet = FabricPacket(origin[0], origin[1], message_for(origin[2]))
            self._balancer.outbox.send(self._fabric, packet)

    def _answer(self, answer: UpstreamAnswer) -> None:
        caller, vip, request = self._balancer.asked[answer.key]
        outcome = outcome_of(Code(answer.code))
        told = CallerAnswer(
            request,
            outcome,
            answer.code,
            answer.part,
            answer.parts,
            answer.checksum,
            answer.payload,
        )
        self._balancer.outbox.send(self._fabric, FabricPacket(caller, vip, told))


class PlainCast:
    """Balancers of one of the usual kinds, and no agents."""

    __slots__ = ("_flows", "_load")

    def __init__(self, flows: Flows, load: Load) -> None:
        self._flows = flows
        self._load = load

    def balancer(self, site: Site) -> Core:
        """Returns the core of a new balancer."""
        return PlainBalancer(site.configuration, site.fabric, self._flows, self._load, site.rng)

    def agent(self, site: Site, server: Server) -> None:
        """Returns None: these balancers need no agents."""
