"""One request crashes each target that begins to run it, and comes again and again.

One control instance and three entries on loopback, with plain targets.
"""

import asyncio
import contextlib
import json

import aiohttp

from tests.fakes.plain import PlainTarget
from tests.fakes.platform import Origin, configuration
from tests.fleet import free_port
from tests.test_platform_path import KEY, PATIENCE_S, settings_file
from wisteriapulley.platform import names
from wisteriapulley.platform.daemons import new_control, new_entry

CRASHING = b"crashing body"
TARGETS = 12
ENTRIES = 3
# What the users allow: a request may end three targets, and three of its later
# sends may still reach one.
ENDED_MOST = 3
LATER_SENDS = 3
# Between two attempts of a caller: news between entries take some milliseconds.
PAUSE_S = 0.3
ROUTE = {
    "name": "r-plain",
    "host": "plain.example",
    "path-prefix": "/p/",
    "kind": "idempotent",
    "timeout-ms": 6000,
    "target-latency-ms": 2000,
    "priority": 1,
    "service": "plain",
    "attempts": 2,
    "public": False,
}
SERVICE = {"name": "plain", "health-check-path": "/health", "max-connections": 100}


class Fleet:
    """A control instance, entries on hosts of their own, and targets."""

    def __init__(self, folder, targets=TARGETS):
        self.folder = folder
        self.base = free_port()
        self.targets = [PlainTarget(n, {CRASHING}) for n in range(targets)]
        self.services = []
        self.entries = {}
        self.sequence = 0

    async def start(self):
        (self.folder / "key").write_text(KEY)
        for target in self.targets:
            await target.start()
        self.session = aiohttp.ClientSession()
        self.control = await self.start_service(new_control, "127.0.0.1")
        for number in range(ENTRIES):
            await self.start_entry(number)
        self.beating = asyncio.create_task(self.beat_loop())
        table = configuration(1, Origin(), routes=[ROUTE], services=[SERVICE])
        await self.until(lambda: self.post(names.REPLACE_CALL, table))
        for number in range(ENTRIES):
            await self.until(lambda number=number: self.serves(number))

    async def start_service(self, make, host):
        folder = self.folder / host
        folder.mkdir(exist_ok=True)
        own = settings_file(str(folder), host, self.base)
        service = make(own, str(self.folder / "key"))
        service.fatal = asyncio.get_running_loop().create_future()
        await service.start()
        self.services.append(service)
        return service

    async def start_entry(self, number):
        host = f"127.0.0.{number + 2}"
        self.entries[number] = await self.start_service(new_entry, host)

    async def stop_service(self, service):
        self.services.remove(service)
        await service.stop()

    async def stop_services(self):
        """Stop the entries together, since each waits for its callers, then control."""
        entries = [service for service in self.services if service != self.control]
        await asyncio.gather(*(self.stop_service(entry) for entry in entries))
        await self.stop_service(self.control)

    async def stop(self):
        self.beating.cancel()
        await self.session.close()
        await self.stop_services()
        for target in self.targets:
            await target.stop()

    async def until(self, check):
        """Wait for a condition, however long a busy machine takes."""
        async with asyncio.timeout(PATIENCE_S):
            while not await check():
                await asyncio.sleep(0.02)

    async def post(self, path, body):
        url = f"http://127.0.0.1:{self.base + 10}{path}"
        async with self.session.post(url, data=body) as answer:
            return answer.status == 200

    async def beat_loop(self):
        while True:
            self.sequence += 1
            with contextlib.suppress(aiohttp.ClientError):
                for target in self.targets:
                    await self.beat(target)
            await asyncio.sleep(0.2)

    async def beat(self, target):
        if not target.is_up:
            return
        beat = {
            "service": "plain",
            "address": target.address,
            "zone": "palermo",
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "cold-remaining-ms": 0,
            "sequence": self.sequence,
        }
        path = names.HEARTBEAT_CALL.format(target_id=target.target_id)
        await self.post(path, json.dumps(beat).encode())

    async def ask(self, number, body, path="/p/x", key="key-1"):
        """Send a request to an entry; return the status and when to come back."""
        url = f"http://127.0.0.{number + 2}:{self.base + 8}{path}"
        headers = {
            "Host": "plain.example",
            "X-Request-Attempt-Id": f"id-{number}-{body.decode()}",
            "X-Deadline-Ms": "5000",
            "Authorization": f"Bearer {key}",
        }
        async with self.session.post(url, data=body, headers=headers) as answer:
            await answer.read()
            return answer.status, answer.headers.get("Retry-After")

    async def serves(self, number):
        try:
            return (await self.ask(number, b"first"))[0] == 200
        except aiohttp.ClientError:
            return False

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


def play(tmp_path, scenario, **options):
    async def run():
        fleet = Fleet(tmp_path, **options)
        try:
            await fleet.start()
            await scenario(fleet)
        finally:
            await fleet.stop()

    asyncio.run(run())


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
            await fleet.ask(0, CRASHING)
            await fleet.ask(0, CRASHING)
            ended = fleet.ended()
            fleet.control = await fleet.start_service(new_control, "127.0.0.1")

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
            fleet.control = await fleet.start_service(new_control, "127.0.0.1")
            for number in range(ENTRIES):
                await fleet.start_entry(number)
                await fleet.until(lambda number=number: fleet.serves(number))
                assert (await fleet.ask(number, CRASHING))[0] == 503
            assert fleet.ended() == ended

        play(tmp_path, scenario)
