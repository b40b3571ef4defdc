"""When the records of the log were appended here. Pure.

A record is acknowledged once it is on the disks of a majority, so on an instance of
that majority it was appended before. It is applied later: after an acknowledgement by
a leader that crashed, only when a new one is elected.

An instance that catches up appends records that may have been acknowledged long ago.
"""

from collections.abc import Iterable

from wisteriapulley.consensus import Record


class AppendTimes:
    """Times at which records were appended that are not applied yet."""

    def __init__(self):
        # Term and time by index: a record of a later term may replace one.
        self.appended: dict[int, tuple[int, float]] = {}

    def record(
        self, records: Iterable[Record], term: int, committed: int, now_s: float
    ) -> None:
        """Record that records were appended now.

        Parameters
        ----------
        records : iterable of Record
            The records.
        term, committed : int
            Term of the leader that sent them, and its commit index. Records of an
            earlier term and committed ones may have been acknowledged before.
        now_s : float
            The time, in seconds of `clocks.steady_s`.
        """
        for record in records:
            if record.term == term and record.index > committed:
                self.appended[record.index] = (term, now_s)

    def take(self, record: Record) -> float | None:
        """Return when an applied record was appended, and forget it.

        None if it may have been acknowledged before, or was on the disk when this
        process started.
        """
        term, appended_s = self.appended.pop(record.index, (0, None))
        return appended_s if term == record.term else None

    def forget(self, last_index: int) -> None:
        """Forget the records that a snapshot covers."""
        for index in [i for i in self.appended if i <= last_index]:
            del self.appended[index]
