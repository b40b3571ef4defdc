"""Adapters to the target: a model engine, or a plain service.

A different engine is one new adapter with the same methods.
"""

import asyncio
from typing import NamedTuple

import aiohttp
import msgspec

from wisteriapulley.errors import ResultCode, WeightsError

ORDER_TIMEOUT_S = 600.0
STATE_TIMEOUT_S = 2.0
# How often an engine is asked while an order is out, and how often it may say
# that it loads nothing before the order counts as lost.
ORDER_POLL_INTERVAL_S = 1.0
MAX_IDLE_POLLS = 3
HTTP_CONFLICT = 409


class EngineState(msgspec.Struct, frozen=True):
    """What an engine reports of itself; its load lags."""

    version: str = ""
    state: str = ""
    fencing: int = 0
    running: int = 0
    waiting: int = 0
    detail: str = ""


class LoadOrder(NamedTuple):
    """Order to load a version from a base URL."""

    version: str
    source_url: str
    fencing: int
    role: str


class ModelEngine:
    """Engine that loads versions on order.

    Parameters
    ----------
    session : aiohttp.ClientSession
        Shared client.
    base_url : str
        Where the engine answers.
    fences : bool
        Whether it refuses an order with an old fencing number.
    """

    def __init__(
        self, session: aiohttp.ClientSession, base_url: str, fences: bool = True
    ):
        self.session = session
        self.base_url = base_url.rstrip("/")
        self.fences = fences
        self.order_count = 0

    async def state(self) -> EngineState:
        """Ask the engine what it serves.

        Raises
        ------
        WeightsError
            The engine does not answer.
        """
        try:
            async with asyncio.timeout(STATE_TIMEOUT_S):
                url = f"{self.base_url}/control/state"
                async with self.session.get(url) as response:
                    body = await response.read()
            return msgspec.json.decode(body, type=EngineState)
        except (aiohttp.ClientError, OSError, TimeoutError, msgspec.MsgspecError) as e:
            raise WeightsError(ResultCode.TARGET_FAILED, f"{url}: {e!r}") from e

    async def verify(self, version: str, order_count: int) -> None:
        """Make sure, after an answer's last byte, that it has one version.

        An engine that refuses old orders changes only when the gate has drained
        it. Another one may have taken a stale order in mid-answer, and may even
        have been put right again since; so `orders` must be what it was before.

        Raises
        ------
        WeightsError
            ENGINE_WRONG_DIGEST: the answer must not count as whole.
        """
        if self.fences:
            return
        state = await self.state()
        if state.version != version or self.order_count != order_count:
            raise WeightsError(
                ResultCode.ENGINE_WRONG_DIGEST,
                f"answer of {version}, but the engine now reports {state.version!r}",
            )

    async def load(self, order: LoadOrder) -> None:
        """Order a load and wait until the engine says that it is done.

        Raises
        ------
        WeightsError
            ENGINE_FENCED, or ENGINE_LOAD_FAILED with the engine's reason.
        """
        self.order_count += 1
        post_task = asyncio.get_running_loop().create_task(self.post_order(order))
        try:
            await self.watch_order(order, post_task)
        finally:
            post_task.cancel()

    async def watch_order(self, order: LoadOrder, post_task: asyncio.Task) -> None:
        """Wait for the answer of an order, or for the state that it asks for.

        The connection of the order may go silent for good while the engine goes
        on, so its state is asked on other connections meanwhile.
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
            if state.version == order.version and state.state == "open":
                return None
            idle_polls = 0 if state.state == "loading" else idle_polls + 1
        raise WeightsError(
            ResultCode.ENGINE_LOAD_FAILED,
            f"the order got no answer, and the engine is {state.state!r}",
        )

    async def post_order(self, order: LoadOrder) -> None:
        """Send an order and read the engine's answer."""
        url = f"{self.base_url}/control/load"
        try:
            async with asyncio.timeout(ORDER_TIMEOUT_S):
                async with self.session.post(url, json=order._asdict()) as response:
                    text = await response.text()
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            raise WeightsError(
                ResultCode.ENGINE_LOAD_FAILED, f"{url}: {error!r}"
            ) from error
        if response.status == HTTP_CONFLICT:
            raise WeightsError(ResultCode.ENGINE_FENCED, text)
        if response.status >= 300:
            raise WeightsError(ResultCode.ENGINE_LOAD_FAILED, text)

    async def cancel(self, request_id: str) -> None:
        """Take a request off the engine; one that is gone is fine."""
        url = f"{self.base_url}/control/cancel"
        try:
            async with asyncio.timeout(STATE_TIMEOUT_S):
                async with self.session.post(url, json={"request_id": request_id}):
                    pass
        except (aiohttp.ClientError, OSError, TimeoutError):
            return


class PlainService:
    """Service without weights: always of the empty version."""

    def __init__(
        self, session: aiohttp.ClientSession, base_url: str, fences: bool = True
    ):
        self.session = session
        self.base_url = base_url.rstrip("/")
        self.order_count = 0

    async def verify(self, version: str, order_count: int) -> None:
        """Do nothing: it has no weights that could change."""

    async def state(self) -> EngineState:
        """Ask whether the service answers its health page.

        Raises
        ------
        WeightsError
            It does not.
        """
        url = f"{self.base_url}/health"
        try:
            async with asyncio.timeout(STATE_TIMEOUT_S):
                async with self.session.get(url) as response:
                    await response.read()
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            raise WeightsError(ResultCode.TARGET_FAILED, f"{url}: {error!r}") from error
        return EngineState(state="open")

    async def cancel(self, request_id: str) -> None:
        """Do nothing: closing the connection is all a plain service knows."""
