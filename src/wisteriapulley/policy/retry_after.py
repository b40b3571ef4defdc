"""When a refused caller is told to retry. Pure.

Callers are refused when there are more requests than slots for some seconds, or when
a fleet has just started and has no slots yet. Such a caller can't be in time any more,
whenever it retries; while the overload lasts, its retry only takes the slot of a
request that can. Without a spread, all refused callers retry within a quarter of a
second, find the same overload, and are refused for good. So retries are spread over
the later part of the time that callers can wait, from when a slot may be free.
"""

from collections.abc import Callable

# A caller retries after at most this fraction of its remaining time: a third, less
# a tenth of it for the network.
MAX_WAIT_FRACTION = 0.3
# Earliest retry, as a fraction of the latest.
EARLIEST_FRACTION = 0.5
# No spread retry comes before this fraction of the caller's remaining time has passed.
MIN_WAIT_FRACTION = MAX_WAIT_FRACTION * EARLIEST_FRACTION


def retry_after_s(
    spread: bool, hint_s: float, remaining_s: float, random: Callable[[], float]
) -> float:
    """Return the seconds after which a caller is told to retry.

    Parameters
    ----------
    spread : bool
        Whether it was refused for lack of slots, by an entry that just started or
        under load; otherwise something that may be back soon is missing, and
        `hint_s` says when.
    hint_s : float
        When a slot may be free.
    remaining_s : float
        How long the caller still waits.
    random : callable
        Returns uniform random numbers below 1.
    """
    max_s = max(0.0, remaining_s) * MAX_WAIT_FRACTION
    if not spread:
        return min(hint_s, max_s)
    earliest_s = min(max_s, max(hint_s, EARLIEST_FRACTION * max_s))
    return earliest_s + (max_s - earliest_s) * random()
