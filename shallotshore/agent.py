"""Core of the agent, which runs beside one upstream."""

__all__ = ["AgentConfig", "AgentCore"]

import random

import msgspec

from shallotshore.admission import AdmissionSystem
from shallotshore.agent_messages import Attempt, Forward
from shallotshore.agent_state import AgentConfig, AgentState
from shallotshore.catalog import Catalog
from shallotshore.claiming import ClaimingSystem
from shallotshore.claims import ClaimsSystem
from shallotshore.control_messages import StatusReply
from shallotshore.flows import FlowIntakeSystem, FlowSystem
from shallotshore.handover import HandoverSystem
from shallotshore.hashing import name_id
from shallotshore.membership import Membership
from shallotshore.messages import Message
from shallotshore.outcomes import AnswerSystem
from shallotshore.peering import PropagationConfig
from shallotshore.peers import PeersSystem, extend_peer_leases, hand_over_flow_claims
from shallotshore.placement import Placement
from shallotshore.positions import describe_position
from shallotshore.propagation import Propagation
from shallotshore.requests import RequestIntakeSystem, RequestSystem
from shallotshore.systems import Core
from shallotshore.upstream_link import UpstreamLinkSystem
from shallotshore.upstream_messages import (
    UpstreamAnswer,
    UpstreamClose,
    UpstreamData,
    UpstreamHealth,
)
from shallotshore.wakeup import PAUSE_THRESHOLD_MS, WakeupGuard

MAX_SLICE_RECORDS = 1 << 14  # records of one service, or VMs of one data centre
# Interval between queries for newer records, while witnesses refuse this agent's claims because its
# table of upstreams is older than theirs.
PEER_QUERY_INTERVAL_MS = 200
# A stopping agent waits until no request has been open for this time. A balancer that misses an
# answer asks for the answer again well within this time.
STOP_QUIET_MS = 1_000
STOP_TIMEOUT_MS = 30_000
_UPSTREAM_MESSAGE_TYPES: tuple[type[Message], ...] = (
    UpstreamHealth,
    UpstreamAnswer,
    UpstreamData,
    UpstreamClose,
)


class AgentCore(Core):
    """Tables and systems of one agent.

    The order of the systems matters. The catalog, the state of the upstream and the claims kept for
    peers are brought up to date before packets and attempts are handled. This agent's own claims
    are decided after that, so that work whose claim needs no other agent's grant starts in the same
    tick.

    Attributes:
        state: State that the systems share.
    """

    __slots__ = ("_guard", "_handover", "_last_tick", "_propagation", "_stopped", "state")

    def __init__(
        self, config: AgentConfig, rng: random.Random, catalog: Catalog, membership: Membership
    ) -> None:
        super().__init__()
        self._last_tick: int | None = None
        self._stopped = False
        self.state = AgentState(
            config=config,
            catalog=catalog,
            membership=membership,
            placement=Placement(catalog),
            rng=rng,
            inbox=self.inbox,
            outbox=self.outbox,
            counters=self.counters,
            own_id=name_id("upstream", config.upstream),
            service=name_id("service", config.service),
            data_centre=name_id("data_centre", config.data_centre),
        )
        self._propagation = Propagation.from_config(
            PropagationConfig(
                config.address,
                config.data_centre,
                config.peers,
                service=config.service,
                upstream=config.upstream,
            ),
            self,
            catalog,
            membership,
            rng,
        )
        self._guard = WakeupGuard(
            self, self._propagation.query_peers, self._propagation.confirmed_since
        )
        self._handover = HandoverSystem(self.state)
        self._systems = [
            UpstreamLinkSystem(self.state),
            AdmissionSystem(self.state),
            ClaimsSystem(self.state),
            self._handover,
            PeersSystem(self.state),
            FlowIntakeSystem(self.state),
            RequestIntakeSystem(self.state),
            ClaimingSystem(self.state),
            FlowSystem(self.state),
            AnswerSystem(self.state),
            RequestSystem(self.state),
        ]

    @classmethod
    def from_config(cls, config: AgentConfig, rng: random.Random) -> "AgentCore":
        """Builds an agent that holds no configuration yet.

        Args:
            config: Settings of the process.
            rng: Source of random numbers; a seed makes the agent's choices repeatable.
        """
        return cls(config, rng, Catalog(MAX_SLICE_RECORDS), Membership(MAX_SLICE_RECORDS))

    @property
    def stopped(self) -> bool:
        """Whether a graceful stop is complete."""
        return self._stopped

    @property
    def is_busy(self) -> bool:
        """Whether an update is still being applied, so that the next tick should follow at once."""
        return self._propagation.is_busy

    def tick(self, now: int) -> None:
        """Runs every system in order at `now` (ms)."""
        state = self.state
        if state.phase.started == 0:
            state.phase.started = state.phase.grants_complete_since = now
        self._handle_pause(now)
        self._propagation.run(now)
        state.may_serve = self._guard.may_serve and self._propagation.is_validated
        if state.catalog.revision <= 0:
            self._drop_unconfigured_work()
        state.update_from_catalog(now)
        super().tick(now)
        self._compare_revisions(now)
        # Drops messages of types that no system handles, so that they do not accumulate.
        self.counters.add("messages_unexpected", self.inbox.clear())
        self._finish_stop(now)

    def _drop_unconfigured_work(self) -> None:
        """Drops callers' packets and attempts: without a configuration, every VIP looks unknown."""
        for message_type in (Forward, Attempt):
            self.counters.add("work_dropped_unconfigured", len(self.inbox.take(message_type)))

    def stop(self, now: int) -> None:
        """Starts a graceful stop: completes accepted requests, leaves new work to other agents."""
        if self.state.phase.stopping_since == 0:
            self.state.phase.stopping_since = max(1, now)

    def status(self, now: int) -> StatusReply:
        """Returns the status of the agent at `now` (ms), as JSON text."""
        state = self.state
        report = {
            "role": "agent",
            "upstream": state.config.upstream,
            "service": state.config.service,
            "data_centre": state.config.data_centre,
            **describe_position(state.catalog.revision),
            "membership": state.membership_revision,
            "health": state.health(now).name,
            "incarnation": state.upstream.incarnation,
            "load": state.load()._asdict(),
            "flows": len(state.flows),
            "requests": len(state.requests),
            "claims": len(state.claims),
            "peers": len(state.peers),
            "stored_bytes": state.stored_bytes,
            "may_serve": state.may_serve,
            "up_ms": now - state.phase.started,
            "stopping": state.phase.stopping_since > 0,
        }
        return StatusReply(msgspec.json.encode(report))

    def _handle_pause(self, now: int) -> None:
        """Drops the messages that arrived during a pause, except those of the local upstream.

        Messages of the upstream stay true however late they are read. The leases of claims that
        this agent keeps for peers are extended by the length of the pause, since the heartbeats
        that would have renewed these leases were not received.
        """
        upstream_messages = [
            entry for kind in _UPSTREAM_MESSAGE_TYPES for entry in self.inbox.take(kind)
        ]
        self._guard.run(now)
        for source, message in upstream_messages:
            self.inbox.put(source, message)
        if self._last_tick is not None and now - self._last_tick > PAUSE_THRESHOLD_MS:
            extend_peer_leases(self.state, now - self._last_tick)
        self._last_tick = now

    def _compare_revisions(self, now: int) -> None:
        """Requests revisions above this agent's, and notifies peers whose revision is lower."""
        state = self.state
        for address, revision in state.received_revisions.items():
            self._propagation.record_peer_revision(address, revision, now)
        state.received_revisions.clear()
        if state.is_membership_stale and now - state.asked_at >= PEER_QUERY_INTERVAL_MS:
            state.asked_at = now
            self._propagation.query_peers(now)
        state.is_membership_stale = False

    def _finish_stop(self, now: int) -> None:
        """Completes a stop: waits `STOP_QUIET_MS` without open requests, then hands over claims.

        During the wait, a balancer that misses an answer can ask for the answer again.
        """
        state = self.state
        since = state.phase.stopping_since
        if since == 0 or self._stopped:
            return
        quiet_from = max(since, state.last_finished_at)
        is_quiet = state.work.accepted == 0 and now - quiet_from >= STOP_QUIET_MS
        if is_quiet and not state.phase.is_handing_over:
            hand_over_flow_claims(state)
            self._handover.start(now)
        is_handed_over = state.phase.is_handing_over and self._handover.is_done(now)
        self._stopped = is_handed_over or now - since >= STOP_TIMEOUT_MS
