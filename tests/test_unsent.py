"""How much of what was written to a connection its peer has not received."""

import asyncio
import socket

import pytest
import uvloop

from wisteriapulley import unsent
from wisteriapulley.unsent import keep_unsent, unsent_bytes

SIZE = 600_000
MAX_WAIT_S = 10.0


@pytest.mark.parametrize(
    "loop_factory", [asyncio.new_event_loop, uvloop.new_event_loop]
)
class TestUnsentBytes:
    """A peer that does not read, and then reads everything."""

    def test_bytes_count_until_the_peer_has_received_them(self, loop_factory):
        async def scenario():
            listener = socket.create_server(("127.0.0.1", 0))
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8192)
            accepted = asyncio.get_running_loop().create_future()
            server = await asyncio.start_server(
                lambda reader, writer: accepted.set_result((reader, writer)),
                sock=listener,
                limit=8192,
            )
            port = listener.getsockname()[1]
            _, writer = await asyncio.open_connection("127.0.0.1", port)
            assert unsent_bytes(writer.transport) == 0
            reader, peer = await accepted
            peer.transport.pause_reading()
            writer.write(b"x" * SIZE)
            waiting = unsent_bytes(writer.transport)
            peer.transport.resume_reading()
            await reader.readexactly(SIZE)
            async with asyncio.timeout(MAX_WAIT_S):
                while unsent_bytes(writer.transport):
                    await asyncio.sleep(0.01)
            writer.close()
            peer.close()
            server.close()
            return waiting

        with asyncio.Runner(loop_factory=loop_factory) as runner:
            assert runner.run(scenario()) > 0


class FakeTransport:
    """A connection of which much waits in the process."""

    def __init__(self, sock):
        self.sock = sock

    def get_extra_info(self, name):
        return self.sock

    def get_write_buffer_size(self):
        return SIZE


class TestKeepUnsent:
    @pytest.mark.parametrize("text", ["4096", "unknown", None])
    def test_buffer_is_made_no_smaller(self, tmp_path, monkeypatch, text):
        """The system may have enlarged it beyond what a process may ask for."""
        path = tmp_path / "wmem_max"
        if text is not None:
            path.write_text(text)
        monkeypatch.setattr(unsent, "LARGEST_BUFFER_FILE", path)
        calls = []

        class Socket:
            def getsockopt(self, level, option):
                return 400_000

            def setsockopt(self, level, option, size):
                calls.append(size)

            def fileno(self):
                return -1

        keep_unsent(FakeTransport(Socket()))
        assert calls == []
