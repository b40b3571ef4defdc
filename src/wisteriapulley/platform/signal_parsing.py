"""Reads what targets say of themselves in the heads of their answers."""

import contextlib
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

DECIMAL = re.compile(r"[0-9]+(\.[0-9]*)?|\.[0-9]+")
# A longer rest counts as this one, in seconds: what is that far away is more likely
# a mistake than a plan, and a target that means it says so again.
MAX_COOLDOWN_S = 86_400.0


def parse_signals(status: int, headers: HttpHeaders) -> ResponseSignals:
    """Read all that an answer says of its target.

    Parameters
    ----------
    status : int
        HTTP status of the answer.
    headers : multidict
        Its headers.
    """
    return ResponseSignals(
        parse_load(headers.get(names.LOAD, "")),
        parse_rate(headers.getall(names.RATE_LIMIT, [])),
        parse_cooldown(status, headers),
        names.LEAVING_VALUE in headers.getall(names.LEAVING, []),
    )


def parse_load(text: str) -> TargetLoad | None:
    """Read a target's load; None where it tells none that can be read."""
    with contextlib.suppress(ValueError):
        running, waiting, slots = map(int, text.split(","))
        return TargetLoad(running, waiting, slots)
    return None


def parse_rate(texts: list[str]) -> AdvertisedRate:
    """Read a target's stated rate; of several the lowest one that can be read."""
    rates, invalid_text = [], ""
    for text in texts:
        if DECIMAL.fullmatch(text) and math.isfinite(float(text)):
            rates.append(float(text))
        else:
            invalid_text = text
    return AdvertisedRate(min(rates, default=None), invalid_text)


def parse_cooldown(status: int, headers: HttpHeaders) -> RequestedCooldown:
    """Read the rest that a target asks for; of several the longest one.

    Only a refusal for the target's own state counts: with other statuses the header
    speaks of one request or one account (RFC 9110, 10.2.3; RFC 6585, 4).
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
    """Read a time as seconds or as a date; None where it is neither.

    A date counts from the answer's own, so that the target's clock need not agree
    with that of this instance.

    Parameters
    ----------
    text : str
        The time.
    answered : str
        Date of the answer; empty where it bears none.
    """
    if DECIMAL.fullmatch(text):
        return float(text)
    try:
        until = parsedate_to_datetime(text)
        return max(0.0, (until - parsedate_to_datetime(response_date)).total_seconds())
    except (TypeError, ValueError, IndexError, OverflowError):
        return None
