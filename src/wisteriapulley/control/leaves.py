"""Which control instances know that a target leaves. Pure, soft state.

A leave that one instance alone knows is lost with it, and a target that has left does
not repeat it. So a leave is acknowledged only once a majority of the voters knows it.
"""

from collections.abc import Iterable, Set
from typing import NamedTuple

from wisteriapulley.control.targets import TargetTable
from wisteriapulley.wire.messages import TargetState


class Leave(NamedTuple):
    """The leave of one incarnation of a target.

    Attributes
    ----------
    target_id : str
        The target.
    started_ms : int
        Identifies its incarnation; see `TargetState`.
    gone : bool
        Whether it has left for good, and not only announced that it will.
    """

    target_id: str
    started_ms: int
    gone: bool


class KnownLeaves:
    """Which other instances know of the leaves in a target table.

    Parameters
    ----------
    targets : TargetTable
        The targets that this instance knows.

    Attributes
    ----------
    known_by : dict of Leave to set of str
        Node ids of the other instances that know of a leave.
    """

    def __init__(self, targets: TargetTable):
        self.targets = targets
        self.known_by: dict[Leave, set[str]] = {}

    def leave_of(self, target_id: str) -> Leave | None:
        """Return the leave that is recorded for a target, or None."""
        record = self.targets.records.get(target_id)
        if record is None or not (record.state.leaving or record.state.gone):
            return None
        return Leave(target_id, record.state.started_ms, record.state.gone)

    def observe(self, states: Iterable[TargetState], peer: str) -> None:
        """Record what another instance told, after it was merged into the table."""
        for state in states:
            leave = self.leave_of(state.target_id)
            if leave is not None and includes_leave(state, leave):
                self.known_by.setdefault(leave, set()).add(peer)

    def knowers(self, leave: Leave) -> Set[str]:
        """Return the node ids of the other instances that know of a leave."""
        return self.known_by.get(leave, frozenset())

    def sweep(self) -> None:
        """Forget leaves that are no longer recorded in the table."""
        for leave in tuple(self.known_by):
            if self.leave_of(leave.target_id) != leave:
                del self.known_by[leave]


def includes_leave(told: TargetState, leave: Leave) -> bool:
    """Return whether an instance that tells this state knows of a leave.

    An instance that knows a later incarnation uses the earlier one no more.
    """
    if leave.started_ms and told.started_ms != leave.started_ms:
        return told.started_ms > leave.started_ms
    return told.gone or (told.leaving and not leave.gone)
