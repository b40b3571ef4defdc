"""Rate limit of a fake's link: bytes leave no faster than it carries them."""

import asyncio

PIECE_BYTES = 1 << 16


class RateLimit:
    """Shared link of `bytes_per_s`; 0 is without limit."""

    def __init__(self, bytes_per_s: float):
        self.bytes_per_s = bytes_per_s
        self.free_at = 0.0

    async def take(self, count: int) -> None:
        """Wait until `count` more bytes have passed the link."""
        if not self.bytes_per_s:
            return
        now = asyncio.get_running_loop().time()
        self.free_at = max(self.free_at, now) + count / self.bytes_per_s
        await asyncio.sleep(self.free_at - now)
