"""Decoded packets of flows; the encoding is left to the platform's adapter."""

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
    "PacketToClient",
    "PacketToUpstream",
    "ResetPacket",
]

from collections.abc import Callable
from typing import TYPE_CHECKING, TypeAlias

from result import Result

from shallotshore.codes import Code
from shallotshore.hashing import flow_key
from shallotshore.unknown_flows import NEVER

if TYPE_CHECKING:
    from shallotshore.messages import Address

# Bits of Packet.flags.
OPENS = 1  # a client requests a flow, or an upstream accepts one
ACKS = 2  # `acknowledged` is valid
ENDS = 4  # the sender sends no more data
RESETS = 8  # the flow no longer exists
RETURNED = 16  # the upstream returns a client's packet that it does not accept

SEQUENCE_MASK = (1 << 32) - 1  # sequence numbers wrap around


class Packet:
    """A packet between a client and a virtual address.

    Attributes:
        client: Address of the client's end.
        vip: Address of the route's end.
        flags: Bits OPENS, ACKS, ENDS, RESETS and RETURNED.
        sequence: Sequence number of the packet's first byte of data.
        acknowledged: Sequence number of the next byte that the sender expects; in a client's
            opening packet, how many times the client has sent the packet before.
        size: Number of bytes of data.
        frame: The packet as received.
        key: Key of the flow, the same in every process.
        arrived_after: Time after which the packet has arrived at this VM, in ms; NEVER when not
            known. It may have waited in the socket's buffer since then.
    """

    __slots__ = (
        "acknowledged",
        "arrived_after",
        "client",
        "flags",
        "frame",
        "key",
        "sequence",
        "size",
        "vip",
    )

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
        self.arrived_after = NEVER

    @property
    def name(self) -> str:
        """The flow's name in logs: the addresses of the client and of the route."""
        return f"{self.client[0]}:{self.client[1]}-{self.vip[0]}:{self.vip[1]}"

    @property
    def route_name(self) -> str:
        """The route's address in logs and metrics."""
        return f"{self.vip[0]}:{self.vip[1]}"

    @property
    def is_opening(self) -> bool:
        """Whether the packet is a client's request for a new flow."""
        return self.flags & (OPENS | ACKS) == OPENS


class ResetPacket:
    """A reset that a balancer sends to a client.

    Attributes:
        client: Address of the client's end.
        vip: Address of the route's end.
        sequence: Sequence number that the client last acknowledged.
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


# Decodes the packet of a client.
DecodePacket: TypeAlias = Callable[[bytes], Result[Packet, Code]]
