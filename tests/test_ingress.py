"""Callers' connections: drain, and errors while a request is handled."""

import asyncio
import logging

import pytest

from wisteriapulley.http_drain import close_idle
from wisteriapulley.platform import ingress as ingress_module
from wisteriapulley.platform.ingress import (
    DEFAULT_MAX_WAIT_MS,
    MAX_PROMPT_PARTS,
    MAX_TOKENS,
    MAX_WAIT_MS,
    Ingress,
    parse_count,
    parse_max_wait_ms,
    parse_shared_parts,
    parse_token_counts,
)
from wisteriapulley.settings import Address
from wisteriapulley.wire import Frame, codec, messages

TEST_TIMEOUT_S = 30.0
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
            async with asyncio.timeout(TEST_TIMEOUT_S):
                await scenario(ingress, served, reader, writer)
        finally:
            writer.close()
            await ingress.stop()

    asyncio.run(run())


async def until_gone(ingress):
    """Wait until no request and no connection is left."""
    while ingress.active or ingress.server.connections:
        await asyncio.sleep(0.001)


class TestCloseIdle:
    def test_idle_connection_is_closed(self):
        async def scenario(ingress, served, reader, writer):
            close_idle(ingress.server)
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
            close_idle(ingress.server)
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


class TestBodyThatArrivesLate:
    """The time of a caller runs while it sends the body of its request."""

    HEAD = REQUEST.replace(b"GET", b"POST").rstrip() + b"\r\nContent-Length: 4\r\n\r\n"

    def test_time_of_the_request_counts_from_its_head(self):
        """Guards against work for a caller whose time has passed."""
        times = []

        async def scenario(ingress, served, reader, writer):
            async def serve(request, answer):
                times.append(request.arrived_s)
                await served.serve(request, answer)

            ingress.serve = serve
            writer.write(self.HEAD)
            while not ingress.active:
                await asyncio.sleep(0.001)
            times.append(asyncio.get_running_loop().time())
            writer.write(b"body")
            await reader.readuntil(b"ok")

        run_scenario(scenario)
        head_read_s, arrived_s = times
        assert arrived_s <= head_read_s


class TestRequestBehindAnother:
    """The time of a caller runs while its request waits for another's response."""

    def test_time_of_the_request_counts_from_its_head(self):
        """Guards against work for a caller whose time has passed."""
        times, queued = [], []

        async def scenario(ingress, served, reader, writer):
            loop = asyncio.get_running_loop()

            async def serve(request, answer):
                times.append(request.arrived_s)
                queued.append(request.queued_s)
                if len(times) == 1:
                    (connection,) = ingress.server.connections
                    while not connection._messages:
                        await asyncio.sleep(0.001)
                    times.append(loop.time())
                    await asyncio.sleep(0.01)
                await served.serve(request, answer)

            ingress.serve = serve
            writer.write(REQUEST + REQUEST)
            await reader.readuntil(b"ok")
            await reader.readuntil(b"ok")

        run_scenario(scenario)
        _, second_read_s, second_arrived_s = times
        assert second_arrived_s <= second_read_s
        assert queued[1] > 0.005


class TestHostThatCannotBeDecoded:
    """The target of a request may be a URL with a host of its own."""

    def test_request_is_answered_and_its_connection_goes_on(self):
        """Guards against a connection that is neither answered nor closed."""

        async def scenario(ingress, served, reader, writer):
            writer.write(REQUEST.replace(b"/a", b"http://xn--/a") + REQUEST)
            for _ in range(2):
                head = await reader.readuntil(b"ok")
                assert head.startswith(b"HTTP/1.1 200")
            assert served.count == 2

        run_scenario(scenario)


class TestInternalError:
    """Errors outside the dispatcher, which answers and logs its own."""

    def run_failing(self, scenario):
        async def count_errors(ingress, served, reader, writer):
            counted = []
            ingress.count_internal_error = lambda: counted.append(1)
            await scenario(ingress, reader, writer)
            assert len(counted) == 1

        run_scenario(count_errors)

    def test_request_that_is_not_understood_gets_a_failure(self, monkeypatch, caplog):
        def fail(*args):
            raise KeyError("unexpected")

        monkeypatch.setattr(ingress_module, "decode_request", fail)

        async def scenario(ingress, reader, writer):
            writer.write(REQUEST)
            head = await reader.readuntil(b"\r\n\r\n")
            assert head.startswith(b"HTTP/1.1 502")
            assert not ingress.active

        self.run_failing(scenario)
        (record,) = [r for r in caplog.records if r.levelno >= logging.ERROR]
        assert record.request_id == "1" and not record.answer_started

    def test_answer_that_has_begun_is_cut(self, caplog):
        async def begin_and_fail(request, answer):
            await answer.start(200, (), None)
            await answer.write(b"part")
            raise KeyError("unexpected")

        async def scenario(ingress, reader, writer):
            ingress.serve = begin_and_fail
            writer.write(REQUEST)
            assert not (await reader.read()).endswith(b"0\r\n\r\n")

        self.run_failing(scenario)
        (record,) = [r for r in caplog.records if r.levelno >= logging.ERROR]
        assert record.request_id == "1" and record.answer_started


class TestLongBody:
    def test_is_refused_and_logged_with_its_id(self, caplog):
        async def scenario(ingress, served, reader, writer):
            body = b"x" * 1001
            request = REQUEST.replace(b"GET", b"POST").removesuffix(b"\r\n")
            writer.write(request + b"Content-Length: 1001\r\n\r\n" + body)
            head = await reader.readuntil(b"\r\n\r\n")
            assert head.startswith(b"HTTP/1.1 413")
            assert served.count == 0 and not ingress.active

        with caplog.at_level(logging.INFO):
            run_scenario(scenario)
        assert [r.request_id for r in caplog.records if "refused" in r.msg] == ["1"]


class TestExpectedContinue:
    """A caller sends the body once it is told to; see RFC 9110, 10.1.1."""

    POST = REQUEST.replace(b"GET", b"POST").removesuffix(b"\r\n")
    EXPECT = b"Expect: 100-continue\r\n"

    def test_caller_waits_for_an_interim_response(self):
        async def scenario(ingress, served, reader, writer):
            bodies = []

            async def serve(request, answer):
                bodies.append(request.body)
                return await served.serve(request, answer)

            ingress.serve = serve
            for body in (b"first", b"second"):
                length = b"Content-Length: %d\r\n\r\n" % len(body)
                writer.write(self.POST + self.EXPECT + length)
                interim = await reader.readuntil(b"\r\n\r\n")
                assert interim == b"HTTP/1.1 100 Continue\r\n\r\n"
                writer.write(body)
                head = await reader.readuntil(b"\r\n\r\n")
                assert head.startswith(b"HTTP/1.1 200")
                assert await reader.readexactly(2) == b"ok"
            assert bodies == [b"first", b"second"]

        run_scenario(scenario)

    def test_chunked_body(self):
        async def scenario(ingress, served, reader, writer):
            chunked = b"Transfer-Encoding: chunked\r\n\r\n"
            writer.write(self.POST + b"expect: 100-Continue\r\n" + chunked)
            assert (await reader.readuntil(b"\r\n\r\n")).startswith(b"HTTP/1.1 100")
            writer.write(b"4\r\nbody\r\n0\r\n\r\n")
            assert (await reader.readuntil(b"\r\n\r\n")).startswith(b"HTTP/1.1 200")

        run_scenario(scenario)

    @pytest.mark.parametrize(
        "request_bytes",
        [
            POST + EXPECT + b"Content-Length: 4\r\n\r\nbody",
            POST + EXPECT + b"Content-Length: 0\r\n\r\n",
            REQUEST,
            (POST + EXPECT).replace(b"HTTP/1.1", b"HTTP/1.0") + b"\r\n",
        ],
        ids=["body was sent", "no body", "nothing expected", "HTTP/1.0"],
    )
    def test_no_interim_response_where_nobody_waits(self, request_bytes):
        async def scenario(ingress, served, reader, writer):
            writer.write(request_bytes)
            assert b" 200 " in await reader.readline()

        run_scenario(scenario)

    def test_body_that_is_too_long_is_refused_before_it_is_sent(self):
        async def scenario(ingress, served, reader, writer):
            length = b"Content-Length: 1001\r\n\r\n"
            writer.write(self.POST + self.EXPECT + length)
            head = await reader.readuntil(b"\r\n\r\n")
            assert head.startswith(b"HTTP/1.1 413")
            assert b"connection: close" in head.lower()
            assert served.count == 0

        run_scenario(scenario)

    def test_caller_leaves_in_place_of_sending(self, caplog):
        async def scenario(ingress, served, reader, writer):
            writer.write(self.POST + self.EXPECT + b"Content-Length: 4\r\n\r\n")
            await reader.readuntil(b"\r\n\r\n")
            writer.close()
            await until_gone(ingress)
            assert served.count == 0

        with caplog.at_level(logging.INFO):
            run_scenario(scenario)
        assert not [r for r in caplog.records if r.levelno >= logging.WARNING]


class TestCallerThatLeaves:
    """Nothing of its request stays, and it is no error of the entry."""

    def run_leaving(self, caplog, request, serve=None):
        async def scenario(ingress, served, reader, writer):
            ingress.serve = serve or served.serve
            writer.write(request)
            while not ingress.active:
                await asyncio.sleep(0.001)
            writer.close()
            await until_gone(ingress)
            assert served.count == 0

        with caplog.at_level(logging.INFO):
            run_scenario(scenario)
        assert not [r for r in caplog.records if r.levelno >= logging.WARNING]

    def test_within_its_body(self, caplog):
        headers = REQUEST.replace(b"GET", b"POST").removesuffix(b"\r\n")
        self.run_leaving(caplog, headers + b"Content-Length: 9\r\n\r\nbody")

    def test_during_a_silence_of_its_target(self, caplog):
        cancelled = []

        async def wait_for_target(request, answer):
            try:
                await asyncio.Event().wait()
            finally:
                cancelled.append(request.request_id)

        self.run_leaving(caplog, REQUEST, wait_for_target)
        assert cancelled == ["1"]


class TestStatedNumbers:
    """A number that no message to a sidecar can hold counts as not stated."""

    @pytest.mark.parametrize("text", ["inf", "-inf", "nan", "1e400"])
    def test_wait_that_is_not_finite_is_the_default(self, text):
        assert parse_max_wait_ms(text) == DEFAULT_MAX_WAIT_MS

    def test_long_wait_is_bounded(self):
        assert parse_max_wait_ms("1e12") == MAX_WAIT_MS

    @pytest.mark.parametrize("count", ["4294967296", "1e300", "inf", "nan"])
    def test_count_out_of_range_is_none(self, count):
        assert parse_count(count) == 0

    def test_token_counts_out_of_range_are_none(self):
        assert parse_token_counts("4294967296,50") == (0, 50)

    def test_largest_numbers_fit_into_a_slot_request(self):
        reservation = messages.Reserve(
            prompt_tokens=parse_count(str(MAX_TOKENS)),
            answer_tokens=parse_count(str(MAX_TOKENS)),
            wait_ms=int(MAX_WAIT_MS),
        )
        codec.encode(Frame(1, 0, reservation))


class TestSharedParts:
    """Parts of a prompt that other prompts may share, as their callers state them."""

    @pytest.mark.parametrize(
        ("text", "parts"),
        [
            ("5c1e:800,91bd:410,e440:250", ("5c1e", "91bd")),
            # The last part belongs to the request itself.
            ("5c1e:800", ()),
            ("", ()),
            # Ids are numbers in hexadecimal.
            ("5C1E:800,0091bd:410,000:1,1:1", ("5c1e", "91bd", "0")),
            ("5c1e:800,5C1E:3,5c1e:250", ("5c1e",)),
            (" 5c1e : 800, ,91bd:410,1:1", ("5c1e", "91bd")),
            (":5,,:,1:1", ()),
            ("no number,5c1e:x:y,1", ("no number", "5c1e")),
        ],
    )
    def test_are_read_once_each(self, text, parts):
        assert parse_shared_parts(text) == parts

    def test_are_limited(self):
        text = ",".join(f"{number:x}:1" for number in range(1, 16_000))
        assert len(parse_shared_parts(text)) == MAX_PROMPT_PARTS
