"""A process tells which build it runs: in its first log line and as a metric."""

import pytest
from aioprometheus import render

from wisteriapulley.build import DIGEST_FILE, build_fields, digest_of, read_build
from wisteriapulley.metrics import Metrics


@pytest.fixture
def sources(tmp_path):
    (tmp_path / "wire").mkdir()
    (tmp_path / "a.py").write_text("x = 1\n")
    (tmp_path / "wire" / "b.capnp").write_text("b\n")
    return tmp_path


class TestDigest:
    def test_is_the_same_in_another_folder(self, sources, tmp_path_factory):
        copy = tmp_path_factory.mktemp("copy")
        (copy / "wire").mkdir()
        (copy / "wire" / "b.capnp").write_text("b\n")
        (copy / "a.py").write_text("x = 1\n")
        assert digest_of(copy) == digest_of(sources)

    @pytest.mark.parametrize("name", ["a.py", "wire/b.capnp", "new.json"])
    def test_changes_with_each_source(self, sources, name):
        before = digest_of(sources)
        (sources / name).write_text("changed\n")
        assert digest_of(sources) != before

    def test_ignores_what_a_start_leaves_behind(self, sources):
        before = digest_of(sources)
        (sources / "a.pyc").write_bytes(b"compiled")
        (sources / DIGEST_FILE).write_text("abc\n")
        assert digest_of(sources) == before


class TestBuild:
    def test_recorded_digest_is_read(self, sources):
        (sources / DIGEST_FILE).write_text("abc\n")
        assert read_build(sources).digest == "abc"

    def test_sources_are_read_without_one(self, sources):
        assert read_build(sources).digest == digest_of(sources)


class TestMetrics:
    @pytest.mark.parametrize("role", ["entry", "control", "sidecar"])
    def test_each_role_tells_its_build(self, role):
        content, _ = render(Metrics("n", role).registry, [])
        build = build_fields()["build"]
        line = next(
            line
            for line in content.decode().splitlines()
            if line.startswith("wisteriapulley_build_info{")
        )
        assert f'build="{build}"' in line and line.endswith(" 1")
