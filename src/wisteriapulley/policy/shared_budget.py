"""Retry budget that all entries share without coordination.

Targets that fail or refuse requests make many entries retry at the same time, which
multiplies the load of a service in trouble. The entries do not report their retries
to each other, so each keeps to a part of the budget; the parts add up to the whole.
"""

from collections import deque

# Fraction of the allowed ratio that is used: requests are unevenly spread over entries
# and a window may begin anywhere, so this keeps the total below the allowance.
RATIO_FRACTION = 0.7
# The fixed allowance is split among at least this many entries while this one starts:
# the number that control instances report lags while many start together.
MIN_ENTRIES = 20
# Time after the first request for which that lag matters.
STARTING_S = 5.0
# Entries that start later are not known at once, so a small fleet may have grown this
# much. They keep to small parts themselves while they start.
GROWTH_FACTOR = 2


class SharedRetryBudget:
    """Retries of one entry to one service, over a sliding window.

    Parameters
    ----------
    ratio : float
        Retries allowed for each request, over all entries.
    slack : float
        Further retries allowed in each window, over all entries.
    window_s : float
        Length of the window.
    """

    def __init__(self, ratio: float, slack: float, window_s: float):
        self.ratio = ratio * RATIO_FRACTION
        self.slack = slack
        self.entries = 0
        self.first_s: float | None = None
        self.window_s = window_s
        self.requests: deque[float] = deque()
        self.retries: deque[float] = deque()

    def update_entries(self, entries: int) -> None:
        """Update the number of entries that share the allowance.

        The largest reported number counts: instances that are cut off see fewer
        entries than go on sending.
        """
        self.entries = max(self.entries, entries)

    def record_request(self, now_s: float) -> None:
        """Record a request of a caller."""
        if self.first_s is None:
            self.first_s = now_s
        self.requests.append(now_s)
        self.remove_expired(now_s)

    def has_budget(self, now_s: float) -> bool:
        """Return whether a retry is allowed."""
        self.remove_expired(now_s)
        parts = self.sharing_entries(now_s)
        allowed = self.slack / parts + self.ratio * len(self.requests)
        return len(self.retries) + 1 <= allowed

    def sharing_entries(self, now_s: float) -> int:
        """Return among how many entries the fixed allowance is split."""
        is_starting = self.first_s is None or now_s < self.first_s + STARTING_S
        if is_starting or not self.entries:
            return max(MIN_ENTRIES, self.entries)
        return max(min(MIN_ENTRIES, GROWTH_FACTOR * self.entries), self.entries)

    def spend(self, now_s: float) -> bool:
        """Record a retry; return False if the budget is spent."""
        if not self.has_budget(now_s):
            return False
        self.retries.append(now_s)
        return True

    def remove_expired(self, now_s: float) -> None:
        """Drop requests and retries that are older than the window."""
        for times in (self.requests, self.retries):
            while times and times[0] < now_s - self.window_s:
                times.popleft()
