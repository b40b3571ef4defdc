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
FIRST_PAUSE_S = 0.05
MOST_PAUSE_S = 0.5
# In a row, until the target is left alone: a single request may be turned away for
# its own sake, such as its length.
MOST_IN_A_ROW = 2
# A request that was not turned away after so many seconds has been taken.
TAKEN_S = 0.1
# Requests at once that a target has to take before it is whole again.
WHOLE = 8


class SendOutcome(Enum):
    """What a target did with a request; `UNKNOWN` also where none was sent."""

    UNKNOWN = "unknown"
    TAKEN = "taken"
    TURNED_AWAY = "turned_away"


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
        self.until_s = float("-inf")
        self.pause_s = 0.0
        self.allowed = 0
        self.in_a_row = 0
        self.turned_s = float("-inf")
        self.trials: list[float] = []

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
        if not self.allowed:
            return 0.0
        until_s = self.until_s + is_last * MOST_PAUSE_S
        if now_s < until_s:
            return until_s - now_s
        self.settle(now_s)
        if not self.allowed or len(self.trials) < self.allowed:
            return 0.0
        return self.trials[0] + TAKEN_S - now_s

    def settle(self, now_s: float) -> None:
        """Count trials as taken that were not turned away in time."""
        while self.allowed and self.trials and now_s >= self.trials[0] + TAKEN_S:
            self.trials.pop(0)
            self.grow()

    def grow(self) -> None:
        """Let more requests pass at once; all of them, once it took enough."""
        self.pause_s = 0.0
        self.allowed *= 2
        if self.allowed > WHOLE:
            self.allowed = 0
            self.trials.clear()

    def sent(self, now_s: float) -> None:
        """Note that a request goes there."""
        if self.allowed:
            self.trials.append(now_s)

    def ended(
        self, outcome: SendOutcome, sent_s: float, now_s: float, rests: bool = False
    ) -> None:
        """Note what the target did with a request; see `turned_away`."""
        if outcome is SendOutcome.TAKEN:
            self.taken(sent_s)
        elif outcome is SendOutcome.TURNED_AWAY:
            self.turned_away(sent_s, now_s, rests)
        elif sent_s in self.trials:
            self.trials.remove(sent_s)

    def taken(self, sent_s: float) -> None:
        """Note that the target took a request that was sent after its last refusal."""
        if sent_s <= self.turned_s:
            return
        self.in_a_row = 0
        if sent_s in self.trials:
            self.trials.remove(sent_s)
            self.grow()

    def turned_away(self, sent_s: float, now_s: float, rests: bool = False) -> None:
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
        if sent_s < self.turned_s and self.allowed:
            return
        self.in_a_row += 1
        if self.in_a_row < MOST_IN_A_ROW and not rests and not self.allowed:
            self.turned_s = max(self.turned_s, sent_s)
            return
        self.pause_s = min(MOST_PAUSE_S, max(FIRST_PAUSE_S, 2 * self.pause_s))
        self.until_s = now_s + self.pause_s
        self.turned_s = now_s
        self.allowed = 1
        self.trials.clear()
