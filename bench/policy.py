"""Figures of the pure policy, each against its baseline in the same run."""

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
SECONDS = 40.0
WARM_S = 5.0
AT_ONCE = 1_000_000
LOADS = (0.5, 0.9, 1.0, 1.5, 3.0)
SHORT, LONG = 20.0, 400.0
MIX = [Demand(f"account-{i}", 0.09, SHORT) for i in range(10)]
MIX += [Demand(f"account-{i}", 0.01, LONG) for i in range(10)]
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
    slowest: float = 1.0,
    seed: int = 1,
    limit: int = SLOTS,
    eject: bool = True,
) -> list[Result]:
    """Run one load; return what callers got."""
    slowness = [slowest] + [1.0] * (TARGETS - 1)
    targets = [VirtualTarget(f"t{i}", SLOTS, s) for i, s in enumerate(slowness)]
    scheduler = Scheduler(rule(random.Random(seed))) if ours else None
    if scheduler is not None and not eject:
        scheduler.outliers.is_slow = lambda node_id: False
    service = VirtualService(targets, scheduler, limit)
    return service.run(list(arrivals(mix, per_s, SECONDS, seed)))


def percentile(values: list[float], percent: int) -> float:
    """Return a percentile; 0 of nothing."""
    if len(values) < 2:
        return values[0] if values else 0.0
    return quantiles(values, n=100, method="inclusive")[percent - 1]


def goodput(results: list[Result]) -> float:
    """Return tokens a second of answers that came in time."""
    units = sum(
        result.work.units
        for result in results
        if result.in_time and WARM_S < result.arrived_s + result.took_s < SECONDS
    )
    return units / (SECONDS - WARM_S)


def latencies(results: list[Result], units: float | None = None) -> list[float]:
    """Return the times of whole answers, in seconds."""
    return [
        result.took_s
        for result in results
        if result.code == 0
        and result.arrived_s > WARM_S
        and units in (None, result.work.units)
    ]


def summary(results: list[Result]) -> dict[str, float]:
    """Return the figures of one load."""
    took = latencies(results)
    first = [result.first_s for result in results if result.code == 0]
    return {
        "goodput_tokens_per_s": round(goodput(results), 1),
        "answered_in_time": round(
            sum(r.in_time for r in results) / max(1, len(results)), 4
        ),
        "p50_s": round(percentile(took, 50), 3),
        "p99_s": round(percentile(took, 99), 3),
        "first_p50_s": round(percentile(first, 50), 3),
        "first_p99_s": round(percentile(first, 99), 3),
        "short_p99_s": round(percentile(latencies(results, SHORT), 99), 3),
    }


def jain(results: list[Result], accounts: list[str]) -> float:
    """Return Jain's index of the tokens that accounts got in time."""
    got: dict[str, float] = defaultdict(float)
    for result in results:
        if result.in_time:
            got[result.work.account] += result.work.units
    return jain_of([got[account] for account in accounts])


def jain_of(values: list[float]) -> float:
    """Return Jain's index: 1 when all are alike, 1/n when one has all."""
    squares = sum(value * value for value in values)
    return sum(values) ** 2 / (len(values) * squares) if squares else 0.0


def loads() -> dict[str, dict]:
    """Return the figures at each load, ours and the baseline's."""
    full = capacity_per_s(MIX, TARGETS * SLOTS)
    return {
        f"{load}": {
            "ours": summary(run(load * full)),
            "baseline": summary(run(load * full, ours=False)),
        }
        for load in LOADS
    }


def fairness() -> dict[str, float]:
    """One account at ten times its share of a full service."""
    mix = [Demand(f"account-{i}", 0.1, SHORT) for i in range(10)]
    mix[0] = mix[0]._replace(share=1.0)
    accounts = [demand.account for demand in mix]
    per_s = capacity_per_s(mix, TARGETS * SLOTS) * 1.9
    return {
        "ours": round(jain(run(per_s, mix), accounts), 4),
        "baseline": round(jain(run(per_s, mix, ours=False), accounts), 4),
    }


def slow_target() -> dict[str, float]:
    """p99 with one target ten times slower over p99 without."""
    per_s = capacity_per_s(MIX, TARGETS * SLOTS) * 0.6
    ratios = {}
    for name, ours in (("ours", True), ("baseline", False)):
        slow = percentile(latencies(run(per_s, ours=ours, slowest=10.0)), 99)
        healthy = percentile(latencies(run(per_s, ours=ours)), 99)
        ratios[name] = round(slow / healthy, 3)
    return ratios


def placement_rules() -> dict[str, dict[str, float]]:
    """Mean and p99 of each rule, at two loads, over two seeds.

    Requests are dispatched at once and wait at the target, as in the paper.
    """
    figures: dict[str, dict[str, float]] = {}
    full = capacity_per_s(MIX, TARGETS * SLOTS)
    for name, rule in RULES.items():
        row = figures[name] = {}
        for load in (0.7, 0.95):
            took = []
            stretch = []
            for seed in (1, 2):
                results = run(
                    load * full, rule=rule, seed=seed, limit=AT_ONCE, eject=False
                )
                took += latencies(results)
                stretch += [r.took_s / r.work.units for r in results if r.code == 0]
            row[f"mean_s_at_{load}"] = round(sum(took) / len(took), 4)
            row[f"p99_s_at_{load}"] = round(percentile(took, 99), 3)
            row[f"stretch_p99_at_{load}"] = round(percentile(stretch, 99), 4)
    return figures


def policy_figures() -> dict:
    """Return every figure of the pure policy."""
    by_load = loads()
    good = {name: row["ours"]["goodput_tokens_per_s"] for name, row in by_load.items()}
    mixed = by_load["0.9"]
    return {
        "loads": by_load,
        "goodput_at_3_over_peak": round(good["3.0"] / max(good.values()), 4),
        "short_p99_over_baseline": round(
            mixed["ours"]["short_p99_s"] / mixed["baseline"]["short_p99_s"], 3
        ),
        "jain": fairness(),
        "slow_target_p99_ratio": slow_target(),
        "placement_rules": placement_rules(),
    }
