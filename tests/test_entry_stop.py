"""Requests in progress at the end of an entry's drain: each one gets a result."""

import asyncio
import random
import socket
from types import SimpleNamespace

import msgspec
import pytest
import uvloop

from tests.test_entry_service import FakeRun, Harness
from wisteriapulley.entry.dispatch import Dispatcher
from wisteriapulley.entry.placing import Placer
from wisteriapulley.errors import ResultCode
from wisteriapulley.policy import TargetView

TEST_TIMEOUT_S = 30.0
DRAIN_MS = 200
BODY = b"x" * 1000
# How a response that ends is told from one that does not.
LAST_CHUNK = b"\r\n0\r\n\r\n"


async def stop_nothing():
    """Stand in for the end of links that the entry of a test does not have."""


class StoppableHarness(Harness):
    """An entry that can be stopped, without control instances and targets."""

    async def start(self, run):
        await super().start(run)
        service = self.service
        service.settings = msgspec.structs.replace(service.settings, drain_ms=DRAIN_MS)
        service.http = self.http
        service.placer = Placer(FullTargets(), random.Random(1))
        service.sweep_task = asyncio.create_task(stop_nothing())
        service.targets = service.control
        service.control.stop = stop_nothing

    async def in_progress(self, count=1):
        while self.service.running < count:
            await asyncio.sleep(0.001)

    async def send(self, body, version=b"1.1"):
        """Send a request with (a part of) its body; return the connection."""
        address = self.http.address
        reader, writer = await asyncio.open_connection(address.host, address.port)
        writer.write(
            b"POST /services/letters/post HTTP/%b\r\nHost: h.example\r\n"
            b"X-Client-Account: council\r\nContent-Length: %d\r\n\r\n"
            % (version, len(BODY))
        )
        writer.write(body)
        return reader, writer


class FullTargets:
    """One target, without a free slot."""

    def views(self, entry, avoid=(), version=""):
        return [TargetView("t", entry.limits.in_flight, 0, 0)]


@pytest.fixture(params=[asyncio.new_event_loop, uvloop.new_event_loop])
def play(request):
    """Return a function that plays a scenario with an open entry."""

    def run(fake_run, scenario):
        async def main():
            harness = StoppableHarness()
            await harness.start(fake_run)
            try:
                async with asyncio.timeout(TEST_TIMEOUT_S):
                    await scenario(harness)
            finally:
                await harness.stop()

        with asyncio.Runner(loop_factory=request.param) as runner:
            runner.run(main())

    return run


async def code_of(asking):
    """Return the status and the result code of a response."""
    async with asking as answer:
        return answer.status, (await answer.json())["error"]["code"]


class TestRequestAtTheEndOfTheDrain:
    def test_one_that_runs_is_answered(self, play):
        async def run_forever(caller, now_s):
            await asyncio.Event().wait()

        async def scenario(harness):
            asking = asyncio.create_task(code_of(harness.ask()))
            await harness.in_progress()
            await harness.service.stop()
            assert await asking == (502, ResultCode.MAY_HAVE_RUN)
            assert harness.codes() == [ResultCode.MAY_HAVE_RUN]

        play(run_forever, scenario)

    def test_one_whose_body_is_incomplete_is_refused_as_not_run(self, play):
        async def scenario(harness):
            reader, writer = await harness.send(BODY[:-1])
            await harness.in_progress()
            await harness.service.stop()
            answer = await reader.read()
            writer.close()
            assert answer.startswith(b"HTTP/1.1 503 ")
            assert b"X-Result-Code: %d\r\n" % ResultCode.LEAVING in answer
            assert harness.codes() == [ResultCode.LEAVING]

        play(None, scenario)

    def test_one_in_the_queue_is_refused_as_not_run(self, play):
        async def scenario(harness):
            service = harness.service
            dispatcher = Dispatcher(service.placer)
            service.run = lambda caller, now_s: dispatcher.run(caller)
            asking = asyncio.create_task(code_of(harness.ask()))
            await harness.in_progress()
            await service.stop()
            assert await asking == (503, ResultCode.LEAVING)

        play(None, scenario)

    def test_stream_ends_with_an_error_event(self, play):
        fake = FakeRun(asyncio.Event().wait)
        fake.headers = (
            SimpleNamespace(name="Content-Type", value="text/event-stream"),
        )

        async def scenario(harness):
            reader, writer = await harness.send(BODY)
            begun = await reader.readuntil(b"part\r\n")
            await harness.service.stop()
            rest = await reader.read()
            writer.close()
            assert begun.startswith(b"HTTP/1.1 200 ")
            assert b"event: error\n" in rest and LAST_CHUNK not in rest
            assert harness.codes() == [ResultCode.ANSWER_CUT]
            assert fake.abandoned == 1

        play(fake.run, scenario)

    @pytest.mark.parametrize("content_type", ["text/plain", "text/event-stream"])
    def test_whole_response_to_a_slow_caller_is_not_cut(self, play, content_type):
        """All of it was written, and the system sends what it takes of the rest."""
        part = b"y" * 60_000
        fake = FakeRun(stop_nothing)
        fake.headers = (SimpleNamespace(name="Content-Type", value=content_type),)

        async def scenario(harness):
            def limit_buffer():
                (connection,) = harness.http.listener.server.connections
                sock = connection.transport.get_extra_info("socket")
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
                return connection.transport

            async def parts():
                transport.append(limit_buffer())
                yield part

            transport = []
            fake.parts = parts
            sock = socket.socket()
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            sock.setblocking(False)
            address = harness.http.address
            loop = asyncio.get_running_loop()
            await loop.sock_connect(sock, (address.host, address.port))
            reader, writer = await asyncio.open_connection(sock=sock, limit=1024)
            writer.write(
                b"POST /services/letters/post HTTP/1.1\r\nHost: h.example\r\n"
                b"X-Client-Account: council\r\nContent-Length: 0\r\n\r\n"
            )
            await reader.readuntil(b"\r\n\r\n")
            assert transport[0].get_write_buffer_size()
            await harness.service.stop()
            left = transport[0].get_write_buffer_size()
            assert left == 0
            rest = await reader.read()
            writer.close()
            assert rest.count(b"y") == len(part) and rest.endswith(LAST_CHUNK)
            assert harness.codes() == [ResultCode.OK]

        play(fake.run, scenario)

    def test_response_that_ends_with_its_connection_is_reset(self, play):
        """A caller of HTTP/1.0 would take an orderly close for its end."""
        fake = FakeRun(asyncio.Event().wait)

        async def scenario(harness):
            reader, writer = await harness.send(BODY, b"1.0")
            await reader.readuntil(b"part")
            await harness.service.stop()
            with pytest.raises(ConnectionResetError):
                await reader.read()
            writer.close()

        play(fake.run, scenario)


class TestCallerThatKeepsItsConnection:
    def test_is_told_to_leave_by_its_refusal(self, play):
        """Guards against refusals of one caller until the end of the drain."""

        async def run_forever(caller, now_s):
            await asyncio.Event().wait()

        async def scenario(harness):
            running = asyncio.create_task(code_of(harness.ask()))
            await harness.in_progress()
            stopping = asyncio.create_task(harness.service.stop())
            while not harness.service.leaving:
                await asyncio.sleep(0.001)
            reader, writer = await harness.send(BODY)
            answer = await reader.read()
            assert answer.startswith(b"HTTP/1.1 503")
            assert b"connection: close" in answer.lower()
            writer.close()
            await stopping
            await running

        play(run_forever, scenario)
