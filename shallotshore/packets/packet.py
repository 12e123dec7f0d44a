"""One packet of a flow, as the decisions see it; its encoding is the business of an adapter."""

from __future__ import annotations

__all__ = [
    "ACKS",
    "ENDS",
    "OPENS",
    "RESETS",
    "RETURNED",
    "SEQUENCE_MASK",
    "DecodePacket",
    "Packet",
    "ResetPacket",
    "PacketToClient",
    "PacketToUpstream",
]

from collections.abc import Callable
from typing import TYPE_CHECKING, TypeAlias

from result import Result

from shallotshore.codes import Code
from shallotshore.hashing import flow_key

if TYPE_CHECKING:
    from shallotshore.messages import Address

# Bits of Packet.flags.
OPENS = 1  # a client asks for a flow, or an upstream accepts one
ACKS = 2  # `acknowledged` is meaningful
ENDS = 4  # the sender sends no more data
RESETS = 8  # the flow is gone
RETURNED = 16  # the upstream gives back a packet of a client that it cannot take

SEQUENCE_MASK = (1 << 32) - 1  # numbers of bytes wrap around


class Packet:
    """A packet between a client and a virtual address.

    Attributes:
        client: Address of the client's end.
        vip: Address of the route's end.
        flags: OPENS, ACKS, ENDS, RESETS and RETURNED.
        sequence: Number of the first byte carried.
        acknowledged: Number of the next byte that the sender expects; in a client's opening
            packet, how many copies of it were sent before.
        size: Bytes of data carried.
        frame: The packet as received.
        key: Key of the flow, the same in every process.
    """

    __slots__ = ("acknowledged", "client", "flags", "frame", "key", "sequence", "size", "vip")

    def __init__(
        self,
        client: Address,
        vip: Address,
        flags: int,
        sequence: int,
        acknowledged: int,
        size: int,
        frame: bytes,
    ) -> None:
        self.client = client
        self.vip = vip
        self.flags = flags
        self.sequence = sequence
        self.acknowledged = acknowledged
        self.size = size
        self.frame = frame
        self.key = flow_key(client, vip, 0)

    @property
    def name(self) -> str:
        """The flow's id in logs: its two ends."""
        return f"{self.client[0]}:{self.client[1]}-{self.vip[0]}:{self.vip[1]}"

    @property
    def route_name(self) -> str:
        """The route's end in logs and metrics."""
        return f"{self.vip[0]}:{self.vip[1]}"

    @property
    def is_opening(self) -> bool:
        """Whether a client asks for a flow."""
        return self.flags & (OPENS | ACKS) == OPENS


class ResetPacket:
    """A reset that the system itself sends to a client.

    Attributes:
        client: Address of the client's end.
        vip: Address of the route's end.
        sequence: What the client last acknowledged.
    """

    __slots__ = ("client", "sequence", "vip")

    def __init__(self, client: Address, vip: Address, sequence: int) -> None:
        self.client = client
        self.vip = vip
        self.sequence = sequence


class PacketToClient:
    """A packet of the upstream on its way to the client."""

    __slots__ = ("frame",)

    def __init__(self, frame: bytes) -> None:
        self.frame = frame


class PacketToUpstream:
    """A packet of the client on its way to the upstream."""

    __slots__ = ("frame",)

    def __init__(self, frame: bytes) -> None:
        self.frame = frame


# Reads the packet of a client.
DecodePacket: TypeAlias = Callable[[bytes], Result[Packet, Code]]
