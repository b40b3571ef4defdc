"""Parses the signals that targets report in their response headers."""

import math
import re
from email.utils import parsedate_to_datetime

from multidict import CIMultiDict, CIMultiDictProxy

from wisteriapulley.platform import names
from wisteriapulley.policy.advertised_rate import AdvertisedRate
from wisteriapulley.policy.response_signals import (
    RequestedCooldown,
    ResponseSignals,
    TargetLoad,
)

HttpHeaders = CIMultiDict[str] | CIMultiDictProxy[str]

COUNT = re.compile(r"[0-9]{1,9}")
DECIMAL = re.compile(r"[0-9]+(\.[0-9]*)?|\.[0-9]+")
# Longer cool-downs are cut to this one: a longer one is more likely a mistake than
# intended, and a target that intends it requests it again.
MAX_COOLDOWN_S = 86_400.0
# Longest time that a target may state to be cold, as in heartbeats.
MAX_COLD_S = 3600.0


def parse_signals(status: int, headers: HttpHeaders) -> ResponseSignals:
    """Return all signals that a response reports about its target.

    Parameters
    ----------
    status : int
        HTTP status of the response.
    headers : multidict
        Headers of the response.
    """
    load, invalid_load = parse_load(headers.get(names.LOAD, ""))
    return ResponseSignals(
        load,
        parse_rate(headers.getall(names.RATE_LIMIT, [])),
        parse_cooldown(status, headers),
        names.LEAVING_VALUE in headers.getall(names.LEAVING, []),
        cold_s=parse_cold(headers.getall(names.COLD_MS, [])),
        invalid_load=invalid_load,
    )


def parse_load(text: str) -> tuple[TargetLoad | None, str]:
    """Return a target's load, and the text if some of it is invalid.

    A target reports three counts and, where it shares its machine, its pace; figures
    after these are ignored. Without three valid counts there is no load; without a
    valid pace there is no pace.
    """
    if not text:
        return None, ""
    figures = [figure.strip() for figure in text.split(",")]
    counts = [int(figure) for figure in figures[:3] if COUNT.fullmatch(figure)]
    if len(counts) < 3:
        return None, text
    if len(figures) == 3:
        return TargetLoad(*counts), ""
    pace_text = figures[3]
    if not DECIMAL.fullmatch(pace_text) or not math.isfinite(float(pace_text)):
        return TargetLoad(*counts), text
    return TargetLoad(*counts, float(pace_text)), ""


def parse_rate(texts: list[str]) -> AdvertisedRate:
    """Return a target's advertised rate: the lowest valid one of several."""
    rates, invalid_text = [], ""
    for text in texts:
        if DECIMAL.fullmatch(text) and math.isfinite(float(text)):
            rates.append(float(text))
        else:
            invalid_text = text
    return AdvertisedRate(min(rates, default=None), invalid_text)


def parse_cold(texts: list[str]) -> float | None:
    """Return how many seconds a target stays cold: the longest valid time, or None."""
    times = [
        min(MAX_COLD_S, float(text) / 1000) for text in texts if DECIMAL.fullmatch(text)
    ]
    return max(times, default=None)


def parse_cooldown(status: int, headers: HttpHeaders) -> RequestedCooldown:
    """Return the cool-down that a target requests: the longest one of several.

    Only status 503 describes the target's own state: with other statuses the header
    applies to one request or one account (RFC 9110, 10.2.3; RFC 6585, 4).
    """
    if status != names.UNAVAILABLE_STATUS:
        return RequestedCooldown()
    response_date = headers.get(names.DATE, "")
    cooldowns, invalid_text = [], ""
    for text in headers.getall(names.RETRY_AFTER, []):
        cooldown_s = parse_seconds(text, response_date)
        if cooldown_s is None:
            invalid_text = text
        else:
            cooldowns.append(min(MAX_COOLDOWN_S, cooldown_s))
    return RequestedCooldown(max(cooldowns, default=0.0), invalid_text)


def parse_seconds(text: str, response_date: str) -> float | None:
    """Return a delay in seconds, given as a number or a date; None if invalid.

    A date is relative to the ``Date`` header of the response, so that the clocks of
    the target and of this instance need not agree.

    Parameters
    ----------
    text : str
        Number of seconds or HTTP date.
    response_date : str
        ``Date`` header of the response; empty if it has none.
    """
    if DECIMAL.fullmatch(text):
        return float(text)
    try:
        until = parsedate_to_datetime(text)
        return max(0.0, (until - parsedate_to_datetime(response_date)).total_seconds())
    except (TypeError, ValueError, IndexError, OverflowError):
        return None
