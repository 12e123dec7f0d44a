"""Compact storage for large tables: an index in arrays, and an arena for byte strings."""

__all__ = ["Arena", "CompactTable", "RowIndex"]

import struct
from array import array
from bisect import bisect_left
from collections.abc import Iterator, MutableMapping

from shallotshore.tables import Table

_BUCKET_COUNT = 256  # one for each value of the key's highest byte
_BUCKET_SHIFT = 56

_CHUNK_BYTES = 1 << 14
# These bits hold a record's start in its chunk. A record can be larger than a chunk, but not larger
# than 64 KiB.
_POSITION_BITS = 16
_POSITION_MASK = (1 << _POSITION_BITS) - 1
_HEADER = struct.Struct("<IBH")  # row, length of the name, length of the text


def _encode_location(chunk: int, position: int) -> int:
    # Locations start at 1, since a removed row has 0 in all columns.
    return ((chunk << _POSITION_BITS) | position) + 1


class RowIndex(MutableMapping[int, int]):
    """Maps 64-bit keys to rows with 12 bytes per key; a dict needs 95.

    Keys must be evenly distributed, as hashes are. They are kept in sorted buckets, since a hash
    table would at times have to be rehashed as a whole, which takes longer than a tick should last.
    """

    __slots__ = ("_count", "_keys", "_rows")

    def __init__(self) -> None:
        self._count = 0
        self._keys: dict[int, array] = {}
        self._rows: dict[int, array] = {}

    def __len__(self) -> int:
        return self._count

    def __iter__(self) -> Iterator[int]:
        for keys in self._keys.values():
            yield from keys

    def get(self, key: int, default: int) -> int:  # type: ignore[override]
        """Returns the row of a key, or the default."""
        keys = self._keys.get(key >> _BUCKET_SHIFT)
        if keys is None:
            return default
        position = bisect_left(keys, key)
        if position == len(keys) or keys[position] != key:
            return default
        return self._rows[key >> _BUCKET_SHIFT][position]

    def __getitem__(self, key: int) -> int:
        row = self.get(key, -1)
        if row < 0:
            raise KeyError(key)
        return row

    def __contains__(self, key: object) -> bool:
        return isinstance(key, int) and self.get(key, -1) >= 0

    def __setitem__(self, key: int, row: int) -> None:
        bucket = key >> _BUCKET_SHIFT
        keys = self._keys.setdefault(bucket, array("Q"))
        rows = self._rows.setdefault(bucket, array("I"))
        position = bisect_left(keys, key)
        if position < len(keys) and keys[position] == key:
            rows[position] = row
            return
        keys.insert(position, key)
        rows.insert(position, row)
        self._count += 1

    def __delitem__(self, key: int) -> None:
        bucket = key >> _BUCKET_SHIFT
        if key not in self:
            raise KeyError(key)
        position = bisect_left(self._keys[bucket], key)
        del self._keys[bucket][position]
        del self._rows[bucket][position]
        self._count -= 1


class CompactTable(Table):
    """A table with a `RowIndex` as its index, for 100,000 rows and more."""

    __slots__ = ()

    def __init__(self, limit: int) -> None:
        super().__init__(limit)
        self._rows = RowIndex()


class Arena:
    """Stores the names and texts of rows in chunks of bytes.

    A record is found by its location, which the owning table keeps in a column. When more than
    half of a chunk is free, its remaining records are moved and the chunk is reused; this moves
    only a few kilobytes at a time.
    """

    __slots__ = ("_chunks", "_current_chunk", "_free_bytes", "_free_chunks", "_locations")

    def __init__(self, locations: array) -> None:
        """Creates an empty arena.

        Args:
            locations: The owning table's column of locations; it is updated when a record moves.
        """
        self._locations = locations
        self._chunks: list[bytearray] = [bytearray()]
        self._free_bytes = array("I", [0])
        self._free_chunks: list[int] = []
        self._current_chunk = 0

    @property
    def size(self) -> int:
        """Size of all chunks in bytes, including freed space."""
        return sum(len(chunk) for chunk in self._chunks)

    def write_record(self, row: int, name: bytes, text: bytes) -> None:
        """Stores a record and writes its location to the column of the owning table.

        Args:
            row: The row that owns the record.
            name: At most 255 bytes.
            text: At most 65,000 bytes.
        """
        record = _HEADER.pack(row, len(name), len(text)) + name + text
        chunk = self._chunks[self._current_chunk]
        if chunk and len(chunk) + len(record) > _CHUNK_BYTES:
            self._current_chunk = self._allocate_chunk()
            chunk = self._chunks[self._current_chunk]
        self._locations[row] = _encode_location(self._current_chunk, len(chunk))
        chunk += record

    def name(self, row: int) -> bytes:
        """Returns the name of a row."""
        chunk, start, name_length, _ = self._locate(self._locations[row])
        return bytes(chunk[start : start + name_length])

    def text(self, row: int) -> bytes:
        """Returns the text of a row."""
        chunk, start, name_length, text_length = self._locate(self._locations[row])
        return bytes(chunk[start + name_length : start + name_length + text_length])

    def free(self, row: int) -> None:
        """Frees the record of a row; the row must not be read until its next `write_record`."""
        location = self._locations[row]
        _, _, name_length, text_length = self._locate(location)
        index = (location - 1) >> _POSITION_BITS
        self._free_bytes[index] += _HEADER.size + name_length + text_length
        self._locations[row] = 0
        if index != self._current_chunk and self._free_bytes[index] * 2 > len(self._chunks[index]):
            self._compact_chunk(index)

    def _locate(self, location: int) -> tuple[bytearray, int, int, int]:
        chunk = self._chunks[(location - 1) >> _POSITION_BITS]
        position = (location - 1) & _POSITION_MASK
        _, name_length, text_length = _HEADER.unpack_from(chunk, position)
        return chunk, position + _HEADER.size, name_length, text_length

    def _allocate_chunk(self) -> int:
        if self._free_chunks:
            return self._free_chunks.pop()
        self._chunks.append(bytearray())
        self._free_bytes.append(0)
        return len(self._chunks) - 1

    def _compact_chunk(self, index: int) -> None:
        chunk = self._chunks[index]
        position = 0
        while position < len(chunk):
            row, name_length, text_length = _HEADER.unpack_from(chunk, position)
            start = position + _HEADER.size
            end = start + name_length + text_length
            if self._locations[row] == _encode_location(index, position):
                name = bytes(chunk[start : start + name_length])
                self.write_record(row, name, bytes(chunk[start + name_length : end]))
            position = end
        self._chunks[index] = bytearray()
        self._free_bytes[index] = 0
        self._free_chunks.append(index)
