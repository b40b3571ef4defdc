"""Fake links without a connection."""

import asyncio

from wisteriapulley.wire import codec
from wisteriapulley.wire.handshake import Hello


class RecordingLink:
    """Link of a follower that records the messages written to it.

    Parameters
    ----------
    role : str
        Role of the follower.
    lossy : random.Random, optional
        Generator that drops three of ten frames.
    """

    def __init__(self, role="entry", lossy=None):
        self.peer = Hello(1, f"{role}-x", role, 1, "z", b"")
        self.closed = asyncio.Event()
        self.lossy = lossy
        self.written = []

    def write_buffer_bytes(self):
        return 0

    def check_writable(self):
        return

    def write(self, data):
        if self.lossy is None or self.lossy.random() >= 0.3:
            self.written.append(codec.decode(data[codec.HEADER.size :]).message)

    def post(self, message):
        self.written.append(message)
