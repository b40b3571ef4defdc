"""Frames of the storage's files: two checksums, a length and a kind.

A frame is ``header crc32 | payload crc32 | length | kind | payload``. The
header has its own checksum, so that a flipped length is not taken for a frame
that was cut short.
"""

import struct
import zlib
from collections.abc import Iterator
from typing import NamedTuple

HEADER = struct.Struct("<IIIB")
UINT64 = struct.Struct("<Q")
CRC_BYTES = 4
# Disks write whole sectors: one that a crash kept from the disk reads as zeros.
SECTOR_BYTES = 512
# Bytes that never reached the disk also read as zeros within a sector, where a
# write is torn at any byte: so many in a row are no accident of a payload.
ZERO_RUN = bytes(8)

KIND_HARD_STATE = 1
KIND_RECORD = 2
KIND_BASE = 3
KIND_SYNCED = 4
KIND_SNAPSHOT = 5
KIND_COMMITTED = 6


class ScannedFrame(NamedTuple):
    """A whole frame of a file and where it ends."""

    kind: int
    payload: bytes
    end: int


def pack(kind: int, payload: bytes) -> bytes:
    """Pack one frame."""
    header = HEADER.pack(0, zlib.crc32(payload), len(payload), kind)[CRC_BYTES:]
    return zlib.crc32(header).to_bytes(CRC_BYTES, "little") + header + payload


def pack_sync_mark(offset: int) -> bytes:
    """Pack the mark that every byte before `offset` was synced."""
    return pack(KIND_SYNCED, UINT64.pack(offset))


def pack_committed_index(index: int) -> bytes:
    """Pack the note that every record up to `index` is committed."""
    return pack(KIND_COMMITTED, UINT64.pack(index))


def frame_at(data: bytes, offset: int) -> ScannedFrame | None:
    """Read the frame at `offset`; None when it is not whole and right."""
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
    """Yield whole frames up to the first that is not."""
    offset = 0
    while (frame := frame_at(data, offset)) is not None:
        yield frame
        offset = frame.end


def is_marked_synced(data: bytes, offset: int) -> bool:
    """Tell whether a mark after `offset` says that `offset` was synced."""
    pattern = HEADER.pack(0, 0, UINT64.size, KIND_SYNCED)[2 * CRC_BYTES :]
    found = data.find(pattern, offset)
    while found >= 0:
        frame = frame_at(data, found - 2 * CRC_BYTES)
        if frame is not None and UINT64.unpack(frame.payload)[0] > offset:
            return True
        found = data.find(pattern, found + 1)
    return False


def is_torn_write(data: bytes, offset: int) -> bool:
    """Tell whether the bytes from `offset` look like an unfinished write.

    An append that a crash cut ends early, or lacks sectors, which read as
    zeros. Bytes that are all there but wrong were damaged later.
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
