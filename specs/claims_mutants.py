"""Deliberately broken variants of the claims."""

from specs.mutants import Mutant
from wisteriapulley.claims import ClaimLedger
from wisteriapulley.sidecar.attempts import Attempt, AttemptTable

BREACH = ("one_run_per_claim",)


class AnyAttempt(ClaimLedger):
    """Sets a claim without comparing the attempt."""

    def put(self, key, claim, expected_attempt, now_ms):
        """Take the standing attempt for the expected one."""
        standing = self.claims.get(key)
        current = standing.attempt if standing is not None else 0
        return super().put(
            key, type(claim)(*claim_fields(claim, current + 1)), current, now_ms
        )


def claim_fields(claim, attempt: int) -> tuple:
    """Return a claim's fields with another attempt."""
    return (
        claim.body_digest,
        claim.target,
        claim.incarnation,
        attempt,
        claim.expires_at_ms,
    )


class NoTombstone(AttemptTable):
    """Answers "not run" and leaves nothing."""

    def resolve(self, key, number, expires_s):
        """Forget what was answered."""
        standing = self.attempts.get(key)
        if standing is None or standing.number < number:
            attempt = Attempt(number, expires_s)
            attempt.fire("resolve")
            return attempt
        return standing


class NoExpiry(AttemptTable):
    """Starts requests after their expiry."""

    def start(self, key, number, expires_s, now_s):
        """Take every request for a fresh one."""
        return super().start(key, number, max(expires_s, now_s + 1), now_s)


CLAIM_MUTANTS = (
    Mutant("claims_any_attempt", {"ledger_class": AnyAttempt}, BREACH),
    Mutant("leaves_no_tombstone", {"table_class": NoTombstone}, BREACH),
    Mutant("starts_after_expiry", {"table_class": NoExpiry}, BREACH),
    Mutant("trusts_restarted_target", {"trusts_restart": True}, BREACH),
)
