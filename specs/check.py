"""``make check-spec``: check the invariants on the real code and on every mutant.

Seeds are fixed, so each run gives the same result. The last line of the output is
one JSON object. The exit status is 1 unless every invariant holds for the real code
and every mutant violates one of its invariants.
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
# Enough for a disk loss, its repair and the next loss.
RULES_PER_EXAMPLE = 40
# A mutant is run on as many examples as the real code.
REPLICA_EXAMPLES = 120
CLAIMS_EXAMPLES = 600
MACHINES = {
    "replica": (ReplicaMachine, MUTANTS),
    "claims": (ClaimsMachine, CLAIM_MUTANTS),
}
ROOT = Path(__file__).resolve().parent.parent


class Run(NamedTuple):
    """Result of running one state machine.

    Attributes
    ----------
    violation : str
        Name and detail of the violated invariant; empty if all held.
    steps : int
        Steps that the machine made.
    checks : int
        Checks of invariants.
    """

    violation: str
    steps: int
    checks: int


def run_machine(machine: type, options: dict, examples: int) -> Run:
    """Run a state machine on `examples` examples, the same ones in every call."""
    subclass = type(machine.__name__, (machine,), {"options": options, "steps": 0})
    subclass.checks = 0
    violation = ""
    try:
        run_state_machine_as_test(
            subclass,
            settings=settings(
                max_examples=examples,
                stateful_step_count=RULES_PER_EXAMPLE,
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
        violation = str(error)
    return Run(violation, subclass.steps, subclass.checks)


def run_in_subprocess(machine: str, mutant: str, examples: int) -> Run:
    """Run a state machine in a new process.

    Hypothesis draws constants from all imported modules, so the same seed gives other
    examples in a process that has imported other tests.

    Parameters
    ----------
    machine : str
        Name in `MACHINES`.
    mutant : str
        Name of a mutant; empty for the real code.
    examples : int
        Number of examples.
    """
    completed = subprocess.run(
        [sys.executable, "-m", "specs.check", machine, mutant, str(examples)],
        cwd=ROOT,
        env={"PYTHONPATH": f"{ROOT / 'src'}:{ROOT}"},
        capture_output=True,
        check=True,
        text=True,
    )
    return Run(*json.loads(completed.stdout))


def run_by_name(machine: str, mutant: str, examples: int) -> Run:
    """Run a state machine on the real code or on a mutant, by name."""
    machine_class, mutants = MACHINES[machine]
    options = next((m.options for m in mutants if m.name == mutant), {})
    return run_machine(machine_class, options, examples)


class Report:
    """Print each result and add up the totals."""

    def __init__(self):
        self.steps = 0
        self.checks = 0
        self.violations = 0
        self.mutants = 0
        self.caught = 0

    def add_machine(self, name: str, run: Run) -> None:
        """Record a run of the real code."""
        self.steps += run.steps
        self.checks += run.checks
        self.violations += bool(run.violation)
        print(f"{name}: {run.violation or 'holds'} after {run.steps} steps", flush=True)

    def add_mutant(self, name: str, caught: bool, detail: str) -> None:
        """Record a run of a mutant."""
        self.mutants += 1
        self.caught += caught
        outcome = "caught" if caught else "MISSED"
        print(f"mutant {name}: {outcome}: {detail[:120]}", flush=True)

    def passed(self) -> bool:
        """Return whether all invariants held and every mutant was caught."""
        return not self.violations and self.caught == self.mutants


def check_machine(report: Report, machine: type, mutants: tuple, examples: int) -> None:
    """Check a state machine on the real code, then on its mutants."""
    report.add_machine(machine.__name__, run_machine(machine, {}, examples))
    for mutant in mutants:
        run = run_machine(machine, mutant.options, examples)
        caught = run.violation.split(":")[0] in mutant.violated
        report.add_mutant(mutant.name, caught, run.violation)


def check_facts(report: Report) -> None:
    """Prove the facts and refute their mutants."""
    for fact in facts():
        verdict = fact.violation.check()
        report.violations += verdict != z3.unsat
        print(f"{fact.name}: violation is {verdict}", flush=True)
        mutant_verdict = fact.mutant.check()
        report.add_mutant(
            f"{fact.name} variant", mutant_verdict == z3.sat, str(mutant_verdict)
        )


def main() -> int:
    """Run all checks and return the exit status."""
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
    return 0 if report.passed() else 1


if __name__ == "__main__":
    if sys.argv[1:]:
        machine, mutant, examples = sys.argv[1:]
        print(json.dumps(run_by_name(machine, mutant, int(examples))))
        sys.exit(0)
    sys.exit(main())
