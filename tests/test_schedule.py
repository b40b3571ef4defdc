import random

import pytest
from bench.virtual_burst import VirtualBurst

from wisteriapulley.weights.schedule import (
    MAX_RANK_DELAY_FACTOR,
    ORIGIN,
    Fetch,
    Schedule,
)
from wisteriapulley.weights.seeders import Peer, Seeders, choose_neighbours

CHUNKS = 50
RANK_DELAY_MS = 1000


def peers(count, domains=3):
    return [Peer(f"n{i}", f"d{i % domains}") for i in range(count)]


def make_schedule(me, members, distribution="origin_bytes"):
    rng = random.Random(7)
    digests = [f"{rng.getrandbits(256):064x}" for _ in range(CHUNKS)]
    seeders = Seeders(me)
    seeders.set_members(members)
    rng = random.Random(1)
    return Schedule(seeders, digests, distribution, RANK_DELAY_MS, rng, 0.0)


class TestSeeders:
    @pytest.mark.parametrize(
        ("distribution", "domains", "copies"),
        [
            ("origin_bytes", 3, 1),
            ("time_to_replicas", 3, 3),
            ("time_to_replicas", 8, 4),
        ],
    )
    def test_seeders_of_each_chunk(self, distribution, domains, copies):
        members = peers(24, domains)
        made = [make_schedule(peer, members, distribution) for peer in members]
        drawn = [0] * CHUNKS
        for schedule in made:
            first = {i for i in schedule.missing if not schedule.rank(i)}
            for index in first | set(schedule.domain_queue):
                drawn[index] += 1
        assert min(drawn) >= 1
        assert max(drawn) <= copies

    def test_ranks_follow_members_that_join_and_leave(self):
        members = peers(9)
        seeders = Seeders(members[0])
        seeders.set_members(members)
        seeders.set_members(members[:4])
        fresh = Seeders(members[0])
        fresh.set_members(members[:4])
        assert seeders.ranks == fresh.ranks
        assert seeders.domain_ranks == fresh.domain_ranks


class TestNeighbours:
    @pytest.mark.parametrize("count", [2, 9, 64, 200])
    def test_graph_is_connected_and_bounded(self, count):
        members = peers(count)
        links = {peer.node_id: set() for peer in members}
        for peer in members:
            for name in choose_neighbours(peer, members, 8):
                links[peer.node_id].add(name)
                links[name].add(peer.node_id)
        reached, frontier = set(), ["n0"]
        while frontier:
            name = frontier.pop()
            if name not in reached:
                reached.add(name)
                frontier += links[name]
        assert len(reached) == count
        assert max(map(len, links.values())) <= 16


class TestSchedule:
    def schedule(self, distribution="origin_bytes"):
        members = peers(9)
        return make_schedule(members[0], members, distribution)

    def test_rank_waits_for_its_delay(self):
        schedule = self.schedule()
        third = [i for i in schedule.missing if schedule.rank(i) == 2]
        assert not any(schedule.is_due_from_origin(i, 1999) for i in third)
        assert all(schedule.is_due_from_origin(i, 2000) for i in third)

    def test_new_chunks_extend_the_rank_delay_up_to_a_limit(self):
        schedule = self.schedule()
        index = next(i for i in schedule.missing if schedule.rank(i) == 1)
        other = next(i for i in schedule.missing if i != index)
        schedule.add_have("n1", [other], 900.0)
        assert not schedule.is_due_from_origin(index, 1800.0)
        schedule.last_new_chunk_ms = 1e9
        assert schedule.is_due_from_origin(index, MAX_RANK_DELAY_FACTOR * RANK_DELAY_MS)

    def test_rank_delay_starts_when_the_last_holder_disconnects(self):
        schedule = self.schedule()
        index = next(i for i in schedule.missing if schedule.rank(i) == 1)
        schedule.set_have("n1", [index], 0.0)
        schedule.drop_peer("n1", 5000.0)
        assert not schedule.is_due_from_origin(index, 5999.0)
        assert schedule.is_due_from_origin(index, 6000.0)

    def test_rarest_chunk_is_fetched_first(self):
        schedule = self.schedule()
        schedule.set_have("n1", range(CHUNKS), 0.0)
        schedule.set_have("n2", range(1, CHUNKS), 0.0)
        fetches = schedule.next_fetches(0.0, origin=False)
        assert fetches[0].index == 0

    def test_sender_of_corrupted_bytes_is_not_asked_again(self):
        schedule = self.schedule()
        schedule.set_have("n1", range(CHUNKS), 0.0)
        bad = next(f for f in schedule.next_fetches(0.0) if f.source == "n1")
        schedule.record_failure(bad, 0.0, corrupted=True)
        sources = {f.source for f in schedule.next_fetches(1e9)}
        assert sources <= {ORIGIN}

    def test_expired_fetch_is_retried_at_another_peer(self):
        schedule = self.schedule()
        schedule.set_have("n1", [3], 0.0)
        assert Fetch(3, "n1") in schedule.next_fetches(0.0, origin=False)
        schedule.set_have("n2", [3], 10.0)
        (expired,) = schedule.expired_fetches(2001.0)
        schedule.record_failure(expired, 2001.0)
        assert schedule.next_fetches(2001.0, origin=False) == [Fetch(3, "n2")]

    def test_end_game_asks_a_second_source_and_cancels_the_slower_fetch(self):
        schedule = self.schedule()
        for index in range(1, CHUNKS):
            schedule.record_chunk(index, 0.0)
        schedule.set_have("n1", [0], 0.0)
        schedule.set_have("n2", [0], 0.0)
        (first,) = schedule.next_fetches(0.0, origin=False)
        (second,) = schedule.next_fetches(10.0, origin=False)
        assert {first.source, second.source} == {"n1", "n2"}
        assert schedule.next_fetches(20.0, origin=False) == []
        assert schedule.record_success(second, 30.0) == [first]
        assert schedule.complete
        assert set(schedule.fetch_counts.values()) == {0}

    def test_origin_is_not_asked_before_its_retry_time(self):
        schedule = self.schedule()
        fetch = schedule.next_fetches(0.0)[0]
        schedule.record_failure(fetch, 100.0, retry_after_ms=3000.0)
        asked = [f for f in schedule.next_fetches(3000.0) if f.source == ORIGIN]
        assert asked == []
        assert schedule.next_fetches(3100.0)[0].source == ORIGIN


class TestVirtualBurst:
    """Run the schedule alone in virtual time; `make bench-burst` runs processes."""

    @pytest.mark.parametrize(
        ("distribution", "copies"), [("origin_bytes", 1.1), ("time_to_replicas", 4.0)]
    )
    def test_duration_and_origin_copies(self, distribution, copies):
        result = VirtualBurst(32, 64, distribution, 8).run()
        assert result.ratio_to_bound <= 1.3
        assert result.origin_copies <= copies

    def test_first_seeder_killed(self):
        burst = VirtualBurst(24, 32, "origin_bytes", 3)
        digest = burst.nodes["n0"].schedule.digests[0]
        first = min(burst.nodes.values(), key=lambda n: n.schedule.seeders.rank(digest))
        burst.kill(first.peer.node_id)
        result = burst.run()
        assert not burst.unfinished
        assert result.origin_copies <= 1.5
