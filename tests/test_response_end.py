"""Responses to callers who read slowly."""

import asyncio
import socket
from types import SimpleNamespace

import pytest
from aiohttp import web

from wisteriapulley.direct.types import Refusal, RefusalKind
from wisteriapulley.http_drain import CallerServer
from wisteriapulley.platform.ingress import HttpCallerAnswer
from wisteriapulley.response_end import write_end

BODY = b"x" * 60_000


async def end_response(request):
    response = web.StreamResponse()
    await response.prepare(request)
    await response.write(BODY)
    await write_end(response, request.transport)
    return response


async def end_answer(request):
    answer = HttpCallerAnswer(request, lambda: True)
    await answer.start(200, (), len(BODY))
    await answer.write(BODY)
    await answer.finish()
    return answer.response


class TestRefusal:
    def test_does_not_wait_for_a_caller_who_reads_nothing(self):
        """Guards against a wait that no time limit of a request ends."""

        class Transport:
            def is_closing(self):
                return False

            def get_write_buffer_size(self):
                return 1

        class Response(web.StreamResponse):
            async def write(self, data):
                pass

            async def write_eof(self, data=b""):
                pass

        async def run():
            answer = HttpCallerAnswer(SimpleNamespace(transport=Transport()), bool)

            async def start(status, headers, length):
                answer.response = Response(status=status)

            answer.start = start
            async with asyncio.timeout(10):
                await answer.refuse(Refusal(RefusalKind.OVERLOADED, 1.0, "full"))

        asyncio.run(run())


class TestWriteEnd:
    @pytest.mark.parametrize("end", [end_response, end_answer])
    def test_request_is_in_progress_until_its_caller_has_read(self, end):
        """Guards against an entry that stops while a response waits in its buffer."""

        async def run():
            written, ended = asyncio.Event(), asyncio.Event()

            async def handle(request):
                sock = request.transport.get_extra_info("socket")
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
                asyncio.get_running_loop().call_later(0.2, written.set)
                response = await end(request)
                ended.set()
                return response

            server = CallerServer(handle, None)
            runner = web.ServerRunner(server)
            await runner.setup()
            site = web.TCPSite(runner, "127.0.0.1", 0)
            await site.start()
            port = site._server.sockets[0].getsockname()[1]
            sock = socket.socket()
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            sock.setblocking(False)
            await asyncio.get_running_loop().sock_connect(sock, ("127.0.0.1", port))
            reader, writer = await asyncio.open_connection(sock=sock, limit=1024)
            writer.write(b"GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
            await written.wait()
            assert not ended.is_set()
            received = await reader.read()
            assert received.count(b"x") == len(BODY)
            assert ended.is_set()
            writer.close()
            await runner.cleanup()

        asyncio.run(run())
