"""Prompts with a part that crashes each engine which begins to answer them."""

import random
import zlib
from typing import NamedTuple

# Parts that sound and crashing prompts share; the last part belongs to the request.
SHARED_PARTS = ("5c1e", "5c1f", "91bd", "d04f")
# Fraction of prompts that hold the part while callers send it.
CRASHING_FRACTION = 0.5
# Permitted later than this after the fifth crash.
MAX_CRASHES, MAX_LATER_SENDS, NEWS_S = 5, 3, 3.0
# An engine that crashed is back after this time.
RESTART_S = 1.5


class Arrival(NamedTuple):
    """A prompt with the part that an engine begins to run."""

    request_id: str
    target_id: str
    at_s: float


class CrashingParts:
    """Which part crashes engines now, and which prompts with it reached them.

    Attributes
    ----------
    sent : str
        Part that callers send now; empty for none.
    prompts : dict of str to list of str
        Ids of the requests that were to hold a part, by part, in order.
    arrivals : dict of str to list of Arrival
        Prompts that reached engines, by part.
    crashes : dict of str to list of float
        When engines crashed, by part.
    """

    def __init__(self):
        self.sent = ""
        self.prompts: dict[str, list[str]] = {}
        self.arrivals: dict[str, list[Arrival]] = {}
        self.crashes: dict[str, list[float]] = {}

    def begin(self, part: str) -> None:
        """Let callers send a part from now on."""
        self.sent = part
        self.prompts[part], self.arrivals[part], self.crashes[part] = [], [], []

    def end(self, part: str) -> None:
        """Let callers send the part no longer."""
        if self.sent == part:
            self.sent = ""

    def draw_prompt(self, rng: random.Random, request_id: str) -> str:
        """Return the parts of a new prompt as its caller states them."""
        first, third = rng.sample(SHARED_PARTS, 2)
        own = f"{zlib.crc32(request_id.encode()):x}"
        parts = [first, third, own]
        if self.sent and rng.random() < CRASHING_FRACTION:
            self.prompts[self.sent].append(request_id)
            parts.insert(rng.choice((0, 1, 2)), self.sent)
        return ",".join(f"{part}:40" for part in parts)

    def crashing_part(self, prompt: str) -> str:
        """Return the part of a prompt that crashes an engine; empty for none."""
        parts = (entry.partition(":")[0] for entry in prompt.split(","))
        return next((part for part in parts if part in self.arrivals), "")

    def late_arrivals(self, part: str) -> list[Arrival]:
        """Return the prompts that reached engines though the part was to be known."""
        crashes = sorted(self.crashes[part])
        if len(crashes) < MAX_CRASHES:
            return []
        from_s = crashes[MAX_CRASHES - 1] + NEWS_S
        return [arrival for arrival in self.arrivals[part] if arrival.at_s > from_s]
