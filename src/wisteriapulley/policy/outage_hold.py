"""How long a request without room is held while a service returns. Pure.

After an outage of all instances entries answer before the first engine opens, and the
first engines open before the others. Callers have one retry. If all who arrive
meanwhile were refused at once, engines would open without requests, and the callers
would spend their retry on a wave that finds them full. A late answer is worth something
to a caller, a second refusal nothing.

A service that loses only some of its targets is in no outage: the others are full, and
a refusal at once leaves the caller more time.
"""

import contextlib
from collections.abc import Iterator

# Part of a caller's time for which its first attempt is held at most. After a refusal
# it may wait for a third of the rest before its retry, which then has over half of the
# time. It is not held beyond its objective: callers who are late anyway would take the
# first slots from those who arrive once engines are open.
HOLD_FRACTION = 0.15
# The same for a retry, which is final if it is refused.
RETURN_HOLD_FRACTION = 0.3
# An outage is over once this fraction of the targets is open. Until then the others are
# about to open and have room for what the open ones refuse.
OPEN_FRACTION = 0.8
# Requests are held only during the first part of an outage: one that lasts longer may
# last for any time.
MAX_OUTAGE_S = 2.5
# How often a held request looks for room: soon while no target is open, and less often
# once some are, as each attempt asks several sidecars.
CLOSED_POLL_S = 0.05
FULL_POLL_S = 0.25
# Requests held for one service at the same time, which bounds the memory for bodies.
MAX_HELD = 400


class OutageHold:
    """Whether one service is in an outage, and how many requests are held for it.

    Attributes
    ----------
    since_s : float or None
        When a request first found no open target; None without an outage.
    held : int
        Requests held at the moment.
    """

    def __init__(self):
        self.since_s: float | None = None
        self.held = 0

    def record_open(self, open_fraction: float, now_s: float) -> None:
        """Begin an outage if no target is open, and end it if most are.

        One that is too old to hold requests ends once any is open.

        Parameters
        ----------
        open_fraction : float
            Fraction of the known targets that accept requests now, from 0 to 1.
        now_s : float
            Current time of the loop.
        """
        if self.since_s is None:
            self.since_s = None if open_fraction else now_s
        elif open_fraction >= OPEN_FRACTION or (
            open_fraction and now_s - self.since_s > MAX_OUTAGE_S
        ):
            self.since_s = None

    @contextlib.contextmanager
    def holding(self) -> Iterator[None]:
        """Count a request as held while the body of the statement runs."""
        self.held += 1
        try:
            yield
        finally:
            self.held -= 1

    def left_s(
        self,
        arrived_s: float,
        max_wait_s: float,
        now_s: float,
        objective_s: float,
        is_return: bool = False,
    ) -> float:
        """Return how much longer a request may be held; 0 to refuse it now.

        Parameters
        ----------
        arrived_s : float
            When the request arrived.
        max_wait_s : float
            How long its caller waits from then on.
        now_s : float
            Current time of the loop.
        objective_s : float
            Time from its arrival within which its answer should begin; 0 for none.
        is_return : bool
            Whether the caller was refused before.
        """
        if self.since_s is None or self.held >= MAX_HELD:
            return 0.0
        hold_s = (RETURN_HOLD_FRACTION if is_return else HOLD_FRACTION) * max_wait_s
        if objective_s and not is_return:
            hold_s = min(hold_s, objective_s)
        until_s = min(arrived_s + hold_s, self.since_s + MAX_OUTAGE_S)
        return max(0.0, until_s - now_s)

    def next_look_s(
        self, left_s: float, any_open: bool, return_s: float | None = None
    ) -> float:
        """Return when a held request looks for room again; 0 to refuse it now.

        Parameters
        ----------
        left_s : float
            How much longer it may be held.
        any_open : bool
            Whether a target of the service is open.
        return_s : float or None
            When the first target that could not be reached is tried again; None if
            that is not known.
        """
        if not any_open and return_s is not None and return_s > left_s:
            return 0.0
        return min(left_s, FULL_POLL_S if any_open else CLOSED_POLL_S)
