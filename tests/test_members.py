"""Members that move, restart and disappear, seen by three control instances."""

from wisteriapulley.control.members import MemberTable
from wisteriapulley.wire.messages import Announce, MemberUpdate


def announce(incarnation=1, sequence=1, **values):
    return Announce("t1", incarnation, "sidecar", "s", sequence=sequence, **values)


def full_update(owner, epoch, *members):
    return MemberUpdate(owner, epoch, True, members)


def partial_update(owner, epoch, *members):
    return MemberUpdate(owner, epoch, False, members)


class TestMemberTable:
    def test_member_that_moves_between_instances_does_not_flap(self):
        """Regression: B did not send C a member that A still owned."""
        a, b, c = (MemberTable(name, 1) for name in "abc")
        moved = a.record_announcement(announce())
        for table in (b, c):
            table.apply_update(partial_update("a", 1, *moved.own), 0)
        a.detach("t1", 0)
        changes = b.record_announcement(announce())
        assert (changes.own, changes.view) == ((announce(),), ())
        assert c.apply_update(partial_update("b", 1, *changes.own), 0).view == ()
        a.apply_update(partial_update("b", 1, *changes.own), 0)
        ended = a.sweep(a.lease_ms)
        assert (len(ended.own), ended.view) == (1, ())
        assert c.apply_update(partial_update("a", 1, *ended.own), 0).view == ()
        assert "t1" in c.view
        b.detach("t1", 0)
        gone = b.sweep(b.lease_ms)
        assert c.apply_update(partial_update("b", 1, *gone.own), 0).view[0].gone
        assert c.owned["a"] == c.owned["b"] == c.view == {}

    def test_older_incarnation_of_node_id_is_ignored(self):
        table = MemberTable("a", 1)
        table.record_announcement(announce(incarnation=2))
        assert table.record_announcement(announce(incarnation=1, sequence=9)) == (
            (),
            (),
        )
        assert table.view["t1"].incarnation == 2

    def test_returning_member_does_not_expire(self):
        table = MemberTable("a", 1)
        table.record_announcement(announce())
        table.detach("t1", 0)
        table.record_announcement(announce())
        assert table.sweep(10 * table.lease_ms) == ((), ())

    def test_restarted_owner_keeps_members_for_lease(self):
        """Regression: entries dropped every target of a restarted control instance."""
        table = MemberTable("a", 1)
        table.apply_update(full_update("b", 1, announce()), 0)
        assert table.apply_update(full_update("b", 2), 100).view == ()
        assert table.apply_update(full_update("b", 2), 200).view == ()
        assert table.sweep(100 + table.lease_ms).view[0].gone

    def test_members_of_lost_owner_expire_after_grace_period(self):
        table = MemberTable("a", 1)
        table.apply_update(full_update("b", 1, announce()), 0)
        table.owner_disconnected("b", 0)
        assert table.sweep(table.grace_ms - 1).view == ()
        assert table.sweep(table.grace_ms).view[0].gone
        assert table.owned["b"] == {}

    def test_returning_owner_keeps_its_members(self):
        table = MemberTable("a", 1)
        table.apply_update(full_update("b", 1, announce()), 0)
        table.owner_disconnected("b", 0)
        table.apply_update(full_update("b", 1, announce()), 10)
        assert table.sweep(table.grace_ms).view == ()

    def test_update_of_earlier_epoch_is_ignored(self):
        table = MemberTable("a", 1)
        table.apply_update(full_update("b", 2, announce()), 0)
        assert table.apply_update(full_update("b", 1), 0) == ((), ())
        assert "t1" in table.view
