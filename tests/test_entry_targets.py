import asyncio
from types import SimpleNamespace

import pytest

from wisteriapulley.catalogue import Entry
from wisteriapulley.entry.targets import Target, Targets
from wisteriapulley.wire import messages

OLD, NEW = "a" * 64, "b" * 64
BEAT_S = 1.0


def entry(version=NEW, leaving=()):
    return Entry(
        name="e",
        owner="o",
        traffic_class="c",
        service="s",
        version=version,
        leaving=leaving,
    )


def targets(loop_now_s=0.0, **beats):
    """Make an entry's targets from the last heartbeat of each."""
    settings = SimpleNamespace(heartbeat_ms=BEAT_S * 1000, node_id="entry-1")
    made = Targets(settings, None, SimpleNamespace(members={}), None, None)
    for name, beat in beats.items():
        link = SimpleNamespace(peer_heartbeat=beat, last_received=loop_now_s)
        member = messages.Announce(name, 1, "sidecar", "s", "d")
        made.targets[name] = Target(member, SimpleNamespace(open_link=link))
    return made


def beat(version=OLD, state="open", leaving=False):
    return messages.Heartbeat(1, leaving, state, version)


async def names(made, *arguments):
    now_s = asyncio.get_running_loop().time()
    for target in made.targets.values():
        target.link.last_received = now_s
    return {view.node_id for view in made.views(*arguments)}


class TestTargets:
    def test_version_before_serves_until_a_target_has_switched(self):
        # Guards service during a rollout: only targets with the new version
        # took work, so none did until the first had copied and loaded it.
        made = targets(t1=beat(OLD), t2=beat(OLD), t3=beat(NEW))
        assert asyncio.run(names(made, entry(NEW))) == {"t1", "t2", "t3"}

    def test_rest_of_an_answer_comes_from_its_own_version(self):
        made = targets(t1=beat(OLD), t2=beat(NEW))
        assert asyncio.run(names(made, entry(NEW), (), OLD)) == {"t1"}

    @pytest.mark.parametrize(
        "closed",
        [beat(state="draining"), beat(state="loading"), beat(leaving=True), beat("")],
    )
    def test_closed_or_empty_target_gets_nothing(self, closed):
        assert asyncio.run(names(targets(t1=closed), entry(NEW))) == set()

    def test_leaving_by_catalogue_gets_nothing(self):
        made = targets(t1=beat(OLD), t2=beat(OLD))
        assert asyncio.run(names(made, entry(leaving=("t1",)))) == {"t2"}
