"""What the users' own programs write into payloads: orders, answers and feed packets.

The product never reads these. They name their customer, service and upstream, so that the receiver
can tell a packet that reached the wrong place.
"""

__all__ = [
    "FeedPacket",
    "RequestBody",
    "expected_answer",
    "answer_checksum",
    "decode_feed_packet",
    "decode_request_body",
    "encode",
    "split_answer",
]

import msgspec
import xxhash

MAX_PART_BYTES = 1000  # fits a datagram of 1,500 bytes with all headers


class RequestBody(msgspec.Struct, array_like=True, frozen=True):
    """A request as the users' programs see it; `work` is its service time in ms."""

    service: str
    customer: str
    request_id: bytes
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
_REQUEST_DECODER = msgspec.msgpack.Decoder(RequestBody)
_FEED_DECODER = msgspec.msgpack.Decoder(FeedPacket)


def encode(value: RequestBody | FeedPacket) -> bytes:
    """Returns the payload of an order or a feed packet."""
    return _ENCODER.encode(value)


def decode_request_body(payload: bytes) -> RequestBody:
    """Reads an order.

    Raises:
        msgspec.MsgspecError: The payload is no order.
    """
    return _REQUEST_DECODER.decode(payload)


def decode_feed_packet(payload: bytes) -> FeedPacket:
    """Reads a feed packet.

    Raises:
        msgspec.MsgspecError: The payload is no feed packet.
    """
    return _FEED_DECODER.decode(payload)


def expected_answer(body: RequestBody) -> bytes:
    """Returns the only right answer to an order, which no other order shares."""
    head = _ENCODER.encode([body.service, body.customer, body.request_id])
    filler = xxhash.xxh64_digest(head)
    return head + filler * (body.size // len(filler) + 1)


def answer_checksum(whole: bytes) -> int:
    """Returns the checksum that answers carry."""
    return xxhash.xxh64_intdigest(whole)


def split_answer(whole: bytes) -> list[bytes]:
    """Cuts an answer into parts of at most `MAX_PART_BYTES`."""
    return [whole[start : start + MAX_PART_BYTES] for start in range(0, len(whole), MAX_PART_BYTES)]
