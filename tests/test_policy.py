"""Policies on virtual time, judged by the results for callers."""

import random
from collections import Counter

import pytest
from bench.virtual import (
    Demand,
    VirtualService,
    VirtualTarget,
    arrivals,
    capacity_per_s,
)

from wisteriapulley.catalogue.entry import Limits
from wisteriapulley.errors import RequestError, ResultCode
from wisteriapulley.policy import Admission, LeastOutstanding, Scheduler, TargetView
from wisteriapulley.policy.fair_queue import FairQueue, PriorityQueue
from wisteriapulley.policy.outliers import OutlierDetector
from wisteriapulley.policy.service_times import ServiceTimes
from wisteriapulley.policy.work import Work

# Model servers that write reports.
TARGETS, SLOTS = 6, 4
ACCOUNTS = [Demand(f"a{i}", 1.0, 20.0) for i in range(4)]


def work(number=1, account="a", units=1.0, priority=0, deadline_s=100.0):
    return Work(number, account, "kind", priority, units, deadline_s)


def serve(mix, load, ours=True, slowness=(), seconds=30.0, burst=1, seed=5):
    slow = [*slowness, *[1.0] * TARGETS][:TARGETS]
    targets = [VirtualTarget(f"t{i}", SLOTS, s) for i, s in enumerate(slow)]
    scheduler = Scheduler(LeastOutstanding(random.Random(seed))) if ours else None
    service = VirtualService(targets, scheduler, SLOTS)
    per_s = load * capacity_per_s(mix, TARGETS * SLOTS)
    return service.run(list(arrivals(mix, per_s, seconds, seed, burst)))


def slowest(results, units=None):
    took = [r.took_s for r in results if r.code == 0 and units in (None, r.work.units)]
    return sorted(took)[int(len(took) * 0.99)]


class TestScheduler:
    def test_saturation_keeps_goodput_and_refuses_excess_at_once(self):
        full, over = serve(ACCOUNTS, 1.0), serve(ACCOUNTS, 3.0)
        in_time = [sum(r.in_time for r in results) for results in (full, over)]
        assert in_time[1] >= 0.95 * in_time[0]
        answered = [r for r in over if r.code == 0]
        assert sum(not r.in_time for r in answered) <= 0.01 * len(answered)
        at_once = sum(r.took_s == 0 for r in over if r.code)
        assert at_once >= 0.9 * sum(r.code != 0 for r in over)

    def test_burst_is_answered_if_deadlines_allow(self):
        results = serve(ACCOUNTS, 0.5, burst=40)
        assert all(result.in_time for result in results)

    def test_account_at_ten_times_its_share_does_not_affect_others(self):
        mix = [ACCOUNTS[0]._replace(relative_rate=10.0), *ACCOUNTS[1:]]
        got = Counter(r.work.account for r in serve(mix, 2.0) if r.in_time)
        asked = Counter(r.work.account for r in serve(mix, 2.0))
        for account in ("a1", "a2", "a3"):
            assert got[account] >= 0.95 * asked[account]

    def test_slow_target_has_little_effect(self):
        healthy = slowest(serve(ACCOUNTS, 0.5))
        ours = slowest(serve(ACCOUNTS, 0.5, slowness=[10.0]))
        baseline = slowest(serve(ACCOUNTS, 0.5, ours=False, slowness=[10.0]))
        assert ours <= 1.3 * healthy < baseline

    def test_short_work_does_not_wait_behind_long(self):
        mix = [Demand("a0", 9.0, 20.0), Demand("a0", 1.0, 400.0)]
        ours, baseline = serve(mix, 0.9), serve(mix, 0.9, ours=False)
        assert slowest(ours, 20.0) <= 0.5 * slowest(baseline, 20.0)
        assert all(r.in_time for r in ours if r.work.units == 400.0 and r.code == 0)

    def test_refusal_has_retry_time(self):
        scheduler = Scheduler(LeastOutstanding(random.Random(1)))
        scheduler.times.record(work(), 1.0)
        full = [TargetView("t", 1)]
        for number in range(3):
            assert scheduler.submit(work(number), full, 1, 0.0) is None
        with pytest.raises(RequestError) as caught:
            scheduler.submit(work(9, deadline_s=2.0), full, 1, 0.0)
        assert caught.value.code == ResultCode.OVERLOADED
        assert 1000 <= caught.value.retry_after_ms <= 3000

    def test_no_target_is_refused_at_once(self):
        with pytest.raises(RequestError) as caught:
            Scheduler(None).submit(work(), [], 1, 0.0)
        assert caught.value.code == ResultCode.NO_TARGET

    def test_own_requests_correct_a_lagging_report(self):
        # Guards against sending all of a burst to the target that last looked idle.
        target = TargetView("t", in_flight=5, reported=7, in_flight_at_report=4)
        assert target.outstanding == 8


class TestFairQueue:
    def drain(self, queue):
        while len(queue):
            yield queue.pop()

    def test_accounts_alternate_by_cost(self):
        queue = FairQueue()
        for number in range(4):
            queue.push(work(number, "big"), 2.0)
        for number in range(4):
            queue.push(work(number, "small"), 1.0)
        order = [w.account for w in self.drain(queue)]
        assert order[:6].count("small") == 4

    def test_leaving_and_rejoining_gains_nothing(self):
        queue = FairQueue()
        for number in range(3):
            queue.push(work(number, "steady"), 1.0)
        for number in range(3):
            queue.push(work(number, "comes"), 1.0)
            first = queue.pop().account
            second = queue.pop().account
            assert {first, second} == {"steady", "comes"}

    def test_removed_work_is_not_charged(self):
        queue = FairQueue()
        queue.push(work(1), 5.0)
        assert queue.remove(work(1)) and not queue.remove(work(1))
        assert (len(queue), queue.cost_s, queue.accounts) == (0, 0.0, {})

    def test_wait_counts_fair_shares_not_the_whole_queue(self):
        queue = PriorityQueue()
        for number in range(100):
            queue.push(work(number, "big"), 1.0)
        assert queue.ahead_s(work(account="small"), 1.0) == 1.0
        assert queue.ahead_s(work(account="big"), 1.0) == 100.0

    def test_lower_number_runs_first(self):
        queue = PriorityQueue()
        queue.push(work(1, priority=5), 1.0)
        queue.push(work(2, priority=-1), 1.0)
        assert [w.id for w in self.drain(queue)] == [2, 1]


class TestOutlierDetector:
    def detector(self, ratios, times=4):
        outliers = OutlierDetector()
        for _ in range(times):
            for name, ratio in ratios.items():
                outliers.record(name, ratio, 0.0)
        return outliers

    def test_slow_target_is_ejected_and_restored_by_probe(self):
        outliers = self.detector({"a": 1.0, "b": 1.0, "c": 1.0, "slow": 9.0})
        assert list(outliers.ejected) == ["slow"]
        assert outliers.next_probe(4.0) is None
        assert (outliers.next_probe(5.5), outliers.next_probe(5.6)) == ("slow", None)
        outliers.record("slow", 1.0, 5.7)
        outliers.record("slow", 9.0, 6.0, probe=True)
        assert (list(outliers.ejected), outliers.next_probe(11.0)) == (["slow"], None)
        outliers.record("slow", 1.0, 17.0, probe=True)
        assert not outliers.ejected

    def test_no_ejection_if_all_are_slow(self):
        assert not self.detector({"a": 9.0, "b": 9.0, "c": 9.0, "d": 9.0}).ejected

    def test_ejected_fraction_is_bounded(self):
        ratios = {f"t{i}": 1.0 if i < 6 else 50.0 for i in range(10)}
        assert len(self.detector(ratios).ejected) == 3

    def test_no_ejection_with_two_targets(self):
        assert not self.detector({"a": 1.0, "b": 9.0}).ejected

    def test_removed_targets_are_dropped(self):
        outliers = self.detector({"a": 1.0, "b": 1.0, "c": 9.0})
        outliers.retain(["a"])
        assert (list(outliers.ratios), outliers.ejected) == (["a"], {})


class TestServiceTimes:
    def test_unseen_size_is_scaled_from_nearest_class(self):
        times = ServiceTimes()
        assert times.estimate(work(units=4.0)).mean == 0.0
        times.record(work(units=4.0), 1.0)
        assert times.estimate(work(units=16.0)).mean == 4.0


class TestAdmission:
    def test_rate_is_per_account_and_table_is_bounded(self):
        admission = Admission(max_buckets=3)
        limits = Limits(requests_per_s=10.0, burst=2)
        for _ in range(2):
            admission.admit("a", "e", limits, 0.0)
        with pytest.raises(RequestError) as caught:
            admission.admit("a", "e", limits, 0.0)
        assert caught.value.retry_after_ms == 101
        admission.admit("a", "e", limits, 0.11)
        for number in range(9):
            admission.admit(f"invented-{number}", "e", limits, 0.2)
        assert len(admission.buckets) == 3
