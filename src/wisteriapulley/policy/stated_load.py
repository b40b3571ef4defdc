"""Load that a target states in its responses. Pure.

An entry counts its own requests at a target, but not those of other entries. A target
tells how many requests it has; the entry's own are part of these, and change after the
statement.
"""

from wisteriapulley.policy.response_signals import ResponseSignals

# Half-life of the requests of others in a statement: several times as long as one
# request takes. With a longer one, full targets that reject requests and state nothing
# look empty beside those that stated a full load a moment ago.
HALF_LIFE_S = 0.15


class LoadTracker:
    """Requests of others at one incarnation of a target, as last stated.

    Attributes
    ----------
    others : int
        Requests of others, running or waiting.
    observed_s : float
        When they were stated, on the loop's clock.
    """

    def __init__(self):
        self.others = 0
        self.observed_s = 0.0
        self.invalid_seen = False

    def observe(self, signals: ResponseSignals, own: int, now_s: float) -> None:
        """Record a response, with `own` requests of this entry at the target."""
        if signals.load is not None:
            total = signals.load.running + signals.load.waiting
            self.others = max(0, total - own)
            self.observed_s = now_s

    def outstanding(self, own: int, now_s: float) -> float:
        """Return the expected requests at the target, `own` of this entry included."""
        if not self.others:
            return own
        return own + self.others * 0.5 ** ((now_s - self.observed_s) / HALF_LIFE_S)

    def is_first_invalid(self, signals: ResponseSignals) -> bool:
        """Return whether this is the target's first invalid load."""
        if not signals.invalid_load or self.invalid_seen:
            return False
        self.invalid_seen = True
        return True
