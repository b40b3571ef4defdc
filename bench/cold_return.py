"""Results for callers while targets return cold: ``python -m bench.cold_return``.

Runs the entries' dispatch and the sidecars' queues on a virtual clock, without links or
processes. A third of the engines takes no requests from second 2 to 4 and is cold when
it returns, as after the end of an evacuation. The limit of a cold engine is given as a
multiple of the requests that keep a warm one busy.
"""

import argparse
import asyncio
import itertools
from collections.abc import Iterator
from types import SimpleNamespace
from typing import NamedTuple

from bench import turned_away
from bench.turned_away import (
    ENGINE_PER_S,
    HEARTBEAT_S,
    Scenario,
    ScenarioRun,
    VirtualLoop,
    VirtualSidecars,
)
from wisteriapulley.emulator.mixes import ENGINE
from wisteriapulley.rollout.cold_engine import ColdEngine
from wisteriapulley.rollout.engine import EngineReport
from wisteriapulley.routing import RoutingTable, Service
from wisteriapulley.wire.messages import TargetState

AWAY_FROM_S, AWAY_TO_S = 2.0, 4.0
COLD_S = 3.0
AWAY_FRACTION = 1 / 3
OVERSHOOT, SLACK = 1.5, 5.0


class ColdScenario(NamedTuple):
    """Parameters of one run.

    Attributes
    ----------
    entries : int
        Number of entries.
    load : float
        Requests per second, as a fraction of the capacity of all targets.
    limit : float
        Requests per second of a cold engine, as a multiple of what keeps a warm one
        busy; 0 for no limit.
    seed : int
        Random seed.
    """

    entries: int
    load: float
    limit: float
    seed: int

    @property
    def per_s(self) -> float:
        """Requests per second that a cold engine bears; 0 for no limit."""
        return self.limit * ENGINE_PER_S


class CountingSidecars(VirtualSidecars):
    """Sidecars that count the slot requests to them."""

    asked = 0

    async def reserve(self, link, target, reservation):
        """Request a slot."""
        CountingSidecars.asked += 1
        return await super().reserve(link, target, reservation)


class ColdReturn(ScenarioRun):
    """One run: a third of the engines is away, and returns cold."""

    def __init__(self, cold: ColdScenario):
        scenario = Scenario(False, cold.entries, 0.0, "no rest", cold.load, cold.seed)
        super().__init__(scenario)
        self.cold_scenario = cold
        names = list(self.targets)
        self.away = names[: round(AWAY_FRACTION * len(names))]
        self.cold_until_s = 0.0
        self.sent: dict[str, list[float]] = {name: [] for name in names}
        settings = SimpleNamespace(cold_overshoot=OVERSHOOT, cold_slack=SLACK)
        self.engines = {}
        for name, admission in self.admissions.items():
            engine = ColdEngine(settings, admission.limit_changed)
            admission.set_cold_engine(engine)
            engine.set_limits(COLD_S, cold.per_s)
            self.engines[name] = engine
            self.report(name, 0.0)
            self.count_sends(name)
        service = Service("s", engine=ENGINE, cold_per_s=cold.per_s)
        for entry in self.entries:
            entry.allocator.set_table(RoutingTable(1, (), (service,), ()))

    def report(self, name: str, cold_s: float) -> None:
        """Let an engine state to its sidecar how long it is cold."""
        self.engines[name].observe_report(EngineReport({"m": 1}, cold_s=cold_s))

    def count_sends(self, name: str) -> None:
        """Record when requests arrive at a target."""
        target, times = self.targets[name], self.sent[name]
        answer = target.answer

        async def counted(request):
            times.append(asyncio.get_running_loop().time())
            return await answer(request)

        target.answer = counted

    async def send_heartbeats(self) -> None:
        """Report all targets to the entries, with their coldness."""
        loop = asyncio.get_running_loop()
        for sequence in itertools.count(1):
            for name in self.targets:
                left_s = max(0.0, self.cold_until_s - loop.time())
                cold_ms = int(1000 * left_s) if name in self.away else 0
                state = TargetState(
                    name, "s", f"{name}:80", "z", False, False, sequence, ENGINE.slots
                )
                for entry in self.entries:
                    entry.registry.update(
                        [state._replace(cold_ms=cold_ms)], loop.time()
                    )
            await asyncio.sleep(HEARTBEAT_S)

    async def reject_requests(self) -> None:
        """Close the engines for a while, and let them return cold."""
        await asyncio.sleep(AWAY_FROM_S)
        for name in self.away:
            self.admissions[name].set_open(False)
        await asyncio.sleep(AWAY_TO_S - AWAY_FROM_S)
        self.cold_until_s = asyncio.get_running_loop().time() + COLD_S
        for name in self.away:
            self.report(name, COLD_S)
            self.admissions[name].set_open(True)

    def most_in_a_second(self) -> int:
        """Return the most requests that an engine got in one second while cold."""
        return max(most_in_a_second(self.cold_sends(name)) for name in self.away)

    def cold_sends(self, name: str) -> list[float]:
        """Return when requests were sent to an engine while it was cold."""
        until_s = AWAY_TO_S + COLD_S
        return [at_s for at_s in self.sent[name] if AWAY_TO_S <= at_s < until_s]


def most_in_a_second(times_s: list[float]) -> int:
    """Return the largest number of times within any one second."""
    return max(
        (sum(at_s <= t < at_s + 1.0 for t in times_s) for at_s in times_s), default=0
    )


def run_scenario(scenario: ColdScenario) -> ColdReturn:
    """Run a scenario on a virtual clock."""
    created: list[ColdReturn] = []

    async def run() -> None:
        created.append(ColdReturn(scenario))
        await created[0].run()

    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        runner.run(run())
    return created[0]


def scenarios(seed: int) -> Iterator[ColdScenario]:
    """Yield the scenario of each row of the table."""
    for entries, load, limit in itertools.product(
        (6, 30), (0.7, 1.0, 1.3), (0.0, 0.5, 2.0)
    ):
        yield ColdScenario(entries, load, limit, seed)


def main() -> None:
    """Print the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    turned_away.VirtualSidecars = CountingSidecars
    print(
        "| entries | load | limit | in time away | in time cold | late | refused"
        " | refusal ms | in time after | most in a second | bound | asked per request |"
    )
    print("| --- " * 12 + "|")
    for scenario in scenarios(options.seed):
        CountingSidecars.asked = 0
        finished = run_scenario(scenario)
        away = finished.row(AWAY_FROM_S, AWAY_TO_S)
        cold = finished.row(AWAY_TO_S, AWAY_TO_S + COLD_S)
        after = finished.row(AWAY_TO_S + COLD_S, AWAY_TO_S + 2 * COLD_S)
        bound = scenario.per_s * OVERSHOOT + SLACK if scenario.limit else 0.0
        print(
            f"| {scenario.entries} | {scenario.load} | {scenario.limit}"
            f" | {away.in_time:.3f} | {cold.in_time:.3f} | {cold.late:.3f}"
            f" | {cold.refused:.3f} | {cold.refusal_ms:.1f} | {after.in_time:.3f}"
            f" | {finished.most_in_a_second()} | {bound:.1f}"
            f" | {CountingSidecars.asked / finished.request_count:.2f} |",
            flush=True,
        )


if __name__ == "__main__":
    main()
