"""Core of the agent, which runs beside one upstream."""

__all__ = ["AgentConfig", "AgentCore"]

import random

import msgspec

from shallotshore.admission import AdmissionSystem
from shallotshore.agent_state import AgentConfig, AgentState
from shallotshore.catalog import Catalog
from shallotshore.claiming import ClaimingSystem
from shallotshore.claims import ClaimsSystem
from shallotshore.flows import FlowIntakeSystem, FlowSystem
from shallotshore.hashing import name_id
from shallotshore.messages import (
    Message,
    StatusReply,
    UpstreamAnswer,
    UpstreamClose,
    UpstreamData,
    UpstreamHealth,
)
from shallotshore.outcomes import AnswerSystem
from shallotshore.peers import PeersSystem, extend_leases, hand_over
from shallotshore.placement import Placement
from shallotshore.requests import RequestIntakeSystem, RequestSystem
from shallotshore.systems import Core
from shallotshore.tick_gap import TickGapGuard
from shallotshore.upstream_link import UpstreamLinkSystem

SETTLE_TIME = 1_000  # ms after a pause without new work, unless a peer is heard before
STOP_QUIET = 1_000  # ms; a balancer asks again for a lost answer well within it
STOP_LIMIT = 30_000  # ms
_LOCAL_TYPES: tuple[type[Message], ...] = (
    UpstreamHealth,
    UpstreamAnswer,
    UpstreamData,
    UpstreamClose,
)


class AgentCore(Core):
    """Tables and systems of one agent.

    The order of the systems matters: the state of the upstream and the verdicts of witnesses are
    current before packets and attempts are taken in, and claims are decided after intake, so that
    a claim that needs no other agent starts its work within the tick.
    """

    __slots__ = ("_guard", "_stopped", "state")

    def __init__(self, config: AgentConfig, rng: random.Random, catalog: Catalog) -> None:
        super().__init__()
        self._guard = TickGapGuard()
        self._stopped = False
        service = name_id("service", config.service)
        self.state = AgentState(
            config=config,
            catalog=catalog,
            placement=Placement(catalog),
            rng=rng,
            inbox=self.inbox,
            outbox=self.outbox,
            counters=self.counters,
            own=name_id("upstream", config.upstream),
            service=service,
            parents=config.peers[:2],
        )
        self._systems = [
            UpstreamLinkSystem(self.state),
            AdmissionSystem(self.state),
            ClaimsSystem(self.state),
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
        return cls(config, rng, Catalog())

    @property
    def stopped(self) -> bool:
        """Whether a graceful stop is complete."""
        return self._stopped

    def tick(self, now: int) -> None:
        """Runs every system in order at `now` (ms)."""
        state = self.state
        if state.phase.started == 0:
            state.phase.started = now
        gap = self._guard.gap(now)
        if gap:
            self._wake(gap, now)
        state.follow_table(now)
        super().tick(now)
        # Types that no system takes must not pile up.
        self.counters.add("messages_unexpected", self.inbox.clear())
        self._finish_stop(now)

    def stop(self, now: int) -> None:
        """Starts a graceful stop: accepted requests end, new work goes to other agents."""
        if self.state.phase.stopping_since == 0:
            self.state.phase.stopping_since = max(1, now)

    def status(self, now: int) -> StatusReply:
        """Returns what the agent knows at `now` (ms), as JSON text."""
        state = self.state
        report = {
            "role": "agent",
            "upstream": state.config.upstream,
            "service": state.config.service,
            "data_centre": state.config.data_centre,
            "revision": state.catalog.revision,
            "membership": state.membership,
            "health": state.health(now).name,
            "incarnation": state.upstream.incarnation,
            "load": state.load()._asdict(),
            "flows": len(state.flows),
            "requests": len(state.requests),
            "claims": len(state.claims),
            "peers": len(state.peers),
            "stored_bytes": state.stored_bytes,
            "up_ms": now - state.phase.started,
            "stopping": state.phase.stopping_since > 0,
        }
        return StatusReply(msgspec.json.encode(report))

    def _wake(self, gap: int, now: int) -> None:
        """Drops what arrived during a pause, and takes no new work until a peer is heard.

        What the local upstream sent stays true, however late it is read.
        """
        state = self.state
        kept = [(kind, self.inbox.take(kind)) for kind in _LOCAL_TYPES]
        self.counters.add("messages_dropped_after_pause", self.inbox.clear())
        for _, messages in kept:
            for source, message in messages:
                self.inbox.put(source, message)
        self.counters.add("pauses")
        state.phase.settling_until = now + SETTLE_TIME
        extend_leases(state, gap)

    def _finish_stop(self, now: int) -> None:
        """Ends a stop once no request is open and answers had time to be asked for again."""
        state = self.state
        since = state.phase.stopping_since
        if since == 0 or self._stopped:
            return
        quiet_from = max(since, state.last_finished)
        is_quiet = state.work.accepted == 0 and now - quiet_from >= STOP_QUIET
        if is_quiet or now - since >= STOP_LIMIT:
            hand_over(state)
            self._stopped = True
