"""Fair queue over client accounts and sizes, with strict priorities."""

from collections import deque
from collections.abc import Iterator
from typing import NamedTuple

from wisteriapulley.policy.work import Work, size_class

# Minimum cost: work of unknown length must still be charged to its account.
MIN_COST_S = 0.001


class Item(NamedTuple):
    """Queued work and its expected seconds."""

    work: Work
    cost_s: float


class FairShare:
    """Virtual time of one member of a fair queue.

    Start-time fair queueing: the member with the lowest tag is served next, and its
    tag grows by the cost of what was served.
    """

    def __init__(self, tag: float):
        self.tag = tag
        self.cost_s = 0.0


class SizeFlow(FairShare):
    """Queued work of one account and size class, in order of arrival."""

    def __init__(self, tag: float):
        super().__init__(tag)
        self.items: deque[Item] = deque()


class AccountFlow(FairShare):
    """Queued work of one account, by size class."""

    def __init__(self, tag: float):
        super().__init__(tag)
        self.sizes: dict[int, SizeFlow] = {}
        self.virtual_s = 0.0


class FairQueue:
    """Fair queue of one priority.

    Accounts get equal target time while they have work queued, and within an
    account so do its size classes. Otherwise an account that sends ten times its
    fair share makes all others wait for its queue, and short requests wait for long
    ones: one long request takes the time of twenty short ones.
    """

    def __init__(self):
        self.accounts: dict[str, AccountFlow] = {}
        self.virtual_s = 0.0
        self.cost_s = 0.0
        self.length = 0
        # Tags of accounts whose queue emptied while their tag was ahead, so that an
        # account gains nothing by leaving the queue and joining it again.
        self.idle_tags: dict[str, float] = {}

    def __len__(self) -> int:
        return self.length

    def push(self, work: Work, cost_s: float) -> None:
        """Add work."""
        item = Item(work, max(MIN_COST_S, cost_s))
        flow = self.accounts.get(work.account)
        if flow is None:
            tag = max(self.virtual_s, self.idle_tags.pop(work.account, 0.0))
            flow = self.accounts[work.account] = AccountFlow(tag)
        class_index = size_class(work.units)
        size = flow.sizes.get(class_index)
        if size is None:
            size = flow.sizes[class_index] = SizeFlow(flow.virtual_s)
        size.items.append(item)
        self.update_totals(flow, size, item.cost_s, 1)

    def update_totals(
        self, flow: AccountFlow, size: SizeFlow, cost_s: float, items: int
    ) -> None:
        """Add or remove items and cost in all totals."""
        size.cost_s += cost_s
        flow.cost_s += cost_s
        self.cost_s += cost_s
        self.length += items

    def pop(self) -> Work:
        """Remove and return the next work: lowest account tag, then lowest size tag."""
        account, flow = min(self.accounts.items(), key=lambda pair: pair[1].tag)
        class_index, size = min(flow.sizes.items(), key=lambda pair: pair[1].tag)
        item = size.items.popleft()
        self.virtual_s, flow.virtual_s = flow.tag, size.tag
        flow.tag += item.cost_s
        size.tag += item.cost_s
        self.remove_item(account, class_index, item)
        return item.work

    def remove_item(self, account: str, class_index: int, item: Item) -> None:
        """Subtract an item from the totals, and drop flows that became empty."""
        flow = self.accounts[account]
        size = flow.sizes[class_index]
        self.update_totals(flow, size, -item.cost_s, -1)
        if not size.items:
            del flow.sizes[class_index]
        if not flow.sizes:
            del self.accounts[account]
            self.save_tag(account, flow.tag)

    def save_tag(self, account: str, tag: float) -> None:
        """Save the tag of an account that became empty; drop tags that fell behind."""
        if len(self.idle_tags) > 2 * len(self.accounts) + 64:
            self.idle_tags = {
                a: t for a, t in self.idle_tags.items() if t > self.virtual_s
            }
        self.idle_tags[account] = tag

    def remove(self, work: Work) -> bool:
        """Remove work whose caller gave up; its account is not charged."""
        class_index = size_class(work.units)
        flow = self.accounts.get(work.account)
        size = flow.sizes.get(class_index) if flow is not None else None
        for position, item in enumerate(size.items if size is not None else ()):
            if item.work.id == work.id:
                del size.items[position]
                self.remove_item(work.account, class_index, item)
                return True
        return False

    def ahead_s(self, work: Work, cost_s: float) -> float:
        """Return the seconds of target time that would run before `work`.

        With fair sharing, no other size class and no other account runs more than this
        account's own queue, including the new work.
        """
        class_index = size_class(work.units)
        flow = self.accounts.get(work.account)
        sizes = flow.sizes if flow is not None else {}
        own_s = sizes[class_index].cost_s if class_index in sizes else 0.0
        turn_s = own_s + cost_s
        for other, size in sizes.items():
            own_s += min(size.cost_s, turn_s) if other != class_index else 0.0
        turn_s = own_s + cost_s
        others = (f.cost_s for a, f in self.accounts.items() if a != work.account)
        return own_s + sum(min(cost, turn_s) for cost in others)


class PriorityQueue:
    """Fair queues by priority; a lower number always runs first.

    Priorities come from the catalogue, where operators decide which class may
    starve which; within one priority, accounts share fairly.
    """

    def __init__(self):
        self.levels: dict[int, FairQueue] = {}

    def __len__(self) -> int:
        return sum(level.length for level in self.levels.values())

    def push(self, work: Work, cost_s: float) -> None:
        """Add work."""
        self.levels.setdefault(work.priority, FairQueue()).push(work, cost_s)

    def pop(self) -> Work:
        """Remove and return the next work."""
        return next(self.nonempty_levels()).pop()

    def nonempty_levels(self) -> Iterator[FairQueue]:
        """Yield the non-empty levels, highest priority first."""
        for priority in sorted(self.levels):
            if self.levels[priority].length:
                yield self.levels[priority]

    def remove(self, work: Work) -> bool:
        """Remove work whose caller gave up."""
        level = self.levels.get(work.priority)
        return level is not None and level.remove(work)

    def ahead_s(self, work: Work, cost_s: float) -> float:
        """Return the seconds of target time that would run before `work`."""
        before = sum(
            level.cost_s
            for priority, level in self.levels.items()
            if priority < work.priority
        )
        level = self.levels.get(work.priority)
        return before + (level.ahead_s(work, cost_s) if level is not None else 0.0)
