import msgspec

from wisteriapulley.catalogue import Change, Entry, Put
from wisteriapulley.claims import Claim, ClaimKey
from wisteriapulley.control.commands import (
    AcquirePermit,
    ChangeCatalogue,
    PutClaim,
    ReleasePermit,
    encode,
)
from wisteriapulley.control.permits import PermitSweeper
from wisteriapulley.control.state import ControlState
from wisteriapulley.errors import ResultCode
from wisteriapulley.wire.messages import Announce

VERSION = "a" * 64


def state_with_entry():
    state = ControlState()
    entry = Entry(name="e", owner="o", traffic_class="c", service="s", version=VERSION)
    state.apply(1, encode(ChangeCatalogue(Change("1", "o", (Put(entry, 0),)))))
    claim = Claim(b"b", "t", 1, 1, 1000)
    state.apply(2, encode(PutClaim(ClaimKey("a", "k"), claim, 0, 5)))
    return state


def acquire(state, index, target, serving=True):
    command = AcquirePermit("s", "d", target, 1, VERSION, serving)
    return state.apply(index, encode(command))


class TestControlState:
    def test_snapshot_restores_the_complete_state(self):
        state = state_with_entry()
        acquire(state, 3, "t")
        restored = ControlState()
        restored.restore(state.snapshot())
        assert restored.snapshot() == state.snapshot()
        assert restored.claims.claims == state.claims.claims

    def test_permits_respect_max_unavailable(self):
        state = state_with_entry()
        assert acquire(state, 3, "t1").fencing == 3
        assert acquire(state, 4, "t2").code == ResultCode.PERMIT_DENIED
        assert acquire(state, 5, "t3", serving=False).code == ResultCode.OK

    def test_permit_for_a_superseded_version_is_denied(self):
        state = state_with_entry()
        entry = state.catalogue.entries["e"].entry
        newer = msgspec.structs.replace(entry, version="b" * 64)
        change = Change("2", "o", (Put(newer, 1),))
        assert state.apply(3, encode(ChangeCatalogue(change))).code == ResultCode.OK
        assert acquire(state, 4, "t1").code == ResultCode.PERMIT_DENIED

    def test_target_that_failed_during_its_switch_stays_counted(self):
        """Otherwise a version that no engine can load takes out every target."""
        state = state_with_entry()
        acquire(state, 3, "t1")
        assert acquire(state, 4, "t1", serving=False).code == ResultCode.OK
        assert acquire(state, 5, "t2").code == ResultCode.PERMIT_DENIED

    def test_late_release_does_not_free_a_newer_permit(self):
        state = state_with_entry()
        acquire(state, 3, "t1")
        acquire(state, 4, "t1")
        late = state.apply(5, encode(ReleasePermit("t1", 3)))
        assert late.code == ResultCode.PERMIT_DENIED
        assert state.permits.permits["t1"].fencing == 4
        state.apply(6, encode(ReleasePermit("t1", 4)))
        assert state.permits.permits == {}


class TestPermitSweeper:
    def sweep(self, sweeper, state, members, now_ms):
        return list(sweeper.sweep(state.permits.permits, members, now_ms))

    def test_permit_of_a_target_that_is_gone_is_released_after_its_lease(self):
        state, sweeper = state_with_entry(), PermitSweeper(1000)
        acquire(state, 3, "t1")
        assert self.sweep(sweeper, state, {}, 0) == []
        assert self.sweep(sweeper, state, {}, 999) == []
        assert self.sweep(sweeper, state, {}, 1000) == [ReleasePermit("t1", 3)]

    def test_new_leader_waits_a_complete_lease(self):
        state, sweeper = state_with_entry(), PermitSweeper(1000)
        acquire(state, 3, "t1")
        self.sweep(sweeper, state, {}, 0)
        sweeper.reset()
        assert self.sweep(sweeper, state, {}, 5000) == []

    def test_target_that_came_back_keeps_its_permit(self):
        state, sweeper = state_with_entry(), PermitSweeper(1000)
        acquire(state, 3, "t1")
        self.sweep(sweeper, state, {}, 0)
        self.sweep(sweeper, state, {"t1": Announce("t1", 1)}, 500)
        assert self.sweep(sweeper, state, {}, 1200) == []

    def test_permit_of_an_earlier_incarnation_is_released_at_once(self):
        state, sweeper = state_with_entry(), PermitSweeper(1000)
        acquire(state, 3, "t1")
        restarted = {"t1": Announce("t1", 2)}
        assert self.sweep(sweeper, state, restarted, 0) == [ReleasePermit("t1", 3)]
