"""Frames of the storage files: two checksums, a length, a kind and a payload.

A frame is ``header crc32 | payload crc32 | length | kind | payload``. The header has
its own checksum, so that a corrupted length is not taken for a torn write.
"""

import struct
import zlib
from collections.abc import Iterator
from typing import NamedTuple

HEADER = struct.Struct("<IIIB")
UINT64 = struct.Struct("<Q")
CRC_BYTES = 4
# Disks write complete sectors; a sector that was not written before a crash reads as
# zeros.
SECTOR_BYTES = 512
# Writes may also be torn at any byte within a sector; the missing bytes read as zeros.
# A run of this length does not occur in a payload by chance.
ZERO_RUN = bytes(8)

KIND_HARD_STATE = 1
KIND_RECORD = 2
KIND_BASE = 3
KIND_SYNCED = 4
KIND_SNAPSHOT = 5
KIND_COMMITTED = 6


class ScannedFrame(NamedTuple):
    """A complete frame of a file and the offset of its end."""

    kind: int
    payload: bytes
    end: int


def pack(kind: int, payload: bytes) -> bytes:
    """Encode one frame."""
    header = HEADER.pack(0, zlib.crc32(payload), len(payload), kind)[CRC_BYTES:]
    return zlib.crc32(header).to_bytes(CRC_BYTES, "little") + header + payload


def pack_sync_mark(offset: int) -> bytes:
    """Encode the mark that all bytes before `offset` are synced."""
    return pack(KIND_SYNCED, UINT64.pack(offset))


def pack_committed_index(index: int) -> bytes:
    """Encode the commit index: all records up to `index` are committed."""
    return pack(KIND_COMMITTED, UINT64.pack(index))


def frame_at(data: bytes, offset: int) -> ScannedFrame | None:
    """Read the frame at `offset`; return None if it is incomplete or invalid."""
    if offset + HEADER.size > len(data):
        return None
    header_crc, payload_crc, length, kind = HEADER.unpack_from(data, offset)
    start = offset + HEADER.size
    if zlib.crc32(data[offset + CRC_BYTES : start]) != header_crc:
        return None
    payload = data[start : start + length]
    if len(payload) < length or zlib.crc32(payload) != payload_crc:
        return None
    return ScannedFrame(kind, payload, start + length)


def scan(data: bytes) -> Iterator[ScannedFrame]:
    """Yield the frames up to the first incomplete or invalid one."""
    offset = 0
    while (frame := frame_at(data, offset)) is not None:
        yield frame
        offset = frame.end


def is_marked_synced(data: bytes, offset: int) -> bool:
    """Return whether a sync mark after `offset` covers the byte at `offset`."""
    pattern = HEADER.pack(0, 0, UINT64.size, KIND_SYNCED)[2 * CRC_BYTES :]
    found = data.find(pattern, offset)
    while found >= 0:
        frame = frame_at(data, found - 2 * CRC_BYTES)
        if frame is not None and UINT64.unpack(frame.payload)[0] > offset:
            return True
        found = data.find(pattern, found + 1)
    return False


def is_torn_write(data: bytes, offset: int) -> bool:
    """Return whether the bytes from `offset` on look like a torn write.

    An append that a crash interrupted is either too short or has missing sectors, which
    read as zeros. Data that is complete but wrong was corrupted later.
    """
    if offset + HEADER.size > len(data):
        return True
    header_crc, _, length, _ = HEADER.unpack_from(data, offset)
    start = offset + HEADER.size
    if zlib.crc32(data[offset + CRC_BYTES : start]) == header_crc:
        if start + length > len(data):
            return True
    if ZERO_RUN in data[offset:]:
        return True
    edges = [
        offset,
        *range((offset // SECTOR_BYTES + 1) * SECTOR_BYTES, len(data), SECTOR_BYTES),
    ]
    pieces = zip(edges, [*edges[1:], len(data)], strict=True)
    return any(not any(data[first:last]) for first, last in pieces)
