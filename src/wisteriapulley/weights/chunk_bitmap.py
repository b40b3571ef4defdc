"""Which chunks an instance holds, as told to its neighbours.

A bitmap once for each link and version, then only what was added, at most every
`TELL_EVERY_S`: at 820 instances a full bitmap for each chunk would cost more
than some chunks do.
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
