"""What one answer of a target says of the target itself. Pure."""

from typing import NamedTuple

from wisteriapulley.policy.stated_rate import StatedRate


class TargetLoad(NamedTuple):
    """Load that a target tells with an answer."""

    running: int
    waiting: int
    slots: int


class StatedRest(NamedTuple):
    """For how long a target wants nothing from those that it answers.

    Attributes
    ----------
    seconds : float
        From the answer on; 0 where it asks for no rest.
    unreadable : str
        What stands there that is no time; it changes nothing.
    """

    seconds: float = 0.0
    unreadable: str = ""


class Statements(NamedTuple):
    """All that one answer says of its target.

    Attributes
    ----------
    load : TargetLoad or None
        Its load.
    rate : StatedRate
        Requests that it takes from all entries together.
    rest : StatedRest
        Time for which it wants nothing from this instance.
    leaving : bool
        Whether it is about to end.
    """

    load: TargetLoad | None = None
    rate: StatedRate = StatedRate()
    rest: StatedRest = StatedRest()
    leaving: bool = False
