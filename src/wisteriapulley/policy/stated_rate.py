"""The rate that a target states in its answers, as one entry knows it. Pure."""

from typing import NamedTuple

# A target that states that it takes nothing is asked so often all the same, in
# requests a second: only its answers tell when that ends.
LEAST_PER_S = 0.1


class StatedRate(NamedTuple):
    """What one answer says of the requests that its target takes.

    Attributes
    ----------
    per_s : float or None
        Requests a second, from all entries together; None where it states none.
    unreadable : str
        What stands there that is no rate; it changes nothing.
    """

    per_s: float | None = None
    unreadable: str = ""


class KnownRate:
    """The newest word of one target's rate.

    Attributes
    ----------
    per_s : float or None
        Requests a second; None while it states none.
    heard_s : float
        When the newest answer came that said so, on the loop's clock.
    """

    def __init__(self):
        self.per_s: float | None = None
        self.heard_s = float("-inf")
        self.was_unreadable = False

    def hear(self, stated: StatedRate, sent_s: float, now_s: float) -> bool:
        """Take an answer's word in; tell whether it changes anything.

        Parameters
        ----------
        stated : StatedRate
            The answer's word.
        sent_s : float
            When its request was sent. An answer without a rate ends one only if its
            request was sent after the rate was stated: answers overtake each other.
        now_s : float
            The clock.
        """
        if stated.per_s is None:
            if stated.unreadable or self.per_s is None or sent_s < self.heard_s:
                return False
            self.per_s, self.heard_s = None, now_s
            return True
        per_s = max(LEAST_PER_S, stated.per_s)
        changed = per_s != self.per_s
        self.per_s, self.heard_s = per_s, now_s
        return changed

    def is_first_unreadable(self, stated: StatedRate) -> bool:
        """Tell whether a target states for the first time what is no rate."""
        if not stated.unreadable or self.was_unreadable:
            return False
        self.was_unreadable = True
        return True
