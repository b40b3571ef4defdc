import asyncio
import json
import time
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
from wisteriapulley.errors import ResultCode, WeightsError, WisteriapulleyError
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
    """Control client of the version switcher, without control instances."""

    def __init__(self):
        self.catalogue = SimpleNamespace(by_service={}, revision=1)
        self.unreachable = False
        self.lease_ms = 500
        self.lease_delay_s = 0.0
        self.deny_permits = False
        self.may_grant = asyncio.Event()
        self.may_grant.set()
        self.index = 10
        self.permit_held = False
        self.commands = []

    def name_version(self, version):
        entry = SimpleNamespace(
            version=version,
            distribution="origin_bytes",
            service="s",
            role="serve",
        )
        self.catalogue.by_service = {"s": [entry]}

    async def propose(self, command):
        if self.unreachable:
            raise no_quorum("control is unreachable")
        is_acquire = isinstance(command, AcquirePermit)
        self.commands.append(command)
        await self.may_grant.wait()
        if is_acquire and self.deny_permits:
            return PermitResult(ResultCode.PERMIT_DENIED)
        self.permit_held = is_acquire
        self.index += 1
        return PermitResult(ResultCode.OK, self.index)

    async def lease(self):
        if self.unreachable:
            raise no_quorum("control is unreachable")
        await asyncio.sleep(self.lease_delay_s)
        return messages.Lease(1, "c", self.lease_ms)


class FakeLink:
    """Link that accepts every message immediately."""

    def __init__(self):
        self.posted = []
        self.closed = asyncio.Event()
        self.peer_id = "entry-0"
        self.peer = messages.Hello(node_id="entry-0", role="entry")

    def post(self, message, reply_to=0, body=b""):
        self.posted.append(message)

    async def drain(self):
        """Return immediately."""

    def hold(self, duration_s):
        """Stay open."""


class TargetHarness:
    """Version switcher, engine and origin of one target, in one process."""

    async def start(self, folder):
        self.records = folder / "engine.jsonl"
        self.fake = FakeEngine(
            "e", Records(str(self.records)), load_s=0.01, report_lag_s=0
        )
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
        source = FolderSource(self.session, "http://127.0.0.1:1", budget, budget)
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

    async def wait_until(self, condition):
        while not condition():
            await asyncio.sleep(0.005)

    async def wait_serving(self, version):
        await self.wait_until(
            lambda: self.gate.chart.state == "open" and self.gate.version == version
        )

    async def put_version(self, version):
        """Put another version into the chunk store."""
        source = self.swarm.sources[0]
        manifest = await source.manifest(version)
        self.swarm.manifests[version] = manifest
        for span in manifest.spans:
            self.swarm.store.put(span.digest, await source.chunk(version, span))

    async def send_stale_order(self, version):
        """Send a load order with an old fencing number; return the HTTP status."""
        order = {
            "version": version,
            "source_url": self.switcher.source_url,
            "fencing": 1,
            "role": "serve",
        }
        url = self.engine.base_url + "/control/load"
        async with self.session.post(url, data=json.dumps(order)) as answer:
            return answer.status

    def start_request(self, stream=True, **options):
        """Dispatch a request over a fake link; return its task and the link."""
        link = FakeLink()
        body = json.dumps({"prompt": "p", "max_tokens": 20, "stream": stream})
        dispatch = messages.Dispatch(
            request_id="r", method="POST", path="/v1/completions", incarnation=1
        )._replace(**{"remaining_ms": 5000, **options})
        frame = Frame(1, 0, dispatch, body.encode())
        task = asyncio.create_task(self.gate.receive_dispatch(link, dispatch, frame))
        return task, link

    def events(self, name):
        return [r for r in read_records(str(self.records)) if r["event"] == name]

    def loaded_versions(self):
        return [r["version"] for r in self.events("loaded")]

    async def stop(self):
        self.task.cancel()
        for runner in self.runners:
            await runner.cleanup()
        await self.session.close()


class FolderSource(HttpSource):
    """Source that reads from a folder instead of a socket."""

    async def get(self, url, headers, status, limit):
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
            target = TargetHarness()
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
    def test_catalogue_switches_and_rolls_back(self, run_target):
        async def scenario(target):
            for version in (run_target.first, run_target.second, run_target.first):
                target.control.name_version(version)
                await target.wait_serving(version)
                assert list(target.swarm.manifests) == [version]
            await target.wait_until(lambda: not target.control.permit_held)
            acquired = [
                c for c in target.control.commands if isinstance(c, AcquirePermit)
            ]
            assert [c.serving for c in acquired] == [False, True, True]

        run_target(scenario)

    def test_denied_permit_keeps_the_previous_version_open(self, run_target):
        async def scenario(target):
            target.control.name_version(run_target.first)
            await target.wait_serving(run_target.first)
            target.control.deny_permits = True
            target.control.name_version(run_target.second)
            await target.wait_until(lambda: len(target.control.commands) > 5)
            assert target.gate.chart.state == "open"
            assert target.loaded_versions() == [run_target.first]

        run_target(scenario)

    @pytest.mark.parametrize(("lease_ms", "delay_s"), [(0, 0.0), (20, 0.05)])
    def test_expired_lease_prevents_the_load_order(self, run_target, lease_ms, delay_s):
        async def scenario(target):
            target.control.name_version(run_target.first)
            await target.wait_serving(run_target.first)
            target.control.lease_ms = lease_ms
            target.control.lease_delay_s = delay_s
            target.control.name_version(run_target.second)
            await target.wait_until(lambda: "WP206" in target.switcher.detail)
            await target.wait_serving(run_target.first)
            assert target.loaded_versions() == [run_target.first]
            target.control.lease_ms = 500
            await target.wait_serving(run_target.second)

        run_target(scenario)

    def test_lease_expires_while_the_instance_is_suspended(self, monkeypatch):
        """The ordinary monotonic clock stands still meanwhile."""
        suspended_s = 0.0

        def clock_gettime(clock):
            return time.monotonic() + suspended_s

        clock = SimpleNamespace(clock_gettime=clock_gettime, CLOCK_BOOTTIME=0)
        monkeypatch.setattr("wisteriapulley.clocks.time", clock)

        async def lease():
            nonlocal suspended_s
            suspended_s += 60.0
            return messages.Lease(1, "c", 30_000)

        switcher = SimpleNamespace(
            last_served_version="1",
            chart=SimpleNamespace(state="serving"),
            control=SimpleNamespace(lease=lease),
        )
        with pytest.raises(WeightsError):
            asyncio.run(VersionSwitcher.check_lease(switcher, "2"))

    def test_gate_reopens_if_a_request_runs_too_long(self, run_target):
        async def scenario(target):
            target.control.name_version(run_target.first)
            await target.wait_serving(run_target.first)
            with target.gate.count_running():
                target.control.name_version(run_target.second)
                await target.wait_until(lambda: "drain_ms" in target.switcher.detail)
                assert target.loaded_versions() == [run_target.first]
            await target.wait_serving(run_target.second)

        run_target(scenario)


class TestFailedLoad:
    """A failed load leaves the previous version in service and reports why."""

    @pytest.mark.parametrize(
        ("fault", "code", "loads"),
        [("refuse", "WP504", 1), ("crash", "WP504", 2), ("damage", "WP505", 3)],
    )
    def test_previous_version_serves_again(self, run_target, fault, code, loads):
        async def scenario(target):
            target.control.name_version(run_target.first)
            await target.wait_serving(run_target.first)
            target.fake.load_fault = fault
            target.control.name_version(run_target.second)
            await target.wait_until(lambda: target.switcher.load_backoff.version)
            target.fake.load_fault = ""
            await target.wait_serving(run_target.first)
            await target.wait_until(lambda: code in target.switcher.detail)
            await target.wait_until(lambda: not target.control.permit_held)
            assert len(target.loaded_versions()) == loads
            assert run_target.second not in target.loaded_versions()

        run_target(scenario)

    def test_empty_target_keeps_its_permit(self, run_target):
        async def scenario(target):
            target.control.name_version(run_target.first)
            await target.wait_serving(run_target.first)
            target.fake.load_fault = "crash"
            target.control.name_version(run_target.second)
            await target.wait_until(lambda: target.gate.chart.state == "empty")
            await asyncio.sleep(0.1)
            assert target.control.permit_held
            assert all(
                c.serving
                for c in target.control.commands[3:]
                if isinstance(c, AcquirePermit)
            )

        run_target(scenario)

    def test_backoff_of_a_failed_version_does_not_delay_the_next(self, run_target):
        async def scenario(target):
            target.control.name_version(run_target.first)
            target.fake.load_fault = "crash"
            await target.wait_until(lambda: target.switcher.load_backoff.version)
            target.fake.load_fault = ""
            target.control.name_version(run_target.second)
            await target.wait_serving(run_target.second)

        run_target(scenario)


class TestEngineFaults:
    @pytest.mark.parametrize("fences", [True, False])
    def test_engine_with_the_wrong_version_is_corrected(self, run_target, fences):
        """The engine gets another load order, with an old fencing number."""

        async def scenario(target):
            target.control.name_version(run_target.first)
            await target.wait_serving(run_target.first)
            await target.put_version(run_target.second)
            target.fake.checks_fencing = fences
            entered_states = []
            target.gate.chart.on_enter = entered_states.append
            status = await target.send_stale_order(run_target.second)
            assert status == (409 if fences else 200)
            if not fences:
                await target.wait_until(lambda: "open" in entered_states)
                assert entered_states[0] == "empty"
            assert target.fake.version == target.gate.version == run_target.first

        run_target(scenario)

    def test_rejected_fencing_number_leads_to_a_new_permit(self, run_target):
        async def scenario(target):
            target.fake.fencing = 13
            target.control.name_version(run_target.first)
            await target.wait_serving(run_target.first)
            assert target.switcher.fencing >= 13

        run_target(scenario)

    def test_stalled_order_connection_does_not_fail_the_load(self, run_target):
        async def scenario(target):
            target.fake.load_fault = "silent"
            target.control.name_version(run_target.first)
            await target.wait_serving(run_target.first)
            assert not target.switcher.load_backoff.version

        run_target(scenario)

    def test_engine_restart_while_control_is_unreachable(self, run_target):
        async def scenario(target):
            target.control.name_version(run_target.first)
            await target.wait_serving(run_target.first)
            target.control.unreachable = True
            target.fake.version, target.fake.state = "", "empty"
            await target.wait_until(lambda: len(target.loaded_versions()) == 2)
            await target.wait_serving(run_target.first)
            target.control.name_version(run_target.second)
            await target.wait_until(lambda: "WP206" in target.switcher.detail)
            assert target.gate.version == run_target.first

        run_target(scenario)

    @pytest.mark.parametrize("changed", [False, True])
    def test_answer_with_a_stale_order_in_between_has_no_end_mark(
        self, run_target, changed
    ):
        """Guards the case `stale_order@run` of the fault matrix.

        An engine without fencing executes an old load order while it streams an
        answer, which then mixes two versions and must not look complete.
        """

        async def scenario(target):
            target.fake.checks_fencing = target.engine.fences = False
            target.fake.token_s = 0.02
            target.control.name_version(run_target.first)
            await target.wait_serving(run_target.first)
            await target.put_version(run_target.second)
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
            await target.wait_until(lambda: link.posted)
            if changed:
                assert await target.send_stale_order(run_target.second) == 200
                with pytest.raises(WeightsError) as caught:
                    await task
                assert caught.value.code == ResultCode.ENGINE_WRONG_DIGEST
            else:
                await task
            ended = [m for m in link.posted if isinstance(m, messages.AnswerEnd)]
            assert len(ended) == (not changed)

        run_target(scenario)


class TestSilentEngine:
    """An engine whose process stands still for a while, and goes on."""

    @pytest.fixture(autouse=True)
    def detect_silence_early(self, monkeypatch):
        monkeypatch.setattr(engine_module, "STATE_TIMEOUT_S", 0.05)

    def test_answer_of_one_version_although_a_newer_one_is_named(self, run_target):
        async def scenario(target):
            target.fake.token_s = 0.02
            target.control.name_version(run_target.first)
            await target.wait_serving(run_target.first)
            request, link = target.start_request()
            await target.wait_until(lambda: link.posted)
            target.fake.awake.clear()
            target.control.name_version(run_target.second)
            await target.wait_until(lambda: target.gate.chart.state == "empty")
            await target.wait_until(
                lambda: target.switcher.complete_version == run_target.second
            )
            target.fake.awake.set()
            await request
            await target.wait_serving(run_target.second)
            assert isinstance(link.posted[-1], messages.AnswerEnd)
            assert not target.events("load_while_running")
            (ran,) = target.events("ran")
            assert ran["version"] == ran["version_at_end"] == run_target.first

        run_target(scenario)

    def test_sound_weights_are_not_loaded_again(self, run_target):
        async def scenario(target):
            target.control.name_version(run_target.first)
            await target.wait_serving(run_target.first)
            target.switcher.start_download = lambda entry: None
            target.control.name_version(run_target.second)
            target.fake.awake.clear()
            await target.wait_until(lambda: target.gate.chart.state == "empty")
            target.fake.awake.set()
            await target.wait_serving(run_target.first)
            assert target.loaded_versions() == [run_target.first]

        run_target(scenario)

    @pytest.mark.parametrize("key", ["", "k"])
    def test_no_load_is_ordered_before_a_given_up_request_is_cancelled(
        self, run_target, key
    ):
        """The engine has read the request, and starts it when it goes on."""

        async def scenario(target):
            target.fake.token_s = 0.05
            target.control.name_version(run_target.first)
            await target.wait_serving(run_target.first)
            target.control.may_grant.clear()
            target.control.name_version(run_target.second)
            await target.wait_until(lambda: len(target.control.commands) == 3)
            target.fake.awake.clear()
            request, _ = target.start_request(
                stream=False,
                remaining_ms=100,
                idempotency_key=key,
                attempt=1,
                expires_in_ms=100,
            )
            await target.wait_until(lambda: target.fake.read_while_silent)
            target.control.may_grant.set()
            with pytest.raises(WisteriapulleyError):
                await request
            await target.wait_until(
                lambda: (
                    "/control/load" in target.fake.read_while_silent
                    or "drain_ms" in target.switcher.detail
                )
            )
            assert "/control/load" not in target.fake.read_while_silent
            target.fake.awake.set()
            await target.wait_serving(run_target.second)
            assert not target.events("load_while_running")

        run_target(scenario)

    def test_late_cancellation_does_not_end_the_next_attempt(self, run_target):
        """Attempts of a request at its only target have the same id."""

        async def scenario(target):
            target.fake.token_s = 0.02
            target.control.name_version(run_target.first)
            await target.wait_serving(run_target.first)
            may_cancel = asyncio.Event()
            cancel = target.engine.cancel

            async def cancel_late(request_id):
                await may_cancel.wait()
                return await cancel(request_id)

            target.engine.cancel = cancel_late
            first, link = target.start_request()
            await target.wait_until(lambda: link.posted)
            first.cancel()
            await asyncio.wait([first])
            second, link = target.start_request()
            await asyncio.sleep(0.1)
            may_cancel.set()
            await second
            assert isinstance(link.posted[-1], messages.AnswerEnd)

        run_target(scenario)

    def test_wait_for_a_cancellation_ends_with_the_requests_time(self, run_target):
        """The time that is left is counted from before the wait."""

        async def scenario(target):
            target.fake.token_s = 0.02
            target.control.name_version(run_target.first)
            await target.wait_serving(run_target.first)
            may_cancel = asyncio.Event()

            async def cancel(request_id):
                await may_cancel.wait()
                return True

            target.engine.cancel = cancel
            started = []

            async def stream(link, message, frame):
                started.append(message)

            target.gate.stream = stream

            target.gate.cancel_at_engine("r")
            late, _ = target.start_request(remaining_ms=100)
            in_time, _ = target.start_request(remaining_ms=5000)
            with pytest.raises(WisteriapulleyError) as caught:
                await late
            assert caught.value.code == ResultCode.DEADLINE_EXCEEDED
            may_cancel.set()
            await in_time
            (message,) = started
            assert 0 < message.remaining_ms <= 4900

        run_target(scenario)

    def test_second_attempt_can_be_cancelled_after_the_first_one_ended(
        self, run_target
    ):
        """The sidecar sees later than the entry that the first one's link is lost."""

        async def scenario(target):
            target.fake.token_s = 0.05
            target.control.name_version(run_target.first)
            await target.wait_serving(run_target.first)
            first, link = target.start_request()
            await target.wait_until(lambda: link.posted)
            second, link = target.start_request()
            await target.wait_until(lambda: link.posted)
            first.cancel()
            await asyncio.wait([first])
            message = messages.Cancel("r")
            await target.gate.receive_cancel(link, message, Frame(2, 0, message, b""))
            await asyncio.wait([second], timeout=0.1)
            assert second.cancelled()

        run_target(scenario)

    @pytest.mark.parametrize("key", ["", "k"])
    def test_silence_at_the_end_of_an_answer_does_not_cut_it(self, run_target, key):
        """An engine that fences no orders is asked for its version after an answer."""

        async def scenario(target):
            target.fake.checks_fencing = target.engine.fences = False
            target.fake.token_s = 0.02
            target.control.name_version(run_target.first)
            await target.wait_serving(run_target.first)
            verify, asked_s = target.engine.verify, []

            async def verify_after_a_silence(version, order_count):
                asked_s.append(asyncio.get_running_loop().time())
                if asked_s[-1] < asked_s[0] + 0.3:
                    raise WeightsError(ResultCode.TARGET_FAILED, "TimeoutError()")
                await verify(version, order_count)

            target.engine.verify = verify_after_a_silence
            request, link = target.start_request(
                idempotency_key=key, attempt=1, expires_in_ms=5000
            )
            await request
            assert isinstance(link.posted[-1], messages.AnswerEnd)

        run_target(scenario)


class TestLateOrder:
    """A load order lies unread in its connection, is given up, and is read later.

    Meanwhile the engine answers on other connections.
    """

    async def give_up_order(self, target, run_target, unread_orders=1):
        """Serve the first version; leave orders unread, of which one is given up."""
        target.fake.token_s = 0.03
        target.control.name_version(run_target.first)
        await target.wait_serving(run_target.first)
        target.fake.unread_orders = unread_orders
        target.control.name_version(run_target.second)
        await target.wait_until(
            lambda: target.switcher.load_backoff.version == run_target.second
        )

    async def stream_amid_late_order(self, target):
        """Let the engine read the orders while it streams; return the last message."""
        request, link = target.start_request()
        await target.wait_until(lambda: link.posted)
        target.fake.reads_orders.set()
        await request
        return link.posted[-1]

    @pytest.mark.parametrize("fault", ["", "silent"])
    def test_order_that_was_given_up_is_not_executed_amid_a_stream(
        self, run_target, fault
    ):
        async def scenario(target):
            await self.give_up_order(target, run_target)
            target.fake.load_fault = fault
            await target.wait_serving(run_target.first)
            last = await self.stream_amid_late_order(target)
            assert isinstance(last, messages.AnswerEnd)
            assert not target.events("load_while_running")
            (ran,) = target.events("ran")
            assert ran["version"] == ran["version_at_end"] == run_target.first
            assert len(target.events("fenced")) == 1
            assert run_target.second not in target.loaded_versions()

        run_target(scenario)

    def test_engine_that_was_silent_is_not_served_before_a_later_order(
        self, run_target, monkeypatch
    ):
        """The order's time limit passes while the engine stands still."""
        monkeypatch.setattr(engine_module, "STATE_TIMEOUT_S", 0.05)
        monkeypatch.setattr(engine_module, "ORDER_TIMEOUT_S", 0.5)

        async def scenario(target):
            target.fake.token_s = 0.03
            target.control.name_version(run_target.first)
            await target.wait_serving(run_target.first)
            target.fake.unread_orders = 1
            target.control.name_version(run_target.second)
            await target.wait_until(lambda: target.fake.read_while_silent)
            target.fake.awake.clear()
            await target.wait_until(lambda: target.gate.chart.state == "empty")
            target.fake.awake.set()
            await target.wait_serving(run_target.first)
            last = await self.stream_amid_late_order(target)
            assert isinstance(last, messages.AnswerEnd)
            assert not target.events("load_while_running")

        run_target(scenario)

    def test_gate_stays_closed_until_a_later_order_is_accepted(self, run_target):
        async def scenario(target):
            await self.give_up_order(target, run_target, unread_orders=100)
            entered_states = []
            target.gate.chart.on_enter = entered_states.append
            orders = target.fake.read_while_silent
            await target.wait_until(lambda: len(orders) == 4)
            assert "open" not in entered_states
            assert target.control.permit_held
            target.fake.unread_orders = 0
            target.fake.reads_orders.set()
            await target.wait_until(lambda: target.gate.chart.state == "open")
            request, link = target.start_request()
            await request
            assert isinstance(link.posted[-1], messages.AnswerEnd)
            assert not target.events("load_while_running")
            (ran,) = target.events("ran")
            assert ran["version"] == ran["version_at_end"]

        run_target(scenario)

    def test_order_that_is_executed_before_the_gate_reopens_counts(
        self, run_target, monkeypatch
    ):
        monkeypatch.setattr(switch_module, "FAILURE_BACKOFF_S", 0.1)

        async def scenario(target):
            target.fake.load_s = 0.3
            await self.give_up_order(target, run_target)
            target.fake.reads_orders.set()
            await target.wait_serving(run_target.second)
            assert target.loaded_versions() == [run_target.first, run_target.second]
            assert target.engine.order_count == 2
            assert list(target.swarm.manifests) == [run_target.second]
            await target.wait_until(lambda: not target.control.permit_held)

        run_target(scenario)

    def test_later_order_is_refused_while_the_late_one_is_executed(self, run_target):
        async def scenario(target):
            target.fake.load_s = 0.3
            target.fake.refuses_while_loading = True
            target.control.name_version(run_target.first)
            await target.wait_serving(run_target.first)
            target.fake.unread_orders = 1
            target.control.name_version(run_target.second)
            await target.wait_until(lambda: target.fake.read_while_silent)
            target.control.may_grant.clear()
            commands = len(target.control.commands)
            await target.wait_until(lambda: len(target.control.commands) > commands)
            target.fake.reads_orders.set()
            await target.wait_until(lambda: target.fake.state == "loading")
            target.control.may_grant.set()
            await target.wait_serving(run_target.second)
            assert len(target.events("busy")) == 1
            assert target.loaded_versions() == [run_target.first, run_target.second]

        run_target(scenario)

    def test_engine_that_reports_an_aborted_load_is_ordered_again(
        self, run_target, monkeypatch
    ):
        """Its load ended with the connection of the order, its state did not."""
        monkeypatch.setattr(switch_module, "FAILURE_BACKOFF_S", 0.1)
        monkeypatch.setattr(switch_module, "LOAD_BACKOFF_MIN_S", 0.3)

        async def scenario(target):
            await self.give_up_order(target, run_target)
            fake = target.fake
            for task in fake.late_tasks:
                task.cancel()
            fake.version, fake.state = "", "loading"
            fake.fencing = target.switcher.fencing
            await target.wait_serving(run_target.second)

        run_target(scenario)

    @pytest.mark.parametrize("keeps_weights", [False, True])
    def test_engine_restarts_and_forgets_its_fencing_number(
        self, run_target, monkeypatch, keeps_weights
    ):
        monkeypatch.setattr(switch_module, "FAILURE_BACKOFF_S", 0.1)

        async def scenario(target):
            await self.give_up_order(target, run_target)
            fake, given_up = target.fake, target.switcher.fencing
            for task in fake.late_tasks:
                task.cancel()
            fake.fencing = 0
            if not keeps_weights:
                fake.version, fake.state = "", "empty"
            await target.wait_serving(run_target.first)
            assert fake.fencing > given_up
            assert target.loaded_versions() == [run_target.first] * 2

        run_target(scenario)

    def test_no_version_is_served_again_without_a_new_fencing_number(self, run_target):
        """It takes a quorum to get a fencing number above that of the order."""

        async def scenario(target):
            target.control.name_version(run_target.first)
            await target.wait_serving(run_target.first)
            target.fake.unread_orders = 1
            target.control.name_version(run_target.second)
            await target.wait_until(lambda: target.fake.read_while_silent)
            target.control.unreachable = True
            await target.wait_until(lambda: target.gate.chart.state == "empty")
            entered_states = []
            target.gate.chart.on_enter = entered_states.append
            await target.wait_until(lambda: "WP206" in target.switcher.detail)
            await asyncio.sleep(0.1)
            assert not entered_states
            target.control.unreachable = False
            await target.wait_serving(run_target.first)
            last = await self.stream_amid_late_order(target)
            assert isinstance(last, messages.AnswerEnd)
            assert not target.events("load_while_running")

        run_target(scenario)

    def test_late_order_at_an_engine_without_fencing_cuts_the_answer(self, run_target):
        async def scenario(target):
            target.fake.checks_fencing = target.engine.fences = False
            await self.give_up_order(target, run_target)
            await target.wait_serving(run_target.first)
            with pytest.raises(WeightsError) as caught:
                await self.stream_amid_late_order(target)
            assert caught.value.code == ResultCode.ENGINE_WRONG_DIGEST

        run_target(scenario)
