"""
hingepitch.control.audit
~~~~~~~~~~~~~~~~~~~~~~~~

The audit trail: every operator command, accepted or refused.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

from pathlib import Path

import msgspec

from hingepitch.disk import Disk
from hingepitch.log import log_event

__all__ = ["AuditRecord", "AuditTrail"]

MAX_FILE_BYTES = 16_000_000
FILE_GLOB = "audit-*.jsonl"

#: Records are written in pieces of this size, in bytes: a call of the system
#: for each would cost the loop more than its encoding.
BUFFER_BYTES = 8192


class AuditRecord(msgspec.Struct, frozen=True, omit_defaults=True):
    """What one operator command did.

    `index`
        Place in the log.
    `code`
        Empty if accepted.
    `before`, `after`
        The object, as plain values, or None where there was none.
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


DECODER = msgspec.json.Decoder(AuditRecord)


class AuditTrail:
    """Audit records in files of their own, which no truncation touches.

    `folder`
        The data folder.
    `disk`
        A `hingepitch.disk.Disk`.
    """

    def __init__(self, folder, disk=None):
        self.folder = Path(folder)
        self.disk = disk or Disk()
        self.file = None
        self.buffer = bytearray()
        self.number = 0
        self.last_index = 0

    def open(self):
        """Find the last record, cut a torn one, open for appending."""
        paths = self.paths()
        if paths:
            self.number = int(paths[-1].stem.removeprefix("audit-"))
            self.cut_torn_line(paths[-1])
        for record in self.read():
            self.last_index = max(self.last_index, record.index)
        self.open_file()

    def paths(self):
        """Return the files, oldest first."""
        return sorted(self.folder.glob(FILE_GLOB))

    def cut_torn_line(self, path):
        """Cut a last line that was not written whole."""
        data = path.read_bytes()
        end = data.rfind(b"\n") + 1
        if end < len(data):
            log_event("torn_tail_cut", segment=path.name, at=end)
            file = self.disk.open(path)
            file.truncate(end)
            file.close()

    def open_file(self):
        """Open the last file, or the next one when that is full."""
        path = self.folder / f"audit-{self.number:06}.jsonl"
        self.file = self.disk.open(path)
        if self.file.size > MAX_FILE_BYTES:
            self.file.close()
            self.number += 1
            self.open_file()

    def add(self, record):
        """Add a record, unless it was written before a restart."""
        if record.index <= self.last_index:
            return
        self.last_index = record.index
        self.buffer += msgspec.json.encode(record) + b"\n"
        if len(self.buffer) >= BUFFER_BYTES:
            self.flush()

    def flush(self):
        """Write what is in the buffer, without a sync."""
        data, self.buffer = bytes(self.buffer), bytearray()
        self.file.write_all(data)

    def sync(self):
        """Make the records durable; start a new file when this one is full."""
        self.flush()
        self.file.sync()
        if self.file.size > MAX_FILE_BYTES:
            self.file.close()
            self.number += 1
            self.open_file()

    def read(self, partner="", operator="", name="", since_seconds=0):
        """Yield the records that match, oldest first.

        An empty value matches every record.
        """
        if self.file is not None:
            self.flush()
        for path in self.paths():
            for line in path.read_bytes().splitlines():
                record = DECODER.decode(line)
                if (
                    partner in ("", record.partner)
                    and operator in ("", record.operator)
                    and name in ("", record.name)
                    and record.at_seconds >= since_seconds
                ):
                    yield record

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
        return AuditTrail(self.folder, self.disk)
