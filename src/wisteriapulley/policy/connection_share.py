"""How many requests one entry sends at once to a plain target. Pure.

A target resets connections beyond its limit, and a request that may run only once is
lost with its connection. Each entry sees only its own connections: 45 entries with six
slots each at one target open 540 connections, with a limit of 480.
"""

# Connections that an entry may have at a target for each request that it sends at once:
# the one in use, and one that is kept idle. Requests that may run only once open a new
# connection while idle ones are kept.
CONNECTIONS_PER_REQUEST = 2


def max_requests(slots: int, max_connections: int, entries: int) -> int:
    """Return how many requests one entry may have in flight at a plain target.

    Parameters
    ----------
    slots : int
        Requests that the target runs at once.
    max_connections : int
        Connections that it accepts from all entries; 0 if it states no limit.
    entries : int
        Number of entries; 0 if it is not known.
    """
    if not max_connections or not entries:
        return slots
    share = max_connections // (CONNECTIONS_PER_REQUEST * entries)
    return min(slots, max(1, share))
