import random

from wisteriapulley.claims import Claim, ClaimKey, ClaimLedger
from wisteriapulley.claims.ledger import EXPIRY_MARGIN_MS, MAX_EXPIRY_MS
from wisteriapulley.errors import ResultCode

KEY = ClaimKey("dealer-1", "k")


def claim(attempt=1, body=b"b", expires_ms=1000):
    return Claim(body, "t1", 7, attempt, expires_ms)


class TestClaimLedger:
    def test_each_attempt_is_claimed_once(self):
        ledger = ClaimLedger()
        assert ledger.put(KEY, claim(), 0, 0).code == ResultCode.OK
        second = ledger.put(KEY, claim(), 0, 0)
        assert (second.code, second.claim) == (ResultCode.IN_PROGRESS, claim())
        assert ledger.put(KEY, claim(2), 1, 0).code == ResultCode.OK
        assert ledger.put(KEY, claim(2), 1, 0).code == ResultCode.IN_PROGRESS

    def test_different_body_with_the_same_key_is_a_conflict(self):
        ledger = ClaimLedger()
        ledger.put(KEY, claim(), 0, 0)
        result = ledger.put(KEY, claim(body=b"other"), 0, 0)
        assert result.code == ResultCode.IDEMPOTENCY_CONFLICT

    def test_expired_claims_are_dropped_and_late_ones_rejected(self):
        ledger = ClaimLedger()
        ledger.put(KEY, claim(), 0, 0)
        late = ledger.put(KEY, claim(), 0, 10_000_000)
        assert late.code == ResultCode.REQUEST_EXPIRED
        assert not ledger.claims

    def test_full_ledger_rejects_new_claims_and_drops_none(self):
        ledger = ClaimLedger(max_claims=1)
        ledger.put(KEY, claim(), 0, 0)
        assert ledger.put(ClaimKey("a", "b"), claim(), 0, 0).code == (
            ResultCode.OVERLOADED
        )

    def test_current_claim_is_returned_after_its_expiry(self):
        ledger = ClaimLedger()
        ledger.put(KEY, claim(), 0, 0)
        resend = ledger.put(KEY, claim(), 0, 2000)
        assert (resend.code, resend.claim) == (ResultCode.IN_PROGRESS, claim())
        assert ledger.put(KEY, claim(2), 1, 2000).code == ResultCode.REQUEST_EXPIRED

    def test_ledger_time_never_goes_back_under_a_new_leader(self):
        ledger = ClaimLedger()
        ledger.put(KEY, claim(expires_ms=5000), 0, 200_000 - EXPIRY_MARGIN_MS)
        late = ledger.put(KEY, claim(expires_ms=100_000), 0, 0)
        assert late.code == ResultCode.REQUEST_EXPIRED
        assert ledger.now_ms == 200_000 - EXPIRY_MARGIN_MS

    def test_expiry_beyond_the_retention_is_refused(self):
        far = claim(expires_ms=MAX_EXPIRY_MS + EXPIRY_MARGIN_MS + 1)
        assert ClaimLedger().put(KEY, far, 0, 0).code == ResultCode.CLAIM_UNAVAILABLE

    def test_restored_ledger_drops_the_same_claims(self):
        ledger, copy, rng = ClaimLedger(), ClaimLedger(), random.Random(4)
        for step in range(2000):
            now_ms = step * 500
            put = (
                ClaimKey("a", str(rng.randrange(300))),
                claim(1, expires_ms=now_ms + rng.randrange(MAX_EXPIRY_MS)),
                0,
                now_ms,
            )
            assert ledger.put(*put) == copy.put(*put)
            if step == 1000:
                copy = ClaimLedger()
                copy.restore(dict(ledger.claims), ledger.now_ms)
        assert ledger.claims == copy.claims
        assert sum(map(len, ledger.buckets.values())) == len(ledger.claims) < 300
