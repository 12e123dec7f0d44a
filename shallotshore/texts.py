"""Compression of record texts, which processes hold and relay in this form."""

__all__ = ["MAX_TEXT_BYTES", "compress_text", "decompress_text"]

import zlib

MAX_TEXT_BYTES = 64_000  # an arena stores the length of a text in 16 bits

_COMPRESSION_LEVEL = 9
_WINDOW_BITS = -12  # raw deflate without header; a window of 4 KiB holds dictionary and record
_MEMORY_LEVEL = 5

# All processes must have the same dictionary: texts compressed with another one are unreadable.
# The end of a dictionary compresses best, so the most frequent kind comes last.
_DICTIONARY = (
    b'{"kind":"members","schema":1,"name":"'
    b'{"kind":"vm","schema":1,"name":"vm-","role":"balancer","role":"agent","state":"live",'
    b'{"kind":"data_centre","schema":3,"name":"","region":"","state":"in"}"state":"out"}'
    b'{"kind":"service","schema":3,"name":"","cold_limit":1,"warmup_ms":1000,"queue_factor":2}'
    b'{"kind":"customer","schema":3,"name":"","share":1,"bindings":[{"service":"","address":'
    b'{"host":"10.0.0.1","port":9000}},{"service":""'
    b',"customers":[""],"cold_limit":1,"cold_limit":2,"warmup_ms":10000,"warmup_ms":1000'
    b'{"kind":"upstream","schema":3,"name":"","service":"","data_centre":"",'
    b'"address":{"host":"10.","port":70"port":7000},"state":"leaving","state":"active",'
    b'"slots":3,"slots":1,"connections":2000}'
)


def compress_text(text: bytes) -> bytes:
    """Returns the compressed form of a record's text."""
    compressor = zlib.compressobj(
        _COMPRESSION_LEVEL,
        zlib.DEFLATED,
        _WINDOW_BITS,
        _MEMORY_LEVEL,
        zlib.Z_DEFAULT_STRATEGY,
        _DICTIONARY,
    )
    return compressor.compress(text) + compressor.flush()


def decompress_text(compressed: bytes) -> bytes:
    """Returns the text of a compressed record.

    Raises:
        ValueError: The bytes are not a compressed text, or the text exceeds `MAX_TEXT_BYTES`.
    """
    decompressor = zlib.decompressobj(_WINDOW_BITS, _DICTIONARY)
    try:
        text = decompressor.decompress(compressed, MAX_TEXT_BYTES + 1)
    except zlib.error as error:
        raise ValueError(f"record text cannot be decompressed: {error}") from error
    if len(text) > MAX_TEXT_BYTES or not decompressor.eof:
        raise ValueError("record text is truncated or too large")
    return text
