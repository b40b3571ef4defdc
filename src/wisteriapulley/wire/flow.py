"""Flow control of answers: how many bytes may be on their way to a slow reader.

All requests of an entry share a link to a sidecar, so TCP's own window would
let one slow caller hold up every other answer on it.
"""

import asyncio

# Carries 25 MB a second over a round trip of 10 ms, and bounds what an entry
# holds of one answer: 1,000 slow callers take at most 256 MB.
ANSWER_WINDOW_BYTES = 1 << 18
# Each credit frame stands for half a window, so small answers need none.
CREDIT_BYTES = ANSWER_WINDOW_BYTES // 2


class Window:
    """Bytes that the sender of an answer may still send.

    A part may be larger than what is left: the window then goes below zero
    and the next part waits.
    """

    def __init__(self, size: int = ANSWER_WINDOW_BYTES):
        self.available = size
        self.open_event = asyncio.Event()
        self.open_event.set()

    async def consume(self, size: int) -> None:
        """Wait until the window is open, then take `size` bytes of it."""
        await self.open_event.wait()
        self.available -= size
        if self.available <= 0:
            self.open_event.clear()

    def grant(self, size: int) -> None:
        """Open the window by `size` bytes that the reader has consumed."""
        self.available += size
        if self.available > 0:
            self.open_event.set()
