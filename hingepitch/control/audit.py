"""
hingepitch.control.audit
~~~~~~~~~~~~~~~~~~~~~~~~

The audit trail: every operator command, accepted or refused.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

from pathlib import Path

import msgspec

from hingepitch.control.snapshot import TrailMark
from hingepitch.disk import Disk
from hingepitch.durable import run_off_loop
from hingepitch.log import log_event

__all__ = ["AuditRecord", "AuditTrail"]

#: Largest size of all files, in bytes, unless the settings say another.
KEEP_BYTES = 1_000_000_000

#: Largest size of one file, in bytes, and its largest part of all: the oldest
#: file goes as a whole.
MAX_FILE_BYTES = 16_000_000
LARGEST_PART = 0.25

FILE_GLOB = "audit-*.jsonl"

#: Records are written in pieces of this size, in bytes: a call of the system
#: for each would cost the loop more than its encoding.
BUFFER_BYTES = 8192

#: Command in the place of records that are not there.
MISSING = "(missing)"


class AuditRecord(msgspec.Struct, frozen=True, omit_defaults=True):
    """What one operator command did.

    `index`
        Place in the log.
    `code`
        Empty if accepted.
    `before`, `after`
        The object, as plain values, or None where there was none.
    `missing_after`
        -1, or: the records after this place up to `index` are not here.
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


def missing_records(after, index):
    """Return the record that stands for those after a place up to `index`."""
    return AuditRecord(index, 0, "", "", MISSING, "", "", missing_after=after)


def decode_line(line):
    """Return the record of a whole line, or None if it cannot be read."""
    if not line.endswith(b"\n"):
        return None
    try:
        return DECODER.decode(line)
    except (msgspec.MsgspecError, RecursionError):
        return None


def read_lines(path):
    """Yield each line of a file with its end."""
    with open(path, "rb") as file:
        yield from file


class AuditTrail:
    """Audit records in files of their own, which no truncation touches.

    The trail is made from the log, so it never keeps a replica from starting:
    what no sync covered is cut, and written anew from the entries after the
    snapshot. A piece of it may be gone in front of one that is there.

    `folder`
        The data folder.
    `disk`
        A `hingepitch.disk.Disk`.
    `keep_bytes`
        Size beyond which the oldest file is removed: a trail without a bound
        takes the disk from the log, and then no change is taken at all.
    `mark`
        How far the trail is synced.
    `missing_places`
        Places of the log whose records were found missing since it was opened.
    """

    def __init__(self, folder, disk=None, keep_bytes=KEEP_BYTES):
        self.folder = Path(folder)
        self.disk = disk or Disk()
        self.keep_bytes = keep_bytes
        self.file_bytes = min(MAX_FILE_BYTES, int(keep_bytes * LARGEST_PART))
        self.file = None
        self.buffer = bytearray()
        self.number = 0
        self.last_index = 0
        self.missing_places = 0
        self.mark = TrailMark(0, 0, 0)

    # Opening.

    def open(self, mark=None, snapshot_index=0):
        """Cut what was written after the last snapshot, open for appending.

        `mark`
            Of the snapshot; None if an earlier version wrote that.
        `snapshot_index`
            Place of the snapshot in the log.
        """
        self.mark = mark or self.find_mark(snapshot_index)
        self.number = self.mark.number
        self.last_index = self.mark.index
        self.open_file()
        self.remove_strays()
        if self.file.size > self.mark.size:
            self.cut_to_mark()
        elif self.file.size < self.mark.size:
            self.note_lost(self.mark.size - self.file.size)
        self.start_next_if_full()

    def cut_to_mark(self):
        """Cut what no sync covered."""
        at = self.mark.size
        name, cut_bytes = self.path.name, self.file.size - at
        log_event("torn_tail_cut", segment=name, at=at, cut_bytes=cut_bytes)
        self.file.truncate(at)

    def note_lost(self, lost_bytes):
        """Let a record stand for those that were synced and are gone."""
        log_event("audit_incomplete", file=self.path.name, lost_bytes=lost_bytes)
        self.file.truncate(self.path.read_bytes().rfind(b"\n") + 1)
        readable = filter(None, map(decode_line, self.all_lines()))
        self.last_index = max((record.index for record in readable), default=0)
        self.skip_to(self.mark.index)

    def find_mark(self, snapshot_index):
        """Return the mark of a trail that an earlier version wrote.

        It synced what the snapshot covers, and perhaps not what came later.
        """
        mark = TrailMark(0, 0, 0)
        for path in self.paths():
            size = 0
            for line in read_lines(path):
                size += len(line)
                record = decode_line(line)
                if record is not None and record.index <= snapshot_index:
                    mark = TrailMark(number_of(path), size, record.index)
        return mark

    def paths(self):
        """Return the files, oldest first."""
        return sorted(self.folder.glob(FILE_GLOB))

    @property
    def path(self):
        """The path of the file that is written."""
        return self.folder / f"audit-{self.number:06}.jsonl"

    def remove_strays(self):
        """Remove files that are no part of the trail.

        Those begun after the last snapshot, and those in front of a missing
        one: they were removed, and a loss of power brought their names back.
        """
        expected = self.number
        for path in reversed(self.paths()):
            if number_of(path) == expected:
                expected -= 1
            else:
                self.disk.remove(path)

    def open_file(self):
        """Open the last file."""
        self.file = self.disk.open(self.path)

    def start_next_if_full(self):
        """Go on in a new file when this one is full."""
        if self.file.size > self.file_bytes:
            full = self.file
            self.number += 1
            self.open_file()
            full.close()
            self.remove_oldest()

    def remove_oldest(self):
        """Remove the oldest files until the rest is small enough."""
        size_by_path = {path: path.stat().st_size for path in self.paths()}
        excess = sum(size_by_path.values()) + self.file_bytes - self.keep_bytes
        for path, size in size_by_path.items():
            if excess <= 0:
                return
            log_event("audit_shortened", file=path.name, bytes=size)
            self.disk.remove(path)
            excess -= size

    # Writing.

    def add(self, record):
        """Add a record, unless it was written before a restart."""
        if record.index <= self.last_index:
            return
        self.last_index = record.index
        self.buffer += msgspec.json.encode(record) + b"\n"
        if len(self.buffer) >= BUFFER_BYTES:
            self.flush()

    def skip_to(self, index):
        """Note that the records up to `index` are not known here.

        The state came from another replica, without the changes before it.
        """
        if index > self.last_index:
            self.missing_places += index - self.last_index
            self.add(missing_records(self.last_index, index))

    def flush(self):
        """Write what is in the buffer, without a sync."""
        data, self.buffer = bytes(self.buffer), bytearray()
        self.file.write_all(data)

    def sync(self):
        """Make the records durable; return how far they go, a `TrailMark`."""
        self.flush()
        run_off_loop(self.file.sync)
        self.start_next_if_full()
        self.mark = TrailMark(self.number, self.file.size, self.last_index)
        return self.mark

    # Reading.

    def read(self, partner="", operator="", name="", since_seconds=0):
        """Yield the records that match, oldest first.

        An empty value matches every record. Where records are missing, one
        stands for them, whatever is asked for.
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
        """Yield all records, one in place of those that cannot be read."""
        last = 0
        paths = self.paths()
        is_broken = bool(paths) and number_of(paths[0]) > 0
        for record in map(decode_line, self.all_lines()):
            if record is None:
                is_broken = True
                continue
            if is_broken:
                yield missing_records(last, record.index - 1)
            yield record
            last, is_broken = record.index, False
        if is_broken:
            yield missing_records(last, self.last_index)

    def all_lines(self):
        """Yield the lines of all files, and those not written yet."""
        for path in self.paths():
            yield from read_lines(path)
        yield from bytes(self.buffer).splitlines(keepends=True)

    # End.

    def close(self):
        """Close the file."""
        if self.file is None:
            return
        try:
            self.flush()
        finally:
            file, self.file = self.file, None
            file.close()

    def anew(self):
        """Return a trail of the same folder that is not open yet."""
        return AuditTrail(self.folder, self.disk, self.keep_bytes)


def number_of(path):
    """Return the number in the name of a file of the trail."""
    return int(path.stem.removeprefix("audit-"))
