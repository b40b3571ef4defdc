"""Callers of a cell; they record every send, not only the last of a request."""

import asyncio
import contextlib
import itertools
import time
from typing import NamedTuple

import aiohttp

from tests.fakes.caller import EXPIRY_MS, MAX_SENDS, Callers, Outcome, Workload

HEALTH_POLL_S = 0.2


class SendRecord(NamedTuple):
    """One send of one request; `started` and `ended` are wall-clock seconds."""

    started: float
    ended: float
    outcome: Outcome


class CellCallers(Callers):
    """Callers behind a load balancer that sends only to ready entries.

    Parameters
    ----------
    entries : list of str
        Base URLs.
    workloads : list of Workload
        Sent in turn.
    rate : float
        Requests per second.
    seed : int
        Seed of the random choice of entries.
    prefix : str
        Prefix of every request's name, which keeps names unique across cells.
    """

    def __init__(self, entries, workloads, rate, seed, prefix: str):
        super().__init__(entries, workloads, rate, seed)
        self.all_entries = list(entries)
        self.prefix = prefix
        self.sends: list[SendRecord] = []
        self.request_names = (f"{prefix}-{i}" for i in itertools.count(1))

    async def run(self) -> None:
        """Send at the rate until `stopping`; then wait for the last responses."""
        async with aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(total=30),
            connector=aiohttp.TCPConnector(limit=0, force_close=True),
        ) as self.session:
            health = asyncio.create_task(self.watch_health())
            self.tasks: set[asyncio.Task] = set()
            for workload in itertools.cycle(self.workloads):
                if self.stopping:
                    break
                self.burst([workload])
                await asyncio.sleep(1 / self.rate)
            await asyncio.gather(*self.tasks)
            health.cancel()

    def burst(self, workloads: list[Workload]) -> None:
        """Send workloads immediately, in addition to the steady rate."""
        for workload in workloads:
            self.started += 1
            task = asyncio.create_task(self.send(self.session, workload))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def hang_up_and_resend(self, workload: Workload, count: int = 6) -> None:
        """Close the connections of keyed requests early, then resend the requests."""
        await asyncio.gather(
            *(self.hang_up_and_resend_one(workload) for _ in range(count))
        )

    async def hang_up_and_resend_one(self, workload: Workload) -> None:
        """Close the connection before the response, then resend until one succeeds."""
        self.started += 1
        name = next(self.request_names)
        headers = {
            "X-Client-Account": workload.account,
            "Idempotency-Key": f"key-{name}",
            "Idempotency-Expires": str(int(time.time() * 1000) + EXPIRY_MS),
        }
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(0.03 + self.rng.random() / 10):
                await self.send_once(self.session, workload, name, headers)
        for _ in range(MAX_SENDS):
            outcome = await self.send_once(self.session, workload, name, headers)
            if outcome.status == 200:
                return
            await asyncio.sleep(0.3)

    async def watch_health(self) -> None:
        """Poll which entries are ready, as the platform's load balancer does."""
        while True:
            ready = [url for url in self.all_entries if await self.is_ready(url)]
            self.entries = ready or self.all_entries
            await asyncio.sleep(HEALTH_POLL_S)

    async def is_ready(self, url: str) -> bool:
        """Return whether an entry answers its readiness check with 200."""
        with contextlib.suppress(aiohttp.ClientError, OSError, TimeoutError):
            timeout = aiohttp.ClientTimeout(total=0.5)
            async with self.session.get(
                f"{url}/health/ready", timeout=timeout
            ) as response:
                return response.status == 200
        return False

    async def send_once(self, session, workload, name, headers) -> Outcome:
        """Send once and record the outcome."""
        started = time.time()
        try:
            outcome = await super().send_once(session, workload, name, headers)
        except (ValueError, KeyError, IndexError):
            # The response can't be parsed, so it isn't one to this request.
            account = workload.account
            outcome = Outcome(name, account, "", 200, 0, False, False, True, "", 0.0)
        key = headers.get("Idempotency-Key", "")
        outcome = outcome._replace(key=key)
        self.sends.append(SendRecord(started, time.time(), outcome))
        return outcome
