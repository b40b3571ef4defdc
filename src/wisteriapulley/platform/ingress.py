"""HTTP server for callers."""

import asyncio
import contextlib
import logging
import math
import random
from collections.abc import Awaitable, Callable, Sequence

from aiohttp import HttpVersion11, web
from multidict import CIMultiDict
from yarl import URL

from wisteriapulley.direct.kept_bytes import (
    DEFAULT_REQUEST_BYTES,
    KeptBytes,
    Reservation,
)
from wisteriapulley.direct.types import (
    CallerRequest,
    Headers,
    Refusal,
    RefusalKind,
)
from wisteriapulley.error_text import describe_error
from wisteriapulley.errors import ResultCode, SettingsError
from wisteriapulley.http_drain import (
    CLOSE_TIMEOUT_S,
    CallerServer,
    abort_remaining,
    close_when_answered,
)
from wisteriapulley.logs import fields
from wisteriapulley.platform import names
from wisteriapulley.policy.drain_window import STOPPING_RETRY_S, DrainWindow
from wisteriapulley.policy.retry_after import retry_after_s
from wisteriapulley.response_end import is_unframed, write_end
from wisteriapulley.settings import Address
from wisteriapulley.unsent import discard_unsent, keep_unsent, unsent_bytes

log = logging.getLogger(__name__)

# Maximum length of a header line, above the operator's limits, so that those take
# effect first.
MAX_HEADER_BYTES = 65536
# What a connection reads ahead of the request that is served. Nothing counts it.
READ_AHEAD_BYTES = 64 << 10
# Time until an idle connection is closed: longer than the operator's idle limit, within
# which callers may reuse a connection.
KEEPALIVE_S = 75.0
# How long a stopping entry waits for the rest of a head that has arrived in part.
HEAD_WAIT_S = 1.0
# How long it waits for the next request of a caller that was told of no close: one
# that is sent as the last response ends is on its way for no longer.
NEXT_REQUEST_WAIT_S = 0.15
# How long a caller waits that does not state it.
DEFAULT_MAX_WAIT_MS = 30_000
# Larger numbers would not fit into a slot request to a sidecar.
MAX_WAIT_MS = 86_400_000.0
MAX_TOKENS = 2**32 - 1
# Maximum number of parts that are read of a prompt.
MAX_PROMPT_PARTS = 64
# Stands for the URL of a request, of which only the text is used.
ROOT_URL = URL("/")
# Key of the time at which a request's head arrived.
ARRIVED_S = web.RequestKey("arrived_s", float)
STATUS_BY_REFUSAL = {
    RefusalKind.NO_ROUTE: 404,
    RefusalKind.BAD_KEY: 401,
    RefusalKind.OVERLOADED: 503,
    RefusalKind.UNAVAILABLE: 503,
    RefusalKind.NOT_READY: 503,
    RefusalKind.QUARANTINED: 503,
    RefusalKind.FAILED: 502,
    RefusalKind.TIMED_OUT: 504,
}
STOPPED = Refusal(RefusalKind.FAILED, reason="entry stopped before the response")
STOPPING = Refusal(
    RefusalKind.UNAVAILABLE, STOPPING_RETRY_S, "not enough time left before the stop"
)
SENT_AFTER_CLOSE = Refusal(
    RefusalKind.UNAVAILABLE, STOPPING_RETRY_S, "sent behind a response that closes"
)
# Earliest retry of a caller whose body finds no memory. The bodies before it are sent
# on within about this time.
BODY_RETRY_S = 0.3
NO_BODY_MEMORY = Refusal(
    RefusalKind.OVERLOADED, BODY_RETRY_S, "no memory left for the body of the request"
)
BODY_LATE = Refusal(
    RefusalKind.UNAVAILABLE, reason="the body of the request did not come in its time"
)
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
INTERNAL_ERROR = Refusal(RefusalKind.FAILED, reason="internal error")

RequestHandler = Callable[
    [CallerRequest, "HttpCallerAnswer"], Awaitable[Refusal | None]
]


class HttpCallerAnswer:
    """The response to one caller; see `direct.types.CallerAnswer`.

    Attributes
    ----------
    unwritten : int or None
        Bytes of the body that were not written yet; None if that is not known.
    """

    def __init__(self, request: web.BaseRequest, is_closing: Callable[[], bool]):
        self.request = request
        self.is_closing = is_closing
        self.response: web.StreamResponse | None = None
        self.unwritten: int | None = None

    @property
    def started(self) -> bool:
        """Whether the head was sent."""
        return self.response is not None

    @property
    def is_whole(self) -> bool:
        """Whether all of it was written, so that only its caller is waited for."""
        return self.unwritten == 0

    async def start(self, status: int, headers: Headers, length: int | None) -> None:
        """Send the head.

        Without a length the body is sent in chunks, or, as HTTP/1.0 has none, ends with
        the connection.
        """
        response = web.StreamResponse(status=status, headers=CIMultiDict(headers))
        if length is not None:
            response.content_length = length
        elif self.request.version >= HttpVersion11:
            response.enable_chunked_encoding()
        if self.is_closing():
            self.request.protocol.end_connection(self.request, response)
        self.response = response
        await response.prepare(self.request)
        self.unwritten = length

    async def write(self, data: bytes) -> None:
        """Send a part of the body."""
        if not data:
            return
        if self.unwritten is not None:
            # Before the wait for a caller that reads slowly.
            self.unwritten -= len(data)
        await self.response.write(data)

    async def finish(self) -> None:
        """Send the end of the body; wait for a slow caller, in the request's time."""
        self.unwritten = 0
        await write_end(self.response, self.request.transport)

    def cut(self) -> None:
        """Abort the connection without ending the body."""
        transport = self.request.transport
        if transport is None:
            return
        is_begun = self.response is not None and not transport.is_closing()
        if is_begun and is_unframed(self.response):
            # An orderly close would end the body.
            discard_unsent(transport)
        transport.abort()

    async def refuse(self, refusal: Refusal) -> None:
        """Send a refusal."""
        headers = [("Content-Type", "text/plain")]
        if refusal.retry_s:
            headers.append(("Retry-After", f"{refusal.retry_s:.3f}"))
        body = f"{refusal.kind.value}: {refusal.reason}\n".encode()
        await self.start(STATUS_BY_REFUSAL[refusal.kind], tuple(headers), len(body))
        await self.write(body)
        # Not `finish`: no time limit of the request ends the wait for its caller.
        await self.response.write_eof()

    async def end(self, refusal: Refusal) -> None:
        """Send a refusal, or cut a response that has begun."""
        if self.started:
            self.cut()
            return
        with contextlib.suppress(ConnectionError):
            await self.refuse(refusal)


class Ingress:
    """HTTP server for callers.

    Parameters
    ----------
    serve : callable
        Responds to a request, or returns the refusal to send instead.
    max_body_bytes : int
        Maximum length of a request body.

    Attributes
    ----------
    kept_bodies : KeptBytes
        Bounds the memory of the bodies of all requests in progress.
    closing : bool
        Whether a drain has begun.
    count_internal_error : callable
        Called for each request that an error of this process ended here.
    active : dict of object to asyncio.Task
        Connections with a request in progress, and its task.
    answers : dict of asyncio.Task to HttpCallerAnswer
        Responses to these requests.
    overdue : bool
        Whether the time limit of the drain has passed.
    window : DrainWindow
        Time of the drain.
    latest_start_s : callable
        Returns until when a request can be started in a drain, on the loop's clock,
        from its head without its body.
    on_drain : callable
        Called when a drain begins.
    body_limits : dict of asyncio.Timeout to CallerRequest
        Time limits of the bodies that are being read, and their heads.
    """

    def __init__(self, serve: RequestHandler, max_body_bytes: int):
        self.serve = serve
        self.max_body_bytes = max_body_bytes
        self.kept_bodies = KeptBytes(DEFAULT_REQUEST_BYTES)
        self.closing = False
        self.count_internal_error: Callable[[], None] = lambda: None
        self.active: dict[object, asyncio.Task] = {}
        self.answers: dict[asyncio.Task, HttpCallerAnswer] = {}
        self.overdue = False
        self.window = DrainWindow()
        self.latest_start_s: Callable[[CallerRequest], float] = lambda head: (
            self.window.ends_s
        )
        self.on_drain: Callable[[], None] = lambda: None
        self.body_limits: dict[asyncio.Timeout, CallerRequest] = {}
        self.runner: web.ServerRunner | None = None
        self.site: web.TCPSite | None = None

    async def start(self, address: Address) -> None:
        """Start listening.

        Raises
        ------
        SettingsError
            ADDRESS_CLASH: the address can't be bound.
        """
        server = CallerServer(
            self.handle,
            request_factory=self.new_request,
            access_log=None,
            keepalive_timeout=KEEPALIVE_S,
            max_line_size=MAX_HEADER_BYTES,
            max_field_size=MAX_HEADER_BYTES,
            auto_decompress=False,
            read_bufsize=READ_AHEAD_BYTES,
        )
        self.server = server
        self.runner = web.ServerRunner(
            server, handle_signals=False, shutdown_timeout=CLOSE_TIMEOUT_S
        )
        await self.runner.setup()
        self.site = web.TCPSite(self.runner, address.host, address.port, backlog=512)
        try:
            await self.site.start()
        except OSError as error:
            raise SettingsError(
                ResultCode.ADDRESS_CLASH,
                f"cannot listen for callers at {address}: {error}",
            ) from error

    def new_request(self, message, payload, protocol, writer, task) -> web.BaseRequest:
        """Return an aiohttp request with its arrival and the configured body limit."""
        loop = asyncio.get_running_loop()
        if message.url.absolute:
            # aiohttp reads its host, which fails if that can't be decoded.
            message = message._replace(url=ROOT_URL)
        request = web.BaseRequest(
            message,
            payload,
            protocol,
            writer,
            task,
            loop,
            client_max_size=self.max_body_bytes,
        )
        request[ARRIVED_S] = protocol.take_arrival_s()
        return request

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Serve one request, unless its connection is already closed."""
        if request.transport is None or request.transport.is_closing():
            return web.StreamResponse(status=503)
        task = asyncio.current_task()
        answer = HttpCallerAnswer(request, lambda: self.closing)
        self.active[request.protocol] = task
        self.answers[task] = answer
        try:
            refusal = await self.serve_in_time(request, answer)
            if refusal is not None:
                await answer.refuse(refusal)
        except (ConnectionError, web.RequestPayloadError) as error:
            log.info(
                "caller left: %s", describe_error(error), extra=request_fields(request)
            )
            answer.cut()
        except web.HTTPRequestEntityTooLarge as error:
            log.info("refused: %s", error.text, extra=request_fields(request))
            if self.closing:
                request.protocol.end_connection(request, error)
            raise
        except asyncio.CancelledError:
            if not self.overdue:
                raise
            if answer.is_whole:
                self.leave_to_system(request)
                raise
            await self.end_overdue(request, answer)
        except Exception:
            await self.end_by_internal_error(request, answer)
        finally:
            del self.active[request.protocol], self.answers[task]
        return answer.response or web.StreamResponse(status=500)

    async def serve_in_time(
        self, request: web.BaseRequest, answer: HttpCallerAnswer
    ) -> Refusal | None:
        """Serve a request; refuse it at once if the entry stops too soon for it."""
        if request.protocol.close_announced:
            # The caller may have taken it for unread, and have sent it elsewhere.
            return log_refusal(request, SENT_AFTER_CLOSE)
        head = decode_request(request)
        if self.is_too_late(head):
            return log_refusal(request, STOPPING)
        kept = Reservation(self.kept_bodies)
        try:
            return await self.serve_with_body(request, head, kept, answer)
        finally:
            kept.release()

    async def serve_with_body(
        self,
        request: web.BaseRequest,
        head: CallerRequest,
        kept: Reservation,
        answer: HttpCallerAnswer,
    ) -> Refusal | None:
        """Read the body of a request and serve it, unless there is no memory for it."""
        self.check_length(request)
        if not kept.resize(request.content_length or 0):
            return self.refuse_body(request, head)
        await self.confirm_expected(request)
        body = await self.read_body(request, head, kept)
        if isinstance(body, Refusal):
            return log_refusal(request, body)
        if body is None:
            return self.refuse_body(request, head)
        if self.is_too_late(head):
            return log_refusal(request, STOPPING)
        return await self.serve(head._replace(body=body), answer)

    def check_length(self, request: web.BaseRequest) -> None:
        """Refuse a body whose stated length is not allowed, before it is read.

        Raises
        ------
        HTTPRequestEntityTooLarge
            The body is longer than allowed.
        """
        length = request.content_length or 0
        if length <= self.max_body_bytes:
            return
        error = web.HTTPRequestEntityTooLarge(self.max_body_bytes, length)
        if expects_continue(request):
            # A caller that does not send the body can't use the connection again.
            error.force_close()
        raise error

    def refuse_body(self, request: web.BaseRequest, head: CallerRequest) -> Refusal:
        """Refuse a request whose body finds no memory; callers return spread."""
        now_s = asyncio.get_running_loop().time()
        left_s = head.arrived_s + head.max_wait_s - now_s
        retry_s = retry_after_s(True, BODY_RETRY_S, left_s, random.random)
        return log_refusal(request, NO_BODY_MEMORY._replace(retry_s=retry_s))

    def is_too_late(self, head: CallerRequest) -> bool:
        """Return whether a request can't be finished before the end of the drain.

        A clock may stand still for a millisecond, so the last moment is too late.
        """
        now_s = asyncio.get_running_loop().time()
        return self.closing and now_s >= self.latest_start_s(head)

    async def read_body(
        self, request: web.BaseRequest, head: CallerRequest, kept: Reservation
    ) -> bytes | Refusal | None:
        """Return the body, or why it was not read in time; None without memory."""
        if request.content.is_eof():
            # A time limit would take longer than the read.
            return await self.read_kept(request, kept)
        try:
            async with asyncio.timeout_at(self.body_ends_s(head)) as time_limit:
                self.body_limits[time_limit] = head
                try:
                    return await self.read_kept(request, kept)
                finally:
                    del self.body_limits[time_limit]
        except TimeoutError:
            if not time_limit.expired():
                raise
            return STOPPING if self.is_too_late(head) else BODY_LATE

    def body_ends_s(self, head: CallerRequest) -> float:
        """Return until when a body is read, on the loop's clock.

        A caller that sends for longer than it waits would keep the memory of others.
        """
        ends_s = head.arrived_s + head.max_wait_s
        return min(ends_s, self.latest_start_s(head)) if self.closing else ends_s

    async def read_kept(
        self, request: web.BaseRequest, kept: Reservation
    ) -> bytes | None:
        """Read a body; return None if there is no memory left for it.

        That of a stated length was reserved as a whole.
        """
        if request.content_length is not None:
            return await request.read()
        body = bytearray()
        while part := await request.content.readany():
            body += part
            if len(body) > self.max_body_bytes:
                raise web.HTTPRequestEntityTooLarge(self.max_body_bytes, len(body))
            if not kept.resize(len(body)):
                return None
        return bytes(body)

    async def confirm_expected(self, request: web.BaseRequest) -> None:
        """Tell a caller that waits for it to send the body.

        Such a caller may send the body without it after a second or so, which is later
        than most latency objectives, or never.
        """
        if not expects_continue(request):
            return
        await request.writer.write(CONTINUE)
        # It is no part of the response, of which nothing was sent yet.
        request.writer.output_size = 0

    async def end_by_internal_error(
        self, request: web.BaseRequest, answer: HttpCallerAnswer
    ) -> None:
        """Answer a request that an error of this process ended, or cut its answer."""
        log.exception(
            "request ended by an internal error",
            extra=request_fields(request, answer_started=answer.started),
        )
        self.count_internal_error()
        await answer.end(INTERNAL_ERROR)

    async def end_overdue(
        self, request: web.BaseRequest, answer: HttpCallerAnswer
    ) -> None:
        """Answer a request that is in progress at the end of the drain, or cut it.

        A closed connection would leave its caller without any result.
        """
        head, now_s = decode_request(request), asyncio.get_running_loop().time()
        log.warning(
            "request in progress at the end of the drain",
            extra=request_fields(
                request,
                answer_started=answer.started,
                arrived_after_ms=self.window.after_begin_ms(head.arrived_s),
                left_ms=int((head.arrived_s + head.max_wait_s - now_s) * 1000),
            ),
        )
        await answer.end(STOPPED)

    def leave_to_system(self, request: web.BaseRequest) -> None:
        """Leave the rest of a whole response to the system, as the process ends."""
        transport = request.transport
        if transport is None or transport.is_closing():
            return
        log.warning(
            "caller still reads at the end of the drain",
            extra=request_fields(request, unsent_bytes=unsent_bytes(transport)),
        )
        keep_unsent(transport)

    async def drain(
        self,
        accept_s: float,
        max_s: float,
        signal_age_s: float = 0.0,
        overrun_s: float = 0.0,
    ) -> None:
        """Answer each request that is read, and close connections once they are idle.

        A request that can't be finished in time is refused at once.

        Parameters
        ----------
        accept_s : float
            How long new connections and requests are still accepted, in seconds:
            the load balancer and callers need this time to notice the drain.
        max_s : float
            Time in which all that is taken is expected to end, in seconds.
        signal_age_s : float
            How long ago the stop signal may have been sent. The process may be killed
            earlier by this, so nothing is taken that ends later. What is in progress
            goes on.
        overrun_s : float
            How much longer what is in progress may take, in seconds: an estimate may be
            wrong, and what has run and is given up may not be sent again. As much less
            as the signal may be late.
        """
        self.closing = True
        now_s = asyncio.get_running_loop().time
        begins_s = now_s()
        ends_s = begins_s + max_s
        self.window = DrainWindow(ends_s - signal_age_s, begins_s, begins_s + accept_s)
        given_up_s = ends_s + max(0.0, overrun_s - signal_age_s)
        self.on_drain()
        for time_limit, head in self.body_limits.items():
            if time_limit.expired():
                # Its request is refused once its task has its turn.
                continue
            time_limit.reschedule(self.body_ends_s(head))
        await asyncio.sleep(accept_s)
        await self.site.stop()
        self.server.listener_closed_s = now_s()
        head_ends_s = min(now_s() + HEAD_WAIT_S, ends_s)
        await close_when_answered(
            self.server, given_up_s, head_ends_s, NEXT_REQUEST_WAIT_S
        )
        await self.cancel_overdue()
        await close_when_answered(self.server, now_s() + CLOSE_TIMEOUT_S)
        await cancel_all(tuple(self.answers))
        await abort_remaining(self.server)

    async def cancel_overdue(self) -> None:
        """End the requests that are in progress at the end of the drain.

        A caller that has only to read the rest of its response goes on.
        """
        self.overdue = True
        answers = self.answers.items()
        await cancel_all([task for task, answer in answers if not answer.is_whole])

    async def stop(self) -> None:
        """Close all connections."""
        if self.runner is not None:
            await self.runner.cleanup()


async def cancel_all(tasks: Sequence[asyncio.Task]) -> None:
    """Cancel tasks, and wait for their ends for a while."""
    for task in tasks:
        task.cancel()
    if tasks:
        await asyncio.wait(tasks, timeout=CLOSE_TIMEOUT_S)


def expects_continue(request: web.BaseRequest) -> bool:
    """Return whether a caller sends the body only when it is told to.

    None of the body has arrived yet; see RFC 9110, 10.1.1.
    """
    expected = request.headers.get("Expect", "").lower() == "100-continue"
    is_waiting = request.can_read_body and not request.content.total_bytes
    return expected and is_waiting and request.version >= HttpVersion11


def request_fields(request: web.BaseRequest, **more: object) -> dict[str, object]:
    """Return the fields of a log line about a request."""
    return fields(request.headers.get(names.REQUEST_ID, ""), **more)


def log_refusal(request: web.BaseRequest, refusal: Refusal) -> Refusal:
    """Log and return the refusal of a request that a stop leaves no time for."""
    extra = request_fields(request, kind=refusal.kind.value, reason=refusal.reason)
    log.info("refused", extra=extra)
    return refusal


def decode_request(request: web.BaseRequest) -> CallerRequest:
    """Return the product's form of a request without its body, as its turn comes."""
    headers = request.headers
    target = request._message.path
    prompt_tokens, max_answer_tokens = parse_token_counts(
        headers.get(names.TOKEN_COUNTS, "")
    )
    hinted_tokens = parse_count(headers.get(names.LENGTH_HINT, ""))
    answer_tokens = (
        min(hinted_tokens, max_answer_tokens)
        if hinted_tokens and max_answer_tokens
        else hinted_tokens or max_answer_tokens
    )
    return CallerRequest(
        headers.get(names.REQUEST_ID, ""),
        request.method,
        target,
        parse_host(headers.get("Host", "")),
        target.partition("?")[0],
        forwarded_headers(request),
        b"",
        parse_api_key(headers.get("Authorization", "")),
        request[ARRIVED_S],
        parse_max_wait_ms(headers.get(names.DEADLINE_MS, "")) / 1000,
        prompt_tokens,
        answer_tokens,
        headers.get(names.LAST_EVENT, ""),
        parse_shared_parts(headers.get(names.PROMPT_PARTS, "")),
        asyncio.get_running_loop().time() - request[ARRIVED_S],
    )


def forwarded_headers(request: web.BaseRequest) -> Headers:
    """Return the headers to forward to the target, unchanged."""
    connection_header = request.headers.get("Connection", "").lower()
    dropped = names.CONNECTION_HEADERS | names.ENTRY_HEADERS
    dropped |= {token.strip() for token in connection_header.split(",")}
    return tuple(
        (name.decode("latin-1"), value.decode("latin-1"))
        for name, value in request.raw_headers
        if name.decode("latin-1").lower() not in dropped
    )


def parse_host(header: str) -> str:
    """Return the lower-case host of a ``Host`` header, without its port."""
    return header.rpartition(":")[0].lower() if ":" in header else header.lower()


def parse_api_key(header: str) -> str:
    """Return the key of an ``Authorization`` header; empty for other schemes."""
    return (
        header[len(names.BEARER_PREFIX) :]
        if header.startswith(names.BEARER_PREFIX)
        else ""
    )


def parse_max_wait_ms(text: str) -> float:
    """Return how long the caller waits, or a default if the header has no number."""
    try:
        wait_ms = float(text)
    except ValueError:
        return DEFAULT_MAX_WAIT_MS
    if not math.isfinite(wait_ms):
        return DEFAULT_MAX_WAIT_MS
    return min(MAX_WAIT_MS, max(0.0, wait_ms))


def parse_count(text: str) -> int:
    """Return a number of tokens; 0 if the text is invalid."""
    try:
        return checked_count(int(float(text)))
    except (ValueError, OverflowError):
        return 0


def parse_token_counts(text: str) -> tuple[int, int]:
    """Return prompt tokens and maximum answer tokens; 0, 0 if the text is invalid."""
    try:
        prompt, answer = map(int, text.split(","))
    except ValueError:
        return 0, 0
    return checked_count(prompt), checked_count(answer)


def parse_shared_parts(text: str) -> tuple[str, ...]:
    """Return the ids of all parts of a prompt but the last, in order, each once.

    Ids are hexadecimal numbers, so case and leading zeros do not distinguish them.
    """
    parts = text.split(",", MAX_PROMPT_PARTS)[:-1]
    ids = (part.partition(":")[0].strip().lower() for part in parts)
    return tuple(dict.fromkeys(name.lstrip("0") or "0" for name in ids if name))


def checked_count(count: int) -> int:
    """Return a number of tokens, or 0 if it is out of range."""
    return count if 0 < count <= MAX_TOKENS else 0
