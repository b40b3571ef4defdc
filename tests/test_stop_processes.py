"""Entries as processes that get stop signals while requests are on their way in."""

import asyncio
import json
import os
import signal
from contextlib import suppress
from functools import partial
from pathlib import Path

import aiohttp
import msgspec
import pytest
from aiohttp import web

from tests.fakes.plain import PlainTarget
from tests.fakes.platform import Origin, configuration
from tests.fakes.raw_caller import CLOSED, RawCaller, Request
from tests.fleet import ROOT, Process, free_hosts, free_port
from tests.plain_fleet import ROUTE, SERVICE
from tests.test_platform_path import settings_file
from wisteriapulley.platform import names

SITE_PACKAGES = str(Path(msgspec.__file__).resolve().parent.parent)
MAX_WAIT_S = 60.0
# The platform kills a process that has not ended by then.
GRACE_S = 8.0
# A stream ends after the close of idle connections, which comes 2.6 s after a signal.
STREAM_EVENTS, EVENT_S = 45, 0.1
# The limit that the last configuration has, and a body beyond it.
LOWER_BODY_LIMIT, LARGE_BODY = 2000, b"x" * 3000
STREAM_ROUTE = ROUTE | {
    "name": "r-stream",
    "path-prefix": "/s/",
    "kind": "streaming",
    "target-gap-ms": 1000,
}
OK, REFUSED = 200, frozenset({404, 413, 503})
# Log lines of requests that end without an answer, or with one of the drain's end.
LOSSES = frozenset(
    {
        "bytes dropped by a connection that closes",
        "request in progress at the end of the drain",
    }
)


class RecordingTarget(PlainTarget):
    """Records the ids of the requests that it runs; streams where the path says so."""

    def __init__(self, number):
        super().__init__(number)
        self.service_time_s = 0.02
        self.ran = set()

    async def serve(self, request):
        self.ran.add(request.headers[names.REQUEST_ID])
        if not request.path.startswith("/s/"):
            return await super().serve(request)
        headers = {
            names.REQUEST_ID: request.headers[names.REQUEST_ID],
            "Content-Type": "text/event-stream",
        }
        response = web.StreamResponse(headers=headers)
        response.enable_chunked_encoding()
        await response.prepare(request)
        for number in range(STREAM_EVENTS):
            await response.write(b"id: %d\ndata: x\n\n" % number)
            await asyncio.sleep(EVENT_S)
        await response.write_eof()
        return response


def request_bytes(request_id, body=b"", path="/p/x"):
    head = (
        f"POST {path} HTTP/1.1\r\nHost: plain.example\r\n"
        "Authorization: Bearer key-1\r\n"
        f"{names.REQUEST_ID}: {request_id}\r\n{names.DEADLINE_MS}: 6000\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


class Caller(RawCaller):
    """A caller whose name is a part of the ids of its requests."""

    def __init__(self, name, host, port):
        super().__init__(host, port)
        self.name = name
        self.count = 0

    def new_request(self, body=b"", path="/p/x"):
        """Return one more request."""
        self.count += 1
        request_id = f"{self.name}-{self.count}"
        return Request(request_id, request_bytes(request_id, body, path))


class Entry:
    """An entry in a process of its own, and its callers.

    Attributes
    ----------
    status : int or None
        Exit status of its process; None before its end.
    stopped : asyncio.Event
        Set once its process has ended.
    """

    def __init__(self, name, folder, host, base, control_host):
        self.name, self.folder, self.host, self.base = name, folder, host, base
        self.control_host = control_host
        folder.mkdir()
        self.count = 0
        self.callers = []
        self.status = None
        self.stopped = asyncio.Event()
        self.process = new_process("entry", folder, host, base, control_host)

    def new_caller(self):
        self.count += 1
        return Caller(f"{self.name}-{self.count}", self.host, self.base + 8)

    async def connect(self):
        """Return a new caller; the entry may take no new connections."""
        caller = self.new_caller()
        await caller.open()
        self.callers.append(caller)
        return caller

    async def serves(self):
        """Return whether a request is served."""
        caller = self.new_caller()
        with suppress(OSError):
            await caller.open()
            await send_one(caller)
            while caller.is_open and not caller.statuses:
                await asyncio.sleep(0.01)
            await caller.leave()
        return caller.statuses == [OK]

    def send(self, number):
        """Send a signal."""
        self.process.signal(number)

    async def stop(self):
        """Send a stop signal, and wait for the end as the platform does."""
        self.send(signal.SIGTERM)
        await self.wait_for_end()

    async def wait_for_end(self):
        with suppress(TimeoutError):
            async with asyncio.timeout(GRACE_S):
                while self.process.popen.poll() is None:
                    await asyncio.sleep(0.02)
        if self.process.popen.poll() is None:
            self.process.kill()
        self.status = self.process.popen.returncode
        self.stopped.set()

    async def each(self, pause_s, act):
        """Let new callers act, one after the other, until no connection is taken."""
        async with asyncio.TaskGroup() as group:
            while not self.stopped.is_set():
                try:
                    group.create_task(act(await self.connect()))
                except OSError:
                    return
                await asyncio.sleep(pause_s)

    async def end(self):
        """Wait for the ends of all connections."""
        self.send(signal.SIGCONT)
        await self.stopped.wait()
        for caller in self.callers:
            await caller.wait_for_end()

    @property
    def log(self):
        lines = self.process.log.read_text().splitlines()
        return [json.loads(line) for line in lines if line.startswith("{")]


def new_process(role, folder, host, base, control_host):
    """Return a process as the deploy file starts it."""
    settings_file(str(folder), host, base, seed=control_host)
    path = folder / f"settings-{host}.toml"
    text = path.read_text()
    path.write_text(text.replace("grace-period-s = 3", f"grace-period-s = {GRACE_S}"))
    variables = {
        "WISTERIAPULLEY_CONFIG": str(path),
        "PYTHONPATH": os.pathsep.join([str(ROOT / "src"), SITE_PACKAGES]),
    }
    command = ["-S", "deploy/run.py", role]
    return Process(role, command, folder / "log", variables)


class ControlInstance:
    """The control instance of all entries, and their only target."""

    def __init__(self, folder, host, base):
        self.folder, self.host, self.base = folder, host, base
        folder.mkdir()
        self.target = RecordingTarget(1)
        self.process = new_process("control", folder, host, base, host)
        self.sequence = 0
        self.version = 0

    async def post(self, path, body):
        with suppress(aiohttp.ClientError):
            url = f"http://{self.host}:{self.base + 10}{path}"
            async with self.session.post(url, data=body) as answer:
                return answer.status == 200
        return False

    async def heartbeat_loop(self):
        path = names.HEARTBEAT_CALL.format(target_id=self.target.target_id)
        while True:
            self.sequence += 1
            heartbeat = {
                "service": "plain",
                "address": self.target.address,
                "zone": "palermo",
                "version": "v1",
                "slots": 1000,
                "state": "ready",
                "cold-remaining-ms": 0,
                "sequence": self.sequence,
            }
            await self.post(path, json.dumps(heartbeat).encode())
            await asyncio.sleep(0.2)

    async def configure(self, **limits):
        """Replace the configuration."""
        self.version += 1
        table = configuration(
            self.version,
            Origin(),
            routes=[ROUTE | {"target-latency-ms": 800}, STREAM_ROUTE],
            services=[SERVICE | {"max-connections": 1000}],
            limits=limits,
        )
        await until(partial(self.post, names.REPLACE_CALL, table))


async def until(check):
    """Wait for a condition, with a timeout for a busy machine."""
    async with asyncio.timeout(MAX_WAIT_S):
        while not await check():
            await asyncio.sleep(0.02)


def pause(seconds):
    """Return a function that returns a pause."""
    return partial(asyncio.sleep, seconds)


# -- what callers do during a stop -------------------------------------------


async def send_one(caller):
    caller.send(caller.new_request())


async def play_stop(entry, *callers, stop=None):
    """Stop an entry after some callers have begun."""
    async with asyncio.TaskGroup() as group:
        for caller in callers:
            group.create_task(caller)
        await asyncio.sleep(0.3)
        await (stop() if stop else entry.stop())


async def send_bodies_in_parts(entry, control):
    async def send(count, pause_s, caller):
        request = caller.new_request(b"x" * 900)
        await caller.send_in_parts(request, count, pause(pause_s))

    await play_stop(
        entry,
        entry.each(0.05, partial(send, 2, 0.15)),
        entry.each(0.05, partial(send, 3, 0.3)),
    )


async def send_body_across_the_close(entry, control):
    idle, caller = await entry.connect(), await entry.connect()
    request = caller.new_request(b"x" * 900)
    sending = caller.send_in_parts(request, 2, idle.wait_for_end)
    await play_stop(entry, sending)


async def send_head_across_the_close(entry, control):
    idle, caller = await entry.connect(), await entry.connect()
    sending = caller.send_in_parts(caller.new_request(), 2, idle.wait_for_end)
    await play_stop(entry, sending)


async def send_heads_in_parts(entry, control):
    async def send(caller):
        await caller.send_in_parts(caller.new_request(), 2, pause(0.2))

    await play_stop(entry, entry.each(0.05, send))


async def send_behind_a_stream(entry, control):
    idle, *callers = [await entry.connect() for _ in range(4)]
    before, accepting, draining = callers
    for caller in callers:
        caller.send(caller.new_request(path="/s/x"))
    while not all(caller.received for caller in callers):
        await asyncio.sleep(0.01)
    await send_one(before)

    async def send_later():
        await asyncio.sleep(0.8)
        await send_one(accepting)
        await idle.wait_for_end()
        await send_one(draining)

    await play_stop(entry, send_later())


async def send_several_in_one_write(entry, control):
    async def send(count, caller):
        caller.send(*(caller.new_request() for _ in range(count)))

    await play_stop(
        entry,
        entry.each(0.05, partial(send, 2)),
        entry.each(0.05, partial(send, 3)),
    )


async def send_on_new_connections(entry, control, stop=None):
    await play_stop(entry, entry.each(0.003, send_one), stop=stop)


async def send_a_body_without_end(entry, control):
    async def send(caller):
        request = caller.new_request(b"x" * 1000)
        caller.begin(request, request.data[:-900])
        while caller.is_open:
            caller.write(b"x")
            await asyncio.sleep(0.1)

    await play_stop(entry, send(await entry.connect()))


async def go_on_sending(entry, control):
    async def send(caller):
        while caller.is_open:
            await send_one(caller)
            await asyncio.sleep(0.02)

    async def send_after_each_answer(caller):
        while caller.is_open:
            if len(caller.statuses) == len(caller.begun):
                await send_one(caller)
            await asyncio.sleep(0.005)

    sends = (send, send_after_each_answer)
    callers = [send(await entry.connect()) for send in sends * 2]
    await play_stop(entry, *callers)


async def repeat_the_signal(entry, control):
    async def stop():
        async with asyncio.TaskGroup() as group:
            group.create_task(entry.stop())
            for pause_s in (0.5, 1.0, 1.2):
                await asyncio.sleep(pause_s)
                entry.send(signal.SIGTERM)

    await send_on_new_connections(entry, control, stop)


async def send_hangups(entry, control, hang_up=None):
    hang_up = hang_up or partial(entry.send, signal.SIGHUP)

    async def stop():
        hang_up()
        async with asyncio.TaskGroup() as group:
            group.create_task(entry.stop())
            for pause_s in (0.0, 0.8, 1.7):
                await asyncio.sleep(pause_s)
                hang_up()

    await send_on_new_connections(entry, control, stop)


async def change_settings(entry, control):
    (path,) = entry.folder.glob("*.toml")
    text = path.read_text()

    def hang_up():
        part = path.with_suffix(".part")
        part.write_text(f"stamp = {entry.count}\n{text}")
        part.replace(path)
        entry.send(signal.SIGHUP)

    await send_hangups(entry, control, hang_up)


async def stop_while_paused(entry, control):
    async def stop():
        entry.send(signal.SIGSTOP)
        await asyncio.sleep(0.2)
        entry.send(signal.SIGTERM)
        await asyncio.sleep(0.3)
        entry.send(signal.SIGCONT)
        await entry.wait_for_end()

    await send_on_new_connections(entry, control, stop)


async def stop_right_after_the_start(entry, control):
    entry.process.kill()
    entry.process.start()

    async def is_up():
        with suppress(OSError):
            await send_one(await entry.connect())
            return True
        return False

    await until(is_up)
    async with asyncio.TaskGroup() as group:
        group.create_task(entry.stop())
        group.create_task(entry.each(0.01, send_one))


async def lower_the_body_limit(entry, control):
    async def send(caller):
        request = caller.new_request(LARGE_BODY)
        await caller.send_in_parts(request, 2, pause(0.2))

    async def lower():
        await asyncio.sleep(1.3)
        await control.configure(**{"max-body-bytes": LOWER_BODY_LIMIT})

    await play_stop(entry, entry.each(0.03, send), lower())


SCENARIOS = (
    send_bodies_in_parts,
    send_body_across_the_close,
    send_head_across_the_close,
    send_heads_in_parts,
    send_behind_a_stream,
    send_several_in_one_write,
    send_on_new_connections,
    send_a_body_without_end,
    go_on_sending,
    repeat_the_signal,
    send_hangups,
    change_settings,
    stop_while_paused,
    stop_right_after_the_start,
    lower_the_body_limit,
)


async def play(folder, scenarios=SCENARIOS, new_target=RecordingTarget):
    """Play scenarios side by side; return the target and the entries by name."""
    control_host, *hosts = free_hosts(1 + len(scenarios))
    base = free_port()
    control = ControlInstance(folder / "control", control_host, base)
    control.target = new_target(1)
    entries = {
        scenario.__name__: Entry(
            scenario.__name__, folder / scenario.__name__, host, base, control_host
        )
        for scenario, host in zip(scenarios, hosts, strict=True)
    }
    processes = [control.process, *(entry.process for entry in entries.values())]
    try:
        async with aiohttp.ClientSession() as control.session, asyncio.timeout(120.0):
            await control.target.start()
            for process in processes:
                process.start()
            beating = asyncio.create_task(control.heartbeat_loop())
            await control.configure()
            for entry in entries.values():
                await until(entry.serves)
            await asyncio.gather(
                *(each(entries[each.__name__], control) for each in scenarios)
            )
            await asyncio.gather(*(entry.end() for entry in entries.values()))
            beating.cancel()
    finally:
        for process in processes:
            if process.popen is not None:
                process.kill()
        await control.target.stop()
    return control.target, entries


@pytest.fixture(scope="module")
def played(tmp_path_factory):
    return asyncio.run(play(tmp_path_factory.mktemp("stops")))


@pytest.mark.parametrize("name", [scenario.__name__ for scenario in SCENARIOS])
class TestStop:
    def test_each_request_that_was_read_is_answered(self, played, name):
        """A connection that ends without a reset was read to the last byte sent."""
        target, entries = played
        for caller in entries[name].callers:
            assert not (caller.unanswered and caller.end == CLOSED), caller.unanswered
            assert target.ran.isdisjoint(caller.unanswered)

    def test_answers_are_whole_or_refusals_of_requests_that_did_not_run(
        self, played, name
    ):
        target, entries = played
        for caller in entries[name].callers:
            answered = caller.begun[: len(caller.statuses)]
            for request_id, status in zip(answered, caller.statuses, strict=True):
                assert status == OK or status in REFUSED
                assert (status == OK) == (request_id in target.ran)

    def test_no_connection_is_closed_with_a_request_unanswered(self, played, name):
        _, entries = played
        for line in entries[name].log:
            assert not line.get("unanswered"), line
            assert line["message"] not in LOSSES, line
            assert LOSSES.isdisjoint(line.get("counts", ())), line

    def test_process_ends_in_its_time(self, played, name):
        assert played[1][name].status == 0


class TestAcrossTheCloseOfIdleConnections:
    @pytest.mark.parametrize(
        "name", ["send_body_across_the_close", "send_head_across_the_close"]
    )
    def test_request_is_served(self, played, name):
        assert played[1][name].callers[1].statuses == [OK]

    def test_requests_behind_a_stream_are_served(self, played):
        callers = played[1]["send_behind_a_stream"].callers[1:]
        assert [caller.statuses for caller in callers] == 3 * [[OK, OK]]

    def test_body_that_never_ends_is_refused(self, played):
        (caller,) = played[1]["send_a_body_without_end"].callers
        assert caller.statuses == [503]


class TestScenarios:
    """What was played: a test above says little about callers who get nothing."""

    @pytest.mark.parametrize("name", [scenario.__name__ for scenario in SCENARIOS])
    def test_callers_are_served(self, played, name):
        if name != "send_a_body_without_end":
            assert any(OK in caller.statuses for caller in played[1][name].callers)

    def test_lower_body_limit_comes_into_force(self, played):
        callers = played[1]["lower_the_body_limit"].callers
        statuses = {status for caller in callers for status in caller.statuses}
        assert statuses >= {OK, 413}
