"""Takes the missing pieces of one version from whoever holds them.

Load: after a version is named all engines copy it through instances that are still
copying it themselves, from an origin that may go away in the middle. Harm prevented:
a copy that asks for its pieces in order stands at the first one that nobody holds,
while later ones could be had. So each source says which pieces it holds, and tells at
once when it has more; only those are asked for, several at a time.
"""

import asyncio
import contextlib
import logging
from collections.abc import Awaitable, Callable, Hashable, Iterable
from typing import Protocol

from wisteriapulley.clocks import steady_s
from wisteriapulley.errors import ResultCode, WisteriapulleyError
from wisteriapulley.logs import fields
from wisteriapulley.weights.pieces import PieceManifest

log = logging.getLogger(__name__)

# Sources come and go: an instance dies, a nearer one is found.
SOURCES_S = 0.25


class PieceHolder(Protocol):
    """Where pieces come from.

    Attributes
    ----------
    name : str
        For logs.
    key : hashable
        Tells holders apart: one that is reached in another way is another one.
    at_once : int
        Pieces to ask of it at the same time, at most.
    """

    name: str
    key: Hashable
    at_once: int

    async def held(self, manifest: PieceManifest, known: int) -> frozenset[int]:
        """Return the pieces that it holds, once they are more than `known`.

        Raises
        ------
        WisteriapulleyError
            It does not answer.
        """

    async def piece(self, model: str, version: int, position: int) -> bytes:
        """Return a piece, not verified.

        Raises
        ------
        WisteriapulleyError
            It can't be had there now.
        """


class Source:
    """A holder, as far as a download knows it.

    Attributes
    ----------
    held : frozenset of int
        Pieces that it holds.
    flying : int
        Pieces asked of it now.
    failed : bool
        Whether the last piece could not be had: it is then asked for one at a time
        until one comes.
    asked_again_s : float
        When it may be asked again after a failure.
    """

    def __init__(self, holder: PieceHolder):
        self.holder = holder
        self.held: frozenset[int] = frozenset()
        self.flying = 0
        self.failed = False
        self.asked_again_s = 0.0
        self.watching: asyncio.Task | None = None

    def may_be_asked(self, now_s: float) -> bool:
        """Tell whether another piece may be asked of it now."""
        if self.failed:
            return self.flying == 0 and now_s >= self.asked_again_s
        return self.flying < self.holder.at_once


class Download:
    """Fetches pieces until none is missing.

    Parameters
    ----------
    manifest : PieceManifest
        The version.
    missing : iterable of int
        Pieces to fetch.
    holders : callable
        Takes the seconds since a piece last came; returns who may be asked now.
    keep : callable
        Awaited with the position and the verified bytes of each piece.
    in_flight : int
        Pieces fetched at the same time.
    retry_s : float
        Seconds between two questions to a holder that failed.
    """

    def __init__(
        self,
        manifest: PieceManifest,
        missing: Iterable[int],
        holders: Callable[[float], list[PieceHolder]],
        keep: Callable[[int, bytes], Awaitable[None]],
        in_flight: int,
        retry_s: float,
    ):
        self.manifest = manifest
        # In the order in which they are asked for; one that failed comes first.
        self.missing = dict.fromkeys(sorted(missing))
        self.holders = holders
        self.keep = keep
        self.in_flight = in_flight
        self.retry_s = retry_s
        self.sources: dict[Hashable, Source] = {}
        self.asked: set[int] = set()
        self.news = asyncio.Event()
        self.came_s = steady_s()

    async def run(self) -> None:
        """Fetch all that is missing, however long it takes."""
        self.turn_to_holders()
        async with asyncio.TaskGroup() as group:
            looking = group.create_task(self.look_for_holders())
            workers = [group.create_task(self.work()) for _ in range(self.in_flight)]
            try:
                await asyncio.gather(*workers)
            finally:
                looking.cancel()
                for source in self.sources.values():
                    source.watching.cancel()

    def keep_only(self, missing: Iterable[int]) -> None:
        """Leave out pieces that are missing no more."""
        wanted = set(missing)
        self.missing = {p: None for p in self.missing if p in wanted}
        self.news.set()

    def stalled_s(self) -> float:
        """Return the seconds since a piece last came."""
        return steady_s() - self.came_s

    # -- who holds what --------------------------------------------------

    async def look_for_holders(self) -> None:
        """Turn to other holders as they come and go."""
        while True:
            await asyncio.sleep(SOURCES_S)
            self.turn_to_holders()

    def turn_to_holders(self) -> None:
        """Watch those that may be asked now, and no others."""
        holders = {h.key: h for h in self.holders(self.stalled_s())}
        for key in set(self.sources) - set(holders):
            self.sources.pop(key).watching.cancel()
        loop = asyncio.get_running_loop()
        for key, holder in holders.items():
            if key not in self.sources:
                source = self.sources[key] = Source(holder)
                source.watching = loop.create_task(self.watch(source))

    async def watch(self, source: Source) -> None:
        """Know what a source holds until it holds everything."""
        total = len(self.manifest.digests)
        while len(source.held) < total:
            try:
                source.held = await source.holder.held(self.manifest, len(source.held))
                self.news.set()
            except WisteriapulleyError as error:
                log.info("%s told no pieces: %s", source.holder.name, error)
                await asyncio.sleep(self.retry_s)

    # -- fetching --------------------------------------------------------

    async def work(self) -> None:
        """Fetch one piece after another."""
        while self.missing:
            now_s = steady_s()
            chosen = self.choose(now_s)
            if chosen is None:
                await self.wait_for_news()
                continue
            position, source = chosen
            await self.fetch(position, source)
        self.news.set()

    def choose(self, now_s: float) -> tuple[int, Source] | None:
        """Choose a piece that can be had, and whom to ask for it."""
        sources = sorted(
            (s for s in self.sources.values() if s.may_be_asked(now_s)),
            key=lambda source: source.flying,
        )
        for position in self.missing:
            if position in self.asked:
                continue
            for source in sources:
                if position in source.held:
                    return position, source
        return None

    async def wait_for_news(self) -> None:
        """Wait until there is something to choose again."""
        self.news.clear()
        with contextlib.suppress(TimeoutError):
            failed = any(source.failed for source in self.sources.values())
            async with asyncio.timeout(self.retry_s if failed else SOURCES_S):
                await self.news.wait()

    async def fetch(self, position: int, source: Source) -> None:
        """Fetch one piece from a source; one that did not come stays missing."""
        manifest = self.manifest
        self.asked.add(position)
        source.flying += 1
        try:
            data = await source.holder.piece(manifest.model, manifest.version, position)
            data = manifest.check(position, data)
        except WisteriapulleyError as error:
            self.not_had(position, source, error)
            return
        finally:
            source.flying -= 1
            self.asked.discard(position)
        source.failed = False
        self.came_s = steady_s()
        self.missing.pop(position, None)
        await self.keep(position, data)
        self.news.set()

    def not_had(
        self, position: int, source: Source, error: WisteriapulleyError
    ) -> None:
        """Ask again soon: a spoilt piece at once, a silent source after a pause."""
        log.info("piece not had: %s", error, extra=fields(code=error.code))
        if position in self.missing:
            self.missing = {position: None} | self.missing
        if error.code is not ResultCode.CHUNK_CORRUPTED:
            source.failed = True
            source.asked_again_s = steady_s() + self.retry_s
        self.news.set()
