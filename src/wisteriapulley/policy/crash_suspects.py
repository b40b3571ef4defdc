"""Which requests ended the targets that ran them, as the whole fleet knows it. Pure.

Load: one request crashes each target that begins to run it, and its caller sends it
again and again, at any entry. Harm prevented: a target fewer with each send, and all
that runs there broken off each time. A retry budget does not help: each attempt of a
caller is a new request to it.

When a target ends, each request that was in progress there is a suspect; most of them
are innocent, and are cleared by the first whole answer that any entry passes on. One
that goes on ending targets is quarantined: no entry sends it any more. Records of all
entries merge to the same whatever their order, and however often they come.
"""

import heapq
from collections.abc import Iterable, Iterator
from typing import NamedTuple

from wisteriapulley.wire.messages import Suspect

# Targets that a request may end before it is quarantined. With fewer, neighbours that
# shared them all by chance would be taken for it too often.
ENDED_ALONE = 3
# One under which no target ended that did not end under another request as well may
# be its neighbour: it goes free until it has ended so many.
ENDED_MOST = 4
# A suspect that ends nothing more is forgotten after so long, and so is a quarantine:
# what the request met may have been mended since.
KEPT_S = 86_400.0
# Suspects held at once: each takes half a kilobyte.
MOST_SUSPECTS = 1024
# Suspects that a new link is told of: a frame stays below 60 kB.
MOST_TOLD = 256


class Record(NamedTuple):
    """What is known of one request.

    Attributes
    ----------
    cleared : int
        How often it was answered whole after targets had ended under it.
    ended : tuple of str
        Starts of targets that ended under it since then, sorted.
    at_s : float
        When the last of them ended, on a clock that counts suspensions.
    """

    cleared: int
    ended: tuple[str, ...]
    at_s: float


class CrashSuspects:
    """Records by digest of the request.

    Parameters
    ----------
    most : int
        Records held at once.
    kept_s : float
        How long a record is held after its last change, in seconds.
    """

    def __init__(self, most: int = MOST_SUSPECTS, kept_s: float = KEPT_S):
        self.most = most
        self.kept_s = kept_s
        self.records: dict[bytes, Record] = {}

    def is_quarantined(self, digest: bytes) -> bool:
        """Tell whether a request may not be sent any more."""
        record = self.records.get(digest)
        if record is None or len(record.ended) < ENDED_ALONE:
            return False
        return len(record.ended) >= ENDED_MOST or not self.is_explained(digest)

    def is_explained(self, digest: bytes) -> bool:
        """Tell whether another request alone could have ended all the targets."""
        ended = set(self.records[digest].ended)
        return any(
            ended.issubset(other.ended)
            for name, other in self.records.items()
            if name != digest
        )

    def quarantined(self) -> list[bytes]:
        """Return the requests that may not be sent any more."""
        return [digest for digest in self.records if self.is_quarantined(digest)]

    def target_ended(self, digest: bytes, start: str, now_s: float) -> Record:
        """Note that a target ended while it had a request.

        Parameters
        ----------
        digest : bytes
            Names the request.
        start : str
            Names the target's start: one that is back is another.
        now_s : float
            The clock.

        Returns
        -------
        Record
            What is known of the request now, even where there is no room to hold it.
        """
        known = self.records.get(digest)
        record = Record(known.cleared if known is not None else 0, (start,), now_s)
        self.merge(digest, record)
        return self.records.get(digest, record)

    def answered(self, digest: bytes, now_s: float) -> bool:
        """Clear a request that was answered whole; tell whether that is news."""
        known = self.records.get(digest)
        if known is None or not known.ended:
            return False
        self.records[digest] = Record(known.cleared + 1, (), now_s)
        return True

    def merge(self, digest: bytes, record: Record) -> bool:
        """Take a record in; tell whether it says anything that was not known."""
        known = self.records.get(digest)
        if known is None:
            if not record.ended:
                # Cleared before this was told that there was anything to clear.
                return False
            new = record
        elif record.cleared != known.cleared:
            new = max(record, known, key=lambda r: r.cleared)
        else:
            ended = some_of((*known.ended, *record.ended))
            new = Record(known.cleared, ended, max(known.at_s, record.at_s))
        if known is not None and new[:2] == known[:2]:
            return False
        self.records[digest] = new
        if len(self.records) > self.most:
            del self.records[min(self.records, key=self.weight)]
        return True

    def weight(self, digest: bytes) -> tuple[int, float]:
        """Order records by what is lost with them."""
        record = self.records[digest]
        return len(record.ended), record.at_s

    def sweep(self, now_s: float) -> None:
        """Forget records that did not change for long."""
        for digest, record in tuple(self.records.items()):
            if now_s - record.at_s > self.kept_s:
                del self.records[digest]

    # -- as others are told ----------------------------------------------

    def heaviest(self) -> list[bytes]:
        """Return the suspects that a new link is told of."""
        suspects = (digest for digest, r in self.records.items() if r.ended)
        return heapq.nlargest(MOST_TOLD, suspects, key=self.weight)

    def take(self, suspects: Iterable[Suspect], now_s: float) -> list[bytes]:
        """Take in what others tell; return the digests of which that is news."""
        return [
            suspect.digest
            for suspect in suspects
            if self.merge(suspect.digest, record_of(suspect, now_s))
        ]

    def news(self, now_s: float, digests: Iterable[bytes]) -> Iterator[Suspect]:
        """Yield what is known of some requests, with its age."""
        for digest in digests:
            record = self.records.get(digest)
            if record is not None:
                age_s = max(0, int(now_s - record.at_s))
                yield Suspect(digest, record.cleared, record.ended, age_s)


def record_of(suspect: Suspect, now_s: float) -> Record:
    """Read a record from the wire."""
    return Record(suspect.cleared, some_of(suspect.ended), now_s - suspect.age_s)


def some_of(starts: Iterable[str]) -> tuple[str, ...]:
    """Return as many starts as decide anything, the same ones everywhere."""
    return tuple(sorted(set(starts))[:ENDED_MOST])
