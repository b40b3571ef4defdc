from wisteriapulley.catalogue import Change, Entry, Put
from wisteriapulley.claims import Claim, ClaimKey
from wisteriapulley.control.commands import (
    AcquirePermit,
    ChangeCatalogue,
    PutClaim,
    encode,
)
from wisteriapulley.control.state import ControlState
from wisteriapulley.errors import ResultCode

VERSION = "a" * 64


def filled():
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
    def test_snapshot_restores_the_whole_state(self):
        state = filled()
        acquire(state, 3, "t")
        copy = ControlState()
        copy.restore(state.snapshot())
        assert copy.snapshot() == state.snapshot()
        assert copy.claims.claims == state.claims.claims

    def test_permits_keep_max_unavailable(self):
        state = filled()
        assert acquire(state, 3, "t1").fencing == 3
        assert acquire(state, 4, "t2").code == ResultCode.PERMIT_DENIED
        assert acquire(state, 5, "t3", serving=False).code == ResultCode.OK
