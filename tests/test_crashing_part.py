"""A part of prompts crashes each target that begins to answer a prompt with it."""

import asyncio

import aiohttp

from tests import plain_fleet
from tests.fakes.plain import StreamTarget, UnframedResponse
from tests.plain_fleet import ENTRIES, Fleet

CRASHING = "bad0"
FIRST, THIRD = "5c1e", "d04f"
TARGETS = 12
# Permitted to all requests with the part together: five targets, and three more sends.
MAX_CRASHED = 5
MAX_LATER_SENDS = 3
# Between two requests: updates between entries take some milliseconds.
PAUSE_S = 0.3
ROUTE = {**plain_fleet.ROUTE, "kind": "streaming", "stream-resumption": True}


class CrashingFleet(Fleet):
    """A fleet whose targets are crashed by prompts with one part, no two alike.

    Sound prompts share all other parts with them but the last one.
    """

    def __init__(self, folder):
        targets = [StreamTarget(n, {CRASHING}) for n in range(TARGETS)]
        super().__init__(folder, targets, ROUTE)
        self.prompts = 0

    async def send_prompt(self, *parts):
        """Send a new prompt to the next entry; return the status and Retry-After."""
        self.prompts += 1
        own = f"e{self.prompts:x}"
        text = ",".join(f"{part}:40" for part in (*parts, own))
        return await self.send(self.prompts % ENTRIES, own.encode(), parts=text)

    async def send_crashing(self):
        """Return the status, 0 if the response breaks off."""
        try:
            return (await self.send_prompt(FIRST, CRASHING, THIRD))[0]
        except aiohttp.ClientError:
            return 0

    async def send_sound(self):
        return (await self.send_prompt(FIRST, THIRD))[0]

    def crashes(self):
        return sum(target.incarnation_number for target in self.targets)

    async def send_repeatedly(self, times):
        """Send crashing prompts, with sound ones between them.

        Crashed targets restart before the next one, under new ids.
        """
        for _ in range(times):
            await self.send_crashing()
            await self.send_sound()
            await asyncio.sleep(PAUSE_S)
            for target in self.targets:
                if not target.is_up:
                    await target.restart()


def play(tmp_path, scenario):
    plain_fleet.play(CrashingFleet(tmp_path), scenario)


class TestCrashingPart:
    def test_crashed_targets_are_limited_over_all_entries(self, tmp_path):
        """No two of the prompts are alike."""

        async def scenario(fleet):
            await fleet.send_repeatedly(4 * ENTRIES)
            assert fleet.crashes() <= MAX_CRASHED + MAX_LATER_SENDS

        play(tmp_path, scenario)


class TestUnframedResponse:
    """It ends with its connection, and so it does if its target crashes."""

    def test_cut_by_a_crash_is_not_passed_on_as_whole(self, tmp_path):
        async def scenario(fleet):
            for target in fleet.targets:
                target.response_class = UnframedResponse
            assert await fleet.send_sound() == 200
            assert await fleet.send_crashing() != 200

        play(tmp_path, scenario)
