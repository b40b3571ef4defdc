"""Retries: how many of the admitted requests may be sent again."""

# A tenth: under full failure load grows by 10 % and not by the attempts.
RETRY_RATIO = 0.1
# So that a quiet entry may still retry at all.
INITIAL_RETRIES = 10.0
MAX_RETRIES = 100.0


class RetryBudget:
    """Each admitted request earns a share of a retry; each retry spends one."""

    def __init__(self):
        self.balance = INITIAL_RETRIES

    def record_admitted(self) -> None:
        """Count an admitted request."""
        self.balance = min(MAX_RETRIES, self.balance + RETRY_RATIO)

    def spend(self) -> bool:
        """Take one retry if the budget has it."""
        if self.balance < 1.0:
            return False
        self.balance -= 1.0
        return True
