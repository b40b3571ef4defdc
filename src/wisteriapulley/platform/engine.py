"""HTTP client for the engine that a sidecar runs beside."""

import asyncio

import aiohttp
import msgspec

from wisteriapulley.bounded_body import BodyTooLongError, read_bounded
from wisteriapulley.error_text import describe_error
from wisteriapulley.errors import ResultCode, WeightsError
from wisteriapulley.platform import names
from wisteriapulley.platform.http import HttpClient
from wisteriapulley.platform.signal_parsing import parse_signals
from wisteriapulley.policy.response_signals import CooldownTracker, ResponseSignals
from wisteriapulley.rollout.engine import (
    EngineReport,
    EngineSilentError,
    OrderOutcome,
)
from wisteriapulley.settings import Address
from wisteriapulley.weights.pieces import MAX_PIECES

# Time limit of a call: the engine runs on the same instance, so a longer call has hung.
CALL_TIMEOUT_S = 2.0
# Maximum size of a report or an acknowledgment. A report lists the models that an
# engine holds, some hundred bytes each; a sidecar has 128 MB for all that it does.
MAX_ANSWER_BYTES = 64 << 10
# Maximum size of a list of staged pieces: each position has a separator and a space.
MAX_HELD_BYTES = MAX_PIECES * len(f"{MAX_PIECES}, ") + MAX_ANSWER_BYTES
# Higher paces are taken to be mistakes.
MAX_PACE = 1000.0
HTTP_OK = 200
HTTP_ACCEPTED = 202


class AnswerTooLongError(EngineSilentError):
    """The engine sent more than an answer to the call can have."""


class WireModel(msgspec.Struct):
    """A model that the engine holds, and the version of its weights."""

    name: str
    version: int


class WireLayers(msgspec.Struct):
    """Range of layers of one version that the engine holds."""

    # First layer.
    first: int = msgspec.field(name="range-start", default=0)
    # One past the last layer.
    end: int = msgspec.field(name="to", default=0)
    version: int = 0


class WireReport(msgspec.Struct):
    """State that an engine reports."""

    models: list[WireModel] = []
    layers: WireLayers | None = None
    busy: bool = False
    # Number of orders that it accepted since its start.
    sequence: int | None = None
    waiting: int = 0
    running: int = 0
    # Unix time of its start in milliseconds.
    born: int = 0
    # Time of work as a multiple of its usual time. Of any type: a report without a
    # valid one still holds.
    pace: object = 0.0


class WireOrder(msgspec.Struct):
    """An order to load the staged pieces."""

    # "start" loads the staged pieces.
    operation: str
    model: str
    version: int
    # "wait" lets running requests finish first.
    mode: str
    # The engine refuses the order if its sequence is another one.
    expected: int | msgspec.UnsetType = msgspec.UNSET


class WireHeld(msgspec.Struct):
    """Positions of the staged pieces."""

    held: list[int] = []


class HttpEngine:
    """Client of the engine at one address; see `rollout.engine.EngineClient`."""

    def __init__(self, http: HttpClient, address: Address):
        self.http = http
        self.base_url = f"http://{address}"
        self.cooldown = CooldownTracker()

    async def call(
        self, method: str, path: str, **options: object
    ) -> tuple[int, bytes]:
        """Make one call; see `call_with_signals`."""
        status, body, _ = await self.call_with_signals(method, path, **options)
        return status, body

    async def call_with_signals(
        self,
        method: str,
        path: str,
        limit: int = MAX_ANSWER_BYTES,
        **options: object,
    ) -> tuple[int, bytes, ResponseSignals]:
        """Make one call; return status, body and the engine's reported signals.

        Parameters
        ----------
        method, path : str
            Method and path of the call.
        limit : int
            Maximum size of the body of status 200 in bytes.
        **options : object
            Further arguments of `aiohttp.ClientSession.request`.

        Raises
        ------
        WeightsError
            SOURCE_UNAVAILABLE: the engine does not respond, or is in the cool-down
            that it requested.
        EngineSilentError
            SOURCE_UNAVAILABLE: it did not respond in time, or closed the connection.
        AnswerTooLongError
            SOURCE_UNAVAILABLE: it sent more than `limit`.
        """
        loop = asyncio.get_running_loop()
        if self.cooldown.wait_s(loop.time()):
            raise engine_error(path, "in the cool-down that it requested")
        timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
        try:
            async with self.http.pooled.request(
                method, self.base_url + path, timeout=timeout, **options
            ) as response:
                signals = parse_signals(response.status, response.headers)
                self.cooldown.observe(signals.cooldown, loop.time())
                if response.status != HTTP_OK:
                    limit = MAX_ANSWER_BYTES
                body = await read_bounded(response, limit)
                return response.status, body, signals
        except BodyTooLongError as error:
            raise engine_error(path, str(error), AnswerTooLongError) from error
        except TimeoutError as error:
            reason = f"no response within {CALL_TIMEOUT_S} s"
            raise engine_error(path, reason, EngineSilentError) from error
        except (aiohttp.ClientError, OSError, ValueError) as error:
            # Engines reset connections beyond their limit, and close idle ones.
            kind = WeightsError if refuses_connections(error) else EngineSilentError
            raise engine_error(path, describe_error(error), kind) from error

    async def report(self) -> EngineReport:
        """Return the engine's state.

        Raises
        ------
        EngineSilentError
            SOURCE_UNAVAILABLE: it sent no valid report. Its process is there, and its
            weights may be as well.
        """
        path = names.REPORT_CALL
        status, body, signals = await self.call_with_signals("GET", path)
        if status != HTTP_OK:
            raise engine_error(path, f"status {status}")
        try:
            wire = msgspec.json.decode(body, type=WireReport)
        except msgspec.DecodeError as error:
            raise engine_error(path, str(error), EngineSilentError) from error
        return decode_report(wire)._replace(
            leaving=signals.leaving, cold_s=signals.cold_s
        )

    async def staged(self, model: str) -> set[int]:
        """Return the positions of the staged pieces."""
        path = names.STAGED_CALL.format(model=model)
        status, body = await self.call("GET", path, limit=MAX_HELD_BYTES)
        if status != HTTP_OK:
            return set()
        try:
            return set(msgspec.json.decode(body, type=WireHeld).held)
        except msgspec.DecodeError as error:
            raise engine_error(path, str(error)) from error

    async def staged_piece(self, model: str, position: int, size: int) -> bytes | None:
        """Return a staged piece of at most `size` bytes; None if none is staged."""
        path = names.STAGED_CALL.format(model=model)
        path += f"?quantity={position}"
        try:
            status, body = await self.call("GET", path, limit=size)
        except AnswerTooLongError:
            # May be a piece of another version, which has to be replaced.
            return None
        return body if status == HTTP_OK else None

    async def stage(self, model: str, position: int, data: bytes) -> None:
        """Stage a piece."""
        path = names.STAGE_CALL.format(model=model)
        status, _ = await self.call("PUT", f"{path}?quantity={position}", data=data)
        if status >= 300:
            raise engine_error(path, f"status {status}")

    async def load(
        self, model: str, version: int, expected: int | None
    ) -> OrderOutcome:
        """Order the engine to load the staged pieces; see `EngineClient`."""
        order = WireOrder("start", model, version, "wait")
        if expected is not None:
            order.expected = expected
        try:
            status, _ = await self.call(
                "POST",
                names.ORDER_CALL,
                data=msgspec.json.encode(order),
                headers={"Content-Type": "application/json"},
            )
        except EngineSilentError:
            return OrderOutcome.UNANSWERED
        if status == HTTP_ACCEPTED:
            return OrderOutcome.STARTED
        return OrderOutcome.DONE if status == HTTP_OK else OrderOutcome.REFUSED


def refuses_connections(error: Exception) -> bool:
    """Return whether an error shows that the engine's process is not there."""
    os_error = getattr(error, "os_error", error)
    return isinstance(os_error, ConnectionRefusedError)


def decode_report(wire: WireReport) -> EngineReport:
    """Decode a report; an empty range of layers means that no model is held."""
    versions = {model.name: model.version for model in wire.models}
    if wire.layers is not None and wire.layers.end <= wire.layers.first:
        versions = {}
    return EngineReport(
        versions,
        wire.busy,
        wire.running,
        wire.waiting,
        wire.born,
        pace=decode_pace(wire.pace),
        sequence=wire.sequence,
    )


def decode_pace(pace: object) -> float:
    """Return a reported pace; 0 if there is no valid one."""
    valid = isinstance(pace, int | float) and not isinstance(pace, bool)
    return float(pace) if valid and 0 < pace < MAX_PACE else 0.0


def engine_error(
    path: str, reason: str, kind: type[WeightsError] = WeightsError
) -> WeightsError:
    """Return the error for an engine that fails or sends an unexpected response."""
    return kind(ResultCode.SOURCE_UNAVAILABLE, f"engine {path}: {reason}")
