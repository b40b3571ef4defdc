"""Engines that stand still for a moment, as their sidecars see them."""

import asyncio
import itertools
from types import SimpleNamespace

import pytest
from bench.turned_away import VirtualLoop

from tests.fakes.endless import EndlessPeer
from tests.fakes.platform import Engine, Origin
from tests.test_evacuated_engine import MANIFEST, name_version, new_service
from wisteriapulley.errors import ResultCode, WeightsError
from wisteriapulley.platform import engine as engine_module
from wisteriapulley.platform.engine import CALL_TIMEOUT_S, HttpEngine
from wisteriapulley.platform.http import HttpClient
from wisteriapulley.policy.circuit_breaker import SendOutcome
from wisteriapulley.policy.engine_slots import ObservedWork, SlotRequest
from wisteriapulley.policy.slot_estimates import (
    INITIAL_EVENT_INTERVAL_MS,
    INITIAL_HOLD_MS,
)
from wisteriapulley.rollout.engine import (
    EngineReport,
    EngineSilentError,
    OrderOutcome,
)
from wisteriapulley.settings import Address
from wisteriapulley.wire.messages import TargetState

# Longer than a sidecar waits for a report.
SILENT_S = 2.5
LOAD_S = 0.5


class PausingEngine:
    """An engine on a virtual clock that may stand still.

    It has received the calls of that time, and handles them in their order when it
    goes on, whether or not anybody waits for a response.

    Attributes
    ----------
    reads : int
        Pieces and lists of pieces that were read back.
    ordered, begun : list of int
        Version of each order to load, and of each load that was begun.
    """

    def __init__(self, version=1, started_ms=1, pause_in_load_s=0.0, report_lag_s=0.0):
        self.cooldown = SimpleNamespace(wait_s=lambda now_s: 0.0)
        self.version, self.started_ms = version, started_ms
        self.busy = self.leaving = False
        self.reads = 0
        self.ordered, self.begun = [], []
        self.silent_until_s = 0.0
        self.sequence = 0
        # How long it stands still as the next order arrives, and after it accepted it.
        self.pause_at_order_s, self.pause_in_load_s = 0.0, pause_in_load_s
        # How long an order that arrives in a pause is handled after other calls.
        self.order_late_s = 0.0
        self.arrivals = itertools.count()
        # How much earlier the state is that a report shows, and all states so far.
        self.report_lag_s = report_lag_s
        self.states = [(float("-inf"), self.current_report())]

    def now_s(self):
        return asyncio.get_running_loop().time()

    def stand_still(self, silent_s):
        self.silent_until_s = self.now_s() + silent_s

    async def call(self, handle, *args, late_s=0.0):
        loop = asyncio.get_running_loop()
        response = loop.create_future()

        def respond():
            result = handle(*args)
            if not response.done():
                response.set_result(result)

        arrival_s = next(self.arrivals) * 1e-6 + late_s
        loop.call_at(max(loop.time(), self.silent_until_s) + arrival_s, respond)
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                return await response
        except TimeoutError as error:
            raise EngineSilentError(ResultCode.SOURCE_UNAVAILABLE, "silent") from error

    async def report(self):
        return await self.call(self.lagging_report)

    def record_state(self):
        self.states.append((self.now_s(), self.current_report()))

    def lagging_report(self):
        if not self.report_lag_s:
            return self.current_report()
        shown_s = self.now_s() - self.report_lag_s
        return [report for at_s, report in self.states if at_s <= shown_s][-1]

    def current_report(self):
        versions = {"m": self.version} if self.version else {}
        return EngineReport(
            versions,
            self.busy,
            started_ms=self.started_ms,
            leaving=self.leaving,
            sequence=self.sequence,
        )

    async def staged(self, model):
        return await self.call(self.read, set(range(len(MANIFEST.digests))))

    async def staged_piece(self, model, position, size):
        return await self.call(self.read, b"")

    def read(self, result):
        self.reads += 1
        return result

    async def load(self, model, version, expected):
        late_s = 0.0
        if self.pause_at_order_s:
            self.stand_still(self.pause_at_order_s)
            self.pause_at_order_s, late_s = 0.0, self.order_late_s
        try:
            return await self.call(self.begin_load, version, expected, late_s=late_s)
        except EngineSilentError:
            return OrderOutcome.UNANSWERED

    def begin_load(self, version, expected):
        self.ordered.append(version)
        if version == self.version:
            return OrderOutcome.DONE
        if self.busy or expected != self.sequence:
            return OrderOutcome.REFUSED
        self.sequence += 1
        self.begun.append(version)
        self.busy = True
        self.record_state()
        self.stand_still(self.pause_in_load_s)
        asyncio.get_running_loop().call_later(
            self.pause_in_load_s + LOAD_S, self.finish_load, version
        )
        return OrderOutcome.STARTED

    def finish_load(self, version):
        self.version, self.busy = version, False
        self.record_state()


class Sidecar:
    """The sidecar of a pausing engine; all pieces are staged."""

    def __init__(self, tmp_path, **options):
        self.engine = PausingEngine(**options)
        self.service = new_service(tmp_path)
        self.service.engine = self.engine
        self.service.updater.engine = self.engine
        self.service.check.answers.engine = self.engine
        staging = self.service.updater.staging
        staging.engine = self.engine
        staging.fetch_manifest = self.fetch_manifest
        staging.verify_piece = self.verify_piece

    async def fetch_manifest(self, model, version):
        return MANIFEST._replace(version=version)

    async def verify_piece(self, manifest, position):
        await self.engine.staged_piece(manifest.model, position, manifest.chunk_bytes)
        self.service.updater.staging.digests[position] = manifest.digests[position]
        return True

    @property
    def slots(self):
        return self.service.admission.slots


def play(tmp_path, scenario, **options):
    """Let a sidecar watch its engine on a virtual clock while a scenario runs."""

    async def run():
        sidecar = Sidecar(tmp_path, **options)
        watching = asyncio.create_task(sidecar.service.watch_engine())
        try:
            await asyncio.sleep(1.0)
            await scenario(sidecar)
        finally:
            watching.cancel()
            sidecar.service.updater.stop()
            results = await asyncio.gather(watching, return_exceptions=True)
            assert isinstance(results[0], asyncio.CancelledError)

    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        runner.run(run())


class TestReport:
    """An engine that does not answer in time stands still, or does not."""

    @pytest.mark.parametrize("silent_s", [1.0, SILENT_S, 4.5])
    def test_weights_are_not_loaded_again_after_a_pause(self, tmp_path, silent_s):
        async def scenario(sidecar):
            sidecar.engine.reads = 0
            sidecar.engine.stand_still(silent_s)
            await asyncio.sleep(silent_s + 2.0)
            assert sidecar.slots.open
            assert (sidecar.engine.reads, sidecar.engine.ordered) == (0, [])
            assert sidecar.service.updater.update_task is None

        play(tmp_path, scenario)

    def test_slots_open_as_soon_as_the_engine_goes_on(self, tmp_path):
        async def scenario(sidecar):
            sidecar.engine.stand_still(SILENT_S)
            await asyncio.sleep(SILENT_S - 0.01)
            assert not sidecar.slots.open
            await asyncio.sleep(0.25)
            assert sidecar.slots.open
            await asyncio.sleep(2.0)
            assert sidecar.slots.open

        play(tmp_path, scenario)

    def test_dead_engine_gets_no_requests(self, tmp_path):
        async def scenario(sidecar):
            sidecar.engine.stand_still(60.0)
            await asyncio.sleep(5.0)
            assert not sidecar.slots.open

        play(tmp_path, scenario)

    def test_engine_that_leaves_is_still_leaving_after_a_pause(self, tmp_path):
        async def scenario(sidecar):
            sidecar.engine.leaving = True
            await asyncio.sleep(1.0)
            sidecar.engine.leaving = False
            sidecar.engine.stand_still(SILENT_S)
            await asyncio.sleep(SILENT_S + 2.0)
            assert not sidecar.slots.open

        play(tmp_path, scenario)

    @pytest.mark.parametrize("restarted_ms", [0, 2])
    def test_engine_that_restarted_in_the_silence_loads_again(
        self, tmp_path, restarted_ms
    ):
        async def scenario(sidecar):
            sidecar.engine.stand_still(SILENT_S)
            sidecar.engine.version = 0
            sidecar.engine.started_ms = restarted_ms
            await asyncio.sleep(SILENT_S + 3.0)
            assert sidecar.engine.begun == [1]
            assert sidecar.slots.open

        play(tmp_path, scenario)


class TestRestart:
    def test_between_two_reports_ends_leaving(self, tmp_path, monkeypatch):
        """The load that was in preparation begins before the next report."""
        monkeypatch.setattr("tests.test_silent_engines.LOAD_S", 0.01)

        async def scenario(sidecar):
            engine, updater = sidecar.engine, sidecar.service.updater
            downloaded = asyncio.Event()
            updater.staging.fetch_missing = lambda manifest: downloaded.wait()
            name_version(sidecar.service, 2)
            await asyncio.sleep(0.5)
            engine.version, engine.leaving = 0, True
            await asyncio.sleep(1.0)
            engine.leaving = False
            downloaded.set()
            await asyncio.sleep(1.0)
            assert engine.begun == [2]
            name_version(sidecar.service, 3)
            await asyncio.sleep(1.0)
            assert engine.begun == [2, 3]

        play(tmp_path, scenario, started_ms=0)


class TestSpeed:
    """A pause lengthens everything that runs at the time."""

    RUNNING = 12
    EVENTS = 20

    async def run_requests(self, sidecar, pause_s):
        """Run some requests at once, with a pause in the middle."""
        slots, loop = sidecar.slots, asyncio.get_running_loop()
        names = [f"r{number}" for number in range(self.RUNNING)]
        for name in names:
            request = SlotRequest(name, "entry-x", 1, 100, 1, 400)
            slots.add_grant(request, loop.time() * 1000)
        usual_s = (self.EVENTS + 0.5) * slots.usual_step_ms(self.RUNNING) / 1000
        await asyncio.sleep(usual_s / 2)
        sidecar.engine.stand_still(pause_s)
        await asyncio.sleep(usual_s / 2 + pause_s)
        work = ObservedWork(self.EVENTS, (usual_s + pause_s) * 1000)
        for name in names:
            now_ms = loop.time() * 1000
            slots.record_end(name, SendOutcome.ACCEPTED, now_ms, work=work)

    def play_pause(self, tmp_path, pause_s):
        """Return speed factor, hold time and time between events after a pause."""
        results = []

        async def scenario(sidecar):
            await self.run_requests(sidecar, pause_s)
            slots, now_s = sidecar.slots, sidecar.engine.now_s()
            results.extend([slots.speed.factor(now_s), slots.mean_hold_ms])
            results.append(slots.mean_event_interval_ms)

        play(tmp_path, scenario)
        return results

    @pytest.mark.parametrize("pause_s", [1.0, 1.4, SILENT_S])
    def test_pause_is_not_taken_for_slow_work(self, tmp_path, pause_s):
        factor, hold_ms, interval_ms = self.play_pause(tmp_path, pause_s)
        assert factor == 1.0
        assert hold_ms <= INITIAL_HOLD_MS
        assert interval_ms <= INITIAL_EVENT_INTERVAL_MS

    def test_slow_work_without_a_pause_is_noticed(self, tmp_path):
        async def scenario(sidecar):
            slots = sidecar.slots
            await self.run_requests(sidecar, 0.0)
            assert slots.mean_hold_ms < INITIAL_HOLD_MS
            mark = slots.speed.mark(sidecar.engine.now_s())
            await asyncio.sleep(1.0)
            for _ in range(self.RUNNING):
                slots.speed.observe_work(mark, 300, 1000, sidecar.engine.now_s())
            assert slots.speed.factor(sidecar.engine.now_s()) > 1.5

        play(tmp_path, scenario)


class TestColdness:
    """Nothing that is published says again that a warm engine is still warm."""

    COLD_START_S = 10.0

    def start_warm(self, sidecar):
        """Let the engine announce that it is warm, as it did before its pause."""
        sidecar.service.cold.set_limits(self.COLD_START_S, 5.0)
        state = TargetState("i-1", "s", "10.0.0.0:80", "z", started_ms=1)
        sidecar.service.targets_changed([state])
        assert not sidecar.service.cold.was_cold

    async def pause(self, sidecar):
        """Stand still; return whether the engine then counts as cold."""
        sidecar.engine.stand_still(SILENT_S)
        await asyncio.sleep(SILENT_S + 0.5)
        assert sidecar.slots.open
        return sidecar.service.cold.was_cold

    def test_warm_engine_is_warm_after_a_pause(self, tmp_path):
        async def scenario(sidecar):
            self.start_warm(sidecar)
            assert not await self.pause(sidecar)

        play(tmp_path, scenario)

    @pytest.mark.parametrize("restarted_ms", [0, 2])
    def test_restart_in_the_silence_counts_as_cold(self, tmp_path, restarted_ms):
        async def scenario(sidecar):
            self.start_warm(sidecar)
            sidecar.engine.started_ms = restarted_ms
            assert await self.pause(sidecar)

        play(tmp_path, scenario)

    def test_engine_that_was_away_counts_as_cold(self, tmp_path):
        async def scenario(sidecar):
            self.start_warm(sidecar)
            report, sidecar.engine.report = sidecar.engine.report, self.refuse
            await asyncio.sleep(0.5)
            sidecar.engine.report = report
            assert await self.pause(sidecar)

        play(tmp_path, scenario)

    async def refuse(self):
        raise WeightsError(ResultCode.SOURCE_UNAVAILABLE, "refused")


class TestOrder:
    """An engine stands still while it is ordered to load, or loads."""

    async def update(self, sidecar):
        """Name version 2; return how long it was not in place and the slots open.

        The slots must not open while the engine loads.
        """
        name_version(sidecar.service, 2)
        started_s = sidecar.engine.now_s()
        while sidecar.engine.version < 2 or not sidecar.slots.open:
            assert not (sidecar.slots.open and sidecar.engine.busy)
            assert sidecar.engine.now_s() < started_s + 10.0
            await asyncio.sleep(0.01)
        return sidecar.engine.now_s() - started_s

    @pytest.mark.parametrize("pause_s", [1.0, SILENT_S])
    def test_order_whose_response_is_lost_is_not_sent_again(self, tmp_path, pause_s):
        async def scenario(sidecar):
            sidecar.engine.pause_at_order_s = pause_s
            took_s = await self.update(sidecar)
            assert sidecar.engine.ordered == [2]
            assert took_s < pause_s + LOAD_S + 0.2

        play(tmp_path, scenario)

    @pytest.mark.parametrize("pause_s", [1.0, SILENT_S])
    def test_pause_within_the_load(self, tmp_path, pause_s):
        async def scenario(sidecar):
            sidecar.engine.pause_in_load_s = pause_s
            took_s = await self.update(sidecar)
            assert sidecar.engine.ordered == [2]
            assert took_s < pause_s + LOAD_S + 0.2

        play(tmp_path, scenario)

    def test_pause_within_the_load_of_an_empty_engine(self, tmp_path):
        async def scenario(sidecar):
            await asyncio.sleep(SILENT_S + 2.0)
            assert sidecar.engine.ordered == [1]
            assert sidecar.slots.open

        play(tmp_path, scenario, version=0, pause_in_load_s=SILENT_S)

    @pytest.mark.parametrize("pause_s", [0.0, SILENT_S])
    def test_report_of_earlier_repeats_no_order(self, tmp_path, pause_s):
        """Reports show the state of some hundred milliseconds earlier."""

        async def scenario(sidecar):
            sidecar.engine.pause_at_order_s = pause_s
            await self.update(sidecar)
            assert sidecar.engine.ordered == [2]

        play(tmp_path, scenario, report_lag_s=0.2)

    def test_report_of_earlier_repeats_no_order_to_an_empty_engine(self, tmp_path):
        async def scenario(sidecar):
            await asyncio.sleep(2.0)
            assert sidecar.engine.ordered == [1]
            assert sidecar.slots.open

        play(tmp_path, scenario, version=0, report_lag_s=0.2)

    def test_order_that_never_arrived_is_sent_again(self, tmp_path):
        async def scenario(sidecar):
            sidecar.engine.pause_at_order_s = SILENT_S
            sidecar.engine.order_late_s = 60.0
            await self.update(sidecar)
            assert sidecar.engine.begun == [2]

        play(tmp_path, scenario)

    def test_order_that_arrives_after_its_successor_does_not_begin(self, tmp_path):
        async def scenario(sidecar):
            sidecar.engine.pause_at_order_s = SILENT_S
            sidecar.engine.order_late_s = 0.3
            await self.update(sidecar)
            assert sidecar.engine.begun == [2]

        play(tmp_path, scenario)


class TestClient:
    def test_tells_an_engine_that_stands_still_from_one_that_is_away(self, monkeypatch):
        monkeypatch.setattr(engine_module, "CALL_TIMEOUT_S", 0.1)

        async def run():
            engine = Engine(Origin())
            await engine.start()
            http = HttpClient()
            client = HttpEngine(http, Address.from_text(engine.address))
            engine.awake.clear()
            with pytest.raises(EngineSilentError):
                await client.report()
            engine.awake.set()
            await engine.stop()
            with pytest.raises(WeightsError) as away:
                await client.report()
            await http.close()
            assert not isinstance(away.value, EngineSilentError)

        asyncio.run(run())

    @pytest.mark.parametrize(
        "body", [b"", b"rubbish", b"[]", b'{"models":[{"name":"m"', b'{"running":"x"}']
    )
    def test_rubbish_for_a_report_is_no_end_of_the_process(self, body):
        """An engine that counts as away is cold, and gets its weights again."""

        async def run():
            http = HttpClient()
            async with EndlessPeer.complete(body) as peer:
                client = HttpEngine(http, Address("127.0.0.1", peer.port))
                with pytest.raises(EngineSilentError):
                    await client.report()
            await http.close()

        asyncio.run(run())

    def test_order_is_fenced_by_the_sequence(self, monkeypatch):
        monkeypatch.setattr(engine_module, "CALL_TIMEOUT_S", 0.1)

        async def run():
            engine = Engine(Origin())
            await engine.start()
            http = HttpClient()
            client = HttpEngine(http, Address.from_text(engine.address))
            sequence = (await client.report()).sequence
            engine.awake.clear()
            first = await client.load("model", 2, sequence)
            engine.awake.set()
            while engine.version != 2:
                await asyncio.sleep(0.01)
            second = await client.load("model", 3, sequence)
            await http.close()
            await engine.stop()
            assert first is OrderOutcome.UNANSWERED
            assert second is OrderOutcome.REFUSED

        asyncio.run(run())

    @pytest.mark.parametrize("reset", [True, False])
    def test_lost_connection_is_no_end_of_the_process(self, reset):
        """Engines reset connections beyond their limit, and close idle ones."""

        async def close(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            if reset:
                writer.transport.abort()
            writer.close()

        async def run():
            server = await asyncio.start_server(close, "127.0.0.1", 0)
            address = Address("127.0.0.1", server.sockets[0].getsockname()[1])
            http = HttpClient()
            client = HttpEngine(http, address)
            with pytest.raises(EngineSilentError):
                await client.report()
            assert await client.load("model", 2, 0) is OrderOutcome.UNANSWERED
            server.close()
            await server.wait_closed()
            with pytest.raises(WeightsError) as caught:
                await client.report()
            assert not isinstance(caught.value, EngineSilentError)
            await http.close()

        asyncio.run(run())
