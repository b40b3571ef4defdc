"""Requests on their way in while a server of ours stops: each one read is answered."""

import asyncio
import contextlib
import gc
import json
import random
import re
import socket

import pytest
import uvloop
from aiohttp import web

from tests.fleet import free_port
from wisteriapulley.http_server import HttpServer
from wisteriapulley.metrics import Metrics
from wisteriapulley.platform import names
from wisteriapulley.platform.control_calls import ControlCalls
from wisteriapulley.readiness import ReadinessServer
from wisteriapulley.settings import Address

TEST_TIMEOUT_S = 30.0
HOST = "127.0.0.1"
# Turns of the loop from the arrival of a connection until it is set up, and some more.
TURNS = 8


def request_bytes(path, body=b"", method="POST"):
    head = f"{method} {path} HTTP/1.1\r\nHost: h\r\nContent-Length: {len(body)}\r\n\r\n"
    return head.encode() + body


class Calls:
    """Calls of operators and targets to a control instance.

    Attributes
    ----------
    handled : list of int
        Numbers of the requests whose handler has begun.
    may_answer : asyncio.Event
        Lets the handlers answer.
    overdue_status : int
        Status of a call that may have taken effect when the server stops.
    """

    overdue_status = 503

    def __init__(self):
        self.handled = []
        self.may_answer = asyncio.Event()
        self.server = self.new_server()

    def new_server(self):
        return ControlCalls(self)

    def request_bytes(self, number):
        body = json.dumps({"model": "m" * 1000, "version": number}).encode()
        return request_bytes(names.WEIGHTS_CALL, body)

    async def set_desired_version(self, model, version):
        self.handled.append(version)
        await self.may_answer.wait()


class OwnRoutes(Calls):
    """A daemon's own routes beside its health checks and metrics."""

    overdue_status = 502

    def new_server(self):
        routes = [web.post("/call", self.handle)]
        return HttpServer(Metrics("n", "control"), lambda: True, routes)

    def request_bytes(self, number):
        return request_bytes("/call", json.dumps([number] * 300).encode())

    async def handle(self, request):
        await self.set_desired_version("m", (await request.json())[0])
        return web.Response()


class Readiness(Calls):
    """Readiness checks of a load balancer, which are answered at once."""

    def new_server(self):
        return ReadinessServer(names.READY_CALL, lambda: True)

    def request_bytes(self, number):
        return request_bytes(names.READY_CALL, method="GET")


class Caller:
    """One connection, and all that came on it."""

    def __init__(self, port):
        self.port = port
        self.received = bytearray()

    async def connect(self):
        reader, self.writer = await asyncio.open_connection(HOST, self.port)
        self.reading = asyncio.create_task(self.read(reader))

    async def read(self, reader):
        """Keep what comes until the connection ends, however it does."""
        try:
            while data := await reader.read(65536):
                self.received += data
        except ConnectionError:
            pass

    @property
    def statuses(self):
        return [int(code) for code in re.findall(rb"HTTP/1\.1 (\d+)", self.received)]

    @property
    def closes_announced(self):
        heads = self.received.lower().split(b"http/1.1 ")[1:]
        return [b"connection: close" in head for head in heads]


async def until(condition):
    while not condition():
        await asyncio.sleep(0.001)


@pytest.fixture(params=[asyncio.new_event_loop, uvloop.new_event_loop])
def play(request):
    """Return a function that plays a scenario with a started server and a caller."""

    def run(scenario, new_calls):
        async def run_scenario():
            calls = new_calls()
            port = free_port()
            caller = Caller(port)
            async with asyncio.timeout(TEST_TIMEOUT_S):
                await calls.server.start(Address(HOST, port))
                await caller.connect()
                try:
                    await scenario(calls, caller)
                finally:
                    caller.writer.close()

        with asyncio.Runner(loop_factory=request.param) as runner:
            runner.run(run_scenario())

    return run


async def begin_stop(calls):
    """Begin to stop a server, and wait until idle connections have been closed."""
    stopping = asyncio.create_task(calls.server.stop())
    await asyncio.sleep(0.1)
    return stopping


@pytest.mark.parametrize("new_calls", [Calls, OwnRoutes])
class TestCallReadAtAStop:
    def test_body_that_arrives_across_the_stop(self, play, new_calls):
        async def scenario(calls, caller):
            calls.may_answer.set()
            whole = calls.request_bytes(1)
            caller.writer.write(whole[:-500])
            await asyncio.sleep(0.05)
            stopping = await begin_stop(calls)
            caller.writer.write(whole[-500:])
            await caller.reading
            assert caller.statuses == [200] and calls.handled == [1]
            await stopping

        play(scenario, new_calls)

    def test_head_that_arrives_across_the_stop(self, play, new_calls):
        async def scenario(calls, caller):
            calls.may_answer.set()
            whole = calls.request_bytes(1)
            caller.writer.write(whole[:30])
            await asyncio.sleep(0.05)
            stopping = await begin_stop(calls)
            caller.writer.write(whole[30:])
            await caller.reading
            assert caller.statuses == [200] and calls.handled == [1]
            await stopping

        play(scenario, new_calls)

    @pytest.mark.parametrize("in_one_write", [True, False])
    def test_call_behind_another(self, play, new_calls, in_one_write):
        async def scenario(calls, caller):
            first, second = calls.request_bytes(1), calls.request_bytes(2)
            caller.writer.write(first + second if in_one_write else first)
            await until(lambda: calls.handled)
            stopping = await begin_stop(calls)
            if not in_one_write:
                caller.writer.write(second)
                await asyncio.sleep(0.05)
            calls.may_answer.set()
            await caller.reading
            assert caller.statuses == [200, 200] and calls.handled == [1, 2]
            assert caller.closes_announced == [False, True]
            await stopping

        play(scenario, new_calls)

    def test_call_that_is_not_done_in_time_is_refused(self, play, new_calls):
        async def scenario(calls, caller):
            caller.writer.write(calls.request_bytes(1))
            await until(lambda: calls.handled)
            await calls.server.stop()
            await caller.reading
            assert caller.statuses == [calls.overdue_status]

        play(scenario, new_calls)

    def test_body_that_never_ends_is_refused_as_not_run(self, play, new_calls):
        async def scenario(calls, caller):
            caller.writer.write(calls.request_bytes(1)[:-500])
            await asyncio.sleep(0.05)
            await calls.server.stop()
            await caller.reading
            assert caller.statuses == [503] and calls.handled == []

        play(scenario, new_calls)

    def test_half_of_a_head_delays_the_stop_no_longer_than_its_limit(
        self, play, new_calls
    ):
        async def scenario(calls, caller):
            caller.writer.write(calls.request_bytes(1)[:30])
            await asyncio.sleep(0.05)
            await calls.server.stop()
            await caller.reading
            assert caller.statuses == []

        play(scenario, new_calls)


@pytest.mark.parametrize("new_calls", [Calls, OwnRoutes, Readiness])
class TestCallThatArrivesInATurnOfAStop:
    def test_idle_connection_closes(self, play, new_calls):
        async def scenario(calls, caller):
            await asyncio.sleep(0.05)
            await calls.server.stop()
            await caller.reading
            assert not caller.received

        play(scenario, new_calls)

    @pytest.mark.parametrize("is_new", [True, False])
    def test_is_answered_or_not_read(self, play, new_calls, is_new, monkeypatch):
        """The stop begins some turns of the loop after the call has arrived."""
        bytes_read = []
        data_received = web.RequestHandler.data_received

        def record(connection, data):
            bytes_read.append(data)
            data_received(connection, data)

        monkeypatch.setattr(web.RequestHandler, "data_received", record)

        async def play_turn(port, turns):
            calls = new_calls()
            await calls.server.start(Address(HOST, port))
            calls.may_answer.set()
            bytes_read.clear()
            with socket.create_connection((HOST, port)) as caller:
                if not is_new:
                    await asyncio.sleep(0.02)
                caller.send(calls.request_bytes(1))
                for _ in range(turns):
                    await asyncio.sleep(0)
                await calls.server.stop()
                # asyncio leaves a connection that it fails to set up to the collector.
                gc.collect()
                caller.setblocking(False)
                try:
                    loop = asyncio.get_running_loop()
                    answer = await loop.sock_recv(caller, 65536)
                except ConnectionError:
                    answer = b""
            assert bool(answer) == bool(bytes_read), turns

        async def scenario(calls, caller):
            for turns in range(TURNS):
                await play_turn(free_port(), turns)
            await calls.server.stop()

        play(scenario, new_calls)


class TestReadinessChecksAtAStop:
    def test_check_that_arrives_across_the_stop(self, play):
        async def scenario(checks, caller):
            whole = checks.request_bytes(1)
            caller.writer.write(whole[:30])
            await asyncio.sleep(0.05)
            stopping = await begin_stop(checks)
            caller.writer.write(whole[30:])
            await caller.reading
            assert caller.statuses == [200]
            await stopping

        play(scenario, Readiness)


class BusyCaller(Caller):
    """A caller that sends requests in parts, some behind each other, until it can't.

    It reads what has arrived also if its own writes fail, unlike asyncio's streams.
    """

    async def connect(self):
        self.loop = asyncio.get_running_loop()
        self.socket = socket.create_connection((HOST, self.port))
        self.socket.setblocking(False)
        self.reading = asyncio.create_task(self.read_all())

    async def read_all(self):
        with contextlib.suppress(ConnectionError):
            while data := await self.loop.sock_recv(self.socket, 65536):
                self.received += data

    async def send_all(self, calls, rng):
        await self.connect()
        number = 0
        while not self.reading.done():
            behind = rng.choice([1, 1, 2, 3])
            whole = b"".join(calls.request_bytes(number + i) for i in range(behind))
            number += behind
            split = rng.choice([0, rng.randrange(len(whole))])
            with contextlib.suppress(ConnectionError):
                await self.loop.sock_sendall(self.socket, whole[:split])
                await asyncio.sleep(rng.uniform(0, 0.02) if split else 0)
                await self.loop.sock_sendall(self.socket, whole[split:])
            await asyncio.sleep(rng.uniform(0, 0.01))
        self.socket.close()


@pytest.fixture
def connections(monkeypatch):
    """Return a list of all connections, filled as they are accepted."""
    accepted = []
    connection_made = web.RequestHandler.connection_made

    def record(connection, transport):
        accepted.append(connection)
        connection_made(connection, transport)

    monkeypatch.setattr(web.RequestHandler, "connection_made", record)
    return accepted


@pytest.mark.parametrize("new_calls", [Calls, OwnRoutes, Readiness])
class TestManyCallers:
    CALLERS = 30

    @pytest.mark.parametrize("seed", [1, 2, 3])
    def test_all_that_was_read_is_answered(self, play, new_calls, seed, connections):
        rng = random.Random(seed)

        async def scenario(calls, caller):
            calls.may_answer.set()
            callers = [BusyCaller(caller.port) for _ in range(self.CALLERS)]
            sending = [asyncio.create_task(c.send_all(calls, rng)) for c in callers]
            await until(lambda: sum(len(c.statuses) for c in callers) > self.CALLERS)
            await calls.server.stop()
            await asyncio.gather(*sending)
            answered = sum(len(c.statuses) for c in callers)
            assert answered == sum(c._request_count for c in connections)

        play(scenario, new_calls)


class TestConnection:
    @pytest.mark.parametrize("new_calls", [Calls, OwnRoutes, Readiness])
    def test_keeps_nothing_of_requests_that_are_answered(self, play, new_calls):
        async def scenario(calls, caller):
            calls.may_answer.set()
            for number in range(1, 4):
                caller.writer.write(calls.request_bytes(number))
                await until(lambda number=number: len(caller.statuses) == number)
            (connection,) = calls.server.listener.server.connections
            assert not connection.arrivals_s
            await calls.server.stop()

        play(scenario, new_calls)
