"""Bandwidth limit of a fake's link."""

import asyncio

PIECE_BYTES = 1 << 16


class LinkLimit:
    """Limit of `bytes_per_s` shared by all responses; 0 for no limit."""

    def __init__(self, bytes_per_s: float):
        self.bytes_per_s = bytes_per_s
        self.free_at = 0.0

    async def transmit(self, count: int) -> None:
        """Wait until the link has transmitted `count` more bytes."""
        if not self.bytes_per_s:
            return
        now = asyncio.get_running_loop().time()
        self.free_at = max(self.free_at, now) + count / self.bytes_per_s
        await asyncio.sleep(self.free_at - now)
