"""The request gate: runs dispatched requests at the target.

Requests pass only while the target is open with the version the catalogue
names. A switch first drains the gate, so no request spans two versions.
"""

import asyncio
import logging
import time
import zlib
from collections.abc import AsyncIterator

import aiohttp

from wisteriapulley.errors import RequestError, ResultCode, WireError
from wisteriapulley.sidecar.attempts import (
    DONE,
    LOST,
    TOMBSTONE,
    Attempt,
    AttemptKey,
    AttemptTable,
    KeptAnswer,
)
from wisteriapulley.statechart import StateChart
from wisteriapulley.wire import Frame, Link, messages

log = logging.getLogger(__name__)

PART_BYTES = 1 << 16
RETRY_AFTER_MS = 500
HOP_HEADERS = frozenset(
    ("connection", "transfer-encoding", "content-length", "keep-alive", "host", "date")
)
VERSION_HEADER = "X-Model-Version"


class Gate:
    """Runs requests at one target.

    Parameters
    ----------
    engine : ModelEngine or PlainService
        The target's adapter.
    incarnation : int
        This sidecar's; dispatches for another one are refused.
    chart : StateChart
        State of the target.
    """

    def __init__(self, engine, incarnation: int, chart: StateChart):
        self.engine = engine
        self.incarnation = incarnation
        self.chart = chart
        self.version = ""
        self.attempts = AttemptTable()
        self.running = 0
        self.idle = asyncio.Event()
        self.idle.set()
        self.tasks: dict[str, asyncio.Task] = {}
        self.finished: dict[AttemptKey, asyncio.Event] = {}

    # -- frames ----------------------------------------------------------

    async def receive_dispatch(
        self, link: Link, message: messages.Dispatch, frame: Frame
    ) -> None:
        """Run a request, or refuse it as not run."""
        if message.idempotency_key:
            await self.run_keyed(link, message, frame)
        else:
            self.check_open(message)
            task = asyncio.current_task()
            self.tasks[message.request_id] = task
            try:
                await self.run_streaming(link, message, frame)
            finally:
                self.tasks.pop(message.request_id, None)

    def check_open(self, message: messages.Dispatch) -> None:
        """Refuse unless the target is open for this very request.

        Raises
        ------
        RequestError
            The code says that it did not run.
        """
        if message.incarnation != self.incarnation:
            raise RequestError(
                ResultCode.GATE_CLOSED, "the sidecar has restarted", RETRY_AFTER_MS
            )
        if self.chart.state != "open" or message.version != self.version:
            raise RequestError(
                ResultCode.GATE_CLOSED,
                f"the target is {self.chart.state} with {self.version[:12]!r}",
                RETRY_AFTER_MS,
            )

    async def receive_cancel(
        self, link: Link, message: messages.Cancel, frame: Frame
    ) -> None:
        """Take a request off the target; a keyed one goes on."""
        task = self.tasks.get(message.request_id)
        if task is not None:
            task.cancel()
            await self.engine.cancel(message.request_id)

    async def receive_resolve(
        self, link: Link, message: messages.Resolve, frame: Frame
    ) -> None:
        """Say what became of an attempt; then send its answer, if it has one."""
        if message.incarnation != self.incarnation:
            link.post(messages.Resolution("unknown"), reply_to=frame.id)
            return
        key = AttemptKey(message.account, message.idempotency_key)
        expires_s = time.monotonic() + message.expires_in_ms / 1000
        attempt = self.attempts.resolve(key, message.attempt, expires_s)
        link.post(messages.Resolution(attempt.state), reply_to=frame.id)
        if attempt.state != TOMBSTONE:
            await self.send_attempt(link, message.request_id, frame, key, attempt)

    # -- keyed requests --------------------------------------------------

    async def run_keyed(
        self, link: Link, message: messages.Dispatch, frame: Frame
    ) -> None:
        """Run a non-idempotent request to its end, whatever the link does."""
        key = AttemptKey(message.account, message.idempotency_key)
        now_s = time.monotonic()
        expires_s = now_s + message.expires_in_ms / 1000
        try:
            self.check_open(message)
        except RequestError:
            self.attempts.refuse(key, message.attempt, expires_s)
            raise
        attempt = self.attempts.start(key, message.attempt, expires_s, now_s)
        self.finished[key] = asyncio.Event()
        self.enter()
        task = asyncio.get_running_loop().create_task(
            self.run_to_end(message, frame.body, key, attempt)
        )
        self.tasks[f"{key}"] = task
        await self.send_attempt(link, message.request_id, frame, key, attempt)

    async def run_to_end(
        self, message: messages.Dispatch, body: bytes, key: AttemptKey, attempt: Attempt
    ) -> None:
        """Run at the target and keep the whole answer."""
        try:
            async with self.open_target(message, body) as response:
                data = await response.read()
                answer = KeptAnswer(
                    response.status,
                    plain_headers(response),
                    response.headers.get(VERSION_HEADER, ""),
                    data,
                )
            self.attempts.finish(attempt, answer)
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            log.warning("keyed request %s: %r", message.request_id, error)
            self.attempts.lose(attempt)
        finally:
            self.leave()
            self.tasks.pop(f"{key}", None)
            self.finished.pop(key).set()

    async def send_attempt(
        self,
        link: Link,
        request_id: str,
        frame: Frame,
        key: AttemptKey,
        attempt: Attempt,
    ) -> None:
        """Wait for an attempt's end and send its kept answer."""
        waiter = self.finished.get(key)
        if waiter is not None:
            await waiter.wait()
        if attempt.state == LOST or attempt.answer is None:
            raise RequestError(
                ResultCode.MAY_HAVE_RUN, "the target ended without a whole answer"
            )
        assert attempt.state == DONE
        await send_kept(link, request_id, frame, attempt.answer)

    # -- streams ---------------------------------------------------------

    async def run_streaming(
        self, link: Link, message: messages.Dispatch, frame: Frame
    ) -> None:
        """Run an idempotent request and pass its answer on as it comes."""
        self.enter()
        try:
            async with self.open_target(message, frame.body) as response:
                head = messages.AnswerHead(
                    message.request_id,
                    response.status,
                    tuple(messages.Header(*h) for h in plain_headers(response)),
                    response.headers.get(VERSION_HEADER, ""),
                    response.content_length if response.content_length else -1,
                )
                link.post(head, reply_to=frame.id)
                parts = response.content.iter_any()
                await send_parts(link, message.request_id, frame, parts)
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            raise RequestError(ResultCode.ANSWER_CUT, repr(error)) from error
        finally:
            self.leave()

    def open_target(self, message: messages.Dispatch, body: bytes):
        """Open the request at the target."""
        headers = {header.name: header.value for header in message.headers}
        headers["X-Request-Id"] = message.request_id
        headers["X-Client-Account"] = message.account
        headers["X-Priority"] = str(message.priority)
        if message.idempotency_key:
            headers["Idempotency-Key"] = message.idempotency_key
        timeout = aiohttp.ClientTimeout(total=message.remaining_ms / 1000)
        return self.engine.session.request(
            message.method,
            self.engine.base_url + message.path,
            data=body,
            headers=headers,
            timeout=timeout,
            allow_redirects=False,
        )

    # -- draining --------------------------------------------------------

    def enter(self) -> None:
        """Count a request in."""
        self.running += 1
        self.idle.clear()

    def leave(self) -> None:
        """Count a request out."""
        self.running -= 1
        if self.running == 0:
            self.idle.set()

    async def drained(self) -> None:
        """Wait until no request runs."""
        await self.idle.wait()


def plain_headers(response: aiohttp.ClientResponse) -> tuple[tuple[str, str], ...]:
    """Return the headers that go on to the caller."""
    return tuple(
        (name, value)
        for name, value in response.headers.items()
        if name.lower() not in HOP_HEADERS
    )


async def one_part(body: bytes) -> AsyncIterator[bytes]:
    """Yield a kept body in parts."""
    for start in range(0, len(body), PART_BYTES):
        yield body[start : start + PART_BYTES]


async def send_kept(
    link: Link, request_id: str, frame: Frame, answer: KeptAnswer
) -> None:
    """Send a kept answer whole."""
    head = messages.AnswerHead(
        request_id,
        answer.status,
        tuple(messages.Header(*header) for header in answer.headers),
        answer.version,
        len(answer.body),
    )
    link.post(head, reply_to=frame.id)
    await send_parts(link, request_id, frame, one_part(answer.body))


async def send_parts(
    link: Link, request_id: str, frame: Frame, parts: AsyncIterator[bytes]
) -> None:
    """Send the parts of an answer and its end mark."""
    offset = crc = 0
    async for data in parts:
        part = messages.AnswerPart(request_id, offset)
        link.post(part, reply_to=frame.id, body=data)
        offset += len(data)
        crc = zlib.crc32(data, crc)
        await link.drain()
    if link.closed.is_set():
        raise WireError(ResultCode.LINK_CLOSED, link.peer_id)
    end = messages.AnswerEnd(request_id, offset, crc)
    link.post(end, reply_to=frame.id)
