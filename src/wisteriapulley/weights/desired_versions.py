"""Desired versions of weights, and when each was first accepted. Pure.

A newer version may be accepted before the previous one is loaded anywhere. The grace
period of a superseded version runs from the first newer version, so more than the
newest version is kept.
"""

# Versions kept per model: more than operators name within the grace period of a
# superseded version.
MAX_VERSIONS_KEPT = 64
# Two instances that hear of a version at about the same time differ by less than this.
CORRECTION_S = 0.02


class DesiredVersions:
    """Desired versions of each model, and when each was first accepted."""

    def __init__(self):
        self.models: dict[str, dict[int, float]] = {}

    def record(self, model: str, version: int, accepted_s: float) -> bool:
        """Record a version; of two times for the same version, the earlier is kept.

        Parameters
        ----------
        model : str
            Model of the weights.
        version : int
            The version.
        accepted_s : float
            When it was accepted, in seconds of `clocks.steady_s`.

        Returns
        -------
        bool
            Whether the version was not known before.
        """
        known = self.models.setdefault(model, {})
        if version in known:
            known[version] = min(known[version], accepted_s)
            return False
        known[version] = accepted_s
        if len(known) > MAX_VERSIONS_KEPT:
            self.drop_oldest(known)
        return version in known

    def drop_oldest(self, known: dict[int, float]) -> None:
        """Drop the oldest version of a model.

        The next one takes over its time. So the grace period of every older version
        ends as before, and that of the dropped one earlier rather than later.
        """
        oldest, following = sorted(known)[:2]
        known[following] = min(known[following], known.pop(oldest))

    def accepted_at(self, model: str, version: int) -> float | None:
        """Return when a version was accepted; None if it is unknown or not kept."""
        return self.models.get(model, {}).get(version)

    def versions_of(self, model: str) -> list[tuple[int, float]]:
        """Return the versions of a model and when each was accepted, newest last."""
        return sorted(self.models.get(model, {}).items())

    def newest(self, model: str) -> int:
        """Return the newest version of a model; 0 if there is none."""
        return max(self.models.get(model, {0: 0.0}))

    def superseded_at(self, model: str, held: int) -> float | None:
        """Return when the first version newer than `held` was accepted, or None."""
        newer = [s for v, s in self.models.get(model, {}).items() if v > held]
        return min(newer, default=None)


def is_correction(known_s: float | None, accepted_s: float) -> bool:
    """Return whether a version was accepted earlier than known so far, in seconds."""
    return known_s is not None and known_s - accepted_s > CORRECTION_S
