"""Signals about a target in one of its responses. Pure."""

from typing import NamedTuple

from wisteriapulley.policy.advertised_rate import AdvertisedRate


class TargetLoad(NamedTuple):
    """Load that a target reports in a response.

    Attributes
    ----------
    running, waiting, slots : int
        Number of requests that it runs, that wait, and that it runs at most.
    pace : float
        Time that work takes there now, in percent of the usual time; 0 if unknown.
    """

    running: int
    waiting: int
    slots: int
    pace: float = 0.0


class RequestedCooldown(NamedTuple):
    """Cool-down that a target requests from the sender of a request.

    Attributes
    ----------
    seconds : float
        Duration from the response on; 0 if none is requested.
    invalid_text : str
        Header value that is not a valid time; it changes nothing.
    """

    seconds: float = 0.0
    invalid_text: str = ""


class ResponseSignals(NamedTuple):
    """All signals in one response of a target.

    Attributes
    ----------
    load : TargetLoad or None
        Its load.
    rate : AdvertisedRate
        Requests that it accepts from all entries together.
    cooldown : RequestedCooldown
        Time for which it accepts no requests from this instance.
    leaving : bool
        Whether it is about to shut down.
    cold_s : float or None
        How much longer it is cold, 0 if it is warm; None if it states nothing.
    invalid_load : str
        Load header that can't be read, in whole or in part.
    """

    load: TargetLoad | None = None
    rate: AdvertisedRate = AdvertisedRate()
    cooldown: RequestedCooldown = RequestedCooldown()
    leaving: bool = False
    cold_s: float | None = None
    invalid_load: str = ""


class CooldownTracker:
    """Cool-down that one incarnation of a target requested from this instance.

    Attributes
    ----------
    until_s : float
        When it ends, on the loop's clock.
    """

    def __init__(self):
        self.until_s = float("-inf")
        self.invalid_seen = False

    def observe(self, requested: RequestedCooldown, now_s: float) -> bool:
        """Record a response; return whether a cool-down begins.

        Neither a shorter cool-down nor a response without one ends it early, since
        responses may arrive out of order.
        """
        if not requested.seconds:
            return False
        begins = now_s >= self.until_s
        self.until_s = max(self.until_s, now_s + requested.seconds)
        return begins

    def wait_s(self, now_s: float) -> float:
        """Return the remaining seconds; 0 if there is no cool-down."""
        return max(0.0, self.until_s - now_s)

    def is_first_invalid(self, requested: RequestedCooldown) -> bool:
        """Return whether this is the target's first invalid time."""
        if not requested.invalid_text or self.invalid_seen:
            return False
        self.invalid_seen = True
        return True
