"""Keyed requests through real links: entries and gates in one loop."""

import asyncio
import time
from types import SimpleNamespace

import aiohttp
import pytest
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
HEARTBEAT_MS, SILENCE_MS = 200, 60_000
ENTRY = Entry(name="letters", owner="o", traffic_class="c", service="s")


class FakeControl:
    """The ledger without its log; `away` cuts it off."""

    def __init__(self):
        self.ledger = ClaimLedger()
        self.members = {}
        self.away = False

    async def propose(self, command):
        await asyncio.sleep(0)
        if self.away:
            raise no_quorum("away")
        now_ms = time.time_ns() // 1_000_000
        put = self.ledger.put
        return put(command.key, command.claim, command.expected_attempt, now_ms)

    def heard(self, link):
        pass


async def echo(sidecar, request):
    body = await request.read()
    await sidecar.hold.wait()
    return web.Response(body=body)


class FakeSidecar:
    """A target and its gate; `hold` keeps its answers back."""

    def __init__(self, name, control):
        self.name = name
        self.control = control
        self.ran = []
        self.hold = asyncio.Event()
        self.hold.set()
        self.begun = asyncio.Event()
        self.cancelled = []
        self.loaded = ""
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
            identity, self.handle, self.beat, HEARTBEAT_MS, SILENCE_MS
        )
        address = await self.server.start(Address("127.0.0.1", 0))
        self.control.members[self.name] = messages.Announce(
            self.name, incarnation, "sidecar", "s", "d", str(address)
        )

    def serve_version(self, version):
        self.gate.version = version
        self.server.beat()

    async def restart(self, incarnation):
        await self.server.stop()
        await self.start_gate(self.gate.engine, incarnation)

    def beat(self):
        return messages.Heartbeat(0, False, self.gate.chart.state, self.gate.version)

    async def handle(self, link, frame):
        receive = {
            messages.Dispatch: self.gate.receive_dispatch,
            messages.Resolve: self.gate.receive_resolve,
            messages.Cancel: self.gate.receive_cancel,
        }
        await receive[type(frame.message)](link, frame.message, frame)

    async def run(self, request):
        self.ran.append(request.headers.get("Idempotency-Key", ""))
        self.begun.set()
        return await self.respond(self, request)

    async def verify(self, version, order_count):
        if self.loaded not in ("", version):
            raise WeightsError(ResultCode.ENGINE_WRONG_DIGEST, self.loaded)

    async def cancel(self, request_id):
        self.cancelled.append(request_id)

    async def stop(self):
        await self.server.stop()
        await self.session.close()
        await self.runner.cleanup()


class FakeEntry:
    """The entry's path from a parsed request on."""

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
        self.headed = asyncio.Event()
        self.got = []

    async def ready(self, count):
        self.targets.members_changed()
        while len(self.targets.views(ENTRY)) != count:
            await asyncio.sleep(0.01)

    async def send(self, key="k", body=b"letter", seconds=20.0, **more):
        expires_ms = time.time_ns() // 1_000_000 + 60_000
        deadline_s = time.monotonic() + seconds
        request = CallerRequest(
            f"r{deadline_s}", "council", ENTRY, "POST", "/post", (), body, key,
            expires_ms, deadline_s,
        )  # fmt: skip
        request = request._replace(**more)
        run = self.runner.run if request.key else self.runner.dispatcher.run
        answer = await run(request)
        self.headed.set()
        self.got = got = []
        try:
            async for part in answer.parts:
                got.append(part)
            return b"".join(got)
        finally:
            answer.abandon()

    async def refused(self, *args, **more):
        with pytest.raises(WisteriapulleyError) as caught:
            await self.send(*args, **more)
        return caught.value.code

    def cut(self, sidecar):
        self.targets.targets[sidecar.name].link.close()


def with_fleet(sidecars=2, entries=1):
    """Run the test with so many targets and entries."""

    def wrap(test):
        def run(self):
            asyncio.run(start(test, self))

        async def start(test, self):
            control = FakeControl()
            targets = [
                await FakeSidecar(f"t{i}", control).start() for i in range(sidecars)
            ]
            clients = [FakeEntry(f"e{i}", control) for i in range(entries)]
            try:
                for client in clients:
                    await client.ready(sidecars)
                async with asyncio.timeout(30):
                    await test(self, control, targets, *clients)
            finally:
                for client in clients:
                    await client.targets.stop()
                for target in targets:
                    await target.stop()

        return run

    return wrap


class TestOnceRunner:
    @with_fleet()
    async def test_answer_whose_link_was_cut_comes_over_the_next(
        self, control, sidecars, entry
    ):
        sidecars[0].hold.clear()
        sending = asyncio.create_task(entry.send())
        await sidecars[0].begun.wait()
        entry.cut(sidecars[0])
        sidecars[0].hold.set()
        assert await sending == b"letter"
        assert sidecars[0].ran + sidecars[1].ran == ["k"]

    @with_fleet()
    async def test_closed_gate_leaves_a_tombstone_and_another_target_runs(
        self, control, sidecars, entry
    ):
        sidecars[0].gate.chart.fire("drain")
        assert await entry.send() == b"letter"
        assert (sidecars[0].ran, sidecars[1].ran) == ([], ["k"])
        assert [a.state for a in sidecars[0].gate.attempts.attempts.values()] == [
            "tombstone"
        ]

    @with_fleet(entries=2)
    async def test_resend_at_another_entry_gets_the_running_answer(
        self, control, sidecars, entry, other
    ):
        sidecars[0].hold.clear()
        first = asyncio.create_task(entry.send())
        await sidecars[0].begun.wait()
        second = asyncio.create_task(other.send())
        await asyncio.sleep(0.1)
        sidecars[0].hold.set()
        assert [await first, await second] == [b"letter", b"letter"]
        assert sidecars[0].ran + sidecars[1].ran == ["k"]

    @with_fleet(entries=2)
    async def test_claim_whose_dispatch_never_left_is_taken_over_once(
        self, control, sidecars, entry, other
    ):
        # Both follow the claim of an entry that died before it sent.
        entry.runner.dispatcher.send = never
        dead = asyncio.create_task(entry.send())
        await asyncio.sleep(0.1)
        dead.cancel()
        del entry.runner.dispatcher.send
        assert len(control.ledger.claims) == 1
        answers = await asyncio.gather(entry.send(), other.send(), other.send())
        assert answers == [b"letter"] * 3
        assert sidecars[0].ran + sidecars[1].ran == ["k"]

    @with_fleet()
    async def test_restarted_sidecar_may_have_run_it_and_it_is_never_rerun(
        self, control, sidecars, entry
    ):
        sidecars[0].hold.clear()
        sending = asyncio.create_task(entry.refused())
        await sidecars[0].begun.wait()
        await sidecars[0].restart(2)
        entry.targets.members_changed()
        assert await sending == ResultCode.MAY_HAVE_RUN
        assert await entry.refused() == ResultCode.MAY_HAVE_RUN
        assert sidecars[0].ran + sidecars[1].ran == ["k"]
        sidecars[0].hold.set()

    @with_fleet(sidecars=1)
    async def test_target_that_went_while_it_ran_is_no_not_run(
        self, control, sidecars, entry
    ):
        # Guards: "no link" was passed on as NO_TARGET, which says not run.
        entry.targets.started_s -= 60
        sidecars[0].hold.clear()
        sending = asyncio.create_task(entry.refused())
        await sidecars[0].begun.wait()
        del control.members["t0"]
        await sidecars[0].server.stop()
        entry.targets.members_changed()
        assert await sending == ResultCode.MAY_HAVE_RUN
        assert await entry.refused() == ResultCode.MAY_HAVE_RUN
        sidecars[0].hold.set()

    @with_fleet()
    async def test_without_ledger_only_a_first_send_is_refused_as_not_run(
        self, control, sidecars, entry
    ):
        control.away = True
        assert await entry.refused("new") == ResultCode.CLAIM_UNAVAILABLE
        code = await entry.refused("sent before", resend=True)
        assert code == ResultCode.KEY_UNRESOLVED
        assert not CODE_TABLE[code].not_run
        control.away = False
        await entry.send("known here")
        control.away = True
        assert await entry.refused("known here") == ResultCode.KEY_UNRESOLVED

    @with_fleet(entries=2)
    async def test_refused_resend_follows_the_claim_that_stands(
        self, control, sidecars, entry, other
    ):
        # Guards: a full queue refused the resend of what had run as not run.
        await entry.send()
        other.runner.dispatcher.placer.acquire = full
        assert await other.send() == b"letter"
        assert await other.refused("new") == ResultCode.OVERLOADED
        past = time.time_ns() // 1_000_000 - 1000
        assert await other.send(expires_ms=past) == b"letter"
        code = await other.refused("new", expires_ms=past)
        assert code == ResultCode.REQUEST_EXPIRED

    @with_fleet()
    async def test_deadline_passes_and_a_resend_gets_the_answer(
        self, control, sidecars, entry
    ):
        sidecars[0].hold.clear()
        assert await entry.refused(seconds=0.2) == ResultCode.DEADLINE_EXCEEDED
        sidecars[0].hold.set()
        assert await entry.send() == b"letter"
        assert sidecars[0].ran + sidecars[1].ran == ["k"]

    @with_fleet(sidecars=1)
    async def test_claim_known_not_to_run_is_released(self, control, sidecars, entry):
        # Otherwise a resend after its target has gone could only say "may have".
        sidecars[0].gate.chart.fire("drain")
        assert await entry.refused() == ResultCode.NO_TARGET
        (claim,) = control.ledger.claims.values()
        assert claim.target == ""
        sidecars[0].gate.chart.fire("reopen")
        assert await entry.send() == b"letter"

    @with_fleet()
    async def test_other_body_is_a_conflict(self, control, sidecars, entry):
        await entry.send()
        assert await entry.refused(body=b"2") == ResultCode.IDEMPOTENCY_CONFLICT

    @with_fleet()
    async def test_late_original_meets_its_tombstone_or_its_expiry(
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
        assert sidecars[0].ran == []

    @with_fleet(sidecars=1)
    async def test_target_that_takes_no_connection_did_not_run_it(
        self, control, sidecars, entry
    ):
        await sidecars[0].runner.cleanup()
        assert await entry.refused() == ResultCode.NO_TARGET


async def never(*args):
    await asyncio.Event().wait()


async def full(request, avoid):
    raise RequestError(ResultCode.OVERLOADED, "full", 100)


class TestLimits:
    def test_keyed_methods_are_those_that_the_client_never_repeats(self):
        from aiohttp.client import IDEMPOTENT_METHODS

        from wisteriapulley.entry.request import KEYED_METHODS

        assert not set(KEYED_METHODS) & set(IDEMPOTENT_METHODS)
