"""Limits of idle time close no connection on which a request was read."""

import asyncio
import time

import pytest
import uvloop
from aiohttp import web

from tests.fleet import free_port
from tests.test_calls_at_a_stop import HOST, Caller, OwnRoutes, until
from wisteriapulley import http_drain, http_server
from wisteriapulley.http_server import IdleConnections
from wisteriapulley.settings import Address

TEST_TIMEOUT_S = 30.0
LIMIT_S = 0.3


@pytest.fixture(params=[asyncio.new_event_loop, uvloop.new_event_loop])
def play(request):
    """Return a function that plays a scenario with a server and a caller."""

    async def run_scenario(scenario):
        calls = OwnRoutes()
        calls.may_answer.set()
        caller = Caller(free_port())
        async with asyncio.timeout(TEST_TIMEOUT_S):
            await calls.server.start(Address(HOST, caller.port))
            await caller.connect()
            await scenario(calls, caller)
            caller.writer.close()
            await calls.server.stop()

    def run(scenario):
        with asyncio.Runner(loop_factory=request.param) as runner:
            runner.run(run_scenario(scenario))

    return run


class TestRequestThatArrivesAtTheLimit:
    @pytest.fixture(autouse=True)
    def set_limits(self, monkeypatch):
        monkeypatch.setattr(http_server, "SWEEP_INTERVAL_S", LIMIT_S / 3)
        monkeypatch.setattr(http_server, "FIRST_REQUEST_TIMEOUT_S", LIMIT_S)

    def test_is_answered_or_not_read(self, play, monkeypatch):
        """The loop finds the request and the end of the limit in one turn."""
        bytes_read = []
        data_received = web.RequestHandler.data_received

        def record(connection, data):
            bytes_read.append(data)
            data_received(connection, data)

        monkeypatch.setattr(web.RequestHandler, "data_received", record)

        async def scenario(calls, caller):
            await asyncio.sleep(LIMIT_S / 2)
            caller.writer.write(calls.request_bytes(1))
            time.sleep(LIMIT_S)
            await until(lambda: caller.received or caller.reading.done())
            assert caller.statuses == ([200] if bytes_read else [])

        play(scenario)


class TestWaits:
    """Which connections are closed, by a clock of the test."""

    def test_first_request(self, play):
        async def scenario(calls, caller):
            connections = calls.server.listener.server.connections
            idle = IdleConnections(20.0, 600.0)
            assert not idle.overdue(connections, 0.0)
            caller.writer.write(calls.request_bytes(1)[:30])
            await until(lambda: connections[0].has_partial_head)
            assert not idle.overdue(connections, 20.0)
            assert idle.overdue(connections, 20.1) == connections

        play(scenario)

    def test_further_request(self, play):
        async def scenario(calls, caller):
            connections = calls.server.listener.server.connections
            idle = IdleConnections(20.0, 600.0)
            assert not idle.overdue(connections, 0.0)
            caller.writer.write(calls.request_bytes(1))
            await until(lambda: caller.statuses and connections[0].is_idle)
            assert not idle.overdue(connections, 21.0)
            assert not idle.overdue(connections, 621.0)
            assert idle.overdue(connections, 621.1) == connections

        play(scenario)

    def test_rest_of_a_head_that_began_before_the_limit(self, play):
        async def scenario(calls, caller):
            connections = calls.server.listener.server.connections
            idle = IdleConnections(20.0, 600.0)
            caller.writer.write(calls.request_bytes(1))
            await until(lambda: caller.statuses and connections[0].is_idle)
            assert not idle.overdue(connections, 0.0)
            caller.writer.write(calls.request_bytes(2)[:30])
            await until(lambda: connections[0].has_partial_head)
            assert not idle.overdue(connections, 600.1)
            assert not idle.overdue(connections, 620.1)
            assert idle.overdue(connections, 620.2) == connections

        play(scenario)


class TestTimerOfTheLibrary:
    """A connection of callers whose time to wait for a request passes."""

    def expire(self, connection):
        connection._next_keepalive_close_time = asyncio.get_running_loop().time()
        connection._process_keepalive()

    def test_as_a_request_arrives(self, play, monkeypatch):
        data_received = web.RequestHandler.data_received

        def expire_behind(connection, data):
            data_received(connection, data)
            self.expire(connection)

        monkeypatch.setattr(web.RequestHandler, "data_received", expire_behind)

        async def scenario(calls, caller):
            caller.writer.write(calls.request_bytes(1))
            await until(lambda: caller.received or caller.reading.done())
            assert caller.statuses == [200]

        play(scenario)

    def test_amid_a_head(self, play):
        async def scenario(calls, caller):
            (connection,) = calls.server.listener.server.connections
            whole = calls.request_bytes(1)
            caller.writer.write(whole[:30])
            await until(lambda: connection.has_partial_head)
            self.expire(connection)
            caller.writer.write(whole[30:])
            await until(lambda: caller.received or caller.reading.done())
            assert caller.statuses == [200]

        play(scenario)

    def test_amid_a_head_that_never_ends(self, play, monkeypatch):
        monkeypatch.setattr(http_drain, "HEAD_TIMEOUT_S", 0.0)

        async def scenario(calls, caller):
            (connection,) = calls.server.listener.server.connections
            caller.writer.write(calls.request_bytes(1)[:30])
            await until(lambda: connection.has_partial_head)
            self.expire(connection)
            await caller.reading
            assert not caller.received

        play(scenario)

    def test_of_an_idle_connection(self, play):
        async def scenario(calls, caller):
            (connection,) = calls.server.listener.server.connections
            self.expire(connection)
            await caller.reading

        play(scenario)
