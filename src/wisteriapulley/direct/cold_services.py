"""Which targets an entry must take for cold."""

import logging
from collections.abc import Callable, Iterable

from wisteriapulley.direct.registry import Target
from wisteriapulley.logs import fields
from wisteriapulley.routing import RoutingTable

log = logging.getLogger(__name__)


class ColdServices:
    """Services that limit the requests to their cold targets.

    Attributes
    ----------
    limited : frozenset of str
        Names of the services that state what a cold target bears.
    cold : frozenset of str
        Ids of their targets that were cold when last checked.
    """

    def __init__(self):
        self.limited: frozenset[str] = frozenset()
        self.cold: frozenset[str] = frozenset()

    def set_table(self, table: RoutingTable) -> None:
        """Apply a newer routing table.

        A service that it lacks keeps its limit, for the requests that an earlier table
        admitted.
        """
        listed = {service.name for service in table.services}
        limited = {s.name for s in table.services if s.cold_per_s > 0}
        self.limited = frozenset(limited | (self.limited - listed))

    def may_be_cold(
        self, target: Target, now_s: float, in_touch: Callable[[], bool]
    ) -> bool:
        """Return whether a request needs the consent of the target's owner.

        A target may turn cold at any moment, and control instances announce it. An
        entry that reaches none of them does not learn of it, and all such entries
        together would break the bound with a request each.

        Parameters
        ----------
        target : Target
            The target.
        now_s : float
            The loop's clock.
        in_touch : callable
            Returns whether a link to a control instance is open.
        """
        if target.state.service not in self.limited:
            return False
        return target.cold_left_s(now_s) > 0 or not in_touch()

    def check(self, targets: Iterable[Target], now_s: float) -> int:
        """Log which targets turned cold or warm; return how many are cold."""
        cold = frozenset(
            target.target_id
            for target in targets
            if target.state.service in self.limited and target.cold_left_s(now_s)
        )
        for target_id in sorted(cold - self.cold):
            log.info("target is cold", extra=fields(target=target_id))
        for target_id in sorted(self.cold - cold):
            log.info("target is warm", extra=fields(target=target_id))
        self.cold = cold
        return len(cold)
