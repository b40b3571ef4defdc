import asyncio

import pytest

from tests.weights_kit import CHUNK_BYTES, publish, run_net
from wisteriapulley.errors import ResultCode, WeightsError
from wisteriapulley.weights import ChunkStore, FolderStore
from wisteriapulley.weights import chunk_download as download_module
from wisteriapulley.weights.swarm import ChunkDownload


async def fetch_all(net, manifest, nodes=None):
    await asyncio.gather(
        *(
            node.swarm.fetch_version(manifest.digest, "origin_bytes")
            for node in nodes or net.nodes
        )
    )


def is_complete(node, manifest):
    return all(span.digest in node.swarm.store for span in manifest.spans)


class TestSwarm:
    def test_one_copy_from_the_origin_serves_all(self, tmp_path):
        manifest = publish(tmp_path, 1)

        async def scenario(net):
            await fetch_all(net, manifest)
            assert all(is_complete(node, manifest) for node in net.nodes)
            assert net.bytes_sent_by_origin(manifest.digest) == manifest.size

        run_net(tmp_path, scenario, 4, rank_delay_ms=5000)

    def test_instance_that_joins_late_draws_nothing_from_the_origin(self, tmp_path):
        manifest = publish(tmp_path, 1)

        async def scenario(net):
            await fetch_all(net, manifest, net.nodes[:3])
            before = net.bytes_sent_by_origin(manifest.digest)
            await fetch_all(net, manifest, net.nodes[3:])
            assert is_complete(net.nodes[3], manifest)
            assert net.bytes_sent_by_origin(manifest.digest) == before

        run_net(tmp_path, scenario, 4)

    def test_chunks_shared_with_the_held_version_are_not_fetched_again(self, tmp_path):
        old, new = publish(tmp_path, 1, 10), publish(tmp_path, 2, 10)

        async def scenario(net):
            await fetch_all(net, old)
            net.nodes[0].swarm.serving_version = old.digest
            await fetch_all(net, new)
            assert net.bytes_sent_by_origin(new.digest) == 6 * CHUNK_BYTES
            assert is_complete(net.nodes[0], old)
            net.nodes[0].swarm.keep_only({new.digest})
            assert net.nodes[0].swarm.store.size == new.size
            assert list(net.nodes[0].swarm.manifests) == [new.digest]

        run_net(tmp_path, scenario, 1)

    def test_superseded_download_stops_and_keeps_shared_chunks(self, tmp_path):
        old, new = publish(tmp_path, 1, 10), publish(tmp_path, 2, 10)

        async def scenario(net):
            swarm = net.nodes[0].swarm
            net.origin.link.bytes_per_s = 8 * CHUNK_BYTES
            task = asyncio.create_task(swarm.fetch_version(old.digest, "origin_bytes"))
            while swarm.store.size < 4 * CHUNK_BYTES:
                await asyncio.sleep(0.01)
            first = swarm.download
            task.cancel()
            net.origin.link.bytes_per_s = 0
            await swarm.fetch_version(new.digest, "origin_bytes")
            assert first.chart.state == "superseded"
            assert not first.fetch_tasks
            assert swarm.download.version == new.digest
            assert is_complete(net.nodes[0], new)
            assert net.bytes_sent_by_origin(new.digest) < new.size

        run_net(tmp_path, scenario, 1)

    def test_peer_that_sends_corrupted_bytes_is_banned(self, tmp_path):
        manifest = publish(tmp_path, 1)

        async def scenario(net):
            await fetch_all(net, manifest, net.nodes[:2])
            net.nodes[0].corrupt = True
            await fetch_all(net, manifest, net.nodes[2:])
            swarm = net.nodes[2].swarm
            assert is_complete(net.nodes[2], manifest)
            assert "n0" in swarm.download.schedule.banned_peers
            assert swarm.corrupted_by_source["n0"] >= 1

        run_net(tmp_path, scenario, 3)

    def test_unresponsive_peer_is_replaced_mid_download(self, tmp_path, monkeypatch):
        """The only holder sends heartbeats but no chunks: the origin must be asked."""
        monkeypatch.setattr(download_module, "PART_TIMEOUT_S", 1e9)
        manifest = publish(tmp_path, 1)

        async def scenario(net):
            await fetch_all(net, manifest, net.nodes[:1])
            net.nodes[0].mute = True
            net.nodes[1].swarm.manifests[manifest.digest] = manifest
            await fetch_all(net, manifest, net.nodes[1:])
            assert is_complete(net.nodes[1], manifest)
            assert net.nodes[0].chunk_queries
            assert net.bytes_sent_by_origin(manifest.digest) == 2 * manifest.size

        run_net(tmp_path, scenario, 2)

    def test_every_seeder_of_a_chunk_killed(self, tmp_path):
        manifest = publish(tmp_path, 1)

        async def scenario(net):
            killed, remaining = net.nodes[:2], net.nodes[2:]
            for node in killed:
                node.mute = True
            tasks = asyncio.create_task(fetch_all(net, manifest, remaining))
            await asyncio.sleep(0.2)
            for node in killed:
                await node.server.stop()
                for link in node.swarm.open_links():
                    link.close()
            await tasks
            assert all(is_complete(node, manifest) for node in remaining)

        run_net(tmp_path, scenario, 4)

    @pytest.mark.parametrize("corrupt_every", [3, 5])
    def test_bytes_corrupted_in_transit_from_the_origin(self, tmp_path, corrupt_every):
        manifest = publish(tmp_path, 1)

        async def scenario(net):
            net.origin.corrupt_every = corrupt_every
            await fetch_all(net, manifest)
            assert is_complete(net.nodes[0], manifest)

        run_net(tmp_path, scenario, 1)

    def test_weight_store_replaces_an_origin_that_changed(self, tmp_path):
        manifest = publish(tmp_path, 1)

        async def scenario(net):
            net.origin.corrupt_every = 1
            await fetch_all(net, manifest)
            assert is_complete(net.nodes[0], manifest)

        run_net(tmp_path, scenario, 1)

    def test_changed_origin_is_reported_with_its_code(self, tmp_path):
        manifest = publish(tmp_path, 1)

        async def scenario(net):
            net.origin.corrupt_every = net.store.corrupt_every = 1
            swarm = net.nodes[0].swarm
            task = asyncio.create_task(fetch_all(net, manifest))
            while "WP503" not in swarm.error_text():
                await asyncio.sleep(0.01)
            task.cancel()
            assert swarm.store.size == 0

        run_net(tmp_path, scenario, 1)

    def test_rate_limited_store_is_asked_again_after_its_retry_time(self, tmp_path):
        manifest = publish(tmp_path, 1)

        async def scenario(net):
            net.origin.requests_per_s = 0.001
            net.store.requests_per_s = 12
            await fetch_all(net, manifest)
            assert is_complete(net.nodes[0], manifest)
            assert net.nodes[0].swarm.sources[0].in_cooldown

        run_net(tmp_path, scenario, 1)

    def test_version_larger_than_the_store_fails_with_its_code(self, tmp_path):
        manifest = publish(tmp_path, 1)

        async def scenario(net):
            with pytest.raises(WeightsError) as caught:
                await fetch_all(net, manifest)
            assert caught.value.code == ResultCode.CHUNK_STORE_FULL

        run_net(tmp_path, scenario, 1, store=ChunkStore(CHUNK_BYTES))

    def test_restart_during_a_download_keeps_only_chunks_that_match(self, tmp_path):
        manifest = publish(tmp_path, 1)
        scratch = tmp_path / "scratch"
        data = (tmp_path / manifest.digest / "files" / "model.bin").read_bytes()
        store = FolderStore(str(scratch))
        for span in manifest.spans[:6]:
            store.put(span.digest, data[span.offset : span.end])
        (scratch / manifest.spans[0].digest).write_bytes(b"damaged")
        (scratch / "half.part").write_bytes(b"torn")

        async def scenario(net):
            await fetch_all(net, manifest)
            assert net.bytes_sent_by_origin(manifest.digest) == 11 * CHUNK_BYTES
            assert net.nodes[0].swarm.store.read(manifest, "model.bin", 0, 99999999)
            assert not (scratch / "half.part").exists()

        run_net(tmp_path, scenario, 1, store=FolderStore(str(scratch)))

    def test_progress_is_reported_in_a_limited_number_of_steps(self, tmp_path):
        manifest = publish(tmp_path, 1)

        async def scenario(net):
            download = ChunkDownload(net.nodes[0].swarm, manifest, "origin_bytes")
            reported = set()
            for done in range(manifest.size + 1):
                download.bytes_done = done
                reported.add(download.reported_bytes)
            assert len(reported) <= 22
            assert manifest.size in reported

        run_net(tmp_path, scenario, 1)
