"""One version on its way to this instance."""

import asyncio
import logging
import random
import time

from wisteriapulley.errors import ResultCode, WeightsError, WireError
from wisteriapulley.errors import WisteriapulleyError as Error
from wisteriapulley.logs import fields
from wisteriapulley.statechart import StateChart
from wisteriapulley.weights.manifest import Manifest, Span
from wisteriapulley.weights.schedule import (
    ORIGIN,
    SLOW_PEER_BACKOFF_MS,
    Fetch,
    Schedule,
)
from wisteriapulley.wire import Link, messages

log = logging.getLogger(__name__)

# Turns at the origin and deadlines come with time; all else wakes the copy.
TICK_INTERVAL_S = 0.1
# A chunk of which no part comes for this long is asked elsewhere.
PART_TIMEOUT_S = 10.0
# How long neighbours may take to say what they hold before the origin is asked:
# an instance that restarts in a full fleet must not draw on the origin.
MAX_HAVE_WAIT_S = 1.0
# Progress of a copy is told to control in so many steps.
PROGRESS_STEPS = 20


def now_ms() -> float:
    """Read the monotonic clock in milliseconds."""
    return time.monotonic() * 1000


class ChunkDownload:
    """Fetches the missing chunks of one version.

    Parameters
    ----------
    swarm : Swarm
        Neighbours, sources and the chunk store.
    manifest : Manifest
        The version.
    distribution : str
        See `Schedule`.
    """

    def __init__(self, swarm, manifest: Manifest, distribution: str):
        self.swarm = swarm
        self.manifest = manifest
        self.version = manifest.digest
        self.chart = StateChart("copy")
        self.schedule = Schedule(
            swarm.seeders,
            [span.digest for span in manifest.spans],
            distribution,
            swarm.rank_delay_ms,
            random.Random(swarm.me.node_id + manifest.digest),
            now_ms(),
        )
        self.wake = asyncio.Event()
        self.fetch_tasks: dict[Fetch, asyncio.Task] = {}
        self.started_s = time.monotonic()
        self.queried_peers: set[str] = set()
        self.next_query_ms: dict[str, float] = {}
        self.bytes_done = 0
        self.last_error: WeightsError | None = None

    @property
    def reported_bytes(self) -> int:
        """Verified bytes, in steps: 820 instances report each step to control."""
        step = max(1, self.manifest.size // PROGRESS_STEPS)
        whole = self.bytes_done >= self.manifest.size
        return self.bytes_done if whole else self.bytes_done // step * step

    async def run(self) -> None:
        """Fetch until every chunk is here and verified."""
        self.chart.fire("start")
        try:
            await self.record_held_chunks()
            self.chart.fire("fetch")
            self.exchange_have()
            while not self.schedule.complete:
                self.start_fetches()
                await self.wait_for_event()
            self.chart.fire("complete")
        finally:
            self.close()
        self.swarm.publish_have(force=True)
        log.info("copy complete", extra=fields(**self.summary()))

    def close(self) -> None:
        """Stop every fetch; the chunks that are here stay."""
        for task in tuple(self.fetch_tasks.values()):
            task.cancel()
        if not self.schedule.complete:
            self.chart.fire("supersede")

    def summary(self) -> dict[str, object]:
        """Return what the log says of a complete copy."""
        return {
            "version": self.version,
            "seconds": round(time.monotonic() - self.started_s, 3),
            "finished_at": time.time(),
        }

    async def record_held_chunks(self) -> None:
        """Count chunks that are here already, verified."""
        for span in self.manifest.spans:
            if self.swarm.store.verify(span.digest):
                self.record_held(span)
                # Reading a scratch folder takes its time: let requests pass.
                await asyncio.sleep(0)

    def record_held(self, span: Span) -> None:
        """Count one verified chunk and its equals; cancel other fetches."""
        self.bytes_done += span.length
        for fetch in self.schedule.record_chunk(span.index, now_ms()):
            self.cancel_fetch(fetch)

    def cancel_fetch(self, fetch: Fetch) -> None:
        """Cancel a fetch."""
        task = self.fetch_tasks.pop(fetch, None)
        if task is not None:
            task.cancel()

    def exchange_have(self) -> None:
        """Tell the neighbours what is here and ask what they hold."""
        for link in self.swarm.open_links():
            link.post(self.swarm.have_message(self.version))
            self.query_have(link)

    def query_have(self, link: Link) -> None:
        """Ask a neighbour what it holds."""
        self.queried_peers.add(link.peer_id)
        link.post(messages.HaveQuery(self.version))

    async def wait_for_event(self) -> None:
        """Wait until something happens, or a tick."""
        try:
            async with asyncio.timeout(TICK_INTERVAL_S):
                await self.wake.wait()
        except TimeoutError:
            pass
        self.wake.clear()

    def start_fetches(self) -> None:
        """Start what the schedule says, and replace what is late."""
        now = now_ms()
        for fetch in self.schedule.expired_fetches(now):
            log.info("chunk %s from %s is late", fetch.index, fetch.source)
            self.cancel_fetch(fetch)
            self.schedule.record_failure(fetch, now)
            self.next_query_ms[fetch.source] = now + SLOW_PEER_BACKOFF_MS
        for node_id in [n for n, at in self.next_query_ms.items() if now >= at]:
            del self.next_query_ms[node_id]
            link = self.swarm.open_link(node_id)
            if link is not None:
                self.query_have(link)
        for fetch in self.schedule.next_fetches(now, self.can_ask_sources()):
            task = asyncio.get_running_loop().create_task(self.fetch(fetch))
            self.fetch_tasks[fetch] = task

    def can_ask_sources(self) -> bool:
        """Tell whether the neighbours have said what they hold."""
        late = time.monotonic() - self.started_s > MAX_HAVE_WAIT_S
        expected = self.swarm.expected_link_count()
        answered = (
            self.queried_peers
            <= self.schedule.held_by_peer.keys() | self.swarm.disconnected_peers
        )
        return late or (answered and len(self.queried_peers) >= expected)

    async def fetch(self, fetch: Fetch) -> None:
        """Fetch one chunk and keep it when it is verified."""
        span = self.manifest.spans[fetch.index]
        try:
            if fetch.source == ORIGIN:
                data = await self.swarm.fetch_from_sources(self.version, span)
            else:
                data = await self.fetch_from_peer(fetch.source, span)
            self.swarm.store.put(span.digest, data)
        except Error as error:
            self.record_failure(fetch, error)
        except Exception as error:
            # A fault of our own must not keep the chunk in flight for ever.
            log.exception("chunk %s from %s", fetch.index, fetch.source)
            self.record_failure(
                fetch, WeightsError(ResultCode.SOURCE_UNAVAILABLE, repr(error))
            )
        else:
            self.record_success(fetch, span)
        finally:
            self.fetch_tasks.pop(fetch, None)
            self.wake.set()

    def record_success(self, fetch: Fetch, span: Span) -> None:
        """Note a verified chunk."""
        if fetch.index in self.schedule.missing:
            self.bytes_done += span.length
            for other in self.schedule.record_success(fetch, now_ms()):
                self.cancel_fetch(other)
            self.last_error = None
            self.swarm.record_chunk(self.version, fetch.index)

    def record_failure(self, fetch: Fetch, error: Error) -> None:
        """Note a failed fetch."""
        log.debug("chunk %s from %s: %s", fetch.index, fetch.source, error)
        corrupted = error.code == ResultCode.CHUNK_CORRUPTED
        if corrupted:
            self.swarm.record_corrupted(fetch.source)
        if fetch.source == ORIGIN or error.code == ResultCode.CHUNK_STORE_FULL:
            self.last_error = error
        if fetch.source != ORIGIN and error.code == ResultCode.SOURCE_UNAVAILABLE:
            self.schedule.record_not_held(fetch, now_ms())
        else:
            self.schedule.record_failure(
                fetch, now_ms(), corrupted, error.retry_after_ms
            )

    async def fetch_from_peer(self, node_id: str, span: Span) -> bytes:
        """Fetch a chunk from a neighbour, part by part.

        Raises
        ------
        WireError
            The link closed, stalled, or sent parts that don't fit.
        """
        link = self.swarm.open_link(node_id)
        if link is None:
            raise WireError(ResultCode.LINK_CLOSED, node_id)
        call = link.call(messages.ChunkQuery(span.digest, self.version, span.index))
        whole = False
        try:
            data = await self.swarm.receive_parts(call, span.length, PART_TIMEOUT_S)
            whole = True
        finally:
            call.close()
            if not whole and not link.closed.is_set():
                link.post(messages.ChunkCancel(call.id))
        return data
