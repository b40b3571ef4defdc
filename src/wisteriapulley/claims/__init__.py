"""Claim ledger that lets a non-idempotent request run at most once."""

from wisteriapulley.claims.ledger import Claim, ClaimKey, ClaimLedger, ClaimResult

__all__ = ["Claim", "ClaimKey", "ClaimLedger", "ClaimResult"]
