"""Splits a connection's bytes into frames, without I/O."""

from collections import deque
from typing import NamedTuple

from wisteriapulley.errors import ResultCode, WireError
from wisteriapulley.wire import codec
from wisteriapulley.wire.codec import Frame


class KeepAlive(NamedTuple):
    """Frame of a header alone: the sender's last heartbeat is still valid."""


KEEP_ALIVE_FRAME = Frame(0, 0, KeepAlive())


class FrameBuffer:
    """Buffer of received bytes that yields complete frames.

    Parameters
    ----------
    limit : int
        Maximum bytes of message and body together; 0 for the codec's own limits.
    """

    def __init__(self, limit: int = 0):
        self.limit = limit
        self.segments: deque[bytes] = deque()
        self.size = 0
        self.lengths: tuple[int, int] | None = None

    def feed(self, data: bytes) -> None:
        """Add received bytes."""
        self.segments.append(data)
        self.size += len(data)

    def pop_frame(self) -> Frame | None:
        """Remove and return the next frame; None if it is incomplete.

        A header alone is returned as a frame with `KeepAlive`.

        Raises
        ------
        WireError
            The bytes are not a frame, or the frame is too long.
        """
        if self.lengths is None:
            if self.size < codec.HEADER.size:
                return None
            self.lengths = self.check_lengths(
                codec.parse_header(self.pop_bytes(codec.HEADER.size))
            )
        message_bytes, body_bytes = self.lengths
        if self.size < message_bytes + body_bytes:
            return None
        self.lengths = None
        if message_bytes + body_bytes == 0:
            return KEEP_ALIVE_FRAME
        message = self.pop_bytes(message_bytes)
        return codec.decode(message, self.pop_bytes(body_bytes) if body_bytes else b"")

    def check_lengths(self, lengths: tuple[int, int]) -> tuple[int, int]:
        """Return `lengths`; reject a frame over the limit before buffering it."""
        if self.limit and sum(lengths) > self.limit:
            raise WireError(
                ResultCode.FRAME_TOO_LARGE,
                f"expected at most {self.limit} bytes, got {sum(lengths)}",
            )
        return lengths

    def pop_bytes(self, count: int) -> bytes:
        """Remove and return the first `count` bytes.

        A long body is joined once and not copied again.
        """
        self.size -= count
        first = self.segments[0]
        if len(first) > count:
            self.segments[0] = first[count:]
            return first[:count]
        popped = []
        while count:
            segment = self.segments.popleft()
            if len(segment) > count:
                self.segments.appendleft(segment[count:])
                segment = segment[:count]
            popped.append(segment)
            count -= len(segment)
        return popped[0] if len(popped) == 1 else b"".join(popped)
