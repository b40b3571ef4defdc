"""News of suspects through one control instance, and over its restarts."""

import asyncio

import pytest

from tests.fakes.links import WrittenLink
from wisteriapulley.consensus.files import Files
from wisteriapulley.control.followers import Followers
from wisteriapulley.control.suspect_feed import NEW_SUSPECTS_BURST, SuspectFeed
from wisteriapulley.control.suspect_store import FILE_NAME, SuspectStore
from wisteriapulley.errors import ResultCode, StorageError
from wisteriapulley.regions import Regions
from wisteriapulley.wire.messages import Suspect, SuspectNews

DIGEST = b"d" * 16
ONCE = SuspectNews((Suspect(DIGEST, 0, ("a",)),))
QUARANTINED = SuspectNews((Suspect(DIGEST, 0, ("a", "b", "c")),))


class Instance:
    """One control instance's feed, an entry and a sidecar that follow it."""

    def __init__(self):
        self.told = []
        self.followers = Followers("z", Regions({}))
        self.feed = SuspectFeed(self.followers, self.told.append)
        self.entry, self.sidecar = WrittenLink("entry"), WrittenLink("sidecar")
        for link in (self.entry, self.sidecar):
            self.followers.add(link)


class TestSuspectFeed:
    def test_entry_is_heard_by_all_entries_and_instances(self):
        instance = Instance()
        instance.feed.observe(ONCE, from_entry=True)
        assert instance.told == [ONCE]
        assert instance.entry.taken == [ONCE]
        assert not instance.sidecar.taken

    def test_other_instance_is_heard_by_entries_only(self):
        instance = Instance()
        instance.feed.observe(ONCE, from_entry=False)
        assert instance.told == []
        assert instance.entry.taken == [ONCE]

    def test_what_is_known_goes_no_further(self):
        instance = Instance()
        for _ in range(3):
            instance.feed.observe(ONCE, from_entry=True)
        assert len(instance.told) == len(instance.entry.taken) == 1

    def test_new_link_is_told_all(self):
        instance, link = Instance(), WrittenLink("entry")
        instance.feed.send_all(link)
        assert link.taken == []
        instance.feed.observe(QUARANTINED, from_entry=True)
        instance.feed.send_all(link)
        assert link.taken == [QUARANTINED]

    def test_many_targets_that_end_together_do_not_flood_entries(self):
        """Load: hundreds of targets end, under thousands of requests."""
        instance = Instance()
        for number in range(4 * int(NEW_SUSPECTS_BURST)):
            suspect = Suspect(number.to_bytes(16, "little"), 0, ("a",))
            instance.feed.observe(SuspectNews((suspect,)), from_entry=True)
        assert len(instance.entry.taken) < 2 * NEW_SUSPECTS_BURST
        instance.feed.observe(QUARANTINED, from_entry=True)
        assert instance.entry.taken[-1] == QUARANTINED


class TestSuspectStore:
    def kept(self, folder, files=None):
        """Have an instance write what it learns; return its feed."""

        async def run():
            feed = Instance().feed
            feed.restore(SuspectStore(folder, files))
            feed.observe(QUARANTINED, from_entry=True)
            feed.observe(SuspectNews((Suspect(b"o" * 16, 0, ("a",)),)), from_entry=True)
            while feed.store.write_task is not None:
                await asyncio.sleep(0.001)
            return feed

        return asyncio.run(run())

    def test_quarantine_is_read_back(self, tmp_path):
        self.kept(tmp_path)
        feed = Instance().feed
        feed.restore(SuspectStore(tmp_path))
        assert feed.suspects.quarantined() == [DIGEST]
        assert len(feed.suspects.records) == 1

    def test_nothing_there_yet(self, tmp_path):
        assert SuspectStore(tmp_path).load() == ()

    @pytest.mark.parametrize("content", [b"", b"\xc1", b"\x91\x01", b"{}"])
    def test_damaged_file_is_logged_and_left(self, tmp_path, content, caplog):
        (tmp_path / FILE_NAME).write_bytes(content)
        assert SuspectStore(tmp_path).load() == ()
        assert "can't be read" in caplog.text

    def test_disk_that_fails_stops_nothing(self, tmp_path, caplog):
        class Full(Files):
            def replace(self, path, data):
                raise StorageError(ResultCode.DISK_FULL, "no room")

        feed = self.kept(tmp_path, Full())
        assert feed.suspects.quarantined() == [DIGEST]
        assert "not written" in caplog.text
