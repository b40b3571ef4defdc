"""Whether a target that turned requests away may get one now. Pure.

Load pattern: a target turns away all that it gets, within milliseconds. Harm prevented:
it looks empty, so it is asked first and takes both sends of each request, while others
have room. It is left alone for a while instead, longer each time, and then gets one
request, and more as it takes them: all that come back at once would be turned away
again.
"""

from enum import Enum

# The first pause, and the longest one, in seconds. A target that is full for a moment
# has room again soon; one that turns all away costs one send in each longest pause,
# and stands idle for half of it on average once it has room again.
MIN_OPEN_S = 0.05
MAX_OPEN_S = 0.5
# In a row, until the target is left alone: a single request may be turned away for
# its own sake, such as its length.
REJECTIONS_TO_OPEN = 2
# A request that was not turned away after so many seconds has been taken.
ACCEPTED_AFTER_S = 0.1
# Requests at once that a target has to take before it is whole again.
MAX_PROBES = 8


class SendOutcome(Enum):
    """What a target did with a request; `UNKNOWN` also where none was sent."""

    UNKNOWN = "unknown"
    ACCEPTED = "taken"
    REJECTED = "turned_away"


class CircuitBreaker:
    """What one start of a target did with the requests that it got.

    Attributes
    ----------
    until_s : float
        Until when it gets nothing.
    pause_s : float
        The last pause; 0 since the target took a request.
    allowed : int
        Requests at once that it may get on trial; 0 where it gets all.
    """

    def __init__(self):
        self.open_until_s = float("-inf")
        self.open_s = 0.0
        self.probe_limit = 0
        self.consecutive_rejections = 0
        self.rejected_s = float("-inf")
        self.probes: list[float] = []

    def wait_s(self, now_s: float, is_last: bool = False) -> float:
        """Return how long until a request may be sent; 0 for now.

        Parameters
        ----------
        now_s : float
            The clock.
        is_last : bool
            Whether the request can't be sent again if it is turned away. Such a one is
            sent on trial only after others had time for it.
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
        """Count trials as taken that were not turned away in time."""
        while (
            self.probe_limit
            and self.probes
            and now_s >= self.probes[0] + ACCEPTED_AFTER_S
        ):
            self.probes.pop(0)
            self.raise_probe_limit()

    def raise_probe_limit(self) -> None:
        """Let more requests pass at once; all of them, once it took enough."""
        self.open_s = 0.0
        self.probe_limit *= 2
        if self.probe_limit > MAX_PROBES:
            self.probe_limit = 0
            self.probes.clear()

    def record_sent(self, now_s: float) -> None:
        """Note that a request goes there."""
        if self.probe_limit:
            self.probes.append(now_s)

    def record_outcome(
        self,
        outcome: SendOutcome,
        sent_s: float,
        now_s: float,
        cooldown_requested: bool = False,
    ) -> None:
        """Note what the target did with a request; see `turned_away`."""
        if outcome is SendOutcome.ACCEPTED:
            self.record_accepted(sent_s)
        elif outcome is SendOutcome.REJECTED:
            self.record_rejected(sent_s, now_s, cooldown_requested)
        elif sent_s in self.probes:
            self.probes.remove(sent_s)

    def record_accepted(self, sent_s: float) -> None:
        """Note that the target took a request that was sent after its last refusal."""
        if sent_s <= self.rejected_s:
            return
        self.consecutive_rejections = 0
        if sent_s in self.probes:
            self.probes.remove(sent_s)
            self.raise_probe_limit()

    def record_rejected(
        self, sent_s: float, now_s: float, cooldown_requested: bool = False
    ) -> None:
        """Note that the target turned a request away.

        Parameters
        ----------
        sent_s : float
            When the request was sent. Those that were on their way when the target was
            left alone tell nothing new.
        now_s : float
            The clock.
        rests : bool
            Whether the target asks for rest, so that one word is enough.
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
