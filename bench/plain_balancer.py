"""Balancers of common designs, without agents, to compare the product with.

They forward callers' packets straight to upstreams. For flows they keep what such balancers keep: a
hash table, a hash table and its predecessor, or a flow table. The upstream of a request is chosen
at random or in rotation. All read the configuration service once a second.
"""

__all__ = ["FlowPolicy", "Load", "PlainBalancer", "PlainCast"]

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
from standins.processes import ProcessSettings

READ_INTERVAL_MS = 1000


class FlowPolicy(Enum):
    """How a balancer finds the upstream of a flow's packets."""

    HASH = "hash"
    HASH_WITH_PREVIOUS = "hash_with_earlier"
    FLOW_TABLE = "flow_table"


class Load(Enum):
    """How a balancer chooses the upstream of a request."""

    RANDOM = "random"
    ROUND_ROBIN = "round_robin"


class PlainBalancer(Core):
    """A balancer that knows only the configuration it read and the packets it received.

    Attributes:
        flow_policy: How the upstream of a flow's packets is found.
        load_policy: How the upstream of a request is chosen.
        record_texts: Encoded records by key.
        upstreams_by_service: Addresses of upstreams by id, by service, in the newest table.
        previous_upstreams_by_service: The same in the table before.
        routes: (customer, service) by VIP.
        flow_owners: Upstream addresses by flow key, of flows whose opening this balancer received.
        flow_origins: (caller, VIP, caller's flow number) by flow key.
        request_origins: (caller, VIP, request) by request key.
        choice_count: Number of requests for which an upstream was chosen.
    """

    __slots__ = (
        "_rng",
        "asked",
        "previous_upstreams_by_service",
        "flows",
        "load",
        "members",
        "flow_origins",
        "flow_owners",
        "routes",
        "record_texts",
        "choice_count",
    )

    def __init__(
        self,
        configuration: Address,
        fabric: Address,
        flows: FlowPolicy,
        load: Load,
        rng: random.Random,
    ) -> None:
        super().__init__()
        self.flows = flows
        self.load = load
        self.record_texts: dict[str, bytes] = {}
        self.members: dict[str, dict[int, Address]] = {}
        self.previous_upstreams_by_service: dict[str, dict[int, Address]] = {}
        self.routes: dict[Address, tuple[int, str]] = {}
        self.flow_owners: dict[int, Address] = {}
        self.flow_origins: dict[int, tuple[Address, Address, int]] = {}
        self.asked: dict[int, tuple[Address, Address, bytes]] = {}
        self.choice_count = 0
        self._rng = rng
        self._systems = [
            _ConfigurationReader(self, configuration),
            _CallerPackets(self),
            _UpstreamPackets(self, fabric),
        ]

    @property
    def stopped(self) -> bool:
        """Always true: such a balancer has no work to finish before it ends."""
        return True

    def stop(self, now: int) -> None:
        """Does nothing: the fabric sends callers' packets to other balancers."""

    def owner(self, key: int, service: str, opens: bool) -> Address | None:
        """Returns the upstream address for a packet of a flow, or None when there is none.

        Args:
            key: Key of the flow.
            service: Name of the service.
            opens: Whether the packet opens the flow.
        """
        newest = _find_first_ranked(key, self.members.get(service, {}))
        if self.flows is FlowPolicy.HASH or opens:
            self.flow_owners[key] = newest or ("", 0)
            return newest
        if self.flows is FlowPolicy.FLOW_TABLE:
            return self.flow_owners.get(key, newest)
        return (
            _find_first_ranked(key, self.previous_upstreams_by_service.get(service, {})) or newest
        )

    def choose_upstream(self, service: str) -> Address | None:
        """Returns the upstream address for a request to a service, or None when there is none."""
        members = list(self.members.get(service, {}).values())
        if not members:
            return None
        self.choice_count += 1
        if self.load is Load.RANDOM:
            return self._rng.choice(members)
        return members[self.choice_count % len(members)]

    def rebuild_tables(self) -> None:
        """Rebuilds routes and upstream tables from the records."""
        read = [read_record(key, text) for key, text in self.record_texts.items() if text]
        records = [each.ok_value for each in read if isinstance(each, Ok)]
        out = {r.name for r in records if isinstance(r, DataCentre) and r.state == "out"}
        members: dict[str, dict[int, Address]] = {}
        for record in records:
            if isinstance(record, Upstream) and _accepts_work(record, out):
                group = members.setdefault(record.service, {})
                group[name_id("upstream", record.name)] = (record.address[0], SERVER_PORT)
            elif isinstance(record, Customer):
                for binding in record.bindings:
                    customer = name_id("customer", record.name)
                    self.routes[binding.address] = (customer, binding.service)
        if members != self.members:
            self.previous_upstreams_by_service, self.members = self.members, members


def _accepts_work(record: Upstream, out: set[str]) -> bool:
    return record.data_centre not in out and record.state == "active"


def _find_first_ranked(key: int, members: dict[int, Address]) -> Address | None:
    ranked = rank(key, members, 1)
    return members[ranked[0]] if ranked else None


def _build_caller_data(payload: bytes, flow: int) -> Message:
    return CallerData(flow, payload)


def _build_caller_reset(code: int, flow: int) -> Message:
    return CallerReset(flow, code)


class _ConfigurationReader:
    """System that reads the configuration service once a second."""

    __slots__ = ("_balancer", "_configuration", "_next_read_at", "_revision")

    def __init__(self, balancer: PlainBalancer, configuration: Address) -> None:
        self._balancer = balancer
        self._configuration = configuration
        self._next_read_at = 0
        self._revision = 0

    def run(self, now: int) -> None:
        balancer = self._balancer
        for _, reply in balancer.inbox.take(PlatformReply):
            if reply.revision > self._revision:
                self._revision = reply.revision
                balancer.record_texts.update({entry.key: entry.text for entry in reply.entries})
                balancer.rebuild_tables()
        if now >= self._next_read_at:
            self._next_read_at = now + READ_INTERVAL_MS
            read = PlatformRead(Source.CONFIGURATION, self._revision, 0)
            balancer.outbox.send(self._configuration, read)


class _CallerPackets:
    """System that forwards callers' packets to upstreams."""

    __slots__ = ("_balancer", "_handlers")

    def __init__(self, balancer: PlainBalancer) -> None:
        self._balancer = balancer
        self._handlers: dict[type, Callable[[FabricPacket, int, str], None]] = {
            CallerOpen: self._handle_flow_packet,
            CallerData: self._handle_flow_packet,
            CallerClose: self._handle_flow_packet,
            CallerRequest: self._handle_request,
        }

    def run(self, now: int) -> None:
        balancer = self._balancer
        for _, packet in balancer.inbox.take(FabricPacket):
            route = balancer.routes.get(packet.vip)
            handler = self._handlers.get(type(packet.payload))
            if route is not None and handler is not None:
                handler(packet, *route)

    def _handle_flow_packet(self, packet: FabricPacket, customer: int, service: str) -> None:
        balancer, inner = self._balancer, packet.payload
        key = flow_key(packet.caller, packet.vip, inner.flow)  # type: ignore[attr-defined]
        balancer.flow_origins[key] = (packet.caller, packet.vip, inner.flow)  # type: ignore[attr-defined]
        owner = balancer.owner(key, service, isinstance(inner, CallerOpen))
        if owner is None:
            return
        message: Message = UpstreamClose(key, Code.FLOW_CLOSED)
        if isinstance(inner, CallerOpen):
            message = UpstreamOpen(key, customer, inner.payload)
        elif isinstance(inner, CallerData):
            message = UpstreamData(key, customer, inner.payload)
        balancer.outbox.send(owner, message)

    def _handle_request(self, packet: FabricPacket, customer: int, service: str) -> None:
        balancer, inner = self._balancer, packet.payload
        assert isinstance(inner, CallerRequest)
        key = request_key(packet.vip, inner.request)
        upstream = balancer.choose_upstream(service)
        if key in balancer.asked or upstream is None:
            return
        balancer.asked[key] = (packet.caller, packet.vip, inner.request)
        balancer.outbox.send(
            upstream, UpstreamRequest(key, 1, customer, inner.budget, inner.payload)
        )


class _UpstreamPackets:
    """System that forwards upstreams' packets to callers."""

    __slots__ = ("_balancer", "_fabric")

    def __init__(self, balancer: PlainBalancer, fabric: Address) -> None:
        self._balancer = balancer
        self._fabric = fabric

    def run(self, now: int) -> None:
        inbox = self._balancer.inbox
        for _, data in inbox.take(UpstreamData):
            self._send_to_caller(data.key, partial(_build_caller_data, data.payload))
        for _, close in inbox.take(UpstreamClose):
            self._send_to_caller(close.key, partial(_build_caller_reset, close.code))
        for _, answer in inbox.take(UpstreamAnswer):
            self._handle_answer(answer)

    def _send_to_caller(self, key: int, message_for: Callable[[int], Message]) -> None:
        origin = self._balancer.flow_origins.get(key)
        if origin is not None:
            packet = FabricPacket(origin[0], origin[1], message_for(origin[2]))
            self._balancer.outbox.send(self._fabric, packet)

    def _handle_answer(self, answer: UpstreamAnswer) -> None:
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
    """Creates balancers of one common design, and no agents."""

    __slots__ = ("_flows", "_load")

    def __init__(self, flows: FlowPolicy, load: Load) -> None:
        self._flows = flows
        self._load = load

    def balancer(self, process_settings: ProcessSettings) -> Core:
        """Returns the core of a new balancer."""
        return PlainBalancer(
            process_settings.configuration,
            process_settings.fabric,
            self._flows,
            self._load,
            process_settings.rng,
        )

    def agent(self, process_settings: ProcessSettings, server: Server) -> None:
        """Returns None: these balancers need no agents."""
