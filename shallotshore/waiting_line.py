"""Requests that wait in a balancer until an upstream has room, oldest first."""

__all__ = ["RequestQueue"]

from bisect import bisect_left, insort


class RequestQueue:
    """One line of requests per service, ordered by the time of their arrival.

    Without an order, a busy service would serve requests that have just come while others wait
    until their deadline.
    """

    __slots__ = ("_queues",)

    def __init__(self) -> None:
        self._queues: dict[int, list[tuple[int, int]]] = {}

    def has_requests(self, service: int) -> bool:
        """Whether a request of the service waits."""
        return service in self._queues

    def services(self) -> tuple[int, ...]:
        """Returns the services with requests that wait."""
        return tuple(self._queues)

    def first(self, service: int, limit: int) -> list[tuple[int, int]]:
        """Returns times of arrival and keys of the oldest requests of a service."""
        return self._queues.get(service, [])[:limit]

    def insert(self, service: int, arrived: int, key: int) -> None:
        """Adds a request, once.

        Args:
            service: Id of the service.
            arrived: When the request came (ms).
            key: Request key.
        """
        line = self._queues.setdefault(service, [])
        position = bisect_left(line, (arrived, key))
        if position == len(line) or line[position] != (arrived, key):
            insort(line, (arrived, key))

    def remove(self, service: int, arrived: int, key: int) -> None:
        """Removes a request; does nothing when it is not in the line."""
        line = self._queues.get(service, [])
        position = bisect_left(line, (arrived, key))
        if position < len(line) and line[position] == (arrived, key):
            del line[position]
            if not line:
                del self._queues[service]
