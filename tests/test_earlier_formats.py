"""Tests of data folders in the format before each write had a checksum.

After a rolling restart, new code reads old files: one record for each entry,
snapshots without a checksum, an audit trail without a synced position. The folders
under `tests/data/earlier` were written by that version (`make_earlier.py`). They
must be readable, accept new data and survive power losses. An audit trail torn in its
middle must not keep a program from starting: the start truncates it after the last
record that the snapshot covers.
"""

import json
import random
import shutil
from pathlib import Path

import pytest

from hingepitch.control import audit as audit_module
from hingepitch.control.audit import AuditRecord, AuditTrail
from hingepitch.control.message import Entry, EntryKind, Member
from hingepitch.control.snapshot import Snapshot
from hingepitch.control.storage import Storage
from standin.powerdisk import Call, PowerDisk, surviving_writes

EARLIER = Path(__file__).parent / "data" / "earlier"
EXPECTED = json.loads((EARLIER / "expected.json").read_text())
MEMBERS = (Member("c1", "c1", "127.0.0.1:1", "h1"),)
SEEDS = range(3)
CASES = pytest.mark.parametrize("case", EXPECTED)

#: Largest audit file, in bytes, when the folders were written.
MAX_FILE_BYTES = 700

#: In the folder `trail`: last audit record covered by the snapshot, and last record.
COVERED_INDEX = 16
LAST_INDEX = 30


@pytest.fixture
def folder(tmp_path, case):
    return shutil.copytree(EARLIER / case, tmp_path / "data")


def entry(index, term):
    payload = b"payload %d of %d" % (index, term)
    return Entry(index, term, EntryKind.COMMAND, payload)


def open_folder(folder, disk=None):
    storage = Storage(folder, "c1", disk)
    try:
        recovered = storage.open()
    finally:
        storage.close()
    return storage, recovered


def check(case, storage, recovered):
    """Compare the recovered content with what the earlier version recovered."""
    assert not storage.quarantine_reason
    assert recovered.members == MEMBERS
    assert EXPECTED[case] == {
        "identity": recovered.identity,
        "vote": [recovered.term, recovered.voted_for],
        "snapshot": [recovered.snapshot_index, recovered.snapshot_term],
        "state": storage.snapshot.state.decode(),
        "entries": [
            [one.index, one.term, one.payload.decode()] for one in recovered.entries
        ],
    }


def last_segment(folder):
    return sorted(folder.glob("segment-*"))[-1]


@CASES
def test_an_earlier_folder_is_read_repeatedly(case, folder):
    for _ in range(2):
        check(case, *open_folder(folder))


@CASES
def test_an_earlier_folder_survives_a_power_loss_in_every_call_of_open(case, folder):
    for after in range(6):
        for seed in SEEDS:
            disk = PowerDisk(folder)
            disk.lose_power_after(after)
            try:
                open_folder(folder, disk)
            except OSError:
                assert not disk.has_power
            disk.lose_power(random.Random(seed))
            check(case, *open_folder(folder))


@CASES
@pytest.mark.parametrize("with_snapshot", [False, True])
def test_new_data_in_an_earlier_folder_survives_a_power_loss(
    case, folder, with_snapshot
):
    for seed in SEEDS:
        disk = PowerDisk(folder)
        storage = Storage(folder, "c1", disk)
        before = storage.open()
        last = before.snapshot_index + len(before.entries)
        term = before.term + 1
        added = [entry(last + 1, term), entry(last + 2, term)]
        storage.write((term, "c1"), added)
        if with_snapshot:
            storage.save_snapshot(
                Snapshot(last + 1, term, MEMBERS, b"new"), [entry(last + 2, term)]
            )
        storage.close()
        disk.lose_power(random.Random(seed))
        storage, after = open_folder(folder)
        assert not storage.quarantine_reason
        assert (after.term, after.voted_for) == (term, "c1")
        kept = added[1:] if with_snapshot else before.entries + added
        assert after.entries == kept


@pytest.mark.parametrize("case", ["log"])
def test_a_record_torn_at_any_byte_is_truncated(case, folder):
    path = last_segment(folder)
    whole = path.read_bytes()
    start = whole.rindex(b"1LPH")
    for size in range(start, len(whole)):
        path.write_bytes(whole[:size])
        storage, recovered = open_folder(folder)
        assert not storage.quarantine_reason
        assert recovered.entries[-1] == entry(7, 2)
        assert path.read_bytes() == whole[:start]


@pytest.mark.parametrize("case", ["log"])
def test_damage_before_complete_records_is_never_truncated(case, folder):
    """Such records do not show whether they were one write, or were synced."""
    path = last_segment(folder)
    data = bytearray(path.read_bytes())
    data[30] ^= 1
    path.write_bytes(data)
    storage, recovered = open_folder(folder)
    assert storage.quarantine_reason
    assert recovered.identity != "c1"
    assert (folder / f"set-aside-{path.name}").read_bytes() == data


@pytest.mark.parametrize("case", ["log"])
@pytest.mark.parametrize("added", [1, 2])
def test_damage_before_records_of_the_new_version_is_never_truncated(
    case, folder, added
):
    path = last_segment(folder)
    old_size = len(path.read_bytes())
    storage = Storage(folder, "c1")
    storage.open()
    for index in range(9, 9 + added):
        storage.write(None, [entry(index, 2)])
    storage.close()
    data = bytearray(path.read_bytes())
    places = (old_size - 3, old_size + 20)
    for at in places[:added]:
        damaged = bytearray(data)
        damaged[at] ^= 1
        path.write_bytes(damaged)
        kept = shutil.copytree(folder, folder.parent / f"copy-{at}")
        storage, _ = open_folder(kept)
        assert storage.quarantine_reason


@pytest.mark.parametrize("case", ["snapshot", "installed"])
def test_a_damaged_earlier_snapshot_is_quarantined(case, folder):
    """It has no checksum, so only damage that prevents decoding is detected."""
    path = next(folder.glob("snapshot-*"))
    whole = path.read_bytes()
    for size in (0, 1, len(whole) // 2, len(whole) - 1):
        kept = shutil.copytree(folder, folder.parent / f"copy-{size}")
        (kept / path.name).write_bytes(whole[:size])
        storage, _ = open_folder(kept)
        assert storage.quarantine_reason


def open_trail(folder, disk=None):
    """Open the trail as a replica does, and add the records of the log's entries."""
    storage, recovered = open_folder(folder, disk)
    audit = AuditTrail(folder, disk)
    audit.open(storage.snapshot.trail, storage.snapshot.index)
    for one in recovered.entries:
        name = f"vm-{one.index}"
        record = AuditRecord(
            one.index, 1, "journeys", "someone", "PutVm", "vm", name, name
        )
        audit.add(record)
    return audit


def names(audit):
    return [record.name for record in audit.read()]


ALL_NAMES = [f"vm-{index}" for index in range(1, LAST_INDEX + 1)]


@pytest.mark.parametrize("case", ["trail"])
def test_an_earlier_trail_torn_after_its_last_sync_is_completed_from_the_log(
    case, folder, monkeypatch
):
    """A power loss may keep a later piece of the file and lose an earlier one."""
    monkeypatch.setattr(audit_module, "MAX_FILE_BYTES", MAX_FILE_BYTES)
    whole = {path.name: path.read_bytes() for path in folder.glob("audit-*")}
    name = max(whole)
    assert b'"index":%d,' % (COVERED_INDEX + 1) in whole[name]
    assert b'"index":%d,' % COVERED_INDEX not in whole[name]
    for seed in range(60):
        rng = random.Random(seed)
        cuts = sorted(rng.sample(range(len(whole[name])), 3))
        edges = [0, *cuts, len(whole[name])]
        pieces = [
            Call("write", name, start, whole[name][start:end])
            for start, end in zip(edges, edges[1:], strict=False)
        ]
        left = bytearray(len(whole[name]))
        for piece in surviving_writes(pieces, rng):
            left[piece.offset : piece.offset + len(piece.data)] = piece.data
        (folder / name).write_bytes(left[: rng.randrange(len(left) + 1)])
        audit = open_trail(folder)
        assert names(audit) == ALL_NAMES, seed
        audit.close()
        for other, data in whole.items():
            (folder / other).write_bytes(data)


@pytest.mark.parametrize("case", ["trail"])
def test_an_earlier_trail_gets_a_synced_position_and_survives_power_losses(
    case, folder, monkeypatch
):
    monkeypatch.setattr(audit_module, "MAX_FILE_BYTES", MAX_FILE_BYTES)
    for seed in range(20):
        disk = PowerDisk(folder)
        audit = open_trail(folder, disk)
        audit.flush()
        audit.file.close()
        disk.lose_power(random.Random(seed))
        audit = open_trail(folder)
        assert names(audit) == ALL_NAMES, seed
        audit.close()
    audit = open_trail(folder)
    position = audit.sync()
    audit.close()
    assert position.index == LAST_INDEX
    with open(folder / f"audit-{position.number:06}.jsonl", "ab") as file:
        file.write(b"\x00" * 50 + b"torn\n")
    audit = AuditTrail(folder)
    audit.open(position, LAST_INDEX)
    assert names(audit) == ALL_NAMES
    audit.close()
