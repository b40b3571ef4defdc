"""Bounds the memory of the bodies that an entry keeps, of requests or responses."""

# Each body may keep this much even while others use up the memory, so that they do not
# disturb small ones. A connection's own read buffer is of the same size.
UNCOUNTED_BYTES = 64 << 10
# Memory for the bodies of all requests in progress, where nothing else is stated.
DEFAULT_REQUEST_BYTES = 64 << 20


class KeptBytes:
    """Counts what an entry keeps of all bodies of one kind together.

    Parameters
    ----------
    max_bytes : int
        How much of all bodies together may be kept.

    Attributes
    ----------
    reserved : int
        How much of them is kept now.
    """

    def __init__(self, max_bytes: int):
        self.max_bytes = max_bytes
        self.reserved = 0


class Reservation:
    """What is kept of one body.

    Parameters
    ----------
    kept_bytes : KeptBytes
        Counts the bodies of the same entry and kind.

    Attributes
    ----------
    counted : int
        Bytes that are counted of this body.
    """

    def __init__(self, kept_bytes: KeptBytes):
        self.kept_bytes = kept_bytes
        self.counted = 0

    def resize(self, size: int) -> bool:
        """Keep `size` bytes of the body; return whether there is room for them.

        What was kept before stays counted if there is none.
        """
        counted = max(0, size - UNCOUNTED_BYTES)
        reserved = self.kept_bytes.reserved + counted - self.counted
        if counted > self.counted and reserved > self.kept_bytes.max_bytes:
            return False
        self.kept_bytes.reserved, self.counted = reserved, counted
        return True

    def release(self) -> None:
        """Count nothing of the body any more."""
        self.resize(0)
