"""Idempotent requests through real links."""

import asyncio

import msgspec
from aiohttp import web

from tests.test_entry_at_most_once import ENTRY, with_fleet
from wisteriapulley.errors import CODE_TABLE, ResultCode


async def half(sidecar, request):
    """Send half of an answer, or what follows it when asked to resume."""
    if "X-Resume-From" in request.headers:
        headers = {"X-Resumed-From": request.headers["X-Resume-From"]}
        return web.Response(body=b"def", headers=headers)
    response = web.StreamResponse(headers=sidecar.headers)
    await response.prepare(request)
    await response.write(b"abc")
    sidecar.half.set()
    await sidecar.hold.wait()
    return response


def prepare(sidecars, headers):
    for sidecar in sidecars:
        sidecar.respond, sidecar.headers, sidecar.half = half, headers, asyncio.Event()
        sidecar.hold.clear()


class TestDispatcher:
    @with_fleet()
    async def test_cut_answer_is_resumed_where_the_engine_can(
        self, control, sidecars, entry
    ):
        prepare(sidecars, {"X-Resumable": "1"})
        sending = asyncio.create_task(entry.send(key=""))
        while not entry.got:
            await asyncio.sleep(0.01)
        entry.cut(sidecars[0])
        assert await sending == b"abcdef"
        sidecars[0].hold.set()

    @with_fleet()
    async def test_cut_answer_is_an_error_where_it_can_not(
        self, control, sidecars, entry
    ):
        prepare(sidecars, {})
        sending = asyncio.create_task(entry.refused(key=""))
        await entry.headed.wait()
        entry.cut(sidecars[0])
        assert await sending == ResultCode.LINK_CLOSED
        sidecars[0].hold.set()

    @with_fleet()
    async def test_refused_retry_does_not_hide_that_the_first_may_have_run(
        self, control, sidecars, entry
    ):
        # Guards: the last error won, and a closed gate says not run.
        sidecars[0].hold.clear()
        sidecars[1].gate.incarnation = 9
        sending = asyncio.create_task(entry.refused(key="", seconds=1.5))
        await sidecars[0].begun.wait()
        entry.cut(sidecars[0])
        code = await sending
        assert not CODE_TABLE[code].not_run
        sidecars[0].hold.set()

    @with_fleet()
    async def test_request_that_is_given_up_is_taken_off_its_engine(
        self, control, sidecars, entry
    ):
        sidecars[0].hold.clear()
        sending = asyncio.create_task(entry.send(key=""))
        await sidecars[0].begun.wait()
        sending.cancel()
        while not sidecars[0].cancelled:
            await asyncio.sleep(0.01)
        assert all(target.in_flight == 0 for target in entry.targets.targets.values())
        sidecars[0].hold.set()

    @with_fleet(sidecars=1)
    async def test_only_target_is_tried_again_over_its_next_link(
        self, control, sidecars, entry
    ):
        sidecars[0].hold.clear()
        sending = asyncio.create_task(entry.send(key=""))
        await sidecars[0].begun.wait()
        entry.cut(sidecars[0])
        sidecars[0].hold.set()
        assert await sending == b"letter"

    @with_fleet()
    async def test_version_before_serves_while_the_new_one_spreads(
        self, control, sidecars, entry
    ):
        # Guards: every request was refused until the first target had switched.
        for sidecar in sidecars:
            sidecar.serve_version("a")
        model = msgspec.structs.replace(ENTRY, version="b")
        while len(entry.targets.views(model)) != 2:
            await asyncio.sleep(0.01)
        assert await entry.send(key="", entry=model) == b"letter"
        sidecars[1].serve_version("b")
        while entry.targets.targets["t1"].link.peer_heartbeat.version != "b":
            await asyncio.sleep(0.01)
        # Both go on: the load of all would drown the first that switched.
        assert [v.node_id for v in entry.targets.views(model)] == ["t0", "t1"]
        assert await entry.send(key="", entry=model) == b"letter"

    @with_fleet(sidecars=1)
    async def test_answer_whose_engine_changed_version_is_not_whole(
        self, control, sidecars, entry
    ):
        # Guards: an engine that ignores fencing took an old order in a stream.
        sidecars[0].serve_version("a")
        sidecars[0].loaded = "b"
        model = msgspec.structs.replace(ENTRY, version="a")
        while len(entry.targets.views(model)) != 1:
            await asyncio.sleep(0.01)
        code = await entry.refused(key="", entry=model)
        assert code == ResultCode.ENGINE_WRONG_DIGEST
        assert sidecars[0].gate.chart.state != "open"
