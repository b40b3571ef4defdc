"""Peer-to-peer distribution of weights at one instance.

Tracks the chunks held locally, the links to neighbours and the version that is
being downloaded.
"""

import asyncio
import logging
import time

from wisteriapulley.errors import ResultCode, WeightsError, WireError
from wisteriapulley.errors import WisteriapulleyError as Error
from wisteriapulley.weights.chunk_bitmap import (
    PUBLISH_INTERVAL_S,
    pack_bitmap,
    unpack_bitmap,
)
from wisteriapulley.weights.chunk_download import ChunkDownload
from wisteriapulley.weights.chunk_store import ChunkStore
from wisteriapulley.weights.manifest import Manifest, Span
from wisteriapulley.weights.pace import LinkBudget
from wisteriapulley.weights.schedule import ORIGIN
from wisteriapulley.weights.seeders import Peer, Seeders
from wisteriapulley.weights.source import HttpSource
from wisteriapulley.weights.upload import Uploader
from wisteriapulley.wire import Frame, Link, messages
from wisteriapulley.wire.call import Call, raise_failure

log = logging.getLogger(__name__)

MANIFEST_TIMEOUT_S = 5.0
MANIFEST_RETRY_S = 0.1
SOURCE_RETRY_S = 1.0


class Swarm:
    """Hold the chunks of this instance and fetch missing ones from peers or sources.

    Parameters
    ----------
    me : Peer
        This instance.
    store : ChunkStore
        Stores verified chunks.
    sources : list of HttpSource
        The origin first, then the weight store.
    budget : LinkBudget
        Bandwidth budget of this instance's link.
    rank_delay_ms : float
        See `Schedule`.
    """

    def __init__(
        self,
        me: Peer,
        store: ChunkStore,
        sources: list[HttpSource],
        budget: LinkBudget,
        rank_delay_ms: float,
    ):
        self.me = me
        self.store = store
        self.sources = sources
        self.budget = budget
        self.rank_delay_ms = rank_delay_ms
        self.seeders = Seeders(me)
        self.uploader = Uploader(store, budget)
        self.manifests: dict[str, Manifest] = {}
        self.links: dict[str, list[Link]] = {}
        self.disconnected_peers: set[str] = set()
        self.neighbour_count = 0
        self.download: ChunkDownload | None = None
        self.desired_version = ""
        self.serving_version = ""
        self.manifest_holders: set[str] = set()
        self.complete_versions: dict[str, str] = {}
        self.unpublished_chunks: list[int] = []
        self.publish_timer: asyncio.TimerHandle | None = None
        self.corrupted_by_source: dict[str, int] = {}
        self.bytes_from_peers = 0
        self.manifest_error: WeightsError | None = None

    # -- neighbours ------------------------------------------------------

    def add_link(self, link: Link) -> None:
        """Add a neighbour's link and announce which chunks are held here."""
        self.links.setdefault(link.peer_id, []).append(link)
        self.disconnected_peers.discard(link.peer_id)
        for version in self.manifests:
            link.post(self.have_message(version))
        if self.download is not None:
            self.download.query_have(link)
        elif self.desired_version:
            link.post(messages.HaveQuery(self.desired_version))

    def drop_link(self, link: Link) -> None:
        """Remove a closed link; with its last link, remove the neighbour."""
        links = self.links.get(link.peer_id, [])
        if link in links:
            links.remove(link)
        if links or link.peer_id not in self.links:
            return
        del self.links[link.peer_id]
        self.disconnected_peers.add(link.peer_id)
        self.manifest_holders.discard(link.peer_id)
        self.complete_versions.pop(link.peer_id, None)
        if self.download is not None:
            self.download.schedule.drop_peer(link.peer_id, time.monotonic() * 1000)
            self.download.wake.set()

    def open_link(self, node_id: str) -> Link | None:
        """Return the newest open link to a neighbour, or None."""
        links = self.links.get(node_id, ())
        return next((ln for ln in reversed(links) if not ln.closed.is_set()), None)

    def open_links(self) -> list[Link]:
        """Return one open link to each neighbour."""
        found = [self.open_link(node_id) for node_id in self.links]
        return [link for link in found if link is not None]

    def expected_link_count(self) -> int:
        """Return how many neighbours are expected to answer."""
        return min(self.neighbour_count, len(self.seeders.members))

    def set_members(self, members: list[Peer]) -> None:
        """Replace the members that take part in the distribution."""
        if self.download is not None:
            self.download.schedule.set_members(members)
        else:
            self.seeders.set_members(members)

    # -- announcing held chunks --------------------------------------------

    def have_message(self, version: str) -> messages.Have:
        """Return the message that announces which chunks of a version are held."""
        manifest = self.manifests.get(version)
        if manifest is None:
            return messages.Have(version)
        held = [s.index for s in manifest.spans if s.digest in self.store]
        count = len(manifest.spans)
        return messages.Have(
            version, pack_bitmap(held, count), len(held) == count, count
        )

    def receive_have(self, link: Link, message: messages.Have) -> None:
        """Record which chunks a neighbour holds."""
        if message.version != self.desired_version:
            return
        if message.chunks:
            self.manifest_holders.add(link.peer_id)
        if message.complete:
            self.complete_versions[link.peer_id] = message.version
        download = self.download
        if download is None or download.version != message.version:
            return
        now_ms = time.monotonic() * 1000
        if message.added:
            download.schedule.add_have(link.peer_id, message.added, now_ms)
        else:
            indexes = unpack_bitmap(message.bitmap, len(download.manifest.spans))
            download.schedule.set_have(link.peer_id, indexes, now_ms)
        download.wake.set()

    def receive_have_query(self, link: Link, message: messages.HaveQuery) -> None:
        """Reply to a neighbour with the chunks held here."""
        link.post(self.have_message(message.version))

    def record_chunk(self, version: str, index: int) -> None:
        """Queue a new chunk for the next announcement to the neighbours."""
        self.unpublished_chunks.append(index)
        if self.publish_timer is None:
            loop = asyncio.get_running_loop()
            self.publish_timer = loop.call_later(PUBLISH_INTERVAL_S, self.publish_have)

    def publish_have(self, announce_all: bool = False) -> None:
        """Announce new chunks to the neighbours that do not hold the complete version.

        Parameters
        ----------
        announce_all : bool
            Announce all held chunks, even if none is new.
        """
        if self.publish_timer is not None:
            self.publish_timer.cancel()
            self.publish_timer = None
        new_chunks, self.unpublished_chunks = tuple(self.unpublished_chunks), []
        download = self.download
        if download is None or not (new_chunks or announce_all):
            return
        count = len(download.manifest.spans)
        done = download.schedule.complete
        message = messages.Have(download.version, b"", done, count, new_chunks)
        if announce_all:
            message = self.have_message(download.version)
        for link in self.open_links():
            if self.complete_versions.get(link.peer_id) != download.version:
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

    async def receive_parts(self, call: Call, length: int, timeout_s: float) -> bytes:
        """Assemble a chunk from its parts, within the link's budget.

        Parameters
        ----------
        call : Call
            The pending query.
        length : int
            Expected size in bytes; 0 to use the size that the first part states.
        timeout_s : float
            Longest wait for the next part, in seconds.

        Raises
        ------
        WireError
            No part arrived in time, or a part does not continue the chunk.
        """
        parts: list[bytes] = []
        received = 0
        while not parts or received < length:
            frame = await call.reply(timeout_s)
            raise_failure(frame)
            length = length or frame.message.total
            if frame.message.offset != received or received + len(frame.body) > length:
                raise WireError(
                    ResultCode.CHUNK_CORRUPTED,
                    "chunk part has an unexpected offset or length",
                )
            await self.budget.acquire(len(frame.body))
            parts.append(frame.body)
            received += len(frame.body)
        self.bytes_from_peers += received
        return b"".join(parts)

    def record_corrupted(self, source: str) -> None:
        """Count a corrupted chunk against its sender."""
        self.corrupted_by_source[source] = self.corrupted_by_source.get(source, 0) + 1

    async def fetch_from_sources(self, version: str, span: Span) -> bytes:
        """Fetch a chunk from the origin, or from the weight store if that fails.

        Raises
        ------
        WeightsError
            The error of the first source that failed.
        """
        errors = []
        for source in self.sources:
            if source.in_cooldown:
                continue
            try:
                return await source.chunk(version, span)
            except WeightsError as error:
                errors.append(error)
                if error.code == ResultCode.CHUNK_CORRUPTED:
                    self.record_corrupted(ORIGIN)
        raise errors[0] if errors else no_source_error()

    # -- downloading a version ---------------------------------------------

    async def fetch_version(self, version: str, distribution: str) -> Manifest:
        """Download all chunks of a version.

        Returns
        -------
        Manifest
            The version's manifest; all of its chunks are verified and stored.
        """
        self.desired_version = version
        self.manifest_holders.clear()
        self.complete_versions.clear()
        self.manifest_error = None
        manifest = self.manifests.get(version)
        if manifest is None:
            manifest = await self.find_manifest(version)
        self.manifests[version] = manifest
        # Of a superseded download, only the chunks that this version shares are kept.
        self.keep_only({version, self.serving_version})
        limit = self.store.limit_bytes
        if limit and manifest.size > limit:
            raise self.store.full_error(manifest.size)
        download = self.download = ChunkDownload(self, manifest, distribution)
        await download.run()
        return manifest

    async def find_manifest(self, version: str) -> Manifest:
        """Fetch the manifest from a neighbour, or after the rank delay a source."""
        started_s = time.monotonic()
        source_asked_s = 0.0
        for link in self.open_links():
            link.post(messages.HaveQuery(version))
        while True:
            manifest = await self.fetch_manifest_from_neighbours(version)
            if manifest is not None:
                return manifest
            now_s = time.monotonic()
            rank_delay_s = self.seeders.rank(version) * self.rank_delay_ms / 1000
            if (
                now_s - started_s >= rank_delay_s
                and now_s - source_asked_s > SOURCE_RETRY_S
            ):
                source_asked_s = now_s
                manifest = await self.fetch_manifest_from_sources(version)
                if manifest is not None:
                    return manifest
            await asyncio.sleep(MANIFEST_RETRY_S / 5)

    async def fetch_manifest_from_neighbours(self, version: str) -> Manifest | None:
        """Fetch the manifest from a neighbour that has announced it, if any."""
        for node_id in tuple(self.manifest_holders):
            link = self.open_link(node_id)
            if link is None:
                continue
            call = None
            try:
                call = link.call(messages.ChunkQuery(version, version))
                data = await self.receive_parts(call, 0, MANIFEST_TIMEOUT_S)
                return Manifest.from_bytes(data, version)
            except Error as error:
                log.info("could not fetch the manifest from %s: %s", node_id, error)
                self.manifest_holders.discard(node_id)
            finally:
                if call is not None:
                    call.close()
        return None

    async def fetch_manifest_from_sources(self, version: str) -> Manifest | None:
        """Fetch the manifest from the origin, or else from the weight store."""
        for source in self.sources:
            try:
                return await source.manifest(version)
            except WeightsError as error:
                log.warning(
                    "could not fetch the manifest of version %s: %s", version, error
                )
                self.manifest_error = self.manifest_error or error
        return None

    def keep_only(self, versions: set[str]) -> None:
        """Drop all versions but these, so that memory use stays bounded."""
        self.manifests = {
            version: manifest
            for version, manifest in self.manifests.items()
            if version in versions
        }
        self.store.keep_only(self.manifests.values())

    def error_text(self) -> str:
        """Return the error that blocks the download, or an empty string."""
        error = self.download.last_error if self.download is not None else None
        return str(error or self.manifest_error or "")


def no_source_error() -> WeightsError:
    """Return the error for the case that no source can be asked."""
    return WeightsError(
        ResultCode.SOURCE_UNAVAILABLE, "no source of weights can be asked now", 1000
    )
