"""Links between the processes of the system."""

from wisteriapulley.wire import messages
from wisteriapulley.wire.call import Call
from wisteriapulley.wire.codec import Frame, decode, encode
from wisteriapulley.wire.link import Link, broadcast, connect
from wisteriapulley.wire.messages import Failure
from wisteriapulley.wire.server import LinkServer

__all__ = [
    "Call",
    "Failure",
    "Frame",
    "Link",
    "LinkServer",
    "broadcast",
    "connect",
    "decode",
    "encode",
    "messages",
]
