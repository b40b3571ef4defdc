"""Until when requests may start on a superseded version of the weights. Pure.

A request starts with its first event, not when it is sent. Between the two, a sound
engine may stand still for a second or so and go on. While it does, it reads neither a
new request nor that its sender has closed the connection, and what it had read before
starts when it goes on. A deadline that the sender keeps can't prevent that, and some
engines don't notice a closed connection while they prefill. So the last request is
sent early enough that it starts in time after such a pause even if its first event is
later than expected.

The target itself keeps the end as well. It stops work at the time limit of a request,
so that limit ends with the version. What the target has read before a pause then does
not start after the end, however long the pause is and however slow the target. The
limit counts from when the target reads the request, so it does not help one that lay
unread. Near the end a slot is granted only once the target has just answered its
sidecar, so that little is sent to one that is silent already.

What has been sent and has not started is dropped some time after that. It then starts
at no engine that notices the close in time, however slow it is. Dropping as early as
sending ends would fail requests that still start in time.
"""

# Longest pause of a sound engine, or sum of its pauses, after which no request starts
# too late. Requests are dropped this long before the end of the grace period, and
# engines that do not hold the newer version by then refuse requests until they do.
PAUSE_ALLOWANCE_MS = 1200.0
# How much later than expected a first event may come beside such a pause, with the
# time on the network.
FIRST_EVENT_ERROR_MS = 500.0
# A request is sent only if its first event is expected this long before requests may
# no longer start.
BEGIN_MARGIN_MS = FIRST_EVENT_ERROR_MS
# Longer than a sound engine is silent, which is a second or so, by more than another
# second. A longer time costs only more calls to the engine.
LONGEST_SILENCE_MS = 4000.0


def start_left_ms(superseded_for_ms: float, old_version_ms: float) -> float:
    """Return how long requests may still start on a superseded version.

    Parameters
    ----------
    superseded_for_ms : float
        Time since the first newer version was accepted.
    old_version_ms : float
        How long a superseded version may serve.
    """
    return old_version_ms - PAUSE_ALLOWANCE_MS - superseded_for_ms


def time_limit_ms(remaining_ms: float, start_left_ms: float | None) -> float:
    """Return how long a target may work on a request, from when it reads it.

    The target stops responses in progress as well.

    Parameters
    ----------
    remaining_ms : float
        Time until the deadline of the request.
    start_left_ms : float or None
        How long the request may still start; None without a limit.
    """
    if start_left_ms is None:
        return remaining_ms
    return min(remaining_ms, start_left_ms + PAUSE_ALLOWANCE_MS)


def outlasts_version(
    expected_ms: float, remaining_ms: float, start_left_ms: float | None
) -> bool:
    """Return whether a target would stop a response before it is expected to end.

    One whose own time ends with the version or before it has nothing to lose there.

    Parameters
    ----------
    expected_ms : float
        How long the response is expected to take.
    remaining_ms : float
        Time until the deadline of the request.
    start_left_ms : float or None
        As for `time_limit_ms`.
    """
    needed_ms = min(expected_ms, remaining_ms)
    return time_limit_ms(remaining_ms, start_left_ms) < needed_ms


def may_go_on(wait_ms: float, start_left_ms: float) -> bool:
    """Return whether a target may go on with what another one stops.

    Parameters
    ----------
    wait_ms : float
        How long it accepts no request, as far as is known; infinite if it never will.
    start_left_ms : float
        How long requests may still start on the version of the other one.
    """
    return wait_ms <= start_left_ms + PAUSE_ALLOWANCE_MS


def needs_answer(start_left_ms: float | None, first_event_ms: float) -> bool:
    """Return whether a request would begin late if its target has just fallen silent.

    Parameters
    ----------
    start_left_ms : float or None
        As for `time_limit_ms`.
    first_event_ms : float
        Time to the expected first event at a target that is not silent.
    """
    if start_left_ms is None:
        return False
    latest_ms = LONGEST_SILENCE_MS + first_event_ms + FIRST_EVENT_ERROR_MS
    return latest_ms > start_left_ms + PAUSE_ALLOWANCE_MS


def grant_left_ms(left_ms: float, asked_for_ms: float, waited_ms: float) -> float:
    """Return how long a granted request may still start when its grant is read.

    The grant may have been on its way for long, or its reader stood still. It was sent
    after the slot request had been sent and had waited.

    Parameters
    ----------
    left_ms : float
        How long the request might start when the grant was sent.
    asked_for_ms : float
        Time since the slot request was sent.
    waited_ms : float
        How long the slot request waited at the sidecar.
    """
    return left_ms - max(0.0, asked_for_ms - waited_ms)
