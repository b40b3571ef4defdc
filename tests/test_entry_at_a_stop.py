"""The time that an entry's stop leaves to its servers beside that of callers."""

import asyncio

import pytest
from msgspec import structs

from tests.fleet import free_hosts, free_port
from tests.test_platform_path import KEY, MAX_WAIT_S, settings_file
from wisteriapulley.direct import service as service_module
from wisteriapulley.http_listener import STOP_LIMIT_S
from wisteriapulley.platform.daemons import new_entry


def record_limits(server):
    """Return a list to which each stop of a server adds its time limit."""
    limits = []
    stop = server.stop

    async def record(max_s=STOP_LIMIT_S):
        limits.append(max_s)
        await stop(max_s)

    server.stop = record
    return limits


class TestTimeOfAStop:
    @pytest.mark.parametrize(("drain_ms", "wait_s"), [(0, 0.0), (10**6, STOP_LIMIT_S)])
    def test_other_servers_wait_no_longer_than_the_drain(
        self, tmp_path, monkeypatch, drain_ms, wait_s
    ):
        monkeypatch.setattr(service_module, "BALANCER_REMOVAL_S", 0.0)
        (tmp_path / "key").write_text(KEY)
        settings = settings_file(str(tmp_path), *free_hosts(1), free_port())

        async def run():
            entry = new_entry(settings, str(tmp_path / "key"))
            entry.settings = structs.replace(entry.settings, drain_ms=drain_ms)
            async with asyncio.timeout(MAX_WAIT_S):
                await entry.start()
                limits = record_limits(entry.http), record_limits(entry.readiness)
                await entry.stop()
            assert limits == ([wait_s], [wait_s])

        asyncio.run(run())
