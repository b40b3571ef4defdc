"""Places a request, claims it if it may run only once, and gets its answer."""

import logging
import random
import time
from collections.abc import AsyncIterator
from typing import NamedTuple

from wisteriapulley.claims import Claim, ClaimKey, ClaimResult
from wisteriapulley.control.client import ControlClient
from wisteriapulley.control.commands import PutClaim
from wisteriapulley.entry.answer import check_owner, read_parts
from wisteriapulley.entry.request import CallerRequest
from wisteriapulley.entry.targets import Target, Targets
from wisteriapulley.errors import (
    CODE_TABLE,
    RequestError,
    ResultCode,
    WireError,
    WisteriapulleyError,
)
from wisteriapulley.logs import fields
from wisteriapulley.policy import Placement, RetryBudget
from wisteriapulley.wire import Call, messages
from wisteriapulley.wire.link import raise_failure

log = logging.getLogger(__name__)

MAX_ATTEMPTS = 4
RETRY_AFTER_MS = 1000
TOMBSTONE = "tombstone"
UNKNOWN = "unknown"


class Answer(NamedTuple):
    """Answer whose body still comes."""

    head: messages.AnswerHead
    parts: AsyncIterator[bytes]


class Dispatcher:
    """Sends requests to targets.

    Parameters
    ----------
    targets : Targets
        Linked targets.
    control : ControlClient
        Commits claims.
    rng : random.Random
        For placement.
    """

    def __init__(self, targets: Targets, control: ControlClient, rng: random.Random):
        self.targets = targets
        self.control = control
        self.placement = Placement(rng)
        self.budget = RetryBudget()

    async def run(self, request: CallerRequest) -> Answer:
        """Return the answer's head; its parts follow.

        Raises
        ------
        RequestError
            Refused or failed; the code says whether it may have run.
        """
        self.budget.admitted()
        if request.key:
            return await self.run_once(request)
        return await self.run_idempotent(request)

    # -- idempotent ------------------------------------------------------

    async def run_idempotent(self, request: CallerRequest) -> Answer:
        """Try targets until one answers, within budget and deadline."""
        avoid: set[str] = set()
        for attempt in range(1, MAX_ATTEMPTS + 1):
            target = self.place(request, avoid)
            try:
                return await self.send(request, target, attempt)
            except WisteriapulleyError as error:
                avoid.add(target.member.node_id)
                if attempt == MAX_ATTEMPTS or not self.may_retry(request, error):
                    raise
                log.info(
                    "retry: %s",
                    error,
                    extra=fields(request.request_id, code=error.code),
                )
        raise AssertionError("unreachable")

    def may_retry(self, request: CallerRequest, error: WisteriapulleyError) -> bool:
        """Tell whether another target may be tried."""
        retryable = CODE_TABLE[error.code].not_run or isinstance(error, WireError)
        in_time = time.monotonic() < request.deadline_s
        return retryable and in_time and self.budget.spend()

    def place(self, request: CallerRequest, avoid: set[str]) -> Target:
        """Choose a target."""
        entry = request.entry
        views = self.targets.views(entry.service, entry.version, avoid)
        name = self.placement.pick(views, entry.limits.in_flight)
        return self.targets.targets[name]

    async def send(
        self, request: CallerRequest, target: Target, attempt: int
    ) -> Answer:
        """Dispatch to one target and wait for the answer's head."""
        link = target.link
        if link is None:
            raise RequestError(ResultCode.NO_TARGET, "the link closed", RETRY_AFTER_MS)
        remaining_s = request.deadline_s - time.monotonic()
        if remaining_s <= 0:
            raise RequestError(ResultCode.DEADLINE_EXCEEDED, "before dispatch")
        message = dispatch_message(request, attempt, link.peer.incarnation, remaining_s)
        call = link.call(message, request.body)
        target.in_flight += 1
        try:
            head = await self.read_head(request, call, remaining_s)
        except BaseException:
            target.in_flight -= 1
            self.cancel(call, request)
            raise
        return Answer(head, self.parts(request, call, target))

    async def read_head(
        self, request: CallerRequest, call: Call, timeout_s: float
    ) -> messages.AnswerHead:
        """Wait for the answer's head."""
        frame = await call.reply(timeout_s)
        raise_failure(frame)
        check_owner(frame.message, request.request_id)
        return frame.message

    async def parts(
        self, request: CallerRequest, call: Call, target: Target
    ) -> AsyncIterator[bytes]:
        """Yield the answer's parts; take the request off when given up."""
        whole = False
        try:
            async for part in read_parts(call, request.request_id):
                yield part
            whole = True
        finally:
            target.in_flight -= 1
            if whole:
                call.close()
            else:
                self.cancel(call, request)

    def cancel(self, call: Call, request: CallerRequest) -> None:
        """Forget a call and take its request off the target."""
        call.close()
        if not call.link.closed.is_set():
            call.link.post(messages.Cancel(request.request_id))

    # -- at most once ----------------------------------------------------

    async def run_once(self, request: CallerRequest) -> Answer:
        """Run a non-idempotent request at most once."""
        standing_attempt = 0
        avoid: set[str] = set()
        for _ in range(MAX_ATTEMPTS):
            target = self.place(request, avoid)
            result = await self.claim(request, target, standing_attempt)
            claim = result.claim
            if result.code == ResultCode.OK:
                error = await self.try_claimed(request, target, claim.attempt)
                if isinstance(error, Answer):
                    return error
                avoid.add(target.member.node_id)
            elif result.code != ResultCode.IN_PROGRESS or claim is None:
                raise claim_error(ResultCode(result.code))
            answer = await self.follow(request, claim)
            if answer is not None:
                return answer
            standing_attempt = claim.attempt
        raise RequestError(
            ResultCode.CLAIM_UNAVAILABLE, "no attempt could run", RETRY_AFTER_MS
        )

    async def claim(
        self, request: CallerRequest, target: Target, standing_attempt: int
    ) -> ClaimResult:
        """Commit a claim for a target, before anything is sent to it."""
        link = target.link
        if link is None:
            raise RequestError(ResultCode.NO_TARGET, "the link closed", RETRY_AFTER_MS)
        claim = Claim(
            request.digest(),
            target.member.node_id,
            link.peer.incarnation,
            standing_attempt + 1,
            request.expires_ms,
        )
        command = PutClaim(
            ClaimKey(request.account, request.key), claim, standing_attempt
        )
        try:
            return await self.control.propose(command)
        except WisteriapulleyError as error:
            raise RequestError(
                ResultCode.CLAIM_UNAVAILABLE, error.message, RETRY_AFTER_MS
            ) from error

    async def try_claimed(
        self, request: CallerRequest, target: Target, attempt: int
    ) -> Answer | WisteriapulleyError:
        """Send a claimed attempt; return the error when it was not answered."""
        try:
            return await self.send(request, target, attempt)
        except WisteriapulleyError as error:
            log.info(
                "attempt %d: %s",
                attempt,
                error,
                extra=fields(request.request_id, code=error.code),
            )
            if error.code in (ResultCode.MAY_HAVE_RUN, ResultCode.DEADLINE_EXCEEDED):
                raise
            return error

    async def follow(self, request: CallerRequest, claim: Claim) -> Answer | None:
        """Ask the claim's target; None when the attempt is known not to run.

        Raises
        ------
        RequestError
            MAY_HAVE_RUN: the target is gone or has restarted.
        """
        while True:
            remaining_s = request.deadline_s - time.monotonic()
            if remaining_s <= 0:
                raise RequestError(
                    ResultCode.MAY_HAVE_RUN, "the deadline passed while resolving"
                )
            try:
                target = self.targets.find(claim.target, claim.incarnation)
                return await self.resolve(request, claim, target, remaining_s)
            except WireError as error:
                log.info("resolve: %s", error, extra=fields(request.request_id))

    async def resolve(
        self, request: CallerRequest, claim: Claim, target: Target, timeout_s: float
    ) -> Answer | None:
        """Ask one target what became of an attempt."""
        call = target.link.call(
            messages.Resolve(
                request.account,
                request.key,
                claim.attempt,
                claim.incarnation,
                request.request_id,
                expires_in_ms(request),
            )
        )
        frame = await call.reply(timeout_s)
        raise_failure(frame)
        if frame.message.state == TOMBSTONE:
            call.close()
            return None
        if frame.message.state == UNKNOWN:
            raise RequestError(ResultCode.MAY_HAVE_RUN, "the target has restarted")
        head = await self.read_head(request, call, timeout_s)
        target.in_flight += 1
        return Answer(head, self.parts(request, call, target))


def expires_in_ms(request: CallerRequest) -> int:
    """Return how long a keyed request may still start."""
    if not request.key:
        return 0
    return max(0, request.expires_ms - time.time_ns() // 1_000_000)


def claim_error(code: ResultCode) -> RequestError:
    """Make the error of a refused claim."""
    if code == ResultCode.IDEMPOTENCY_CONFLICT:
        return RequestError(code, "the key was used with another body")
    if code == ResultCode.REQUEST_EXPIRED:
        return RequestError(code, "the expiry has passed")
    return RequestError(code, "the ledger refused the claim", RETRY_AFTER_MS)


def dispatch_message(
    request: CallerRequest, attempt: int, incarnation: int, remaining_s: float
) -> messages.Dispatch:
    """Build the frame that carries a request to a sidecar."""
    entry = request.entry
    return messages.Dispatch(
        request.request_id,
        request.account,
        entry.name,
        entry.traffic_class,
        entry.priority,
        int(remaining_s * 1000),
        request.method,
        request.path,
        tuple(messages.Header(*header) for header in request.headers),
        request.key,
        attempt,
        incarnation,
        expires_in_ms(request),
        entry.version,
    )
