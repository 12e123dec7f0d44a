"""Settings of a packet agent, and the state that its systems share."""

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
from shallotshore.packets.answer_times import AnswerTimes
from shallotshore.packets.failures import FailureShare
from shallotshore.packets.held_openings import HeldOpenings
from shallotshore.packets.node_messages import OwnedFlow, UpstreamHealth
from shallotshore.packets.node_state import NodeState
from shallotshore.packets.openings_limit import OpeningsLimit
from shallotshore.packets.packet import PacketToUpstream
from shallotshore.scheduling.capacity import CapacityEstimator
from shallotshore.scheduling.placement import usable_slots
from shallotshore.tables import MISSING

if TYPE_CHECKING:
    from shallotshore.messages import Address
    from shallotshore.systems import Core


DEFAULT_SLOTS = 4  # assumed until the upstream's record is known
# An offered flow counts as a request in flight for this time, since the client's request follows
# the acceptance of its flow within one round trip.
EXPECTED_REQUEST_MS = 40
# An upstream without a record, or whose record may be that of its last process, is treated as cold
# for this long.
DEFAULT_COLD_MS = 4_000


class AgentSettings:
    """Settings of one agent.

    Attributes:
        host: IP address of the VM on which the agent and its upstream run.
        data_centre: Name of the VM's data centre.
        service: Name of the upstream's service.
        upstream: Address at which the upstream receives packets.
        node_port: Port at which all balancers and agents receive each other's messages.
        is_first_start: Whether the whole system starts for the first time, so that no upstream
            can hold a flow yet.
        cold_over: Factor on the number of flows per second declared for a cold upstream.
        cold_slack: Flows per second that are allowed in addition to the declared number times
            `cold_over`.
        flow_life_ms: Age after which a flow may be discarded, in ms.
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
    """Tables, mailboxes and observations of one agent.

    Attributes:
        service: Id of the upstream's service.
        incarnation: Random number that differs with each start of the agent.
        slots: Requests that the upstream works on at the same time.
        record_revision: Revision of the upstream's record; 0 when no record is known.
        is_leaving: Whether the upstream accepts no new flows, according to its record.
        is_out: Whether the operator has taken the data centre out of service.
        is_stopping: Whether the agent is about to end.
        health: Health of the upstream as its packets show it.
        is_upstream_silent: Whether the upstream fell silent and has sent no packet since.
        upstream_restarted_at: When a restart of the upstream was noticed, in ms; MISSING before.
        last_upstream_packet_at: When the upstream last sent a packet, in ms.
        in_flight: Number of flows with data of the client that is not answered yet.
        open_flows: Number of flows in the stage OPEN.
        peers: Hosts of the other upstreams of the service in this data centre.
        answer_times: Times that requests take at the upstream.
        denials: Keys of flows, 8 bytes each, whose search this agent denies, by balancer.
        capacity: What is learned of the upstream's service time and concurrency.
        has_target: Whether a route of the service declares a target latency, so that the learned
            values are used.
        failures: Decaying counts of the upstream's answers and failures.
        recent_offer_times: When the latest opening packets were sent to the upstream, in ms.
        unanswered_opening_at: When the first opening packet since the upstream's last packet was
            sent to the upstream, in ms; 0 when there is none.
        unanswered_data_at: When the first packet with data since the upstream's last packet was
            sent to the upstream, in ms; 0 when there is none.
        started_at: When the agent started, in ms; MISSING before the first tick.
    """

    __slots__ = (
        "answer_times",
        "capacity",
        "denials",
        "failures",
        "flows",
        "has_target",
        "health",
        "held_openings",
        "in_flight",
        "incarnation",
        "is_leaving",
        "is_out",
        "is_stopping",
        "is_upstream_silent",
        "last_upstream_packet_at",
        "open_flows",
        "openings_limit",
        "peers",
        "recent_offer_times",
        "record_revision",
        "service",
        "settings",
        "slots",
        "started_at",
        "subscribers",
        "unanswered_data_at",
        "unanswered_opening_at",
        "upstream_restarted_at",
    )

    def __init__(self, core: Core, settings: AgentSettings, rng: random.Random) -> None:
        super().__init__(core, settings.host, settings.node_port, settings.data_centre, rng)
        self.settings = settings
        self.flows = FlowTable()
        self.subscribers = SubscriberTable()
        self.held_openings = HeldOpenings()
        self.openings_limit = OpeningsLimit(settings.cold_over, settings.cold_slack)
        self.service = name_id("service", settings.service)
        self.incarnation = rng.getrandbits(62) + 1
        self.started_at = MISSING
        self.slots = DEFAULT_SLOTS
        self.capacity = CapacityEstimator(DEFAULT_SLOTS)
        self.has_target = False
        self.record_revision = 0
        self.is_leaving = False
        self.is_out = False
        self.is_stopping = False
        self.health = UpstreamHealth.ANSWERS
        self.is_upstream_silent = False
        self.upstream_restarted_at = MISSING
        self.last_upstream_packet_at = 0
        self.unanswered_opening_at = 0
        self.unanswered_data_at = 0
        self.in_flight = 0
        self.open_flows = 0
        self.peers: frozenset[int] = frozenset()
        self.denials: dict[int, bytes] = {}
        self.failures = FailureShare()
        self.answer_times = AnswerTimes()
        self.recent_offer_times: list[int] = []

    def send_to_upstream(self, frame: bytes) -> None:
        """Sends a client's packet to the upstream."""
        self.outbox.send(self.settings.upstream, PacketToUpstream(frame))

    def deny(self, origin: int, key: int) -> None:
        """Adds a flow that the upstream does not hold to the next Denied to a balancer."""
        self.counters.add("packets.denied")
        self.denials[origin] = self.denials.get(origin, b"") + key.to_bytes(8, "little")

    def load(self, now: int) -> int:
        """Returns the requests in flight plus the requests expected for recently offered flows."""
        if self.recent_offer_times:
            self.recent_offer_times = [
                at for at in self.recent_offer_times if now - at < EXPECTED_REQUEST_MS
            ]
        return self.in_flight + len(self.recent_offer_times)

    def usable_slots(self, now: int) -> int:
        """Returns the requests that the upstream gets at the same time, besides a queued one."""
        if not self.has_target:
            return self.slots
        return usable_slots(self.slots, self.capacity.concurrency(self.slots, now))

    def learned_values(self, now: int) -> tuple[float, float]:
        """Returns the service time in ms and the concurrency for reports; 0 when not known.

        Whole numbers are integers, since these take 1 to 3 bytes in a report and others take 9.
        """
        if not self.has_target:
            return 0, 0
        unanswered_ms = now - self.unanswered_data_at if self.unanswered_data_at else 0
        service_ms = self.capacity.service_ms(now, unanswered_ms)
        concurrency = round(self.capacity.concurrency(self.slots, now), 1)
        return round(service_ms), int(concurrency) if concurrency.is_integer() else concurrency

    def knows_all_flows(self, now: int) -> bool:
        """Whether the table has every flow that the upstream can hold."""
        return self.settings.is_first_start or now - self.started_at > self.settings.flow_life_ms

    def set_stage(self, row: int, stage: AgentFlowStage) -> None:
        """Sets the stage of a flow and updates the count of open flows."""
        flows = self.flows
        was_open = flows.stage[row] == AgentFlowStage.OPEN
        flows.stage[row] = stage
        self.open_flows += (stage == AgentFlowStage.OPEN) - was_open

    def set_awaits_answer(self, row: int, awaits_answer: bool) -> None:
        """Records whether a flow's client awaits an answer, and updates `in_flight`."""
        flows = self.flows
        if flows.awaits_answer[row] != awaits_answer:
            self.in_flight += 1 if awaits_answer else -1
            if awaits_answer:
                flows.in_flight_at_request[row] = self.in_flight
            flows.awaits_answer[row] = awaits_answer

    def record_upstream_restart(self, now: int) -> None:
        """Records that the upstream has restarted, and that none of its flows are left.

        Until the record of the new process arrives, the upstream counts as cold.
        """
        self.upstream_restarted_at = now
        self.openings_limit.assume_cold_until(now + DEFAULT_COLD_MS)
        self.counters.add("upstream.restarts")
        self.log.write(now, "upstream_restarted", silent_ms=now - self.last_upstream_packet_at)

    def forget_requests(self) -> None:
        """Stops counting all requests in flight, after a restart of the upstream."""
        for row in self.flows.rows():
            self.set_awaits_answer(row, False)
        self.answer_times.forget()

    def record_end(self, row: int, ends: int) -> None:
        """Records that the client, the upstream or both have ended a flow.

        Args:
            row: Row of the flow.
            ends: CLIENT_ENDED, UPSTREAM_ENDED or both.
        """
        flows = self.flows
        flows.ends[row] |= ends
        if flows.ends[row] == CLIENT_ENDED | UPSTREAM_ENDED:
            self.set_awaits_answer(row, False)

    def record_open(self, row: int) -> None:
        """Marks a flow as open, and reports it to balancers.

        The report goes to all subscribers in the data centre of the balancer that delivered the
        flow's last packet, since the client's packets enter there.
        """
        flows = self.flows
        self.set_stage(row, AgentFlowStage.OPEN)
        flows.opened_at[row] = flows.last_packet_at[row]
        self.counters.add("flows.opened")
        self._add_key_to_reports(flows.origin[row], flows.key[row], "opened")

    def remove_flow(self, row: int) -> None:
        """Removes a flow; the end of an open flow is reported to the balancers that know it."""
        flows = self.flows
        key = flows.key[row]
        if flows.stage[row] == AgentFlowStage.OPEN:
            self._add_key_to_reports(flows.origin[row], key, "closed")
        self.set_awaits_answer(row, False)
        self.set_stage(row, AgentFlowStage.NOT_HELD)
        flows.remove(key)

    def _add_key_to_reports(self, origin: int, key: int, column: str) -> None:
        """Adds a flow's key to the next reports to the subscribers in one data centre.

        Args:
            origin: Host of a balancer in that data centre. If it is no subscriber, only this
                balancer is told of an opened flow.
            key: Key of the flow.
            column: Column of the subscriber table, "opened" or "closed".
        """
        subscribers = self.subscribers
        origin_row = subscribers.row(origin)
        if origin_row == MISSING:
            if column == "opened":
                self.send(origin, OwnedFlow(key))
            return
        packed_key = key.to_bytes(8, "little")
        column_values = getattr(subscribers, column)
        for row in subscribers.rows():
            if subscribers.data_centre[row] == subscribers.data_centre[origin_row]:
                column_values[row] += packed_key
