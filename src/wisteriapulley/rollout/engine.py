"""What a sidecar requires of the engine beside it, independent of its protocol."""

from enum import Enum
from typing import NamedTuple, Protocol

from wisteriapulley.errors import WeightsError
from wisteriapulley.policy.response_signals import CooldownTracker


class EngineSilentError(WeightsError):
    """The engine did not answer: it may stand still, or lack a free connection.

    It may also have received the call, and handle it when it goes on.
    """


class EngineReport(NamedTuple):
    """State of an engine.

    Attributes
    ----------
    versions : dict
        Version of the weights by model, for models of which all layers are held.
    busy : bool
        Whether an order is in progress.
    running, waiting : int
        Number of requests.
    started_ms : int
        Unix time at which it started; 0 if not reported.
    leaving : bool
        Whether it is about to stop.
    cold_s : float or None
        How much longer it is cold; None if it states nothing.
    pace : float
        Time that work takes now, as a multiple of the usual time; 0 if not reported.
    sequence : int or None
        Number of orders that it accepted; None if not reported.
    """

    versions: dict[str, int]
    busy: bool = False
    running: int = 0
    waiting: int = 0
    started_ms: int = 0
    leaving: bool = False
    cold_s: float | None = None
    pace: float = 0.0
    sequence: int | None = None

    def merged_with(self, earlier: "EngineReport") -> "EngineReport":
        """Return this report, with `leaving` kept from an earlier one if it applies.

        An engine that announced that it leaves stays leaving until it starts again.
        A restarted engine holds no weights, whether or not it reports when it started.
        """
        same_incarnation = self.started_ms == earlier.started_ms and bool(self.versions)
        leaving = self.leaving or (earlier.leaving and same_incarnation)
        return self._replace(leaving=leaving)


class OrderOutcome(Enum):
    """Response to an order to load; an order without one may have begun."""

    STARTED = "begun"
    DONE = "done"
    REFUSED = "refused"
    UNANSWERED = "unanswered"


class EngineClient(Protocol):
    """Client of the engine; calls raise WeightsError when it does not respond.

    The error is an EngineSilentError if the engine's process is there, but silent.

    Attributes
    ----------
    cooldown : CooldownTracker
        Cool-down that the engine requested; no calls are made until it has ended.
    """

    cooldown: CooldownTracker

    async def report(self) -> EngineReport:
        """Return the state of the engine."""

    async def staged(self, model: str) -> set[int]:
        """Return the positions of the staged pieces of a model."""

    async def staged_piece(self, model: str, position: int, size: int) -> bytes | None:
        """Return a staged piece of at most `size` bytes, or None."""

    async def stage(self, model: str, position: int, data: bytes) -> None:
        """Stage a piece; replace any other at its position."""

    async def load(
        self, model: str, version: int, expected: int | None
    ) -> OrderOutcome:
        """Order the engine to load the staged pieces after its running requests.

        It refuses the order if it has accepted another number of orders than
        `expected`, so that an earlier order that arrives late does not begin as well.
        """
