"""Packets of searched flows that wait to be sent to agents, in batches and within a budget."""

from __future__ import annotations

__all__ = ["SearchQueue", "SearchTarget"]

from collections.abc import Iterator

from shallotshore.token_bucket import TokenBucket

MAX_BATCH_BYTES = 1_300  # of packets in one datagram
NEAR_FLUSH_INTERVAL_MS = 20
FAR_FLUSH_INTERVAL_MS = 60
# A message and its answer cost 0.07 ms of a core, and a balancer has a sixth of a core: after a
# power loss it must open new flows while it searches for the owners of hundreds of flows.
FAR_MESSAGES_PER_S = 300
FAR_MESSAGES_BURST = 200
# The smallest balancers have links of 5 Mbit/s, which also carry all packets of clients.
MAX_LINK_SHARE = 0.1
BURST_MS = 500
MIN_BURST_BYTES = 2 * MAX_BATCH_BYTES
BYTES_PER_MS_AND_MBPS = 125


class SearchTarget:
    """Whom a packet is sent to.

    Attributes:
        service: Id of the service that the upstreams must serve.
        data_centre: Id of the data centre of the upstreams.
        host: The only agent, or 0 for all agents of the service in the data centre.
    """

    __slots__ = ("data_centre", "host", "service")

    def __init__(self, service: int, data_centre: int, host: int = 0) -> None:
        self.service = service
        self.data_centre = data_centre
        self.host = host

    def __eq__(self, other: object) -> bool:
        return isinstance(other, SearchTarget) and self._identity() == other._identity()

    def __hash__(self) -> int:
        return hash(self._identity())

    def _identity(self) -> tuple[int, int, int]:
        return (self.service, self.data_centre, self.host)


class SearchQueue:
    """Packets by target and flow; a later packet of a flow replaces the earlier one.

    It answers the load after a power loss, when a balancer searches for the owners of hundreds of
    flows at once, whose clients repeat their packets all the while.
    """

    __slots__ = (
        "_byte_budget",
        "_data_centre",
        "_far_sent_at",
        "_message_budget",
        "_near_sent_at",
        "_packets",
    )

    def __init__(self, data_centre: int, link_mbps: float) -> None:
        """Creates an empty queue.

        Args:
            data_centre: Id of the balancer's data centre. Messages to other data centres are
                limited in number too, and wait longer for a batch.
            link_mbps: Bandwidth of the balancer's link in Mbit/s.
        """
        self._data_centre = data_centre
        self._packets: dict[SearchTarget, dict[int, bytes]] = {}
        self._near_sent_at = 0
        self._far_sent_at = 0
        self._message_budget = TokenBucket(FAR_MESSAGES_PER_S / 1000, FAR_MESSAGES_BURST)
        bytes_per_ms = link_mbps * BYTES_PER_MS_AND_MBPS * MAX_LINK_SHARE
        burst_bytes = max(bytes_per_ms * BURST_MS, MIN_BURST_BYTES)
        self._byte_budget = TokenBucket(bytes_per_ms, burst_bytes)

    def __len__(self) -> int:
        return len(self._packets)

    def add(self, target: SearchTarget, key: int, frame: bytes) -> None:
        """Adds a packet of a flow."""
        self._packets.setdefault(target, {})[key] = frame

    def try_spend(self, size: int, now: int) -> bool:
        """Takes a message that is sent apart from the queue from the budget.

        Args:
            size: Size of the message in bytes.
            now: Time in ms.

        Returns:
            Whether the message may be sent.
        """
        return self._message_budget.take(now) and self._byte_budget.take(now, size)

    def take_due(self, now: int) -> Iterator[tuple[SearchTarget, tuple[bytes, ...]]]:
        """Removes and yields the batches that are due at `now` (ms), until the budget is spent."""
        is_near_due = now - self._near_sent_at >= NEAR_FLUSH_INTERVAL_MS
        is_far_due = now - self._far_sent_at >= FAR_FLUSH_INTERVAL_MS
        if is_near_due:
            self._near_sent_at = now
        if is_far_due:
            self._far_sent_at = now
        due = [
            target
            for target in self._packets
            if (is_near_due if target.data_centre == self._data_centre else is_far_due)
        ]
        while due:
            for target in due:
                frames = self._packets[target]
                batch = _first_batch(frames)
                is_near = target.data_centre == self._data_centre
                if not is_near and not self._message_budget.take(now):
                    due = [other for other in due if other.data_centre == self._data_centre]
                    break
                if not self._byte_budget.take(now, sum(len(frames[key]) for key in batch)):
                    return
                del self._packets[target]
                if len(batch) < len(frames):
                    # The target's other packets go last, so that every target has its turn.
                    self._packets[target] = frames
                yield target, tuple(frames.pop(key) for key in batch)
            due = [target for target in due if target in self._packets]


def _first_batch(frames: dict[int, bytes]) -> list[int]:
    """Returns the keys of the first packets that fit into one datagram; at least one."""
    batch: list[int] = []
    size = 0
    for key, frame in frames.items():
        size += len(frame)
        if batch and size > MAX_BATCH_BYTES:
            break
        batch.append(key)
    return batch
