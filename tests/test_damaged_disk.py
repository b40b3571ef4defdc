"""Control instances whose data folder is damaged, on a virtual clock."""

import asyncio
from pathlib import Path

import msgspec
import pytest

from tests.test_control_isolated import (
    VOTERS,
    FakePeer,
    catalogue,
    cluster,
    put_claim,
)
from wisteriapulley.control.damaged_disk import REJOIN_FOLDER, open_driver
from wisteriapulley.control.driver import Driver
from wisteriapulley.control.state import ControlState
from wisteriapulley.errors import ResultCode, StorageError
from wisteriapulley.settings import Address

__all__ = ["cluster"]


def damage(driver):
    """Close the folder of an instance and change a synced byte of its log."""
    driver.storage.close()
    path = Path(driver.settings.data_folder) / "log"
    data = bytearray(path.read_bytes())
    data[len(data) // 2] ^= 1
    path.write_bytes(data)


def reopen(cluster, name, seeds=True):
    """Start a stopped instance again."""
    settings = msgspec.structs.replace(
        cluster.drivers[name].settings,
        data_folder=str(cluster.folder / name),
        seeds=(Address("127.0.0.1", 1),) if seeds else (),
    )
    peers = {other: FakePeer(cluster, name, other) for other in VOTERS if other != name}
    cluster.drivers[name] = open_driver(
        settings,
        lambda found: Driver(
            found, ControlState(), peers, lambda result: None, pytest.fail
        ),
    )


class TestDamagedDisk:
    """Guards against an instance that ends at every start while the core lacks it."""

    def test_instance_votes_again_and_holds_what_was_acknowledged(self, cluster):
        async def scenario():
            await cluster.advance_ms(4000)
            await cluster.commit(catalogue())
            leader = cluster.leader().settings.node_id
            damaged = next(name for name in VOTERS if name != leader)
            damage(cluster.drivers[damaged])
            reopen(cluster, damaged)
            await cluster.advance_ms(6000)
            voters = cluster.leader().replica.members.voters
            assert set(voters) == set(VOTERS)
            assert voters[damaged] != VOTERS[damaged]
            assert cluster.drivers[damaged].state.catalogue.revision == 1
            # A second instance may be lost now.
            cluster.isolated = leader
            await cluster.advance_ms(6000)
            await cluster.commit(put_claim("t"))
            # The next start uses the folder that replaced the damaged one.
            cluster.drivers[damaged].storage.close()
            reopen(cluster, damaged)
            assert cluster.drivers[damaged].replica.identity == voters[damaged]

        asyncio.run(scenario())

    def test_nothing_is_acknowledged_without_a_majority_of_the_others(self, cluster):
        async def scenario():
            await cluster.advance_ms(4000)
            await cluster.commit(catalogue())
            intact = cluster.leader()
            others = [n for n, d in cluster.drivers.items() if d is not intact]
            for name in others:
                damage(cluster.drivers[name])
                reopen(cluster, name)
            pending = asyncio.ensure_future(intact.propose(put_claim("t")))
            await cluster.advance_ms(10_000)
            with pytest.raises(Exception, match="NO_QUORUM"):
                await pending
            assert set(intact.replica.members.voters.values()) == set(VOTERS.values())
            assert all(d.own_lease() is None for d in cluster.drivers.values())
            for name in others:
                assert (cluster.folder / name / "log").exists()
                assert (cluster.folder / name / REJOIN_FOLDER).exists()

        asyncio.run(scenario())

    def test_instance_that_operators_join_refuses_the_start(self, cluster):
        async def scenario():
            await cluster.advance_ms(4000)
            await cluster.commit(catalogue())

        asyncio.run(scenario())
        damage(cluster.drivers["a"])
        with pytest.raises(StorageError) as caught:
            reopen(cluster, "a", seeds=False)
        assert caught.value.code == ResultCode.LOG_DAMAGED
        assert not (cluster.folder / "a" / REJOIN_FOLDER).exists()
