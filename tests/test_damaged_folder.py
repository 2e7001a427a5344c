"""Tests that a replica opens its data folder whatever its files hold.

A power loss can leave arbitrary data in a file, and a control must not end at each
start because of it. With fixed seeds, files of a folder are removed, emptied,
truncated, zeroed, overwritten or doubled, up to three times. The replica must then
open with its full content, or quarantine the log and start like a replica that
lost its disk.
"""

import random

import pytest

from hingepitch.control import replica as replica_module
from hingepitch.disk import Disk
from hingepitch.peerregistry import PeerRegistry
from standin.powerdisk import read_folder, write_folder
from tests.power_replica import PowerReplica

CASES = 250
CHANGES = 40
MIN_SNAPSHOT_ENTRIES = 15

#: Length limit of the range of a file that is zeroed or overwritten, in bytes.
MAX_RANGE_BYTES = 3000


def cut(data, rng):
    return data[: rng.randrange(len(data) + 1)]


def empty(data, rng):
    return b""


def zeros(data, rng):
    return bytes(len(data))


def zeroed_within(data, rng):
    start, end = stretch(data, rng)
    return data[:start] + bytes(end - start) + data[end:]


def overwritten_within(data, rng):
    start, end = stretch(data, rng)
    return data[:start] + rng.randbytes(end - start) + data[end:]


def doubled(data, rng):
    return data + data


def stretch(data, rng):
    """Return the start and the end of a random range of `data`."""
    start = rng.randrange(len(data) + 1)
    return start, min(len(data), start + rng.randrange(MAX_RANGE_BYTES))


def removed(data, rng):
    return None


DAMAGES = (cut, empty, zeros, zeroed_within, overwritten_within, doubled, removed)


@pytest.fixture
def replica(tmp_path, monkeypatch):
    monkeypatch.setattr(replica_module, "MIN_SNAPSHOT_ENTRIES", MIN_SNAPSHOT_ENTRIES)
    monkeypatch.setattr(replica_module, "MAX_SNAPSHOT_ENTRIES", MIN_SNAPSHOT_ENTRIES)
    made = PowerReplica(tmp_path / "data")
    made.start()
    for _ in range(CHANGES):
        made.propose_vm()
    PeerRegistry(["127.0.0.1:1"], made.folder, Disk()).save()
    made.kill()
    made.close_files()
    return made


def damage(files, rng):
    """Return the files after one to three damages, possibly of the same file."""
    damaged = dict(files)
    for path in rng.choices(sorted(files), k=rng.randrange(1, 4)):
        data = rng.choice(DAMAGES)(damaged.pop(path, b""), rng)
        if data is not None:
            damaged[path] = data
    return damaged


def check(opened, identity):
    """Check that the replica kept its identity or quarantined the log."""
    assert not opened.read_fault
    if opened.storage.quarantine_reason:
        assert opened.core.identity.startswith("c1~")
        assert not opened.core.voters
    else:
        assert opened.core.identity.encode() == identity
        assert opened.core.voters == ["c1"]


# Guards against: a program that ends at its start because a file is damaged.
def test_a_folder_with_any_damage_opens(replica):
    files = read_folder(replica.folder)
    kinds = {path.rpartition("/")[2].partition("-")[0] for path in files}
    assert kinds == {"identity", "snapshot", "segment", "audit", "peers", "lock"}
    identity = str(replica.folder / "identity")
    for seed in range(CASES):
        damaged = damage(files, random.Random(seed))
        write_folder(replica.folder, damaged)
        book = PeerRegistry(["127.0.0.1:1"], replica.folder, Disk())
        book.load()
        replica.open()
        check(replica.replica, damaged[identity] if identity in damaged else b"")
        replica.close_files()
