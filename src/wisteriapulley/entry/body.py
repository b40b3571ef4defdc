"""Reads callers' bodies, bounded in size, time and memory of them all."""

import asyncio

from aiohttp import web

from wisteriapulley.errors import RequestError, ResultCode

# A connection that sends its body slower than this is refused: it would hold
# memory and a place here for as long as it likes.
BODY_READ_TIMEOUT_S = 30.0
# Bodies of all requests in progress; with links and code well under what an
# entry instance has. The 11 requests a second of the design size need far less.
MAX_BUFFERED_BYTES = 64 << 20
RETRY_AFTER_MS = 1000


class BodyBudget:
    """Bytes of the bodies that this entry holds."""

    def __init__(self, max_bytes: int = MAX_BUFFERED_BYTES):
        self.max_bytes = max_bytes
        self.reserved = 0

    def reserve(self, size: int) -> None:
        """Count bytes in.

        Raises
        ------
        RequestError
            OVERLOADED: callers are sending more than this entry can hold.
        """
        if self.reserved + size > self.max_bytes:
            raise RequestError(
                ResultCode.OVERLOADED, "too many bodies are held", RETRY_AFTER_MS
            )
        self.reserved += size


class BufferedBody:
    """One request's body; counts its bytes until `release`."""

    def __init__(self, budget: BodyBudget, max_bytes: int):
        self.budget = budget
        self.max_bytes = max_bytes
        self.size = 0

    async def read(self, request: web.Request) -> bytes:
        """Read the whole body.

        Raises
        ------
        RequestError
            BODY_TOO_LARGE, OVERLOADED, or REQUEST_MALFORMED when it came too
            slowly or broke off.
        """
        if (request.content_length or 0) > self.max_bytes:
            raise self.too_large_error()
        try:
            async with asyncio.timeout(BODY_READ_TIMEOUT_S):
                return b"".join([part async for part in self.read_parts(request)])
        except TimeoutError as error:
            raise RequestError(
                ResultCode.REQUEST_MALFORMED,
                f"body: expected within {BODY_READ_TIMEOUT_S} s",
            ) from error
        except (web.RequestPayloadError, ValueError) as error:
            raise RequestError(
                ResultCode.REQUEST_MALFORMED, f"body: {error}"
            ) from error

    async def read_parts(self, request: web.Request):
        """Yield the parts of the body as they come."""
        async for part in request.content.iter_any():
            if self.size + len(part) > self.max_bytes:
                raise self.too_large_error()
            self.budget.reserve(len(part))
            self.size += len(part)
            yield part

    def too_large_error(self) -> RequestError:
        """Make the error of a body that is too large."""
        return RequestError(
            ResultCode.BODY_TOO_LARGE, f"expected at most {self.max_bytes} bytes"
        )

    def release(self) -> None:
        """Count the bytes out."""
        self.budget.reserved -= self.size
        self.size = 0
