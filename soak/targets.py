"""Stand-ins of targets that tell the judge what they run."""

import asyncio
import logging
import time
from collections.abc import Callable

import aiohttp
from aiohttp import web
from tests.fakes.platform import Engine, Listener, Origin

from soak.promises import Judge, Run
from wisteriapulley.platform import names

log = logging.getLogger(__name__)

BEAT_S = 0.4
BEAT_ANSWER_S = 1.0
# A leaving target goes on for so long after its word was acknowledged.
LINGER_S = 3.5
EVENTS = 12
EVENT_S = 0.03
WORK_S = 0.03
PLAIN_SLOTS = 6
ENGINE_SLOTS = 8


def event(request_id: str, number: int) -> bytes:
    """Make one event of the only right answer to a streaming request."""
    return b"id: %d\ndata: %s/%d\n\n" % (number, request_id.encode(), number)


def stream_of(request_id: str) -> bytes:
    """Make the whole answer to a streaming request."""
    return b"".join(event(request_id, n) for n in range(1, EVENTS + 1))


def plain_answer(request_id: str) -> bytes:
    """Make the whole answer of a plain target."""
    return f"answer to {request_id}\n".encode() * 40


def run_of(request: web.Request, body: bytes, target_id: str, version: int) -> Run:
    """Note what a target is asked to run."""
    headers = request.headers
    return Run(
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


def met(target, request: web.Request) -> web.Response | None:
    """Tell the judge of a request that is meant for a target; turn it away at rest.

    Parameters
    ----------
    target : SoakEngine or SoakPlain
        The target.
    request : web.Request
        A request that names this start of it.
    """
    now_s = time.monotonic()
    request_id = request.headers.get(names.REQUEST_ID, "")
    target.judge.note_arrival(request_id, target.target_id, now_s)
    if target.leaving:
        target.judge.note_told(request_id, target.target_id, now_s)
    if not target.rest_s:
        return None
    target.judge.note_told(request_id, target.target_id, now_s, target.rest_s)
    said = {
        names.NOT_RUN: "rest",
        names.RETRY_AFTER: str(target.rest_s),
        **stated(target),
    }
    return web.Response(status=names.UNAVAILABLE_STATUS, headers=said)


def stated(target) -> dict[str, str]:
    """Return what a target says of itself with every answer."""
    return {names.LEAVING: names.LEAVING_VALUE} if target.leaving else {}


class SoakEngine(Engine):
    """An engine that runs few requests at once, crashes and comes back."""

    def __init__(self, origin: Origin, judge: Judge, name: str):
        super().__init__(origin, target_id=f"{name}-i1", version=1, event_s=EVENT_S)
        self.judge = judge
        self.name = name
        self.incarnation = 1
        self.running: dict[int, web.Request] = {}
        self.rest_s = 0.0
        for position in range(origin.chunks):
            self.staged[position] = origin.bytes_of(1, position)

    @property
    def service(self) -> str:
        """What it serves."""
        return "model-service"

    def crash(self) -> None:
        """Cut all streams, and come back as a new incarnation without weights."""
        for request in tuple(self.running.values()):
            if request.transport is not None:
                request.transport.abort()
        self.incarnation += 1
        self.target_id = f"{self.name}-i{self.incarnation}"
        self.version, self.busy, self.sequence = 0, False, 0
        self.leaving = False

    def refusal(self, request: web.Request) -> web.Response | None:
        """Refuse beyond the slots as not run."""
        if len(self.running) >= ENGINE_SLOTS:
            return web.Response(status=503, headers={names.NOT_RUN: "full"})
        refused = super().refusal(request)
        if refused is not None:
            return refused
        return met(self, request)

    def loaded(self, version: int) -> None:
        """Hold a version, unless a crash forgot the order."""
        if self.busy:
            super().loaded(version)

    async def serve(self, request: web.Request) -> web.StreamResponse:
        """Run a request, and tell the judge."""
        body = await request.read()
        refused = self.refusal(request)
        if refused is not None:
            return refused
        self.judge.note_run(run_of(request, body, self.target_id, self.version))
        self.running[id(request)] = request
        try:
            return await self.answer(request)
        finally:
            self.running.pop(id(request), None)

    async def answer(self, request: web.Request) -> web.StreamResponse:
        """Send the events behind the last one that the caller holds."""
        request_id = request.headers[names.REQUEST_ID]
        headers = {
            names.REQUEST_ID: request_id,
            "X-Server-Stamp": f"stamp.{self.target_id}",
            "Content-Type": "text/event-stream",
            **stated(self),
        }
        response = web.StreamResponse(headers=headers)
        response.enable_chunked_encoding()
        await response.prepare(request)
        first = int(request.headers.get(names.LAST_EVENT, 0)) + 1
        for number in range(first, EVENTS + 1):
            await asyncio.sleep(self.event_s)
            await response.write(event(request_id, number))
        await response.write_eof()
        return response


class SoakPlain(Listener):
    """A plain target; a grey one fails half of its requests."""

    service = "plain-service"
    version = 0

    def __init__(self, judge: Judge, name: str):
        super().__init__()
        self.judge = judge
        self.target_id = f"{name}-i1"
        self.grey = False
        self.leaving = False
        self.rest_s = 0.0
        self.served = 0
        self.running = 0
        self.app.add_routes([web.route("*", "/{tail:.*}", self.serve)])

    async def serve(self, request: web.Request) -> web.Response:
        """Run a request, and tell the judge."""
        body = await request.read()
        if request.headers.get(names.EXPECTED_TARGET) != self.target_id:
            return web.Response(status=421, headers={names.NOT_RUN: "other"})
        away = met(self, request)
        if away is not None:
            return away
        if self.running >= PLAIN_SLOTS:
            return web.Response(status=503, headers={names.NOT_RUN: "full"})
        self.judge.note_run(run_of(request, body, self.target_id, 0))
        self.running += 1
        try:
            return await self.answer(request)
        finally:
            self.running -= 1

    async def answer(self, request: web.Request) -> web.Response:
        """Work for a moment, then answer."""
        request_id = request.headers[names.REQUEST_ID]
        await asyncio.sleep(WORK_S)
        self.served += 1
        headers = {names.REQUEST_ID: request_id, "X-Server-Stamp": self.target_id}
        if self.grey and self.served % 2:
            return web.Response(status=500, headers=headers)
        return web.Response(body=plain_answer(request_id), headers=headers)


class Announcer:
    """Sends a target's heartbeats to any control instance that answers.

    Parameters
    ----------
    target : SoakEngine or SoakPlain
        The target.
    address : str
        Where others reach it.
    domain : str
        Its failure domain.
    controls : callable
        Returns the addresses of control instances, in any order.
    """

    def __init__(self, target, address: str, domain: str, controls: Callable):
        self.target = target
        self.address = address
        self.domain = domain
        self.controls = controls
        self.sequence = 0
        self.session: aiohttp.ClientSession | None = None
        self.task: asyncio.Task | None = None

    def start(self) -> None:
        """Begin to announce."""
        timeout = aiohttp.ClientTimeout(total=BEAT_ANSWER_S)
        self.session = aiohttp.ClientSession(timeout=timeout)
        self.task = asyncio.get_running_loop().create_task(self.run())

    async def stop(self) -> None:
        """Stop announcing."""
        self.task.cancel()
        await self.session.close()

    async def run(self) -> None:
        """Announce for ever."""
        while True:
            await self.announce()
            await asyncio.sleep(BEAT_S)

    async def announce(self) -> bool:
        """Send one heartbeat; tell whether it was acknowledged."""
        target = self.target
        self.sequence += 1
        models = [{"name": "model", "version": target.version, "adapters": []}]
        body = {
            "service": target.service,
            "address": self.address,
            "zone": self.domain,
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

    async def release(self, judge: Judge) -> None:
        """Leave as planned, then come back as a new incarnation."""
        target, target_id = self.target, self.target.target_id
        target.leaving = True
        if await self.announce():
            judge.left_s[target_id] = time.monotonic()
        await asyncio.sleep(LINGER_S)
        if target.target_id == target_id:
            target.crash()
