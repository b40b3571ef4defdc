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
        self.responses = []

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
        """Return the status, 0 if the response breaks off."""
        try:
            return (await self.send_prompt(FIRST, THIRD))[0]
        except aiohttp.ClientError:
            return 0

    async def serves_sound(self):
        return await self.send_sound() == 200

    def crashes(self):
        return sum(target.incarnation_number for target in self.targets)

    def runs(self):
        return sum(len(target.runs) for target in self.targets)

    async def send_repeatedly(self, times):
        """Send crashing prompts, with sound ones between them.

        Crashed targets restart before the next one, under new ids.
        """
        for _ in range(times):
            await self.send_crashing()
            await self.send_sound()
            await asyncio.sleep(PAUSE_S)
            await self.restart_targets()

    async def restart_targets(self):
        for target in self.targets:
            if not target.is_up:
                await target.restart()

    async def send_until(self, done):
        """Send crashing prompts from one more caller."""
        caller = len(self.responses)
        self.responses.append(0)
        while not done.is_set():
            await self.send_crashing()
            self.responses[caller] += 1
            await asyncio.sleep(PAUSE_S)

    async def restart_until(self, done):
        while not done.is_set():
            await asyncio.sleep(2 * PAUSE_S)
            await self.restart_targets()

    async def all_entries_know(self):
        """Return whether all entries have quarantined the part."""
        return all(
            entry.crashes.count_quarantined()[1] for entry in self.entries.values()
        )

    async def until_each_caller_sent_twice(self):
        """Wait until all that was in progress has ended, and more was sent."""
        before = tuple(self.responses)

        async def sent_twice():
            pairs = zip(before, self.responses, strict=True)
            return all(now >= then + 2 for then, now in pairs)

        await self.until(sent_twice)


def play(tmp_path, scenario):
    plain_fleet.play(CrashingFleet(tmp_path), scenario)


class TestCrashingPart:
    def test_crashed_targets_are_limited_over_all_entries(self, tmp_path):
        """No two of the prompts are alike."""

        async def scenario(fleet):
            await fleet.send_repeatedly(4 * ENTRIES)
            assert fleet.crashes() <= MAX_CRASHED + MAX_LATER_SENDS

        play(tmp_path, scenario)

    def test_is_refused_immediately_as_not_run(self, tmp_path):
        async def scenario(fleet):
            await fleet.send_repeatedly(2 * ENTRIES)
            runs = fleet.runs()
            for _ in range(ENTRIES):
                # A retry does not help, so the response has no Retry-After.
                prompt = fleet.send_prompt(FIRST, CRASHING, THIRD)
                assert await prompt == (503, None)
            assert fleet.runs() == runs

        play(tmp_path, scenario)

    def test_prompts_without_it_are_served(self, tmp_path):
        """They share their caller and all their other parts with the crashing ones."""

        async def scenario(fleet):
            await fleet.send_repeatedly(2 * ENTRIES)
            for _ in range(ENTRIES):
                assert await fleet.send_sound() == 200

        play(tmp_path, scenario)

    def test_prompts_at_the_same_time_crash_no_more_targets(self, tmp_path):
        """Once all entries know the part, only what was sent before may reach any."""

        async def scenario(fleet):
            done = asyncio.Event()
            callers = [fleet.send_until(done) for _ in range(4)]
            sending = asyncio.gather(fleet.restart_until(done), *callers)
            await fleet.until(fleet.all_entries_know)
            await fleet.until_each_caller_sent_twice()
            runs = fleet.runs()
            await fleet.until_each_caller_sent_twice()
            assert fleet.runs() == runs
            done.set()
            await sending
            assert await fleet.send_sound() == 200

        play(tmp_path, scenario)

    def test_many_targets_that_end_for_other_reasons_quarantine_nothing(self, tmp_path):
        """All are lost at once, and some one after the other, with prompts waiting."""

        async def scenario(fleet):
            for target in fleet.targets:
                target.service_time_s = 0.3
            for lost in (fleet.targets, fleet.targets[:3], fleet.targets[3:6]):
                sends = [
                    asyncio.create_task(fleet.send_sound()) for _ in range(TARGETS)
                ]
                await asyncio.sleep(0.1)
                for target in lost:
                    await target.crash()
                await asyncio.gather(*sends)
                for target in lost:
                    await target.restart()
            for _ in range(ENTRIES):
                await fleet.until(fleet.serves_sound)
            for entry in fleet.entries.values():
                assert not entry.crashes.suspects.quarantined()

        play(tmp_path, scenario)


class TestQuarantineIsKept:
    def test_over_a_restart_of_all_instances(self, tmp_path):
        async def scenario(fleet):
            await fleet.send_repeatedly(2 * ENTRIES)
            await fleet.stop_services()
            await fleet.start_control()
            for number in range(ENTRIES):
                await fleet.start_entry(number)
                await fleet.until(lambda number=number: fleet.serves(number))
            runs = fleet.runs()
            for _ in range(ENTRIES):
                assert await fleet.send_crashing() == 503
            assert fleet.runs() == runs

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
