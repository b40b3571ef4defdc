"""Requests with idempotency keys over real links; entries and gates share a loop."""

import asyncio
import functools
import time
from types import SimpleNamespace

import aiohttp
import pytest
import uvloop
from aiohttp import web

from wisteriapulley.catalogue import Entry
from wisteriapulley.claims import ClaimLedger
from wisteriapulley.control.driver import no_quorum
from wisteriapulley.entry.at_most_once import AtMostOnceRunner
from wisteriapulley.entry.dispatch import Dispatcher
from wisteriapulley.entry.placing import Placer
from wisteriapulley.entry.request import CallerRequest
from wisteriapulley.entry.targets import Targets
from wisteriapulley.errors import (
    CODE_TABLE,
    RequestError,
    ResultCode,
    WeightsError,
    WisteriapulleyError,
)
from wisteriapulley.settings import Address
from wisteriapulley.sidecar.engine import PlainService
from wisteriapulley.sidecar.gate import Gate
from wisteriapulley.statechart import StateChart
from wisteriapulley.wire import LinkServer, messages
from wisteriapulley.wire.handshake import Identity

KEY = b"k" * 32
BOTH_LOOPS = (asyncio.new_event_loop, uvloop.new_event_loop)
HEARTBEAT_MS, SILENCE_MS = 200, 60_000
ENTRY = Entry(name="letters", owner="o", traffic_class="c", service="s")


class FakeControl:
    """Claim ledger without the replicated log; `unreachable` makes every call fail."""

    def __init__(self):
        self.ledger = ClaimLedger()
        self.members = {}
        self.unreachable = False

    async def propose(self, command):
        await asyncio.sleep(0)
        if self.unreachable:
            raise no_quorum("unreachable")
        now_ms = time.time_ns() // 1_000_000
        put = self.ledger.put
        return put(command.key, command.claim, command.expected_attempt, now_ms)

    def pull_if_behind(self, link):
        pass


async def echo(sidecar, request):
    body = await request.read()
    await sidecar.may_answer.wait()
    return web.Response(body=body)


class FakeSidecar:
    """A target and its gate; the target answers only while `may_answer` is set."""

    def __init__(self, name, control):
        self.name = name
        self.control = control
        self.executed_keys = []
        self.may_answer = asyncio.Event()
        self.may_answer.set()
        self.started = asyncio.Event()
        self.cancelled = []
        self.engine_version = ""
        self.respond = echo

    async def start(self, incarnation=1):
        app = web.Application()
        app.add_routes([web.post("/{rest:.*}", self.run)])
        self.runner = web.AppRunner(app, shutdown_timeout=0.1)
        await self.runner.setup()
        site = web.TCPSite(self.runner, "127.0.0.1", 0)
        await site.start()
        port = site._server.sockets[0].getsockname()[1]
        self.session = aiohttp.ClientSession()
        engine = PlainService(self.session, f"http://127.0.0.1:{port}")
        engine.cancel = self.cancel
        engine.verify = self.verify
        await self.start_gate(engine, incarnation)
        return self

    async def start_gate(self, engine, incarnation):
        chart = StateChart("target")
        chart.fire("adopt")
        self.gate = Gate(engine, incarnation, chart)
        identity = Identity(self.name, "sidecar", "d", incarnation, KEY)
        self.server = LinkServer(
            identity, self.handle, self.heartbeat, HEARTBEAT_MS, SILENCE_MS
        )
        address = await self.server.start(Address("127.0.0.1", 0))
        self.control.members[self.name] = messages.Announce(
            self.name, incarnation, "sidecar", "s", "d", str(address)
        )

    def serve_version(self, version):
        self.gate.version = version
        self.server.send_heartbeats()

    async def restart(self, incarnation):
        await self.server.stop()
        await self.start_gate(self.gate.engine, incarnation)

    def heartbeat(self):
        return messages.Heartbeat(0, False, self.gate.chart.state, self.gate.version)

    async def handle(self, link, frame):
        if isinstance(frame.message, messages.Credit):
            self.gate.receive_credit(link, frame.message)
            return
        receive = {
            messages.Dispatch: self.gate.receive_dispatch,
            messages.Resolve: self.gate.receive_resolve,
            messages.Cancel: self.gate.receive_cancel,
        }
        await receive[type(frame.message)](link, frame.message, frame)

    async def run(self, request):
        self.executed_keys.append(request.headers.get("Idempotency-Key", ""))
        self.started.set()
        return await self.respond(self, request)

    async def verify(self, version, order_count):
        if self.engine_version not in ("", version):
            raise WeightsError(ResultCode.ENGINE_WRONG_DIGEST, self.engine_version)

    async def cancel(self, request_id):
        self.cancelled.append(request_id)
        return True

    async def stop(self):
        await self.server.stop()
        await self.session.close()
        await self.runner.cleanup()


class FakeEntry:
    """The part of an entry that handles parsed requests."""

    def __init__(self, name, control):
        settings = SimpleNamespace(
            node_id=name,
            links_per_service=16,
            heartbeat_ms=HEARTBEAT_MS,
            silence_ms=SILENCE_MS,
        )
        identity = Identity(name, "entry", "d", 1, KEY)
        self.targets = Targets(
            settings, identity, control, None, lambda: messages.Heartbeat()
        )
        dispatcher = Dispatcher(Placer(self.targets, SimpleNamespace(choice=min)))
        self.runner = AtMostOnceRunner(dispatcher, control)
        self.head_received = asyncio.Event()
        self.received = []

    async def ready(self, count):
        self.targets.members_changed()
        while len(self.targets.views(ENTRY)) != count:
            await asyncio.sleep(0.01)

    async def send(self, key="k", body=b"letter", seconds=20.0, **overrides):
        expires_ms = time.time_ns() // 1_000_000 + 60_000
        deadline_s = time.monotonic() + seconds
        request = CallerRequest(
            f"r{deadline_s}", "council", ENTRY, "POST", "/post", (), body, key,
            expires_ms, deadline_s,
        )  # fmt: skip
        request = request._replace(**overrides)
        run = self.runner.run if request.key else self.runner.dispatcher.run
        answer = await run(request)
        self.head_received.set()
        self.received = received = []
        try:
            async for part in answer.parts:
                received.append(part)
            return b"".join(received)
        finally:
            answer.abandon()

    async def send_refused(self, *args, **overrides):
        with pytest.raises(WisteriapulleyError) as caught:
            await self.send(*args, **overrides)
        return caught.value.code

    def cut_link(self, sidecar):
        self.targets.targets[sidecar.name].link.close()


async def stop_links(server):
    """Stop a server as a sidecar that has drained does."""
    await server.end_links()
    await server.stop()


async def run_with_fleet(test, sidecars=2, entries=1):
    """Run the test with this number of sidecars and entries."""
    control = FakeControl()
    targets = [await FakeSidecar(f"t{i}", control).start() for i in range(sidecars)]
    clients = [FakeEntry(f"e{i}", control) for i in range(entries)]
    try:
        for client in clients:
            await client.ready(sidecars)
        async with asyncio.timeout(30):
            await test(control, targets, *clients)
    finally:
        for client in clients:
            await client.targets.stop()
        for target in targets:
            await target.stop()


def with_fleet(sidecars=2, entries=1, loops=(asyncio.new_event_loop,)):
    """Run the test with this number of sidecars and entries, on each kind of loop."""

    def wrap(test):
        def run(self):
            scenario = functools.partial(test, self)
            for loop_factory in loops:
                with asyncio.Runner(loop_factory=loop_factory) as runner:
                    runner.run(run_with_fleet(scenario, sidecars, entries))

        return run

    return wrap


class TestOnceRunner:
    @with_fleet()
    async def test_answer_is_fetched_over_the_next_link_after_a_cut(
        self, control, sidecars, entry
    ):
        sidecars[0].may_answer.clear()
        sending = asyncio.create_task(entry.send())
        await sidecars[0].started.wait()
        entry.cut_link(sidecars[0])
        sidecars[0].may_answer.set()
        assert await sending == b"letter"
        assert sidecars[0].executed_keys + sidecars[1].executed_keys == ["k"]

    @with_fleet()
    async def test_closed_gate_records_a_tombstone_and_another_target_runs(
        self, control, sidecars, entry
    ):
        sidecars[0].gate.chart.fire("drain")
        assert await entry.send() == b"letter"
        assert (sidecars[0].executed_keys, sidecars[1].executed_keys) == ([], ["k"])
        assert [a.state for a in sidecars[0].gate.attempts.attempts.values()] == [
            "tombstone"
        ]

    @with_fleet(loops=BOTH_LOOPS)
    async def test_request_that_crosses_the_end_of_a_target_runs_at_another(
        self, control, sidecars, entry
    ):
        # Guards against "may have run", after a wait until the target is not listed
        # any more, for a request that the target had read but not accepted.
        link = entry.targets.targets["t0"].link
        link.transport.pause_reading()
        sidecars[0].gate.chart.fire("leave")
        stopping = asyncio.create_task(stop_links(sidecars[0].server))
        while sidecars[0].server.links and not all(
            accepted.ending for accepted in sidecars[0].server.links
        ):
            await asyncio.sleep(0.001)
        sending = asyncio.create_task(entry.send())
        while not link.calls and not link.closed.is_set():
            await asyncio.sleep(0.001)
        link.transport.resume_reading()
        assert await sending == b"letter"
        assert (sidecars[0].executed_keys, sidecars[1].executed_keys) == ([], ["k"])
        await stopping

    @with_fleet(loops=BOTH_LOOPS)
    async def test_request_at_a_target_that_ends_in_its_run_may_have_run(
        self, control, sidecars, entry
    ):
        sidecars[0].may_answer.clear()
        sending = asyncio.create_task(entry.send_refused(seconds=0.5))
        await sidecars[0].started.wait()
        sidecars[0].gate.chart.fire("leave")
        sidecars[0].server.send_heartbeats()
        await sidecars[0].server.stop()
        assert not CODE_TABLE[await sending].not_run
        assert sidecars[1].executed_keys == []
        sidecars[0].may_answer.set()

    @with_fleet(entries=2)
    async def test_resend_at_another_entry_gets_the_running_answer(
        self, control, sidecars, entry, other
    ):
        sidecars[0].may_answer.clear()
        first = asyncio.create_task(entry.send())
        await sidecars[0].started.wait()
        second = asyncio.create_task(other.send())
        await asyncio.sleep(0.1)
        sidecars[0].may_answer.set()
        assert [await first, await second] == [b"letter", b"letter"]
        assert sidecars[0].executed_keys + sidecars[1].executed_keys == ["k"]

    @with_fleet(entries=2)
    async def test_claim_that_was_never_dispatched_is_taken_over_once(
        self, control, sidecars, entry, other
    ):
        # The entry that holds the claim fails before it dispatches. The later sends
        # of both entries follow that claim, and only one of them may run.
        entry.runner.dispatcher.send = never_return
        dead = asyncio.create_task(entry.send())
        await asyncio.sleep(0.1)
        dead.cancel()
        del entry.runner.dispatcher.send
        assert len(control.ledger.claims) == 1
        answers = await asyncio.gather(entry.send(), other.send(), other.send())
        assert answers == [b"letter"] * 3
        assert sidecars[0].executed_keys + sidecars[1].executed_keys == ["k"]

    @with_fleet()
    async def test_restarted_sidecar_gives_may_have_run_and_no_rerun(
        self, control, sidecars, entry
    ):
        sidecars[0].may_answer.clear()
        sending = asyncio.create_task(entry.send_refused())
        await sidecars[0].started.wait()
        await sidecars[0].restart(2)
        entry.targets.members_changed()
        assert await sending == ResultCode.MAY_HAVE_RUN
        assert await entry.send_refused() == ResultCode.MAY_HAVE_RUN
        assert sidecars[0].executed_keys + sidecars[1].executed_keys == ["k"]
        sidecars[0].may_answer.set()

    @with_fleet(sidecars=1)
    async def test_target_lost_during_the_run_gives_may_have_run(
        self, control, sidecars, entry
    ):
        # Guards against reporting a lost link as NO_TARGET, a code that says "not run"
        # although the request may have run.
        entry.targets.started_s -= 60
        sidecars[0].may_answer.clear()
        sending = asyncio.create_task(entry.send_refused())
        await sidecars[0].started.wait()
        del control.members["t0"]
        await sidecars[0].server.stop()
        entry.targets.members_changed()
        assert await sending == ResultCode.MAY_HAVE_RUN
        assert await entry.send_refused() == ResultCode.MAY_HAVE_RUN
        sidecars[0].may_answer.set()

    @with_fleet()
    async def test_unreachable_ledger_refuses_only_a_first_send_as_not_run(
        self, control, sidecars, entry
    ):
        control.unreachable = True
        assert await entry.send_refused("new") == ResultCode.CLAIM_UNAVAILABLE
        code = await entry.send_refused("sent before", resend=True)
        assert code == ResultCode.KEY_UNRESOLVED
        assert not CODE_TABLE[code].not_run
        control.unreachable = False
        await entry.send("known here")
        control.unreachable = True
        assert await entry.send_refused("known here") == ResultCode.KEY_UNRESOLVED

    @with_fleet(entries=2)
    async def test_refused_resend_follows_the_current_claim(
        self, control, sidecars, entry, other
    ):
        # Guards against a full queue that refuses the resend of a request as "not
        # run" although the first send has run.
        await entry.send()
        other.runner.dispatcher.placer.acquire = raise_overloaded
        assert await other.send() == b"letter"
        assert await other.send_refused("new") == ResultCode.OVERLOADED
        past = time.time_ns() // 1_000_000 - 1000
        assert await other.send(expires_ms=past) == b"letter"
        code = await other.send_refused("new", expires_ms=past)
        assert code == ResultCode.REQUEST_EXPIRED

    @with_fleet()
    async def test_resend_after_the_deadline_gets_the_answer(
        self, control, sidecars, entry
    ):
        sidecars[0].may_answer.clear()
        assert await entry.send_refused(seconds=0.2) == ResultCode.DEADLINE_EXCEEDED
        sidecars[0].may_answer.set()
        assert await entry.send() == b"letter"
        assert sidecars[0].executed_keys + sidecars[1].executed_keys == ["k"]

    @with_fleet(sidecars=1)
    async def test_claim_that_will_not_run_is_released(self, control, sidecars, entry):
        # Without the release, a resend after the target is gone would get
        # MAY_HAVE_RUN although nothing ran.
        sidecars[0].gate.chart.fire("drain")
        assert await entry.send_refused() == ResultCode.NO_TARGET
        (claim,) = control.ledger.claims.values()
        assert claim.target == ""
        sidecars[0].gate.chart.fire("reopen")
        assert await entry.send() == b"letter"

    @with_fleet()
    async def test_different_body_with_the_same_key_is_a_conflict(
        self, control, sidecars, entry
    ):
        await entry.send()
        assert await entry.send_refused(body=b"2") == ResultCode.IDEMPOTENCY_CONFLICT

    @with_fleet()
    async def test_late_dispatch_is_refused_by_tombstone_or_expiry(
        self, control, sidecars, entry
    ):
        link = entry.targets.targets["t0"].link
        resolve = messages.Resolve("a", "k", 1, 1, "r", 60_000)
        assert (await link.request(resolve, 5)).message.state == "tombstone"
        late = messages.Dispatch(
            "r", "a", remaining_ms=9000, method="POST", path="/", idempotency_key="k",
            attempt=1, incarnation=1, expires_in_ms=60_000,
        )  # fmt: skip
        for frame, code in [
            (late, ResultCode.ATTEMPT_TOMBSTONED),
            (late._replace(attempt=2, expires_at_ms=1), ResultCode.REQUEST_EXPIRED),
        ]:
            with pytest.raises(WisteriapulleyError) as caught:
                await link.request(frame, 5)
            assert caught.value.code == code
        assert sidecars[0].executed_keys == []

    @with_fleet(sidecars=1)
    async def test_refused_connection_means_not_run(self, control, sidecars, entry):
        await sidecars[0].runner.cleanup()
        assert await entry.send_refused() == ResultCode.NO_TARGET


async def never_return(*args):
    await asyncio.Event().wait()


async def raise_overloaded(request, avoid):
    raise RequestError(ResultCode.OVERLOADED, "the queue is full", 100)


class TestLimits:
    def test_keyed_methods_are_never_repeated_by_the_http_client(self):
        from aiohttp.client import IDEMPOTENT_METHODS

        from wisteriapulley.entry.request import KEYED_METHODS

        assert not set(KEYED_METHODS) & set(IDEMPOTENT_METHODS)
