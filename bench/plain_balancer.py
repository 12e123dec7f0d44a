"""Balancers of common designs, without agents, to compare the product with.

They forward callers' packets straight to upstreams. The upstream of a flow is found by a hash over
the present upstreams, by a hash over the previous upstreams for all packets after the opening, or
in a flow table. The upstream of a request is chosen at random or in rotation. All read the
configuration service once a second.
"""

__all__ = ["FlowPolicy", "LoadPolicy", "PlainBalancer", "PlainProcessFactory"]

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


class LoadPolicy(Enum):
    """How a balancer chooses the upstream of a request."""

    RANDOM = "random"
    ROUND_ROBIN = "round_robin"


class PlainBalancer(Core):
    """A balancer that knows only the configuration it read and the packets it received.

    Attributes:
        flow_policy: How the upstream of a flow's packets is found.
        load_policy: How the upstream of a request is chosen.
        record_texts: Encoded records by key.
        upstreams_by_service: Addresses of the present upstreams by service and id.
        previous_upstreams_by_service: The same before the last change of the upstreams.
        routes: (customer, service) by VIP.
        flow_owners: Upstream addresses by flow key, of flows whose opening this balancer received.
        flow_origins: (caller, VIP, caller's flow number) by flow key.
        request_origins: (caller, VIP, request) by request key.
        choice_count: Number of requests for which an upstream was chosen.
    """

    __slots__ = (
        "_rng",
        "choice_count",
        "flow_origins",
        "flow_owners",
        "flow_policy",
        "load_policy",
        "previous_upstreams_by_service",
        "record_texts",
        "request_origins",
        "routes",
        "upstreams_by_service",
    )

    def __init__(
        self,
        configuration: Address,
        fabric: Address,
        flow_policy: FlowPolicy,
        load_policy: LoadPolicy,
        rng: random.Random,
    ) -> None:
        super().__init__()
        self.flow_policy = flow_policy
        self.load_policy = load_policy
        self.record_texts: dict[str, bytes] = {}
        self.upstreams_by_service: dict[str, dict[int, Address]] = {}
        self.previous_upstreams_by_service: dict[str, dict[int, Address]] = {}
        self.routes: dict[Address, tuple[int, str]] = {}
        self.flow_owners: dict[int, Address] = {}
        self.flow_origins: dict[int, tuple[Address, Address, int]] = {}
        self.request_origins: dict[int, tuple[Address, Address, bytes]] = {}
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

    def find_flow_upstream(self, key: int, service: str, is_opening: bool) -> Address | None:
        """Returns the upstream address for a packet of a flow, or None when there is none.

        Args:
            key: Key of the flow.
            service: Name of the service.
            is_opening: Whether the packet opens the flow.
        """
        newest_choice = _find_first_ranked(key, self.upstreams_by_service.get(service, {}))
        if self.flow_policy is FlowPolicy.HASH or is_opening:
            self.flow_owners[key] = newest_choice or ("", 0)
            return newest_choice
        if self.flow_policy is FlowPolicy.FLOW_TABLE:
            return self.flow_owners.get(key, newest_choice)
        return (
            _find_first_ranked(key, self.previous_upstreams_by_service.get(service, {}))
            or newest_choice
        )

    def choose_upstream(self, service: str) -> Address | None:
        """Returns the upstream address for a request to a service, or None when there is none."""
        members = list(self.upstreams_by_service.get(service, {}).values())
        if not members:
            return None
        self.choice_count += 1
        if self.load_policy is LoadPolicy.RANDOM:
            return self._rng.choice(members)
        return members[self.choice_count % len(members)]

    def rebuild_tables(self) -> None:
        """Rebuilds routes and upstream tables from the records."""
        decoded = [read_record(key, text) for key, text in self.record_texts.items() if text]
        records = [each.ok_value for each in decoded if isinstance(each, Ok)]
        out = {r.name for r in records if isinstance(r, DataCentre) and r.state == "out"}
        members: dict[str, dict[int, Address]] = {}
        for record in records:
            if isinstance(record, Upstream) and _accepts_work(record, out):
                service_upstreams = members.setdefault(record.service, {})
                service_upstreams[name_id("upstream", record.name)] = (
                    record.address[0],
                    SERVER_PORT,
                )
            elif isinstance(record, Customer):
                for binding in record.bindings:
                    customer = name_id("customer", record.name)
                    self.routes[binding.address] = (customer, binding.service)
        if members != self.upstreams_by_service:
            self.previous_upstreams_by_service, self.upstreams_by_service = (
                self.upstreams_by_service,
                members,
            )


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
        balancer, caller_message = self._balancer, packet.payload
        key = flow_key(packet.caller, packet.vip, caller_message.flow)  # type: ignore[attr-defined]
        balancer.flow_origins[key] = (packet.caller, packet.vip, caller_message.flow)  # type: ignore[attr-defined]
        owner = balancer.find_flow_upstream(key, service, isinstance(caller_message, CallerOpen))
        if owner is None:
            return
        message: Message = UpstreamClose(key, Code.FLOW_CLOSED)
        if isinstance(caller_message, CallerOpen):
            message = UpstreamOpen(key, customer, caller_message.payload)
        elif isinstance(caller_message, CallerData):
            message = UpstreamData(key, customer, caller_message.payload)
        balancer.outbox.send(owner, message)

    def _handle_request(self, packet: FabricPacket, customer: int, service: str) -> None:
        balancer, caller_message = self._balancer, packet.payload
        assert isinstance(caller_message, CallerRequest)
        key = request_key(packet.vip, caller_message.request)
        upstream = balancer.choose_upstream(service)
        if key in balancer.request_origins or upstream is None:
            return
        balancer.request_origins[key] = (packet.caller, packet.vip, caller_message.request)
        balancer.outbox.send(
            upstream,
            UpstreamRequest(key, 1, customer, caller_message.budget, caller_message.payload),
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

    def _send_to_caller(self, key: int, build_message: Callable[[int], Message]) -> None:
        origin = self._balancer.flow_origins.get(key)
        if origin is not None:
            packet = FabricPacket(origin[0], origin[1], build_message(origin[2]))
            self._balancer.outbox.send(self._fabric, packet)

    def _handle_answer(self, answer: UpstreamAnswer) -> None:
        caller, vip, request = self._balancer.request_origins[answer.key]
        outcome = outcome_of(Code(answer.code))
        caller_answer = CallerAnswer(
            request,
            outcome,
            answer.code,
            answer.part,
            answer.parts,
            answer.checksum,
            answer.payload,
        )
        self._balancer.outbox.send(self._fabric, FabricPacket(caller, vip, caller_answer))


class PlainProcessFactory:
    """Creates balancers of one common design, and no agents."""

    __slots__ = ("_flow_policy", "_load_policy")

    def __init__(self, flow_policy: FlowPolicy, load_policy: LoadPolicy) -> None:
        self._flow_policy = flow_policy
        self._load_policy = load_policy

    def balancer(self, process_settings: ProcessSettings) -> Core:
        """Returns the core of a new balancer."""
        return PlainBalancer(
            process_settings.configuration,
            process_settings.fabric,
            self._flow_policy,
            self._load_policy,
            process_settings.rng,
        )

    def agent(self, process_settings: ProcessSettings, server: Server) -> None:
        """Returns None: these balancers need no agents."""
