import random

from wisteriapulley.consensus import (
    Members,
    Replica,
    Timing,
)

NAMES = ("a", "b", "c")
MEMBERS = Members({name: f"disk-{name}" for name in NAMES})


class Network:
    """Replicas joined by a perfect network over virtual time."""

    def __init__(self):
        self.now_ms = 0.0
        self.down = set()
        self.applied = {name: [] for name in NAMES}
        self.replicas = {
            name: Replica(
                name,
                f"disk-{name}",
                MEMBERS,
                timing=Timing(),
                rng=random.Random(name),
            )
            for name in NAMES
        }

    def run(self, duration_ms):
        end = self.now_ms + duration_ms
        while self.now_ms < end:
            self.now_ms += 10
            for name in NAMES:
                if name not in self.down:
                    self.replicas[name].tick(self.now_ms)
            self.deliver()

    def deliver(self):
        busy = True
        while busy:
            busy = False
            for name in NAMES:
                self.replicas[name].flush_if_pending()
                replica = self.replicas[name]
                ready = replica.ready()
                replica.synced(ready)
                committed = replica.take_committed()
                self.applied[name] += [r.data for r in committed if r.kind == 1]
                for receiver, message in ready.early + ready.messages:
                    if not {name, receiver} & self.down:
                        self.replicas[receiver].step(self.now_ms, message)
                        busy = True

    def leader(self):
        up = [self.replicas[n] for n in NAMES if n not in self.down]
        return next(r for r in up if r.is_leader)


class TestReplica:
    def test_command_is_applied_everywhere(self):
        network = Network()
        network.run(5000)
        network.leader().propose(b"x")
        network.run(1000)
        assert all(applied == [b"x"] for applied in network.applied.values())

    def test_new_leader_keeps_what_was_committed(self):
        network = Network()
        network.run(5000)
        first = network.leader()
        first.propose(b"x")
        network.run(1000)
        network.down = {first.node_id}
        network.run(6000)
        assert network.leader() is not first
        network.leader().propose(b"y")
        network.down = set()
        network.run(3000)
        assert network.applied[first.node_id] == [b"x", b"y"]

    def test_isolated_leader_steps_down_after_its_lease(self):
        network = Network()
        network.run(5000)
        first = network.leader()
        network.down = {n for n in NAMES if n != first.node_id}
        network.run(800)
        assert first.lease_left_ms(network.now_ms) == 0
        network.run(1000)
        assert not first.is_leader
