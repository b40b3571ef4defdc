"""How often large requests are served beside the others of their kind."""

from collections.abc import Callable, Iterable
from functools import lru_cache

from wisteriapulley.emulator.fleet import EmulatedRequest, Fleet, Scenario
from wisteriapulley.emulator.mixes import ENGINE

# The largest tenth of a kind of request, and the fifth below it, are to be served at
# least this often, as a part of how often the whole kind is.
LEAST_PART = 0.5
OVERLOADS = {
    "twice the load": {"load": 2.0},
    "four times the load": {"load": 4.0},
    "half of the engines": {"load": 2.0, "engines": 5},
    "some engines slow": {"load": 3.0, "slow_engines": 3},
    "no time for prefill": {"load": 3.0, "mix": "prompts"},
}
SLOW = {
    "all engines slow": {
        "load": 2.0,
        "mix": "prompts",
        "slow_engines": 10,
        "slow_factor": 1.7,
    }
}


def served(requests: list[EmulatedRequest]) -> float:
    return sum(r.outcome != "refused" for r in requests) / len(requests)


def by_prompt(request: EmulatedRequest) -> int:
    return request.prompt


def by_tokens(request: EmulatedRequest) -> int:
    return request.prompt + 10 * ENGINE.stride * request.events


@lru_cache
def overloaded(name: str) -> dict[str, list[EmulatedRequest]]:
    """Return the requests of two runs by kind."""
    kinds: dict[str, list[EmulatedRequest]] = {}
    for seed in (1, 2):
        scenario = Scenario(seconds=15.0, change_s=0.0, max_wait_spread=0.02, seed=seed)
        fleet = Fleet(scenario._replace(**(OVERLOADS | SLOW)[name]))
        fleet.run()
        for request in fleet.requests.values():
            kinds.setdefault(request.kind.name, []).append(request)
    return kinds


def starved(
    size: Callable[[EmulatedRequest], int], names: Iterable[str] = OVERLOADS
) -> list[str]:
    """Return where the largest requests are served too rarely."""
    found = []
    for name in names:
        for kind, requests in overloaded(name).items():
            ordered = sorted(requests, key=size)
            tenth = len(ordered) // 10
            all_ = served(ordered)
            for group in (ordered[-tenth:], ordered[-3 * tenth : -tenth]):
                if served(group) < LEAST_PART * all_:
                    found.append(f"{name}, {kind}: {served(group):.2f} of {all_:.2f}")
    return found


class TestLargeRequestsUnderLastingOverload:
    """Short prompts, which fit in front of the objective, took every slot."""

    def test_long_prompts_are_not_starved(self):
        assert not starved(by_prompt)

    def test_long_prompts_and_answers_are_not_starved(self):
        assert not starved(by_tokens)


class TestLargeRequestsAtSlowEngines:
    """Even without a wait, no engine begins the longest prompts in time."""

    def test_prompts_that_are_late_anyway_are_not_starved(self):
        assert not starved(by_prompt, SLOW)
