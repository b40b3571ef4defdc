"""Slot requests of an entry to the sidecars of engines."""

import asyncio
from types import SimpleNamespace

import pytest
from bench.turned_away import VirtualLoop
from msgspec import structs

from tests.test_direct_dispatch import SETTINGS
from wisteriapulley.clocks import steady_s
from wisteriapulley.direct.progress import Admitted
from wisteriapulley.direct.registry import TargetRegistry
from wisteriapulley.direct.slot_allocation import (
    UNKNOWN_WAIT_MS,
    SlotAllocator,
)
from wisteriapulley.direct.types import CallerRequest, Refusal, RefusalKind
from wisteriapulley.policy.slot_requests import DenialReason
from wisteriapulley.policy.target_ranking import Load
from wisteriapulley.policy.version_end import (
    BEGIN_MARGIN_MS,
    PAUSE_ALLOWANCE_MS,
    start_left_ms,
)
from wisteriapulley.routing import Engine, Route, RouteKind, Split
from wisteriapulley.weights.desired_versions import DesiredVersions
from wisteriapulley.wire import messages
from wisteriapulley.wire.handshake import Identity
from wisteriapulley.wire.messages import TargetState

ENGINE = Engine("m", 12, 7, 6.73, 0.02, 30.6)
IDENTITY = Identity("e", "entry", "z", 1, b"k" * 40)
SPLITS = (Split("s", 1),)
ROUTE = Route("r", "h", "/", RouteKind.STREAM, SPLITS, 6000, 400, resumable=True)
DENIED = messages.Reserved(retry_ms=100)
# For a busy machine.
SLACK_S = 5.0
OLD_VERSION_MS = 60_000


class FakeSidecars:
    """Sidecars that return the given decisions, each after a delay."""

    def __init__(self, *decisions, decision_s=0.0):
        self.decisions = list(decisions)
        self.decision_s = decision_s
        self.reservations = []
        self.released = 0

    def is_selected(self, target):
        return True

    def is_available(self, target):
        return True

    def is_open(self, target):
        return True

    def load_of(self, target, now_s):
        return Load(0, target.slots)

    def link_to(self, target):
        return SimpleNamespace(peer_id=target.host)

    async def reserve(self, link, target, reservation):
        self.reservations.append(reservation)
        await asyncio.sleep(self.decision_s)
        return self.decisions.pop(0)

    def release(self, link, request_id, *outcome):
        self.released += 1


def allocate(sidecars, is_retry=False, count=3, **more):
    """Allocate a slot for one request, with `count` engines."""

    async def run():
        now_s = asyncio.get_running_loop().time()
        registry = TargetRegistry()
        states = [
            TargetState(f"i-{n}", "s", f"10.0.0.{n}:80", "z", sequence=1, slots=12)
            for n in range(count)
        ]
        registry.update(states, now_s)
        follower = SimpleNamespace(versions=DesiredVersions(), open_links=list)
        allocator = SlotAllocator(SETTINGS, IDENTITY, registry, follower)
        allocator.sidecars = sidecars
        request = CallerRequest(
            "q", "POST", "/", "h", "/", (), b"", "", now_s, 5.4, 900, 90
        )
        admitted = Admitted(request, ROUTE, None, now_s + 5.4, is_retry, **more)
        return await allocator.allocate(admitted, "s", ENGINE, set(), now_s)

    return asyncio.run(run())


class TestDenials:
    def test_refusal_tells_the_reasons_of_the_sidecars(self):
        busy = DENIED._replace(reason=DenialReason.SLOT_WAIT)
        refusal = allocate(FakeSidecars(busy, None, busy))
        assert refusal.kind is RefusalKind.OVERLOADED
        assert refusal.denials == "2 slot_wait, 1 no_response"


class TestSlotRequests:
    def test_state_the_large_prompt_of_the_route(self):
        sidecars = FakeSidecars(DENIED)
        allocate(sidecars, count=1, large_prompt=2500)
        assert sidecars.reservations[0].large_prompt == 2500

    def test_time_spent_at_one_engine_is_not_offered_to_the_next(self):
        """Sidecars queue a request for a while before they deny it."""
        sidecars = FakeSidecars(DENIED, DENIED, DENIED, decision_s=0.02)
        assert isinstance(allocate(sidecars), Refusal)
        waits = [reservation.wait_ms for reservation in sidecars.reservations]
        assert waits == sorted(waits, reverse=True) and len(set(waits)) == 3

    def test_objective_does_not_depend_on_the_callers_wait(self):
        """The caller waits 5.4 s instead of 6 s; the latency objective is the same."""
        sidecars = FakeSidecars(DENIED, DENIED, DENIED)
        allocate(sidecars)
        first = sidecars.reservations[0]
        assert not first.late
        assert first.wait_ms > ROUTE.latency_ms / 2

    def test_retry_is_late(self):
        sidecars = FakeSidecars(DENIED, DENIED, DENIED)
        allocate(sidecars, is_retry=True)
        assert all(reservation.late for reservation in sidecars.reservations)


class TestGrantThatHasEnded:
    """A sidecar granted a slot, and too little time is left to use it."""

    ENDED = messages.Reserved(True, 1, start_left_ms=1)

    def test_next_engine_is_asked(self):
        """It may hold the newer version."""
        sidecars = FakeSidecars(self.ENDED, messages.Reserved(True, 2))
        slot = allocate(sidecars)
        assert not isinstance(slot, Refusal) and slot.version == 2
        assert sidecars.released == 1

    def test_request_is_refused_if_there_is_no_other(self):
        sidecars = FakeSidecars(self.ENDED, DENIED, self.ENDED)
        refusal = allocate(sidecars)
        assert refusal.kind is RefusalKind.OVERLOADED and refusal.retry_s == 0.1
        assert sidecars.released == 2


def one_target(follower):
    """Return the allocator of an entry, and its only target."""
    settings = structs.replace(SETTINGS, old_version_ms=OLD_VERSION_MS)
    registry = TargetRegistry()
    state = TargetState("i", "s", "10.0.0.1:80", "z", sequence=1)
    registry.update([state._replace(version=1)], 0)
    allocator = SlotAllocator(settings, IDENTITY, registry, follower)
    return allocator, registry.targets["i"]


def admit(
    prompt_tokens=0,
    expected_s=None,
    mean_s=None,
    answer_tokens=0,
    deadline_s=6.0,
    state=None,
    **route,
):
    """Return an admitted request with a prompt of some length.

    `state` has what became of it so far.
    """
    request = SimpleNamespace(
        request_id="q", prompt_tokens=prompt_tokens, answer_tokens=answer_tokens
    )
    admitted = Admitted(request, ROUTE._replace(**route), None, deadline_s)
    return admitted._replace(
        expected_s=expected_s, mean_s=mean_s or expected_s, **(state or {})
    )


class TestStartDeadline:
    """The entry and the sidecar may hear of a newer version at different times."""

    def deadline_s(self, grant_ms, superseded_for_ms=None, asked_for_s=0.0, waited_s=0):
        """Return how long after the grant a request must have started.

        The slot was asked for earlier, and the request waited at the sidecar.
        """
        versions = DesiredVersions()
        if superseded_for_ms is not None:
            versions.record("m", 2, steady_s() - superseded_for_ms / 1000)
        follower = SimpleNamespace(versions=versions, open_links=list)
        waited_ms = int(waited_s * 1000)
        grant = messages.Reserved(True, 1, start_left_ms=grant_ms, waited_ms=waited_ms)

        async def run():
            allocator, target = one_target(follower)
            now_s = asyncio.get_running_loop().time()
            asked_s = steady_s() - asked_for_s
            slot = allocator.use_grant(None, admit(), target, ENGINE, grant, asked_s)
            if slot.start_deadline_s is None:
                return None
            return slot.start_deadline_s - now_s

        return asyncio.run(run())

    def test_entry_obeys_a_grant_of_a_version_that_it_takes_for_the_newest(self):
        assert 9.0 < self.deadline_s(10_000) < 10.0 + SLACK_S

    def test_earlier_one_of_both_holds(self):
        left_ms = start_left_ms(0.0, OLD_VERSION_MS)
        superseded_for_ms = left_ms - 20_000
        assert 9.0 < self.deadline_s(10_000, superseded_for_ms) < 10.0 + SLACK_S
        assert self.deadline_s(30_000, superseded_for_ms) < 20.0
        assert self.deadline_s(0, superseded_for_ms) < 20.0

    def test_grant_that_was_on_its_way_for_long_ends_as_when_it_was_sent(self):
        """Only the sidecar has heard of the newer version."""
        assert 19.0 < self.deadline_s(50_000, None, 30.0) < 20.0 + SLACK_S

    def test_wait_at_the_sidecar_does_not_shorten_a_grant(self):
        assert 39.0 < self.deadline_s(50_000, None, 30.0, 20.0) < 40.0 + SLACK_S
        assert 49.0 < self.deadline_s(50_000, None, 30.0, 40.0) < 50.0 + SLACK_S

    def test_slow_grant_costs_nothing_where_the_entry_knows_the_version(self):
        left_ms = start_left_ms(0.0, OLD_VERSION_MS)
        superseded_for_ms = left_ms - 40_000
        assert 39.0 < self.deadline_s(50_000, superseded_for_ms, 30.0) < 40.0 + SLACK_S

    def test_current_version_has_no_deadline(self):
        assert self.deadline_s(0) is None


def leave(registry):
    """Let the other target leave, as control instances tell."""
    target = registry.targets["j"]
    target.state = target.state._replace(leaving=True)


def announce_exit(registry):
    """Let the other target announce its exit in a response."""
    registry.targets["j"].announced_leaving = True


def evacuate(registry):
    """Evacuate the failure domain of the other target."""
    registry.evacuated = frozenset("y")


def rest(rest_s):
    """Return a change that lets the other target rest."""

    def change(registry):
        registry.targets["j"].cooldown.until_s = rest_s

    return change


# What becomes of a target with newer weights, and whether it can go on with a stream
# whose version ends elsewhere within 3 s.
CHANGES = {
    "nothing": (None, True),
    "leaves": (leave, False),
    "announces its exit": (announce_exit, False),
    "evacuated": (evacuate, False),
    "rests": (rest(1.0), True),
    "rests for long": (rest(30.0), False),
}


class TestLastSend:
    """Nothing is sent that a silence and a slow first event could make late."""

    EXPECTED_MS = 70

    @pytest.fixture(autouse=True)
    def virtual_clock(self, monkeypatch):
        monkeypatch.setattr(
            "wisteriapulley.direct.slot_allocation.steady_s",
            lambda: asyncio.get_running_loop().time(),
        )

    def allocate(self, follower, use, newer=1, change=None):
        """Return the slot that an entry allocates while no time passes.

        Another target has weights of the version `newer`, after which the registry may
        change.
        """

        async def run():
            allocator, target = one_target(follower)
            other = TargetState("j", "s", "10.0.0.2:80", "y", sequence=1)
            allocator.registry.update([other._replace(version=newer)], 0)
            if change is not None:
                change(allocator.registry)
            allocator.sidecars.release = lambda *args: None
            return use(allocator, target)

        with asyncio.Runner(loop_factory=VirtualLoop) as runner:
            return runner.run(run())

    def use_grant(
        self, left_ms, first_event_ms, way_ms=0.0, newer=1, change=None, **admitted
    ):
        """Return the slot for a grant that was on its way for some time."""
        grant = messages.Reserved(
            True, 1, start_left_ms=int(left_ms), first_event_ms=first_event_ms
        )
        return self.allocate(
            SimpleNamespace(versions=DesiredVersions(), open_links=list),
            lambda allocator, target: allocator.use_grant(
                None, admit(**admitted), target, ENGINE, grant, -way_ms / 1000
            ),
            newer,
            change,
        )

    def use_without_sidecar(
        self, left_ms, prompt_tokens=0, newer=1, change=None, **admitted
    ):
        """Return the slot at an engine without a link to its sidecar."""
        versions = DesiredVersions()
        superseded_for_ms = start_left_ms(0.0, OLD_VERSION_MS) - left_ms
        versions.record("m", 2, -superseded_for_ms / 1000)
        return self.allocate(
            SimpleNamespace(versions=versions, open_links=list),
            lambda allocator, target: allocator.allocate_without_sidecar(
                admit(prompt_tokens, **admitted), target, ENGINE
            ),
            newer,
            change,
        )

    def test_grant_is_used_if_its_first_event_is_expected_in_time(self):
        limit_ms = BEGIN_MARGIN_MS + self.EXPECTED_MS
        assert self.use_grant(limit_ms + 2, self.EXPECTED_MS)
        assert not self.use_grant(limit_ms - 2, self.EXPECTED_MS)

    def uses(self, left_ms):
        """Yield ways to use a slot on which a request may still start for a while."""
        yield lambda **admitted: self.use_grant(left_ms, self.EXPECTED_MS, **admitted)
        yield lambda **admitted: self.use_without_sidecar(
            left_ms + UNKNOWN_WAIT_MS, **admitted
        )

    @pytest.mark.parametrize(
        ("route", "newer", "goes_on"),
        [
            ({"resumable": False}, 2, False),
            ({"attempts": 1}, 2, False),
            ({}, 2, True),
            ({}, 1, False),
        ],
    )
    def test_what_can_not_go_on_elsewhere_is_not_sent_to_be_stopped(
        self, route, newer, goes_on
    ):
        """Its target would stop it before it is expected to be complete.

        Only a target with newer weights can go on with it then.
        """
        route = {"attempts": 2, "newer": newer, **route}
        left_ms = BEGIN_MARGIN_MS + self.EXPECTED_MS + 300
        version_left_s = (left_ms + PAUSE_ALLOWANCE_MS) / 1000
        too_long_s = version_left_s + UNKNOWN_WAIT_MS / 1000 + 0.01
        for use in self.uses(left_ms):
            assert use(expected_s=version_left_s - 0.2, **route)
            assert bool(use(expected_s=too_long_s, **route)) is goes_on
            assert use(**route)

    @pytest.mark.parametrize(("attempts", "is_sent"), [(2, True), (1, False)])
    def test_what_may_be_repeated_is_sent_if_it_is_likely_to_be_complete(
        self, attempts, is_sent
    ):
        """What has one send is lost if it takes longer than usual."""
        left_ms = BEGIN_MARGIN_MS + self.EXPECTED_MS + 300
        version_left_s = (left_ms + PAUSE_ALLOWANCE_MS) / 1000
        for use in self.uses(left_ms):
            sent = use(mean_s=version_left_s - 0.2, expected_s=60.0, attempts=attempts)
            assert bool(sent) is is_sent

    def test_stated_size_tells_how_long_a_first_response_takes(self):
        """An entry that has just started knows no times of others."""
        left_ms = BEGIN_MARGIN_MS + self.EXPECTED_MS + 300
        route = {"attempts": 2}
        for use in self.uses(left_ms):
            assert use(answer_tokens=10, **route)
            assert not use(answer_tokens=1000, **route)
            assert use(answer_tokens=1000, newer=2, **route)

    @pytest.mark.parametrize("attempts", [1, 2])
    def test_caller_whose_own_time_ends_before_the_version_is_served(self, attempts):
        """The response may be complete in less time than expected."""
        left_ms = BEGIN_MARGIN_MS + self.EXPECTED_MS + 300
        version_left_s = (left_ms + PAUSE_ALLOWANCE_MS) / 1000
        too_late_s = version_left_s + UNKNOWN_WAIT_MS / 1000 + 0.01
        for use in self.uses(left_ms):
            slow = {"expected_s": 60.0, "attempts": attempts}
            assert use(deadline_s=version_left_s - 0.2, **slow)
            assert not use(deadline_s=too_late_s, **slow)

    def test_what_may_have_run_is_sent_though_it_may_be_stopped(self):
        """It can't be refused any more, so it has nothing to lose."""
        left_ms = BEGIN_MARGIN_MS + self.EXPECTED_MS + 300
        for use in self.uses(left_ms):
            assert use(expected_s=60.0, attempts=2, state={"may_have_run": True})

    def test_last_send_is_not_sent_to_be_stopped(self):
        """The targets before turned it away, so that it has not run."""
        left_ms = BEGIN_MARGIN_MS + self.EXPECTED_MS + 300
        for use in self.uses(left_ms):
            route = {"expected_s": 60.0, "attempts": 2, "newer": 2}
            assert use(**route)
            assert not use(**route, state={"is_last_send": True})

    @pytest.mark.parametrize(("change", "goes_on"), CHANGES.values(), ids=CHANGES)
    def test_target_that_accepts_nothing_until_then_can_not_go_on(
        self, change, goes_on
    ):
        left_ms = BEGIN_MARGIN_MS + self.EXPECTED_MS + 300
        for use in self.uses(left_ms):
            slot = use(expected_s=60.0, attempts=2, newer=2, change=change)
            assert bool(slot) is goes_on

    def test_target_does_not_go_on_with_what_it_stops_itself(self):
        """It was announced with newer weights than it has granted a slot on."""
        left_ms = BEGIN_MARGIN_MS + self.EXPECTED_MS + 300

        def announce(registry):
            target = registry.targets["i"]
            target.state = target.state._replace(version=2)

        route = {"expected_s": 60.0, "attempts": 2, "change": announce}
        assert not self.use_grant(left_ms, self.EXPECTED_MS, **route)
        assert self.use_grant(left_ms, self.EXPECTED_MS, newer=2, **route)

    def test_time_of_a_grant_on_its_way_counts(self):
        limit_ms = BEGIN_MARGIN_MS + self.EXPECTED_MS + 300
        assert self.use_grant(limit_ms + 2, self.EXPECTED_MS, way_ms=300)
        assert not self.use_grant(limit_ms - 2, self.EXPECTED_MS, way_ms=300)

    def test_entry_that_stood_still_since_its_grant_does_not_send(self):
        limit_ms = BEGIN_MARGIN_MS + self.EXPECTED_MS
        slot = self.use_grant(limit_ms + 300, self.EXPECTED_MS)
        assert slot.may_send(0.298) and not slot.may_send(0.302)
        assert slot.may_start(0.302)

    def test_without_an_estimate_the_engine_is_taken_for_busy(self):
        """An older sidecar granted the slot, or there is no link to it."""
        limit_ms = BEGIN_MARGIN_MS + UNKNOWN_WAIT_MS
        for use in (lambda ms: self.use_grant(ms, 0), self.use_without_sidecar):
            assert use(limit_ms + 2)
            assert not use(limit_ms - 2)

    def test_without_an_estimate_a_long_prompt_is_not_sent_too_late(self):
        prompt_tokens = 20_000
        prefill_ms = prompt_tokens / ENGINE.prefill_tokens_per_ms
        limit_ms = BEGIN_MARGIN_MS + UNKNOWN_WAIT_MS + prefill_ms
        assert self.use_without_sidecar(limit_ms + 2, prompt_tokens)
        assert not self.use_without_sidecar(limit_ms - 2, prompt_tokens)
        assert self.use_grant(limit_ms + 2, 0, prompt_tokens=prompt_tokens)
        assert not self.use_grant(limit_ms - 2, 0, prompt_tokens=prompt_tokens)


class TestEnginesAtTheirRateLimit:
    """Engines that advertise a rate look empty, and deny at once."""

    LIMITED = messages.Reserved(retry_ms=600, limited=True)

    def test_do_not_use_up_the_attempts_for_others(self):
        """Nine engines are at their rate limit, the last one has a free slot."""
        sidecars = FakeSidecars(*[self.LIMITED] * 9, messages.Reserved(True, 1))
        result = allocate(sidecars, count=10)
        assert not isinstance(result, Refusal)
        assert len(sidecars.reservations) == 10

    def test_all_at_their_limit_refuse_with_the_shortest_wait(self):
        sooner = messages.Reserved(retry_ms=300, limited=True)
        result = allocate(FakeSidecars(self.LIMITED, sooner, self.LIMITED))
        assert result.retry_s == 0.3

    def test_retry_time_of_full_engine_has_precedence(self):
        """An engine at its limit accepts too few requests for all that are refused."""
        sooner = messages.Reserved(retry_ms=100, limited=True)
        full = messages.Reserved(retry_ms=400)
        result = allocate(FakeSidecars(sooner, full, self.LIMITED))
        assert result.retry_s == 0.4
