"""Flow control of answers: limits the bytes in flight to a slow reader.

All requests of an entry share one link to a sidecar. With TCP's flow control alone,
one slow caller would block all other answers on the link.
"""

import asyncio

# Bytes of one answer in flight. Allows 25 MB per second at a round trip time of 10 ms,
# and limits how much of one answer an entry buffers: 1,000 slow callers take at most
# 256 MB.
ANSWER_WINDOW_BYTES = 1 << 18
# Each credit frame grants half a window, so small answers need none.
CREDIT_BYTES = ANSWER_WINDOW_BYTES // 2


class Window:
    """Number of bytes that the sender of an answer may still send.

    A part may be larger than the available window: the window then becomes negative,
    and the next part waits.
    """

    def __init__(self, size: int = ANSWER_WINDOW_BYTES):
        self.available = size
        self.open_event = asyncio.Event()
        self.open_event.set()

    async def consume(self, size: int) -> None:
        """Wait until the window is open, then subtract `size` bytes."""
        await self.open_event.wait()
        self.available -= size
        if self.available <= 0:
            self.open_event.clear()

    def grant(self, size: int) -> None:
        """Add `size` bytes that the reader has consumed."""
        self.available += size
        if self.available > 0:
            self.open_event.set()
