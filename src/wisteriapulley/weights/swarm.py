"""Copies one version from neighbours and the origin, as the schedule says."""

import asyncio
import logging
import random
import time

from wisteriapulley.errors import ResultCode, WeightsError, WireError
from wisteriapulley.errors import WisteriapulleyError as Error
from wisteriapulley.statechart import StateChart
from wisteriapulley.weights.chunk_store import ChunkStore
from wisteriapulley.weights.manifest import Manifest
from wisteriapulley.weights.schedule import ORIGIN, Fetch, Peer, Schedule
from wisteriapulley.weights.source import HttpSource
from wisteriapulley.wire import Frame, Link, messages

log = logging.getLogger(__name__)

FETCH_S = 20.0
TELL_EVERY_S = 0.05
POLL_S = 0.02
RETRY_S = 0.5


def now_ms() -> float:
    """Read the monotonic clock in milliseconds."""
    return time.monotonic() * 1000


def pack_bitmap(indexes: set[int], length: int) -> bytes:
    """Pack chunk indexes into a bitmap, lowest bit first."""
    bits = bytearray((length + 7) // 8)
    for index in indexes:
        bits[index >> 3] |= 1 << (index & 7)
    return bytes(bits)


def unpack_bitmap(bitmap: bytes, length: int) -> set[int]:
    """Unpack a bitmap into chunk indexes below `length`."""
    size = min(length, len(bitmap) * 8)
    return {i for i in range(size) if bitmap[i >> 3] >> (i & 7) & 1}


class Copy:
    """One version on its way to this instance."""

    def __init__(self, manifest: Manifest, schedule: Schedule):
        self.manifest = manifest
        self.schedule = schedule
        self.chart = StateChart("copy")

    @property
    def bytes_done(self) -> int:
        """Verified bytes."""
        missing = self.schedule.missing
        return sum(s.length for s in self.manifest.spans if s.index not in missing)


class Swarm:
    """Chunks of this instance, and its neighbours.

    Parameters
    ----------
    me : Peer
        This instance.
    store : ChunkStore
        Verified chunks.
    sources : list of HttpSource
        Origin first, then the weight store.
    patience_ms : float
        See `Schedule`.
    """

    def __init__(
        self, me: Peer, store: ChunkStore, sources: list[HttpSource], patience_ms: float
    ):
        self.me = me
        self.store = store
        self.sources = sources
        self.patience_ms = patience_ms
        self.manifests: dict[str, Manifest] = {}
        self.links: dict[str, Link] = {}
        self.members: list[Peer] = []
        self.copy: Copy | None = None
        self.tasks: set[asyncio.Task] = set()
        self.told_s = 0.0
        self.corrupted_from: dict[str, int] = {}

    # -- serving ---------------------------------------------------------

    def add_link(self, link: Link) -> None:
        """Take a neighbour's link in, and tell what is here."""
        self.links[link.peer_id] = link
        for version in self.manifests:
            link.post(self.have(version))
        if self.copy is not None:
            link.post(messages.HaveQuery(self.copy.manifest.digest))

    def drop_link(self, link: Link) -> None:
        """Forget a neighbour whose link closed."""
        if self.links.get(link.peer_id) is link:
            del self.links[link.peer_id]
            if self.copy is not None:
                self.copy.schedule.drop_peer(link.peer_id)

    def have(self, version: str) -> messages.Have:
        """Say which chunks of a version are here."""
        manifest = self.manifests[version]
        held = {s.index for s in manifest.spans if s.digest in self.store}
        count = len(manifest.spans)
        return messages.Have(
            version, pack_bitmap(held, count), len(held) == count, count
        )

    def receive_have(self, link: Link, message: messages.Have) -> None:
        """Note what a neighbour holds."""
        copy = self.copy
        if copy is not None and copy.manifest.digest == message.version:
            count = len(copy.manifest.spans)
            indexes = unpack_bitmap(message.bitmap, count)
            copy.schedule.set_have(link.peer_id, indexes)

    def receive_query(
        self, link: Link, message: messages.HaveQuery, frame: Frame
    ) -> None:
        """Tell a neighbour what is here."""
        if message.version in self.manifests:
            link.post(self.have(message.version))

    async def receive_chunk_query(
        self, link: Link, message: messages.ChunkQuery, frame: Frame
    ) -> None:
        """Send a chunk, or a manifest when the digest is the version."""
        data = self.store.get(message.digest)
        manifest = self.manifests.get(message.version)
        if message.digest == message.version and manifest is not None:
            data = manifest.to_bytes()
        if data is None:
            raise WeightsError(ResultCode.SOURCE_UNAVAILABLE, "chunk is not here")
        link.post(messages.Chunk(message.digest), reply_to=frame.id, body=data)
        await link.drain()

    def tell(self, force: bool = False) -> None:
        """Tell neighbours what is here, not more often than needed."""
        now_s = time.monotonic()
        if self.copy is None or (not force and now_s - self.told_s < TELL_EVERY_S):
            return
        self.told_s = now_s
        have = self.have(self.copy.manifest.digest)
        for link in tuple(self.links.values()):
            if not link.closed.is_set():
                link.post(have)

    # -- copying ---------------------------------------------------------

    def set_members(self, members: list[Peer]) -> None:
        """Note who takes part."""
        self.members = members
        if self.copy is not None:
            self.copy.schedule.set_members(members)

    async def fetch_manifest(self, version: str) -> Manifest:
        """Get the manifest from a neighbour, else from a source."""
        query = messages.ChunkQuery(version, version)
        for link in tuple(self.links.values()):
            try:
                frame = await link.request(query, FETCH_S)
                return Manifest.from_bytes(frame.body, version)
            except Error as error:
                log.debug("manifest from %s: %s", link.peer_id, error)
        errors = []
        for source in self.sources:
            try:
                return await source.manifest(version)
            except WeightsError as error:
                errors.append(error)
        raise errors[0]

    async def fetch_version(self, version: str, distribution: str) -> Manifest:
        """Copy a version whole.

        Returns
        -------
        Manifest
            Every chunk of it is in the store, verified.
        """
        manifest = self.manifests.get(version)
        while manifest is None:
            try:
                manifest = await self.fetch_manifest(version)
            except WeightsError as error:
                log.warning("manifest %s: %s", version, error)
                await asyncio.sleep(RETRY_S)
        self.manifests[version] = manifest
        self.begin(manifest, distribution)
        copy = self.copy
        while not copy.schedule.complete:
            for fetch in copy.schedule.next_fetches(now_ms()):
                self.spawn(self.fetch(copy, fetch))
            await asyncio.sleep(POLL_S)
        self.tell(force=True)
        return manifest

    def begin(self, manifest: Manifest, distribution: str) -> None:
        """Start the copy of a version; chunks already here count."""
        digests = [span.digest for span in manifest.spans]
        schedule = Schedule(
            self.me,
            digests,
            distribution,
            self.patience_ms,
            random.Random(self.me.node_id + manifest.digest),
            now_ms(),
        )
        schedule.set_members(self.members)
        for span in manifest.spans:
            if span.digest in self.store:
                schedule.done(span.index)
        self.copy = Copy(manifest, schedule)
        for link in tuple(self.links.values()):
            if not link.closed.is_set():
                link.post(self.have(manifest.digest))
                link.post(messages.HaveQuery(manifest.digest))

    def spawn(self, coroutine) -> None:
        """Run a fetch beside the others."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def fetch(self, copy: Copy, fetch: Fetch) -> None:
        """Fetch one chunk, verify it and tell the neighbours."""
        span = copy.manifest.spans[fetch.index]
        try:
            if fetch.source == ORIGIN:
                data = await self.fetch_source(copy.manifest.digest, span)
            else:
                data = await self.fetch_peer(copy.manifest.digest, span, fetch.source)
            self.store.put(span.digest, data)
        except Error as error:
            corrupted = error.code == ResultCode.CHUNK_CORRUPTED
            if corrupted:
                count = self.corrupted_from.get(fetch.source, 0)
                self.corrupted_from[fetch.source] = count + 1
            log.debug("chunk %s from %s: %s", span.index, fetch.source, error)
            await asyncio.sleep(error.retry_after_ms / 1000)
            copy.schedule.failed(fetch, corrupted)
            return
        copy.schedule.done(fetch.index)
        self.tell()

    async def fetch_source(self, version: str, span) -> bytes:
        """Fetch a chunk from the origin, or else from the store."""
        for source in self.sources[:-1]:
            try:
                return await source.chunk(version, span)
            except WeightsError as error:
                log.debug("source: %s", error)
        return await self.sources[-1].chunk(version, span)

    async def fetch_peer(self, version: str, span, node_id: str) -> bytes:
        """Fetch a chunk from a neighbour."""
        link = self.links.get(node_id)
        if link is None:
            raise WireError(ResultCode.LINK_CLOSED, node_id)
        query = messages.ChunkQuery(span.digest, version, span.index)
        return (await link.request(query, FETCH_S)).body
