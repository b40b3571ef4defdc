"""Seeds that failed before, each with the cause of its failure."""

from typing import NamedTuple

from soak.callers import CALLERS_PER_ENTRY


class Regression(NamedTuple):
    """A seed, the fault time it was run with in seconds, and why it failed.

    `calm` tells whether only planned operations and pauses were drawn, and `callers`
    how many callers each entry had.
    """

    seed: int
    seconds: float
    cause: str
    calm: bool = False
    callers: int = CALLERS_PER_ENTRY


REGRESSIONS = (
    Regression(
        1924131696, 30.0, "exit status -15, not 0, for a stop signal during the imports"
    ),
    Regression(
        1174528048,
        30.0,
        "the soak test corrupted logs in a way that no disk does: two instances"
        " stopped with LOG_DAMAGED",
    ),
    Regression(
        2018774583,
        20.0,
        "exit status -15 for a stop signal before the program's first line; the soak"
        " test tore a log twice while its instance was down, as no disk does:"
        " LOG_DAMAGED",
    ),
    Regression(
        425507962,
        20.0,
        "exit status -15 for a stop signal before the program's first line",
    ),
    Regression(
        1401761072,
        15.0,
        "an engine that restarted within one report interval was treated as leaving"
        " forever and never loaded weights",
    ),
    Regression(
        1399332020,
        12.0,
        "exit status -15 for a stop signal soon after the start of a process",
    ),
    Regression(1184179776, 15.0, "a restarted engine was treated as leaving, as above"),
    Regression(2, 8.0, "the fake engine failed after it had recorded an execution"),
    Regression(
        101,
        15.0,
        "a stream was cut after its engine had stood still for 1.6 s, since no other"
        " one was free",
        calm=True,
    ),
    Regression(
        102, 15.0, "a request whose target stood still for 2 s got 502", calm=True
    ),
    Regression(
        103,
        15.0,
        "an engine that stood still when the grace period of its version of the weights"
        " ended started a request on it afterwards",
        calm=True,
    ),
    Regression(
        104,
        15.0,
        "502 after an engine had stood still for 1.6 s, and after one stood still when"
        " requests could no longer start on its version of the weights",
        calm=True,
    ),
    Regression(
        2094945565,
        20.0,
        "an engine that left and restarted between two reports, with a load in"
        " preparation, was treated as leaving forever",
    ),
    Regression(
        659643124,
        20.0,
        "the soak test took a cool-down for known to an entry that had closed the"
        " connection before",
    ),
    Regression(
        28,
        12.0,
        "requests began on a version of the weights after its end, which moved on with"
        " each of sixteen names",
        calm=True,
    ),
    Regression(
        5,
        12.0,
        "of the largest tenth of the prompts 0.08 were served, of all 0.38: the prefill"
        " of short ones left them no time",
        calm=True,
        callers=60,
    ),
    Regression(
        2007,
        12.0,
        "a request that an engine had read before it stood still began after the end of"
        " its version of the weights",
        calm=True,
    ),
)
