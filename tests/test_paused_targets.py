"""What a pause of a sound target must not change: liveness, draining, limits."""

import asyncio
import itertools

import pytest
from bench.turned_away import VirtualLoop

from tests.test_cold_targets import most_in_a_second
from tests.test_direct_dispatch import FakeCaller, events
from tests.test_silent_engines import play as play_engine
from tests.test_silent_targets import (
    NEVER_S,
    SILENT_S,
    Entry,
    PacedAnswer,
    assert_whole,
)
from wisteriapulley.control.target_feed import HEARTBEAT_INTERVAL_S
from wisteriapulley.control.targets import TargetTable
from wisteriapulley.direct.registry import TargetRegistry
from wisteriapulley.direct.types import RefusalKind
from wisteriapulley.platform.settings import TARGET_LEASE_HEARTBEATS
from wisteriapulley.policy.circuit_breaker import (
    MIN_OPEN_S,
    CircuitBreaker,
    SendOutcome,
)
from wisteriapulley.policy.cold_start import SETTLE_S
from wisteriapulley.policy.engine_slots import SlotRequest
from wisteriapulley.wire.messages import TargetState

# How often a target announces itself.
ANNOUNCEMENT_S = 1.2
STEP_S = 0.05


class Chain:
    """Control instances, each of which tells the next one, and an entry."""

    def __init__(self, instances):
        lease_ms = int(TARGET_LEASE_HEARTBEATS * ANNOUNCEMENT_S * 1000)
        self.tables = [TargetTable(lease_ms) for _ in range(instances)]
        self.registry = TargetRegistry()
        self.sequence = itertools.count(1)

    def announce(self, now_s):
        state = TargetState(
            "i-1", "s", "10.0.0.1:80", "z", sequence=next(self.sequence)
        )
        if self.tables[0].update(state, now_s * 1000):
            for table in self.tables[1:]:
                table.update(state, now_s * 1000)
            self.registry.update([state], now_s)

    def tell(self, number, now_s):
        """Let one instance tell what it observed since its last message."""
        table, now_ms = self.tables[number], now_s * 1000
        since_ms = now_ms - HEARTBEAT_INTERVAL_S * 1000
        heartbeats = list(table.heartbeats(now_ms, since_ms))
        table.sweep(now_ms)
        if number + 1 < len(self.tables):
            for heartbeat in heartbeats:
                self.tables[number + 1].record_heartbeat(heartbeat, now_ms)
        else:
            self.registry.record_heartbeats(heartbeats, now_s)


class TestLiveness:
    """A target that stands still announces nothing meanwhile."""

    @pytest.mark.parametrize(("instances", "pause_s"), [(1, 2.5), (2, 1.5)])
    def test_pause_does_not_end_it(self, instances, pause_s):
        per_announcement = round(ANNOUNCEMENT_S / STEP_S)
        per_message = round(HEARTBEAT_INTERVAL_S / STEP_S)
        begins = range(200, 200 + per_announcement, 4)
        for begin, phase in itertools.product(begins, range(0, per_message, 4)):
            chain = Chain(instances)
            delayed = 0
            for step in range(500):
                now_s = step * STEP_S
                paused = begin <= step < begin + pause_s / STEP_S
                if paused:
                    delayed += 1
                elif not (step - delayed) % per_announcement:
                    chain.announce(now_s)
                for number in range(instances):
                    # Each tells just before it hears, which takes longest.
                    if not (step + phase + number) % per_message:
                        chain.tell(number, now_s)
                assert len(chain.registry.candidates("s", now_s)) == 1

    def test_target_that_stays_silent_is_left(self):
        chain = Chain(1)
        chain.announce(0.0)
        for step in range(1, 9):
            chain.tell(0, step * HEARTBEAT_INTERVAL_S)
        assert not chain.registry.candidates("s", 8.0)


def leaving(registry, target):
    registry.update([target.state._replace(leaving=True, sequence=2)], 1.0)


def gone(registry, target):
    registry.update([target.state._replace(gone=True, sequence=2)], 1.0)


def evacuated(registry, target):
    registry.evacuated = frozenset(["z"])


class TestWithdrawnTarget:
    """A target is withdrawn while it stands still with a request that was sent."""

    def play(self, withdraw, *answers, **options):
        entry = Entry(*answers, **options)
        target = entry.registry.targets["i-0"]
        ask = entry.ask

        async def ask_and_withdraw():
            asking = asyncio.create_task(ask())
            await asyncio.sleep(1.0)
            withdraw(entry.registry, target)
            return await asking

        entry.ask = ask_and_withdraw
        refusal, ended_s = entry.serve()
        return entry, refusal, ended_s

    @pytest.mark.parametrize("withdraw", [leaving, gone, evacuated])
    def test_request_that_was_sent_is_served(self, withdraw):
        answer = PacedAnswer((0.0, events(1, 2)), (SILENT_S, events(3, 4)))
        entry, refusal, _ = self.play(withdraw, answer, targets=1)
        assert refusal is None
        assert_whole(entry)
        assert len(entry.client.plans) == 1

    @pytest.mark.parametrize("withdraw", [leaving, gone, evacuated])
    def test_nothing_is_sent_to_it_any_more(self, withdraw):
        answer = PacedAnswer(head_s=NEVER_S)
        entry, refusal, _ = self.play(withdraw, answer, targets=1)
        assert refusal.kind is RefusalKind.TIMED_OUT
        entry.ask = lambda: Entry.ask(entry)
        entry.caller = FakeCaller()
        assert entry.serve()[0] is not None
        assert len(entry.client.plans) == 1


class TestCallerThatLeft:
    def test_nothing_is_sent_for_it_any_more(self):
        """It leaves while a second target is looked for beside a silent one."""
        first = PacedAnswer((0.0, events(1, 2)), (NEVER_S, b""))
        entry = Entry(first, PacedAnswer((0.1, events(3, 4))), wait_s=1.0)

        async def run():
            serving = asyncio.create_task(entry.ask())
            await asyncio.sleep(SILENT_S)
            serving.cancel()
            await asyncio.gather(serving, return_exceptions=True)
            assert first.closed
            await asyncio.sleep(5.0)

        with asyncio.Runner(loop_factory=VirtualLoop) as runner:
            runner.run(run())
        assert len(entry.client.plans) == 1
        assert entry.allocator.allocated == 0


class TestCircuitBreaker:
    """A target that goes on rejects a part of what has arrived meanwhile."""

    def test_rejections_after_a_pause_open_it_for_a_moment(self):
        breaker = CircuitBreaker()
        sent_s = [1.0 + number / 100 for number in range(12)]
        for sent in sent_s:
            breaker.record_sent(sent)
        for sent in sent_s:
            breaker.record_outcome(SendOutcome.REJECTED, sent, 2.5)
        assert breaker.wait_s(2.5) <= MIN_OPEN_S + 1e-9

    def test_silent_probe_does_not_keep_it_open(self):
        breaker = CircuitBreaker()
        for _ in range(2):
            breaker.record_outcome(SendOutcome.REJECTED, 1.0, 1.0)
        probed_s = breaker.open_until_s
        assert breaker.wait_s(probed_s) == 0.0
        breaker.record_sent(probed_s)
        assert breaker.wait_s(probed_s + 0.05) > 0.0
        assert breaker.wait_s(probed_s + 0.2) == 0.0


class TestColdEngine:
    """Grants count as they are given, so a pause makes a backlog of them."""

    COLD_START_S, PER_S = 10.0, 26.0

    def test_backlog_of_a_pause_is_bounded(self, tmp_path):
        granted = []

        async def scenario(sidecar):
            slots, loop = sidecar.slots, asyncio.get_running_loop()
            sidecar.service.cold.set_limits(self.COLD_START_S, self.PER_S)
            await asyncio.sleep(SETTLE_S + 1.0)
            assert sidecar.service.cold.was_cold
            sidecar.engine.stand_still(1.5)
            for number in range(150):
                request = SlotRequest(f"r{number}", "entry-x", 1, 90, 1, 400)
                if slots.request_slot(request, loop.time() * 1000).granted:
                    granted.append(loop.time())
                await asyncio.sleep(0.01)
            assert 1 < len(granted) <= slots.max_grants

        play_engine(tmp_path, scenario)
        assert most_in_a_second(granted) <= self.PER_S
