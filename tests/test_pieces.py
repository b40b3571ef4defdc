"""What a control instance draws when engines ask for weights."""

import asyncio
import hashlib
from types import SimpleNamespace

from tests.test_rollout import SpoiltSource
from wisteriapulley.control import pieces as pieces_module
from wisteriapulley.control.pieces import PieceServer
from wisteriapulley.rollout.staging import Pace, Staging
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
        origin = SpoiltSource()
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
            assert origin.asked == []

        serve(scenario)

    def test_pieces_are_drawn_at_once_where_one_is_lacked(self):
        async def scenario(server, origin):
            await ask_manifest(server)
            query, link = messages.HeldQuery("m", 7, 0, 1000), FakeLink()
            await server.answer_held(query, link, Frame(2, 0, query, b""))
            assert link.posted[0].pieces > 0

        serve(scenario)

    def test_pieces_are_drawn_ahead_of_newcomers(self, monkeypatch):
        monkeypatch.setattr(pieces_module, "DRAW_AHEAD_S", 0.0)

        async def scenario(server, origin):
            await ask_manifest(server)
            await asyncio.sleep(0.01)
            await server.relay.prefetching["m"][1]
            assert len(server.relay.pieces) == 40

        serve(scenario)


class FakeEngine:
    """Holds every piece of a version."""

    def __init__(self, pieces):
        self.pieces = pieces

    async def staged(self, model):
        return set(range(len(self.pieces)))

    async def staged_piece(self, model, position):
        return self.pieces[position]


class TestStaging:
    def test_copy_that_lacks_nothing_asks_nobody(self):
        """What asks which pieces are held makes the instances draw them all."""
        pieces = [b"%d" % n for n in range(8)]
        digests = tuple(hashlib.sha256(piece).digest() for piece in pieces)
        manifest = PieceManifest("m", 1, 1, 4, digests)
        asked = []

        def upstream():
            asked.append(True)
            return []

        staging = Staging(FakeEngine(pieces), upstream, lambda link: True, Pace)

        async def run():
            async with asyncio.timeout(5):
                await staging.copy(manifest)

        asyncio.run(run())
        assert not asked and staging.done_share == 1.0
