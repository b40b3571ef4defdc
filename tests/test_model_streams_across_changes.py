"""Streams of an engine are whole across what is planned while it falls silent."""

import asyncio
import json

import pytest

from tests.fakes.platform import EVENT_STREAM, configuration
from tests.test_platform_path import PlatformFleet
from wisteriapulley.platform import names

STREAMS = 3
SILENT_S = 1.6


def changed(path, change):
    """Return a configuration without something that requests in progress use."""
    table = json.loads(configuration(4, path.origin))
    change(table)
    return json.dumps(table).encode()


def without_service(table):
    table["services"] = table["services"][1:]
    table["routes"] = []


def without_key(table):
    table["tenants"] = [{"name": "dealer", "api-keys": ["other"]}]


def with_short_limit(table):
    for route in table["routes"]:
        route |= {"timeout-ms": 100, "target-latency-ms": 50}


def replace(change):
    async def act(path):
        await path.post_until_accepted(names.REPLACE_CALL, changed(path, change))

    return act


async def drain(path):
    path.heartbeat_task.cancel()
    assert await path.send_heartbeat("draining") == 200


async def deregister(path):
    path.heartbeat_task.cancel()
    call = names.LEAVE_CALL.format(target_id=path.engine.target_id)
    await path.post_until_accepted(call, b"{}")


async def evacuate(path):
    call = names.EVACUATE_CALL.format(failure_domain="palermo")
    await path.post_until_accepted(call, b"")


async def name_weights(path):
    body = b'{"model":"model","version":2}'
    await path.post_until_accepted(names.WEIGHTS_CALL, body)


async def add_control_instances(path):
    for service in path.services:
        service.add_hosts(["127.0.0.9"])


CHANGES = {
    "service dropped": replace(without_service),
    "key dropped": replace(without_key),
    "limit shortened": replace(with_short_limit),
    "engine drains": drain,
    "engine is removed": deregister,
    "zone evacuated": evacuate,
    "newer weights": name_weights,
    "settings changed": add_control_instances,
}


async def begin_stream(path, number):
    """Return the task of a stream that has begun; one that is refused is sent again."""
    while True:
        asked = asyncio.create_task(path.ask(id=f"stream-{number}"))
        while len(path.engine.runs) <= number and not asked.done():
            await asyncio.sleep(0.01)
        if len(path.engine.runs) > number:
            return asked
        assert asked.result()[0] == 503


async def play(folder, change):
    """Return the answers to streams amid which something changes."""
    folder.mkdir()
    path = PlatformFleet(folder)
    try:
        await path.start()
        first = configuration(3, path.origin)
        await path.post_until_accepted(names.REPLACE_CALL, first)
        await path.wait_served()
        await path.wait_confirmed()
        path.engine.runs.clear()
        path.engine.event_s = 0.1
        asked = [await begin_stream(path, number) for number in range(STREAMS)]
        silence = asyncio.create_task(path.engine.fall_silent(SILENT_S))
        await CHANGES[change](path)
        await silence
        return [answer[:2] for answer in await asyncio.gather(*asked)]
    finally:
        await path.stop()


@pytest.fixture(scope="module")
def answers(tmp_path_factory):
    """Play all changes side by side; return the answers by change."""
    folder = tmp_path_factory.mktemp("changes")

    async def play_all():
        plays = (play(folder / str(n), each) for n, each in enumerate(CHANGES))
        async with asyncio.timeout(120.0):
            return dict(zip(CHANGES, await asyncio.gather(*plays), strict=True))

    return asyncio.run(play_all())


@pytest.mark.parametrize("change", CHANGES)
def test_streams_in_progress_are_whole(answers, change):
    assert answers[change] == STREAMS * [(200, EVENT_STREAM)]
