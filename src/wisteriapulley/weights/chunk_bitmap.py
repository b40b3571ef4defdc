"""Bitmaps of held chunks, as announced to neighbours.

An instance sends a full bitmap once per link and version, and then only the added
chunks, at most once per `PUBLISH_INTERVAL_S`. With 820 instances, a full bitmap for
each new chunk would take more bandwidth than some chunks.
"""

from collections.abc import Iterable

PUBLISH_INTERVAL_S = 0.05


def pack_bitmap(indexes: Iterable[int], length: int) -> bytes:
    """Pack chunk indexes into a bitmap, lowest bit first."""
    bits = bytearray((length + 7) // 8)
    for index in indexes:
        bits[index >> 3] |= 1 << (index & 7)
    return bytes(bits)


def unpack_bitmap(bitmap: bytes, length: int) -> set[int]:
    """Unpack a bitmap into chunk indexes below `length`."""
    size = min(length, len(bitmap) * 8)
    return {i for i in range(size) if bitmap[i >> 3] >> (i & 7) & 1}
