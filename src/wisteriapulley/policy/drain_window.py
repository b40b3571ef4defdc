"""Which requests a stopping entry still serves. Pure."""

from typing import NamedTuple

# A caller that is refused because of a stop finds another entry at once.
STOPPING_RETRY_S = 0.05


class DrainWindow(NamedTuple):
    """The time of a drain, on the loop's clock.

    Attributes
    ----------
    ends_s : float
        When requests in progress are ended; infinite before a drain.
    begins_s : float
        When the drain begins; infinite before it.
    """

    ends_s: float = float("inf")
    begins_s: float = float("inf")

    def left_ms(self, now_s: float) -> int | None:
        """Return the time until the end of a drain, for the log; None before one."""
        return None if self.ends_s == float("inf") else int((self.ends_s - now_s) * 1e3)

    def after_begin_ms(self, at_s: float) -> int | None:
        """Return how long after its begin something was, for the log; None before."""
        if self.begins_s == float("inf"):
            return None
        return int((at_s - self.begins_s) * 1e3)

    def latest_start_s(self, needed_s: float) -> float:
        """Return until when a request that takes `needed_s` seconds can be started."""
        return self.ends_s - needed_s

    def is_too_late(self, needed_s: float, now_s: float) -> bool:
        """Return whether a request that is started now ends after the drain.

        A clock may stand still for a millisecond, so the last moment is too late.
        """
        return now_s >= self.latest_start_s(needed_s)
