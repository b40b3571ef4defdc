"""Home regions: requests are served there or refused, and never sent elsewhere."""

import asyncio
import logging
from types import SimpleNamespace

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.fakes.plain import PlainTarget
from tests.fakes.platform import Origin, configuration
from tests.plain_fleet import ROUTE, SERVICE, Fleet
from tests.plain_fleet import play as play_fleet
from tests.test_direct_dispatch import (
    SETTINGS,
    FakeAnswer,
    FakeCaller,
    crash_tracker,
    events,
)
from tests.test_slot_allocation import ENGINE, FakeSidecars
from wisteriapulley.control.control_api import MAX_HOME_WARNINGS, ControlApi
from wisteriapulley.direct.dispatch import Dispatcher
from wisteriapulley.direct.registry import TargetRegistry
from wisteriapulley.direct.sidecars import Sidecars
from wisteriapulley.direct.slot_allocation import MAX_WITHOUT_SIDECAR, SlotAllocator
from wisteriapulley.direct.types import (
    BrokenAnswerError,
    CallerRequest,
    NotSentError,
    RefusalKind,
)
from wisteriapulley.entry.metrics import EntryMetrics
from wisteriapulley.metrics import Metrics
from wisteriapulley.platform import names
from wisteriapulley.policy.response_signals import RequestedCooldown, ResponseSignals
from wisteriapulley.policy.subset import Member, SubsetLimits, choose_subset
from wisteriapulley.regions import Regions
from wisteriapulley.rendezvous import rendezvous_weight
from wisteriapulley.routing import (
    Account,
    Route,
    RouteKind,
    RoutingTable,
    Service,
    Split,
    check_table,
)
from wisteriapulley.routing.homes import home_regions, home_warnings, shared_homes
from wisteriapulley.weights.desired_versions import DesiredVersions
from wisteriapulley.wire import messages
from wisteriapulley.wire.handshake import Identity
from wisteriapulley.wire.messages import TargetState

# Two failure domains in one region, and one in each of two others.
DOMAINS = {"n1": "north", "n2": "north", "s1": "south", "e1": "east"}
REGIONS = Regions(DOMAINS)
SOUTH_ENTRY = msgspec.structs.replace(
    SETTINGS, failure_domain="s1", failure_domain_regions=DOMAINS
)
IDENTITY = Identity("e", "entry", "s1", 1, b"k" * 40)
REGION_NAMES = sorted(set(DOMAINS.values()))
# A retry time of three tenths of the five seconds that callers wait is the longest one.
# Only a target that returns later than that leads to it; others are drawn below it.
LONGEST_RETRY_S = 1.49
HOMES = st.lists(st.sampled_from(REGION_NAMES), unique=True).map(tuple)


ONLY_S = (Split("s", 1),)


def route(homes=(), kind=RouteKind.STREAM, splits=ONLY_S, **more):
    more = {"attempts": 3, "resumable": True, **more}
    return Route("r", "h", "/", kind, splits, 6000, 400, homes=homes, **more)


def account(homes=(), name="a", keys=("k",)):
    return Account(name, keys, homes=homes)


def table(*routes, accounts=(), services=("s",)):
    return RoutingTable(1, routes, tuple(map(Service, services)), accounts)


def state(domain, number=0, service="s"):
    target_id = f"{service}-{domain}-{number}"
    address = f"10.{list(DOMAINS).index(domain)}.0.{number}:80"
    return TargetState(target_id, service, address, domain, sequence=1, slots=2)


def registry_of(*states, now_s=0.0):
    registry = TargetRegistry(REGIONS)
    registry.update(states, now_s)
    return registry


def whole_stream():
    return FakeAnswer([events(1, 2)])


class DomainClient:
    """Targets that behave as given for their failure domain; the others respond."""

    def __init__(self, **behaviour):
        self.behaviour = behaviour
        self.sent = []

    async def send(self, request, plan):
        domain = plan.target_id.split("-")[1]
        self.sent.append((domain, plan.target_id))
        answer = self.behaviour.get(domain, whole_stream)
        answer = answer() if callable(answer) else answer
        if isinstance(answer, Exception):
            raise answer
        return answer

    @property
    def domains(self):
        return [domain for domain, _ in self.sent]


def never(**options):
    """Return a response that ends only when the test does."""

    class Never(FakeAnswer):
        async def parts(self):
            yield events(1, 1)
            await asyncio.sleep(60)

    return Never(**options)


class Entry:
    """A dispatcher in the south with real slot allocation and fake targets."""

    def __init__(self, config, client, *states, sidecars=None):
        now_s = asyncio.get_running_loop().time()
        self.registry = registry_of(*states, now_s=now_s)
        self.client = client
        follower = SimpleNamespace(versions=DesiredVersions(), open_links=list)
        allocator = SlotAllocator(SOUTH_ENTRY, IDENTITY, self.registry, follower)
        if sidecars is not None:
            allocator.sidecars = sidecars
        self.metrics = Metrics("e", "entry")
        self.dispatcher = Dispatcher(
            SOUTH_ENTRY,
            self.registry,
            allocator,
            client,
            EntryMetrics(self.metrics),
            crash_tracker(),
        )
        self.dispatcher.set_table(config)
        self.caller = FakeCaller()

    async def send(self, caller=None):
        now_s = asyncio.get_running_loop().time()
        request = CallerRequest(
            "id", "POST", "/x", "h", "/x", (), b"body", "k", now_s, 5.0, 100, 50
        )
        return await self.dispatcher.serve(request, caller or self.caller)


def play(config, client, *states, sidecars=None):
    """Serve one request; return its refusal and the entry."""

    async def run():
        entry = Entry(config, client, *states, sidecars=sidecars)
        return await entry.send(), entry

    return asyncio.run(run())


def rejection(seconds):
    signals = ResponseSignals(cooldown=RequestedCooldown(seconds))
    return FakeAnswer(status=503, not_run=True, signals=signals)


class TestSharedHomes:
    @pytest.mark.parametrize(
        ("of_route", "of_account", "expected"),
        [
            ((), (), ()),
            (("north",), (), ("north",)),
            ((), ("north", "south"), ("north", "south")),
            (("north", "south"), ("south", "east"), ("south",)),
            (("north",), ("south",), None),
        ],
    )
    def test_both_sides_bind(self, of_route, of_account, expected):
        assert shared_homes(of_route, of_account) == expected


class TestWarnings:
    def test_unknown_region_is_named_with_its_user(self):
        config = table(route(("north", "nowhere")), accounts=(account(("south",)),))
        first, second = home_warnings(config, REGION_NAMES)
        assert "'r'" in first and "'nowhere'" in first and "east, north, south" in first
        assert "share none" in second

    def test_disjoint_homes_name_both(self):
        config = table(route(("north",)), accounts=(account(("south",)),))
        (warning,) = home_warnings(config, REGION_NAMES)
        for part in ("'r'", "'a'", "north", "south"):
            assert part in warning

    @pytest.mark.parametrize("regions", [[], REGION_NAMES])
    def test_table_without_such_homes(self, regions):
        config = table(route(("north",)), accounts=(account(), account(("north",))))
        assert not list(home_warnings(config, regions))

    def test_table_is_valid_all_the_same(self):
        check_table(table(route(("nowhere",)), accounts=(account(("south",)),)))

    def test_control_instance_accepts_and_warns_once_per_version(self, caplog):
        proposed = []

        async def propose(command):
            proposed.append(command)
            raise TimeoutError

        service = SimpleNamespace(
            settings=SimpleNamespace(failure_domain_regions=DOMAINS),
            state=SimpleNamespace(routing=SimpleNamespace(version=0)),
            propose=propose,
        )
        api = ControlApi(service)
        homes = tuple(f"nowhere-{n}" for n in range(MAX_HOME_WARNINGS + 5))
        config = table(route(homes))

        async def put_twice():
            for _ in range(2):
                with pytest.raises(Exception, match="no majority"):
                    await api.replace_routing(config, b"")

        with caplog.at_level(logging.WARNING):
            asyncio.run(put_twice())
        assert len(proposed) == 2
        warnings = [r for r in caplog.records if "nowhere" in r.getMessage()]
        assert len(warnings) == MAX_HOME_WARNINGS


class TestCandidates:
    """Targets of all regions."""

    STATES = tuple(state(domain, n) for domain in DOMAINS for n in range(2))

    @settings(derandomize=True)
    @given(HOMES)
    def test_are_those_in_the_homes_in_the_same_order(self, homes):
        registry = registry_of(*self.STATES)
        every = registry.candidates("s", 0.1)
        expected = [
            t for t in every if not homes or REGIONS.of(t.failure_domain) in homes
        ]
        assert registry.candidates("s", 0.1, homes=homes) == expected

    @settings(derandomize=True)
    @given(st.sets(st.integers(0, 7)), st.booleans())
    def test_without_homes_regions_change_nothing(self, unreachable, is_last):
        mapped, plain = registry_of(*self.STATES), TargetRegistry()
        plain.update(self.STATES, 0.0)
        for registry in (mapped, plain):
            for number in unreachable:
                target_id = self.STATES[number].target_id
                registry.targets[target_id].record_unreachable(0.1)
        got = [t.target_id for t in mapped.candidates("s", 0.2, is_last)]
        assert got == [t.target_id for t in plain.candidates("s", 0.2, is_last)]
        expected = [
            s.target_id for n, s in enumerate(self.STATES) if n not in unreachable
        ]
        assert got == expected

    def test_throttled_target_elsewhere_does_not_count(self):
        registry = registry_of(state("n1"), state("s1"))
        registry.targets["s-s1-0"].record_signals(rejection(1.0).signals, 0.0, 0.0)
        assert registry.throttled_s("s", 0.1, homes=("north",)) == 0.0
        assert registry.throttled_s("s", 0.0, homes=("south",)) == 1.0

    def test_unmapped_failure_domain_is_its_own_region(self):
        registry = TargetRegistry()
        registry.update([state("n1"), state("s1")], 0.0)
        assert [t.target_id for t in registry.candidates("s", 0.1, homes=("s1",))] == [
            "s-s1-0"
        ]


class TestPlacement:
    """An entry in the south, with an empty target next to it."""

    @pytest.mark.parametrize(
        ("of_route", "of_account", "expected"),
        [
            ((), (), {"s1"}),
            (("north",), (), {"n1"}),
            ((), ("east",), {"e1"}),
            (("north", "east"), ("south", "east"), {"e1"}),
        ],
    )
    def test_only_in_the_homes(self, of_route, of_account, expected):
        config = table(route(of_route), accounts=(account(of_account),))
        states = (state("n1"), state("s1"), state("e1"))
        refusal, entry = play(config, DomainClient(), *states)
        assert refusal is None
        assert set(entry.client.domains) == expected

    def test_route_and_account_without_common_home(self):
        config = table(route(("north",)), accounts=(account(("east",)),))
        states = (state("n1"), state("s1"), state("e1"))
        refusal, entry = play(config, DomainClient(), *states)
        assert refusal.kind is RefusalKind.UNAVAILABLE and not refusal.retry_s
        assert "'r'" in refusal.reason and "'a'" in refusal.reason
        assert not entry.client.sent
        refused = entry.metrics.counter("refused_in_homes_total", "")
        assert refused.get({"account": "other"}) == 1

    def test_unconfirmed_table_asks_for_a_retry(self):
        """The account may have got another home since this entry stopped."""
        config = table(route(("north",)), accounts=(account(("east",)),))

        async def run():
            entry = Entry(config, DomainClient(), state("n1"))
            entry.dispatcher.is_confirmed = lambda: False
            return await entry.send()

        refusal = asyncio.run(run())
        assert refusal.kind is RefusalKind.NOT_READY and refusal.retry_s

    def test_split_without_target_in_the_homes_gets_nothing(self):
        """Nine in ten requests belong to a service without a target in the north."""
        splits = (Split("s", 9), Split("t", 1))
        config = table(route(("north",), splits=splits), services=("s", "t"))
        states = (state("s1"), state("n1", service="t"))
        for _ in range(20):
            refusal, entry = play(config, DomainClient(), *states)
            assert refusal is None and entry.client.domains == ["n1"]

    def test_placed_line_has_the_failure_domain(self, caplog):
        with caplog.at_level(logging.INFO):
            play(table(route(("north",))), DomainClient(), state("n1"), state("s1"))
        (line,) = (r for r in caplog.records if r.getMessage() == "placed")
        assert "n1" in str(vars(line))


class TestEngines:
    """Engines in the homes, asked through their sidecars or without them."""

    STATES = tuple(state(domain, n) for domain in DOMAINS for n in range(2))

    def allocate(self, homes, sidecars):
        engine_table = table(route(homes))
        service = Service("s", engine=ENGINE)
        engine_table = engine_table._replace(services=(service,))
        return play(engine_table, DomainClient(), *self.STATES, sidecars=sidecars)

    def test_full_homes_are_refused_with_their_own_retry_time(self):
        asked = []

        class Full(FakeSidecars):
            async def reserve(self, link, target, reservation):
                asked.append(target.failure_domain)
                full = messages.Reserved(retry_ms=700)
                return full if target.failure_domain != "s1" else GRANT

        refusal, entry = self.allocate(("north", "east"), Full())
        assert refusal.kind is RefusalKind.OVERLOADED
        assert refusal.retry_s >= 0.7
        assert "home regions north, east" in refusal.reason
        assert sorted(asked) == ["e1", "e1", "n1", "n1", "n2", "n2"]
        assert not entry.client.sent

    def test_without_link_only_engines_in_the_homes(self):
        class Unlinked(FakeSidecars):
            def link_to(self, target):
                return None

        states = tuple(each._replace(version=1) for each in self.STATES)
        config = table(route(("east",)))
        service = Service("s", engine=ENGINE)
        config = config._replace(services=(service,))

        async def run():
            client = DomainClient(e1=never)
            entry = Entry(config, client, *states, sidecars=Unlinked())
            count = 2 * MAX_WITHOUT_SIDECAR + 1
            tasks = [asyncio.create_task(entry.send(FakeCaller())) for _ in range(5)]
            assert len(tasks) == count
            done, pending = await asyncio.wait(
                tasks, return_when=asyncio.FIRST_COMPLETED
            )
            refusals = [task.result() for task in done]
            for task in pending:
                task.cancel()
            await asyncio.gather(*pending, return_exceptions=True)
            return refusals, client.domains

        refusals, domains = asyncio.run(run())
        assert [r.kind for r in refusals] == [RefusalKind.OVERLOADED]
        assert domains == ["e1"] * 4


GRANT = messages.Reserved(True, 1)


class TestLoad:
    """The home region is full or throttled while the others are empty."""

    def test_full_homes_refuse_and_others_stay_empty(self):
        """Two slots in the north, six requests at once."""

        async def run():
            client = DomainClient(n1=never)
            states = (state("n1"), state("s1"), state("e1"))
            entry = Entry(table(route(("north",))), client, *states)
            tasks = [asyncio.create_task(entry.send(FakeCaller())) for _ in range(6)]
            while sum(task.done() for task in tasks) < 4:
                await asyncio.sleep(0)
            refusals = [task.result() for task in tasks if task.done()]
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            return refusals, client.domains

        refusals, domains = asyncio.run(run())
        assert domains == ["n1", "n1"]
        assert {r.kind for r in refusals} == {RefusalKind.OVERLOADED}
        assert all("home regions north" in r.reason for r in refusals)

    def test_retry_time_is_that_of_the_homes(self):
        """The north returns in 3 s, the south much sooner."""

        async def run():
            states = (state("n1"), state("s1"))
            entry = Entry(table(route(("north",))), DomainClient(), *states)
            now_s = asyncio.get_running_loop().time()
            for target_id, seconds in (("s-n1-0", 3.0), ("s-s1-0", 0.1)):
                target = entry.registry.targets[target_id]
                target.record_signals(rejection(seconds).signals, now_s, now_s)
            return await entry.send(), entry.client.sent

        refusal, sent = asyncio.run(run())
        assert not sent
        assert refusal.kind is RefusalKind.OVERLOADED
        assert refusal.retry_s > LONGEST_RETRY_S

    def test_retry_time_after_a_rejection_is_that_of_the_homes(self):
        config = table(route(("north",), attempts=1))
        client = DomainClient(n1=rejection(3.0))
        refusal, entry = play(config, client, state("n1"), state("s1"))
        assert client.domains == ["n1"]
        assert refusal.kind is RefusalKind.OVERLOADED
        assert refusal.retry_s > LONGEST_RETRY_S

    def test_rejection_is_retried_only_in_the_homes(self):
        """Both targets in the north reject; the south would accept."""
        client = DomainClient(n1=rejection(1.0), n2=rejection(1.0))
        states = (state("n1"), state("n2"), state("s1"))
        refusal, entry = play(table(route(("north",))), client, *states)
        assert sorted(client.domains) == ["n1", "n2"]
        assert refusal.kind is RefusalKind.OVERLOADED


class TestFailure:
    """The only target of the homes crashes or is gone; the south has an empty one."""

    def test_stream_resumes_in_the_homes(self):
        client = DomainClient(
            n1=FakeAnswer([events(1, 2)], breaks=True), n2=FakeAnswer([events(3, 4)])
        )
        # The second target of the north is used only once the first one broke off.
        states = (state("n1"), state("n2"), state("s1"))

        async def run():
            entry = Entry(table(route(("north",))), client, *states)
            entry.registry.targets["s-n2-0"].outstanding = 1
            return await entry.send(), entry

        refusal, entry = asyncio.run(run())
        assert refusal is None and entry.caller.ended
        assert entry.caller.body == events(1, 4)
        assert client.domains == ["n1", "n2"]

    def test_stream_without_another_target_in_the_homes_is_cut(self):
        client = DomainClient(n1=FakeAnswer([events(1, 2)], breaks=True))
        refusal, entry = play(
            table(route(("north",))), client, state("n1"), state("s1")
        )
        assert entry.caller.was_cut and entry.caller.body == events(1, 2)
        assert client.domains == ["n1"]

    def test_broken_answer_promises_nothing(self):
        """The request may have run, so the refusal must not say otherwise."""
        config = table(route(("north",), RouteKind.IDEMPOTENT, resumable=False))
        client = DomainClient(n1=lambda: BrokenAnswerError("closed"))
        refusal, entry = play(config, client, state("n1"), state("s1"))
        assert refusal.kind is RefusalKind.FAILED
        assert client.domains == ["n1"]

    def test_server_error_is_final_without_another_target_in_the_homes(self):
        config = table(route(("north",), RouteKind.IDEMPOTENT, resumable=False))
        client = DomainClient(n1=FakeAnswer(status=500))
        refusal, entry = play(config, client, state("n1"), state("s1"))
        assert refusal is None and entry.caller.status == 500
        assert client.domains == ["n1"]

    def test_unreachable_homes_are_refused_with_the_end_of_the_backoff(self):
        client = DomainClient(n1=lambda: NotSentError("refused"))

        async def run():
            entry = Entry(table(route(("north",))), client, state("n1"), state("s1"))
            entry.registry.targets["s-n1-0"].backoff_s = 3.0
            await entry.send()
            return await entry.send()

        refusal = asyncio.run(run())
        assert refusal.kind is RefusalKind.NOT_READY
        assert client.domains == ["n1"]
        assert refusal.retry_s > LONGEST_RETRY_S

    def test_homes_without_any_target(self):
        refusal, entry = play(table(route(("north",))), DomainClient(), state("s1"))
        assert refusal.kind is RefusalKind.NOT_READY and refusal.retry_s
        assert "home regions north" in refusal.reason
        assert not entry.client.sent


class TestLinks:
    """Links to sidecars of a large service, from an entry in the south."""

    OWN = Member("e", "s1")
    LIMITS = SubsetLimits(total=28, same_region=22, home_region=12)

    def members(self, count=200):
        domains = list(DOMAINS)
        return [Member(f"10.0.0.{n}", domains[n % 4]) for n in range(count)]

    def choose(self, members, homes=()):
        return choose_subset(members, self.OWN, REGIONS, self.LIMITS, homes)

    def at(self, region, members, names):
        return [
            m.name
            for m in members
            if REGIONS.of(m.failure_domain) == region and m.name in names
        ]

    @settings(derandomize=True)
    @given(st.integers(0, 300), HOMES)
    def test_homes_have_enough_links_and_change_no_other(self, count, homes):
        members = self.members(count)
        before, after = self.choose(members), self.choose(members, homes)
        assert after[: len(before)] == before
        assert len(after) == len(set(after))
        assert len(after) <= self.LIMITS.total + 12 * len(homes)
        for home in homes:
            all_there = self.at(home, members, [m.name for m in members])
            assert len(self.at(home, members, after)) >= min(12, len(all_there))

    @settings(derandomize=True)
    @given(st.integers(0, 300))
    def test_without_homes_subset_is_as_before(self, count):
        """The former rule: own domain, own region, then others, by weight."""
        members = self.members(count)
        weight = {m.name: rendezvous_weight("e", m.name) for m in members}
        near = [m for m in members if m.failure_domain == "s1"]
        far = [m for m in members if m.failure_domain != "s1"]
        near.sort(key=lambda m: weight[m.name])
        far.sort(key=lambda m: weight[m.name])
        chosen = near[: max(22, 28 - len(far))]
        chosen += far[: 28 - len(chosen)]
        assert self.choose(members) == [m.name for m in chosen]

    def test_homes_of_the_table_reach_the_links(self):
        """Large service: the north has 100 engines, and requests bound to it."""
        states = [
            TargetState(f"i-{n}", "s", f"{m.name}:80", m.failure_domain, sequence=1)
            for n, m in enumerate(self.members())
        ]
        sidecars = Sidecars(SOUTH_ENTRY, IDENTITY, registry_of(*states))
        before = sidecars.hosts_of("s")
        sidecars.home_regions = home_regions(table(route(("north",))))
        after = sidecars.hosts_of("s")
        assert len(self.at("north", self.members(), after)) == 12
        assert set(before) < set(after)

    def test_regions_of_services(self):
        bound = route(("north",))
        free = route(splits=(Split("t", 1),))
        only_routes = table(bound, free, services=("s", "t"))
        assert home_regions(only_routes) == {"s": ("north",)}
        both = table(bound, free, accounts=(account(("east",)),), services=("s", "t"))
        assert home_regions(both) == {"s": ("north",), "t": ("east",)}
        assert home_regions(table(free)) == {}


class TestFleet:
    """A control instance and entries on loopback, with a target in Sicily."""

    def test_configuration_with_a_home_elsewhere_is_accepted_and_obeyed(self, tmp_path):
        target = PlainTarget(0)
        fleet = Fleet(tmp_path, [target])
        homes = {"away": ["sardinia"], "home": ["sicily", "sardinia"]}
        routes = [
            {**ROUTE, "name": name, "path-prefix": f"/{name}/", "home-regions": regions}
            for name, regions in homes.items()
        ]

        async def scenario(fleet):
            config = configuration(2, Origin(), routes=routes, services=[SERVICE])
            await fleet.until(lambda: fleet.post(names.REPLACE_CALL, config))

            async def is_in_force():
                return (await fleet.send(0, b"in force", "/home/"))[0] == 200

            await fleet.until(is_in_force)
            status, retry_after = await fleet.send(0, b"elsewhere", "/away/")
            assert status == 503 and float(retry_after) > 0
            assert b"elsewhere" not in target.runs

        play_fleet(fleet, scenario)
