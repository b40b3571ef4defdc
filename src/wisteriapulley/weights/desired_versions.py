"""Desired versions of weights, and when each was first accepted. Pure.

A newer version may be accepted before the previous one is loaded anywhere. The grace
period of a superseded version runs from the first newer version, so more than the
newest version is kept.
"""

# Versions kept per model: more than can be accepted within the grace period of a
# superseded version.
MAX_VERSIONS_KEPT = 8


class DesiredVersions:
    """Desired versions of each model, and when each was first accepted."""

    def __init__(self):
        self.accepted_at: dict[str, dict[int, float]] = {}

    def record(self, model: str, version: int, accepted_at: float) -> bool:
        """Record a version; of two times for the same version, the earlier is kept.

        Returns
        -------
        bool
            Whether the version was not known before.
        """
        known = self.accepted_at.setdefault(model, {})
        if version in known:
            known[version] = min(known[version], accepted_at)
            return False
        known[version] = accepted_at
        for superseded in sorted(known)[:-MAX_VERSIONS_KEPT]:
            del known[superseded]
        return version in known

    def versions_of(self, model: str) -> list[tuple[int, float]]:
        """Return the versions of a model and when each was accepted, newest last."""
        return sorted(self.accepted_at.get(model, {}).items())

    def newest(self, model: str) -> int:
        """Return the newest version of a model; 0 if there is none."""
        return max(self.accepted_at.get(model, {0: 0.0}))

    def superseded_at(self, model: str, held: int) -> float | None:
        """Return when the first version newer than `held` was accepted, or None."""
        newer = [s for v, s in self.accepted_at.get(model, {}).items() if v > held]
        return min(newer, default=None)
