"""Requests that are suspected of crashing targets, tracked across the fleet. Pure.

One request may crash each target that begins to run it, while its caller sends it
again and again, through any entry. Each send then costs a target and interrupts all
other requests there. A retry budget does not help: each attempt of a caller counts as
a new request.

When a target ends, each request that was in progress there becomes a suspect. Most of
them are innocent, and are cleared by the first complete answer that any entry
delivers. A request that goes on ending targets is quarantined: no entry sends it any
more. Records of all entries merge to the same result whatever their order and number.
"""

import heapq
from collections.abc import Iterable, Iterator
from typing import NamedTuple

from wisteriapulley.wire.messages import Suspect

# Targets that a request may end before it is quarantined. With fewer, requests that
# shared those targets by chance would be quarantined too often.
MIN_ENDED_ALONE = 3
# A request may only have run beside the culprit if each target that ended under it also
# ended under one other request. It is quarantined only after this many targets.
MAX_ENDED = 4
# A suspect that ends no more targets is forgotten after this time, and so is a
# quarantine: the fault that the request triggered may have been fixed since.
RETENTION_S = 86_400.0
# Maximum number of records; each takes half a kilobyte.
MAX_SUSPECTS = 1024
# Maximum number of suspects sent on a new link: keeps the frame below 60 kB.
MAX_INITIAL_SUSPECTS = 256


class SuspectRecord(NamedTuple):
    """Crash record of one request.

    Attributes
    ----------
    cleared : int
        How often a complete answer cleared the request after targets had ended.
    ended : tuple of str
        Incarnations of targets that ended under it since then, sorted.
    at_s : float
        When the last of them ended, on a clock that counts suspensions.
    """

    cleared: int
    ended: tuple[str, ...]
    at_s: float


class CrashSuspects:
    """Crash records by request digest.

    Parameters
    ----------
    max_records : int
        Maximum number of records.
    retention_s : float
        How long a record is kept after its last change, in seconds.
    """

    def __init__(
        self, max_records: int = MAX_SUSPECTS, retention_s: float = RETENTION_S
    ):
        self.max_records = max_records
        self.retention_s = retention_s
        self.records: dict[bytes, SuspectRecord] = {}

    def is_quarantined(self, digest: bytes) -> bool:
        """Return whether a request may not be sent any more."""
        record = self.records.get(digest)
        if record is None or len(record.ended) < MIN_ENDED_ALONE:
            return False
        return len(record.ended) >= MAX_ENDED or not self.is_explained_by_another(
            digest
        )

    def is_explained_by_another(self, digest: bytes) -> bool:
        """Return whether one other request could have ended all these targets."""
        ended = set(self.records[digest].ended)
        return any(
            ended.issubset(other.ended)
            for name, other in self.records.items()
            if name != digest
        )

    def quarantined(self) -> list[bytes]:
        """Return the digests of the requests that may not be sent any more."""
        return [digest for digest in self.records if self.is_quarantined(digest)]

    def record_crash(
        self, digest: bytes, incarnation: str, now_s: float
    ) -> SuspectRecord:
        """Record that a target ended while a request was in progress there.

        Parameters
        ----------
        digest : bytes
            Digest of the request.
        incarnation : str
            Identity of the target's process start; it changes when the target restarts.
        now_s : float
            Current time.

        Returns
        -------
        SuspectRecord
            The request's record, even if there is no room to keep it.
        """
        current = self.records.get(digest)
        record = SuspectRecord(
            current.cleared if current is not None else 0, (incarnation,), now_s
        )
        self.merge(digest, record)
        return self.records.get(digest, record)

    def record_answer(self, digest: bytes, now_s: float) -> bool:
        """Clear a completely answered request; return whether its record changed."""
        current = self.records.get(digest)
        if current is None or not current.ended:
            return False
        self.records[digest] = SuspectRecord(current.cleared + 1, (), now_s)
        return True

    def merge(self, digest: bytes, record: SuspectRecord) -> bool:
        """Merge a record; return whether it changed anything."""
        current = self.records.get(digest)
        if current is None:
            if not record.ended:
                # Cleared elsewhere before any of its ended targets were known here.
                return False
            merged = record
        elif record.cleared != current.cleared:
            merged = max(record, current, key=lambda r: r.cleared)
        else:
            ended = truncate_incarnations((*current.ended, *record.ended))
            merged = SuspectRecord(
                current.cleared, ended, max(current.at_s, record.at_s)
            )
        if current is not None and merged[:2] == current[:2]:
            return False
        self.records[digest] = merged
        if len(self.records) > self.max_records:
            del self.records[min(self.records, key=self.retention_rank)]
        return True

    def retention_rank(self, digest: bytes) -> tuple[int, float]:
        """Return the sort key for eviction: the least important record is lowest."""
        record = self.records[digest]
        return len(record.ended), record.at_s

    def remove_expired(self, now_s: float) -> None:
        """Drop records that did not change for `retention_s`."""
        for digest, record in tuple(self.records.items()):
            if now_s - record.at_s > self.retention_s:
                del self.records[digest]

    # -- exchange with other instances ------------------------------------

    def top_suspects(self) -> list[bytes]:
        """Return the suspects to send on a new link, most ended targets first."""
        suspects = (digest for digest, r in self.records.items() if r.ended)
        return heapq.nlargest(MAX_INITIAL_SUSPECTS, suspects, key=self.retention_rank)

    def merge_updates(self, suspects: Iterable[Suspect], now_s: float) -> list[bytes]:
        """Merge suspects of another instance; return the digests that changed."""
        return [
            suspect.digest
            for suspect in suspects
            if self.merge(suspect.digest, decode_record(suspect, now_s))
        ]

    def updates(self, now_s: float, digests: Iterable[bytes]) -> Iterator[Suspect]:
        """Yield the records of some requests as messages, with their age."""
        for digest in digests:
            record = self.records.get(digest)
            if record is not None:
                age_s = max(0, int(now_s - record.at_s))
                yield Suspect(digest, record.cleared, record.ended, age_s)


def decode_record(suspect: Suspect, now_s: float) -> SuspectRecord:
    """Return the record of a suspect message."""
    return SuspectRecord(
        suspect.cleared, truncate_incarnations(suspect.ended), now_s - suspect.age_s
    )


def truncate_incarnations(incarnations: Iterable[str]) -> tuple[str, ...]:
    """Return the incarnations that count, the same ones on all instances."""
    return tuple(sorted(set(incarnations))[:MAX_ENDED])
