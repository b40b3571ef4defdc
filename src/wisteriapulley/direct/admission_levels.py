"""Refuses requests of a priority that no engine admits, without asking sidecars."""

from collections import Counter

from wisteriapulley.direct.registry import Target
from wisteriapulley.direct.sidecars import Sidecars
from wisteriapulley.policy.admission_level import LevelProbes, is_admitted

# Callers are never told to retry sooner.
MIN_RETRY_S = 0.05


class AdmissionLevels:
    """Admission levels that the sidecars of engines state in their load reports.

    Parameters
    ----------
    sidecars : Sidecars
        Links to the sidecars.

    Attributes
    ----------
    refused : Counter of int
        Refused requests by priority.
    """

    def __init__(self, sidecars: Sidecars):
        self.sidecars = sidecars
        self.probes = LevelProbes()
        self.refused: Counter[int] = Counter()

    def refuses(
        self, service: str, targets: list[Target], priority: int, now_s: float
    ) -> bool:
        """Return whether all engines leave out a priority, and this is no probe.

        Parameters
        ----------
        service : str
            Service of the engines.
        targets : list of Target
            Engines that might be asked.
        priority : int
            Priority of a request that can still meet its objective.
        now_s : float
            The loop's clock.
        """
        levels = (self.sidecars.heartbeat_of(target).level for target in targets)
        if not targets or any(is_admitted(level, priority) for level in levels):
            return False
        if self.probes.take(service, priority, now_s):
            return False
        self.refused[priority] += 1
        return True

    def retry_s(self, targets: list[Target]) -> float:
        """Return when the first engine expects a free slot, in seconds."""
        free_ms = min(self.sidecars.heartbeat_of(target).free_ms for target in targets)
        return max(MIN_RETRY_S, free_ms / 1000)
