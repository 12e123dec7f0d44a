"""Payloads of the users' own programs: request bodies, answers and feed packets.

The load balancer never reads payloads. They name their customer, service and upstream, so that a
receiver can detect a packet that was delivered to the wrong place.
"""

__all__ = [
    "FeedPacket",
    "RequestBody",
    "answer_checksum",
    "decode_feed_packet",
    "decode_request_body",
    "encode_payload",
    "expected_answer",
    "split_answer",
]

import msgspec
import xxhash

MAX_PART_BYTES = 1000  # fits a datagram of 1,500 bytes with all headers


class RequestBody(msgspec.Struct, array_like=True, frozen=True):
    """Body of a request: its service time at normal speed, and the length of its answer."""

    service: str
    customer: str
    request_id: bytes
    work_ms: int
    answer_bytes: int


class FeedPacket(msgspec.Struct, array_like=True, frozen=True):
    """A packet of a feed; `session` names the server in packets that a server sends."""

    service: str
    customer: str
    feed: int
    sequence: int
    session: str


_ENCODER = msgspec.msgpack.Encoder()
_REQUEST_DECODER = msgspec.msgpack.Decoder(RequestBody)
_FEED_DECODER = msgspec.msgpack.Decoder(FeedPacket)


def encode_payload(value: RequestBody | FeedPacket) -> bytes:
    """Returns a request body or a feed packet as a payload."""
    return _ENCODER.encode(value)


def decode_request_body(payload: bytes) -> RequestBody:
    """Decodes a request body.

    Raises:
        msgspec.MsgspecError: The payload is no request body.
    """
    return _REQUEST_DECODER.decode(payload)


def decode_feed_packet(payload: bytes) -> FeedPacket:
    """Decodes a feed packet.

    Raises:
        msgspec.MsgspecError: The payload is no feed packet.
    """
    return _FEED_DECODER.decode(payload)


def expected_answer(body: RequestBody) -> bytes:
    """Returns the only correct answer to a request; no other request has the same one."""
    head = _ENCODER.encode([body.service, body.customer, body.request_id])
    filler = xxhash.xxh64_digest(head)
    return head + filler * (body.answer_bytes // len(filler) + 1)


def answer_checksum(content: bytes) -> int:
    """Returns the checksum that is sent with an answer."""
    return xxhash.xxh64_intdigest(content)


def split_answer(content: bytes) -> list[bytes]:
    """Splits an answer into parts of at most `MAX_PART_BYTES`."""
    return [
        content[start : start + MAX_PART_BYTES] for start in range(0, len(content), MAX_PART_BYTES)
    ]
