"""Bounds on when a version of weights was accepted, from its age in a message. Pure.

An age is true when a message is sent, and grows while the message is on its way or its
receiver stands still. Nothing in the message tells for how long. Whoever has asked for
it knows a bound: it was sent after the query.
"""

# Ages are sent in whole milliseconds, rounded down.
AGE_STEP_MS = 1


def earliest_accepted_s(asked_s: float, age_ms: int) -> float:
    """Return when a version was accepted at the earliest, by its age in a reply.

    Counted from then, no superseded version serves longer than allowed.

    Parameters
    ----------
    asked_s : float
        When the query was sent, in seconds of `clocks.steady_s`. The age was true
        after that.
    age_ms : int
        Age of the version in the reply.
    """
    return asked_s - (age_ms + AGE_STEP_MS) / 1000
