"""Fake links without a connection."""

import asyncio
from types import SimpleNamespace

from wisteriapulley.wire import Link, codec
from wisteriapulley.wire.handshake import MESSAGE_SET, Hello
from wisteriapulley.wire.messages import Heartbeat, ModelQuery


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


class LateLink(Link):
    """Link of a follower to a control instance whose messages take their time.

    Parameters
    ----------
    publisher : Publisher
        Publisher of the instance, which answers queries for ages.
    way_s : float
        How long a query takes.
    ways_back_s : sequence of float
        How long the reply to each query takes; a missing one never comes.
    message_set : int
        Set of messages that the instance knows.
    """

    def __init__(self, publisher, way_s=0.0, ways_back_s=(0.0,), message_set=None):
        super().__init__(None, Heartbeat)
        known = MESSAGE_SET if message_set is None else message_set
        self.peer = Hello(1, "c", "control", 1, "z", b"", known)
        self.publisher = publisher
        self.way_s = way_s
        self.ways_back_s = list(ways_back_s)
        self.asked_s = []
        self.transport = SimpleNamespace(abort=lambda: None)

    def post(self, message, reply_to=0, body=b""):
        assert isinstance(message, ModelQuery)
        loop = asyncio.get_running_loop()
        self.asked_s.append(loop.time())
        frame_id = next(self.ids)
        if self.ways_back_s:
            way_back_s = self.ways_back_s.pop(0)
            loop.call_later(self.way_s, self.answer, frame_id, way_back_s)
        return frame_id

    def answer(self, frame_id, way_back_s):
        """Answer a query that has arrived."""
        reply = codec.Frame(1, frame_id, self.publisher.models_message())
        asyncio.get_running_loop().call_later(way_back_s, self.receive, reply)

    def news(self):
        """Return what the instance tells unasked, as it is now."""
        return codec.Frame(codec.NO_ID, 0, self.publisher.models_message())
