"""Queue of requests that wait at a balancer until an upstream has room."""

__all__ = ["RequestQueue"]

from bisect import bisect_left, insort


class RequestQueue:
    """Requests of each service in the order of their arrival.

    Without this order, a busy service would serve requests that have just arrived while others wait
    until their deadline.
    """

    __slots__ = ("_queues",)

    def __init__(self) -> None:
        self._queues: dict[int, list[tuple[int, int]]] = {}

    def has_requests(self, service: int) -> bool:
        """Returns whether a request of the service is queued."""
        return service in self._queues

    def services(self) -> tuple[int, ...]:
        """Returns the services that have queued requests."""
        return tuple(self._queues)

    def oldest(self, service: int, limit: int) -> list[tuple[int, int]]:
        """Returns (time of arrival in ms, key) of at most `limit` oldest requests of a service."""
        return self._queues.get(service, [])[:limit]

    def insert(self, service: int, arrived_at: int, key: int) -> None:
        """Adds a request; does nothing when it is queued already.

        Args:
            service: Id of the service.
            arrived_at: Time (ms) at which the request arrived.
            key: Request key.
        """
        queue = self._queues.setdefault(service, [])
        position = bisect_left(queue, (arrived_at, key))
        if position == len(queue) or queue[position] != (arrived_at, key):
            insort(queue, (arrived_at, key))

    def remove(self, service: int, arrived_at: int, key: int) -> None:
        """Removes a request; does nothing when it is not queued."""
        queue = self._queues.get(service, [])
        position = bisect_left(queue, (arrived_at, key))
        if position < len(queue) and queue[position] == (arrived_at, key):
            del queue[position]
            if not queue:
                del self._queues[service]
