"""What one answer of a target says of the target itself. Pure."""

from typing import NamedTuple

from wisteriapulley.policy.advertised_rate import AdvertisedRate


class TargetLoad(NamedTuple):
    """Load that a target tells with an answer."""

    running: int
    waiting: int
    slots: int


class RequestedCooldown(NamedTuple):
    """For how long a target wants nothing from those that it answers.

    Attributes
    ----------
    seconds : float
        From the answer on; 0 where it asks for no rest.
    unreadable : str
        What stands there that is no time; it changes nothing.
    """

    seconds: float = 0.0
    invalid_text: str = ""


class ResponseSignals(NamedTuple):
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
    rate: AdvertisedRate = AdvertisedRate()
    cooldown: RequestedCooldown = RequestedCooldown()
    leaving: bool = False


class CooldownTracker:
    """The rest that one start of a target has asked this instance for.

    Attributes
    ----------
    until_s : float
        When it ends, on the loop's clock.
    """

    def __init__(self):
        self.until_s = float("-inf")
        self.invalid_seen = False

    def observe(self, requested: RequestedCooldown, now_s: float) -> bool:
        """Take an answer's word in; tell whether a rest begins.

        Neither a shorter word nor an answer without one ends a rest: answers
        overtake each other.
        """
        if not requested.seconds:
            return False
        begins = now_s >= self.until_s
        self.until_s = max(self.until_s, now_s + requested.seconds)
        return begins

    def wait_s(self, now_s: float) -> float:
        """Return how long it still lasts; 0 for not at all."""
        return max(0.0, self.until_s - now_s)

    def is_first_invalid(self, requested: RequestedCooldown) -> bool:
        """Tell whether a target states for the first time what is no time."""
        if not requested.invalid_text or self.invalid_seen:
            return False
        self.invalid_seen = True
        return True
