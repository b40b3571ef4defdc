"""The bodies of all requests together fit into the memory that an entry has for them.

A burst of large ones used up its memory, and requests in progress ended with it.
"""

import asyncio
import re

import pytest

from tests.test_platform_path import settings_file
from tests.test_requests_read_at_a_stop import MAX_BODY_BYTES, play, until
from wisteriapulley.direct.kept_bytes import (
    DEFAULT_REQUEST_BYTES,
    UNCOUNTED_BYTES,
    KeptBytes,
)

__all__ = ["play"]

LARGE = UNCOUNTED_BYTES + 20_000
# Room for one large body, and for small ones.
ROOM = 25_000


def head(number, length, max_wait_ms=6000):
    """Return the head of a request; without a length its body comes in chunks."""
    framing = b"Transfer-Encoding: chunked"
    if length is not None:
        framing = b"Content-Length: %d" % length
    return (
        b"POST /p/%d HTTP/1.1\r\nHost: h.example\r\nX-Request-Attempt-Id: %d\r\n"
        b"X-Deadline-Ms: %d\r\n%s\r\n\r\n" % (number, number, max_wait_ms, framing)
    )


def chunk(length):
    return b"%x\r\n%s\r\n" % (length, b"x" * length)


class Caller:
    """One more caller of an entry."""

    @classmethod
    async def connect(cls, entry):
        caller = cls()
        caller.reader, caller.writer = await asyncio.open_connection(
            "127.0.0.1", entry.port
        )
        return caller

    async def status(self):
        """Return the status of the next response, and its `Retry-After`."""
        received = (await self.reader.readuntil(b"\r\n\r\n")).decode()
        retry = re.search(r"Retry-After: ([0-9.]+)", received)
        return int(received.split()[1]), float(retry[1]) if retry else 0.0


async def keep_large_body(entry):
    """Let a large body fill the memory until its request is answered."""
    entry.ingress.kept_bodies = KeptBytes(ROOM)
    entry.writer.write(head(1, LARGE) + b"x" * LARGE)
    await until(lambda: entry.handled == ["1"])


class TestMemoryInUse:
    def test_stated_length_is_refused_before_its_body_comes(self, play):
        async def scenario(entry):
            await keep_large_body(entry)
            caller = await Caller.connect(entry)
            caller.writer.write(head(2, LARGE))
            status, retry_s = await caller.status()
            assert status == 503 and 0.0 < retry_s < 6.0
            assert entry.handled == ["1"]
            caller.writer.close()

        play(scenario)

    @pytest.mark.parametrize("end", [b"\r\n", b"\r\nExpect: 100-continue\r\n"])
    def test_stated_length_that_is_never_allowed_is_told_at_once(self, play, end):
        """Its caller would return in vain."""

        async def scenario(entry):
            await keep_large_body(entry)
            caller = await Caller.connect(entry)
            too_long = head(2, MAX_BODY_BYTES + 1)
            caller.writer.write(too_long.replace(b"\r\n\r\n", end + b"\r\n"))
            assert (await caller.status())[0] == 413
            caller.writer.close()

        play(scenario)

    def test_body_in_chunks_is_refused_as_it_grows(self, play):
        async def scenario(entry):
            await keep_large_body(entry)
            caller = await Caller.connect(entry)
            caller.writer.write(head(2, None) + chunk(LARGE))
            assert (await caller.status())[0] == 503
            assert entry.handled == ["1"]
            caller.writer.close()

        play(scenario)

    def test_small_requests_are_served(self, play):
        async def scenario(entry):
            await keep_large_body(entry)
            caller = await Caller.connect(entry)
            caller.writer.write(head(2, 900) + b"x" * 900)
            await until(lambda: entry.handled == ["1", "2"])
            entry.may_answer.set()
            assert (await caller.status())[0] == 200
            caller.writer.close()

        play(scenario)


class TestMemoryIsFreeAgain:
    async def send_large_body(self, entry):
        caller = await Caller.connect(entry)
        caller.writer.write(head(9, LARGE) + b"x" * LARGE)
        await until(lambda: "9" in entry.handled)
        entry.may_answer.set()
        assert (await caller.status())[0] == 200
        caller.writer.close()

    def test_after_a_response(self, play):
        async def scenario(entry):
            await keep_large_body(entry)
            entry.may_answer.set()
            await until(lambda: entry.statuses == [200])
            await self.send_large_body(entry)

        play(scenario)

    @pytest.mark.parametrize("length", [LARGE, None])
    def test_after_a_caller_left_amid_its_body(self, play, length):
        async def scenario(entry):
            entry.ingress.kept_bodies = KeptBytes(ROOM)
            caller = await Caller.connect(entry)
            caller.writer.write(head(2, length) + chunk(LARGE - 1000))
            await until(lambda: entry.ingress.kept_bodies.reserved)
            caller.writer.close()
            await until(lambda: not entry.ingress.kept_bodies.reserved)
            await self.send_large_body(entry)

        play(scenario)

    @pytest.mark.parametrize("length", [LARGE, None])
    def test_after_a_body_that_takes_longer_than_its_caller_waits(self, play, length):
        async def scenario(entry):
            entry.ingress.kept_bodies = KeptBytes(ROOM)
            caller = await Caller.connect(entry)
            caller.writer.write(head(2, length, 300) + chunk(LARGE - 1000))
            assert (await caller.status())[0] == 503
            assert not entry.handled and not entry.ingress.kept_bodies.reserved
            await self.send_large_body(entry)
            caller.writer.close()

        play(scenario)


class TestSettings:
    @pytest.mark.parametrize(
        ("memory_mb", "expected"), [(300, 50 << 20), (0, DEFAULT_REQUEST_BYTES)]
    )
    def test_memory_follows_from_that_of_the_process(
        self, tmp_path, memory_mb, expected
    ):
        settings = settings_file(str(tmp_path), "127.0.0.1", 7000)
        settings.limits.memory_mb = memory_mb
        assert settings.entry_settings("key").request_body_bytes == expected
