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
HOLDER_REFRESH_S = 0.25


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
    max_in_flight: int

    async def held_pieces(self, manifest: PieceManifest, known: int) -> frozenset[int]:
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


class HolderState:
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
        self.in_flight = 0
        self.failed = False
        self.retry_at_s = 0.0
        self.watch_task: asyncio.Task | None = None

    def can_ask(self, now_s: float) -> bool:
        """Tell whether another piece may be asked of it now."""
        if self.failed:
            return self.in_flight == 0 and now_s >= self.retry_at_s
        return self.in_flight < self.holder.max_in_flight


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
        store: Callable[[int, bytes], Awaitable[None]],
        in_flight: int,
        retry_s: float,
    ):
        self.manifest = manifest
        # In the order in which they are asked for; one that failed comes first.
        self.missing = dict.fromkeys(sorted(missing))
        self.holders = holders
        self.store = store
        self.in_flight = in_flight
        self.retry_s = retry_s
        self.holder_states: dict[Hashable, HolderState] = {}
        self.requested: set[int] = set()
        self.changed = asyncio.Event()
        self.last_piece_s = steady_s()

    async def run(self) -> None:
        """Fetch all that is missing, however long it takes."""
        self.refresh_holders()
        async with asyncio.TaskGroup() as group:
            looking = group.create_task(self.refresh_holders_periodically())
            workers = [
                group.create_task(self.run_worker()) for _ in range(self.in_flight)
            ]
            try:
                await asyncio.gather(*workers)
            finally:
                looking.cancel()
                for source in self.holder_states.values():
                    source.watch_task.cancel()

    def keep_only(self, missing: Iterable[int]) -> None:
        """Leave out pieces that are missing no more."""
        wanted = set(missing)
        self.missing = {p: None for p in self.missing if p in wanted}
        self.changed.set()

    def stalled_s(self) -> float:
        """Return the seconds since a piece last came."""
        return steady_s() - self.last_piece_s

    # -- who holds what --------------------------------------------------

    async def refresh_holders_periodically(self) -> None:
        """Turn to other holders as they come and go."""
        while True:
            await asyncio.sleep(HOLDER_REFRESH_S)
            self.refresh_holders()

    def refresh_holders(self) -> None:
        """Watch those that may be asked now, and no others."""
        holders = {h.key: h for h in self.holders(self.stalled_s())}
        for key in set(self.holder_states) - set(holders):
            self.holder_states.pop(key).watch_task.cancel()
        loop = asyncio.get_running_loop()
        for key, holder in holders.items():
            if key not in self.holder_states:
                source = self.holder_states[key] = HolderState(holder)
                source.watch_task = loop.create_task(self.watch_held_pieces(source))

    async def watch_held_pieces(self, source: HolderState) -> None:
        """Know what a source holds until it holds everything."""
        total = len(self.manifest.digests)
        while len(source.held) < total:
            try:
                source.held = await source.holder.held_pieces(
                    self.manifest, len(source.held)
                )
                self.changed.set()
            except WisteriapulleyError as error:
                log.info("%s told no pieces: %s", source.holder.name, error)
                await asyncio.sleep(self.retry_s)

    # -- fetching --------------------------------------------------------

    async def run_worker(self) -> None:
        """Fetch one piece after another."""
        while self.missing:
            now_s = steady_s()
            chosen = self.choose_piece(now_s)
            if chosen is None:
                await self.wait_for_change()
                continue
            position, source = chosen
            await self.fetch(position, source)
        self.changed.set()

    def choose_piece(self, now_s: float) -> tuple[int, HolderState] | None:
        """Choose a piece that can be had, and whom to ask for it."""
        sources = sorted(
            (s for s in self.holder_states.values() if s.can_ask(now_s)),
            key=lambda source: source.in_flight,
        )
        for position in self.missing:
            if position in self.requested:
                continue
            for source in sources:
                if position in source.held:
                    return position, source
        return None

    async def wait_for_change(self) -> None:
        """Wait until there is something to choose again."""
        self.changed.clear()
        with contextlib.suppress(TimeoutError):
            failed = any(source.failed for source in self.holder_states.values())
            async with asyncio.timeout(self.retry_s if failed else HOLDER_REFRESH_S):
                await self.changed.wait()

    async def fetch(self, position: int, source: HolderState) -> None:
        """Fetch one piece from a source; one that did not come stays missing."""
        manifest = self.manifest
        self.requested.add(position)
        source.in_flight += 1
        try:
            data = await source.holder.piece(manifest.model, manifest.version, position)
            data = manifest.check(position, data)
        except WisteriapulleyError as error:
            self.record_failure(position, source, error)
            return
        finally:
            source.in_flight -= 1
            self.requested.discard(position)
        source.failed = False
        self.last_piece_s = steady_s()
        self.missing.pop(position, None)
        await self.store(position, data)
        self.changed.set()

    def record_failure(
        self, position: int, source: HolderState, error: WisteriapulleyError
    ) -> None:
        """Ask again soon: a spoilt piece at once, a silent source after a pause."""
        log.info("piece not had: %s", error, extra=fields(code=error.code))
        if position in self.missing:
            self.missing = {position: None} | self.missing
        if error.code is not ResultCode.CHUNK_CORRUPTED:
            source.failed = True
            source.retry_at_s = steady_s() + self.retry_s
        self.changed.set()
