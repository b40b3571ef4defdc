"""An entry's part in the limits of targets that state a rate."""

import logging
from collections.abc import Callable

from wisteriapulley.direct.registry import Target
from wisteriapulley.errors import WisteriapulleyError
from wisteriapulley.policy.advertised_rate import RateLimits
from wisteriapulley.wire import Link
from wisteriapulley.wire.messages import Passage, PassageQuery, TargetRate

log = logging.getLogger(__name__)

# A control instance that runs answers within two round trips; a request that is held
# for longer loses a third of its objective.
PERMIT_TIMEOUT_S = 0.15
# A target at its limit is asked for again after so long at the latest: its rate may
# have changed.
MAX_RECHECK_S = 1.0
# Of a stated rate that one entry lets pass while nobody who holds the limit answers:
# a fleet of so many entries still keeps the whole.
LOCAL_RATE_FRACTION = 1 / 20


class RatePermitClient:
    """Questions whether a request may pass to a target that states a rate.

    Parameters
    ----------
    links : callable
        Returns the open links to control instances, the nearest first.
    """

    def __init__(self, links: Callable[[], list[Link]]):
        self.links = links
        self.local_limits = RateLimits(LOCAL_RATE_FRACTION)
        # By start of the target: when it may be asked for again.
        self.at_limit_until_s: dict[str, float] = {}

    async def wait_s(self, target: Target, now_s: float) -> float:
        """Return how long until a request may be sent to a plain target; 0 for now.

        A target that has just been found at its limit is not asked for again until
        then, so that requests are refused at once.
        """
        if target.rate.per_s is None:
            return 0.0
        at_limit_s = self.full_s(target, now_s)
        if at_limit_s:
            return at_limit_s
        passage = await self.request_permit(target, now_s)
        if passage is None:
            return self.local_wait_s(target, now_s)
        if not passage.limited and target.rate.observed_s <= now_s:
            target.rate.clear(now_s)
        if passage.granted:
            return 0.0
        wait_s = passage.wait_ms / 1000
        self.record_at_limit(target, wait_s, now_s)
        return wait_s

    def full_s(self, target: Target, now_s: float) -> float:
        """Return how long a target is known to be at its limit."""
        return max(0.0, self.at_limit_until_s.get(target.incarnation, now_s) - now_s)

    def record_at_limit(self, target: Target, wait_s: float, now_s: float) -> None:
        """Note that a target is at its limit for some time."""
        self.at_limit_until_s[target.incarnation] = now_s + min(wait_s, MAX_RECHECK_S)

    async def request_permit(self, target: Target, now_s: float) -> Passage | None:
        """Ask for a passage; None where nobody answers."""
        age_ms = max(0, int((now_s - target.rate.observed_s) * 1000))
        query = PassageQuery(target.incarnation, target.rate.per_s, age_ms)
        for link in self.links():
            try:
                return (await link.request(query, PERMIT_TIMEOUT_S)).message
            except WisteriapulleyError as error:
                log.info("no passage from %s: %s", link.peer_id, error)
        return None

    def local_wait_s(self, target: Target, now_s: float) -> float:
        """Return how long until a request may pass without anybody else's word."""
        self.local_limits.update(
            target.incarnation, target.rate.per_s, target.rate.observed_s
        )
        if self.local_limits.take(target.incarnation, now_s):
            return 0.0
        return self.local_limits.wait_s(target.incarnation, now_s)

    def report_rate(self, target: Target, link: Link | None, now_s: float) -> None:
        """Tell whoever holds a target's limit what it states now.

        Parameters
        ----------
        target : Target
            The target.
        link : Link or None
            To its sidecar, which holds the limit; None for a plain target.
        now_s : float
            The loop's clock.
        """
        holders = [link] if link is not None else self.links()[:1]
        news = rate_update(target, now_s)
        for holder in holders:
            if not holder.closed.is_set():
                holder.post(news)

    def sweep(self, now_s: float) -> None:
        """Forget targets that are long gone."""
        self.local_limits.remove_expired(now_s)
        for start, until_s in tuple(self.at_limit_until_s.items()):
            if until_s <= now_s:
                del self.at_limit_until_s[start]


def rate_update(target: Target, now_s: float) -> TargetRate:
    """Say what a target states, and how long ago that was heard."""
    age_ms = max(0, int((now_s - target.rate.observed_s) * 1000))
    return TargetRate(target.incarnation, target.rate.per_s or 0.0, age_ms)
