"""Retry budget: the fraction of admitted requests that may be sent again."""

# Retries that each admitted request adds to the budget: if all requests fail, the load
# grows by 10 %, not by the number of attempts.
RETRY_RATIO = 0.1
# Initial budget: lets an entry with little traffic retry at all.
INITIAL_RETRIES = 10.0
MAX_RETRIES = 100.0


class RetryBudget:
    """Each admitted request adds a fraction of a retry; each retry takes one."""

    def __init__(self):
        self.balance = INITIAL_RETRIES

    def record_admitted(self) -> None:
        """Count an admitted request."""
        self.balance = min(MAX_RETRIES, self.balance + RETRY_RATIO)

    def has_retry(self) -> bool:
        """Return whether the budget has a retry."""
        return self.balance >= 1.0

    def spend(self) -> bool:
        """Take one retry if the budget has one."""
        if not self.has_retry():
            return False
        self.balance -= 1.0
        return True
