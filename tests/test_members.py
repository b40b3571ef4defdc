"""Members that move, restart and vanish, seen by three control instances."""

from wisteriapulley.control.members import MemberTable
from wisteriapulley.wire.messages import Announce, MemberUpdate


def announce(incarnation=1, sequence=1, **values):
    return Announce("t1", incarnation, "sidecar", "s", sequence=sequence, **values)


def full(owner, epoch, *members):
    return MemberUpdate(owner, epoch, True, members)


def part(owner, epoch, *members):
    return MemberUpdate(owner, epoch, False, members)


class TestMemberTable:
    def test_move_between_instances_does_not_flap(self):
        """Regression: B did not tell C of a member that A still owned."""
        a, b, c = (MemberTable(name, 1) for name in "abc")
        moved = a.record_announcement(announce())
        for table in (b, c):
            table.apply_update(part("a", 1, *moved.own), 0)
        a.detach("t1", 0)
        told = b.record_announcement(announce())
        assert (told.own, told.view) == ((announce(),), ())
        assert c.apply_update(part("b", 1, *told.own), 0).view == ()
        a.apply_update(part("b", 1, *told.own), 0)
        ended = a.sweep(a.lease_ms)
        assert (len(ended.own), ended.view) == (1, ())
        assert c.apply_update(part("a", 1, *ended.own), 0).view == ()
        assert "t1" in c.view
        b.detach("t1", 0)
        gone = b.sweep(b.lease_ms)
        assert c.apply_update(part("b", 1, *gone.own), 0).view[0].gone
        assert c.owned["a"] == c.owned["b"] == c.view == {}

    def test_older_incarnation_of_one_node_id_changes_nothing(self):
        table = MemberTable("a", 1)
        table.record_announcement(announce(incarnation=2))
        assert table.record_announcement(announce(incarnation=1, sequence=9)) == (
            (),
            (),
        )
        assert table.view["t1"].incarnation == 2

    def test_lease_ends_unless_the_member_comes_back(self):
        table = MemberTable("a", 1)
        table.record_announcement(announce())
        table.detach("t1", 0)
        table.record_announcement(announce())
        assert table.sweep(10 * table.lease_ms) == ((), ())

    def test_restarted_owner_takes_no_member_from_the_view_at_once(self):
        """Regression: entries dropped every target of a restarted instance."""
        table = MemberTable("a", 1)
        table.apply_update(full("b", 1, announce()), 0)
        assert table.apply_update(full("b", 2), 100).view == ()
        assert table.apply_update(full("b", 2), 200).view == ()
        assert table.sweep(100 + table.lease_ms).view[0].gone

    def test_lost_owner_is_forgotten_after_its_grace(self):
        table = MemberTable("a", 1)
        table.apply_update(full("b", 1, announce()), 0)
        table.owner_disconnected("b", 0)
        assert table.sweep(table.grace_ms - 1).view == ()
        assert table.sweep(table.grace_ms).view[0].gone
        assert table.owned["b"] == {}

    def test_owner_that_comes_back_keeps_its_members(self):
        table = MemberTable("a", 1)
        table.apply_update(full("b", 1, announce()), 0)
        table.owner_disconnected("b", 0)
        table.apply_update(full("b", 1, announce()), 10)
        assert table.sweep(table.grace_ms).view == ()

    def test_update_of_an_earlier_epoch_is_dropped(self):
        table = MemberTable("a", 1)
        table.apply_update(full("b", 2, announce()), 0)
        assert table.apply_update(full("b", 1), 0) == ((), ())
        assert "t1" in table.view
