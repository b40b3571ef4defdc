"""Copies from holders that are still copying themselves."""

import asyncio
import hashlib

import pytest

from wisteriapulley.errors import ResultCode, WeightsError
from wisteriapulley.weights import download as download_module
from wisteriapulley.weights.download import Download
from wisteriapulley.weights.pieces import PieceManifest

COUNT = 40
IN_FLIGHT = 2


def data_of(position):
    return b"%d" % position * 10


MANIFEST = PieceManifest(
    "m", 7, 20, 4, tuple(hashlib.sha256(data_of(n)).digest() for n in range(COUNT))
)


class Holder:
    """Holds some pieces, and more with time; may fail for a while."""

    def __init__(self, name, held, max_in_flight=IN_FLIGHT):
        self.name = self.key = name
        self.max_in_flight = max_in_flight
        self.pieces = set(held)
        self.more = asyncio.Event()
        self.failures = 0
        self.asked = []
        self.flying = self.most_flying = 0

    def gains(self, positions):
        self.pieces.update(positions)
        self.more.set()
        self.more = asyncio.Event()

    async def held_pieces(self, manifest, known):
        while len(self.pieces) <= known:
            await self.more.wait()
        return frozenset(self.pieces)

    async def piece(self, model, version, position):
        self.asked.append(position)
        self.flying += 1
        self.most_flying = max(self.most_flying, self.flying)
        await asyncio.sleep(0)
        self.flying -= 1
        if self.failures:
            self.failures -= 1
            raise WeightsError(ResultCode.SOURCE_UNAVAILABLE, "away")
        assert position in self.pieces
        return data_of(position)


class Copy:
    """A download and what it kept."""

    def __init__(self, holders, retry_s=0.0):
        self.kept = {}
        self.download = Download(
            MANIFEST, range(COUNT), lambda _: holders, self.keep, IN_FLIGHT, retry_s
        )

    async def keep(self, position, data):
        assert position not in self.kept
        self.kept[position] = data

    async def until(self, count):
        while len(self.kept) < count:
            await asyncio.sleep(0)


@pytest.fixture(autouse=True)
def short_times(monkeypatch):
    monkeypatch.setattr(download_module, "HOLDER_REFRESH_S", 0.01)


class TestDownload:
    def test_missing_piece_holds_up_none_behind_it(self):
        """Load: the origin went away with the first piece not drawn."""

        async def run():
            holder = Holder("a", range(1, COUNT))
            copy = Copy([holder])
            running = asyncio.create_task(copy.download.run())
            await copy.until(COUNT - 1)
            assert holder.asked == list(range(1, COUNT))
            holder.gains([0])
            await running
            assert copy.kept == {n: data_of(n) for n in range(COUNT)}

        asyncio.run(run())

    def test_every_piece_is_asked_for_once_among_several_holders(self):
        async def run():
            holders = [Holder("a", range(COUNT)), Holder("b", range(COUNT))]
            copy = Copy(holders)
            await copy.download.run()
            asked = sorted(holders[0].asked + holders[1].asked)
            assert asked == list(range(COUNT))
            assert holders[0].asked and holders[1].asked

        asyncio.run(run())

    def test_holder_that_fails_is_asked_one_piece_at_a_time(self):
        """Load: hundreds of copies while the origin is away."""

        async def run():
            holder = Holder("a", range(COUNT))
            holder.failures = 30
            copy = Copy([holder])
            running = asyncio.create_task(copy.download.run())
            await copy.until(1)
            assert holder.most_flying <= IN_FLIGHT
            assert len(holder.asked) <= 30 + IN_FLIGHT
            await running
            assert len(copy.kept) == COUNT

        asyncio.run(run())

    def test_other_holder_takes_over_from_one_that_is_gone(self):
        async def run():
            holders = [Holder("a", range(COUNT))]
            holders[0].failures = 10**6
            copy = Copy(holders, retry_s=0.01)
            running = asyncio.create_task(copy.download.run())
            await asyncio.sleep(0.02)
            holders[:] = [Holder("b", range(COUNT))]
            await running
            assert len(copy.kept) == COUNT

        asyncio.run(run())

    def test_holder_that_lies_spoils_nothing(self):
        async def run():
            class Liar(Holder):
                async def piece(self, model, version, position):
                    await super().piece(model, version, position)
                    return b"spoilt" if len(self.asked) % 2 else data_of(position)

            copy = Copy([Liar("a", range(COUNT))])
            await copy.download.run()
            assert copy.kept == {n: data_of(n) for n in range(COUNT)}

        asyncio.run(run())

    def test_cancelled_copy_leaves_no_task_behind(self):
        async def run():
            copy = Copy([Holder("a", range(3))])
            running = asyncio.create_task(copy.download.run())
            await copy.until(3)
            running.cancel()
            await asyncio.gather(running, return_exceptions=True)
            await asyncio.sleep(0)
            assert asyncio.all_tasks() == {asyncio.current_task()}

        asyncio.run(run())
