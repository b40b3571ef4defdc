"""Queue of the requests that wait for a slot: by priority, then by arrival. Pure."""

import heapq
from collections.abc import Callable, Iterator

from wisteriapulley.policy.slot_requests import QueuedRequest, SlotRequest


class SlotQueue:
    """Requests that wait for a slot of one engine.

    Attributes
    ----------
    heap : list of QueuedRequest
        The queued requests; the next one is first, the others are in heap order.
    """

    def __init__(self):
        self.heap: list[QueuedRequest] = []
        self.last_sequence = 0

    def __len__(self) -> int:
        return len(self.heap)

    def __iter__(self) -> Iterator[QueuedRequest]:
        return iter(self.heap)

    @property
    def first(self) -> QueuedRequest:
        """The request that is next."""
        return self.heap[0]

    def push(self, request: SlotRequest, rank: int, expires_ms: float) -> None:
        """Queue a request until it can't begin in time any more.

        `rank` is its priority in the queue.
        """
        self.last_sequence += 1
        queued = QueuedRequest(rank, self.last_sequence, request, expires_ms)
        heapq.heappush(self.heap, queued)

    def pop(self) -> QueuedRequest:
        """Remove and return the request that is next."""
        return heapq.heappop(self.heap)

    def remove(self, unwanted: Callable[[QueuedRequest], bool]) -> list[QueuedRequest]:
        """Remove and return the requests that a function selects."""
        removed = [queued for queued in self.heap if unwanted(queued)]
        if removed:
            sequences = {queued.sequence for queued in removed}
            self.heap = [q for q in self.heap if q.sequence not in sequences]
            heapq.heapify(self.heap)
        return removed

    def ahead_of(self, priority: int) -> int:
        """Return how many requests go before a new one of this priority."""
        return sum(queued.priority <= priority for queued in self.heap)

    def has_raised(self, priority: int) -> bool:
        """Return whether a request of this priority is queued before its class."""
        return any(
            queued.priority < queued.request.priority == priority
            for queued in self.heap
        )

    def prompt_tokens(self) -> int:
        """Return the tokens of all queued prompts."""
        return sum(queued.request.prompt_tokens for queued in self.heap)
