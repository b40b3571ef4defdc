"""Answers over a real link: flow control, crossed replies, cut streams."""

import asyncio

import pytest

from wisteriapulley.entry.answer import read_parts
from wisteriapulley.errors import RequestError, ResultCode, WireError
from wisteriapulley.settings import Address
from wisteriapulley.sidecar.answers import AnswerSender
from wisteriapulley.wire import LinkServer, connect, messages
from wisteriapulley.wire.flow import ANSWER_WINDOW_BYTES
from wisteriapulley.wire.handshake import Identity

KEY = b"k" * 32
HOUR_MS = 3_600_000
PART = b"x" * 10_000
PARTS = 200


class FakeSidecar:
    """The sidecar's end of the link: answers each request."""

    def __init__(self, answer):
        self.answer = answer
        self.sender = AnswerSender()
        self.bytes_sent = 0

    async def handle(self, link, frame):
        if isinstance(frame.message, messages.Credit):
            self.sender.add_credit(link, frame.message)
        else:
            await self.answer(self, link, frame)

    async def parts(self):
        for _ in range(PARTS):
            self.bytes_sent += len(PART)
            yield PART


def with_link(answer):
    def wrap(test):
        def run(self):
            asyncio.run(start(test, self))

        async def start(test, self):
            sidecar = FakeSidecar(answer)
            server = LinkServer(
                Identity("s", "sidecar", "d", 1, KEY),
                sidecar.handle,
                messages.Heartbeat,
                HOUR_MS,
                HOUR_MS,
            )
            address = await server.start(Address("127.0.0.1", 0))
            link = await connect(
                address,
                Identity("e", "entry", "d", 1, KEY),
                None,
                messages.Heartbeat,
                HOUR_MS,
                HOUR_MS,
            )
            try:
                async with asyncio.timeout(20):
                    await test(self, sidecar, link.call(messages.HaveQuery("v")))
            finally:
                link.close()
                await server.stop()

        return run

    return wrap


async def send_all(sidecar, link, frame):
    await sidecar.sender.send_parts(link, "r", frame, sidecar.parts())


async def send_crossed(sidecar, link, frame):
    link.post(messages.AnswerPart("other", 0), reply_to=frame.id, body=b"no")
    link.post(messages.AnswerPart("r", 0), reply_to=frame.id, body=b"")
    link.post(messages.AnswerEnd("r", 0, 0), reply_to=frame.id)


async def send_short(sidecar, link, frame):
    link.post(messages.AnswerPart("r", 0), reply_to=frame.id, body=b"half")
    link.post(messages.AnswerEnd("r", 8, 0), reply_to=frame.id)


async def send_cut(sidecar, link, frame):
    link.post(messages.AnswerPart("r", 0), reply_to=frame.id, body=b"half")
    await asyncio.sleep(0.05)
    link.close()


class TestReadParts:
    @with_link(send_all)
    async def test_slow_caller_holds_at_most_one_window(self, sidecar, call):
        parts = read_parts(call, "r")
        await anext(parts)
        await asyncio.sleep(0.2)
        assert sidecar.bytes_sent <= ANSWER_WINDOW_BYTES + 2 * len(PART)
        size = len(PART) + sum([len(part) async for part in parts])
        assert size == PARTS * len(PART)
        assert not sidecar.sender.windows

    @with_link(send_crossed)
    async def test_crossed_answer_is_dropped_and_counted(self, sidecar, call):
        assert [part async for part in read_parts(call, "r")] == [b""]
        assert call.link.crossed_replies == 1

    @with_link(send_short)
    async def test_short_answer_is_cut(self, sidecar, call):
        with pytest.raises(RequestError) as caught:
            [part async for part in read_parts(call, "r")]
        assert caught.value.code == ResultCode.ANSWER_CUT

    @with_link(send_cut)
    async def test_lost_link_is_an_error(self, sidecar, call):
        with pytest.raises(WireError):
            [part async for part in read_parts(call, "r")]
