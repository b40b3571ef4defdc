"""``make check-spec``: run the invariants, then every mutant against them.

Seeds are fixed, so each run gives the same verdict. The last line is one JSON
object; the exit status is 1 unless every invariant holds and every mutant is
caught.
"""

import json
import subprocess
import sys
import time
from pathlib import Path
from typing import NamedTuple

import z3
from hypothesis import HealthCheck, Phase, Verbosity, settings
from hypothesis.stateful import run_state_machine_as_test

from specs.claims_machine import ClaimsMachine
from specs.claims_mutants import CLAIM_MUTANTS
from specs.invariants import ViolationError
from specs.mutants import MUTANTS
from specs.proofs import facts
from specs.replica_machine import ReplicaMachine

INVARIANTS = (
    "election_safety",
    "log_matching",
    "leader_completeness",
    "no_commit_lost",
    "voter_holds_commits",
    "one_lease_holder",
    "no_revision_reverts",
    "one_run_per_claim",
)
# Episodes of one example: enough for a loss, its repair and the next loss.
EPISODES = 40
# A mutant is searched for as long as the real one is checked.
REPLICA_EXAMPLES = 120
CLAIMS_EXAMPLES = 600
MACHINES = {
    "replica": (ReplicaMachine, MUTANTS),
    "claims": (ClaimsMachine, CLAIM_MUTANTS),
}
ROOT = Path(__file__).resolve().parent.parent


class Run(NamedTuple):
    """Outcome of one machine: the breach, if there was one."""

    breach: str
    steps: int
    checks: int


def run_machine(machine: type, options: dict, examples: int) -> Run:
    """Drive a machine through `examples` runs, the same each time."""
    driven = type(machine.__name__, (machine,), {"options": options, "steps": 0})
    driven.checks = 0
    breach = ""
    try:
        run_state_machine_as_test(
            driven,
            settings=settings(
                max_examples=examples,
                stateful_step_count=EPISODES,
                derandomize=True,
                database=None,
                deadline=None,
                phases=[Phase.generate],
                suppress_health_check=list(HealthCheck),
                verbosity=Verbosity.quiet,
                report_multiple_bugs=False,
            ),
        )
    except ViolationError as error:
        breach = str(error)
    return Run(breach, driven.steps, driven.checks)


def run_apart(machine: str, mutant: str, examples: int) -> Run:
    """Drive a machine in a process of its own.

    Hypothesis draws constants of whatever modules are imported, so in a process that
    has imported other tests the same seed gives other runs.

    Parameters
    ----------
    machine : str
        Name in `MACHINES`.
    mutant : str
        Name of a variant of it; empty for the real one.
    examples : int
        How many runs.
    """
    done = subprocess.run(
        [sys.executable, "-m", "specs.check", machine, mutant, str(examples)],
        cwd=ROOT,
        env={"PYTHONPATH": f"{ROOT / 'src'}:{ROOT}"},
        capture_output=True,
        check=True,
        text=True,
    )
    return Run(*json.loads(done.stdout))


def run_named(machine: str, mutant: str, examples: int) -> Run:
    """Drive a machine, or a variant of it, by name."""
    tested, mutants = MACHINES[machine]
    options = next((m.options for m in mutants if m.name == mutant), {})
    return run_machine(tested, options, examples)


class Report:
    """Adds up the runs and prints each as it ends."""

    def __init__(self):
        self.steps = 0
        self.checks = 0
        self.violations = 0
        self.mutants = 0
        self.caught = 0

    def add_real(self, name: str, run: Run) -> None:
        """Note a run of the real thing."""
        self.steps += run.steps
        self.checks += run.checks
        self.violations += bool(run.breach)
        print(f"{name}: {run.breach or 'holds'} after {run.steps} steps", flush=True)

    def add_mutant(self, name: str, caught: bool, detail: str) -> None:
        """Note a run of a mutant."""
        self.mutants += 1
        self.caught += caught
        word = "caught" if caught else "MISSED"
        print(f"mutant {name}: {word}: {detail[:120]}", flush=True)

    def whole(self) -> bool:
        """Tell whether all held and every mutant was caught."""
        return not self.violations and self.caught == self.mutants


def check_machine(report: Report, machine: type, mutants: tuple, examples: int) -> None:
    """Check a machine, then its mutants."""
    report.add_real(machine.__name__, run_machine(machine, {}, examples))
    for mutant in mutants:
        run = run_machine(machine, mutant.options, examples)
        caught = run.breach.split(":")[0] in mutant.breaches
        report.add_mutant(mutant.name, caught, run.breach)


def check_facts(report: Report) -> None:
    """Prove the facts and refute their variants."""
    for fact in facts():
        verdict = fact.breach.check()
        report.violations += verdict != z3.unsat
        print(f"{fact.name}: breach is {verdict}", flush=True)
        refuted = fact.mutant.check()
        report.add_mutant(f"{fact.name} variant", refuted == z3.sat, str(refuted))


def main() -> int:
    """Run all; return the exit status."""
    start = time.monotonic()
    report = Report()
    check_facts(report)
    check_machine(report, ReplicaMachine, MUTANTS, REPLICA_EXAMPLES)
    check_machine(report, ClaimsMachine, CLAIM_MUTANTS, CLAIMS_EXAMPLES)
    print(
        json.dumps(
            {
                "steps": report.steps,
                "checks": report.checks,
                "invariants": len(INVARIANTS),
                "proofs": len(facts()),
                "mutants": report.mutants,
                "mutants_caught": report.caught,
                "violations": report.violations,
                "seconds": round(time.monotonic() - start, 1),
            }
        )
    )
    return 0 if report.whole() else 1


if __name__ == "__main__":
    if sys.argv[1:]:
        machine, mutant, examples = sys.argv[1:]
        print(json.dumps(run_named(machine, mutant, int(examples))))
        sys.exit(0)
    sys.exit(main())
