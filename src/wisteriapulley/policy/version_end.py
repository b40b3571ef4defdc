"""Until when requests may start on a superseded version of the weights. Pure.

A request starts with its first event, not when it is sent. Between the two, a sound
engine may stand still for a second or so and go on. While it does, it reads neither a
new request nor that its sender has closed the connection, and what it had read before
starts when it goes on. A deadline that the sender or the engine itself keeps can't
prevent that. So the last request starts long enough before the end of the version's
grace period that it is still in time after such a pause.
"""

# Longest pause of a sound engine after which no request starts too late. A superseded
# version serves shorter by this time: engines that do not hold the newer one by then
# refuse requests until they do.
PAUSE_ALLOWANCE_MS = 1200.0
# A slot is granted only if the first event is expected this long before requests may
# no longer start. The margin covers the network and the error of the estimate; a
# request that is late nevertheless is dropped by its entry in time.
BEGIN_MARGIN_MS = 250.0


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
