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
MIN_ENDED_ALONE = 3
# One under which no target ended that did not end under another request as well may
# be its neighbour: it goes free until it has ended so many.
MAX_ENDED = 4
# A suspect that ends nothing more is forgotten after so long, and so is a quarantine:
# what the request met may have been mended since.
RETENTION_S = 86_400.0
# Suspects held at once: each takes half a kilobyte.
MAX_SUSPECTS = 1024
# Suspects that a new link is told of: a frame stays below 60 kB.
MAX_INITIAL_SUSPECTS = 256


class SuspectRecord(NamedTuple):
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

    def __init__(
        self, max_records: int = MAX_SUSPECTS, retention_s: float = RETENTION_S
    ):
        self.max_records = max_records
        self.retention_s = retention_s
        self.records: dict[bytes, SuspectRecord] = {}

    def is_quarantined(self, digest: bytes) -> bool:
        """Tell whether a request may not be sent any more."""
        record = self.records.get(digest)
        if record is None or len(record.ended) < MIN_ENDED_ALONE:
            return False
        return len(record.ended) >= MAX_ENDED or not self.is_explained_by_another(
            digest
        )

    def is_explained_by_another(self, digest: bytes) -> bool:
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

    def record_crash(
        self, digest: bytes, incarnation: str, now_s: float
    ) -> SuspectRecord:
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
        record = SuspectRecord(
            known.cleared if known is not None else 0, (incarnation,), now_s
        )
        self.merge(digest, record)
        return self.records.get(digest, record)

    def record_answer(self, digest: bytes, now_s: float) -> bool:
        """Clear a request that was answered whole; tell whether that is news."""
        known = self.records.get(digest)
        if known is None or not known.ended:
            return False
        self.records[digest] = SuspectRecord(known.cleared + 1, (), now_s)
        return True

    def merge(self, digest: bytes, record: SuspectRecord) -> bool:
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
            ended = truncate_incarnations((*known.ended, *record.ended))
            new = SuspectRecord(known.cleared, ended, max(known.at_s, record.at_s))
        if known is not None and new[:2] == known[:2]:
            return False
        self.records[digest] = new
        if len(self.records) > self.max_records:
            del self.records[min(self.records, key=self.retention_rank)]
        return True

    def retention_rank(self, digest: bytes) -> tuple[int, float]:
        """Order records by what is lost with them."""
        record = self.records[digest]
        return len(record.ended), record.at_s

    def remove_expired(self, now_s: float) -> None:
        """Forget records that did not change for long."""
        for digest, record in tuple(self.records.items()):
            if now_s - record.at_s > self.retention_s:
                del self.records[digest]

    # -- as others are told ----------------------------------------------

    def top_suspects(self) -> list[bytes]:
        """Return the suspects that a new link is told of."""
        suspects = (digest for digest, r in self.records.items() if r.ended)
        return heapq.nlargest(MAX_INITIAL_SUSPECTS, suspects, key=self.retention_rank)

    def merge_updates(self, suspects: Iterable[Suspect], now_s: float) -> list[bytes]:
        """Take in what others tell; return the digests of which that is news."""
        return [
            suspect.digest
            for suspect in suspects
            if self.merge(suspect.digest, decode_record(suspect, now_s))
        ]

    def updates(self, now_s: float, digests: Iterable[bytes]) -> Iterator[Suspect]:
        """Yield what is known of some requests, with its age."""
        for digest in digests:
            record = self.records.get(digest)
            if record is not None:
                age_s = max(0, int(now_s - record.at_s))
                yield Suspect(digest, record.cleared, record.ended, age_s)


def decode_record(suspect: Suspect, now_s: float) -> SuspectRecord:
    """Read a record from the wire."""
    return SuspectRecord(
        suspect.cleared, truncate_incarnations(suspect.ended), now_s - suspect.age_s
    )


def truncate_incarnations(incarnations: Iterable[str]) -> tuple[str, ...]:
    """Return as many starts as decide anything, the same ones everywhere."""
    return tuple(sorted(set(incarnations))[:MAX_ENDED])
