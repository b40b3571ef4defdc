"""Claims: which target may run which non-idempotent request.

A pure state machine applied by the log. The claim on (client account, key) is
changed only by compare-and-set on its attempt, so one attempt is current, and
a sidecar runs an attempt once.
"""

import msgspec

from wisteriapulley.errors import ResultCode

MAX_EXPIRY_MS = 600_000
# Kept this much longer than the expiry, against clocks that disagree.
EXPIRY_MARGIN_MS = 60_000
# About 300 bytes each: a full ledger takes some 20 MB of the 32 MB budget.
MAX_CLAIMS = 60_000


class ClaimKey(msgspec.Struct, frozen=True):
    """Client account and its idempotency key."""

    account: str
    key: str


class Claim(msgspec.Struct, frozen=True):
    """Who may run a request.

    Attributes
    ----------
    body_digest : bytes
        Digest of the request, to tell a resend from a clash.
    target : str
        Node id of the sidecar that may run it.
    incarnation : int
        That sidecar's incarnation.
    attempt : int
        Counts from 1.
    expires_at_ms : int
        Unix time in milliseconds after which it may not start.
    """

    body_digest: bytes
    target: str
    incarnation: int
    attempt: int
    expires_at_ms: int


class ClaimResult(msgspec.Struct, frozen=True):
    """Outcome of a claim.

    Attributes
    ----------
    code : int
        OK when the proposed claim stands; otherwise why not.
    claim : Claim or None
        The claim that stands.
    """

    code: int
    claim: Claim | None = None


class ClaimLedger:
    """Standing claims, oldest first.

    Parameters
    ----------
    limit : int
        Most claims kept; beyond it new ones are refused as not run, because
        forgetting a live claim could run a request twice.
    """

    def __init__(self, limit: int = MAX_CLAIMS):
        self.limit = limit
        self.claims: dict[ClaimKey, Claim] = {}
        self.now_ms = 0

    def put(
        self, key: ClaimKey, claim: Claim, expected_attempt: int, now_ms: int
    ) -> ClaimResult:
        """Set a claim if the standing attempt is `expected_attempt`.

        Parameters
        ----------
        key : ClaimKey
            Whose request.
        claim : Claim
            The claim to set; its attempt is ``expected_attempt + 1``.
        expected_attempt : int
            0 when no claim may stand.
        now_ms : int
            The leader's Unix time in milliseconds; it never goes back here.

        Returns
        -------
        ClaimResult
            With the claim that stands afterwards.
        """
        self.now_ms = max(self.now_ms, now_ms)
        self.forget_expired()
        standing = self.claims.get(key)
        if standing is not None and standing.body_digest != claim.body_digest:
            return ClaimResult(ResultCode.IDEMPOTENCY_CONFLICT, standing)
        if claim.expires_at_ms <= self.now_ms:
            return ClaimResult(ResultCode.REQUEST_EXPIRED, standing)
        current = standing.attempt if standing is not None else 0
        if current != expected_attempt or claim.attempt != expected_attempt + 1:
            return ClaimResult(ResultCode.IN_PROGRESS, standing)
        if standing is None and len(self.claims) >= self.limit:
            return ClaimResult(ResultCode.OVERLOADED)
        self.claims[key] = claim
        return ClaimResult(ResultCode.OK, claim)

    def forget_expired(self) -> None:
        """Drop claims whose requests could no longer start anywhere."""
        horizon = self.now_ms - EXPIRY_MARGIN_MS
        expired = [
            key for key, claim in self.claims.items() if claim.expires_at_ms < horizon
        ]
        for key in expired:
            del self.claims[key]
