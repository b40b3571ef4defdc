"""Downloads pieces of weights to an engine's staging area and verifies them there.

A staged piece may become corrupted, also after it was verified. So all pieces are
read back and verified right before the engine is ordered to load them.
"""

import asyncio
import logging
from collections.abc import Callable, Sequence
from typing import NamedTuple, Protocol

from wisteriapulley.errors import ResultCode, WeightsError, WisteriapulleyError
from wisteriapulley.logs import fields
from wisteriapulley.rollout.engine import EngineClient
from wisteriapulley.weights.download import Download, PieceHolder
from wisteriapulley.weights.pieces import PieceManifest
from wisteriapulley.weights.relay import UPSTREAM_STALLED_AFTER_S, query_held_pieces
from wisteriapulley.wire import Link, messages

log = logging.getLogger(__name__)

# Size of one part of a piece. On a link of 3.8 Mbit/s a part takes 17 ms, which a live
# request may have to wait; a whole piece of 32 KiB would take 69 ms.
PART_BYTES = 8192
# Fraction of the link that a download uses while requests are served: 2 MiB take 4.9 s
# of the 8 s for which a superseded version may serve, and a tenth of the link is left
# to requests.
SERVING_LINK_FRACTION = 0.9
# A part takes 20 ms; after this time another control instance is asked.
PART_TIMEOUT_S = 0.8
# Pause between two queries for the pieces that an instance holds: pieces arrive in a
# region in a steady flow, and one response lists all that arrived meanwhile.
HELD_QUERY_INTERVAL_S = 0.03
MANIFEST_TIMEOUT_S = 4.0
# Delay before a failed fetch or a rejected piece is retried.
RETRY_DELAY_S = 0.1
# A download without a new piece for this long is stalled: a piece takes 70 ms on a
# link of 3.8 Mbit/s, and 140 ms when two downloads share it.
STALLED_AFTER_S = 0.5
# Pieces that are downloaded concurrently: their parts keep a link of 3.8 Mbit/s busy
# over a round trip of some milliseconds, and a live request waits for at most two.
MAX_PIECES_IN_FLIGHT = 2
# An engine that has not started yet is asked again after this delay, and at most this
# much of its download is held in memory meanwhile.
ENGINE_RETRY_DELAY_S = 0.2
MAX_PREFETCH_BYTES = 16 << 20
# Pieces that are read back concurrently: the engine is on the same instance, and most
# of the time is spent waiting for its responses.
MAX_CONCURRENT_READS = 8
# Times that a complete version is verified and repaired before it fails.
MAX_VERIFY_ROUNDS = 5


class Upstream(Protocol):
    """Returns the control instances that pieces can be downloaded from."""

    def __call__(self) -> list[Link]:
        """Return links to control instances, best first."""


class DownloadRate(NamedTuple):
    """Rate of a download in bytes per second; 0 means unlimited."""

    bytes_per_s: float = 0.0

    @classmethod
    def while_serving(cls, link_mbps: float) -> "DownloadRate":
        """Return a rate that leaves bandwidth for live requests."""
        return cls(link_mbps * 1e6 / 8 * SERVING_LINK_FRACTION)

    @classmethod
    def full_link(cls, link_mbps: float) -> "DownloadRate":
        """Return the full rate of the link."""
        return cls(link_mbps * 1e6 / 8)

    def duration_ms(self, size: int) -> float:
        """Return how long `size` bytes take at this rate."""
        return size / self.bytes_per_s * 1000 if self.bytes_per_s else 0.0

    def pause_s(self, size: int, taken_s: float) -> float:
        """Return the pause after a part that keeps the rate.

        The pieces in flight share the rate equally.
        """
        if not self.bytes_per_s:
            return 0.0
        return max(0.0, MAX_PIECES_IN_FLIGHT * size / self.bytes_per_s - taken_s)


class ControlPieceHolder:
    """Pieces held by a control instance, fetched in parts; see `download.PieceHolder`.

    Parameters
    ----------
    link : Link
        Link to the instance.
    rate : callable
        Returns the current download rate.
    """

    def __init__(self, link: Link, rate: Callable[[], DownloadRate]):
        self.link = link
        self.name = link.peer_id
        self.key = link
        self.max_in_flight = MAX_PIECES_IN_FLIGHT
        self.rate = rate

    async def held_pieces(self, manifest: PieceManifest, known: int) -> frozenset[int]:
        """Return the pieces that the instance holds, after a pause."""
        held = await query_held_pieces(self.link, manifest, known)
        await asyncio.sleep(HELD_QUERY_INTERVAL_S)
        return held

    async def piece(self, model: str, version: int, position: int, size: int) -> bytes:
        """Fetch the parts of a piece at the current download rate."""
        loop = asyncio.get_running_loop()
        parts: list[bytes] = []
        offset, total = 0, PART_BYTES
        while offset < total:
            started_s = loop.time()
            query = messages.PieceQuery(model, version, position, offset, PART_BYTES)
            frame = await self.link.request(query, PART_TIMEOUT_S)
            total = min(frame.message.total, size)
            parts.append(frame.body)
            offset += len(frame.body)
            if not frame.body:
                break
            pause_s = self.rate().pause_s(len(frame.body), loop.time() - started_s)
            await asyncio.sleep(pause_s)
        return b"".join(parts)


class StagingArea:
    """The staged pieces of one engine.

    Parameters
    ----------
    engine : EngineClient
        Engine that stores the pieces.
    upstream : Upstream
        Control instances to download from.
    is_near : callable
        Returns whether a link stays in this region.
    rate : callable
        Returns the current download rate.
    """

    def __init__(
        self,
        engine: EngineClient,
        upstream: Upstream,
        is_near: Callable[[Link], bool],
        rate: Callable[[], DownloadRate],
    ):
        self.engine = engine
        self.upstream = upstream
        self.is_near = is_near
        self.rate = rate
        self.digests: dict[int, bytes] = {}
        self.model = ""
        # Whether the staged pieces have been read since the engine last started, and
        # whether they ever were.
        self.inspected = False
        self.engine_answered = False
        self.done_fraction = 0.0
        # The download in progress.
        self.download: Download | None = None

    def is_stalled(self) -> bool:
        """Return whether a download is in progress and receives no pieces."""
        return self.download is not None and self.download.stalled_s() > STALLED_AFTER_S

    async def fetch_manifest(self, model: str, version: int) -> PieceManifest:
        """Request a manifest from the control instances.

        Raises
        ------
        WeightsError
            SOURCE_UNAVAILABLE: none returned it.
        """
        query = messages.ManifestQuery(model, version)
        frame = await self.request_any(query, MANIFEST_TIMEOUT_S)
        return PieceManifest(*frame.message)

    async def held_fraction(
        self, model: str, version: int, only_looks: bool = False
    ) -> float:
        """Return the fraction of a version that the nearest control instance holds.

        The instance fetches what it lacks, unless `only_looks` is set.
        """
        query = messages.HeldQuery(model, version, only_looks=only_looks)
        try:
            frame = await self.request_any(query, PART_TIMEOUT_S)
        except WisteriapulleyError as error:
            log.info("fraction held upstream is unknown: %s", error)
            return 0.0
        held: messages.Held = frame.message
        return held.pieces / held.total if held.total else 0.0

    async def is_held_upstream(self, manifest: PieceManifest) -> bool:
        """Return whether a control instance already holds the complete version."""
        fraction = await self.held_fraction(
            manifest.model, manifest.version, only_looks=True
        )
        return fraction == 1

    async def request_any(self, query: tuple, timeout_s: float):
        """Send a request to one control instance after another until one responds."""
        failure: WisteriapulleyError | None = None
        for link in self.upstream():
            try:
                return await link.request(query, timeout_s)
            except WisteriapulleyError as error:
                log.info(
                    "%s did not serve the request for weights: %s", link.peer_id, error
                )
                failure = error
        raise WeightsError(
            ResultCode.SOURCE_UNAVAILABLE,
            f"no control instance served {query}: {failure}",
        )

    async def inspect(self, manifest: PieceManifest) -> None:
        """Verify the pieces that are already staged, once after the engine starts."""
        if self.inspected and self.model == manifest.model:
            return
        self.model = manifest.model
        self.digests = {}
        staged = await self.engine.staged(manifest.model)
        total = len(manifest.digests)
        await self.find_bad_pieces(manifest, [p for p in sorted(staged) if p < total])
        self.inspected = self.engine_answered = True

    async def prepare(self, manifest: PieceManifest) -> None:
        """Inspect the staged pieces, unless the engine has not started yet.

        When engines are added during a traffic increase, each starts a second after
        its sidecar. The download can begin in that time if a control instance holds
        the complete version and so needs nothing more from the origin.

        Raises
        ------
        WisteriapulleyError
            The engine does not respond, and no download can begin without it.
        """
        try:
            await self.inspect(manifest)
        except WisteriapulleyError as error:
            if self.engine_answered:
                raise
            if not await self.is_held_upstream(manifest):
                raise
            log.info("download starts before the engine responds: %s", error)

    async def find_bad_pieces(
        self, manifest: PieceManifest, positions: Sequence[int]
    ) -> list[int]:
        """Read pieces back, several at a time; return those that are not valid.

        When all engines restart with their pieces staged, no request is served until
        the pieces are read back.
        """
        bad: list[int] = []
        for first in range(0, len(positions), MAX_CONCURRENT_READS):
            batch = positions[first : first + MAX_CONCURRENT_READS]
            matches = await asyncio.gather(
                *(self.verify_piece(manifest, p) for p in batch)
            )
            bad += [p for p, match in zip(batch, matches, strict=True) if not match]
        return bad

    async def verify_piece(self, manifest: PieceManifest, position: int) -> bool:
        """Read a piece back; return whether it matches the manifest."""
        data = await self.engine.staged_piece(
            manifest.model, position, manifest.chunk_bytes
        )
        if data is not None and manifest.matches(position, data):
            self.digests[position] = manifest.digests[position]
            return True
        self.digests.pop(position, None)
        return False

    def missing(self, manifest: PieceManifest) -> list[int]:
        """Return the positions of pieces that are not staged yet."""
        required = enumerate(manifest.digests)
        return [p for p, digest in required if self.digests.get(p) != digest]

    async def fetch_missing(self, manifest: PieceManifest) -> None:
        """Download the missing pieces, from whichever instance holds them."""
        self.done_fraction = 0.0
        await self.prepare(manifest)
        self.update_progress(manifest)
        missing = self.missing(manifest)
        if not missing:
            return
        ahead = max(1, MAX_PREFETCH_BYTES // max(1, manifest.chunk_bytes))
        fetched: asyncio.Queue[tuple[int, bytes]] = asyncio.Queue(ahead)

        async def enqueue(position: int, data: bytes) -> None:
            await fetched.put((position, data))

        self.download = Download(
            manifest,
            missing,
            self.holders,
            enqueue,
            MAX_PIECES_IN_FLIGHT,
            RETRY_DELAY_S,
        )
        staging = asyncio.get_running_loop().create_task(
            self.stage_all(manifest, fetched)
        )
        try:
            await self.download.run()
            await staging
        finally:
            staging.cancel()
            self.download = None

    async def stage_all(self, manifest: PieceManifest, fetched: asyncio.Queue) -> None:
        """Stage fetched pieces once the engine accepts them, until none is missing."""
        while not self.inspected:
            try:
                await self.inspect(manifest)
            except WisteriapulleyError:
                # `prepare` has logged the error; fetched pieces stay in the queue.
                await asyncio.sleep(ENGINE_RETRY_DELAY_S)
        missing = set(self.missing(manifest))
        self.download.keep_only(missing)
        while missing:
            position, data = await fetched.get()
            if position in missing:
                await self.stage(manifest, position, data)
                missing.remove(position)

    async def stage(self, manifest: PieceManifest, position: int, data: bytes) -> None:
        """Stage one piece; retry until it succeeds."""
        self.digests.pop(position, None)
        while True:
            try:
                await self.engine.stage(manifest.model, position, data)
                break
            except WisteriapulleyError as error:
                log.info("engine did not accept a piece: %s", error)
            await asyncio.sleep(RETRY_DELAY_S)
        self.digests[position] = manifest.digests[position]
        self.update_progress(manifest)

    def update_progress(self, manifest: PieceManifest) -> None:
        """Update the fraction of the version that is staged."""
        total = max(1, len(manifest.digests))
        self.done_fraction = 1 - len(self.missing(manifest)) / total

    def holders(self, stalled_s: float) -> list[PieceHolder]:
        """Return the control instances to download from.

        Instances of other regions are used only while those of this region stall:
        bytes between regions are expensive, and the version has crossed the border
        of each region once already.
        """
        links = self.upstream()
        near = [link for link in links if self.is_near(link)]
        if near and stalled_s < UPSTREAM_STALLED_AFTER_S:
            links = near
        return [ControlPieceHolder(link, self.rate) for link in links]

    async def verify(self, manifest: PieceManifest) -> None:
        """Read every piece back, and replace those that have become corrupted.

        Raises
        ------
        WeightsError
            CHUNK_CORRUPTED: pieces were corrupted again in each round.
        """
        for _ in range(MAX_VERIFY_ROUNDS):
            bad = await self.find_bad_pieces(manifest, range(len(manifest.digests)))
            if not bad:
                return
            log.warning(
                "staged pieces corrupted",
                extra=fields(version=manifest.version, bad=bad),
            )
            await self.fetch_missing(manifest)
        raise WeightsError(
            ResultCode.CHUNK_CORRUPTED,
            f"{manifest.model} version {manifest.version}: staged pieces"
            " were corrupted again in each round of verification",
        )
