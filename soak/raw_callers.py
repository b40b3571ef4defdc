"""Callers that send in parts and behind one another, and use connections to the end."""

import asyncio
import contextlib
import time

from tests.fakes.raw_caller import CLOSED, RawCaller, Request

from soak.callers import (
    HOST,
    LONG_STREAMS,
    REQUEST_KINDS,
    REQUEST_TIMEOUT_S,
    EntryCaller,
    RequestKind,
    request_headers,
)
from soak.invariants import InvariantChecker, RequestResult

RAW_CALLERS_PER_ENTRY = 4
STREAMING_CALLERS_PER_ENTRY = 8
# A body that makes a request of several parts.
BODY_BYTES = 400
PART_PAUSE_S = 0.3
MAX_THINK_TIME_S = 0.15
POLL_INTERVAL_S = 0.01
# Requests behind one another, and the time in which all but these have a response.
MAX_PENDING = 4
STUCK_S = 3 * REQUEST_TIMEOUT_S


class PipeliningCaller(EntryCaller):
    """Sends on one connection at a time, until that is closed.

    It connects to the process itself, as a relay would hide how a connection ends.
    """

    prefix = "raw"
    request_kinds = REQUEST_KINDS
    max_pending = MAX_PENDING
    max_think_time_s = MAX_THINK_TIME_S

    def __init__(self, name: str, entry: str, address: str, checker: InvariantChecker):
        super().__init__(name, entry, address, checker)
        self.recorded = 0
        self.kinds: dict[str, RequestKind] = {}

    async def run(self) -> None:
        """Use one connection after the other until cancelled."""
        while True:
            connection = RawCaller(*self.address.split(":"))
            with contextlib.suppress(OSError):
                await connection.open()
                try:
                    await self.use(connection)
                finally:
                    connection.writer.transport.abort()
            await asyncio.sleep(self.rng.uniform(0.0, MAX_THINK_TIME_S))

    async def use(self, connection: RawCaller) -> None:
        """Send until a connection is closed, whatever its responses announce."""
        self.recorded = 0
        while connection.is_open:
            await self.send_some(connection)
            try:
                async with asyncio.timeout(STUCK_S):
                    await self.wait_for_responses(connection)
            except TimeoutError:
                self.record_unanswered(connection, True)
                return
        await connection.wait_for_end()
        self.record(connection)
        # If the first response was cut, no other could follow.
        was_read = connection.end == CLOSED and not connection.received
        self.record_unanswered(connection, was_read)

    async def wait_for_responses(self, connection: RawCaller) -> None:
        """Wait for a short time, and until not too many requests are pending."""
        next_s = time.monotonic() + self.rng.uniform(0.0, self.max_think_time_s)
        while connection.is_open and (
            time.monotonic() < next_s
            or len(connection.begun) - self.recorded > self.max_pending
        ):
            await asyncio.sleep(POLL_INTERVAL_S)
            self.record(connection)

    async def send_some(self, connection: RawCaller) -> None:
        """Send one request in parts, or several in one write."""
        count = self.rng.randint(1, 3)
        if self.rng.random() < 0.5:
            connection.send(*(self.draw_request() for _ in range(count)))
        else:
            await connection.send_in_parts(
                self.draw_request(),
                count,
                lambda: asyncio.sleep(self.rng.uniform(0.0, PART_PAUSE_S)),
            )

    def draw_request(self) -> Request:
        """Return one more request, as it is sent."""
        kind = self.rng.choice(self.request_kinds)
        sent = self.new_request(kind, self.rng, BODY_BYTES)
        request_id, body = sent.request_id, sent.body
        self.kinds[request_id] = kind
        headers = {**request_headers(sent), "Content-Length": len(body)}
        lines = [f"{kind.method} {kind.path} HTTP/1.1", f"Host: {HOST}"]
        lines += (f"{name}: {value}" for name, value in headers.items())
        return Request(request_id, "\r\n".join(lines).encode() + b"\r\n\r\n" + body)

    def record(self, connection: RawCaller) -> None:
        """Record the responses that are not recorded yet."""
        for response in connection.responses[self.recorded :]:
            request_id = connection.begun[self.recorded]
            self.recorded += 1
            correct = response.body == self.kinds[request_id].expected_body(request_id)
            self.status_counts[response.status] += 1
            self.checker.check_counts["read"] += 1
            self.checker.record_result(
                RequestResult(request_id, response.at_s, response.status, True, correct)
            )

    def record_unanswered(self, connection: RawCaller, was_read: bool) -> None:
        """Record the requests that were sent whole and have no response."""
        now_s = time.monotonic()
        for request_id in connection.unanswered:
            self.status_counts[0] += 1
            result = RequestResult(request_id, now_s, 0, False, False)
            self.checker.record_unanswered(result, was_read)


class StreamingCaller(PipeliningCaller):
    """Sends one long stream after the other, the next as soon as one has ended.

    Only a rejection makes it wait.
    """

    prefix = "long"
    request_kinds = LONG_STREAMS
    max_pending = 0
    max_think_time_s = 0.0
    recovery_requests = 2

    async def send_some(self, connection: RawCaller) -> None:
        """Send one stream."""
        if connection.statuses and connection.statuses[-1] != 200:
            await asyncio.sleep(self.rng.uniform(0.0, MAX_THINK_TIME_S))
        connection.send(self.draw_request())
