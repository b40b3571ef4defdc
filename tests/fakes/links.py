"""Links without a connection."""

import asyncio

from wisteriapulley.wire import codec
from wisteriapulley.wire.handshake import Hello


class WrittenLink:
    """A follower's link; keeps the messages that were written.

    Parameters
    ----------
    role : str
        Of the follower.
    lossy : random.Random, optional
        Drops three frames of ten.
    """

    def __init__(self, role="entry", lossy=None):
        self.peer = Hello(1, f"{role}-x", role, 1, "z", b"")
        self.closed = asyncio.Event()
        self.lossy = lossy
        self.taken = []

    def write_buffer_bytes(self):
        return 0

    def check_writable(self):
        return

    def write(self, data):
        if self.lossy is None or self.lossy.random() >= 0.3:
            self.taken.append(codec.decode(data[codec.HEADER.size :]).message)

    def post(self, message):
        self.taken.append(message)
