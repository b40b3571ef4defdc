"""Updates to watchers with open, slow and frozen links; reports of nodes."""

import asyncio

import msgspec

from wisteriapulley.catalogue import Catalogue, Change, Entry, Put
from wisteriapulley.catalogue.catalogue import CatalogueImage
from wisteriapulley.control.client import LocalCatalogue
from wisteriapulley.control.fanout import MAX_BUFFERED_BYTES, Fanout
from wisteriapulley.control.reports import ReportTable
from wisteriapulley.wire.messages import Announce, CatalogueUpdate, Report


class FakeLink:
    """Records posted messages; `buffered` is the size of the write buffer."""

    def __init__(self):
        self.closed = asyncio.Event()
        self.buffered = 0
        self.posted = []

    def write_buffer_bytes(self):
        return self.buffered

    def post(self, message):
        self.posted.append(message)

    def updates(self):
        return [m for m in self.posted if isinstance(m, CatalogueUpdate)]


def accept(catalogue, number):
    entry = Entry(name=f"e{number}", owner="o", traffic_class="c", service=f"s{number}")
    assert catalogue.apply(Change(str(number), "o", (Put(entry, 0),))).code == 0


class TestFanout:
    def new_fanout(self, is_complete=True):
        catalogue = Catalogue()
        fanout = Fanout(
            catalogue, {"t": Announce("t", service="s")}, lambda: is_complete
        )
        link = FakeLink()
        fanout.add(link, ())
        return catalogue, fanout, link

    def test_frozen_watcher_gets_only_newest_revision(self):
        catalogue, fanout, link = self.new_fanout()
        link.buffered = MAX_BUFFERED_BYTES
        for number in range(50):
            accept(catalogue, number)
            fanout.publish_members([Announce("t2")])
            fanout.flush()
        assert len(link.posted) == 1
        link.buffered = 0
        fanout.flush()
        assert [u.revision for u in link.updates()] == [50]
        assert link.posted[-1].full

    def test_push_does_not_confirm_catalogue(self):
        """Regression: old revisions pushed during log replay made a node ready."""
        catalogue, fanout, link = self.new_fanout()
        accept(catalogue, 1)
        fanout.flush()
        local = LocalCatalogue()
        assert not local.apply_update(link.updates()[0])
        assert (local.confirmed, local.revision) == (False, 0)

    def test_incomplete_view_does_not_remove_members_at_watcher(self):
        _, _, link = self.new_fanout(is_complete=False)
        assert not link.posted[0].full

    def test_known_revision_has_no_content(self):
        catalogue, fanout, _ = self.new_fanout()
        accept(catalogue, 1)
        assert fanout.catalogue_update(True, known=1).content == b""


class TestLocalCatalogue:
    def update(self, revision, fresh):
        content = msgspec.msgpack.encode(CatalogueImage(revision, {}))
        return CatalogueUpdate(revision, fresh, content)

    def test_revision_never_decreases(self):
        local = LocalCatalogue()
        assert local.apply_update(self.update(5, True))
        assert not local.apply_update(self.update(4, True))
        assert local.apply_update(self.update(6, False))
        assert local.revision == 6

    def test_restarted_node_ignores_isolated_instance(self):
        local = LocalCatalogue()
        assert not local.apply_update(self.update(5, False))
        assert (local.revision, local.confirmed) == (0, False)
        assert local.apply_update(self.update(9, True))


class TestReportTable:
    def report(self, incarnation=1, done=0, **values):
        return Report(
            "t",
            incarnation=incarnation,
            bytes_done=done,
            bytes_total=10_000,
            desired="v",
            **values,
        )

    def test_report_of_earlier_incarnation_is_ignored(self):
        table = ReportTable()
        assert table.update(self.report(2, state="open"), 0)
        assert not table.update(self.report(1, state="empty"), 1)
        assert table.progress["t"].report.state == "open"

    def test_remaining_time_follows_rate(self):
        table = ReportTable()
        for second in range(4):
            table.update(self.report(done=1000 * second), 1000 * second)
        row = next(table.rows({"t": Announce("t", 1)}))
        assert round(row.remaining_s, 3) == 7.0

    def test_unreported_member_has_row_and_removed_one_has_none(self):
        table = ReportTable()
        table.update(self.report(), 0)
        table.prune({"u": Announce("u", 1)})
        rows = list(table.rows({"u": Announce("u", 1)}))
        assert [(row.node_id, row.state) for row in rows] == [("u", "unknown")]
        assert table.progress == {}
