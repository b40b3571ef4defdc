"""Links and slot requests of an entry to the sidecars of engines."""

import asyncio

from tests.test_direct_dispatch import SETTINGS
from wisteriapulley.direct.registry import TargetRegistry
from wisteriapulley.direct.sidecars import (
    OPENING_STATE,
    REPLIED_LOAD_S,
    Sidecars,
)
from wisteriapulley.errors import ResultCode, WireError
from wisteriapulley.policy.answer_times import MAX_WAIT_S
from wisteriapulley.wire import Frame, messages
from wisteriapulley.wire.call import Call
from wisteriapulley.wire.handshake import Identity
from wisteriapulley.wire.messages import TargetState

RESERVATION = messages.Reserve("r", 100, 50, 1, 400)
GRANT = messages.Reserved(True, 1)
QUEUED = messages.Reserved(queued=True)
IDENTITY = Identity("e", "entry", "z", 1, b"k" * 40)


class FakeLink:
    """A link whose peer replies, queues, only sends heartbeats, or is unresponsive."""

    def __init__(self, answer_s=None, alive_s=None, queued_s=None):
        self.answer_s, self.alive_s, self.queued_s = answer_s, alive_s, queued_s
        self.last_received = 0.0
        self.closed = asyncio.Event()
        self.peer_heartbeat = messages.Heartbeat(state="open")
        self.peer_id = "sidecar"
        self.calls = {}
        self.posted = []

    def call(self, message):
        call = self.calls[1] = Call(self, 1)
        loop = asyncio.get_running_loop()
        if self.alive_s is not None:
            loop.call_later(self.alive_s, self.receive)
        if self.queued_s is not None:
            loop.call_later(self.queued_s, self.answer, call, QUEUED)
        if self.answer_s is not None:
            loop.call_later(self.answer_s, self.answer, call, GRANT)
        return call

    def receive(self):
        self.last_received = asyncio.get_running_loop().time()

    def answer(self, call, message):
        self.receive()
        call.replies.put_nowait(Frame(1, 1, message, b""))

    def post(self, message):
        self.posted.append(message)


class FakeConnection:
    def __init__(self, link):
        self.open_link = link
        self.stopped = False

    async def stop(self):
        self.stopped = True


def state(target_id, host="10.0.0.1", port=80, **more):
    return TargetState(
        target_id, "s", f"{host}:{port}", "z", sequence=1, slots=8, **more
    )


def now_s():
    return asyncio.get_running_loop().time()


def play(scenario, **link):
    async def run():
        registry = TargetRegistry()
        registry.update([state("i-1")], 0.0)
        sidecars = Sidecars(SETTINGS, IDENTITY, registry)
        fake = FakeLink(**link)
        sidecars.connections["10.0.0.1"] = FakeConnection(fake)
        await scenario(sidecars, fake, registry)

    asyncio.run(run())


class TestSidecars:
    def test_unresponsive_sidecar_is_unavailable_until_it_sends(self):
        """The link of a frozen instance counts as open for a second or more."""

        async def scenario(sidecars, link, registry):
            target = registry.targets["i-1"]
            assert sidecars.is_available(target)
            assert await sidecars.reserve(link, target, RESERVATION) is None
            assert link.posted == [messages.Release("r")]
            assert not sidecars.is_available(target)
            assert sidecars.pending["10.0.0.1"] == 0
            link.receive()
            assert sidecars.is_available(target)

        play(scenario)

    def test_waits_for_the_decision_on_a_queued_request(self):
        async def scenario(sidecars, link, registry):
            answer = await sidecars.reserve(link, registry.targets["i-1"], RESERVATION)
            assert answer == GRANT

        play(scenario, queued_s=0.01, answer_s=2 * MAX_WAIT_S)

    def test_heartbeat_is_no_reply(self):
        """Over a slow link, old heartbeats arrive while the slot request is queued."""

        async def scenario(sidecars, link, registry):
            assert (
                await sidecars.reserve(link, registry.targets["i-1"], RESERVATION)
                is None
            )
            assert link.posted == [messages.Release("r")]

        play(scenario, alive_s=0.01, answer_s=2 * MAX_WAIT_S)

    def test_closed_link_does_not_count_as_slow(self):
        """A sidecar that has just restarted has free slots and is not slow."""

        async def scenario(sidecars, link, registry):
            target = registry.targets["i-1"]
            request = asyncio.create_task(sidecars.reserve(link, target, RESERVATION))
            await asyncio.sleep(0)
            closed = WireError(ResultCode.LINK_CLOSED, "sidecar")
            link.calls[1].replies.put_nowait(closed)
            assert await request is None
            assert sidecars.load_of(target, now_s()).outstanding == 0

        play(scenario)

    def test_slow_sidecar_is_asked_after_busy_ones(self):
        """Over a slow link, the sidecar's last heartbeat still reports a low load."""

        async def scenario(sidecars, link, registry):
            target = registry.targets["i-1"]
            await sidecars.reserve(link, target, RESERVATION)
            load = sidecars.load_of(target, now_s())
            assert load.outstanding > load.slots

        play(scenario, alive_s=0.01, answer_s=2 * MAX_WAIT_S)

    def test_slot_of_a_disconnected_caller_is_released(self):
        async def scenario(sidecars, link, registry):
            target = registry.targets["i-1"]
            request = asyncio.create_task(sidecars.reserve(link, target, RESERVATION))
            await asyncio.sleep(0)
            request.cancel()
            await asyncio.gather(request, return_exceptions=True)
            assert link.posted == [messages.Release("r")]
            assert sidecars.is_available(target)

        play(scenario)

    def test_opening_engine_comes_after_one_with_free_slots(self):
        async def scenario(sidecars, link, registry):
            target = registry.targets["i-1"]
            link.peer_heartbeat = messages.Heartbeat(state=OPENING_STATE)
            assert sidecars.is_available(target)
            assert sidecars.load_of(target, now_s()).outstanding >= target.slots

        play(scenario)

    def test_link_is_kept_for_another_target_on_its_host(self):
        async def scenario(sidecars, link, registry):
            connection = sidecars.connections["10.0.0.1"]
            registry.targets.pop("i-1")
            registry.update([state("i-2", port=81)], 0.0)
            sidecars.keep_links(["s"])
            await sidecars.drop_links()
            assert sidecars.connections["10.0.0.1"] is connection
            assert not connection.stopped
            registry.targets.clear()
            sidecars.keep_links(["s"])
            await sidecars.drop_links()
            assert connection.stopped and not sidecars.connections

        play(scenario)

    def test_link_with_a_queued_request_is_kept(self):
        """A change of the configuration ended the wait of requests in progress."""

        async def scenario(sidecars, link, registry):
            target = registry.targets["i-1"]
            connection = sidecars.connections["10.0.0.1"]
            request = asyncio.create_task(sidecars.reserve(link, target, RESERVATION))
            await asyncio.sleep(0)
            sidecars.keep_links([])
            await sidecars.drop_links()
            assert not connection.stopped
            request.cancel()
            await asyncio.gather(request, return_exceptions=True)
            await sidecars.drop_links()
            assert connection.stopped

        play(scenario)


class TestRepliedLoad:
    """Reports are rare; the replies to slot requests tell the load meanwhile."""

    BUSY = messages.Reserved(True, 1, running=7, waiting=1)

    def play(self, check):
        async def scenario(sidecars, link, registry):
            link.answer = lambda call, message: (
                link.receive(),
                call.replies.put_nowait(Frame(1, 1, self.BUSY, b"")),
            )
            target = registry.targets["i-1"]
            await sidecars.reserve(link, target, RESERVATION)
            check(sidecars, link, target)

        play(scenario, answer_s=0.001)

    def test_counts_until_the_next_report(self):
        def check(sidecars, link, target):
            assert sidecars.load_of(target, now_s()).outstanding >= 8
            link.peer_heartbeat = messages.Heartbeat(state="open", running=2)
            assert sidecars.load_of(target, now_s()).outstanding < 3

        self.play(check)

    def test_fades_if_nothing_is_reported(self):
        """A sidecar whose load is again as reported sends no report."""

        def check(sidecars, link, target):
            later_s = now_s() + REPLIED_LOAD_S
            assert sidecars.load_of(target, later_s).outstanding < 1

        self.play(check)

    def test_burst_of_one_entry_is_spread_without_reports(self):
        """Four engines of another region; each report is older than the burst."""

        async def run():
            registry = TargetRegistry()
            hosts = [f"10.0.0.{n}" for n in range(4)]
            states = [state(f"i-{n}", host) for n, host in enumerate(hosts)]
            registry.update(states, now_s())
            sidecars = Sidecars(SETTINGS, IDENTITY, registry)
            sent = dict.fromkeys(hosts, 0)
            for host in hosts:
                sidecars.connections[host] = FakeConnection(FakeLink())
            for _ in range(24):
                target = min(
                    registry.targets.values(),
                    key=lambda target: sidecars.load_of(target, now_s()).cost,
                )
                sent[target.host] += 1
                reply = messages.Reserved(True, 1, running=sent[target.host])
                link = sidecars.link_to(target)
                sidecars.record_reply(link, target.host, Frame(1, 1, reply))
            return sent

        assert set(asyncio.run(run()).values()) == {6}
