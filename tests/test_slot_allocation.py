"""How an entry asks the sidecars of engines for a place."""

import asyncio
from types import SimpleNamespace

from tests.test_direct_dispatch import SETTINGS
from wisteriapulley.direct.progress import Admitted
from wisteriapulley.direct.registry import TargetRegistry
from wisteriapulley.direct.slot_allocation import SlotAllocator
from wisteriapulley.direct.types import CallerRequest, Refusal
from wisteriapulley.policy.target_ranking import Load
from wisteriapulley.routing import Engine, Route, RouteKind, Split
from wisteriapulley.weights.named import NamedVersions
from wisteriapulley.wire import messages
from wisteriapulley.wire.handshake import Identity
from wisteriapulley.wire.messages import TargetState

ENGINE = Engine("m", 12, 7, 6.73, 0.02, 30.6)
IDENTITY = Identity("e", "entry", "z", 1, b"k" * 40)
SPLITS = (Split("s", 1),)
ROUTE = Route("r", "h", "/", RouteKind.STREAM, SPLITS, 6000, 400, resumable=True)
DENIED = messages.Reserved(retry_ms=100)


class FakeSidecars:
    """Sidecars that give their verdicts after a time each."""

    def __init__(self, *verdicts, verdict_s=0.0):
        self.verdicts = list(verdicts)
        self.verdict_s = verdict_s
        self.reservations = []

    def is_selected(self, target):
        return True

    def is_available(self, target):
        return True

    def load_of(self, target, now_s):
        return Load(0, target.slots)

    def link_to(self, target):
        return SimpleNamespace(peer_id=target.host)

    async def reserve(self, link, target, reservation):
        self.reservations.append(reservation)
        await asyncio.sleep(self.verdict_s)
        return self.verdicts.pop(0)

    def release(self, link, request_id, *outcome):
        pass


def place(sidecars, returned=False, count=3):
    """Place one request at `count` engines."""

    async def run():
        now_s = asyncio.get_running_loop().time()
        registry = TargetRegistry()
        states = [
            TargetState(f"i-{n}", "s", f"10.0.0.{n}:80", "z", sequence=1, slots=12)
            for n in range(count)
        ]
        registry.update(states, now_s)
        follower = SimpleNamespace(versions=NamedVersions(), open_links=list)
        allocator = SlotAllocator(SETTINGS, IDENTITY, registry, follower)
        allocator.sidecars = sidecars
        request = CallerRequest(
            "q", "POST", "/", "h", "/", (), b"", "", now_s, 5.4, 900, 90
        )
        admitted = Admitted(request, ROUTE, None, now_s + 5.4, returned)
        return await allocator.allocate(admitted, "s", ENGINE, set(), now_s)

    return asyncio.run(run())


class TestQuestions:
    def test_time_spent_at_one_engine_is_not_promised_to_the_next(self):
        """Load: sidecars that let a request wait before they deny it."""
        sidecars = FakeSidecars(DENIED, DENIED, DENIED, verdict_s=0.02)
        assert isinstance(place(sidecars), Refusal)
        waits = [reservation.wait_ms for reservation in sidecars.reservations]
        assert waits == sorted(waits, reverse=True) and len(set(waits)) == 3

    def test_objective_is_not_shortened_for_a_caller_that_waits_for_less(self):
        """Its limit ends after 5.4 s in place of 6 s; the objective is the same."""
        sidecars = FakeSidecars(DENIED, DENIED, DENIED)
        place(sidecars)
        first = sidecars.reservations[0]
        assert not first.late
        assert first.wait_ms > ROUTE.latency_ms / 2

    def test_caller_that_comes_back_goes_last(self):
        sidecars = FakeSidecars(DENIED, DENIED, DENIED)
        place(sidecars, returned=True)
        assert all(reservation.late for reservation in sidecars.reservations)


class TestEnginesAtTheirLimit:
    """Engines that state a rate look empty, and deny at once."""

    LIMITED = messages.Reserved(retry_ms=600, limited=True)

    def test_take_no_tries_from_those_that_have_room(self):
        """Load: half of the engines are at their limit, the others busy."""
        sidecars = FakeSidecars(*[self.LIMITED] * 9, messages.Reserved(True, 1))
        placed = place(sidecars, count=10)
        assert not isinstance(placed, Refusal)
        assert len(sidecars.reservations) == 10

    def test_all_at_their_limit_refuse_with_the_time_until_the_first(self):
        sooner = messages.Reserved(retry_ms=300, limited=True)
        placed = place(FakeSidecars(self.LIMITED, sooner, self.LIMITED))
        assert placed.retry_s == 0.3

    def test_full_engine_tells_when_to_come_back_before_one_at_its_limit(self):
        """All that are refused can't come back for the next few requests."""
        sooner = messages.Reserved(retry_ms=100, limited=True)
        full = messages.Reserved(retry_ms=400)
        placed = place(FakeSidecars(sooner, full, self.LIMITED))
        assert placed.retry_s == 0.4
