"""Control instances that find each other through seeds, in one process."""

import errno
import json
import os

from wisteriapulley.consensus import (
    HardState,
    Members,
    Record,
    RecordKind,
    Storage,
    files,
)
from wisteriapulley.consensus.log import Log
from wisteriapulley.consensus.storage import read_identity
from wisteriapulley.consensus.types import OBSERVER_PREFIX, Snapshot
from wisteriapulley.control.seeds import (
    ensure_data_folder,
    ensure_identity,
    file_operations,
    initial_identity,
)
from wisteriapulley.settings import Address, ControlSettings

HOSTS = ("127.0.0.1", "127.0.0.2", "127.0.0.3")


def settings(folder, host="127.0.0.1", first=True, seeds=HOSTS, port=7000, **more):
    return ControlSettings(
        node_id=host,
        failure_domain="palermo",
        http_listen=Address(host, 0),
        fleet_key_file="",
        wire_listen=Address(host, port),
        data_folder=str(folder),
        operators_file="",
        seeds=tuple(Address(seed, port) for seed in seeds),
        found_with_seeds=first,
        **more,
    )


class TestFirstIdentity:
    def test_seeds_agree_without_a_first_one(self, tmp_path):
        identities = [initial_identity(settings(tmp_path, host)) for host in HOSTS]
        assert len({json.dumps(i.members.voters) for i in identities}) == 1
        for host, identity in zip(HOSTS, identities, strict=True):
            assert identity.members.voters[host] == identity.identity

    def test_other_instance_joins(self, tmp_path):
        identity = initial_identity(settings(tmp_path, "127.0.0.9"))
        assert identity.members.voters == {}

    def test_wiped_disk_does_not_vote_under_its_old_name(self, tmp_path):
        founded = initial_identity(settings(tmp_path))
        wiped = initial_identity(settings(tmp_path, first=False))
        assert wiped.members.voters == {}
        assert wiped.identity != founded.identity

    def test_two_wiped_disks_differ(self, tmp_path):
        one, two = (initial_identity(settings(tmp_path, first=False)) for _ in "12")
        assert one.identity != two.identity


class TestPrepareFolder:
    def test_held_identity_stays(self, tmp_path):
        ensure_identity(settings(tmp_path))
        before = read_identity(str(tmp_path))
        ensure_identity(settings(tmp_path, first=False))
        assert read_identity(str(tmp_path)) == before

    def test_crash_before_the_identity_was_synced(self, tmp_path):
        (tmp_path / "log").write_bytes(b"")
        (tmp_path / "identity.json.new").write_bytes(b"{")
        ensure_identity(settings(tmp_path))
        assert read_identity(str(tmp_path)).identity.startswith("first-")


class TestInstanceWithoutDisk:
    def test_observes_from_a_temporary_folder(self):
        given = ensure_data_folder(settings(""))
        ensure_identity(given)
        identity = read_identity(given.data_folder)
        assert identity.identity.startswith(OBSERVER_PREFIX)
        assert identity.members.voters == {}

    def test_forgets_at_each_start(self):
        one, two = (ensure_data_folder(settings("")).data_folder for _ in "12")
        assert read_identity(one).identity != read_identity(two).identity

    def test_needs_no_rename_and_no_sync(self, monkeypatch):
        """The platform's temporary folders refuse a rename: an observer ended."""

        def refuse(*arguments):
            raise OSError(errno.EROFS, "Read-only file system")

        monkeypatch.setattr(os, "rename", refuse)
        monkeypatch.setattr(os, "fsync", refuse)
        given = ensure_data_folder(settings(""))
        ensure_identity(given)
        identity = read_identity(given.data_folder)
        storage = Storage.open(given.data_folder, file_operations(identity))
        record = Record(1, 1, RecordKind.COMMAND, b"x")
        storage.save(HardState(1, ""), (record,))
        snapshot = Snapshot(1, 1, Members({}), b"state")
        storage.save_snapshot(snapshot, HardState(1, ""), Log(1, 1))
        assert storage.read_snapshot() == b"state"
        storage.close()

    def test_disk_of_its_own_is_used(self, tmp_path):
        assert ensure_data_folder(settings(tmp_path)).data_folder == str(tmp_path)

    def test_temporary_folder_is_opened_where_locks_fail(self, tmp_path, monkeypatch):
        def refuses(descriptor, operation):
            raise OSError(errno.EBADF, "Bad file descriptor")

        monkeypatch.setattr(files.fcntl, "flock", refuses)
        observer = ensure_data_folder(settings(""))
        identity = read_identity(observer.data_folder)
        Storage.open(observer.data_folder, file_operations(identity)).close()
