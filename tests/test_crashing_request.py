"""One request crashes each target that starts to run it, and is sent repeatedly."""

import asyncio

import aiohttp
import pytest

from tests import plain_fleet
from tests.fakes.plain import PlainTarget
from tests.plain_fleet import ENTRIES, Fleet
from tests.test_platform_path import MAX_WAIT_S

CRASHING = b"crashing body"
TARGETS = 12
# Permitted to a request: it may crash three targets, and at most three of its later
# sends may still reach a target.
MAX_CRASHED = 3
MAX_LATER_SENDS = 3
# Between two attempts of a caller: updates between entries take some milliseconds.
PAUSE_S = 0.3


class CrashingFleet(Fleet):
    """A fleet whose targets are crashed by one request."""

    def __init__(self, folder):
        super().__init__(folder, [PlainTarget(n, {CRASHING}) for n in range(TARGETS)])

    def crashed(self):
        """Count the targets that the request has crashed."""
        return sum(target.runs.count(CRASHING) for target in self.targets)

    async def send_repeatedly(self, times):
        """Send the crashing request to one entry after the other.

        Crashed targets restart before the next send, under new ids.
        """
        statuses = []
        for number in range(times):
            statuses.append((await self.send(number % ENTRIES, CRASHING))[0])
            await asyncio.sleep(PAUSE_S)
            for target in self.targets:
                if not target.is_up:
                    await target.restart()
        return statuses

    async def send_without_restarts(self, number, times):
        """Send the crashing request to one entry, whose targets stay crashed.

        They stay put aside however slow the machine is, so each send crashes at least
        one more; the retry budget limits how many. The draws of the entry would lead
        each send to the same targets.
        """
        entry = self.entries[number]
        entry.allocator.random.random = float
        for target in entry.registry.targets.values():
            target.backoff_s = MAX_WAIT_S
        for _ in range(times):
            await self.send(number, CRASHING)
            await asyncio.gather(*entry.crashes.checks)


def play(tmp_path, scenario):
    plain_fleet.play(CrashingFleet(tmp_path), scenario)


class TestCrash:
    def test_closes_idle_connections(self):
        """A crashed target runs no request that its caller sends over an old one."""

        async def run():
            target = PlainTarget(0, {CRASHING})
            await target.start()
            headers = {"X-Request-Attempt-Id": "id"}
            async with aiohttp.ClientSession(f"http://{target.address}") as session:

                async def send(body):
                    async with session.post("/", data=body, headers=headers) as answer:
                        return await answer.read()

                await asyncio.gather(send(b"one"), send(b"other"))
                with pytest.raises(aiohttp.ServerDisconnectedError):
                    await send(CRASHING)
                with pytest.raises(aiohttp.ClientConnectorError):
                    await send(b"one")
            await target.stop()
            assert sorted(target.runs) == [CRASHING, b"one", b"other"]

        asyncio.run(run())


class TestCrashingRequest:
    def test_crashed_targets_are_limited_over_all_entries(self, tmp_path):
        async def scenario(fleet):
            statuses = await fleet.send_repeatedly(4 * ENTRIES)
            assert fleet.crashed() <= MAX_CRASHED + MAX_LATER_SENDS
            assert 200 not in statuses

        play(tmp_path, scenario)

    def test_is_refused_immediately_as_not_run(self, tmp_path):
        async def scenario(fleet):
            await fleet.send_repeatedly(2 * ENTRIES)
            runs = [len(target.runs) for target in fleet.targets]
            for number in range(ENTRIES):
                # A retry does not help, so the response has no Retry-After.
                assert await fleet.send(number, CRASHING) == (503, None)
            assert [len(target.runs) for target in fleet.targets] == runs

        play(tmp_path, scenario)

    def test_other_requests_are_served(self, tmp_path):
        async def scenario(fleet):
            await fleet.send_repeatedly(2 * ENTRIES)
            for number in range(ENTRIES):
                for body in (b"other body", b""):
                    assert (await fleet.send(number, body))[0] == 200

        play(tmp_path, scenario)

    def test_concurrent_requests_are_served_while_targets_crash(self, tmp_path):
        """Each crashed target also runs other requests, which are retried unchanged."""

        async def scenario(fleet):
            for target in fleet.targets:
                target.service_time_s = 0.1
            done = asyncio.Event()

            async def neighbour(name):
                statuses = []
                while not done.is_set():
                    status, _ = await fleet.send(len(statuses) % ENTRIES, name)
                    statuses.append(status)
                return statuses

            bodies = [b"neighbour %d" % number for number in range(8)]
            running = [asyncio.create_task(neighbour(body)) for body in bodies]
            await fleet.send_repeatedly(3 * ENTRIES)
            done.set()
            for statuses in await asyncio.gather(*running):
                assert 503 not in statuses[-3:]
            for number in range(ENTRIES):
                for body in bodies:
                    assert (await fleet.send(number, body))[0] == 200

        play(tmp_path, scenario)


class TestQuarantineIsKept:
    def test_restarted_entry_receives_it(self, tmp_path):
        async def scenario(fleet):
            await fleet.send_repeatedly(2 * ENTRIES)
            crashed = fleet.crashed()
            await fleet.stop_service(fleet.entries[0])
            await fleet.start_entry(0)
            await fleet.until(lambda: fleet.serves(0))
            assert (await fleet.send(0, CRASHING))[0] == 503
            assert fleet.crashed() == crashed

        play(tmp_path, scenario)

    def test_restarted_control_instance_receives_it(self, tmp_path):
        """Its disk does not contain the reports of the entries yet."""

        async def scenario(fleet):
            await fleet.stop_service(fleet.control)
            await fleet.send_without_restarts(0, MAX_CRASHED)
            crashed = fleet.crashed()
            assert crashed >= MAX_CRASHED
            await fleet.start_control()

            async def received():
                return bool(fleet.entries[1].crashes.suspects.quarantined())

            await fleet.until(received)
            assert (await fleet.send(1, CRASHING))[0] == 503
            assert fleet.crashed() == crashed

        play(tmp_path, scenario)

    def test_survives_a_restart_of_all_instances(self, tmp_path):
        async def scenario(fleet):
            await fleet.send_repeatedly(2 * ENTRIES)
            crashed = fleet.crashed()
            await fleet.stop_services()
            await fleet.start_control()
            for number in range(ENTRIES):
                await fleet.start_entry(number)
                await fleet.until(lambda number=number: fleet.serves(number))
                assert (await fleet.send(number, CRASHING))[0] == 503
            assert fleet.crashed() == crashed

        play(tmp_path, scenario)
