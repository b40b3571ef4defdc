"""The log in memory: the records after a base that a snapshot covers."""

from collections.abc import Iterable

from wisteriapulley.consensus.types import Record


class Log:
    """Records with consecutive indices after `base_index`.

    Parameters
    ----------
    base_index, base_term : int
        Of the last record that was dropped; 0 when none was.
    records : iterable of Record
        What follows.
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
        """Tell whether the log knows that `index` has `term`."""
        known = self.base_index <= index <= self.last_index
        return known and self.term_at(index) == term

    def term_at(self, index: int) -> int:
        """Return the term at `index`, which is in the log or its base."""
        if index == self.base_index:
            return self.base_term
        return self.records[index - self.base_index - 1].term

    def between(self, first: int, last: int) -> list[Record]:
        """Return the records from `first` to `last`, both included."""
        start = max(first, self.base_index + 1) - self.base_index - 1
        return self.records[start : max(start, last - self.base_index)]

    def batch(self, first: int, max_records: int, max_bytes: int) -> tuple[Record, ...]:
        """Return records from `first` on, within a count and a size.

        One record that alone is larger than `most_bytes` still goes.
        """
        records = self.between(first, first + max_records - 1)
        size = 0
        for count, record in enumerate(records):
            size += len(record.data)
            if size > max_bytes and count:
                return tuple(records[:count])
        return tuple(records)

    def put(self, record: Record) -> None:
        """Put a record at its index, cutting what stood there and after."""
        del self.records[record.index - self.base_index - 1 :]
        self.records.append(record)

    def compact(self, index: int) -> None:
        """Drop the records up to `index`, which is in the log."""
        if index > self.base_index:
            self.base_term = self.term_at(index)
            del self.records[: index - self.base_index]
            self.base_index = index

    def reset(self, index: int, term: int) -> None:
        """Restart after a snapshot; records that follow it stay."""
        if self.holds(index, term):
            self.compact(index)
        else:
            self.records.clear()
            self.base_index, self.base_term = index, term
