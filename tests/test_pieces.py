"""What a control instance draws when engines ask for weights."""

import asyncio
import hashlib
from types import SimpleNamespace

import pytest

from tests.test_rollout import CorruptingSource
from wisteriapulley.control import pieces as pieces_module
from wisteriapulley.control.pieces import PieceServer
from wisteriapulley.errors import ResultCode, WeightsError
from wisteriapulley.rollout import staging as staging_module
from wisteriapulley.rollout.staging import (
    MAX_CONCURRENT_READS,
    DownloadRate,
    StagingArea,
)
from wisteriapulley.weights.chunk_bitmap import pack_bitmap
from wisteriapulley.weights.pieces import PieceManifest
from wisteriapulley.weights.relay import Relay
from wisteriapulley.wire import Frame, messages

SETTINGS = SimpleNamespace(
    node_id="c", failure_domain="z", failure_domain_regions={"z": "r"}
)


class FakeLink:
    """Keeps what is posted."""

    peer_id = "sidecar"

    def __init__(self):
        self.posted = []

    def post(self, message, reply_to=0, body=b""):
        self.posted.append(message)


def serve(scenario):
    """Play a scenario with a server of pieces and its origin."""

    async def run():
        origin = CorruptingSource()
        server = PieceServer(SETTINGS, None, lambda: None)
        server.relay = Relay(lambda: [origin])
        await scenario(server, origin)
        server.stop()

    asyncio.run(run())


async def ask_manifest(server):
    """Ask a server for a manifest; return what it answered."""
    link, query = FakeLink(), messages.ManifestQuery("m", 7)
    await server.answer_manifest(query, link, Frame(1, 0, query, b""))
    return link.posted


class TestPieceServer:
    def test_pieces_that_nobody_lacks_do_not_hold_a_manifest_up(self):
        """After a loss of all, engines that hold their pieces want manifests only."""

        async def scenario(server, origin):
            assert isinstance((await ask_manifest(server))[0], messages.ManifestReply)
            await asyncio.sleep(0.01)
            assert origin.requested == []

        serve(scenario)

    def test_pieces_are_drawn_at_once_where_one_is_lacked(self):
        async def scenario(server, origin):
            await ask_manifest(server)
            query, link = messages.HeldQuery("m", 7, 0, 1000), FakeLink()
            await server.answer_held(query, link, Frame(2, 0, query, b""))
            assert link.posted[0].pieces > 0

        serve(scenario)

    def test_version_that_is_weighed_against_another_is_drawn(self):
        """Load: a second version is named while sidecars still copy the first."""

        async def scenario(server, origin):
            await ask_manifest(server)
            query, link = messages.HeldQuery("m", 7), FakeLink()
            await server.answer_held(query, link, Frame(2, 0, query, b""))
            await server.relay.prefetch_tasks["m"][1]
            assert len(server.relay.pieces) == 40

        serve(scenario)

    def test_question_that_only_looks_draws_nothing(self):
        async def scenario(server, origin):
            await ask_manifest(server)
            query, link = messages.HeldQuery("m", 7, only_looks=True), FakeLink()
            await server.answer_held(query, link, Frame(2, 0, query, b""))
            assert link.posted[0].pieces == 0
            assert not server.relay.prefetch_tasks

        serve(scenario)

    def test_pieces_are_drawn_ahead_of_newcomers(self, monkeypatch):
        monkeypatch.setattr(pieces_module, "PREFETCH_DELAY_S", 0.0)

        async def scenario(server, origin):
            await ask_manifest(server)
            await asyncio.sleep(0.01)
            await server.relay.prefetch_tasks["m"][1]
            assert len(server.relay.pieces) == 40

        serve(scenario)


class FakeEngine:
    """Holds every piece of a version."""

    def __init__(self, pieces):
        self.pieces = pieces
        self.reading = 0
        self.most_reading = 0

    async def staged(self, model):
        return set(range(len(self.pieces)))

    async def staged_piece(self, model, position):
        self.reading += 1
        self.most_reading = max(self.most_reading, self.reading)
        await asyncio.sleep(0)
        self.reading -= 1
        return self.pieces[position]


class LateEngine(FakeEngine):
    """Answers from its `answers_from`th question on; it then takes pieces."""

    def __init__(self, pieces, answers_from):
        super().__init__(pieces)
        self.answers_from = answers_from
        self.questions = 0
        self.taken = []

    async def staged(self, model):
        self.questions += 1
        if self.questions < self.answers_from:
            raise WeightsError(ResultCode.SOURCE_UNAVAILABLE, "not up yet")
        return {n for n, piece in enumerate(self.pieces) if piece is not None}

    async def stage(self, model, position, data):
        self.taken.append(position)
        self.pieces[position] = data


class HoldingLink:
    """A control instance that holds all pieces, or none."""

    peer_id = "c"

    def __init__(self, pieces):
        self.pieces = pieces
        self.asked = []

    async def request(self, query, timeout_s):
        if isinstance(query, messages.HeldQuery):
            held = len(self.pieces)
            bitmap = pack_bitmap(set(range(held)), 8)
            return Frame(1, 1, messages.Held(held, 8, bitmap))
        self.asked.append(query.position)
        data = self.pieces[query.position]
        return Frame(1, 1, messages.Piece(len(data)), data)


class TestFetchingAhead:
    """Load: engines that start a second after their sidecars, as traffic steps up."""

    def copy(self, engine, held, answered=False):
        """Copy at an engine from an instance; return the pieces that it was asked."""
        pieces = [b"%d" % n for n in range(8)]
        digests = tuple(hashlib.sha256(piece).digest() for piece in pieces)
        manifest = PieceManifest("m", 1, 1, 4, digests)
        link = HoldingLink(pieces if held else [])
        staging = StagingArea(engine, lambda: [link], lambda link: True, DownloadRate)
        staging.engine_answered = answered

        async def run():
            async with asyncio.timeout(5):
                await staging.fetch_missing(manifest)

        try:
            asyncio.run(run())
        finally:
            asked = sorted(link.asked)
        assert not staging.missing(manifest) and staging.done_fraction == 1.0
        return asked

    def test_pieces_wait_for_an_engine_that_is_not_up_yet(self):
        engine = LateEngine([None] * 8, answers_from=4)
        assert self.copy(engine, held=True) == list(range(8))
        assert sorted(engine.taken) == list(range(8))

    def test_only_so_much_waits_in_memory(self, monkeypatch):
        """Weights may be far larger than what an instance has to spare."""
        monkeypatch.setattr(staging_module, "MAX_PREFETCH_BYTES", 3)
        monkeypatch.setattr(staging_module, "ENGINE_RETRY_DELAY_S", 0.0)
        engine = LateEngine([None] * 8, answers_from=4)
        assert self.copy(engine, held=True) == list(range(8))
        assert sorted(engine.taken) == list(range(8))

    def test_pieces_that_lie_there_are_not_put_there_again(self):
        """A killed instance comes back: its engine kept what it had."""
        lying = [b"%d" % n if n < 6 else None for n in range(8)]
        engine = LateEngine(lying, answers_from=4)
        self.copy(engine, held=True)
        assert sorted(engine.taken) == [6, 7]

    def test_origin_is_not_drawn_from_for_it(self):
        """Load: after a loss of all no instance holds a piece."""
        engine = LateEngine([None] * 8, answers_from=4)
        with pytest.raises(WeightsError):
            self.copy(engine, held=False)
        assert engine.questions == 1

    def test_crashed_engine_is_waited_for(self):
        """It kept its pieces, as a crash does not lose them."""
        engine = LateEngine([None] * 8, answers_from=4)
        with pytest.raises(WeightsError):
            self.copy(engine, held=True, answered=True)


class TestStaging:
    def test_pieces_are_read_back_some_at_a_time(self):
        """Load: all engines start again, and nobody is served until they are read."""
        pieces = [b"%d" % n for n in range(50)]
        digests = tuple(hashlib.sha256(piece).digest() for piece in pieces)
        manifest = PieceManifest("m", 1, 1, 4, digests)
        pieces[7] = pieces[49] = b"spoilt"
        engine = FakeEngine(pieces)
        staging = StagingArea(engine, list, lambda link: True, DownloadRate)
        bad = asyncio.run(staging.find_bad_pieces(manifest, range(50)))
        assert bad == [7, 49]
        assert staging.missing(manifest) == bad
        assert 1 < engine.most_reading <= MAX_CONCURRENT_READS

    def test_copy_that_lacks_nothing_asks_nobody(self):
        """What asks which pieces are held makes the instances draw them all."""
        pieces = [b"%d" % n for n in range(8)]
        digests = tuple(hashlib.sha256(piece).digest() for piece in pieces)
        manifest = PieceManifest("m", 1, 1, 4, digests)
        asked = []

        def upstream():
            asked.append(True)
            return []

        staging = StagingArea(
            FakeEngine(pieces), upstream, lambda link: True, DownloadRate
        )

        async def run():
            async with asyncio.timeout(5):
                await staging.fetch_missing(manifest)

        asyncio.run(run())
        assert not asked and staging.done_fraction == 1.0
