"""Frames of the storage files: two checksums, a length, a kind and a payload.

A frame is ``header crc32 | payload crc32 | length | kind | payload | end byte``. The
header has its own checksum, so that a corrupted length is not taken for a torn write.

The missing bytes of a torn write read as zeros. Header and frame end in a byte that is
never zero, and that no change of one bit makes zero, so a write that is torn at any
byte differs from one that was complete and changed later. Frames of earlier releases
have neither: their kind is a small number, and they have no end byte.
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
# Writes may also be torn at any byte within a sector. A run of this length does not
# occur in a payload by chance.
ZERO_RUN = bytes(8)
# Set in the kind of a frame that has an end byte.
HAS_END = 0xF0
END = b"\xff"

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
    stored_kind = HAS_END | kind
    header = HEADER.pack(0, zlib.crc32(payload), len(payload), stored_kind)[CRC_BYTES:]
    return zlib.crc32(header).to_bytes(CRC_BYTES, "little") + header + payload + END


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
    end = start + length
    if not has_end(kind):
        return ScannedFrame(kind, payload, end)
    if data[end : end + len(END)] != END:
        return None
    return ScannedFrame(kind & ~HAS_END, payload, end + len(END))


def has_end(kind: int) -> bool:
    """Return whether a frame with this kind in its header has an end byte."""
    return kind & HAS_END == HAS_END


def scan(data: bytes) -> Iterator[ScannedFrame]:
    """Yield the frames up to the first incomplete or invalid one."""
    offset = 0
    while (frame := frame_at(data, offset)) is not None:
        yield frame
        offset = frame.end


def is_marked_synced(data: bytes, offset: int) -> bool:
    """Return whether a sync mark after `offset` covers the byte at `offset`."""
    kinds = (KIND_SYNCED, HAS_END | KIND_SYNCED)
    return any(is_covered_by_mark(data, offset, kind) for kind in kinds)


def is_covered_by_mark(data: bytes, offset: int, kind: int) -> bool:
    """Return whether a sync mark of this stored kind covers the byte at `offset`."""
    pattern = HEADER.pack(0, 0, UINT64.size, kind)[2 * CRC_BYTES :]
    found = data.find(pattern, offset)
    while found >= 0:
        frame = frame_at(data, found - 2 * CRC_BYTES)
        if frame is not None and UINT64.unpack(frame.payload)[0] > offset:
            return True
        found = data.find(pattern, found + 1)
    return False


def is_torn_write(data: bytes, offset: int) -> bool:
    """Return whether the bytes from `offset` on look like a torn write.

    An append that a crash interrupted is too short, lacks the bytes at its end, or has
    missing sectors. Data that is complete but wrong was corrupted later.
    """
    if lacks_end(data, offset) or ZERO_RUN in data[offset:]:
        return True
    edges = [
        offset,
        *range((offset // SECTOR_BYTES + 1) * SECTOR_BYTES, len(data), SECTOR_BYTES),
    ]
    pieces = zip(edges, [*edges[1:], len(data)], strict=True)
    return any(not any(data[first:last]) for first, last in pieces)


def lacks_end(data: bytes, offset: int) -> bool:
    """Return whether the header or the frame at `offset` lacks its last byte."""
    start = offset + HEADER.size
    if start > len(data):
        return True
    header_crc, _, length, kind = HEADER.unpack_from(data, offset)
    if zlib.crc32(data[offset + CRC_BYTES : start]) != header_crc:
        # The payload, of one byte at least, and the end byte are missing too.
        return not any(data[start - 1 : start + 2])
    end = start + length
    if not has_end(kind):
        return end > len(data)
    return end >= len(data) or data[end] == 0
