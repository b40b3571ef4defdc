import asyncio

import pytest

from wisteriapulley.errors import ResultCode, WireError, WisteriapulleyError
from wisteriapulley.settings import Address
from wisteriapulley.wire import Frame, LinkServer, codec, connect, messages
from wisteriapulley.wire.handshake import Identity

KEY = b"k" * 32
HOUR_MS = 3_600_000


def identity(name="a", key=KEY):
    return Identity(name, "control", "palermo", 1, key)


class TestCodec:
    def roundtrip(self, frame):
        data = codec.encode(frame)
        head = data[: codec.HEADER.size]
        message_bytes, body_bytes = codec.parse_header(head)
        payload = data[codec.HEADER.size :]
        assert (len(payload), len(frame.body)) == (message_bytes, body_bytes)
        return codec.decode(payload, frame.body)

    def test_every_message_survives(self):
        for kind in codec.KINDS.values():
            frame = Frame(3, 4, kind(), b"body")
            assert self.roundtrip(frame) == frame

    def test_nested_lists(self):
        record = messages.LogRecord(1, 2, 3, b"\x00\xff")
        message = messages.AppendRequest(1, "n", 1, 1, 0, (record, record), 9)
        assert self.roundtrip(Frame(1, 0, message)).message == message

    @pytest.mark.parametrize("payload", [b"", b"\x00" * 8, b"\xff" * 64, b"abc"])
    def test_garbage_is_a_coded_error(self, payload):
        with pytest.raises(WireError) as caught:
            codec.decode(payload)
        assert caught.value.code == ResultCode.FRAME_MALFORMED

    def test_too_long(self):
        header = codec.HEADER.pack(codec.MAGIC, 1 << 31, 0)
        with pytest.raises(WireError) as caught:
            codec.parse_header(header)
        assert caught.value.code == ResultCode.FRAME_TOO_LARGE


class TestLink:
    async def pair(self, handler, client_key=KEY):
        server = LinkServer(
            identity("server"), handler, messages.Heartbeat, HOUR_MS, HOUR_MS
        )
        address = await server.start(Address("127.0.0.1", 0))
        client = identity("client", client_key)
        try:
            link = await connect(
                address, client, handler, messages.Heartbeat, HOUR_MS, HOUR_MS
            )
        except WireError:
            await server.stop()
            raise
        return server, link

    def test_request_and_failure(self):
        async def handler(link, frame):
            if isinstance(frame.message, messages.Ack):
                raise WisteriapulleyError(ResultCode.OVERLOADED, "full", 70)
            link.post(frame.message, reply_to=frame.id, body=frame.body)

        async def run():
            server, link = await self.pair(handler)
            frame = await link.request(messages.HaveQuery("v"), 5, b"raw")
            assert (frame.message, frame.body) == (messages.HaveQuery("v"), b"raw")
            with pytest.raises(WisteriapulleyError) as caught:
                await link.request(messages.Ack(), 5)
            assert caught.value.retry_after_ms == 70
            await server.stop()
            await link.closed.wait()

        asyncio.run(run())

    def test_wrong_fleet_key_is_refused(self):
        async def run():
            await self.pair(None, b"x" * 32)

        with pytest.raises(WireError) as caught:
            asyncio.run(run())
        assert caught.value.code == ResultCode.AUTHENTICATION_FAILED
