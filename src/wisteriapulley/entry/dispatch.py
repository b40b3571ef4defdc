"""Sends requests to targets and gets their answers."""

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

# Enough to pass a target that closed its gate and one that died beside it.
MAX_ATTEMPTS = 4
RETRY_AFTER_MS = 1000
# A link to the only target that holds a service is replaced within this.
RELINK_TIMEOUT_S = 1.0
RELINK_POLL_INTERVAL_S = 0.05
HTTP_UNAVAILABLE = 503
RESUMED_HEADER = "x-resumed-from"
# Codes that another target can't better.
NOT_RETRYABLE_CODES = frozenset(
    (ResultCode.DEADLINE_EXCEEDED, ResultCode.MAY_HAVE_RUN, ResultCode.OVERLOADED)
)


class NotSentError(RequestError):
    """The request never left this entry."""


class AnswerRange(NamedTuple):
    """What of an answer is asked for: bytes from `start`, of `version` only.

    An empty version leaves the choice to the target.
    """

    start: int
    version: str


FULL_ANSWER = AnswerRange(0, "")


class OpenAnswer(NamedTuple):
    """Answer whose head has come, and the call that brings its parts."""

    head: messages.AnswerHead
    call: Call


class Dispatcher:
    """Sends requests to targets.

    Parameters
    ----------
    placer : Placer
        Queues requests and chooses their targets.
    """

    def __init__(self, placer: Placer):
        self.placer = placer
        self.retry_budget = RetryBudget()

    async def run(self, request: CallerRequest) -> Answer:
        """Try targets until one answers, within budget and deadline.

        Raises
        ------
        RequestError
            Refused or failed. It says "not run" only when no attempt ran.
        """
        self.retry_budget.admitted()
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
                    "retry: %s",
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
        """Wait for a place at a target.

        After a lost link the only target may be the one behind it: then this
        may_relink a moment for the link's replacement.
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
        """Tell whether another target may be tried.

        The budget keeps retries at a tenth of what is admitted, so that a
        failing service sees its load grow by a tenth and not by the attempts.
        """
        if attempt == MAX_ATTEMPTS or error.code in NOT_RETRYABLE_CODES:
            return False
        return request.remaining_s > 0 and self.retry_budget.spend()

    async def send(self, request: CallerRequest, slot: Slot, attempt: int) -> Answer:
        """Dispatch to one target; return once the answer's head is there."""
        try:
            opened = await self.open_call(request, slot, attempt, slot.incarnation)
            if opened.head.status == HTTP_UNAVAILABLE and not request.key:
                self.cancel(opened.call, request)
                raise RequestError(ResultCode.TARGET_FAILED, "the target answered 503")
        except BaseException as error:
            slot.release(ok=False, cancelled=isinstance(error, asyncio.CancelledError))
            raise
        return self.make_answer(request, opened, slot, attempt)

    def make_answer(
        self, request: CallerRequest, opened: OpenAnswer, slot: Slot, attempt: int
    ) -> Answer:
        """Make the answer of an opened call."""

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
            The link is gone, or leads to another incarnation by now.
        """
        link = slot.link
        if link is None or link.peer.incarnation != incarnation:
            raise NotSentError(ResultCode.NO_TARGET, "the link closed", RETRY_AFTER_MS)
        remaining_s = request.remaining_s
        if remaining_s <= 0:
            raise NotSentError(ResultCode.DEADLINE_EXCEEDED, "before dispatch")
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
        """Wait for the answer's head until the deadline."""
        try:
            frame = await next_reply(call, request.request_id, request.remaining_s)
        except WireError as error:
            raise self.as_deadline_error(request, error) from error
        return frame.message

    def as_deadline_error(
        self, request: CallerRequest, error: WisteriapulleyError
    ) -> WisteriapulleyError:
        """Turn a timeout of the link into the passing of the deadline."""
        if error.code != ResultCode.LINK_TIMEOUT:
            return error
        if request.key:
            return RequestError(
                ResultCode.DEADLINE_EXCEEDED,
                "it may still run: send the same key again for its answer",
                RETRY_AFTER_MS,
            )
        return RequestError(ResultCode.DEADLINE_EXCEEDED, "while it ran")

    async def read_resumable_parts(
        self, request: CallerRequest, opened: OpenAnswer, slot: Slot, attempt: int
    ) -> AsyncIterator[bytes]:
        """Yield the answer's parts; take the request off when given up.

        An engine that says it can resume is asked once, at another target, for
        what follows the last byte that came.
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
        """Yield parts; a call that ends early is taken off its target."""
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
        """Ask another target for the rest of a cut answer; None if it can't.

        One whose engine changed its version has no rest: what came is mixed.
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
        """Forget a call that is not whole and take its request off the target."""
        if call.id not in call.link.calls:
            return
        call.close()
        if not call.link.closed.is_set():
            call.link.post(messages.Cancel(request.request_id))


def find_header(head: messages.AnswerHead, name: str) -> str:
    """Return a header of an answer, or empty."""
    return next((h.value for h in head.headers if h.name.lower() == name), "")


def may_have_run(error: WisteriapulleyError) -> bool:
    """Tell whether a failed attempt may have run at its target."""
    return not isinstance(error, NotSentError) and not CODE_TABLE[error.code].not_run


def expires_in_ms(request: CallerRequest) -> int:
    """Return how long a keyed request may still start."""
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
    """Build the frame that carries a request to a sidecar."""
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
