"""Fixture: a control instance and three entries on loopback, with plain targets."""

import asyncio
import contextlib
import json

import aiohttp

from tests.fakes.platform import Origin, configuration
from tests.fleet import free_hosts, free_port
from tests.test_platform_path import KEY, MAX_WAIT_S, settings_file
from wisteriapulley.platform import names
from wisteriapulley.platform.daemons import new_control, new_entry

ENTRIES = 3
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
    """A control instance and entries, each on a host of its own, and targets."""

    def __init__(self, folder, targets, route=ROUTE):
        self.folder = folder
        self.route = route
        self.control_host, *self.entry_hosts = free_hosts(1 + ENTRIES)
        self.base = free_port()
        self.targets = targets
        self.services = []
        self.service = SERVICE
        self.cold_ms = 0
        self.entries = {}
        self.sequence = 0

    async def start(self):
        (self.folder / "key").write_text(KEY)
        for target in self.targets:
            await target.start()
        self.session = aiohttp.ClientSession()
        await self.start_control()
        for number in range(ENTRIES):
            await self.start_entry(number)
        self.heartbeat_task = asyncio.create_task(self.heartbeat_loop())
        table = configuration(1, Origin(), routes=[self.route], services=[self.service])
        await self.until(lambda: self.post(names.REPLACE_CALL, table))
        for number in range(ENTRIES):
            await self.until(lambda number=number: self.serves(number))

    async def start_service(self, make, host):
        folder = self.folder / host
        folder.mkdir(exist_ok=True)
        own = settings_file(str(folder), host, self.base, seed=self.control_host)
        service = make(own, str(self.folder / "key"))
        service.fatal = asyncio.get_running_loop().create_future()
        await service.start()
        self.services.append(service)
        return service

    async def start_control(self):
        self.control = await self.start_service(new_control, self.control_host)

    async def start_entry(self, number):
        host = self.entry_hosts[number]
        self.entries[number] = await self.start_service(new_entry, host)

    async def stop_service(self, service):
        self.services.remove(service)
        await service.stop()

    async def stop_services(self):
        """Stop all entries at once, since each drains, then the control instance."""
        entries = [service for service in self.services if service != self.control]
        await asyncio.gather(*(self.stop_service(entry) for entry in entries))
        # A test may have stopped the control instance already.
        for service in tuple(self.services):
            await self.stop_service(service)

    async def stop(self):
        self.heartbeat_task.cancel()
        await self.session.close()
        await self.stop_services()
        for target in self.targets:
            await target.stop()

    async def until(self, check):
        """Wait for a condition, with a timeout for a busy machine."""
        async with asyncio.timeout(MAX_WAIT_S):
            while not await check():
                await asyncio.sleep(0.02)

    async def post(self, path, body):
        url = f"http://{self.control_host}:{self.base + 10}{path}"
        async with self.session.post(url, data=body) as answer:
            return answer.status == 200

    async def heartbeat_loop(self):
        while True:
            self.sequence += 1
            with contextlib.suppress(aiohttp.ClientError):
                for target in self.targets:
                    await self.send_heartbeat(target)
            await asyncio.sleep(0.2)

    async def send_heartbeat(self, target):
        if not target.is_up:
            return
        heartbeat = {
            "service": "plain",
            "address": target.address,
            "zone": "palermo",
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "cold-remaining-ms": self.cold_ms,
            "sequence": self.sequence,
        }
        path = names.HEARTBEAT_CALL.format(target_id=target.target_id)
        await self.post(path, json.dumps(heartbeat).encode())

    async def send(self, number, body, path="/p/x", key="key-1", parts=""):
        """Send a request to an entry; return the status and the Retry-After header.

        `parts` are the parts of its prompt, as its caller states them.
        """
        url = f"http://{self.entry_hosts[number]}:{self.base + 8}{path}"
        headers = {
            "Host": "plain.example",
            "X-Request-Attempt-Id": f"id-{number}-{body.decode()}",
            "X-Deadline-Ms": "5000",
            "Authorization": f"Bearer {key}",
            "X-Prompt-Prefix": parts,
        }
        async with self.session.post(url, data=body, headers=headers) as answer:
            await answer.read()
            return answer.status, answer.headers.get("Retry-After")

    async def serves(self, number):
        try:
            return (await self.send(number, b"first"))[0] == 200
        except aiohttp.ClientError:
            return False


def play(fleet, scenario):
    async def run():
        try:
            await fleet.start()
            await scenario(fleet)
        finally:
            await fleet.stop()

    asyncio.run(run())
