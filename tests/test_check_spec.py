import pytest
import z3
from specs.check import run_machine
from specs.claims_machine import ClaimsMachine
from specs.claims_mutants import CLAIM_MUTANTS
from specs.mutants import MUTANTS
from specs.proofs import facts
from specs.replica_machine import ReplicaMachine

# `make check-spec` runs many more: this part takes a few seconds.
EXAMPLES = 6
QUICK_MUTANTS = (
    "forgets_vote",
    "votes_for_short_log",
    "ignores_clock",
    "takes_any_revision",
    "trusts_any_instance",
)


class TestReplicaSpec:
    def test_invariants_hold(self):
        run = run_machine(ReplicaMachine, {}, EXAMPLES)
        assert not run.breach
        assert run.steps > 1000

    @pytest.mark.parametrize("name", QUICK_MUTANTS)
    def test_broken_variant_is_caught(self, name):
        mutant = next(m for m in MUTANTS if m.name == name)
        run = run_machine(ReplicaMachine, mutant.options, 4 * EXAMPLES)
        assert run.breach.split(":")[0] in mutant.breaches


class TestClaimsSpec:
    def test_one_run_per_claim(self):
        assert not run_machine(ClaimsMachine, {}, 10 * EXAMPLES).breach

    @pytest.mark.parametrize("mutant", CLAIM_MUTANTS, ids=lambda m: m.name)
    def test_broken_variant_is_caught(self, mutant):
        run = run_machine(ClaimsMachine, mutant.options, 50 * EXAMPLES)
        assert run.breach.split(":")[0] in mutant.breaches


class TestProofs:
    @pytest.mark.parametrize("fact", facts(), ids=lambda fact: fact.name)
    def test_fact_is_proved_and_its_variant_refuted(self, fact):
        assert fact.breach.check() == z3.unsat
        assert fact.mutant.check() == z3.sat
