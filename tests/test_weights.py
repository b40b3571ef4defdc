import pytest

from wisteriapulley.errors import ResultCode, WeightsError
from wisteriapulley.weights import (
    ChunkStore,
    Manifest,
    build_manifest,
    verify_folder,
)


class TestManifest:
    def tree(self, tmp_path):
        (tmp_path / "b").mkdir()
        (tmp_path / "b" / "x.bin").write_bytes(bytes(range(256)) * 10)
        (tmp_path / "a.bin").write_bytes(b"hello")
        return build_manifest(str(tmp_path), 1000)

    def test_round_trip_and_verify(self, tmp_path):
        manifest = self.tree(tmp_path)
        assert Manifest.from_bytes(manifest.to_bytes(), manifest.digest) == manifest
        verify_folder(str(tmp_path), manifest)
        assert [s.length for s in manifest.spans] == [5, 1000, 1000, 560]

    def test_changed_byte_is_detected(self, tmp_path):
        manifest = self.tree(tmp_path)
        (tmp_path / "a.bin").write_bytes(b"hellO")
        with pytest.raises(WeightsError) as caught:
            verify_folder(str(tmp_path), manifest)
        assert caught.value.code == ResultCode.CHUNK_CORRUPTED

    def test_path_outside_the_folder_is_rejected(self):
        text = b'{"chunk_bytes":1,"files":[{"path":"../x","size":0,"chunks":[]}]}'
        with pytest.raises(WeightsError):
            Manifest.from_bytes(text)


class TestChunkStore:
    def test_only_verified_bytes_are_stored(self, tmp_path):
        (tmp_path / "f").write_bytes(b"abcdef")
        manifest = build_manifest(str(tmp_path), 4)
        store = ChunkStore()
        with pytest.raises(WeightsError):
            store.put(manifest.spans[0].digest, b"abcX")
        for span, data in zip(manifest.spans, (b"abcd", b"ef"), strict=True):
            store.put(span.digest, data)
        assert store.read(manifest, "f", 2, 5) == b"cde"
