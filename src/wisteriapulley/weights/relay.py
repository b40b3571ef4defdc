"""Relay of weight pieces through control instances, which have fast links.

When an operator sets a new desired version, every sidecar requests every piece at
once, but the origin's link carries only a few copies. So one control instance near
the origin downloads one copy, and the other control instances fetch it from there,
so that it crosses each region's border once. The sidecars of a region fetch from the
control instances of their region. Each of these reports which pieces it holds, so
that nobody waits for a piece that is not available yet.
"""

import asyncio
import contextlib
import itertools
import logging
from collections.abc import Callable

from wisteriapulley.clocks import steady_s
from wisteriapulley.errors import ResultCode, WeightsError, WisteriapulleyError
from wisteriapulley.logs import fields
from wisteriapulley.weights.chunk_bitmap import pack_bitmap, unpack_bitmap
from wisteriapulley.weights.download import Download, PieceHolder
from wisteriapulley.weights.fetch_order import VersionFetch
from wisteriapulley.weights.pieces import PieceManifest
from wisteriapulley.wire import Link, messages

log = logging.getLogger(__name__)

# Pieces in flight from one source to this instance: they fill a link of 10 Mbit/s with
# a few milliseconds of latency, and queue at most 130 kB on it.
MAX_PIECES_IN_FLIGHT = 4
# Pieces in flight over a link to another control instance: twice what the link of that
# upstream instance to the origin delivers while they are in flight. Log records and
# state updates share the connection; behind 64 KiB they wait at most 39 ms on a link of
# 13.5 Mbit/s between regions.
MAX_PIECES_PER_LINK = 2
# A piece takes 26 ms on a link of 10 Mbit/s; after this time-out another source is
# asked.
PIECE_TIMEOUT_S = 0.8
# Time limit of a manifest request to another instance: leaves it time for more than one
# request to the origin.
MANIFEST_TIMEOUT_S = 3.0
# How long a request waits here for a manifest that is not available yet; shorter than
# the caller's time-out.
MAX_MANIFEST_WAIT_S = 2.5
# An instance without new pieces replies to a `HeldQuery` after this time.
MAX_HELD_WAIT_MS = 1000
HELD_TIMEOUT_S = MAX_HELD_WAIT_MS / 1000 + PIECE_TIMEOUT_S
# Without a new piece for this long, an instance that fetches from another instance
# also asks the origin, one piece at a time: it may be cut off from its upstream, or the
# upstream from the origin. Far longer than a round trip through the instances between.
UPSTREAM_STALLED_AFTER_S = 2.5
# Delay of a `ThrottledHolder` after a failure, so that the instance that all others
# fetch from is the first to detect that the origin has recovered.
THROTTLED_RETRY_DELAY_S = 1.0
# Attempts for one piece: the origin may send corrupted bytes and drop connections.
MAX_ATTEMPTS = 8
# Delay before a retry. A retry costs at most one connection, and a short delay detects
# the origin's recovery early.
RETRY_DELAY_S = 0.1
# Delay before the missing pieces are requested again after a failed round.
ROUND_RETRY_DELAY_S = 0.2
# After this many attempts at the upstream instance, one goes to the origin itself, in
# case the upstream alone is cut off from the origin.
ATTEMPTS_BEFORE_ORIGIN = 5
# Versions of a model that are kept: the newest and the one that it supersedes.
KEPT_VERSIONS = 2
# Complete versions that are kept beside them, and how long after they were superseded:
# engines finish some of them when versions are named faster than one is downloaded.
KEPT_COMPLETE_VERSIONS = 3
KEPT_COMPLETE_S = 8.0
# A superseded version is checked this often for whether its fetch still goes on.
FETCH_CHECK_S = 0.1

PieceKey = tuple[str, int, int]


class LinkHolder:
    """Pieces held by another control instance, fetched over a link."""

    def __init__(self, link: Link):
        self.link = link
        self.name = link.peer_id
        self.key = link
        self.max_in_flight = MAX_PIECES_PER_LINK

    async def held_pieces(self, manifest: PieceManifest, known: int) -> frozenset[int]:
        """Return the pieces that it holds; see `download.PieceHolder`."""
        return await query_held_pieces(self.link, manifest, known)

    async def manifest(self, model: str, version: int) -> PieceManifest:
        """Request a manifest."""
        frame = await self.link.request(
            messages.ManifestQuery(model, version), MANIFEST_TIMEOUT_S
        )
        return manifest_from_reply(frame.message)

    async def piece(self, model: str, version: int, position: int, size: int) -> bytes:
        """Request a whole piece; frames bound its size."""
        query = messages.PieceQuery(model, version, position)
        return (await self.link.request(query, PIECE_TIMEOUT_S)).body


class ThrottledHolder:
    """Limit requests to another holder.

    Requests go out one at a time, with a delay after each failure. Without this limit,
    when the origin has been unreachable and recovers, each instance that waits for it
    would download the same pieces over one slow link.
    """

    max_in_flight = 1

    def __init__(self, holder: PieceHolder):
        self.holder = holder
        self.name = holder.name
        self.key = (ThrottledHolder, holder.key)

    async def held_pieces(self, manifest: PieceManifest, known: int) -> frozenset[int]:
        """Return the pieces that the holder has; see `download.PieceHolder`."""
        return await self.holder.held_pieces(manifest, known)

    async def piece(self, model: str, version: int, position: int, size: int) -> bytes:
        """Return a piece, not verified; after a failure, delay the error."""
        try:
            return await self.holder.piece(model, version, position, size)
        except WisteriapulleyError:
            await asyncio.sleep(THROTTLED_RETRY_DELAY_S)
            raise


async def query_held_pieces(
    link: Link, manifest: PieceManifest, known: int
) -> frozenset[int]:
    """Return the pieces held at the other end of a link.

    The reply comes once there are more than `known` pieces, or after
    `MAX_HELD_WAIT_MS`.
    """
    query = messages.HeldQuery(
        manifest.model, manifest.version, known, MAX_HELD_WAIT_MS
    )
    held: messages.Held = (await link.request(query, HELD_TIMEOUT_S)).message
    return frozenset(unpack_bitmap(held.bitmap, len(manifest.digests)))


def manifest_from_reply(reply: messages.ManifestReply) -> PieceManifest:
    """Convert a wire message to a manifest."""
    return PieceManifest(*reply)


def manifest_reply(manifest: PieceManifest) -> messages.ManifestReply:
    """Convert a manifest to a wire message."""
    return messages.ManifestReply(*manifest)


class Relay:
    """Fetch pieces once and serve them from the memory of one control instance.

    Parameters
    ----------
    sources : callable
        Returns the sources to ask now, best first.
    """

    def __init__(self, sources: Callable[[], list[PieceHolder]]):
        self.sources = sources
        self.manifests: dict[tuple[str, int], PieceManifest] = {}
        self.manifest_times_s: dict[tuple[str, int], float] = {}
        self.pieces: dict[PieceKey, bytes] = {}
        self.piece_tasks: dict[PieceKey, asyncio.Task] = {}
        self.fetch_slots = asyncio.Semaphore(MAX_PIECES_IN_FLIGHT)
        self.prefetch_tasks: dict[str, tuple[int, asyncio.Task]] = {}
        self.fetches: dict[str, VersionFetch] = {}
        # The newest version of each model whose fetch has to wait, and when it was
        # requested.
        self.waiting: dict[str, tuple[int, float]] = {}
        self.manifest_tasks: dict[tuple[str, int], asyncio.Task] = {}
        # Set and replaced by a new event when a piece or a manifest arrives.
        self.changed = asyncio.Event()

    async def manifest(self, model: str, version: int) -> PieceManifest:
        """Return a manifest; concurrent callers share one request."""
        manifest = self.manifests.get((model, version))
        if manifest is not None:
            return manifest
        key = (model, version)
        task = self.manifest_tasks.get(key)
        if task is None:
            task = asyncio.get_running_loop().create_task(self.fetch_manifest(key))
            self.manifest_tasks[key] = task
            task.add_done_callback(lambda _: self.manifest_tasks.pop(key, None))
        return await asyncio.shield(task)

    async def fetch_manifest(self, key: tuple[str, int]) -> PieceManifest:
        """Fetch a manifest from the sources and store it."""
        model, version = key
        manifest = await self.ask_sources_for_manifest(model, version)
        self.manifests[model, manifest.version] = manifest
        self.manifest_times_s.setdefault((model, manifest.version), steady_s())
        self.drop_superseded(model)
        self.notify_waiters()
        return manifest

    async def wait_manifest(self, model: str, version: int) -> PieceManifest:
        """Return a manifest, waiting for one that is not available yet.

        When a fleet starts, all sidecars and control instances ask before the origin
        answers. Without the wait, callers retry after each error: 70 instances send
        6,275 requests in the first four seconds.

        Raises
        ------
        WeightsError
            SOURCE_UNAVAILABLE: the manifest did not arrive in time.
        """
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + MAX_MANIFEST_WAIT_S
        while True:
            try:
                return await self.manifest(model, version)
            except WisteriapulleyError:
                # Already logged by `ask_sources_for_manifest`.
                if loop.time() > deadline_s:
                    raise
            await asyncio.sleep(ROUND_RETRY_DELAY_S)

    async def ask_sources_for_manifest(self, model: str, version: int) -> PieceManifest:
        """Request a manifest from one source after another."""
        failure: WisteriapulleyError | None = None
        for source in self.sources():
            try:
                return await source.manifest(model, version)
            except WisteriapulleyError as error:
                log.info("could not fetch manifest: %s", error)
                failure = error
        raise failure or no_source_error(model)

    async def piece(self, model: str, version: int, position: int) -> bytes:
        """Return a verified piece; concurrent callers share one fetch."""
        key = (model, version, position)
        data = self.pieces.get(key)
        if data is not None:
            return data
        task = self.piece_tasks.get(key)
        if task is None:
            task = asyncio.get_running_loop().create_task(self.fetch_piece(key))
            self.piece_tasks[key] = task
            task.add_done_callback(lambda _: self.piece_tasks.pop(key, None))
        return await asyncio.shield(task)

    async def fetch_piece(self, key: PieceKey) -> bytes:
        """Fetch one piece, retrying until it matches its digest."""
        model, version, position = key
        manifest = await self.manifest(model, version)
        failure: WisteriapulleyError | None = None
        # The slot is held over all attempts: otherwise a piece that arrived corrupted
        # would queue again behind all others and delay its callers by a second.
        async with self.fetch_slots:
            for attempt in range(MAX_ATTEMPTS):
                sources = self.sources()
                if not sources:
                    break
                source = choose_source(sources, attempt)
                try:
                    data = await source.piece(
                        model, version, position, manifest.chunk_bytes
                    )
                    self.store_piece(key, manifest.check(position, data))
                    return data
                except WisteriapulleyError as error:
                    log.info(
                        "could not fetch piece: %s",
                        error,
                        extra=fields(code=error.code),
                    )
                    failure = error
                await asyncio.sleep(RETRY_DELAY_S if attempt else 0)
        raise failure or no_source_error(model)

    def prefetch(self, model: str, version: int) -> None:
        """Start to fetch all pieces of a version, after an older one or instead of it.

        A caller that asks for a manifest will request every piece; without the
        prefetch, each piece would be fetched from the origin only on request.
        """
        now_s = steady_s()
        known_version, running_task = self.prefetch_tasks.get(model, (-1, None))
        if running_task is None or running_task.done():
            self.start_fetch(model, version, now_s)
            return
        waiting_version, _ = self.waiting.get(model, (known_version, 0.0))
        if version <= waiting_version:
            return
        self.waiting[model] = (version, now_s)
        self.fetches[model].supersede(now_s)
        self.advance_fetch(model)

    def start_fetch(self, model: str, version: int, named_s: float) -> None:
        """Start to fetch all pieces of a version."""
        waited = self.waiting.pop(model, None) is not None
        older, running_task = self.prefetch_tasks.get(model, (-1, None))
        has_given_up = waited and self.fetches[model].has_given_up
        if running_task is not None and not running_task.done():
            running_task.cancel()
            has_given_up = True
            given_up = fields(model=model, version=older, newer=version)
            log.info("fetch of weights given up", extra=given_up)
        self.fetches[model] = VersionFetch(version, named_s, steady_s(), has_given_up)
        task = asyncio.get_running_loop().create_task(self.fetch_all(model, version))
        self.prefetch_tasks[model] = (version, task)
        task.add_done_callback(lambda _: self.advance_fetch(model))

    def advance_fetch(self, model: str) -> None:
        """Go on to the waiting version, unless the running fetch is worth its end."""
        if model not in self.waiting:
            return
        version, task = self.prefetch_tasks[model]
        if not task.done():
            fraction = self.held_fraction(model, version)
            if self.fetches[model].is_worth_finishing(fraction, steady_s()):
                loop = asyncio.get_running_loop()
                loop.call_later(FETCH_CHECK_S, self.advance_fetch, model)
                return
        self.start_fetch(model, *self.waiting[model])

    def held_fraction(self, model: str, version: int) -> float:
        """Return the fraction of a version that is held."""
        manifest = self.manifests.get((model, version))
        if manifest is None:
            return 0.0
        return len(self.held_positions(manifest)) / max(1, len(manifest.digests))

    async def fetch_all(self, model: str, version: int) -> None:
        """Fetch all pieces of a version, retrying until all are held.

        The task is cancelled when a newer version takes its place. It does not
        give up while the origin is unreachable: otherwise each piece would have to
        be requested on its own after the origin recovers.
        """
        while True:
            try:
                await self.fetch_missing(model, version)
                return
            except WisteriapulleyError as error:
                log.warning(
                    "could not fetch weights, retrying: %s",
                    error,
                    extra=fields(code=error.code),
                )
            await asyncio.sleep(ROUND_RETRY_DELAY_S)

    async def fetch_missing(self, model: str, version: int) -> None:
        """Fetch all missing pieces from their holders.

        Raises
        ------
        WisteriapulleyError
            No source returns the manifest now.
        """
        manifest = await self.manifest(model, version)

        async def store(position: int, data: bytes) -> None:
            self.store_piece((model, manifest.version, position), data)
            self.record_progress(model, manifest.version)

        missing = set(range(len(manifest.digests))) - self.held_positions(manifest)
        download = Download(
            manifest, missing, self.holders, store, MAX_PIECES_IN_FLIGHT, RETRY_DELAY_S
        )
        await download.run()
        log.info("weights held", extra=fields(model=model, version=version))

    def holders(self, stalled_s: float) -> list[PieceHolder]:
        """Return the holders to ask for pieces.

        The origin is included only if it is the sole source or the download has
        stalled.

        Parameters
        ----------
        stalled_s : float
            Seconds since the last piece arrived.
        """
        sources = self.sources()
        if len(sources) < 2:
            return sources
        if stalled_s < UPSTREAM_STALLED_AFTER_S:
            return sources[:-1]
        return [*sources[:-1], ThrottledHolder(sources[-1])]

    def record_progress(self, model: str, version: int) -> None:
        """Record that a piece of a version arrived."""
        fetch = self.fetches.get(model)
        if fetch is not None and fetch.version == version:
            fetch.progress_s = steady_s()

    # -- held pieces -----------------------------------------------------

    def store_piece(self, key: PieceKey, data: bytes) -> None:
        """Store a verified piece and wake the waiters."""
        self.pieces[key] = data
        self.notify_waiters()

    def notify_waiters(self) -> None:
        """Wake all tasks that wait for a piece or a manifest."""
        self.changed.set()
        self.changed = asyncio.Event()

    def held_positions(self, manifest: PieceManifest) -> set[int]:
        """Return the positions of the held pieces of a version."""
        model, version = manifest.model, manifest.version
        positions = range(len(manifest.digests))
        return {n for n in positions if (model, version, n) in self.pieces}

    def held_message(self, model: str, version: int) -> messages.Held:
        """Return the message that lists the held pieces of a version."""
        manifest = self.manifests.get((model, version))
        if manifest is None:
            return messages.Held()
        total = len(manifest.digests)
        positions = self.held_positions(manifest)
        return messages.Held(len(positions), total, pack_bitmap(positions, total))

    async def wait_held(self, query: messages.HeldQuery) -> messages.Held:
        """Return the held pieces once there are more than the sender already knows.

        Also starts to fetch the version, because the sender will need all pieces,
        unless the query sets `only_looks`. The fetch of a newer version goes on.
        """
        held = self.held_message(query.model, query.version)
        is_complete = held.total and held.pieces == held.total
        if not (is_complete or query.only_looks):
            self.prefetch(query.model, query.version)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(query.wait_ms / 1000):
                while held.pieces <= query.known:
                    await self.changed.wait()
                    held = self.held_message(query.model, query.version)
        return held

    def drop_superseded(self, model: str) -> None:
        """Drop all versions of a model but those that are still needed."""
        versions = sorted(v for m, v in self.manifests if m == model)
        kept = self.kept_versions(model, versions)
        for version in set(versions) - kept:
            del self.manifests[model, version]
            del self.manifest_times_s[model, version]
            for key in [k for k in self.pieces if k[:2] == (model, version)]:
                del self.pieces[key]

    def kept_versions(self, model: str, versions: list[int]) -> set[int]:
        """Return the versions to keep.

        Parameters
        ----------
        model : str
            The model.
        versions : list of int
            Known versions, newest last.
        """
        fetched, _ = self.prefetch_tasks.get(model, (-1, None))
        since_s = steady_s() - KEPT_COMPLETE_S
        complete = [
            older
            for older, newer in itertools.pairwise(versions)
            if self.manifest_times_s[model, newer] >= since_s
            and self.held_fraction(model, older) == 1
        ]
        newest = versions[-KEPT_VERSIONS:]
        return {fetched, *newest, *complete[-KEPT_COMPLETE_VERSIONS:]}

    def stop(self) -> None:
        """Cancel all fetches."""
        self.waiting.clear()
        for _, task in self.prefetch_tasks.values():
            task.cancel()
        for task in (*self.piece_tasks.values(), *self.manifest_tasks.values()):
            task.cancel()


def choose_source(sources: list[PieceHolder], attempt: int) -> PieceHolder:
    """Choose the source to ask for a piece.

    While the origin is unreachable, all instances that fetch through one another wait
    for it. If each of them asked the origin itself, all would do so as soon as it
    recovers, and share a link that carries few copies: with 46 engines, the first
    complete copy then takes 5.0 s from the recovery, against 2.4 s with this rule.

    Parameters
    ----------
    sources : list of PieceHolder
        Best first; the last one is the origin.
    attempt : int
        Number of attempts for this piece so far.
    """
    asks_origin = attempt % (ATTEMPTS_BEFORE_ORIGIN + 1) == ATTEMPTS_BEFORE_ORIGIN
    return sources[-1] if asks_origin else sources[0]


def no_source_error(model: str) -> WeightsError:
    """Return the error for a model without a source."""
    return WeightsError(
        ResultCode.SOURCE_UNAVAILABLE,
        f"{model}: no source of weights is known for this model",
    )
