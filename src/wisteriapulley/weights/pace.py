"""Pacing of one link that live requests and weights share.

`Pace` is pure; `LinkBudget` adds the clock and the waiting. Up and down draw
on one budget, because an instance's link carries about two copies in a window
both ways together.
"""

import asyncio
import time
from collections.abc import Callable

# Timers of a busy loop fire late; this much idle time is made good afterwards.
MAX_IDLE_CREDIT_S = 0.05
# Live requests push weights back, but not for ever: a target whose live load
# fills its link must still get the new version within the hour.
MAX_LIVE_DEBT_S = 0.5
# A part occupies the link for about this long, so a live answer waits for less.
PART_DURATION_S = 0.02
MIN_PART_BYTES = 16 << 10
MAX_PART_BYTES = 256 << 10


class Pacer:
    """When bytes may pass a link of one rate.

    Parameters
    ----------
    bytes_per_s : float
        Rate; 0 for no limit.
    """

    def __init__(self, bytes_per_s: float):
        self.bytes_per_s = bytes_per_s
        self.free_at_s = 0.0

    def delay(self, now_s: float) -> float:
        """Return the seconds until more bytes may pass."""
        return max(0.0, self.free_at_s - now_s)

    def charge(self, count: int, now_s: float) -> None:
        """Occupy the link with `count` bytes."""
        if self.bytes_per_s:
            start_s = max(self.free_at_s, now_s - MAX_IDLE_CREDIT_S)
            self.free_at_s = start_s + count / self.bytes_per_s

    def charge_live(self, count: int, now_s: float) -> None:
        """Occupy the link with bytes of live requests, which never wait."""
        before_s = self.free_at_s
        self.charge(count, now_s)
        self.free_at_s = min(self.free_at_s, max(before_s, now_s + MAX_LIVE_DEBT_S))


class LinkBudget:
    """Budget of this instance's link; weights wait, live requests do not.

    Parameters
    ----------
    bytes_per_s : float
        Rate, up and down together; 0 for no limit.
    live_bytes : callable, optional
        Returns the bytes of live requests so far, up and down.
    """

    def __init__(self, bytes_per_s: float, live_bytes: Callable[[], int] = lambda: 0):
        self.pacer = Pacer(bytes_per_s)
        self.live_bytes = live_bytes
        self.charged_live_bytes = 0
        self.lock = asyncio.Lock()
        self.acquired_bytes = 0

    @property
    def part_bytes(self) -> int:
        """Bytes of one part of a chunk on the wire."""
        if not self.pacer.bytes_per_s:
            return MAX_PART_BYTES
        wanted = int(self.pacer.bytes_per_s * PART_DURATION_S)
        return min(MAX_PART_BYTES, max(MIN_PART_BYTES, wanted))

    async def acquire(self, count: int) -> None:
        """Wait in turn until `count` bytes of weights may pass."""
        async with self.lock:
            self.charge_live()
            while (delay_s := self.pacer.delay(time.monotonic())) > 0:
                await asyncio.sleep(delay_s)
                self.charge_live()
            self.pacer.charge(count, time.monotonic())
            self.acquired_bytes += count

    def charge_live(self) -> None:
        """Charge what live requests moved since the last look."""
        total = self.live_bytes()
        if total > self.charged_live_bytes:
            self.pacer.charge_live(total - self.charged_live_bytes, time.monotonic())
        self.charged_live_bytes = total
