"""Pacing of a link that live requests and weights share.

`Pacer` is pure; `LinkBudget` adds the clock and the waiting. Upload and download
share one budget, because an instance's link carries about two copies in one
distribution window, both directions together.
"""

import asyncio
import time
from collections.abc import Callable

# Idle time of the link that may be used later: timers of a busy event loop fire late.
MAX_IDLE_CREDIT_S = 0.05
# Longest delay of weights by live requests: a target whose live requests fill its link
# must still get the new version within an hour.
MAX_LIVE_DEBT_S = 0.5
# A part occupies the link for about this long; a live response waits less than that.
PART_DURATION_S = 0.02
MIN_PART_BYTES = 16 << 10
MAX_PART_BYTES = 256 << 10


class Pacer:
    """Compute when bytes may be sent over a link with a fixed rate.

    Parameters
    ----------
    bytes_per_s : float
        Rate in bytes per second; 0 for no limit.
    """

    def __init__(self, bytes_per_s: float):
        self.bytes_per_s = bytes_per_s
        self.free_at_s = 0.0

    def delay(self, now_s: float) -> float:
        """Return the seconds until more bytes may be sent."""
        return max(0.0, self.free_at_s - now_s)

    def charge(self, count: int, now_s: float) -> None:
        """Charge `count` bytes to the link."""
        if self.bytes_per_s:
            start_s = max(self.free_at_s, now_s - MAX_IDLE_CREDIT_S)
            self.free_at_s = start_s + count / self.bytes_per_s

    def charge_live(self, count: int, now_s: float) -> None:
        """Charge bytes of live requests, which never wait, to the link."""
        before_s = self.free_at_s
        self.charge(count, now_s)
        self.free_at_s = min(self.free_at_s, max(before_s, now_s + MAX_LIVE_DEBT_S))


class LinkBudget:
    """Bandwidth budget of a link: weights wait for it, live requests do not.

    Parameters
    ----------
    bytes_per_s : float
        Rate in bytes per second, upload and download together; 0 for no limit.
    live_bytes : callable, optional
        Returns the total bytes of live requests so far, upload and download.
    """

    def __init__(self, bytes_per_s: float, live_bytes: Callable[[], int] = lambda: 0):
        self.pacer = Pacer(bytes_per_s)
        self.live_bytes = live_bytes
        self.charged_live_bytes = 0
        self.lock = asyncio.Lock()
        self.acquired_bytes = 0

    @property
    def part_bytes(self) -> int:
        """Size of one part of a chunk on the wire, in bytes."""
        if not self.pacer.bytes_per_s:
            return MAX_PART_BYTES
        part_bytes = int(self.pacer.bytes_per_s * PART_DURATION_S)
        return min(MAX_PART_BYTES, max(MIN_PART_BYTES, part_bytes))

    async def acquire(self, count: int) -> None:
        """Wait, in the order of calls, until `count` bytes of weights may be sent."""
        async with self.lock:
            self.charge_live()
            while (delay_s := self.pacer.delay(time.monotonic())) > 0:
                await asyncio.sleep(delay_s)
                self.charge_live()
            self.pacer.charge(count, time.monotonic())
            self.acquired_bytes += count

    def charge_live(self) -> None:
        """Charge the bytes of live requests since the last call."""
        total = self.live_bytes()
        if total > self.charged_live_bytes:
            self.pacer.charge_live(total - self.charged_live_bytes, time.monotonic())
        self.charged_live_bytes = total
