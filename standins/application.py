"""What the users' own programs write into payloads: orders, answers and feed packets.

The product never reads these. They name their customer, service and upstream, so that the receiver
can tell a packet that reached the wrong place.
"""

__all__ = [
    "FeedPacket",
    "Order",
    "answer_of",
    "checksum_of",
    "decode_feed",
    "decode_order",
    "encode",
    "split",
]

import msgspec
import xxhash

PART_BYTES = 1000  # fits a datagram of 1,500 bytes with all headers


class Order(msgspec.Struct, array_like=True, frozen=True):
    """A request as the users' programs see it; `work` is its service time in ms."""

    service: str
    customer: str
    ident: bytes
    work: int
    size: int


class FeedPacket(msgspec.Struct, array_like=True, frozen=True):
    """A packet of a feed; `session` names the server on the way back."""

    service: str
    customer: str
    feed: int
    sequence: int
    session: str


_ENCODER = msgspec.msgpack.Encoder()
_ORDERS = msgspec.msgpack.Decoder(Order)
_FEEDS = msgspec.msgpack.Decoder(FeedPacket)


def encode(value: Order | FeedPacket) -> bytes:
    """Returns the payload of an order or a feed packet."""
    return _ENCODER.encode(value)


def decode_order(payload: bytes) -> Order:
    """Reads an order.

    Raises:
        msgspec.MsgspecError: The payload is no order.
    """
    return _ORDERS.decode(payload)


def decode_feed(payload: bytes) -> FeedPacket:
    """Reads a feed packet.

    Raises:
        msgspec.MsgspecError: The payload is no feed packet.
    """
    return _FEEDS.decode(payload)


def answer_of(order: Order) -> bytes:
    """Returns the only right answer to an order, which no other order shares."""
    head = _ENCODER.encode([order.service, order.customer, order.ident])
    filler = xxhash.xxh64_digest(head)
    return head + filler * (order.size // len(filler) + 1)


def checksum_of(whole: bytes) -> int:
    """Returns the checksum that answers carry."""
    return xxhash.xxh64_intdigest(whole)


def split(whole: bytes) -> list[bytes]:
    """Cuts an answer into parts of at most `PART_BYTES`."""
    return [whole[start : start + PART_BYTES] for start in range(0, len(whole), PART_BYTES)]
