"""Tests of the audit trail: its size limit, and its reports of missing records.

An unbounded trail leaves no disk space for the log: records of a large
configuration take hundreds of kilobytes, and a disk of 128 MB was full after a few
hundred changes.
"""

import random

import pytest

from hingepitch.control.audit import AuditRecord, AuditTrail
from standin.powerdisk import PowerDisk

MAX_BYTES = 40_000


@pytest.fixture
def disk(tmp_path):
    (tmp_path / "data").mkdir()
    return PowerDisk(tmp_path / "data")


def record(index):
    return AuditRecord(index, 5, "journeys", "joris", "PutVm", "vm", "x" * 300)


def open_trail(disk, position=None, snapshot_index=0):
    trail = AuditTrail(disk.folder, disk, MAX_BYTES)
    trail.open(position, snapshot_index)
    return trail


def fill(trail, first, last):
    for index in range(first, last + 1):
        trail.add(record(index))
        if index % 20 == 0:
            trail.sync()
    return trail.sync()


def indexes(trail):
    return [one.index for one in trail.read()]


def test_removed_oldest_records_are_shown_as_missing(disk):
    trail = open_trail(disk)
    fill(trail, 1, 400)
    sizes = [path.stat().st_size for path in trail.paths()]
    assert sum(sizes) <= MAX_BYTES
    first, *rest = trail.read()
    assert (first.missing_after, first.index) == (0, rest[0].index - 1)
    assert [one.index for one in rest] == list(range(rest[0].index, 401))
    trail.close()


def test_removed_files_restored_by_a_power_loss_are_ignored(disk):
    for seed in range(20):
        trail = open_trail(disk)
        position = fill(trail, 1, 400)
        disk.sync_folder(disk.folder)
        fill(trail, 401, 600)
        trail.close()
        disk.lose_power(random.Random(seed))
        again = open_trail(disk, position, 400)
        first, *rest = again.read()
        assert first.missing_after == 0, seed
        assert [one.index for one in rest] == list(range(first.index + 1, 401)), seed
        again.close()
        disk.clear()


@pytest.mark.parametrize(("bytes_left", "records_left"), [(0, 0), (1000, 2)])
def test_records_of_a_truncated_file_are_shown_as_missing(
    disk, bytes_left, records_left
):
    trail = open_trail(disk)
    position = fill(trail, 1, 20)
    trail.close()
    path = trail.paths()[-1]
    path.write_bytes(path.read_bytes()[:bytes_left])
    again = open_trail(disk, position, 20)
    again.add(record(21))
    left = [(-1, index) for index in range(1, records_left + 1)]
    shown = [(one.missing_after, one.index) for one in again.read()]
    assert shown == [*left, (records_left, 20), (-1, 21)]
    assert again.missing_index_count == 20 - records_left
    again.close()


def test_a_damaged_line_does_not_hide_other_records(disk):
    trail = open_trail(disk)
    position = fill(trail, 1, 9)
    trail.close()
    path = trail.paths()[0]
    lines = path.read_bytes().splitlines(keepends=True)
    lines[4] = b"\x00" * (len(lines[4]) - 1) + b"\n"
    path.write_bytes(b"".join(lines))
    again = open_trail(disk, position, 9)
    assert indexes(again) == list(range(1, 10))
    assert [one.index for one in again.read() if one.missing_after >= 0] == [5]
    again.close()


def test_a_trail_of_an_earlier_version_keeps_records_covered_by_its_snapshot(disk):
    trail = open_trail(disk)
    fill(trail, 1, 12)
    trail.close()
    again = open_trail(disk, None, 9)
    assert indexes(again) == list(range(1, 10))
    again.close()
