"""Invalid raw HTTP input gets a well-defined error response."""

import asyncio
import json
from types import SimpleNamespace

import pytest

from wisteriapulley import http_server
from wisteriapulley.catalogue import Entry
from wisteriapulley.entry import body as body_module
from wisteriapulley.entry.body import BodyBudget, BufferedBody
from wisteriapulley.entry.metrics import EntryMetrics
from wisteriapulley.entry.request import parse_request
from wisteriapulley.errors import ResultCode, WisteriapulleyError
from wisteriapulley.http_server import HttpServer, error_response
from wisteriapulley.metrics import Metrics
from wisteriapulley.settings import Address

ENTRIES = {
    name: SimpleNamespace(entry=Entry(name=name, owner="o", traffic_class="c", **more))
    for name, more in {
        "drafts": {"service": "m", "version": "0" * 64},
        "letters": {"service": "p", "idempotent": False},
        "titles": {"service": "t"},
    }.items()
}
MAX_BYTES = 1000


async def start_server(budget=None):
    """Start a server that parses requests as an entry does and returns the result."""
    from aiohttp import web

    budget = budget or BodyBudget()

    async def handle(request):
        buffer = BufferedBody(budget, MAX_BYTES)
        try:
            parsed = parse_request(request, await buffer.read(request), ENTRIES)
            return web.json_response([parsed.path, parsed.units])
        except WisteriapulleyError as error:
            return error_response(error)
        finally:
            buffer.release()

    server = HttpServer(
        Metrics("n", "entry"), lambda: True, [web.route("*", "/{rest:.*}", handle)]
    )
    await server.start(Address("127.0.0.1", 0))
    return server


async def send_raw(server, data):
    address = server.address
    reader, writer = await asyncio.open_connection(address.host, address.port)
    writer.write(data)
    answer = await asyncio.wait_for(reader.read(), 20)
    writer.close()
    return answer


def http(path, body=b"", *headers, method="POST"):
    lines = [f"{method} {path} HTTP/1.1", "Host: x", "Connection: close", *headers]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


def post_raw(data, **more):
    """Send raw bytes to a new server; return status and body of the response."""

    async def run():
        server = await start_server(**more)
        try:
            return await send_raw(server, data)
        finally:
            await server.stop()

    head, _, body = asyncio.run(run()).partition(b"\r\n\r\n")
    return int(head.split()[1]), body


ACCOUNT = "X-Client-Account: dealer"
KEY = "Idempotency-Key: k"
COMPLETION = json.dumps({"model": "drafts"}).encode()


class TestInvalidInput:
    @pytest.mark.parametrize(
        ("data", "code"),
        [
            (http("/v1/completions", b"{", ACCOUNT), 400),
            (http("/v1/completions", b"\xff\xfe{}", ACCOUNT), 400),
            (http("/v1/completions", b"[" * 900, ACCOUNT), 400),
            (http("/v1/completions", b'{"model": 3}', ACCOUNT), 400),
            (http("/v1/completions", COMPLETION), 400),
            (http("/v1/completions", COMPLETION, "X-Client-Account: a\xe9"), 400),
            (http("/v1/completions", COMPLETION, f"{ACCOUNT}{'x' * 200}"), 400),
            (
                http(
                    "/v1/completions", COMPLETION, ACCOUNT, "X-Request-Timeout-Ms: -1"
                ),
                400,
            ),
            (http("/v1/completions", b"x" * 2000, ACCOUNT), 413),
            (http("/services/letters/x", b"", ACCOUNT), 401),
            (http("/services/letters/x", b"", ACCOUNT, KEY), 401),
            (http("/services/letters/x", b"", ACCOUNT, KEY, method="PUT"), 400),
            (http("/services/none/x", b"", ACCOUNT), 408),
        ],
    )
    def test_error_has_its_code_and_reports_not_run(self, data, code):
        _, body = post_raw(data)
        error = json.loads(body)["error"]
        assert (error["code"], error["not_run"]) == (code, True)

    def test_bytes_that_are_not_http_get_400(self):
        assert post_raw(b"\x16\x03\x01\x02\x00garbage\r\n\r\n")[0] == 400

    def test_engine_paths_are_not_reachable_for_callers(self):
        # Callers must not reach the engine's own API through
        # /services/<model>/control/load.
        _, body = post_raw(http("/services/drafts/control/load", b"{}", ACCOUNT))
        assert json.loads(body)["error"]["code"] == ResultCode.UNKNOWN_MODEL

    def test_path_encoding_is_preserved(self):
        _, body = post_raw(http("/services/titles/a%2Fb%3Fc?q=%20", b"", ACCOUNT))
        assert json.loads(body)[0] == "/a%2Fb%3Fc?q=%20"

    def test_bodies_over_the_budget_are_refused(self):
        _, body = post_raw(
            http("/services/titles/x", b"x" * 100, ACCOUNT), budget=BodyBudget(50)
        )
        assert json.loads(body)["error"]["code"] == ResultCode.OVERLOADED

    def test_slow_body_is_refused(self, monkeypatch):
        monkeypatch.setattr(body_module, "BODY_READ_TIMEOUT_S", 0.05)
        data = http("/services/titles/x", b"", ACCOUNT)
        data = data.replace(b"Content-Length: 0", b"Content-Length: 9")
        _, body = post_raw(data)
        assert json.loads(body)["error"]["code"] == ResultCode.REQUEST_MALFORMED

    def test_connection_with_slow_headers_is_closed(self, monkeypatch):
        monkeypatch.setattr(http_server, "SWEEP_INTERVAL_S", 0.02)
        monkeypatch.setattr(http_server, "FIRST_REQUEST_TIMEOUT_S", 0.05)

        async def run():
            server = await start_server()
            try:
                return await send_raw(server, b"GET / HTTP/1.1\r\nHo")
            finally:
                await server.stop()

        assert asyncio.run(run()) == b""

    def test_unknown_accounts_do_not_add_metric_labels(self):
        entry_metrics = EntryMetrics(Metrics("n", "entry"), max_accounts=2)
        for number in range(50):
            entry_metrics.record_response(f"refused-{number}", "c", 403, 0.1)
            entry_metrics.record_response(f"served-{number}", "c", 0, 0.1)
        assert entry_metrics.accounts == {"served-0", "served-1"}
        assert len(entry_metrics.requests.get_all()) == 4
