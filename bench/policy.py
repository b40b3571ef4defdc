"""Figures of the policy modules, each with its baseline from the same run."""

import random
from collections import defaultdict
from statistics import quantiles

from bench.rules import RoundRobin, TwoChoices, VolumeBySizeClass
from bench.virtual import (
    Demand,
    Result,
    VirtualService,
    VirtualTarget,
    arrivals,
    capacity_per_s,
)
from wisteriapulley.policy import LeastOutstanding, Scheduler

TARGETS, SLOTS = 6, 8
DURATION_S = 40.0
WARM_UP_S = 5.0
UNLIMITED_IN_FLIGHT = 1_000_000
LOADS = (0.5, 0.9, 1.0, 1.5, 3.0)
SHORT_TOKENS, LONG_TOKENS = 20.0, 400.0
MIX = [Demand(f"account-{i}", 0.09, SHORT_TOKENS) for i in range(10)]
MIX += [Demand(f"account-{i}", 0.01, LONG_TOKENS) for i in range(10)]
RULES = {
    "least_outstanding": LeastOutstanding,
    "two_choices": TwoChoices,
    "round_robin": RoundRobin,
    "volume_by_size_class": VolumeBySizeClass,
}


def run(
    per_s: float,
    mix: list[Demand] = MIX,
    rule=LeastOutstanding,
    ours: bool = True,
    slowdown: float = 1.0,
    seed: int = 1,
    max_in_flight: int = SLOTS,
    eject: bool = True,
) -> list[Result]:
    """Run one load and return the results of all callers."""
    slowdowns = [slowdown] + [1.0] * (TARGETS - 1)
    targets = [VirtualTarget(f"t{i}", SLOTS, s) for i, s in enumerate(slowdowns)]
    scheduler = Scheduler(rule(random.Random(seed))) if ours else None
    if scheduler is not None and not eject:
        scheduler.outliers.is_slow = lambda node_id: False
    service = VirtualService(targets, scheduler, max_in_flight)
    return service.run(list(arrivals(mix, per_s, DURATION_S, seed)))


def percentile(values: list[float], percent: int) -> float:
    """Return a percentile; 0 if there are no values."""
    if len(values) < 2:
        return values[0] if values else 0.0
    return quantiles(values, n=100, method="inclusive")[percent - 1]


def goodput(results: list[Result]) -> float:
    """Return the tokens per second of responses that met their deadline."""
    units = sum(
        result.work.units
        for result in results
        if result.in_time and WARM_UP_S < result.arrived_s + result.took_s < DURATION_S
    )
    return units / (DURATION_S - WARM_UP_S)


def latencies(results: list[Result], units: float | None = None) -> list[float]:
    """Return the response times of complete responses, in seconds."""
    return [
        result.took_s
        for result in results
        if result.code == 0
        and result.arrived_s > WARM_UP_S
        and units in (None, result.work.units)
    ]


def summary(results: list[Result]) -> dict[str, float]:
    """Return the figures of one load."""
    durations = latencies(results)
    first_token_s = [result.first_s for result in results if result.code == 0]
    return {
        "goodput_tokens_per_s": round(goodput(results), 1),
        "answered_in_time": round(
            sum(r.in_time for r in results) / max(1, len(results)), 4
        ),
        "p50_s": round(percentile(durations, 50), 3),
        "p99_s": round(percentile(durations, 99), 3),
        "first_p50_s": round(percentile(first_token_s, 50), 3),
        "first_p99_s": round(percentile(first_token_s, 99), 3),
        "short_p99_s": round(percentile(latencies(results, SHORT_TOKENS), 99), 3),
    }


def jain(results: list[Result], accounts: list[str]) -> float:
    """Return Jain's index of the tokens that accounts received in time."""
    tokens: dict[str, float] = defaultdict(float)
    for result in results:
        if result.in_time:
            tokens[result.work.account] += result.work.units
    return jain_of([tokens[account] for account in accounts])


def jain_of(values: list[float]) -> float:
    """Return Jain's index: 1 if all values are equal, 1/n if only one is not 0."""
    squares = sum(value * value for value in values)
    return sum(values) ** 2 / (len(values) * squares) if squares else 0.0


def loads() -> dict[str, dict]:
    """Return the figures of the scheduler and the baseline at each load."""
    capacity = capacity_per_s(MIX, TARGETS * SLOTS)
    return {
        f"{load}": {
            "ours": summary(run(load * capacity)),
            "baseline": summary(run(load * capacity, ours=False)),
        }
        for load in LOADS
    }


def fairness() -> dict[str, float]:
    """Measure fairness with one account at ten times its share of full load."""
    mix = [Demand(f"account-{i}", 0.1, SHORT_TOKENS) for i in range(10)]
    mix[0] = mix[0]._replace(relative_rate=1.0)
    accounts = [demand.account for demand in mix]
    per_s = capacity_per_s(mix, TARGETS * SLOTS) * 1.9
    return {
        "ours": round(jain(run(per_s, mix), accounts), 4),
        "baseline": round(jain(run(per_s, mix, ours=False), accounts), 4),
    }


def slow_target() -> dict[str, float]:
    """Return the p99 with one target ten times slower over the p99 without."""
    per_s = capacity_per_s(MIX, TARGETS * SLOTS) * 0.6
    ratios = {}
    for name, ours in (("ours", True), ("baseline", False)):
        slow = percentile(latencies(run(per_s, ours=ours, slowdown=10.0)), 99)
        healthy = percentile(latencies(run(per_s, ours=ours)), 99)
        ratios[name] = round(slow / healthy, 3)
    return ratios


def placement_rules() -> dict[str, dict[str, float]]:
    """Return mean and p99 of each placement rule, at two loads, over two seeds.

    Requests are dispatched immediately and wait at the target, as in the paper on
    `VolumeBySizeClass`.
    """
    figures: dict[str, dict[str, float]] = {}
    capacity = capacity_per_s(MIX, TARGETS * SLOTS)
    for name, rule in RULES.items():
        row = figures[name] = {}
        for load in (0.7, 0.95):
            durations = []
            stretches = []
            for seed in (1, 2):
                results = run(
                    load * capacity,
                    rule=rule,
                    seed=seed,
                    max_in_flight=UNLIMITED_IN_FLIGHT,
                    eject=False,
                )
                durations += latencies(results)
                stretches += [r.took_s / r.work.units for r in results if r.code == 0]
            row[f"mean_s_at_{load}"] = round(sum(durations) / len(durations), 4)
            row[f"p99_s_at_{load}"] = round(percentile(durations, 99), 3)
            row[f"stretch_p99_at_{load}"] = round(percentile(stretches, 99), 4)
    return figures


def policy_figures() -> dict:
    """Return all figures of the policy modules."""
    by_load = loads()
    goodputs = {
        name: row["ours"]["goodput_tokens_per_s"] for name, row in by_load.items()
    }
    mixed = by_load["0.9"]
    return {
        "loads": by_load,
        "goodput_at_3_over_peak": round(goodputs["3.0"] / max(goodputs.values()), 4),
        "short_p99_over_baseline": round(
            mixed["ours"]["short_p99_s"] / mixed["baseline"]["short_p99_s"], 3
        ),
        "jain": fairness(),
        "slow_target_p99_ratio": slow_target(),
        "placement_rules": placement_rules(),
    }
