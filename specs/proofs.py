"""Facts that z3 proves for all cases; test runs cover only some.

Quorums are modelled as bit vectors over up to `MAX_VOTERS` disks, leases as instants
and clock rates in real numbers. Each fact has a mutant that must be refuted.
"""

from typing import NamedTuple

import z3

from wisteriapulley.consensus import Timing

# At most seven control instances, and one that joins.
MAX_VOTERS = 8
# Maximum clock rate error, as a fraction.
MAX_CLOCK_DRIFT = 0.15


class Fact(NamedTuple):
    """A fact to prove.

    Attributes
    ----------
    name : str
        Name of the fact.
    violation : z3.Solver
        Constraints of a violation of the fact; must be unsatisfiable.
    mutant : z3.Solver
        The same for a broken variant; must be satisfiable.
    """

    name: str
    violation: z3.Solver
    mutant: z3.Solver


def set_size(bits: z3.BitVecRef) -> z3.ArithRef:
    """Return the number of members of a set."""
    extract = z3.Extract
    return z3.Sum([z3.BV2Int(extract(i, i, bits)) for i in range(MAX_VOTERS)])


def disjoint_majorities(difference: int) -> z3.Solver:
    """Return constraints for two configurations that can both reach a majority.

    The configurations differ by at most `difference` members, and the majorities have
    no member in common.
    """
    old, new, left, right = z3.BitVecs("old new left right", MAX_VOTERS)
    solver = z3.Solver()
    solver.add(old != 0, new != 0, set_size(old ^ new) <= difference)
    solver.add(left & ~old == 0, right & ~new == 0, left & right == 0)
    solver.add(2 * set_size(left) > set_size(old), 2 * set_size(right) > set_size(new))
    return solver


def overlapping_leases(lease_ms: int, from_reply: bool) -> z3.Solver:
    """Return constraints for a vote that is granted while the old lease is valid.

    The voter that both majorities have in common received the leader's round, and the
    leader received its reply. The lease expires by the leader's clock, and the voter's
    election timeout by its own clock. Only bounds of the clock rates are known, not
    the readings.

    Parameters
    ----------
    lease_ms : int
        Duration of the lease.
    from_reply : bool
        Whether the lease starts when the reply arrives, not when the round is sent.
    """
    sent, received, answered, vote = z3.Reals("sent received answered vote")
    leader_rate, voter_rate = z3.Reals("leader_rate voter_rate")
    solver = z3.Solver()
    solver.add(0 <= sent, sent <= received, received <= answered, received <= vote)
    for rate in (leader_rate, voter_rate):
        solver.add(rate >= 1 - MAX_CLOCK_DRIFT, rate <= 1 + MAX_CLOCK_DRIFT)
    lease_start = answered if from_reply else sent
    solver.add((vote - received) * voter_rate >= Timing().election_ms)
    solver.add((vote - lease_start) * leader_rate < lease_ms)
    return solver


def facts() -> tuple[Fact, ...]:
    """Return all facts; see ``docs/design/control-quorum.md``."""
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
