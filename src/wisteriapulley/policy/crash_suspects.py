"""Requests, and parts of prompts, that may crash targets, tracked across the fleet.

Pure.

One request may crash each target that begins to run it, while its caller sends it
again and again, through any entry. Each send then costs a target and interrupts all
other requests there. A retry budget does not help: each attempt of a caller counts as
a new request.

When a target ends, each request that was in progress there becomes a suspect. Most of
them are innocent, and are cleared by the first complete answer that any entry
delivers. A request that goes on ending targets is quarantined: no entry sends it any
more. Records of all entries merge to the same result whatever their order and number.

The same holds for parts that many prompts share; see `policy.part_suspects`.
"""

import heapq
from collections.abc import Iterable, Iterator

from wisteriapulley.policy import part_suspects
from wisteriapulley.policy.fingerprint import is_part
from wisteriapulley.policy.suspect_record import SuspectRecord
from wisteriapulley.wire.messages import Suspect

# Targets that a request may end before it is quarantined. With fewer, requests that
# shared those targets by chance would be quarantined too often.
MIN_ENDED_ALONE = 3
# A request may only have run beside the culprit if each target that ended under it also
# ended under one other request. It is quarantined only after this many targets.
MAX_ENDED = 4
# Ends that the record of a part holds at most: those of the highest ranks.
MAX_PART_ENDS = 16
# A suspect that ends no more targets is forgotten after this time, and so is a
# quarantine: the fault that the request triggered may have been fixed since.
RETENTION_S = 86_400.0
# Maximum number of records; each takes half a kilobyte.
MAX_SUSPECTS = 1024
# Maximum number of suspects in a frame, also on a new link: some 60 kB.
MAX_SUSPECTS_PER_FRAME = 256


class CrashSuspects:
    """Crash records by fingerprint of the request, or of the part of prompts.

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
        """Return whether a request may not be sent any more, or a part is to blame."""
        if is_part(digest):
            return part_suspects.is_suspected(self.records, digest)
        record = self.records.get(digest)
        if record is None or len(record.ended) < MIN_ENDED_ALONE:
            return False
        ended = set(record.ended) - self.explained_by_parts()
        if len(ended) < MIN_ENDED_ALONE:
            return False
        return len(ended) >= MAX_ENDED or not self.is_explained_by_another(digest)

    def explained_by_parts(self) -> set[str]:
        """Return the incarnations of targets that ended under quarantined parts.

        They prove nothing of the other requests that were in progress there.
        """
        ended = (
            part_suspects.incarnations(self.records[digest])
            for digest in filter(is_part, self.records)
            if part_suspects.is_suspected(self.records, digest)
        )
        return set().union(*ended)

    def is_explained_by_another(self, digest: bytes) -> bool:
        """Return whether one other request could have ended all these targets."""
        ended = set(self.records[digest].ended)
        return any(
            ended.issubset(other.ended)
            for name, other in self.records.items()
            if name != digest
        )

    def quarantined(self) -> list[bytes]:
        """Return the digests of what is quarantined."""
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

    def record_part_crash(
        self,
        digest: bytes,
        incarnation: str,
        known: SuspectRecord | None,
        now_s: float,
        share: float = 1.0,
    ) -> SuspectRecord:
        """Record that a target ended that had not begun to answer a prompt with a part.

        Parameters
        ----------
        digest : bytes
            Fingerprint of the part.
        incarnation : str
            Identity of the target's process start.
        known : SuspectRecord or None
            The part's record when the prompt was sent to the target.
        now_s : float
            Current time.
        share : float
            Share of the targets that ended lately that ended under the part.

        Returns
        -------
        SuspectRecord
            The part's record, even if there is no room to keep it.
        """
        rank = part_suspects.next_rank(known, self.records.get(digest), share)
        end = part_suspects.ranked_end(rank, incarnation)
        return self.record_crash(digest, end, now_s)

    def record_answer(self, digest: bytes, now_s: float) -> bool:
        """Clear what a target has answered; return whether its record changed."""
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
            ended = truncate_ends(digest, (*current.ended, *record.ended))
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
        return heapq.nlargest(MAX_SUSPECTS_PER_FRAME, suspects, key=self.retention_rank)

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
    ended = truncate_ends(suspect.digest, suspect.ended)
    return SuspectRecord(suspect.cleared, ended, now_s - suspect.age_s)


def truncate_ends(digest: bytes, ends: Iterable[str]) -> tuple[str, ...]:
    """Return the ends that count, the same ones on all instances."""
    max_ends = MAX_PART_ENDS if is_part(digest) else MAX_ENDED
    return tuple(sorted(set(ends))[:max_ends])
