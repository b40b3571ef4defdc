import pytest
import z3
from specs.check import run_in_subprocess
from specs.claims_mutants import CLAIM_MUTANTS
from specs.mutants import MUTANTS
from specs.proofs import facts

# Takes a few seconds; `make check-spec` runs many more examples.
EXAMPLES = 6
QUICK_MUTANTS = (
    "forgets_vote",
    "notes_uncommitted",
    "votes_for_short_log",
    "ignores_clock",
    "takes_any_revision",
    "trusts_any_instance",
)


class TestReplicaSpec:
    def test_invariants_hold(self):
        run = run_in_subprocess("replica", "", EXAMPLES)
        assert not run.violation
        assert run.steps > 1000

    @pytest.mark.parametrize("name", QUICK_MUTANTS)
    def test_mutant_is_caught(self, name):
        mutant = next(m for m in MUTANTS if m.name == name)
        run = run_in_subprocess("replica", name, 4 * EXAMPLES)
        assert run.violation.split(":")[0] in mutant.violated


class TestClaimsSpec:
    def test_claim_runs_at_most_once(self):
        assert not run_in_subprocess("claims", "", 10 * EXAMPLES).violation

    @pytest.mark.parametrize("mutant", CLAIM_MUTANTS, ids=lambda m: m.name)
    def test_mutant_is_caught(self, mutant):
        run = run_in_subprocess("claims", mutant.name, 50 * EXAMPLES)
        assert run.violation.split(":")[0] in mutant.violated


class TestProofs:
    @pytest.mark.parametrize("fact", facts(), ids=lambda fact: fact.name)
    def test_fact_is_proved_and_its_mutant_refuted(self, fact):
        assert fact.violation.check() == z3.unsat
        assert fact.mutant.check() == z3.sat
