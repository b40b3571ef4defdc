"""Hands pieces of weights on from control instances, which have wide links.

Load: after a version is named, every sidecar wants every piece at once, and the
origin's link carries few copies. One instance next to the origin draws one copy;
the others take it from there, so that it crosses each region's border once; the
sidecars of a region take it from the instances of their region. Each of them says
which pieces it holds, so that nobody waits for one that can't be had yet.
"""

import asyncio
import contextlib
import logging
from collections.abc import Callable

from wisteriapulley.errors import ResultCode, WeightsError, WisteriapulleyError
from wisteriapulley.logs import fields
from wisteriapulley.weights.chunk_bitmap import pack_bitmap, unpack_bitmap
from wisteriapulley.weights.download import Download, PieceHolder
from wisteriapulley.weights.pieces import PieceManifest
from wisteriapulley.wire import Link, messages

log = logging.getLogger(__name__)

# Pieces that are asked for at the same time: fills a link of 10 Mbit/s with a
# few milliseconds of latency, and queues at most 130 kB on it.
MAX_PIECES_IN_FLIGHT = 4
# Pieces asked of another instance at the same time: twice what its link to the origin
# brings meanwhile. Its log and its news travel on the same connection, and wait behind
# 64 KiB for 39 ms at most on a link of 13.5 Mbit/s between regions.
MAX_PIECES_PER_LINK = 2
# A piece takes 26 ms on a link of 10 Mbit/s; past this time another source is
# asked.
PIECE_TIMEOUT_S = 0.8
# The origin's manifest may have to be asked for more than once.
MANIFEST_TIMEOUT_S = 3.0
# Whoever asks for a manifest that can't be had yet waits for it here so long: less
# than it waits for the answer.
MAX_MANIFEST_WAIT_S = 2.5
# An instance that holds no more pieces than were known answers after so long.
MAX_HELD_WAIT_MS = 1000
HELD_TIMEOUT_S = MAX_HELD_WAIT_MS / 1000 + PIECE_TIMEOUT_S
# Without a new piece for so long the origin itself is asked, one piece at a time, by
# an instance that else takes them from another: it may be cut off from that one, or
# that one from the origin. Far above a round through the instances between.
UPSTREAM_STALLED_AFTER_S = 2.5
# An instance that takes its pieces from another waits so long before it asks an origin
# again that gave none: the one that all others take theirs from finds it back first.
THROTTLED_RETRY_DELAY_S = 1.0
# The origin may hand out spoilt bytes and lose its connections.
MAX_ATTEMPTS = 8
# One more try costs a connection at most; the origin's return is found as soon.
RETRY_DELAY_S = 0.1
# After a round in which some could not be had, the missing ones are asked for again.
ROUND_RETRY_DELAY_S = 0.2
# Of so many tries one goes to the origin itself where another instance is to be
# asked: for one that is cut off from the origin alone.
ATTEMPTS_BEFORE_ORIGIN = 5
# A version in force and the one that follows it.
KEPT_VERSIONS = 2

PieceKey = tuple[str, int, int]


class LinkHolder:
    """Pieces from another control instance."""

    def __init__(self, link: Link):
        self.link = link
        self.name = link.peer_id
        self.key = link
        self.max_in_flight = MAX_PIECES_PER_LINK

    async def held_pieces(self, manifest: PieceManifest, known: int) -> frozenset[int]:
        """Ask which pieces it holds; see `download.PieceHolder`."""
        return await query_held_pieces(self.link, manifest, known)

    async def manifest(self, model: str, version: int) -> PieceManifest:
        """Ask for a manifest."""
        frame = await self.link.request(
            messages.ManifestQuery(model, version), MANIFEST_TIMEOUT_S
        )
        return manifest_from_reply(frame.message)

    async def piece(self, model: str, version: int, position: int) -> bytes:
        """Ask for a whole piece."""
        query = messages.PieceQuery(model, version, position)
        return (await self.link.request(query, PIECE_TIMEOUT_S)).body


class ThrottledHolder:
    """Another holder, asked for one piece at a time, and seldom while it gives none.

    Load: the origin is away while all instances wait for it. Harm prevented: at its
    return each of them draws the same pieces over one narrow link.
    """

    max_in_flight = 1

    def __init__(self, holder: PieceHolder):
        self.holder = holder
        self.name = holder.name
        self.key = (ThrottledHolder, holder.key)

    async def held_pieces(self, manifest: PieceManifest, known: int) -> frozenset[int]:
        """Return which pieces it holds; see `download.PieceHolder`."""
        return await self.holder.held_pieces(manifest, known)

    async def piece(self, model: str, version: int, position: int) -> bytes:
        """Return a piece, not verified."""
        try:
            return await self.holder.piece(model, version, position)
        except WisteriapulleyError:
            await asyncio.sleep(THROTTLED_RETRY_DELAY_S)
            raise


async def query_held_pieces(
    link: Link, manifest: PieceManifest, known: int
) -> frozenset[int]:
    """Ask over a link which pieces are held there, once they are more than known."""
    query = messages.HeldQuery(
        manifest.model, manifest.version, known, MAX_HELD_WAIT_MS
    )
    held: messages.Held = (await link.request(query, HELD_TIMEOUT_S)).message
    return frozenset(unpack_bitmap(held.bitmap, len(manifest.digests)))


def manifest_from_reply(reply: messages.ManifestReply) -> PieceManifest:
    """Read a manifest from the wire."""
    return PieceManifest(*reply)


def manifest_reply(manifest: PieceManifest) -> messages.ManifestReply:
    """Write a manifest for the wire."""
    return messages.ManifestReply(*manifest)


class Relay:
    """Pieces that one control instance holds in memory.

    Parameters
    ----------
    sources : callable
        Returns where to ask now, best first.
    """

    def __init__(self, sources: Callable[[], list[PieceHolder]]):
        self.sources = sources
        self.manifests: dict[tuple[str, int], PieceManifest] = {}
        self.pieces: dict[PieceKey, bytes] = {}
        self.piece_tasks: dict[PieceKey, asyncio.Task] = {}
        self.fetch_slots = asyncio.Semaphore(MAX_PIECES_IN_FLIGHT)
        self.prefetch_tasks: dict[str, tuple[int, asyncio.Task]] = {}
        self.manifest_tasks: dict[tuple[str, int], asyncio.Task] = {}
        # Set, and made anew, with each piece and each manifest that comes.
        self.changed = asyncio.Event()

    async def manifest(self, model: str, version: int) -> PieceManifest:
        """Return a manifest; callers that want the same one share the question."""
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
        """Ask for a manifest once, and keep it."""
        model, version = key
        manifest = await self.ask_sources_for_manifest(model, version)
        self.manifests[model, manifest.version] = manifest
        self.drop_superseded(model)
        self.notify_waiters()
        return manifest

    async def wait_manifest(self, model: str, version: int) -> PieceManifest:
        """Return a manifest, waiting for one that can't be had yet.

        Load: at the start of a fleet all sidecars and instances ask before the origin
        answers. Harm prevented: each refusal is followed by the next question, 6,275
        in the first four seconds of 70 instances.

        Raises
        ------
        WeightsError
            SOURCE_UNAVAILABLE: it did not come in time.
        """
        loop = asyncio.get_running_loop()
        until_s = loop.time() + MAX_MANIFEST_WAIT_S
        while True:
            try:
                return await self.manifest(model, version)
            except WisteriapulleyError:
                # Logged where it was asked.
                if loop.time() > until_s:
                    raise
            await asyncio.sleep(ROUND_RETRY_DELAY_S)

    async def ask_sources_for_manifest(self, model: str, version: int) -> PieceManifest:
        """Ask the sources in turn for a manifest."""
        failure: WisteriapulleyError | None = None
        for source in self.sources():
            try:
                return await source.manifest(model, version)
            except WisteriapulleyError as error:
                log.info("manifest not had: %s", error)
                failure = error
        raise failure or no_source_error(model)

    async def piece(self, model: str, version: int, position: int) -> bytes:
        """Return a verified piece; callers that want the same one share it."""
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
        """Fetch one piece until it fits its digest."""
        model, version, position = key
        manifest = await self.manifest(model, version)
        failure: WisteriapulleyError | None = None
        # The slot is kept over all tries: one that came bad would else queue
        # again behind all others, and those who wait for it would wait a second.
        async with self.fetch_slots:
            for attempt in range(MAX_ATTEMPTS):
                sources = self.sources()
                if not sources:
                    break
                source = choose_source(sources, attempt)
                try:
                    data = await source.piece(model, version, position)
                    self.store_piece(key, manifest.check(position, data))
                    return data
                except WisteriapulleyError as error:
                    log.info("piece not had: %s", error, extra=fields(code=error.code))
                    failure = error
                await asyncio.sleep(RETRY_DELAY_S if attempt else 0)
        raise failure or no_source_error(model)

    def prefetch(self, model: str, version: int) -> None:
        """Begin to fetch all pieces of a version, in place of an older one.

        Whoever asks for a manifest wants every piece: without this each piece
        would wait for its own way from the origin.
        """
        known_version, running = self.prefetch_tasks.get(model, (-1, None))
        if running is not None and not running.done():
            if known_version >= version:
                return
            running.cancel()
        task = asyncio.get_running_loop().create_task(self.fetch_all(model, version))
        self.prefetch_tasks[model] = (version, task)

    async def fetch_all(self, model: str, version: int) -> None:
        """Fetch all pieces, some at a time, until all are held.

        It ends when a newer version takes its place. One that gave up while the
        origin was away left each piece to be asked for by itself at its return.
        """
        while True:
            try:
                await self.fetch_missing(model, version)
                return
            except WisteriapulleyError as error:
                log.warning(
                    "weights not held yet: %s", error, extra=fields(code=error.code)
                )
            await asyncio.sleep(ROUND_RETRY_DELAY_S)

    async def fetch_missing(self, model: str, version: int) -> None:
        """Fetch all pieces from whoever holds them.

        Raises
        ------
        WisteriapulleyError
            There is no manifest to be had now.
        """
        manifest = await self.manifest(model, version)

        async def keep(position: int, data: bytes) -> None:
            self.store_piece((model, manifest.version, position), data)

        missing = set(range(len(manifest.digests))) - self.held_positions(manifest)
        download = Download(
            manifest, missing, self.holders, keep, MAX_PIECES_IN_FLIGHT, RETRY_DELAY_S
        )
        await download.run()
        log.info("weights held", extra=fields(model=model, version=version))

    def holders(self, stalled_s: float) -> list[PieceHolder]:
        """Return whom to ask for pieces: the origin only where nobody else is.

        Parameters
        ----------
        stalled_s : float
            Seconds since a piece last came.
        """
        sources = self.sources()
        if len(sources) < 2:
            return sources
        if stalled_s < UPSTREAM_STALLED_AFTER_S:
            return sources[:-1]
        return [*sources[:-1], ThrottledHolder(sources[-1])]

    # -- what is held ----------------------------------------------------

    def store_piece(self, key: PieceKey, data: bytes) -> None:
        """Keep a verified piece, and tell those that wait for more."""
        self.pieces[key] = data
        self.notify_waiters()

    def notify_waiters(self) -> None:
        """Let those that wait for more look again."""
        self.changed.set()
        self.changed = asyncio.Event()

    def held_positions(self, manifest: PieceManifest) -> set[int]:
        """Return which pieces of a version are held."""
        model, version = manifest.model, manifest.version
        positions = range(len(manifest.digests))
        return {n for n in positions if (model, version, n) in self.pieces}

    def held_message(self, model: str, version: int) -> messages.Held:
        """Return which pieces of a version are held."""
        manifest = self.manifests.get((model, version))
        if manifest is None:
            return messages.Held()
        total = len(manifest.digests)
        positions = self.held_positions(manifest)
        return messages.Held(len(positions), total, pack_bitmap(positions, total))

    async def wait_held(self, query: messages.HeldQuery) -> messages.Held:
        """Return which pieces are held once they are more than are known.

        Whoever asks wants them all, unless it only looks: they are fetched, but not
        in place of a newer version.
        """
        held = self.held_message(query.model, query.version)
        is_whole = held.total and held.pieces == held.total
        if not (is_whole or query.only_looks):
            self.prefetch(query.model, query.version)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(query.wait_ms / 1000):
                while held.pieces <= query.known:
                    await self.changed.wait()
                    held = self.held_message(query.model, query.version)
        return held

    def drop_superseded(self, model: str) -> None:
        """Keep the newest versions of a model only."""
        versions = sorted(v for m, v in self.manifests if m == model)
        for version in versions[:-KEPT_VERSIONS]:
            del self.manifests[model, version]
            for key in [k for k in self.pieces if k[:2] == (model, version)]:
                del self.pieces[key]

    def stop(self) -> None:
        """Stop fetching."""
        for _, task in self.prefetch_tasks.values():
            task.cancel()
        for task in (*self.piece_tasks.values(), *self.manifest_tasks.values()):
            task.cancel()


def choose_source(sources: list[PieceHolder], attempt: int) -> PieceHolder:
    """Choose whom to ask for a piece.

    Load: the origin is away while all instances draw from it through one another.
    Harm prevented: when each one that waits asks the origin itself, they all do so
    at its return, and share a link that carries few copies: the first engine had its
    copy 5.0 s after the return, 2.4 s with this rule (one replay each, 46 engines).

    Parameters
    ----------
    sources : list of PieceHolder
        Best first; the last one is the origin.
    attempt : int
        Tries for this piece so far.
    """
    asks_origin = attempt % (ATTEMPTS_BEFORE_ORIGIN + 1) == ATTEMPTS_BEFORE_ORIGIN
    return sources[-1] if asks_origin else sources[0]


def no_source_error(model: str) -> WeightsError:
    """Make the error for want of any source."""
    return WeightsError(
        ResultCode.SOURCE_UNAVAILABLE, f"{model}: no source of its weights is known"
    )
