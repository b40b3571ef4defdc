"""Which control instances a follower hears."""

from collections import Counter

import pytest

from wisteriapulley.control.nearest import (
    FOLLOWED_INSTANCES,
    MAX_UNANSWERED,
    by_nearness,
    instances_to_follow,
)
from wisteriapulley.policy.subset import Member
from wisteriapulley.regions import Regions

REGIONS = Regions({"p-1": "palermo", "p-2": "palermo", "c-1": "catania"})
OWN = Member("entry-1", "p-1")
INSTANCES = {"10.0.0.1": "c-1", "10.0.0.2": "p-2", "10.0.0.3": "p-1", "10.0.0.4": ""}


class TestByNearness:
    def test_own_domain_then_own_region_then_others(self):
        order = by_nearness(INSTANCES, OWN, REGIONS)
        assert order[:2] == ["10.0.0.3", "10.0.0.2"]
        assert sorted(order) == sorted(INSTANCES)

    def test_avoided_instance_comes_last(self):
        order = by_nearness(INSTANCES, OWN, REGIONS, avoided=["10.0.0.3"])
        assert order[0] == "10.0.0.2" and order[-1] == "10.0.0.3"

    def test_followers_of_one_domain_spread_over_its_instances(self):
        instances = {f"10.0.1.{n}": "p-1" for n in range(4)}
        firsts = Counter(
            by_nearness(instances, Member(f"sidecar-{n}", "p-1"), REGIONS)[0]
            for n in range(200)
        )
        assert len(firsts) == 4
        assert max(firsts.values()) <= 2 * min(firsts.values())


class TestToFollow:
    HOSTS = [f"10.0.0.{n}" for n in range(20)]

    def test_two_that_are_heard(self):
        assert (
            instances_to_follow(self.HOSTS, lambda host: True)
            == self.HOSTS[:FOLLOWED_INSTANCES]
        )

    @pytest.mark.parametrize("silent", range(4))
    def test_each_silent_one_is_passed_over_and_still_tried(self, silent):
        away = set(self.HOSTS[:silent])
        chosen = instances_to_follow(self.HOSTS, lambda host: host not in away)
        assert chosen == self.HOSTS[: silent + FOLLOWED_INSTANCES]

    def test_loss_of_all_is_no_storm(self):
        """All followers at once would else open links to all instances."""
        chosen = instances_to_follow(self.HOSTS, lambda host: False)
        assert len(chosen) == FOLLOWED_INSTANCES + MAX_UNANSWERED
