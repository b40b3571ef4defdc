"""Runs a non-idempotent request at most once: claim, send, resolve.

`docs/design/request-path.md` has the cases.
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
from wisteriapulley.entry.placing import Slot
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
# Claims of this entry that it remembers while control is away, some 300 bytes
# each.
MAX_CLAIMED_KEYS = 10_000
# A claim to no target: every attempt before it is known not to have run.
UNASSIGNED_TARGET = ""
# An expected attempt that never stands: the ledger changes nothing and answers
# with the claim that does.
READ_ONLY_ATTEMPT = -1
# A refusal waits no longer than this for the ledger.
LEDGER_READ_TIMEOUT_S = 0.25
# Half of the ledger's own margin, for clocks that disagree.
ASSUMED_RETENTION_MS = EXPIRY_MARGIN_MS // 2


class AtMostOnceRunner:
    """Runs keyed requests.

    Parameters
    ----------
    dispatcher : Dispatcher
        Sends attempts.
    control : ControlClient
        Commits claims.
    """

    def __init__(self, dispatcher: Dispatcher, control: ControlClient):
        self.dispatcher = dispatcher
        self.targets = dispatcher.placer.targets
        self.control = control
        self.claimed_keys: OrderedDict[ClaimKey, int] = OrderedDict()

    # -- the whole run ---------------------------------------------------

    async def run(self, request: CallerRequest) -> Answer:
        """Return the answer of the one attempt that runs.

        Raises
        ------
        RequestError
            "Not run" only when no attempt ran and none can any more under the
            claims that stand.
        """
        if expires_in_ms(request) <= 0:
            expired = RequestError(ResultCode.REQUEST_EXPIRED, "the expiry has passed")
            return await self.follow_or_refuse(request, expired)
        avoid: set[str] = set()
        not_run_claim: Claim | None = None
        for _ in range(MAX_ATTEMPTS):
            outcome = await self.try_attempt(request, avoid, not_run_claim)
            if isinstance(outcome, Answer):
                return outcome
            not_run_claim = outcome
        refusal = RequestError(
            ResultCode.CLAIM_UNAVAILABLE, "no attempt could run", RETRY_AFTER_MS
        )
        return await self.follow_or_refuse(request, refusal, not_run_claim)

    async def try_attempt(
        self, request: CallerRequest, avoid: set[str], not_run_claim: Claim | None
    ) -> Answer | Claim:
        """Claim and send one attempt, or follow the one that stands.

        Returns
        -------
        Answer or Claim
            The claim is known not to run.
        """
        try:
            slot = await self.dispatcher.placer.acquire(request, avoid)
        except RequestError as error:
            return await self.follow_or_refuse(request, error, not_run_claim)
        try:
            result = await self.commit_claim(request, slot, not_run_claim)
        except BaseException:
            slot.release(ok=False, cancelled=True)
            raise
        if result.code == ResultCode.OK:
            avoid.add(slot.node_id)
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
        """Refuse, unless an earlier send of the key has a claim: follow that.

        A refusal as "not run" is about the request, and an earlier send at
        another entry may have run it: only the ledger knows.

        Raises
        ------
        RequestError
            `refusal`, or KEY_UNRESOLVED when the ledger does not answer and
            the key is known to have been sent before.
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
        """Make the refusal of a send whose key may have run before."""
        return RequestError(
            ResultCode.KEY_UNRESOLVED,
            f"this send did not run ({refusal.message})",
            refusal.retry_after_ms or RETRY_AFTER_MS,
        )

    def claim_may_have_expired(self, request: CallerRequest) -> bool:
        """Tell whether the ledger may have forgotten a claim of this key."""
        now_ms = time.time_ns() // 1_000_000
        expired = request.expires_ms + ASSUMED_RETENTION_MS < now_ms
        return expired and self.is_resend(request)

    def is_resend(self, request: CallerRequest) -> bool:
        """Tell whether an earlier send is known, here or by the caller."""
        return request.resend or claim_key(request) in self.claimed_keys

    # -- claims ----------------------------------------------------------

    async def commit_claim(
        self, request: CallerRequest, slot: Slot, not_run_claim: Claim | None
    ) -> ClaimResult:
        """Commit a claim for a target, before anything is sent to it.

        Raises
        ------
        RequestError
            The ledger did not answer; nothing was or will be sent.
        """
        expected_attempt = not_run_claim.attempt if not_run_claim is not None else 0
        sent_before = not_run_claim is not None or self.is_resend(request)
        claim = next_claim(request, not_run_claim, slot.node_id, slot.incarnation)
        self.record_claimed_key(request)
        try:
            return await self.propose_claim(request, claim, expected_attempt)
        except WisteriapulleyError as error:
            refusal = RequestError(
                ResultCode.CLAIM_UNAVAILABLE, error.message, RETRY_AFTER_MS
            )
            raise (
                self.unresolved_error(refusal) if sent_before else refusal
            ) from error

    async def read_or_release_claim(
        self, request: CallerRequest, not_run_claim: Claim | None
    ) -> ClaimResult:
        """Read the claim that stands; release one that is known not to run."""
        if not_run_claim is None or not_run_claim.target == UNASSIGNED_TARGET:
            claim = Claim(request.digest(), UNASSIGNED_TARGET, 0, 0, request.expires_ms)
            return await self.propose_claim(request, claim, READ_ONLY_ATTEMPT)
        return await self.propose_claim(
            request,
            next_claim(request, not_run_claim, UNASSIGNED_TARGET, 0),
            not_run_claim.attempt,
        )

    async def try_release_claim(
        self, request: CallerRequest, not_run_claim: Claim
    ) -> None:
        """Release a claim; if that fails a resend asks its target instead."""
        try:
            await self.read_or_release_claim(request, not_run_claim)
        except WisteriapulleyError as error:
            log.info("claim not released: %s", error, extra=fields(request.request_id))

    async def propose_claim(
        self, request: CallerRequest, claim: Claim, expected_attempt: int
    ) -> ClaimResult:
        """Put a claim to the ledger, until the deadline at most."""
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
                f"the ledger did not answer in {timeout_s:.1f} s",
            ) from error

    def record_claimed_key(self, request: CallerRequest) -> None:
        """Note that this entry has asked for a claim."""
        self.claimed_keys[claim_key(request)] = request.expires_ms
        if len(self.claimed_keys) > MAX_CLAIMED_KEYS:
            self.claimed_keys.popitem(last=False)

    # -- attempts --------------------------------------------------------

    async def send_claimed(
        self, request: CallerRequest, slot: Slot, claim: Claim
    ) -> Answer | Claim:
        """Send a claimed attempt; follow it when its answer does not come."""
        try:
            answer = await self.dispatcher.send(request, slot, claim.attempt)
            return self.refetching_answer(request, claim, answer)
        except NotSentError as error:
            # Only the winner of the claim may send it, and it did not.
            if error.code == ResultCode.DEADLINE_EXCEEDED:
                raise
            return claim
        except WisteriapulleyError as error:
            log.info(
                "attempt %d: %s",
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
        """Ask the claim's target; return the claim when it is known not to run.

        Raises
        ------
        RequestError
            MAY_HAVE_RUN: the target is gone or has restarted.
            DEADLINE_EXCEEDED: it may still run, or could not be asked in time.
        """
        if claim.target == UNASSIGNED_TARGET:
            return claim
        while request.remaining_s > 0:
            try:
                link = self.targets.claim_link(claim.target, claim.incarnation)
                if link is not None:
                    return await self.resolve_attempt(request, claim, link)
            except WireError as error:
                log.info("resolve: %s", error, extra=fields(request.request_id))
            await asyncio.sleep(RESOLVE_RETRY_INTERVAL_S)
        raise RequestError(
            ResultCode.DEADLINE_EXCEEDED,
            "it may still run: send the same key again for its answer",
            RETRY_AFTER_MS,
        )

    async def resolve_attempt(
        self, request: CallerRequest, claim: Claim, link: Link
    ) -> Answer | Claim:
        """Ask one target what became of an attempt."""
        call = link.call(resolve_message(request, claim))
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
        parts = self.dispatcher.read_call_parts(request, OpenAnswer(head, call))
        return self.refetching_answer(request, claim, Answer(head, parts, call.close))

    async def read_resolution(
        self, request: CallerRequest, call: Call
    ) -> messages.AnswerHead | None:
        """Wait for what became of an attempt; None when it did not run."""
        frame = await call.reply(request.remaining_s)
        raise_failure(frame)
        if frame.message.state == TOMBSTONE:
            return None
        if frame.message.state == UNKNOWN:
            raise RequestError(ResultCode.MAY_HAVE_RUN, "the target has restarted")
        return await self.dispatcher.read_head(request, call)

    def handle_resolve_error(self, claim: Claim, error: WisteriapulleyError) -> Claim:
        """Judge a failure that answered a resolve."""
        if error.code in (ResultCode.GATE_CLOSED, ResultCode.ATTEMPT_TOMBSTONED):
            return claim
        if error.code in (ResultCode.MAY_HAVE_RUN, ResultCode.DEADLINE_EXCEEDED):
            raise error
        if error.code == ResultCode.OVERLOADED:
            # The target could not note it: nothing is known, so ask again.
            raise WireError(ResultCode.LINK_TIMEOUT, error.message) from error
        raise RequestError(ResultCode.MAY_HAVE_RUN, error.message) from error

    def refetching_answer(
        self, request: CallerRequest, claim: Claim, answer: Answer
    ) -> Answer:
        """Return an answer whose parts outlast a lost link."""
        parts = self.refetching_parts(request, claim, answer)
        return answer._replace(parts=parts)

    async def refetching_parts(
        self, request: CallerRequest, claim: Claim, answer: Answer
    ) -> AsyncIterator[bytes]:
        """Yield the parts of a kept answer; fetch it again when a link is lost."""
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
                raise RequestError(ResultCode.ANSWER_CUT, "the answer is gone")
            answer = followed
