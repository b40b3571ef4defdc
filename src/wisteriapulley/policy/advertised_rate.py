"""The rate that a target states in its answers, and what may pass by it. Pure."""

from typing import NamedTuple

from wisteriapulley.policy.token_bucket import TokenBucket

# A target that states that it takes nothing is asked so often all the same, in
# requests a second: only its answers tell when that ends.
MIN_RATE_PER_S = 0.1
# Of a rate that passes at once after a rest, in seconds.
BURST_S = 0.5
# Requests that pass at once after a rest in any case. A late request passes only where
# another one could, so that those in time have what there is.
MIN_BURST = 2.0
# A target of which nothing was heard for so long is forgotten.
RETENTION_S = 600.0


class AdvertisedRate(NamedTuple):
    """What one answer says of the requests that its target takes.

    Attributes
    ----------
    per_s : float or None
        Requests a second, from all entries together; None where it states none.
    unreadable : str
        What stands there that is no rate; it changes nothing.
    """

    per_s: float | None = None
    invalid_text: str = ""


class RateTracker:
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
        self.observed_s = float("-inf")
        self.invalid_seen = False

    def observe(self, advertised: AdvertisedRate, sent_s: float, now_s: float) -> bool:
        """Take an answer's word in; tell whether it says that there is a rate, or was.

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
        if advertised.per_s is None:
            if (
                advertised.invalid_text
                or self.per_s is None
                or sent_s < self.observed_s
            ):
                return False
            self.per_s, self.observed_s = None, now_s
            return True
        self.per_s, self.observed_s = max(MIN_RATE_PER_S, advertised.per_s), now_s
        return True

    def clear(self, now_s: float) -> None:
        """Note that others heard that the target states no rate any more."""
        self.per_s, self.observed_s = None, now_s

    def is_first_invalid(self, advertised: AdvertisedRate) -> bool:
        """Tell whether a target states for the first time what is no rate."""
        if not advertised.invalid_text or self.invalid_seen:
            return False
        self.invalid_seen = True
        return True


class RateLimit(NamedTuple):
    """A target's stated rate, and what may pass by it.

    Attributes
    ----------
    per_s : float or None
        As stated; None once the target states none any more.
    heard_s : float
        When that was heard.
    bucket : TokenBucket
        Requests that may pass.
    """

    per_s: float | None
    observed_s: float
    bucket: TokenBucket


class RateLimits:
    """Lets requests pass to targets that state a rate: one of these for each target.

    Load: a target in need takes a few requests a second, and each entry knows only
    its own. Harm prevented: limits that entries keep by themselves add up, and a
    split of the rate is exceeded while entries come, go or restart.

    Parameters
    ----------
    share : float
        Of a stated rate that passes here.
    """

    def __init__(self, fraction: float = 1.0):
        self.fraction = fraction
        self.limits: dict[str, RateLimit] = {}

    def update(self, target: str, per_s: float | None, observed_s: float) -> None:
        """Take in a target's word, unless newer words of it are known.

        Nothing passes at once by a limit that is new here: requests that were sent
        before it was known are still on their way.

        Parameters
        ----------
        target : str
            The target, one start of it.
        per_s : float or None
            Requests a second; None where it states no rate any more.
        heard_s : float
            When an entry heard that.
        """
        known = self.limits.get(target)
        if known is not None and observed_s < known.observed_s:
            return
        if known is None and per_s is None:
            return
        rate = self.fraction * per_s if per_s is not None else 0.0
        burst = max(MIN_BURST, rate * BURST_S)
        if known is None or known.per_s is None:
            bucket = TokenBucket(rate, burst, available=0.0)
        else:
            bucket = known.bucket
            bucket.set_rate(rate, burst, observed_s)
        self.limits[target] = RateLimit(per_s, observed_s, bucket)

    def is_limited(self, target: str) -> bool:
        """Tell whether a target states a rate, as far as known here."""
        limit = self.limits.get(target)
        return limit is not None and limit.per_s is not None

    def wait_s(self, target: str, now_s: float, late: bool = False) -> float:
        """Return how long until a request may pass; 0 for now.

        Load: a target takes a quarter of what comes, and callers that were refused
        come back while new ones come. Harm prevented: half of what passes is late,
        and worth little to its callers.
        """
        limit = self.limits.get(target)
        if limit is None or limit.per_s is None:
            return 0.0
        return limit.bucket.wait_s(now_s, MIN_BURST if late else 1.0)

    def take(self, target: str, now_s: float) -> bool:
        """Let a request pass, if one may."""
        limit = self.limits.get(target)
        if limit is None or limit.per_s is None:
            return True
        return limit.bucket.take(now_s)

    def remove_expired(self, now_s: float) -> None:
        """Forget targets of which nothing was heard for long."""
        for target, limit in tuple(self.limits.items()):
            if now_s - limit.observed_s > RETENTION_S:
                del self.limits[target]
