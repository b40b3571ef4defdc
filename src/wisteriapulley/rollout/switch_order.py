"""When an engine switches to a newer version of its weights. Pure.

All engines of a service finish downloading a newer version at about the same time,
and an engine that is ordered to load it accepts no new requests until its running
ones have ended. Without an order, many engines would be idle at the same time. So
they switch one after the other, spread over the time between the end of the download
and the end of the superseded version's grace period. Engines of one failure domain are
far apart in this order.
"""

from collections.abc import Iterable
from typing import NamedTuple

from wisteriapulley.policy.version_end import PAUSE_ALLOWANCE_MS

# Time for an order to load to reach an engine before admission ends there.
ORDER_MARGIN_MS = 250.0
# The last engine switches this long before the superseded version's grace period ends.
# It grants no more slots on that version then, and what it runs ends meanwhile, so the
# switches are spread over as much time as possible.
SWITCH_MARGIN_MS = PAUSE_ALLOWANCE_MS + ORDER_MARGIN_MS
# Fraction from which on a download counts as advanced. To finish it takes less than
# half of the time that a superseded version may serve.
ADVANCED_DOWNLOAD_FRACTION = 0.3
# An engine finishes a superseded version if it can serve it for at least this long.
# A load and the requests that it delays cost some tenths of a second.
MIN_SERVICE_MS = 1000.0
# An engine that leaves a superseded version to others finishes it nevertheless if it
# serves this many times longer than the newer version is delayed.
SERVICE_PER_DELAY = 3.0
# Once a control instance holds this fraction of the newer version, its pieces arrive
# as fast as an engine's link can receive them.
AVAILABLE_FRACTION = 0.5


class SwitchRank(NamedTuple):
    """Position of an engine in the switch order: `rank` of `count`, from 0."""

    rank: int
    count: int

    @property
    def fraction(self) -> float:
        """Position in the order, from 0 (first) to 1 (last)."""
        return self.rank / max(1, self.count - 1)


class DownloadOutlook(NamedTuple):
    """What becomes of a download whose version has been superseded.

    Attributes
    ----------
    ready_ms : float
        Time until the version is loaded.
    left_ms : float
        How long requests may still start on it.
    stalled : bool
        Whether no pieces arrive.
    has_given_up : bool
        Whether the engine has given up a download since it last held the newest
        version.
    """

    ready_ms: float
    left_ms: float
    stalled: bool = False
    has_given_up: bool = False

    @property
    def service_ms(self) -> float:
        """How long the version can serve once it is loaded."""
        return self.left_ms - self.ready_ms


def switch_rank(address: str, engines: Iterable[tuple[str, str]]) -> SwitchRank:
    """Return the position of the engine at `address` in the switch order.

    Parameters
    ----------
    address : str
        Address of the engine.
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
    ordered = [other for _, _, other in order]
    if address not in ordered:
        return SwitchRank(0, 1)
    return SwitchRank(ordered.index(address), len(ordered))


def finishes_superseded(
    rank: SwitchRank,
    done_fraction: float,
    older_fraction: float,
    newer_fraction: float,
    outlook: DownloadOutlook,
) -> bool:
    """Return whether to finish the download of a version that has been superseded.

    A second version may be accepted while all engines download the first, and the
    origin may be unreachable at that moment. If all engines started over, none would
    hold either version when the version that they serve expires. So an advanced
    download continues until the newer version is available, and the first half of
    the engines finishes it in any case and serves it meanwhile.

    When versions follow faster than one is downloaded, an engine that started over
    with each of them would never hold one. So once it has given up a download, it
    finishes the next one that arrives completely and that it can serve for a while.

    Control instances do likewise with their fetches. Once one holds pieces of the newer
    version, those of the older one that it lacks never arrive.

    Parameters
    ----------
    rank : SwitchRank
        Position of the engine.
    done_fraction : float
        Fraction of the download that is done.
    older_fraction : float
        Fraction of the superseded version that a control instance holds.
    newer_fraction : float
        Fraction of the newer version that a control instance holds.
    outlook : DownloadOutlook
        When the superseded version is ready, and how long it may serve.
    """
    is_fetched = outlook.has_given_up and not (newer_fraction or outlook.stalled)
    if older_fraction < 1 and not is_fetched:
        return False
    if not done_fraction or outlook.service_ms < MIN_SERVICE_MS:
        return False
    if outlook.has_given_up or newer_fraction < AVAILABLE_FRACTION:
        return True
    if done_fraction < ADVANCED_DOWNLOAD_FRACTION:
        return False
    worthwhile = outlook.service_ms >= SERVICE_PER_DELAY * outlook.ready_ms
    return rank.fraction < 0.5 or worthwhile


def switch_due_ms(rank: SwitchRank, download_ms: float, old_version_ms: float) -> float:
    """Return when to switch, in milliseconds after the version was accepted.

    Parameters
    ----------
    rank : SwitchRank
        Position of the engine.
    download_ms : float
        Duration of a download.
    old_version_ms : float
        How long the superseded version may serve.
    """
    last_ms = old_version_ms - SWITCH_MARGIN_MS
    first_ms = min(download_ms, last_ms)
    return first_ms + (last_ms - first_ms) * rank.fraction
