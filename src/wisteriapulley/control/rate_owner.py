"""Enforces the advertised rates and cold limits of plain targets across all entries.

An engine's sidecar sees all requests to the engine; a plain target has no sidecar. So
one control instance owns the rate limit of each plain target, and an entry that knows
of an advertised rate, or that the target is cold, requests a permit for each request
through the instance that it follows.
"""

import asyncio
import logging
from collections.abc import Callable, Mapping

from wisteriapulley.control.cold_owner import ColdOwner
from wisteriapulley.errors import WisteriapulleyError
from wisteriapulley.policy.advertised_rate import RateLimits
from wisteriapulley.rendezvous import rendezvous_weight
from wisteriapulley.wire import Link
from wisteriapulley.wire.messages import Passage, PassageQuery, TargetRate

log = logging.getLogger(__name__)

# Fraction of an advertised rate that one owner grants. During a partition there may be
# an owner on either side: together they stay within one and a half times the rate.
GRANTED_FRACTION = 0.75
# A running owner responds within a round trip between regions.
FORWARD_TIMEOUT_S = 0.1
# Retry delay if the owner did not respond: by then another instance owns the limit, or
# the owner responds again.
OWNER_LOST_RETRY_MS = 500


class RateOwner:
    """Rate limits that this control instance owns, and access to the other owners.

    Parameters
    ----------
    own : str
        Node id of this instance.
    peers : callable
        Returns the open links to the other instances by node id.
    cold : ColdOwner, optional
        Limits of cold targets.
    """

    def __init__(
        self,
        own: str,
        peers: Callable[[], Mapping[str, Link]],
        cold: ColdOwner | None = None,
    ):
        self.own = own
        self.peers = peers
        self.cold = cold
        self.limits = RateLimits(GRANTED_FRACTION)
        if cold is not None:
            self.limits.cold_of = cold.limit_of

    def owner_link(self, target: str) -> Link | None:
        """Return the link to a target's rate owner; None if this instance owns it."""
        links = self.peers()
        owner = max(
            (self.own, *links), key=lambda name: rendezvous_weight(target, name)
        )
        return links.get(owner)

    async def answer(self, query: PassageQuery, from_entry: bool) -> Passage:
        """Return whether a request may be sent to a target now.

        Parameters
        ----------
        query : PassageQuery
            The target, and the rate that the entry has recorded for it.
        from_entry : bool
            Whether to forward the query if another instance owns the limit.
        """
        link = self.owner_link(query.target) if from_entry else None
        if link is None:
            return self.decide(query)
        try:
            frame = await link.request(query, FORWARD_TIMEOUT_S)
        except WisteriapulleyError as error:
            log.info("no rate permit from %s: %s", link.peer_id, error)
            return Passage(False, OWNER_LOST_RETRY_MS, True)
        return frame.message

    def decide(self, query: PassageQuery) -> Passage:
        """Grant a rate permit, or return the delay until one is available."""
        now_s = asyncio.get_running_loop().time()
        self.record_rate(query, now_s)
        if self.cold is not None and self.cold.is_undecidable(
            query.target, query.cold_ms
        ):
            return Passage(False, OWNER_LOST_RETRY_MS, True)
        if self.limits.take(query.target, now_s):
            return Passage(True, 0, self.limits.is_limited(query.target))
        wait_s = self.limits.wait_s(query.target, now_s)
        return Passage(False, int(wait_s * 1000) + 1, True)

    def receive_rate(self, update: TargetRate, from_entry: bool) -> None:
        """Record a target's advertised rate, or forward it to the rate owner."""
        link = self.owner_link(update.target) if from_entry else None
        if link is not None:
            link.post(update)
            return
        self.record_rate(update, asyncio.get_running_loop().time())

    def record_rate(self, message: TargetRate | PassageQuery, now_s: float) -> None:
        """Record the rate that an entry received from a target, and its coldness."""
        observed_s = now_s - message.age_ms / 1000
        self.limits.update(message.target, message.per_s or None, observed_s)
        if self.cold is not None:
            self.cold.observe(message.target, message.cold_ms, now_s)

    def sweep(self) -> None:
        """Drop the limits of targets that are long gone."""
        now_s = asyncio.get_running_loop().time()
        self.limits.remove_expired(now_s)
        if self.cold is not None:
            self.cold.sweep(now_s)
