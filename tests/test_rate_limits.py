"""Rate limits and rate permits for targets that advertise a rate."""

import asyncio
import itertools
import random
from types import SimpleNamespace

import pytest

from tests.fakes.links import RecordingLink
from tests.test_engine_slots import ENGINE, open_slots, slot_request
from tests.test_slot_admission import EntryLink, make_admission, reserve
from wisteriapulley.control.rate_owner import RateOwner
from wisteriapulley.direct.rate_permits import RatePermitClient
from wisteriapulley.direct.registry import Target
from wisteriapulley.errors import ResultCode, WireError
from wisteriapulley.policy.advertised_rate import BURST_S, RETENTION_S, RateLimits
from wisteriapulley.rollout.admission import AdmissionState
from wisteriapulley.wire import Frame, codec, messages
from wisteriapulley.wire.messages import Passage, PassageQuery, TargetRate, TargetState

WINDOW_S = 4.0
ONE = "i-1/0"


def allowed(per_s):
    """Return the permitted requests in any window, over all entries."""
    return 1.5 * per_s * WINDOW_S + 5


def max_in_window(times):
    return max(
        (sum(at_s <= t < at_s + WINDOW_S for t in times) for at_s in times), default=0
    )


def apply_load(limits, per_s, seconds, senders=1):
    """Send far more than a limit permits; return when requests passed."""
    passed, step_s = [], 0.02
    for step in range(int(seconds / step_s)):
        now_s = step * step_s
        for _ in range(senders):
            limits.update(ONE, per_s, now_s)
            if limits.take(ONE, now_s):
                passed.append(now_s)
    return passed


class TestRateLimits:
    @pytest.mark.parametrize("per_s", [0.1, 1.0, 1.5, 10.0, 40.0])
    def test_passes_at_most_the_rate(self, per_s):
        seconds = 40.0
        passed = apply_load(RateLimits(), per_s, seconds)
        assert max_in_window(passed) <= allowed(per_s)
        assert len(passed) >= 0.9 * (per_s * seconds - 1)

    def test_new_limit_permits_nothing_at_once(self):
        limits = RateLimits()
        limits.update(ONE, 2.0, 10.0)
        assert not limits.take(ONE, 10.0)
        assert limits.wait_s(ONE, 10.0) == pytest.approx(0.5)
        assert limits.take(ONE, 10.5)

    def test_target_without_a_rate_is_not_limited(self):
        limits = RateLimits()
        assert limits.wait_s(ONE, 0.0) == 0.0
        assert all(limits.take(ONE, 0.0) for _ in range(100))

    def test_next_incarnation_starts_without_a_limit(self):
        limits = RateLimits()
        limits.update(ONE, 1.0, 0.0)
        assert not limits.take(ONE, 0.1)
        assert limits.take("i-1/1700000000000", 0.1)

    def test_newest_signal_applies_whoever_reports_it(self):
        limits = RateLimits()
        limits.update(ONE, 1.0, 5.0)
        limits.update(ONE, None, 6.0)
        limits.update(ONE, 1.0, 5.5)
        assert not limits.is_limited(ONE)
        limits.update(ONE, 3.0, 7.0)
        limits.update(ONE, None, 6.5)
        assert limits.is_limited(ONE)

    def test_change_gives_no_new_burst(self):
        """Alternating responses advertise two rates."""
        limits, passed = RateLimits(), []
        for step in range(400):
            now_s = step * 0.02
            limits.update(ONE, 1.0 + step % 2, now_s)
            if limits.take(ONE, now_s):
                passed.append(now_s)
        assert max_in_window(passed) <= allowed(1.0)

    def test_idle_time_gives_a_short_burst(self):
        limits = RateLimits()
        limits.update(ONE, 20.0, 0.0)
        assert not limits.take(ONE, 0.0)
        passed = sum(limits.take(ONE, 100.0) for _ in range(100))
        assert passed == 20 * BURST_S

    def test_very_large_rate_limits_nothing(self):
        limits = RateLimits()
        limits.update(ONE, 1e300, 0.0)
        assert not limits.take(ONE, 0.0)
        assert all(limits.take(ONE, 0.01) for _ in range(1000))

    def test_gone_target_is_removed(self):
        limits = RateLimits()
        limits.update(ONE, 1.0, 0.0)
        limits.remove_expired(RETENTION_S)
        assert limits.limits
        limits.remove_expired(RETENTION_S + 1)
        assert not limits.limits


class TestSlotsWithARate:
    def limited(self, per_s=2.0):
        slots = open_slots()
        slots.rate_limits.update("", per_s, 0.0)
        return slots

    def test_request_beyond_it_is_denied_at_once_with_a_retry_time(self):
        slots = self.limited()
        decision = slots.request_slot(slot_request(1), 0.0)
        assert decision.denied and decision.retry_ms == pytest.approx(500.0)
        assert slots.request_slot(slot_request(2), 500.0).granted
        assert slots.request_slot(slot_request(3), 500.0).denied
        assert not slots.queue

    def test_queued_requests_are_denied_when_it_is_advertised(self):
        slots = open_slots()
        for number in range(40):
            slots.request_slot(slot_request(number, tokens=1, wait_ms=5000.0), 0.0)
        assert slots.queue
        waiting = len(slots.queue)
        slots.rate_limits.update("", 1.0, 0.0)
        decisions = list(slots.advance(1.0))
        assert len(decisions) == waiting
        assert all(decision.denied and decision.retry_ms > 0 for decision in decisions)

    def test_ends_when_it_is_withdrawn(self):
        slots = self.limited()
        assert slots.request_slot(slot_request(1), 0.0).denied
        slots.rate_limits.update("", None, 0.1)
        assert slots.request_slot(slot_request(2), 100.0).granted
        assert slots.request_slot(slot_request(3), 100.0).granted


class TestSidecar:
    def test_keeps_a_rate_over_all_entries(self):
        """Six entries send too much, and each of them sees only its own requests."""
        clock = itertools.count()
        granted = []

        async def run():
            admission = make_admission(ENGINE)
            now = SimpleNamespace(ms=0.0)
            admission.now_ms = lambda: now.ms
            links = [EntryLink() for _ in range(6)]
            update = TargetRate("", 1.5, 0)
            await admission.receive(update, links[0], Frame(0, 0, update))
            assert admission.heartbeat().state == AdmissionState.LIMITED.value
            for step in range(600):
                now.ms = step * 20.0
                link = links[step % 6]
                number = next(clock)
                await reserve(admission, link, number, wait_ms=400)
                decision = link.written[-1]
                if decision.granted:
                    granted.append(now.ms / 1000)
                    admission.slots.release(f"r{number}", now.ms)
                else:
                    assert decision.retry_ms > 0
            admission.limit_timer.cancel()

        asyncio.run(run())
        assert max_in_window(granted) <= allowed(1.5)
        assert len(granted) >= 0.9 * (1.5 * 12 - 1)


class ControlLink(RecordingLink):
    """A link to another control instance, or to one that is unreachable."""

    peer_id = "control-x"

    def __init__(self, decide=None):
        super().__init__("control")
        self.decide = decide
        self.queries = []

    async def request(self, message, timeout_s):
        self.queries.append(message)
        if self.decide is None:
            raise WireError(ResultCode.LINK_TIMEOUT, "no reply")
        return Frame(1, 1, await self.decide(message))


def run_with_clock(scenario):
    """Run a scenario on a loop whose clock the scenario sets."""

    async def run():
        loop = asyncio.get_running_loop()
        now = SimpleNamespace(s=100.0)
        loop.time, original = (lambda: now.s), loop.time
        try:
            await scenario(now)
        finally:
            loop.time = original

    asyncio.run(run())


class TestRateOwner:
    def owners(self, *names):
        """Return control instances that can all reach each other."""
        owners = {}
        for own in names:
            owners[own] = RateOwner(own, lambda own=own: links[own])

        def link_to(name):
            async def decide(message):
                return await owners[name].answer(message, from_entry=False)

            return ControlLink(decide)

        links = {
            own: {name: link_to(name) for name in names if name != own} for own in names
        }
        return owners, links

    def test_one_instance_decides_for_all(self):
        async def scenario(now):
            owners, _ = self.owners("a", "b", "c")
            for number in range(60):
                target = f"i-{number}/0"
                query = PassageQuery(target, 1.0, 0)
                for owner in owners.values():
                    await owner.answer(query, from_entry=True)
                held = [o for o in owners.values() if target in o.limits.limits]
                assert len(held) == 1
            assert all(owner.limits.limits for owner in owners.values())

        run_with_clock(scenario)

    @pytest.mark.parametrize("entries", [1, 6, 30])
    @pytest.mark.parametrize("per_s", [0.5, 1.5, 10.0])
    def test_entries_together_keep_the_rate(self, entries, per_s):
        """All entries send too much to one target, through any control instance."""
        passed = []

        async def scenario(now):
            owners, _ = self.owners("a", "b", "c")
            rng = random.Random(entries)
            for _ in range(600):
                now.s += 0.02
                for entry in range(entries):
                    if rng.random() < 0.5:
                        owner = owners["abc"[entry % 3]]
                        query = PassageQuery(ONE, per_s, 0)
                        answer = await owner.answer(query, from_entry=True)
                        assert answer.granted or answer.wait_ms > 0
                        if answer.granted:
                            passed.append(now.s)

        run_with_clock(scenario)
        assert max_in_window(passed) <= allowed(per_s)
        assert len(passed) >= 0.5 * per_s * 12 - 1

    @pytest.mark.parametrize("per_s", [0.5, 1.5, 10.0])
    def test_two_owners_of_a_partition_together_keep_the_rate(self, per_s):
        passed = []

        async def scenario(now):
            partitioned = [RateOwner(name, dict) for name in "ab"]
            for _ in range(600):
                now.s += 0.02
                for owner in partitioned:
                    query = PassageQuery(ONE, per_s, 0)
                    if (await owner.answer(query, from_entry=True)).granted:
                        passed.append(now.s)

        run_with_clock(scenario)
        assert max_in_window(passed) <= allowed(per_s)

    def test_query_without_a_rate_is_permitted(self):
        async def scenario(now):
            owner = RateOwner("a", dict)
            for _ in range(20):
                answer = await owner.answer(PassageQuery(ONE, 0.0, 0), True)
                assert answer == Passage(True, 0, False)

        run_with_clock(scenario)

    def test_unreachable_owner_permits_nothing(self):
        async def scenario(now):
            owner = RateOwner("a", lambda: {"b": ControlLink(), "c": ControlLink()})
            answers = [
                await owner.answer(PassageQuery(f"i-{n}/0", 1.0, 0), from_entry=True)
                for n in range(20)
            ]
            assert Passage(False, 500, True) in answers

        run_with_clock(scenario)

    def test_withdrawal_reaches_the_owner_and_then_the_others(self):
        async def scenario(now):
            owners, links = self.owners("a", "b")
            query = PassageQuery(ONE, 1.0, 0)
            assert not (await owners["a"].answer(query, from_entry=True)).granted
            now.s += 1.0
            update = TargetRate(ONE, 0.0, 0)
            for own, owner in owners.items():
                owner.receive_rate(update, from_entry=True)
                for name, link in links[own].items():
                    for message in link.written:
                        owners[name].receive_rate(message, from_entry=False)
            now.s += 0.1
            late = PassageQuery(ONE, 1.0, 1100)
            answer = await owners["b"].answer(late, from_entry=True)
            assert answer == Passage(True, 0, False)

        run_with_clock(scenario)


def limited_target(per_s=2.0, heard_s=0.0):
    target = Target(TargetState("i-1", "s", "10.0.0.1:80", "z"), 0.0)
    target.rate.per_s, target.rate.observed_s = per_s, heard_s
    return target


class TestRatePermitClient:
    def request_permits(self, answers, times_s):
        """Request permits at given times; return waits, queries and the target."""

        async def run():
            replies = iter(answers)

            async def decide(message):
                return next(replies)

            link = ControlLink(decide if answers else None)
            permits = RatePermitClient(lambda: [link])
            target = limited_target()
            waits_s = [await permits.wait_s(target, now_s) for now_s in times_s]
            return waits_s, link.queries, target

        return asyncio.run(run())

    def test_target_without_a_rate_needs_no_permit(self):
        async def run():
            permits = RatePermitClient(list)
            return await permits.wait_s(limited_target(per_s=None), 1.0)

        assert asyncio.run(run()) == 0.0

    def test_no_permit_is_requested_while_the_target_is_at_its_limit(self):
        answers = [Passage(False, 400, True), Passage(True, 0, True)]
        waits_s, queries, _ = self.request_permits(answers, [1.0, 1.1, 1.3, 1.5])
        assert waits_s == pytest.approx([0.4, 0.3, 0.1, 0.0])
        assert queries == [PassageQuery(ONE, 2.0, 1000), PassageQuery(ONE, 2.0, 1500)]

    def test_withdrawal_seen_by_others_is_adopted(self):
        waits_s, queries, target = self.request_permits(
            [Passage(True, 0, False)], [1.0, 1.1]
        )
        assert waits_s == [0.0, 0.0] and len(queries) == 1
        assert target.rate.per_s is None

    def test_disconnected_entry_permits_a_fraction(self):
        """All entries are partitioned from all control instances."""
        times_s = [step * 0.02 for step in range(1, 3000)]
        waits_s, _, _ = self.request_permits([], times_s)
        passed = sum(wait_s == 0 for wait_s in waits_s)
        assert 2 <= passed <= 2.0 * 60 / 20
        assert all(wait_s >= 0 for wait_s in waits_s)

    def test_rate_is_reported_to_the_sidecar_if_there_is_one(self):
        async def run():
            control, sidecar = ControlLink(), RecordingLink("sidecar")
            permits = RatePermitClient(lambda: [control])
            permits.report_rate(limited_target(), sidecar, 0.5)
            permits.report_rate(limited_target(None), None, 0.5)
            return control.written, sidecar.written

        control, sidecar = asyncio.run(run())
        assert sidecar == [TargetRate(ONE, 2.0, 500)]
        assert control == [TargetRate(ONE, 0.0, 500)]


class TestMessages:
    @pytest.mark.parametrize(
        "message",
        [
            TargetRate(ONE, 1.5, 20),
            PassageQuery(ONE, 1e300, 1 << 40),
            Passage(False, 500, True),
            messages.SuspectNews((messages.Suspect(b"d" * 16, 1, ("a", "b"), 9),)),
        ],
    )
    def test_round_trip(self, message):
        data = codec.encode(Frame(1, 0, message))
        assert codec.decode(data[codec.HEADER.size :]).message == message
