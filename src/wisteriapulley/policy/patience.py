"""How long callers wait for a stream to begin. Pure.

A caller leaves a stream that shows no event for some time, long before the time limit
of the whole response. What a target does for it after that is in vain, and a target
that stands still does not even notice that the connection has ended. So an entry ends a
stream that has not begun by then, while its caller still reads the answer.
"""

from wisteriapulley.routing import Route, RouteKind

# Callers leave after the longest of three times without an event: this one, a number of
# latency objectives, and a number of the pauses that their route allows between events.
MIN_PATIENCE_S = 2.0
PATIENCE_OBJECTIVES = 4
PATIENCE_GAPS = 8
# Part of a caller's wait within which a stream must begin. The rest is for the way of
# the request to the entry and that of the answer to the caller.
BEGIN_FRACTION = 0.95


def patience_s(route: Route) -> float:
    """Return how long callers wait for an event; infinite if that is not known.

    Callers of plain routes wait for the whole response, and a route of streams that
    states no pause does not tell.

    Parameters
    ----------
    route : Route
        Route of the request.
    """
    if route.kind is not RouteKind.STREAM or not route.gap_ms:
        return float("inf")
    stated_ms = (PATIENCE_OBJECTIVES * route.latency_ms, PATIENCE_GAPS * route.gap_ms)
    return max(MIN_PATIENCE_S, *(ms / 1000 for ms in stated_ms))


def begin_limit_s(route: Route, max_wait_s: float, queued_s: float = 0.0) -> float:
    """Return how long after its arrival a response must begin; infinite if no limit.

    A stream that begins at the end of its caller's time can't end within it. While it
    waits behind another response, its caller has the events of that one.

    Parameters
    ----------
    route : Route
        Route of the request.
    max_wait_s : float
        How long the caller waits for the whole response.
    queued_s : float
        How long the request waited behind others on its connection.
    """
    if route.kind is not RouteKind.STREAM:
        return float("inf")
    patience_ends_s = queued_s + BEGIN_FRACTION * patience_s(route)
    return min(patience_ends_s, BEGIN_FRACTION * max_wait_s)
