"""Keeps requests to a cold engine within the bound, for its sidecar."""

import asyncio
import logging
from collections.abc import Callable

from wisteriapulley.direct.registry import Target
from wisteriapulley.direct.settings import RolloutSettings
from wisteriapulley.logs import fields
from wisteriapulley.policy.cold_start import ColdBound, ColdTarget
from wisteriapulley.rollout.engine import EngineReport
from wisteriapulley.wire import messages

log = logging.getLogger(__name__)


class ColdEngine:
    """Whether the engine of a sidecar is cold, from all that is said about it.

    Parameters
    ----------
    settings : RolloutSettings
        Bound on requests to a cold target.
    on_change : callable
        Called when the engine turned cold or warm.

    Attributes
    ----------
    target : ColdTarget or None
        The engine; None while its service states no rate of a cold target.
    silent_since_s : float or None
        When the engine first did not answer; None while it answers.
    was_away : bool
        Whether its process was not there at some time since then.
    was_cold : bool
        Whether it was cold when last checked.
    holds_weights : bool
        Whether it held weights by its last report. Without weights it gets no
        requests from anyone.
    """

    def __init__(self, settings: RolloutSettings, on_change: Callable[[], None]):
        self.settings = settings
        self.on_change = on_change
        self.target: ColdTarget | None = None
        self.silent_since_s: float | None = None
        self.was_away = False
        self.was_cold = False
        self.holds_weights = True

    def now_s(self) -> float:
        """Return the loop's clock."""
        return asyncio.get_running_loop().time()

    def limit_of(self, incarnation: str) -> ColdTarget | None:
        """Return the engine's cold limit, whichever incarnation an entry knows.

        An engine may restart under its id and address, so a request that is meant for
        the earlier incarnation reaches it.
        """
        return self.target

    def set_limits(self, start_s: float, per_s: float) -> None:
        """Apply what the service states about cold targets."""
        settings = self.settings
        bound = ColdBound.from_limits(
            start_s, per_s, settings.cold_overshoot, settings.cold_slack
        )
        now_s = self.now_s()
        if bound is None:
            self.target = None
        elif self.target is None:
            self.target = ColdTarget(bound, now_s)
            self.count_requests(now_s)
        else:
            self.target.set_bound(bound, now_s)

    def count_requests(self, now_s: float) -> None:
        """Forget the requests of the last second if there can be none."""
        if not self.holds_weights:
            self.target.record_idle(now_s)

    # -- what is said about the engine -----------------------------------

    def observe_report(self, report: EngineReport) -> None:
        """Record an answer of the engine itself."""
        now_s = self.now_s()
        silent_since_s, self.silent_since_s = self.silent_since_s, None
        was_away, self.was_away = self.was_away, False
        self.holds_weights = bool(report.versions)
        if self.target is None:
            return
        self.count_requests(now_s)
        self.target.record_alive(report.started_ms, now_s)
        if silent_since_s is not None and (was_away or not report.started_ms):
            self.target.record_return(silent_since_s, now_s)
        if report.cold_s is not None:
            self.target.observe(report.started_ms, report.cold_s, now_s)
        self.check()

    def observe_silence(self, was_away: bool = True) -> None:
        """Record that the engine did not answer.

        Parameters
        ----------
        was_away : bool
            Whether its process was not there. One that is only silent may stand still,
            and is as warm as before if the same incarnation goes on.
        """
        if self.silent_since_s is None:
            self.silent_since_s = self.now_s()
        self.was_away |= was_away

    def observe_announcement(self, announced: Target | None) -> None:
        """Record what the engine announced to control instances, if it did."""
        if self.target is None or announced is None:
            return
        stated_s = announced.cold_stated_s
        remaining_s = announced.cold_until_s - stated_s
        self.target.observe(announced.state.started_ms, remaining_s, stated_s)
        self.check()

    def observe_entry(self, message: messages.TargetRate) -> None:
        """Record what an entry read in a response of the engine."""
        if self.target is None or not message.cold_ms:
            return
        started = message.target.rpartition("/")[2]
        started_ms = int(started) if started.isdecimal() else 0
        self.target.observe(started_ms, message.cold_ms / 1000, self.now_s())
        self.check()

    # -- changes ---------------------------------------------------------

    def check(self) -> None:
        """Report and log that the engine turned cold or warm."""
        now_s = self.now_s()
        is_cold = self.target is not None and self.target.is_cold(now_s)
        if is_cold == self.was_cold:
            return
        self.was_cold = is_cold
        if is_cold:
            cold_s = round(self.target.until_s - now_s, 3)
            log.info(
                "engine is cold",
                extra=fields(cold_s=cold_s, per_s=round(self.target.bound.rate, 3)),
            )
        else:
            log.info("engine is warm", extra=fields())
        self.on_change()
