"""How long callers wait for a stream to begin. Pure.

A caller leaves a stream that shows no event for some time, long before the time limit
of the whole response. What a target does for it after that is in vain, and a target
that stands still does not even notice that the connection has ended. So a request that
has not begun by then is ended here, while its caller still reads the answer.
"""

from wisteriapulley.routing import Route, RouteKind

# Callers wait for an event for the longest of this time, some latency objectives, and
# some of the pauses that their route allows between events.
MIN_PATIENCE_S = 2.0
PATIENCE_OBJECTIVES = 4
PATIENCE_GAPS = 8
# Part of a caller's wait within which a stream must begin. The rest is for the way of
# the request to the entry and that of the answer to the caller.
BEGIN_FRACTION = 0.95


def patience_s(route: Route) -> float:
    """Return how long callers wait for an event; infinite if that is not known.

    It is not for routes without streams, nor for streams whose route states no pause.

    Parameters
    ----------
    route : Route
        Route of the request.
    """
    if route.kind is not RouteKind.STREAM or not route.gap_ms:
        return float("inf")
    stated_ms = (PATIENCE_OBJECTIVES * route.latency_ms, PATIENCE_GAPS * route.gap_ms)
    return max(MIN_PATIENCE_S, *(ms / 1000 for ms in stated_ms))


def begin_limit_s(route: Route, max_wait_s: float) -> float:
    """Return how long after its arrival a response must begin; infinite for any time.

    A stream that begins at the end of its caller's time can't end within it.

    Parameters
    ----------
    route : Route
        Route of the request.
    max_wait_s : float
        How long the caller waits for the whole response.
    """
    if route.kind is not RouteKind.STREAM:
        return float("inf")
    return BEGIN_FRACTION * min(patience_s(route), max_wait_s)
