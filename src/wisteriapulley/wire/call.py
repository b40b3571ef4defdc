"""An in-flight request over a link, and the failure that may be its reply."""

import asyncio
from collections.abc import AsyncIterator
from typing import TYPE_CHECKING

from wisteriapulley.errors import ResultCode, WireError, WisteriapulleyError
from wisteriapulley.wire.codec import Frame
from wisteriapulley.wire.messages import Failure

if TYPE_CHECKING:
    from wisteriapulley.wire.link import Link


class Call:
    """An in-flight request and its replies, in order.

    Parameters
    ----------
    link : Link
        Link over which the request was sent.
    id : int
        Frame id of the request, which replies refer to.
    """

    def __init__(self, link: "Link", id: int):
        self.link = link
        self.id = id
        self.replies: asyncio.Queue[Frame | WireError] = asyncio.Queue()

    async def reply(self, timeout_s: float | None = None) -> Frame:
        """Wait for the next reply.

        Raises
        ------
        WireError
            The link closed, or no reply came within `timeout_s`.
        """
        try:
            if timeout_s is None or not self.replies.empty():
                item = await self.replies.get()
            else:
                async with asyncio.timeout(timeout_s):
                    item = await self.replies.get()
        except TimeoutError as error:
            raise WireError(
                ResultCode.LINK_TIMEOUT,
                f"{self.link.peer_id} sent no reply within {timeout_s} s",
            ) from error
        if isinstance(item, WireError):
            raise item
        return item

    async def __aiter__(self) -> AsyncIterator[Frame]:
        """Yield replies until the consumer stops or the link closes."""
        while True:
            yield await self.reply()

    def close(self) -> None:
        """Remove the call; later replies are dropped and counted."""
        self.link.calls.pop(self.id, None)


def raise_failure(frame: Frame) -> None:
    """Raise the error that a `Failure` frame carries; ignore other frames."""
    if isinstance(frame.message, Failure):
        failure = frame.message
        try:
            code = ResultCode(failure.code)
        except ValueError:
            # A code of a newer peer is unknown here. In particular, it must not be
            # read as a promise that the request did not run.
            code = ResultCode.UNEXPECTED_MESSAGE
        raise WisteriapulleyError(code, failure.message, failure.retry_after_ms)
