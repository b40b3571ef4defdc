"""Rate limits that targets advertise in their responses. Pure."""

from collections.abc import Callable
from typing import NamedTuple

from wisteriapulley.policy.cold_start import ColdTarget
from wisteriapulley.policy.token_bucket import TokenBucket

# Requests per second to a target that advertises a rate of zero: only its responses
# show when the limit ends, so it has to get a request now and then.
MIN_RATE_PER_S = 0.1
# Burst after an idle period, in seconds of the advertised rate.
BURST_S = 0.5
# Smallest burst, in requests. A late request passes only if the bucket holds this
# many tokens, so that requests in time are served first.
MIN_BURST = 2.0
# A target is forgotten after this long without an update.
RETENTION_S = 600.0


class AdvertisedRate(NamedTuple):
    """Rate limit that one response of a target advertises.

    Attributes
    ----------
    per_s : float or None
        Requests per second from all entries together; None if it advertises no rate.
    invalid_text : str
        Header value that is not a valid rate; it changes nothing.
    """

    per_s: float | None = None
    invalid_text: str = ""


class RateTracker:
    """Latest advertised rate of one target.

    Attributes
    ----------
    per_s : float or None
        Requests per second; None while the target advertises no rate.
    observed_s : float
        Arrival of the latest response that changed or confirmed it, on the loop's
        clock.
    """

    def __init__(self):
        self.per_s: float | None = None
        self.observed_s = float("-inf")
        self.invalid_seen = False

    def observe(self, advertised: AdvertisedRate, sent_s: float, now_s: float) -> bool:
        """Record a response; return whether it sets a rate or ends one.

        Parameters
        ----------
        advertised : AdvertisedRate
            Rate in the response.
        sent_s : float
            When the request was sent. A response without a rate ends the limit only if
            its request was sent after the rate was observed, since responses may
            arrive out of order.
        now_s : float
            Current time.
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
        """Record that other instances observed the end of the advertised rate."""
        self.per_s, self.observed_s = None, now_s

    def is_first_invalid(self, advertised: AdvertisedRate) -> bool:
        """Return whether this is the target's first invalid rate."""
        if not advertised.invalid_text or self.invalid_seen:
            return False
        self.invalid_seen = True
        return True


class RateLimit(NamedTuple):
    """Advertised rate of a target, and the token bucket that enforces it.

    Attributes
    ----------
    per_s : float or None
        Requests per second; None once the target advertises no rate any more.
    observed_s : float
        When the rate was observed.
    bucket : TokenBucket
        Requests that may pass.
    """

    per_s: float | None
    observed_s: float
    bucket: TokenBucket


def without_cold_limit(target: str) -> ColdTarget | None:
    """Return no cold limit for any target."""
    return None


class RateLimits:
    """Enforces the advertised rates of targets, one limit for each target.

    An overloaded target accepts a few requests per second, and each entry sees only
    its own requests. Limits that entries enforce independently add up, and a rate
    split between entries is exceeded while entries start, stop or restart.

    Parameters
    ----------
    fraction : float
        Fraction of an advertised rate that passes here.

    Attributes
    ----------
    cold_of : callable
        Returns the cold limit of an incarnation, or None. A request passes only if
        the advertised rate and the cold limit permit it.
    """

    def __init__(self, fraction: float = 1.0):
        self.fraction = fraction
        self.cold_of: Callable[[str], ColdTarget | None] = without_cold_limit
        self.limits: dict[str, RateLimit] = {}

    def update(self, target: str, per_s: float | None, observed_s: float) -> None:
        """Set a target's rate, unless a newer update is recorded.

        A new limit starts with an empty bucket: requests that were sent before the
        limit was observed are still in flight.

        Parameters
        ----------
        target : str
            One incarnation of a target.
        per_s : float or None
            Requests per second; None if it advertises no rate any more.
        observed_s : float
            When an entry observed that.
        """
        current = self.limits.get(target)
        if current is not None and observed_s < current.observed_s:
            return
        if current is None and per_s is None:
            return
        rate = self.fraction * per_s if per_s is not None else 0.0
        burst = max(MIN_BURST, rate * BURST_S)
        if current is None or current.per_s is None:
            bucket = TokenBucket(rate, burst, available=0.0)
        else:
            bucket = current.bucket
            bucket.set_rate(rate, burst, observed_s)
        self.limits[target] = RateLimit(per_s, observed_s, bucket)

    def is_limited(self, target: str) -> bool:
        """Return whether a target is currently known to advertise a rate."""
        return self.limit_of(target) is not None

    def limit_of(self, target: str) -> RateLimit | None:
        """Return the limit of a target that advertises a rate, or None."""
        limit = self.limits.get(target)
        return limit if limit is not None and limit.per_s is not None else None

    def wait_s(self, target: str, now_s: float, late: bool = False) -> float:
        """Return the seconds until a request may pass; 0 if it may pass now.

        When a target accepts a quarter of the load, refused callers retry beside new
        requests. Without precedence for new requests, half of those that pass are
        late and worth little to their callers.
        """
        limit, cold = self.limit_of(target), self.cold_of(target)
        wait_s = cold.wait_s(now_s) if cold is not None else 0.0
        if limit is None:
            return wait_s
        return max(wait_s, limit.bucket.wait_s(now_s, MIN_BURST if late else 1.0))

    def take(self, target: str, now_s: float) -> bool:
        """Take a token for a request; return whether it may pass."""
        limit, cold = self.limit_of(target), self.cold_of(target)
        if cold is not None and cold.wait_s(now_s) > 0:
            return False
        if limit is not None and not limit.bucket.take(now_s):
            return False
        if cold is not None:
            cold.record_sent(now_s)
        return True

    def remove_expired(self, now_s: float) -> None:
        """Forget targets without an update for `RETENTION_S`."""
        for target, limit in tuple(self.limits.items()):
            if now_s - limit.observed_s > RETENTION_S:
                del self.limits[target]
