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
MOST_REST_S = 86_400.0


def parse_statements(status: int, headers: HttpHeaders) -> ResponseSignals:
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
        parse_rate(headers.getall(names.RATE, [])),
        parse_rest(status, headers),
        names.IS_LEAVING in headers.getall(names.LEAVING, []),
    )


def parse_load(text: str) -> TargetLoad | None:
    """Read a target's load; None where it tells none that can be read."""
    with contextlib.suppress(ValueError):
        running, waiting, slots = map(int, text.split(","))
        return TargetLoad(running, waiting, slots)
    return None


def parse_rate(texts: list[str]) -> AdvertisedRate:
    """Read a target's stated rate; of several the lowest one that can be read."""
    rates, unreadable = [], ""
    for text in texts:
        if DECIMAL.fullmatch(text) and math.isfinite(float(text)):
            rates.append(float(text))
        else:
            unreadable = text
    return AdvertisedRate(min(rates, default=None), unreadable)


def parse_rest(status: int, headers: HttpHeaders) -> RequestedCooldown:
    """Read the rest that a target asks for; of several the longest one.

    Only a refusal for the target's own state counts: with other statuses the header
    speaks of one request or one account (RFC 9110, 10.2.3; RFC 6585, 4).
    """
    if status != names.UNAVAILABLE_STATUS:
        return RequestedCooldown()
    answered = headers.get(names.DATE, "")
    rests, unreadable = [], ""
    for text in headers.getall(names.REST, []):
        rest_s = parse_seconds(text, answered)
        if rest_s is None:
            unreadable = text
        else:
            rests.append(min(MOST_REST_S, rest_s))
    return RequestedCooldown(max(rests, default=0.0), unreadable)


def parse_seconds(text: str, answered: str) -> float | None:
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
        return max(0.0, (until - parsedate_to_datetime(answered)).total_seconds())
    except (TypeError, ValueError, IndexError, OverflowError):
        return None
