"""Adapters to the target: a model engine, or a plain service.

To support another engine, add an adapter with the same methods.
"""

import asyncio
from typing import NamedTuple

import aiohttp
import msgspec

from wisteriapulley.bounded_body import MAX_ERROR_BYTES, read_bounded
from wisteriapulley.error_text import describe_error
from wisteriapulley.errors import ResultCode, WeightsError

ORDER_TIMEOUT_S = 600.0
STATE_TIMEOUT_S = 2.0
# Interval at which the engine's state is polled while an order is pending, and number
# of consecutive polls without a load in progress after which the order counts as lost.
ORDER_POLL_INTERVAL_S = 1.0
MAX_IDLE_POLLS = 3
HTTP_CONFLICT = 409
# Maximum size of a state or of the response to an order, which hold a few short fields.
MAX_ANSWER_BYTES = 64 << 10
# Maximum length of an engine's reason in an error.
MAX_REASON_CHARACTERS = 500


class EngineState(msgspec.Struct, frozen=True):
    """State that an engine reports; `running` and `waiting` lag behind."""

    version: str = ""
    state: str = ""
    fencing: int = 0
    running: int = 0
    waiting: int = 0
    detail: str = ""


class LoadOrder(NamedTuple):
    """Order to load a version from a base URL, as sent to the engine."""

    version: str
    source_url: str
    fencing: int
    role: str


class OrderRefusedError(WeightsError):
    """The engine refused a load order, or can't have received it."""


class ModelEngine:
    """Adapter to an engine that loads versions on order.

    Parameters
    ----------
    session : aiohttp.ClientSession
        Shared HTTP client.
    base_url : str
        Base URL of the engine's HTTP interface.
    fences : bool
        Whether the engine rejects an order with an old fencing number, and reports
        the highest number that it has accepted.

    Attributes
    ----------
    unanswered : LoadOrder or None
        Order with the highest fencing number that got no response. The engine may
        still execute it until it has accepted a higher number.
    """

    def __init__(
        self, session: aiohttp.ClientSession, base_url: str, fences: bool = True
    ):
        self.session = session
        self.base_url = base_url.rstrip("/")
        self.fences = fences
        self.order_count = 0
        self.unanswered: LoadOrder | None = None

    async def state(self) -> EngineState:
        """Return the state that the engine reports.

        Raises
        ------
        WeightsError
            TARGET_FAILED: the engine does not answer.
        """
        try:
            async with asyncio.timeout(STATE_TIMEOUT_S):
                url = f"{self.base_url}/control/state"
                async with self.session.get(url) as response:
                    body = await read_bounded(response, MAX_ANSWER_BYTES)
            state = msgspec.json.decode(body, type=EngineState)
        except (aiohttp.ClientError, OSError, TimeoutError, msgspec.MsgspecError) as e:
            raise WeightsError(
                ResultCode.TARGET_FAILED, f"{url}: {describe_error(e)}"
            ) from e
        if self.unanswered is not None and is_settled(self.unanswered, state):
            self.unanswered = None
        return state

    async def verify(self, version: str, order_count: int) -> None:
        """Check, after the last byte of an answer, that one version generated it.

        An engine that rejects old orders changes its version only after the gate has
        drained it. Any other engine may have executed a stale order during the
        answer, and may even be back at the right version since then. So the number
        of load orders must be the same as before the answer, too.

        Raises
        ------
        WeightsError
            ENGINE_WRONG_DIGEST: the answer must not count as complete.
        """
        if self.fences:
            return
        state = await self.state()
        if state.version != version or self.order_count != order_count:
            raise WeightsError(
                ResultCode.ENGINE_WRONG_DIGEST,
                f"the response began with version {version}, but the engine now"
                f" reports {state.version!r}",
            )

    async def load(self, order: LoadOrder) -> None:
        """Order a load and wait until the engine reports that it is done.

        Raises
        ------
        WeightsError
            ENGINE_FENCED, or ENGINE_LOAD_FAILED with the engine's reason.
        """
        self.order_count += 1
        earlier = self.unanswered
        if self.fences:
            self.unanswered = order
        post_task = asyncio.get_running_loop().create_task(self.post_order(order))
        try:
            await self.watch_order(order, post_task)
            self.unanswered = None
        except OrderRefusedError:
            self.unanswered = earlier
            raise
        finally:
            post_task.cancel()

    async def watch_order(self, order: LoadOrder, post_task: asyncio.Task) -> None:
        """Wait for the response to an order, or for the state that it requests.

        The connection of the order may stall for good while the engine continues, so
        the state is polled on other connections.
        """
        idle_polls = 0
        while idle_polls < MAX_IDLE_POLLS:
            done, _ = await asyncio.wait({post_task}, timeout=ORDER_POLL_INTERVAL_S)
            if done:
                return post_task.result()
            try:
                state = await self.state()
            except WeightsError:
                continue
            if has_executed(order, state, self.fences):
                return None
            idle_polls = 0 if state.state == "loading" else idle_polls + 1
        raise WeightsError(
            ResultCode.ENGINE_LOAD_FAILED,
            "the load order got no response, and the engine reports the state"
            f" {state.state!r}",
        )

    async def post_order(self, order: LoadOrder) -> None:
        """Send an order and read the engine's response.

        Raises
        ------
        OrderRefusedError
            The engine will not execute this order.
        WeightsError
            There is no response.
        """
        url = f"{self.base_url}/control/load"
        try:
            async with asyncio.timeout(ORDER_TIMEOUT_S):
                async with self.session.post(url, json=order._asdict()) as response:
                    body = await read_bounded(response, MAX_ANSWER_BYTES)
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            is_sent = not isinstance(error, aiohttp.ClientConnectorError)
            error_type = WeightsError if is_sent else OrderRefusedError
            raise error_type(
                ResultCode.ENGINE_LOAD_FAILED, f"{url}: {describe_error(error)}"
            ) from error
        text = body.decode(errors="replace")[:MAX_REASON_CHARACTERS]
        if response.status == HTTP_CONFLICT:
            raise OrderRefusedError(ResultCode.ENGINE_FENCED, text)
        if response.status >= 300:
            raise OrderRefusedError(ResultCode.ENGINE_LOAD_FAILED, text)

    async def cancel(self, request_id: str) -> bool:
        """Cancel a request at the engine; return whether it will not run any more.

        An engine that does not respond may still start or continue the request. One
        that refuses connections has ended, and its requests with it.
        """
        url = f"{self.base_url}/control/cancel"
        try:
            async with asyncio.timeout(STATE_TIMEOUT_S):
                async with self.session.post(url, json={"request_id": request_id}):
                    return True
        except aiohttp.ClientConnectorError as error:
            return isinstance(error.os_error, ConnectionRefusedError)
        except (aiohttp.ClientError, OSError, TimeoutError):
            return False


class PlainService:
    """Adapter to a service without weights; its version is always empty."""

    def __init__(
        self, session: aiohttp.ClientSession, base_url: str, fences: bool = True
    ):
        self.session = session
        self.base_url = base_url.rstrip("/")
        self.order_count = 0
        self.unanswered = None

    async def verify(self, version: str, order_count: int) -> None:
        """Do nothing: the service has no weights that could change."""

    async def state(self) -> EngineState:
        """Return the state "open" if the service responds to a health check.

        Raises
        ------
        WeightsError
            TARGET_FAILED: the service does not respond.
        """
        url = f"{self.base_url}/health"
        try:
            async with asyncio.timeout(STATE_TIMEOUT_S):
                async with self.session.get(url) as response:
                    await read_bounded(response, MAX_ERROR_BYTES)
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            raise WeightsError(
                ResultCode.TARGET_FAILED, f"{url}: {describe_error(error)}"
            ) from error
        return EngineState(state="open")

    async def cancel(self, request_id: str) -> bool:
        """Return True: a plain service is cancelled by closing its connection."""
        return True


def has_executed(order: LoadOrder, state: EngineState, fences: bool) -> bool:
    """Return whether an engine holds the ordered version because of this order.

    It may have held the version before. One that fences has then read the order only
    if it reports the order's number.
    """
    holds = state.version == order.version and state.state == "open"
    return holds and (not fences or state.fencing >= order.fencing)


def is_settled(order: LoadOrder, state: EngineState) -> bool:
    """Return whether an engine that fences will not execute an order any more."""
    return state.fencing > order.fencing or has_executed(order, state, True)
