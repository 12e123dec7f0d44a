"""The balancer's core: tables, and the systems that run over them in order at each tick."""

__all__ = ["BalancerConfig", "BalancerCore"]

import random
from dataclasses import dataclass

import msgspec

from shallotshore.balancer_state import BalancerState, CatalogView, Peers
from shallotshore.candidates import Candidates
from shallotshore.catalog import Catalog
from shallotshore.control_messages import StatusReply
from shallotshore.dispatch import Dispatch
from shallotshore.forwarding import Forwarding
from shallotshore.ingress import Ingress
from shallotshore.listed_peers import ListedPeers
from shallotshore.membership import Membership
from shallotshore.messages import Address, Source
from shallotshore.positions import describe_position
from shallotshore.propagation import Propagation, PropagationConfig
from shallotshore.systems import Core, System
from shallotshore.tables import MISSING
from shallotshore.voids import VoidSystem
from shallotshore.wakeup import WakeupGuard
from shallotshore.watching import Watching

_STOP_QUIET_MS = 1_000
_STOP_TIMEOUT_MS = 30_000


@dataclass(slots=True)
class BalancerConfig:
    """Settings of one balancer.

    Attributes:
        address: Address of this balancer.
        data_centre: Name of the balancer's data centre.
        peers: Addresses of other balancers known at the start.
        configuration: Addresses at which to read the configuration service.
        vm_list: Addresses at which to read the VM list.
    """

    address: Address
    data_centre: str
    peers: tuple[Address, ...] = ()
    configuration: tuple[Address, ...] = ()
    vm_list: tuple[Address, ...] = ()


class _ServingGate:
    """System that suspends the data path while the catalog may be out of date."""

    __slots__ = ("_guard", "_propagation", "_state", "_watching")

    def __init__(
        self,
        state: BalancerState,
        guard: WakeupGuard,
        watching: Watching,
        propagation: Propagation | None,
    ) -> None:
        self._state = state
        self._guard = guard
        self._watching = watching
        self._propagation = propagation

    def run(self, now: int) -> None:
        """Decides whether callers are served in this tick."""
        state = self._state
        state.placement.refresh(now)
        is_validated = self._propagation is None or self._propagation.is_validated
        may_serve = self._guard.may_serve
        if not may_serve:
            self._watching.restart_silence_timers(now)
        state.is_suspended = not (may_serve and is_validated and state.catalog.revision > 0)


class BalancerCore(Core):
    """A balancer without sockets, wall time or encodings.

    The order of the systems matters. After a pause of the process, `WakeupGuard` drops old
    messages before another system handles them. New configuration is in force before packets are
    routed, and health is up to date before candidates are selected. A void asks witnesses to refuse
    every later claim of a request; their replies to voids are counted before requests are ended as
    not run.
    """

    __slots__ = (
        "_config",
        "_dispatch",
        "_propagation",
        "_stopped",
        "_stopping_since",
        "_watching",
        "state",
    )

    def __init__(
        self,
        config: BalancerConfig,
        rng: random.Random,
        catalog: CatalogView,
        peers: Peers,
        membership: Membership | None = None,
    ) -> None:
        """Creates a balancer.

        Args:
            config: Settings.
            rng: Source of random numbers; a seed makes the balancer's choices repeatable.
            catalog: Records in force.
            peers: Roles of other balancers and state of VMs.
            membership: VM list for propagation to fill; without one there is no propagation.
        """
        super().__init__()
        state = BalancerState(
            config.address, catalog, peers, rng, self.inbox, self.outbox, self.counters
        )
        self.state = state
        self._config = config
        self._stopped = False
        self._stopping_since = MISSING
        ingress = Ingress(state)
        candidates = Candidates(state)
        void_system = VoidSystem(state)
        self._watching = Watching(state)
        self._dispatch = Dispatch(state, ingress, candidates, void_system)
        propagation = self._create_propagation(config, rng, membership)
        self._propagation = propagation
        guard = WakeupGuard(self, _ask_nobody, _is_never_confirmed)
        if propagation is not None:
            guard = WakeupGuard(self, propagation.query_peers, propagation.confirmed_since)
            state.record_peer_revision = propagation.record_peer_revision
            state.knowledge = propagation.knowledge
            state.query_peers = propagation.query_peers
        systems: list[System] = [guard]
        systems += [] if propagation is None else [propagation]
        self._systems = [
            *systems,
            _ServingGate(state, guard, self._watching, propagation),
            self._watching,
            ingress,
            Forwarding(state, ingress, candidates),
            void_system,
            self._dispatch,
        ]

    @classmethod
    def from_config(cls, config: BalancerConfig, rng: random.Random) -> "BalancerCore":
        """Builds a balancer that holds no configuration yet.

        Args:
            config: Settings of the process.
            rng: Source of random numbers; a seed makes the balancer's choices repeatable.
        """
        membership = Membership()
        peers = ListedPeers(config.address, config.data_centre, membership)
        return cls(config, rng, Catalog(), peers, membership)

    @property
    def is_busy(self) -> bool:
        """Whether an update is still being applied, so that the next tick should follow at once."""
        return self._propagation is not None and self._propagation.is_busy

    @property
    def stopped(self) -> bool:
        """Whether a graceful stop is complete."""
        return self._stopped

    def tick(self, now: int) -> None:
        """Runs every system in order.

        Args:
            now: Monotonic time in milliseconds.
        """
        super().tick(now)
        # Drops messages that no system handles, so that they do not accumulate.
        self.counters.add("messages.unexpected", self.inbox.clear())
        if self._stopping_since != MISSING:
            self._stopped = self._stopped or self._is_stop_complete(now)

    def stop(self, now: int) -> None:
        """Starts a graceful stop; pending requests are answered and packets are still forwarded."""
        if self._stopping_since == MISSING:
            self._stopping_since = now
            self.state.last_packet_at = max(self.state.last_packet_at, now)

    def status(self, now: int) -> StatusReply:
        """Returns a status report at `now` (ms), as JSON text."""
        state = self.state
        report = {
            "role": "balancer",
            "data_centre": self._config.data_centre,
            **describe_position(state.catalog.revision),
            "serving": not state.is_suspended,
            "stopping": self._stopping_since != MISSING,
            "doubts_itself": self._watching.doubts_itself,
            "watched": self._watching.watched,
            "requests_open": self._dispatch.open_requests,
            "requests_kept": len(self._dispatch.pending),
            "upstreams_with_load": len(state.loads),
            "upstreams_tracked": len(state.health),
            "upstreams_bad": state.health.bad_count,
            "packet_age_ms": now - state.last_packet_at,
        }
        return StatusReply(msgspec.json.encode(report))

    def _create_propagation(
        self, config: BalancerConfig, rng: random.Random, membership: Membership | None
    ) -> Propagation | None:
        catalog = self.state.catalog
        if membership is None or not isinstance(catalog, Catalog):
            return None
        platform = {
            source: addresses[0]
            for source, addresses in (
                (Source.CONFIGURATION, config.configuration),
                (Source.VM_LIST, config.vm_list),
            )
            if addresses
        }
        settings = PropagationConfig(config.address, config.data_centre, config.peers, platform)
        return Propagation.from_config(settings, self, catalog, membership, rng)

    def _is_stop_complete(self, now: int) -> bool:
        if now - self._stopping_since >= _STOP_TIMEOUT_MS:
            return True
        is_quiet = now - self.state.last_packet_at >= _STOP_QUIET_MS
        return is_quiet and not self._dispatch.open_requests


def _ask_nobody(now: int) -> None:
    """Does nothing: without propagation there are no peers to ask."""


def _is_never_confirmed(time: int) -> bool:
    """Returns False: without propagation no peer ever confirms that the catalog is current."""
    return False
