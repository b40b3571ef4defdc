"""Grants near the end of a superseded version, at engines that may be silent."""

import asyncio
import itertools
import logging

import pytest
from bench.turned_away import HOP_S, VirtualLoop

from tests.test_evacuated_engine import name_version, new_service
from tests.test_slot_admission import ENGINE, EntryLink, make_admission, reserve
from tests.test_version_end import (
    END_S,
    PROMPT_TOKENS,
    TimedEngine,
    play_engine,
)
from wisteriapulley.direct.slot_allocation import Denials
from wisteriapulley.errors import ResultCode
from wisteriapulley.platform.engine import HttpEngine
from wisteriapulley.policy.answer_calls import MAX_ANSWER_MS, USUAL_ANSWER_MS
from wisteriapulley.policy.engine_slots import EngineSlots
from wisteriapulley.policy.response_signals import RequestedCooldown
from wisteriapulley.policy.slot_requests import DenialReason
from wisteriapulley.policy.version_end import (
    BEGIN_MARGIN_MS,
    LONGEST_SILENCE_MS,
    PAUSE_ALLOWANCE_MS,
    needs_answer,
)
from wisteriapulley.rollout.engine import EngineReport, EngineSilentError
from wisteriapulley.rollout.grant_check import GrantCheck
from wisteriapulley.settings import Address
from wisteriapulley.wire import Frame, messages

__all__ = ["play_engine"]

# How long requests may start: so near the end that a silence would be too long.
NEAR_MS = 1500.0
FAR_MS = 60_000.0
# Sound engines report within some milliseconds.
REPORT_S = 0.004


class AskedEngine:
    """An engine that answers calls while it is not silent.

    Attributes
    ----------
    called_s : list of float
        When it was called.
    goes_on : asyncio.Event
        Set while it is not silent.
    """

    def __init__(self, silent=False):
        self.called_s = []
        self.goes_on = asyncio.Event()
        if not silent:
            self.goes_on.set()

    async def report(self):
        loop = asyncio.get_running_loop()
        self.called_s.append(loop.time())
        await self.goes_on.wait()
        await asyncio.sleep(REPORT_S)
        return EngineReport({"m": 1})


def play(scenario):
    """Run a scenario on a virtual clock."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(scenario())


def checked_admission(engine, left_ms=NEAR_MS):
    """Return an open admission that asks the engine."""
    admission = make_admission(ENGINE)
    admission.state.is_evacuated = False
    admission.check = GrantCheck(admission.slots, engine)
    admission.set_admission_end(left_ms)
    return admission


def start(admission, link, *numbers):
    """Request slots; return the tasks."""
    return [asyncio.create_task(reserve(admission, link, n)) for n in numbers]


class TestNeedsAnswer:
    def test_weights_that_are_not_superseded(self):
        assert not needs_answer(None, 50.0)

    def test_only_where_a_silence_reaches_the_end(self):
        latest_ms = LONGEST_SILENCE_MS + 50.0 + BEGIN_MARGIN_MS
        assert needs_answer(latest_ms - PAUSE_ALLOWANCE_MS - 1, 50.0)
        assert not needs_answer(latest_ms - PAUSE_ALLOWANCE_MS, 50.0)

    def test_slow_first_event(self):
        left_ms = LONGEST_SILENCE_MS + BEGIN_MARGIN_MS
        assert not needs_answer(left_ms, 50.0)
        assert needs_answer(left_ms, 50.0 + PAUSE_ALLOWANCE_MS)


class TestEngineThatAnswers:
    def test_grant_counts_from_the_answer(self):
        async def scenario():
            engine, link = AskedEngine(), EntryLink()
            unasked, unasked_link = make_admission(ENGINE), EntryLink()
            await reserve(unasked, unasked_link, 1)
            await reserve(checked_admission(engine), link, 1)
            (usual,), (granted,) = unasked_link.written, link.written
            assert granted.granted and not granted.closed
            assert granted.waited_ms == REPORT_S * 1000
            assert granted.start_left_ms == NEAR_MS - REPORT_S * 1000
            assert granted.first_event_ms == usual.first_event_ms
            assert len(engine.called_s) == 1

        play(scenario)

    @pytest.mark.parametrize("left_ms", [None, FAR_MS])
    def test_is_not_asked_far_from_an_end(self, left_ms):
        async def scenario():
            engine, link = AskedEngine(silent=True), EntryLink()
            await reserve(checked_admission(engine, left_ms), link, 1)
            (granted,) = link.written
            assert granted.granted and not granted.waited_ms
            assert not engine.called_s

        play(scenario)

    def test_service_asks_its_engine(self, tmp_path):
        async def scenario():
            service, link = new_service(tmp_path), EntryLink()
            service.engine.goes_on_s = lambda at_s: at_s + 1.0
            service.update_admission()
            await reserve(service.admission, link, 1)
            name_version(service, 2)
            service.admission.slots.engine = ENGINE
            service.admission.set_admission_end(NEAR_MS)
            await reserve(service.admission, link, 2)
            return [m.granted for m in link.written if not m.queued]

        assert play(scenario) == [True, False]


class TestSharedCalls:
    def test_requests_of_one_moment_share_a_call(self):
        async def scenario():
            engine, link = AskedEngine(), EntryLink()
            admission = checked_admission(engine)
            await asyncio.gather(*start(admission, link, 1, 2, 3))
            assert all(m.granted for m in link.written) and len(link.written) == 3
            assert len(engine.called_s) == 1

        play(scenario)

    def test_call_that_was_sent_before_the_decision_does_not_count(self):
        """Its answer may have been on its way when the engine fell silent."""

        async def scenario():
            engine, link = AskedEngine(), EntryLink()
            admission = checked_admission(engine)
            first = start(admission, link, 1)
            await asyncio.sleep(REPORT_S / 2)
            others = start(admission, link, 2, 3)
            engine.goes_on.clear()
            await asyncio.gather(*first)
            await asyncio.sleep(REPORT_S)
            assert len(link.written) == 1 and len(engine.called_s) == 2
            await asyncio.gather(*others)
            decided = [m for m in link.written if not m.queued]
            assert [m.granted for m in decided] == [True, False, False]
            assert len(engine.called_s) == 2

        play(scenario)


class TestSilentEngine:
    def test_slot_is_denied_and_its_entry_asks_another_engine(self, caplog):
        caplog.set_level(logging.INFO)

        async def scenario():
            engine, link = AskedEngine(silent=True), EntryLink()
            admission = checked_admission(engine)
            hold_ms = admission.slots.mean_hold_ms
            await reserve(admission, link, 1)
            told, denied = link.written
            # An entry takes a sidecar without any reply for stalled.
            assert told.queued and not denied.queued
            assert not denied.granted and denied.closed and not denied.limited
            assert DenialReason.from_wire(denied.reason).label == "engine_silent"
            assert denied.waited_ms == pytest.approx(MAX_ANSWER_MS, abs=1)
            assert not admission.slots.grants
            assert admission.slots.mean_hold_ms == hold_ms
            denials = Denials()
            denials.add(denied)
            assert not denials.limited_s and not denials.full_s

        play(scenario)
        (line,) = [r for r in caplog.records if "does not answer" in r.getMessage()]
        assert line.waited_ms == pytest.approx(MAX_ANSWER_MS, abs=1)
        left_ms = NEAR_MS + PAUSE_ALLOWANCE_MS - MAX_ANSWER_MS
        assert line.end_left_ms == pytest.approx(left_ms, abs=1)
        assert line.request_id == "r1"

    def test_entry_is_told_before_it_takes_the_sidecar_for_stalled(self):
        async def scenario():
            engine, link = AskedEngine(silent=True), EntryLink()
            start(checked_admission(engine), link, 1)
            await asyncio.sleep(USUAL_ANSWER_MS / 1000 + 0.001)
            return [m.queued for m in link.written]

        assert play(scenario) == [True]

    def test_further_requests_are_denied_at_once(self):
        async def scenario():
            engine, link = AskedEngine(silent=True), EntryLink()
            admission = checked_admission(engine)
            await reserve(admission, link, 1)
            link.written.clear()
            await asyncio.gather(*start(admission, link, 2, 3))
            assert [(m.granted, m.waited_ms) for m in link.written] == [(False, 0)] * 2
            assert len(engine.called_s) == 1

        play(scenario)

    def test_grants_again_once_it_goes_on(self):
        async def scenario():
            engine, link = AskedEngine(silent=True), EntryLink()
            admission = checked_admission(engine)
            await reserve(admission, link, 1)
            engine.goes_on.set()
            await asyncio.sleep(2 * REPORT_S)
            await reserve(admission, link, 2)
            assert link.written[-1].granted and len(engine.called_s) == 2

        play(scenario)

    def test_breaker_counts_no_probe_and_no_rejection(self):
        async def scenario():
            engine, link = AskedEngine(silent=True), EntryLink()
            admission = checked_admission(engine)
            breaker = admission.slots.breaker
            breaker.probe_limit = 1
            await reserve(admission, link, 1)
            assert not link.written[-1].granted
            assert not breaker.probes and not breaker.consecutive_rejections
            assert breaker.probe_limit == 1

        play(scenario)

    def test_call_that_fails_is_no_answer(self):
        async def scenario():
            engine, link = AskedEngine(), EntryLink()

            async def report():
                raise EngineSilentError(ResultCode.SOURCE_UNAVAILABLE, "reset")

            engine.report = report
            admission = checked_admission(engine)
            await reserve(admission, link, 1)
            (denied,) = link.written
            assert not denied.granted and not denied.waited_ms
            assert not admission.slots.grants

        play(scenario)

    def test_pause_of_the_sidecar_alone_denies_nothing(self):
        """Its timers are due at the moment at which the answer is read."""

        async def scenario():
            engine, link = AskedEngine(silent=True), EntryLink()
            admission = checked_admission(engine)
            (asked,) = start(admission, link, 1)
            await asyncio.sleep(0.001)
            asyncio.get_running_loop().clock_s += 0.3
            engine.goes_on.set()
            await asked
            return link.written[-1].granted

        assert play(scenario)


class TestCoolDown:
    def test_engine_that_can_not_be_asked_gets_nothing(self):
        """It may be silent, and nothing would show that."""

        async def scenario():
            engine, link = HttpEngine(None, Address("127.0.0.1", 1)), EntryLink()
            now_s = asyncio.get_running_loop().time()
            engine.cooldown.observe(RequestedCooldown(5.0), now_s)
            admission = checked_admission(engine)
            await reserve(admission, link, 1)
            (denied,) = link.written
            assert not denied.granted and denied.closed and not denied.waited_ms
            assert not admission.slots.grants
            admission.set_admission_end(FAR_MS)
            await reserve(admission, link, 2)
            assert link.written[-1].granted

        play(scenario)


class TestChangesDuringTheCall:
    """The slot is not granted, and is free afterwards."""

    def decide(self, change):
        """Return the decisions on a request, and the slots, after a change."""

        async def scenario():
            engine, link = AskedEngine(), EntryLink()
            admission = checked_admission(engine)
            (asked,) = start(admission, link, 1)
            await asyncio.sleep(REPORT_S / 2)
            assert admission.slots.grants and not link.written
            await change(admission, link)
            await asked
            assert not admission.slots.grants
            return link.written

        return play(scenario)

    def test_closed_link(self):
        async def close(admission, link):
            link.closed.set()
            admission.link_closed(link)

        assert not any(m.granted for m in self.decide(close))

    def test_release(self):
        async def release(admission, link):
            message = messages.Release("r1")
            await admission.receive(message, link, Frame(0, 0, message))

        assert not any(m.granted for m in self.decide(release))

    def test_restart_of_the_engine(self):
        async def restart(admission, link):
            admission.engine_restarted()

        assert not any(m.granted for m in self.decide(restart))

    def test_begin_of_a_load(self):
        async def close(admission, link):
            admission.set_open(False)

        (denied,) = self.decide(close)
        assert not denied.granted and denied.reason == DenialReason.CLOSED

    def test_news_of_an_earlier_end(self):
        async def end(admission, link):
            admission.set_admission_end(BEGIN_MARGIN_MS)

        (denied,) = self.decide(end)
        assert not denied.granted and denied.reason == DenialReason.WEIGHTS_END

    def test_cancelled_handler(self):
        """A link that closes cancels what it handles."""

        async def scenario():
            admission = checked_admission(AskedEngine(silent=True))
            (asked,) = start(admission, EntryLink(), 1)
            await asyncio.sleep(REPORT_S)
            asked.cancel()
            await asyncio.wait({asked})
            assert asked.cancelled() and not admission.slots.grants

        play(scenario)


class TestStop:
    def test_call_is_cancelled_and_its_requests_are_denied_at_once(self):
        async def scenario():
            engine, link = AskedEngine(silent=True), EntryLink()
            admission = checked_admission(engine)
            sent = start(admission, link, 1)
            await asyncio.sleep(REPORT_S)
            sent += start(admission, link, 2)
            await asyncio.sleep(0)
            stopped_s = asyncio.get_running_loop().time()
            admission.check.stop()
            await asyncio.gather(*sent, reserve(admission, link, 3))
            assert asyncio.get_running_loop().time() == stopped_s
            assert admission.check.answers.task.cancelled()
            assert [m.granted for m in link.written] == [False] * 3
            assert len(engine.called_s) == 1

        play(scenario)


class TestQueuedRequest:
    """A slot falls free near the end of the weights."""

    def decide(self, silent):
        """Return the replies to a request that waits for a slot."""

        async def scenario():
            engine, link = AskedEngine(silent=silent), EntryLink()
            admission, other = checked_admission(engine, None), EntryLink()
            held = range(admission.slots.max_grants)
            await asyncio.gather(*start(admission, other, *held))
            (waiting,) = start(admission, link, 99)
            await asyncio.sleep(0)
            admission.set_admission_end(NEAR_MS)
            assert not engine.called_s
            admission.slots.release("r0", admission.now_ms())
            admission.advance()
            await waiting
            assert len(engine.called_s) == 1
            assert len(admission.slots.grants) == len(held) - silent
            return link.written

        return play(scenario)

    def test_is_granted_after_an_answer(self):
        queued, granted = self.decide(silent=False)
        assert queued.queued and granted.granted
        assert granted.waited_ms == REPORT_S * 1000

    def test_is_denied_without_one(self):
        """It has been told once that another reply follows, which is the decision."""
        queued, denied = self.decide(silent=True)
        assert queued.queued and not denied.queued and not denied.granted
        assert denied.reason == DenialReason.ENGINE_SILENT

    def test_all_that_wait_are_denied(self):
        async def scenario():
            engine, link = AskedEngine(silent=True), EntryLink()
            admission = checked_admission(engine, None)
            held = admission.slots.max_grants
            await asyncio.gather(*start(admission, EntryLink(), *range(held)))
            waiting = start(admission, link, *range(100, 104))
            await asyncio.sleep(0)
            admission.set_admission_end(NEAR_MS)
            admission.slots.release("r0", admission.now_ms())
            admission.advance()
            await asyncio.gather(*waiting)
            decided = [m for m in link.written if not m.queued]
            assert [m.granted for m in decided] == [False] * 4
            assert len(admission.slots.grants) == held - 1
            assert len(engine.called_s) == 1

        play(scenario)


class TestRequestsThatLieUnread:
    """The engine reads nothing while it is silent, and begins it when it goes on."""

    # From how long before the end on the engine is silent; some silences begin between
    # an answer and the request that it lets through.
    STARTS_S = [
        before_s + early_s
        for before_s in (0.05, 1.85, 2.05, 2.25, 2.45)
        for early_s in (0.0, -1.5 * HOP_S)
    ]
    # How long, and how much later than expected the engine begins a request.
    SILENT_AND_LATE_S = [(2.0, 0.5), (2.5, 0.0)]
    ASKED_FROM_S = END_S - 5
    EXPECTED_S = EngineSlots(ENGINE).first_event_ms(PROMPT_TOKENS, 0.0) / 1000

    @pytest.mark.parametrize(
        "options",
        [{}, {"entry_knows": False}, {"grants_late_s": 0.3}],
        ids=["both know", "only sidecar", "late grants"],
    )
    def test_only_what_was_granted_before_the_silence_begins_late(
        self, play_engine, options
    ):
        way_s = 2 * HOP_S + options.get("grants_late_s", 0.0)
        late = {}
        for (silence_s, late_s), before_s in itertools.product(
            self.SILENT_AND_LATE_S, self.STARTS_S
        ):
            silent_s = END_S - before_s
            pauses = [(silent_s, silent_s + silence_s)]
            engine = TimedEngine(pauses, self.EXPECTED_S + late_s, reads=False)
            play_engine(engine, asked_from_s=self.ASKED_FROM_S, **options)
            unread = [
                round(sent_s - silent_s, 4)
                for sent_s, begun_s in zip(engine.sent_s, engine.begun_s, strict=True)
                if begun_s > END_S and sent_s >= silent_s + way_s
            ]
            if unread:
                late[silence_s, late_s, before_s] = unread
        assert not late
