"""Engines that stand still as their version of the weights ends.

The programs run as processes. The engines ignore closed connections.
"""

import asyncio
import os
from contextlib import suppress
from pathlib import Path

import aiohttp
import msgspec

from tests.fakes.platform import EVENT_STREAM, Engine, Origin, configuration, is_overdue
from tests.fleet import ROOT, Process, free_hosts, free_port
from tests.test_platform_path import PlatformFleet, settings_file
from wisteriapulley.platform import names

SITE_PACKAGES = str(Path(msgspec.__file__).resolve().parent.parent)
VERSION_S = 4.0
# What an engine has served before the version is replaced.
SERVED = 10
# How often callers ask, and until when after the end.
ASK_INTERVAL_S = 0.04
ASKED_AFTER_S = 0.5
READING_STEP_S = 0.02


class SlowEngine(Engine):
    """Begins requests after it has read their prompts, whether callers wait or not.

    Parameters
    ----------
    silent_s, before_s : float
        How long it stands still, and from how long before the end of the version on.
    reading_s : float
        How long it reads prompts from shortly before that time on.

    Attributes
    ----------
    expired : int
        Requests that it had read and could not begin before their time limit.
    """

    def __init__(self, number, origin, silent_s, before_s, reading_s):
        super().__init__(origin, target_id=f"i-{number}")
        self.silent_s, self.before_s, self.slow_s = silent_s, before_s, reading_s
        self.reading_s = 0.0
        self.expired = 0

    async def serve(self, request):
        left_s = self.reading_s
        while left_s > 0:
            await asyncio.sleep(READING_STEP_S)
            await self.awake.wait()
            left_s -= READING_STEP_S
        self.expired += is_overdue(request)
        return await super().serve(request)

    async def pause(self, end_s):
        """Turn slow, and then stand still across the end of the version."""
        now_s = asyncio.get_running_loop().time()
        await asyncio.sleep(end_s - self.before_s - self.slow_s - now_s)
        self.reading_s = self.slow_s
        await asyncio.sleep(self.slow_s)
        await self.fall_silent(self.silent_s)


class ProcessFleet(PlatformFleet):
    """A control instance, an entry and sidecars as processes, and their engines."""

    def __init__(self, folder, *silences):
        super().__init__(folder, version_ms=int(VERSION_S * 1000))
        self.host, *self.engine_hosts = free_hosts(1 + len(silences))
        self.base = free_port()
        self.origin = Origin()
        self.engines = [
            SlowEngine(number, self.origin, *silence)
            for number, silence in enumerate(silences)
        ]
        self.processes = []

    def start_process(self, role, host, app=""):
        """Start a process as the deploy file does."""
        folder = self.folder / f"{role}-{host}"
        folder.mkdir()
        settings_file(
            str(folder),
            host,
            self.base,
            seed=self.host,
            app=app,
            version_ms=self.version_ms,
        )
        variables = {
            "WISTERIAPULLEY_CONFIG": str(folder / f"settings-{host}.toml"),
            "PYTHONPATH": os.pathsep.join([str(ROOT / "src"), SITE_PACKAGES]),
        }
        command = ["-S", "deploy/run.py", role]
        process = Process(role, command, folder / "log", variables)
        process.start()
        self.processes.append(process)

    async def start(self):
        await self.origin.start()
        self.start_process("control", self.host)
        self.start_process("entry", self.host)
        for engine, host in zip(self.engines, self.engine_hosts, strict=True):
            await engine.start(host)
            self.start_process("sidecar", host, engine.address)
        self.session = aiohttp.ClientSession()
        self.heartbeat_task = asyncio.create_task(self.heartbeat_loop())

    async def stop(self):
        self.heartbeat_task.cancel()
        await self.session.close()
        for process in self.processes:
            process.kill()
        for listener in (*self.engines, self.origin):
            await listener.stop()

    async def post(self, path, body):
        with suppress(aiohttp.ClientError):
            return await super().post(path, body)

    async def ask(self, **options):
        with suppress(aiohttp.ClientError):
            return await super().ask(**options)
        return 0, b"", {}

    async def heartbeat_loop(self):
        while True:
            for engine in self.engines:
                if engine.awake.is_set():
                    self.engine = engine
                    await self.send_heartbeat()
            await asyncio.sleep(0.2)

    async def serve_all(self):
        """Configure, and wait until each engine has served enough for an estimate."""
        table = configuration(3, self.origin)
        await self.post_until_accepted(names.REPLACE_CALL, table)

        async def all_serve():
            await self.ask()
            return all(len(engine.begun) > SERVED for engine in self.engines)

        await self.until(all_serve)

    async def end_version(self):
        """Name a version that never arrives; return when the old one ends."""
        self.origin.withheld_version = 2
        order = b'{"model":"model","version":2}'
        await self.post_until_accepted(names.WEIGHTS_CALL, order)
        return asyncio.get_running_loop().time() + VERSION_S


async def ask_until_after(fleet, end_s):
    """Ask until after the end of a version and of all silences; return the results."""
    loop = asyncio.get_running_loop()
    asked = []
    async with asyncio.TaskGroup() as group:
        pauses = [group.create_task(each.pause(end_s)) for each in fleet.engines]
        while loop.time() < end_s + ASKED_AFTER_S or not all(p.done() for p in pauses):
            asked.append(group.create_task(fleet.ask(id=f"q{len(asked)}")))
            await asyncio.sleep(ASK_INTERVAL_S)
    return [task.result() for task in asked]


def play(fleet):
    """Play the end of a version; return when it was, and what callers got."""

    async def run():
        try:
            await fleet.start()
            await fleet.serve_all()
            end_s = await fleet.end_version()
            return end_s, await ask_until_after(fleet, end_s)
        finally:
            await fleet.stop()

    return asyncio.run(run())


class TestBegunAfterVersionEnd:
    # Each goes on more than half a second after the end: how long it is silent, from
    # how long before the end on, and how long it reads prompts then.
    SILENCES = ((2.0, 1.3, 1.0), (2.7, 2.0, 0.6), (4.0, 3.2, 0.0))

    # On a busy machine engines may have read nothing shortly before the end.
    PLAYS = 3

    def test_requests_that_engines_had_read_do_not_begin_after_it(self, tmp_path):
        expired = 0
        for number in range(self.PLAYS):
            folder = tmp_path / str(number)
            folder.mkdir()
            fleet = ProcessFleet(folder, *self.SILENCES)
            end_s, _ = play(fleet)
            late = {each.target_id: late_begins(each, end_s) for each in fleet.engines}
            assert not any(late.values()), late
            expired = sum(engine.expired for engine in fleet.engines)
            if expired:
                break
        assert expired


def late_begins(engine, end_s):
    """Return how late requests began on a version that had ended."""
    return [
        round(at_s - end_s, 2)
        for at_s, version in engine.begun
        if version == 1 and at_s > end_s
    ]


class TestStreamsInProgress:
    # The engine goes on more than half a second before the end.
    SILENCE = (1.4, 2.0, 0.0)

    def test_streams_are_whole_if_their_engine_goes_on_before_the_end(self, tmp_path):
        fleet = ProcessFleet(tmp_path, self.SILENCE)
        (engine,) = fleet.engines
        engine.event_s = 0.03
        _, results = play(fleet)
        lost = sum(status == 0 for status, _, _ in results)
        assert lost == 0
        assert any(body == EVENT_STREAM for _, body, _ in results)
