"""
hingepitch.control.storage
~~~~~~~~~~~~~~~~~~~~~~~~~~

The data folder: identity, checksummed log segments, snapshots.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

import fcntl
import os
import re
import struct
import uuid
import zlib
from pathlib import Path

import msgspec

from hingepitch.control.message import Entry, EntryKind, Member, Recovered
from hingepitch.disk import Disk
from hingepitch.durable import run_off_loop, write_whole
from hingepitch.error import HingepitchError
from hingepitch.log import log_event

__all__ = ["Snapshot", "Storage", "found_folder"]

#: Before each record: magic, length of the body, checksum, type.
HEADER = struct.Struct("<IIIB")
MAGIC = 0x48504C31
MAX_RECORD_BYTES = 64_000_000

ENTRY_RECORD = 1
VOTE_RECORD = 2

SEGMENT_NAME = re.compile(r"segment-(\d{12})\Z")
SNAPSHOT_NAME = re.compile(r"snapshot-(\d{20})\Z")

ENTRY_DECODER = msgspec.msgpack.Decoder(tuple[int, int, int, bytes])
VOTE_DECODER = msgspec.msgpack.Decoder(tuple[int, str])


class Snapshot(msgspec.Struct):
    """The state after the entry `index`, with the members at that point.

    `first_segment`
        Segments below this number are void: they may hold entries that the
        group never committed.
    `vote`
        Term and vote when the snapshot was written.
    """

    index: int
    term: int
    members: tuple[Member, ...]
    state: bytes
    first_segment: int = 0
    vote: tuple[int, str] = (0, "")


SNAPSHOT_DECODER = msgspec.msgpack.Decoder(Snapshot)


def frame(record_type, body):
    """Return the bytes of a record."""
    checksum = zlib.crc32(body, record_type)
    return HEADER.pack(MAGIC, len(body), checksum, record_type) + body


def read_record(data, offset):
    """Return `(type, body, end)` of the record at `offset`, or None."""
    if offset + HEADER.size > len(data):
        return None
    magic, length, checksum, record_type = HEADER.unpack_from(data, offset)
    start = offset + HEADER.size
    end = start + length
    if magic != MAGIC or length > MAX_RECORD_BYTES or end > len(data):
        return None
    body = data[start:end]
    if zlib.crc32(body, record_type) != checksum:
        return None
    return record_type, body, end


def has_record_after(data, offset):
    """Whether a whole record stands anywhere after `offset`."""
    magic = struct.pack("<I", MAGIC)
    position = data.find(magic, offset + 1)
    while position >= 0:
        if read_record(data, position) is not None:
            return True
        position = data.find(magic, position + 1)
    return False


def found_folder(folder, identity, members, disk=None):
    """Make the data folder of a founding member, once and never again.

    Raises `HingepitchError` (`storage_failed`) if the folder is in use.
    """
    disk = disk or Disk()
    folder = Path(folder)
    folder.mkdir(parents=True, exist_ok=True)
    if (folder / "identity").exists():
        raise HingepitchError("storage_failed", f"{folder} has an identity already")
    first = Snapshot(0, 0, members, b"")
    write_whole(disk, folder / f"snapshot-{0:020}", msgspec.msgpack.encode(first))
    write_whole(disk, folder / "identity", identity.encode())


class Storage:
    """One data folder, used by one process at a time.

    `folder`
        Path of the folder; made if it does not exist.
    `name`
        Name of the replica; an empty folder gets the new identity
        `name~random`, which no group knows yet.
    `disk`
        A `hingepitch.disk.Disk`.
    """

    def __init__(self, folder, name, disk=None):
        self.folder = Path(folder)
        self.name = name
        self.disk = disk or Disk()
        self.lock_file = None
        self.segment = None
        self.segment_number = 0
        self.segment_size = 0
        self.last_index_by_segment = {}
        self.vote = (0, "")
        self.snapshot = Snapshot(0, 0, (), b"")
        self.snapshot_bytes = 0
        self.bytes_written = 0

    # Opening.

    def open(self):
        """Lock the folder and return what it holds as `Recovered`.

        Raises `HingepitchError`: `folder_locked`, `storage_damaged`.
        """
        self.folder.mkdir(parents=True, exist_ok=True)
        self.take_lock()
        identity = self.read_identity()
        self.read_snapshot()
        entries = self.read_segments()
        self.open_segment()
        log_event(
            "log_recovered",
            identity=identity,
            snapshot_index=self.snapshot.index,
            entries=len(entries),
        )
        return Recovered(
            identity=identity,
            term=self.vote[0],
            voted_for=self.vote[1],
            snapshot_index=self.snapshot.index,
            snapshot_term=self.snapshot.term,
            members=self.snapshot.members,
            entries=entries,
        )

    def take_lock(self):
        """Lock the folder against a second process."""
        if self.lock_file is not None:
            return
        self.lock_file = open(self.folder / "lock", "wb")
        try:
            fcntl.flock(self.lock_file, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            raise HingepitchError("folder_locked", str(self.folder)) from None

    def read_identity(self):
        """Return the identity of the folder; an empty folder gets a new one."""
        path = self.folder / "identity"
        if path.exists():
            return path.read_text()
        leftovers = [name for name in os.listdir(self.folder) if name != "lock"]
        if any(SEGMENT_NAME.match(name) for name in leftovers):
            raise HingepitchError("storage_damaged", "a log without an identity")
        identity = f"{self.name}~{uuid.uuid4().hex[:8]}"
        write_whole(self.disk, path, identity.encode())
        return identity

    def numbers(self, pattern):
        """Return the numbers in the file names that match `pattern`."""
        matches = (pattern.match(name) for name in os.listdir(self.folder))
        return sorted(int(match.group(1)) for match in matches if match)

    def read_snapshot(self):
        """Read the last snapshot."""
        numbers = self.numbers(SNAPSHOT_NAME)
        if not numbers:
            return
        path = self.folder / f"snapshot-{numbers[-1]:020}"
        data = path.read_bytes()
        try:
            self.snapshot = SNAPSHOT_DECODER.decode(data)
        except msgspec.MsgspecError as error:
            raise HingepitchError("storage_damaged", f"{path.name}: {error}") from None
        self.snapshot_bytes = len(data)
        self.vote = self.snapshot.vote
        self.segment_number = self.snapshot.first_segment

    def read_segments(self):
        """Return the entries after the snapshot, from all segments."""
        entries = []
        first = self.snapshot.first_segment
        numbers = [at for at in self.numbers(SEGMENT_NAME) if at >= first]
        for number in numbers:
            is_last = number == numbers[-1]
            for record_type, body in self.read_segment(number, is_last):
                self.take_record(record_type, body, entries, number)
            self.segment_number = number
        entries = [entry for entry in entries if entry.index > self.snapshot.index]
        expected = self.snapshot.index
        for entry in entries:
            expected += 1
            if entry.index != expected:
                raise HingepitchError("storage_damaged", f"no entry {expected}")
        return entries

    def read_segment(self, number, is_last):
        """Yield the records of one segment; cut a torn tail of the last."""
        path = self.segment_path(number)
        data = path.read_bytes()
        offset = 0
        while offset < len(data):
            record = read_record(data, offset)
            if record is None:
                if not is_last or has_record_after(data, offset):
                    detail = f"{path.name} at byte {offset}"
                    raise HingepitchError("storage_damaged", detail)
                log_event("torn_tail_cut", segment=path.name, at=offset)
                self.cut(path, offset)
                return
            record_type, body, offset = record
            yield record_type, body

    def cut(self, path, size):
        """Cut a file to `size` bytes."""
        file = self.disk.open(path)
        file.truncate(size)
        file.close()

    def take_record(self, record_type, body, entries, number):
        """Add one record to what is recovered."""
        if record_type == VOTE_RECORD:
            self.vote = VOTE_DECODER.decode(body)
            return
        index, term, kind, payload = ENTRY_DECODER.decode(body)
        while entries and entries[-1].index >= index:
            entries.pop()
        entries.append(Entry(index, term, EntryKind(kind), payload))
        self.note_segment(number, index)

    def note_segment(self, number, index):
        """Note the highest index that a segment holds."""
        last = self.last_index_by_segment.get(number, 0)
        self.last_index_by_segment[number] = max(last, index)

    def segment_path(self, number):
        """Return the path of the segment `number`."""
        return self.folder / f"segment-{number:012}"

    def open_segment(self):
        """Open the last segment for appending, or the first one."""
        if self.segment is not None:
            self.segment.close()
        path = self.segment_path(self.segment_number)
        self.segment = self.disk.open(path)
        self.segment_size = self.segment.size
        self.disk.sync_folder(self.folder)

    # Writing.

    def write(self, vote, entries):
        """Make a vote (or None) and entries durable, in one sync.

        Raises `HingepitchError` (`storage_failed`); the folder is then as
        it was before.
        """
        frames = []
        if vote is not None:
            self.vote = vote
            frames.append(frame(VOTE_RECORD, msgspec.msgpack.encode(vote)))
        for entry in entries:
            body = msgspec.msgpack.encode(
                (entry.index, entry.term, int(entry.kind), entry.payload)
            )
            frames.append(frame(ENTRY_RECORD, body))
            self.note_segment(self.segment_number, entry.index)
        data = b"".join(frames)
        try:
            run_off_loop(self.write_synced, data)
        except OSError as error:
            self.undo_write()
            raise HingepitchError("storage_failed", str(error)) from None
        self.segment_size += len(data)
        self.bytes_written += len(data)

    def write_synced(self, data):
        """Append `data` to the segment and sync it; runs in a thread."""
        self.segment.write_all(data)
        self.segment.sync()

    def undo_write(self):
        """Cut a write that failed half-way."""
        self.segment.truncate(self.segment_size)

    # Snapshots.

    def save_snapshot(self, snapshot, void_log=False):
        """Write a snapshot; with `void_log` it replaces the whole log.

        Raises `HingepitchError` (`storage_failed`); the last snapshot then
        stays in force.
        """
        path = self.folder / f"snapshot-{snapshot.index:020}"
        snapshot.vote = self.vote
        snapshot.first_segment = self.snapshot.first_segment
        if void_log:
            snapshot.first_segment = self.segment_number + 1
        data = msgspec.msgpack.encode(snapshot)
        try:
            run_off_loop(write_whole, self.disk, path, data)
        except OSError as error:
            raise HingepitchError("storage_failed", str(error)) from None
        self.snapshot = snapshot
        self.snapshot_bytes = len(data)
        self.bytes_written += len(data)

    def rotate(self):
        """Start a new segment, and drop the files that are covered."""
        self.segment_number += 1
        self.open_segment()
        self.write(self.vote, [])
        for number in self.numbers(SNAPSHOT_NAME):
            if number < self.snapshot.index:
                self.disk.remove(self.folder / f"snapshot-{number:020}")
        for number in self.numbers(SEGMENT_NAME):
            last = self.last_index_by_segment.get(number, 0)
            is_void = number < self.snapshot.first_segment
            is_covered = number < self.segment_number and last <= self.snapshot.index
            if is_void or is_covered:
                self.disk.remove(self.segment_path(number))
                self.last_index_by_segment.pop(number, None)

    def anew(self):
        """Return a store of the same folder that is not open yet."""
        return Storage(self.folder, self.name, self.disk)

    def close(self):
        """Close the files and give the lock back."""
        segment, self.segment = self.segment, None
        lock_file, self.lock_file = self.lock_file, None
        for file in (segment, lock_file):
            if file is not None:
                file.close()
