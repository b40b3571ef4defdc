from wisteriapulley.claims import Claim, ClaimKey, ClaimLedger
from wisteriapulley.errors import ResultCode

KEY = ClaimKey("dealer-1", "k")


def claim(attempt=1, body=b"b", expires_ms=1000):
    return Claim(body, "t1", 7, attempt, expires_ms)


class TestClaimLedger:
    def test_one_claim_an_attempt(self):
        ledger = ClaimLedger()
        assert ledger.put(KEY, claim(), 0, 0).code == ResultCode.OK
        second = ledger.put(KEY, claim(), 0, 0)
        assert (second.code, second.claim) == (ResultCode.IN_PROGRESS, claim())
        assert ledger.put(KEY, claim(2), 1, 0).code == ResultCode.OK
        assert ledger.put(KEY, claim(2), 1, 0).code == ResultCode.IN_PROGRESS

    def test_other_body_is_a_conflict(self):
        ledger = ClaimLedger()
        ledger.put(KEY, claim(), 0, 0)
        result = ledger.put(KEY, claim(body=b"other"), 0, 0)
        assert result.code == ResultCode.IDEMPOTENCY_CONFLICT

    def test_expired_claims_are_forgotten_and_late_ones_refused(self):
        ledger = ClaimLedger()
        ledger.put(KEY, claim(), 0, 0)
        late = ledger.put(KEY, claim(), 0, 10_000_000)
        assert late.code == ResultCode.REQUEST_EXPIRED
        assert not ledger.claims

    def test_full_ledger_refuses_rather_than_forgets(self):
        ledger = ClaimLedger(limit=1)
        ledger.put(KEY, claim(), 0, 0)
        assert ledger.put(ClaimKey("a", "b"), claim(), 0, 0).code == (
            ResultCode.OVERLOADED
        )
