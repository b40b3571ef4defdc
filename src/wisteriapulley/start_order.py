"""Delay the start of a process until another process of its instance listens.

After a power failure all instances restart, and on some of them two processes share a
processor. If both start at once, both become ready late, although all other instances
wait for only one of them. This module imports little, so that the waiting process uses
no processor time.
"""

import socket
import time

from wisteriapulley.settings import Address

# A starting process listens after about 0.3 s of processor time. The wait must not be
# much longer, because the other process may not run at all.
MAX_WAIT_S = 0.6
POLL_INTERVAL_S = 0.02


def wait_for_listener(address: Address, max_wait_s: float = MAX_WAIT_S) -> bool:
    """Wait for a limited time until a process listens at a local address.

    Parameters
    ----------
    address : Address
        Address at which the other process will listen.
    max_wait_s : float
        Maximum time to wait, in seconds.

    Returns
    -------
    bool
        Whether a process listens at the address.
    """
    deadline_s = time.monotonic() + max_wait_s
    while not is_listening(address):
        if time.monotonic() >= deadline_s:
            return False
        time.sleep(POLL_INTERVAL_S)
    return True


def is_listening(address: Address) -> bool:
    """Return whether a connection to an address is accepted."""
    try:
        socket.create_connection((address.host, address.port), POLL_INTERVAL_S).close()
    except OSError:
        return False
    return True
