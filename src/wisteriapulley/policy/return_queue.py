"""Room at an engine for callers that come back after a refusal. Pure.

Refused callers come back within a second or two while new requests take most of the
slots. A return that finds no free slot at that moment would be refused for good, though
slots fall free all the time and its caller still waits for seconds. So returns wait for
the slots that late requests may have, in the order in which they come back. Other
late requests have a retry left, and are refused at once.

A caller that repeats at once states as much time as a new one. It is not taken for a
return, and has no claim to this room.
"""

from collections.abc import Iterable

from wisteriapulley.policy.slot_requests import QueuedRequest

# Late requests that wait at an open engine, as a fraction of its slots. More would wait
# for longer than their callers do.
MAX_WAITING_FRACTION = 1.0
# Part of the time that its answer leaves for which a request waits. A refusal near the
# end of a caller's time is worth less than one at once.
WAIT_FRACTION = 0.7
# Longest wait. Callers leave a stream that shows nothing for two seconds, and the first
# event takes some of these.
MAX_WAIT_MS = 1800.0


def has_waiting_place(queue: Iterable[QueuedRequest], slots: int) -> bool:
    """Return whether one more late request may wait for a slot of an engine.

    Parameters
    ----------
    queue : iterable of QueuedRequest
        Requests that wait for a slot.
    slots : int
        Slots of the engine.
    """
    waiting = sum(queued.request.may_wait for queued in queue)
    return waiting < MAX_WAITING_FRACTION * slots


def late_wait_ms(slack_ms: float, min_ms: float, waited_ms: float) -> float:
    """Return how much longer a late request that may wait does so.

    Its wait counts from its arrival, at all sidecars together.

    Parameters
    ----------
    slack_ms : float
        Time of the caller, when the request arrived, that its answer does not take.
    min_ms : float
        Wait of a request with less slack.
    waited_ms : float
        How long it has waited since.
    """
    wait_ms = min(MAX_WAIT_MS, max(min_ms, WAIT_FRACTION * slack_ms))
    return max(0.0, wait_ms - waited_ms)
