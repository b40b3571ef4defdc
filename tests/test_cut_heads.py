"""Responses and requests that break off after any byte, and pass as whole nowhere."""

import asyncio

import pytest

from tests.fakes.cutting import CuttingServer, cuts
from wisteriapulley import operator_client
from wisteriapulley.errors import CatalogueError, ResultCode
from wisteriapulley.operator_client import OperatorClient
from wisteriapulley.settings import Address

MAX_WAIT_S = 60.0


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
