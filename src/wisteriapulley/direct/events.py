"""Splits a stream into whole events, so that it can go on at another target."""

EVENT_END = b"\n\n"


class EventSplitter:
    """Whole events of a stream's bytes.

    Attributes
    ----------
    last_id : str
        Id of the last whole event; empty before the first.
    events : int
        Whole events so far.
    """

    def __init__(self, last_id: str = ""):
        self.last_id = last_id
        self.event_count = 0
        self.partial = b""

    def feed(self, data: bytes) -> bytes:
        """Take bytes in; return the whole events among them."""
        data = self.partial + data
        end = data.rfind(EVENT_END)
        if end < 0:
            self.partial = data
            return b""
        whole, self.partial = data[: end + 2], data[end + 2 :]
        for event in whole.split(EVENT_END):
            self.record_event(event)
        return whole

    def record_event(self, event: bytes) -> None:
        """Remember an event's id."""
        if not event:
            return
        self.event_count += 1
        for line in event.split(b"\n"):
            if line.startswith(b"id:"):
                self.last_id = line[3:].strip().decode("latin-1")

    def discard_partial(self) -> None:
        """Forget the part of an event that a broken stream left."""
        self.partial = b""
