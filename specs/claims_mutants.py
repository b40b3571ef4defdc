"""Mutants: deliberately broken variants of the claims ledger and attempt table."""

from specs.mutants import Mutant
from wisteriapulley.claims import ClaimLedger
from wisteriapulley.sidecar.attempts import Attempt, AttemptTable

VIOLATED = ("one_run_per_claim",)


class IgnoresExpectedAttempt(ClaimLedger):
    """Accepts a claim without comparing its attempt number."""

    def put(self, key, claim, expected_attempt, now_ms):
        """Use the current attempt number as the expected one."""
        current_claim = self.claims.get(key)
        current = current_claim.attempt if current_claim is not None else 0
        return super().put(
            key, type(claim)(*claim_fields(claim, current + 1)), current, now_ms
        )


def claim_fields(claim, attempt: int) -> tuple:
    """Return a claim's fields with another attempt number."""
    return (
        claim.body_digest,
        claim.target,
        claim.incarnation,
        attempt,
        claim.expires_at_ms,
    )


class LeavesNoTombstone(AttemptTable):
    """Answers "not run" without leaving a tombstone."""

    def resolve(self, key, number, expires_s):
        """Return a tombstone without storing it."""
        current_attempt = self.attempts.get(key)
        if current_attempt is None or current_attempt.number < number:
            attempt = Attempt(number, expires_s)
            attempt.fire("resolve")
            return attempt
        return current_attempt


class IgnoresExpiry(AttemptTable):
    """Starts requests that have expired."""

    def start(self, key, number, expires_s, now_s):
        """Extend the expiry of every request beyond now."""
        return super().start(key, number, max(expires_s, now_s + 1), now_s)


CLAIM_MUTANTS = (
    Mutant("claims_any_attempt", {"ledger_class": IgnoresExpectedAttempt}, VIOLATED),
    Mutant("leaves_no_tombstone", {"table_class": LeavesNoTombstone}, VIOLATED),
    Mutant("starts_after_expiry", {"table_class": IgnoresExpiry}, VIOLATED),
    Mutant("trusts_restarted_target", {"trusts_restart": True}, VIOLATED),
)
