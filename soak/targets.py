"""Fake targets that report to the invariant checker what they run."""

import asyncio
import logging
import random
import time
from collections.abc import Callable

import aiohttp
from aiohttp import web
from tests.fakes.platform import Engine, Origin, PausingTarget, cut, is_overdue

from soak.crashing_parts import Arrival
from soak.invariants import Execution, InvariantChecker
from soak.plan import FaultKind
from wisteriapulley.platform import names

log = logging.getLogger(__name__)

HEARTBEAT_INTERVAL_S = 0.4
HEARTBEAT_TIMEOUT_S = 1.0
# A leaving target serves this long after its announcement was acknowledged.
LEAVE_DELAY_S = 3.5
EVENTS_PER_STREAM = 12
EVENT_INTERVAL_S = 0.03
# Streams of this path take longer, from their first event to their last.
LONG_PATH = "/stream/long"
LONG_STREAM_S = (2.0, 4.5)
SERVICE_TIME_S = 0.03
# A target that stands still does not go on with a prompt; it reads in such steps.
READING_STEP_S = 0.02
# What comes without end on each connection until that is closed. At this rate a caller
# that keeps all of it is over its memory limit within the two seconds of a call.
ENDLESS_BYTES_PER_S = 64e6
ENDLESS_INTERVAL_S = 0.02
ENDLESS_BLOCK_BYTES = int(ENDLESS_BYTES_PER_S * ENDLESS_INTERVAL_S)
COMMENT = b": keep\n\n"
# When a target has read the head of a request.
ARRIVED_S = web.RequestKey("arrived_s", float)
PLAIN_SLOTS = 6
ENGINE_SLOTS = 8


def make_event(request_id: str, number: int) -> bytes:
    """Return one event of the only correct response to a streaming request."""
    return b"id: %d\ndata: %s/%d\n\n" % (number, request_id.encode(), number)


def event_interval_s(path: str, request_id: str, usual_s: float) -> float:
    """Return the time between two events of a stream; each long one has its own."""
    if path != LONG_PATH:
        return usual_s
    return random.Random(request_id).uniform(*LONG_STREAM_S) / EVENTS_PER_STREAM


def expected_stream(request_id: str) -> bytes:
    """Return the complete response body of a streaming request."""
    return b"".join(make_event(request_id, n) for n in range(1, EVENTS_PER_STREAM + 1))


def expected_plain_body(request_id: str) -> bytes:
    """Return the complete response body of a plain target."""
    return f"answer to {request_id}\n".encode() * 40


def execution_of(
    request: web.Request, body: bytes, target_id: str, version: int
) -> Execution:
    """Return the record of a request that a target starts to run."""
    headers = request.headers
    return Execution(
        headers.get(names.REQUEST_ID, ""),
        target_id,
        request.method,
        request.raw_path,
        body,
        headers.get(names.ACCOUNT, ""),
        "Authorization" in headers,
        time.monotonic(),
        version,
    )


def observe_arrival(target, request: web.Request) -> web.Response | None:
    """Record a request that is meant for a target; reject it during a cool-down.

    Parameters
    ----------
    target : SoakEngine or SoakPlainTarget
        The target.
    request : web.Request
        A request that names the target's current incarnation.
    """
    now_s = time.monotonic()
    request_id = request.headers.get(names.REQUEST_ID, "")
    target.checker.record_arrival(request_id, target.target_id, request[ARRIVED_S])
    # A caller that has closed its connection meanwhile gets no signal.
    is_open = request.transport is not None
    if target.leaving and is_open:
        target.checker.record_signal(request_id, target.target_id, now_s)
    if not target.cooldown_s:
        return None
    if is_open:
        cooldown_s = target.cooldown_s
        target.checker.record_signal(request_id, target.target_id, now_s, cooldown_s)
    headers = {
        names.NOT_RUN: "rest",
        names.RETRY_AFTER: str(target.cooldown_s),
        **signal_headers(target),
    }
    return web.Response(status=names.UNAVAILABLE_STATUS, headers=headers)


@web.middleware
async def record_arrival_time(request: web.Request, handler) -> web.StreamResponse:
    """Record when a target has a request, which may be long before it handles it."""
    request[ARRIVED_S] = time.monotonic()
    return await handler(request)


def signal_headers(target) -> dict[str, str]:
    """Return the headers with which every response reports a target's state."""
    return {names.LEAVING: names.LEAVING_VALUE} if target.leaving else {}


async def send_endlessly(
    target: PausingTarget, request: web.Request, headers: dict[str, str], block: bytes
) -> web.StreamResponse:
    """Send blocks of a target until the connection is closed."""
    response = web.StreamResponse(headers=headers)
    response.enable_chunked_encoding()
    await response.prepare(request)
    block *= ENDLESS_BLOCK_BYTES // len(block)
    while request.transport is not None:
        await target.awake.wait()
        await response.write(block)
        await asyncio.sleep(ENDLESS_INTERVAL_S)
    return response


class SoakEngine(Engine):
    """Engine with few slots that can crash and restart.

    Attributes
    ----------
    reading_s : float
        How much longer than usual it reads a prompt before the request begins.
    notices_close : bool
        Whether it drops a request whose connection closes meanwhile.
    endless : FaultKind or None
        Which of its answers come without end, if any do.
    """

    def __init__(self, origin: Origin, checker: InvariantChecker, name: str):
        super().__init__(
            origin, target_id=f"{name}-i1", version=1, event_s=EVENT_INTERVAL_S
        )
        self.checker = checker
        self.name = name
        self.incarnation = 1
        self.running: dict[int, web.Request] = {}
        self.cooldown_s = 0.0
        self.reading_s = 0.0
        self.notices_close = True
        self.endless: FaultKind | None = None
        self.is_down = False
        self.exit: Callable[[], None] = lambda: None
        self.app.middlewares.insert(0, record_arrival_time)
        for position in range(origin.chunks):
            self.staged[position] = origin.piece_bytes(1, position)

    @property
    def service(self) -> str:
        """Name of the service that it serves."""
        return "model-service"

    def crash(self) -> None:
        """Abort all streams, and restart as a new incarnation without weights."""
        for request in tuple(self.running.values()):
            cut(request)
        self.incarnation += 1
        self.target_id = f"{self.name}-i{self.incarnation}"
        self.version, self.busy, self.sequence = 0, False, 0
        self.leaving = False

    def rejection(self, request: web.Request) -> web.Response | None:
        """Reject a request as not executed without a free slot or on other grounds."""
        if len(self.running) >= ENGINE_SLOTS:
            return web.Response(status=503, headers={names.NOT_RUN: "full"})
        rejection = super().rejection(request)
        if rejection is not None:
            return rejection
        return observe_arrival(self, request)

    def finish_load(self, version: int) -> None:
        """Switch to a version when awake, unless a crash dropped the order."""
        if not self.awake.is_set():
            asyncio.get_running_loop().call_later(0.05, self.finish_load, version)
        elif self.busy:
            super().finish_load(version)

    async def report(self, request: web.Request) -> web.StreamResponse:
        """Report the state, in a body without end if reports are endless."""
        if self.endless is FaultKind.ENDLESS_REPORT:
            return await send_endlessly(self, request, signal_headers(self), b" ")
        return await super().report(request)

    async def serve(self, request: web.Request) -> web.StreamResponse:
        """Run a request and record its execution."""
        body = await request.read()
        rejection = self.rejection(request)
        if rejection is not None:
            return rejection
        self.running[id(request)] = request
        try:
            rejection = await self.read_prompt(request)
            if rejection is not None:
                return rejection
            self.checker.record_execution(
                execution_of(request, body, self.target_id, self.version)
            )
            return await self.answer(request)
        finally:
            self.running.pop(id(request), None)

    async def read_prompt(self, request: web.Request) -> web.Response | None:
        """Read a prompt, which takes no time usually; reject what can't begin then.

        It stops at the time limit, and has begun nothing.
        """
        left_s = self.reading_s
        if not left_s:
            return None
        while left_s > 0.0 and not is_overdue(request):
            await asyncio.sleep(READING_STEP_S)
            await self.awake.wait()
            left_s -= READING_STEP_S
            if self.notices_close and request.transport is None:
                raise asyncio.CancelledError
        return super().rejection(request)

    async def answer(self, request: web.Request) -> web.StreamResponse:
        """Send the events after the last one that the caller already has.

        A stream in progress is cut at the time limit.
        """
        request_id = request.headers[names.REQUEST_ID]
        headers = {
            names.REQUEST_ID: request_id,
            "X-Server-Stamp": f"stamp.{self.target_id}",
            "Content-Type": "text/event-stream",
            **signal_headers(self),
        }
        if self.endless is FaultKind.ENDLESS_STREAM:
            return await send_endlessly(self, request, headers, COMMENT)
        response = web.StreamResponse(headers=headers)
        response.enable_chunked_encoding()
        await response.prepare(request)
        await self.crash_by_part(request)
        event_s = event_interval_s(request.raw_path, request_id, self.event_s)
        first = int(request.headers.get(names.LAST_EVENT, 0)) + 1
        for number in range(first, EVENTS_PER_STREAM + 1):
            await asyncio.sleep(event_s)
            await self.awake.wait()
            if is_overdue(request):
                log.info("%s cut at its time limit by %s", request_id, self.target_id)
                cut(request)
                return response
            await response.write(make_event(request_id, number))
        await response.write_eof()
        return response

    async def crash_by_part(self, request: web.Request) -> None:
        """Exit before the first event of a prompt with a part that crashes engines."""
        crashing = self.checker.crashing_parts
        part = crashing.crashing_part(request.headers.get(names.PROMPT_PARTS, ""))
        if not part:
            return
        request_id, now_s = request.headers[names.REQUEST_ID], time.monotonic()
        crashing.arrivals[part].append(Arrival(request_id, self.target_id, now_s))
        await asyncio.sleep(self.event_s)
        await self.awake.wait()
        if not self.is_down and request.transport is not None:
            crashing.crashes[part].append(time.monotonic())
            self.exit()
        raise asyncio.CancelledError


class SoakPlainTarget(PausingTarget):
    """Plain target; fails half of its requests while `grey` is set."""

    service = "plain-service"
    version = 0

    def __init__(self, checker: InvariantChecker, name: str):
        super().__init__()
        self.checker = checker
        self.name = name
        self.incarnation = 1
        self.target_id = f"{name}-i1"
        self.grey = False
        self.endless: FaultKind | None = None
        self.is_down = False
        self.leaving = False
        self.cooldown_s = 0.0
        self.served = 0
        self.running = 0
        self.app.middlewares.insert(0, record_arrival_time)
        self.app.add_routes([web.route("*", "/{tail:.*}", self.serve)])

    def crash(self) -> None:
        """Restart as a new incarnation."""
        self.incarnation += 1
        self.target_id = f"{self.name}-i{self.incarnation}"

    async def serve(self, request: web.Request) -> web.Response:
        """Run a request and record its execution."""
        body = await request.read()
        if request.headers.get(names.EXPECTED_TARGET) != self.target_id:
            return web.Response(status=421, headers={names.NOT_RUN: "other"})
        if is_overdue(request):
            return web.Response(status=503, headers={names.NOT_RUN: "late"})
        rejection = observe_arrival(self, request)
        if rejection is not None:
            return rejection
        if self.running >= PLAIN_SLOTS:
            return web.Response(status=503, headers={names.NOT_RUN: "full"})
        self.checker.record_execution(execution_of(request, body, self.target_id, 0))
        self.running += 1
        try:
            return await self.answer(request)
        finally:
            self.running -= 1

    async def answer(self, request: web.Request) -> web.Response:
        """Respond after the service time, or at the time limit that has passed then."""
        request_id = request.headers[names.REQUEST_ID]
        await asyncio.sleep(SERVICE_TIME_S)
        await self.awake.wait()
        self.served += 1
        headers = {names.REQUEST_ID: request_id, "X-Server-Stamp": self.target_id}
        if is_overdue(request):
            return web.Response(status=504, headers=headers)
        if self.endless:
            return await send_endlessly(self, request, headers, b"x")
        if self.grey and self.served % 2:
            return web.Response(status=500, headers=headers)
        return web.Response(body=expected_plain_body(request_id), headers=headers)


class HeartbeatSender:
    """Sends a target's heartbeats to any control instance that responds.

    Parameters
    ----------
    target : SoakEngine or SoakPlainTarget
        The target.
    address : str
        Address at which others reach the target.
    failure_domain : str
        Failure domain of the target.
    controls : callable
        Returns the addresses of control instances, in any order.
    """

    def __init__(self, target, address: str, failure_domain: str, controls: Callable):
        self.target = target
        self.address = address
        self.failure_domain = failure_domain
        self.controls = controls
        self.sequence = 0
        # The incarnation of the target that has deregistered, and reports no more.
        self.left_id = ""
        self.session: aiohttp.ClientSession | None = None
        self.task: asyncio.Task | None = None

    def start(self) -> None:
        """Start sending heartbeats."""
        timeout = aiohttp.ClientTimeout(total=HEARTBEAT_TIMEOUT_S)
        self.session = aiohttp.ClientSession(timeout=timeout)
        self.task = asyncio.get_running_loop().create_task(self.run())

    async def stop(self) -> None:
        """Stop sending heartbeats."""
        self.task.cancel()
        await self.session.close()

    async def run(self) -> None:
        """Send heartbeats until cancelled."""
        while True:
            await self.announce()
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)

    async def announce(self) -> bool:
        """Send one heartbeat when awake; return whether it was acknowledged."""
        target = self.target
        await target.awake.wait()
        if target.is_down or target.target_id == self.left_id:
            return False
        self.sequence += 1
        models = [{"name": "model", "version": target.version, "adapters": []}]
        body = {
            "service": target.service,
            "address": self.address,
            "zone": self.failure_domain,
            "version": "v1",
            "slots": ENGINE_SLOTS if target.version else PLAIN_SLOTS,
            "state": "draining" if target.leaving else "ready",
            "cold-remaining-ms": 0,
            "sequence": self.sequence,
        }
        if target.service == "model-service":
            body["models"] = models if target.version else []
        path = names.HEARTBEAT_CALL.format(target_id=target.target_id)
        for control in self.controls():
            try:
                url = f"http://{control}{path}"
                async with self.session.post(url, json=body) as answer:
                    await answer.read()
                    if answer.status == 200:
                        return True
            except (aiohttp.ClientError, OSError, TimeoutError) as error:
                log.debug("heartbeat of %s: %r", target.target_id, error)
        return False

    async def leave_and_restart(self, checker: InvariantChecker) -> None:
        """Announce that an engine leaves, then restart it as a new incarnation.

        It ends its requests first, also after a pause.
        """
        target, target_id = self.target, self.target.target_id
        target.leaving = True
        if await self.announce():
            checker.leaving_since_s[target_id] = time.monotonic()
        await self.serve_on_and_restart(target_id)

    async def deregister(self, control: str) -> bool:
        """Leave at one control instance; return whether it was acknowledged.

        The target reports no more until it restarts, also without acknowledgement.
        """
        await self.target.awake.wait()
        self.left_id = self.target.target_id
        url = f"http://{control}{names.LEAVE_CALL.format(target_id=self.left_id)}"
        try:
            async with self.session.post(url) as answer:
                return answer.status == 200
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            log.debug("leave of %s: %r", self.left_id, error)
            return False

    async def serve_on_and_restart(self, target_id: str) -> None:
        """Go on serving for a while, then restart, unless a crash did so meanwhile."""
        target = self.target
        await asyncio.sleep(LEAVE_DELAY_S)
        while target.target_id == target_id:
            if not target.running and target.awake.is_set():
                target.crash()
            await asyncio.sleep(EVENT_INTERVAL_S)
