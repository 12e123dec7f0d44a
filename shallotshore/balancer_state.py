"""Shared state of a balancer, and its interfaces to the catalog and to other balancers."""

__all__ = ["BalancerState", "CatalogView", "Peers", "RouteView", "UpstreamView"]

import random
from collections.abc import Callable, Sequence
from typing import Protocol

from shallotshore.caller_messages import FabricPacket
from shallotshore.health import AnswerWindow, Exclusions, HealthTable
from shallotshore.hints import HintTable
from shallotshore.loads import LoadTable
from shallotshore.messages import Address, Message
from shallotshore.placement import Placement
from shallotshore.systems import Counters, Inbox, Outbox
from shallotshore.unknown_flows import ALWAYS, Knowledge

_SILENT_FLOWS_WEIGHT = 3.0  # of silence on open flows; enough to suspect an upstream at once


class RouteView(Protocol):
    """The service and customer of a VIP."""

    @property
    def service(self) -> int:
        """Id of the service."""

    @property
    def customer(self) -> int:
        """Id of the customer."""


class UpstreamView(Protocol):
    """Fields of an upstream's record that a balancer reads."""

    @property
    def service(self) -> int:
        """Id of the service."""

    @property
    def data_centre(self) -> int:
        """Id of the data centre."""

    @property
    def address(self) -> Address:
        """Address of the agent."""

    @property
    def leaving(self) -> bool:
        """Whether the record says that the upstream is leaving."""

    @property
    def slots(self) -> int:
        """Greatest number of requests that run at once."""

    @property
    def connections(self) -> int:
        """Greatest number of open flows."""

    @property
    def customers(self) -> Sequence[int]:
        """Ids of the customers that the upstream serves; empty if it serves all."""


class CatalogView(Protocol):
    """The part of the catalog that a balancer uses."""

    @property
    def revision(self) -> int:
        """Revision in force."""

    def membership(self, service: int) -> int:
        """Returns the revision at which the service's set of upstreams last changed."""

    def route(self, vip: Address) -> RouteView | None:
        """Returns the service and customer of a VIP."""

    def upstreams_of(self, service: int) -> Sequence[int]:
        """Returns the ids of all upstream records of the service, sorted."""

    def upstream(self, upstream: int) -> UpstreamView | None:
        """Returns the record of an upstream."""

    def takes_new_work(self, upstream: int) -> bool:
        """Whether the upstream is not leaving and its data centre is in service."""

    def is_data_centre_in_service(self, data_centre: int) -> bool:
        """Whether the data centre is in service."""

    def share(self, customer: int) -> int:
        """Returns the customer's share, its weight among the customers."""


class Peers(Protocol):
    """What a balancer needs to know about other balancers and VMs."""

    def event_targets(self, is_origin: bool) -> Sequence[Address]:
        """Returns the balancers to send a health event to.

        Args:
            is_origin: Whether this balancer reports the event itself rather than relaying it.
        """

    def is_parent(self, upstream: int, data_centre: int) -> bool:
        """Whether this balancer watches the upstream's heartbeats."""

    def hint_targets(self, source: Address) -> Sequence[Address]:
        """Returns the balancers to which a hint from `source` is relayed."""

    def is_leaving(self, address: Address) -> bool:
        """Whether the VM list says that the VM at an address is leaving."""


def _know_all() -> Knowledge:
    """Returns that the records are complete: no other process changes them."""
    return Knowledge(True, ALWAYS)


def _query_nobody(now: int) -> None:
    """Does nothing: there is no other process with records."""


def _ignore_revision(source: Address, revision: int, now: int) -> None:
    """Does nothing: this balancer takes no part in propagation."""


class BalancerState:
    """Tables and links shared by the systems of one balancer.

    Attributes:
        address: Own address, named in messages to agents.
        agents_heard_at: Time in ms of the last message from any agent.
        fabric: Address to which answers to callers go: the fabric that sent the last packet.
        is_suspended: Whether callers' packets are dropped and no attempts are started, since the
            catalog may be out of date.
        record_peer_revision: Called with sender, revision and time for each message that carries
            a revision.
        knowledge: Returns what the records say of a flow that they do not lead to an upstream, or
            whose owner they have out of service.
        query_peers: Called with the time in ms to ask other balancers for their revisions.
        last_packet_at: Time in ms of the last packet from the fabric.
    """

    __slots__ = (
        "address",
        "agents_heard_at",
        "answer_window",
        "catalog",
        "counters",
        "exclusions",
        "fabric",
        "health",
        "hints",
        "inbox",
        "is_suspended",
        "knowledge",
        "last_packet_at",
        "loads",
        "record_peer_revision",
        "outbox",
        "peers",
        "placement",
        "query_peers",
        "rng",
    )

    def __init__(
        self,
        address: Address,
        catalog: CatalogView,
        peers: Peers,
        rng: random.Random,
        inbox: Inbox,
        outbox: Outbox,
        counters: Counters,
    ) -> None:
        self.address = address
        self.catalog = catalog
        self.peers = peers
        self.rng = rng
        self.inbox = inbox
        self.outbox = outbox
        self.counters = counters
        self.placement = Placement(catalog)
        self.hints = HintTable()
        self.loads = LoadTable()
        self.health = HealthTable()
        self.exclusions = Exclusions(catalog, self.health)
        self.answer_window = AnswerWindow()
        self.agents_heard_at = 0
        self.fabric: Address | None = None
        self.is_suspended = True
        self.last_packet_at = 0
        self.record_peer_revision: Callable[[Address, int, int], None] = _ignore_revision
        self.knowledge: Callable[[], Knowledge] = _know_all
        self.query_peers: Callable[[int], None] = _query_nobody

    def answer(self, caller: Address, vip: Address, payload: Message) -> None:
        """Sends a message to a caller through the fabric."""
        if self.fabric is None:
            self.counters.add("answers.no_fabric")
            return
        self.outbox.send(self.fabric, FabricPacket(caller, vip, payload))

    def send_to_upstream(self, upstream: int, message: Message) -> bool:
        """Sends a message to the agent of an upstream.

        Returns:
            Whether the upstream has a record.
        """
        view = self.catalog.upstream(upstream)
        if view is None:
            return False
        self.outbox.send(view.address, message)
        return True

    def record_packet_sent(self, upstream: int, service: int, is_opening: bool, now: int) -> None:
        """Records a packet sent to an upstream, and suspects an upstream that stays silent.

        A wrong suspicion ends soon: packets then go to a witness, which forwards them to the
        owner, and the owner's hint to this balancer breaks the silence.
        """
        if self.answer_window.record_packet_sent(upstream, is_opening, now):
            self.counters.add("health.packets_unanswered")
            weight = 1.0 if is_opening else _SILENT_FLOWS_WEIGHT
            self.health.record_unanswered(upstream, service, now, weight)

    def record_agent_message(self, upstream: int, now: int) -> None:
        """Records that a message from an upstream's agent has arrived."""
        self.agents_heard_at = now
        self.answer_window.record_answer(upstream)
        self.health.reduce_suspicion(upstream, now)
