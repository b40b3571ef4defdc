"""Splits a stream into complete events, so that another target can resume it."""

EVENT_END = b"\n\n"


class EventSplitter:
    """Collects the bytes of a stream and returns complete events.

    Attributes
    ----------
    last_id : str
        Id of the last complete event; empty before the first.
    event_count : int
        Complete events so far.
    partial : bytes
        Bytes of an incomplete event at the end of the stream so far.
    """

    def __init__(self, last_id: str = ""):
        self.last_id = last_id
        self.event_count = 0
        self.partial = b""

    def feed(self, data: bytes) -> bytes:
        """Add bytes of the stream; return the events that are complete now."""
        data = self.partial + data
        end = data.rfind(EVENT_END)
        if end < 0:
            self.partial = data
            return b""
        complete, self.partial = data[: end + 2], data[end + 2 :]
        for event in complete.split(EVENT_END):
            self.record_event(event)
        return complete

    def record_event(self, event: bytes) -> None:
        """Count an event and store its id."""
        if not event:
            return
        self.event_count += 1
        for line in event.split(b"\n"):
            if line.startswith(b"id:"):
                self.last_id = line[3:].strip().decode("latin-1")

    def discard_partial(self) -> None:
        """Discard the incomplete event that a broken stream left."""
        self.partial = b""
