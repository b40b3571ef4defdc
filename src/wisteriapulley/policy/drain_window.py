"""Which requests a stopping entry still serves. Pure.

What a drain ends has no whole response, so a request is sent to a target only if it is
expected to end before that, with time for a silence of its target. The estimate may
still be wrong. Load balancers send requests for a while after the signal, and a caller
that is refused then may come back to the same entry, so that risk is taken. Later only
callers of kept connections send, who find another entry at once; a stream is then taken
only if its own time limit ends before the drain.
"""

from typing import NamedTuple

from wisteriapulley.policy.silence import STREAM_SILENCE_S

# A stream whose target stands still for longer is tried at another one.
SILENCE_ALLOWANCE_S = STREAM_SILENCE_S
# A caller that is refused because of a stop finds another entry at once.
STOPPING_RETRY_S = 0.05


class DrainWindow(NamedTuple):
    """The time of a drain, on the clock of whoever asks.

    Attributes
    ----------
    ends_s : float
        By when what is sent must end: the earliest end of the drain, which may be later
        if the signal was read late. Infinite before a drain.
    begins_s : float
        When the drain begins; infinite before it.
    removed_s : float
        From when on load balancers send nothing more here; infinite before a drain.
    """

    ends_s: float = float("inf")
    begins_s: float = float("inf")
    removed_s: float = float("inf")

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

    def latest_send_s(
        self, deadline_s: float, expected_s: float, silence_s: float
    ) -> float:
        """Return until when a request may be sent, so that it ends before the drain.

        Infinite before a drain, or if its own time limit ends before it.

        Parameters
        ----------
        deadline_s : float
            When its own time limit ends.
        expected_s : float
            How long its response is expected to take; infinite if that is not known.
        silence_s : float
            How long its target may be silent meanwhile.
        """
        if deadline_s <= self.ends_s:
            return float("inf")
        return self.latest_start_s(expected_s + silence_s)
