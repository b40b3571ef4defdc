"""Operators' HTTP interface, with and without a quorum."""

import asyncio

import msgspec
import pytest
from aiohttp.test_utils import TestClient, TestServer

from wisteriapulley.control.commands import encode
from wisteriapulley.control.driver import no_quorum
from wisteriapulley.control.operators import MAX_CHANGE_BYTES, operator_routes
from wisteriapulley.control.state import ControlState
from wisteriapulley.http_server import HttpServer
from wisteriapulley.metrics import Metrics

VALID_HEADERS = {"Authorization": "Bearer token-of-o"}
CHANGE = {
    "change_id": "1",
    "owner": "o",
    "puts": [
        {
            "entry": {"name": "a", "owner": "o", "class": "c", "service": "s"},
            "base_revision": 0,
        }
    ],
}


class FakeService:
    """A fake control service around the real replicated state."""

    def __init__(self, has_quorum=True):
        self.state = ControlState()
        self.operators = {"token-of-o": "o"}
        self.has_quorum = has_quorum
        self.driver = self

    async def propose(self, command):
        await self.read_barrier()
        return encode(self.state.apply(self.state.index + 1, encode(command)))

    async def read_barrier(self):
        if not self.has_quorum:
            raise no_quorum("isolated")


def send(
    service, data, headers=VALID_HEADERS, method="post", path="/v1/catalogue/changes"
):
    async def run():
        server = HttpServer(
            Metrics("c", "control"),
            lambda: True,
            operator_routes(service),
            MAX_CHANGE_BYTES,
        )
        async with TestClient(TestServer(server.app)) as client:
            async with client.request(method, path, data=data, headers=headers) as a:
                return a.status, a.headers, msgspec.json.decode(await a.read())

    return asyncio.run(run())


class TestOperators:
    def test_repeated_change_is_committed_once(self):
        service, body = FakeService(), msgspec.json.encode(CHANGE)
        for _ in range(2):
            status, _, answer = send(service, body)
            assert (status, answer["revision"]) == (200, 1)

    @pytest.mark.parametrize(
        ("data", "headers", "status", "code"),
        [
            (b"{}", {}, 401, 205),
            (b"{}", {"Authorization": "Bearer no"}, 401, 205),
            (b"{}", {"Authorization": "token-of-o"}, 401, 205),
            (b"{", VALID_HEADERS, 400, 201),
            (b"\xff", VALID_HEADERS, 400, 201),
            (b"{}", VALID_HEADERS, 400, 201),
            (b" " * (MAX_CHANGE_BYTES + 1), VALID_HEADERS, 413, 413),
            (msgspec.json.encode({**CHANGE, "owner": "p"}), VALID_HEADERS, 403, 204),
        ],
    )
    def test_invalid_request_gets_error_code(self, data, headers, status, code):
        found, _, answer = send(FakeService(), data, headers)
        assert (found, answer["error"]["code"]) == (status, code)

    def test_change_without_quorum_is_refused_with_unknown_outcome(self):
        service = FakeService(has_quorum=False)
        status, headers, answer = send(service, msgspec.json.encode(CHANGE))
        assert (status, headers["Retry-After"]) == (503, "1")
        assert answer["error"]["not_run"] is False
        assert service.state.catalogue.revision == 0
        service.has_quorum = True
        assert send(service, msgspec.json.encode(CHANGE))[2]["revision"] == 1

    def test_read_without_quorum_is_refused(self):
        service = FakeService(has_quorum=False)
        assert send(service, b"", method="get", path="/v1/catalogue")[0] == 503
