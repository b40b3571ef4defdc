"""Lets one process of an instance start before another.

Load: all instances start again after a loss of power, and two processes share the
processor of some. Harm prevented: both are ready at the same late moment, though all
others wait for one of them alone. Few modules are imported here, since whoever waits
is to take no processor time.
"""

import socket
import time

from wisteriapulley.settings import Address

# A process that starts listens after some 0.3 s of processor time; one that does not
# run at all must not be waited for much longer.
MAX_WAIT_S = 0.6
POLL_INTERVAL_S = 0.02


def wait_for_listener(address: Address, max_wait_s: float = MAX_WAIT_S) -> bool:
    """Wait until something listens at an address of this instance, but not for long.

    Parameters
    ----------
    address : Address
        Where the other process will listen.
    most_s : float
        Seconds to wait at the most.

    Returns
    -------
    bool
        Whether it listens.
    """
    deadline_s = time.monotonic() + max_wait_s
    while not is_listening(address):
        if time.monotonic() >= deadline_s:
            return False
        time.sleep(POLL_INTERVAL_S)
    return True


def is_listening(address: Address) -> bool:
    """Tell whether a connection to an address is taken."""
    try:
        socket.create_connection((address.host, address.port), POLL_INTERVAL_S).close()
    except OSError:
        return False
    return True
