"""Requests rate permits for targets that advertise a rate or are cold."""

import logging
from collections.abc import Callable

from wisteriapulley.direct.registry import Target
from wisteriapulley.errors import WisteriapulleyError
from wisteriapulley.policy.advertised_rate import RateLimits
from wisteriapulley.wire import Link
from wisteriapulley.wire.messages import Passage, PassageQuery, TargetRate

log = logging.getLogger(__name__)

# A running control instance responds within two round trips; waiting for longer would
# cost a request a third of its latency objective.
PERMIT_TIMEOUT_S = 0.15
# A permit for a target at its limit is requested again after at most this long, since
# its rate may have changed.
MAX_RECHECK_S = 1.0
# Fraction of an advertised rate that one entry uses on its own while no rate owner
# responds. A fleet of up to 20 entries still keeps to the full rate.
LOCAL_RATE_FRACTION = 1 / 20
# Retry delay for a cold target while no rate owner responds.
COLD_RETRY_S = 0.5
# Age of the rate of a target that never advertised one.
NEVER_OBSERVED_MS = 1 << 40


def never_cold(target: Target, now_s: float) -> bool:
    """Return that a target is warm."""
    return False


class RatePermitClient:
    """Requests rate permits from control instances.

    Parameters
    ----------
    links : callable
        Returns the open links to control instances, nearest first.
    may_be_cold : callable, optional
        Returns whether a target must be taken for cold at a time; by default, none is.

    Attributes
    ----------
    local_limits : RateLimits
        Limits that apply while no control instance responds.
    at_limit_until_s : dict of str to float
        By incarnation of a target, when a permit may be requested again.
    """

    def __init__(
        self,
        links: Callable[[], list[Link]],
        may_be_cold: Callable[[Target, float], bool] = never_cold,
    ):
        self.links = links
        self.may_be_cold = may_be_cold
        self.local_limits = RateLimits(LOCAL_RATE_FRACTION)
        self.at_limit_until_s: dict[str, float] = {}

    async def wait_s(self, target: Target, now_s: float) -> float:
        """Return how long until a request may be sent to a plain target; 0 for now.

        While a target is known to be at its limit, no permit is requested, so that
        requests are refused at once. One that may be cold gets nothing without its
        owner's permit.
        """
        may_be_cold = self.may_be_cold(target, now_s)
        if target.rate.per_s is None and not may_be_cold:
            return 0.0
        at_limit_s = self.at_limit_s(target, now_s)
        if at_limit_s:
            return at_limit_s
        permit = await self.request_permit(target, now_s)
        if permit is None:
            return COLD_RETRY_S if may_be_cold else self.local_wait_s(target, now_s)
        if not permit.limited and target.rate.per_s is not None:
            if target.rate.observed_s <= now_s:
                target.rate.clear(now_s)
        if permit.granted:
            return 0.0
        wait_s = permit.wait_ms / 1000
        self.record_at_limit(target, wait_s, now_s)
        return wait_s

    def at_limit_s(self, target: Target, now_s: float) -> float:
        """Return how long a target is known to stay at its limit."""
        return max(0.0, self.at_limit_until_s.get(target.incarnation, now_s) - now_s)

    def record_at_limit(self, target: Target, wait_s: float, now_s: float) -> None:
        """Record that a target is at its limit for some time."""
        self.at_limit_until_s[target.incarnation] = now_s + min(wait_s, MAX_RECHECK_S)

    async def request_permit(self, target: Target, now_s: float) -> Passage | None:
        """Request a rate permit; None if no control instance responds."""
        query = PassageQuery(*rate_update(target, now_s))
        for link in self.links():
            try:
                return (await link.request(query, PERMIT_TIMEOUT_S)).message
            except WisteriapulleyError as error:
                log.info("no rate permit from %s: %s", link.peer_id, error)
        return None

    def local_wait_s(self, target: Target, now_s: float) -> float:
        """Return how long until the local limit permits a request; 0 for now."""
        self.local_limits.update(
            target.incarnation, target.rate.per_s, target.rate.observed_s
        )
        if self.local_limits.take(target.incarnation, now_s):
            return 0.0
        return self.local_limits.wait_s(target.incarnation, now_s)

    def report_rate(self, target: Target, link: Link | None, now_s: float) -> None:
        """Report the rate and the coldness of a target to the owner of its limits.

        Parameters
        ----------
        target : Target
            The target.
        link : Link or None
            Link to its sidecar, which owns the limit; None for a plain target, whose
            rate is reported to the nearest control instance.
        now_s : float
            The loop's clock.
        """
        owners = [link] if link is not None else self.links()[:1]
        update = rate_update(target, now_s)
        for owner in owners:
            if not owner.closed.is_set():
                owner.post(update)

    def sweep(self, now_s: float) -> None:
        """Remove expired entries."""
        self.local_limits.remove_expired(now_s)
        for incarnation, until_s in tuple(self.at_limit_until_s.items()):
            if until_s <= now_s:
                del self.at_limit_until_s[incarnation]


def rate_update(target: Target, now_s: float) -> TargetRate:
    """Return the message with a target's advertised rate, its age and coldness."""
    age_ms = min(NEVER_OBSERVED_MS, max(0.0, (now_s - target.rate.observed_s) * 1000))
    return TargetRate(
        target.incarnation,
        target.rate.per_s or 0.0,
        int(age_ms),
        int(target.cold_left_s(now_s) * 1000),
    )
