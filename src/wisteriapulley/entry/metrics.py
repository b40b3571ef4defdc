"""Request metrics of an entry, by client account and traffic class."""

from wisteriapulley.metrics import Metrics

# Each account has its own series; a usual fleet has about 10 accounts, a few of them
# large. Callers choose the account names, so the number of series is bounded and
# further accounts are counted together.
MAX_ACCOUNTS = 64
OTHER_ACCOUNTS = "other"


class EntryMetrics:
    """Counters and histograms of one entry."""

    def __init__(self, metrics: Metrics, max_accounts: int = MAX_ACCOUNTS):
        self.max_accounts = max_accounts
        self.accounts: set[str] = set()
        self.requests = metrics.counter(
            "requests_total", "Requests by account, class and result code."
        )
        self.latency = metrics.histogram(
            "request_seconds", "Time to the whole answer, by account and class."
        )
        self.refused_in_homes = metrics.counter(
            "refused_in_homes_total",
            "Requests refused for lack of room in their home regions, by account.",
        )
        self.held = metrics.counter(
            "requests_held_total",
            "Requests held through an outage, by service and by how they ended.",
        )
        self.silences = metrics.counter(
            "silent_targets_total",
            "Targets that were silent for so long that another one was looked for, by"
            " how the silence ended.",
        )
        self.given_up = metrics.counter(
            "requests_given_up_total",
            "Requests cancelled at a target that had not answered them whole, by"
            " whether a part of the body had arrived.",
        )
        self.by_size = metrics.counter(
            "requests_by_size_total",
            "Attempts of callers with a prompt, by route, by whether the prompt is one"
            " of the route's largest tenth, and by result code.",
        )
        self.internal_errors = metrics.counter(
            "internal_errors_total", "Requests that an error of this process ended."
        )
        self.first_part = metrics.histogram(
            "first_part_seconds", "Time to the answer's head, by account and class."
        )

    def account_label(self, account: str, admitted: bool) -> str:
        """Return the label of an account; only admitted accounts get their own."""
        if account in self.accounts:
            return account
        if admitted and len(self.accounts) < self.max_accounts:
            self.accounts.add(account)
            return account
        return OTHER_ACCOUNTS

    def record_response(
        self, account: str, traffic_class: str, code: int, seconds: float
    ) -> None:
        """Record the end of a request; `code` 0 means a complete response."""
        label = self.account_label(account, code == 0)
        labels = {"account": label, "class": traffic_class}
        self.requests.inc({**labels, "code": str(code)})
        self.latency.add(labels, seconds)

    def record_refused_in_homes(self, account: str) -> None:
        """Record a request that no target in its home regions had room for."""
        self.refused_in_homes.inc({"account": self.account_label(account, False)})

    def record_held(self, service: str, placed: bool) -> None:
        """Record the end of the hold of a request."""
        end = "placed" if placed else "refused"
        self.held.inc({"service": service, "end": end})

    def record_silence(self, end: str) -> None:
        """Record the end of a target's silence: it went on, or was left."""
        self.silences.inc({"end": end})

    def record_given_up(self, begun: bool) -> None:
        """Record a request that was cancelled while its target worked on it."""
        self.given_up.inc({"begun": "yes" if begun else "no"})

    def record_size(self, route: str, large: bool, code: int) -> None:
        """Record the end of a request with a prompt; `code` 0 means complete."""
        size = "large" if large else "other"
        self.by_size.inc({"route": route, "size": size, "code": str(code)})

    def record_first_part(
        self, account: str, traffic_class: str, seconds: float
    ) -> None:
        """Record the time to the head of a response."""
        label = self.account_label(account, True)
        self.first_part.add({"account": label, "class": traffic_class}, seconds)
