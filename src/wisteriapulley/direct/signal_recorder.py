"""Takes in what targets say of themselves, whatever request they answer."""

import asyncio
import logging
from collections.abc import Callable

from wisteriapulley.direct.registry import Target
from wisteriapulley.logs import fields
from wisteriapulley.policy.response_signals import ResponseSignals

log = logging.getLogger(__name__)

# Characters of a target's text that a log line shows.
MAX_LOGGED_CHARS = 40


class SignalRecorder:
    """Statements of all targets that an entry sends to.

    Parameters
    ----------
    heard_rate : callable
        Called with a target and the time, when it states a rate or none any more.
    """

    def __init__(self, report_rate: Callable[[Target, float], None]):
        self.report_rate = report_rate

    def record(self, target: Target, signals: ResponseSignals, sent_s: float) -> None:
        """Take in what an answer of a target says of it; log what changes."""
        now_s = asyncio.get_running_loop().time()
        known_per_s = target.rate.per_s
        heard = target.record_signals(signals, sent_s, now_s)
        if heard.rate:
            self.report_rate(target, now_s)
        if target.rate.per_s != known_per_s:
            log.info(
                "target states a rate",
                extra=fields(target=target.target_id, per_s=target.rate.per_s),
            )
        if heard.cooldown:
            log.info(
                "target asks for rest",
                extra=fields(target=target.target_id, rest_s=signals.cooldown.seconds),
            )
        if heard.leaving:
            log.info("target says it leaves", extra=fields(target=target.target_id))
        self.log_unreadable(target, signals)

    def log_unreadable(self, target: Target, signals: ResponseSignals) -> None:
        """Log what can't be read, once for each target."""
        if target.rate.is_first_invalid(signals.rate):
            log.warning(
                "rate can't be read",
                extra=fields(
                    target=target.target_id,
                    expected="a decimal number of requests a second",
                    got=signals.rate.invalid_text[:MAX_LOGGED_CHARS],
                    kept_per_s=target.rate.per_s,
                ),
            )
        if target.cooldown.is_first_invalid(signals.cooldown):
            log.warning(
                "rest can't be read",
                extra=fields(
                    target=target.target_id,
                    expected="a decimal number of seconds, or a date",
                    got=signals.cooldown.invalid_text[:MAX_LOGGED_CHARS],
                    taken_s=signals.cooldown.seconds,
                ),
            )
