"""Desired versions of weights, and when operators first named each. Pure.

A newer version may be named before the previous one is loaded anywhere. The grace
period of a superseded version runs from the first newer version, so more than the
newest version is kept.
"""

# Versions kept per model: more than can be named within the grace period of a
# superseded version.
MAX_VERSIONS_KEPT = 8


class DesiredVersions:
    """Desired versions of each model, and when each was first named."""

    def __init__(self):
        self.named_at: dict[str, dict[int, float]] = {}

    def record(self, model: str, version: int, named_at: float) -> bool:
        """Record a version; of two times for the same version, the earlier is kept.

        Returns
        -------
        bool
            Whether the version was not known before.
        """
        known = self.named_at.setdefault(model, {})
        if version in known:
            known[version] = min(known[version], named_at)
            return False
        known[version] = named_at
        for superseded in sorted(known)[:-MAX_VERSIONS_KEPT]:
            del known[superseded]
        return version in known

    def versions_of(self, model: str) -> list[tuple[int, float]]:
        """Return the versions of a model and when each was named, newest last."""
        return sorted(self.named_at.get(model, {}).items())

    def newest(self, model: str) -> int:
        """Return the newest version of a model; 0 if there is none."""
        return max(self.named_at.get(model, {0: 0.0}))

    def superseded_at(self, model: str, held: int) -> float | None:
        """Return when the first version newer than `held` was named, or None."""
        newer = [s for v, s in self.named_at.get(model, {}).items() if v > held]
        return min(newer, default=None)
