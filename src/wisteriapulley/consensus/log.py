"""The log in memory: the records after a base index covered by a snapshot."""

from collections.abc import Iterable

from wisteriapulley.consensus.types import Record


class Log:
    """Records with consecutive indices after `base_index`.

    Parameters
    ----------
    base_index, base_term : int
        Index and term of the last dropped record; 0 if none was dropped.
    records : iterable of Record
        Records after the base.
    """

    def __init__(
        self, base_index: int = 0, base_term: int = 0, records: Iterable[Record] = ()
    ):
        self.base_index = base_index
        self.base_term = base_term
        self.records: list[Record] = list(records)

    @property
    def last_index(self) -> int:
        """Index of the last record."""
        return self.records[-1].index if self.records else self.base_index

    @property
    def last_term(self) -> int:
        """Term of the last record."""
        return self.records[-1].term if self.records else self.base_term

    def holds(self, index: int, term: int) -> bool:
        """Return whether the record at `index` is in the log and has `term`."""
        in_range = self.base_index <= index <= self.last_index
        return in_range and self.term_at(index) == term

    def term_at(self, index: int) -> int:
        """Return the term at `index`, which must be in the log or its base."""
        if index == self.base_index:
            return self.base_term
        return self.records[index - self.base_index - 1].term

    def between(self, first: int, last: int) -> list[Record]:
        """Return the records from `first` to `last` inclusive."""
        start = max(first, self.base_index + 1) - self.base_index - 1
        return self.records[start : max(start, last - self.base_index)]

    def batch(self, first: int, max_records: int, max_bytes: int) -> tuple[Record, ...]:
        """Return records from `first` on, limited in number and total size.

        The first record is returned even if it is larger than `max_bytes`.
        """
        records = self.between(first, first + max_records - 1)
        size = 0
        for count, record in enumerate(records):
            size += len(record.data)
            if size > max_bytes and count:
                return tuple(records[:count])
        return tuple(records)

    def put(self, record: Record) -> None:
        """Store a record at its index and drop all records from that index on."""
        del self.records[record.index - self.base_index - 1 :]
        self.records.append(record)

    def compact(self, index: int) -> None:
        """Drop the records up to `index`, which must be in the log."""
        if index > self.base_index:
            self.base_term = self.term_at(index)
            del self.records[: index - self.base_index]
            self.base_index = index

    def reset(self, index: int, term: int) -> None:
        """Set the base to a snapshot; keep the records that follow it."""
        if self.holds(index, term):
            self.compact(index)
        else:
            self.records.clear()
            self.base_index, self.base_term = index, term
