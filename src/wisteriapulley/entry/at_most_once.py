"""Run a non-idempotent request at most once: claim, send, resolve.

The entry first commits a claim for one target to the ledger of the control
instances, then sends the request to that target. After a failure it asks the
target what became of the attempt before it claims another target.
`docs/design/request-path.md` lists the cases.
"""

import asyncio
import logging
import time
from collections import OrderedDict
from collections.abc import AsyncIterator
from contextlib import aclosing

from wisteriapulley.claims import Claim, ClaimKey, ClaimResult
from wisteriapulley.claims.ledger import EXPIRY_MARGIN_MS
from wisteriapulley.control.client import ControlClient
from wisteriapulley.control.commands import PutClaim
from wisteriapulley.entry.answer import Answer
from wisteriapulley.entry.claims import (
    claim_error,
    claim_key,
    next_claim,
    resolve_message,
)
from wisteriapulley.entry.dispatch import (
    MAX_ATTEMPTS,
    RETRY_AFTER_MS,
    Dispatcher,
    NotSentError,
    OpenAnswer,
    expires_in_ms,
)
from wisteriapulley.entry.placing import Slot, leaving_error
from wisteriapulley.entry.request import CallerRequest
from wisteriapulley.errors import (
    CODE_TABLE,
    RequestError,
    ResultCode,
    WireError,
    WisteriapulleyError,
)
from wisteriapulley.logs import fields
from wisteriapulley.wire import Call, Link, messages
from wisteriapulley.wire.call import raise_failure

log = logging.getLogger(__name__)

TOMBSTONE = "tombstone"
UNKNOWN = "unknown"
RESOLVE_RETRY_INTERVAL_S = 0.05
# Keys that this entry has claimed, about 300 bytes each. They tell a resend from a
# first send while no control instance is reachable.
MAX_CLAIMED_KEYS = 10_000
# Target of a released claim: none of the attempts before it has run.
UNASSIGNED_TARGET = ""
# Expected attempt that never matches: the ledger changes nothing and returns the
# current claim.
READ_ONLY_ATTEMPT = -1
# Longest time that a refusal waits for the ledger, for a release in a drain only.
LEDGER_READ_TIMEOUT_S = 0.25
# The ledger keeps an expired claim for its own margin. Half of that allows for
# clock skew between this entry and the ledger.
ASSUMED_RETENTION_MS = EXPIRY_MARGIN_MS // 2


class AtMostOnceRunner:
    """Runs requests that carry an idempotency key.

    Parameters
    ----------
    dispatcher : Dispatcher
        Sends attempts.
    control : ControlClient
        Commits claims to the ledger.
    """

    def __init__(self, dispatcher: Dispatcher, control: ControlClient):
        self.dispatcher = dispatcher
        self.targets = dispatcher.placer.targets
        self.control = control
        self.claimed_keys: OrderedDict[ClaimKey, int] = OrderedDict()

    # -- running a request -----------------------------------------------

    async def run(self, request: CallerRequest) -> Answer:
        """Return the response of the one attempt that runs.

        Raises
        ------
        RequestError
            Its code says "not run" only if no attempt has run and none can still
            run under the current claim.
        """
        if expires_in_ms(request) <= 0:
            expired = RequestError(
                ResultCode.REQUEST_EXPIRED,
                "the expiry of the idempotency key has passed",
            )
            return await self.follow_or_refuse(request, expired)
        avoid: set[str] = set()
        not_run_claim: Claim | None = None
        for _ in range(MAX_ATTEMPTS):
            outcome = await self.try_attempt(request, avoid, not_run_claim)
            if isinstance(outcome, Answer):
                return outcome
            not_run_claim = outcome
        refusal = RequestError(
            ResultCode.CLAIM_UNAVAILABLE,
            "every attempt was rejected before it started",
            RETRY_AFTER_MS,
        )
        return await self.follow_or_refuse(request, refusal, not_run_claim)

    async def try_attempt(
        self, request: CallerRequest, avoid: set[str], not_run_claim: Claim | None
    ) -> Answer | Claim:
        """Claim and send one attempt, or follow the current claim.

        Returns
        -------
        Answer or Claim
            The response, or a claim whose attempt has not run and never will.
        """
        placer = self.dispatcher.placer
        try:
            placer.check_drain(request)
            slot = await placer.acquire(request, avoid)
        except RequestError as error:
            return await self.follow_or_refuse(request, error, not_run_claim)
        try:
            result = await self.commit_claim(request, slot, not_run_claim)
        except BaseException:
            slot.release(ok=False, cancelled=True)
            raise
        if result.code == ResultCode.OK:
            avoid.add(slot.node_id)
            if not placer.may_send(request):
                slot.release(ok=False, cancelled=True)
                return result.claim
            return await self.send_claimed(request, slot, result.claim)
        slot.release(ok=False, cancelled=True)
        if result.code == ResultCode.IDEMPOTENCY_CONFLICT or result.claim is None:
            raise claim_error(ResultCode(result.code))
        return await self.follow_claim(request, result.claim)

    async def follow_or_refuse(
        self,
        request: CallerRequest,
        refusal: RequestError,
        not_run_claim: Claim | None = None,
    ) -> Answer:
        """Follow the claim of an earlier send of the key, or raise `refusal`.

        "Not run" must hold for every send of the key. An earlier send through
        another entry may have run, and only the ledger has a record of it.

        Raises
        ------
        RequestError
            `refusal`, or KEY_UNRESOLVED if the key was sent before and the ledger
            does not answer or may already have dropped its claim.
        """
        try:
            result = await self.read_or_release_claim(request, not_run_claim)
        except WisteriapulleyError as error:
            if not_run_claim is None and not self.is_resend(request):
                raise refusal from error
            raise self.unresolved_error(refusal) from error
        current = result.claim
        if result.code == ResultCode.IDEMPOTENCY_CONFLICT:
            raise claim_error(ResultCode.IDEMPOTENCY_CONFLICT)
        if current is None and self.claim_may_have_expired(request):
            raise self.unresolved_error(refusal)
        if current is None or current.target == UNASSIGNED_TARGET:
            raise refusal
        followed = await self.follow_claim(request, current)
        if not isinstance(followed, Answer):
            await self.try_release_claim(request, followed)
            raise refusal
        return followed

    def unresolved_error(self, refusal: RequestError) -> RequestError:
        """Return the error of a refused send whose key may have run before."""
        return RequestError(
            ResultCode.KEY_UNRESOLVED,
            f"this send did not run ({refusal.message}), an earlier one may have;"
            " send the same key again",
            refusal.retry_after_ms or RETRY_AFTER_MS,
        )

    def claim_may_have_expired(self, request: CallerRequest) -> bool:
        """Return whether the ledger may have dropped a claim of this key."""
        now_ms = time.time_ns() // 1_000_000
        expired = request.expires_ms + ASSUMED_RETENTION_MS < now_ms
        return expired and self.is_resend(request)

    def is_resend(self, request: CallerRequest) -> bool:
        """Return whether this entry or the caller has sent the key before."""
        return request.resend or claim_key(request) in self.claimed_keys

    # -- claims ----------------------------------------------------------

    async def commit_claim(
        self, request: CallerRequest, slot: Slot, not_run_claim: Claim | None
    ) -> ClaimResult:
        """Commit a claim for a target before anything is sent to it.

        Raises
        ------
        RequestError
            The ledger did not answer, or not in time for the drain of this entry.
            Nothing was sent and nothing will be.
        """
        expected_attempt = not_run_claim.attempt if not_run_claim is not None else 0
        sent_before = not_run_claim is not None or self.is_resend(request)
        claim = next_claim(request, not_run_claim, slot.node_id, slot.incarnation)
        self.record_claimed_key(request)
        try:
            async with self.dispatcher.placer.limiting(request):
                return await self.propose_claim(request, claim, expected_attempt)
        except (TimeoutError, WisteriapulleyError) as error:
            refusal = claim_refusal(error)
            raise (
                self.unresolved_error(refusal) if sent_before else refusal
            ) from error

    async def read_or_release_claim(
        self, request: CallerRequest, not_run_claim: Claim | None
    ) -> ClaimResult:
        """Read the current claim, or release a claim that will not run.

        An entry that stops does not wait for the release: a resend asks the target.
        """
        if not_run_claim is None or not_run_claim.target == UNASSIGNED_TARGET:
            claim = Claim(request.digest(), UNASSIGNED_TARGET, 0, 0, request.expires_ms)
            return await self.propose_claim(request, claim, READ_ONLY_ATTEMPT)
        claim = next_claim(request, not_run_claim, UNASSIGNED_TARGET, 0)
        limits = self.dispatcher.placer.limits
        try:
            async with limits.limiting_refusal(LEDGER_READ_TIMEOUT_S):
                return await self.propose_claim(request, claim, not_run_claim.attempt)
        except TimeoutError as error:
            message = "the claim ledger did not answer in time for the stop"
            raise WireError(ResultCode.LINK_TIMEOUT, message) from error

    async def try_release_claim(
        self, request: CallerRequest, not_run_claim: Claim
    ) -> None:
        """Release a claim; on failure a resend asks the claim's target instead."""
        try:
            await self.read_or_release_claim(request, not_run_claim)
        except WisteriapulleyError as error:
            log.info("claim not released: %s", error, extra=fields(request.request_id))

    async def propose_claim(
        self, request: CallerRequest, claim: Claim, expected_attempt: int
    ) -> ClaimResult:
        """Propose a claim to the ledger and wait for its result.

        The wait ends at the deadline, that of a read after `LEDGER_READ_TIMEOUT_S`.
        """
        command = PutClaim(claim_key(request), claim, expected_attempt)
        is_read = expected_attempt == READ_ONLY_ATTEMPT
        timeout_s = (
            LEDGER_READ_TIMEOUT_S
            if is_read
            else max(LEDGER_READ_TIMEOUT_S, request.remaining_s)
        )
        try:
            async with asyncio.timeout(timeout_s):
                return await self.control.propose(command)
        except TimeoutError as error:
            raise WireError(
                ResultCode.LINK_TIMEOUT,
                f"the claim ledger did not answer within {timeout_s:.1f} s",
            ) from error

    def record_claimed_key(self, request: CallerRequest) -> None:
        """Record that this entry has proposed a claim for the key."""
        self.claimed_keys[claim_key(request)] = request.expires_ms
        if len(self.claimed_keys) > MAX_CLAIMED_KEYS:
            self.claimed_keys.popitem(last=False)

    # -- attempts --------------------------------------------------------

    async def send_claimed(
        self, request: CallerRequest, slot: Slot, claim: Claim
    ) -> Answer | Claim:
        """Send a claimed attempt; follow the claim if the response is lost."""
        try:
            # The sidecar keeps the answer, and sends it over its next link too.
            answer = await self.dispatcher.send(
                request, slot, claim.attempt, lambda link: slot.link is not None
            )
            return self.refetching_answer(request, claim, answer)
        except NotSentError as error:
            # Only the entry that won the claim may send it, and it did not.
            if error.code == ResultCode.DEADLINE_EXCEEDED:
                raise
            return claim
        except WisteriapulleyError as error:
            log.info(
                "attempt %d failed: %s",
                claim.attempt,
                error,
                extra=fields(request.request_id, code=error.code),
            )
            if CODE_TABLE[error.code].not_run:
                return claim
            if error.code in (ResultCode.MAY_HAVE_RUN, ResultCode.DEADLINE_EXCEEDED):
                raise
        return await self.follow_claim(request, claim)

    async def follow_claim(
        self, request: CallerRequest, claim: Claim
    ) -> Answer | Claim:
        """Ask the claim's target for the response.

        Returns
        -------
        Answer or Claim
            The response, or the claim if its attempt has not run and never will.

        Raises
        ------
        RequestError
            MAY_HAVE_RUN: the target is gone or has restarted.
            DEADLINE_EXCEEDED: the attempt may still run, or the target did not
            answer before the deadline.
        """
        if claim.target == UNASSIGNED_TARGET:
            return claim
        while request.remaining_s > 0:
            try:
                link = self.targets.claim_link(claim.target, claim.incarnation)
                if link is not None:
                    return await self.resolve_attempt(request, claim, link)
            except WireError as error:
                log.info(
                    "could not resolve the attempt: %s",
                    error,
                    extra=fields(request.request_id),
                )
            await asyncio.sleep(RESOLVE_RETRY_INTERVAL_S)
        raise RequestError(
            ResultCode.DEADLINE_EXCEEDED,
            "the request may still run; send the same key again to get its response",
            RETRY_AFTER_MS,
        )

    async def resolve_attempt(
        self, request: CallerRequest, claim: Claim, link: Link
    ) -> Answer | Claim:
        """Ask a target for the outcome of an attempt and its response."""
        call = link.call(resolve_message(request, claim))
        link.hold(request.remaining_s)
        head = None
        try:
            head = await self.read_resolution(request, call)
        except WireError:
            raise
        except WisteriapulleyError as error:
            return self.handle_resolve_error(claim, error)
        finally:
            if head is None:
                call.close()
        if head is None:
            return claim
        parts = self.dispatcher.read_call_parts(
            request, OpenAnswer(head, call, claim.attempt)
        )
        return self.refetching_answer(request, claim, Answer(head, parts, call.close))

    async def read_resolution(
        self, request: CallerRequest, call: Call
    ) -> messages.AnswerHead | None:
        """Wait for the outcome of an attempt; return None if it did not run."""
        frame = await call.reply(request.remaining_s)
        raise_failure(frame)
        if frame.message.state == TOMBSTONE:
            return None
        if frame.message.state == UNKNOWN:
            raise RequestError(
                ResultCode.MAY_HAVE_RUN,
                "the target has no record of the attempt; it may have restarted",
            )
        return await self.dispatcher.read_head(request, call)

    def handle_resolve_error(self, claim: Claim, error: WisteriapulleyError) -> Claim:
        """Return the claim if the error proves that it did not run, else raise."""
        if error.code in (ResultCode.GATE_CLOSED, ResultCode.ATTEMPT_TOMBSTONED):
            return claim
        if error.code in (ResultCode.MAY_HAVE_RUN, ResultCode.DEADLINE_EXCEEDED):
            raise error
        if error.code == ResultCode.OVERLOADED:
            # The target could not record a tombstone, so the outcome is still
            # unknown. A WireError makes the caller ask again.
            raise WireError(ResultCode.LINK_TIMEOUT, error.message) from error
        raise RequestError(ResultCode.MAY_HAVE_RUN, error.message) from error

    def refetching_answer(
        self, request: CallerRequest, claim: Claim, answer: Answer
    ) -> Answer:
        """Return an answer whose parts are fetched again after a lost link."""
        parts = self.refetching_parts(request, claim, answer)
        return answer._replace(parts=parts)

    async def refetching_parts(
        self, request: CallerRequest, claim: Claim, answer: Answer
    ) -> AsyncIterator[bytes]:
        """Yield the parts of a kept answer; fetch it again if the link is lost."""
        sent = 0
        while True:
            skip = sent
            try:
                async with aclosing(answer.parts) as parts:
                    async for part in parts:
                        unsent = part[skip:]
                        skip = max(0, skip - len(part))
                        sent += len(unsent)
                        if unsent:
                            yield unsent
                return
            except WireError as error:
                if request.remaining_s <= 0:
                    raise self.dispatcher.as_deadline_error(request, error) from error
                followed = await self.follow_claim(request, claim)
            if not isinstance(followed, Answer):
                raise RequestError(
                    ResultCode.ANSWER_CUT,
                    "response cut off; the target no longer has it",
                )
            answer = followed


def claim_refusal(error: TimeoutError | WisteriapulleyError) -> RequestError:
    """Return the refusal of a request whose claim the ledger has not confirmed."""
    if isinstance(error, TimeoutError):
        return leaving_error()
    return RequestError(ResultCode.CLAIM_UNAVAILABLE, error.message, RETRY_AFTER_MS)
