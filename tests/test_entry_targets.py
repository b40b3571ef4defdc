import asyncio
from types import SimpleNamespace

import pytest

from wisteriapulley.catalogue import Entry
from wisteriapulley.entry.targets import Target, Targets
from wisteriapulley.wire import messages

PREVIOUS, DESIRED = "a" * 64, "b" * 64
HEARTBEAT_S = 1.0


def entry(version=DESIRED, leaving=()):
    return Entry(
        name="e",
        owner="o",
        traffic_class="c",
        service="s",
        version=version,
        leaving=leaving,
    )


def make_targets(loop_now_s=0.0, **heartbeats):
    """Return the targets of an entry, given the last heartbeat of each."""
    settings = SimpleNamespace(heartbeat_ms=HEARTBEAT_S * 1000, node_id="entry-1")
    targets = Targets(settings, None, SimpleNamespace(members={}), None, None)
    for name, heartbeat in heartbeats.items():
        link = SimpleNamespace(peer_heartbeat=heartbeat, last_received=loop_now_s)
        member = messages.Announce(name, 1, "sidecar", "s", "d")
        targets.targets[name] = Target(member, SimpleNamespace(open_link=link))
    return targets


def heartbeat(version=PREVIOUS, state="open", leaving=False):
    return messages.Heartbeat(1, leaving, state, version)


async def target_names(targets, *arguments):
    now_s = asyncio.get_running_loop().time()
    for target in targets.targets.values():
        target.link.last_received = now_s
    return {view.node_id for view in targets.views(*arguments)}


class TestTargets:
    def test_previous_version_serves_until_a_target_has_switched(self):
        # Guards against an outage during a rollout: if only targets with the desired
        # version got requests, none would until the first has downloaded and loaded it.
        targets = make_targets(
            t1=heartbeat(PREVIOUS), t2=heartbeat(PREVIOUS), t3=heartbeat(DESIRED)
        )
        assert asyncio.run(target_names(targets, entry(DESIRED))) == {"t1", "t2", "t3"}

    def test_cut_answer_is_resumed_from_its_own_version(self):
        targets = make_targets(t1=heartbeat(PREVIOUS), t2=heartbeat(DESIRED))
        assert asyncio.run(target_names(targets, entry(DESIRED), (), PREVIOUS)) == {
            "t1"
        }

    @pytest.mark.parametrize(
        "closed",
        [
            heartbeat(state="draining"),
            heartbeat(state="loading"),
            heartbeat(leaving=True),
            heartbeat(""),
        ],
    )
    def test_closed_or_empty_target_gets_no_requests(self, closed):
        assert (
            asyncio.run(target_names(make_targets(t1=closed), entry(DESIRED))) == set()
        )

    def test_target_leaving_by_catalogue_gets_no_requests(self):
        targets = make_targets(t1=heartbeat(PREVIOUS), t2=heartbeat(PREVIOUS))
        assert asyncio.run(target_names(targets, entry(leaving=("t1",)))) == {"t2"}


class TestEvacuation:
    def evacuate(self, targets, *domains):
        targets.evacuated = frozenset(domains)
        for number, target in enumerate(targets.targets.values()):
            target.member = target.member._replace(failure_domain=f"d{number}")

    def test_evacuated_target_gets_no_requests(self):
        targets = make_targets(t1=heartbeat(), t2=heartbeat())
        self.evacuate(targets, "d0")
        assert asyncio.run(target_names(targets, entry())) == {"t2"}
        self.evacuate(targets)
        assert asyncio.run(target_names(targets, entry())) == {"t1", "t2"}

    def test_unresponsive_targets_that_are_left_come_before_evacuated_ones(self):
        targets = make_targets(t1=heartbeat(), t2=heartbeat())
        self.evacuate(targets, "d0")

        async def names():
            now_s = asyncio.get_running_loop().time()
            targets.targets["t1"].link.last_received = now_s
            targets.targets["t2"].link.last_received = now_s - 100
            return {view.node_id for view in targets.views(entry())}

        assert asyncio.run(names()) == {"t2"}

    def test_links_go_to_the_domains_that_are_left(self):
        targets = make_targets()
        targets.settings.links_per_service = 10
        targets.control.members = {
            f"t{n}": messages.Announce(f"t{n}", 1, "sidecar", "s", f"d{n % 2}")
            for n in range(20)
        }
        targets.evacuated = frozenset({"d0"})
        chosen = {name for name, _ in targets.choose_subset()}
        assert chosen == {f"t{n}" for n in range(1, 20, 2)}
