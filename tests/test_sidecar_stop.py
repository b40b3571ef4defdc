"""Requests at a sidecar that stops: each that it has read gets a result."""

import asyncio

import pytest
import uvloop
from aiohttp import web

from tests.fleet import free_port
from wisteriapulley.errors import ResultCode, WisteriapulleyError
from wisteriapulley.settings import Address, SidecarSettings
from wisteriapulley.sidecar.service import SidecarService
from wisteriapulley.wire import connect, messages
from wisteriapulley.wire.call import raise_failure
from wisteriapulley.wire.handshake import Identity

KEY = "k" * 40
HOUR_MS = 3_600_000
# For a busy machine.
TEST_TIMEOUT_S = 30.0
LOOPBACK = Address("127.0.0.1", 0)


class StoppingSidecar:
    """A sidecar of a plain target that never answers, and a link of an entry to it."""

    async def start(self, folder):
        app = web.Application()
        app.add_routes([web.post("/{rest:.*}", self.run)])
        self.runner = web.AppRunner(app, shutdown_timeout=0.1)
        await self.runner.setup()
        site = web.TCPSite(self.runner, "127.0.0.1", 0)
        await site.start()
        self.started = asyncio.Event()
        target_port = site._server.sockets[0].getsockname()[1]
        key_file = folder / "fleet.key"
        key_file.write_text(KEY)
        settings = SidecarSettings(
            node_id="t0",
            failure_domain="d",
            http_listen=LOOPBACK,
            wire_listen=LOOPBACK,
            fleet_key_file=str(key_file),
            control=(Address("127.0.0.1", free_port()),),
            service="s",
            kind="plain",
            target_url=f"http://127.0.0.1:{target_port}",
            heartbeat_ms=100,
            drain_ms=200,
        )
        self.service = SidecarService(settings)
        await self.service.start()
        self.service.chart.fire("adopt")
        self.link = await connect(
            self.service.wire_address,
            Identity("e0", "entry", "d", 1, self.service.identity.key),
            None,
            messages.Heartbeat,
            HOUR_MS,
            HOUR_MS,
        )

    async def run(self, request):
        self.started.set()
        await asyncio.Event().wait()

    async def dispatch(self, key=""):
        """Send a request; return its call once it runs at the target."""
        call = self.send("r", key)
        await self.started.wait()
        return call

    def send(self, request_id, key=""):
        """Send a request; return its call."""
        message = messages.Dispatch(
            request_id=request_id,
            method="POST",
            path="/post",
            remaining_ms=HOUR_MS,
            idempotency_key=key,
            attempt=1,
            incarnation=self.service.incarnation,
            expires_in_ms=HOUR_MS,
        )
        return self.link.call(message, b"letter")

    async def stop(self):
        self.link.close()
        await self.runner.cleanup()


@pytest.fixture(params=[asyncio.new_event_loop, uvloop.new_event_loop])
def play(request, tmp_path):
    """Return a function that plays a scenario with a sidecar."""

    def run(scenario):
        async def main():
            sidecar = StoppingSidecar()
            await sidecar.start(tmp_path)
            try:
                async with asyncio.timeout(TEST_TIMEOUT_S):
                    await scenario(sidecar)
            finally:
                await sidecar.stop()

        with asyncio.Runner(loop_factory=request.param) as runner:
            runner.run(main())

    return run


async def code_of(call):
    with pytest.raises(WisteriapulleyError) as caught:
        raise_failure(await call.reply())
    return caught.value.code


class TestRequestAtTheEndOfTheDrain:
    @pytest.mark.parametrize(
        ("key", "code"),
        [("", ResultCode.ANSWER_CUT), ("once", ResultCode.MAY_HAVE_RUN)],
    )
    def test_is_answered(self, play, key, code):
        async def scenario(sidecar):
            call = await sidecar.dispatch(key)
            await sidecar.service.stop()
            assert await code_of(call) == code
            assert sidecar.link.peer_has_ended

        play(scenario)


class TestRequestThatWaitsForTheEndOfItsEarlierAttempt:
    """Its engine stands still, and has not confirmed that the earlier one is ended."""

    def test_is_refused_as_not_run_when_its_sidecar_stops(self, play):
        async def scenario(sidecar):
            gate = sidecar.service.gate
            running = await sidecar.dispatch()
            gate.cancel_tasks["again"] = asyncio.create_task(asyncio.Event().wait())
            waiting = sidecar.send("again")
            while "again" not in gate.tasks:
                await asyncio.sleep(0.001)
            await sidecar.service.stop()
            assert await code_of(running) == ResultCode.ANSWER_CUT
            assert await code_of(waiting) == ResultCode.GATE_CLOSED

        play(scenario)

    def test_is_refused_at_once_while_its_sidecar_stops(self, play):
        async def scenario(sidecar):
            gate = sidecar.service.gate
            await sidecar.dispatch()
            gate.cancel_tasks["again"] = asyncio.create_task(asyncio.Event().wait())
            stopping = asyncio.create_task(sidecar.service.stop())
            while not sidecar.service.leaving:
                await asyncio.sleep(0)
            assert await code_of(sidecar.send("again")) == ResultCode.GATE_CLOSED
            await stopping

        play(scenario)
