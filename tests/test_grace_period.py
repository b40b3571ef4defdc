"""How an entry divides the time between a stop signal and its kill."""

import pytest
from msgspec.structs import replace

from tests.test_platform_path import settings_file
from wisteriapulley.http_drain import CLOSE_TIMEOUT_S
from wisteriapulley.platform.settings import CLOSING_MS, EXIT_MS


class TestGracePeriod:
    @pytest.mark.parametrize("grace_s", [1, 3, 8, 30])
    def test_entry_gives_up_in_time_to_answer_what_is_in_progress(
        self, tmp_path, grace_s
    ):
        settings = settings_file(str(tmp_path), "127.0.0.1", 7000)
        bounds = replace(settings.bounds, grace_period_s=grace_s)
        entry = replace(settings, bounds=bounds).entry_settings("key")
        overrun_ms = grace_s * 1000 - CLOSING_MS - entry.drain_ms
        assert entry.drain_overrun_ms == max(0, overrun_ms)

    def test_closing_covers_both_waits_for_callers(self):
        waits_ms = 2 * CLOSE_TIMEOUT_S * 1000
        assert CLOSING_MS == pytest.approx(waits_ms + EXIT_MS)
