"""When a refused caller is told to come back. Pure.

Load pattern: more requests than places for some seconds, or a fleet that has just
started and has none yet. A caller that is refused then can't be in time any more,
whenever it comes back; while the overload lasts it would only take the place of
one that can. Harm prevented: all who were refused come back within a quarter of a
second, find the same, and are refused for good. So they are spread over the later
part of what they can wait.
"""

from collections.abc import Callable

# Callers come back after at most a third of the time they have left; a tenth of
# it is kept for the way.
MAX_WAIT_FRACTION = 0.3
# The earliest return, as a share of the latest.
EARLIEST_FRACTION = 0.5
# No spread caller is back before this share of what it had left has passed.
MIN_WAIT_FRACTION = MAX_WAIT_FRACTION * EARLIEST_FRACTION


def retry_after_s(
    spread: bool, hint_s: float, remaining_s: float, random: Callable[[], float]
) -> float:
    """Return when a caller is to come back.

    Parameters
    ----------
    spread : bool
        Whether it was refused for want of places, by an entry that just started or
        under load; otherwise something was missing that may be back soon, and
        `hint_s` says when.
    hint_s : float
        When there may be a place.
    left_s : float
        How long the caller still waits.
    random : callable
        Numbers below 1, spread evenly.
    """
    max_s = max(0.0, remaining_s) * MAX_WAIT_FRACTION
    if not spread:
        return min(hint_s, max_s)
    spread_s = max_s * (EARLIEST_FRACTION + (1 - EARLIEST_FRACTION) * random())
    return min(max_s, max(hint_s, spread_s))
