"""Send requests to targets and receive their responses."""

import asyncio
import functools
import itertools
import logging
import time
from collections.abc import AsyncIterator, Callable
from typing import NamedTuple

from wisteriapulley.entry.answer import (
    Answer,
    is_open_silence,
    next_reply,
    read_parts,
)
from wisteriapulley.entry.placing import Placer, Slot
from wisteriapulley.entry.request import CallerRequest
from wisteriapulley.entry.resuming import SILENCE_POLL_INTERVAL_S, ResumableAnswer
from wisteriapulley.errors import (
    CODE_TABLE,
    RequestError,
    ResultCode,
    WireError,
    WisteriapulleyError,
)
from wisteriapulley.logs import fields
from wisteriapulley.policy import RetryBudget
from wisteriapulley.wire import Call, Link, messages

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
    """Received head of an answer, the call that delivers its parts, and the attempt."""

    head: messages.AnswerHead
    call: Call
    attempt: int


# Returns whether a request that waits for an answer over a silent link can be served
# otherwise.
CanLeave = Callable[[Link], bool]


def always(link: Link) -> bool:
    """Leave every silent target, since the answer can be had otherwise."""
    return True


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
            can_leave = functools.partial(
                self.can_leave, request, slot, {*avoid, slot.node_id}, attempt
            )
            try:
                return await self.send(request, slot, attempt, can_leave)
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
                self.placer.check_drain(request, uncertain_error is not None)
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

    def can_leave(
        self,
        request: CallerRequest,
        slot: Slot,
        avoid: set[str],
        attempt: int,
        link: Link,
    ) -> bool:
        """Return whether a request that waits at a silent target may go elsewhere now.

        A silent target goes on later, so it is left only for one that has room, and
        only if the next attempt can end before the drain.
        """
        if attempt == MAX_ATTEMPTS or not self.retry_budget.has_retry():
            return False
        if slot.is_superseded(link):
            return True
        may_send = self.placer.may_send(request, may_have_run=True)
        return may_send and self.placer.has_room(request, avoid)

    async def send(
        self, request: CallerRequest, slot: Slot, attempt: int, can_leave: CanLeave
    ) -> Answer:
        """Dispatch to one target and return when the answer's head arrives."""
        try:
            opened = await self.open_call(request, slot, attempt, can_leave)
            if opened.head.status == HTTP_UNAVAILABLE and not request.key:
                self.cancel(opened, request)
                raise RequestError(ResultCode.TARGET_FAILED, "the target returned 503")
        except BaseException as error:
            slot.release(ok=False, cancelled=isinstance(error, asyncio.CancelledError))
            raise
        return self.make_answer(request, opened, slot)

    def make_answer(
        self, request: CallerRequest, opened: OpenAnswer, slot: Slot
    ) -> Answer:
        """Return the answer of an opened call."""
        answer = ResumableAnswer(self, request, opened, slot)
        return Answer(opened.head, answer.parts(), answer.abandon)

    async def open_call(
        self,
        request: CallerRequest,
        slot: Slot,
        attempt: int,
        can_leave: CanLeave,
        answer_range: AnswerRange = FULL_ANSWER,
    ) -> OpenAnswer:
        """Dispatch and wait for the answer's head.

        Raises
        ------
        NotSentError
            The deadline has passed, or the link is closed or now leads to another
            incarnation.
        RequestError
            GATE_CLOSED: the target ended before it accepted the request.
        """
        link = slot.link
        if link is None or link.peer.incarnation != slot.incarnation:
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
            request, attempt, slot.incarnation, remaining_s, answer_range
        )
        try:
            call = link.call(message, request.body)
            link.hold(remaining_s)
        except WireError as error:
            raise NotSentError(
                ResultCode.NO_TARGET, error.message, RETRY_AFTER_MS
            ) from error
        try:
            head = await self.read_head(request, call, can_leave)
        except BaseException as error:
            self.cancel(OpenAnswer(messages.AnswerHead(), call, attempt), request)
            if isinstance(error, WireError) and link.peer_has_ended:
                raise not_accepted_error(error) from error
            raise
        return OpenAnswer(head, call, attempt)

    async def read_head(
        self, request: CallerRequest, call: Call, can_leave: CanLeave = always
    ) -> messages.AnswerHead:
        """Wait for the answer's head, at most until the deadline.

        Raises
        ------
        WisteriapulleyError
            The target failed; or it is silent, and `can_leave` returned true.
        """
        try:
            frame = await next_reply(call, request.request_id, request.remaining_s)
        except WireError as error:
            if not is_open_silence(error, call):
                raise self.as_deadline_error(request, error) from error
            return await self.read_silent_head(request, call, can_leave, error)
        return frame.message

    async def read_silent_head(
        self,
        request: CallerRequest,
        call: Call,
        can_leave: CanLeave,
        silence: WireError,
    ) -> messages.AnswerHead:
        """Wait until a silent target goes on, or the request can go elsewhere."""
        while not can_leave(call.link):
            wait_s = min(SILENCE_POLL_INTERVAL_S, max(0.0, request.remaining_s))
            try:
                frame = await next_reply(call, request.request_id, wait_s)
            except WireError as error:
                if error.code == ResultCode.LINK_TIMEOUT and request.remaining_s > 0:
                    continue
                if not is_open_silence(error, call):
                    raise self.as_deadline_error(request, error) from error
            else:
                return frame.message
        raise silence

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
            self.cancel(opened, request)

    async def resume(
        self,
        request: CallerRequest,
        opened: OpenAnswer,
        slot: Slot,
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
        head = opened.head
        can_resume = find_header(head, "x-resumable") and not request.key
        if error.code == ResultCode.ENGINE_WRONG_DIGEST:
            return None
        if not can_resume or request.remaining_s <= 0:
            return None
        has_room = self.placer.has_room(request, {slot.node_id}, head.version)
        if not has_room or not self.retry_budget.spend():
            return None
        try:
            other_slot = await self.placer.acquire(
                request, {slot.node_id}, head.version
            )
        except RequestError:
            return None
        try:
            rest = await self.open_call(
                request,
                other_slot,
                opened.attempt + 1,
                always,
                AnswerRange(sent, head.version),
            )
        except WisteriapulleyError:
            other_slot.release(ok=False)
            return None
        except BaseException:
            other_slot.release(ok=False, cancelled=True)
            raise
        resumed_from = find_header(rest.head, RESUMED_HEADER) or "0"
        if resumed_from != str(sent) or rest.head.version != head.version:
            other_slot.release(ok=False, cancelled=True)
            self.cancel(rest, request)
            return None
        return self.make_answer(request, rest, other_slot)

    def cancel(self, opened: OpenAnswer, request: CallerRequest) -> None:
        """Close a call that is incomplete and cancel its request at the target.

        A silent link may be dead, so its replacement carries the cancellation too.
        """
        call = opened.call
        if call.id not in call.link.calls:
            return
        call.close()
        cancellation = messages.Cancel(request.request_id, opened.attempt)
        replacement = self.placer.targets.link_to(call.link.peer_id)
        for link in {call.link, replacement or call.link}:
            if not link.closed.is_set():
                link.post(cancellation)


def not_accepted_error(error: WireError) -> RequestError:
    """Return the error of a request that crossed the end of its target."""
    return RequestError(
        ResultCode.GATE_CLOSED,
        f"the target ended before it accepted the request: {error.message}",
        RETRY_AFTER_MS,
    )


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
