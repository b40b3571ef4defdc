"""Suspects forwarded by one control instance and restored after its restart."""

import asyncio

import pytest

from tests.fakes.links import RecordingLink
from wisteriapulley.consensus.files import Files
from wisteriapulley.control.followers import Followers
from wisteriapulley.control.suspect_feed import NEW_SUSPECTS_BURST, SuspectFeed
from wisteriapulley.control.suspect_store import FILE_NAME, SuspectStore
from wisteriapulley.errors import ResultCode, StorageError
from wisteriapulley.policy.fingerprint import PART_PREFIX
from wisteriapulley.regions import Regions
from wisteriapulley.wire.messages import Suspect, SuspectNews

DIGEST = b"d" * 16
PART = PART_PREFIX + b"p" * 16
ENDED_ONE = SuspectNews((Suspect(DIGEST, 0, ("a",)),))
QUARANTINED = SuspectNews((Suspect(DIGEST, 0, ("a", "b", "c")),))


class Instance:
    """One control instance's feed with an entry and a sidecar as followers."""

    def __init__(self):
        self.sent_to_peers = []
        self.followers = Followers("z", Regions({}))
        self.feed = SuspectFeed(self.followers, self.sent_to_peers.append)
        self.entry, self.sidecar = RecordingLink("entry"), RecordingLink("sidecar")
        for link in (self.entry, self.sidecar):
            self.followers.add(link)


class TestSuspectFeed:
    def test_suspect_of_entry_goes_to_entries_and_peers(self):
        instance = Instance()
        instance.feed.observe(ENDED_ONE, from_entry=True)
        assert instance.sent_to_peers == [ENDED_ONE]
        assert instance.entry.written == [ENDED_ONE]
        assert not instance.sidecar.written

    def test_suspect_of_peer_goes_to_entries_only(self):
        instance = Instance()
        instance.feed.observe(ENDED_ONE, from_entry=False)
        assert instance.sent_to_peers == []
        assert instance.entry.written == [ENDED_ONE]

    def test_known_suspect_is_not_forwarded_again(self):
        instance = Instance()
        for _ in range(3):
            instance.feed.observe(ENDED_ONE, from_entry=True)
        assert len(instance.sent_to_peers) == len(instance.entry.written) == 1

    def test_new_link_gets_all_suspects(self):
        instance, link = Instance(), RecordingLink("entry")
        instance.feed.send_all(link)
        assert link.written == []
        instance.feed.observe(QUARANTINED, from_entry=True)
        instance.feed.send_all(link)
        assert link.written == [QUARANTINED]

    def test_end_of_many_targets_does_not_flood_entries(self):
        """Hundreds of targets end during thousands of requests."""
        instance = Instance()
        for number in range(4 * int(NEW_SUSPECTS_BURST)):
            suspect = Suspect(number.to_bytes(16, "little"), 0, ("a",))
            instance.feed.observe(SuspectNews((suspect,)), from_entry=True)
        assert len(instance.entry.written) < 2 * NEW_SUSPECTS_BURST
        instance.feed.observe(QUARANTINED, from_entry=True)
        assert instance.entry.written[-1] == QUARANTINED

    def test_sender_that_missed_a_clearing_learns_it(self):
        """It was cut off then, and reports its records on a new link."""
        instance, link = Instance(), RecordingLink("entry")
        cleared = SuspectNews((Suspect(DIGEST, 1, ()),))
        for news in (QUARANTINED, cleared):
            instance.feed.observe(news, from_entry=True)
        instance.feed.correct(QUARANTINED, link)
        assert link.written == [cleared]

    def test_sender_that_knows_as_much_is_sent_nothing(self):
        instance, link = Instance(), RecordingLink("entry")
        instance.feed.observe(QUARANTINED, from_entry=True)
        for news in (QUARANTINED, ENDED_ONE, SuspectNews((Suspect(PART, 0, ("a",)),))):
            instance.feed.correct(news, link)
        assert link.written == []

    def test_many_requests_do_not_keep_parts_from_entries(self):
        instance = Instance()
        for number in range(4 * int(NEW_SUSPECTS_BURST)):
            suspect = Suspect(number.to_bytes(16, "little"), 0, ("a",))
            instance.feed.observe(SuspectNews((suspect,)), from_entry=True)
        news = SuspectNews((Suspect(PART, 0, ("8/a",)),))
        instance.feed.observe(news, from_entry=True)
        assert instance.entry.written[-1] == news


class TestSuspectStore:
    def saved(self, folder, files=None):
        """Let an instance record and save suspects; return its feed."""

        async def run():
            feed = Instance().feed
            feed.restore(SuspectStore(folder, files))
            feed.observe(QUARANTINED, from_entry=True)
            feed.observe(SuspectNews((Suspect(b"o" * 16, 0, ("a",)),)), from_entry=True)
            while feed.store.write_task is not None:
                await asyncio.sleep(0.001)
            return feed

        return asyncio.run(run())

    def test_quarantined_request_is_restored(self, tmp_path):
        self.saved(tmp_path)
        feed = Instance().feed
        feed.restore(SuspectStore(tmp_path))
        assert feed.suspects.quarantined() == [DIGEST]
        assert len(feed.suspects.records) == 1

    def test_quarantined_part_is_restored(self, tmp_path):
        suspect = Suspect(PART, 0, ("6/c", "7/b", "8/a"))

        async def run():
            feed = Instance().feed
            feed.restore(SuspectStore(tmp_path))
            feed.observe(SuspectNews((suspect,)), from_entry=True)
            while feed.store.write_task is not None:
                await asyncio.sleep(0.001)

        asyncio.run(run())
        assert SuspectStore(tmp_path).load() == (suspect,)

    def test_missing_file_is_empty(self, tmp_path):
        assert SuspectStore(tmp_path).load() == ()

    @pytest.mark.parametrize("content", [b"", b"\xc1", b"\x91\x01", b"{}"])
    def test_damaged_file_is_logged_and_ignored(self, tmp_path, content, caplog):
        (tmp_path / FILE_NAME).write_bytes(content)
        assert SuspectStore(tmp_path).load() == ()
        assert "can't be read" in caplog.text

    def test_failed_write_is_logged(self, tmp_path, caplog):
        class FullDisk(Files):
            def replace(self, path, data):
                raise StorageError(ResultCode.DISK_FULL, "no room")

        feed = self.saved(tmp_path, FullDisk())
        assert feed.suspects.quarantined() == [DIGEST]
        assert "not written" in caplog.text
