"""A whole response reaches its caller beyond the end of a drain, however it reads."""

import asyncio
import logging
import socket

import pytest
import uvloop

from wisteriapulley.platform import ingress as ingress_module
from wisteriapulley.platform.ingress import Ingress
from wisteriapulley.settings import Address

TEST_TIMEOUT_S = 20.0
# More than the buffers of both sides take.
BODY = b"x" * 150_000
BUFFER_BYTES = 4096
REQUEST = b"GET /a HTTP/1.1\r\nHost: h.example\r\nX-Deadline-Ms: 60000\r\n\r\n"
DRAIN_S = 0.1


async def answer_with_length(request, answer):
    await answer.start(200, (), len(BODY))
    await answer.write(BODY)
    await answer.finish()


async def answer_in_chunks(request, answer):
    await answer.start(200, (), None)
    # Less than what the library lets wait before it waits itself.
    await answer.write(BODY[:60_000])
    await answer.finish()


async def answer_a_part(request, answer):
    await answer.start(200, (), len(BODY) + 1)
    await answer.write(BODY)
    await asyncio.Event().wait()


class SlowCaller:
    """A caller that reads nothing before it is told to."""

    async def open(self, port):
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES)
        sock.setblocking(False)
        loop = asyncio.get_running_loop()
        await loop.sock_connect(sock, ("127.0.0.1", port))
        await loop.sock_sendall(sock, REQUEST)
        self.sock = sock

    async def read(self):
        """Return all that arrives, and whether the connection was reset."""
        loop, received = asyncio.get_running_loop(), bytearray()
        try:
            while data := await loop.sock_recv(self.sock, 65536):
                received += data
        except ConnectionResetError:
            return bytes(received), True
        finally:
            self.sock.close()
        return bytes(received), False


@pytest.fixture(params=[asyncio.new_event_loop, uvloop.new_event_loop])
def play(request):
    """Return a function that plays a scenario with a listener and a caller."""

    def run(serve, scenario):
        async def main():
            async def serve_slowly(request, answer):
                (connection,) = ingress.server.connections
                sock = connection.transport.get_extra_info("socket")
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, BUFFER_BYTES)
                return await serve(request, answer)

            ingress, caller = Ingress(serve_slowly, 0), SlowCaller()
            await ingress.start(Address("127.0.0.1", 0))
            try:
                async with asyncio.timeout(TEST_TIMEOUT_S):
                    await caller.open(ingress.site._server.sockets[0].getsockname()[1])
                    while not ingress.active:
                        await asyncio.sleep(0.001)
                    return await scenario(ingress, caller)
            finally:
                await ingress.stop()

        with asyncio.Runner(loop_factory=request.param) as runner:
            return runner.run(main())

    return run


async def read_after_the_drain(ingress, caller):
    """Begin to read once the drain has passed, while the process closes."""
    draining = asyncio.create_task(ingress.drain(0.0, DRAIN_S))
    while not ingress.overdue:
        await asyncio.sleep(0.001)
    await asyncio.sleep(0.01)
    received = await caller.read()
    await draining
    return received


async def read_nothing(ingress, caller):
    """Leave all of the response unread."""
    await ingress.drain(0.0, DRAIN_S)
    await ingress.stop()
    return caller


def read_rest(caller):
    """Return what arrives once the loop of the listener has ended."""
    return asyncio.run(asyncio.wait_for(caller.read(), TEST_TIMEOUT_S))


class TestCallerThatReadsSlowly:
    @pytest.mark.parametrize(
        ("serve", "size"), [(answer_with_length, len(BODY)), (answer_in_chunks, 60_000)]
    )
    def test_gets_a_whole_response_while_the_process_lives(
        self, play, serve, size, monkeypatch
    ):
        monkeypatch.setattr(ingress_module, "CLOSE_TIMEOUT_S", TEST_TIMEOUT_S)
        received, was_reset = play(serve, read_after_the_drain)
        assert received.count(b"x") == size and not was_reset

    def test_gets_what_the_system_takes_at_its_end(self, play, caplog):
        received, was_reset = read_rest(play(answer_with_length, read_nothing))
        assert received.count(b"x") == len(BODY) and not was_reset
        messages = [each.msg for each in caplog.records]
        assert messages.count("caller still reads at the end of the drain") == 1

    def test_of_an_incomplete_response_is_cut(self, play, caplog):
        """It must not take the response for a whole one."""
        received, _ = read_rest(play(answer_a_part, read_nothing))
        assert received.count(b"x") <= len(BODY)
        (record,) = [each for each in caplog.records if each.levelno >= logging.WARNING]
        assert record.msg == "request in progress at the end of the drain"
