"""What the systems of a packet agent share."""

from __future__ import annotations

__all__ = ["AgentSettings", "AgentState"]

import random
from typing import TYPE_CHECKING

from shallotshore.hashing import name_id
from shallotshore.packets.agent_tables import (
    CLIENT_ENDED,
    UPSTREAM_ENDED,
    AgentFlowStage,
    FlowTable,
    SubscriberTable,
)
from shallotshore.packets.failures import FailureShare
from shallotshore.packets.held_openings import HeldOpenings
from shallotshore.packets.node_messages import UpstreamHealth
from shallotshore.packets.node_state import NodeState
from shallotshore.packets.openings_limit import OpeningsLimit
from shallotshore.packets.packet import PacketToUpstream
from shallotshore.tables import MISSING

if TYPE_CHECKING:
    from shallotshore.messages import Address
    from shallotshore.systems import Core


DEFAULT_SLOTS = 4  # until the upstream's record is known
# A client's request follows the acceptance of its flow within one round trip.
EXPECTED_REQUEST_MS = 40


class AgentSettings:
    """Settings of one agent.

    Attributes:
        host: Own IP number, and that of the upstream.
        data_centre: Name of its data centre.
        service: Name of the upstream's service.
        upstream: Address at which the upstream takes packets.
        node_port: Port at which all processes of the system listen to each other.
        is_first_start: Whether the whole system starts for the first time.
        cold_over: Factor on what a cold upstream bears a second.
        cold_slack: Flows a second beyond that.
        flow_life_ms: Age after which a flow may be discarded.
    """

    __slots__ = (
        "cold_over",
        "cold_slack",
        "data_centre",
        "flow_life_ms",
        "host",
        "is_first_start",
        "node_port",
        "service",
        "upstream",
    )

    def __init__(
        self,
        host: int,
        data_centre: str,
        service: str,
        upstream: Address,
        node_port: int,
        is_first_start: bool = False,
        cold_over: float = 1.0,
        cold_slack: int = 0,
        flow_life_ms: int = 60_000,
    ) -> None:
        self.host = host
        self.data_centre = data_centre
        self.service = service
        self.upstream = upstream
        self.node_port = node_port
        self.is_first_start = is_first_start
        self.cold_over = cold_over
        self.cold_slack = cold_slack
        self.flow_life_ms = flow_life_ms


class AgentState(NodeState):
    """Tables, mailboxes and beliefs of one agent.

    Attributes:
        slots: Requests that the upstream works on at the same time.
        record_revision: Revision of the record of the upstream; 0 when none is known.
        is_leaving: Whether the upstream takes no new flows.
        is_out: Whether the data centre is out.
        health: What the agent sees of its upstream.
        heard_at: When the upstream last sent a packet, in ms.
        in_flight: Flows with data of the client that is not answered yet.
        open_flows: Flows that are open and have not ended.
        failures: How often the upstream fails what it is given.
        recent_offer_times: When the latest opening packets were handed over, in ms.
        unanswered_opening_at: When the upstream was first handed an opening packet since it last
            sent anything, in ms; 0 when it owes no answer.
        unanswered_data_at: The same for data.
        started_at: When the agent started, in ms; MISSING before the first tick.
    """

    __slots__ = (
        "failures",
        "held",
        "flows",
        "health",
        "heard_at",
        "in_flight",
        "incarnation",
        "is_leaving",
        "is_out",
        "limit",
        "open_flows",
        "recent_offer_times",
        "record_revision",
        "service",
        "settings",
        "slots",
        "started_at",
        "subscribers",
        "unanswered_data_at",
        "unanswered_opening_at",
    )

    def __init__(self, core: Core, settings: AgentSettings, rng: random.Random) -> None:
        super().__init__(core, settings.host, settings.node_port, settings.data_centre, rng)
        self.settings = settings
        self.flows = FlowTable()
        self.subscribers = SubscriberTable()
        self.held = HeldOpenings()
        self.limit = OpeningsLimit(settings.cold_over, settings.cold_slack)
        self.service = name_id("service", settings.service)
        self.incarnation = rng.getrandbits(62) + 1
        self.started_at = MISSING
        self.slots = DEFAULT_SLOTS
        self.record_revision = 0
        self.is_leaving = False
        self.is_out = False
        self.health = UpstreamHealth.ANSWERS
        self.heard_at = 0
        self.unanswered_opening_at = 0
        self.unanswered_data_at = 0
        self.in_flight = 0
        self.open_flows = 0
        self.failures = FailureShare()
        self.recent_offer_times: list[int] = []

    def send_to_upstream(self, frame: bytes) -> None:
        """Hands a client's packet to the upstream."""
        self.outbox.send(self.settings.upstream, PacketToUpstream(frame))

    def load(self, now: int) -> int:
        """Returns the requests in flight and those expected from flows just offered."""
        if self.recent_offer_times:
            self.recent_offer_times = [
                at for at in self.recent_offer_times if now - at < EXPECTED_REQUEST_MS
            ]
        return self.in_flight + len(self.recent_offer_times)

    def knows_all_flows(self, now: int) -> bool:
        """Whether a flow that the table lacks cannot live at the upstream."""
        return self.settings.is_first_start or now - self.started_at > self.settings.flow_life_ms

    def set_stage(self, row: int, stage: AgentFlowStage) -> None:
        """Moves a flow to a stage and keeps the count of open flows."""
        flows = self.flows
        was_open = flows.stage[row] == AgentFlowStage.OPEN
        flows.stage[row] = stage
        self.open_flows += (stage == AgentFlowStage.OPEN) - was_open

    def set_awaits_answer(self, row: int, awaits: bool) -> None:
        """Notes whether the client waits for an answer, and keeps the count of those flows."""
        flows = self.flows
        if flows.awaits[row] != awaits:
            self.in_flight += 1 if awaits else -1
            flows.awaits[row] = awaits

    def record_end(self, row: int, ends: int) -> None:
        """Notes that the client, the upstream or both have ended a flow."""
        flows = self.flows
        flows.ends[row] |= ends
        if flows.ends[row] == CLIENT_ENDED | UPSTREAM_ENDED:
            self.set_awaits_answer(row, False)

    def record_open(self, row: int) -> None:
        """Opens a flow, and tells the balancers of the data centre that its client enters by."""
        flows = self.flows
        self.set_stage(row, AgentFlowStage.OPEN)
        self.counters.add("flows.opened")
        self._add_key_to_reports(flows.origin[row], flows.key[row], "opened")

    def remove_flow(self, row: int) -> None:
        """Removes a flow; balancers that know it are told when it was open."""
        flows = self.flows
        key = flows.key[row]
        if flows.stage[row] == AgentFlowStage.OPEN:
            self._add_key_to_reports(flows.origin[row], key, "closed")
        self.set_awaits_answer(row, False)
        self.set_stage(row, AgentFlowStage.NOT_HELD)
        flows.remove(key)

    def _add_key_to_reports(self, origin: int, key: int, column: str) -> None:
        subscribers = self.subscribers
        told = subscribers.row(origin)
        if told == MISSING:
            return
        packed = key.to_bytes(8, "little")
        column_values = getattr(subscribers, column)
        for row in subscribers.rows():
            if subscribers.data_centre[row] == subscribers.data_centre[told]:
                column_values[row] += packed
