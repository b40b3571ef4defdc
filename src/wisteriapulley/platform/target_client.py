"""HTTP client for targets."""

import asyncio
from collections.abc import AsyncIterator

import aiohttp
from multidict import CIMultiDict
from yarl import URL

from wisteriapulley.direct.types import (
    BrokenAnswerError,
    CallerRequest,
    Headers,
    NoTimeLeftError,
    NotSentError,
    OversizedAnswerError,
    SendPlan,
)
from wisteriapulley.error_text import describe_error
from wisteriapulley.http_client import is_bodiless, is_unframed
from wisteriapulley.platform import names
from wisteriapulley.platform.http import (
    HttpClient,
    ResponseLimitError,
    TimeLimitPassedError,
)
from wisteriapulley.platform.signal_parsing import parse_signals

CONNECT_ERRORS = (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError)

# Largest part of a body that is handled without a turn for other tasks.
MAX_PART_BYTES = 64 << 10


class HttpTargetClient:
    """Sends requests to targets in the platform's HTTP format."""

    def __init__(self, http: HttpClient):
        self.http = http

    async def send(self, request: CallerRequest, plan: SendPlan) -> "HttpTargetAnswer":
        """Send a request; see `direct.types.TargetClient`."""
        session = self.http.session(plan.fresh_connection)
        try:
            response = await session.request(
                request.method,
                URL(f"http://{plan.address}{request.target}", encoded=True),
                headers=request_headers(request, plan),
                data=request.body or None,
                allow_redirects=False,
            )
        except CONNECT_ERRORS as error:
            raise NotSentError(str(error)) from error
        except TimeLimitPassedError as error:
            raise NoTimeLeftError(str(error)) from error
        except ResponseLimitError as error:
            raise oversized(error) from error
        except (aiohttp.ClientError, OSError, ValueError) as error:
            raise BrokenAnswerError(describe_error(error)) from error
        answer = HttpTargetAnswer(response)
        if not answer.matches_request(request.request_id):
            answer.close()
            raise BrokenAnswerError("response names another request")
        return answer


class HttpTargetAnswer:
    """A response whose head has arrived; see `direct.types.TargetAnswer`."""

    def __init__(self, response: aiohttp.ClientResponse):
        self.response = response
        self.status = response.status
        self.headers = forwarded_headers(response)
        self.length = None if is_bodiless(response) else response.content_length
        self.unframed = is_unframed(response)
        not_run = response.headers.get(names.NOT_RUN, "")
        self.other_instance = response.status == names.MISDIRECTED_STATUS
        self.not_run = bool(not_run) or self.other_instance
        self.signals = parse_signals(response.status, response.headers)

    def matches_request(self, request_id: str) -> bool:
        """Return whether the response names the request; rejections may omit it."""
        echoed = self.response.headers.get(names.REQUEST_ID)
        return echoed == request_id or (echoed is None and self.not_run)

    async def parts(self) -> AsyncIterator[bytes]:
        """Yield the body as it arrives, in parts that take the loop a short time each.

        Reading what has arrived already does not suspend, so a fast target would leave
        no other task a turn.
        """
        try:
            async for data in self.response.content.iter_any():
                for at in range(0, len(data), MAX_PART_BYTES):
                    yield data[at : at + MAX_PART_BYTES]
                    await asyncio.sleep(0)
        except ResponseLimitError as error:
            raise oversized(error) from error
        except (aiohttp.ClientError, OSError) as error:
            raise BrokenAnswerError(describe_error(error)) from error

    def close(self) -> None:
        """Keep the connection if the response was read completely, else close it."""
        self.response.close()


def oversized(error: ResponseLimitError) -> OversizedAnswerError:
    """Return the product's form of an error."""
    return OversizedAnswerError(error.part, error.size, error.max_size)


def request_headers(request: CallerRequest, plan: SendPlan) -> CIMultiDict:
    """Return the headers of a request to a target."""
    headers = CIMultiDict(request.headers)
    headers[names.DEADLINE_MS] = str(int(plan.remaining_s * 1000))
    headers[names.EXPECTED_TARGET] = plan.target_id
    if plan.account:
        headers[names.ACCOUNT] = plan.account
    if plan.version:
        headers[names.EXPECTED_VERSION] = str(plan.version)
    if plan.resume_after:
        headers[names.LAST_EVENT] = plan.resume_after
    return headers


def forwarded_headers(response: aiohttp.ClientResponse) -> Headers:
    """Return the headers to forward to the caller."""
    return tuple(
        (name.decode("latin-1"), value.decode("latin-1"))
        for name, value in response.raw_headers
        if name.decode("latin-1").lower() not in names.CONNECTION_HEADERS
    )
