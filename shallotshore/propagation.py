"""Propagation of revisions: the system that balancers and agents run, each in its own role."""

__all__ = ["Propagation", "PropagationConfig"]

from random import Random
from typing import Protocol

from shallotshore.catalog import Catalog
from shallotshore.control_messages import RevisionNotice
from shallotshore.delta_receiver import DeltaReceiver
from shallotshore.following import Following
from shallotshore.membership import Membership
from shallotshore.messages import Address, Source
from shallotshore.peering import NEVER, Peering, PropagationConfig
from shallotshore.platform_reader import PlatformReader
from shallotshore.relay import Relay
from shallotshore.replica import UpdateResult
from shallotshore.systems import Core
from shallotshore.unknown_flows import NEVER as FLOWS_NEVER
from shallotshore.unknown_flows import Knowledge

START_ALONE_AFTER_MS = 2000  # a new process serves alone if no peer shows a revision for this time
STARTUP_QUERY_INTERVAL_MS = 250  # between requests of a process that has just started
PEERS_PER_QUERY = 2
NOTICE_INTERVAL_MS = 200  # between notices to the same process
MAX_NOTICE_ADDRESSES = 1024


class Role(Protocol):
    """The part of propagation that differs between balancers and agents."""

    @property
    def is_busy(self) -> bool:
        """Whether work is left for the next tick, which should follow at once."""

    def run(self, now: int) -> None:
        """Answers messages and sends what is due."""

    def send_offers(self, now: int) -> None:
        """Offers the present revisions to some peers immediately; they answer an offer."""


class Propagation:
    """System that keeps the catalog and the VM list at the highest revision known.

    It runs right after the wake-up guard. A balancer holds all entries, reads the platform's
    services if it is one of the readers, and sends agents their slices. An agent holds a slice.
    """

    __slots__ = (
        "_next_query_at",
        "_notice_sent_at",
        "_peering",
        "_receiver",
        "_role",
        "_started_at",
    )

    def __init__(self, peering: Peering, receiver: DeltaReceiver, role: Role) -> None:
        self._peering = peering
        self._receiver = receiver
        self._role = role
        self._notice_sent_at: dict[Address, int] = {}
        self._next_query_at = 0
        self._started_at = NEVER

    @classmethod
    def from_config(
        cls,
        config: PropagationConfig,
        core: Core,
        catalog: Catalog,
        membership: Membership,
        rng: Random,
    ) -> "Propagation":
        """Builds the system for a balancer, or for an agent when the settings name a service.

        Args:
            config: Settings.
            core: The core whose inbox, outbox and counters the system uses.
            catalog: Replica of the records, filled by this system.
            membership: Replica of the VM list, filled by this system.
            rng: Seeded random number generator.
        """
        peering = Peering(config, core, catalog, membership, rng)
        receiver = DeltaReceiver(peering)
        if peering.is_agent:
            return cls(peering, receiver, Following(peering, receiver))
        reader = PlatformReader(peering, receiver)
        return cls(peering, receiver, Relay(peering, receiver, reader))

    @property
    def is_validated(self) -> bool:
        """Whether the process may serve: a peer has sent its state, or no peer has for 2 s."""
        return self._peering.is_validated

    @property
    def is_busy(self) -> bool:
        """Whether an update or comparison is under way, so that the next tick should be soon."""
        return self._receiver.is_busy or self._role.is_busy

    @property
    def update_results(self) -> list[tuple[Source, UpdateResult]]:
        """Results of the updates that were completed in this tick."""
        return self._receiver.update_results

    def confirmed_since(self, time: int) -> bool:
        """Whether a balancer has answered after `time` (ms) and this process is not behind."""
        return self._peering.last_answer_at > time and not self._receiver.is_behind

    def knowledge(self) -> Knowledge:
        """Returns what the records say of a flow that they do not lead to an upstream."""
        is_behind = self._receiver.is_behind
        as_of = FLOWS_NEVER if is_behind else self._peering.last_answer_at
        return Knowledge(not is_behind, as_of)

    def run(self, now: int) -> None:
        """Handles messages, applies a step of the updates and sends what is due.

        Args:
            now: Monotonic time in milliseconds.
        """
        if self._started_at == NEVER:
            self._started_at = now
        for address, notice in self._peering.inbox.take(RevisionNotice):
            self._peering.record_balancer_message(address, now)
            self.record_peer_revision(address, notice.revision, now)
        self._receiver.run(now)
        self._role.run(now)
        if not self._peering.is_validated:
            self._run_startup(now)

    def record_peer_revision(self, address: Address, revision: int, now: int) -> None:
        """Compares the revision in a received message with the one held.

        A sender that is behind gets a notice; when this process is behind, it requests the delta.

        Args:
            address: Sender of the message.
            revision: Revision of the records that the sender holds.
            now: Monotonic time in milliseconds.
        """
        current_revision = self._peering.catalog.revision
        if revision > current_revision:
            self._receiver.record_newer_revision(
                Source.CONFIGURATION, revision, self._peering.find_heard_balancer(address)
            )
        elif (
            revision < current_revision
            and now - self._notice_sent_at.get(address, NEVER) >= NOTICE_INTERVAL_MS
        ):
            if len(self._notice_sent_at) >= MAX_NOTICE_ADDRESSES:
                self._notice_sent_at.clear()
            self._notice_sent_at[address] = now
            self._peering.send(address, RevisionNotice(current_revision))

    def query_peers(self, now: int) -> None:
        """Offers the present revisions to some peers immediately; they answer an offer."""
        self._role.send_offers(now)

    def _run_startup(self, now: int) -> None:
        peering = self._peering
        holds_state = peering.catalog.revision > 0 and peering.last_state_at != NEVER
        is_alone = now - max(self._started_at, peering.last_state_at) >= START_ALONE_AFTER_MS
        if holds_state or is_alone:
            peering.is_validated = True
            peering.counters.add(
                "propagation.validated_alone" if is_alone else "propagation.validated"
            )
        elif now >= self._next_query_at:
            self._next_query_at = now + STARTUP_QUERY_INTERVAL_MS
            for source in Source:
                self._receiver.request_snapshot(source, PEERS_PER_QUERY)
