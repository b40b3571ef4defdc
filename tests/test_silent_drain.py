"""An entry that stops or reloads its settings while its target stands still."""

import asyncio
import signal

import aiohttp
import msgspec
import pytest

from tests.fakes.platform import EVENT_STREAM
from tests.test_platform_path import run_scenario, settings_file
from wisteriapulley.direct import service as entry_module
from wisteriapulley.platform.settings import PlatformSettings
from wisteriapulley.settings_watch import SettingsWatch

# For a busy machine.
TEST_TIMEOUT_S = 30.0
BEFORE_FIRST_EVENT, WITHIN_STREAM = "before first event", "within stream"


async def fall_silent(path, moment):
    """Send a request whose target stands still; return the task of its caller."""
    if moment == BEFORE_FIRST_EVENT:
        path.engine.awake.clear()
    else:
        path.engine.event_s = 0.05
    asking = asyncio.create_task(path.ask())
    await wait_until(lambda: path.entry.ingress.active)
    if moment == WITHIN_STREAM:
        await wait_until(lambda: path.engine.runs)
        path.engine.awake.clear()
    return asking


async def wait_until(condition):
    async with asyncio.timeout(TEST_TIMEOUT_S):
        while not condition():
            await asyncio.sleep(0.01)


@pytest.mark.parametrize("moment", [BEFORE_FIRST_EVENT, WITHIN_STREAM])
class TestStop:
    @pytest.fixture(autouse=True)
    def close_early(self, monkeypatch):
        monkeypatch.setattr(entry_module, "BALANCER_REMOVAL_S", 0.05)

    def test_waits_for_a_target_that_goes_on(self, tmp_path, moment):
        async def scenario(path):
            asking = await fall_silent(path, moment)
            path.services.remove(path.entry)
            stopping = asyncio.create_task(path.entry.stop())
            await wait_until(lambda: not path.entry.ingress.runner.sites)
            path.engine.awake.set()
            status, body, _ = await asking
            assert (status, body) == (200, EVENT_STREAM)
            await stopping

        run_scenario(tmp_path, scenario)

    def test_answers_in_time_if_the_target_stays_silent(self, tmp_path, moment, caplog):
        async def scenario(path):
            path.entry.settings = msgspec.structs.replace(
                path.entry.settings, drain_ms=300
            )
            asking = await fall_silent(path, moment)
            path.services.remove(path.entry)
            await path.entry.stop()
            if moment == BEFORE_FIRST_EVENT:
                status, _, _ = await asking
                assert status == 502
            else:
                with pytest.raises(aiohttp.ClientPayloadError):
                    await asking
            path.engine.awake.set()

        run_scenario(tmp_path, scenario)
        (record,) = [r for r in caplog.records if "end of the drain" in r.message]
        assert record.request_id == "request-1"
        assert record.arrived_after_ms < 0 < record.left_ms


@pytest.mark.parametrize("moment", [BEFORE_FIRST_EVENT, WITHIN_STREAM])
class TestReload:
    def test_changed_settings_end_no_request(self, tmp_path, moment):
        async def scenario(path):
            asking = await fall_silent(path, moment)
            await reload_changed_settings(path)
            # The entry closes links that it does not need once a second.
            await asyncio.sleep(entry_module.SWEEP_INTERVAL_S + 0.2)
            path.engine.awake.set()
            status, body, _ = await asking
            assert (status, body) == (200, EVENT_STREAM)

        run_scenario(tmp_path, scenario)


async def reload_changed_settings(path):
    """Change the settings file of all processes, and send them SIGHUP."""
    file = str(path.folder / f"settings-{path.host}.toml")
    reloaded = asyncio.Event()

    def apply(changed):
        for service in path.services:
            service.add_hosts(seed.host for seed in changed.seeds())
        reloaded.set()

    settings = PlatformSettings.from_file(file)
    watch = SettingsWatch(file, settings, PlatformSettings.from_file, apply)
    watch.start()
    try:
        settings_file(str(path.folder), path.host, path.base, seed="127.0.0.9")
        signal.raise_signal(signal.SIGHUP)
        await reloaded.wait()
    finally:
        watch.stop()
