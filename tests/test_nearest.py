"""Order and number of the control instances that a follower uses."""

from collections import Counter

import pytest

from wisteriapulley.control.nearest import (
    FOLLOWED_INSTANCES,
    MAX_UNRESPONSIVE,
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


class TestInstancesToFollow:
    HOSTS = [f"10.0.0.{n}" for n in range(20)]

    def test_first_usable_instances_are_followed(self):
        assert (
            instances_to_follow(self.HOSTS, lambda host: True)
            == self.HOSTS[:FOLLOWED_INSTANCES]
        )

    @pytest.mark.parametrize("unresponsive", range(4))
    def test_unresponsive_instances_are_skipped_but_still_tried(self, unresponsive):
        down = set(self.HOSTS[:unresponsive])
        chosen = instances_to_follow(self.HOSTS, lambda host: host not in down)
        assert chosen == self.HOSTS[: unresponsive + FOLLOWED_INSTANCES]

    def test_outage_of_all_instances_causes_no_connection_storm(self):
        """Without a limit, all followers would connect to all instances at once."""
        chosen = instances_to_follow(self.HOSTS, lambda host: False)
        assert len(chosen) == FOLLOWED_INSTANCES + MAX_UNRESPONSIVE
