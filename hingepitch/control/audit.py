"""
hingepitch.control.audit
~~~~~~~~~~~~~~~~~~~~~~~~

The audit trail: a record of each operator command, accepted or refused.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

from pathlib import Path

import msgspec

from hingepitch.control.snapshot import TrailPosition
from hingepitch.disk import Disk
from hingepitch.durable import run_in_thread
from hingepitch.log import log_event

__all__ = ["AuditRecord", "AuditTrail"]

#: Default limit of the size of all files together, in bytes.
DEFAULT_MAX_BYTES = 1_000_000_000

#: Largest size of one file, in bytes, and as a fraction of the limit of all files:
#: the trail is shortened by removing its oldest file.
MAX_FILE_BYTES = 16_000_000
MAX_FILE_FRACTION = 0.25

FILE_GLOB = "audit-*.jsonl"

#: Size of the write buffer, in bytes: a system call for each record would cost the
#: event loop more time than encoding the record.
BUFFER_BYTES = 8192

#: Command of a record that stands for missing records.
MISSING_COMMAND = "(missing)"


class AuditRecord(msgspec.Struct, frozen=True, omit_defaults=True):
    """One operator command and its effect.

    `index`
        Log index of the command.
    `code`
        Error code; empty if the command was accepted.
    `before`, `after`
        The object as plain values, or None if it did not exist.
    `missing_after`
        -1 for a command. Otherwise the record stands for the missing records
        after this log index, up to and including `index`.
    """

    index: int
    at_seconds: int
    partner: str
    operator: str
    command: str
    kind: str
    name: str
    command_id: str = ""
    code: str = ""
    before: dict | None = None
    after: dict | None = None
    missing_after: int = -1


DECODER = msgspec.json.Decoder(AuditRecord)


def make_missing_record(after, index):
    """Return the record for missing records after log index `after` up to `index`."""
    return AuditRecord(index, 0, "", "", MISSING_COMMAND, "", "", missing_after=after)


def decode_line(line):
    """Return the record of a line, or None if it is incomplete or damaged."""
    if not line.endswith(b"\n"):
        return None
    try:
        return DECODER.decode(line)
    except (msgspec.MsgspecError, RecursionError):
        return None


def read_lines(path):
    """Yield the lines of a file as bytes, with their line ends."""
    with open(path, "rb") as file:
        yield from file


class AuditTrail:
    """The audit records, kept in files apart from the log and its compaction.

    The trail is derived from the log, so damage to it never prevents a replica
    from starting: `open` truncates the part that was not synced, and applying the
    entries after the snapshot writes it again. A power loss may lose one part of
    the trail and keep a later one.

    `folder`
        The data folder.
    `disk`
        A `hingepitch.disk.Disk`.
    `max_bytes`
        Size beyond which the oldest file is removed. An unbounded trail could
        fill the disk, and the replica could then write no change at all.
    `synced_position`
        Position up to which the trail is synced.
    `missing_index_count`
        Number of log indexes whose records were found missing since `open`.
    """

    def __init__(self, folder, disk=None, max_bytes=DEFAULT_MAX_BYTES):
        self.folder = Path(folder)
        self.disk = disk or Disk()
        self.max_bytes = max_bytes
        self.max_file_bytes = min(MAX_FILE_BYTES, int(max_bytes * MAX_FILE_FRACTION))
        self.file = None
        self.buffer = bytearray()
        self.number = 0
        self.last_index = 0
        self.missing_index_count = 0
        self.synced_position = TrailPosition(0, 0, 0)

    def open(self, synced_position=None, snapshot_index=0):
        """Open the trail for appending; truncate it to the last snapshot.

        `synced_position`
            Position in the snapshot; None if an earlier version wrote the snapshot.
        `snapshot_index`
            Log index of the snapshot.
        """
        self.synced_position = synced_position or self.find_position(snapshot_index)
        self.number = self.synced_position.number
        self.last_index = self.synced_position.index
        self.open_file()
        self.remove_stray_files()
        if self.file.size > self.synced_position.size:
            self.truncate_to_position()
        elif self.file.size < self.synced_position.size:
            self.record_loss(self.synced_position.size - self.file.size)
        self.start_next_if_full()

    def truncate_to_position(self):
        """Truncate the last file to the synced position."""
        at = self.synced_position.size
        name, cut_bytes = self.path.name, self.file.size - at
        log_event("torn_tail_cut", segment=name, at=at, cut_bytes=cut_bytes)
        self.file.truncate(at)

    def record_loss(self, lost_bytes):
        """Remove an incomplete last line; add a record for the lost synced records."""
        log_event("audit_incomplete", file=self.path.name, lost_bytes=lost_bytes)
        self.file.truncate(self.path.read_bytes().rfind(b"\n") + 1)
        readable = filter(None, map(decode_line, self.all_lines()))
        self.last_index = max((record.index for record in readable), default=0)
        self.record_missing_up_to(self.synced_position.index)

    def find_position(self, snapshot_index):
        """Return the synced position of a trail that an earlier version wrote.

        Earlier versions synced the records that the snapshot covers; later records
        may not have been synced.
        """
        synced_position = TrailPosition(0, 0, 0)
        for path in self.paths():
            size = 0
            for line in read_lines(path):
                size += len(line)
                record = decode_line(line)
                if record is not None and record.index <= snapshot_index:
                    synced_position = TrailPosition(
                        file_number(path), size, record.index
                    )
        return synced_position

    def paths(self):
        """Return the paths of the files, oldest first."""
        return sorted(self.folder.glob(FILE_GLOB))

    @property
    def path(self):
        """The path of the file that is being written."""
        return self.folder / f"audit-{self.number:06}.jsonl"

    def remove_stray_files(self):
        """Remove files that do not belong to the trail.

        These are files begun after the last snapshot, and files before a gap in
        the numbers: they had been removed, and a power loss restored their names.
        """
        expected = self.number
        for path in reversed(self.paths()):
            if file_number(path) == expected:
                expected -= 1
            else:
                self.disk.remove(path)

    def open_file(self):
        """Open the file `number` for appending."""
        self.file = self.disk.open(self.path)

    def start_next_if_full(self):
        """Start a new file if the current one is full."""
        if self.file.size > self.max_file_bytes:
            full = self.file
            self.number += 1
            self.open_file()
            full.close()
            self.remove_oldest()

    def remove_oldest(self):
        """Remove the oldest files until the rest and a new file fit `max_bytes`."""
        size_by_path = {path: path.stat().st_size for path in self.paths()}
        excess = sum(size_by_path.values()) + self.max_file_bytes - self.max_bytes
        for path, size in size_by_path.items():
            if excess <= 0:
                return
            log_event("audit_shortened", file=path.name, bytes=size)
            self.disk.remove(path)
            excess -= size

    def add(self, record):
        """Add a record, unless the trail already holds its log index."""
        if record.index <= self.last_index:
            return
        self.last_index = record.index
        self.buffer += msgspec.json.encode(record) + b"\n"
        if len(self.buffer) >= BUFFER_BYTES:
            self.flush()

    def record_missing_up_to(self, index):
        """Add a record that stands for the missing records up to `index`.

        A snapshot installed from another replica holds no audit records.
        """
        if index > self.last_index:
            self.missing_index_count += index - self.last_index
            self.add(make_missing_record(self.last_index, index))

    def flush(self):
        """Write the buffer to the file, without a sync."""
        data, self.buffer = bytes(self.buffer), bytearray()
        self.file.write_all(data)

    def sync(self):
        """Make all records durable; return the `TrailPosition` of their end."""
        self.flush()
        run_in_thread(self.file.sync)
        self.start_next_if_full()
        self.synced_position = TrailPosition(
            self.number, self.file.size, self.last_index
        )
        return self.synced_position

    def read(self, partner="", operator="", name="", since_seconds=0):
        """Yield the matching records, oldest first.

        An empty value matches every record. Records that stand for missing ones
        match every query.
        """
        for record in self.read_all():
            is_missing = record.missing_after >= 0
            if is_missing or (
                partner in ("", record.partner)
                and operator in ("", record.operator)
                and name in ("", record.name)
                and record.at_seconds >= since_seconds
            ):
                yield record

    def read_all(self):
        """Yield all records; one record stands for each range that cannot be read."""
        last = 0
        paths = self.paths()
        has_gap = bool(paths) and file_number(paths[0]) > 0
        for record in map(decode_line, self.all_lines()):
            if record is None:
                has_gap = True
                continue
            if has_gap:
                yield make_missing_record(last, record.index - 1)
            yield record
            last, has_gap = record.index, False
        if has_gap:
            yield make_missing_record(last, self.last_index)

    def all_lines(self):
        """Yield the lines of all files and of the buffer."""
        for path in self.paths():
            yield from read_lines(path)
        yield from bytes(self.buffer).splitlines(keepends=True)

    def close(self):
        """Write the buffer and close the file."""
        if self.file is None:
            return
        try:
            self.flush()
        finally:
            file, self.file = self.file, None
            file.close()

    def unopened_copy(self):
        """Return an `AuditTrail` of the same folder that is not open yet."""
        return AuditTrail(self.folder, self.disk, self.max_bytes)


def file_number(path):
    """Return the sequence number in the name of an audit file."""
    return int(path.stem.removeprefix("audit-"))
