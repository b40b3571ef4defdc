"""Claims: which target may run which non-idempotent request.

A pure state machine applied by the log. The claim on (client account, key) is
changed only by compare-and-set on its attempt, so one attempt is current, and
a sidecar runs an attempt once. See ``docs/design/configuration.md``.
"""

import heapq
import sys

import msgspec

from wisteriapulley.errors import ResultCode

MAX_EXPIRY_MS = 600_000
# Kept this much longer than the expiry, against clocks that disagree.
EXPIRY_MARGIN_MS = 60_000
# Load: 45 requests a second that may run only once, each kept 660 s. Harm
# prevented: a ledger that grows past the memory of a control instance.
MAX_CLAIMS = 30_000
# Claims are forgotten by the second of their expiry, never one by one.
EXPIRY_BUCKET_MS = 1000


class ClaimKey(msgspec.Struct, frozen=True, gc=False):
    """Client account and its idempotency key."""

    account: str
    key: str


class Claim(msgspec.Struct, frozen=True, gc=False):
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

    @property
    def bucket(self) -> int:
        """Second in which it expires."""
        return self.expires_at_ms // EXPIRY_BUCKET_MS


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
    """Standing claims.

    Parameters
    ----------
    limit : int
        Most claims kept; beyond it new ones are refused as not run, because
        forgetting a live claim could run a request twice.
    """

    def __init__(self, max_claims: int = MAX_CLAIMS):
        self.max_claims = max_claims
        self.claims: dict[ClaimKey, Claim] = {}
        self.now_ms = 0
        self.buckets: dict[int, list[ClaimKey]] = {}
        self.bucket_heap: list[int] = []

    def put(
        self, key: ClaimKey, claim: Claim, expected_attempt: int, now_ms: int
    ) -> ClaimResult:
        """Set a claim if the current attempt is `expected_attempt`.

        Parameters
        ----------
        key : ClaimKey
            Whose request.
        claim : Claim
            The claim to set; its attempt is ``expected_attempt + 1``.
        expected_attempt : int
            0 when no claim may stand.
        now_ms : int
            The leader's Unix time in milliseconds; it never goes back here,
            so a new leader with a slower clock revives no forgotten expiry.

        Returns
        -------
        ClaimResult
            With the claim that stands afterwards.
        """
        self.now_ms = max(self.now_ms, now_ms)
        self.drop_expired()
        current = self.claims.get(key)
        code = self.check_claim(current, claim, expected_attempt)
        if code != ResultCode.OK:
            return ClaimResult(code, current)
        self.set_claim(key, claim)
        return ClaimResult(ResultCode.OK, claim)

    def check_claim(
        self, current: Claim | None, claim: Claim, expected_attempt: int
    ) -> ResultCode:
        """Judge a proposed claim against the current one.

        A current claim is followed also after its expiry, because its request
        may have run; only a new attempt needs an expiry ahead.
        """
        if current is not None and current.body_digest != claim.body_digest:
            return ResultCode.IDEMPOTENCY_CONFLICT
        current_attempt = current.attempt if current is not None else 0
        is_next = (
            current_attempt == expected_attempt and claim.attempt == current_attempt + 1
        )
        if current is not None and not is_next:
            return ResultCode.IN_PROGRESS
        if claim.expires_at_ms <= self.now_ms:
            return ResultCode.REQUEST_EXPIRED
        if not is_next:
            return ResultCode.IN_PROGRESS
        if claim.expires_at_ms > self.now_ms + MAX_EXPIRY_MS + EXPIRY_MARGIN_MS:
            return ResultCode.CLAIM_UNAVAILABLE
        if current is None and len(self.claims) >= self.max_claims:
            return ResultCode.OVERLOADED
        return ResultCode.OK

    def set_claim(self, key: ClaimKey, claim: Claim) -> None:
        """Let a claim stand and remember when it may be forgotten."""
        current = self.claims.get(key)
        target = sys.intern(claim.target)
        self.claims[key] = msgspec.structs.replace(claim, target=target)
        if current is None or current.bucket != claim.bucket:
            self.schedule_expiry(key, claim.bucket)

    def schedule_expiry(self, key: ClaimKey, bucket: int) -> None:
        """Note that `key` expires in `bucket`."""
        if bucket not in self.buckets:
            self.buckets[bucket] = []
            heapq.heappush(self.bucket_heap, bucket)
        self.buckets[bucket].append(key)

    def drop_expired(self) -> None:
        """Drop claims whose requests could no longer start anywhere.

        The cost is that of the claims dropped, not of those that stand.
        """
        horizon = (self.now_ms - EXPIRY_MARGIN_MS) // EXPIRY_BUCKET_MS
        while self.bucket_heap and self.bucket_heap[0] < horizon:
            bucket = heapq.heappop(self.bucket_heap)
            for key in self.buckets.pop(bucket):
                claim = self.claims.get(key)
                if claim is not None and claim.bucket == bucket:
                    del self.claims[key]

    def restore(self, claims: dict[ClaimKey, Claim], now_ms: int) -> None:
        """Replace everything by a snapshot's content."""
        self.claims = claims
        self.now_ms = now_ms
        self.buckets = {}
        self.bucket_heap = []
        for key, claim in claims.items():
            self.schedule_expiry(key, claim.bucket)
