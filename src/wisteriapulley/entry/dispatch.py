"""Send requests to targets and receive their responses."""

import asyncio
import itertools
import logging
import time
from collections.abc import AsyncIterator
from contextlib import aclosing
from typing import NamedTuple

from wisteriapulley.entry.answer import Answer, next_reply, read_parts
from wisteriapulley.entry.placing import Placer, Slot
from wisteriapulley.entry.request import CallerRequest
from wisteriapulley.errors import (
    CODE_TABLE,
    RequestError,
    ResultCode,
    WireError,
    WisteriapulleyError,
)
from wisteriapulley.logs import fields
from wisteriapulley.policy import RetryBudget
from wisteriapulley.wire import Call, messages

log = logging.getLogger(__name__)

# Attempts of one request, with the first: enough for one target that closed its gate
# and another that failed meanwhile.
MAX_ATTEMPTS = 4
RETRY_AFTER_MS = 1000
# How long to wait for the replacement of a lost link to a service's only target.
RELINK_TIMEOUT_S = 1.0
RELINK_POLL_INTERVAL_S = 0.05
HTTP_UNAVAILABLE = 503
RESUMED_HEADER = "x-resumed-from"
# Codes for which another target would give no better result.
NOT_RETRYABLE_CODES = frozenset(
    (ResultCode.DEADLINE_EXCEEDED, ResultCode.MAY_HAVE_RUN, ResultCode.OVERLOADED)
)


class NotSentError(RequestError):
    """The request never left this entry."""


class AnswerRange(NamedTuple):
    """Part of an answer to request: bytes from `start` on, of `version` only.

    An empty version accepts whichever version the target serves.
    """

    start: int
    version: str


FULL_ANSWER = AnswerRange(0, "")


class OpenAnswer(NamedTuple):
    """Received head of an answer, and the call that delivers its parts."""

    head: messages.AnswerHead
    call: Call


class Dispatcher:
    """Sends requests to targets.

    Parameters
    ----------
    placer : Placer
        Queues requests and assigns them to targets.
    """

    def __init__(self, placer: Placer):
        self.placer = placer
        self.retry_budget = RetryBudget()

    async def run(self, request: CallerRequest) -> Answer:
        """Try targets until one responds, within retry budget and deadline.

        Raises
        ------
        RequestError
            The request was refused or failed. The code says "not run" only if no
            attempt has run.
        """
        self.retry_budget.record_admitted()
        uncertain_error = None
        avoid: set[str] = set()
        for attempt in itertools.count(1):
            try:
                slot = await self.acquire_slot(request, avoid, uncertain_error)
            except RequestError as error:
                raise uncertain_error or error from error
            try:
                return await self.send(request, slot, attempt)
            except WisteriapulleyError as error:
                avoid.add(slot.node_id)
                uncertain_error = error if may_have_run(error) else uncertain_error
                if not self.may_retry(request, error, attempt):
                    raise uncertain_error or error from error
                log.info(
                    "retrying after a failed attempt: %s",
                    error,
                    extra=fields(request.request_id, code=error.code),
                )
        raise AssertionError("unreachable")

    async def acquire_slot(
        self,
        request: CallerRequest,
        avoid: set[str],
        uncertain_error: WisteriapulleyError | None,
    ) -> Slot:
        """Wait for a slot at a target.

        After an attempt failed with its link, the service's only target may be the
        one behind that link. In that case, wait up to `RELINK_TIMEOUT_S` for the
        link's replacement.
        """
        relink_deadline_s = time.monotonic() + RELINK_TIMEOUT_S
        while True:
            try:
                return await self.placer.acquire(request, avoid)
            except RequestError as error:
                may_relink = (
                    error.code == ResultCode.NO_TARGET and uncertain_error is not None
                )
                if not may_relink or time.monotonic() > relink_deadline_s:
                    raise
            avoid.clear()
            await asyncio.sleep(RELINK_POLL_INTERVAL_S)

    def may_retry(
        self, request: CallerRequest, error: WisteriapulleyError, attempt: int
    ) -> bool:
        """Return whether another target may be tried.

        The budget limits retries to a tenth of the admitted requests. The load of
        a failing service then grows by a tenth, and is not multiplied by the number
        of attempts.
        """
        if attempt == MAX_ATTEMPTS or error.code in NOT_RETRYABLE_CODES:
            return False
        return request.remaining_s > 0 and self.retry_budget.spend()

    async def send(self, request: CallerRequest, slot: Slot, attempt: int) -> Answer:
        """Dispatch to one target and return when the answer's head arrives."""
        try:
            opened = await self.open_call(request, slot, attempt, slot.incarnation)
            if opened.head.status == HTTP_UNAVAILABLE and not request.key:
                self.cancel(opened.call, request)
                raise RequestError(ResultCode.TARGET_FAILED, "the target returned 503")
        except BaseException as error:
            slot.release(ok=False, cancelled=isinstance(error, asyncio.CancelledError))
            raise
        return self.make_answer(request, opened, slot, attempt)

    def make_answer(
        self, request: CallerRequest, opened: OpenAnswer, slot: Slot, attempt: int
    ) -> Answer:
        """Return the answer of an opened call."""

        def abandon() -> None:
            slot.release(ok=False, cancelled=True)
            self.cancel(opened.call, request)

        return Answer(
            opened.head,
            self.read_resumable_parts(request, opened, slot, attempt),
            abandon,
        )

    async def open_call(
        self,
        request: CallerRequest,
        slot: Slot,
        attempt: int,
        incarnation: int,
        answer_range: AnswerRange = FULL_ANSWER,
    ) -> OpenAnswer:
        """Dispatch and wait for the answer's head.

        Raises
        ------
        NotSentError
            The deadline has passed, or the link is closed or now leads to another
            incarnation.
        """
        link = slot.link
        if link is None or link.peer.incarnation != incarnation:
            raise NotSentError(
                ResultCode.NO_TARGET,
                "the link to the target closed before the request was sent",
                RETRY_AFTER_MS,
            )
        remaining_s = request.remaining_s
        if remaining_s <= 0:
            raise NotSentError(
                ResultCode.DEADLINE_EXCEEDED, "the deadline passed before dispatch"
            )
        message = dispatch_message(
            request, attempt, incarnation, remaining_s, answer_range
        )
        try:
            call = link.call(message, request.body)
        except WireError as error:
            raise NotSentError(
                ResultCode.NO_TARGET, error.message, RETRY_AFTER_MS
            ) from error
        try:
            head = await self.read_head(request, call)
        except BaseException:
            self.cancel(call, request)
            raise
        return OpenAnswer(head, call)

    async def read_head(self, request: CallerRequest, call: Call):
        """Wait for the answer's head, at most until the deadline."""
        try:
            frame = await next_reply(call, request.request_id, request.remaining_s)
        except WireError as error:
            raise self.as_deadline_error(request, error) from error
        return frame.message

    def as_deadline_error(
        self, request: CallerRequest, error: WisteriapulleyError
    ) -> WisteriapulleyError:
        """Turn a timeout of the link into DEADLINE_EXCEEDED."""
        if error.code != ResultCode.LINK_TIMEOUT:
            return error
        if request.key:
            return RequestError(
                ResultCode.DEADLINE_EXCEEDED,
                "the request may still run; send the same key again to get its"
                " response",
                RETRY_AFTER_MS,
            )
        return RequestError(
            ResultCode.DEADLINE_EXCEEDED, "the deadline passed while the request ran"
        )

    async def read_resumable_parts(
        self, request: CallerRequest, opened: OpenAnswer, slot: Slot, attempt: int
    ) -> AsyncIterator[bytes]:
        """Yield the answer's parts; cancel the request if the caller gives up.

        If the answer breaks off and its engine supports resumption, ask another
        target once for the bytes after the last one received.
        """
        sent = 0
        try:
            async with aclosing(self.read_call_parts(request, opened)) as parts:
                async for part in parts:
                    sent += len(part)
                    yield part
            slot.release(ok=True)
        except WisteriapulleyError as error:
            slot.release(ok=False)
            resumed = await self.resume(
                request, opened.head, slot, attempt, sent, error
            )
            if resumed is None:
                raise self.as_deadline_error(request, error) from error
            try:
                async with aclosing(resumed.parts) as parts:
                    async for part in parts:
                        yield part
            finally:
                resumed.abandon()
        finally:
            slot.release(ok=False, cancelled=True)

    async def read_call_parts(
        self, request: CallerRequest, opened: OpenAnswer
    ) -> AsyncIterator[bytes]:
        """Yield the parts of one call; cancel the request if the call ends early."""
        call = opened.call
        try:
            async for part in read_parts(call, request.request_id):
                yield part
            call.close()
        finally:
            self.cancel(call, request)

    async def resume(
        self,
        request: CallerRequest,
        head: messages.AnswerHead,
        slot: Slot,
        attempt: int,
        sent: int,
        error: WisteriapulleyError,
    ) -> Answer | None:
        """Request the rest of a cut answer from another target.

        An answer whose engine changed its version can't be resumed, because the
        bytes received may come from two versions.

        Returns
        -------
        Answer or None
            None if the answer can't be resumed.
        """
        can_resume = find_header(head, "x-resumable") and not request.key
        if error.code == ResultCode.ENGINE_WRONG_DIGEST:
            return None
        if not can_resume or request.remaining_s <= 0 or not self.retry_budget.spend():
            return None
        try:
            other_slot = await self.placer.acquire(
                request, {slot.node_id}, head.version
            )
        except RequestError:
            return None
        try:
            opened = await self.open_call(
                request,
                other_slot,
                attempt + 1,
                other_slot.incarnation,
                AnswerRange(sent, head.version),
            )
        except WisteriapulleyError:
            other_slot.release(ok=False)
            return None
        resumed_from = find_header(opened.head, RESUMED_HEADER) or "0"
        if resumed_from != str(sent) or opened.head.version != head.version:
            other_slot.release(ok=False, cancelled=True)
            self.cancel(opened.call, request)
            return None
        return self.make_answer(request, opened, other_slot, MAX_ATTEMPTS)

    def cancel(self, call: Call, request: CallerRequest) -> None:
        """Close a call that is incomplete and cancel its request at the target."""
        if call.id not in call.link.calls:
            return
        call.close()
        if not call.link.closed.is_set():
            call.link.post(messages.Cancel(request.request_id))


def find_header(head: messages.AnswerHead, name: str) -> str:
    """Return a header of an answer, or an empty string."""
    return next((h.value for h in head.headers if h.name.lower() == name), "")


def may_have_run(error: WisteriapulleyError) -> bool:
    """Return whether a failed attempt may have run at its target."""
    return not isinstance(error, NotSentError) and not CODE_TABLE[error.code].not_run


def expires_in_ms(request: CallerRequest) -> int:
    """Return how long a keyed request may still start, in milliseconds."""
    if not request.key:
        return 0
    return max(0, request.expires_ms - time.time_ns() // 1_000_000)


def dispatch_message(
    request: CallerRequest,
    attempt: int,
    incarnation: int,
    remaining_s: float,
    answer_range: AnswerRange,
) -> messages.Dispatch:
    """Return the message that carries a request to a sidecar."""
    entry = request.entry
    return messages.Dispatch(
        request.request_id,
        request.account,
        entry.name,
        entry.traffic_class,
        entry.priority,
        max(1, int(remaining_s * 1000)),
        request.method,
        request.path,
        tuple(messages.Header(*header) for header in request.headers),
        request.key,
        attempt,
        incarnation,
        expires_in_ms(request),
        answer_range.version,
        b"",
        answer_range.start,
        request.expires_ms,
    )
