"""Targets that announce themselves to control instances; pure soft state.

Each control instance keeps what it heard itself and what its peers passed on.
News of one target are ordered by its start and its own sequence, so it does not
matter which instance heard which, nor in which order they arrive.
"""

from collections.abc import Iterable, Iterator
from enum import IntEnum
from typing import NamedTuple

from wisteriapulley.wire.messages import TargetBeat, TargetState

# A target that left stays known as gone for so long: its late announcements
# must not bring it back. Longer than a delayed heartbeat is seen to take.
GONE_RETENTION_MS = 60_000.0
# For so long after its end others are reminded of it, should they have missed it.
GONE_REPEAT_MS = 5000.0


class Change(IntEnum):
    """What news of a target say that was not known."""

    NONE = 0
    # Its weights or its slots.
    STATE = 1
    # It came, leaves, ended, or started again.
    MEMBERSHIP = 2


class TargetRecord(NamedTuple):
    """News of a target.

    Attributes
    ----------
    state : TargetState
        The newest.
    at_ms : float
        When it was heard, on the monotonic clock.
    learned_ms : float
        When this instance learned that.
    sequence : int
        Of the news with which anything but the time last changed.
    direct : bool
        Whether it announced itself here, not at another instance.
    """

    state: TargetState
    observed_ms: float
    updated_ms: float
    change_sequence: int
    direct: bool


class TargetTable:
    """The newest news of each target.

    Parameters
    ----------
    lease_ms : int
        How long a target stays without news.
    """

    def __init__(self, lease_ms: int):
        self.lease_ms = lease_ms
        self.records: dict[str, TargetRecord] = {}

    def update(self, state: TargetState, now_ms: float, direct: bool = True) -> Change:
        """Take news in; tell what they change beside the time.

        Parameters
        ----------
        state : TargetState
            The news.
        now_ms : float
            The monotonic clock.
        direct : bool
            Whether the target announced itself here.
        """
        heard = self.records.get(state.target_id)
        at_ms = now_ms - state.age_ms
        if heard is None:
            new = TargetRecord(state, at_ms, now_ms, state.sequence, direct)
            self.records[state.target_id] = new
            return Change.MEMBERSHIP
        known = heard.state
        if not is_newer(state, known):
            return Change.NONE
        state = merge(state, known)
        change = change_between(known, state)
        sequence = state.sequence if change else heard.change_sequence
        new = TargetRecord(state, at_ms, now_ms, sequence, direct)
        self.records[state.target_id] = new
        return change

    def record_heartbeat(self, beat: TargetBeat, now_ms: float) -> bool:
        """Take in that another instance heard a target; tell if its news are known."""
        heard = self.records.get(beat.target_id)
        if heard is None or not includes(heard.state, beat):
            return False
        at_ms = now_ms - beat.age_ms
        if at_ms > heard.observed_ms and not heard.state.gone:
            self.records[beat.target_id] = heard._replace(
                observed_ms=at_ms, updated_ms=now_ms, direct=False
            )
        return True

    def heartbeats(
        self, now_ms: float, since_ms: float, direct_only: bool = False
    ) -> Iterator[TargetBeat]:
        """Yield a beat of each target that was heard after `since_ms`.

        Parameters
        ----------
        now_ms : float
            The monotonic clock.
        since_ms : float
            When this was last asked.
        direct_only : bool
            Leave out what other instances told: they tell each other themselves.
        """
        for heard in self.records.values():
            reminds = heard.state.gone and now_ms - heard.observed_ms < GONE_REPEAT_MS
            if heard.updated_ms <= since_ms and not reminds:
                continue
            if direct_only and not heard.direct:
                continue
            yield heartbeat_of(heard, now_ms)

    def mark_gone(self, target_id: str, now_ms: float) -> TargetState:
        """Note that a target leaves for good; return the news of it."""
        known = self.records.get(target_id)
        state = known.state if known is not None else TargetState(target_id)
        state = state._replace(gone=True, leaving=True, age_ms=0)
        self.records[target_id] = TargetRecord(
            state, now_ms, now_ms, state.sequence, True
        )
        return state

    def sweep(self, now_ms: float) -> None:
        """Forget targets that were not heard for too long."""
        for target_id, heard in tuple(self.records.items()):
            kept_ms = GONE_RETENTION_MS if heard.state.gone else self.lease_ms
            if now_ms - heard.observed_ms > kept_ms:
                del self.records[target_id]

    def states(
        self, now_ms: float, target_ids: Iterable[str] | None = None
    ) -> Iterator[TargetState]:
        """Yield what is known of some targets, or of all, with its age."""
        for target_id in self.records if target_ids is None else target_ids:
            heard = self.records.get(target_id)
            if heard is not None:
                age_ms = max(0, int(now_ms - heard.observed_ms))
                yield heard.state._replace(age_ms=age_ms)


def heartbeat_of(record: TargetRecord, now_ms: float) -> TargetBeat:
    """Say that a target was heard, and by which news it is known."""
    state = record.state
    age_ms = max(0, int(now_ms - record.observed_ms))
    return TargetBeat(
        state.target_id, state.started_ms, record.change_sequence, state.gone, age_ms
    )


def includes(known: TargetState, beat: TargetBeat) -> bool:
    """Tell whether what is known of a target includes the news behind a beat."""
    if known.started_ms != beat.started_ms:
        return known.started_ms > beat.started_ms
    if known.gone or beat.gone:
        return known.gone
    return known.sequence >= beat.sequence


def is_newer(state: TargetState, known: TargetState) -> bool:
    """Tell whether news of a target are newer than what is known of it.

    A later start counts more than anything that was said before it: a target that
    was leaving or gone is back, and its sequence begins anew. News of one start
    that name another service or address are not the target's own. The word that a
    target is gone names no start, and means the one that is known.
    """
    if state.gone and not state.started_ms:
        return not known.gone
    if state.started_ms != known.started_ms:
        return state.started_ms > known.started_ms
    if known.gone or not is_same_endpoint(state, known):
        return False
    return state.gone or state.sequence > known.sequence


def merge(state: TargetState, known: TargetState) -> TargetState:
    """Join newer news of a target with what is known of it."""
    if state.gone and not state.started_ms:
        return known._replace(gone=True, leaving=True, age_ms=state.age_ms)
    if state.started_ms != known.started_ms:
        return state
    return state._replace(leaving=state.leaving or known.leaving)


def is_same_endpoint(state: TargetState, known: TargetState) -> bool:
    """Tell whether news name the service and address that are known, or none."""
    if not state.address or not known.address:
        return True
    return (state.service, state.address) == (known.service, known.address)


def change_between(known: TargetState, state: TargetState) -> Change:
    """Tell what a target says but that it still runs."""
    if membership(state) != membership(known):
        return Change.MEMBERSHIP
    if (state.slots, state.version) != (known.slots, known.version):
        return Change.STATE
    return Change.NONE


def membership(state: TargetState) -> tuple[object, ...]:
    """Return what makes a target a member of its service."""
    return (
        state.started_ms,
        state.service,
        state.address,
        state.failure_domain,
        state.leaving,
        state.gone,
    )
