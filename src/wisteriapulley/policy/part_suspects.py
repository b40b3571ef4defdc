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

from collections.abc import Iterable, Iterator, Mapping
from typing import NamedTuple

# Rank at which a part is quarantined: two prompts in a row ended a target although an
# earlier end was known.
QUARANTINE_RANK = 3
# Rank from which a prompt that ended one target is not sent to another one.
SINGLE_SEND_RANK = 2
# Highest rank that is told from others. Ends of high ranks sort first, so that they are
# kept where the number of ends is limited.
MAX_RANK = 9
SEPARATOR = "/"


class SuspectRecord(NamedTuple):
    """Crash record of one request, or of one part of prompts.

    Attributes
    ----------
    cleared : int
        How often an answer cleared it after targets had ended.
    ended : tuple of str
        What ended under it since then, sorted: incarnations of targets for a request,
        ranked ends for a part.
    at_s : float
        When the last of them ended, on a clock that counts suspensions.
    """

    cleared: int
    ended: tuple[str, ...]
    at_s: float


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
    order = record.ended[0].partition(SEPARATOR)[0]
    return MAX_RANK - int(order) if order.isdecimal() else 0


def incarnations(record: SuspectRecord) -> frozenset[str]:
    """Return the incarnations of targets that ended under a part."""
    return frozenset(end.partition(SEPARATOR)[2] for end in record.ended)


def next_rank(known: SuspectRecord | None, current: SuspectRecord | None) -> int:
    """Return the rank of an end.

    Parameters
    ----------
    known : SuspectRecord or None
        Record of the part when the prompt was sent.
    current : SuspectRecord or None
        Its record now. What was known counts only if the part was not cleared since.
    """
    if known is None or (current is not None and current.cleared != known.cleared):
        return 1
    return rank_of(known) + 1


def culprit(
    records: Records, digests: Iterable[bytes], min_rank: int = QUARANTINE_RANK
) -> bytes | None:
    """Return the part of a prompt that is to blame, or None.

    A part that ended targets together with others may be innocent. The prompt is a test
    of it if it lacks one of them, and is sent.

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
    for digest in digests:
        if is_suspected(records, digest, min_rank):
            if frozenset(equals(records, digest, min_rank)) <= digests:
                return digest
    return None


def is_suspected(
    records: Records, digest: bytes, min_rank: int = QUARANTINE_RANK
) -> bool:
    """Return whether a part of some rank is to blame, alone or with its equals.

    It is not if more targets ended under another part, all of its own among them.
    """
    record = records.get(digest)
    if record is None or rank_of(record) < min_rank:
        return False
    ended = incarnations(record)
    return not any(
        ended < others for _, others in ends_of_others(records, digest, min_rank)
    )


def equals(records: Records, digest: bytes, min_rank: int) -> Iterator[bytes]:
    """Yield the other parts under which the same targets ended."""
    ended = incarnations(records[digest])
    for other, others in ends_of_others(records, digest, min_rank):
        if others == ended:
            yield other


def ends_of_others(
    records: Records, digest: bytes, min_rank: int
) -> Iterator[tuple[bytes, frozenset[str]]]:
    """Yield each other part of at least a rank, and the targets that ended under it."""
    for other, record in records.items():
        if other != digest and rank_of(record) >= min_rank:
            yield other, incarnations(record)
