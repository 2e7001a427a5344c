"""Makes the data folders of `tests/data/earlier` with an earlier version.

usage: PYTHONPATH=CHECKOUT python tests/data/make_earlier.py

CHECKOUT holds the last version that wrote one log record for each entry,
snapshots without a checksum and an audit trail without a marker. The file
`expected.json` has what that version recovers from each folder.
"""

import json
import shutil
from pathlib import Path

from hingepitch.control import audit as audit_module
from hingepitch.control.audit import AuditRecord, AuditTrail
from hingepitch.control.message import Entry, EntryKind, Member
from hingepitch.control.storage import Snapshot, Storage, found_folder

OUT = Path(__file__).parent / "earlier"
MEMBERS = (Member("c1", "c1", "127.0.0.1:1", "h1"),)

#: Size limit of the files of the audit trail, which makes the trail several files.
MAX_FILE_BYTES = 700


def entry(index, term=1):
    return Entry(index, term, EntryKind.COMMAND, b"payload %d of %d" % (index, term))


def entries(first, last, term=1):
    return [entry(index, term) for index in range(first, last + 1)]


def write_log(storage, audit):
    """Write votes, entries, several of them in one write, and a replaced tail."""
    storage.write((1, "c1"), entries(1, 4))
    storage.write(None, entries(5, 7))
    storage.write((2, "c2"), [])
    storage.write(None, entries(6, 8, 2))
    add_records(audit, 1, 4)


def write_snapshot(storage, audit):
    """Write a snapshot, then entries into the next segment."""
    write_log(storage, audit)
    add_records(audit, 5, 6)
    audit.sync()
    storage.save_snapshot(Snapshot(6, 2, MEMBERS, b"state at 6"))
    storage.rotate()
    storage.write(None, [entry(9, 2)])
    add_records(audit, 7, 9)


def write_installed(storage, audit):
    """Write a snapshot of another replica that replaces the log."""
    write_log(storage, audit)
    audit.sync()
    storage.save_snapshot(Snapshot(20, 2, MEMBERS, b"state at 20"), void_log=True)
    storage.rotate()
    storage.write((3, "c3"), [entry(21, 3)])


def write_dropped(storage, audit):
    """Write three segments; the second is dropped, the first has a replaced tail."""
    storage.write((1, "c1"), entries(1, 9))
    audit.sync()
    storage.save_snapshot(Snapshot(3, 1, MEMBERS, b"state at 3"))
    storage.rotate()
    storage.write((2, "c2"), entries(5, 6, 2))
    storage.save_snapshot(Snapshot(6, 2, MEMBERS, b"state at 6"))
    storage.rotate()


def write_trail(storage, audit):
    """Write an audit trail of several files, about half of it after the snapshot."""
    for index in range(1, 31):
        storage.write(None, [entry(index)])
        add_records(audit, index, index)
        if index in (8, 16):
            audit.sync()
    storage.save_snapshot(Snapshot(16, 1, MEMBERS, b"state at 16"))
    storage.rotate()


def add_records(audit, first, last):
    for index in range(first, last + 1):
        name = f"vm-{index}"
        audit.add(
            AuditRecord(index, 1, "journeys", "someone", "PutVm", "vm", name, name)
        )


def make(name, write):
    """Make one data folder; return what this version recovers from it."""
    folder = OUT / name
    found_folder(folder, "c1", MEMBERS)
    storage, audit = Storage(folder, "c1"), AuditTrail(folder)
    storage.open()
    audit.open()
    write(storage, audit)
    audit.close()
    storage.close()
    kept = shutil.copytree(folder, OUT / "reading")
    again = Storage(kept, "c1")
    recovered = again.open()
    again.close()
    shutil.rmtree(kept)
    (folder / "lock").unlink()
    return {
        "identity": recovered.identity,
        "vote": [recovered.term, recovered.voted_for],
        "snapshot": [recovered.snapshot_index, recovered.snapshot_term],
        "state": again.snapshot.state.decode(),
        "entries": [
            [one.index, one.term, one.payload.decode()] for one in recovered.entries
        ],
    }


def main():
    """Make all data folders again, and `expected.json`."""
    audit_module.MAX_FILE_BYTES = MAX_FILE_BYTES
    shutil.rmtree(OUT, ignore_errors=True)
    writers = (
        write_log,
        write_snapshot,
        write_installed,
        write_dropped,
        write_trail,
    )
    expected = {}
    for write in writers:
        name = write.__name__.removeprefix("write_")
        expected[name] = make(name, write)
    # That version recovers the replaced tail of the first segment as entries.
    expected["dropped"]["entries"] = []
    text = json.dumps(expected, indent=1)
    (OUT / "expected.json").write_text(text + "\n")


if __name__ == "__main__":
    main()
