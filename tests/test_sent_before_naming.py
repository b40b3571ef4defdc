"""Requests that are sent before a newer version of the weights is known.

Their entry has no limit for them then, and their engine reads no closes.
"""

import asyncio
import itertools

import pytest
from bench.turned_away import VirtualLoop

from tests.test_direct_dispatch import events
from tests.test_evacuated_engine import ENGINE
from tests.test_silent_targets import PacedAnswer
from tests.test_version_end import (
    END_S,
    ROUTE,
    STEADY_CLOCKS,
    TimedEngine,
    VersionEnd,
)
from wisteriapulley.routing import RoutingTable, Service

# When the newer version is accepted, and how much later entry and sidecar hear of it.
ACCEPTED_S = 4.0
HEARD_LATE_S = (0.0, 0.5, 1.0)
ENDS_S = ACCEPTED_S + END_S
# Requests come until then; no engine has the newer version.
ASKED_UNTIL_S = ACCEPTED_S + 2.0
ASKED_EVERY_S = 0.1
SOON_S = 0.03
# Requests that were read this long before are preempted.
PREEMPTED_S = 0.5


class PreemptingEngine(TimedEngine):
    """Begins requests soon, and gives them up for others from some time on.

    They are read again once it goes on, unless their time has passed by then. Those
    long before are served, so that their entry knows how long responses take.
    """

    async def send(self, request, plan):
        """Serve a request of an entry."""
        now_s = asyncio.get_running_loop().time()
        self.sent += 1
        stops_s = now_s + plan.remaining_s
        again_s = self.pauses[0][1]
        self.begun_s.append(now_s + SOON_S)
        if now_s < self.pauses[0][0] - PREEMPTED_S:
            return PacedAnswer((SOON_S, events(1, 4)))
        if again_s < stops_s:
            self.begun_s.append(again_s)
            return PacedAnswer((SOON_S, events(1, 2)), (again_s - now_s, events(3, 4)))
        return PacedAnswer((SOON_S, events(1, 2)), (plan.remaining_s, None))


class SentBeforeNaming(VersionEnd):
    """An entry, a sidecar and an engine; a newer version is named meanwhile."""

    def __init__(self, folder, engine, route, heard_late_s, linked):
        super().__init__(folder, engine, entry_knows=False, linked=linked)
        self.wait_s, self.heard_late_s = route.timeout_ms / 1000, heard_late_s
        self.versions = self.entry.allocator.follower.versions
        self.sidecar.follower.versions = self.versions
        self.sidecar.update_admission()
        table = RoutingTable(2, (route,), (Service("s", engine=ENGINE),))
        self.entry.set_table(table)

    async def name(self):
        await asyncio.sleep(ACCEPTED_S + self.heard_late_s)
        self.versions.record("m", 2, ACCEPTED_S)
        self.sidecar.update_admission()

    async def play(self):
        """Return how long after the end requests began."""
        loop = asyncio.get_running_loop()
        tasks = [
            loop.create_task(self.poll()),
            loop.create_task(self.sidecar.admission.advance_loop()),
            loop.create_task(self.name()),
        ]
        asked = []
        while loop.time() < ASKED_UNTIL_S:
            asked.append(loop.create_task(self.ask(len(asked))))
            await asyncio.sleep(ASKED_EVERY_S)
        await asyncio.gather(*asked)
        for task in tasks:
            task.cancel()
        begun_s = self.engine.begun_s
        return [round(at_s - ENDS_S, 3) for at_s in begun_s if at_s > ENDS_S]


@pytest.fixture
def late_plays(tmp_path, monkeypatch):
    """Play silences that end after the version, over what is heard late."""

    def loop_time_s():
        return asyncio.get_running_loop().time()

    for module in STEADY_CLOCKS:
        monkeypatch.setattr(f"wisteriapulley.{module}.steady_s", loop_time_s)

    def run(kind, route, linked):
        late = {}
        for before_s, heard_late_s in itertools.product((0.5, 1.5, 3.0), HEARD_LATE_S):
            pause = (ACCEPTED_S + heard_late_s - before_s, ENDS_S + 0.1)
            engine = kind([pause], SOON_S)

            async def scenario(engine=engine, heard_late_s=heard_late_s):
                played = SentBeforeNaming(tmp_path, engine, route, heard_late_s, linked)
                return await played.play()

            with asyncio.Runner(loop_factory=VirtualLoop) as runner:
                begun_s = runner.run(scenario())
            assert any(at_s < pause[0] for at_s in engine.begun_s)
            if begun_s:
                late[before_s, heard_late_s] = begun_s
        return late

    return run


links = pytest.mark.parametrize("linked", [True, False])
engines = pytest.mark.parametrize("kind", [TimedEngine, PreemptingEngine])


class TestUsualLimit:
    """It is over before a version ends that is named right after the sending."""

    @links
    @engines
    @pytest.mark.parametrize("resumable", [True, False])
    def test_no_request_begins_late(self, late_plays, kind, resumable, linked):
        assert not late_plays(kind, ROUTE._replace(resumable=resumable), linked)


class TestLongLimit:
    """It is over long after, and a silence lasts for as long as the version serves."""

    def test_no_request_begins_late(self, late_plays):
        late = {}
        for kind, linked, resumable in itertools.product(
            (TimedEngine, PreemptingEngine), (True, False), (True, False)
        ):
            route = ROUTE._replace(timeout_ms=20_000, resumable=resumable)
            found = late_plays(kind, route, linked)
            if found:
                late[kind.__name__, linked, resumable] = found
        assert not late
