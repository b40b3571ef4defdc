"""Request mixes of deployments, from their specifications."""

import math
import random
from typing import NamedTuple

from wisteriapulley.routing import Engine

# Engine parameters of the first two deployments, and of the one with three priorities.
ENGINE = Engine("model", 16, 5, 9.27, 0.0232, 20.7, 16, 64, 32768)
GEBEYA_ENGINE = Engine("model", 12, 7, 7.4, 0.0232, 31.9, 16, 96, 24576)


class RequestKind(NamedTuple):
    """One kind of request.

    Attributes
    ----------
    name : str
        Name of the kind.
    relative_rate : float
        Rate relative to the other kinds.
    prompt, events : float
        Mean prompt tokens, and mean events of an answer.
    prompt_spread, event_spread : float
        Standard deviations of their logarithms.
    objective_ms : float
        Objective for the first event.
    worth, late_worth : float
        Worth of an answer in time, and of a late one.
    priority : int
        Lower is more urgent.
    """

    name: str
    relative_rate: float
    prompt: float
    events: float
    prompt_spread: float
    event_spread: float
    objective_ms: float
    worth: float
    late_worth: float
    priority: int = 1


class RequestMix(NamedTuple):
    """Request kinds of one deployment.

    Attributes
    ----------
    kinds : tuple of RequestKind
        The kinds.
    per_s : float
        Requests per second at the peak.
    engine : Engine
        Parameters of its engines.
    """

    kinds: tuple[RequestKind, ...]
    per_s: float
    engine: Engine = ENGINE


MIXES = {
    "trinacria": RequestMix(
        (
            RequestKind("perizia", 30.8, 1290, 20.3, 1.0, 0.89, 500, 2.4, 0.6),
            RequestKind("scheda-lotto", 23.4, 787, 20.3, 1.0, 0.69, 400, 2.0, 0.49),
            RequestKind("sintesi-offerte", 21.7, 607, 13.9, 0.96, 0.9, 400, 1.5, 0.37),
        ),
        75.9,
    ),
    "lettercraft": RequestMix(
        (
            RequestKind("summarise", 41.1, 1290, 20.3, 1.0, 0.89, 500, 2.4, 0.6),
            RequestKind("addrdraft", 31.1, 787, 20.3, 1.0, 0.69, 400, 2.0, 0.49),
            RequestKind("postcheck", 29.0, 607, 13.9, 0.96, 0.9, 400, 1.5, 0.37),
        ),
        101.2,
    ),
    "gebeya": RequestMix(
        (
            RequestKind("full-quote", 112, 1330, 18, 1.0, 0.8, 406, 3.6, 0.36, 0),
            RequestKind("tariff-summary", 135, 827, 18, 1.0, 0.7, 406, 1.7, 0.42, 1),
            RequestKind("overnight-status", 86.9, 647, 10, 1.0, 0.8, 805, 0.55, 0.2, 2),
        ),
        333.9,
        GEBEYA_ENGINE,
    ),
    # Long prompts and short answers: engines lack time for prefill, not slots.
    "prompts": RequestMix(
        (
            RequestKind("report", 40, 2400, 6, 1.0, 0.7, 800, 2.4, 0.6),
            RequestKind("note", 40, 1200, 6, 1.0, 0.7, 800, 1.5, 0.4),
        ),
        60.0,
    ),
}
# Longest answer, in events, and longest prompt, as a multiple of the mean.
MAX_EVENTS = 50
MAX_PROMPT_FACTOR = 3.0


def draw_log_normal(
    rng: random.Random, mean: float, spread: float, maximum: float
) -> float:
    """Draw from a log-normal distribution of this mean, limited to `maximum`."""
    return min(maximum, rng.lognormvariate(math.log(mean) - spread**2 / 2, spread))


def draw_sizes(rng: random.Random, kind: RequestKind) -> tuple[int, int]:
    """Draw the prompt tokens and the events of one request."""
    prompt = draw_log_normal(
        rng, kind.prompt, kind.prompt_spread, kind.prompt * MAX_PROMPT_FACTOR
    )
    events = draw_log_normal(rng, kind.events, kind.event_spread, MAX_EVENTS)
    return max(1, int(prompt)), max(1, round(events))
