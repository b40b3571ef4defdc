import json

import pytest

from wisteriapulley.catalogue import (
    Catalogue,
    Change,
    Delete,
    Entry,
    Put,
    diff,
    load_folder,
)
from wisteriapulley.catalogue.catalogue import HISTORY_LENGTH
from wisteriapulley.errors import CatalogueError, ResultCode


def entry(name="reports", **values):
    fields = {"owner": "o", "traffic_class": "c", "service": "s", **values}
    return Entry(name=name, **fields)


def change(change_id, *puts):
    return Change(change_id, "o", tuple(Put(e, base) for e, base in puts))


class TestCatalogue:
    def test_resend_returns_the_original_result(self):
        catalogue = Catalogue()
        first = catalogue.apply(change("1", (entry(), 0)))
        catalogue.apply(change("2", (entry(priority=3), 1)))
        assert catalogue.apply(change("1", (entry(), 0))) == first
        assert catalogue.entries["reports"].entry.priority == 3

    def test_reused_change_id_returns_the_accepted_entries(self):
        catalogue = Catalogue()
        catalogue.apply(change("1", (entry(), 0)))
        result = catalogue.apply(change("1", (entry(priority=9), 0)))
        assert result.code == ResultCode.CHANGE_ID_CONFLICT
        assert result.accepted == (entry(),)

    def test_one_of_two_changes_with_the_same_base_is_accepted(self):
        catalogue = Catalogue()
        catalogue.apply(change("1", (entry(), 0)))
        codes = [
            catalogue.apply(change(str(n), (entry(priority=n), 1))).code for n in (2, 3)
        ]
        assert codes == [ResultCode.OK, ResultCode.REVISION_CONFLICT]
        assert catalogue.revision == 2

    def test_change_is_atomic(self):
        catalogue = Catalogue()
        result = catalogue.apply(
            change("1", (entry("a"), 0), (entry("b", max_unavailable=0), 0))
        )
        assert result.code == ResultCode.CATALOGUE_ENTRY_INVALID
        assert (catalogue.revision, catalogue.entries) == (0, {})

    def test_other_owner_is_refused(self):
        catalogue = Catalogue()
        catalogue.apply(change("1", (entry(), 0)))
        theirs = Change("2", "p", (Put(entry(owner="p"), 1),))
        assert catalogue.apply(theirs).code == ResultCode.NOT_OWNER

    def test_reused_change_id_returns_the_entries_of_its_revision(self):
        catalogue = Catalogue()
        catalogue.apply(change("1", (entry(), 0)))
        catalogue.apply(change("2", (entry(priority=3), 1)))
        result = catalogue.apply(change("1", (entry(priority=9), 2)))
        assert result.code == ResultCode.CHANGE_ID_CONFLICT
        assert result.accepted == (entry(),)
        assert "revision 1" in result.message

    @pytest.mark.parametrize(
        "bad",
        [
            change("1"),
            change("", (entry("a"), 0)),
            change("1", (entry("a"), 0), (entry("a"), 0)),
            Change("1", "o", (), (Delete("a", 0),)),
            change("1", (entry("a"), 0), (entry("b", version="a" * 64), 0)),
        ],
    )
    def test_malformed_change_is_refused_as_a_whole(self, bad):
        catalogue = Catalogue()
        assert catalogue.apply(bad).code == ResultCode.CATALOGUE_ENTRY_INVALID
        assert (catalogue.revision, catalogue.entries) == (0, {})

    def test_other_owner_cannot_add_an_entry_to_a_service(self):
        catalogue = Catalogue()
        catalogue.apply(change("1", (entry(), 0)))
        theirs = Change("2", "p", (Put(entry("x", owner="p"), 0),))
        assert catalogue.apply(theirs).code == ResultCode.CATALOGUE_ENTRY_INVALID

    def test_delete_with_a_superseded_revision_is_refused(self):
        catalogue = Catalogue()
        catalogue.apply(change("1", (entry(), 0)))
        catalogue.apply(change("2", (entry(priority=3), 1)))
        stale = Change("3", "o", (), (Delete("reports", 1),))
        assert catalogue.apply(stale).code == ResultCode.REVISION_CONFLICT

    def test_history_is_limited_and_resend_of_a_dropped_change_is_refused(self):
        catalogue = Catalogue()
        for number in range(HISTORY_LENGTH + 1):
            put = (entry(priority=number % 100), number)
            assert catalogue.apply(change(str(number), put)).code == ResultCode.OK
        assert len(catalogue.history) == HISTORY_LENGTH
        resend = catalogue.apply(change("0", (entry(priority=0), 0)))
        assert resend.code == ResultCode.REVISION_CONFLICT


class TestFolder:
    def write(self, folder, **values):
        tree = {"name": "a", "owner": "o", "class": "c", "service": "s", **values}
        (folder / "a.json").write_text(json.dumps(tree))

    def test_diff_is_empty_after_apply(self, tmp_path):
        self.write(tmp_path)
        desired = load_folder(str(tmp_path))
        catalogue = Catalogue()
        puts, deletes = diff(desired, catalogue.entries, "o")
        catalogue.apply(Change("1", "o", puts, deletes))
        assert diff(desired, catalogue.entries, "o") == ((), ())

    @pytest.mark.parametrize(
        ("values", "key"),
        [
            ({"version": "latest"}, "version"),
            ({"max_unavailable": 0}, "max_unavailable"),
            ({"limits": {"burst": 0}}, "burst"),
            ({"distribution": "quick"}, "distribution"),
            ({"colour": "red"}, "colour"),
            ({"leaving": ["t1", "t1"]}, "leaving"),
            ({"role": "prefill"}, "role"),
            ({"priority": 1000}, "priority"),
            ({"limits": {"deadline_ms": 600_001}}, "deadline_ms"),
        ],
    )
    def test_error_names_file_and_key(self, tmp_path, values, key):
        self.write(tmp_path, **values)
        with pytest.raises(CatalogueError) as caught:
            load_folder(str(tmp_path))
        assert key in caught.value.message
        assert "a.json" in caught.value.message

    @pytest.mark.parametrize("name", ["trinacria", "lettercraft"])
    def test_examples_are_valid(self, name):
        assert load_folder(f"examples/{name}")
