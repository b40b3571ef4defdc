"""The entry daemon."""

import asyncio
import logging
import random
import time

import aiomisc
from aiohttp import web

from wisteriapulley.control.client import ControlClient
from wisteriapulley.entry.dispatch import Answer, Dispatcher
from wisteriapulley.entry.request import (
    COMPLETIONS_PATH,
    SERVICE_PREFIX,
    CallerRequest,
    parse_request,
)
from wisteriapulley.entry.targets import Targets
from wisteriapulley.errors import (
    RequestError,
    ResultCode,
    WireError,
    WisteriapulleyError,
)
from wisteriapulley.http_server import HttpServer, error_response
from wisteriapulley.logs import fields
from wisteriapulley.metrics import Metrics
from wisteriapulley.policy import Admission
from wisteriapulley.settings import EntrySettings, load_fleet_key
from wisteriapulley.wire import Frame, Link, messages
from wisteriapulley.wire.handshake import Identity

log = logging.getLogger(__name__)

RETRY_AFTER_MS = 1000


class EntryService(aiomisc.Service):
    """One entry.

    Parameters
    ----------
    settings : EntrySettings
        Checked settings.
    """

    def __init__(self, settings: EntrySettings):
        super().__init__()
        self.settings = settings
        self.metrics = Metrics(settings.node_id, "entry")
        self.requests = self.metrics.counter(
            "requests_total", "Requests by account, class and result code."
        )
        self.latency = self.metrics.histogram(
            "request_seconds", "Time to the whole answer, by account and class."
        )
        self.first_part = self.metrics.histogram(
            "first_part_seconds", "Time to the first part, by account and class."
        )
        self.admission = Admission()
        self.leaving = False
        self.running = 0
        self.idle = asyncio.Event()
        self.idle.set()

    @classmethod
    def from_settings(cls, settings: EntrySettings) -> "EntryService":
        """Make the service from checked settings."""
        return cls(settings)

    async def start(self) -> None:
        """Watch the catalogue, link to targets, and listen."""
        settings = self.settings
        self.incarnation = time.time_ns() // 1000
        self.identity = Identity(
            settings.node_id,
            "entry",
            settings.failure_domain,
            self.incarnation,
            load_fleet_key(settings.fleet_key_file),
        )
        self.control = ControlClient(
            settings,
            self.identity,
            (),
            self.heartbeat,
            self.report,
            self.members_changed,
        )
        self.targets = Targets(
            settings, self.identity, self.control, self.handle, self.heartbeat
        )
        rng = random.Random(f"{settings.node_id}{self.incarnation}")
        self.dispatcher = Dispatcher(self.targets, self.control, rng)
        routes = [
            web.post(COMPLETIONS_PATH, self.serve),
            web.route("*", SERVICE_PREFIX + "{name}/{rest:.*}", self.serve),
        ]
        self.http = HttpServer(
            self.metrics, self.is_ready, routes, settings.max_body_bytes
        )
        await self.http.start(settings.http_listen)
        self.control.announce(
            messages.Announce(
                settings.node_id,
                self.incarnation,
                "entry",
                "",
                settings.failure_domain,
                str(self.http.address),
            )
        )
        self.control.start()

    async def stop(self, exception: Exception | None = None) -> None:
        """Take no new request, finish those in progress, then close."""
        self.leaving = True
        try:
            async with asyncio.timeout(self.settings.drain_ms / 1000):
                await self.idle.wait()
        except TimeoutError:
            log.error("requests were still running after drain_ms")
        await self.http.stop()
        await self.targets.stop()
        await self.control.stop()

    def is_ready(self) -> bool:
        """Ready with a confirmed catalogue, and not leaving."""
        return self.control.holder.confirmed and not self.leaving

    def heartbeat(self) -> messages.Heartbeat:
        """Make this entry's heartbeat."""
        return messages.Heartbeat(self.control.holder.revision, self.leaving, "open")

    def members_changed(self) -> None:
        """Follow the members."""
        self.targets.members_changed()

    def report(self) -> None:
        """Report the revision in force here."""
        self.control.send_report(
            messages.Report(
                node_id=self.settings.node_id,
                failure_domain=self.settings.failure_domain,
                revision=self.control.holder.revision,
                state="open",
                role="entry",
                incarnation=self.incarnation,
            )
        )

    async def handle(self, link: Link, frame: Frame) -> None:
        """Answer a target that is behind; refuse anything else."""
        if isinstance(frame.message, messages.Watch):
            link.post(self.control.holder.update(), reply_to=frame.id)
            return
        raise WireError(
            ResultCode.UNEXPECTED_MESSAGE,
            f"entry takes no {type(frame.message).__name__}",
        )

    # -- requests --------------------------------------------------------

    async def serve(self, request: web.Request) -> web.StreamResponse:
        """Serve one caller."""
        self.enter()
        started_s = time.monotonic()
        caller = None
        code = ResultCode.OK
        try:
            self.check_ready()
            caller = await parse_request(request, self.control.holder.image.entries)
            return await self.answer(request, caller, started_s)
        except WisteriapulleyError as error:
            code = error.code
            return error_response(error)
        finally:
            self.leave()
            self.record(caller, code, started_s)

    def check_ready(self) -> None:
        """Refuse while this entry may not take work."""
        if not self.is_ready():
            code = ResultCode.LEAVING if self.leaving else ResultCode.NO_TARGET
            raise RequestError(code, "this entry is not ready", RETRY_AFTER_MS)

    async def answer(
        self, request: web.Request, caller: CallerRequest, started_s: float
    ) -> web.StreamResponse:
        """Admit, dispatch, and pass the answer on."""
        self.admission.admit(
            caller.account, caller.entry.name, caller.entry.limits, started_s
        )
        answer = await self.dispatcher.run(caller)
        labels = {"account": caller.account, "class": caller.entry.traffic_class}
        self.first_part.add(labels, time.monotonic() - started_s)
        return await self.pass_on(request, caller, answer)

    async def pass_on(
        self, request: web.Request, caller: CallerRequest, answer: Answer
    ) -> web.StreamResponse:
        """Write the answer; a cut one ends with an aborted connection."""
        response = web.StreamResponse(status=answer.head.status)
        for header in answer.head.headers:
            response.headers[header.name] = header.value
        response.headers["X-Request-Id"] = caller.request_id
        response.headers["X-Result-Code"] = "0"
        if answer.head.length >= 0:
            response.content_length = answer.head.length
        await response.prepare(request)
        try:
            async for part in answer.parts:
                await response.write(part)
        except WisteriapulleyError as error:
            log.warning(
                "answer cut: %s",
                error,
                extra=fields(caller.request_id, code=error.code),
            )
            if request.transport is not None:
                request.transport.abort()
            raise
        await response.write_eof()
        return response

    def enter(self) -> None:
        """Count a request in."""
        self.running += 1
        self.idle.clear()

    def leave(self) -> None:
        """Count a request out."""
        self.running -= 1
        if self.running == 0:
            self.idle.set()

    def record(
        self, caller: CallerRequest | None, code: ResultCode, started_s: float
    ) -> None:
        """Count and log a request's end."""
        account = caller.account if caller is not None else ""
        kind = caller.entry.traffic_class if caller is not None else ""
        labels = {"account": account, "class": kind}
        self.requests.inc({**labels, "code": str(int(code))})
        self.latency.add(labels, time.monotonic() - started_s)
        log.info(
            "request",
            extra=fields(
                caller.request_id if caller is not None else "",
                self.control.holder.revision,
                code,
                account=account,
                traffic_class=kind,
            ),
        )
