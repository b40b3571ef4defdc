"""Copies pieces of weights to an engine's staging place, and verifies them there.

A piece may turn bad where it lies, also after it was checked. So all are read
back and checked right before the engine is ordered to load them.
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
from wisteriapulley.weights.relay import STALLED_S, held_over
from wisteriapulley.wire import Link, messages

log = logging.getLogger(__name__)

# Bytes asked for at once. On a link of 3.8 Mbit/s they take 17 ms, which is what
# a live request waits behind them; a whole piece of 32 KiB would take 69 ms.
PART_BYTES = 8192
# Share of the link that a copy takes while requests are served beside it: 2 MiB
# take 4.9 s of the 8 s that a version has, and requests keep a tenth of the link.
LIVE_LINK_SHARE = 0.9
# A part takes 20 ms; past this time another control instance is asked.
PART_S = 0.8
# Between two questions which pieces an instance holds: they come through a region in
# a steady flow, and one answer tells all of them that came meanwhile.
HELD_PAUSE_S = 0.03
MANIFEST_S = 4.0
RETRY_S = 0.1
# A copy without a new piece for so long stands still: a piece takes 70 ms on a link
# of 3.8 Mbit/s, and 140 ms where two share it.
STILL_S = 0.5
# Pieces that are copied at the same time: their parts keep a link of 3.8 Mbit/s busy
# over a round trip of some milliseconds, and a live request waits behind two at most.
IN_FLIGHT = 2
# An engine that has not started yet is asked again after so long, and this much of its
# copy is held in memory meanwhile.
ENGINE_PAUSE_S = 0.2
MOST_AHEAD_BYTES = 16 << 20
# Pieces that are read back at the same time: the engine is on the same instance, and
# most of the time goes into waiting for its answers.
READ_AT_ONCE = 8
# Times that a whole copy is verified and mended before it is begun anew.
MOST_PASSES = 5


class Upstream(Protocol):
    """Where pieces come from."""

    def __call__(self) -> list[Link]:
        """Return links to control instances, best first."""


class Pace(NamedTuple):
    """How fast to copy: bytes a second, 0 for no limit."""

    bytes_per_s: float = 0.0

    @classmethod
    def beside_requests(cls, link_mbps: float) -> "Pace":
        """Leave room on the link for live requests."""
        return cls(link_mbps * 1e6 / 8 * LIVE_LINK_SHARE)

    @classmethod
    def whole_link(cls, link_mbps: float) -> "Pace":
        """Take all of the link."""
        return cls(link_mbps * 1e6 / 8)

    def takes_ms(self, size: int) -> float:
        """Return how long so many bytes take at this pace."""
        return size / self.bytes_per_s * 1000 if self.bytes_per_s else 0.0

    def pause_s(self, size: int, taken_s: float) -> float:
        """Return how long to wait after a part, so that the rate is kept.

        Each of the pieces in flight has its share of the rate.
        """
        if not self.bytes_per_s:
            return 0.0
        return max(0.0, IN_FLIGHT * size / self.bytes_per_s - taken_s)


class LinkPieces:
    """Pieces from a control instance, a part at a time; see `download.PieceHolder`.

    Parameters
    ----------
    link : Link
        To the instance.
    pace : callable
        Returns how fast to copy now.
    """

    def __init__(self, link: Link, pace: Callable[[], Pace]):
        self.link = link
        self.name = link.peer_id
        self.key = link
        self.at_once = IN_FLIGHT
        self.pace = pace

    async def held(self, manifest: PieceManifest, known: int) -> frozenset[int]:
        """Ask which pieces it holds, and not again at once."""
        held = await held_over(self.link, manifest, known)
        await asyncio.sleep(HELD_PAUSE_S)
        return held

    async def piece(self, model: str, version: int, position: int) -> bytes:
        """Fetch the parts of a piece, at the pace that live requests leave."""
        loop = asyncio.get_running_loop()
        parts: list[bytes] = []
        offset, total = 0, PART_BYTES
        while offset < total:
            began_s = loop.time()
            query = messages.PieceQuery(model, version, position, offset, PART_BYTES)
            frame = await self.link.request(query, PART_S)
            total = frame.message.total
            parts.append(frame.body)
            offset += len(frame.body)
            if not frame.body:
                break
            pause_s = self.pace().pause_s(len(frame.body), loop.time() - began_s)
            await asyncio.sleep(pause_s)
        return b"".join(parts)


class Staging:
    """The pieces that lie at one engine.

    Parameters
    ----------
    engine : EngineClient
        Where they lie.
    upstream : Upstream
        Where they come from.
    is_near : callable
        Tells whether a link stays in the own region.
    pace : callable
        Returns how fast to copy now.
    """

    def __init__(
        self,
        engine: EngineClient,
        upstream: Upstream,
        is_near: Callable[[Link], bool],
        pace: Callable[[], Pace],
    ):
        self.engine = engine
        self.upstream = upstream
        self.is_near = is_near
        self.pace = pace
        self.digests: dict[int, bytes] = {}
        self.model = ""
        # Whether it is known what lies there, and whether it ever was.
        self.known = False
        self.answered = False
        self.done_share = 0.0
        # The copy in progress.
        self.download: Download | None = None

    def stands_still(self) -> bool:
        """Tell whether a copy is in progress and gets no pieces."""
        return self.download is not None and self.download.stalled_s() > STILL_S

    async def manifest(self, model: str, version: int) -> PieceManifest:
        """Ask control instances for a manifest.

        Raises
        ------
        WeightsError
            SOURCE_UNAVAILABLE.
        """
        query = messages.ManifestQuery(model, version)
        frame = await self.ask(query, MANIFEST_S)
        return PieceManifest(*frame.message)

    async def held_share(
        self, model: str, version: int, only_looks: bool = False
    ) -> float:
        """Return how much of a version the nearest control instance holds.

        It fetches what it lacks, unless the question `only_looks`.
        """
        query = messages.HeldQuery(model, version, only_looks=only_looks)
        try:
            frame = await self.ask(query, PART_S)
        except WisteriapulleyError as error:
            log.info("not known how much is held: %s", error)
            return 0.0
        held: messages.Held = frame.message
        return held.pieces / held.total if held.total else 0.0

    async def is_held(self, manifest: PieceManifest) -> bool:
        """Tell whether a control instance holds a whole version already."""
        share = await self.held_share(manifest.model, manifest.version, only_looks=True)
        return share == 1

    async def ask(self, query: tuple, limit_s: float):
        """Ask one control instance after another."""
        failure: WisteriapulleyError | None = None
        for link in self.upstream():
            try:
                return await link.request(query, limit_s)
            except WisteriapulleyError as error:
                log.info("%s gave no weights: %s", link.peer_id, error)
                failure = error
        raise WeightsError(
            ResultCode.SOURCE_UNAVAILABLE,
            f"no control instance gave {query}: {failure}",
        )

    async def look(self, manifest: PieceManifest) -> None:
        """Learn what lies there, once after a start."""
        if self.known and self.model == manifest.model:
            return
        self.model = manifest.model
        self.digests = {}
        staged = await self.engine.staged(manifest.model)
        total = len(manifest.digests)
        await self.check_all(manifest, [p for p in sorted(staged) if p < total])
        self.known = self.answered = True

    async def prepare(self, manifest: PieceManifest) -> None:
        """Learn what lies there, unless a new engine can't tell yet.

        Load: engines are added while the traffic steps up, and each starts a second
        after its sidecar. Gain: its copy begins meanwhile, where a control instance
        holds all of it and so draws nothing more from the origin.

        Raises
        ------
        WisteriapulleyError
            The engine does not answer, and nothing is to be fetched ahead.
        """
        try:
            await self.look(manifest)
        except WisteriapulleyError as error:
            if self.answered:
                raise
            if not await self.is_held(manifest):
                raise
            log.info("pieces are fetched ahead of the engine: %s", error)

    async def check_all(
        self, manifest: PieceManifest, positions: Sequence[int]
    ) -> list[int]:
        """Read pieces back, some at a time; return those that are not as they should.

        Load: a restart of all engines, whose pieces lie beside them. Nobody is served
        until they are read back.
        """
        bad: list[int] = []
        for first in range(0, len(positions), READ_AT_ONCE):
            batch = positions[first : first + READ_AT_ONCE]
            fits = await asyncio.gather(*(self.check(manifest, p) for p in batch))
            bad += [p for p, is_good in zip(batch, fits, strict=True) if not is_good]
        return bad

    async def check(self, manifest: PieceManifest, position: int) -> bool:
        """Read a piece back; tell whether it is the manifest's."""
        data = await self.engine.staged_piece(manifest.model, position)
        if data is not None and manifest.fits(position, data):
            self.digests[position] = manifest.digests[position]
            return True
        self.digests.pop(position, None)
        return False

    def missing(self, manifest: PieceManifest) -> list[int]:
        """Return the pieces that still are to be copied."""
        wanted = enumerate(manifest.digests)
        return [p for p, digest in wanted if self.digests.get(p) != digest]

    async def copy(self, manifest: PieceManifest) -> None:
        """Copy what is missing, from whichever instance holds it."""
        self.done_share = 0.0
        await self.prepare(manifest)
        self.note_done(manifest)
        missing = self.missing(manifest)
        if not missing:
            return
        ahead = max(1, MOST_AHEAD_BYTES // max(1, manifest.chunk_bytes))
        fetched: asyncio.Queue[tuple[int, bytes]] = asyncio.Queue(ahead)

        async def keep(position: int, data: bytes) -> None:
            await fetched.put((position, data))

        self.download = Download(
            manifest, missing, self.holders, keep, IN_FLIGHT, RETRY_S
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
        """Put fetched pieces there, once the engine takes them, until none lacks."""
        while not self.known:
            try:
                await self.look(manifest)
            except WisteriapulleyError:
                # Logged by `prepare`; the pieces wait here meanwhile.
                await asyncio.sleep(ENGINE_PAUSE_S)
        missing = set(self.missing(manifest))
        self.download.keep_only(missing)
        while missing:
            position, data = await fetched.get()
            if position in missing:
                await self.stage(manifest, position, data)
                missing.remove(position)

    async def stage(self, manifest: PieceManifest, position: int, data: bytes) -> None:
        """Put one piece there, however often that takes."""
        self.digests.pop(position, None)
        while True:
            try:
                await self.engine.stage(manifest.model, position, data)
                break
            except WisteriapulleyError as error:
                log.info("piece not taken: %s", error)
            await asyncio.sleep(RETRY_S)
        self.digests[position] = manifest.digests[position]
        self.note_done(manifest)

    def note_done(self, manifest: PieceManifest) -> None:
        """Note how much of a copy is there."""
        total = max(1, len(manifest.digests))
        self.done_share = 1 - len(self.missing(manifest)) / total

    def holders(self, stalled_s: float) -> list[PieceHolder]:
        """Return the control instances to copy from: others only while near ones fail.

        Bytes between regions are dear, and one copy has crossed each border already.
        """
        links = self.upstream()
        near = [link for link in links if self.is_near(link)]
        if near and stalled_s < STALLED_S:
            links = near
        return [LinkPieces(link, self.pace) for link in links]

    async def verify(self, manifest: PieceManifest) -> None:
        """Read every piece back, and replace those that have turned bad.

        Raises
        ------
        WeightsError
            CHUNK_CORRUPTED: pieces turn bad again and again.
        """
        for _ in range(MOST_PASSES):
            bad = await self.check_all(manifest, range(len(manifest.digests)))
            if not bad:
                return
            log.warning(
                "pieces turned bad", extra=fields(version=manifest.version, bad=bad)
            )
            await self.copy(manifest)
        raise WeightsError(
            ResultCode.CHUNK_CORRUPTED,
            f"{manifest.model} version {manifest.version}: pieces turn bad at the"
            " engine again and again",
        )
