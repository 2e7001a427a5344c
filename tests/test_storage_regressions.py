"""Regression tests of the data folder and the address book.

They guard against these faults: a disk error during the bootstrap leaves the replica
outside of its group; concurrent saves make the address book unreadable; deeply nested
data ends the program at its start; a start does not sync the entries it has read; the
folder is not synced between quarantining the identity and its log.
"""

import random
import time
from contextlib import suppress

import gevent
import pytest
from gevent.event import Event

from hingepitch.control import bootstrap
from hingepitch.control.audit import decode_line
from hingepitch.control.message import Entry, EntryKind, Member
from hingepitch.control.snapshot import decode_snapshot
from hingepitch.control.storage import Storage, bootstrap_folder
from hingepitch.disk import Disk, DiskFile
from hingepitch.error import HingepitchError
from hingepitch.httpd import wait_until
from hingepitch.jobs.question import MemberRow
from hingepitch.peerregistry import PeerRegistry
from standin.powerdisk import PowerDisk, Refusal, read_folder
from tests.power_replica import SECONDS, PowerReplica

MEMBERS = (Member("c1", "c1", "127.0.0.1:1", "h1"),)

#: Nesting depth that exceeds the recursion limit of the decoders.
DEPTH = 100_000


class SlowFile(DiskFile):
    """A file whose writes are slow in the thread pool."""

    def write(self, data):
        time.sleep(0.05)
        return super().write(data)


class SlowDisk(Disk):
    """A disk of slow files."""

    def open(self, path):
        return SlowFile(path)


def test_concurrent_saves_of_the_address_book_leave_a_readable_file(tmp_path):
    """Two greenlets of a control learn rows and save the address book."""
    book = PeerRegistry([], tmp_path, SlowDisk())
    first = [MemberRow("c1", "127.0.0.1:1", True)]
    second = [MemberRow("c2", "127.0.0.1:2", True)]
    gevent.joinall(
        [gevent.spawn(book.update_rows, first), gevent.spawn(book.update_rows, second)],
        raise_error=True,
    )
    again = PeerRegistry([], tmp_path)
    again.load()
    assert again.rows == book.rows


@pytest.mark.parametrize("after", range(11))
def test_a_disk_error_during_bootstrap_does_not_end_the_program(
    tmp_path, monkeypatch, after
):
    """The bootstrap is retried after a disk error.

    If the program ended instead, its next start would not bootstrap again and would
    take a new identity, which is no member of the group.
    """
    monkeypatch.setattr(bootstrap, "BOOTSTRAP_RETRY_SECONDS", 0.01)
    folder = tmp_path / "data"
    folder.mkdir()
    disk = PowerDisk(folder)
    disk.refuse(Refusal(after=after))
    bootstrap.bootstrap_when_possible((folder, "c1", MEMBERS, disk), Event())
    storage = Storage(folder, "c1", disk)
    recovered = storage.open()
    storage.close()
    assert recovered.identity == "c1"
    assert recovered.members == MEMBERS


def close_without_flush(storage):
    """Close the files without flushing, as a kill does."""
    for file in (storage.segment, storage.lock_file):
        if file is not None:
            file.close()
    storage.segment = storage.lock_file = None


def entry(index):
    return Entry(index, 1, EntryKind.COMMAND, b"payload %d" % index)


@pytest.mark.parametrize("seed", range(12))
def test_entries_read_at_a_start_survive_the_next_power_loss(tmp_path, seed):
    """A replica relies on what it read without writing it again."""
    disk = PowerDisk(tmp_path)
    bootstrap_folder(tmp_path, "c1", MEMBERS, disk)
    storage = Storage(tmp_path, "c1", disk)
    storage.open()
    storage.write((1, "c1"), [entry(1)])
    disk.refuse(Refusal(names=("sync", "truncate"), count=2))
    with pytest.raises(HingepitchError):
        storage.write(None, [entry(2)])
    close_without_flush(storage)
    disk.refuse(None)
    storage = Storage(tmp_path, "c1", disk)
    read = storage.open().entries
    assert read == [entry(1), entry(2)]
    close_without_flush(storage)
    disk.lose_power(random.Random(seed))
    storage = Storage(tmp_path, "c1", disk)
    assert storage.open().entries == read
    close_without_flush(storage)


@pytest.mark.parametrize("seed", range(30))
@pytest.mark.parametrize("after", range(6))
def test_the_identity_of_a_quarantined_log_is_never_used_again(tmp_path, after, seed):
    """Otherwise the replica could vote again in terms in which it has voted."""
    disk = PowerDisk(tmp_path)
    bootstrap_folder(tmp_path, "c1", MEMBERS, disk)
    storage = Storage(tmp_path, "c1", disk)
    storage.open()
    storage.write((5, "c1"), [entry(1)])
    for index in range(2, 5):
        storage.write(None, [entry(index)])
    close_without_flush(storage)
    path = next(tmp_path.glob("segment-*"))
    damaged = bytearray(path.read_bytes())
    damaged[30] ^= 1
    path.write_bytes(damaged)
    disk.restore(read_folder(tmp_path))
    disk.lose_power_after(after)
    storage = Storage(tmp_path, "c1", disk)
    with suppress(OSError):
        storage.open()
    close_without_flush(storage)
    disk.lose_power(random.Random(seed))
    storage = Storage(tmp_path, "c1", disk)
    assert storage.open().identity != "c1"
    close_without_flush(storage)


def test_a_deeply_nested_audit_line_is_unreadable():
    line = b'{"index":1,"none":' + b"[" * DEPTH + b"\n"
    assert decode_line(line) is None


def test_a_deeply_nested_snapshot_is_damaged():
    with pytest.raises(HingepitchError) as caught:
        decode_snapshot(b"\x81\xa4none" + b"\x91" * DEPTH)
    assert caught.value.code == "storage_damaged"


def test_a_replica_recovers_after_a_failed_write(tmp_path):
    """It reopens its data folder, because its core is ahead of the disk."""
    one = PowerReplica(tmp_path / "data")
    try:
        one.start()
        one.propose_vm()
        one.disk.refuse(Refusal(names=("sync",)))
        one.propose_vm()
        before = list(one.acked)
        assert wait_until(lambda: not one.replica.storage_fault, SECONDS)
        assert wait_until(one.is_ready, SECONDS)
        one.propose_vm()
        assert len(one.acked) == len(before) + 1
        one.lose_power()
        one.start()
        assert one.missing_vms() == []
    finally:
        one.kill()


def test_storage_reports_quarantined_files_until_they_are_removed(tmp_path):
    bootstrap_folder(tmp_path / "data", "c1", MEMBERS)
    (tmp_path / "data" / "identity").write_bytes(b"\xff\xfe")
    storage = Storage(tmp_path / "data", "c1")
    storage.open()
    assert storage.quarantined_files_reason == "not an identity"
    storage.close()
    again = storage.unopened_copy()
    again.open()
    assert again.quarantined_files_reason == "at an earlier start"
    again.close()
    for path in (tmp_path / "data").glob("set-aside-*"):
        path.unlink()
    last = storage.unopened_copy()
    last.open()
    assert not last.quarantined_files_reason
    last.close()
