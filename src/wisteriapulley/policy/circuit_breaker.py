"""Circuit breaker for targets that reject requests. Pure.

A target that rejects all requests does so within milliseconds. It then looks idle, so
it would be asked first and use up both sends of each request, while other targets have
free capacity. The circuit opens instead, for longer each time. After that the target
gets one probe, and more as it accepts them: requests that all return at once would be
rejected again.
"""

from enum import Enum

# Shortest and longest time that the circuit stays open. A target that is full for a
# moment has free capacity soon; one that rejects everything costs one send in each
# longest period, and is idle for half of that period on average after it has recovered.
MIN_OPEN_S = 0.05
MAX_OPEN_S = 0.5
# Consecutive rejections that open the circuit: a single request may be rejected for
# a property of its own, such as its length.
REJECTIONS_TO_OPEN = 2
# A request counts as accepted if it was not rejected within this time.
ACCEPTED_AFTER_S = 0.1
# The circuit closes when the limit of concurrent probes exceeds this.
MAX_PROBES = 8


class SendOutcome(Enum):
    """What a target did with a request; `UNKNOWN` also if none was sent."""

    UNKNOWN = "unknown"
    ACCEPTED = "taken"
    REJECTED = "turned_away"


class CircuitBreaker:
    """Circuit breaker of one incarnation of a target.

    Attributes
    ----------
    open_until_s : float
        Until when the target gets no requests.
    open_s : float
        Length of the last open period; 0 once the target accepts a request.
    probe_limit : int
        Concurrent requests allowed while half-open; 0 if the circuit is closed.
    """

    def __init__(self):
        self.open_until_s = float("-inf")
        self.open_s = 0.0
        self.probe_limit = 0
        self.consecutive_rejections = 0
        self.rejected_s = float("-inf")
        self.probes: list[float] = []

    def wait_s(self, now_s: float, is_last: bool = False) -> float:
        """Return the seconds until a request may be sent; 0 if it may be sent now.

        Parameters
        ----------
        now_s : float
            Current time.
        is_last : bool
            Whether the request can't be sent again after a rejection. Such a request
            is sent as a probe only after other requests had time to probe.
        """
        if not self.probe_limit:
            return 0.0
        open_until_s = self.open_until_s + is_last * MAX_OPEN_S
        if now_s < open_until_s:
            return open_until_s - now_s
        self.accept_due_probes(now_s)
        if not self.probe_limit or len(self.probes) < self.probe_limit:
            return 0.0
        return self.probes[0] + ACCEPTED_AFTER_S - now_s

    def accept_due_probes(self, now_s: float) -> None:
        """Count probes as accepted that were not rejected in time."""
        while (
            self.probe_limit
            and self.probes
            and now_s >= self.probes[0] + ACCEPTED_AFTER_S
        ):
            self.probes.pop(0)
            self.raise_probe_limit()

    def raise_probe_limit(self) -> None:
        """Double the concurrent probes; close the circuit above `MAX_PROBES`."""
        self.open_s = 0.0
        self.probe_limit *= 2
        if self.probe_limit > MAX_PROBES:
            self.probe_limit = 0
            self.probes.clear()

    def record_sent(self, now_s: float) -> None:
        """Record that a request is sent."""
        if self.probe_limit:
            self.probes.append(now_s)

    def record_outcome(
        self,
        outcome: SendOutcome,
        sent_s: float,
        now_s: float,
        cooldown_requested: bool = False,
    ) -> None:
        """Record what the target did with a request; see `record_rejected`."""
        if outcome is SendOutcome.ACCEPTED:
            self.record_accepted(sent_s)
        elif outcome is SendOutcome.REJECTED:
            self.record_rejected(sent_s, now_s, cooldown_requested)
        elif sent_s in self.probes:
            self.probes.remove(sent_s)

    def record_accepted(self, sent_s: float) -> None:
        """Record an accepted request that was sent after the last rejection."""
        if sent_s <= self.rejected_s:
            return
        self.consecutive_rejections = 0
        if sent_s in self.probes:
            self.probes.remove(sent_s)
            self.raise_probe_limit()

    def record_rejected(
        self, sent_s: float, now_s: float, cooldown_requested: bool = False
    ) -> None:
        """Record a rejected request.

        Parameters
        ----------
        sent_s : float
            When the request was sent. Requests that were in flight when the circuit
            opened carry no new information.
        now_s : float
            Current time.
        cooldown_requested : bool
            Whether the target requested a cool-down; one rejection is enough then.
        """
        if sent_s < self.rejected_s and self.probe_limit:
            return
        self.consecutive_rejections += 1
        if (
            self.consecutive_rejections < REJECTIONS_TO_OPEN
            and not cooldown_requested
            and not self.probe_limit
        ):
            self.rejected_s = max(self.rejected_s, sent_s)
            return
        self.open_s = min(MAX_OPEN_S, max(MIN_OPEN_S, 2 * self.open_s))
        self.open_until_s = now_s + self.open_s
        self.rejected_s = now_s
        self.probe_limit = 1
        self.probes.clear()
