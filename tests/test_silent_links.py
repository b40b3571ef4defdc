"""Answers over a link that is silent for a while, or for good."""

import asyncio
import socket

import msgspec
import pytest
from aiohttp import web

from tests import test_entry_at_most_once as fleet
from tests.relay import Relay
from tests.test_entry_dispatch import answer_half, send_half
from tests.test_wire import HOUR_MS, identity
from wisteriapulley.catalogue import Limits
from wisteriapulley.errors import ResultCode, WireError
from wisteriapulley.settings import Address
from wisteriapulley.wire import Frame, LinkServer, connect, messages

SILENCE_MS = 400


async def send_halves(sidecar, request):
    """Send half of an answer, and the rest once it may."""
    response = web.StreamResponse()
    await response.prepare(request)
    await response.write(b"abc")
    sidecar.half_sent.set()
    await sidecar.may_answer.wait()
    await response.write(b"def")
    return response


def with_relays(sidecars=1):
    """Run a test with a relay before each sidecar."""

    def wrap(test):
        async def run(self):
            control = fleet.FakeControl()
            targets = []
            relays = []
            for number in range(sidecars):
                target = await fleet.FakeSidecar(f"t{number}", control).start()
                member = control.members[target.name]
                relay = Relay(member.address)
                await relay.start()
                control.members[target.name] = member._replace(address=relay.address)
                targets.append(target)
                relays.append(relay)
            entry = fleet.FakeEntry("e0", control)
            try:
                await entry.ready(sidecars)
                async with asyncio.timeout(30):
                    await test(self, targets, relays, entry)
            finally:
                await entry.targets.stop()
                for target, relay in zip(targets, relays, strict=True):
                    await target.stop()
                    await relay.stop()

        return lambda self: asyncio.run(run(self))

    return wrap


async def begin(sidecar, entry, **options):
    """Send a request; return its task once its target runs it without an answer."""
    sidecar.may_answer.clear()
    sending = asyncio.create_task(entry.send(**options))
    await sidecar.started.wait()
    return sending


async def silence_noticed(entry, *sidecars):
    """Wait until both ends of the links have noticed the silence."""
    for sidecar in sidecars:
        target = entry.targets.targets[sidecar.name]
        while target.link is not None:
            await asyncio.sleep(0.01)
    # The sidecar's end notices it at its next heartbeat.
    await asyncio.sleep(2 * fleet.HEARTBEAT_MS / 1000)


@pytest.fixture(autouse=True)
def short_silence(monkeypatch):
    monkeypatch.setattr(fleet, "SILENCE_MS", SILENCE_MS)


class TestLinkThatGoesOn:
    """Guards against ends of answers that lie in the sockets of a silent link."""

    @with_relays()
    async def test_answer_in_progress_is_whole(self, sidecars, relays, entry):
        answer_half(sidecars, {})
        sidecars[0].respond = send_halves
        sending = asyncio.create_task(entry.send(key=""))
        while not entry.received:
            await asyncio.sleep(0.01)
        relays[0].hold()
        await silence_noticed(entry, sidecars[0])
        sidecars[0].may_answer.set()
        relays[0].heal()
        assert await sending == b"abcdef"

    @with_relays()
    async def test_only_target_answers_a_request_that_it_has_read(
        self, sidecars, relays, entry
    ):
        sending = await begin(sidecars[0], entry, key="")
        relays[0].hold()
        await silence_noticed(entry, sidecars[0])
        sidecars[0].may_answer.set()
        relays[0].heal()
        assert await sending == b"letter"
        assert len(sidecars[0].executed_keys) == 1

    @with_relays()
    async def test_keyed_request_runs_once_and_is_answered(
        self, sidecars, relays, entry
    ):
        sending = await begin(sidecars[0], entry)
        relays[0].hold()
        await silence_noticed(entry, sidecars[0])
        sidecars[0].may_answer.set()
        relays[0].heal()
        assert await sending == b"letter"
        assert sidecars[0].executed_keys == ["k"]

    @with_relays()
    async def test_new_request_is_served_over_the_next_link(
        self, sidecars, relays, entry
    ):
        first = await begin(sidecars[0], entry, key="")
        relays[0].hold()
        await silence_noticed(entry, sidecars[0])
        relays[0].heal()
        sidecars[0].may_answer.set()
        assert await first == b"letter"
        while not entry.targets.views(fleet.ENTRY):
            await asyncio.sleep(0.01)
        assert await entry.send(key="") == b"letter"


class TestLinkThatStaysSilent:
    """A link that is dead must still be left, for another target or another link."""

    @with_relays(sidecars=2)
    async def test_request_without_a_head_goes_to_another_target(
        self, sidecars, relays, entry
    ):
        sending = await begin(sidecars[0], entry, key="")
        relays[0].hold()
        assert await sending == b"letter"
        assert len(sidecars[1].executed_keys) == 1

    @with_relays(sidecars=2)
    async def test_resumable_answer_goes_on_at_another_target(
        self, sidecars, relays, entry
    ):
        answer_half(sidecars, {"X-Resumable": "1"})
        sending = asyncio.create_task(entry.send(key=""))
        while not entry.received:
            await asyncio.sleep(0.01)
        relays[0].hold()
        assert await sending == b"abcdef"

    @with_relays(sidecars=2)
    async def test_resumable_answer_waits_for_room_at_another_target(
        self, sidecars, relays, entry
    ):
        # Guards against one look for room, at the moment of the silence.
        limited = msgspec.structs.replace(fleet.ENTRY, limits=Limits(in_flight=1))
        answer_half(sidecars, {"X-Resumable": "1"})
        sending = asyncio.create_task(entry.send(key="", entry=limited))
        while not entry.received:
            await asyncio.sleep(0.01)
        sidecars[1].respond = fleet.echo
        other = asyncio.create_task(entry.send(key="", entry=limited))
        await sidecars[1].started.wait()
        relays[0].hold()
        await silence_noticed(entry, sidecars[0])
        assert not sending.done()
        sidecars[1].respond = send_half
        sidecars[1].may_answer.set()
        assert await other == b"letter"
        assert await sending == b"abcdef"

    @with_relays()
    async def test_only_target_is_sent_the_request_over_the_next_link(
        self, sidecars, relays, entry
    ):
        sending = await begin(sidecars[0], entry, key="")
        relays[0].silence()
        sidecars[0].may_answer.set()
        assert await sending == b"letter"

    @with_relays()
    async def test_answer_that_can_not_be_resumed_is_cut_before_its_deadline(
        self, sidecars, relays, entry
    ):
        answer_half(sidecars, {})
        sending = asyncio.create_task(entry.send_refused(key="", seconds=600.0))
        await entry.head_received.wait()
        relays[0].silence()
        assert await sending == ResultCode.LINK_SILENT
        sidecars[0].may_answer.set()

    @with_relays()
    async def test_caller_who_leaves_ends_the_request_at_the_target(
        self, sidecars, relays, entry
    ):
        sending = await begin(sidecars[0], entry, key="", seconds=600.0)
        relays[0].silence()
        while entry.targets.link_to("t0") is None or not is_silent(entry):
            await asyncio.sleep(0.01)
        sending.cancel()
        while not sidecars[0].cancelled:
            await asyncio.sleep(0.01)
        sidecars[0].may_answer.set()


def is_silent(entry):
    """Return whether the entry has replaced a silent link."""
    return bool(entry.targets.targets["t0"].connection.retired_links)


class TestCancel:
    @with_relays()
    async def test_late_cancellation_does_not_end_a_later_attempt(
        self, sidecars, relays, entry
    ):
        # Guards against a cancellation that was held up on the link of the first one.
        gate = sidecars[0].gate
        sending = await begin(sidecars[0], entry, key="", request_id="r")
        gate.tasks["r"] = gate.tasks["r"]._replace(attempt=2)
        late = messages.Cancel("r", 1)
        await gate.receive_cancel(None, late, Frame(0, 0, late))
        await asyncio.sleep(0)
        sidecars[0].may_answer.set()
        assert await sending == b"letter"


class TestStop:
    """Guards against a sidecar that has drained and closes before it is read."""

    BODY = b"x" * 60_000

    async def answer(self, link, frame):
        link.hold(60.0)
        link.post(messages.AnswerPart("r", 0), reply_to=frame.id, body=self.BODY)
        self.answered.set()

    async def read_slowly(self, address):
        """Send a request and read nothing; return the link and the call."""
        link = await connect(
            address, identity("entry"), None, messages.Heartbeat, HOUR_MS, HOUR_MS
        )
        shrink_buffer(link, socket.SO_RCVBUF)
        link.transport.pause_reading()
        return link, link.call(messages.HaveQuery("v"))

    def test_slow_entry_reads_the_whole_answer(self):
        async def run():
            self.answered = asyncio.Event()
            server = LinkServer(
                identity("sidecar"), self.answer, messages.Heartbeat, HOUR_MS, HOUR_MS
            )
            server.on_open = lambda link: shrink_buffer(link, socket.SO_SNDBUF)
            link, call = await self.read_slowly(
                await server.start(Address("127.0.0.1", 0))
            )
            await self.answered.wait()
            stopping = asyncio.create_task(fleet.stop_links(server))
            await asyncio.sleep(0.1)
            link.transport.resume_reading()
            assert (await call.reply(30.0)).body == self.BODY
            await stopping

        asyncio.run(run())

    @pytest.mark.parametrize("loop_factory", fleet.BOTH_LOOPS)
    @pytest.mark.parametrize(
        ("stop", "has_ended"), [(fleet.stop_links, True), (LinkServer.stop, False)]
    )
    def test_entry_learns_whether_all_that_was_accepted_is_answered(
        self, stop, has_ended, loop_factory
    ):
        async def run():
            server = LinkServer(
                identity("sidecar"), never_answer, messages.Heartbeat, HOUR_MS, HOUR_MS
            )
            address = await server.start(Address("127.0.0.1", 0))
            link = await connect(
                address, identity("entry"), None, messages.Heartbeat, HOUR_MS, HOUR_MS
            )
            while not server.links:
                await asyncio.sleep(0.001)
            call = link.call(messages.HaveQuery("v"))
            await stop(server)
            with pytest.raises(WireError):
                await call.reply(30.0)
            assert link.peer_has_ended is has_ended

        with asyncio.Runner(loop_factory=loop_factory) as runner:
            runner.run(run())


async def never_answer(link, frame):
    await asyncio.Event().wait()


def shrink_buffer(link, option):
    """Make the kernel keep few bytes of a link."""
    sock = link.transport.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, option, 4096)
