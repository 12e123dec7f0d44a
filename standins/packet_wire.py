"""Encodes packets and verifies checksums as clients and upstreams of the users' platform do."""

__all__ = ["CHECKSUM_KEY", "is_intact", "write_packet"]

import socket
import struct

import xxhash

from shallotshore.messages import Address

CHECKSUM_KEY = 0x5A11  # seed of the checksums; only clients and upstreams know it
_HEADER = struct.Struct("<HBIIII4s4sHH")
SYN, ACK, FIN, RST, RETURNED = 8, 4, 16, 128, 2


def write_packet(
    source: Address,
    destination: Address,
    flags: int,
    sequence: int = 0,
    acknowledged: int = 0,
    data: bytes = b"",
) -> bytes:
    """Returns an encoded packet with its checksum.

    Args:
        source: Address of the sender.
        destination: Address of the receiver.
        flags: Bits such as SYN and ACK.
        sequence: Sequence number of the sender.
        acknowledged: Next sequence number that the sender expects.
        data: Payload.
    """
    fields = (
        socket.inet_aton(destination[0])[::-1],
        socket.inet_aton(source[0])[::-1],
        source[1],
        destination[1],
    )
    frame_with_zero_sum = (
        _HEADER.pack(len(data), flags, 0, sequence, acknowledged, 0, *fields) + data
    )
    checksum = xxhash.xxh32_intdigest(frame_with_zero_sum, seed=CHECKSUM_KEY)
    return _HEADER.pack(len(data), flags, checksum, sequence, acknowledged, 0, *fields) + data


def is_intact(frame: bytes) -> bool:
    """Whether size and checksum of an encoded packet match its content."""
    size, flags, checksum, sequence, acknowledged, _, *fields = _HEADER.unpack_from(frame)
    data = frame[_HEADER.size :]
    frame_with_zero_sum = _HEADER.pack(size, flags, 0, sequence, acknowledged, 0, *fields) + data
    return size == len(data) and checksum == xxhash.xxh32_intdigest(
        frame_with_zero_sum, seed=CHECKSUM_KEY
    )
