"""The bounds of an entry's memory fit together into that of its process."""

import pytest

from tests.test_platform_path import settings_file
from wisteriapulley.direct.settings import ResponseLimits

# What an entry takes before its first request.
IDLE_BYTES = 53 << 20
# A body or response is copied as it is completed.
COPIES = 2


def entry_settings(tmp_path, memory_mb, kept_bytes=None):
    settings = settings_file(str(tmp_path), "127.0.0.1", 7000)
    settings.limits.memory_mb = memory_mb
    settings.response_limits.kept_bytes = kept_bytes
    return settings.entry_settings("key")


class TestResponses:
    def test_fit_in_beside_the_bodies_of_requests(self, tmp_path):
        settings = entry_settings(tmp_path, 300)
        kept = settings.request_body_bytes + settings.response_limits.kept_bytes
        assert IDLE_BYTES + COPIES * kept <= 300 << 20

    @pytest.mark.parametrize(
        ("memory_mb", "kept_bytes", "expected"),
        [
            (300, None, 30 << 20),
            (0, None, ResponseLimits().kept_bytes),
            (300, 5 << 20, 5 << 20),
            (300, 0, 0),
        ],
    )
    def test_share_gives_way_to_a_stated_one(
        self, tmp_path, memory_mb, kept_bytes, expected
    ):
        settings = entry_settings(tmp_path, memory_mb, kept_bytes)
        assert settings.response_limits.kept_bytes == expected
