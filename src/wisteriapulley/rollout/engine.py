"""What a sidecar asks of the engine beside it, whatever it speaks."""

from enum import Enum
from typing import NamedTuple, Protocol

from wisteriapulley.policy.statements import KnownRest


class EngineReport(NamedTuple):
    """State of an engine.

    Attributes
    ----------
    versions : dict
        Version of the weights by model, where all layers are held.
    busy : bool
        Whether an order is in progress.
    running, waiting : int
        Requests.
    started_ms : int
        Unix time of its start; 0 where it does not say.
    leaving : bool
        Whether it is about to end.
    """

    versions: dict[str, int]
    busy: bool = False
    running: int = 0
    waiting: int = 0
    started_ms: int = 0
    leaving: bool = False

    def after(self, earlier: "EngineReport") -> "EngineReport":
        """Return this report with what an earlier one of the same start settled.

        An engine that starts again holds no weights, whether or not it says when it
        started.
        """
        same_start = self.started_ms == earlier.started_ms and bool(self.versions)
        leaving = self.leaving or (earlier.leaving and same_start)
        return self._replace(leaving=leaving)


class OrderOutcome(Enum):
    """Answer to an order."""

    BEGUN = "begun"
    DONE = "done"
    REFUSED = "refused"


class EngineClient(Protocol):
    """The engine; every call raises WeightsError when it does not answer.

    Attributes
    ----------
    rest : KnownRest
        Time for which it wants no calls; none is made meanwhile.
    """

    rest: KnownRest

    async def report(self) -> EngineReport:
        """Return its state."""

    async def staged(self, model: str) -> set[int]:
        """Return which pieces lie there for a model."""

    async def staged_piece(self, model: str, position: int) -> bytes | None:
        """Return a piece that lies there, or None."""

    async def stage(self, model: str, position: int, data: bytes) -> None:
        """Put a piece there, in place of any other."""

    async def load(self, model: str, version: int) -> OrderOutcome:
        """Order it to load what lies there, after what is running."""
