"""Core of the agent, which runs beside one upstream."""

__all__ = ["AgentConfig", "AgentCore"]

import random

from shallotshore.admission import AdmissionSystem
from shallotshore.agent_state import AgentConfig, AgentState
from shallotshore.answers import AnswerSystem
from shallotshore.catalog import Catalog
from shallotshore.claiming import ClaimingSystem
from shallotshore.claims import ClaimsSystem
from shallotshore.flows import FlowIntakeSystem, FlowSystem
from shallotshore.former_tables import FormerTables
from shallotshore.hashing import name_id
from shallotshore.peers import PeersSystem
from shallotshore.placement import Placement
from shallotshore.requests import RequestIntakeSystem, RequestSystem
from shallotshore.systems import Core
from shallotshore.upstream_link import UpstreamLinkSystem


class AgentCore(Core):
    """Tables and systems of one agent.

    The order of the systems matters: the state of the upstream and the verdicts of witnesses are
    current before packets and attempts are taken in, and claims are decided after intake, so that
    a claim that needs no other agent starts its work within the tick.
    """

    __slots__ = ("state",)

    def __init__(self, config: AgentConfig, rng: random.Random, catalog: Catalog) -> None:
        super().__init__()
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
            former=FormerTables(service),
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

    def tick(self, now: int) -> None:
        """Runs every system in order at `now` (ms)."""
        state = self.state
        if state.phase.started == 0:
            state.phase.started = now
        members = state.catalog.upstreams_of(state.service)
        records = ((member, state.catalog.upstream(member)) for member in members)
        addresses = {member: record.address for member, record in records if record is not None}
        state.table_changed = state.former.adopt(state.membership, addresses, now)
        super().tick(now)
