"""Download of one version to this instance."""

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

# Rank delays and deadlines pass without an event; everything else wakes the download.
TICK_INTERVAL_S = 0.1
# After this long without a part, a chunk is requested from another source.
PART_TIMEOUT_S = 10.0
# How long to wait for neighbours to announce their chunks before the origin is asked:
# an instance that restarts among complete neighbours must not draw on the origin.
MAX_HAVE_WAIT_S = 1.0
# Number of steps in which progress is reported to the control instances.
PROGRESS_STEPS = 20


def now_ms() -> float:
    """Return the monotonic clock in milliseconds."""
    return time.monotonic() * 1000


class ChunkDownload:
    """Fetch the missing chunks of one version.

    Parameters
    ----------
    swarm : Swarm
        Provides neighbours, sources and the chunk store.
    manifest : Manifest
        Manifest of the version.
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
        """Verified bytes, rounded down to a progress step.

        Steps bound the number of reports: 820 instances report each change of this
        value to the control instances.
        """
        step_bytes = max(1, self.manifest.size // PROGRESS_STEPS)
        complete = self.bytes_done >= self.manifest.size
        return (
            self.bytes_done if complete else self.bytes_done // step_bytes * step_bytes
        )

    async def run(self) -> None:
        """Fetch until every chunk is held and verified."""
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
        self.swarm.publish_have(announce_all=True)
        log.info("copy complete", extra=fields(**self.summary()))

    def close(self) -> None:
        """Cancel every fetch; chunks that are held are kept."""
        for task in tuple(self.fetch_tasks.values()):
            task.cancel()
        if not self.schedule.complete:
            self.chart.fire("supersede")

    def summary(self) -> dict[str, object]:
        """Return the log fields of a complete download."""
        return {
            "version": self.version,
            "seconds": round(time.monotonic() - self.started_s, 3),
            "finished_at": time.time(),
        }

    async def record_held_chunks(self) -> None:
        """Verify and record the chunks that the store already holds."""
        for span in self.manifest.spans:
            if self.swarm.store.verify(span.digest):
                self.record_held(span)
                # Reading a scratch folder takes long: let live requests run.
                await asyncio.sleep(0)

    def record_held(self, span: Span) -> None:
        """Record a verified chunk and cancel its remaining fetches."""
        self.bytes_done += span.length
        for fetch in self.schedule.record_chunk(span.index, now_ms()):
            self.cancel_fetch(fetch)

    def cancel_fetch(self, fetch: Fetch) -> None:
        """Cancel a fetch that is in flight."""
        task = self.fetch_tasks.pop(fetch, None)
        if task is not None:
            task.cancel()

    def exchange_have(self) -> None:
        """Announce the held chunks to the neighbours, and query theirs."""
        for link in self.swarm.open_links():
            link.post(self.swarm.have_message(self.version))
            self.query_have(link)

    def query_have(self, link: Link) -> None:
        """Query which chunks a neighbour holds."""
        self.queried_peers.add(link.peer_id)
        link.post(messages.HaveQuery(self.version))

    async def wait_for_event(self) -> None:
        """Wait for an event, at most one tick."""
        try:
            async with asyncio.timeout(TICK_INTERVAL_S):
                await self.wake.wait()
        except TimeoutError:
            pass
        self.wake.clear()

    def start_fetches(self) -> None:
        """Start the fetches that the schedule returns, and replace expired ones."""
        now = now_ms()
        for fetch in self.schedule.expired_fetches(now):
            log.info("chunk %s from %s missed its deadline", fetch.index, fetch.source)
            self.cancel_fetch(fetch)
            self.schedule.record_failure(fetch, now)
            self.next_query_ms[fetch.source] = now + SLOW_PEER_BACKOFF_MS
        for node_id in [n for n, due_ms in self.next_query_ms.items() if now >= due_ms]:
            del self.next_query_ms[node_id]
            link = self.swarm.open_link(node_id)
            if link is not None:
                self.query_have(link)
        for fetch in self.schedule.next_fetches(now, self.can_ask_sources()):
            task = asyncio.get_running_loop().create_task(self.fetch(fetch))
            self.fetch_tasks[fetch] = task

    def can_ask_sources(self) -> bool:
        """Return whether sources may be asked.

        That is once all expected neighbours have announced their chunks, or after
        `MAX_HAVE_WAIT_S`.
        """
        waited_enough = time.monotonic() - self.started_s > MAX_HAVE_WAIT_S
        expected = self.swarm.expected_link_count()
        answered = (
            self.queried_peers
            <= self.schedule.held_by_peer.keys() | self.swarm.disconnected_peers
        )
        return waited_enough or (answered and len(self.queried_peers) >= expected)

    async def fetch(self, fetch: Fetch) -> None:
        """Fetch one chunk, and store it if its digest matches."""
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
            # A bug must not leave the chunk in flight forever.
            log.exception(
                "unexpected error in the fetch of chunk %s from %s",
                fetch.index,
                fetch.source,
            )
            self.record_failure(
                fetch, WeightsError(ResultCode.SOURCE_UNAVAILABLE, repr(error))
            )
        else:
            self.record_success(fetch, span)
        finally:
            self.fetch_tasks.pop(fetch, None)
            self.wake.set()

    def record_success(self, fetch: Fetch, span: Span) -> None:
        """Record a fetched and verified chunk."""
        if fetch.index in self.schedule.missing:
            self.bytes_done += span.length
            for other in self.schedule.record_success(fetch, now_ms()):
                self.cancel_fetch(other)
            self.last_error = None
            self.swarm.record_chunk(self.version, fetch.index)

    def record_failure(self, fetch: Fetch, error: Error) -> None:
        """Record a failed fetch."""
        log.debug(
            "could not fetch chunk %s from %s: %s", fetch.index, fetch.source, error
        )
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
        """Fetch a chunk from a neighbour in parts.

        Raises
        ------
        WireError
            The link closed or stalled, or a part has an unexpected offset or length.
        """
        link = self.swarm.open_link(node_id)
        if link is None:
            raise WireError(ResultCode.LINK_CLOSED, f"no open link to {node_id}")
        call = link.call(messages.ChunkQuery(span.digest, self.version, span.index))
        complete = False
        try:
            data = await self.swarm.receive_parts(call, span.length, PART_TIMEOUT_S)
            complete = True
        finally:
            call.close()
            if not complete and not link.closed.is_set():
                link.post(messages.ChunkCancel(call.id))
        return data
