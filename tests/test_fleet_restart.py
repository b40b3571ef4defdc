"""Callers of kept connections lose nothing as a whole fleet is restarted.

Entries and control instances are processes, stopped one after the other as a platform
does: some overlap, and one is stopped again as soon as it listens.
"""

import asyncio
import itertools
from collections import Counter
from contextlib import suppress

import aiohttp
import pytest

from tests.fakes.raw_caller import RESET
from tests.fleet import free_hosts, free_port
from tests.test_stop_processes import new_process, until
from tests.test_streams_across_changes import (
    OK,
    UNAVAILABLE,
    ChangingEntry,
    Fleet,
)

MACHINES = 3
# What callers send: each write has one request or several.
WRITES = (
    (("stream", "8-0-0"),),
    (("stream", "10-5-1.4"),),
    (("plain", "0.02"), ("call", "0.02")),
    (("call", "0.8"),),
    (("stream", "5-2-0.9"), ("plain", "0.05"), ("once", "6-0-0")),
    (("once", "8-4-1.2"),),
    (("plain", "1.5"),),
)
CALLERS = 24


def set_seeds(folder, hosts, base):
    """Let a process follow the control instances on some hosts."""
    (path,) = folder.glob("*.toml")
    seeds = ", ".join(f'"{host}:{base + 10}"' for host in hosts)
    lines = path.read_text().splitlines()
    lines = [
        f"seed-nodes = [{seeds}]" if line.startswith("seed-nodes") else line
        for line in lines
    ]
    path.write_text("\n".join(lines).replace("machines = 0", "machines = 1"))


def cycle_from(items, number):
    """Return an endless iterator over some items that begins at one of them."""
    start = number % len(items)
    return itertools.cycle([*items[start:], *items[:start]])


class Machine:
    """A control instance and an entry on one host."""

    def __init__(self, number, folder, host, hosts, base):
        self.entry = ChangingEntry("restart", folder / f"e{number}", host, base, host)
        folder = folder / f"c{number}"
        folder.mkdir()
        self.control = new_process("control", folder, host, base, host)
        self.control.log = folder / "process.log"
        for each in (self.entry.folder, folder):
            set_seeds(each, hosts, base)
        self.processes = [self.control, self.entry.process]

    def start(self):
        for process in self.processes:
            process.start()

    async def restart_entry(self):
        await self.entry.stop()
        assert self.entry.status == 0
        self.entry.process.start()

    async def restart_control(self):
        assert not await asyncio.to_thread(self.control.terminate)
        self.control.start()

    async def listens(self):
        caller = self.entry.new_caller()
        with suppress(OSError):
            await caller.open()
            await caller.leave()
            return True
        return False


class RestartFleet(Fleet):
    """Machines of which any takes the calls of targets and of the operator."""

    def __init__(self, folder):
        self.hosts = free_hosts(MACHINES)
        self.base = free_port()
        super().__init__(folder / "unused", self.hosts[0], self.base)
        self.services = {"restart": "kept"}
        self.machines = [
            Machine(number, folder, host, self.hosts, self.base)
            for number, host in enumerate(self.hosts)
        ]
        self.callers = []
        self.count = 0
        self.is_ending = False

    async def post(self, path, body):
        """Call one control instance after the other until one acknowledges."""
        for host in self.hosts:
            url = f"http://{host}:{self.base + 10}{path}"
            with suppress(aiohttp.ClientError, TimeoutError):
                async with self.session.post(url, data=body) as answer:
                    if answer.status == OK:
                        return True
        return False

    async def open_caller(self, entries):
        """Return a caller at the next entry that accepts a connection."""
        for entry in entries:
            self.count += 1
            caller = entry.new_caller()
            caller.name = f"restart-{self.count}"
            try:
                await caller.open()
            except OSError:
                await asyncio.sleep(0.05)
                continue
            self.callers.append(caller)
            return caller

    async def send(self, number):
        """Send on one connection until it closes, or its entry turns it away."""
        turn = cycle_from([machine.entry for machine in self.machines], number)
        writes = cycle_from(WRITES, number)
        while not self.is_ending:
            caller = await self.open_caller(turn)
            while caller.is_open and not self.is_ending:
                caller.send(*itertools.starmap(caller.new_request, next(writes)))
                while not caller.is_answered:
                    await asyncio.sleep(0.01)
                if UNAVAILABLE in caller.statuses[-1:]:
                    break
            await caller.leave()

    async def restart_all(self):
        """One entry after the other, with a control instance of another machine."""
        first, second, third = self.machines
        await asyncio.gather(first.restart_entry(), second.restart_control())
        # Stopped again as soon as it listens, and the next one at the same time.
        await until(first.listens)
        await asyncio.gather(first.restart_entry(), self.restart_later(second))
        await asyncio.gather(
            third.restart_entry(), first.restart_control(), third.restart_control()
        )
        for machine in self.machines:
            await until(machine.entry.serves)

    async def restart_later(self, machine):
        await asyncio.sleep(1.0)
        await machine.restart_entry()


async def play(folder):
    fleet = RestartFleet(folder)
    processes = [each for machine in fleet.machines for each in machine.processes]
    targets = [target for target in fleet.targets if target.service == "kept"]
    fleet.targets = targets
    try:
        async with aiohttp.ClientSession() as fleet.session, asyncio.timeout(150.0):
            for target in targets:
                await target.start()
            for machine in fleet.machines:
                machine.start()
            beating = asyncio.create_task(fleet.heartbeat_loop())
            await fleet.configure()
            for machine in fleet.machines:
                await until(machine.entry.serves)
            async with asyncio.TaskGroup() as group:
                for number in range(CALLERS):
                    group.create_task(fleet.send(number))
                await asyncio.sleep(1.0)
                await fleet.restart_all()
                fleet.is_ending = True
            beating.cancel()
    finally:
        for process in processes:
            if process.popen is not None:
                process.kill()
        for target in targets:
            await target.stop()
    return fleet


@pytest.fixture(scope="module")
def fleet(tmp_path_factory):
    return asyncio.run(play(tmp_path_factory.mktemp("restart")))


class TestRestart:
    def test_what_was_passed_on_is_answered(self, fleet):
        for caller in fleet.callers:
            lost = fleet.ran.intersection(caller.unanswered)
            assert not lost, [caller.work[each] for each in lost]

    def test_what_was_read_is_answered(self, fleet):
        """A connection that ends with a reset was not read to the last byte."""
        for caller in fleet.callers:
            assert not caller.unanswered or caller.end == RESET

    def test_answers_are_whole_or_true_refusals(self, fleet):
        for caller in fleet.callers:
            answers = zip(caller.begun, caller.responses, strict=False)
            for request_id, response in answers:
                if response.status == OK:
                    assert caller.is_whole(request_id, response.body)
                else:
                    assert response.status == UNAVAILABLE
                    assert request_id not in fleet.ran

    def test_callers_are_served_throughout(self, fleet):
        statuses = Counter(each for caller in fleet.callers for each in caller.statuses)
        assert statuses[OK] > statuses[UNAVAILABLE]

    def test_nothing_is_in_progress_at_the_end_of_a_drain(self, fleet):
        for machine in fleet.machines:
            messages = Counter(line["message"] for line in machine.entry.log)
            assert messages["stopping"] > 0
            assert not messages["request in progress at the end of the drain"]
            assert not messages["connection closed before its end"]
