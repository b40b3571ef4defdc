"""Links between the system's own processes."""

from wisteriapulley.wire import messages
from wisteriapulley.wire.codec import Frame, decode, encode
from wisteriapulley.wire.link import Call, Link, LinkServer, connect
from wisteriapulley.wire.messages import Failure

__all__ = [
    "Call",
    "Failure",
    "Frame",
    "Link",
    "LinkServer",
    "connect",
    "decode",
    "encode",
    "messages",
]
