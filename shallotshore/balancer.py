"""The balancer's core: tables and the ordered systems that run over them each tick."""

__all__ = ["BalancerConfig", "BalancerCore"]

import random
from dataclasses import dataclass

from shallotshore.balancer_state import BalancerState, CatalogView, Peers
from shallotshore.candidates import Candidates
from shallotshore.dispatch import Dispatch
from shallotshore.forwarding import Forwarding
from shallotshore.ingress import Ingress
from shallotshore.messages import Address
from shallotshore.systems import Core
from shallotshore.tables import MISSING
from shallotshore.verdicts import Verdicts
from shallotshore.watching import Watching

_TICK_GAP_MS = 1_000  # a timer tick comes every 20 ms: a longer gap was a pause of the process
_GUARD_MS = 1_000
_QUIET_MS = 1_000
_STOP_LIMIT_MS = 30_000


@dataclass(slots=True)
class BalancerConfig:
    """Settings of one balancer.

    Attributes:
        address: Own address.
        data_centre: Name of its data centre.
        peers: Addresses of other balancers known at the start.
        configuration: Addresses of the configuration service.
        vm_list: Addresses of the VM list.
    """

    address: Address
    data_centre: str
    peers: tuple[Address, ...] = ()
    configuration: tuple[Address, ...] = ()
    vm_list: tuple[Address, ...] = ()


class _Tables:
    """System that brings what is derived from the catalog up to its revision."""

    __slots__ = ("_state",)

    def __init__(self, state: BalancerState) -> None:
        self._state = state

    def run(self, now: int) -> None:
        """Follows the catalog."""
        self._state.placement.refresh(now)


class BalancerCore(Core):
    """A balancer without sockets, wall time or encodings."""

    __slots__ = (
        "_dispatch",
        "_guarded_until",
        "_stopped",
        "_stopping_since",
        "_ticked_at",
        "_watching",
        "state",
    )

    def __init__(
        self, config: BalancerConfig, rng: random.Random, catalog: CatalogView, peers: Peers
    ) -> None:
        super().__init__()
        state = BalancerState(
            config.address, catalog, peers, rng, self.inbox, self.outbox, self.counters
        )
        ingress = Ingress(state)
        candidates = Candidates(state)
        verdicts = Verdicts(state)
        self.state = state
        self._watching = Watching(state)
        self._dispatch = Dispatch(state, ingress, candidates, verdicts)
        self._guarded_until = 0
        self._stopped = False
        self._stopping_since = MISSING
        self._ticked_at = MISSING
        self._systems = [
            _Tables(state),
            self._watching,
            ingress,
            Forwarding(state, ingress, candidates),
            verdicts,
            self._dispatch,
        ]

    @property
    def stopped(self) -> bool:
        """Whether a graceful stop is complete."""
        return self._stopped

    def tick(self, now: int) -> None:
        """Runs every system in order, guarded after a pause of the process.

        Args:
            now: Monotonic time in milliseconds.
        """
        self._guard(now)
        self.state.is_held = now < self._guarded_until or self.state.catalog.revision <= 0
        super().tick(now)
        self._ticked_at = now
        # Types that no system takes must not pile up.
        self.counters.add("messages.unexpected", self.inbox.clear())
        if self._stopping_since != MISSING:
            self._stopped = self._stopped or self._may_stop(now)

    def stop(self, now: int) -> None:
        """Starts a graceful stop: pending requests are answered, packets still forwarded."""
        if self._stopping_since == MISSING:
            self._stopping_since = now
            self.state.last_packet_at = max(self.state.last_packet_at, now)

    def _guard(self, now: int) -> None:
        """Drops what arrived during a pause: the beliefs to act on it by are old."""
        if self._ticked_at == MISSING or now - self._ticked_at <= _TICK_GAP_MS:
            return
        self.counters.add("guard.pauses")
        self.counters.add("guard.dropped", self.inbox.clear())
        self._guarded_until = now + _GUARD_MS
        self._watching.forgive(now)

    def _may_stop(self, now: int) -> bool:
        if now - self._stopping_since >= _STOP_LIMIT_MS:
            return True
        is_quiet = now - self.state.last_packet_at >= _QUIET_MS
        return is_quiet and not self._dispatch.open_requests
