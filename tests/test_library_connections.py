"""What the connections of callers take from private parts of aiohttp's.

A release of the library that gives these attributes another meaning fails here.
"""

import asyncio

import pytest
import uvloop
from aiohttp import StreamReader, web

from tests.fleet import free_port
from tests.test_calls_at_a_stop import HOST, Caller, until
from wisteriapulley.http_drain import CallerConnection, CallerServer

TEST_TIMEOUT_S = 30.0
BODY = b"body"
REQUEST = b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\n" + BODY


def parts_of(connection):
    """Return the private parts of a connection at this moment."""
    waiter = connection._waiter
    return {
        "waits": None if waiter is None else not waiter.done(),
        "count": connection._request_count,
        "messages": len(connection._messages),
        "in_progress": connection._request_in_progress,
        "has_task": connection._task_handler is not None,
        "closes": (connection._close, connection._force_close),
    }


def state(**parts):
    """Return the expected private parts; the default is an idle connection."""
    idle = {
        "waits": True,
        "count": 0,
        "messages": 0,
        "in_progress": False,
        "has_task": True,
        "closes": (False, False),
    }
    return {**idle, **parts}


class RecordingConnection(CallerConnection):
    """A connection that records its parts.

    Attributes
    ----------
    made, arrived : list of dict
        Parts when the connection was made, and after each arrival of bytes.
    """

    __slots__ = ("arrived", "made")

    def __init__(self, server, **options):
        super().__init__(server, **options)
        self.made = []
        self.arrived = []

    def connection_made(self, transport):
        super().connection_made(transport)
        self.made.append(parts_of(self))

    def data_received(self, data):
        super().data_received(data)
        self.arrived.append(parts_of(self))


class Recorder(CallerServer):
    """A server with one caller, whose connection records its parts."""

    def __init__(self):
        super().__init__(self.respond, None)
        self.handled = 0
        self.may_answer = asyncio.Event()

    def __call__(self):
        return RecordingConnection(self, loop=asyncio.get_running_loop())

    async def respond(self, request):
        self.handled += 1
        await self.may_answer.wait()
        return web.Response()

    async def open(self):
        """Listen, and connect the caller."""
        port = free_port()
        loop = asyncio.get_running_loop()
        self.listener = await loop.create_server(self, HOST, port)
        self.caller = Caller(port)
        await self.caller.connect()
        await until(lambda: self.connections)
        (self.connection,) = self.connections
        await until(lambda: self.now()["waits"])

    def send(self, data):
        self.caller.writer.write(data)

    def now(self):
        return parts_of(self.connection)


@pytest.fixture(params=[asyncio.new_event_loop, uvloop.new_event_loop])
def play(request):
    """Return a function that plays a scenario with a started `Recorder`."""

    async def run_scenario(scenario):
        recorder = Recorder()
        async with asyncio.timeout(TEST_TIMEOUT_S):
            await recorder.open()
            await scenario(recorder)
            recorder.caller.writer.close()
            await until(lambda: not recorder.connections)
            recorder.listener.close()

    def run(scenario):
        with asyncio.Runner(loop_factory=request.param) as runner:
            runner.run(run_scenario(scenario))

    return run


class TestPrivateParts:
    def test_of_a_connection_before_and_while_it_waits(self, play):
        async def scenario(recorder):
            assert recorder.connection.made == [state(waits=None)]
            assert recorder.now() == state()

        play(scenario)

    def test_of_requests_that_are_read_handled_and_answered(self, play):
        async def scenario(recorder):
            recorder.send(REQUEST + REQUEST)
            await until(lambda: recorder.handled)
            assert recorder.connection.arrived == [
                state(waits=False, count=2, messages=2)
            ]
            one_waits = state(waits=None, count=2, messages=1, in_progress=True)
            assert recorder.now() == one_waits
            recorder.may_answer.set()
            await until(lambda: recorder.handled == 2 and recorder.now()["waits"])
            assert recorder.now() == state(count=2)
            assert recorder.connection.is_idle

        play(scenario)

    def test_of_a_body(self, play):
        async def scenario(recorder):
            recorder.send(REQUEST + REQUEST[: -len(BODY)])
            await until(lambda: recorder.handled)
            ((_, body),) = recorder.connection._messages
            assert isinstance(body, StreamReader) and not body.is_eof()
            recorder.send(BODY)
            await until(body.is_eof)
            recorder.may_answer.set()
            await until(lambda: recorder.handled == 2 and recorder.now()["waits"])

        play(scenario)

    def test_of_a_part_of_a_head(self, play):
        async def scenario(recorder):
            recorder.send(REQUEST[:20])
            await until(lambda: recorder.connection.arrived)
            assert recorder.connection.arrived == [state()]

        play(scenario)

    def test_of_a_close_that_drops_what_arrives(self, play):
        """The reason why `close` is not used on connections that have read."""

        async def scenario(recorder):
            recorder.send(REQUEST + REQUEST)
            await until(lambda: recorder.handled)
            recorder.connection.close()
            assert recorder.now()["closes"] == (True, False)
            recorder.send(REQUEST)
            await until(lambda: len(recorder.connection.arrived) == 2)
            assert recorder.connection.arrived[-1]["count"] == 2
            recorder.may_answer.set()
            await recorder.caller.reading
            assert recorder.caller.statuses == [200]

        play(scenario)

    def test_of_a_forced_close(self, play):
        async def scenario(recorder):
            recorder.connection.force_close()
            closed = recorder.now()
            assert closed["closes"] == (False, True) and closed["has_task"]
            await recorder.caller.reading
            await until(lambda: not recorder.now()["has_task"])

        play(scenario)
