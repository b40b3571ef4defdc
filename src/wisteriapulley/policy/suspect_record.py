"""What is known of one suspect. Pure."""

from typing import NamedTuple


class SuspectRecord(NamedTuple):
    """Crash record of one request, or of one part of prompts.

    Attributes
    ----------
    cleared : int
        How often an answer cleared it after targets had ended.
    ended : tuple of str
        What ended under it since then, sorted: incarnations of targets for a request,
        ranked ends for a part.
    at_s : float
        When the last of them ended, on a clock that counts suspensions.
    """

    cleared: int
    ended: tuple[str, ...]
    at_s: float
