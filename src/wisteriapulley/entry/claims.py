"""Builds claims, and the messages and errors about them."""

import time

from wisteriapulley.claims import Claim, ClaimKey
from wisteriapulley.entry.request import CallerRequest
from wisteriapulley.errors import RequestError, ResultCode
from wisteriapulley.wire import messages

RETRY_AFTER_MS = 1000


def claim_key(request: CallerRequest) -> ClaimKey:
    """Return the ledger's key of a request."""
    return ClaimKey(request.account, request.key)


def next_claim(
    request: CallerRequest, previous: Claim | None, target: str, incarnation: int
) -> Claim:
    """Make the claim that follows `dead`.

    Its expiry never gets shorter: a resend with an earlier one would let the
    ledger forget the key while an attempt may still start.
    """
    number = previous.attempt if previous is not None else 0
    expires_ms = max(
        request.expires_ms, previous.expires_at_ms if previous is not None else 0
    )
    return Claim(request.digest(), target, incarnation, number + 1, expires_ms)


def resolve_message(request: CallerRequest, claim: Claim) -> messages.Resolve:
    """Build the question; a tombstone lasts as long as either expiry."""
    expires_ms = max(request.expires_ms, claim.expires_at_ms)
    return messages.Resolve(
        request.account,
        request.key,
        claim.attempt,
        claim.incarnation,
        request.request_id,
        max(0, expires_ms - time.time_ns() // 1_000_000),
        expires_ms,
    )


def claim_error(code: ResultCode) -> RequestError:
    """Make the error of a refused claim."""
    if code == ResultCode.IDEMPOTENCY_CONFLICT:
        return RequestError(code, "the key was used with another body")
    if code == ResultCode.REQUEST_EXPIRED:
        return RequestError(code, "the expiry has passed")
    return RequestError(code, "the ledger refused the claim", RETRY_AFTER_MS)
