"""Tests of the data folder: torn tails, damage, locks, full disks, lost identities."""

import contextlib
import errno
import os
import random
import shutil

import pytest

from hingepitch.control.audit import MAX_FILE_BYTES, AuditTrail
from hingepitch.control.batch import HEADER, frame
from hingepitch.control.message import Entry, EntryKind, Member
from hingepitch.control.snapshot import Snapshot
from hingepitch.control.storage import Storage, bootstrap_folder
from hingepitch.error import HingepitchError
from standin.powerdisk import PowerDisk, Refusal

#: Seeds of the simulated outcomes of a power loss.
LOSS_SEEDS = range(12)

#: Disk calls of writing a snapshot, including the removal of void files.
SNAPSHOT_CALLS = 13

MEMBERS = (Member("c1", "c1", "127.0.0.1:1", "h1"),)


def entry(index, term=1, payload=b"payload"):
    return Entry(index, term, EntryKind.COMMAND, payload)


@pytest.fixture
def folder(tmp_path):
    bootstrap_folder(tmp_path / "data", "c1", MEMBERS)
    return tmp_path / "data"


def open_storage(folder):
    storage = Storage(folder, "c1")
    return storage, storage.open()


def write_entries(folder, *batches):
    storage, _ = open_storage(folder)
    for batch in batches:
        storage.write(None, batch)
    storage.close()


def segment(folder):
    return sorted(folder.glob("segment-*"))[-1]


def test_written_votes_and_entries_are_recovered(folder):
    storage, _ = open_storage(folder)
    storage.write((3, "c2"), [entry(1), entry(2)])
    storage.write(None, [entry(2, 3), entry(3, 3)])
    storage.close()
    _, recovered = open_storage(folder)
    assert (recovered.term, recovered.voted_for) == (3, "c2")
    assert recovered.entries == [entry(1), entry(2, 3), entry(3, 3)]
    assert recovered.members == MEMBERS


def test_a_last_record_torn_at_any_byte_is_truncated(folder):
    write_entries(folder, [entry(1)])
    whole = segment(folder).read_bytes()
    write_entries(folder, [entry(2)])
    longer = segment(folder).read_bytes()
    for size in range(len(whole), len(longer)):
        segment(folder).write_bytes(longer[:size])
        storage, recovered = open_storage(folder)
        storage.close()
        assert [one.index for one in recovered.entries] == [1]
        assert segment(folder).read_bytes() == whole


def assert_quarantined(folder, kept):
    """Assert that the log is quarantined, with the files `kept`."""
    storage, recovered = open_storage(folder)
    storage.close()
    assert storage.quarantine_reason
    assert recovered.identity.startswith("c1~")
    assert (recovered.members, recovered.entries) == ((), [])
    assert (recovered.term, recovered.voted_for) == (0, "")
    for name, data in kept.items():
        assert (folder / f"set-aside-{name}").read_bytes() == data
    again, recovered_again = open_storage(folder)
    again.close()
    assert recovered_again.identity == recovered.identity
    assert not again.quarantine_reason


def contents(folder):
    names = [name for name in os.listdir(folder) if name != "lock"]
    return {name: (folder / name).read_bytes() for name in names}


def restore(folder, data_by_name):
    shutil.rmtree(folder)
    folder.mkdir()
    for name, data in data_by_name.items():
        (folder / name).write_bytes(data)


def test_damage_at_every_byte_of_a_middle_record_is_quarantined(folder):
    write_entries(folder, [entry(1)])
    start = len(segment(folder).read_bytes())
    write_entries(folder, [entry(2)])
    end = len(segment(folder).read_bytes())
    write_entries(folder, [entry(3)])
    whole = contents(folder)
    name = segment(folder).name
    for at in range(start, end):
        damaged = bytearray(whole[name])
        damaged[at] ^= 0x40
        restore(folder, {**whole, name: bytes(damaged)})
        assert_quarantined(folder, {**whole, name: bytes(damaged)})


def test_log_with_a_missing_segment_is_quarantined(folder):
    storage, _ = open_storage(folder)
    storage.write(None, [entry(1), entry(2)])
    storage.segment_number += 1
    storage.open_segment()
    storage.write(None, [entry(3)])
    storage.close()
    (folder / "segment-000000000000").unlink()
    assert_quarantined(folder, contents(folder))


def test_second_process_is_refused(folder):
    storage, _ = open_storage(folder)
    with pytest.raises(HingepitchError) as caught:
        open_storage(folder)
    assert caught.value.code == "folder_locked"
    storage.close()


def test_write_to_a_full_disk_fails_and_later_writes_succeed(folder, monkeypatch):
    storage, _ = open_storage(folder)
    storage.write(None, [entry(1)])
    fdatasync = os.fdatasync

    def full(descriptor):
        raise OSError(errno.ENOSPC, "no space left")

    monkeypatch.setattr(os, "fdatasync", full)
    with pytest.raises(HingepitchError) as caught:
        storage.write(None, [entry(2)])
    assert caught.value.code == "storage_failed"
    monkeypatch.setattr(os, "fdatasync", fdatasync)
    storage.close()
    storage, recovered = open_storage(folder)
    assert [one.index for one in recovered.entries] == [1]
    storage.write(None, [entry(2, 2)])
    storage.close()
    assert open_storage(folder)[1].entries == [entry(1), entry(2, 2)]


@pytest.mark.parametrize("part", ["storage", "audit"])
def test_no_file_is_closed_twice_when_opening_the_next_one_fails(folder, part):
    """The file descriptor may belong to an open connection by then."""
    disk = PowerDisk(folder)
    storage, audit = Storage(folder, "c1", disk), AuditTrail(folder, disk)
    storage.open()
    audit.open()
    audit.file.size = MAX_FILE_BYTES + 1
    disk.refuse(Refusal(names=("create",)))
    if part == "storage":
        with pytest.raises(HingepitchError, match="refused"):
            storage.save_snapshot(Snapshot(1, 1, MEMBERS, b"state"))
    else:
        with pytest.raises(OSError, match="refused"):
            audit.sync()
    storage.close()
    audit.close()


def test_unsynced_data_of_a_killed_program_lasts_once_it_was_read(folder):
    """A start relies on the log it reads, and must sync it for that."""
    for seed in LOSS_SEEDS:
        disk = PowerDisk(folder)
        storage = Storage(folder, "c1", disk)
        before = storage.open()
        last = len(before.entries)
        disk.refuse(Refusal(count=None, names=("sync", "truncate")))
        with pytest.raises(HingepitchError):
            storage.write((seed + 1, "c2"), [entry(last + 1)])
        storage.close()
        disk.refuse(None)
        storage = Storage(folder, "c1", disk)
        read = storage.open()
        storage.close()
        assert (read.term, len(read.entries)) == (seed + 1, last + 1)
        disk.lose_power(random.Random(seed))
        storage, recovered = open_storage(folder)
        storage.close()
        assert recovered == read


def test_power_loss_in_every_call_of_a_snapshot_with_entries_behind_it(folder):
    write_entries(folder, [entry(1), entry(2), entry(3)])
    whole = contents(folder)
    for after in range(SNAPSHOT_CALLS):
        for seed in LOSS_SEEDS:
            restore(folder, whole)
            disk = PowerDisk(folder)
            storage = Storage(folder, "c1", disk)
            storage.open()
            disk.lose_power_after(after)
            snapshot = Snapshot(1, 1, MEMBERS, b"state")
            with contextlib.suppress(HingepitchError):
                storage.save_snapshot(snapshot, [entry(2), entry(3)])
            assert disk.has_power == (after == SNAPSHOT_CALLS - 1)
            storage.close()
            disk.lose_power(random.Random(seed))
            storage = Storage(folder, "c1", PowerDisk(folder))
            recovered = storage.open()
            storage.close()
            assert not storage.quarantine_reason
            assert recovered.entries[-2:] == [entry(2), entry(3)]
            assert recovered.snapshot_index in (0, 1)
            assert len(recovered.entries) == 3 - recovered.snapshot_index


def test_a_torn_write_that_left_its_begin_and_zeros_is_truncated(folder):
    """A header of zeros after the magic number must not pass as a complete record."""
    write_entries(folder, [entry(1)])
    whole = segment(folder).read_bytes()
    for size in range(1, HEADER.size):
        segment(folder).write_bytes(whole + whole[:size] + bytes(40))
        storage, recovered = open_storage(folder)
        storage.close()
        assert recovered.entries == [entry(1)]
        assert segment(folder).read_bytes() == whole


def test_emptied_folder_gets_a_new_identity_without_members(tmp_path):
    storage, recovered = open_storage(tmp_path / "fresh")
    assert recovered.identity.startswith("c1~")
    assert recovered.members == ()
    storage.close()
    assert open_storage(tmp_path / "fresh")[1].identity == recovered.identity


def test_folder_is_bootstrapped_only_once(folder):
    with pytest.raises(HingepitchError, match="identity already"):
        bootstrap_folder(folder, "c1", MEMBERS)


def test_log_without_identity_is_quarantined(folder):
    write_entries(folder, [entry(1)])
    (folder / "identity").unlink()
    assert_quarantined(folder, contents(folder))


@pytest.mark.parametrize("name", ["identity", f"snapshot-{0:020}"])
@pytest.mark.parametrize("data", [b"", b"\x00" * 40, b"\xff\xfe", b"#!/bin/sh\n"])
def test_damaged_identity_or_snapshot_is_quarantined(folder, name, data):
    write_entries(folder, [entry(1)])
    (folder / name).write_bytes(data)
    assert_quarantined(folder, contents(folder))


def test_folder_with_a_quarantined_log_is_not_bootstrapped(folder):
    write_entries(folder, [entry(1)])
    (folder / "identity").unlink()
    assert_quarantined(folder, {})
    (folder / "identity").unlink()
    with pytest.raises(HingepitchError, match="identity already"):
        bootstrap_folder(folder, "c1", MEMBERS)


def test_snapshots_bound_the_size_of_the_folder(folder):
    storage, _ = open_storage(folder)
    index = 0
    for _ in range(4):
        for _ in range(50):
            index += 1
            storage.write(None, [entry(index)])
        storage.save_snapshot(Snapshot(index, 1, MEMBERS, b"state"))
    storage.write((9, "c3"), [entry(index + 1)])
    storage.close()
    assert len(list(folder.glob("snapshot-*"))) == 1
    assert len(list(folder.glob("segment-*"))) <= 2
    _, recovered = open_storage(folder)
    assert recovered.snapshot_index == index
    assert recovered.entries == [entry(index + 1)]
    assert (recovered.term, recovered.voted_for) == (9, "c3")


def test_installed_snapshot_voids_the_log_before_it(folder):
    storage, _ = open_storage(folder)
    storage.write((2, "c2"), [entry(1), entry(2), entry(9), entry(10)][:2])
    storage.save_snapshot(Snapshot(1, 5, MEMBERS, b"state"))
    storage.close()
    _, recovered = open_storage(folder)
    assert recovered.entries == []
    assert (recovered.term, recovered.voted_for) == (2, "c2")


def test_entries_after_a_snapshot_are_in_the_segment_it_names(folder):
    storage, _ = open_storage(folder)
    storage.write((4, "c1"), [entry(1), entry(2), entry(3)])
    storage.save_snapshot(Snapshot(1, 1, MEMBERS, b"state"), [entry(2), entry(3)])
    storage.close()
    assert [path.name for path in folder.glob("segment-*")] == ["segment-000000000001"]
    _, recovered = open_storage(folder)
    assert recovered.entries == [entry(2), entry(3)]
    assert (recovered.term, recovered.voted_for) == (4, "c1")


def test_files_that_a_snapshot_voided_may_come_back(folder):
    """A power loss can undo the removal of old files; a start ignores them."""
    storage, _ = open_storage(folder)
    storage.write((1, "c1"), [entry(1), entry(2), entry(3)])
    before = contents(folder)
    storage.write((2, "c2"), [entry(2, 2)])
    storage.save_snapshot(Snapshot(2, 2, MEMBERS, b"state"))
    storage.close()
    for name, data in before.items():
        if not (folder / name).exists():
            (folder / name).write_bytes(data)
    _, recovered = open_storage(folder)
    assert (recovered.snapshot_index, recovered.entries) == (2, [])
    assert (recovered.term, recovered.voted_for) == (2, "c2")


def test_records_of_another_version_are_refused_and_left_unchanged(folder):
    write_entries(folder, [entry(1)])
    with open(segment(folder), "ab") as file:
        file.write(frame(77, b"of a later version"))
    before = contents(folder)
    with pytest.raises(HingepitchError) as caught:
        open_storage(folder)
    assert caught.value.code == "storage_unknown"
    assert contents(folder) == before
