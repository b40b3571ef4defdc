"""The clock for leases and ages."""

import time


def steady_s() -> float:
    """Return seconds of a clock that never jumps and also counts time in suspension.

    The ordinary monotonic clock does not count the time that an instance is suspended,
    so a lease or the grace period of a version would be extended by a suspension.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def steady_ms() -> float:
    """Return `steady_s` in milliseconds."""
    return steady_s() * 1000


# Start time of the process: the first import of one of the package's modules.
STARTED_MS = steady_ms()
