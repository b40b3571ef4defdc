"""Weighted fair queue over client accounts, strict over priorities."""

import heapq
import itertools
from collections.abc import Iterator
from typing import NamedTuple

from wisteriapulley.policy.work import Work

# Within an account a request gives way to one that came up to this many times
# its own length later but is shorter: short work doesn't wait behind long work,
# and long work still gets its turn (the stretch of both stays bounded).
STRETCH = 4.0
# Work of unknown length still costs its account something.
LEAST_COST_S = 0.001


class Item(NamedTuple):
    """Queued work with its expected seconds; ordered by `key`."""

    key: float
    number: int
    work: Work
    cost_s: float


class Flow:
    """Queued work of one account, in the order it is to run."""

    def __init__(self, tag: float):
        self.items: list[Item] = []
        self.tag = tag
        self.cost_s = 0.0


class FairQueue:
    """Start-time fair queue of one priority.

    Each account gets the same share of target time while it has work queued.
    Harm prevented: an account at ten times its share filling the queue, and
    every other account waiting behind it.
    """

    def __init__(self):
        self.flows: dict[str, Flow] = {}
        self.virtual_s = 0.0
        self.cost_s = 0.0
        self.numbers = itertools.count()
        # Where flows that emptied had come to, so that leaving and coming back
        # earns nothing; only those ahead of the virtual time matter.
        self.tags: dict[str, float] = {}

    def __len__(self) -> int:
        return sum(len(flow.items) for flow in self.flows.values())

    def push(self, work: Work, cost_s: float, now_s: float) -> None:
        """Queue work."""
        cost_s = max(LEAST_COST_S, cost_s)
        flow = self.flows.get(work.account)
        if flow is None:
            tag = max(self.virtual_s, self.tags.pop(work.account, 0.0))
            flow = self.flows[work.account] = Flow(tag)
        key = now_s + STRETCH * cost_s
        heapq.heappush(flow.items, Item(key, next(self.numbers), work, cost_s))
        flow.cost_s += cost_s
        self.cost_s += cost_s

    def pop(self) -> Work:
        """Take the next work: of the account that has had least."""
        account, flow = min(self.flows.items(), key=lambda pair: pair[1].tag)
        item = heapq.heappop(flow.items)
        self.virtual_s = flow.tag
        flow.tag += item.cost_s
        self.take_out(account, flow, item)
        return item.work

    def take_out(self, account: str, flow: Flow, item: Item) -> None:
        """Count an item out, and drop its flow when it was the last."""
        flow.cost_s -= item.cost_s
        self.cost_s -= item.cost_s
        if not flow.items:
            del self.flows[account]
            self.remember(account, flow.tag)

    def remember(self, account: str, tag: float) -> None:
        """Keep the tag of a flow that emptied while it is ahead."""
        if len(self.tags) > 2 * len(self.flows) + 64:
            self.tags = {a: t for a, t in self.tags.items() if t > self.virtual_s}
        self.tags[account] = tag

    def remove(self, work: Work) -> bool:
        """Take out work whose caller gave up; it is charged nothing."""
        flow = self.flows.get(work.account)
        items = flow.items if flow is not None else []
        for position, item in enumerate(items):
            if item.work.id == work.id:
                items[position] = items[-1]
                items.pop()
                heapq.heapify(items)
                self.take_out(work.account, flow, item)
                return True
        return False

    def ahead_s(self, work: Work, cost_s: float) -> float:
        """Return the seconds of target time that would run before `work`.

        Fair turns: of each other account no more than this account has queued
        itself, counting the new work.
        """
        own = self.flows.get(work.account)
        own_s = own.cost_s if own is not None else 0.0
        turn_s = own_s + cost_s
        others = (f.cost_s for a, f in self.flows.items() if a != work.account)
        return own_s + sum(min(cost, turn_s) for cost in others)


class PriorityQueue:
    """Fair queues by priority; a lower number always runs first.

    Priorities come from the catalogue, whose operators thereby say which class
    may starve which; within one, accounts share fairly.
    """

    def __init__(self):
        self.levels: dict[int, FairQueue] = {}

    def __len__(self) -> int:
        return sum(len(level) for level in self.levels.values())

    def push(self, work: Work, cost_s: float, now_s: float) -> None:
        """Queue work."""
        level = self.levels.setdefault(work.priority, FairQueue())
        level.push(work, cost_s, now_s)

    def pop(self) -> Work:
        """Take the next work."""
        return next(self.busy()).pop()

    def busy(self) -> Iterator[FairQueue]:
        """Yield the levels with work, first the one that runs first."""
        for priority in sorted(self.levels):
            if self.levels[priority].flows:
                yield self.levels[priority]

    def remove(self, work: Work) -> bool:
        """Take out work whose caller gave up."""
        level = self.levels.get(work.priority)
        return level is not None and level.remove(work)

    def ahead_s(self, work: Work, cost_s: float) -> float:
        """Return the seconds of target time that would run before `work`."""
        before = sum(
            level.cost_s
            for number, level in self.levels.items()
            if number < work.priority
        )
        level = self.levels.get(work.priority)
        return before + (level.ahead_s(work, cost_s) if level is not None else 0.0)
