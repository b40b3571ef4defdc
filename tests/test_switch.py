import asyncio
import json
from types import SimpleNamespace

import aiohttp
import pytest

from tests.fakes.engine import FakeEngine
from tests.fakes.origin import serve
from tests.fakes.records import Records, read_records
from tests.fleet import free_port
from tests.weights_kit import publish
from wisteriapulley.control.commands import AcquirePermit, PermitResult
from wisteriapulley.control.driver import no_quorum
from wisteriapulley.errors import ResultCode, WeightsError
from wisteriapulley.settings import Address, SidecarSettings
from wisteriapulley.sidecar import engine as engine_module
from wisteriapulley.sidecar import switch as switch_module
from wisteriapulley.sidecar.engine import ModelEngine
from wisteriapulley.sidecar.gate import Gate
from wisteriapulley.sidecar.switch import VersionSwitcher
from wisteriapulley.sidecar.weights_http import PREFIX, WeightsHandlers
from wisteriapulley.statechart import StateChart
from wisteriapulley.weights import ChunkStore, Peer
from wisteriapulley.weights.pace import LinkBudget
from wisteriapulley.weights.source import HttpSource
from wisteriapulley.weights.swarm import Swarm
from wisteriapulley.wire import Frame, messages


class FakeControl:
    """Control as the switcher sees it."""

    def __init__(self):
        self.holder = SimpleNamespace(by_service={}, revision=1)
        self.away = False
        self.lease_ms = 500
        self.lease_delay_s = 0.0
        self.deny = False
        self.index = 10
        self.held = False
        self.log = []

    def name(self, version):
        entry = SimpleNamespace(
            version=version,
            distribution="origin_bytes",
            service="s",
            role="serve",
        )
        self.holder.by_service = {"s": [entry]}

    async def propose(self, command):
        if self.away:
            raise no_quorum("control is away")
        acquires = isinstance(command, AcquirePermit)
        self.log.append(command)
        if acquires and self.deny:
            return PermitResult(ResultCode.PERMIT_DENIED)
        self.held = acquires
        self.index += 1
        return PermitResult(ResultCode.OK, self.index)

    async def lease(self):
        if self.away:
            raise no_quorum("control is away")
        await asyncio.sleep(self.lease_delay_s)
        return messages.Lease(1, "c", self.lease_ms)


class FakeLink:
    """Link that takes every answer at once."""

    def __init__(self):
        self.posted = []
        self.closed = asyncio.Event()
        self.peer_id = "entry-0"
        self.peer = messages.Hello(node_id="entry-0", role="entry")

    def post(self, message, reply_to=0, body=b""):
        self.posted.append(message)

    async def drain(self):
        """Take more at once."""


class Target:
    """Switcher, engine and origin of one target, in one process."""

    async def start(self, folder):
        self.records = folder / "engine.jsonl"
        self.fake = FakeEngine("e", Records(str(self.records)), load_s=0.01, lag_s=0)
        port = free_port()
        self.runners = [await serve(self.fake.app, port)]
        self.session = aiohttp.ClientSession()
        self.control = FakeControl()
        settings = SidecarSettings(
            node_id="n0",
            failure_domain="d",
            http_listen=Address("127.0.0.1", 0),
            fleet_key_file="",
            wire_listen=Address("127.0.0.1", 0),
            control=(),
            service="s",
            target_url=f"http://127.0.0.1:{port}",
            drain_ms=300,
        )
        self.engine = ModelEngine(self.session, settings.target_url)
        self.gate = Gate(self.engine, 1, StateChart("target"))
        budget = LinkBudget(0)
        source = Disk(self.session, "http://127.0.0.1:1", budget, budget)
        source.folder = folder
        self.swarm = Swarm(Peer("n0", "d"), ChunkStore(), [source], budget, 1000)
        from aiohttp import web

        app = web.Application()
        app.add_routes(WeightsHandlers(self.swarm).routes())
        port = free_port()
        self.runners.append(await serve(app, port))
        self.switcher = VersionSwitcher(
            settings,
            self.control,
            self.gate,
            self.swarm,
            self.engine,
            f"http://127.0.0.1:{port}{PREFIX}",
            lambda: None,
        )
        self.task = asyncio.create_task(self.switcher.run())

    async def until(self, condition):
        while not condition():
            await asyncio.sleep(0.005)

    async def serving(self, version):
        await self.until(
            lambda: self.gate.chart.state == "open" and self.gate.version == version
        )

    async def hold(self, version):
        """Put another version into the chunk store."""
        source = self.swarm.sources[0]
        manifest = await source.manifest(version)
        self.swarm.manifests[version] = manifest
        for span in manifest.spans:
            self.swarm.store.put(span.digest, await source.chunk(version, span))

    async def stale_order(self, version):
        """Order a load with an old fencing number; return the status."""
        order = {
            "version": version,
            "source_url": self.switcher.source_url,
            "fencing": 1,
            "role": "serve",
        }
        url = self.engine.base_url + "/control/load"
        async with self.session.post(url, data=json.dumps(order)) as answer:
            return answer.status

    def loads(self):
        events = read_records(str(self.records))
        return [r["version"] for r in events if r["event"] == "loaded"]

    async def stop(self):
        self.task.cancel()
        for runner in self.runners:
            await runner.cleanup()
        await self.session.close()


class Disk(HttpSource):
    """Source that reads from a folder instead of a socket."""

    async def get(self, url, headers, status):
        path = self.folder / url.removeprefix(self.base_url + "/")
        data = path.read_bytes()
        if "Range" not in headers:
            return data
        first, last = headers["Range"].removeprefix("bytes=").split("-")
        return data[int(first) : int(last) + 1]


@pytest.fixture
def run_target(tmp_path, monkeypatch):
    monkeypatch.setattr(switch_module, "RECONCILE_INTERVAL_S", 0.01)
    monkeypatch.setattr(switch_module, "FAILURE_BACKOFF_S", 0.01)
    monkeypatch.setattr(switch_module, "PERMIT_BACKOFF_MIN_S", 0.01)
    monkeypatch.setattr(engine_module, "ORDER_POLL_INTERVAL_S", 0.05)

    def run(scenario):
        async def main():
            target = Target()
            try:
                async with asyncio.timeout(15):
                    await target.start(tmp_path)
                    await scenario(target)
            finally:
                await target.stop()

        asyncio.run(main())

    run.first = publish(tmp_path, 1, 8).digest
    run.second = publish(tmp_path, 2, 8).digest
    return run


class TestSwitch:
    def test_switch_and_rollback_by_catalogue(self, run_target):
        async def scenario(target):
            for version in (run_target.first, run_target.second, run_target.first):
                target.control.name(version)
                await target.serving(version)
                assert list(target.swarm.manifests) == [version]
            await target.until(lambda: not target.control.held)
            fencing = [c for c in target.control.log if isinstance(c, AcquirePermit)]
            assert [c.serving for c in fencing] == [False, True, True]

        run_target(scenario)

    def test_denied_permit_keeps_the_old_version_open(self, run_target):
        async def scenario(target):
            target.control.name(run_target.first)
            await target.serving(run_target.first)
            target.control.deny = True
            target.control.name(run_target.second)
            await target.until(lambda: len(target.control.log) > 5)
            assert target.gate.chart.state == "open"
            assert target.loads() == [run_target.first]

        run_target(scenario)

    @pytest.mark.parametrize(("lease_ms", "delay_s"), [(0, 0.0), (20, 0.05)])
    def test_ended_lease_gives_no_order(self, run_target, lease_ms, delay_s):
        async def scenario(target):
            target.control.name(run_target.first)
            await target.serving(run_target.first)
            target.control.lease_ms = lease_ms
            target.control.lease_delay_s = delay_s
            target.control.name(run_target.second)
            await target.until(lambda: "WP206" in target.switcher.detail)
            await target.serving(run_target.first)
            assert target.loads() == [run_target.first]
            target.control.lease_ms = 500
            await target.serving(run_target.second)

        run_target(scenario)

    def test_long_request_reopens_the_gate(self, run_target):
        async def scenario(target):
            target.control.name(run_target.first)
            await target.serving(run_target.first)
            with target.gate.count_running():
                target.control.name(run_target.second)
                await target.until(lambda: "drain_ms" in target.switcher.detail)
                assert target.loads() == [run_target.first]
            await target.serving(run_target.second)

        run_target(scenario)


class TestFailedLoad:
    """A failed load leaves the old version in service and says why."""

    @pytest.mark.parametrize(
        ("fault", "code", "loads"),
        [("refuse", "WP504", 1), ("crash", "WP504", 2), ("damage", "WP505", 3)],
    )
    def test_old_version_serves_again(self, run_target, fault, code, loads):
        async def scenario(target):
            target.control.name(run_target.first)
            await target.serving(run_target.first)
            target.fake.load_fault = fault
            target.control.name(run_target.second)
            await target.until(lambda: target.switcher.load_backoff.version)
            target.fake.load_fault = ""
            await target.serving(run_target.first)
            await target.until(lambda: code in target.switcher.detail)
            await target.until(lambda: not target.control.held)
            assert len(target.loads()) == loads
            assert run_target.second not in target.loads()

        run_target(scenario)

    def test_target_that_is_out_keeps_its_permit(self, run_target):
        async def scenario(target):
            target.control.name(run_target.first)
            await target.serving(run_target.first)
            target.fake.load_fault = "crash"
            target.control.name(run_target.second)
            await target.until(lambda: target.gate.chart.state == "empty")
            await asyncio.sleep(0.1)
            assert target.control.held
            assert all(
                c.serving
                for c in target.control.log[3:]
                if isinstance(c, AcquirePermit)
            )

        run_target(scenario)

    def test_next_version_is_not_put_off_by_the_failed_one(self, run_target):
        async def scenario(target):
            target.control.name(run_target.first)
            target.fake.load_fault = "crash"
            await target.until(lambda: target.switcher.load_backoff.version)
            target.fake.load_fault = ""
            target.control.name(run_target.second)
            await target.serving(run_target.second)

        run_target(scenario)


class TestEngineFaults:
    @pytest.mark.parametrize("fences", [True, False])
    def test_engine_in_a_wrong_state_is_put_right(self, run_target, fences):
        """Another order got to the engine, with an old fencing number."""

        async def scenario(target):
            target.control.name(run_target.first)
            await target.serving(run_target.first)
            await target.hold(run_target.second)
            target.fake.fences = fences
            closed = []
            target.gate.chart.on_enter = closed.append
            status = await target.stale_order(run_target.second)
            assert status == (409 if fences else 200)
            if not fences:
                await target.until(lambda: "open" in closed)
                assert closed[0] == "empty"
            assert target.fake.version == target.gate.version == run_target.first

        run_target(scenario)

    def test_refused_fencing_number_is_replaced_by_a_new_permit(self, run_target):
        async def scenario(target):
            target.fake.fencing = 13
            target.control.name(run_target.first)
            await target.serving(run_target.first)
            assert target.switcher.fencing >= 13

        run_target(scenario)

    def test_silent_connection_of_an_order_is_left(self, run_target):
        async def scenario(target):
            target.fake.load_fault = "silent"
            target.control.name(run_target.first)
            await target.serving(run_target.first)
            assert not target.switcher.load_backoff.version

        run_target(scenario)

    def test_engine_that_restarts_while_control_is_away(self, run_target):
        async def scenario(target):
            target.control.name(run_target.first)
            await target.serving(run_target.first)
            target.control.away = True
            target.fake.version, target.fake.state = "", "empty"
            await target.until(lambda: len(target.loads()) == 2)
            await target.serving(run_target.first)
            target.control.name(run_target.second)
            await target.until(lambda: "WP206" in target.switcher.detail)
            assert target.gate.version == run_target.first

        run_target(scenario)

    @pytest.mark.parametrize("changed", [False, True])
    def test_answer_that_spans_a_stale_order_has_no_end(self, run_target, changed):
        """Found by the fault matrix: stale_order@run."""

        async def scenario(target):
            target.fake.fences = target.engine.fences = False
            target.fake.token_s = 0.02
            target.control.name(run_target.first)
            await target.serving(run_target.first)
            await target.hold(run_target.second)
            link = FakeLink()
            body = json.dumps({"prompt": "p", "max_tokens": 20, "stream": True})
            dispatch = messages.Dispatch(
                request_id="r",
                method="POST",
                path="/v1/completions",
                remaining_ms=5000,
                incarnation=1,
                version=run_target.first,
            )
            frame = Frame(1, 0, dispatch, body.encode())
            task = asyncio.create_task(
                target.gate.receive_dispatch(link, dispatch, frame)
            )
            await target.until(lambda: link.posted)
            if changed:
                assert await target.stale_order(run_target.second) == 200
                with pytest.raises(WeightsError) as caught:
                    await task
                assert caught.value.code == ResultCode.ENGINE_WRONG_DIGEST
            else:
                await task
            ended = [m for m in link.posted if isinstance(m, messages.AnswerEnd)]
            assert len(ended) == (not changed)

        run_target(scenario)
