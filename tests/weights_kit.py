"""In-process swarms, sources and versions for tests of weight distribution."""

import asyncio
import json
from pathlib import Path

import aiohttp

from tests.fakes.origin import FakeOrigin, serve
from tests.fakes.records import Records
from tests.fleet import free_port, seeded_bytes
from wisteriapulley.settings import Address
from wisteriapulley.weights import ChunkStore, Peer, build_manifest
from wisteriapulley.weights.pace import LinkBudget
from wisteriapulley.weights.source import HttpSource
from wisteriapulley.weights.swarm import Swarm
from wisteriapulley.wire import LinkServer, messages
from wisteriapulley.wire.handshake import Identity
from wisteriapulley.wire.link import connect

KEY = b"k" * 64
CHUNK_BYTES = 1 << 14
CHUNKS = 16


def publish(folder: Path, seed: int, shared_chunks: int = 0):
    """Write a version under `folder`; return its manifest."""
    work_folder = folder / f"work-{seed}"
    work_folder.mkdir(parents=True)
    shared = seeded_bytes(0, shared_chunks * CHUNK_BYTES)
    own = seeded_bytes(seed, (CHUNKS - shared_chunks) * CHUNK_BYTES)
    (work_folder / "model.bin").write_bytes(shared + own)
    manifest = build_manifest(str(work_folder), CHUNK_BYTES)
    version_folder = folder / manifest.digest
    version_folder.mkdir()
    work_folder.rename(version_folder / "files")
    (version_folder / "manifest.json").write_bytes(manifest.to_bytes())
    return manifest


class SwarmNode:
    """Swarm with its listener, as in a sidecar."""

    def __init__(self, name: str, domain: str, sources, rank_delay_ms, store=None):
        budget = LinkBudget(0)
        self.swarm = Swarm(
            Peer(name, domain), store or ChunkStore(), sources, budget, rank_delay_ms
        )
        self.identity = Identity(name, "sidecar", domain, 1, KEY)
        self.server = LinkServer(
            self.identity, self.handle, messages.Heartbeat, 100, 1000
        )
        self.server.on_open = self.swarm.add_link
        self.server.on_close = self.swarm.drop_link
        self.mute = False
        self.corrupt = False
        self.chunk_queries = 0

    async def handle(self, link, frame) -> None:
        """Dispatch frames as the sidecar's service does."""
        message = frame.message
        if isinstance(message, messages.Have):
            self.swarm.receive_have(link, message)
        elif isinstance(message, messages.HaveQuery):
            self.swarm.receive_have_query(link, message)
        elif isinstance(message, messages.ChunkCancel):
            self.swarm.uploader.cancel(link, message)
        elif isinstance(message, messages.ChunkQuery):
            await self.answer_chunk(link, message, frame)

    async def answer_chunk(self, link, message, frame) -> None:
        """Answer a chunk query: not if `mute`, with a flipped bit if `corrupt`."""
        self.chunk_queries += 1
        if self.mute:
            return
        if self.corrupt:
            data = self.swarm.store.get(message.digest) or b"x"
            corrupted = bytes([data[0] ^ 1]) + data[1:]
            reply = messages.Chunk(message.digest, 0, len(corrupted))
            link.post(reply, reply_to=frame.id, body=corrupted)
            return
        await self.swarm.receive_chunk_query(link, message, frame)

    async def open(self, other: "SwarmNode") -> None:
        """Open a link to another node."""
        link = await connect(
            other.address, self.identity, self.handle, messages.Heartbeat, 100, 1000
        )
        link.on_close = self.swarm.drop_link
        self.swarm.add_link(link)


class SwarmNet:
    """Fully connected nodes, an origin and a weight store."""

    def __init__(self, folder: Path):
        self.folder = folder
        self.records = Records(str(folder / "origin.jsonl"))
        self.origin = FakeOrigin(str(folder), self.records)
        self.store = FakeOrigin(str(folder), Records(str(folder / "store.jsonl")))
        self.nodes: list[SwarmNode] = []

    async def start(self, count: int, rank_delay_ms: float = 300, store=None) -> None:
        """Start the sources and `count` nodes."""
        self.session = aiohttp.ClientSession()
        ports = [free_port(), free_port()]
        self.runners = [
            await serve(fake.app, port)
            for fake, port in zip((self.origin, self.store), ports, strict=True)
        ]
        urls = [f"http://127.0.0.1:{port}" for port in ports]
        for number in range(count):
            budget = LinkBudget(0)
            sources = [HttpSource(self.session, u, budget, budget) for u in urls]
            node = SwarmNode(f"n{number}", "d", sources, rank_delay_ms, store)
            node.address = await node.server.start(Address("127.0.0.1", 0))
            self.nodes.append(node)
        for number, node in enumerate(self.nodes):
            node.swarm.set_members([other.swarm.me for other in self.nodes])
            for other in self.nodes[:number]:
                await node.open(other)
        await asyncio.sleep(0.05)

    def bytes_sent_by_origin(self, version: str) -> int:
        """Return the number of file bytes of a version that the origin sent."""
        lines = (self.folder / "origin.jsonl").read_text().splitlines()
        return sum(
            record["bytes"]
            for record in map(json.loads, lines)
            if f"{version}/files" in record["path"]
        )

    async def stop(self) -> None:
        """Stop all nodes and sources."""
        for node in self.nodes:
            await node.server.stop()
            for link in node.swarm.open_links():
                link.close()
        for runner in self.runners:
            await runner.cleanup()
        await self.session.close()


def run_net(folder: Path, scenario, *arguments, **options) -> None:
    """Run a scenario on a new net, with a time limit."""

    async def run() -> None:
        net = SwarmNet(folder)
        try:
            async with asyncio.timeout(20):
                await net.start(*arguments, **options)
                await scenario(net)
        finally:
            await net.stop()

    asyncio.run(run())
