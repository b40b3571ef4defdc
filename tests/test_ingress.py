"""Callers' connections while an entry drains."""

import asyncio

from wisteriapulley.idle_connections import close_idle
from wisteriapulley.platform.ingress import Ingress
from wisteriapulley.settings import Address

REQUEST = (
    b"GET /a HTTP/1.1\r\nHost: h.example\r\nX-Request-Attempt-Id: 1\r\n"
    b"X-Deadline-Ms: 1000\r\n\r\n"
)


class CountingHandler:
    """Responds to every request with a short body, and counts the requests."""

    def __init__(self):
        self.count = 0

    async def serve(self, request, answer):
        self.count += 1
        await answer.start(200, (), 2)
        await answer.write(b"ok")
        await answer.finish()


def run_scenario(scenario):
    async def run():
        served = CountingHandler()
        ingress = Ingress(served.serve, 1000)
        await ingress.start(Address("127.0.0.1", 0))
        port = ingress.site._server.sockets[0].getsockname()[1]
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        while not ingress.server.connections:
            await asyncio.sleep(0.001)
        try:
            await scenario(ingress, served, reader, writer)
        finally:
            writer.close()
            await ingress.stop()

    asyncio.run(run())


class TestCloseIdle:
    def test_idle_connection_is_closed(self):
        async def scenario(ingress, served, reader, writer):
            close_idle(ingress.server, ingress.active)
            assert await reader.read() == b""

        run_scenario(scenario)

    def test_request_that_was_just_read_gets_its_response(self):
        # The request is parsed but its handler has not started when the entry closes
        # connections that look idle. If that closes its connection, the request is
        # forwarded and its response is lost.
        async def scenario(ingress, served, reader, writer):
            (connection,) = ingress.server.connections
            while connection._waiter is None:
                await asyncio.sleep(0.001)
            connection.data_received(REQUEST)
            ingress.closing = True
            close_idle(ingress.server, ingress.active)
            answer = await reader.read()
            assert answer.startswith(b"HTTP/1.1 200") and answer.endswith(b"ok")
            assert b"connection: close" in answer.lower()
            assert served.count == 1

        run_scenario(scenario)

    def test_request_on_a_closed_connection_is_not_forwarded(self):
        async def scenario(ingress, served, reader, writer):
            (connection,) = ingress.server.connections
            while connection._waiter is None:
                await asyncio.sleep(0.001)
            connection.data_received(REQUEST)
            connection.transport.close()
            await reader.read()
            await asyncio.sleep(0)
            assert served.count == 0

        run_scenario(scenario)
