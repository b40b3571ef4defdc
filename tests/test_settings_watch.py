"""The settings file is reloaded after a signal or a change."""

import asyncio
import signal

from wisteriapulley import settings_watch
from wisteriapulley.errors import ResultCode, SettingsError
from wisteriapulley.platform.settings import PlatformSettings
from wisteriapulley.settings_watch import SettingsWatch


def read(path):
    with open(path) as file:
        text = file.read()
    if text == "bad":
        raise SettingsError(ResultCode.SETTINGS_UNREADABLE, path)
    return text


def run_scenario(tmp_path, scenario, text="one"):
    """Watch a file with `text` that had the text "one" when the daemon read it."""

    async def run():
        path = tmp_path / "settings"
        path.write_text(text)
        seen = asyncio.Queue()
        watch = SettingsWatch(str(path), "one", read, seen.put_nowait)
        watch.start()
        try:
            await scenario(path, watch, seen)
        finally:
            watch.stop()

    asyncio.run(run())


class TestSettingsWatch:
    def test_signal_reloads_the_file(self, tmp_path):
        async def scenario(path, watch, seen):
            path.write_text("two")
            signal.raise_signal(signal.SIGHUP)
            assert await seen.get() == "two"

        run_scenario(tmp_path, scenario)

    def test_change_without_a_signal_is_detected(self, tmp_path, monkeypatch):
        monkeypatch.setattr(settings_watch, "POLL_INTERVAL_S", 0.01)

        async def scenario(path, watch, seen):
            path.write_text("changed")
            assert await seen.get() == "changed"

        run_scenario(tmp_path, scenario)

    def test_change_before_the_watch_is_detected(self, tmp_path, monkeypatch):
        """A daemon reads its settings, and then imports its modules."""
        monkeypatch.setattr(settings_watch, "POLL_INTERVAL_S", 0.01)

        async def scenario(path, watch, seen):
            async with asyncio.timeout(10):
                assert await seen.get() == "two"

        run_scenario(tmp_path, scenario, text="two")

    def test_invalid_file_keeps_the_settings(self, tmp_path):
        async def scenario(path, watch, seen):
            path.write_text("bad")
            watch.reload()
            assert seen.empty() and watch.settings == "one"
            path.write_text("one")
            watch.reload()
            assert seen.empty()

        run_scenario(tmp_path, scenario)

    def test_file_that_is_no_text_does_not_end_the_watch(self, tmp_path):
        """A file may be read while it is written, and end within a character."""

        async def scenario(path, watch, seen):
            was_read = asyncio.Event()

            def read_platform_settings(path):
                was_read.set()
                return PlatformSettings.from_file(path)

            watch.read = read_platform_settings
            path.write_bytes("node-name = 'Favigna\u00e8".encode()[:-1])
            signal.raise_signal(signal.SIGHUP)
            await was_read.wait()
            watch.read = read
            path.write_text("two")
            signal.raise_signal(signal.SIGHUP)
            async with asyncio.timeout(10):
                assert await seen.get() == "two"

        run_scenario(tmp_path, scenario)

    def test_repeated_signals_do_not_fill_the_queue_of_the_loop(
        self, tmp_path, monkeypatch
    ):
        async def scenario(path, watch, seen):
            loop, calls = asyncio.get_running_loop(), []
            schedule = loop.call_soon_threadsafe

            def count(callback, *args):
                calls.append(callback)
                return schedule(callback, *args)

            monkeypatch.setattr(loop, "call_soon_threadsafe", count)
            handler = signal.getsignal(signal.SIGHUP)
            for _ in range(100):
                handler()
            assert len(calls) == 1
            path.write_text("two")
            await asyncio.sleep(0)
            handler()
            assert await seen.get() == "two"

        run_scenario(tmp_path, scenario)
