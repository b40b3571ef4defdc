"""Identities and data folders of control instances that are started with seeds."""

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


class TestInitialIdentity:
    def test_seeds_write_same_configuration(self, tmp_path):
        identities = [initial_identity(settings(tmp_path, host)) for host in HOSTS]
        assert len({json.dumps(i.members.voters) for i in identities}) == 1
        for host, identity in zip(HOSTS, identities, strict=True):
            assert identity.members.voters[host] == identity.identity

    def test_instance_that_is_no_seed_joins(self, tmp_path):
        identity = initial_identity(settings(tmp_path, "127.0.0.9"))
        assert identity.members.voters == {}

    def test_wiped_disk_gets_new_identity_without_vote(self, tmp_path):
        founded = initial_identity(settings(tmp_path))
        wiped = initial_identity(settings(tmp_path, first=False))
        assert wiped.members.voters == {}
        assert wiped.identity != founded.identity

    def test_two_wiped_disks_get_different_identities(self, tmp_path):
        one, two = (initial_identity(settings(tmp_path, first=False)) for _ in "12")
        assert one.identity != two.identity


class TestEnsureIdentity:
    def test_existing_identity_is_kept(self, tmp_path):
        ensure_identity(settings(tmp_path))
        before = read_identity(str(tmp_path))
        ensure_identity(settings(tmp_path, first=False))
        assert read_identity(str(tmp_path)) == before

    def test_files_of_crash_before_identity_sync_are_dropped(self, tmp_path):
        (tmp_path / "log").write_bytes(b"")
        (tmp_path / "identity.json.new").write_bytes(b"{")
        ensure_identity(settings(tmp_path))
        assert read_identity(str(tmp_path)).identity.startswith("first-")


class TestInstanceWithoutDisk:
    def test_observer_gets_temporary_folder(self):
        given = ensure_data_folder(settings(""))
        ensure_identity(given)
        identity = read_identity(given.data_folder)
        assert identity.identity.startswith(OBSERVER_PREFIX)
        assert identity.members.voters == {}

    def test_each_start_gets_new_identity(self):
        one, two = (ensure_data_folder(settings("")).data_folder for _ in "12")
        assert read_identity(one).identity != read_identity(two).identity

    def test_needs_no_rename_and_no_sync(self, monkeypatch):
        """Regression: an observer ended as temporary folders may refuse a rename."""

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

    def test_configured_folder_is_used(self, tmp_path):
        assert ensure_data_folder(settings(tmp_path)).data_folder == str(tmp_path)

    def test_temporary_folder_is_opened_without_lock_support(
        self, tmp_path, monkeypatch
    ):
        def refuses(descriptor, operation):
            raise OSError(errno.EBADF, "Bad file descriptor")

        monkeypatch.setattr(files.fcntl, "flock", refuses)
        observer = ensure_data_folder(settings(""))
        identity = read_identity(observer.data_folder)
        Storage.open(observer.data_folder, file_operations(identity)).close()
