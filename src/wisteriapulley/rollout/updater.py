"""Updates an engine's weights: download, wait for its turn to switch, verify, load."""

import asyncio
import logging
from collections.abc import Awaitable, Callable
from typing import NamedTuple

from wisteriapulley.errors import ResultCode, WisteriapulleyError
from wisteriapulley.logs import fields
from wisteriapulley.policy.version_end import start_left_ms
from wisteriapulley.rollout.admission import SlotAdmission
from wisteriapulley.rollout.engine import EngineClient, EngineReport, OrderOutcome
from wisteriapulley.rollout.staging import DownloadRate, StagingArea
from wisteriapulley.rollout.state import RolloutState
from wisteriapulley.rollout.switch_order import (
    DownloadOutlook,
    finishes_superseded,
    switch_due_ms,
)
from wisteriapulley.weights.pieces import PieceManifest

log = logging.getLogger(__name__)

# Poll often while an order is in progress, to open the slots as soon as it is done.
LOAD_POLL_INTERVAL_S = 0.05
# A report shows the engine's state of some hundred milliseconds earlier. What it says
# of an order counts only this long after the order, and after a silence.
REPORT_LAG_S = 0.5
# Delay before a failed update is retried.
RETRY_DELAY_S = 0.3
# A load that has not completed by then is ordered again.
LOAD_TIMEOUT_S = 12.0
# Engines in this first fraction of the switch order download at the full rate of their
# link.
FULL_RATE_FRACTION = 0.3
# Estimate before the first load: an idle engine loads in 0.3 s and is polled every
# 0.05 s.
INITIAL_LOAD_MS = 350.0
# An engine that waits for its switch notices an evacuation after at most this long.
MAX_SWITCH_SLEEP_S = 0.2
# Weight of a new sample in the estimate of the load time.
LOAD_TIME_GAIN = 0.5
# Requests queue for an engine that opens within this time. New ones do so only as long
# as they can be in time; late ones and returns, whose callers wait for some seconds,
# may wait longer.
MAX_OPENING_WAIT_MS = 1500.0


class Goal(NamedTuple):
    """Weights that the engine should hold; version 0 is the newest at the origin."""

    model: str
    version: int


class WeightsUpdater:
    """Updates the weights of one engine.

    Parameters
    ----------
    state : RolloutState
        Held and desired version.
    engine : EngineClient
        Engine that receives the orders.
    admission : SlotAdmission
        Slots of the engine.
    poll_engine : callable
        Requests the engine's report.
    update_admission : callable
        Opens or closes the slots according to the current state.
    changed : asyncio.Event
        Set when the state has changed and must be evaluated again.

    Attributes
    ----------
    loading : bool
        Whether an order to load is in progress.
    opens_soon : bool
        Whether the slots are announced to open once the update in progress is done.
    manifest : PieceManifest or None
        What is being downloaded or loaded.
    load_ms : float
        Estimated load time of an idle engine.
    has_given_up : bool
        Whether a download was given up for a newer version since the engine last held
        the newest one.
    """

    def __init__(
        self,
        state: RolloutState,
        engine: EngineClient,
        admission: SlotAdmission,
        poll_engine: Callable[[], Awaitable[None]],
        update_admission: Callable[[], None],
        changed: asyncio.Event,
    ):
        self.state = state
        self.settings = state.settings
        self.engine = engine
        self.admission = admission
        self.poll_engine = poll_engine
        self.update_admission = update_admission
        self.changed = changed
        self.staging = StagingArea(
            engine, state.upstream, state.is_near, self.download_rate
        )
        self.loading = False
        self.opens_soon = False
        self.manifest: PieceManifest | None = None
        self.goal: Goal | None = None
        self.update_task: asyncio.Task | None = None
        self.load_ms = INITIAL_LOAD_MS
        self.has_given_up = False

    def stop(self) -> None:
        """Cancel the update in progress."""
        if self.update_task is not None:
            self.update_task.cancel()

    def download_rate(self) -> DownloadRate:
        """Return the download rate; leave bandwidth for requests while serving.

        The first engines to switch have few requests left when their download ends,
        and every tenth of a second by which they are back earlier counts. An engine
        whose slots are closed serves no requests that need bandwidth.
        """
        link_mbps = self.settings.link_mbps
        first = self.state.switch_rank().fraction < FULL_RATE_FRACTION
        if first or not self.admission.slots.open or not link_mbps:
            return DownloadRate()
        return DownloadRate.while_serving(link_mbps)

    async def reconcile(self) -> None:
        """Start an update to the desired version unless it is in progress."""
        state = self.state
        engine = state.engine
        if engine is None or state.report.leaving:
            return
        desired, held = state.desired_version(), state.held_version()
        if held and held >= desired:
            self.goal = None
            self.has_given_up = False
            return
        goal = Goal(engine.model, desired)
        running = self.update_task is not None and not self.update_task.done()
        if running and goal == self.goal:
            return
        if running and (self.loading or await self.finishes_current_download(goal)):
            return
        if running:
            self.update_task.cancel()
            self.give_up_download(desired)
        self.goal = goal
        loop = asyncio.get_running_loop()
        self.update_task = loop.create_task(self.run_update(goal))

    async def finishes_current_download(self, newer: Goal) -> bool:
        """Return whether to finish the current download before a newer version."""
        if self.manifest is None:
            return False
        older_fraction, newer_fraction = await asyncio.gather(
            self.staging.held_fraction(newer.model, self.manifest.version),
            self.staging.held_fraction(newer.model, newer.version),
        )
        if self.loading or self.manifest is None:
            return self.loading
        return finishes_superseded(
            self.state.switch_rank(),
            self.staging.done_fraction,
            older_fraction,
            newer_fraction,
            self.download_outlook(self.manifest),
        )

    def give_up_download(self, newer: int) -> None:
        """Record that the current download makes way for a newer version."""
        if self.manifest is not None:
            self.has_given_up = True
            given_up = fields(version=self.manifest.version, newer=newer)
            log.info("download given up", extra=given_up)

    def download_outlook(self, manifest: PieceManifest) -> DownloadOutlook:
        """Return when a version is loaded, and how long it may serve."""
        rate = DownloadRate.while_serving(self.settings.link_mbps)
        missing = total_bytes(manifest) * (1 - self.staging.done_fraction)
        wait_ms = max(rate.duration_ms(missing), self.switch_in_ms(manifest), 0.0)
        age_ms = self.state.superseded_for_ms(manifest.version) or 0.0
        return DownloadOutlook(
            wait_ms + self.load_ms,
            start_left_ms(age_ms, self.settings.old_version_ms),
            self.staging.is_stalled(),
            self.has_given_up,
        )

    async def run_update(self, goal: Goal) -> None:
        """Update the engine to a version; retry until it succeeds."""
        while True:
            try:
                await self.update_once(goal)
                return
            except WisteriapulleyError as error:
                log.warning(
                    "weights not in place: %s",
                    error,
                    extra=fields(code=error.code, version=goal.version),
                )
                # A failed download must not delay a newer version.
                self.staging.done_fraction = 0.0
            finally:
                self.loading = self.opens_soon = False
                self.admission.slots.closes_at_ms = None
                self.manifest = None
                self.update_admission()
                self.changed.set()
            await asyncio.sleep(RETRY_DELAY_S)

    async def update_once(self, goal: Goal) -> None:
        """Download, wait for the engine's turn in the switch order, verify and load."""
        manifest = await self.staging.fetch_manifest(goal.model, goal.version)
        log.info("download started", extra=fields(version=manifest.version))
        self.staging.done_fraction = 0.0
        self.manifest = manifest
        await self.staging.prepare(manifest)
        self.expect_opening(manifest)
        await self.staging.fetch_missing(manifest)
        log.info("download complete", extra=fields(version=manifest.version))
        await self.wait_for_switch(manifest)
        await self.staging.verify(manifest)
        await self.load(goal.model, manifest.version)

    def expect_opening(self, manifest: PieceManifest) -> None:
        """Queue requests for an engine that started without weights.

        After an outage of all instances the engines still have their staged pieces,
        and only the load is missing.
        """
        if self.state.held_version() or self.admission.slots.grants:
            return
        missing = len(self.staging.missing(manifest)) * manifest.chunk_bytes
        delay_ms = self.download_ms(missing) + self.load_ms
        if delay_ms < MAX_OPENING_WAIT_MS:
            self.opens_soon = True
            self.admission.expect_opening(delay_ms)

    # -- switch time -----------------------------------------------------

    def switch_in_ms(self, manifest: PieceManifest) -> float:
        """Return the time until this engine should switch; 0 or less means now."""
        age_ms = self.state.superseded_for_ms()
        if age_ms is None or not self.state.held_version():
            return 0.0
        if self.state.is_evacuated:
            # Nobody waits for this engine, so it leaves the later times to others.
            return 0.0
        download_ms = self.download_ms(total_bytes(manifest))
        due_ms = switch_due_ms(
            self.state.switch_rank(), download_ms, self.settings.old_version_ms
        )
        return due_ms - age_ms

    def download_ms(self, size: float) -> float:
        """Return the time to download `size` bytes at the full rate of the link."""
        return DownloadRate.full_link(self.settings.link_mbps).duration_ms(size)

    def plan_switch(self) -> None:
        """Set the time at which the slots are expected to close for the switch.

        It is set again while the download goes on: a delayed download must not keep
        requests away from an engine that still serves for seconds. When a download
        is stalled its source is unreachable, and its end can't be estimated.
        """
        manifest = self.manifest
        if manifest is None or self.loading or not self.state.held_version():
            return
        if self.staging.is_stalled():
            self.admission.slots.closes_at_ms = None
            return
        missing = total_bytes(manifest) * (1 - self.staging.done_fraction)
        delay_ms = max(self.download_ms(missing), self.switch_in_ms(manifest), 0.0)
        self.admission.slots.closes_at_ms = self.admission.now_ms() + delay_ms

    async def wait_for_switch(self, manifest: PieceManifest) -> None:
        """Wait until this engine may be taken out of service.

        Its failure domain may be evacuated meanwhile, and then it need not wait.
        """
        loop = asyncio.get_running_loop()
        due_s = loop.time() + self.switch_in_ms(manifest) / 1000
        while not self.state.is_evacuated and (left_s := due_s - loop.time()) > 0:
            await asyncio.sleep(min(left_s, MAX_SWITCH_SLEEP_S))

    # -- load order ------------------------------------------------------

    async def load(self, model: str, version: int) -> None:
        """Order the engine to load, and wait until it reports the version."""
        if self.state.report.leaving:
            # Once it holds weights, a report no longer shows that it has restarted.
            await self.poll_engine()
        self.loading = True
        self.update_admission()
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        idle = not self.admission.slots.grants
        outcome = OrderOutcome.REFUSED
        settled_s = started_s
        while loop.time() < started_s + LOAD_TIMEOUT_S:
            if outcome is OrderOutcome.REFUSED and loop.time() >= settled_s:
                outcome = await self.order_load(model, version, idle)
                settled_s = loop.time() + REPORT_LAG_S
            await asyncio.sleep(LOAD_POLL_INTERVAL_S)
            asked_s = loop.time()
            await self.poll_engine()
            if loop.time() > asked_s + LOAD_POLL_INTERVAL_S:
                # It stood still, and may just have handled the order.
                settled_s = loop.time() + REPORT_LAG_S
            if self.state.engine_is_silent:
                continue
            report = self.state.report
            if report.versions.get(model) == version and not report.busy:
                self.record_load_time(idle, (loop.time() - started_s) * 1000)
                return
            if loop.time() >= settled_s and is_order_lost(outcome, report):
                outcome = OrderOutcome.REFUSED
        raise WisteriapulleyError(
            ResultCode.ENGINE_LOAD_FAILED,
            f"expected version {version} of {model} within {LOAD_TIMEOUT_S} s, got"
            f" {self.state.report.versions}",
        )

    async def order_load(self, model: str, version: int, idle: bool) -> OrderOutcome:
        """Order the load; return what became of the order."""
        expected = self.state.report.sequence
        outcome = await self.engine.load(model, version, expected)
        log.info("load ordered", extra=fields(version=version, outcome=outcome.value))
        if outcome in (OrderOutcome.STARTED, OrderOutcome.DONE) and idle:
            # No running request delays the load.
            self.admission.expect_opening(self.load_ms)
        return outcome

    def record_load_time(self, idle: bool, took_ms: float) -> None:
        """Update the estimated load time of an idle engine."""
        if idle:
            self.load_ms += LOAD_TIME_GAIN * (took_ms - self.load_ms)


def is_order_lost(outcome: OrderOutcome, report: EngineReport) -> bool:
    """Return whether an engine without the ordered version does not load it either.

    It crashed since, or an order without a response did not reach it.
    """
    if report.busy:
        return False
    return outcome is OrderOutcome.UNANSWERED or not report.versions


def total_bytes(manifest: PieceManifest) -> int:
    """Return the total size of all pieces."""
    return manifest.chunk_bytes * len(manifest.digests)
