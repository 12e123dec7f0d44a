"""An agent's side of propagation: its slice from two parent balancers or the peers it is set to."""

__all__ = ["Following"]

from shallotshore.control_messages import DeltaRequest, RevisionOffer
from shallotshore.intake import Intake
from shallotshore.messages import Address, Source
from shallotshore.peering import Peering

OFFER_MS = 1000
FALLBACKS = 2
PARENT_SILENCE_MS = 2500  # then a peer from the settings or another balancer is asked as well


class Following:
    """System that offers the agent's revision and digest to its parents, which send the rest."""

    __slots__ = ("_intake", "_next_offer", "_peering")

    def __init__(self, peering: Peering, intake: Intake) -> None:
        self._peering = peering
        self._intake = intake
        self._next_offer = 0

    def run(self, now: int) -> None:
        """Takes offers and sends the own ones."""
        for address, offer in self._peering.inbox.take(RevisionOffer):
            self._peering.hear(address, now, offer.revision > 0)
            self._intake.want(offer.source, offer.revision, address)
            self._compare(address, offer, now)
        self._peering.inbox.take(DeltaRequest)  # an agent has no whole state to send
        if now >= self._next_offer:
            self._next_offer = now + OFFER_MS
            self.ask(now)

    def _compare(self, address: Address, offer: RevisionOffer, now: int) -> None:
        replica, scope = self._peering.replicas[offer.source], self._peering.scopes[offer.source]
        if offer.service != scope or offer.revision != replica.revision:
            return
        if offer.revision and offer.digest != replica.digest(scope):
            self._intake.repair(offer.source, address, now)

    def ask(self, now: int) -> None:
        """Offers the revisions held to the parents, and to a fallback while they are silent."""
        for address in self._targets(now):
            for source in Source:
                replica = self._peering.replicas[source]
                scope = self._peering.scopes[source]
                digest = replica.digest(scope)
                offer = RevisionOffer(source, replica.revision, digest, scope)
                self._peering.send(address, offer)

    def _targets(self, now: int) -> list[Address]:
        peering = self._peering
        parents = peering.membership.parents(peering.upstream, peering.data_centre)
        if any(now - peering.last_heard(parent) < PARENT_SILENCE_MS for parent in parents):
            return parents
        # The VM list lags, so that both parents may be gone; the settings may be older still.
        others = peering.other_balancers()
        chosen = peering.rng.sample(others, min(FALLBACKS, len(others)))
        return list(dict.fromkeys([*parents, *chosen]))
