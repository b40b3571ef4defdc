"""Which versions of weights were named, and since when. Pure.

A version that was named may be followed by another one before it is in place
anywhere. How long an older version may still serve is told from the first newer
one, so more than the newest is remembered.
"""

# Versions of one model that are remembered: more than come in the time that a
# replaced one may serve.
MAX_VERSIONS_KEPT = 8


class DesiredVersions:
    """Versions of each model and when each was first heard of."""

    def __init__(self):
        self.named_at: dict[str, dict[int, float]] = {}

    def record(self, model: str, version: int, named_at: float) -> bool:
        """Note a version; of two times the earlier one counts.

        Returns
        -------
        bool
            Whether the version is new here.
        """
        known = self.named_at.setdefault(model, {})
        if version in known:
            known[version] = min(known[version], named_at)
            return False
        known[version] = named_at
        for old in sorted(known)[:-MAX_VERSIONS_KEPT]:
            del known[old]
        return version in known

    def versions_of(self, model: str) -> list[tuple[int, float]]:
        """Return the versions of a model and their times, newest last."""
        return sorted(self.named_at.get(model, {}).items())

    def newest(self, model: str) -> int:
        """Return the newest version of a model; 0 before the first."""
        return max(self.named_at.get(model, {0: 0.0}))

    def superseded_at(self, model: str, held: int) -> float | None:
        """Return when the first version newer than `held` was named, if any."""
        newer = [s for v, s in self.named_at.get(model, {}).items() if v > held]
        return min(newer, default=None)
