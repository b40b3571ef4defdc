"""Idempotent requests over real links."""

import asyncio

import msgspec
from aiohttp import web

from tests.test_entry_at_most_once import ENTRY, with_fleet
from wisteriapulley.catalogue import Limits
from wisteriapulley.errors import CODE_TABLE, ResultCode
from wisteriapulley.policy.outliers import Ejection


async def send_half(sidecar, request):
    """Send half of an answer, or the rest if asked to resume."""
    if "X-Resume-From" in request.headers:
        headers = {"X-Resumed-From": request.headers["X-Resume-From"]}
        return web.Response(body=b"def", headers=headers)
    response = web.StreamResponse(headers=sidecar.headers)
    await response.prepare(request)
    await response.write(b"abc")
    sidecar.half_sent.set()
    await sidecar.may_answer.wait()
    return response


def answer_half(sidecars, headers):
    for sidecar in sidecars:
        sidecar.respond, sidecar.headers, sidecar.half_sent = (
            send_half,
            headers,
            asyncio.Event(),
        )
        sidecar.may_answer.clear()


class TestDispatcher:
    @with_fleet()
    async def test_cut_answer_is_resumed_if_the_engine_supports_it(
        self, control, sidecars, entry
    ):
        answer_half(sidecars, {"X-Resumable": "1"})
        sending = asyncio.create_task(entry.send(key=""))
        while not entry.received:
            await asyncio.sleep(0.01)
        entry.cut_link(sidecars[0])
        assert await sending == b"abcdef"
        sidecars[0].may_answer.set()

    @with_fleet()
    async def test_cut_answer_is_an_error_if_the_engine_can_not_resume(
        self, control, sidecars, entry
    ):
        answer_half(sidecars, {})
        sending = asyncio.create_task(entry.send_refused(key=""))
        await entry.head_received.wait()
        entry.cut_link(sidecars[0])
        assert await sending == ResultCode.LINK_CLOSED
        sidecars[0].may_answer.set()

    @with_fleet()
    async def test_refused_retry_does_not_hide_that_the_first_may_have_run(
        self, control, sidecars, entry
    ):
        # Guards against reporting the last error only: the retry meets a closed gate,
        # whose code says "not run", although the first attempt may have run.
        sidecars[0].may_answer.clear()
        sidecars[1].gate.incarnation = 9
        sending = asyncio.create_task(entry.send_refused(key="", seconds=1.5))
        await sidecars[0].started.wait()
        entry.cut_link(sidecars[0])
        code = await sending
        assert not CODE_TABLE[code].not_run
        sidecars[0].may_answer.set()

    @with_fleet()
    async def test_cancelled_request_is_cancelled_at_its_engine(
        self, control, sidecars, entry
    ):
        sidecars[0].may_answer.clear()
        sending = asyncio.create_task(entry.send(key=""))
        await sidecars[0].started.wait()
        sending.cancel()
        while not sidecars[0].cancelled:
            await asyncio.sleep(0.01)
        assert all(target.in_flight == 0 for target in entry.targets.targets.values())
        sidecars[0].may_answer.set()

    @with_fleet(sidecars=1)
    async def test_only_target_is_retried_over_its_next_link(
        self, control, sidecars, entry
    ):
        sidecars[0].may_answer.clear()
        sending = asyncio.create_task(entry.send(key=""))
        await sidecars[0].started.wait()
        entry.cut_link(sidecars[0])
        sidecars[0].may_answer.set()
        assert await sending == b"letter"

    @with_fleet()
    async def test_previous_version_serves_during_a_rollout(
        self, control, sidecars, entry
    ):
        # Guards against refusing every request until the first target has switched.
        for sidecar in sidecars:
            sidecar.serve_version("a")
        model = msgspec.structs.replace(ENTRY, version="b")
        while len(entry.targets.views(model)) != 2:
            await asyncio.sleep(0.01)
        assert await entry.send(key="", entry=model) == b"letter"
        sidecars[1].serve_version("b")
        while entry.targets.targets["t1"].link.peer_heartbeat.version != "b":
            await asyncio.sleep(0.01)
        # Both targets serve: the whole load would overload the first one that has
        # switched.
        assert [v.node_id for v in entry.targets.views(model)] == ["t0", "t1"]
        assert await entry.send(key="", entry=model) == b"letter"

    @with_fleet(sidecars=1)
    async def test_answer_is_incomplete_if_the_engine_changed_version(
        self, control, sidecars, entry
    ):
        # Guards against mixed weights: an engine that ignores fencing may execute an
        # old load order during a stream.
        sidecars[0].serve_version("a")
        sidecars[0].engine_version = "b"
        model = msgspec.structs.replace(ENTRY, version="a")
        while len(entry.targets.views(model)) != 1:
            await asyncio.sleep(0.01)
        code = await entry.send_refused(key="", entry=model)
        assert code == ResultCode.ENGINE_WRONG_DIGEST
        assert sidecars[0].gate.chart.state != "open"

    @with_fleet()
    async def test_probe_of_a_dropped_target_ends_no_other_request(
        self, control, sidecars, entry
    ):
        # A target that was silent is ejected as slow, and probed later. When it was
        # dropped meanwhile, the answer must not be cut whose end starts the probe.
        limited = msgspec.structs.replace(ENTRY, limits=Limits(in_flight=1))
        sidecars[0].may_answer.clear()
        first = asyncio.create_task(entry.send(key="", entry=limited))
        await sidecars[0].started.wait()
        pool = entry.runner.dispatcher.placer.pools["s"]
        pool.scheduler.outliers.ejected["t1"] = Ejection(0.0, 5.0)
        entry.targets.drop("t1")
        queued = asyncio.create_task(entry.send_refused(key="", entry=limited))
        while not pool.queued_futures:
            await asyncio.sleep(0.01)
        sidecars[0].may_answer.set()
        assert await first == b"letter"
        assert await queued == ResultCode.NO_TARGET
