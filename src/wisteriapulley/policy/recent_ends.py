"""Targets that ended a short time ago, for whatever reason. Pure."""

from collections.abc import Collection, Iterable

# How long an end counts as recent. Long against the time until a target begins to
# answer a prompt.
WINDOW_S = 10.0
# Ends are kept for longer, since news of them may be repeated.
RETENTION_S = 60.0


class RecentEnds:
    """Incarnations of targets that ended.

    Attributes
    ----------
    ended_s : dict of str to float
        When each of them ended, as far as known.
    """

    def __init__(self):
        self.ended_s: dict[str, float] = {}

    def record(self, incarnations: Iterable[str], at_s: float) -> None:
        """Record ends; the first report of each counts."""
        for incarnation in incarnations:
            self.ended_s.setdefault(incarnation, at_s)

    def share_of(self, incarnations: Collection[str], now_s: float) -> float:
        """Return the share of some incarnations in those that ended lately."""
        recent = {
            incarnation
            for incarnation, ended_s in self.ended_s.items()
            if now_s - ended_s <= WINDOW_S
        }
        return len(recent.intersection(incarnations)) / max(1, len(recent))

    def remove_expired(self, now_s: float) -> None:
        """Forget the ends of a longer time ago."""
        self.ended_s = {
            incarnation: ended_s
            for incarnation, ended_s in self.ended_s.items()
            if now_s - ended_s <= RETENTION_S
        }
