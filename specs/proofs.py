"""Facts that z3 proves for every case, where a run shows only some.

Quorums are sets of up to `VOTERS` disks as bit vectors; leases are instants
and clock rates as reals. Each fact has a variant that must be refuted.
"""

from typing import NamedTuple

import z3

from wisteriapulley.consensus import Timing

# Control instances are at most seven, plus one that joins.
VOTERS = 8
# Clocks that run up to this share fast or slow.
DRIFT = 0.15


class Fact(NamedTuple):
    """A claim and its breach: `breach` must be unsatisfiable.

    `mutant` is the breach of a broken variant and must be satisfiable.
    """

    name: str
    breach: z3.Solver
    mutant: z3.Solver


def size(bits: z3.BitVecRef) -> z3.ArithRef:
    """Count the members of a set."""
    one = z3.Extract
    return z3.Sum([z3.BV2Int(one(i, i, bits)) for i in range(VOTERS)])


def disjoint_majorities(difference: int) -> z3.Solver:
    """Look for configurations that differ by so much and can both decide."""
    old, new, left, right = z3.BitVecs("old new left right", VOTERS)
    solver = z3.Solver()
    solver.add(old != 0, new != 0, size(old ^ new) <= difference)
    solver.add(left & ~old == 0, right & ~new == 0, left & right == 0)
    solver.add(2 * size(left) > size(old), 2 * size(right) > size(new))
    return solver


def overlapping_leases(lease_ms: int, from_reply: bool) -> z3.Solver:
    """Look for a vote that is given while the old lease holds.

    The voter that both majorities share heard the leader's round, whose answer
    the leader got. The lease ends by the leader's clock, the voter's patience
    by its own; only their rates are known, not what they show.
    """
    sent, heard, answered, vote = z3.Reals("sent heard answered vote")
    leader_rate, voter_rate = z3.Reals("leader_rate voter_rate")
    solver = z3.Solver()
    solver.add(0 <= sent, sent <= heard, heard <= answered, heard <= vote)
    for rate in (leader_rate, voter_rate):
        solver.add(rate >= 1 - DRIFT, rate <= 1 + DRIFT)
    start = answered if from_reply else sent
    solver.add((vote - heard) * voter_rate >= Timing().election_ms)
    solver.add((vote - start) * leader_rate < lease_ms)
    return solver


def facts() -> tuple[Fact, ...]:
    """Return the facts; see docs/design/control-quorum.md."""
    timing = Timing()
    return (
        Fact("majorities_overlap", disjoint_majorities(1), disjoint_majorities(2)),
        Fact(
            "lease_from_sending",
            overlapping_leases(timing.lease_ms, from_reply=False),
            overlapping_leases(timing.lease_ms, from_reply=True),
        ),
        Fact(
            "lease_margin",
            overlapping_leases(timing.lease_ms, from_reply=False),
            overlapping_leases(timing.election_ms, from_reply=False),
        ),
    )
