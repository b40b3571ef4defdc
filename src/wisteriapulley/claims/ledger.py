"""Claims: which target may run which non-idempotent request.

The ledger is a deterministic state machine that the replicated log drives. The
claim on (client account, key) changes only by compare-and-set on its attempt
number, so only one attempt is current, and a sidecar runs an attempt at most once.
See ``docs/design/configuration.md``.
"""

import heapq
import sys

import msgspec

from wisteriapulley.errors import ResultCode

# Longest time from now to a claim's expiry.
MAX_EXPIRY_MS = 600_000
# Claims are kept this much longer than their expiry, to allow for clock skew.
EXPIRY_MARGIN_MS = 60_000
# Maximum number of claims: enough for 45 non-idempotent requests a second, each claim
# kept for 660 s. Without a bound the ledger could outgrow the memory of a control
# instance.
MAX_CLAIMS = 30_000
# Claims are grouped by the second of their expiry and dropped a group at a time.
EXPIRY_BUCKET_MS = 1000


class ClaimKey(msgspec.Struct, frozen=True, gc=False):
    """Client account and its idempotency key."""

    account: str
    key: str


class Claim(msgspec.Struct, frozen=True, gc=False):
    """The target and attempt that may run a request.

    Attributes
    ----------
    body_digest : bytes
        Digest of the request, to tell a resend from a different request under the
        same key.
    target : str
        Node id of the sidecar that may run the request.
    incarnation : int
        Incarnation of that sidecar.
    attempt : int
        Attempt number, counted from 1.
    expires_at_ms : int
        Unix time in milliseconds after which the request may not start.
    """

    body_digest: bytes
    target: str
    incarnation: int
    attempt: int
    expires_at_ms: int

    @property
    def bucket(self) -> int:
        """Unix time in seconds at which the claim expires."""
        return self.expires_at_ms // EXPIRY_BUCKET_MS


class ClaimResult(msgspec.Struct, frozen=True):
    """Outcome of a proposed claim.

    Attributes
    ----------
    code : int
        OK if the proposed claim is now current, otherwise the reason why not.
    claim : Claim or None
        The current claim.
    """

    code: int
    claim: Claim | None = None


class ClaimLedger:
    """Current claims by key.

    Parameters
    ----------
    max_claims : int
        Maximum number of claims. Beyond it new claims are rejected as not run,
        because dropping a live claim could let a request run twice.
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
        """Set a claim if the current attempt number is `expected_attempt`.

        Parameters
        ----------
        key : ClaimKey
            Client account and idempotency key of the request.
        claim : Claim
            The claim to set; its attempt is ``expected_attempt + 1``.
        expected_attempt : int
            0 if no claim is expected.
        now_ms : int
            The leader's Unix time in milliseconds. The ledger's time never goes
            back, so a new leader whose clock is behind can't make an expired claim
            valid again.

        Returns
        -------
        ClaimResult
            With the claim that is current afterwards.
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
        """Check a proposed claim against the current one.

        IN_PROGRESS is returned even if the current claim has expired, because its
        request may have run and the entry has to follow it. Only a new attempt needs
        an expiry in the future.

        Returns
        -------
        ResultCode
            OK if the claim may be set, otherwise the reason why not.
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
        """Make a claim current and schedule its removal after its expiry."""
        current = self.claims.get(key)
        target = sys.intern(claim.target)
        self.claims[key] = msgspec.structs.replace(claim, target=target)
        if current is None or current.bucket != claim.bucket:
            self.schedule_expiry(key, claim.bucket)

    def schedule_expiry(self, key: ClaimKey, bucket: int) -> None:
        """Record that the claim of `key` expires in `bucket`."""
        if bucket not in self.buckets:
            self.buckets[bucket] = []
            heapq.heappush(self.bucket_heap, bucket)
        self.buckets[bucket].append(key)

    def drop_expired(self) -> None:
        """Drop claims whose requests can no longer start anywhere.

        The cost grows with the claims dropped, not with those that are current.
        """
        horizon = (self.now_ms - EXPIRY_MARGIN_MS) // EXPIRY_BUCKET_MS
        while self.bucket_heap and self.bucket_heap[0] < horizon:
            bucket = heapq.heappop(self.bucket_heap)
            for key in self.buckets.pop(bucket):
                claim = self.claims.get(key)
                if claim is not None and claim.bucket == bucket:
                    del self.claims[key]

    def restore(self, claims: dict[ClaimKey, Claim], now_ms: int) -> None:
        """Replace all claims by the content of a snapshot."""
        self.claims = claims
        self.now_ms = now_ms
        self.buckets = {}
        self.bucket_heap = []
        for key, claim in claims.items():
            self.schedule_expiry(key, claim.bucket)
