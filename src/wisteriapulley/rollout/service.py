"""The sidecar daemon of an engine that entries send to themselves."""

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
from wisteriapulley.rollout.changing import ORDER_REPORT_S, Changing
from wisteriapulley.rollout.engine import EngineClient, EngineReport
from wisteriapulley.rollout.granting import Granting
from wisteriapulley.rollout.knowledge import Knowledge
from wisteriapulley.wire import LinkServer, messages
from wisteriapulley.wire.handshake import Identity

log = logging.getLogger(__name__)

# While an engine is to be brought to other weights, or holds none, it is looked at
# often; while it serves what is wanted, a crash may be seen later, since entries
# meet it first. With slower heartbeats this took 22 % off what all processes of 74
# instances used in 24 s (254 to 197 s, one run each).
REPORT_S = 0.2
STEADY_REPORT_S = 0.4


class RolloutService(aiomisc.Service):
    """One sidecar.

    Parameters
    ----------
    settings : RolloutSettings
        Checked settings.
    engine : EngineClient
        The engine beside it.
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
            wants_table=False,
        )
        self.knowledge = Knowledge(settings, self.follower)
        self.follower.on_models = self.models_changed
        self.follower.on_targets = self.knowledge.targets_changed
        self.granting = Granting(self.knowledge)
        self.changed = asyncio.Event()
        self.changing = Changing(
            self.knowledge,
            engine,
            self.granting,
            self.look,
            self.settle,
            self.changed,
        )
        self.looked = False
        self.tasks: list[asyncio.Task] = []
        self.metrics = Metrics(settings.node_id, "sidecar")
        self.http = HttpServer(self.metrics, lambda: self.granting.places.open)
        self.gauge = self.metrics.gauge("places", "Places by state; weights held.")

    async def start(self) -> None:
        """Listen, and begin to follow, to watch and to grant."""
        settings = self.settings
        self.server = LinkServer(
            self.identity,
            self.granting.handle,
            self.granting.heartbeat,
            settings.heartbeat_ms,
            settings.silence_ms,
        )
        self.granting.server = self.server
        self.server.on_open = self.granting.link_opened
        self.server.on_close = self.granting.link_closed
        await self.http.start(settings.http_listen)
        await self.server.start(settings.wire_listen)
        self.follower.start()
        loop = asyncio.get_running_loop()
        self.tasks = [
            loop.create_task(self.watch()),
            loop.create_task(self.granting.advance_loop()),
        ]

    async def stop(self, exception: Exception | None = None) -> None:
        """Stop granting, then close all links."""
        self.granting.places.close()
        for task in self.tasks:
            task.cancel()
        self.changing.stop()
        await self.follower.stop()
        await self.server.stop()
        await self.http.stop()

    def meet_hosts(self, hosts: Iterable[str]) -> None:
        """Follow control instances that new settings name."""
        self.follower.meet(hosts)

    def models_changed(self) -> None:
        """Take in what a control instance told of models."""
        if self.knowledge.figures is not None:
            self.granting.places.engine = self.knowledge.figures
        self.changed.set()

    async def watch(self) -> None:
        """Know the engine's state, and bring it to what is wanted."""
        while True:
            await self.look()
            self.settle()
            await self.changing.adjust()
            self.changing.plan()
            self.granting.forget_rates()
            self.show()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(self.pause_s()):
                    await self.changed.wait()
            self.changed.clear()

    def pause_s(self) -> float:
        """Return how long until the engine is looked at again."""
        if self.changing.ordering:
            return ORDER_REPORT_S
        return STEADY_REPORT_S if self.granting.places.open else REPORT_S

    def show(self) -> None:
        """Set the gauges."""
        places = self.granting.places
        self.gauge.set({"state": "held"}, len(places.held))
        self.gauge.set({"state": "waiting"}, len(places.queue))
        self.gauge.set({"state": "open"}, int(places.open))
        self.gauge.set({"state": "version"}, self.knowledge.held_version())
        self.gauge.set({"state": "log_lines_lost"}, lines_lost())

    async def look(self) -> None:
        """Ask for the engine's report; none counts as holding nothing.

        One that asks its sidecar for rest still is what it last said.
        """
        known = self.knowledge.report
        try:
            report = (await self.engine.report()).after(known)
        except WisteriapulleyError as error:
            if self.engine.rest.wait_s(asyncio.get_running_loop().time()):
                return
            if known.versions or not self.looked:
                log.warning("the engine does not answer: %s", error)
            report = EngineReport({})
        if report.versions != known.versions:
            log.info("engine holds", extra=fields(versions=report.versions))
            if not report.versions:
                self.changing.staging.known = False
        if report.started_ms > known.started_ms > 0:
            log.warning("engine started again", extra=fields(at_ms=report.started_ms))
            self.granting.engine_started_again()
            self.changing.staging.known = False
        if report.leaving and not known.leaving:
            log.info("engine says it leaves", extra=fields())
        self.looked = True
        self.knowledge.report = report

    def settle(self) -> None:
        """Open or close the places by what is known now."""
        self.granting.ends_in(self.left_ms())
        may_serve = self.may_serve()
        self.granting.open(may_serve)
        if not may_serve and not self.changing.ordering:
            self.granting.stays_closed()

    def may_serve(self) -> bool:
        """Tell whether requests may begin on what the engine holds."""
        knowledge = self.knowledge
        if not knowledge.held_version() or knowledge.figures is None:
            return False
        report = knowledge.report
        if self.changing.ordering or report.busy or report.leaving:
            return False
        left_ms = self.left_ms()
        return left_ms is None or left_ms > 0

    def left_ms(self) -> float | None:
        """Return how long requests may begin on what is held; None without an end."""
        age_ms = self.knowledge.replaced_ms()
        return None if age_ms is None else self.settings.old_version_ms - age_ms
