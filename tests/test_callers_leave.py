"""Callers that leave while their request is at a target."""

import asyncio
import contextlib
import logging
import socket

import msgspec
import pytest
import uvloop

from tests.test_direct_dispatch import events
from tests.test_silent_targets import NEVER_S, Entry, PacedAnswer
from wisteriapulley.direct.types import CallerRequest, Refusal, RefusalKind, SendPlan
from wisteriapulley.platform.documents import WireRoute, to_route
from wisteriapulley.platform.http import HttpClient
from wisteriapulley.platform.target_client import HttpTargetClient

# Callers leave a stream after eight of these pauses without an event.
GAP_MS = 400
LEAVES_S = 3.2
STREAM = to_route(
    msgspec.convert(
        {
            "name": "r",
            "host": "h",
            "path-prefix": "/",
            "kind": "streaming",
            "timeout-ms": 6000,
            "target-latency-ms": 400,
            "target-gap-ms": GAP_MS,
            "service": "s",
            "attempts": 2,
            "stream-resumption": True,
        },
        WireRoute,
    )
)
BODY = b"b" * 1_000_000
MAX_WAIT_S = 10.0


def logged(caplog, message):
    """Return the records of a message."""
    return [record for record in caplog.records if record.getMessage() == message]


class TestGivenUp:
    """What is recorded of a request that is cancelled at a target."""

    @pytest.mark.parametrize(
        ("answer", "begun", "silent_ms"),
        [
            (PacedAnswer(head_s=NEVER_S), "no", 2500),
            (PacedAnswer((0.5, events(1, 1)), (NEVER_S, events(2, 2))), "yes", 2000),
        ],
        ids=["no_event", "events"],
    )
    def test_silence_of_the_target_is_logged(self, caplog, answer, begun, silent_ms):
        caplog.set_level(logging.INFO)
        entry = Entry(answer, targets=1)
        entry.serve(leaves_s=2.5)
        (line,) = logged(caplog, "request given up at target")
        assert (line.request_id, line.target) == ("id", "i-0")
        assert line.silent_ms == pytest.approx(silent_ms, abs=1)
        assert line.sent_ms == line.waited_ms == pytest.approx(2500, abs=1)
        assert entry.dispatcher.metrics.given_up.get({"begun": begun}) == 1

    def test_answered_request_is_not_given_up(self, caplog):
        caplog.set_level(logging.INFO)
        Entry(PacedAnswer((0.5, events(1, 4))), targets=1).serve()
        assert not logged(caplog, "request given up at target")


class TestStreamThatDoesNotBegin:
    """Its target stands still, and sees no connection end until it goes on."""

    def test_caller_is_answered_before_it_leaves(self):
        """Guards against work at a target for a caller that has left."""
        entry = Entry(PacedAnswer(head_s=NEVER_S), targets=1, route=STREAM)
        refusal, ended_s = entry.serve(leaves_s=LEAVES_S)
        assert isinstance(refusal, Refusal), "the caller left without an answer"
        assert refusal.kind is RefusalKind.TIMED_OUT
        assert ended_s < LEAVES_S


class SlowReader:
    """A target that reads the first byte, and the others once it is told to.

    Attributes
    ----------
    received : bytes
        What it has read when the connection has ended.
    """

    def __init__(self):
        self.received = b""
        self.arrived, self.may_read = asyncio.Event(), asyncio.Event()
        self.ended = asyncio.Event()

    async def start(self):
        own = socket.create_server(("127.0.0.1", 0))
        own.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8192)
        self.server = await asyncio.start_server(self.read, sock=own, limit=8192)
        return f"127.0.0.1:{own.getsockname()[1]}"

    async def read(self, reader, writer):
        self.received += await reader.readexactly(1)
        self.arrived.set()
        await self.may_read.wait()
        with contextlib.suppress(ConnectionError):
            while data := await reader.read(65536):
                self.received += data
        writer.close()
        self.ended.set()


class TestRequestStillOnItsWay:
    """Its target reads slowly, and its caller leaves meanwhile."""

    def test_target_never_receives_the_whole_request(self):
        """Guards against a close that first sends all that waits."""

        async def scenario():
            target, http = SlowReader(), HttpClient()
            address = await target.start()
            request = CallerRequest(
                "id", "POST", "/x", "h", "/x", (), BODY, "", 0.0, 6.0
            )
            plan = SendPlan(address, "i-0", "", 6.0)
            sending = asyncio.create_task(HttpTargetClient(http).send(request, plan))
            async with asyncio.timeout(MAX_WAIT_S):
                await target.arrived.wait()
                sending.cancel()
                await asyncio.wait([sending])
                target.may_read.set()
                await target.ended.wait()
            await http.close()
            target.server.close()
            return target.received

        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            received = runner.run(scenario())
        assert len(received) < len(BODY)
