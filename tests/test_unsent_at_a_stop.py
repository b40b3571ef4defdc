"""Requests that wait for a slot at the end of an entry's drain have not run."""

import asyncio

import msgspec
import pytest

from tests.test_platform_path import run_scenario
from tests.test_silent_drain import wait_until
from wisteriapulley.direct import service as entry_module

SLOTS = 9
# The streams that hold the slots outlast the drain.
EVENT_S = 0.2


@pytest.fixture(autouse=True)
def close_early(monkeypatch):
    monkeypatch.setattr(entry_module, "BALANCER_REMOVAL_S", 0.05)


class TestRequestThatWaitsForASlot:
    def test_is_refused_as_not_run_at_the_end_of_the_drain(self, tmp_path):
        async def scenario(path):
            path.entry.settings = msgspec.structs.replace(
                path.entry.settings, drain_ms=300
            )
            path.engine.event_s = EVENT_S
            slots = path.sidecar.admission.slots
            holding = [
                asyncio.create_task(path.ask(id=f"holding-{number}"))
                for number in range(SLOTS)
            ]
            await wait_until(lambda: len(path.engine.runs) == SLOTS)
            asking = asyncio.create_task(path.ask(id="waiting"))
            await wait_until(lambda: slots.queue)
            path.services.remove(path.entry)
            await path.entry.stop()
            status, _, headers = await asking
            assert status == 503 and float(headers["Retry-After"]) > 0
            await asyncio.gather(*holding, return_exceptions=True)
            assert len(path.engine.runs) == SLOTS

        run_scenario(tmp_path, scenario)
