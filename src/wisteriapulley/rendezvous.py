"""Rendezvous hashing: who of many members belongs to a name.

Each name ranks all members by a hash of both. A member that comes or goes moves
the choice of a name by one member at most, and names choose evenly.
"""

from blake3 import blake3


def rendezvous_weight(name: str, member: str) -> bytes:
    """Weigh a member for a name; members are ranked by their weights."""
    return blake3(f"{name}/{member}".encode()).digest()
