"""Splits a stream into complete events, so that another target can resume it."""

import re

from wisteriapulley.direct.types import OversizedAnswerError

EVENT_END = b"\n\n"
EMPTY_LINES = re.compile(rb"\n*")
# Complete lines that are empty or comments.
COMMENT_LINES = re.compile(rb"(?:(?::[^\n]*+|\r)?\n)*+")
ID_LINE = b"\nid:"
DATA_LINE = b"\ndata:"
EMPTY_DATA_LINE = b"\ndata\n"
BYTE_ORDER_MARK = b"\xef\xbb\xbf"


class EventSplitter:
    """Collects the bytes of a stream and returns complete events.

    Comments and empty events are no events of their own. They are returned with the
    next event, so that a target that sends nothing else appears silent. A byte order
    mark at the start is dropped, since the caller of a resumed stream would find it
    behind events.

    Parameters
    ----------
    last_id : str, optional
        Id of the event after which the stream begins.
    max_bytes : int, optional
        Largest event, with comments before it; without a limit by default.

    Attributes
    ----------
    last_id : str
        Id of the last complete event; empty before the first.
    event_count : int
        Complete events so far.
    held : bytearray
        Bytes after the last complete event.
    block_start : int
        Where the incomplete block at their end begins, which may become an event or a
        comment.
    line_start : int
        Where its first line begins that is incomplete or no comment.
    at_start : bool
        Whether nothing but a part of a byte order mark has arrived.
    """

    def __init__(self, last_id: str = "", max_bytes: int | None = None):
        self.last_id = last_id
        self.max_bytes = max_bytes
        self.event_count = 0
        self.held = bytearray()
        self.block_start = self.line_start = 0
        self.at_start = True

    @property
    def partial(self) -> bytes:
        """Bytes of an incomplete block at the end of the stream so far."""
        return bytes(self.held[self.block_start :]).lstrip(b"\n")

    @property
    def has_begun_event(self) -> bool:
        """Whether a part of an event has arrived, and not only of a comment."""
        if self.at_start:
            return False
        first = self.held[self.line_start : self.line_start + 1]
        return first not in (b"", b"\r", b"\n", b":")

    def feed(self, data: bytes) -> bytes:
        """Add bytes of the stream; return the events that are complete now.

        Raises
        ------
        OversizedAnswerError
            What is incomplete is larger than an event may be.
        """
        if self.at_start:
            data = self.take_start(data)
        stream, search_from = data, 0
        if self.held:
            # What was searched before holds no end, except for the first half of one.
            search_from = max(self.block_start, len(self.held) - 1)
            self.held += data
            stream = self.held
        complete = self.record_blocks(stream, search_from)
        events = bytes(stream[:complete])
        if stream is data:
            self.held += data[complete:]
        else:
            del self.held[:complete]
        self.block_start -= complete
        self.line_start = max(self.line_start - complete, self.block_start)
        if self.held:
            self.check_rest(data)
        return events

    def record_blocks(self, stream: bytes | bytearray, search_from: int) -> int:
        """Record the blocks that are complete; return where the last event ends."""
        complete = 0
        while (end := stream.find(EVENT_END, search_from)) >= 0:
            block = bytes(stream[self.block_start : end])
            search_from = end + len(EVENT_END)
            if stream[search_from : search_from + 1] == b"\n":
                # Any number of empty lines takes one step.
                search_from = EMPTY_LINES.match(stream, search_from).end()
            self.block_start = search_from
            if self.record_event(block):
                complete = search_from
        return complete

    def check_rest(self, data: bytes) -> None:
        """Look at what is incomplete, and ends with this data."""
        if b"\n" in data:
            self.skip_comments()
        self.check_size()

    def take_start(self, data: bytes) -> bytes:
        """Return the start of the stream without its byte order mark."""
        begin = self.take_rest() + data
        self.at_start = BYTE_ORDER_MARK.startswith(begin)
        if begin.startswith(BYTE_ORDER_MARK):
            self.at_start = False
            return begin[len(BYTE_ORDER_MARK) :]
        return begin

    def skip_comments(self) -> None:
        """Move `line_start` behind the lines that begin no event."""
        self.line_start = COMMENT_LINES.match(self.held, self.line_start).end()

    def check_size(self) -> None:
        """Check the size of what is incomplete."""
        size = len(self.held)
        if self.max_bytes is not None and size > self.max_bytes:
            raise OversizedAnswerError("event", size, self.max_bytes)

    def record_event(self, block: bytes) -> bool:
        """Count an event and store its id; return whether the block is an event."""
        lines = b"\n%b\n" % block
        id_at = lines.rfind(ID_LINE)
        if id_at >= 0:
            value_at = id_at + len(ID_LINE)
            value = lines[value_at : lines.index(b"\n", value_at)]
            self.last_id = value.strip().decode("latin-1")
        is_event = id_at >= 0 or DATA_LINE in lines or EMPTY_DATA_LINE in lines
        self.event_count += is_event
        return is_event

    def take_rest(self) -> bytes:
        """Return what follows the last event at the end of a stream."""
        rest = bytes(self.held)
        self.discard_partial()
        return rest

    def discard_partial(self) -> None:
        """Discard what a broken stream left after its last event."""
        self.held.clear()
        self.block_start = self.line_start = 0
