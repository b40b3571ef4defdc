"""Which part of the prompts under which targets ended is to blame. Pure.

One part of a prompt may crash each target that begins to answer it, whatever else the
prompt holds, and no two prompts with it need be alike. The records of parts, kept by
`policy.crash_suspects`, tell it from the other parts of those prompts by group testing:
the culprit is in each prompt under which a target ended, and in none that a target has
begun to answer.

The ends of a part are ranked. An end has the rank 1 if no earlier one was known where
the prompt was sent, and else a rank above the highest one known there. Targets that are
lost at the same time all add ends of one rank, however many they are; only trials of
which each follows from the result of the one before add higher ranks.
"""

from collections.abc import Iterable, Mapping

from wisteriapulley.policy.fingerprint import is_part
from wisteriapulley.policy.suspect_record import SuspectRecord

# Rank at which a part is quarantined: two prompts in a row ended a target although an
# earlier end was known.
QUARANTINE_RANK = 3
# Rank of the ends of prompts that were sent although an earlier end was known.
TRIAL_RANK = 2
# Rank from which a prompt that ended one target is not sent to another one.
SINGLE_SEND_RANK = 2
# Highest rank that is told from others. Ends of high ranks sort first, so that they are
# kept where the number of ends is limited.
MAX_RANK = 9
SEPARATOR = "/"
# An end counts above the known ones only if at least this share of the targets that
# ended lately ended under the part. Two parts may crash targets at the same time, each
# of them near half; targets that are lost piece by piece quarantine none.
MIN_SHARE = 0.4


Records = Mapping[bytes, SuspectRecord]


def ranked_end(rank: int, incarnation: str) -> str:
    """Return the end of a target as the record of a part holds it.

    Parameters
    ----------
    rank : int
        Rank of the end, from 1.
    incarnation : str
        Identity of the target's process start.
    """
    return f"{MAX_RANK - min(rank, MAX_RANK)}{SEPARATOR}{incarnation}"


def rank_of(record: SuspectRecord | None) -> int:
    """Return the highest rank of a part's ends, 0 without any."""
    if record is None or not record.ended:
        return 0
    # The first one has the highest rank.
    order = record.ended[0][:1]
    return MAX_RANK - int(order) if order.isdecimal() else 0


def incarnations(record: SuspectRecord, min_rank: int = 1) -> frozenset[str]:
    """Return the targets that ended under a part, with ends of at least a rank."""
    last = str(MAX_RANK - min_rank)
    return frozenset(
        end.partition(SEPARATOR)[2] for end in record.ended if end[:1] <= last
    )


def next_rank(
    known: SuspectRecord | None, current: SuspectRecord | None, share: float = 1.0
) -> int:
    """Return the rank of an end.

    Parameters
    ----------
    known : SuspectRecord or None
        Record of the part when the prompt was sent.
    current : SuspectRecord or None
        Its record now. What was known counts only if the part was not cleared since.
    share : float
        Share of the targets that ended lately, this one among them, that ended under
        the part. While most of them end for other reasons, an end proves little.
    """
    if known is None or (current is not None and current.cleared != known.cleared):
        return 1
    return max(1, rank_of(known) + (share >= MIN_SHARE))


def culprit(
    records: Records, digests: Iterable[bytes], min_rank: int = QUARANTINE_RANK
) -> bytes | None:
    """Return the part of a prompt that is to blame, or None.

    A part that ended targets only together with others may be innocent. A prompt that
    lacks one of them is a test of it, and is sent.

    Parameters
    ----------
    records : mapping of bytes to SuspectRecord
        Records by fingerprint.
    digests : iterable of bytes
        Fingerprints of the parts of one prompt.
    min_rank : int
        Rank from which a part may be to blame.
    """
    digests = frozenset(digests)
    suspected = [d for d in digests if rank_of(records.get(d)) >= min_rank]
    if not suspected:
        return None
    suspects = suspects_of(records, min_rank)
    for digest in suspected:
        if digests.issuperset(partners(suspects, digest)):
            return digest
    return None


def is_suspected(records: Records, digest: bytes) -> bool:
    """Return whether a part is quarantined, alone or together with others.

    It is not if all its trials are explained by another part which it does not explain.
    """
    if rank_of(records.get(digest)) < QUARANTINE_RANK:
        return False
    suspects = suspects_of(records, QUARANTINE_RANK)
    return all(
        digest in partners(suspects, other) for other in partners(suspects, digest)
    )


def suspects_of(records: Records, min_rank: int) -> dict[bytes, SuspectRecord]:
    """Return the records of the parts of at least a rank."""
    return {
        digest: record
        for digest, record in records.items()
        if rank_of(record) >= min_rank and is_part(digest)
    }


def partners(suspects: Records, digest: bytes) -> frozenset[bytes]:
    """Return the other suspects under which all targets ended that a part was tried at.

    Ends of the first rank are no trials: they may have had any reason.
    """
    tried = incarnations(suspects[digest], TRIAL_RANK)
    return frozenset(
        other
        for other, record in suspects.items()
        if other != digest and tried <= incarnations(record)
    )
