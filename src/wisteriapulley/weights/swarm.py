"""Chunks of this instance, its neighbours, and the version being copied."""

import asyncio
import logging
import time

from wisteriapulley.errors import ResultCode, WeightsError, WireError
from wisteriapulley.errors import WisteriapulleyError as Error
from wisteriapulley.weights.chunk_store import ChunkStore
from wisteriapulley.weights.copy import Copy
from wisteriapulley.weights.have import TELL_EVERY_S, pack_bitmap, unpack_bitmap
from wisteriapulley.weights.manifest import Manifest, Span
from wisteriapulley.weights.pace import LinkBudget
from wisteriapulley.weights.schedule import ORIGIN
from wisteriapulley.weights.seeders import Peer, Seeders
from wisteriapulley.weights.source import HttpSource
from wisteriapulley.weights.upload import Uploader
from wisteriapulley.wire import Frame, Link, messages
from wisteriapulley.wire.call import Call, raise_failure

log = logging.getLogger(__name__)

MANIFEST_S = 5.0
RETRY_S = 0.1
SOURCE_RETRY_S = 1.0


class Swarm:
    """What this instance holds, and from whom it gets the rest.

    Parameters
    ----------
    me : Peer
        This instance.
    store : ChunkStore
        Verified chunks.
    sources : list of HttpSource
        Origin first, then the weight store.
    budget : LinkBudget
        This instance's link.
    patience_ms : float
        See `Schedule`.
    """

    def __init__(
        self,
        me: Peer,
        store: ChunkStore,
        sources: list[HttpSource],
        budget: LinkBudget,
        patience_ms: float,
    ):
        self.me = me
        self.store = store
        self.sources = sources
        self.budget = budget
        self.patience_ms = patience_ms
        self.seeders = Seeders(me)
        self.uploader = Uploader(store, budget)
        self.manifests: dict[str, Manifest] = {}
        self.links: dict[str, list[Link]] = {}
        self.gone: set[str] = set()
        self.neighbour_count = 0
        self.copy: Copy | None = None
        self.wanted = ""
        self.serving = ""
        self.offers: set[str] = set()
        self.complete_at: dict[str, str] = {}
        self.news: list[int] = []
        self.telling: asyncio.TimerHandle | None = None
        self.corrupted_from: dict[str, int] = {}
        self.bytes_from_peers = 0
        self.fault: WeightsError | None = None

    # -- neighbours ------------------------------------------------------

    def add_link(self, link: Link) -> None:
        """Take a neighbour's link in, and tell what is here."""
        self.links.setdefault(link.peer_id, []).append(link)
        self.gone.discard(link.peer_id)
        for version in self.manifests:
            link.post(self.have(version))
        if self.copy is not None:
            self.copy.ask(link)
        elif self.wanted:
            link.post(messages.HaveQuery(self.wanted))

    def drop_link(self, link: Link) -> None:
        """Forget a neighbour whose last link closed."""
        links = self.links.get(link.peer_id, [])
        if link in links:
            links.remove(link)
        if links or link.peer_id not in self.links:
            return
        del self.links[link.peer_id]
        self.gone.add(link.peer_id)
        self.offers.discard(link.peer_id)
        self.complete_at.pop(link.peer_id, None)
        if self.copy is not None:
            self.copy.schedule.drop_peer(link.peer_id, time.monotonic() * 1000)
            self.copy.wake.set()

    def link(self, node_id: str) -> Link | None:
        """Return an open link to a neighbour, the newest first."""
        links = self.links.get(node_id, ())
        return next((ln for ln in reversed(links) if not ln.closed.is_set()), None)

    def open_links(self) -> list[Link]:
        """Return one open link to each neighbour."""
        found = [self.link(node_id) for node_id in self.links]
        return [link for link in found if link is not None]

    def expected_links(self) -> int:
        """Return how many neighbours should have answered by now."""
        return min(self.neighbour_count, len(self.seeders.members))

    def set_members(self, members: list[Peer]) -> None:
        """Note who takes part."""
        if self.copy is not None:
            self.copy.schedule.set_members(members)
        else:
            self.seeders.set_members(members)

    # -- telling what is here ----------------------------------------------

    def have(self, version: str) -> messages.Have:
        """Say which chunks of a version are here."""
        manifest = self.manifests.get(version)
        if manifest is None:
            return messages.Have(version)
        held = [s.index for s in manifest.spans if s.digest in self.store]
        count = len(manifest.spans)
        return messages.Have(
            version, pack_bitmap(held, count), len(held) == count, count
        )

    def receive_have(self, link: Link, message: messages.Have) -> None:
        """Note what a neighbour holds."""
        if message.version != self.wanted:
            return
        if message.chunks:
            self.offers.add(link.peer_id)
        if message.complete:
            self.complete_at[link.peer_id] = message.version
        copy = self.copy
        if copy is None or copy.version != message.version:
            return
        now_ms = time.monotonic() * 1000
        if message.added:
            copy.schedule.add_have(link.peer_id, message.added, now_ms)
        else:
            indexes = unpack_bitmap(message.bitmap, len(copy.manifest.spans))
            copy.schedule.set_have(link.peer_id, indexes, now_ms)
        copy.wake.set()

    def receive_query(self, link: Link, message: messages.HaveQuery) -> None:
        """Tell a neighbour what is here."""
        link.post(self.have(message.version))

    def added(self, version: str, index: int) -> None:
        """Note a chunk that the neighbours shall hear of soon."""
        self.news.append(index)
        if self.telling is None:
            loop = asyncio.get_running_loop()
            self.telling = loop.call_later(TELL_EVERY_S, self.tell)

    def tell(self, force: bool = False) -> None:
        """Tell the neighbours of new chunks; those that have all need not know."""
        if self.telling is not None:
            self.telling.cancel()
            self.telling = None
        news, self.news = tuple(self.news), []
        copy = self.copy
        if copy is None or not (news or force):
            return
        count = len(copy.manifest.spans)
        done = copy.schedule.complete
        message = messages.Have(copy.version, b"", done, count, news)
        if force:
            message = self.have(copy.version)
        for link in self.open_links():
            if self.complete_at.get(link.peer_id) != copy.version:
                link.post(message)

    # -- serving chunks ----------------------------------------------------

    async def receive_chunk_query(
        self, link: Link, message: messages.ChunkQuery, frame: Frame
    ) -> None:
        """Send a chunk, or a manifest when the digest is the version."""
        manifest = self.manifests.get(message.digest)
        if manifest is None:
            await self.uploader.send(link, message, frame)
            return
        data = manifest.to_bytes()
        await self.uploader.send_parts(link, frame, message.digest, data)

    async def receive_parts(self, call: Call, length: int, stall_s: float) -> bytes:
        """Put a chunk together from its parts, within the link's budget.

        Parameters
        ----------
        call : Call
            The query.
        length : int
            Bytes expected; 0 to believe the first part.
        stall_s : float
            Longest wait for the next part, in seconds.

        Raises
        ------
        WireError
            No part came in time, or one does not fit.
        """
        parts: list[bytes] = []
        received = 0
        while not parts or received < length:
            frame = await call.reply(stall_s)
            raise_failure(frame)
            length = length or frame.message.total
            if frame.message.offset != received or received + len(frame.body) > length:
                raise WireError(ResultCode.CHUNK_CORRUPTED, "a part does not fit")
            await self.budget.take(len(frame.body))
            parts.append(frame.body)
            received += len(frame.body)
        self.bytes_from_peers += received
        return b"".join(parts)

    def count_corrupted(self, source: str) -> None:
        """Count bad bytes of a sender."""
        self.corrupted_from[source] = self.corrupted_from.get(source, 0) + 1

    async def from_source(self, version: str, span: Span) -> bytes:
        """Fetch a chunk from the origin, or else from the store.

        Raises
        ------
        WeightsError
            Of the first source that failed.
        """
        errors = []
        for source in self.sources:
            if source.resting:
                continue
            try:
                return await source.chunk(version, span)
            except WeightsError as error:
                errors.append(error)
                if error.code == ResultCode.CHUNK_CORRUPTED:
                    self.count_corrupted(ORIGIN)
        raise errors[0] if errors else no_source()

    # -- copying -----------------------------------------------------------

    async def fetch_version(self, version: str, distribution: str) -> Manifest:
        """Copy a version whole.

        Returns
        -------
        Manifest
            Every chunk of it is in the store, verified.
        """
        self.wanted = version
        self.offers.clear()
        self.complete_at.clear()
        self.fault = None
        manifest = self.manifests.get(version)
        if manifest is None:
            manifest = await self.find_manifest(version)
        self.manifests[version] = manifest
        # What a superseded copy left is kept as far as this version shares it.
        self.keep_only({version, self.serving})
        limit = self.store.limit_bytes
        if limit and manifest.size > limit:
            raise self.store.full(manifest.size)
        copy = self.copy = Copy(self, manifest, distribution)
        await copy.run()
        return manifest

    async def find_manifest(self, version: str) -> Manifest:
        """Get the manifest from a neighbour that has it, or in turn a source."""
        begun_s = time.monotonic()
        asked_s = 0.0
        for link in self.open_links():
            link.post(messages.HaveQuery(version))
        while True:
            manifest = await self.manifest_of_neighbours(version)
            if manifest is not None:
                return manifest
            now_s = time.monotonic()
            turn = self.seeders.rank(version) * self.patience_ms / 1000
            if now_s - begun_s >= turn and now_s - asked_s > SOURCE_RETRY_S:
                asked_s = now_s
                manifest = await self.manifest_of_sources(version)
                if manifest is not None:
                    return manifest
            await asyncio.sleep(RETRY_S / 5)

    async def manifest_of_neighbours(self, version: str) -> Manifest | None:
        """Ask neighbours that have the manifest."""
        for node_id in tuple(self.offers):
            link = self.link(node_id)
            if link is None:
                continue
            call = None
            try:
                call = link.call(messages.ChunkQuery(version, version))
                data = await self.receive_parts(call, 0, MANIFEST_S)
                return Manifest.from_bytes(data, version)
            except Error as error:
                log.info("manifest from %s: %s", node_id, error)
                self.offers.discard(node_id)
            finally:
                if call is not None:
                    call.close()
        return None

    async def manifest_of_sources(self, version: str) -> Manifest | None:
        """Ask the origin, then the store."""
        for source in self.sources:
            try:
                return await source.manifest(version)
            except WeightsError as error:
                log.warning("manifest %s: %s", version, error)
                self.fault = self.fault or error
        return None

    def keep_only(self, versions: set[str]) -> None:
        """Forget all versions but these, so that memory does not grow."""
        self.manifests = {
            version: manifest
            for version, manifest in self.manifests.items()
            if version in versions
        }
        self.store.keep_only(self.manifests.values())

    def trouble(self) -> str:
        """Return why the copy does not go on, or an empty text."""
        fault = self.copy.fault if self.copy is not None else None
        return str(fault or self.fault or "")


def no_source() -> WeightsError:
    """Make the error of an instance without sources."""
    return WeightsError(ResultCode.SOURCE_UNAVAILABLE, "no source answers now", 1000)
