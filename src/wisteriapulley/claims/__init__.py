"""The at-most-once ledger of non-idempotent requests."""

from wisteriapulley.claims.ledger import Claim, ClaimKey, ClaimLedger, ClaimResult

__all__ = ["Claim", "ClaimKey", "ClaimLedger", "ClaimResult"]
