"""Sizes of the prompts that the callers of one route send. Pure.

Whether a prompt is large depends on its route: the usual prompt of one route may be
longer than the longest of another. Each entry learns the sizes from the new requests
that it receives, whether they are served or not.
"""

import bisect
from collections import deque

# Prompts that are remembered, and fewest ones that tell what is large.
MAX_PROMPTS = 128
MIN_PROMPTS = 20
# A large prompt is one of the largest tenth, and a typical large one is in its middle.
LARGE_QUANTILE = 0.9
TYPICAL_LARGE_QUANTILE = 0.95


class PromptSizes:
    """Sizes of the last prompts of one route.

    Attributes
    ----------
    recent : deque of int
        Tokens of the last prompts, in the order of their arrival.
    ordered : list of int
        The same in ascending order.
    """

    def __init__(self):
        self.recent: deque[int] = deque()
        self.ordered: list[int] = []

    def record(self, prompt_tokens: int) -> None:
        """Record the prompt of a new request."""
        if len(self.recent) == MAX_PROMPTS:
            oldest = self.recent.popleft()
            del self.ordered[bisect.bisect_left(self.ordered, oldest)]
        self.recent.append(prompt_tokens)
        bisect.insort(self.ordered, prompt_tokens)

    def quantile(self, fraction: float) -> int:
        """Return the tokens that this fraction of prompts does not exceed.

        Returns
        -------
        int
            Tokens; 0 while too few prompts are known.
        """
        if len(self.ordered) < MIN_PROMPTS:
            return 0
        return self.ordered[int(fraction * (len(self.ordered) - 1))]

    @property
    def typical_large(self) -> int:
        """Tokens of a typical large prompt; 0 while too few prompts are known."""
        return self.quantile(TYPICAL_LARGE_QUANTILE)

    def is_large(self, prompt_tokens: int) -> bool:
        """Return whether a prompt is one of the largest tenth."""
        limit = self.quantile(LARGE_QUANTILE)
        return 0 < limit < prompt_tokens
