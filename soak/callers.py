"""Callers that reuse connections and check every response."""

import asyncio
import logging
import random
import time
from collections import Counter
from collections.abc import Callable
from typing import NamedTuple

import aiohttp

from soak.invariants import (
    Departure,
    InvariantChecker,
    RequestResult,
    SentRequest,
    is_streaming,
)
from soak.targets import LONG_PATH, expected_plain_body, expected_stream
from wisteriapulley.platform import names

log = logging.getLogger(__name__)

HOST = "soak.example"
KEY = "key-of-the-soak"
CALLERS_PER_ENTRY = 3
# Responses that each caller must get once the faults are over.
RECOVERY_REQUESTS = 20
REQUEST_TIMEOUT_S = 5.0
CONNECT_TIMEOUT_S = 1.0
# How long a caller waits for the first or the next event of a stream, by the objectives
# of its route.
PATIENCE_S = 3.2
THINK_TIME_S = (0.02, 0.15)
# After a rejection a caller retries at the requested time, but not later than this.
MAX_RETRY_WAIT_S = 1.0
# Fraction of requests on a new connection.
NEW_CONNECTION_FRACTION = 0.1

# Tokens of a usual and of the longest prompt, the spread of their logarithm, and tokens
# of each answer.
USUAL_PROMPT, LONGEST_PROMPT = 1800, 9000
PROMPT_SPREAD = 1.0
ANSWER_TOKENS, LONG_ANSWER_TOKENS = 60, 320


class RequestKind(NamedTuple):
    """Kind of request; `expected_body` maps a request id to the only correct body."""

    method: str
    path: str
    idempotent: bool
    max_targets: int
    expected_body: Callable[[str], bytes]
    limit_s: float = float("inf")


REQUEST_KINDS = (
    RequestKind("POST", "/stream/a%2Fb?x=%20y", True, 2, expected_stream),
    RequestKind("POST", "/once/", False, 1, expected_plain_body),
    RequestKind("GET", "/safe/?q=1", True, 2, expected_plain_body),
)
LONG_STREAMS = (RequestKind("POST", LONG_PATH, True, 2, expected_stream, 6.0),)


def draw_prompt_tokens(rng: random.Random) -> int:
    """Draw the size of a prompt."""
    drawn = USUAL_PROMPT * rng.lognormvariate(0.0, PROMPT_SPREAD)
    return max(1, min(LONGEST_PROMPT, int(drawn)))


def request_headers(sent: SentRequest) -> dict[str, str]:
    """Return the headers of a request, without its host and parts of its prompt."""
    is_long = sent.path == LONG_PATH
    limit_s = sent.limit_s if is_long else REQUEST_TIMEOUT_S
    answer_tokens = LONG_ANSWER_TOKENS if is_long else ANSWER_TOKENS
    return {
        names.REQUEST_ID: sent.request_id,
        names.DEADLINE_MS: str(int(limit_s * 1000)),
        names.TOKEN_COUNTS: f"{sent.prompt_tokens},{answer_tokens}",
        "Authorization": f"{names.BEARER_PREFIX}{KEY}",
    }


class ImpatientError(Exception):
    """A caller has left a stream that showed no first or next event in time."""

    def __init__(self, has_event: bool):
        super().__init__(has_event)
        self.has_event = has_event


class EntryCaller:
    """Sends requests to one entry.

    Parameters
    ----------
    name : str
        Unique; prefix of the request ids, and seed of the caller's choices.
    entry : str
        Name of the entry.
    address : str
        Address at which requests are sent.
    checker : InvariantChecker
        Records each request and its result.
    """

    recovery_requests = RECOVERY_REQUESTS

    def __init__(self, name: str, entry: str, address: str, checker: InvariantChecker):
        self.name = name
        self.entry = entry
        self.address = address
        self.checker = checker
        self.rng = random.Random(name)
        self.number = 0
        self.status_counts: Counter[int] = Counter()
        self.task: asyncio.Task | None = None

    def start(self) -> None:
        """Start sending."""
        self.task = asyncio.get_running_loop().create_task(self.run())

    async def stop(self) -> None:
        """Cancel the requests in progress and stop sending."""
        self.task.cancel()
        await asyncio.gather(self.task, return_exceptions=True)

    def new_request(
        self, kind: RequestKind, size_rng: random.Random, body_bytes: int = 0
    ) -> SentRequest:
        """Return one more request, and record that it is sent."""
        self.number += 1
        request_id = f"{self.name}-{self.number}"
        body = b"body of " + request_id.encode() if kind.method == "POST" else b""
        sent = SentRequest(
            request_id,
            self.entry,
            kind.method,
            kind.path,
            body and body.ljust(body_bytes),
            time.monotonic(),
            kind.idempotent,
            kind.max_targets,
            draw_prompt_tokens(size_rng),
            kind.limit_s,
        )
        self.checker.record_sent(sent)
        return sent


class Caller(EntryCaller):
    """Sends requests one at a time."""

    def __init__(self, name: str, entry: str, address: str, checker: InvariantChecker):
        super().__init__(name, entry, address, checker)
        # The other choices of a name do not depend on its prompts.
        self.prompt_rng = random.Random(f"prompts/{name}")
        self.size_rng = random.Random(f"sizes/{name}")
        self.session: aiohttp.ClientSession | None = None

    def start(self) -> None:
        """Start sending."""
        timeout = aiohttp.ClientTimeout(
            total=REQUEST_TIMEOUT_S + 1, sock_connect=CONNECT_TIMEOUT_S
        )
        self.session = aiohttp.ClientSession(timeout=timeout)
        # By default aiohttp resends requests that may already have been executed.
        self.session._retry_connection = False
        super().start()

    async def stop(self) -> None:
        """Cancel the request in progress and stop sending."""
        await super().stop()
        await self.session.close()

    async def run(self) -> None:
        """Send requests until cancelled."""
        while True:
            pause_s = await self.send_request(self.rng.choice(REQUEST_KINDS))
            await asyncio.sleep(pause_s or self.rng.uniform(*THINK_TIME_S))

    async def send_request(self, kind: RequestKind) -> float:
        """Send one request; return how long to wait before a retry, 0 for none."""
        sent = self.new_request(kind, self.size_rng)
        request_id = sent.request_id
        try:
            status, data, retry_s = await self.exchange(sent)
        except ImpatientError as error:
            departure = Departure(request_id, time.monotonic(), error.has_event)
            self.checker.record_departure(departure)
            return 0.0
        correct = data == kind.expected_body(request_id)
        self.checker.record_result(
            RequestResult(
                request_id, time.monotonic(), status, data is not None, correct
            )
        )
        self.status_counts[status if data is not None else 0] += 1
        return min(retry_s, MAX_RETRY_WAIT_S)

    async def exchange(self, sent: SentRequest) -> tuple[int, bytes | None, float]:
        """Send; return status, complete body (None if truncated) and retry time.

        Raises
        ------
        ImpatientError
            The caller has left a stream without a first or next event.
        """
        headers = {"Host": HOST, **request_headers(sent)}
        if is_streaming(sent):
            headers[names.PROMPT_PARTS] = self.checker.crashing_parts.draw_prompt(
                self.prompt_rng, sent.request_id
            )
        if self.rng.random() < NEW_CONNECTION_FRACTION:
            headers["Connection"] = "close"
        url = aiohttp.client.URL(f"http://{self.address}{sent.path}", encoded=True)
        loop = asyncio.get_running_loop()
        patience_s = PATIENCE_S if is_streaming(sent) else None
        status, retry_s, data = 0, 0.0, bytearray()
        try:
            async with (
                asyncio.timeout(patience_s) as limit,
                self.session.request(
                    sent.method, url, data=sent.body or None, headers=headers
                ) as answer,
            ):
                status = answer.status
                retry_s = float(answer.headers.get("Retry-After", 0))
                async for part in answer.content.iter_any():
                    data += part
                    if patience_s is not None:
                        limit.reschedule(loop.time() + patience_s)
                return status, bytes(data), retry_s
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            if limit.expired():
                raise ImpatientError(bool(data)) from None
            log.debug("%s: %r", sent.request_id, error)
            return status, None, retry_s
