"""Detects the parts of prompts that crash targets, at one entry."""

import asyncio
import logging
from collections.abc import Callable, Iterable

from wisteriapulley.clocks import steady_s
from wisteriapulley.direct.progress import Progress
from wisteriapulley.logs import fields
from wisteriapulley.policy.begun_parts import BegunParts
from wisteriapulley.policy.crash_suspects import CrashSuspects, decode_record
from wisteriapulley.policy.fingerprint import is_part, log_name, part_fingerprint
from wisteriapulley.policy.part_suspects import (
    SINGLE_SEND_RANK,
    culprit,
    incarnations,
    rank_of,
)
from wisteriapulley.policy.recent_ends import RecentEnds
from wisteriapulley.policy.suspect_record import SuspectRecord
from wisteriapulley.wire.messages import SuspectNews

log = logging.getLogger(__name__)

# Records of the parts of a prompt, by fingerprint.
KnownSuspects = dict[bytes, SuspectRecord]


class PartTracker:
    """Tracks the parts of prompts that were in progress at targets when these crashed.

    Parameters
    ----------
    key : bytes
        The fleet key, which fingerprints are derived from.
    suspects : CrashSuspects
        Records of all entries, as far as received here.
    schedule_update : callable
        Schedules an update of a record for the other entries.

    Attributes
    ----------
    begun : BegunParts
        Parts that targets have begun to answer a short time ago.
    recent_ends : RecentEnds
        Targets that ended a short time ago.
    """

    def __init__(
        self,
        key: bytes,
        suspects: CrashSuspects,
        schedule_update: Callable[[bytes], None],
    ):
        self.key = key
        self.suspects = suspects
        self.schedule_update = schedule_update
        self.begun = BegunParts()
        self.recent_ends = RecentEnds()

    def now_s(self) -> float:
        """Return the time of the event loop's clock."""
        return asyncio.get_running_loop().time()

    def fingerprints(self, progress: Progress) -> tuple[bytes, ...]:
        """Return the fingerprints of the parts that other prompts may share."""
        if progress.part_fingerprints is None:
            progress.part_fingerprints = tuple(
                part_fingerprint(self.key, progress.service, part)
                for part in progress.prompt_parts
            )
        return progress.part_fingerprints

    def names(self, progress: Progress) -> list[str]:
        """Return the fingerprints of a prompt's parts as they appear in logs."""
        return [log_name(digest) for digest in self.fingerprints(progress)]

    # -- before a send ----------------------------------------------------

    def is_quarantined(self, progress: Progress) -> bool:
        """Return whether a part of a prompt is to blame for crashes."""
        return culprit(self.suspects.records, self.fingerprints(progress)) is not None

    def may_crash_another(self, progress: Progress) -> bool:
        """Return whether a prompt that ended a target may end another one, too."""
        digests = self.fingerprints(progress)
        return culprit(self.suspects.records, digests, SINGLE_SEND_RANK) is not None

    def known_suspects(self, progress: Progress) -> KnownSuspects:
        """Return what is known of the parts of a prompt when it is sent."""
        if not self.suspects.records:
            return {}
        records = self.suspects.records
        return {
            digest: records[digest]
            for digest in self.fingerprints(progress)
            if digest in records
        }

    # -- local events -----------------------------------------------------

    def record_crash(
        self, progress: Progress, incarnation: str, known: KnownSuspects
    ) -> None:
        """Record that a target ended before it began to answer a prompt.

        Parameters
        ----------
        progress : Progress
            Progress of the request.
        incarnation : str
            Identity of the target's process start.
        known : dict of bytes to SuspectRecord
            What was known of the parts when the prompt was sent there.
        """
        now_s = self.now_s()
        pairs = zip(progress.prompt_parts, self.fingerprints(progress), strict=True)
        for part, digest in pairs:
            if self.begun.contains(progress.service, part, now_s):
                continue
            was_quarantined = self.suspects.is_quarantined(digest)
            self.suspects.record_part_crash(
                digest,
                incarnation,
                known.get(digest),
                steady_s(),
                self.share_of(digest, incarnation),
            )
            self.schedule_update(digest)
            if not was_quarantined:
                self.log_if_quarantined(digest)

    def share_of(self, digest: bytes, incarnation: str) -> float:
        """Return which share of the recent ends were under a part, with one more."""
        record = self.suspects.records.get(digest)
        ended = incarnations(record) if record is not None else frozenset()
        return self.recent_ends.share_of({*ended, incarnation}, self.now_s())

    def record_begun(self, progress: Progress) -> None:
        """Clear the parts of a prompt that a target has begun to answer."""
        self.begun.record(progress.service, progress.prompt_parts, self.now_s())
        if self.suspects.records:
            self.clear(self.fingerprints(progress))

    def record_end(self, incarnation: str) -> None:
        """Record that a target ended, whatever ran there."""
        self.recent_ends.record((incarnation,), self.now_s())

    def record_ends(self, update: SuspectNews) -> None:
        """Record the recent ends that another entry has reported."""
        now_s = self.now_s()
        for suspect in update.suspects:
            record = decode_record(suspect, now_s)
            ended = record.ended
            if is_part(suspect.digest):
                ended = incarnations(record)
            self.recent_ends.record(ended, record.at_s)

    def clear_begun(self, changed: Iterable[bytes]) -> None:
        """Clear suspects of other entries that targets began to answer here lately."""
        ended = {d for d in changed if rank_of(self.suspects.records.get(d))}
        if not ended:
            return
        now_s = self.now_s()
        begun = (
            part_fingerprint(self.key, service, part)
            for service, part in self.begun.begun_s
            if self.begun.contains(service, part, now_s)
        )
        self.clear(ended.intersection(begun))

    def clear(self, digests: Iterable[bytes]) -> None:
        """Clear parts of suspicion."""
        for digest in digests:
            record = self.suspects.records.get(digest)
            if self.suspects.record_answer(digest, steady_s()):
                self.schedule_update(digest)
                if rank_of(record) > 1:
                    log.info(
                        "part of prompts cleared",
                        extra=fields(part=log_name(digest), rank=rank_of(record)),
                    )

    def remove_expired(self) -> None:
        """Forget what is no longer recent."""
        now_s = self.now_s()
        self.begun.remove_expired(now_s)
        self.recent_ends.remove_expired(now_s)

    def log_if_quarantined(self, digest: bytes) -> None:
        """Log that prompts with a part are sent to no target any more."""
        if self.suspects.is_quarantined(digest):
            record = self.suspects.records[digest]
            log.warning(
                "part of prompts quarantined",
                extra=fields(part=log_name(digest), ended=record.ended),
            )
