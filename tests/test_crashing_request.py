"""One request crashes each target that begins to run it, and comes again and again."""

import asyncio

from tests import plain_fleet
from tests.fakes.plain import PlainTarget
from tests.plain_fleet import ENTRIES, Fleet

CRASHING = b"crashing body"
TARGETS = 12
# What the users allow: a request may end three targets, and three of its later
# sends may still reach one.
ENDED_MOST = 3
LATER_SENDS = 3
# Between two attempts of a caller: news between entries take some milliseconds.
PAUSE_S = 0.3


class CrashingFleet(Fleet):
    """A fleet whose targets one request crashes."""

    def __init__(self, folder):
        super().__init__(folder, [PlainTarget(n, {CRASHING}) for n in range(TARGETS)])

    def ended(self):
        """Count the targets that the request has ended."""
        return sum(target.runs.count(CRASHING) for target in self.targets)

    async def insist(self, times):
        """Send the crashing request at one entry after the other.

        Targets that ended are back before the next time, under other ids.
        """
        statuses = []
        for number in range(times):
            statuses.append((await self.ask(number % ENTRIES, CRASHING))[0])
            await asyncio.sleep(PAUSE_S)
            for target in self.targets:
                if not target.is_up:
                    await target.start_again()
        return statuses


def play(tmp_path, scenario):
    plain_fleet.play(CrashingFleet(tmp_path), scenario)


class TestCrashingRequest:
    def test_ends_no_target_after_another_at_every_entry(self, tmp_path):
        async def scenario(fleet):
            statuses = await fleet.insist(4 * ENTRIES)
            assert fleet.ended() <= ENDED_MOST + LATER_SENDS
            assert 200 not in statuses

        play(tmp_path, scenario)

    def test_is_refused_at_once_as_not_run(self, tmp_path):
        async def scenario(fleet):
            await fleet.insist(2 * ENTRIES)
            runs = [len(target.runs) for target in fleet.targets]
            for number in range(ENTRIES):
                # Coming back does not help, so no time to come back is named.
                assert await fleet.ask(number, CRASHING) == (503, None)
            assert [len(target.runs) for target in fleet.targets] == runs

        play(tmp_path, scenario)

    def test_leaves_all_other_requests_alone(self, tmp_path):
        async def scenario(fleet):
            await fleet.insist(2 * ENTRIES)
            for number in range(ENTRIES):
                for body in (b"other body", b""):
                    assert (await fleet.ask(number, body))[0] == 200

        play(tmp_path, scenario)

    def test_neighbours_are_served_while_targets_end(self, tmp_path):
        """Each target that ends runs other requests, which come again as they are."""

        async def scenario(fleet):
            for target in fleet.targets:
                target.work_s = 0.1
            done = asyncio.Event()

            async def neighbour(name):
                statuses = []
                while not done.is_set():
                    status, _ = await fleet.ask(len(statuses) % ENTRIES, name)
                    statuses.append(status)
                return statuses

            bodies = [b"neighbour %d" % number for number in range(8)]
            running = [asyncio.create_task(neighbour(body)) for body in bodies]
            await fleet.insist(3 * ENTRIES)
            done.set()
            for statuses in await asyncio.gather(*running):
                assert 503 not in statuses[-3:]
            for number in range(ENTRIES):
                for body in bodies:
                    assert (await fleet.ask(number, body))[0] == 200

        play(tmp_path, scenario)


class TestQuarantineLasts:
    def test_entry_that_starts_again_is_told(self, tmp_path):
        async def scenario(fleet):
            await fleet.insist(2 * ENTRIES)
            ended = fleet.ended()
            await fleet.stop_service(fleet.entries[0])
            await fleet.start_entry(0)
            await fleet.until(lambda: fleet.serves(0))
            assert (await fleet.ask(0, CRASHING))[0] == 503
            assert fleet.ended() == ended

        play(tmp_path, scenario)

    def test_control_instance_that_starts_again_is_told(self, tmp_path):
        """Its disk holds nothing yet of what entries tell."""

        async def scenario(fleet):
            await fleet.stop_service(fleet.control)
            # How many targets one attempt may take is the retry budget's affair.
            for _ in range(ENDED_MOST):
                await fleet.ask(0, CRASHING)
            ended = fleet.ended()
            assert ended >= ENDED_MOST
            await fleet.start_control()

            async def told():
                return bool(fleet.entries[1].crashes.suspects.quarantined())

            await fleet.until(told)
            assert (await fleet.ask(1, CRASHING))[0] == 503
            assert fleet.ended() == ended

        play(tmp_path, scenario)

    def test_survives_a_restart_of_all(self, tmp_path):
        async def scenario(fleet):
            await fleet.insist(2 * ENTRIES)
            ended = fleet.ended()
            await fleet.stop_services()
            await fleet.start_control()
            for number in range(ENTRIES):
                await fleet.start_entry(number)
                await fleet.until(lambda number=number: fleet.serves(number))
                assert (await fleet.ask(number, CRASHING))[0] == 503
            assert fleet.ended() == ended

        play(tmp_path, scenario)
