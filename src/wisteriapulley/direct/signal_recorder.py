"""Records the signals about targets in their responses to any request."""

import asyncio
import logging
from collections.abc import Callable

from wisteriapulley.direct.registry import Target
from wisteriapulley.logs import fields
from wisteriapulley.policy.response_signals import ResponseSignals

log = logging.getLogger(__name__)

# Characters of a header value that a log line shows at most.
MAX_LOGGED_CHARS = 40


class SignalRecorder:
    """Records the signals in the responses of all targets of an entry.

    Parameters
    ----------
    report_rate : callable
        Called with a target and the time when the target advertises or withdraws a
        rate.
    """

    def __init__(self, report_rate: Callable[[Target, float], None]):
        self.report_rate = report_rate

    def record(self, target: Target, signals: ResponseSignals, sent_s: float) -> None:
        """Record the signals in a response of a target, and log what changed."""
        now_s = asyncio.get_running_loop().time()
        previous_per_s = target.rate.per_s
        changes = target.record_signals(signals, sent_s, now_s)
        if changes.rate or changes.cold:
            self.report_rate(target, now_s)
        if changes.cold:
            log.info(
                "target states that it is cold",
                extra=fields(target=target.target_id, cold_s=signals.cold_s),
            )
        if target.rate.per_s != previous_per_s:
            log.info(
                "target states a rate",
                extra=fields(target=target.target_id, per_s=target.rate.per_s),
            )
        if changes.cooldown:
            log.info(
                "target asks for rest",
                extra=fields(target=target.target_id, rest_s=signals.cooldown.seconds),
            )
        if changes.leaving:
            log.info("target says it leaves", extra=fields(target=target.target_id))
        self.log_invalid(target, signals)

    def log_invalid(self, target: Target, signals: ResponseSignals) -> None:
        """Log signals that can't be parsed, once per target."""
        if target.load.is_first_invalid(signals):
            log.warning(
                "cannot parse load",
                extra=fields(
                    target=target.target_id,
                    expected="running, waiting and slots, and the pace in percent",
                    got=signals.invalid_load[:MAX_LOGGED_CHARS],
                    taken=signals.load,
                ),
            )
        if target.rate.is_first_invalid(signals.rate):
            log.warning(
                "cannot parse advertised rate",
                extra=fields(
                    target=target.target_id,
                    expected="a decimal number of requests per second",
                    got=signals.rate.invalid_text[:MAX_LOGGED_CHARS],
                    kept_per_s=target.rate.per_s,
                ),
            )
        if target.cooldown.is_first_invalid(signals.cooldown):
            log.warning(
                "cannot parse requested cool-down",
                extra=fields(
                    target=target.target_id,
                    expected="a decimal number of seconds, or a date",
                    got=signals.cooldown.invalid_text[:MAX_LOGGED_CHARS],
                    taken_s=signals.cooldown.seconds,
                ),
            )
