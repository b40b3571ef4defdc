"""The bound on requests to cold targets, over all entries."""

import asyncio
import heapq
import itertools
import random
import sys
from types import SimpleNamespace

import pytest
from hypothesis import given
from hypothesis import strategies as st
from multidict import CIMultiDict

from tests.test_direct_dispatch import SETTINGS
from tests.test_engine_slots import ENGINE
from tests.test_rate_limits import ControlLink, run_with_clock
from tests.test_slot_admission import EntryLink, make_admission
from tests.test_slot_allocation import ROUTE, FakeSidecars
from wisteriapulley.clocks import steady_ms
from wisteriapulley.control import cold_owner
from wisteriapulley.control.cold_owner import ColdOwner
from wisteriapulley.control.rate_owner import OWNER_LOST_RETRY_MS, RateOwner
from wisteriapulley.control.targets import TargetTable
from wisteriapulley.direct.cold_services import ColdServices
from wisteriapulley.direct.progress import Admitted
from wisteriapulley.direct.rate_permits import (
    COLD_RETRY_S,
    NEVER_OBSERVED_MS,
    rate_update,
)
from wisteriapulley.direct.registry import Target, TargetRegistry
from wisteriapulley.direct.slot_allocation import AllocatedSlot, SlotAllocator
from wisteriapulley.direct.types import CallerRequest, Refusal
from wisteriapulley.platform.signal_parsing import parse_signals
from wisteriapulley.policy.advertised_rate import RateLimits
from wisteriapulley.policy.cold_start import SETTLE_S, ColdBound, ColdTarget
from wisteriapulley.policy.engine_slots import SlotRequest
from wisteriapulley.policy.response_signals import ResponseSignals
from wisteriapulley.rollout.cold_engine import ColdEngine
from wisteriapulley.rollout.engine import EngineReport
from wisteriapulley.routing import RoutingTable, Service
from wisteriapulley.weights.desired_versions import DesiredVersions
from wisteriapulley.wire import Frame, messages
from wisteriapulley.wire.handshake import Identity
from wisteriapulley.wire.messages import PassageQuery, TargetState

START_S = 3.0
# What a service states, and the settings' overshoot and slack.
LIMITS = [
    (26.0, 1.5, 5.0),
    (26.0, 1.0, 0.0),
    (4.0, 2.0, 1.0),
    (1.0, 1.0, 0.0),
    (400.0, 1.2, 0.0),
]


def most_in_a_second(times_s):
    """Return the largest number of times within any one second."""
    return max(
        (sum(at_s <= other < at_s + 1.0 for other in times_s) for at_s in times_s),
        default=0,
    )


def cold_target(per_s=26.0, overshoot=1.5, slack=5.0, owners=1, now_s=0.0):
    bound = ColdBound.from_limits(START_S, per_s, overshoot, slack, owners)
    return ColdTarget(bound, now_s)


def flood(target, from_s, to_s, senders=1, step_s=0.01):
    """Ask for far more than a target may get; return when requests passed."""
    passed = []
    for step in range(round((to_s - from_s) / step_s)):
        now_s = from_s + step * step_s
        for _ in range(senders):
            if not target.wait_s(now_s):
                target.record_sent(now_s)
                passed.append(now_s)
    return passed


class TestWhenATargetIsCold:
    def test_first_sign_of_life_counts_as_cold(self):
        target = cold_target()
        target.record_alive(1000, 5.0)
        assert target.is_cold(7.9)
        assert not target.is_cold(8.0)

    def test_later_signs_of_life_change_nothing(self):
        target = cold_target()
        target.record_alive(1000, 5.0)
        target.record_alive(1000, 7.0)
        assert not target.is_cold(8.0)

    def test_statement_ends_the_assumption(self):
        """A fleet that starts long before its traffic states that it is warm."""
        target = cold_target()
        target.record_alive(1000, 5.0)
        target.observe(1000, 0.0, 4.9)
        assert not target.is_cold(5.0)

    def test_statement_before_the_first_sign_of_life(self):
        target = cold_target()
        target.observe(1000, 0.0, 4.0)
        target.record_alive(1000, 5.0)
        assert not target.is_cold(5.0)

    def test_next_incarnation_is_cold_whatever_the_earlier_one_stated(self):
        target = cold_target()
        target.observe(1000, 0.0, 4.0)
        target.record_alive(2000, 5.0)
        assert target.is_cold(5.0)
        target.observe(1000, 0.0, 6.0)
        assert target.is_cold(6.0)

    def test_statement_without_an_incarnation(self):
        """It is about the one that ran when it was stated."""
        target = cold_target()
        target.record_alive(1000, 4.5)
        target.observe(0, 0.0, 4.0)
        assert not target.is_cold(4.5)
        target.record_alive(2000, 9.0)
        target.observe(0, 0.0, 8.0)
        assert target.is_cold(9.0)
        target.observe(0, 0.0, 9.5)
        assert not target.is_cold(9.5)

    def test_turns_cold_again_at_any_moment(self):
        target = cold_target()
        target.observe(1000, 0.0, 4.0)
        target.observe(1000, 2.0, 100.0)
        assert target.is_cold(101.9) and not target.is_cold(102.0)

    def test_latest_statement_counts_in_any_order(self):
        target = cold_target()
        target.observe(1000, 2.0, 100.0)
        target.observe(1000, 0.0, 99.0)
        assert target.is_cold(101.0)

    def test_silence_counts_as_cold_until_a_later_statement(self):
        target = cold_target()
        target.observe(1000, 0.0, 4.0)
        target.record_return(5.0, 9.0)
        assert target.is_cold(11.9)
        target.observe(1000, 0.0, 4.5)
        assert target.is_cold(10.0)
        target.observe(1000, 0.0, 5.5)
        assert not target.is_cold(10.0)

    def test_statement_during_the_silence_is_kept(self):
        target = cold_target()
        target.observe(1000, 0.0, 6.0)
        target.record_return(5.0, 9.0)
        assert not target.is_cold(9.0)


class TestBound:
    @pytest.mark.parametrize("limits", LIMITS)
    def test_flood_of_all_entries(self, limits):
        """Thirty entries send all they have to one cold target."""
        target = cold_target(*limits)
        target.observe(1, 30.0, 0.0)
        passed = flood(target, 0.0, 30.0, senders=30)
        per_s, overshoot, slack = limits
        assert most_in_a_second(passed) <= per_s * overshoot + slack
        assert len(passed) >= 0.5 * per_s * (30.0 - SETTLE_S) - 1

    @pytest.mark.parametrize("limits", LIMITS)
    def test_two_owners_of_a_partition(self, limits):
        per_s, overshoot, slack = limits
        passed = []
        for _ in range(2):
            target = cold_target(*limits, owners=2)
            target.observe(1, 10.0, 0.0)
            passed += flood(target, 0.0, 10.0, senders=15)
        assert most_in_a_second(passed) <= per_s * overshoot + slack

    def test_bound_below_one_request_permits_none(self):
        target = cold_target(1.0, 1.0, 0.0, owners=2)
        target.observe(1, 10.0, 0.0)
        assert flood(target, 0.0, 9.9) == []
        assert target.wait_s(4.0) == pytest.approx(6.0)

    def test_without_a_stated_rate_there_is_no_bound(self):
        assert ColdBound.from_limits(3.0, 0.0, 1.5, 5.0) is None

    def test_new_owner_counts_the_second_that_it_does_not_know(self):
        first = cold_target()
        first.observe(1, 30.0, 0.0)
        passed = flood(first, 0.0, 10.0, senders=20)
        second = cold_target(now_s=10.0)
        second.observe(1, 20.0, 10.0)
        passed += flood(second, 10.0, 20.0, senders=20)
        assert most_in_a_second(passed) <= 44

    def test_warm_target_is_not_limited(self):
        target = cold_target()
        target.observe(1, 0.0, 0.0)
        assert len(flood(target, 0.0, 1.0, senders=5)) == 500

    def test_wait_ends_when_the_target_is_warm(self):
        target = cold_target(now_s=0.0)
        target.observe(1, 0.2, 0.0)
        assert target.wait_s(0.0) == pytest.approx(0.2)
        assert target.wait_s(0.2) == 0.0

    def test_bound_that_changes_gives_no_new_burst(self):
        target = cold_target()
        target.observe(1, 30.0, 0.0)
        passed = []
        for step in range(1000):
            now_s = step * 0.01
            per_s = 26.0 - step % 2
            bound = ColdBound.from_limits(START_S, per_s, 1.5, 5.0)
            target.set_bound(bound, now_s)
            if not target.wait_s(now_s):
                target.record_sent(now_s)
                passed.append(now_s)
        assert most_in_a_second(passed) <= 44

    @given(
        seed=st.integers(0, 1 << 32),
        limits=st.sampled_from(LIMITS),
        load_per_s=st.sampled_from([5, 50, 400]),
        changes=st.lists(st.tuples(st.floats(0.0, 8.0), st.floats(0.0, 3.0))),
    )
    def test_any_second_in_which_it_turned_cold(
        self, seed, limits, load_per_s, changes
    ):
        """Requests were sent while it was warm, and it turns cold at any moment.

        A second with more requests before the target turned cold gets none after.
        """
        rng = random.Random(seed)
        per_s, overshoot, slack = limits
        limit = per_s * overshoot + slack
        target = cold_target(*limits)
        target.observe(1, 0.0, -10.0)
        pending = sorted(changes)
        now_s, sent = 0.0, []
        while now_s < 8.0:
            now_s += rng.expovariate(load_per_s)
            while pending and pending[0][0] <= now_s:
                at_s, remaining_s = pending.pop(0)
                target.observe(1, remaining_s, at_s)
            if target.wait_s(now_s):
                continue
            if target.is_cold(now_s):
                recent = sum(now_s - 1.0 < at_s for at_s in sent) + 1
                assert recent <= limit
            target.record_sent(now_s)
            sent.append(now_s)

    @given(st.integers(0, 1 << 32), st.sampled_from([6, 20, 60]))
    def test_grants_that_are_used_late(self, seed, entries):
        """Each grant travels to its entry and waits for its processor."""
        rng = random.Random(seed)
        target = cold_target()
        target.observe(1, 10.0, 0.0)
        granted = flood(target, 0.0, 10.0, senders=entries, step_s=0.05)
        sent = [at_s + rng.uniform(0.0, 0.25) for at_s in granted]
        assert most_in_a_second(sent) <= 44


class TestRateLimitsOfAColdTarget:
    def limits(self, target):
        limits = RateLimits()
        limits.cold_of = lambda incarnation: target
        return limits

    def test_the_lower_of_both_limits_counts(self):
        for advertised_per_s, most in ((100.0, 26 * 5), (2.0, 2 * 5)):
            target = cold_target(now_s=-10.0)
            target.observe(1, 100.0, 0.0)
            limits = self.limits(target)
            limits.update("a", advertised_per_s, 0.0)
            passed = sum(limits.take("a", step * 0.01) for step in range(500))
            assert most - 2 <= passed <= most + 12

    def test_requests_to_a_warm_target_count_when_it_turns_cold(self):
        target = cold_target(now_s=-10.0)
        target.observe(1, 0.0, 0.0)
        limits = self.limits(target)
        assert all(limits.take("a", 1.0) for _ in range(60))
        target.observe(1, 3.0, 1.1)
        assert not limits.take("a", 1.1)
        assert limits.wait_s("a", 1.1) == pytest.approx(SETTLE_S + 1 / 26 - 0.1)


class Sidecar:
    """Admission of one engine, with the sidecar's knowledge of its coldness."""

    def __init__(self, per_s=26.0):
        self.admission = make_admission(ENGINE)
        settings = SimpleNamespace(cold_overshoot=1.5, cold_slack=5.0)
        self.cold = ColdEngine(settings, self.admission.limit_changed)
        self.admission.set_cold_engine(self.cold)
        self.per_s = per_s
        self.granted = []
        self.numbers = itertools.count()

    def start(self):
        self.cold.set_limits(START_S, self.per_s)

    def report(self, started_ms=1, cold_s=None, versions=None):
        versions = {"m": 1} if versions is None else versions
        self.cold.observe_report(
            EngineReport(versions, False, 0, 0, started_ms, False, cold_s)
        )

    def announce(self, cold_ms, started_ms=1, now_s=0.0):
        state = TargetState("i-1", "s", "10.0.0.1:80", "z", started_ms=started_ms)
        target = Target(state._replace(cold_ms=cold_ms), now_s)
        self.cold.observe_announcement(target)

    async def reserve(self, link, now_s, target="i-1/1"):
        """Request a slot that is released at once; return the decision."""
        number = next(self.numbers)
        message = messages.Reserve(f"r{number}", 1, 90, 1, 400, target)
        await self.admission.receive(message, link, Frame(number, 0, message))
        decision = link.written[-1]
        if decision.granted:
            self.granted.append(now_s)
            self.admission.slots.release(f"r{number}", now_s * 1000)
        return decision

    def stop(self):
        for timer in (self.admission.limit_timer, self.admission.load_report_timer):
            if timer is not None:
                timer.cancel()


def play_sidecar(scenario, starts=True, **options):
    async def run(now):
        sidecar = Sidecar(**options)
        if starts:
            sidecar.start()
        try:
            await scenario(sidecar, now)
        finally:
            sidecar.stop()

    run_with_clock(run)


class TestEngines:
    async def flood(self, sidecar, now, seconds, entries=6, target="i-1/1"):
        links = [EntryLink() for _ in range(entries)]
        decisions = []
        for _ in range(round(seconds / 0.01)):
            now.s += 0.01
            sidecar.cold.check()
            for link in links:
                decisions.append(await sidecar.reserve(link, now.s, target))
        return decisions

    def test_engine_that_turns_cold_under_load(self):
        """Its slots are free at once and all entries ask: it is never full."""

        async def scenario(sidecar, now):
            sidecar.report()
            sidecar.announce(0, now_s=now.s)
            await self.flood(sidecar, now, 1.0)
            warm = len(sidecar.granted)
            assert warm == 600
            sidecar.announce(3000, now_s=now.s)
            turned_s = now.s
            decisions = await self.flood(sidecar, now, 2.9)
            cold = [at_s for at_s in sidecar.granted if at_s > turned_s]
            # The second before it turned cold used up the bound.
            assert not [at_s for at_s in cold if at_s < turned_s + 1.0]
            assert most_in_a_second(cold) <= 44
            assert len(cold) >= 26 * (2.9 - SETTLE_S) - 1
            refused = [d for d in decisions if not d.granted]
            assert all(d.limited and not d.queued and d.retry_ms > 0 for d in refused)
            await self.flood(sidecar, now, 0.2)
            assert sidecar.granted[-1] == pytest.approx(now.s)

        play_sidecar(scenario)

    def test_restart_counts_whatever_incarnation_entries_ask_for(self):
        async def scenario(sidecar, now):
            sidecar.report(started_ms=1)
            sidecar.announce(0, now_s=now.s)
            now.s += 10.0
            sidecar.report(started_ms=2)
            started_s = now.s
            for target in ("i-1/1", "i-1/2", ""):
                await self.flood(sidecar, now, 0.9, target=target)
            assert most_in_a_second(sidecar.granted) <= 44
            assert sidecar.granted[-1] - started_s < START_S

        play_sidecar(scenario)

    def test_fleet_that_states_to_be_warm_is_not_limited(self):
        async def scenario(sidecar, now):
            sidecar.announce(0, now_s=now.s)
            sidecar.report()
            await self.flood(sidecar, now, 1.0)
            assert len(sidecar.granted) == 600

        play_sidecar(scenario)

    def test_engine_that_answers_again_after_a_silence(self):
        async def scenario(sidecar, now):
            sidecar.report()
            sidecar.announce(0, now_s=now.s)
            now.s += 1.0
            sidecar.cold.observe_silence()
            now.s += 4.0
            sidecar.report()
            await self.flood(sidecar, now, 2.9)
            assert most_in_a_second(sidecar.granted) <= 44

        play_sidecar(scenario)

    def test_statements_of_the_engine_and_of_an_entry(self):
        async def scenario(sidecar, now):
            sidecar.report()
            sidecar.announce(0, now_s=now.s)
            now.s += 5.0
            sidecar.report(cold_s=2.0)
            assert sidecar.cold.was_cold
            now.s += 1.0
            sidecar.report(cold_s=0.0)
            assert not sidecar.cold.was_cold
            now.s += 1.0
            update = messages.TargetRate("i-1/1", 0.0, 1 << 40, 1500)
            link = EntryLink()
            await sidecar.admission.receive(update, link, Frame(0, 0, update))
            assert sidecar.cold.was_cold

        play_sidecar(scenario)

    def test_state_in_heartbeats_and_time_to_come_back(self):
        async def scenario(sidecar, now):
            sidecar.report()
            decision = await sidecar.reserve(EntryLink(), now.s)
            assert not decision.granted and decision.limited
            assert decision.retry_ms >= SETTLE_S * 1000
            assert sidecar.admission.heartbeat().state == "limited"

        play_sidecar(scenario)

    @pytest.mark.parametrize("limits_first", [True, False])
    def test_engines_that_start_with_their_sidecars(self, limits_first):
        """After a loss of all, nobody can have sent a request to an empty engine."""

        async def scenario(sidecar, now):
            sidecar.cold.observe_silence()
            if limits_first:
                sidecar.start()
            sidecar.report(versions={})
            now.s += 0.5
            sidecar.start()
            sidecar.report(versions={})
            sidecar.report()
            opened_s = now.s
            await self.flood(sidecar, now, 2.4)
            assert sidecar.granted[0] == pytest.approx(opened_s + 0.01)
            assert most_in_a_second(sidecar.granted) <= 44

        play_sidecar(scenario, starts=False)

    def test_service_without_a_limit(self):
        async def scenario(sidecar, now):
            sidecar.report()
            sidecar.announce(3000, now_s=now.s)
            await self.flood(sidecar, now, 1.0)
            assert len(sidecar.granted) == 600
            assert sidecar.admission.heartbeat().state == "open"

        play_sidecar(scenario, per_s=0.0)

    def test_failure_domain_returns_cold_under_full_load(self):
        """A third of the engines is cold; each request tries warm ones first.

        The cold ones stay within the bound, and the others serve as before.
        """

        async def run(now):
            cold = [Sidecar() for _ in range(4)]
            warm = [Sidecar() for _ in range(8)]
            for sidecar in cold + warm:
                sidecar.start()
                sidecar.report()
            for sidecar in warm:
                sidecar.announce(0, now_s=now.s)
            rng = random.Random(1)
            running = []
            asked = 0
            for _ in range(290):
                now.s += 0.01
                while running and running[0][0] <= now.s:
                    _, _, sidecar, name = heapq.heappop(running)
                    sidecar.admission.slots.release(name, now.s * 1000)
                for _ in range(10):
                    asked += 1
                    order = rng.sample(warm, 2) + rng.sample(cold, 4)
                    for sidecar in order:
                        name = f"q{asked}"
                        request = SlotRequest(name, "e", 50, 90, 1, 100.0)
                        slots = sidecar.admission.slots
                        decision = slots.request_slot(request, now.s * 1000)
                        if decision.granted:
                            sidecar.granted.append(now.s)
                            end_s = now.s + rng.uniform(0.05, 0.2)
                            heapq.heappush(running, (end_s, asked, sidecar, name))
                            break
                        slots.release(name, now.s * 1000)
            for sidecar in cold + warm:
                sidecar.stop()
            assert all(most_in_a_second(s.granted) <= 44 for s in cold)
            assert sum(len(s.granted) for s in cold) >= 4 * 0.8 * 26 * (2.9 - SETTLE_S)
            assert min(len(s.granted) for s in warm) > 100

        run_with_clock(run)


LIMITED_TABLE = RoutingTable(
    1, (), (Service("s", cold_start_s=START_S, cold_per_s=26.0),), ()
)
UNLIMITED_TABLE = RoutingTable(1, (), (Service("s"),), ())
CONTROL_SETTINGS = SimpleNamespace(cold_overshoot=1.5, cold_slack=5.0)


def announced(cold_ms, sequence=1):
    return TargetState(
        "i-1", "s", "10.0.0.1:80", "z", False, False, sequence, 12, cold_ms, version=1
    )


class Entry:
    """Slot allocation of an entry that knows one target."""

    def __init__(self, now_s, cold_ms, links=(), table=LIMITED_TABLE, name="e"):
        self.registry = TargetRegistry()
        self.registry.update([announced(cold_ms)], now_s)
        self.links = links
        follower = SimpleNamespace(
            versions=DesiredVersions(), open_links=lambda: list(self.links)
        )
        identity = Identity(name, "entry", "z", 1, b"k" * 40)
        self.allocator = SlotAllocator(SETTINGS, identity, self.registry, follower)
        self.allocator.cold_services.set_table(table)

    async def allocate(self, now_s, engine=None):
        request = CallerRequest(
            "q", "POST", "/", "h", "/", (), b"", "", now_s, 5.4, 900, 90
        )
        admitted = Admitted(request, ROUTE, None, now_s + 5.4, False)
        return await self.allocator.allocate(admitted, "s", engine, set(), now_s)


class WithoutLinks(FakeSidecars):
    """Sidecars to which no link is open."""

    def link_to(self, target):
        return None


class TestEnginesWithoutTheirSidecar:
    def allocate(self, cold_ms, links, table=LIMITED_TABLE):
        async def run():
            now_s = asyncio.get_running_loop().time()
            entry = Entry(now_s, cold_ms, links, table)
            entry.allocator.sidecars = WithoutLinks()
            return await entry.allocate(now_s, ENGINE)

        return asyncio.run(run())

    def test_cold_engine_gets_nothing(self):
        result = self.allocate(2000, [ControlLink()])
        assert isinstance(result, Refusal) and result.retry_s > 0

    def test_warm_engine_gets_requests_from_an_entry_in_touch(self):
        assert isinstance(self.allocate(0, [ControlLink()]), AllocatedSlot)

    def test_entry_out_of_touch_takes_it_for_cold(self):
        assert isinstance(self.allocate(0, []), Refusal)

    def test_service_without_a_limit(self):
        for links in ([], [ControlLink()]):
            result = self.allocate(2000, links, UNLIMITED_TABLE)
            assert isinstance(result, AllocatedSlot)


class Owners:
    """Control instances that own the limits of plain targets."""

    def __init__(self, *names, table=LIMITED_TABLE):
        self.tables = {name: TargetTable(60_000) for name in names}
        self.links = {name: {} for name in names}
        self.owners = {
            name: RateOwner(
                name,
                lambda name=name: self.links[name],
                ColdOwner(CONTROL_SETTINGS, self.tables[name], lambda: table),
            )
            for name in names
        }
        for name in names:
            self.links[name].update(
                {other: self.link_to(other) for other in names if other != name}
            )

    def link_to(self, name, from_entry=False):
        async def decide(message):
            return await self.owners[name].answer(message, from_entry)

        return ControlLink(decide)

    def announce(self, state):
        for table in self.tables.values():
            table.update(state, steady_ms())

    def separate(self, name):
        """Cut one instance off from the others, in both directions."""
        self.links[name].clear()
        for links in self.links.values():
            links.pop(name, None)


def play_plain(scenario):
    """Run with a clock that the scenario sets, also for control instances."""
    with pytest.MonkeyPatch.context() as patch:

        async def run(now):
            for module in (cold_owner, sys.modules[__name__]):
                patch.setattr(module, "steady_ms", lambda: now.s * 1000)
            await scenario(now)

        run_with_clock(run)


class TestPlainTargets:
    async def flood(self, entries, now, seconds, sent):
        """Let all entries send far too much; return the refusals."""
        refusals = []
        for _ in range(round(seconds / 0.02)):
            now.s += 0.02
            for entry in entries:
                for _ in range(2):
                    result = await entry.allocate(now.s)
                    if isinstance(result, Refusal):
                        refusals.append(result)
                        continue
                    sent.append(now.s)
                    result.release()
        return refusals

    def test_target_that_turns_cold_under_load(self):
        async def scenario(now):
            owners = Owners("a", "b", "c")
            owners.announce(announced(0))
            links = [owners.link_to(name, from_entry=True) for name in "abc"]
            entries = [Entry(now.s, 0, [links[n % 3]], name=f"e{n}") for n in range(9)]
            warm = []
            await self.flood(entries, now, 1.0, warm)
            assert len(warm) == 900
            turned_s = now.s
            state = announced(4000, sequence=2)
            owners.announce(state)
            for entry in entries:
                entry.registry.update([state], now.s)
            sent = []
            refusals = await self.flood(entries, now, 3.9, sent)
            assert not [at_s for at_s in sent if at_s < turned_s + 1.0]
            assert most_in_a_second(sent) <= 22
            assert len(sent) >= 13 * (3.9 - SETTLE_S) - 5
            assert all(refusal.retry_s > 0 for refusal in refusals)
            await self.flood(entries, now, 0.5, warm)
            assert warm[-1] == pytest.approx(now.s)

        play_plain(scenario)

    def test_owner_is_lost_and_another_one_takes_over(self):
        async def scenario(now):
            owners = Owners("a", "b", "c")
            owners.announce(announced(9000))
            sent, entries = [], []
            for number in range(9):
                link = owners.link_to("abc"[number % 3], from_entry=True)
                entries.append(Entry(now.s, 9000, [link], name=f"e{number}"))
            await self.flood(entries, now, 3.0, sent)
            (owner,) = (n for n, o in owners.owners.items() if o.cold.targets)
            owners.separate(owner)
            reachable = [e for n, e in enumerate(entries) if "abc"[n % 3] != owner]
            await self.flood(reachable, now, 3.0, sent)
            assert most_in_a_second(sent) <= 44
            assert max(sent) > now.s - 0.5

        play_plain(scenario)

    def test_two_owners_of_a_partition(self):
        async def scenario(now):
            owners = Owners("a", "b", "c")
            owners.announce(announced(9000))
            sent, entries = [], []
            for number in range(9):
                link = owners.link_to("abc"[number % 3], from_entry=True)
                entries.append(Entry(now.s, 9000, [link], name=f"e{number}"))
            await self.flood(entries, now, 2.0, sent)
            (owner,) = (n for n, o in owners.owners.items() if o.cold.targets)
            owners.separate(owner)
            await self.flood(entries, now, 6.0, sent)
            assert most_in_a_second(sent) <= 44
            assert sum(bool(o.cold.targets) for o in owners.owners.values()) == 2

        play_plain(scenario)

    @pytest.mark.parametrize("count", [1, 20, 200])
    def test_entries_out_of_touch_send_nothing(self, count):
        """They may have missed that the target turned cold."""

        async def scenario(now):
            entries = [Entry(now.s, 0, [], name=f"e{n}") for n in range(count)]
            sent = []
            refusals = await self.flood(entries, now, 0.1, sent)
            assert not sent and all(refusal.retry_s > 0 for refusal in refusals)

        play_plain(scenario)

    def test_entry_whose_owner_does_not_respond(self):
        async def scenario(now):
            entry = Entry(now.s, 3000, [ControlLink()])
            result = await entry.allocate(now.s)
            assert result.retry_s == COLD_RETRY_S

        play_plain(scenario)

    def test_owner_that_does_not_know_the_target_grants_nothing(self):
        """It has just started, and the target has not announced itself there."""

        async def scenario(now):
            owners = Owners("a")
            link = owners.link_to("a", from_entry=True)
            sent = []
            assert await self.flood([Entry(now.s, 3000, [link])], now, 0.1, sent)
            assert not sent
            answer = await link.request(PassageQuery("i-1/0", 2.0, 0), 1.0)
            assert answer.message.wait_ms != OWNER_LOST_RETRY_MS

        play_plain(scenario)

    def test_owner_that_heard_nothing_yet_believes_the_entry(self):
        async def scenario(now):
            owners = Owners("a")
            owners.announce(announced(0))
            link = owners.link_to("a", from_entry=True)
            sent = []
            await self.flood([Entry(now.s, 3000, [link])], now, 2.9, sent)
            assert most_in_a_second(sent) <= 22 and sent[0] >= now.s - 2.9 + 1.0

        play_plain(scenario)

    def test_service_without_a_limit_needs_no_permit(self):
        async def scenario(now):
            for links in ([], [ControlLink()]):
                entry = Entry(now.s, 3000, links, UNLIMITED_TABLE)
                assert isinstance(await entry.allocate(now.s), AllocatedSlot)
                assert not any(link.queries for link in links)

        play_plain(scenario)

    def test_rest_of_the_fleet_carries_on(self):
        """Another target is warm: it is preferred, and gets what the cold one can't."""

        async def scenario(now):
            owners = Owners("a")
            owners.announce(announced(5000))
            entry = Entry(now.s, 5000, [owners.link_to("a", from_entry=True)])
            warm = TargetState("i-2", "s", "10.0.0.2:80", "z", sequence=1, slots=12)
            entry.registry.update([warm], now.s)
            slots = [await entry.allocate(now.s) for _ in range(12)]
            assert {slot.target.target_id for slot in slots} == {"i-2"}
            assert isinstance(await entry.allocate(now.s), Refusal)

        play_plain(scenario)


class TestColdServices:
    def test_counts_and_logs_cold_targets(self, caplog):
        caplog.set_level("INFO")
        services = ColdServices()
        target = Target(announced(2000), 10.0)
        assert services.check([target], 10.0) == 0
        services.set_table(LIMITED_TABLE)
        counts = [services.check([target], now_s) for now_s in (10.0, 11.0, 12.0)]
        assert counts == [1, 1, 0]
        assert caplog.messages == ["target is cold", "target is warm"]


class TestSignal:
    def parse(self, *texts):
        headers = CIMultiDict([("X-Cold-Ms", text) for text in texts])
        return parse_signals(200, headers).cold_s

    def test_longest_valid_time_counts(self):
        assert self.parse() is None
        assert self.parse("soon", "-1") is None
        assert self.parse("0") == 0.0
        assert self.parse("1500", "x", "250") == 1.5

    def test_response_is_reported_to_the_owner(self):
        target = Target(announced(0), 10.0)
        changes = target.record_signals(ResponseSignals(cold_s=2.0), 19.0, 20.0)
        assert changes.cold
        assert rate_update(target, 20.5) == messages.TargetRate(
            "i-1/0", 0.0, NEVER_OBSERVED_MS, 1500
        )
        again = target.record_signals(ResponseSignals(cold_s=1.0), 20.0, 21.0)
        assert not again.cold

    def test_earlier_announcement_does_not_end_it(self):
        target = Target(announced(0), 10.0)
        target.record_signals(ResponseSignals(cold_s=2.0), 19.0, 20.0)
        target.update(announced(0, sequence=2), 19.9)
        assert target.cold_left_s(20.0) == pytest.approx(2.0)
