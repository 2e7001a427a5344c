"""Tests of the quarantine of a damaged log, also under power losses.

A replica that cannot read its log must not end at each start. It quarantines the log
and starts like a replica that lost its disk. The tests inject a power loss into each
disk call of the quarantine, with several outcomes. Afterwards the replica must have a
new identity without votes and entries, and each file of the old log must be kept for
the operator.
"""

import random

import pytest

from hingepitch.control.audit import AuditRecord, AuditTrail
from hingepitch.control.message import Entry, EntryKind, Member
from hingepitch.control.snapshot import Snapshot
from hingepitch.control.storage import Storage, bootstrap_folder
from standin.powerdisk import PowerDisk, read_folder
from tests.power_replica import PowerReplica

MEMBERS = (Member("c1", "c1", "127.0.0.1:1", "h1"),)
SEEDS = range(10)

#: More than the disk calls of a quarantine and of opening the folder after it.
MAX_CALLS = 20


def entry(index):
    return Entry(index, 1, EntryKind.COMMAND, b"payload %d" % index)


def fill(folder, snapshot_index):
    """Write a vote, entries, an audit record and optionally a snapshot."""
    disk = PowerDisk(folder)
    bootstrap_folder(folder, "c1", MEMBERS, disk)
    storage, audit = Storage(folder, "c1", disk), AuditTrail(folder, disk)
    storage.open()
    audit.open()
    storage.write((1, "c1"), [entry(1), entry(2)])
    audit.add(AuditRecord(1, 1, "journeys", "someone", "PutVm", "vm", "vm-1"))
    position = audit.sync()
    if snapshot_index:
        snapshot = Snapshot(snapshot_index, 1, MEMBERS, b"state", trail=position)
        storage.save_snapshot(snapshot, [entry(2)])
    storage.write(None, [entry(3)])
    storage.write(None, [entry(4)])
    audit.close()
    storage.close()


def damage(path):
    data = bytearray(path.read_bytes())
    data[len(data) // 3] ^= 0xFF
    path.write_bytes(data)


def open_all(folder, disk):
    """Open the folder as a replica does; return storage and recovered content."""
    storage, audit = Storage(folder, "c1", disk), AuditTrail(folder, disk)
    try:
        recovered = storage.open()
        audit.open(storage.snapshot.trail, storage.snapshot.index)
    finally:
        audit.close()
        storage.close()
    return storage, recovered


def check(folder, kept):
    """Check that the replica starts empty and that the files `kept` remain."""
    _, recovered = open_all(folder, PowerDisk(folder))
    assert recovered.identity.startswith("c1~")
    assert (recovered.members, recovered.entries) == ((), [])
    assert (recovered.term, recovered.voted_for) == (0, "")
    for name, data in kept.items():
        assert (folder / f"set-aside-{name}").read_bytes() == data
    return recovered.identity


@pytest.mark.parametrize("snapshot_index", [0, 1])
@pytest.mark.parametrize("name", ["identity", "segment-*", "snapshot-*"])
def test_a_quarantine_that_power_losses_cut_short_is_completed(
    tmp_path, name, snapshot_index
):
    for seed in SEEDS:
        for after in range(MAX_CALLS):
            folder = tmp_path / f"data-{seed}-{after}"
            fill(folder, snapshot_index)
            damage(next(folder.glob(name)))
            disk = PowerDisk(folder)
            kept = read_folder(folder)
            kept = {path.rpartition("/")[2]: data for path, data in kept.items()}
            kept.pop("lock")
            disk.lose_power_after(after)
            try:
                open_all(folder, disk)
            except OSError:
                assert not disk.has_power
            disk.lose_power(random.Random(seed))
            identity = check(folder, kept)
            assert check(folder, kept) == identity


def test_files_of_other_programs_are_not_quarantined(tmp_path):
    folder = tmp_path / "data"
    (folder / "lost+found").mkdir(parents=True)
    (folder / "peers").write_bytes(b"addresses")
    (folder / "notes.txt").write_bytes(b"of the operator")
    storage, recovered = open_all(folder, PowerDisk(folder))
    assert recovered.identity.startswith("c1~")
    assert not storage.quarantine_reason
    storage = Storage(folder, "c1")
    storage.open()
    storage.write((1, "c1"), [entry(1)])
    storage.close()
    damage(folder / "identity")
    storage, _ = open_all(folder, PowerDisk(folder))
    assert storage.quarantine_reason
    assert (folder / "lost+found").is_dir()
    assert (folder / "notes.txt").read_bytes() == b"of the operator"


# Guards against: a replica that votes twice in one term, because the files with its
# first vote were removed: the segments, or the segments and the snapshot.
@pytest.mark.parametrize("gone", ["segment-*", "s*-*"])
def test_a_folder_that_lacks_what_it_once_voted_by_is_quarantined(tmp_path, gone):
    one = PowerReplica(tmp_path / "data")
    one.start()
    one.propose_vm()
    one.replica.writer.write()
    one.kill()
    snapshot = one.replica.make_snapshot()
    snapshot.trail = one.replica.audit.sync()
    one.replica.storage.save_snapshot(snapshot)
    one.close_files()
    for path in one.folder.glob(gone):
        path.unlink()
    one.open()
    assert one.replica.storage.quarantine_reason
    assert one.replica.core.identity != "c1"
    one.close_files()
