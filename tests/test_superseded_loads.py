"""Sidecars of engines that hold or load a version that ends meanwhile."""

import asyncio

import pytest

from tests.test_direct_dispatch import SETTINGS
from tests.test_evacuated_engine import name_version
from tests.test_silent_engines import LOAD_S, SILENT_S, play
from tests.test_version_end import name_aged_version
from wisteriapulley.policy.version_end import start_left_ms
from wisteriapulley.rollout.switch_order import MIN_SERVICE_MS

END_MS = SETTINGS.old_version_ms
SAMPLE_S = 0.01
VERIFY_S = 1.0
# Reports show the state of some hundred milliseconds earlier.
REPORT_LAG_S = 0.3


async def never(model, version):
    """Wait for a manifest that never comes."""
    await asyncio.Event().wait()


async def watch(sidecar, until_s):
    """Assert that no slot is open on an ended version; return what was served."""
    served = set()
    until_s += sidecar.engine.now_s()
    while sidecar.engine.now_s() < until_s:
        if sidecar.slots.open:
            version = sidecar.engine.version
            served.add(version)
            age_ms = sidecar.service.state.superseded_for_ms(version)
            assert age_ms is None or age_ms < END_MS
        await asyncio.sleep(SAMPLE_S)
    return served


@pytest.fixture(autouse=True)
def virtual_clock(monkeypatch):
    """Let ages follow the clock of the event loop."""

    def loop_time_s():
        return asyncio.get_running_loop().time()

    for module in ("rollout.state", "control.following"):
        monkeypatch.setattr(f"wisteriapulley.{module}.steady_s", loop_time_s)


lags = pytest.mark.parametrize("lag_s", [0.0, REPORT_LAG_S])


class TestLoadThatCompletesAfterTheEnd:
    """It was ordered in time, and a newer version is long accepted when it is done."""

    @lags
    @pytest.mark.parametrize("pause_s", [0.0, SILENT_S])
    @pytest.mark.parametrize("age_ms", [END_MS - 1500, END_MS, 2 * END_MS])
    def test_version_is_not_served(self, tmp_path, lag_s, pause_s, age_ms):
        async def scenario(sidecar):
            sidecar.engine.pause_in_load_s = pause_s
            name_version(sidecar.service, 2)
            while not sidecar.engine.begun:
                await asyncio.sleep(SAMPLE_S)
            sidecar.service.updater.staging.fetch_manifest = never
            name_aged_version(sidecar.service, 3, age_ms)
            assert await watch(sidecar, pause_s + LOAD_S + 3.0) <= {1}
            assert sidecar.engine.version == 2

        play(tmp_path, scenario, report_lag_s=lag_s)


class TestSupersededDownload:
    """It is finished on purpose, as long as its version can serve."""

    @lags
    @pytest.mark.parametrize("passed_s", [0.0, 3.0, 5.0, 6.0, 7.0, 9.0])
    def test_no_load_is_ordered_that_is_too_late(self, tmp_path, lag_s, passed_s):
        """Its pieces are read back slowly, and the version ends meanwhile."""

        async def scenario(sidecar):
            staging = sidecar.service.updater.staging
            reads = staging.verify_piece

            async def verify_slowly(manifest, position):
                staging.done_fraction = 1.0
                if manifest.version == 2:
                    await asyncio.sleep(VERIFY_S)
                return await reads(manifest, position)

            async def held_fraction(model, version, only_looks=False):
                return 1.0 if version == 2 else 0.5

            staging.verify_piece = verify_slowly
            staging.held_fraction = held_fraction
            name_version(sidecar.service, 2)
            await asyncio.sleep(0.5)
            sidecar.service.updater.has_given_up = True
            name_aged_version(sidecar.service, 3, passed_s * 1000)
            await watch(sidecar, 12.0)
            assert sidecar.engine.begun[-1] == 3
            left_ms = start_left_ms((passed_s + VERIFY_S) * 1000, END_MS)
            can_serve = left_ms > MIN_SERVICE_MS
            assert (2 in sidecar.engine.begun) == can_serve

        play(tmp_path, scenario, report_lag_s=lag_s)


class TestEngineThatRestartsAfterTheEnd:
    """It is back with the weights that it held before, as the newer ones are away."""

    @lags
    @pytest.mark.parametrize("away_s", [0.1, 0.5, SILENT_S])
    def test_version_is_not_served_again(self, tmp_path, lag_s, away_s):
        async def scenario(sidecar):
            name_aged_version(sidecar.service, 2, END_MS)
            sidecar.service.updater.staging.fetch_manifest = never
            engine = sidecar.engine
            engine.version, engine.started_ms = 0, 2
            engine.record_state()
            await watch(sidecar, away_s)
            engine.version = 1
            engine.record_state()
            assert await watch(sidecar, 3.0) == set()

        play(tmp_path, scenario, report_lag_s=lag_s)

    @lags
    def test_version_that_ends_while_it_restarts(self, tmp_path, lag_s):
        async def scenario(sidecar):
            name_aged_version(sidecar.service, 2, END_MS - 2000)
            sidecar.service.updater.staging.fetch_manifest = never
            engine = sidecar.engine
            assert await watch(sidecar, 0.5) == {1}
            engine.version, engine.started_ms = 0, 2
            await watch(sidecar, 0.6)
            engine.version = 1
            assert await watch(sidecar, 3.0) == set()

        play(tmp_path, scenario, report_lag_s=lag_s)
