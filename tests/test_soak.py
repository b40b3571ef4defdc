"""Tests of the soak test: plan, invariants, and a short run of the real programs."""

import asyncio
import contextlib
import random
import signal
import subprocess
import sys
import time
import zlib
from functools import partial
from types import SimpleNamespace

import aiohttp
import pytest
from aiohttp import web
from soak.__main__ import runs_of
from soak.callers import PATIENCE_S, REQUEST_TIMEOUT_S
from soak.crashing_parts import MAX_LATER_SENDS, Arrival, CrashingParts
from soak.fleet import MEMORY_LIMITS, SoakFleet, reserve_network
from soak.invariants import (
    EVACUATION_BOUND_S,
    MAX_PAUSE_S,
    SUPERSEDED_BOUND_S,
    VERSION_GRACE_S,
    ConfigurationHistory,
    Departure,
    Evacuation,
    Execution,
    InvariantChecker,
    RequestResult,
    SentRequest,
    Silence,
    VersionProgress,
)
from soak.operators import Operator
from soak.plan import (
    AT_END_KINDS,
    DISK_REPAIR_S,
    DRAW_WEIGHTS,
    ENDLESS_KINDS,
    EVACUATION_S,
    FAILURE_DOMAINS,
    LONG_SILENCE_S,
    MIN_PAUSE_INTERVAL_S,
    PAUSE_KINDS,
    PLANNED_KINDS,
    SILENCES_TOTAL_S,
    SLOW_BEGIN_S,
    VERSION_END_INTERVAL_S,
    VERSION_END_KINDS,
    Fault,
    FaultKind,
    FleetShape,
    candidates,
    draw_faults,
    draw_late_readers,
    drop_early_wipes,
    drop_stops_near_wipes,
)
from soak.regressions import REGRESSIONS
from soak.run import FAULT_ACTIONS, SeedOptions, SoakRun
from soak.targets import (
    ENDLESS_BLOCK_BYTES,
    HeartbeatSender,
    SoakEngine,
    SoakPlainTarget,
    expected_stream,
)
from soak.traces import FileState, has_run_a_line

from tests.fakes.platform import Origin
from wisteriapulley.consensus.frames import pack_committed_index

SHAPE = FleetShape.of_size(2, 3)
SENT = SentRequest("id", "entry-1", "POST", "/once/", b"body", 10.0, False, 1)
EXECUTION = Execution("id", "i-1", "POST", "/once/", b"body", "account", False, 10.1)


def new_checker(timed=True):
    checker = InvariantChecker("account", timed)
    checker.record_sent(SENT)
    return checker


def violations(checker):
    return [finding.invariant for finding in checker.findings]


def ends_with_long_silences(faults):
    """Return when the versions are named at whose end an engine is silent for long."""
    return {f.at_s for f in faults if f.kind is FaultKind.LONG_SILENCE_AT_END}


class TestReportedSignals:
    """Each incarnation of a target reports its signals to each entry separately."""

    def violations(self, arrivals, cooldown_s=0.0, faults=(), sent_s=()):
        checker = InvariantChecker("account")
        checker.faults.extend(faults)
        checker.record_sent(SENT)
        checker.record_signal("id", "plain-1-i1", 10.0, cooldown_s)
        for number, at_s in enumerate(arrivals):
            request_sent_s = sent_s[number] if sent_s else at_s
            sent = SENT._replace(request_id=f"r{number}", at_s=request_sent_s)
            checker.record_sent(sent)
            checker.record_arrival(f"r{number}", "plain-1-i1", at_s)
        return [finding.invariant for finding in checker.findings]

    def test_two_requests_during_a_cooldown_are_allowed(self):
        assert self.violations([10.2, 10.3, 10.4, 11.0, 11.5, 13.1, 13.2], 3.0) == []
        assert self.violations([11.0, 11.5, 12.0], 3.0) == ["rest"]

    def test_restarted_entry_is_excused(self):
        fault = Fault(0.0, FaultKind.KILL, "entry-1", 0.1)
        assert self.violations([11.0, 11.5, 12.0], 3.0, [(fault, 10.6, 10.7)]) == []
        other = fault._replace(name="entry-2")
        assert self.violations([11.0, 11.5, 12.0], 3.0, [(other, 10.6, 10.7)]) == [
            "rest"
        ]

    def test_request_sent_long_after_target_reported_leaving(self):
        assert self.violations([11.0, 14.0], sent_s=[11.0, 12.0]) == []
        assert self.violations([13.0]) == ["leaving"]


class TestEvacuations:
    """Nothing reaches an evacuated failure domain once the order is in force."""

    def violations(self, arrival_s, fault=None, timed=True, target_id="plain-1-i1"):
        checker = new_checker(timed)
        checker.failure_domains = {"plain-1": "domain-a", "plain-2": "domain-b"}
        checker.evacuations.append(Evacuation("domain-a", 10.0, 24.0))
        if fault:
            kind, name, began_s, ended_s = fault
            checker.faults.append((Fault(0.0, kind, name, 1.0), began_s, ended_s))
        checker.record_arrival("id", target_id, arrival_s)
        return violations(checker)

    def test_arrival_before_bound_and_after_withdrawal(self):
        assert self.violations(14.9) == self.violations(24.1) == []

    def test_arrival_after_bound(self):
        assert self.violations(15.1) == ["evacuated"]
        assert self.violations(15.1, target_id="plain-1-i7") == ["evacuated"]
        assert self.violations(15.1, target_id="plain-2-i1") == []
        assert self.violations(15.1, timed=False) == []

    def test_entry_is_excused_until_it_has_recovered(self):
        restart = (FaultKind.KILL, "entry-1", 12.0, 13.0)
        assert self.violations(15.1, restart) == []
        assert self.violations(18.0, restart) == ["evacuated"]
        other = (FaultKind.KILL, "entry-2", 12.0, 13.0)
        assert self.violations(15.1, other) == ["evacuated"]

    def test_disturbed_control_instance_extends_bound(self):
        cut = (FaultKind.CUT, "control-2", 12.0, 20.0)
        assert self.violations(20.9, cut) == []
        assert self.violations(21.1, cut) == ["evacuated"]
        assert self.violations(15.1, (FaultKind.CUT, "control-2", 8.0, 11.0)) == [
            "evacuated"
        ]

    @pytest.mark.parametrize("kind", [FaultKind.KILL_CONTROLS, FaultKind.KILL_ALL])
    def test_no_bound_without_quorum(self, kind):
        assert self.violations(22.0, (kind, "", 12.0, 14.5)) == []
        assert self.violations(23.0, (kind, "", 12.0, 14.5)) == ["evacuated"]


class TestPauses:
    """Targets stand still and go on: that alone makes no request fail."""

    STREAM = SENT._replace(path="/stream/")
    FAILED = RequestResult("id", 12.0, 502, True, False)

    def violations(
        self,
        *faults,
        sent=SENT,
        result=FAILED,
        pause=(10.5, 11.5),
        started_s=None,
        desired_s=None,
        timed=True,
    ):
        checker = InvariantChecker("account", timed)
        checker.record_sent(sent)
        checker.pauses.append(pause)
        if desired_s is not None:
            checker.desired_since_s[2] = desired_s
        for kind, name in faults:
            checker.faults.append((Fault(0.0, kind, name, 1.0), 8.0, 9.0))
        if started_s is not None:
            execution = EXECUTION._replace(path=sent.path, at_s=started_s)
            checker.record_execution(execution)
        checker.record_result(result)
        checker.check_final()
        return violations(checker)

    @pytest.mark.parametrize("status", [500, 502, 504])
    def test_failed_request(self, status):
        assert self.violations(result=self.FAILED._replace(status=status)) == ["paused"]

    def test_closed_connection(self):
        closed = self.FAILED._replace(status=0, complete=False)
        assert self.violations(result=closed, started_s=11.5) == ["paused"]
        assert self.violations(result=closed) == []

    def test_truncated_response(self):
        truncated = self.FAILED._replace(status=200, complete=False)
        assert self.violations(result=truncated, started_s=10.1) == ["paused"]

    def test_answered_or_refused_request(self):
        whole = self.FAILED._replace(status=200, correct=True)
        assert self.violations(result=whole) == []
        assert self.violations(result=self.FAILED._replace(status=503)) == []

    def test_request_that_no_pause_meets(self):
        assert self.violations(pause=(12.1, 13.0)) == []
        assert self.violations(pause=(8.0, 9.9)) == []

    def test_pauses_that_leave_too_little_time(self):
        late = self.FAILED._replace(at_s=20.0)
        assert self.violations(result=late, pause=(10.5, 13.0)) == ["paused"]
        assert self.violations(result=late, pause=(10.5, 13.2)) == []

    def test_other_pauses_and_planned_operations_are_no_excuse(self):
        planned = [(kind, "entry-1") for kind in PLANNED_KINDS]
        assert self.violations(*planned) == ["paused"]

    def test_failure_of_entry_target_or_fleet_is_an_excuse(self):
        assert self.violations((FaultKind.KILL, "entry-1")) == []
        assert self.violations((FaultKind.KILL, "entry-2")) == ["paused"]
        assert self.violations((FaultKind.KILL, "control-1")) == ["paused"]
        assert self.violations((FaultKind.KILL_ALL, "")) == []
        assert self.violations((FaultKind.TARGET_GREY, "plain-1")) == []
        crash = (FaultKind.ENGINE_CRASH, "sidecar-1")
        assert self.violations(crash) == ["paused"]
        assert self.violations(crash, sent=self.STREAM) == []

    def test_grace_period_that_ends_before_the_start(self):
        ended = {"sent": self.STREAM, "desired_s": 12.2 - VERSION_GRACE_S}
        assert self.violations(**ended) == []
        assert self.violations(**ended, started_s=12.1) == []
        assert self.violations(**ended, started_s=10.4) == ["paused"]
        assert self.violations(desired_s=12.2 - VERSION_GRACE_S) == ["paused"]
        assert self.violations(sent=self.STREAM, desired_s=12.6 - VERSION_GRACE_S) == [
            "paused"
        ]

    def test_busy_machine(self):
        assert self.violations(timed=False) == []


class TestDepartures:
    """Callers leave a stream that shows nothing."""

    STREAM = SENT._replace(path="/stream/")

    def violations(self, has_event=False, faults=(), timed=True):
        checker = InvariantChecker("account", timed)
        checker.record_sent(self.STREAM)
        checker.faults = [(Fault(0.0, *f, 1.0), 11.0, 12.0) for f in faults]
        checker.record_departure(Departure("id", 13.2, has_event))
        checker.check_final()
        return violations(checker)

    def test_caller_without_an_event(self):
        assert self.violations() == ["left"]
        assert self.violations(timed=False) == []

    def test_stream_that_has_begun_is_left_by_its_caller(self):
        assert self.violations(has_event=True) == []

    def test_pause_of_the_engine_is_no_excuse(self):
        paused = (FaultKind.LONG_PAUSE, "sidecar-1")
        assert self.violations(faults=[paused]) == ["left"]
        assert self.violations(faults=[(FaultKind.FREEZE, "entry-1")]) == []


class TestPausingTargets:
    """A target that stands still has read requests, and starts them when it wakes."""

    STREAM = SENT._replace(path="/stream/")
    HEADERS = {
        "X-Request-Attempt-Id": "id",
        "X-Expect-Instance": "sidecar-1-i1",
        "X-Tenant": "account",
    }

    def play(self, scenario):
        async def run():
            checker = InvariantChecker("account")
            checker.record_sent(self.STREAM)
            engine = SoakEngine(Origin(), checker, "sidecar-1")
            await engine.start()
            async with aiohttp.ClientSession() as session:
                await scenario(engine, session, f"http://{engine.address}/stream/")
            await engine.stop()
            return checker

        return asyncio.run(run())

    def test_request_of_caller_that_left_is_started(self):
        async def scenario(engine, session, url):
            pause = asyncio.create_task(engine.fall_silent(0.3))
            with pytest.raises(asyncio.TimeoutError):
                async with asyncio.timeout(0.1):
                    await session.post(url, data=b"body", headers=self.HEADERS)
            assert not engine.checker.executions
            await pause
            await asyncio.sleep(0.1)

        checker = self.play(scenario)
        assert len(checker.executions["id"]) == 1
        assert not checker.findings

    @pytest.mark.parametrize("leaves", [True, False])
    def test_signal_to_caller_that_left_is_not_recorded(self, leaves):
        """Its entry can't know of the cool-down that begins in the pause."""

        async def scenario(engine, session, url):
            pause = asyncio.create_task(engine.fall_silent(0.3))
            with contextlib.suppress(asyncio.TimeoutError):
                async with asyncio.timeout(0.1 if leaves else None):
                    engine.cooldown_s = 9.0
                    await session.post(url, data=b"body", headers=self.HEADERS)
            await pause
            await asyncio.sleep(0.1)

        checker = self.play(scenario)
        assert bool(checker.signals["entry-1", "sidecar-1-i1"]) == (not leaves)

    def test_response_goes_on_where_it_stood_still(self):
        async def scenario(engine, session, url):
            async with session.post(url, data=b"body", headers=self.HEADERS) as answer:
                await answer.content.readline()
                await engine.fall_silent(0.3)
                await answer.content.readline()
                rest = await answer.read()
                assert expected_stream("id").endswith(rest)
                assert len(engine.running) == 0

        assert not self.play(scenario).findings

    def test_request_arrives_before_the_pause_ends(self):
        async def scenario(engine, session, url):
            engine.checker.failure_domains = {"sidecar-1": "domain-a"}
            engine.checker.evacuations.append(
                Evacuation("domain-a", time.monotonic() - EVACUATION_BOUND_S + 0.2)
            )
            pause = asyncio.create_task(engine.fall_silent(0.4))
            await asyncio.sleep(0)
            async with session.post(url, data=b"body", headers=self.HEADERS) as answer:
                assert await answer.read() == expected_stream("id")
            await pause

        checker = self.play(scenario)
        assert checker.check_counts["evacuated"] == 1
        assert not checker.findings

    def test_switch_of_weights_waits(self):
        async def scenario(engine, session, url):
            engine.busy = True
            pause = asyncio.create_task(engine.fall_silent(0.2))
            await asyncio.sleep(0)
            engine.finish_load(2)
            assert engine.version == 1
            await pause
            await asyncio.sleep(0.1)
            assert engine.version == 2

        self.play(scenario)

    @pytest.mark.parametrize("notices_close", [True, False])
    def test_request_of_caller_that_left_while_it_was_read(self, notices_close):
        """An engine that does not look at its connections begins it."""

        async def scenario(engine, session, url):
            engine.reading_s, engine.notices_close = 0.1, notices_close
            posting = asyncio.create_task(
                session.post(url, data=b"body", headers=self.HEADERS)
            )
            while not engine.running:
                await asyncio.sleep(0)
            engine.awake.clear()
            posting.cancel()
            (request,) = engine.running.values()
            while request.transport is not None:
                await asyncio.sleep(0.01)
            assert not engine.checker.executions
            engine.awake.set()
            while engine.running:
                await asyncio.sleep(0.01)

        checker = self.play(scenario)
        assert bool(checker.executions) == (not notices_close)

    def test_prompt_is_not_read_on_while_its_engine_stands_still(self):
        async def scenario(engine, session, url):
            engine.reading_s = 0.1
            posting = asyncio.create_task(
                session.post(url, data=b"body", headers=self.HEADERS)
            )
            while not engine.running:
                await asyncio.sleep(0)
            await engine.fall_silent(0.3)
            assert not engine.checker.executions
            async with await posting as answer:
                assert await answer.read() == expected_stream("id")

        assert not self.play(scenario).findings

    def test_version_that_is_replaced_while_a_prompt_is_read(self):
        async def scenario(engine, session, url):
            engine.reading_s = 0.1
            headers = self.HEADERS | {"X-Expect-Version": "1"}
            posting = asyncio.create_task(session.post(url, headers=headers))
            while not engine.running:
                await asyncio.sleep(0)
            engine.version = 2
            async with await posting as answer:
                assert answer.status == 421

        assert not self.play(scenario).executions

    @pytest.mark.parametrize("late_reader", [True, False])
    def test_time_limit_passes_before_the_request_is_read(self, late_reader):
        """It counts from when the engine reads the request."""

        async def scenario(engine, session, url):
            engine.counts_silence = not late_reader
            pause = asyncio.create_task(engine.fall_silent(0.6))
            await asyncio.sleep(0)
            headers = self.HEADERS | {"X-Deadline-Ms": "100"}
            async with session.post(url, data=b"body", headers=headers) as answer:
                assert answer.status == (200 if late_reader else 503)
                assert ("X-Not-Executed" in answer.headers) != late_reader
            await pause

        assert bool(self.play(scenario).executions) == late_reader

    @pytest.mark.parametrize("late_reader", [True, False])
    @pytest.mark.parametrize("silent_s", [0.0, 0.6])
    def test_time_limit_passes_while_a_prompt_is_read(self, silent_s, late_reader):
        """The engine stops then, and has begun nothing."""

        async def scenario(engine, session, url):
            engine.reading_s, engine.notices_close = 9.0, False
            engine.counts_silence = not late_reader
            headers = self.HEADERS | {"X-Deadline-Ms": "300"}
            posting = asyncio.create_task(session.post(url, headers=headers))
            while not engine.running:
                await asyncio.sleep(0)
            await engine.fall_silent(silent_s)
            async with await posting as answer:
                assert answer.status == 503
                assert "X-Not-Executed" in answer.headers
            assert not engine.running

        assert not self.play(scenario).executions

    @pytest.mark.parametrize("silent_s", [0.0, 1.2])
    def test_stream_is_cut_at_its_time_limit(self, silent_s):
        async def scenario(engine, session, url):
            headers = self.HEADERS | {"X-Deadline-Ms": "1000"}
            engine.event_s = 0.15
            async with session.post(url, data=b"body", headers=headers) as answer:
                await answer.content.readline()
                await engine.fall_silent(silent_s)
                with pytest.raises(aiohttp.ClientError):
                    await answer.read()
            while engine.running:
                await asyncio.sleep(0.01)

        assert len(self.play(scenario).executions["id"]) == 1

    @pytest.mark.parametrize("begins", [False, True])
    def test_plain_target_keeps_its_time_limit(self, begins):
        """A response to a request that it has begun counts as run."""

        async def run():
            checker = InvariantChecker("account")
            checker.record_sent(SENT)
            plain = SoakPlainTarget(checker, "plain-1")
            await plain.start()
            headers = {**self.HEADERS, "X-Expect-Instance": "plain-1-i1"}
            headers["X-Deadline-Ms"] = "100"
            url = f"http://{plain.address}/once/"
            if not begins:
                plain.awake.clear()
            async with aiohttp.ClientSession() as session:
                posting = asyncio.create_task(
                    session.post(url, data=b"body", headers=headers)
                )
                while begins and not plain.running:
                    await asyncio.sleep(0)
                await plain.fall_silent(0.6)
                async with await posting as answer:
                    seen = answer.status, "X-Not-Executed" in answer.headers
            await plain.stop()
            return seen, len(checker.executions["id"])

        seen, executions = asyncio.run(run())
        assert seen == ((504, False) if begins else (503, True))
        assert executions == begins

    def test_heartbeats_wait(self):
        async def run():
            checker = InvariantChecker("account")
            plain = SoakPlainTarget(checker, "plain-1")
            sender = HeartbeatSender(plain, "127.0.0.1:1", "domain-a", list)
            pause = asyncio.create_task(plain.fall_silent(0.1))
            await asyncio.sleep(0)
            announcing = asyncio.create_task(sender.announce())
            await asyncio.sleep(0.05)
            assert not announcing.done()
            await pause
            await announcing

        asyncio.run(run())

    def test_second_leave_ends_with_the_incarnation_that_left(self, monkeypatch):
        """The next incarnation may never be without requests."""
        monkeypatch.setattr("soak.targets.LEAVE_DELAY_S", 0.0)

        async def run():
            plain = SoakPlainTarget(InvariantChecker("account"), "plain-1")
            sender = HeartbeatSender(plain, "127.0.0.1:1", "domain-a", list)
            left_id = plain.target_id
            plain.crash()
            plain.running = 1
            async with asyncio.timeout(30.0):
                await sender.serve_on_and_restart(left_id)
            assert plain.incarnation == 2

        asyncio.run(run())

    def test_deregistered_target_reports_no_more_until_it_restarts(self):
        async def run():
            control = Origin()
            calls = []

            async def answer(request):
                calls.append(request.path)
                return web.Response(body=b"{}")

            control.app.add_routes([web.post("/api/{tail:.*}", answer)])
            await control.start()
            plain = SoakPlainTarget(InvariantChecker("account"), "plain-1")
            sender = HeartbeatSender(
                plain, "127.0.0.1:1", "domain-a", lambda: [control.address]
            )
            async with aiohttp.ClientSession() as sender.session:
                assert await sender.deregister(control.address)
                assert not await sender.announce()
                plain.crash()
                assert await sender.announce()
            await control.stop()
            assert [path.rpartition("/")[2] for path in calls] == [
                "plain-1-i1",
                "plain-1-i2",
            ]

        asyncio.run(run())

    @pytest.mark.parametrize(
        "name,expected",
        [("plain-2", {"b"}), ("domain-a", {"a", "c"}), ("", {"a", "b", "c"})],
    )
    def test_one_target_a_failure_domain_or_all_are_paused(self, name, expected):
        paused = set()

        def sender(key, domain):
            async def fall_silent(pause_s):
                paused.add(key)

            target = SimpleNamespace(fall_silent=fall_silent)
            return SimpleNamespace(target=target, failure_domain=domain)

        checker = InvariantChecker("account")
        fleet = SimpleNamespace(
            checker=checker,
            heartbeat_senders={
                "plain-1": sender("a", "domain-a"),
                "plain-2": sender("b", "domain-b"),
                "sidecar-1": sender("c", "domain-a"),
            },
        )
        asyncio.run(SoakFleet.pause_targets(fleet, name, 0.1))
        assert paused == expected and len(checker.pauses) == 1


class TestEvacuationOrders:
    """Orders are resent until acknowledged, and always withdrawn."""

    def play(self, *statuses):
        checker = InvariantChecker("account")
        operator = Operator(checker, None, None, 1)
        calls, left = [], list(statuses)

        async def call(path, body):
            calls.append(path.removeprefix("/api/Evacuation."))
            return left.pop(0) if left else 200

        operator.call = call

        async def both():
            orders = (operator.evacuate(name, 0.0) for name in ("a", "b"))
            await asyncio.gather(*orders)

        asyncio.run(both())
        return checker, calls

    def test_order_is_resent_and_domains_follow_each_other(self):
        checker, calls = self.play(0, 503, 429, 200, 503)
        assert calls == ["Start/a"] * 4 + ["End/a"] * 2 + ["Start/b", "End/b"]
        assert violations(checker) == []
        first, second = checker.evacuations
        assert first.acknowledged_s <= first.end_s <= second.acknowledged_s

    @pytest.mark.parametrize("status", [400, 404, 422])
    def test_refused_order_is_finding(self, status):
        checker, calls = self.play(status)
        assert violations(checker) == ["order"]
        assert calls == ["Start/a", "End/a", "Start/b", "End/b"]
        assert [e.failure_domain for e in checker.evacuations] == ["b"]


class TestPlan:
    def test_seed_determines_all_faults(self):
        assert draw_faults(7, 30, SHAPE) == draw_faults(7, 30, SHAPE)
        assert draw_faults(7, 30, SHAPE) != draw_faults(8, 30, SHAPE)

    def test_every_kind_can_be_drawn_and_injected(self):
        # Each of these has a generator of its own.
        separate = {
            FaultKind.TARGET_COOLDOWN,
            FaultKind.EVACUATE,
            FaultKind.CRASHING_PART,
            FaultKind.LONG_PAUSE,
            *PAUSE_KINDS,
            *VERSION_END_KINDS,
            *AT_END_KINDS,
            FaultKind.LONG_SILENCE_AT_END,
            *ENDLESS_KINDS,
            FaultKind.LEAVE_AND_KILL,
        }
        assert separate.isdisjoint(DRAW_WEIGHTS)
        assert {*DRAW_WEIGHTS, *separate} == set(FaultKind) == set(FAULT_ACTIONS)
        cooldowns = [
            f
            for f in draw_faults(1, 60.0, SHAPE)
            if f.kind is FaultKind.TARGET_COOLDOWN
        ]
        assert {fault.name for fault in cooldowns} > set(SHAPE.plain_targets)
        assert all(candidates(kind, SHAPE) for kind in FaultKind)

    @pytest.mark.parametrize(
        "seed,checksum", [(1, 3428049425), (2, 3420045908), (42, 371179868)]
    )
    def test_later_kinds_do_not_change_other_faults_of_a_seed(self, seed, checksum):
        faults = draw_faults(seed, 60, SHAPE)
        later = {FaultKind.EVACUATE, *PAUSE_KINDS}
        rare = {FaultKind.CRASHING_PART, FaultKind.LONG_PAUSE}
        rare |= {*VERSION_END_KINDS, *AT_END_KINDS, FaultKind.LONG_SILENCE_AT_END}
        others = [str(f) for f in faults if f.kind not in later | rare]
        assert later <= {f.kind for f in faults}
        assert zlib.crc32("\n".join(others).encode()) == checksum

    @pytest.mark.parametrize(
        "seed,calm,checksum",
        [
            (36, False, 1464339661),
            (36, True, 1712613290),
            (516, False, 1456619423),
            (1440489201, True, 1043736579),
        ],
    )
    def test_engines_at_the_end_do_not_change_other_faults_of_a_seed(
        self, seed, calm, checksum
    ):
        faults = draw_faults(seed, 60, SHAPE, calm=calm)
        at_end = (*AT_END_KINDS, FaultKind.LONG_SILENCE_AT_END)
        others = [str(f) for f in faults if f.kind not in at_end]
        assert len(others) < len(faults)
        assert zlib.crc32("\n".join(others).encode()) == checksum

    @pytest.mark.parametrize("seed", range(20))
    def test_one_evacuation_at_a_time(self, seed):
        faults = draw_faults(seed, 120, SHAPE)
        evacuations = [f for f in faults if f.kind is FaultKind.EVACUATE]
        for first, second in zip(evacuations, evacuations[1:], strict=False):
            assert second.at_s >= first.at_s + first.duration_s
        assert {f.name for f in evacuations[:3]} == set(FAILURE_DOMAINS)
        assert all(f.duration_s >= EVACUATION_S[0] for f in evacuations)

    @pytest.mark.parametrize("seed", range(20))
    def test_pauses_follow_each_other(self, seed):
        faults = draw_faults(seed, 300, SHAPE)
        pauses = [
            f
            for f in faults
            if f.kind in (FaultKind.PAUSE, FaultKind.PAUSE_WITH_CONFIG)
        ]
        for first, second in zip(pauses, pauses[1:], strict=False):
            assert second.at_s >= first.at_s + first.duration_s + MIN_PAUSE_INTERVAL_S
        assert {"", *FAILURE_DOMAINS} <= {f.name for f in pauses}
        assert {f.name for f in pauses} & set(SHAPE.targets)
        durations_s = [f.duration_s for f in pauses]
        assert 0.3 <= min(durations_s) < 1.5 < max(durations_s) <= MAX_PAUSE_S

    def test_engines_pause_for_longer_than_callers_wait(self):
        faults = [f for seed in range(20) for f in draw_faults(seed, 30, SHAPE)]
        pauses = [f for f in faults if f.kind is FaultKind.LONG_PAUSE]
        assert 0 < len(pauses) <= 20
        assert all(f.duration_s > PATIENCE_S for f in pauses)
        assert {f.name for f in pauses} == set(SHAPE.sidecars)

    def test_versions_end_while_the_origin_is_away(self):
        sizes = set()
        for seed in range(20):
            drawn = draw_faults(seed, 60, SHAPE)
            rows, ends_s = [], []
            for fault in drawn:
                if fault.kind is not FaultKind.WEIGHTS_ORIGIN_AWAY:
                    continue
                if not rows or fault.at_s > ends_s[-1]:
                    rows.append([])
                    ends_s.append(fault.at_s + fault.duration_s)
                rows[-1].append(fault)
                assert fault.at_s + fault.duration_s == pytest.approx(ends_s[-1])
            assert len(rows) >= 4
            for row, end_s in zip(rows, ends_s, strict=True):
                assert end_s - row[0].at_s >= VERSION_GRACE_S + 1.0
                assert all(
                    0.19 < second.at_s - first.at_s < 0.61
                    for first, second in zip(row, row[1:], strict=False)
                )
            sizes |= {len(row) for row in rows}
            starts_s = [row[0].at_s for row in rows[1:]]
            for end_s, at_s in zip(ends_s, starts_s, strict=False):
                assert at_s >= end_s + VERSION_END_INTERVAL_S[0]
        assert {1, 10, 20} <= sizes <= {1, *range(10, 21)}

    def test_short_freezes_span_the_naming_of_a_version(self):
        sizes = set()
        for seed in range(60):
            faults = draw_faults(seed, 4, SHAPE)
            freezes = [f for f in faults if f.kind is FaultKind.SHORT_FREEZE]
            named = [f for f in faults if f.kind is FaultKind.WEIGHTS_ORIGIN_AWAY]
            sizes.add(len(freezes))
            for freeze in freezes:
                assert freeze.at_s < named[0].at_s < freeze.at_s + freeze.duration_s
                assert freeze.name in (*SHAPE.entries, *SHAPE.sidecars)
                assert 0.3 <= freeze.duration_s <= 1.0
        assert sizes >= {0, 1, len((*SHAPE.entries, *SHAPE.sidecars))}

    def test_engines_pause_at_the_end_no_longer_than_the_allowance(self):
        faults = [f for seed in range(40) for f in draw_faults(seed, 12, SHAPE)]
        pauses = [f for f in faults if f.pause_s]
        assert {f.kind for f in pauses} == {FaultKind.WEIGHTS_ORIGIN_AWAY}
        assert "" in {f.name for f in pauses}
        assert all(f.pause_s <= 1.0 for f in pauses)

    @pytest.mark.parametrize("calm", [True, False])
    def test_answers_without_end_are_drawn_one_after_the_other(self, calm):
        drawn = set()
        for seed in range(20):
            others = draw_faults(seed, 60, SHAPE, calm=calm)
            faults = draw_faults(seed, 60, SHAPE, calm=calm, endless=True)
            endless = [f for f in faults if f.kind in ENDLESS_KINDS]
            assert [f for f in faults if f not in endless] == others
            for first, second in zip(endless, endless[1:], strict=False):
                assert second.at_s >= first.at_s + first.duration_s
            drawn |= {(f.kind, f.name) for f in endless}
            assert all(f.duration_s > REQUEST_TIMEOUT_S for f in endless)
        assert drawn == {
            (kind, name) for kind in ENDLESS_KINDS for name in candidates(kind, SHAPE)
        }

    def test_leaves_do_not_change_other_faults_of_a_seed(self):
        drawn = set()
        for seed in range(20):
            others = draw_faults(seed, 60, SHAPE)
            faults = draw_faults(seed, 60, SHAPE, leaves=True)
            leaves = [f for f in faults if f.kind is FaultKind.LEAVE_AND_KILL]
            assert [f for f in faults if f not in leaves] == others
            drawn |= {(f.name, f.target) for f in leaves}
        assert drawn == {(c, t) for c in SHAPE.controls for t in SHAPE.targets}

    def test_silences_and_slow_begins_add_up_at_the_end(self):
        drawn = set()
        for seed in range(60):
            faults = draw_faults(seed, 30, SHAPE, calm=True)
            namings = [f for f in faults if f.kind is FaultKind.WEIGHTS_ORIGIN_AWAY]
            longer = ends_with_long_silences(faults)
            at_ends = [
                f for f in faults if f.kind in AT_END_KINDS and f.at_s not in longer
            ]
            for first, second in zip(at_ends[::2], at_ends[1::2], strict=True):
                drawn.add(first.kind)
                assert (first.at_s, first.name) == (second.at_s, second.name)
                assert first.name in SHAPE.sidecars
                (naming,) = (f for f in namings if f.at_s == first.at_s)
                assert not naming.pause_s
                # The end falls into the second, which is always a silence.
                assert second.kind is FaultKind.SILENCE_AT_END
                assert 0.0 < second.lead_s < second.duration_s
                if first.kind is FaultKind.SILENCE_AT_END:
                    total_s = first.duration_s + second.duration_s
                    assert SILENCES_TOTAL_S[0] <= total_s <= SILENCES_TOTAL_S[1]
                    gap_s = first.lead_s - first.duration_s - second.lead_s
                    assert 0.0 < gap_s < 1.0
                else:
                    assert SLOW_BEGIN_S[0] <= first.duration_s <= SLOW_BEGIN_S[1]
                    assert first.lead_s > second.lead_s
                    assert second.duration_s <= 1.0
        assert drawn == set(AT_END_KINDS)

    def test_longer_silences_replace_what_else_comes_at_an_end(self):
        begins, ends, silent_s = set(), 0, []
        for seed in range(60):
            faults = draw_faults(seed, 30, SHAPE, calm=True)
            first = [f for f in faults if f.kind is FaultKind.WEIGHTS_ORIGIN_AWAY][0]
            ends += not first.pause_s
            for at_s in ends_with_long_silences(faults):
                (naming,) = (
                    f
                    for f in faults
                    if f.kind is FaultKind.WEIGHTS_ORIGIN_AWAY and f.at_s == at_s
                )
                assert not naming.pause_s
                *slow, silence = (
                    f
                    for f in faults
                    if f.at_s == at_s
                    and f.kind in (*AT_END_KINDS, FaultKind.LONG_SILENCE_AT_END)
                )
                assert silence.kind is FaultKind.LONG_SILENCE_AT_END
                assert 0.0 < silence.lead_s < silence.duration_s
                assert all(f.name == silence.name for f in slow)
                assert all(f.lead_s > silence.lead_s for f in slow)
                begins.add(tuple(f.kind for f in slow))
                silent_s.append(silence.duration_s)
        slow_kinds = {(FaultKind.SLOW_BEGIN,), (FaultKind.UNNOTICED_CLOSE,)}
        assert begins == {(), *slow_kinds}
        assert LONG_SILENCE_S[0] <= min(silent_s) < 1.6
        assert 2.3 < max(silent_s) <= min(LONG_SILENCE_S[1], MAX_PAUSE_S)
        assert len(silent_s) > ends / 2

    def test_some_targets_read_requests_only_after_a_silence(self):
        drawn = [draw_late_readers(seed, SHAPE) for seed in range(60)]
        assert drawn == [draw_late_readers(seed, SHAPE) for seed in range(60)]
        assert {name for names in drawn for name in names} == set(SHAPE.targets)
        assert {len(names) for names in drawn} >= {1, 2, 3, 4}

    def test_control_instances_return_before_the_end_of_the_version(self):
        returns = (FaultKind.RETURN_AFTER_TERM, FaultKind.RETURN_AFTER_KILL)
        numbers, kinds, restarted = set(), set(), set()
        for seed in range(80):
            faults = draw_faults(seed, 4, SHAPE)
            named = next(f for f in faults if f.kind is FaultKind.WEIGHTS_ORIGIN_AWAY)
            stops = [f for f in faults if f.kind in returns]
            controls = [f for f in stops if f.name in SHAPE.controls]
            others = [f for f in stops if f not in controls]
            kinds |= {f.kind for f in stops}
            numbers.add(len(controls))
            restarted.add(len({f.at_s for f in others}))
            if not controls:
                continue
            assert named.at_s - 0.5 <= controls[0].at_s < named.at_s
            for first, second in zip(controls, controls[1:], strict=False):
                assert second.at_s > first.at_s + first.duration_s
            back_s = controls[-1].at_s + controls[-1].duration_s
            assert all(f.at_s > back_s for f in others)
            assert max(f.at_s for f in stops) < named.at_s + VERSION_GRACE_S - 0.5
        assert kinds == set(returns) and numbers == {0, 1, 2}
        assert restarted == {0, 1, len(SHAPE.entries) + len(SHAPE.sidecars)}

    @pytest.mark.parametrize("at_s,drops", [(3.0, True), (20.0, True), (40.0, False)])
    def test_no_control_instance_stops_while_a_disk_is_repaired(self, at_s, drops):
        wipe = Fault(10.0, FaultKind.WIPE, "control-1", 1.0)
        stop = Fault(at_s, FaultKind.RETURN_AFTER_TERM, "control-2", 1.0)
        other = stop._replace(name="entry-1")
        kept = list(drop_stops_near_wipes([stop, other], [wipe]))
        assert kept == ([other] if drops else [stop, other])

    def test_calm_run_has_the_planned_operations_and_pauses_of_its_seed(self):
        calm = draw_faults(7, 60, SHAPE, calm=True)
        planned = [f for f in draw_faults(7, 60, SHAPE) if f.kind in PLANNED_KINDS]
        assert calm == planned
        assert {FaultKind.TERM, FaultKind.CONFIG, *PAUSE_KINDS} <= {
            f.kind for f in calm
        }
        ends = set(VERSION_END_KINDS) - {FaultKind.RETURN_AFTER_KILL}
        drawn = {f.kind for s in range(9) for f in draw_faults(s, 12, SHAPE, calm=True)}
        assert ends == drawn & set(VERSION_END_KINDS)

    @pytest.mark.parametrize("seed", range(20))
    def test_no_second_wipe_before_first_disk_is_repaired(self, seed):
        wipes = [f for f in draw_faults(seed, 300, SHAPE) if f.kind is FaultKind.WIPE]
        for first, second in zip(wipes, wipes[1:], strict=False):
            assert second.at_s >= first.at_s + first.duration_s + DISK_REPAIR_S

    def test_fault_that_delays_repair_drops_next_wipe(self):
        faults = [
            Fault(0.0, FaultKind.WIPE, "control-1", 1.0),
            Fault(10.0, FaultKind.KILL_ALL, "", 3.0),
            Fault(12.0, FaultKind.WIPE, "control-2", 1.0),
        ]
        assert [f.kind for f in drop_early_wipes(faults)] == [
            FaultKind.WIPE,
            FaultKind.KILL_ALL,
        ]


class TestInvariantChecker:
    """Each violation is reported under the name of its invariant."""

    def test_correct_request_has_no_findings(self):
        checker = new_checker()
        checker.record_execution(EXECUTION)
        checker.record_result(RequestResult("id", 10.2, 200, True, True))
        checker.check_final()
        assert not checker.findings and checker.check_counts["whole"] == 1

    @pytest.mark.parametrize(
        "execution,invariant",
        [
            (EXECUTION._replace(request_id="other"), "known"),
            (EXECUTION._replace(path="/twice/"), "unchanged"),
            (EXECUTION._replace(body=b""), "unchanged"),
            (EXECUTION._replace(account="other"), "account"),
            (EXECUTION._replace(has_key=True), "key"),
        ],
    )
    def test_execution_that_differs_from_request_sent(self, execution, invariant):
        checker = new_checker()
        checker.record_execution(execution)
        assert violations(checker) == [invariant]

    def test_second_execution(self):
        checker = new_checker()
        checker.record_execution(EXECUTION)
        checker.record_execution(EXECUTION._replace(target_id="i-2"))
        assert set(violations(checker)) == {"once", "attempts"}

    def test_rejected_request_that_is_executed_later(self):
        checker = new_checker()
        checker.record_result(RequestResult("id", 10.2, 503, True, False))
        checker.record_execution(EXECUTION)
        checker.check_final()
        assert violations(checker) == ["not run"]

    def test_response_to_another_request(self):
        checker = new_checker()
        checker.record_result(RequestResult("id", 10.2, 200, True, False))
        assert violations(checker) == ["whole"]

    def test_response_truncated_by_planned_operation_alone(self):
        checker = new_checker()
        checker.faults.append((Fault(0, FaultKind.TERM, "entry-1", 1.0), 9.9, 12.0))
        checker.record_execution(EXECUTION)
        checker.record_result(RequestResult("id", 10.5, 200, False, False))
        checker.check_final()
        assert violations(checker) == ["cut"]

    def test_response_truncated_by_failure_is_allowed(self):
        checker = new_checker()
        checker.faults.append((Fault(0, FaultKind.TERM, "entry-1", 1.0), 9.9, 12.0))
        checker.faults.append((Fault(0, FaultKind.KILL, "entry-1", 1.0), 8.0, 9.0))
        checker.record_execution(EXECUTION)
        checker.record_result(RequestResult("id", 10.5, 200, False, False))
        checker.check_final()
        assert not checker.findings

    def test_request_to_target_that_left(self):
        checker = new_checker()
        checker.leaving_since_s["i-1"] = 7.0
        checker.record_execution(EXECUTION)
        assert violations(checker) == ["drain"]

    def test_leave_that_sound_control_instances_do_not_acknowledge(self):
        leave = Fault(9, FaultKind.LEAVE_AND_KILL, "control-1", 1.0, target="plain-1")
        for name, found in (("entry-1", ["leave"]), ("control-2", [])):
            checker = new_checker()
            kill = Fault(8, FaultKind.KILL, name, 1.0)
            checker.faults += [(kill, 8.0, 9.0), (leave, 9.0, float("inf"))]
            checker.check_leave(leave, False, 9.5)
            assert violations(checker) == found

    def test_loss_of_the_instance_that_acknowledged_a_leave_is_no_excuse(self):
        checker = new_checker()
        checker.leaving_since_s["i-1"] = 7.0
        kill = Fault(0, FaultKind.LEAVE_AND_KILL, "control-1", 1.0, target="plain-1")
        checker.faults.append((kill, 7.0, 8.0))
        checker.record_execution(EXECUTION)
        assert violations(checker) == ["drain"]

    def test_superseded_weights(self):
        checker = new_checker()
        checker.desired_since_s[2] = 10.0 - SUPERSEDED_BOUND_S
        checker.record_execution(EXECUTION._replace(version=1))
        assert violations(checker) == ["version"]

    def test_no_time_bounds_on_busy_machine(self):
        checker = new_checker(timed=False)
        checker.leaving_since_s["i-1"] = 7.0
        checker.desired_since_s[2] = 0.0
        checker.record_execution(EXECUTION._replace(version=1))
        assert not checker.findings


class TestSupersededWeights:
    """Nothing begins on weights whose end has passed, whatever was disturbed before."""

    def checker(self, *faults, age_s=9.0, silence=None):
        """Return what checked a begin at 10.1 s of a request sent at 10.0 s."""
        checker = new_checker()
        checker.desired_since_s |= {2: 10.1 - age_s, 3: 10.0}
        for kind, name, began_s, ended_s in faults:
            checker.faults.append((Fault(0.0, kind, name, 1.0), began_s, ended_s))
        if silence:
            number = checker.begin_silence(["sidecar-1"], silence[0])
            checker.end_silence(number, silence[1])
        execution = EXECUTION._replace(target_id="sidecar-1-i2", version=1)
        checker.record_execution(execution)
        return checker

    def is_found(self, *faults):
        return violations(self.checker(*faults)) == ["version"]

    def test_late_begins_are_counted_and_described(self):
        checker = self.checker()
        assert checker.late_begins == 1 and checker.last_begin_s == pytest.approx(9.0)
        (finding,) = checker.findings
        assert "version 1 begun 1.00 s after its end at sidecar-1-i2" in finding.detail
        assert "across it: not" in finding.detail and " id sent" in finding.detail

    def test_begin_within_the_bound_is_not_counted(self):
        checker = self.checker(age_s=8.4)
        assert not checker.findings and not checker.late_begins
        assert checker.begins_past_end == 1
        assert checker.last_begin_s == pytest.approx(8.4)

    @pytest.mark.parametrize(
        "silence,told",
        [((8.5, 10.0), "from 7.40 s to 8.90 s"), ((9.2, 10.0), "across it: not")],
    )
    def test_target_that_stood_still_across_the_end_is_told_but_no_excuse(
        self, silence, told
    ):
        (finding,) = self.checker(silence=silence).findings
        assert finding.invariant == "version" and told in finding.detail

    def test_silence_that_ended_before_the_end_is_told(self):
        detail = self.checker(silence=(8.0, 8.9)).findings[0].detail
        assert "across it: not" in detail
        assert "shortly before it: from 6.90 s to 7.80 s" in detail

    def test_silence_that_is_still_being_ended(self):
        detail = self.checker(silence=(8.5, float("inf"))).findings[0].detail
        assert "from 7.40 s to 9.00 s" in detail

    @pytest.mark.parametrize("kind", sorted(PLANNED_KINDS, key=str))
    def test_planned_operations_are_no_excuse(self, kind):
        assert self.is_found((kind, "entry-1", 5.0, 10.0))

    @pytest.mark.parametrize("kind", [FaultKind.KILL, FaultKind.RETURN_AFTER_KILL])
    def test_kill_of_the_entry_is_an_excuse_for_four_seconds(self, kind):
        assert not self.is_found((kind, "entry-1", 5.0, 6.1))
        assert self.is_found((kind, "entry-1", 5.0, 5.9))

    def test_disturbance_elsewhere_is_no_excuse(self):
        for name in ("entry-2", "sidecar-1", "sidecar-2", "control-1"):
            assert self.is_found((FaultKind.KILL, name, 9.0, 9.5))
        assert self.is_found((FaultKind.ENGINE_CRASH, "sidecar-1", 9.0, 9.5))

    def test_two_control_instances_or_all_processes_are_an_excuse(self):
        first = (FaultKind.RETURN_AFTER_KILL, "control-1", 4.0, 6.5)
        second = (FaultKind.FREEZE, "control-2", 7.0, 8.0)
        assert not self.is_found(first, second)
        assert self.is_found(first, (FaultKind.CUT, "control-1", 7.0, 8.0))
        for kind in (FaultKind.KILL_CONTROLS, FaultKind.KILL_ALL):
            assert not self.is_found((kind, "", 5.0, 6.1))
            assert self.is_found((kind, "", 5.0, 5.9))

    def test_request_that_is_held_on_its_way_is_excused(self):
        kind = FaultKind.ENGINE_UNRESPONSIVE
        assert not self.is_found((kind, "sidecar-1", 8.0, 10.0))
        assert self.is_found((kind, "sidecar-1", 8.0, 9.4))
        assert self.is_found((kind, "sidecar-2", 8.0, 10.0))


class TestShortFreezes:
    """A sound entry may stand still for a second: no request fails by that."""

    def violations(self, silence, result=TestPauses.FAILED, name="entry-1"):
        checker = new_checker()
        number = checker.begin_silence([name], silence[0])
        checker.end_silence(number, silence[1])
        checker.record_result(result)
        checker.check_final()
        return violations(checker)

    def test_failed_request(self):
        assert self.violations((10.5, 11.5)) == ["paused"]
        assert self.violations((10.5, 11.5), name="entry-2") == []
        assert self.violations((8.0, 9.0)) == []

    def test_pauses_of_targets_add_up(self):
        checker = new_checker()
        checker.end_silence(checker.begin_silence(["entry-1"], 10.2), 11.1)
        checker.pauses.append((11.1, 13.0))
        checker.record_result(TestPauses.FAILED._replace(at_s=14.0))
        checker.check_final()
        assert checker.check_counts["paused"] == 0

    def test_entry_that_stands_still_when_its_caller_leaves_is_excused(self):
        for silence, found in (((12.1, 13.1), True), ((12.7, 13.7), False)):
            checker = new_checker()
            stream = SENT._replace(request_id="s", path="/stream/")
            checker.record_sent(stream)
            checker.end_silence(checker.begin_silence(["entry-1"], silence[0]), 13.1)
            checker.silences[0] = Silence(frozenset({"entry-1"}), *silence)
            checker.record_departure(Departure("s", 14.0, False))
            checker.check_final()
            assert violations(checker) == (["left"] if found else [])

    def test_evacuation_holds_for_an_entry_that_stood_still(self):
        short = (FaultKind.SHORT_FREEZE, "entry-1", 14.0, 14.9)
        assert TestEvacuations().violations(15.1, short) == ["evacuated"]


class TestOriginAway:
    """Faults that keep the origin away overlap; the last one brings it back."""

    def test_origin_is_back_after_the_last_fault(self):
        calls = []
        path = SimpleNamespace(
            cut=lambda: calls.append("cut"), heal=lambda: calls.append("heal")
        )
        network = SimpleNamespace(paths_touching=lambda name: [path])
        fleet = SimpleNamespace(network=network)
        run = SimpleNamespace(fleet=fleet, origin_faults=0)
        with SoakRun.origin_away(run):
            with SoakRun.origin_away(run):
                pass
            assert "heal" not in calls
        assert calls[-1] == "heal" and calls.count("heal") == 1


class TestEndlessAnswers:
    """Answers of one target come without end; other callers notice nothing."""

    STREAM = SENT._replace(request_id="stream", path="/stream/")
    FAILED = RequestResult("id", 12.0, 502, True, False)

    def violations(self, kind, name, sent=SENT, ran_at=(), failure=()):
        checker = new_checker()
        checker.record_sent(sent)
        checker.faults.append((Fault(0.0, kind, name, 6.0), 9.0, 15.0))
        checker.faults.extend(failure)
        for target_id in ran_at:
            execution = EXECUTION._replace(
                request_id=sent.request_id, path=sent.path, target_id=target_id
            )
            checker.record_execution(execution)
        checker.record_result(self.FAILED._replace(request_id=sent.request_id))
        checker.check_final()
        return violations(checker)

    def test_request_of_another_service(self):
        for kind in (FaultKind.ENDLESS_STREAM, FaultKind.ENDLESS_REPORT):
            assert self.violations(kind, "sidecar-1") == ["endless"]
            assert self.violations(kind, "sidecar-1", self.STREAM) == []
        body = FaultKind.ENDLESS_BODY
        assert self.violations(body, "plain-1") == []
        assert self.violations(body, "plain-1", self.STREAM) == ["endless"]

    def test_request_that_ran_at_another_target(self):
        body = FaultKind.ENDLESS_BODY
        for name, found in (("plain-1-i1", []), ("plain-2-i1", ["endless"])):
            assert self.violations(body, "plain-1", ran_at=[name]) == found

    def test_failure_is_an_excuse(self):
        failure = [(Fault(0.0, FaultKind.KILL, "entry-1", 1.0), 8.0, 9.0)]
        kind = FaultKind.ENDLESS_STREAM
        assert self.violations(kind, "sidecar-1", failure=failure) == []

    @pytest.mark.parametrize("name,limit_mb", [("sidecar-1", 128), ("entry-2", 160)])
    def test_memory_over_the_limit(self, name, limit_mb):
        checker = InvariantChecker("account", timed=False)
        limit = MEMORY_LIMITS[name.partition("-")[0]]
        assert checker.check_memory(name, limit_mb << 20, limit)
        assert not checker.check_memory(name, (limit_mb << 20) + 1, limit)
        assert violations(checker) == ["memory"]

    def test_process_over_its_limit_is_killed_and_restarted(self):
        calls = []
        process = SimpleNamespace(resident_bytes=lambda: 129 << 20)
        node = SimpleNamespace(
            name="sidecar-1", role="sidecar", process=process, stopping=False
        )
        node.is_up = True
        node.kill = lambda: calls.append("kill")
        node.start = lambda: calls.append("start")
        checker = InvariantChecker("account")
        fleet = SimpleNamespace(nodes={"sidecar-1": node}, checker=checker)

        async def watch():
            task = asyncio.create_task(SoakFleet.watch_memory(fleet))
            while not calls:
                await asyncio.sleep(0.01)
            task.cancel()

        asyncio.run(watch())
        assert calls[:2] == ["kill", "start"]
        assert checker.peak_bytes == {"sidecar": 129 << 20}

    @pytest.mark.parametrize("kind", ENDLESS_KINDS)
    def test_answers_go_on_until_the_connection_is_closed(self, kind):
        async def run():
            checker = InvariantChecker("account")
            checker.record_sent(self.STREAM)
            target = SoakEngine(Origin(), checker, "sidecar-1")
            if kind is FaultKind.ENDLESS_BODY:
                target = SoakPlainTarget(checker, "plain-1")
            target.endless = kind
            await target.start()
            path = "/api/report" if kind is FaultKind.ENDLESS_REPORT else "/stream/"
            headers = TestPausingTargets.HEADERS | {
                "X-Request-Attempt-Id": "stream",
                "X-Expect-Instance": target.target_id,
            }
            url = f"http://{target.address}{path}"
            async with aiohttp.ClientSession() as session:
                method = session.get if path == "/api/report" else session.post
                async with method(url, headers=headers) as answer:
                    for _ in range(4):
                        await answer.content.readexactly(ENDLESS_BLOCK_BYTES)
                    answer.close()
            while target.running:
                await asyncio.sleep(0.01)
            await target.stop()

        asyncio.run(run())


class TestVersionEnd:
    """What engines do at an end counts from the acknowledgement of the version."""

    def test_versions_named_before_do_not_count(self):
        checker = InvariantChecker("account")
        checker.desired_since_s[2] = time.monotonic()
        paused = []

        async def pause_targets(name, pause_s):
            paused.append((name, pause_s))

        fleet = SimpleNamespace(pause_targets=pause_targets)
        run = SimpleNamespace(checker=checker, fleet=fleet)
        run.wait_for_version_end = partial(SoakRun.wait_for_version_end, run)
        fault = Fault(
            0.0, FaultKind.SILENCE_AT_END, "sidecar-1", 0.7, lead_s=VERSION_GRACE_S
        )

        async def play():
            task = asyncio.create_task(SoakRun.silence_at_version_end(run, fault))
            await asyncio.sleep(0.1)
            assert not paused
            checker.desired_since_s[3] = time.monotonic()
            await task

        asyncio.run(play())
        assert paused == [("sidecar-1", 0.7)]


class TestCrashingParts:
    """Callers send prompts with a part that crashes engines from 20 s on."""

    def violations(self, arrivals, crashes=5, faults=()):
        """Return what is violated if the last crash of several was at 20 s."""
        checker = new_checker()
        checker.faults.extend(faults)
        checker.crashing_parts.begin("bad0")
        checker.crashing_parts.crashes["bad0"] += range(21 - crashes, 21)
        checker.crashing_parts.arrivals["bad0"] += (
            Arrival("id", "i-1", at_s) for at_s in arrivals
        )
        checker.check_final()
        return violations(checker)

    def test_three_later_sends_are_allowed(self):
        assert self.violations([22.9] * 9 + [23.1] * MAX_LATER_SENDS) == []
        assert self.violations([23.1] * (MAX_LATER_SENDS + 1)) == ["part"]

    def test_four_crashes_leave_no_bound(self):
        assert self.violations([30.0] * 9, crashes=4) == []

    def test_entry_and_its_control_instances_have_time_to_recover(self):
        for name in ("entry-1", "control-2"):
            fault = (Fault(20.0, FaultKind.KILL, name, 1.0), 20.0, 21.0)
            assert self.violations([24.0] * 9, faults=[fault]) == []
            assert self.violations([25.1] * 9, faults=[fault]) == ["part"]

    def test_prompts_share_parts_with_crashing_ones(self):
        parts, rng = CrashingParts(), random.Random(1)
        sound = [parts.draw_prompt(rng, "id") for _ in range(50)]
        assert not any(map(parts.crashing_part, sound))
        parts.begin("bad0")
        drawn = [parts.draw_prompt(rng, "id") for _ in range(50)]
        crashing = [prompt for prompt in drawn if parts.crashing_part(prompt)]
        assert 0 < len(crashing) == len(parts.prompts["bad0"]) < 50
        # The last part belongs to the request itself.
        assert len({prompt.rpartition(",")[2] for prompt in drawn}) == 1


class TestConfigurationHistory:
    def history(self):
        checker = InvariantChecker("account")
        history = ConfigurationHistory(checker)
        for version in (1, 2):
            history.record_sent(version, b"text %d" % version)
            history.record_acknowledged(version, float(version))
        return checker, history

    def test_newest_version_is_read(self):
        checker, history = self.history()
        history.check_read(2, b"text 2", 10.0)
        assert not checker.findings

    @pytest.mark.parametrize(
        "version,text,invariant",
        [(1, b"text 1", "read newest"), (2, b"other", "read as sent")],
    )
    def test_outdated_or_unknown_text_is_read(self, version, text, invariant):
        checker, history = self.history()
        history.check_read(version, text, 10.0)
        assert violations(checker) == [invariant]

    def test_two_contents_of_one_version(self):
        checker, history = self.history()
        history.record_sent(2, b"raced")
        history.check_read(2, b"text 2", 10.0)
        history.check_read(2, b"raced", 10.0)
        assert violations(checker) == ["one content a version"]


class TestVersionProgress:
    def test_entry_that_goes_back_to_older_version(self):
        checker = InvariantChecker("account")
        progress = VersionProgress(checker)
        progress.record("entry-1/1", 3, 5, (0.0, 1.0))
        progress.record("entry-1/1", 0, 2, (0.5, 1.2))
        progress.record("entry-1/2", 0, 2, (2.0, 2.1))
        assert not checker.findings
        progress.record("entry-1/1", 0, 2, (2.0, 2.1))
        assert violations(checker) == ["monotonic"]


class TestTornLog:
    """Faults overlap, so a log may be torn while its instance is already down."""

    def test_log_of_stopped_instance_is_not_changed(self, tmp_path):
        content = pack_committed_index(1) + pack_committed_index(2)
        (tmp_path / "log").write_bytes(content)
        node = SimpleNamespace(data=tmp_path, is_up=True)
        node.kill = lambda: setattr(node, "is_up", False)
        fleet = SimpleNamespace(nodes={"c": node}, rng=random.Random(1))
        SoakFleet.tear_write(fleet, "c")
        torn = (tmp_path / "log").read_bytes()
        assert torn.startswith(content) and len(torn) > len(content)
        SoakFleet.tear_write(fleet, "c")
        assert (tmp_path / "log").read_bytes() == torn


class TestStopBeforeTheFirstLine:
    """Nothing can handle a signal before the interpreter runs the first line."""

    @pytest.mark.parametrize("had_begun", [True, False])
    @pytest.mark.parametrize("status", [0, 1, -signal.SIGTERM, -signal.SIGKILL])
    def test_only_a_process_that_had_not_begun_may_end_by_the_signal(
        self, status, had_begun
    ):
        checker = new_checker()
        checker.check_stop("entry-1", 0.1, status, had_begun)
        allowed = status == 0 or (status == -signal.SIGTERM and not had_begun)
        assert violations(checker) == ([] if allowed else ["exit"])

    @pytest.mark.parametrize(
        ("program", "has_run"),
        [
            ("", False),
            ("import signal; signal.signal(signal.SIGTERM, print)", True),
            ("import socket; kept = socket.socket()", True),
        ],
    )
    def test_handler_or_socket_shows_that_a_line_was_run(self, program, has_run):
        program += "\nprint(1, flush=True)\ninput()"
        process = subprocess.Popen(
            [sys.executable, "-S", "-c", program],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
        )
        with process:
            process.stdout.readline()
            assert has_run_a_line(process.pid) is has_run
            process.kill()

    def test_process_that_is_not_shown_proves_nothing(self):
        process = subprocess.Popen([sys.executable, "-S", "-c", ""])
        process.wait()
        assert has_run_a_line(process.pid)

    def test_files_show_what_was_written(self, tmp_path):
        log, data = tmp_path / "log", tmp_path / "data"
        data.mkdir()
        states = [FileState.of(log, data)]
        log.write_bytes(b"a line")
        states.append(FileState.of(log, data))
        (data / "file").write_bytes(b"")
        states.append(FileState.of(log, data))
        assert len(set(states)) == 3


class TestSizes:
    """300 streams with prompts of 1 to 300 tokens; the largest tenth is 30."""

    def violations(self, served, count=300, path="/stream/x"):
        checker = InvariantChecker("account")
        for tokens in range(1, count + 1):
            request_id = f"r{tokens}"
            checker.record_sent(
                SENT._replace(request_id=request_id, path=path, prompt_tokens=tokens)
            )
            status = 200 if served(tokens) else 503
            checker.record_result(RequestResult(request_id, 11.0, status, True, True))
        checker.check_sizes()
        return violations(checker)

    def test_starved_large_prompts_are_found(self):
        assert self.violations(lambda tokens: tokens <= 270) == ["sizes"]
        assert self.violations(lambda tokens: tokens <= 280) == ["sizes"]

    def test_half_as_often_as_all_is_allowed(self):
        assert not self.violations(lambda tokens: tokens % 2 or tokens <= 270)

    def test_refusals_of_all_sizes_are_no_finding(self):
        assert not self.violations(lambda tokens: tokens % 3 == 0)
        assert not self.violations(lambda tokens: False)

    def test_few_requests_tell_nothing(self):
        assert not self.violations(lambda tokens: tokens <= 270, count=280)

    def test_plain_requests_have_no_prompt(self):
        assert not self.violations(lambda tokens: tokens <= 270, path="/once/")


class TestReserveNetwork:
    def test_concurrent_runs_get_different_networks(self):
        networks = [reserve_network(100) for _ in range(100)]
        assert len({network for network, _, _ in networks}) == 100
        for _, _, reservation in networks:
            reservation.close()


class TestRunsOf:
    def test_regressions_are_run_as_they_failed(self):
        arguments = SimpleNamespace(regressions=True, seed=[], seeds=1)
        runs = runs_of(arguments, SeedOptions(30.0, timed=False))
        assert [(s, o.seconds, o.calm, o.callers) for s, o in runs] == [
            (each.seed, each.seconds, each.calm, each.callers) for each in REGRESSIONS
        ]
        assert not any(options.timed for _, options in runs)

    def test_given_or_fresh_seeds(self):
        options = SeedOptions(12.0)
        given = SimpleNamespace(regressions=False, seed=[7, 8], seeds=1)
        assert runs_of(given, options) == [(7, options), (8, options)]
        fresh = SimpleNamespace(regressions=False, seed=[], seeds=3)
        assert len({seed for seed, _ in runs_of(fresh, options)}) == 3


class TestShortRun:
    # The second seed has a row of versions, a short freeze, a control instance that
    # returns, and restarts after that.
    @pytest.mark.parametrize("seed,calm", [(20, False), (22, True)])
    def test_real_programs_hold_all_invariants(self, tmp_path, seed, calm):
        options = SeedOptions(5.0, 1, 2, timed=False, calm=calm)
        run = SoakRun(tmp_path, seed, options)
        drawn = {fault.kind for fault in run.plan}
        assert FaultKind.WEIGHTS_ORIGIN_AWAY in drawn
        assert not calm or drawn >= set(VERSION_END_KINDS) & PLANNED_KINDS
        outcome = asyncio.run(run.run())
        assert outcome.findings == ()
        assert outcome.requests[200] > 0

    def test_prompts_that_crash_engines_are_sent_no_more(self, tmp_path):
        run = SoakRun(tmp_path, 20, SeedOptions(5.0, 2, 4, timed=False))
        run.plan = [Fault(0.0, FaultKind.CRASHING_PART, "bad0", 12.0)]
        outcome = asyncio.run(run.run())
        assert outcome.findings == ()
        parts = run.checker.crashing_parts
        assert parts.crashes["bad0"]
        reached = {arrival.request_id for arrival in parts.arrivals["bad0"]}
        prompts = parts.prompts["bad0"]
        assert reached.isdisjoint(prompts[len(prompts) // 2 :])
