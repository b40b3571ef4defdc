"""Responses and requests that break off after any byte, and pass as whole nowhere."""

import asyncio

import pytest
import uvloop

from tests.fakes.cutting import CuttingServer, cuts
from tests.test_entry_service import FakeRun, Harness
from wisteriapulley import operator_client
from wisteriapulley.errors import CatalogueError, RequestError, ResultCode
from wisteriapulley.operator_client import OperatorClient
from wisteriapulley.platform.ingress import Ingress
from wisteriapulley.settings import Address

MAX_WAIT_S = 60.0
LOOPS = [asyncio.new_event_loop, uvloop.new_event_loop]


def play(loop_factory, scenario):
    """Run a scenario on an event loop of its own, with a time limit."""

    async def run():
        async with asyncio.timeout(MAX_WAIT_S):
            return await scenario

    with asyncio.Runner(loop_factory=loop_factory) as runner:
        return runner.run(run())


async def read_all(address, request):
    """Send a request; return what comes until the end of the connection."""
    reader, writer = await asyncio.open_connection(address.host, address.port)
    try:
        writer.write(request)
        return await reader.read()
    finally:
        writer.close()


async def with_server(server, scenario):
    """Run a scenario with a server and its address."""
    address = await server.start()
    try:
        async with asyncio.timeout(MAX_WAIT_S):
            await scenario(address)
    finally:
        await server.stop()


class TestOperatorCommands:
    """Calls of an operator's command to a control instance that stops."""

    HEAD = (
        b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
        b"Content-Length: 21\r\nX-More: y\r\n\r\n"
    )
    BODY = b'{"evacuated":["abc"]}'

    @pytest.fixture(autouse=True)
    def no_delay(self, monkeypatch):
        monkeypatch.setattr(operator_client, "RETRY_DELAY_S", 0.0)

    def client(self, *addresses):
        return OperatorClient([Address.from_text(a) for a in addresses], "token", "o")

    # A head that ended with its connection counted as whole, with an empty body.
    @pytest.mark.parametrize("status", [b"200 OK", b"409 Conflict"])
    def test_outcome_is_unknown(self, status):
        server = CuttingServer()
        head = self.HEAD.replace(b"200 OK", status)

        async def scenario(address):
            client = self.client(address)
            for server.writes in ((cut,) for cut in cuts(head, self.BODY)):
                with pytest.raises(CatalogueError, match="is unknown") as caught:
                    await asyncio.to_thread(client.evacuated)
                assert caught.value.code == ResultCode.NO_QUORUM

        asyncio.run(with_server(server, scenario))

    def test_another_instance_is_asked(self):
        cutting, whole = CuttingServer(), CuttingServer(self.HEAD + self.BODY)

        async def scenario(address):
            client = self.client(address, await whole.start())
            for cutting.writes in ((cut,) for cut in cuts(self.HEAD, self.BODY)):
                assert await asyncio.to_thread(client.evacuated) == ("abc",)
            await whole.stop()

        asyncio.run(with_server(cutting, scenario))


async def cut_off():
    raise RequestError(ResultCode.ANSWER_CUT, "the target stopped")


async def end():
    pass


@pytest.mark.parametrize("loop_factory", LOOPS)
class TestCallerOfAnEntry:
    """An entry with sidecars whose target stops behind its head and a part."""

    REQUEST = (
        b"POST /services/letters/post HTTP/%s\r\nHost: h\r\nContent-Length: 0\r\n"
        b"X-Client-Account: council\r\nConnection: close\r\n\r\n"
    )

    async def ask(self, version, run):
        harness = Harness()
        await harness.start(run.run)
        try:
            return await read_all(harness.http.address, self.REQUEST % version)
        finally:
            await harness.stop()

    def test_chunks_do_not_end(self, loop_factory):
        received = play(loop_factory, self.ask(b"1.1", FakeRun(cut_off)))
        assert b"part" in received and not received.endswith(b"0\r\n\r\n")

    # Its response ended as a whole one does, with an orderly close.
    def test_connection_is_reset_where_its_end_is_that_of_the_response(
        self, loop_factory
    ):
        with pytest.raises(ConnectionResetError):
            play(loop_factory, self.ask(b"1.0", FakeRun(cut_off)))

    def test_whole_response_ends_with_an_orderly_close(self, loop_factory):
        received = play(loop_factory, self.ask(b"1.0", FakeRun(end)))
        assert received.endswith(b"\r\n\r\npart")


EVENTS = b"id: 1\ndata: x\n\n"


async def serve_events(request, answer):
    """Respond with events, and cut the response if the request says so."""
    await answer.start(200, (), None)
    await answer.write(EVENTS)
    if request.path == "/cut":
        # The head and the events are on their way.
        await asyncio.sleep(0.05)
        answer.cut()
        return
    await answer.finish()


@pytest.mark.parametrize("loop_factory", LOOPS)
class TestCallerOfADirectEntry:
    """An entry without sidecars whose target stops behind its head and an event."""

    REQUEST = (
        b"GET %s HTTP/%s\r\nHost: h\r\nX-Request-Attempt-Id: 1\r\n"
        b"X-Deadline-Ms: 9000\r\nConnection: close\r\n\r\n"
    )

    async def ask(self, path, version):
        ingress = Ingress(serve_events, 1000)
        await ingress.start(Address("127.0.0.1", 0))
        port = ingress.site._server.sockets[0].getsockname()[1]
        try:
            address = Address("127.0.0.1", port)
            return await read_all(address, self.REQUEST % (path, version))
        finally:
            await ingress.stop()

    def test_chunks_do_not_end(self, loop_factory):
        received = play(loop_factory, self.ask(b"/cut", b"1.1"))
        assert EVENTS in received and not received.endswith(b"0\r\n\r\n")

    # The library refused to send it in chunks after the target had run the request,
    # and the connection was closed without a response.
    def test_caller_without_chunks_gets_the_response(self, loop_factory):
        received = play(loop_factory, self.ask(b"/whole", b"1.0"))
        assert received.startswith(b"HTTP/1.0 200") and received.endswith(EVENTS)

    def test_connection_is_reset_where_its_end_is_that_of_the_response(
        self, loop_factory
    ):
        with pytest.raises(ConnectionResetError):
            play(loop_factory, self.ask(b"/cut", b"1.0"))
