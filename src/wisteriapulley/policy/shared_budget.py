"""Each entry's share of a budget for second sends that all entries keep together.

Load: targets that fail or refuse make many entries send again at the same time.
Harm prevented: second sends that multiply the load of a service in trouble. The
entries do not tell each other what they spend, so each keeps to a share that adds
up to the whole.
"""

from collections import deque

# Of the allowed ratio; requests are unevenly spread over entries and a window
# may begin anywhere, so that the whole stays below the allowance.
RATIO_FRACTION = 0.7
# The fixed allowance is split by so many entries at the least: what control instances
# know of their number lags while entries start.
MIN_ENTRIES = 20


class SharedRetryBudget:
    """Second sends of one entry to one service, over a sliding window.

    Parameters
    ----------
    ratio : float
        Second sends allowed for each request, over all entries.
    slack : float
        Second sends allowed beside that in a window, over all entries.
    window_s : float
        Length of the window.
    """

    def __init__(self, ratio: float, slack: float, window_s: float):
        self.ratio = ratio * RATIO_FRACTION
        self.slack = slack
        self.entries = MIN_ENTRIES
        self.window_s = window_s
        self.requests: deque[float] = deque()
        self.retries: deque[float] = deque()

    def update_entries(self, entries: int) -> None:
        """Take in how many entries share the allowance.

        The largest number that was told counts: instances that are cut off know of
        fewer entries than go on sending.
        """
        self.entries = max(self.entries, entries)

    def record_request(self, now_s: float) -> None:
        """Count a request of a caller."""
        self.requests.append(now_s)
        self.remove_expired(now_s)

    def has_budget(self, now_s: float) -> bool:
        """Tell whether a second send may be booked."""
        self.remove_expired(now_s)
        allowed = self.slack / self.entries + self.ratio * len(self.requests)
        return len(self.retries) + 1 <= allowed

    def spend(self, now_s: float) -> bool:
        """Book a second send; False when the share is spent."""
        if not self.has_budget(now_s):
            return False
        self.retries.append(now_s)
        return True

    def remove_expired(self, now_s: float) -> None:
        """Drop what has left the window."""
        for times in (self.requests, self.retries):
            while times and times[0] < now_s - self.window_s:
                times.popleft()
