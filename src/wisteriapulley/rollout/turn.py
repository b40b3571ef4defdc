"""When an engine is to change to a newer version. Pure.

Load: all engines of a service hold their copy of a newer version at about the
same time, and an engine that is ordered to load it takes nothing new until what
it runs has ended. Harm prevented: many engines empty at the same time. So they
change one after the other, over all the time between the end of the copy and the
end of the time that the older version has, and neighbours in one failure domain
far apart.
"""

from collections.abc import Iterable
from typing import NamedTuple

# The last engine begins as late as that still lets nothing begin on the older
# version after its time.
LATE_MARGIN_MS = 900.0
# Share of a copy from which finishing it takes less than half of a version's time.
WELL_ON_ITS_WAY = 0.3
# Share of the newer version at a control instance from which its pieces come as
# fast as an engine's link takes them.
TO_BE_HAD = 0.5


class Turn(NamedTuple):
    """An engine's place in the order of change: `rank` of `count`, from 0."""

    rank: int
    count: int

    @property
    def share(self) -> float:
        """How far down the order it stands, from 0 to 1."""
        return self.rank / max(1, self.count - 1)


def turn_of(address: str, engines: Iterable[tuple[str, str]]) -> Turn:
    """Return the place of the engine at `address`.

    Parameters
    ----------
    address : str
        The engine.
    engines : iterable of (str, str)
        Failure domain and address of each engine of the service.
    """
    domains: dict[str, list[str]] = {}
    for domain, other in engines:
        domains.setdefault(domain, []).append(other)
    order = sorted(
        (position, domain, other)
        for domain, others in domains.items()
        for position, other in enumerate(sorted(set(others)))
    )
    places = [other for _, _, other in order]
    if address not in places:
        return Turn(0, 1)
    return Turn(places.index(address), len(places))


def finishes_older(
    turn: Turn, done_share: float, older_share: float, newer_share: float
) -> bool:
    """Tell whether a copy goes on that a newer version has overtaken.

    Load: a second version is named while all engines copy the first, and the
    origin may be away just then. Harm prevented: if all began anew, none would
    hold either of them when the time of what they serve ends. A copy that is well
    on its way goes on until the newer version can be had; the first half of the
    engines finishes it in any case, and serves it meanwhile. But control instances
    fetch the newest version only: what they do not hold of an older one does not come.

    Parameters
    ----------
    turn : Turn
        The engine's place.
    done_share : float
        How much of the copy is done.
    older_share : float
        How much of the copied version a control instance holds.
    newer_share : float
        How much of the newer version a control instance holds.
    """
    if older_share < 1:
        return False
    if done_share < WELL_ON_ITS_WAY:
        return newer_share < TO_BE_HAD and done_share > 0
    return turn.share < 0.5 or newer_share < TO_BE_HAD


def due_ms(turn: Turn, copy_ms: float, old_version_ms: float) -> float:
    """Return when to change, in milliseconds after the version was accepted.

    Parameters
    ----------
    turn : Turn
        The engine's place.
    copy_ms : float
        How long a copy takes.
    old_version_ms : float
        How long the older version may serve.
    """
    last_ms = old_version_ms - LATE_MARGIN_MS
    first_ms = min(copy_ms, last_ms)
    return first_ms + (last_ms - first_ms) * turn.share
