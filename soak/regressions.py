"""Seeds that once showed something, each with its cause."""

from typing import NamedTuple


class Regression(NamedTuple):
    """A seed, the length that it was played with, and why it failed."""

    seed: int
    seconds: float
    cause: str


REGRESSIONS = (
    Regression(1924131696, 30.0, "a stop during the imports ended with -15, not 0"),
    Regression(
        1174528048,
        30.0,
        "the soak tore logs as no disk does: two instances stopped with LOG_DAMAGED",
    ),
    Regression(
        2018774583,
        20.0,
        "a stop before the first own line ended with -15; the soak tore a log twice"
        " while its instance was down, as no disk does: LOG_DAMAGED",
    ),
    Regression(425507962, 20.0, "a stop before the first own line ended with -15"),
    Regression(
        1401761072,
        15.0,
        "an engine that started again within a report's time counted as leaving for"
        " ever, so that it never loaded weights",
    ),
    Regression(1184179776, 15.0, "the same engine that counted as leaving"),
    Regression(2, 8.0, "the stand-in engine failed after it had told of a run"),
)
