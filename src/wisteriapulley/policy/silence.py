"""How long a target may be silent before another one is tried beside it. Pure.

Silence is no proof of a failure: a sound target may stand still for a second and go on.
So the connection to a silent target stays open while another one is tried, and
whichever of them goes on first serves the caller. This hedges against a target that
has failed without closing its connections; see Dean and Barroso, "The Tail at Scale".
"""

from wisteriapulley.routing import Route, RouteKind

# A stream whose target sends no first or next event for this long is tried at another
# one. An engine pauses for some hundred milliseconds during the prefill of long
# prompts, and callers give up a stream after two seconds or more.
STREAM_SILENCE_S = 1.6
# Fraction of a plain request's time after which another target is tried. It is above
# the slowest normal processing time.
PLAIN_SILENCE_FRACTION = 0.5
# Normal processing takes up to this long, however short the caller's deadline is.
MIN_PLAIN_SILENCE_S = 0.45
# How often a request whose target is silent looks for room at another one.
MIN_LOOK_INTERVAL_S = 0.1
MAX_LOOK_INTERVAL_S = 0.4
# A timer that fires later than this shows that this process itself stood still.
MAX_TIMER_DELAY_S = 0.2


def silence_limit_s(
    route: Route, remaining_s: float, has_sends_left: bool
) -> float | None:
    """Return how long a target may be silent until another one is tried; None: never.

    Parameters
    ----------
    route : Route
        Route of the request.
    remaining_s : float
        Time that the request had left when it was sent.
    has_sends_left : bool
        Whether the route permits one more send.
    """
    if not route.repeatable or not has_sends_left:
        return None
    if route.kind is RouteKind.STREAM:
        return STREAM_SILENCE_S
    return max(MIN_PLAIN_SILENCE_S, remaining_s * PLAIN_SILENCE_FRACTION)


def next_look_s(retry_s: float) -> float:
    """Return when to look again for room, after a refusal that names a retry time."""
    return min(max(retry_s, MIN_LOOK_INTERVAL_S), MAX_LOOK_INTERVAL_S)
