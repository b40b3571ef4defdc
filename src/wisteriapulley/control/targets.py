"""Targets that announce themselves to control instances. Pure, soft state.

Each control instance keeps the announcements that it received itself and those that
its peers forwarded. The announcements of a target are ordered by its incarnation and
its own sequence, so neither their route nor the order of arrival matters.
"""

from collections.abc import Iterable, Iterator
from enum import IntEnum
from typing import NamedTuple

from wisteriapulley.wire.messages import TargetBeat, TargetState

# A target that ended is remembered as gone for this long, so that its late
# announcements do not bring it back. It is longer than the delay of any heartbeat.
GONE_RETENTION_MS = 60_000.0
# For this long the end of a target is repeated, for those that missed the message.
GONE_REPEAT_MS = 5000.0
# A target states with each announcement how long it stays cold. Only an end that moves
# by more than this is a change: announcements are delayed by different times.
COLD_TOLERANCE_MS = 250.0


class Change(IntEnum):
    """What an announcement changes in the recorded state of a target."""

    NONE = 0
    # The version of its weights or its slots.
    STATE = 1
    # It turned cold or warm, or stays cold for another time than it stated before.
    COLDNESS = 2
    # It joined, is leaving, ended, or restarted.
    MEMBERSHIP = 3


class TargetRecord(NamedTuple):
    """Recorded state of a target.

    Attributes
    ----------
    state : TargetState
        Newest announcement.
    observed_ms : float
        When the target was last observed, on the monotonic clock.
    updated_ms : float
        When this instance received that observation.
    change_sequence : int
        Sequence of the last announcement that changed more than the time.
    direct : bool
        Whether the target announced itself here, not at another instance.
    cold_until_ms : float
        Until when it is cold, as last published.
    """

    state: TargetState
    observed_ms: float
    updated_ms: float
    change_sequence: int
    direct: bool
    cold_until_ms: float = 0.0


class TargetTable:
    """Newest announcement of each target.

    Parameters
    ----------
    lease_ms : int
        How long a target is kept without an announcement or heartbeat.
    """

    def __init__(self, lease_ms: int):
        self.lease_ms = lease_ms
        self.records: dict[str, TargetRecord] = {}

    def update(self, state: TargetState, now_ms: float, direct: bool = True) -> Change:
        """Record an announcement; return what it changes besides the time.

        Parameters
        ----------
        state : TargetState
            The announcement.
        now_ms : float
            Time of the monotonic clock.
        direct : bool
            Whether the target announced itself here.
        """
        record = self.records.get(state.target_id)
        observed_ms = now_ms - state.age_ms
        cold_until_ms = observed_ms + state.cold_ms
        if record is None:
            self.records[state.target_id] = TargetRecord(
                state, observed_ms, now_ms, state.sequence, direct, cold_until_ms
            )
            return Change.MEMBERSHIP
        known = record.state
        if not is_newer(state, known):
            return Change.NONE
        state = merge(state, known)
        change = change_between(known, state)
        if change is not Change.MEMBERSHIP and changes_coldness(
            record.cold_until_ms, cold_until_ms, observed_ms
        ):
            change = Change.COLDNESS
        sequence = state.sequence if change else record.change_sequence
        if not change:
            cold_until_ms = record.cold_until_ms
        self.records[state.target_id] = TargetRecord(
            state, observed_ms, now_ms, sequence, direct, cold_until_ms
        )
        return change

    def record_heartbeat(self, heartbeat: TargetBeat, now_ms: float) -> bool:
        """Record a heartbeat that another instance observed.

        Return whether the announcement behind it is known here.
        """
        record = self.records.get(heartbeat.target_id)
        if record is None or not includes(record.state, heartbeat):
            return False
        observed_ms = now_ms - heartbeat.age_ms
        if observed_ms > record.observed_ms and not record.state.gone:
            self.records[heartbeat.target_id] = record._replace(
                observed_ms=observed_ms, updated_ms=now_ms, direct=False
            )
        return True

    def heartbeats(
        self, now_ms: float, since_ms: float, direct_only: bool = False
    ) -> Iterator[TargetBeat]:
        """Yield a heartbeat of each target that was observed after `since_ms`.

        Parameters
        ----------
        now_ms : float
            Time of the monotonic clock.
        since_ms : float
            Time of the previous call.
        direct_only : bool
            Leave out what other instances forwarded, since they send it to each other.
            The end of a target is not left out: the one that forwarded it may have
            ended before it reached all.
        """
        for record in self.records.values():
            repeats = record.state.gone and now_ms - record.observed_ms < GONE_REPEAT_MS
            if record.updated_ms <= since_ms and not repeats:
                continue
            if direct_only and not (record.direct or repeats):
                continue
            yield heartbeat_of(record, now_ms)

    def mark_gone(self, target_id: str, now_ms: float) -> TargetState:
        """Record that a target has left for good; return its state."""
        known = self.records.get(target_id)
        state = known.state if known is not None else TargetState(target_id)
        state = state._replace(gone=True, leaving=True, age_ms=0)
        self.records[target_id] = TargetRecord(
            state, now_ms, now_ms, state.sequence, True
        )
        return state

    def sweep(self, now_ms: float) -> None:
        """Drop targets that were not observed for too long."""
        for target_id, record in tuple(self.records.items()):
            kept_ms = GONE_RETENTION_MS if record.state.gone else self.lease_ms
            if now_ms - record.observed_ms > kept_ms:
                del self.records[target_id]

    def states(
        self, now_ms: float, target_ids: Iterable[str] | None = None
    ) -> Iterator[TargetState]:
        """Yield the recorded state of some targets, or of all, with its age."""
        for target_id in self.records if target_ids is None else target_ids:
            record = self.records.get(target_id)
            if record is not None:
                age_ms = max(0, int(now_ms - record.observed_ms))
                cold_ms = max(0, int(record.cold_until_ms - record.observed_ms))
                yield record.state._replace(age_ms=age_ms, cold_ms=cold_ms)


def heartbeat_of(record: TargetRecord, now_ms: float) -> TargetBeat:
    """Return the heartbeat of a target, with the sequence of its last change."""
    state = record.state
    age_ms = max(0, int(now_ms - record.observed_ms))
    return TargetBeat(
        state.target_id, state.started_ms, record.change_sequence, state.gone, age_ms
    )


def includes(known: TargetState, heartbeat: TargetBeat) -> bool:
    """Return whether a recorded state includes the announcement behind a heartbeat."""
    if known.started_ms != heartbeat.started_ms:
        return known.started_ms > heartbeat.started_ms
    if known.gone or heartbeat.gone:
        return known.gone
    return known.sequence >= heartbeat.sequence


def is_newer(state: TargetState, known: TargetState) -> bool:
    """Return whether an announcement is newer than the recorded state.

    A later incarnation supersedes everything before it: a target that was leaving or
    gone is back, and its sequence starts anew. An announcement of the same incarnation
    with another service or address was sent by another process. A message that a target
    is gone has no incarnation, and refers to the recorded one.
    """
    if state.gone and not state.started_ms:
        return not known.gone
    if state.started_ms != known.started_ms:
        return state.started_ms > known.started_ms
    if known.gone or not is_same_endpoint(state, known):
        return False
    return state.gone or state.sequence > known.sequence


def merge(state: TargetState, known: TargetState) -> TargetState:
    """Merge a newer announcement of a target with its recorded state."""
    if state.gone and not state.started_ms:
        return known._replace(gone=True, leaving=True, age_ms=state.age_ms)
    if state.started_ms != known.started_ms:
        return state
    return state._replace(leaving=state.leaving or known.leaving)


def is_same_endpoint(state: TargetState, known: TargetState) -> bool:
    """Return whether service and address match the recorded ones or are missing."""
    if not state.address or not known.address:
        return True
    return (state.service, state.address) == (known.service, known.address)


def change_between(known: TargetState, state: TargetState) -> Change:
    """Return the kind of change between two states of a target."""
    if membership(state) != membership(known):
        return Change.MEMBERSHIP
    if (state.slots, state.version) != (known.slots, known.version):
        return Change.STATE
    return Change.NONE


def changes_coldness(
    published_until_ms: float, until_ms: float, observed_ms: float
) -> bool:
    """Return whether a target is cold until another time than was published.

    Parameters
    ----------
    published_until_ms, until_ms : float
        Until when it is cold: as published, and as announced now.
    observed_ms : float
        When it announced that.
    """
    if max(published_until_ms, until_ms) <= observed_ms:
        return False
    return abs(until_ms - published_until_ms) > COLD_TOLERANCE_MS


def membership(state: TargetState) -> tuple[object, ...]:
    """Return the fields that define a target's membership in its service."""
    return (
        state.started_ms,
        state.service,
        state.address,
        state.failure_domain,
        state.leaving,
        state.gone,
    )
