"""What one answer of a target says of the target itself. Pure."""

from typing import NamedTuple

from wisteriapulley.policy.stated_rate import StatedRate


class TargetLoad(NamedTuple):
    """Load that a target tells with an answer."""

    running: int
    waiting: int
    slots: int


class StatedRest(NamedTuple):
    """For how long a target wants nothing from those that it answers.

    Attributes
    ----------
    seconds : float
        From the answer on; 0 where it asks for no rest.
    unreadable : str
        What stands there that is no time; it changes nothing.
    """

    seconds: float = 0.0
    unreadable: str = ""


class Statements(NamedTuple):
    """All that one answer says of its target.

    Attributes
    ----------
    load : TargetLoad or None
        Its load.
    rate : StatedRate
        Requests that it takes from all entries together.
    rest : StatedRest
        Time for which it wants nothing from this instance.
    leaving : bool
        Whether it is about to end.
    """

    load: TargetLoad | None = None
    rate: StatedRate = StatedRate()
    rest: StatedRest = StatedRest()
    leaving: bool = False


class KnownRest:
    """The rest that one start of a target has asked this instance for.

    Attributes
    ----------
    until_s : float
        When it ends, on the loop's clock.
    """

    def __init__(self):
        self.until_s = float("-inf")
        self.was_unreadable = False

    def hear(self, stated: StatedRest, now_s: float) -> bool:
        """Take an answer's word in; tell whether a rest begins.

        Neither a shorter word nor an answer without one ends a rest: answers
        overtake each other.
        """
        if not stated.seconds:
            return False
        begins = now_s >= self.until_s
        self.until_s = max(self.until_s, now_s + stated.seconds)
        return begins

    def wait_s(self, now_s: float) -> float:
        """Return how long it still lasts; 0 for not at all."""
        return max(0.0, self.until_s - now_s)

    def is_first_unreadable(self, stated: StatedRest) -> bool:
        """Tell whether a target states for the first time what is no time."""
        if not stated.unreadable or self.was_unreadable:
            return False
        self.was_unreadable = True
        return True
