"""No request is lost by a reload, a new configuration, or a target that leaves.

Entries are processes. Each has requests of all kinds in progress as a change comes:
streams that fall silent, long requests, bodies of which a part has arrived, and
requests behind others on kept connections.
"""

import asyncio
import json
import re
import signal
from contextlib import suppress
from functools import partial

import aiohttp
import pytest
from aiohttp import web

from tests.fakes.platform import Origin, configuration
from tests.fakes.raw_caller import Request
from tests.fleet import free_hosts, free_port
from tests.plain_fleet import ROUTE
from tests.test_stop_processes import Caller, ControlInstance, Entry, until
from tests.test_streams_cut_at_a_stop import StreamingTarget
from wisteriapulley.platform import names

EVENT_S = 0.1
EVENT_ID = re.compile(rb"id: (\d+)\n")
LIMIT_MS = 30_000
OK, UNAUTHORIZED, NO_ROUTE, TOO_LARGE, UNAVAILABLE = 200, 401, 404, 413, 503
# For want of a target, or for a body beyond the limit that all entries get.
REFUSALS = {TOO_LARGE, UNAVAILABLE}
# Log lines of requests that end without a whole response.
LOSSES = frozenset(
    {
        "answer cut",
        "connection closed before its end",
        "request ended by an internal error",
    }
)
KINDS = {
    "stream": {
        "kind": "streaming",
        "target-gap-ms": 1000,
        "stream-resumption": True,
    },
    "once": {"kind": "streaming", "target-gap-ms": 1000, "attempts": 1},
    "plain": {},
    "call": {"kind": "non_idempotent", "attempts": 1},
}
# Those that a shorter limit must not end; a body in parts is admitted by the new one.
KINDS_IN_PROGRESS = ("stream", "once", "plain")
# Streams in progress at a change: events, and before which one how long nothing comes.
STREAMS = ("20-1-1.6", "35-10-1.6", "25-8-0.8", "30-0-0", "15-12-1.4")
SERVICES = ("kept", "dropped", "limited", "leaving", "removed", "evacuated")
EVACUATED_ZONE = "noto"
BODY = b"x" * 900


class Target(StreamingTarget):
    """Streams as its base class does, and resumes them; else takes the stated time."""

    def __init__(self, number, service):
        super().__init__(number)
        self.service = service
        self.state, self.zone = "ready", "palermo"
        self.beats = True

    @property
    def target_id(self):
        return f"i-{self.service}-{self.number}"

    async def serve(self, request):
        request_id = request.headers[names.REQUEST_ID]
        await request.read()
        self.ran.add(request_id)
        headers = {names.REQUEST_ID: request_id}
        kind, work = request.path.split("/")[2:]
        if kind in ("plain", "call"):
            await asyncio.sleep(float(work))
            return web.Response(body=b"whole", headers=headers)
        headers["Content-Type"] = "text/event-stream"
        response = web.StreamResponse(headers=headers)
        response.enable_chunked_encoding()
        with suppress(ConnectionError):
            await response.prepare(request)
            await self.write_events(request, response, work)
        return response

    async def write_events(self, request, response, work):
        events, silent_at, silent_s = work.split("-")
        first = int(request.headers.get(names.LAST_EVENT, "-1")) + 1
        for number in range(first, int(events)):
            if number == int(silent_at) and not first:
                await asyncio.sleep(float(silent_s))
            await response.write(b"id: %d\ndata: x\n\n" % number)
            await asyncio.sleep(EVENT_S)
        await response.write_eof()


class ChangingCaller(Caller):
    """A caller with a key whose requests are of a kind and for a scenario's routes."""

    def __init__(self, name, host, port, key):
        super().__init__(name, host, port)
        self.scenario, self.key = name.rpartition("-")[0], key
        self.work = {}

    def new_request(self, kind, work, body=b""):
        self.count += 1
        request_id = f"{self.name}-{self.count}"
        self.work[request_id] = kind, work
        head = (
            f"POST /{self.scenario}/{kind}/{work} HTTP/1.1\r\nHost: plain.example\r\n"
            f"Authorization: Bearer {self.key}\r\n"
            f"{names.REQUEST_ID}: {request_id}\r\n{names.DEADLINE_MS}: {LIMIT_MS}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        return Request(request_id, head.encode() + body)

    @property
    def is_answered(self):
        return not self.is_open or len(self.responses) == len(self.begun)

    def is_whole(self, request_id, body):
        """Return whether a body is all that its target sends for a request."""
        kind, work = self.work[request_id]
        if kind in ("plain", "call"):
            return body == b"whole"
        events = range(int(work.partition("-")[0]))
        return list(map(int, EVENT_ID.findall(body))) == list(events)


class ChangingEntry(Entry):
    """An entry whose callers use the routes of one scenario."""

    def __init__(self, name, folder, host, base, control_host):
        super().__init__(name, folder, host, base, control_host)
        (self.path,) = folder.glob("*.toml")
        self.text = self.path.read_text()
        self.key = "key-1"

    def new_caller(self):
        self.count += 1
        name = f"{self.name}-{self.count}"
        return ChangingCaller(name, self.host, self.base + 8, self.key)

    async def serves(self):
        caller = self.new_caller()
        with suppress(OSError):
            await caller.open()
            caller.send(caller.new_request("plain", "0.0"))
            await self.wait_for_answers([caller])
            await caller.leave()
        return caller.statuses == [OK]

    def write_settings(self, text):
        """Replace the settings file as the platform does."""
        part = self.path.with_suffix(".part")
        part.write_text(text)
        part.replace(self.path)

    def hang_up(self):
        self.send(signal.SIGHUP)

    async def has_logged(self, message, **fields):
        """Return whether the log has a line with a message and these fields."""
        lines = [line for line in self.log if line["message"] == message]
        return any(fields.items() <= line.items() for line in lines)

    async def wait_for_table(self, version):
        """Wait until a configuration, or a later one, is in force here."""

        async def is_in_force():
            return version <= max(line.get("revision", 0) for line in self.log)

        await until(is_in_force)

    async def send_all(self, kind, *works):
        """Send requests in one write on a new connection; return its caller."""
        caller = await self.connect()
        caller.send(*(caller.new_request(kind, work) for work in works))
        return caller

    async def wait_for_answers(self, callers):
        while not all(caller.is_answered for caller in callers):
            await asyncio.sleep(0.02)


class Fleet(ControlInstance):
    """The control instance, two targets of each service, and what changes.

    Attributes
    ----------
    dropped : set of str
        Scenarios whose routes the configuration lacks.
    services : dict of str to str
        Service of the routes of each scenario.
    changes : dict of str to dict
        Changed keys of routes and services, by name.
    """

    def __init__(self, folder, host, base):
        super().__init__(folder, host, base)
        # Its data folder has a file of the usual name.
        self.process.log = folder / "process.log"
        self.targets = [
            Target(number, service) for service in SERVICES for number in range(2)
        ]
        for number in range(2):
            self.target_of("evacuated", number).zone = f"{EVACUATED_ZONE}-{number}"
        self.keys = ["key-1", "key-2"]
        self.dropped = set()
        self.services = {each.__name__: "kept" for each in SCENARIOS}
        self.changes = {}
        self.limits = {}
        self.changes_left = len(SCENARIOS) - 1
        self.all_changed = asyncio.Event()

    def record_change(self):
        """Record that a change is in force; the last one is a restart."""
        self.changes_left -= 1
        if not self.changes_left:
            self.all_changed.set()

    def target_of(self, service, number=0):
        return self.targets[2 * SERVICES.index(service) + number]

    @property
    def ran(self):
        return set().union(*(target.ran for target in self.targets))

    def routes(self):
        for scenario, service in self.services.items():
            if scenario in self.dropped:
                continue
            for kind, keys in KINDS.items():
                yield {
                    **ROUTE,
                    "timeout-ms": LIMIT_MS,
                    **keys,
                    "name": f"{scenario}-{kind}",
                    "path-prefix": f"/{scenario}/{kind}/",
                    "service": service,
                    **self.changes.get(f"{scenario}-{kind}", {}),
                }

    async def configure(self):
        """Replace the configuration; return its version."""
        self.version += 1
        version = self.version
        services = [
            {
                "name": name,
                "health-check-path": "/health",
                "max-connections": 1000,
                **self.changes.get(name, {}),
            }
            for name in SERVICES
            if name not in self.dropped
        ]
        table = configuration(
            self.version,
            Origin(),
            routes=list(self.routes()),
            services=services,
            limits=self.limits,
            tenants=[{"name": "dealer", "api-keys": self.keys}],
        )
        await until(partial(self.post, names.REPLACE_CALL, table))
        return version

    async def beat(self, target):
        self.sequence += 1
        heartbeat = {
            "service": target.service,
            "address": target.address,
            "zone": target.zone,
            "version": "v1",
            "slots": 1000,
            "state": target.state,
            "cold-remaining-ms": 0,
            "sequence": self.sequence,
        }
        path = names.HEARTBEAT_CALL.format(target_id=target.target_id)
        return await self.post(path, json.dumps(heartbeat).encode())

    async def heartbeat_loop(self):
        while True:
            await asyncio.gather(*(self.beat(t) for t in self.targets if t.beats))
            await asyncio.sleep(0.2)


# -- changes -----------------------------------------------------------------


async def hang_up(entry, fleet):
    for _ in range(20):
        entry.hang_up()
        await asyncio.sleep(0.1)


async def change_settings(entry, fleet):
    """Other control instances, none that can be read, and the first ones again."""
    seeds = f'seed-nodes = ["{free_hosts(1)[0]}:1","'
    for _ in range(3):
        entry.write_settings(entry.text.replace('seed-nodes = ["', seeds))
        entry.hang_up()
        await asyncio.sleep(0.3)
        entry.write_settings("not a settings file")
        entry.hang_up()
        await asyncio.sleep(0.3)
        entry.write_settings(entry.text)
        await asyncio.sleep(0.3)


async def drop_routes(entry, fleet):
    fleet.dropped.add(entry.name)
    await entry.wait_for_table(await fleet.configure())


async def drop_service(entry, fleet):
    fleet.services[entry.name] = "kept"
    fleet.dropped.add("dropped")
    await entry.wait_for_table(await fleet.configure())


async def drop_key(entry, fleet):
    fleet.keys.remove("key-2")
    await entry.wait_for_table(await fleet.configure())


async def change_limits(entry, fleet):
    """Times that those in progress have passed, one connection, and short bodies."""
    shorter = {"timeout-ms": 100, "target-latency-ms": 50}
    fleet.changes |= {f"{entry.name}-{kind}": shorter for kind in KINDS_IN_PROGRESS}
    fleet.changes["limited"] = {"max-connections": 1}
    fleet.limits["max-body-bytes"] = len(BODY) - 1
    await entry.wait_for_table(await fleet.configure())


async def leave(entry, fleet):
    target = fleet.target_of("leaving")
    target.state = "draining"
    await until(partial(fleet.beat, target))
    await wait_for_leave(entry, target)


async def remove(entry, fleet):
    target = fleet.target_of("removed")
    target.beats = False
    path = names.LEAVE_CALL.format(target_id=target.target_id)
    await until(partial(fleet.post, path, b"{}"))
    await wait_for_leave(entry, target)


async def wait_for_leave(entry, target):
    leaves = partial(entry.has_logged, "target leaves", target=target.target_id)
    await until(leaves)


async def evacuate(entry, fleet):
    """One of the targets, and then the other as well."""
    for number in range(2):
        zone = fleet.target_of("evacuated", number).zone
        path = names.EVACUATE_CALL.format(failure_domain=zone)
        await until(partial(fleet.post, path, b""))
        await asyncio.sleep(0.5)


async def restart_control(entry, fleet):
    """Restart the control instance amid the requests of all scenarios."""
    await fleet.all_changed.wait()
    for _ in range(2):
        await asyncio.to_thread(fleet.process.terminate)
        fleet.process.start()
        await until(partial(fleet.beat, fleet.targets[0]))


SCENARIOS = (
    hang_up,
    change_settings,
    drop_routes,
    drop_service,
    drop_key,
    change_limits,
    leave,
    remove,
    evacuate,
    restart_control,
)
SERVICE_OF = {
    "drop_service": "dropped",
    "change_limits": "limited",
    "leave": "leaving",
    "remove": "removed",
    "evacuate": "evacuated",
}
# Further refusals that are true after a change.
REFUSAL_OF = {"drop_routes": NO_ROUTE, "drop_key": UNAUTHORIZED}


async def send_in_parts(entry, changed):
    """Send the rest of a body once a change is in force somewhere."""
    caller = await entry.connect()
    await caller.send_in_parts(caller.new_request("call", "0.0", BODY), 2, changed.wait)


async def send_behind_streams(entry, kind):
    """Send short requests one after the other behind a stream."""
    caller = await entry.send_all("stream", "10-5-1.0")
    caller.send(caller.new_request(kind, "0.0"))
    return caller


async def go_on_sending(entry, ended):
    """Send short requests on a kept connection until one is refused."""
    caller = await entry.connect()
    while set(caller.statuses) <= {OK} and not ended.is_set():
        if caller.is_answered:
            caller.send(caller.new_request("plain", "0.02"))
        await asyncio.sleep(0.005)


async def play_change(entry, change, fleet):
    """Change something while requests of all kinds are in progress."""
    changed, ended = asyncio.Event(), asyncio.Event()
    sends_later = change is not change_limits
    begun = [await entry.send_all("stream", work) for work in STREAMS]
    begun += [await entry.send_all("once", work) for work in STREAMS]
    begun += [await entry.send_all(kind, "3.0") for kind in ("plain", "call") * 2]
    begun += [await send_behind_streams(entry, kind) for kind in ("plain", "call")]
    begun += [await entry.send_all("stream", "5-0-0", "15-3-1.6", "5-0-0")]
    first = {caller.begun[0] for caller in begun}
    async with asyncio.TaskGroup() as group:
        for _ in range(3):
            group.create_task(send_in_parts(entry, changed))
        if sends_later:
            for _ in range(2):
                group.create_task(go_on_sending(entry, ended))
        while not first <= fleet.ran:
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.4)
        await change(entry, fleet)
        fleet.record_change()
        changed.set()
        for work in STREAMS if sends_later else ():
            await entry.send_all("stream", work)
        caller = await entry.connect()
        caller.send(caller.new_request("call", "0.0", BODY))
        await entry.wait_for_answers(begun)
        ended.set()
    await entry.wait_for_answers(entry.callers)


async def play(folder):
    """Play all scenarios side by side; return the fleet and the entries by name."""
    control_host, *hosts = free_hosts(1 + len(SCENARIOS))
    base = free_port()
    fleet = Fleet(folder / "control", control_host, base)
    fleet.services |= SERVICE_OF
    entries = {
        each.__name__: ChangingEntry(
            each.__name__, folder / each.__name__, host, base, control_host
        )
        for each, host in zip(SCENARIOS, hosts, strict=True)
    }
    entries["drop_key"].key = "key-2"
    processes = [fleet.process, *(entry.process for entry in entries.values())]
    try:
        async with aiohttp.ClientSession() as fleet.session, asyncio.timeout(120.0):
            for target in fleet.targets:
                await target.start()
            for process in processes:
                process.start()
            beating = asyncio.create_task(fleet.heartbeat_loop())
            await fleet.configure()
            for entry in entries.values():
                await until(entry.serves)
            await asyncio.gather(
                *(
                    play_change(entries[each.__name__], each, fleet)
                    for each in SCENARIOS
                )
            )
            beating.cancel()
    finally:
        for process in processes:
            if process.popen is not None:
                process.kill()
        for target in fleet.targets:
            await target.stop()
    return fleet, entries


@pytest.fixture(scope="module")
def played(tmp_path_factory):
    return asyncio.run(play(tmp_path_factory.mktemp("changes")))


@pytest.mark.parametrize("name", [each.__name__ for each in SCENARIOS])
class TestChange:
    def test_each_request_is_answered(self, played, name):
        for caller in played[1][name].callers:
            assert not caller.unanswered, [
                caller.work[each] for each in caller.unanswered
            ]

    def test_answers_are_whole_or_true_refusals(self, played, name):
        fleet, entries = played
        for caller in entries[name].callers:
            answers = zip(caller.begun, caller.responses, strict=True)
            for request_id, response in answers:
                if response.status == OK:
                    assert caller.is_whole(request_id, response.body)
                else:
                    assert response.status in {*REFUSALS, REFUSAL_OF.get(name)}
                    assert request_id not in fleet.ran

    def test_no_response_is_cut(self, played, name):
        messages = {line["message"] for line in played[1][name].log}
        assert not messages & LOSSES


class TestScenarios:
    """What was played: the changes came into force amid requests."""

    @pytest.mark.parametrize(
        ("name", "status"),
        [*REFUSAL_OF.items(), ("change_limits", TOO_LARGE), ("evacuate", UNAVAILABLE)],
    )
    def test_requests_after_the_change_are_refused(self, played, name, status):
        callers = played[1][name].callers
        assert any(status in caller.statuses for caller in callers)

    def test_streams_go_on_at_another_target_and_at_the_silent_one(self, played):
        messages = {
            line["message"] for entry in played[1].values() for line in entry.log
        }
        assert messages >= {"silent target left", "silent target went on"}
