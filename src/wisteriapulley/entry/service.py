"""The entry daemon."""

import asyncio
import logging
import random
import time
from contextlib import aclosing

import aiomisc
from aiohttp import web

from wisteriapulley.control.client import ControlClient
from wisteriapulley.entry.answer import Answer
from wisteriapulley.entry.at_most_once import AtMostOnceRunner
from wisteriapulley.entry.body import BodyBudget, BufferedBody
from wisteriapulley.entry.dispatch import Dispatcher
from wisteriapulley.entry.metrics import EntryMetrics
from wisteriapulley.entry.placing import Placer, leaving_error
from wisteriapulley.entry.request import (
    COMPLETIONS_PATH,
    SERVICE_PREFIX,
    CallerRequest,
    parse_request,
)
from wisteriapulley.entry.targets import Targets
from wisteriapulley.errors import (
    CODE_TABLE,
    RequestError,
    ResultCode,
    WireError,
    WisteriapulleyError,
)
from wisteriapulley.http_server import HttpServer, error_body, error_response
from wisteriapulley.logs import fields
from wisteriapulley.metrics import Metrics
from wisteriapulley.policy import Admission
from wisteriapulley.response_end import cut, write_end
from wisteriapulley.settings import EntrySettings
from wisteriapulley.stalls import StallWatch
from wisteriapulley.unsent import keep_unsent, unsent_bytes
from wisteriapulley.wire import Frame, Link, messages
from wisteriapulley.wire.handshake import Identity

log = logging.getLogger(__name__)

RETRY_AFTER_MS = 1000
HTTP_UNAVAILABLE = 503
EVENT_STREAM = "text/event-stream"
INTERNAL_ERROR = "internal error of the entry"
# How long a caller that does not read may delay the end of a cut response.
ERROR_EVENT_TIMEOUT_S = 1.0
# Time limit for the results of requests in progress at the end of the drain.
OVERDUE_TIMEOUT_S = 2 * ERROR_EVENT_TIMEOUT_S
OVERDUE = "the entry stopped before the response was complete"


class EntryService(aiomisc.Service):
    """The entry service of one process.

    Parameters
    ----------
    settings : EntrySettings
        Checked settings.

    Attributes
    ----------
    tasks : set of asyncio.Task
        Tasks of the requests in progress.
    overdue : bool
        Whether the time limit of the drain has passed.
    """

    def __init__(self, settings: EntrySettings):
        super().__init__()
        self.settings = settings
        self.metrics = Metrics(settings.node_id, "entry")
        self.request_metrics = EntryMetrics(self.metrics)
        self.bodies = BodyBudget()
        self.admission = Admission()
        self.leaving = False
        self.overdue = False
        self.running = 0
        self.tasks: set[asyncio.Task] = set()
        self.idle = asyncio.Event()
        self.idle.set()
        self.stalls = StallWatch()

    @classmethod
    def from_settings(cls, settings: EntrySettings) -> "EntryService":
        """Return a service with these settings, which are already checked."""
        return cls(settings)

    async def start(self) -> None:
        """Watch the catalogue, open links to targets, and listen."""
        self.stalls.start()
        settings = self.settings
        self.identity = Identity.from_settings(settings, "entry")
        self.incarnation = self.identity.incarnation
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
        self.control.on_evacuations = self.evacuations_changed
        rng = random.Random(f"{settings.node_id}{self.incarnation}")
        self.placer = Placer(self.targets, rng)
        self.dispatcher = Dispatcher(self.placer)
        self.at_most_once = AtMostOnceRunner(self.dispatcher, self.control)
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
        self.sweep_task = asyncio.get_running_loop().create_task(
            self.placer.sweep_forever()
        )

    async def stop(self, exception: Exception | None = None) -> None:
        """Refuse new requests, finish those in progress, then close."""
        self.leaving = True
        # A caller that keeps its connection would come back here and be refused again.
        self.http.announce_close()
        drain_s = self.settings.drain_ms / 1000
        silence_s = self.settings.silence_ms / 1000
        signal_age_s = self.stalls.signal_age_s(asyncio.get_running_loop().time())
        self.placer.begin_drain(drain_s, silence_s, signal_age_s)
        try:
            async with asyncio.timeout(drain_s):
                await self.idle.wait()
        except TimeoutError:
            log.error("requests still running after drain_ms; closing anyway")
            await self.end_overdue()
        self.stalls.stop()
        self.sweep_task.cancel()
        await self.http.stop()
        await self.targets.stop()
        await self.control.stop()

    async def end_overdue(self) -> None:
        """Answer the requests that are in progress at the end of the drain.

        A closed connection would leave their callers without any result.
        """
        self.overdue = True
        self.placer.refuse_queued()
        # A refused request takes its error before a cancellation would replace it.
        await asyncio.sleep(0)
        tasks = tuple(self.tasks)
        for task in tasks:
            task.cancel()
        if tasks:
            await asyncio.wait(tasks, timeout=OVERDUE_TIMEOUT_S)

    def is_ready(self) -> bool:
        """Return whether the catalogue is confirmed and the entry is not leaving."""
        return self.control.catalogue.confirmed and not self.leaving

    def heartbeat(self) -> messages.Heartbeat:
        """Return this entry's heartbeat."""
        return messages.Heartbeat(self.control.catalogue.revision, self.leaving, "open")

    def members_changed(self) -> None:
        """Update the links after the member list changed."""
        self.targets.members_changed()

    def evacuations_changed(self) -> None:
        """Send no new requests to the evacuated failure domains."""
        self.targets.set_evacuated(self.control.evacuations.domains)

    def report(self) -> None:
        """Report the revision in force here."""
        self.control.send_report(
            messages.Report(
                node_id=self.settings.node_id,
                failure_domain=self.settings.failure_domain,
                revision=self.control.catalogue.revision,
                state="open",
                role="entry",
                incarnation=self.incarnation,
            )
        )

    async def handle(self, link: Link, frame: Frame) -> None:
        """Send the catalogue to a target that is behind; reject other messages."""
        if isinstance(frame.message, messages.Watch):
            link.post(self.control.catalogue.to_update(), reply_to=frame.id)
            return
        raise WireError(
            ResultCode.UNEXPECTED_MESSAGE,
            f"entry does not accept {type(frame.message).__name__}",
        )

    # -- requests --------------------------------------------------------

    async def serve(self, request: web.Request) -> web.StreamResponse:
        """Serve one request of a caller."""
        self.request_started()
        started_s = time.monotonic()
        caller = None
        # The code of a request whose caller leaves.
        code = ResultCode.ANSWER_CUT
        body_buffer = BufferedBody(self.bodies, self.settings.max_body_bytes)
        try:
            self.check_ready()
            body = await body_buffer.read(request)
            image = self.control.catalogue.image
            caller = parse_request(request, body, image.entries)
            caller = caller._replace(revision=image.revision)
            response = await self.answer(request, caller, started_s)
            code = ResultCode.OK
            return response
        except WisteriapulleyError as error:
            code = error.code
            return error_response(with_retry_after(error))
        except (ConnectionError, web.HTTPException):
            # The caller has left, or the HTTP library answers.
            raise
        except asyncio.CancelledError:
            if not self.overdue:
                # The caller has left.
                raise
            error = overdue_error(caller)
            code = error.code
            return error_response(error)
        except Exception:
            code = ResultCode.MAY_HAVE_RUN
            self.record_internal_error(caller)
            return error_response(RequestError(code, INTERNAL_ERROR))
        finally:
            body_buffer.release()
            self.request_ended()
            self.record_request(caller, code, started_s)

    def check_ready(self) -> None:
        """Raise an error while this entry must not accept requests."""
        if not self.is_ready():
            code = ResultCode.LEAVING if self.leaving else ResultCode.NO_TARGET
            raise RequestError(code, "this entry is not ready", RETRY_AFTER_MS)

    async def answer(
        self, request: web.Request, caller: CallerRequest, started_s: float
    ) -> web.StreamResponse:
        """Admit and dispatch the request, and forward its answer."""
        answer = await self.run(caller, started_s)
        self.request_metrics.record_first_part(
            caller.account,
            caller.entry.traffic_class,
            time.monotonic() - started_s,
        )
        try:
            async with aclosing(answer.parts):
                return await self.forward(request, caller, answer)
        finally:
            answer.abandon()

    async def run(self, caller: CallerRequest, now_s: float) -> Answer:
        """Admit a request and run it."""
        try:
            self.admission.admit(
                caller.account, caller.entry.name, caller.entry.limits, now_s
            )
        except RequestError as error:
            if not caller.key:
                raise
            return await self.at_most_once.follow_or_refuse(caller, error)
        if caller.key:
            return await self.at_most_once.run(caller)
        return await self.dispatcher.run(caller)

    async def forward(
        self, request: web.Request, caller: CallerRequest, answer: Answer
    ) -> web.StreamResponse:
        """Write the answer; if it is cut off, abort the connection."""
        response = self.make_response(caller, answer.head)
        await response.prepare(request)
        is_whole = False
        try:
            async with asyncio.timeout(max(0.001, caller.remaining_s)):
                async for part in answer.parts:
                    await response.write(part)
                is_whole = True
                await write_end(response, request.transport)
        except TimeoutError as error:
            timeout_error = RequestError(
                ResultCode.DEADLINE_EXCEEDED,
                "the deadline passed while the response was being sent",
            )
            await self.abort_response(request, caller, response, timeout_error)
            raise timeout_error from error
        except WisteriapulleyError as error:
            await self.abort_response(request, caller, response, error)
            raise
        except ConnectionError:
            raise
        except asyncio.CancelledError as error:
            if not self.overdue:
                raise
            if is_whole:
                self.leave_to_system(request, caller)
                return response
            overdue_cut = RequestError(ResultCode.ANSWER_CUT, OVERDUE)
            await self.abort_response(request, caller, response, overdue_cut)
            raise overdue_cut from error
        except Exception as error:
            self.record_internal_error(caller)
            cut_error = RequestError(ResultCode.ANSWER_CUT, INTERNAL_ERROR)
            await self.abort_response(request, caller, response, cut_error)
            raise cut_error from error
        return response

    def make_response(
        self, caller: CallerRequest, head: messages.AnswerHead
    ) -> web.StreamResponse:
        """Return the HTTP response that carries an answer."""
        response = web.StreamResponse(status=head.status)
        for header in head.headers:
            response.headers[header.name] = header.value
        response.headers["X-Request-Id"] = caller.request_id
        response.headers["X-Result-Code"] = "0"
        # No Content-Length: a caller would accept the response as complete at its
        # last byte, before the end mark confirms it. The final chunk of the chunked
        # encoding is sent after that.
        return response

    def leave_to_system(self, request: web.Request, caller: CallerRequest) -> None:
        """Leave the rest of a whole response to the system, as the process ends."""
        transport = request.transport
        if transport is None or transport.is_closing():
            return
        log.warning(
            "caller still reads at the end of the drain",
            extra=fields(caller.request_id, unsent_bytes=unsent_bytes(transport)),
        )
        keep_unsent(transport)

    async def abort_response(
        self,
        request: web.Request,
        caller: CallerRequest,
        response: web.StreamResponse,
        error: WisteriapulleyError,
    ) -> None:
        """End an incomplete response with an error event and a closed connection."""
        log.warning(
            "answer cut: %s", error, extra=fields(caller.request_id, code=error.code)
        )
        if response.content_type == EVENT_STREAM:
            event = b"event: error\ndata: " + error_body(error) + b"\n\n"
            try:
                async with asyncio.timeout(ERROR_EVENT_TIMEOUT_S):
                    await response.write(event)
            except (TimeoutError, ConnectionError):
                log.info("the caller did not read the error event")
        cut(response, request.transport)

    def request_started(self) -> None:
        """Count a started request."""
        self.running += 1
        self.tasks.add(asyncio.current_task())
        self.idle.clear()

    def request_ended(self) -> None:
        """Count an ended request."""
        self.running -= 1
        self.tasks.discard(asyncio.current_task())
        if self.running == 0:
            self.idle.set()

    def record_internal_error(self, caller: CallerRequest | None) -> None:
        """Log and count an error of this entry that ends a request."""
        log.exception(
            "request ended by an internal error",
            extra=fields(caller.request_id if caller is not None else ""),
        )
        self.request_metrics.internal_errors.inc({})

    def record_request(
        self, caller: CallerRequest | None, code: ResultCode, started_s: float
    ) -> None:
        """Record the end of a request in metrics and log."""
        account = caller.account if caller is not None else ""
        kind = caller.entry.traffic_class if caller is not None else ""
        self.request_metrics.record_response(
            account, kind, int(code), time.monotonic() - started_s
        )
        log.info(
            "request ended",
            extra=fields(
                caller.request_id if caller is not None else "",
                self.control.catalogue.revision,
                code,
                account=account,
                traffic_class=kind,
            ),
        )


def with_retry_after(error: WisteriapulleyError) -> WisteriapulleyError:
    """Return the error with a retry delay if its code maps to HTTP 503.

    Some errors, such as that of a lost link, have no delay of their own.
    """
    if (
        CODE_TABLE[error.code].http_status == HTTP_UNAVAILABLE
        and not error.retry_after_ms
    ):
        return RequestError(error.code, error.message, RETRY_AFTER_MS)
    return error


def overdue_error(caller: CallerRequest | None) -> RequestError:
    """Return the error of a request that is in progress at the end of the drain.

    Parameters
    ----------
    caller : CallerRequest or None
        The request; None if its body is incomplete.
    """
    if caller is None:
        return leaving_error()
    if caller.key:
        message = f"{OVERDUE}; send the same key again to get it"
        return RequestError(ResultCode.MAY_HAVE_RUN, message, RETRY_AFTER_MS)
    return RequestError(ResultCode.MAY_HAVE_RUN, OVERDUE)
