"""What an entry with sidecars still sends while it stops, with callers over HTTP.

The targets of these tests answer within their time only where a test lets them, so a
request that is sent too late is cut at the end of the drain.
"""

import asyncio
import time
from types import SimpleNamespace

import msgspec
import pytest

from tests.test_entry_at_most_once import ENTRY, FakeEntry, run_with_fleet
from tests.test_entry_dispatch import send_half
from tests.test_entry_stop import (
    BODY,
    LAST_CHUNK,
    StoppableHarness,
    code_of,
    stop_nothing,
)
from wisteriapulley.catalogue import Limits
from wisteriapulley.entry.request import CallerRequest
from wisteriapulley.errors import RequestError, ResultCode
from wisteriapulley.policy import Work
from wisteriapulley.policy.drain_window import DrainWindow

ONE_SLOT = msgspec.structs.replace(ENTRY, limits=Limits(in_flight=1))
KEYED = msgspec.structs.replace(ENTRY, idempotent=False)
LEAVING = (503, ResultCode.LEAVING)
NEVER_S = 3600.0
# Ends what hangs at a target; nothing that is expected to take seconds fits in.
DRAIN_MS = 1000
# Longer than a silence of a target, which the limits allow for.
LONG_DRAIN_MS = 20_000


class DrainingEntry(StoppableHarness):
    """An entry with targets whose stop is observed by callers over HTTP."""

    def __init__(self, fleet_entry, control):
        self.fleet_entry, self.fleet_control = fleet_entry, control

    async def start(self, entry=ENTRY, drain_ms=DRAIN_MS):
        await super().start(None)
        service = self.service
        del service.run
        service.settings = msgspec.structs.replace(service.settings, drain_ms=drain_ms)
        service.at_most_once = self.fleet_entry.runner
        service.dispatcher = service.at_most_once.dispatcher
        service.placer = service.dispatcher.placer
        service.control.catalogue.image = SimpleNamespace(
            revision=1, entries={"letters": SimpleNamespace(entry=entry)}
        )
        service.targets = SimpleNamespace(stop=stop_nothing)

    async def learn_time(self, seconds):
        """Let requests of the size of `post` have taken so long before."""
        async with self.post() as response:
            assert (response.status, await response.read()) == (200, BODY)
        (pool,) = self.service.placer.pools.values()
        work = Work(0, "", "letters", 0, float(len(BODY)), 0.0)
        pool.scheduler.times.estimates.clear()
        pool.scheduler.times.record(work, seconds)
        return pool

    def post(self, **headers):
        return self.session.post(
            f"http://{self.http.address}/services/letters/post",
            headers={"X-Client-Account": "council", **headers},
            data=BODY,
        )

    def ask_code(self, **headers):
        """Send a request; return its status and code."""
        return asyncio.create_task(code_of(self.post(**headers)))

    def ask_body(self, **headers):
        """Send a request; return its body."""

        async def ask():
            async with self.post(**headers) as response:
                return response.status, await response.read()

        return asyncio.create_task(ask())

    async def begin_stop(self):
        stopping = asyncio.create_task(self.service.stop())
        while not self.service.leaving:
            await asyncio.sleep(0)
        return stopping


def play(scenario, sidecars=1, **settings):
    """Play a scenario with the HTTP side of an entry, and its targets."""

    async def main(control, targets, fleet_entry):
        entry = DrainingEntry(fleet_entry, control)
        await entry.start(**settings)
        try:
            await scenario(entry, *targets)
        finally:
            for target in targets:
                target.may_answer.set()
            await entry.stop()

    asyncio.run(run_with_fleet(main, sidecars))


def parsed_request(seconds):
    """Return a request with this time limit."""
    deadline_s = time.monotonic() + seconds
    return CallerRequest(
        "r", "council", ONE_SLOT, "POST", "/post", (), BODY, "", 0, deadline_s,
        units=float(len(BODY)),
    )  # fmt: skip


async def hang(sidecar, request):
    """Answer nothing."""
    await asyncio.Event().wait()


def hold(sidecar):
    """Let a target answer its requests later; forget those before."""
    sidecar.may_answer.clear()
    sidecar.started.clear()
    sidecar.executed_keys.clear()


class TestRequestThatWaitsForASlot:
    async def queue_two(self, entry, target, seconds, **headers):
        """Let one request run and one wait; return both, and the pool."""
        pool = await entry.learn_time(seconds)
        hold(target)
        running = entry.ask_body()
        await target.started.wait()
        waiting = asyncio.create_task(self.outcome(entry, headers))
        while not pool.queued_futures:
            await asyncio.sleep(0.001)
        return running, waiting, pool

    async def outcome(self, entry, headers):
        async with entry.post(**headers) as response:
            code = int(response.headers["X-Result-Code"])
            return response.status, code

    def test_is_refused_at_once_if_it_can_not_end_before_the_drain(self):
        async def scenario(entry, target):
            running, waiting, pool = await self.queue_two(entry, target, 5.0)
            stopping = await entry.begin_stop()
            target.respond = hang
            target.may_answer.set()
            assert await running == (200, BODY)
            assert await waiting == LEAVING
            assert target.executed_keys == [""]
            await stopping

        play(scenario, entry=ONE_SLOT)

    def test_is_served_if_it_is_expected_to_end_before_the_drain(self):
        async def scenario(entry, target):
            running, waiting, _ = await self.queue_two(entry, target, 0.1)
            stopping = await entry.begin_stop()
            target.may_answer.set()
            assert await running == (200, BODY)
            assert await waiting == (200, ResultCode.OK)
            await stopping

        play(scenario, entry=ONE_SLOT, drain_ms=LONG_DRAIN_MS)

    def test_is_served_if_its_own_limit_ends_before_the_drain(self):
        async def scenario(entry, target):
            headers = {"X-Request-Timeout-Ms": str(LONG_DRAIN_MS // 2)}
            running, waiting, pool = await self.queue_two(entry, target, 1.0, **headers)
            stopping = await entry.begin_stop()
            work = Work(0, "", "letters", 0, float(len(BODY)), 0.0)
            pool.scheduler.times.estimates.clear()
            pool.scheduler.times.record(work, 6.0)
            target.may_answer.set()
            assert await running == (200, BODY)
            assert await waiting == (200, ResultCode.OK)
            await stopping

        play(scenario, entry=ONE_SLOT, drain_ms=LONG_DRAIN_MS)

    @pytest.mark.parametrize("stall_s", [0.0, 12.0])
    def test_is_refused_if_a_late_signal_leaves_no_time(self, stall_s):
        """A process that stood still as it got the signal may be killed earlier."""

        async def scenario(entry, target):
            running, waiting, _ = await self.queue_two(entry, target, 10.0)
            now_s = asyncio.get_running_loop().time()
            entry.service.stalls.record_run(now_s - stall_s)
            stopping = await entry.begin_stop()
            target.may_answer.set()
            assert await running == (200, BODY)
            assert await waiting == (LEAVING if stall_s else (200, ResultCode.OK))
            await stopping

        play(scenario, entry=ONE_SLOT, drain_ms=LONG_DRAIN_MS)


class TestBodyOnItsWay:
    @pytest.mark.parametrize("seconds", [5.0, 0.0])
    def test_request_is_refused_if_it_can_not_end_before_the_drain(self, seconds):
        """Without a response before, only its own limit says when it ends."""

        async def scenario(entry, target):
            if seconds:
                await entry.learn_time(seconds)
            hold(target)
            reader, writer = await entry.send(BODY[:-1])
            await entry.in_progress()
            stopping = await entry.begin_stop()
            writer.write(BODY[-1:])
            answer = await reader.read()
            writer.close()
            assert answer.startswith(b"HTTP/1.1 503 ")
            assert b"X-Result-Code: %d\r\n" % ResultCode.LEAVING in answer
            assert target.executed_keys == []
            await stopping

        play(scenario)


class TestSecondAttempt:
    def test_is_not_begun_for_a_refused_request_that_can_not_end_in_time(self):
        async def scenario(entry, closing, other):
            await entry.learn_time(5.0)
            hold(closing), hold(other)
            link = entry.fleet_entry.targets.targets["t0"].link
            link.transport.pause_reading()
            closing.gate.chart.fire("drain")
            asking = entry.ask_code()
            await entry.in_progress()
            while not link.calls:
                await asyncio.sleep(0.001)
            stopping = await entry.begin_stop()
            link.transport.resume_reading()
            assert await asking == LEAVING
            assert closing.executed_keys + other.executed_keys == []
            await stopping

        play(scenario, sidecars=2)

    def test_is_begun_for_a_failed_request_unless_it_surely_ends_too_late(self):
        """Without it the request fails, so a silence is no reason against it."""

        async def scenario(entry, failing, other):
            await entry.learn_time(0.1)
            hold(failing)
            asking = entry.ask_body()
            await failing.started.wait()
            stopping = await entry.begin_stop()
            entry.fleet_entry.cut_link(failing)
            assert await asking == (200, BODY)
            await stopping

        play(scenario, sidecars=2, drain_ms=LONG_DRAIN_MS)

    def test_of_a_failed_request_is_not_begun_too_late(self):
        async def scenario(entry, failing, other):
            await entry.learn_time(5.0)
            hold(failing), hold(other)
            asking = entry.ask_code()
            await failing.started.wait()
            stopping = await entry.begin_stop()
            entry.fleet_entry.cut_link(failing)
            status, code = await asking
            assert (status, code) == (503, ResultCode.LINK_CLOSED)
            assert other.executed_keys == []
            await stopping

        play(scenario, sidecars=2)

    def test_resumes_a_response_that_has_begun_however_late_it_is(self):
        async def scenario(entry, cut, other):
            await entry.learn_time(5.0)
            for target in (cut, other):
                hold(target)
                target.respond, target.headers = send_half, {"X-Resumable": "1"}
                target.half_sent = asyncio.Event()
            reader, writer = await entry.send(BODY)
            begun = await reader.readuntil(b"abc")
            stopping = await entry.begin_stop()
            entry.fleet_entry.cut_link(cut)
            rest = await reader.read()
            writer.close()
            assert begun.startswith(b"HTTP/1.1 200 ")
            assert b"def" in rest and rest.endswith(LAST_CHUNK)
            await stopping

        play(scenario, sidecars=2)


class TestRequestWithAKey:
    def headers(self):
        expires_ms = time.time_ns() // 1_000_000 + 60_000
        return {"Idempotency-Key": "k", "Idempotency-Expires": str(expires_ms)}

    def test_is_not_sent_if_its_claim_comes_too_late_and_runs_once_elsewhere(self):
        async def scenario(entry, target):
            may_claim = asyncio.Event()
            control = entry.fleet_control
            propose = control.propose

            async def propose_late(command):
                await may_claim.wait()
                return await propose(command)

            control.propose = propose_late
            hold(target)
            asking = entry.ask_code(**self.headers())
            while not entry.service.at_most_once.claimed_keys:
                await asyncio.sleep(0.001)
            stopping = await entry.begin_stop()
            may_claim.set()
            assert await asking == LEAVING
            assert target.executed_keys == []
            await stopping
            await self.send_elsewhere(control, target)

        play(scenario, entry=KEYED)

    def test_is_refused_as_not_run_if_the_ledger_does_not_answer_in_time(self):
        """The claim is committed, so the resend asks the target first."""

        async def scenario(entry, target):
            control = entry.fleet_control
            propose, lost = control.propose, asyncio.Event()

            async def propose_without_answer(command):
                await propose(command)
                lost.set()
                await asyncio.Event().wait()

            control.propose = propose_without_answer
            hold(target)
            asking = entry.ask_code(**self.headers())
            await lost.wait()
            await (await entry.begin_stop())
            assert await asking == LEAVING
            control.propose = propose
            await self.send_elsewhere(control, target)

        play(scenario, entry=KEYED)

    def test_is_refused_before_the_end_if_its_claim_can_not_be_released(self):
        """At the end of the drain it would be taken for one that may have run."""

        async def scenario(entry, target):
            control, placer = entry.fleet_control, entry.service.placer
            propose, proposed = control.propose, []

            async def propose_first(command):
                proposed.append(command)
                if len(proposed) > 1:
                    await asyncio.Event().wait()
                result = await propose(command)
                # The claim has just come as it is too late to send the request.
                placer.begin_drain(LONG_DRAIN_MS / 1000, 0.0)
                return result

            control.propose = propose_first
            hold(target)
            asking = entry.ask_code(**self.headers())
            while len(proposed) < 2:
                await asyncio.sleep(0.001)
            stopping = await entry.begin_stop()
            assert await asking == (503, ResultCode.KEY_UNRESOLVED)
            assert not entry.service.overdue and target.executed_keys == []
            await stopping
            control.propose = propose
            await self.send_elsewhere(control, target)

        play(scenario, entry=KEYED, drain_ms=LONG_DRAIN_MS)

    async def send_elsewhere(self, control, target):
        """Send the key again through another entry; it runs once."""
        target.may_answer.set()
        other = FakeEntry("e1", control)
        await other.ready(1)
        assert await other.send(body=BODY, entry=KEYED) == BODY
        assert target.executed_keys == ["k"]
        await other.targets.stop()


class TestSilentTarget:
    @pytest.mark.parametrize(("seconds", "may_leave"), [(0.1, True), (60.0, False)])
    def test_is_left_only_if_another_one_can_answer_in_time(self, seconds, may_leave):
        """It may go on before the drain ends; a late second attempt would be cut."""

        async def scenario(entry, silent, other):
            await entry.learn_time(seconds)
            placer, dispatcher = entry.service.placer, entry.service.dispatcher
            request = parsed_request(NEVER_S)
            slot = await placer.acquire(request, set())
            placer.begin_drain(LONG_DRAIN_MS / 1000, 0.0)
            avoid = {slot.node_id}
            left = dispatcher.can_leave(request, slot, avoid, 1, slot.link)
            assert left == may_leave
            slot.release(ok=False)

        play(scenario, sidecars=2)


class TestWaitThatBecomesTooLate:
    def test_is_ended_by_the_next_look_at_the_queue(self):
        async def scenario(entry, target):
            pool = await entry.learn_time(5.0)
            placer = entry.service.placer
            slot = await placer.acquire(parsed_request(NEVER_S), set())
            waiting = asyncio.create_task(placer.acquire(parsed_request(60.0), set()))
            while not pool.queued_futures:
                await asyncio.sleep(0)
            placer.begin_drain(LONG_DRAIN_MS / 1000, 0.0)
            pool.sweep()
            assert not waiting.done() and pool.scheduler.queue
            now_s = time.monotonic()
            placer.limits.window = DrainWindow(now_s + 1.0, now_s)
            pool.sweep()
            with pytest.raises(RequestError) as caught:
                await waiting
            assert caught.value.code == ResultCode.LEAVING
            assert not pool.scheduler.queue
            slot.release(ok=False)

        play(scenario, entry=ONE_SLOT)
