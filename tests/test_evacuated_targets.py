"""An entry sends nothing to targets in evacuated failure domains."""

import asyncio
from types import SimpleNamespace

import pytest

from tests.test_direct_dispatch import (
    SETTINGS,
    FakeAllocator,
    FakeAnswer,
    FakeCaller,
    FakeClient,
    crash_tracker,
    events,
)
from tests.test_slot_allocation import (
    DENIED,
    ENGINE,
    IDENTITY,
    ROUTE,
    FakeSidecars,
)
from wisteriapulley.direct.dispatch import Dispatcher
from wisteriapulley.direct.progress import Admitted
from wisteriapulley.direct.registry import TargetRegistry
from wisteriapulley.direct.sidecars import Sidecars
from wisteriapulley.direct.slot_allocation import SlotAllocator
from wisteriapulley.direct.types import CallerRequest, Refusal, RefusalKind
from wisteriapulley.entry.metrics import EntryMetrics
from wisteriapulley.metrics import Metrics
from wisteriapulley.routing import (
    Account,
    Route,
    RouteIndex,
    RouteKind,
    RoutingTable,
    Service,
    Split,
)
from wisteriapulley.weights.desired_versions import DesiredVersions
from wisteriapulley.wire import messages
from wisteriapulley.wire.messages import TargetState

GRANTED = messages.Reserved(granted=True, version=1)
ONE_SERVICE = (Split("s", 1),)


def new_registry(*domains, service="s"):
    """Return a registry with one target in each of the given failure domains."""
    registry = TargetRegistry()
    add_targets(registry, service, domains)
    return registry


def add_targets(registry, service, domains):
    states = [
        TargetState(
            f"{service}-{n}",
            service,
            f"10.0.{len(service)}.{n}:80",
            domain,
            sequence=1,
            slots=4,
            version=1,
        )
        for n, domain in enumerate(domains)
    ]
    registry.update(states, 0.0)


class TestRegistry:
    def test_evacuated_targets_are_no_candidates_until_the_withdrawal(self):
        registry = new_registry("y", "z", "y")
        registry.evacuated = frozenset({"y"})
        assert [t.target_id for t in registry.candidates("s", 1.0)] == ["s-1"]
        registry.evacuated = frozenset()
        assert len(registry.candidates("s", 1.0)) == 3

    def test_wait_is_infinite(self):
        registry = new_registry("y")
        (target,) = registry.candidates("s", 1.0)
        registry.evacuated = frozenset({"y"})
        assert registry.wait_s(target, 1.0) == float("inf")

    def test_evacuated_targets_do_not_count_as_soon_available(self):
        """The one that is left rests for longer than the evacuated one would."""
        registry = new_registry("y", "z")
        registry.targets["s-1"].cooldown.until_s = 9.0
        registry.evacuated = frozenset({"y"})
        assert registry.throttled_s("s", 1.0) == 8.0

    def test_evacuated_targets_do_not_count_for_the_limit_of_ejections(self):
        """A third of the targets that are left may be ejected, and not a third of all.

        Otherwise failures during an evacuation would eject all that is left.
        """
        registry = new_registry(*"yyyyyy", "z", "z")
        registry.evacuated = frozenset({"y"})
        left = [registry.targets["s-6"], registry.targets["s-7"]]
        for target in left:
            for _ in range(20):
                registry.record_outcome(target, True, 1.0)
        assert sum(target.ejected_until_s > 0 for target in left) <= 1


def allocate(sidecars, registry, engine=ENGINE, permits=None):
    """Allocate a slot for one request."""

    async def run():
        now_s = asyncio.get_running_loop().time()
        registry.last_update_s = now_s - 60.0
        follower = SimpleNamespace(versions=DesiredVersions(), open_links=list)
        allocator = SlotAllocator(SETTINGS, IDENTITY, registry, follower)
        allocator.sidecars = sidecars
        if permits is not None:
            allocator.rate_permits = permits
        request = CallerRequest(
            "q", "POST", "/", "h", "/", (), b"", "", now_s, 5.4, 900, 90
        )
        admitted = Admitted(request, ROUTE, None, now_s + 5.4, False)
        return await allocator.allocate(admitted, "s", engine, set(), now_s)

    return asyncio.run(run())


class EvacuatingSidecars(FakeSidecars):
    """Sidecars of engines whose domains are evacuated while a request waits."""

    def __init__(self, registry, domains, *decisions):
        super().__init__(*decisions)
        self.registry = registry
        self.domains = frozenset(domains)
        self.released = []

    async def reserve(self, link, target, reservation):
        answer = await super().reserve(link, target, reservation)
        self.registry.evacuated = self.domains
        return answer

    def release(self, link, request_id, *outcome):
        self.released.append(link.peer_id)


class TestSlots:
    def test_slot_granted_before_the_evacuation_is_returned(self):
        registry = new_registry("y", "y", "y")
        sidecars = EvacuatingSidecars(registry, "y", GRANTED)
        assert isinstance(allocate(sidecars, registry), Refusal)
        assert len(sidecars.released) == len(sidecars.reservations) == 1

    def test_request_goes_on_to_a_domain_that_is_left(self):
        registry = new_registry("y", "z")
        sidecars = EvacuatingSidecars(registry, "y", GRANTED, GRANTED)
        slot = allocate(sidecars, registry)
        assert slot.target.failure_domain == "z"

    def test_request_that_waited_in_vain_skips_the_evacuated_domain(self):
        registry = new_registry("y", "y", "y", "y")
        sidecars = EvacuatingSidecars(registry, "y", DENIED)
        assert isinstance(allocate(sidecars, registry), Refusal)
        assert len(sidecars.reservations) == 1

    def test_engine_without_a_link_to_its_sidecar(self):
        registry = new_registry("y")
        registry.evacuated = frozenset({"y"})
        sidecars = FakeSidecars()
        sidecars.link_to = lambda target: None
        assert isinstance(allocate(sidecars, registry), Refusal)
        registry.evacuated = frozenset()
        assert not isinstance(allocate(sidecars, registry), Refusal)

    def test_plain_target_evacuated_while_a_permit_was_requested(self):
        registry = new_registry("y", "y")

        async def wait_s(target, now_s):
            registry.evacuated = frozenset({"y"})
            return 0.0

        permits = SimpleNamespace(wait_s=wait_s)
        assert isinstance(allocate(FakeSidecars(), registry, None, permits), Refusal)

    def test_service_without_any_target_left_is_refused_at_once(self):
        """Under load, a request must not wait for capacity that is gone."""
        registry = new_registry("y", "y")
        registry.evacuated = frozenset({"y"})
        sidecars = FakeSidecars()
        refusal = allocate(sidecars, registry)
        assert refusal.kind is RefusalKind.NOT_READY
        assert sidecars.reservations == []


class TestLinks:
    def select(self, registry, evacuated=()):
        registry.evacuated = frozenset(evacuated)
        sidecars = Sidecars(SETTINGS, IDENTITY, registry)
        return set(sidecars.hosts_of("s"))

    def test_links_to_evacuated_engines_are_kept_and_others_added(self):
        """More engines than links: the subset is filled up from what is left."""
        registry = new_registry(*["y"] * 30, *["z"] * 30)
        usual, during = self.select(registry), self.select(registry, "y")
        left = {t.host for t in registry.targets.values() if t.failure_domain == "z"}
        assert usual <= during
        assert len(during & left) == 28
        assert self.select(registry) == usual


class EvacuatingClient(FakeClient):
    """A client that runs something when it sends a request."""

    def __init__(self, on_send, *answers):
        super().__init__(*answers)
        self.on_send = on_send

    async def send(self, request, plan):
        self.on_send()
        return await super().send(request, plan)


def serve(registry, *answers, splits=ONE_SERVICE, evacuates="y"):
    """Serve a stream; domains are evacuated as soon as it is sent."""
    route = Route("r", "h", "/", RouteKind.STREAM, splits, 6000, 400, 400, 1, 2)
    route = route._replace(resumable=True)

    def evacuate():
        registry.evacuated = frozenset(evacuates)

    client, caller = EvacuatingClient(evacuate, *answers), FakeCaller()
    dispatcher = Dispatcher(
        SETTINGS,
        registry,
        FakeAllocator(registry),
        client,
        EntryMetrics(Metrics("e", "entry")),
        crash_tracker(),
    )
    services = tuple(Service(split.service) for split in splits)
    table = RoutingTable(1, (route,), services, (Account("a", ("k",)),))
    dispatcher.index = RouteIndex(table)

    async def run():
        now_s = asyncio.get_running_loop().time()
        request = CallerRequest(
            "id", "POST", "/x", "h", "/x", (), b"", "k", now_s, 5.0, 100, 50
        )
        return await dispatcher.serve(request, caller)

    refusal = asyncio.run(run())
    return refusal, caller, [plan.target_id for plan in client.plans]


class TestRequestsInProgress:
    def test_stream_in_progress_ends_where_it_runs(self):
        answer = FakeAnswer((events(1, 3),))
        refusal, caller, sent = serve(new_registry("y", "y"), answer)
        assert refusal is None and caller.ended
        assert sent == ["s-0"]

    def test_broken_stream_resumes_in_another_domain(self):
        broken = FakeAnswer((events(1, 2),), breaks=True)
        rest = FakeAnswer((events(3, 4),))
        refusal, caller, sent = serve(new_registry("y", "y", "z"), broken, rest)
        assert refusal is None and caller.body == events(1, 4)
        assert sent == ["s-0", "s-2"]

    def test_broken_stream_is_cut_if_nothing_is_left(self):
        broken = FakeAnswer((events(1, 2),), breaks=True)
        _, caller, sent = serve(new_registry("y", "y"), broken)
        assert caller.was_cut and sent == ["s-0"]

    @pytest.mark.parametrize("kind", ["other_instance", "not_run"])
    def test_retry_goes_to_another_domain(self, kind):
        rejected = FakeAnswer(status=421, **{kind: True})
        whole = FakeAnswer((events(1, 2),))
        refusal, _, sent = serve(new_registry("y", "y", "z"), rejected, whole)
        assert refusal is None
        assert sent == ["s-0", "s-2"]

    def test_split_without_a_target_left_is_not_chosen(self):
        registry = new_registry("y", "y")
        add_targets(registry, "other", ["z"])
        registry.evacuated = frozenset({"y"})
        splits = (Split("s", 99), Split("other", 1))
        whole = FakeAnswer((events(1, 2),))
        refusal, _, sent = serve(registry, whole, splits=splits)
        assert refusal is None and sent == ["other-0"]
