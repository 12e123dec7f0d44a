"""Parts of answers, stored at a balancer until the answer is complete."""

__all__ = ["AnswerParts"]

from shallotshore.agent_messages import AttemptAnswer

MAX_ANSWER_PARTS = 4_096
_MAX_BYTES = 8 << 20  # total size of all parts; one that does not fit is requested again later
_MAX_VERSIONS = 4  # attempts of one request that may answer at the same time

_Version = tuple[int, int, int, int]


class AnswerParts:
    """Stores the received parts of answers by request key and version.

    A version is (attempt, upstream, parts, checksum), so that parts of different runs of a
    repeatable request are never mixed.
    """

    __slots__ = ("_bytes", "_parts_by_key")

    def __init__(self) -> None:
        self._bytes = 0
        self._parts_by_key: dict[int, dict[_Version, dict[int, bytes]]] = {}

    def add(self, answer: AttemptAnswer) -> tuple[bytes, ...] | None:
        """Adds a part.

        Returns:
            The payloads of all parts in order when the answer is complete, else None.
        """
        if not 0 <= answer.part < answer.parts <= MAX_ANSWER_PARTS:
            return None
        if answer.parts == 1:
            return (answer.payload,)
        versions = self._parts_by_key.setdefault(answer.key, {})
        version = (answer.attempt, answer.upstream, answer.parts, answer.checksum)
        if version not in versions and len(versions) >= _MAX_VERSIONS:
            return None
        received = versions.setdefault(version, {})
        if answer.part not in received:
            if self._bytes + len(answer.payload) > _MAX_BYTES:
                return None
            received[answer.part] = answer.payload
            self._bytes += len(answer.payload)
        if len(received) < answer.parts:
            return None
        return tuple(received[part] for part in range(answer.parts))

    def has_parts(self, key: int) -> bool:
        """Returns whether parts of an answer are stored."""
        return key in self._parts_by_key

    def remove_parts(self, key: int) -> None:
        """Removes the parts stored for a request."""
        for received in self._parts_by_key.pop(key, {}).values():
            self._bytes -= sum(len(payload) for payload in received.values())
