"""Download of the missing pieces of one version from several holders.

When a version becomes the desired one, all engines download it through instances that
are still downloading it themselves, from an origin that may become unreachable in the
middle. A download that requested its pieces in order would block at the first piece
that no instance holds, while later ones are available. So each holder reports which
pieces it holds, and reports new ones at once; only these are requested, several at a
time.
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

# Interval for refreshing the holders: an instance may fail, or a nearer one be found.
HOLDER_REFRESH_S = 0.25


class PieceHolder(Protocol):
    """Holder of pieces that a download can ask.

    Attributes
    ----------
    name : str
        Name for log lines.
    key : hashable
        Identifies the holder; the same holder over another path has another key.
    max_in_flight : int
        Maximum number of pieces in flight from this holder.
    """

    name: str
    key: Hashable
    max_in_flight: int

    async def held_pieces(self, manifest: PieceManifest, known: int) -> frozenset[int]:
        """Return the pieces that it holds, once there are more than `known`.

        Raises
        ------
        WisteriapulleyError
            The holder does not answer.
        """

    async def piece(self, model: str, version: int, position: int, size: int) -> bytes:
        """Return a piece of at most `size` bytes, not verified.

        Raises
        ------
        WisteriapulleyError
            The holder can't provide the piece now.
        """


class HolderState:
    """State of one holder within a download.

    Attributes
    ----------
    held : frozenset of int
        Pieces that the holder has reported.
    in_flight : int
        Number of pieces in flight from it.
    failed : bool
        Whether the last request failed; requests then go out one at a time until
        one succeeds.
    retry_at_s : float
        Earliest time of the next request after a failure, in seconds.
    """

    def __init__(self, holder: PieceHolder):
        self.holder = holder
        self.held: frozenset[int] = frozenset()
        self.in_flight = 0
        self.failed = False
        self.retry_at_s = 0.0
        self.watch_task: asyncio.Task | None = None

    def can_ask(self, now_s: float) -> bool:
        """Return whether another piece may be requested from it now."""
        if self.failed:
            return self.in_flight == 0 and now_s >= self.retry_at_s
        return self.in_flight < self.holder.max_in_flight


class Download:
    """Fetch pieces until none is missing.

    Parameters
    ----------
    manifest : PieceManifest
        Manifest of the version.
    missing : iterable of int
        Pieces to fetch.
    holders : callable
        Takes the seconds since the last piece arrived; returns the holders to ask
        now.
    store : callable
        Awaited with the position and the verified bytes of each piece.
    max_in_flight : int
        Maximum number of pieces in flight.
    retry_s : float
        Delay before a holder that failed is asked again, in seconds.
    """

    def __init__(
        self,
        manifest: PieceManifest,
        missing: Iterable[int],
        holders: Callable[[float], list[PieceHolder]],
        store: Callable[[int, bytes], Awaitable[None]],
        max_in_flight: int,
        retry_s: float,
    ):
        self.manifest = manifest
        # In request order; pieces whose fetch failed go to the front.
        self.missing = dict.fromkeys(sorted(missing))
        self.holders = holders
        self.store = store
        self.max_in_flight = max_in_flight
        self.retry_s = retry_s
        self.holder_states: dict[Hashable, HolderState] = {}
        self.requested: set[int] = set()
        self.changed = asyncio.Event()
        self.last_piece_s = steady_s()

    async def run(self) -> None:
        """Fetch all missing pieces, without a time limit."""
        self.refresh_holders()
        async with asyncio.TaskGroup() as group:
            refresh_task = group.create_task(self.refresh_holders_periodically())
            workers = [
                group.create_task(self.run_worker()) for _ in range(self.max_in_flight)
            ]
            try:
                await asyncio.gather(*workers)
            finally:
                refresh_task.cancel()
                for state in self.holder_states.values():
                    state.watch_task.cancel()

    def keep_only(self, missing: Iterable[int]) -> None:
        """Drop pieces that are no longer missing."""
        still_missing = set(missing)
        self.missing = {p: None for p in self.missing if p in still_missing}
        self.changed.set()

    def stalled_s(self) -> float:
        """Return the seconds since the last piece arrived."""
        return steady_s() - self.last_piece_s

    # -- holders ---------------------------------------------------------

    async def refresh_holders_periodically(self) -> None:
        """Refresh the holders at a fixed interval."""
        while True:
            await asyncio.sleep(HOLDER_REFRESH_S)
            self.refresh_holders()

    def refresh_holders(self) -> None:
        """Watch exactly the holders that may be asked now."""
        holders = {h.key: h for h in self.holders(self.stalled_s())}
        for key in set(self.holder_states) - set(holders):
            self.holder_states.pop(key).watch_task.cancel()
        loop = asyncio.get_running_loop()
        for key, holder in holders.items():
            if key not in self.holder_states:
                state = self.holder_states[key] = HolderState(holder)
                state.watch_task = loop.create_task(self.watch_held_pieces(state))

    async def watch_held_pieces(self, state: HolderState) -> None:
        """Keep the state of a holder up to date until it holds all pieces."""
        total = len(self.manifest.digests)
        while len(state.held) < total:
            try:
                state.held = await state.holder.held_pieces(
                    self.manifest, len(state.held)
                )
                self.changed.set()
            except WisteriapulleyError as error:
                log.info(
                    "could not query the pieces held by %s: %s",
                    state.holder.name,
                    error,
                )
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
            position, state = chosen
            await self.fetch(position, state)
        self.changed.set()

    def choose_piece(self, now_s: float) -> tuple[int, HolderState] | None:
        """Choose an available piece and the holder to fetch it from."""
        states = sorted(
            (s for s in self.holder_states.values() if s.can_ask(now_s)),
            key=lambda state: state.in_flight,
        )
        for position in self.missing:
            if position in self.requested:
                continue
            for state in states:
                if position in state.held:
                    return position, state
        return None

    async def wait_for_change(self) -> None:
        """Wait until another piece may have become available."""
        self.changed.clear()
        with contextlib.suppress(TimeoutError):
            failed = any(state.failed for state in self.holder_states.values())
            async with asyncio.timeout(self.retry_s if failed else HOLDER_REFRESH_S):
                await self.changed.wait()

    async def fetch(self, position: int, state: HolderState) -> None:
        """Fetch one piece from a holder; after a failure it stays missing."""
        manifest = self.manifest
        self.requested.add(position)
        state.in_flight += 1
        try:
            data = await state.holder.piece(
                manifest.model, manifest.version, position, manifest.chunk_bytes
            )
            data = manifest.check(position, data)
        except WisteriapulleyError as error:
            self.record_failure(position, state, error)
            return
        finally:
            state.in_flight -= 1
            self.requested.discard(position)
        state.failed = False
        self.last_piece_s = steady_s()
        self.missing.pop(position, None)
        await self.store(position, data)
        self.changed.set()

    def record_failure(
        self, position: int, state: HolderState, error: WisteriapulleyError
    ) -> None:
        """Record a failed fetch.

        The piece goes to the front of the missing ones. A corrupted piece may be
        requested again at once; after other failures the holder gets a pause.
        """
        log.info("could not fetch piece: %s", error, extra=fields(code=error.code))
        if position in self.missing:
            self.missing = {position: None} | self.missing
        if error.code is not ResultCode.CHUNK_CORRUPTED:
            state.failed = True
            state.retry_at_s = steady_s() + self.retry_s
        self.changed.set()
