"""Service by class on emulated engines, with and without slots reserved by class."""

import sys
from collections.abc import Iterator
from statistics import fmean

from wisteriapulley.emulator import Fleet, Outage, Scenario, Surge

# Peak rate of the mix for 26 engines, of which they bear about three quarters.
PEAK_ENGINES = 26
SECONDS = 16.0
SEEDS = (1, 2, 3)
JUMP = {"full-quote": 1.8, "overnight-status": 2.4}


def scenarios(engines: int) -> Iterator[tuple[str, Scenario]]:
    """Yield the loads by name."""

    def scenario(load: float, **more) -> Scenario:
        load *= engines / PEAK_ENGINES
        return Scenario("gebeya", engines, load, seconds=SECONDS, change_s=0.0, **more)

    yield "0.67 of the peak", scenario(0.67)
    yield "0.8", scenario(0.8)
    yield "1.0", scenario(1.0)
    yield "1.2", scenario(1.2)
    yield "jump of two classes", scenario(0.65, surges=(Surge(6.0, 14.0, JUMP),))
    outage = Outage(6.0, 10.0, engines // 2)
    yield "half of the engines dark", scenario(0.65, outages=(outage,))
    flood = Surge(4.0, SECONDS, {"full-quote": 6.0})
    yield "six times the most urgent", scenario(0.65, surges=(flood,))


def row(scenario: Scenario) -> str:
    """Return mean worth, worst window and the fraction in time of each class."""
    fleets = [Fleet(scenario._replace(seed=seed)) for seed in SEEDS]
    outcomes = [fleet.run() for fleet in fleets]
    kinds = [fleet.by_kind() for fleet in fleets]
    in_time = [fmean(k[name].in_time for k in kinds) for name in kinds[0]]
    figures = [
        fmean(o.worth for o in outcomes),
        min(o.worst_window for o in outcomes),
        *in_time,
    ]
    return " | ".join(f"{figure:.3f}" for figure in figures)


def main() -> int:
    """Print a Markdown table for the number of engines in the arguments."""
    engines = int(sys.argv[1]) if len(sys.argv) > 1 else 30
    print("| load | rule | worth | worst two seconds | classes, most urgent first |||")
    print("| --- | --- | --- | --- | --- | --- | --- |")
    for name, scenario in scenarios(engines):
        for rule, reserve in (("strict priority", False), ("reserve", True)):
            figures = row(scenario._replace(class_reserve=reserve))
            print(f"| {name} | {rule} | {figures} |", flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
