"""Brings an engine to a version of the weights: copy, turn, verify, load."""

import asyncio
import logging
from collections.abc import Awaitable, Callable
from typing import NamedTuple

from wisteriapulley.errors import ResultCode, WisteriapulleyError
from wisteriapulley.logs import fields
from wisteriapulley.rollout.engine import EngineClient, OrderOutcome
from wisteriapulley.rollout.granting import Granting
from wisteriapulley.rollout.knowledge import Knowledge
from wisteriapulley.rollout.staging import Pace, Staging
from wisteriapulley.rollout.turn import due_ms, finishes_older
from wisteriapulley.weights.pieces import PieceManifest

log = logging.getLogger(__name__)

# While an order is in progress, to open the places as soon as it is done.
ORDER_REPORT_S = 0.05
RETRY_S = 0.3
# An order that neither began nor ended by then is given anew.
ORDER_S = 12.0
# Share of the engines that copy at the full rate of their link.
FIRST_SHARE = 0.3
# Until a load was seen: an engine without requests loads in 0.3 s, and is looked
# at every 0.05 s.
FIRST_LOAD_MS = 350.0
GAIN = 0.5
# Nobody waits longer than this for a first event: the longest objective.
SOON_MS = 500.0


class Goal(NamedTuple):
    """Weights that the engine is to hold; version 0 is the origin's newest."""

    model: str
    version: int


class Changing:
    """Changes of one engine's weights.

    Parameters
    ----------
    knowledge : Knowledge
        What is held and wanted.
    engine : EngineClient
        Takes the orders.
    granting : Granting
        Its places.
    look : callable
        Asks the engine for its report.
    settle : callable
        Opens or closes the places by what is known now.
    changed : asyncio.Event
        Set when there is something new to decide.

    Attributes
    ----------
    ordering : bool
        Whether an order to load is in progress.
    manifest : PieceManifest or None
        What is being copied or loaded.
    load_ms : float
        How long an idle engine takes to load.
    """

    def __init__(
        self,
        knowledge: Knowledge,
        engine: EngineClient,
        granting: Granting,
        look: Callable[[], Awaitable[None]],
        settle: Callable[[], None],
        changed: asyncio.Event,
    ):
        self.knowledge = knowledge
        self.settings = knowledge.settings
        self.engine = engine
        self.granting = granting
        self.look = look
        self.settle = settle
        self.changed = changed
        self.staging = Staging(engine, knowledge.upstream, knowledge.is_near, self.pace)
        self.ordering = False
        self.manifest: PieceManifest | None = None
        self.goal: Goal | None = None
        self.bringing: asyncio.Task | None = None
        self.load_ms = FIRST_LOAD_MS

    def stop(self) -> None:
        """Stop what is in progress."""
        if self.bringing is not None:
            self.bringing.cancel()

    def pace(self) -> Pace:
        """Leave room on the link while the engine serves.

        The first engines to change have few requests left when their copy ends,
        and each tenth of a second that they are sooner back counts. One whose places
        are closed has none to leave room for.
        """
        link_mbps = self.settings.link_mbps
        first = self.knowledge.turn().share < FIRST_SHARE
        if first or not self.granting.places.open or not link_mbps:
            return Pace()
        return Pace.beside_requests(link_mbps)

    async def adjust(self) -> None:
        """Begin what is to be done, unless it is in progress."""
        knowledge = self.knowledge
        figures = knowledge.figures
        if figures is None or knowledge.report.leaving:
            return
        wanted, held = knowledge.wanted_version(), knowledge.held_version()
        if held and held >= wanted:
            self.goal = None
            return
        goal = Goal(figures.model, wanted)
        running = self.bringing is not None and not self.bringing.done()
        if running and goal == self.goal:
            return
        if running and (self.ordering or await self.finishes_first(goal)):
            return
        if running:
            self.bringing.cancel()
        self.goal = goal
        loop = asyncio.get_running_loop()
        self.bringing = loop.create_task(self.bring(goal))

    async def finishes_first(self, newer: Goal) -> bool:
        """Tell whether the copy in progress goes on though a newer one is named."""
        if self.manifest is None:
            return False
        older_share, newer_share = await asyncio.gather(
            self.staging.held_share(newer.model, self.manifest.version),
            self.staging.held_share(newer.model, newer.version),
        )
        turn, done_share = self.knowledge.turn(), self.staging.done_share
        return finishes_older(turn, done_share, older_share, newer_share)

    async def bring(self, goal: Goal) -> None:
        """Bring the engine to a version, however often that takes."""
        while True:
            try:
                await self.bring_once(goal)
                return
            except WisteriapulleyError as error:
                log.warning(
                    "weights not in place: %s",
                    error,
                    extra=fields(code=error.code, version=goal.version),
                )
                # What failed is no reason to put a newer version off.
                self.staging.done_share = 0.0
            finally:
                self.ordering = False
                self.granting.places.closes_ms = None
                self.manifest = None
                self.settle()
                self.changed.set()
            await asyncio.sleep(RETRY_S)

    async def bring_once(self, goal: Goal) -> None:
        """Copy, wait for the turn, verify and load."""
        manifest = await self.staging.manifest(goal.model, goal.version)
        log.info("copy begins", extra=fields(version=manifest.version))
        self.manifest = manifest
        await self.staging.prepare(manifest)
        self.expect_opening(manifest)
        await self.staging.copy(manifest)
        log.info("copy is whole", extra=fields(version=manifest.version))
        await self.wait_turn(manifest)
        await self.staging.verify(manifest)
        await self.load(goal.model, manifest.version)

    def expect_opening(self, manifest: PieceManifest) -> None:
        """Let requests wait for an engine that started without weights.

        After a loss of all instances the pieces still lie at the engines, and only
        the load is missing.
        """
        if self.knowledge.held_version() or self.granting.places.held:
            return
        missing = len(self.staging.missing(manifest)) * manifest.chunk_bytes
        pause_ms = self.copy_ms(missing) + self.load_ms
        if pause_ms < SOON_MS:
            self.granting.opens_in(pause_ms)

    # -- the turn --------------------------------------------------------

    def change_in_ms(self, manifest: PieceManifest) -> float:
        """Return how long until this engine is to change; 0 or less for now."""
        age_ms = self.knowledge.replaced_ms()
        if age_ms is None or not self.knowledge.held_version():
            return 0.0
        copy_ms = self.copy_ms(size_of(manifest))
        due = due_ms(self.knowledge.turn(), copy_ms, self.settings.old_version_ms)
        return due - age_ms

    def copy_ms(self, size: float) -> float:
        """Return how long so many bytes take at the full rate of the link."""
        return Pace.whole_link(self.settings.link_mbps).takes_ms(size)

    def plan(self) -> None:
        """Tell the places when this engine is likely to change.

        Told anew while the copy goes on: one that is held up must not keep
        requests away from an engine that still serves for seconds. Nobody knows when
        a copy ends that stands still: its source is away.
        """
        manifest = self.manifest
        if manifest is None or self.ordering or not self.knowledge.held_version():
            return
        if self.staging.stands_still():
            self.granting.places.closes_ms = None
            return
        missing = size_of(manifest) * (1 - self.staging.done_share)
        pause_ms = max(self.copy_ms(missing), self.change_in_ms(manifest), 0.0)
        self.granting.places.closes_ms = self.granting.now_ms() + pause_ms

    async def wait_turn(self, manifest: PieceManifest) -> None:
        """Wait until this engine may be taken out of service."""
        pause_ms = self.change_in_ms(manifest)
        if pause_ms > 0:
            await asyncio.sleep(pause_ms / 1000)

    # -- the order -------------------------------------------------------

    async def load(self, model: str, version: int) -> None:
        """Order the engine to load, and wait until it says that it holds it."""
        self.ordering = True
        self.settle()
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        idle = not self.granting.places.held
        ordered = False
        while loop.time() < began_s + ORDER_S:
            if not ordered:
                ordered = await self.order(model, version, idle)
            await asyncio.sleep(ORDER_REPORT_S)
            await self.look()
            report = self.knowledge.report
            if report.versions.get(model) == version and not report.busy:
                self.loaded(idle, (loop.time() - began_s) * 1000)
                return
            if ordered and not report.busy and not report.versions:
                # It crashed, and forgot the order.
                ordered = False
        raise WisteriapulleyError(
            ResultCode.ENGINE_LOAD_FAILED,
            f"expected version {version} of {model} within {ORDER_S} s, got"
            f" {self.knowledge.report.versions}",
        )

    async def order(self, model: str, version: int, idle: bool) -> bool:
        """Order the load; tell whether the engine took the order."""
        outcome = await self.engine.load(model, version)
        log.info("load ordered", extra=fields(version=version, outcome=outcome.value))
        taken = outcome is not OrderOutcome.REFUSED
        if taken and idle:
            # Nothing runs that the load would have to wait for.
            self.granting.opens_in(self.load_ms)
        return taken

    def loaded(self, idle: bool, took_ms: float) -> None:
        """Learn how long an idle engine takes."""
        if idle:
            self.load_ms += GAIN * (took_ms - self.load_ms)


def size_of(manifest: PieceManifest) -> int:
    """Return the bytes of all pieces."""
    return manifest.chunk_bytes * len(manifest.digests)
