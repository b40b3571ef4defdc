"""Read request bodies with limits on size, time and total memory."""

import asyncio

from aiohttp import web

from wisteriapulley.errors import RequestError, ResultCode

# A body must arrive within this time, or a slow sender could hold memory and a
# connection for as long as it likes.
BODY_READ_TIMEOUT_S = 30.0
# Memory for the bodies of all requests in progress. Together with links and code it
# stays well below the memory of an entry instance. The 11 requests a second that an
# entry is designed for need far less.
MAX_BUFFERED_BYTES = 64 << 20
RETRY_AFTER_MS = 1000


class BodyBudget:
    """Counts the bytes of all request bodies that this entry holds."""

    def __init__(self, max_bytes: int = MAX_BUFFERED_BYTES):
        self.max_bytes = max_bytes
        self.reserved = 0

    def reserve(self, size: int) -> None:
        """Reserve `size` bytes.

        Raises
        ------
        RequestError
            OVERLOADED: the bodies in progress would exceed the limit.
        """
        if self.reserved + size > self.max_bytes:
            raise RequestError(
                ResultCode.OVERLOADED,
                "the buffer for request bodies is full",
                RETRY_AFTER_MS,
            )
        self.reserved += size


class BufferedBody:
    """Body of one request; its bytes count against the budget until `release`."""

    def __init__(self, budget: BodyBudget, max_bytes: int):
        self.budget = budget
        self.max_bytes = max_bytes
        self.size = 0

    async def read(self, request: web.Request) -> bytes:
        """Read the complete body.

        Raises
        ------
        RequestError
            BODY_TOO_LARGE, OVERLOADED, or REQUEST_MALFORMED if the body arrived too
            slowly or was cut off.
        """
        if (request.content_length or 0) > self.max_bytes:
            raise self.too_large_error()
        try:
            async with asyncio.timeout(BODY_READ_TIMEOUT_S):
                return b"".join([part async for part in self.read_parts(request)])
        except TimeoutError as error:
            raise RequestError(
                ResultCode.REQUEST_MALFORMED,
                f"body: expected it complete within {BODY_READ_TIMEOUT_S} s",
            ) from error
        except (web.RequestPayloadError, ValueError) as error:
            raise RequestError(
                ResultCode.REQUEST_MALFORMED, f"body: {error}"
            ) from error

    async def read_parts(self, request: web.Request):
        """Yield the parts of the body as they arrive."""
        async for part in request.content.iter_any():
            if self.size + len(part) > self.max_bytes:
                raise self.too_large_error()
            self.budget.reserve(len(part))
            self.size += len(part)
            yield part

    def too_large_error(self) -> RequestError:
        """Return the error of a body that is too large."""
        return RequestError(
            ResultCode.BODY_TOO_LARGE, f"body: expected at most {self.max_bytes} bytes"
        )

    def release(self) -> None:
        """Return the body's bytes to the budget."""
        self.budget.reserved -= self.size
        self.size = 0
