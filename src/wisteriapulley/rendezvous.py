"""Rendezvous hashing: assigns members to names.

Each name ranks all members by a hash of both. A joining or leaving member changes the
selection of a name by at most one member, and names are spread evenly over members.
"""

from blake3 import blake3


def rendezvous_weight(name: str, member: str) -> bytes:
    """Return the weight by which a name ranks a member."""
    return blake3(f"{name}/{member}".encode()).digest()
