"""Request gate: runs dispatched requests at the target.

Requests are accepted only while the target is open with a version that the
catalogue named. A version switch first drains the gate, so no request spans two
versions.
"""

import asyncio
import logging
import time
from collections.abc import AsyncIterator
from contextlib import contextmanager
from typing import NamedTuple

import aiohttp
from yarl import URL

from wisteriapulley.bounded_body import read_bounded
from wisteriapulley.error_text import describe_error
from wisteriapulley.errors import (
    RequestError,
    ResultCode,
    WeightsError,
    WisteriapulleyError,
)
from wisteriapulley.http_client import is_unframed
from wisteriapulley.sidecar.answers import (
    VERSION_HEADER,
    AnswerSender,
    end_to_end_headers,
)
from wisteriapulley.sidecar.attempts import (
    DONE,
    EXPIRY_MARGIN_S,
    RUNNING,
    TOMBSTONE,
    Attempt,
    AttemptKey,
    AttemptTable,
    KeptAnswer,
)
from wisteriapulley.statechart import StateChart
from wisteriapulley.wire import Frame, Link, messages

log = logging.getLogger(__name__)

RETRY_AFTER_MS = 500
# Interval at which a cancellation is repeated that the engine has not confirmed.
CANCEL_RETRY_INTERVAL_S = 0.25
# Interval at which a silent engine is asked for its version after an answer.
VERIFY_RETRY_INTERVAL_S = 0.1
# Maximum size of one kept answer; a longer one can't be kept for resends.
MAX_KEPT_ANSWER_BYTES = 8 << 20
REQUEST_ID_HEADER = "X-Request-Id"
RESUME_HEADER = "X-Resume-From"
UNKNOWN = "unknown"
TARGET_ERRORS = (aiohttp.ClientError, OSError, TimeoutError, WisteriapulleyError)


class EngineSnapshot(NamedTuple):
    """Version and number of load orders of the engine when a request started.

    They are checked at its end; a silent engine is asked until `until_s`, on the
    loop's clock.
    """

    version: str
    order_count: int
    until_s: float


class RunningAttempt(NamedTuple):
    """Attempt of a request that runs at the target, and the task that runs it."""

    attempt: int
    task: asyncio.Task


class Gate:
    """Runs requests at one target.

    Parameters
    ----------
    engine : ModelEngine or PlainService
        Adapter to the target.
    incarnation : int
        Incarnation of this sidecar; dispatches to another one are refused.
    chart : StateChart
        State chart of the target.

    Attributes
    ----------
    overdue : bool
        Whether the time limit of the drain before a stop has passed.
    closed_waits : set of asyncio.Future
        One for each request that waits for the end of its earlier attempt; done when
        the gate closes for good.
    """

    def __init__(self, engine, incarnation: int, chart: StateChart):
        self.engine = engine
        self.incarnation = incarnation
        self.chart = chart
        self.version = ""
        self.attempts = AttemptTable()
        self.sender = AnswerSender()
        self.overdue = False
        self.running = 0
        self.sending = 0
        self.idle = asyncio.Event()
        self.idle.set()
        self.tasks: dict[str, RunningAttempt] = {}
        self.background_tasks: set[asyncio.Task] = set()
        self.cancel_tasks: dict[str, asyncio.Task] = {}
        self.closed_waits: set[asyncio.Future] = set()
        self.finished_events: dict[AttemptKey, asyncio.Event] = {}

    # -- frames ----------------------------------------------------------

    async def receive_dispatch(
        self, link: Link, message: messages.Dispatch, frame: Frame
    ) -> None:
        """Run a request, or refuse it with a code that says "not run"."""
        if message.idempotency_key:
            await self.run_keyed(link, message, frame)
            return
        running = RunningAttempt(message.attempt, asyncio.current_task())
        self.tasks[message.request_id] = running
        link.hold(message.remaining_ms / 1000)
        try:
            self.check_open(message)
            message = await self.wait_cancelled(message)
            self.check_open(message)
            await self.run_streaming(link, message, frame)
        except asyncio.CancelledError as error:
            if not self.overdue:
                raise
            raise RequestError(
                ResultCode.ANSWER_CUT,
                "the sidecar stopped before the response was complete",
            ) from error
        finally:
            # A second attempt may have begun before this one ended.
            if self.tasks.get(message.request_id) is running:
                del self.tasks[message.request_id]

    def check_open(self, message: messages.Dispatch) -> None:
        """Raise an error unless the target may run this request.

        Raises
        ------
        RequestError
            GATE_CLOSED: the request did not run.
        """
        if message.incarnation != self.incarnation:
            raise RequestError(
                ResultCode.GATE_CLOSED, "the sidecar has restarted", RETRY_AFTER_MS
            )
        is_other_version = message.version not in ("", self.version)
        if self.chart.state != "open" or is_other_version:
            raise RequestError(
                ResultCode.GATE_CLOSED,
                f"the target is {self.chart.state} with version {self.version[:12]!r}",
                RETRY_AFTER_MS,
            )

    async def receive_cancel(
        self, link: Link, message: messages.Cancel, frame: Frame
    ) -> None:
        """Cancel a request at the target; a keyed request continues.

        The cancellation of an earlier attempt may arrive after a later one began, if
        the two were sent over different links.
        """
        running = self.tasks.get(message.request_id)
        if running is not None and message.attempt in (0, running.attempt):
            running.task.cancel()

    def receive_credit(self, link: Link, message: messages.Credit) -> None:
        """Add a reader's credit to the window of its answer."""
        self.sender.add_credit(link, message)

    async def receive_resolve(
        self, link: Link, message: messages.Resolve, frame: Frame
    ) -> None:
        """Send the state of an attempt, then its answer unless it did not run."""
        now_s = time.monotonic()
        expires_s = monotonic_expiry_s(
            message.expires_in_ms, message.expires_at_ms, now_s
        )
        has_expired = expires_s + EXPIRY_MARGIN_S <= now_s
        if message.incarnation != self.incarnation or has_expired:
            link.post(messages.Resolution(UNKNOWN), reply_to=frame.id)
            return
        key = AttemptKey(message.account, message.idempotency_key)
        attempt = self.attempts.resolve(key, message.attempt, expires_s)
        link.post(messages.Resolution(attempt.state), reply_to=frame.id)
        if attempt.state != TOMBSTONE:
            # An older entry does not tell how long it waits.
            remaining_ms = message.remaining_ms or message.expires_in_ms
            await self.send_attempt(
                link, message.request_id, frame, key, attempt, remaining_ms
            )

    # -- keyed requests --------------------------------------------------

    async def run_keyed(
        self, link: Link, message: messages.Dispatch, frame: Frame
    ) -> None:
        """Run a non-idempotent request to its end, even if the link closes."""
        key = AttemptKey(message.account, message.idempotency_key)
        now_s = time.monotonic()
        expires_s = monotonic_expiry_s(
            message.expires_in_ms, message.expires_at_ms, now_s
        )
        try:
            self.check_open(message)
        except RequestError:
            self.attempts.refuse(key, message.attempt, expires_s)
            raise
        attempt = self.attempts.start(key, message.attempt, expires_s, now_s)
        self.finished_events[key] = asyncio.Event()
        task = asyncio.get_running_loop().create_task(
            self.run_and_keep(message, frame.body, key, attempt)
        )
        self.background_tasks.add(task)
        task.add_done_callback(self.background_tasks.discard)
        await self.send_attempt(
            link, message.request_id, frame, key, attempt, message.remaining_ms
        )

    async def run_and_keep(
        self, message: messages.Dispatch, body: bytes, key: AttemptKey, attempt: Attempt
    ) -> None:
        """Run a request at the target and keep its complete answer.

        The run may outlast the caller's deadline; a resend then gets the answer.
        """
        with self.count_running():
            try:
                answer = await self.run_buffered(message, body)
                self.attempts.finish(attempt, answer)
            except aiohttp.ClientConnectorError as error:
                # No connection was made, so no byte of it reached the target.
                log.warning(
                    "keyed request %s did not start: %s",
                    message.request_id,
                    describe_error(error),
                )
                attempt.fire("not_begun")
            except TARGET_ERRORS as error:
                log.warning(
                    "keyed request %s failed: %s",
                    message.request_id,
                    describe_error(error),
                )
                self.cancel_at_engine(message.request_id)
            finally:
                if attempt.state == RUNNING:
                    attempt.fire("lose")
                self.finished_events.pop(key).set()

    async def run_buffered(self, message: messages.Dispatch, body: bytes) -> KeptAnswer:
        """Run a request at the target and read its complete answer."""
        timeout_ms = max(message.remaining_ms, message.expires_in_ms)
        snapshot = self.snapshot(timeout_ms)
        async with self.open_request(message, body, timeout_ms) as response:
            data = await read_bounded(response, MAX_KEPT_ANSWER_BYTES)
            await self.check_end(response)
            await self.check_version(snapshot)
            headers = tuple(tuple(header) for header in end_to_end_headers(response))
            version = response.headers.get(VERSION_HEADER, "")
            return KeptAnswer(response.status, headers, version, data)

    async def send_attempt(
        self,
        link: Link,
        request_id: str,
        frame: Frame,
        key: AttemptKey,
        attempt: Attempt,
        remaining_ms: int,
    ) -> None:
        """Wait for the end of an attempt and send its kept answer."""
        link.hold(remaining_ms / 1000)
        try:
            with self.count_sending():
                async with asyncio.timeout(remaining_ms / 1000):
                    await self.send_when_finished(link, request_id, frame, key, attempt)
        except TimeoutError as error:
            raise RequestError(
                ResultCode.DEADLINE_EXCEEDED, "the deadline passed at the target"
            ) from error

    async def send_when_finished(
        self,
        link: Link,
        request_id: str,
        frame: Frame,
        key: AttemptKey,
        attempt: Attempt,
    ) -> None:
        """Send the kept answer of an attempt once it has ended."""
        finished = self.finished_events.get(key)
        if finished is not None:
            await finished.wait()
        if attempt.state == TOMBSTONE:
            raise RequestError(
                ResultCode.GATE_CLOSED,
                "the request was not started at the target",
                RETRY_AFTER_MS,
            )
        if attempt.state != DONE:
            raise RequestError(
                ResultCode.MAY_HAVE_RUN,
                "the request was started, but no complete response is kept",
            )
        await self.sender.send_kept(link, request_id, frame, attempt.answer)

    # -- streams ---------------------------------------------------------

    async def run_streaming(
        self, link: Link, message: messages.Dispatch, frame: Frame
    ) -> None:
        """Run an idempotent request and forward its answer as it arrives."""
        completed = False
        try:
            with self.count_running():
                # The reader of a silent link returns no credit.
                async with asyncio.timeout(message.remaining_ms / 1000):
                    await self.stream(link, message, frame)
            completed = True
        except TimeoutError as error:
            raise RequestError(
                ResultCode.DEADLINE_EXCEEDED, "the deadline passed at the target"
            ) from error
        except (aiohttp.ClientError, OSError) as error:
            raise RequestError(ResultCode.ANSWER_CUT, describe_error(error)) from error
        finally:
            if not completed:
                # Cancelled, cut off or timed out: it must not keep using the engine.
                self.cancel_at_engine(message.request_id)

    async def stream(
        self, link: Link, message: messages.Dispatch, frame: Frame
    ) -> None:
        """Send head, parts and end mark of the target's answer."""
        snapshot = self.snapshot(message.remaining_ms)
        async with self.open_request(
            message, frame.body, message.remaining_ms
        ) as response:
            length = response.content_length
            head = messages.AnswerHead(
                message.request_id,
                response.status,
                end_to_end_headers(response),
                response.headers.get(VERSION_HEADER, ""),
                length if length is not None else -1,
            )
            link.post(head, reply_to=frame.id)
            parts = self.checked_parts(snapshot, response)
            await self.sender.send_parts(link, message.request_id, frame, parts)

    async def checked_parts(
        self, snapshot: EngineSnapshot, response: aiohttp.ClientResponse
    ) -> AsyncIterator[bytes]:
        """Yield the body; raise an error at its end if it is not whole."""
        async for data in response.content.iter_any():
            yield data
        await self.check_end(response)
        await self.check_version(snapshot)

    async def check_end(self, response: aiohttp.ClientResponse) -> None:
        """Check that a crash of the engine did not end a response that looks whole.

        Raises
        ------
        ClientPayloadError
            The response ended with its connection, and the engine refuses others.
        """
        if not is_unframed(response):
            return
        try:
            await self.engine.state()
        except WeightsError as error:
            if not is_silence(error):
                raise aiohttp.ClientPayloadError(
                    "the engine ended, and may have cut its response"
                ) from error

    def snapshot(self, timeout_ms: int) -> EngineSnapshot:
        """Return the engine's state at the start of a request with this time left."""
        until_s = asyncio.get_running_loop().time() + timeout_ms / 1000
        return EngineSnapshot(self.version, self.engine.order_count, until_s)

    async def check_version(self, snapshot: EngineSnapshot) -> None:
        """Check that the engine still serves the version a request started with.

        An engine that ignores fencing may have executed an old order while the
        request ran. The answer is then a mix of two versions. One that stands still
        tells it when it goes on.

        Raises
        ------
        WeightsError
            ENGINE_WRONG_DIGEST: the answer must not count as complete.
        """
        loop = asyncio.get_running_loop()
        while True:
            try:
                return await self.engine.verify(snapshot.version, snapshot.order_count)
            except WeightsError as error:
                if loop.time() >= snapshot.until_s or not is_silence(error):
                    if self.chart.can("lose"):
                        self.chart.fire("lose")
                        self.version = ""
                    raise
            await asyncio.sleep(VERIFY_RETRY_INTERVAL_S)

    def open_request(self, message: messages.Dispatch, body: bytes, timeout_ms: int):
        """Return the HTTP request to the target, as a context manager."""
        headers = {header.name: header.value for header in message.headers}
        headers["Accept-Encoding"] = "identity"
        headers[REQUEST_ID_HEADER] = message.request_id
        headers["X-Client-Account"] = message.account
        headers["X-Priority"] = str(message.priority)
        if message.resume_from:
            headers[RESUME_HEADER] = str(message.resume_from)
        if message.idempotency_key:
            headers["Idempotency-Key"] = message.idempotency_key
        return self.engine.session.request(
            message.method,
            URL(self.engine.base_url + message.path, encoded=True),
            data=body,
            headers=headers,
            # aiohttp takes 0 as no timeout.
            timeout=aiohttp.ClientTimeout(total=max(1, timeout_ms) / 1000),
            allow_redirects=False,
        )

    # -- draining --------------------------------------------------------

    def cancel_at_engine(self, request_id: str) -> None:
        """Cancel a request that was given up, until the engine confirms it.

        An engine that stands still has read the request, and starts it when it goes
        on, although its connection is closed.
        """
        if request_id not in self.cancel_tasks:
            self.cancel_tasks[request_id] = asyncio.get_running_loop().create_task(
                self.cancel_until_confirmed(request_id)
            )

    async def cancel_until_confirmed(self, request_id: str) -> None:
        """Repeat the cancellation of a request until the engine confirms it."""
        try:
            while not await self.engine.cancel(request_id):
                await asyncio.sleep(CANCEL_RETRY_INTERVAL_S)
        finally:
            del self.cancel_tasks[request_id]

    async def wait_cancelled(self, message: messages.Dispatch) -> messages.Dispatch:
        """Wait until an earlier attempt of a request does not run any more.

        Both have the same id, and its cancellation would end them both. The wait also
        ends when the gate closes for good.

        Returns
        -------
        Dispatch
            The request, with the time that it has left after the wait.

        Raises
        ------
        RequestError
            DEADLINE_EXCEEDED: the request's time ended, and this attempt did not run.
        """
        task = self.cancel_tasks.get(message.request_id)
        if task is None:
            return message
        loop = asyncio.get_running_loop()
        begin_s = loop.time()
        closed = loop.create_future()
        self.closed_waits.add(closed)
        try:
            await asyncio.wait(
                [task, closed],
                timeout=message.remaining_ms / 1000,
                return_when=asyncio.FIRST_COMPLETED,
            )
        finally:
            self.closed_waits.discard(closed)
        left_ms = message.remaining_ms - int((loop.time() - begin_s) * 1000)
        if left_ms <= 0:
            raise RequestError(
                ResultCode.DEADLINE_EXCEEDED,
                "the deadline passed while an earlier attempt was cancelled",
            )
        return message._replace(remaining_ms=left_ms)

    def end_waits(self) -> None:
        """End the waits for earlier attempts because the gate closes for good."""
        for closed in self.closed_waits:
            if not closed.done():
                closed.set_result(None)

    def stop(self) -> None:
        """Stop repeating cancellations."""
        for task in self.cancel_tasks.values():
            task.cancel()

    @contextmanager
    def count_running(self):
        """Count a request as running at the target inside the block."""
        self.running += 1
        self.idle.clear()
        try:
            yield
        finally:
            self.running -= 1
            self.update_idle()

    @contextmanager
    def count_sending(self):
        """Count an answer as being sent inside the block; it is no engine load."""
        self.sending += 1
        self.idle.clear()
        try:
            yield
        finally:
            self.sending -= 1
            self.update_idle()

    def update_idle(self) -> None:
        """Set `idle` if no request runs and no answer is being sent."""
        if self.running == 0 and self.sending == 0:
            self.idle.set()

    async def drained(self) -> None:
        """Wait until no request runs and no answer is being sent."""
        await self.idle.wait()

    async def drained_for(self, duration_s: float) -> None:
        """Wait until drained for a while; an entry may fetch a kept answer again."""
        is_drained = False
        while not is_drained:
            await self.drained()
            await asyncio.sleep(duration_s)
            is_drained = self.idle.is_set()

    async def end_overdue(self) -> None:
        """Reply with a failure to each request that is still in progress.

        An entry that only lost its link would wait for the outcome of a keyed request
        until this sidecar is no longer listed.
        """
        self.overdue = True
        streams = [running.task for running in self.tasks.values()]
        for task in (*streams, *self.background_tasks):
            task.cancel()
        await self.drained()

    async def drained_at_engine(self) -> None:
        """Wait until drained, and until no request that was given up may still run."""
        await self.drained()
        while self.cancel_tasks:
            await asyncio.wait(self.cancel_tasks.values())


def is_silence(error: WeightsError) -> bool:
    """Return whether the engine did not tell its state, though its process is there."""
    os_error = getattr(error.__cause__, "os_error", None)
    refused = isinstance(os_error, ConnectionRefusedError)
    return error.code == ResultCode.TARGET_FAILED and not refused


def monotonic_expiry_s(expires_in_ms: int, expires_at_ms: int, now_s: float) -> float:
    """Return the monotonic time of an expiry.

    The earlier of the relative and the absolute expiry counts. A frame may be
    delayed in a suspended process beyond its expiry, and the relative time would
    then start again on arrival.
    """
    remaining_ms = expires_in_ms
    if expires_at_ms:
        remaining_ms = min(remaining_ms, expires_at_ms - time.time_ns() // 1_000_000)
    return now_s + remaining_ms / 1000
