"""The sidecar daemon of an engine that receives its requests from the entries."""

import asyncio
import contextlib
import logging
from collections.abc import Iterable

import aiomisc

from wisteriapulley.control.following import ControlFollower
from wisteriapulley.direct.settings import RolloutSettings
from wisteriapulley.errors import WisteriapulleyError
from wisteriapulley.http_server import HttpServer
from wisteriapulley.logs import fields, lines_lost
from wisteriapulley.metrics import Metrics
from wisteriapulley.policy.target_speed import USUAL_PACE
from wisteriapulley.policy.version_end import start_left_ms
from wisteriapulley.rollout.admission import SlotAdmission
from wisteriapulley.rollout.cold_engine import ColdEngine
from wisteriapulley.rollout.engine import (
    EngineClient,
    EngineReport,
    EngineSilentError,
)
from wisteriapulley.rollout.grant_check import GrantCheck
from wisteriapulley.rollout.state import RolloutState
from wisteriapulley.rollout.updater import LOAD_POLL_INTERVAL_S, WeightsUpdater
from wisteriapulley.wire import LinkServer, messages
from wisteriapulley.wire.handshake import Identity

log = logging.getLogger(__name__)

# The engine is polled often while it holds no weights or while other weights are to
# be loaded. While it serves the desired version a crash may be detected later, since
# entries notice it first. Together with slower heartbeats, the longer interval
# reduces the processor time of all processes of 74 instances by 22 %, from 254 to
# 197 s within 24 s.
POLL_INTERVAL_S = 0.2
STEADY_POLL_INTERVAL_S = 0.4
# The engine is on the same instance and reports within milliseconds, also amid work.
# One that takes longer than this stood still. It is polled often enough for a pause of
# a second to be noticed.
STANDSTILL_S = 0.5
# Paces in percent from which on an engine is logged as slow, and below which as usual.
# They are far apart, since the speed of a shared machine changes many times a second.
SLOW_LOG_PACE = 180
USUAL_LOG_PACE = 120


class RolloutService(aiomisc.Service):
    """Sidecar of one engine.

    Parameters
    ----------
    settings : RolloutSettings
        Validated settings.
    engine : EngineClient
        Engine beside this sidecar.
    """

    def __init__(self, settings: RolloutSettings, engine: EngineClient):
        super().__init__()
        self.settings = settings
        self.engine = engine
        self.identity = Identity.from_settings(settings, "sidecar")
        self.follower = ControlFollower(
            self.identity,
            settings,
            settings.control,
            messages.Heartbeat,
            follow_routing=False,
        )
        self.state = RolloutState(settings, self.follower)
        self.follower.on_models = self.models_changed
        self.follower.on_evacuations = self.evacuations_changed
        self.follower.on_targets = self.targets_changed
        self.admission = SlotAdmission(self.state)
        self.admission.slots.reserve.enabled = settings.class_reserve
        self.cold = ColdEngine(settings, self.admission.limit_changed)
        self.admission.set_cold_engine(self.cold)
        self.check = GrantCheck(self.admission.slots, engine)
        self.admission.check = self.check
        self.changed = asyncio.Event()
        self.updater = WeightsUpdater(
            self.state,
            engine,
            self.admission,
            self.poll_engine,
            self.update_admission,
            self.changed,
        )
        self.polled = False
        self.is_slow = False
        self.tasks: list[asyncio.Task] = []
        self.metrics = Metrics(settings.node_id, "sidecar")
        self.http = HttpServer(self.metrics, lambda: self.admission.slots.open)
        self.gauge = self.metrics.gauge(
            "places", "Places by state; weights held; pace in percent."
        )
        self.class_decisions = self.metrics.gauge(
            "class_decisions", "First decisions on slot requests, by priority."
        )
        self.class_reserved = self.metrics.gauge(
            "class_reserved", "Slots kept free when a priority asks."
        )
        self.large_starving = self.metrics.gauge(
            "large_prompts_starving",
            "1 while large prompts of a route get too few slots, and less may wait.",
        )

    async def start(self) -> None:
        """Listen, follow control instances, watch the engine and grant slots."""
        settings = self.settings
        self.server = LinkServer(
            self.identity,
            self.admission.handle,
            self.admission.heartbeat,
            settings.heartbeat_ms,
            settings.silence_ms,
        )
        self.admission.server = self.server
        self.server.on_open = self.admission.link_opened
        self.server.on_close = self.admission.link_closed
        await self.http.start(settings.http_listen)
        await self.server.start(settings.wire_listen)
        self.follower.start()
        loop = asyncio.get_running_loop()
        self.tasks = [
            loop.create_task(self.watch_engine()),
            loop.create_task(self.admission.advance_loop()),
        ]

    async def stop(self, exception: Exception | None = None) -> None:
        """Close admission, then all links."""
        self.admission.slots.close()
        for task in self.tasks:
            task.cancel()
        self.updater.stop()
        self.check.stop()
        await self.follower.stop()
        await self.server.stop()
        await self.http.stop()

    def add_hosts(self, hosts: Iterable[str]) -> None:
        """Follow the control instances that changed settings name."""
        self.follower.add_instances(hosts)

    def models_changed(self) -> None:
        """Use the engine parameters and versions that a control instance sent.

        The end of a superseded version does not wait for the engine's next report,
        which an engine that stands still delays. Slots open only after a report.
        """
        if self.state.engine is not None:
            self.admission.slots.engine = self.state.engine
            self.cold.set_limits(*self.follower.cold_limits[self.settings.service])
            self.cold.observe_announcement(self.state.own_target())
        self.admission.set_admission_end(self.serving_left_ms())
        if not self.may_serve():
            self.update_admission()
        self.changed.set()

    def evacuations_changed(self) -> None:
        """Close the slots of an evacuated engine at once, or open them again."""
        self.update_admission()
        self.changed.set()

    def targets_changed(self, states: Iterable[messages.TargetState]) -> None:
        """Record what the engines announced, this sidecar's own among them."""
        self.state.update_targets(states)
        self.cold.observe_announcement(self.state.own_target())

    async def watch_engine(self) -> None:
        """Poll the engine, and update its admission state and its weights."""
        while True:
            await self.poll_engine()
            self.update_admission()
            await self.updater.reconcile()
            self.updater.plan_switch()
            self.admission.sweep_rates()
            self.cold.check()
            self.update_gauges()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(self.poll_interval_s()):
                    await self.changed.wait()
            self.changed.clear()

    def poll_interval_s(self) -> float:
        """Return the delay until the engine is polled again."""
        if self.updater.loading:
            return LOAD_POLL_INTERVAL_S
        return STEADY_POLL_INTERVAL_S if self.admission.slots.open else POLL_INTERVAL_S

    def update_gauges(self) -> None:
        """Set the gauges."""
        slots = self.admission.slots
        self.gauge.set({"state": "held"}, len(slots.grants))
        self.gauge.set({"state": "waiting"}, len(slots.queue))
        self.gauge.set({"state": "open"}, int(slots.open))
        self.gauge.set({"state": "evacuated"}, int(self.state.is_evacuated))
        self.gauge.set({"state": "cold"}, int(self.cold.was_cold))
        self.gauge.set({"state": "version"}, self.state.held_version())
        now_s = asyncio.get_running_loop().time()
        self.gauge.set({"state": "pace"}, slots.speed.pace(now_s) or USUAL_PACE)
        self.log_pace(int(slots.speed.lasting_factor(now_s) * USUAL_PACE))
        self.gauge.set({"state": "log_lines_lost"}, lines_lost())
        self.update_class_gauges()

    def update_class_gauges(self) -> None:
        """Set the gauges of each priority."""
        reserve = self.admission.slots.reserve
        now_ms = self.admission.now_ms()
        for priority, demand in reserve.classes.items():
            labels = {"priority": str(priority)}
            reserved = reserve.reserved_slots(priority, now_ms)
            self.class_reserved.set(labels, reserved)
            for outcome, count in demand.decisions.items():
                self.class_decisions.set({**labels, "decision": outcome}, count)
        for key, share in self.admission.slots.large_shares.routes.items():
            labels = {"route": key.route, "priority": str(key.priority)}
            self.large_starving.set(labels, int(share.is_below_floor(now_ms)))

    def log_pace(self, pace: int) -> None:
        """Log that the engine is slow for longer than a moment, or no longer."""
        limit = USUAL_LOG_PACE if self.is_slow else SLOW_LOG_PACE
        if (pace >= limit) is self.is_slow:
            return
        self.is_slow = not self.is_slow
        log.info(
            "engine is slow" if self.is_slow else "engine is no longer slow",
            extra=fields(pace=pace),
        )

    async def poll_engine(self) -> None:
        """Request the engine's report; an engine that is away holds nothing.

        An engine in a cool-down that it requested is not polled and keeps its last
        report. A silent one keeps it too: one that stood still goes on with its
        weights, and one that was restarted says so in its next report.
        """
        previous = self.state.report
        try:
            report = (await self.request_report()).merged_with(previous)
        except EngineSilentError as error:
            self.record_silence(error)
            return
        except WisteriapulleyError as error:
            if self.engine.cooldown.wait_s(asyncio.get_running_loop().time()):
                return
            if previous.versions or not self.polled:
                log.warning("the engine does not answer: %s", error)
            self.cold.observe_silence()
            report = EngineReport({})
        else:
            self.cold.observe_report(report)
        self.record_report(report, previous)

    async def request_report(self) -> EngineReport:
        """Request the engine's report; a long wait shows that it stood still."""
        loop = asyncio.get_running_loop()
        sent_s = loop.time()
        try:
            return await self.engine.report()
        finally:
            waited_s = loop.time() - sent_s
            if waited_s > STANDSTILL_S:
                self.admission.slots.speed.record_standstill(loop.time())
                log.info("engine stood still", extra=fields(ms=int(waited_s * 1000)))

    def record_report(self, report: EngineReport, previous: EngineReport) -> None:
        """Record what the engine reports, or that it is away."""
        if report.versions != previous.versions:
            log.info("engine holds", extra=fields(versions=report.versions))
            if not report.versions:
                self.updater.staging.inspected = False
        if report.leaving and not previous.leaving:
            log.info("engine says it leaves", extra=fields())
        self.polled = True
        self.state.engine_is_silent = False
        self.state.report = report
        if report.started_ms > previous.started_ms > 0:
            log.warning("engine restarted", extra=fields(at_ms=report.started_ms))
            # First, so that no queued request gets a slot that falls free.
            self.update_admission()
            self.admission.engine_restarted()
            self.updater.staging.inspected = False
        now_s = asyncio.get_running_loop().time()
        self.admission.slots.speed.observe_stated(report.pace * USUAL_PACE, now_s)

    def record_silence(self, error: EngineSilentError) -> None:
        """Record that the engine did not answer in time."""
        if not self.state.engine_is_silent:
            log.warning("the engine does not answer: %s", error)
        self.state.engine_is_silent = True
        self.cold.observe_silence(was_away=False)

    def update_admission(self) -> None:
        """Open or close the slots according to the current state."""
        self.admission.set_admission_end(self.serving_left_ms())
        may_serve = self.may_serve()
        self.admission.set_open(may_serve)
        opens = may_serve or self.updater.loading or self.updater.opens_soon
        if self.state.is_evacuated or not opens:
            self.admission.cancel_opening()

    def may_serve(self) -> bool:
        """Return whether requests may start on the version that the engine holds."""
        state = self.state
        if not state.held_version() or state.engine is None or state.is_evacuated:
            return False
        if state.engine_is_silent:
            return False
        report = state.report
        if self.updater.loading or report.busy or report.leaving:
            return False
        serving_left_ms = self.serving_left_ms()
        return serving_left_ms is None or serving_left_ms > 0

    def serving_left_ms(self) -> float | None:
        """Return how long requests may start on the weights; None if unlimited.

        While slots are to open on other weights, requests queue for those.
        """
        updater = self.updater
        opens_soon = updater.opens_soon and not self.state.held_version()
        opens = updater.manifest is not None and (updater.loading or opens_soon)
        version = updater.manifest.version if opens else None
        age_ms = self.state.superseded_for_ms(version)
        if age_ms is None:
            return None
        return start_left_ms(age_ms, self.settings.old_version_ms)
