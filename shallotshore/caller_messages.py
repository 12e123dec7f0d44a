"""Messages between callers, the fabric and balancers."""

__all__ = [
    "CallerAnswer",
    "CallerCancel",
    "CallerClose",
    "CallerData",
    "CallerOpen",
    "CallerRequest",
    "CallerReset",
    "FabricPacket",
]

from dataclasses import dataclass

from shallotshore.messages import Address, Message


@dataclass(slots=True)
class CallerOpen(Message):
    """A caller opens a flow; the caller resends the message until data or a reset arrives."""

    flow: int
    payload: bytes


@dataclass(slots=True)
class CallerData(Message):
    """A packet of an open flow, in either direction."""

    flow: int
    payload: bytes


@dataclass(slots=True)
class CallerClose(Message):
    """A caller closes a flow."""

    flow: int


@dataclass(slots=True)
class CallerReset(Message):
    """The flow does not exist any more; the caller may open a new one."""

    flow: int
    code: int


@dataclass(slots=True)
class CallerRequest(Message):
    """A one-off request of a caller; a resend carries the same 16-byte id and a higher age.

    `age` is the time since the request began, `budget` the time that is left for it, both in ms.
    """

    request: bytes
    repeatable: bool
    age: int
    budget: int
    payload: bytes


@dataclass(slots=True)
class CallerCancel(Message):
    """A caller no longer wants the answer to its request."""

    request: bytes


@dataclass(slots=True)
class CallerAnswer(Message):
    """One part of the answer to a request, with the checksum of the whole payload."""

    request: bytes
    outcome: int
    code: int
    part: int
    parts: int
    checksum: int
    payload: bytes


@dataclass(slots=True)
class FabricPacket(Message):
    """A caller's message or an answer to the caller, with the addresses of caller and VIP."""

    caller: Address
    vip: Address
    payload: Message
