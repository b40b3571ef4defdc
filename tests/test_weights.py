import random

import pytest

from wisteriapulley.errors import ResultCode, WeightsError
from wisteriapulley.weights import (
    ChunkStore,
    Manifest,
    Schedule,
    build_manifest,
    verify_folder,
)
from wisteriapulley.weights.schedule import ORIGIN, Peer


class TestManifest:
    def tree(self, tmp_path):
        (tmp_path / "b").mkdir()
        (tmp_path / "b" / "x.bin").write_bytes(bytes(range(256)) * 10)
        (tmp_path / "a.bin").write_bytes(b"hello")
        return build_manifest(str(tmp_path), 1000)

    def test_roundtrip_and_verify(self, tmp_path):
        manifest = self.tree(tmp_path)
        assert Manifest.from_bytes(manifest.to_bytes(), manifest.digest) == manifest
        verify_folder(str(tmp_path), manifest)
        assert [s.length for s in manifest.spans] == [5, 1000, 1000, 560]

    def test_changed_byte_is_found(self, tmp_path):
        manifest = self.tree(tmp_path)
        (tmp_path / "a.bin").write_bytes(b"hellO")
        with pytest.raises(WeightsError) as caught:
            verify_folder(str(tmp_path), manifest)
        assert caught.value.code == ResultCode.CHUNK_CORRUPTED

    def test_path_outside_is_refused(self):
        text = b'{"chunk_bytes":1,"files":[{"path":"../x","size":0,"chunks":[]}]}'
        with pytest.raises(WeightsError):
            Manifest.from_bytes(text)


class TestChunkStore:
    def test_only_verified_bytes_get_in(self, tmp_path):
        (tmp_path / "f").write_bytes(b"abcdef")
        manifest = build_manifest(str(tmp_path), 4)
        store = ChunkStore()
        with pytest.raises(WeightsError):
            store.put(manifest.spans[0].digest, b"abcX")
        for span, data in zip(manifest.spans, (b"abcd", b"ef"), strict=True):
            store.put(span.digest, data)
        assert store.read(manifest, "f", 2, 5) == b"cde"


class TestSchedule:
    def schedules(self, distribution):
        peers = [Peer(f"n{i}", f"d{i % 3}") for i in range(9)]
        digests = [f"{i:064x}" for i in range(50)]
        made = []
        for peer in peers:
            schedule = Schedule(
                peer, digests, distribution, 1000, random.Random(1), 0.0
            )
            schedule.set_members(peers)
            made.append(schedule)
        return made

    @pytest.mark.parametrize(
        ("distribution", "seeders"), [("origin_bytes", 1), ("time_to_replicas", 3)]
    )
    def test_seeders_of_each_chunk(self, distribution, seeders):
        made = self.schedules(distribution)
        for index in range(50):
            first = [s for s in made if s.ranks[index] == 0]
            assert len(first) == seeders

    def test_rank_waits_for_its_turn(self):
        schedule = self.schedules("origin_bytes")[0]
        late = [i for i in schedule.missing if schedule.ranks[i] == 2]
        assert not any(schedule.may_ask_origin(i, 1999) for i in late)
        assert all(schedule.may_ask_origin(i, 2000) for i in late)

    def test_sender_of_bad_bytes_is_not_asked_again(self):
        schedule = self.schedules("origin_bytes")[0]
        schedule.set_have("n1", range(50))
        fetches = schedule.next_fetches(0.0)
        bad = next(f for f in fetches if f.source == "n1")
        schedule.failed(bad, corrupted=True)
        sources = {f.source for f in schedule.next_fetches(1e9)}
        assert sources <= {ORIGIN}
