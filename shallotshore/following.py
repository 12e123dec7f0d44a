"""An agent's side of propagation: it gets records from parent balancers or configured peers.

An agent holds only a slice of the configuration: the records that concern its service.
"""

__all__ = ["Following"]

from shallotshore.control_messages import DeltaRequest, RevisionOffer
from shallotshore.delta_receiver import DeltaReceiver
from shallotshore.messages import Address, Source
from shallotshore.peering import Peering

OFFER_INTERVAL_MS = 1000
FALLBACK_BALANCERS = 2
PARENT_SILENCE_MS = 2500  # if no parent is heard for this long, other balancers get offers too


class Following:
    """System that offers the agent's revisions to its parents, which answer with newer records."""

    __slots__ = ("_next_offer_at", "_peering", "_receiver")

    def __init__(self, peering: Peering, receiver: DeltaReceiver) -> None:
        self._peering = peering
        self._receiver = receiver
        self._next_offer_at = 0

    @property
    def is_busy(self) -> bool:
        """Whether work is left for the next tick; an agent reads no platform service."""
        return False

    def run(self, now: int) -> None:
        """Handles received offers and sends this agent's offers when they are due."""
        for address, offer in self._peering.inbox.take(RevisionOffer):
            self._peering.record_balancer_message(address, now, offer.revision > 0)
            self._receiver.record_newer_revision(offer.source, offer.revision, address)
            self._compare_digest(address, offer, now)
        self._peering.inbox.take(DeltaRequest)  # requests are ignored, as an agent has only a slice
        if now >= self._next_offer_at:
            self._next_offer_at = now + OFFER_INTERVAL_MS
            self.send_offers(now)

    def _compare_digest(self, address: Address, offer: RevisionOffer, now: int) -> None:
        replica, scope = self._peering.replicas[offer.source], self._peering.scopes[offer.source]
        if offer.service != scope or offer.revision != replica.revision:
            return
        if offer.revision and offer.digest != replica.digest(scope):
            self._receiver.request_repair(offer.source, address, now)

    def send_offers(self, now: int) -> None:
        """Offers this agent's revisions to its parents, and to others if all parents are silent."""
        for address in self._find_targets(now):
            for source in Source:
                replica = self._peering.replicas[source]
                scope = self._peering.scopes[source]
                digest = replica.digest(scope)
                offer = RevisionOffer(source, replica.revision, digest, scope)
                self._peering.send(address, offer)

    def _find_targets(self, now: int) -> list[Address]:
        peering = self._peering
        parents = peering.membership.parents(peering.upstream, peering.data_centre)
        if any(now - peering.last_heard_at(parent) < PARENT_SILENCE_MS for parent in parents):
            return parents
        # This agent's VM list may be out of date, so that both parents in it are gone. The peers in
        # the settings may be even more out of date, so balancers from both lists are asked.
        others = peering.other_balancers()
        chosen = peering.rng.sample(others, min(FALLBACK_BALANCERS, len(others)))
        return list(dict.fromkeys([*parents, *chosen]))
