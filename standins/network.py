"""Simulated network: delay, jitter, loss, duplication, reordering and partitions."""

__all__ = ["Link", "Network"]

import random
from collections.abc import Iterable
from dataclasses import dataclass

MAX_REORDER_DELAY_MS = 40


@dataclass(slots=True)
class Link:
    """Properties of the link between two places; shares are 0 to 1, times in ms.

    Attributes:
        delay: Minimum delay.
        jitter: Maximum additional delay, drawn from a uniform distribution.
        loss: Share of packets that are lost.
        duplication: Share of packets that arrive twice.
        reordering: Share of packets that are delayed further by up to `MAX_REORDER_DELAY_MS`.
    """

    delay: int = 1
    jitter: int = 0
    loss: float = 0.0
    duplication: float = 0.0
    reordering: float = 0.0


class Network:
    """Links between places, and partitions between places or processes.

    A place is a data centre, "callers" or "platform"; a process is identified by its name.
    """

    __slots__ = ("_groups", "_links", "_rng", "default")

    def __init__(self, rng: random.Random) -> None:
        self.default = Link()
        self._links: dict[tuple[str, str], Link] = {}
        self._groups: dict[str, int] = {}
        self._rng = rng

    def set_link(self, one: str, other: str, link: Link) -> None:
        """Sets the link between two places in both directions."""
        self._links[(one, other)] = self._links[(other, one)] = link

    def link(self, one: str, other: str) -> Link:
        """Returns the link between two places."""
        return self._links.get((one, other), self.default)

    def links(self) -> Iterable[Link]:
        """Returns every link once."""
        unique = {id(link): link for link in self._links.values()}
        return [self.default, *unique.values()]

    def partition(self, names: Iterable[str]) -> None:
        """Cuts the named places or processes off from all others, but not from each other."""
        group = max(self._groups.values(), default=0) + 1
        self._groups.update(dict.fromkeys(names, group))

    def heal(self) -> None:
        """Ends all partitions."""
        self._groups.clear()

    def draw_arrival_delays(self, sender: tuple[str, str], receiver: tuple[str, str]) -> list[int]:
        """Draws the delays in ms after which copies of a packet arrive; none when it is lost.

        Args:
            sender: Name and place of the sender.
            receiver: Name and place of the receiver.
        """
        if self._groups and self._group_of(sender) != self._group_of(receiver):
            return []
        link = self.link(sender[1], receiver[1])
        rng = self._rng
        if link.loss and rng.random() < link.loss:
            return []
        delays = [self._draw_delay(link)]
        if link.duplication and rng.random() < link.duplication:
            delays.append(self._draw_delay(link))
        return delays

    def _group_of(self, endpoint: tuple[str, str]) -> int:
        return self._groups.get(endpoint[0], self._groups.get(endpoint[1], 0))

    def _draw_delay(self, link: Link) -> int:
        delay = link.delay
        if link.jitter:
            delay += int(self._rng.random() * (link.jitter + 1))
        if link.reordering and self._rng.random() < link.reordering:
            delay += self._rng.randint(1, MAX_REORDER_DELAY_MS)
        return max(1, delay)
