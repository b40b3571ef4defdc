"""Calls in progress while a control instance stops."""

import asyncio
import threading
from types import SimpleNamespace

import aiohttp
import msgspec
import pytest
import uvloop

from tests.fleet import free_hosts, free_port
from tests.test_operators import CHANGE, VALID_HEADERS
from tests.test_platform_path import KEY, MAX_WAIT_S, settings_file
from wisteriapulley.control.service import ControlService
from wisteriapulley.platform import names
from wisteriapulley.platform.daemons import new_control


class SlowDisk:
    """Holds back what a control instance saves, until it may go on."""

    def __init__(self, storage):
        self.save_now = storage.save
        self.asked = threading.Event()
        self.may_save = threading.Event()
        storage.save = self.save

    def save(self, *arguments):
        self.asked.set()
        self.may_save.wait(MAX_WAIT_S)
        return self.save_now(*arguments)


@pytest.fixture(params=[asyncio.new_event_loop, uvloop.new_event_loop])
def play(request, tmp_path):
    """Return a function that plays a scenario with a control instance that leads."""

    async def run_scenario(scenario):
        (tmp_path / "key").write_text(KEY)
        settings = settings_file(str(tmp_path), *free_hosts(1), free_port())
        service = new_control(settings, str(tmp_path / "key"))
        service.fatal = asyncio.get_running_loop().create_future()
        service.operators["token-of-o"] = "o"
        async with asyncio.timeout(MAX_WAIT_S), aiohttp.ClientSession() as session:
            await service.start()
            while service.driver.own_lease() is None:
                await asyncio.sleep(0.01)
            await scenario(service, settings, session)

    def run(scenario):
        with asyncio.Runner(loop_factory=request.param) as runner:
            runner.run(run_scenario(scenario))

    return run


async def send(session, url, body):
    async with session.post(url, data=body, headers=VALID_HEADERS) as answer:
        await answer.read()
        return answer.status


def change_call(service, settings):
    """Return the address and the body of an operator's change."""
    url = f"http://{service.http.address}/v1/catalogue/changes"
    return url, msgspec.json.encode(CHANGE)


def weights_call(service, settings):
    """Return the address and the body of a call that names new weights."""
    address = settings.listen_addresses.control_plane
    return f"http://{address}{names.WEIGHTS_CALL}", b'{"model":"m","version":1}'


@pytest.mark.parametrize("call", [change_call, weights_call])
class TestOrderInProgressAtAStop:
    def test_is_committed_and_acknowledged(self, play, call):
        async def scenario(service, settings, session):
            disk = SlowDisk(service.driver.storage)
            sending = asyncio.create_task(send(session, *call(service, settings)))
            while not disk.asked.is_set():
                await asyncio.sleep(0.001)
            stopping = asyncio.create_task(service.stop())
            await asyncio.sleep(0.1)
            disk.may_save.set()
            assert await sending == 200
            await stopping

        play(scenario)

    def test_is_refused_if_it_is_not_committed_in_time(self, play, call):
        async def scenario(service, settings, session):
            disk = SlowDisk(service.driver.storage)
            sending = asyncio.create_task(send(session, *call(service, settings)))
            while not disk.asked.is_set():
                await asyncio.sleep(0.001)
            stopping = asyncio.create_task(service.stop())
            assert await sending == 503
            disk.may_save.set()
            await stopping

        play(scenario)


class TestTimeOfAStop:
    @pytest.mark.parametrize(("drain_ms", "wait_s"), [(7200, 1.0), (900, 0.45)])
    def test_half_of_a_short_one_is_left_for_the_leadership(self, drain_ms, wait_s):
        settings = SimpleNamespace(drain_ms=drain_ms)
        service = SimpleNamespace(settings=settings)
        assert ControlService.caller_wait_s(service) == wait_s
