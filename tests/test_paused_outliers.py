"""Outlier detection at an entry of its own interface, when a target stands still."""

import itertools

import pytest

from wisteriapulley.policy import Scheduler, TargetView
from wisteriapulley.policy.outliers import MIN_PROBE_BACKOFF_S
from wisteriapulley.policy.work import Work

WORK_S = 0.1
IN_FLIGHT = 12
STEP_S = 0.1


class NextTarget:
    """Places requests at the targets in turn."""

    def __init__(self):
        self.number = itertools.count()

    def pick(self, targets, work):
        return targets[next(self.number) % len(targets)].node_id


class Entry:
    """A scheduler with four targets; `a` may take longer than the others."""

    def __init__(self):
        self.scheduler = Scheduler(NextTarget())
        self.ids = itertools.count()
        self.targets = [TargetView(name, 0) for name in "abcd"]
        for start in range(20):
            self.ask(start / 10, lambda node_id: WORK_S)

    def start(self, now_s):
        number = next(self.ids)
        work = Work(number, "account", "kind", 0, 1.0, now_s + 100.0)
        return number, self.scheduler.submit(work, self.targets, 100, now_s)

    def ask(self, now_s, duration_s):
        """Serve one request; return its target."""
        number, node_id = self.start(now_s)
        self.scheduler.finish(number, True, now_s + duration_s(node_id))
        return node_id

    def pause(self, now_s, pause_s):
        """Let `a` stand still with requests in flight; return when they ended."""
        begun = [self.start(now_s) for _ in range(4 * IN_FLIGHT)]
        for number, node_id in begun:
            if node_id != "a":
                self.scheduler.finish(number, True, now_s + WORK_S)
        for step in range(1, round(pause_s / STEP_S) + 1):
            self.scheduler.record_overdue(now_s + step * STEP_S)
        ended_s = now_s + pause_s + WORK_S
        for number, node_id in begun:
            if node_id == "a":
                self.scheduler.finish(number, True, ended_s)
        return ended_s


@pytest.mark.parametrize("pause_s", [1.0, 2.5])
def test_target_that_stood_still_is_back_soon(pause_s):
    entry = Entry()
    now_s = entry.pause(10.0, pause_s)
    asked = [entry.ask(now_s + n * STEP_S, lambda node_id: WORK_S) for n in range(10)]
    assert "a" not in entry.scheduler.outliers.ejected
    assert asked.count("a") >= 2


def test_slow_target_gets_one_probe_more():
    entry = Entry()
    now_s = entry.pause(10.0, 1.0)

    def slow(node_id):
        return 1.0 if node_id == "a" else WORK_S

    asked = [entry.ask(now_s + n * STEP_S, slow) for n in range(40)]
    assert asked.count("a") == 1
    assert "a" in entry.scheduler.outliers.ejected
    assert entry.scheduler.outliers.ejected["a"].backoff_s == MIN_PROBE_BACKOFF_S


def test_target_that_stays_silent_is_not_probed_sooner():
    entry = Entry()
    for _ in range(4 * IN_FLIGHT):
        entry.start(10.0)
    for step in range(1, 40):
        entry.scheduler.record_overdue(10.0 + step * STEP_S)
        assert entry.scheduler.outliers.next_probe(10.0 + step * STEP_S) is None
