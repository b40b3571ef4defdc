"""Cold plain targets whose limits this control instance owns."""

import logging
from collections.abc import Callable

from wisteriapulley.clocks import steady_ms
from wisteriapulley.control.targets import TargetTable
from wisteriapulley.logs import fields
from wisteriapulley.policy.cold_start import ColdBound, ColdTarget
from wisteriapulley.routing import RoutingTable
from wisteriapulley.settings import ControlSettings

log = logging.getLogger(__name__)

# Owners of one plain target: during a partition there may be one on either side.
MAX_OWNERS = 2


class ColdOwner:
    """Cold limits of plain targets, by what they announced.

    Parameters
    ----------
    settings : ControlSettings
        Bound on requests to a cold target.
    announced : TargetTable
        Newest announcement of each target.
    table : callable
        Returns the routing table in force.

    Attributes
    ----------
    targets : dict of str to ColdTarget
        Targets that entries asked about while they were cold, by id.
    """

    def __init__(
        self,
        settings: ControlSettings,
        announced: TargetTable,
        table: Callable[[], RoutingTable],
    ):
        self.settings = settings
        self.announced = announced
        self.table = table
        self.targets: dict[str, ColdTarget] = {}

    def bound_of(self, service: str) -> ColdBound | None:
        """Return this owner's part of the bound of a service; None without one."""
        settings = self.settings
        for known in self.table().services:
            if known.name == service:
                return ColdBound.from_limits(
                    known.cold_start_s,
                    known.cold_per_s,
                    settings.cold_overshoot,
                    settings.cold_slack,
                    MAX_OWNERS,
                )
        return None

    def observe(self, incarnation: str, cold_ms: int, now_s: float) -> None:
        """Record what an entry and the target itself state, before a decision.

        Parameters
        ----------
        incarnation : str
            Incarnation of the target, as entries name it.
        cold_ms : int
            How much longer the entry takes it for cold.
        now_s : float
            The loop's clock.
        """
        target_id, _, started = incarnation.rpartition("/")
        record = self.announced.records.get(target_id)
        bound = self.bound_of(record.state.service) if record is not None else None
        if bound is None:
            self.targets.pop(target_id, None)
            return
        left_ms = max(cold_ms, record.cold_until_ms - steady_ms())
        target = self.targets.get(target_id)
        if target is None:
            if left_ms <= 0:
                return
            target = self.targets[target_id] = ColdTarget(bound, now_s)
            log.info(
                "limiting requests to a cold target",
                extra=fields(
                    target=target_id, cold_ms=int(left_ms), per_s=round(bound.rate, 3)
                ),
            )
        target.set_bound(bound, now_s)
        target.observe(0, max(0.0, left_ms / 1000), now_s)

    def is_undecidable(self, incarnation: str, cold_ms: int) -> bool:
        """Return whether a cold target is unknown here, as after a start."""
        table = self.table()
        if not cold_ms or incarnation.rpartition("/")[0] in self.announced.records:
            return False
        return not table.version or any(s.cold_per_s > 0 for s in table.services)

    def limit_of(self, incarnation: str) -> ColdTarget | None:
        """Return the cold limit of a target, or None.

        It applies whichever incarnation an entry knows: a target may restart under
        its id and address.
        """
        return self.targets.get(incarnation.rpartition("/")[0])

    def sweep(self, now_s: float) -> None:
        """Drop targets that are warm; one that turns cold again begins with a debt."""
        for target_id, target in tuple(self.targets.items()):
            if not target.is_cold(now_s):
                del self.targets[target_id]
                log.info("target is warm", extra=fields(target=target_id))
