"""Routing tables that change while a request is in progress at an entry."""

import asyncio
from types import SimpleNamespace

import pytest
from bench.turned_away import VirtualLoop
from msgspec import structs

from tests.test_direct_dispatch import (
    SETTINGS,
    FakeAllocator,
    FakeAnswer,
    FakeCaller,
    FakeClient,
    crash_tracker,
    events,
)
from tests.test_slot_allocation import ENGINE, IDENTITY
from wisteriapulley.direct import sidecars
from wisteriapulley.direct.cold_services import ColdServices
from wisteriapulley.direct.dispatch import Dispatcher
from wisteriapulley.direct.registry import Target, TargetRegistry
from wisteriapulley.direct.service import SWEEP_INTERVAL_S, DirectEntryService
from wisteriapulley.direct.slot_allocation import SlotAllocator
from wisteriapulley.direct.types import (
    BrokenAnswerError,
    CallerRequest,
    Refusal,
    RefusalKind,
)
from wisteriapulley.entry.metrics import EntryMetrics
from wisteriapulley.metrics import Metrics
from wisteriapulley.platform.ingress import Ingress
from wisteriapulley.routing import (
    Account,
    Route,
    RouteKind,
    RoutingTable,
    Service,
    Split,
)
from wisteriapulley.wire.messages import TargetState

ROUTE = Route(
    "r", "h", "/", RouteKind.STREAM, (Split("s", 1),), 6000, 400, 400, 1, 2
)._replace(resumable=True)
SERVICES = (Service("s"), Service("other"))
ACCOUNTS = (Account("a", ("k",)),)
TABLE = RoutingTable(1, (ROUTE,), SERVICES, ACCOUNTS)
MOVED = ROUTE._replace(splits=(Split("other", 1),))
CHANGES = {
    "route moved": TABLE._replace(version=2, routes=(MOVED,)),
    "service gone": RoutingTable(2, (MOVED,), SERVICES[1:], ACCOUNTS),
    "time limit shortened": TABLE._replace(
        version=2, routes=(ROUTE._replace(timeout_ms=1),)
    ),
    "account gone": TABLE._replace(version=2, accounts=(Account("b", ("other",)),)),
    "homes changed": TABLE._replace(
        version=2, routes=(ROUTE._replace(homes=("elsewhere",)),)
    ),
}
# Longer than the shortened time limit.
PAUSE_S = 0.1


class ChangingEntry:
    """An entry whose routing table changes while a request waits for something."""

    def __init__(self, table, waits_for):
        self.table, self.waits_for = table, waits_for
        self.registry = TargetRegistry()
        self.registry.update(
            [
                TargetState(f"i-{n}", "s", f"10.0.0.{n}:80", "z", sequence=1, slots=4)
                for n in range(2)
            ],
            0.0,
        )
        self.metrics = EntryMetrics(Metrics("e", "entry"))
        self.client, self.caller = ChangingClient(self), FakeCaller()
        self.allocator = ChangingAllocator(self)
        self.dispatcher = Dispatcher(
            SETTINGS,
            self.registry,
            self.allocator,
            self.client,
            self.metrics,
            crash_tracker(),
        )

    async def reach(self, step):
        """Change the table if the request waits for this step."""
        if step == self.waits_for:
            await asyncio.sleep(PAUSE_S)
            self.dispatcher.set_table(self.table)
            await asyncio.sleep(PAUSE_S)

    def serve(self):
        async def run():
            request = CallerRequest(
                "id", "POST", "/x", "h", "/x", (), b"", "k", 0.0, 5.0, 100, 50
            )
            if self.waits_for != "table":
                self.dispatcher.set_table(TABLE)
            serving = asyncio.create_task(self.dispatcher.serve(request, self.caller))
            await self.reach("table")
            return await serving

        with asyncio.Runner(loop_factory=VirtualLoop) as runner:
            return runner.run(run())


class ChangingAllocator(FakeAllocator):
    """Has no slot at the first attempt if the request waits for one."""

    def __init__(self, entry):
        super().__init__(entry.registry)
        self.entry = entry
        self.asked = 0

    async def allocate(self, admitted, service, engine, tried, now_s, is_last=False):
        self.asked += 1
        if self.asked == 1:
            await self.entry.reach("slot")
            if self.entry.waits_for == "slot":
                return Refusal(RefusalKind.NOT_READY, 0.25, "none")
        return await super().allocate(admitted, service, engine, tried, now_s)

    def open_fraction(self, service, engine, now_s, homes):
        return 0.0


class ChangingClient(FakeClient):
    """Sends to a target whose stream breaks off if a second send is to follow."""

    def __init__(self, entry):
        super().__init__()
        self.entry = entry

    async def send(self, request, plan):
        self.plans.append(plan)
        await self.entry.reach("head")
        if self.entry.waits_for == "second send" and len(self.plans) == 1:
            return BreakingAnswer(self.entry)
        return ChangingAnswer(self.entry, int(plan.resume_after or 0))


class BreakingAnswer(FakeAnswer):
    """Two events, and the change before the stream breaks off."""

    def __init__(self, entry):
        super().__init__()
        self.entry = entry

    async def parts(self):
        yield events(1, 2)
        await self.entry.reach("second send")
        raise BrokenAnswerError("broke off")


class ChangingAnswer(FakeAnswer):
    """Four events, with a pause after the first."""

    def __init__(self, entry, last_event):
        super().__init__()
        self.entry, self.last_event = entry, last_event

    async def parts(self):
        yield events(self.last_event + 1, self.last_event + 1)
        await self.entry.reach("event")
        yield events(self.last_event + 2, 4)


class TestAdmittedRequest:
    """It ends by the table that admitted it, whatever a newer one says."""

    @pytest.mark.parametrize("waits_for", ["slot", "head", "event", "second send"])
    @pytest.mark.parametrize("change", CHANGES)
    def test_is_answered_after_a_change(self, change, waits_for):
        entry = ChangingEntry(CHANGES[change], waits_for)
        assert entry.serve() is None
        assert entry.caller.body == events(1, 4)
        assert entry.caller.ended and not entry.caller.was_cut
        assert entry.allocator.allocated == 0

    @pytest.mark.parametrize("change", CHANGES)
    def test_is_admitted_by_the_first_table(self, change):
        """It arrived before the entry had a table, and gets a result of that one."""
        entry = ChangingEntry(CHANGES[change], "table")
        refusal = entry.serve()
        expected = {
            # No target of the service that the route leads to now.
            "route moved": (RefusalKind.UNAVAILABLE, "no target"),
            "service gone": (RefusalKind.UNAVAILABLE, "no target"),
            # Its time has passed, and it was sent nowhere.
            "time limit shortened": (
                RefusalKind.UNAVAILABLE,
                "no time left to send it",
            ),
            "account gone": (RefusalKind.BAD_KEY, "unknown key"),
        }
        if change in expected:
            assert (refusal.kind, refusal.reason) == expected[change]
        else:
            assert refusal is None and entry.caller.ended


class FakeConnection:
    """A connection to a sidecar that has no open link."""

    open_link = None

    def __init__(self, *arguments):
        self.stopped = False

    def start(self):
        pass

    async def stop(self):
        self.stopped = True


class ModelEntry:
    """An entry with two engines of one service, which the next table lacks."""

    TABLE = TABLE._replace(services=(Service("s", engine=ENGINE), Service("other")))

    def __init__(self, key_path):
        key_path.write_text("k" * 40)
        settings = structs.replace(SETTINGS, fleet_key_file=str(key_path))
        self.service = DirectEntryService(settings, ChangingClient(self), Ingress)
        states = [
            TargetState(
                f"i-{n}", "s", f"10.0.0.{n}:80", "z", sequence=1, slots=4, version=1
            )
            for n in range(2)
        ]
        self.service.registry.update(states, 0.0)
        self.waits_for = "second send"
        self.sidecars = self.service.allocator.sidecars
        self.caller = FakeCaller()

    def set_table(self, table):
        self.service.follower.table = table
        self.service.table_changed(table)

    async def reach(self, step):
        if step == self.waits_for:
            self.set_table(CHANGES["service gone"])

    async def serve(self):
        self.set_table(self.TABLE)
        request = CallerRequest(
            "id", "POST", "/x", "h", "/x", (), b"", "k", 0.0, 5.0, 100, 50
        )
        return await self.service.dispatcher.serve(request, self.caller)


class TestSidecarsOfServiceThatWent:
    """Their links are kept for requests that an earlier table admitted."""

    @pytest.fixture
    def entry(self, tmp_path, monkeypatch):
        monkeypatch.setattr(sidecars, "ReconnectingLink", FakeConnection)
        return ModelEntry(tmp_path / "key")

    def test_stream_that_breaks_off_is_resumed_at_another_engine(self, entry):
        with asyncio.Runner(loop_factory=VirtualLoop) as runner:
            assert runner.run(entry.serve()) is None
        assert entry.caller.body == events(1, 4)
        assert entry.caller.ended and not entry.caller.was_cut

    def test_links_are_closed_after_the_last_request(self, entry):
        async def serve_and_sweep():
            await entry.serve()
            assert len(entry.sidecars.connections) == 2
            sweeping = asyncio.create_task(entry.service.sweep())
            await asyncio.sleep(2 * SWEEP_INTERVAL_S)
            sweeping.cancel()

        with asyncio.Runner(loop_factory=VirtualLoop) as runner:
            runner.run(serve_and_sweep())
        assert not entry.sidecars.connections


class TestLimitsOfServiceThatWent:
    """They hold for requests that an earlier table admitted."""

    def test_cold_target_still_needs_a_permit(self):
        cold = ColdServices()
        cold.set_table(RoutingTable(1, (), (Service("s", cold_per_s=1.0),)))
        state = TargetState("i", "s", "10.0.0.1:80", "z", cold_ms=5000)
        target = Target(state, 0.0)
        assert cold.may_be_cold(target, 0.0, lambda: True)
        cold.set_table(RoutingTable(2))
        assert cold.may_be_cold(target, 0.0, lambda: True)

    def test_warm_service_ends_its_limit(self):
        cold = ColdServices()
        cold.set_table(RoutingTable(1, (), (Service("s", cold_per_s=1.0),)))
        cold.set_table(RoutingTable(2, (), (Service("s"),)))
        assert not cold.limited

    def test_connections_to_a_target_are_still_shared(self):
        state = TargetState("i", "s", "10.0.0.1:80", "z", sequence=1, slots=8)
        registry = TargetRegistry()
        registry.update([state], 0.0)
        follower = SimpleNamespace(open_links=list)
        allocator = SlotAllocator(SETTINGS, IDENTITY, registry, follower)
        allocator.set_entry_count(4)
        target = registry.targets["i"]
        allocator.set_table(RoutingTable(1, (), (Service("s", max_connections=16),)))
        shared = allocator.max_requests(target)
        assert shared < target.slots
        allocator.set_table(RoutingTable(2))
        assert allocator.max_requests(target) == shared
