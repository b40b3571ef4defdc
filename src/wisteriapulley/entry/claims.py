"""Build claims, and the messages and errors about them."""

import time

from wisteriapulley.claims import Claim, ClaimKey
from wisteriapulley.entry.request import CallerRequest
from wisteriapulley.errors import RequestError, ResultCode
from wisteriapulley.wire import messages

RETRY_AFTER_MS = 1000


def claim_key(request: CallerRequest) -> ClaimKey:
    """Return the key of a request in the claim ledger."""
    return ClaimKey(request.account, request.key)


def next_claim(
    request: CallerRequest, previous: Claim | None, target: str, incarnation: int
) -> Claim:
    """Return the claim that follows `previous`.

    Its expiry is never earlier than that of `previous`. A resend with an earlier
    expiry would let the ledger drop the key while an attempt may still start.
    """
    number = previous.attempt if previous is not None else 0
    expires_ms = max(
        request.expires_ms, previous.expires_at_ms if previous is not None else 0
    )
    return Claim(request.digest(), target, incarnation, number + 1, expires_ms)


def resolve_message(request: CallerRequest, claim: Claim) -> messages.Resolve:
    """Return the message that asks a target for the outcome of an attempt.

    It carries the later of both expiries, so that a tombstone outlasts the request
    and the claim.
    """
    expires_ms = max(request.expires_ms, claim.expires_at_ms)
    return messages.Resolve(
        request.account,
        request.key,
        claim.attempt,
        claim.incarnation,
        request.request_id,
        max(0, expires_ms - time.time_ns() // 1_000_000),
        expires_ms,
        max(1, int(request.remaining_s * 1000)),
    )


def claim_error(code: ResultCode) -> RequestError:
    """Return the error of a claim that the ledger rejected."""
    if code == ResultCode.IDEMPOTENCY_CONFLICT:
        return RequestError(
            code, "the idempotency key was already used for a different request"
        )
    if code == ResultCode.REQUEST_EXPIRED:
        return RequestError(code, "the expiry of the idempotency key has passed")
    return RequestError(code, "the claim ledger rejected the claim", RETRY_AFTER_MS)
