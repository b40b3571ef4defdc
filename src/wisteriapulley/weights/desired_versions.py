"""Desired versions of weights, and when each was first accepted. Pure.

A newer version may be accepted before the previous one is loaded anywhere. The grace
period of a superseded version runs from the first newer version, so more than the
newest version is kept.

A process that has neither seen nor heard when a version was accepted assumes a time on
the safe side: long ago. It holds until somebody who knows better tells the time.
"""

from typing import NamedTuple

# Versions kept per model: more than operators name within the grace period of a
# superseded version.
MAX_VERSIONS_KEPT = 64
# Two instances that hear of a version at about the same time differ by less than this.
CORRECTION_S = 0.02


class Acceptance(NamedTuple):
    """When a version was accepted.

    The fields are in the order in which two of them compare: the lower one holds. A
    witnessed time holds against an assumed one, even if it is later.
    """

    assumed: bool
    at_s: float


class DesiredVersions:
    """Desired versions of each model, and when each was first accepted."""

    def __init__(self):
        self.models: dict[str, dict[int, Acceptance]] = {}

    def record(
        self, model: str, version: int, accepted_s: float, assumed: bool = False
    ) -> bool:
        """Record a version and when it was accepted.

        Of two times for the same version a witnessed one is kept before an assumed
        one, and of two of one kind the earlier.

        Parameters
        ----------
        model : str
            Model of the weights.
        version : int
            The version.
        accepted_s : float
            When it was accepted, in seconds of `clocks.steady_s`.
        assumed : bool
            Whether nobody is known to have witnessed the time.

        Returns
        -------
        bool
            Whether the version was not known before.
        """
        known = self.models.setdefault(model, {})
        told = Acceptance(assumed, accepted_s)
        if version in known:
            known[version] = min(known[version], told)
            return False
        known[version] = told
        if len(known) > MAX_VERSIONS_KEPT:
            self.drop_oldest(known)
        return version in known

    def drop_oldest(self, known: dict[int, Acceptance]) -> None:
        """Drop the oldest version of a model.

        The next one takes over its time. So the grace period of every older version
        ends as before, and that of the dropped one earlier rather than later. The time
        counts as witnessed even if it was assumed: a later one of the next version
        would otherwise replace it, and move the end of older versions on.
        """
        oldest, following = sorted(known)[:2]
        at_s = min(known[following].at_s, known.pop(oldest).at_s)
        known[following] = Acceptance(False, at_s)

    def accepted_at(self, model: str, version: int) -> float | None:
        """Return when a version was accepted; None if it is unknown or not kept."""
        known = self.models.get(model, {}).get(version)
        return None if known is None else known.at_s

    def is_assumed(self, model: str, version: int) -> bool:
        """Return whether a version is known and its time only assumed."""
        known = self.models.get(model, {}).get(version)
        return known is not None and known.assumed

    def acceptances(self, model: str) -> list[tuple[int, Acceptance]]:
        """Return the versions of a model and their acceptances, newest last."""
        return sorted(self.models.get(model, {}).items())

    def versions_of(self, model: str) -> list[tuple[int, float]]:
        """Return the versions of a model and when each was accepted, newest last."""
        return [(version, known.at_s) for version, known in self.acceptances(model)]

    def newest(self, model: str) -> int:
        """Return the newest version of a model; 0 if there is none."""
        return max(self.models.get(model, ()), default=0)

    def superseded_at(self, model: str, held: int) -> float | None:
        """Return when the first version newer than `held` was accepted, or None."""
        newer = [s for v, s in self.versions_of(model) if v > held]
        return min(newer, default=None)


def is_correction(before_s: float | None, after_s: float | None) -> bool:
    """Return whether the time of a known version was corrected.

    Parameters
    ----------
    before_s, after_s : float or None
        The version's `accepted_at` before and after a message was recorded.
    """
    if before_s is None or after_s is None:
        return False
    return abs(before_s - after_s) > CORRECTION_S
