"""
hingepitch.control.storage
~~~~~~~~~~~~~~~~~~~~~~~~~~

The data folder of a replica: identity, log segments, snapshots.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

import fcntl
import os
import re
import uuid
from pathlib import Path

from hingepitch.control.batch import Batch, encode_batch, read_batches
from hingepitch.control.message import Recovered
from hingepitch.control.snapshot import Snapshot, decode_snapshot, encode_snapshot
from hingepitch.disk import Disk, make_private_folder, open_private
from hingepitch.durable import run_in_thread, write_atomic
from hingepitch.error import HingepitchError
from hingepitch.log import log_event

__all__ = ["Storage", "bootstrap_folder"]

SEGMENT_NAME = re.compile(r"segment-(\d{12})\Z")
SNAPSHOT_NAME = re.compile(r"snapshot-(\d{20})\Z")

LOCK_NAME = "lock"
IDENTITY_NAME = "identity"

#: Separates name and random part in the identity of a replica that started with an
#: empty folder. The identity of an initial member has no random part.
IDENTITY_SEPARATOR = "~"

#: Prefix of quarantined files: a log that could not be read, kept for the operator.
QUARANTINE_PREFIX = "set-aside-"

#: Prefixes of the temporary files of `write_atomic`.
PARTIAL_FILE_PREFIXES = (".identity", ".snapshot-")

#: Files that are quarantined with a log; other files hold none of its content.
LOG_FILE_NAME = re.compile(
    r"identity|segment-\d{12}|snapshot-\d{20}|audit-\d{6,}\.jsonl", re.ASCII
)


def bootstrap_folder(folder, identity, members, disk=None):
    """Create the data folder of an initial member of the group.

    Raises `HingepitchError` (`storage_failed`) if the folder already has an
    identity or quarantined files: a group must not be bootstrapped twice.
    """
    disk = disk or Disk()
    folder = Path(folder)
    make_private_folder(folder)
    for name in os.listdir(folder):
        if name == IDENTITY_NAME or name.startswith(QUARANTINE_PREFIX):
            raise HingepitchError("storage_failed", f"{folder} has an identity already")
    first = Snapshot(0, 0, members, b"")
    write_atomic(disk, folder / f"snapshot-{0:020}", encode_snapshot(first))
    write_atomic(disk, folder / IDENTITY_NAME, identity.encode())


class Storage:
    """The data folder of a replica, used by one process at a time.

    A power loss keeps everything that a sync covered. Each later write or rename
    may be complete, torn or missing, independently of the ones before it. So each
    write is one batch with one checksum and starts only after the previous batch
    is synced, a snapshot names the first segment that it needs, and data read at
    startup is synced again before the replica relies on it.

    `folder`
        Path of the folder; created if it does not exist.
    `name`
        Name of the replica. An empty folder gets the new identity `name~random`,
        which is not a member of any group yet.
    `disk`
        A `hingepitch.disk.Disk`.
    `quarantine_reason`
        Why this call of `open` quarantined the log; empty if it did not.
    `quarantined_files_reason`
        Why the folder holds quarantined files; empty if it holds none.
    """

    def __init__(self, folder, name, disk=None):
        self.folder = Path(folder)
        self.name = name
        self.disk = disk or Disk()
        self.lock_file = None
        self.segment = None
        self.bytes_written = 0
        self.quarantine_reason = ""
        self.quarantined_files_reason = ""
        self.reset_fields()

    def reset_fields(self):
        """Reset all fields that are read from the folder."""
        self.segment_number = 0
        self.segment_size = 0
        self.sequence = 0
        self.vote = (0, "")
        self.snapshot = Snapshot(0, 0, (), b"")
        self.snapshot_bytes = 0

    def open(self):
        """Lock the folder and return its content as `Recovered`.

        A damaged log is quarantined. The replica then starts like one that lost
        its disk: it gets a new identity and joins the group again, so that it
        never votes without knowing its earlier votes and entries.

        Raises `HingepitchError` (`folder_locked`, `storage_unknown`) or `OSError`.
        """
        make_private_folder(self.folder)
        self.take_lock()
        self.remove_partial_files()
        self.quarantined_files_reason = (
            "at an earlier start" if self.list_quarantined_files() else ""
        )
        try:
            recovered = self.recover()
        except HingepitchError as error:
            if error.code != "storage_damaged":
                raise
            self.quarantine_log(error.detail)
            self.reset_fields()
            recovered = self.recover()
        log_event(
            "log_recovered",
            identity=recovered.identity,
            snapshot_index=self.snapshot.index,
            entries=len(recovered.entries),
        )
        return recovered

    def take_lock(self):
        """Lock the folder against a second process."""
        if self.lock_file is not None:
            return
        self.lock_file = open(self.folder / LOCK_NAME, "wb", opener=open_private)
        try:
            fcntl.flock(self.lock_file, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            raise HingepitchError("folder_locked", str(self.folder)) from None

    def remove_partial_files(self):
        """Remove the temporary files of interrupted calls of `write_atomic`."""
        for name in os.listdir(self.folder):
            if name.startswith(PARTIAL_FILE_PREFIXES):
                self.disk.remove(self.folder / name)

    def recover(self):
        """Read the folder and return `Recovered`; raise `storage_damaged`."""
        identity = self.read_identity()
        self.read_snapshot()
        entries = self.read_segments()
        self.check_complete(identity)
        self.open_segment()
        # A killed process may have left what was read in the page cache only.
        run_in_thread(self.segment.sync)
        return Recovered(
            identity=identity,
            term=self.vote[0],
            voted_for=self.vote[1],
            snapshot_index=self.snapshot.index,
            snapshot_term=self.snapshot.term,
            members=self.snapshot.members,
            entries=entries,
        )

    def read_identity(self):
        """Return the identity of the folder; write a new one if it is empty."""
        path = self.folder / IDENTITY_NAME
        if path.exists():
            return decode_identity(path.read_bytes())
        if self.holds_old_log():
            raise HingepitchError(
                "storage_damaged", "log files without an identity file"
            )
        identity = f"{self.name}{IDENTITY_SEPARATOR}{uuid.uuid4().hex[:8]}"
        write_atomic(self.disk, path, identity.encode())
        return identity

    def holds_old_log(self):
        """Whether a folder without an identity holds files of an earlier identity.

        Snapshots and audit files count as well as segments: a power loss during
        a quarantine may leave them, and a replica with a new identity would use
        them as its own. A first snapshot alone does not count, as an interrupted
        bootstrap leaves it.
        """
        left = set(filter(LOG_FILE_NAME.fullmatch, os.listdir(self.folder)))
        if not self.list_quarantined_files():
            left.discard(self.snapshot_path(0).name)
        return bool(left)

    def numbers(self, pattern):
        """Return the sorted numbers in the file names that match `pattern`."""
        matches = (pattern.match(name) for name in os.listdir(self.folder))
        return sorted(int(match.group(1)) for match in matches if match)

    def read_snapshot(self):
        """Read the latest snapshot, if there is one."""
        numbers = self.numbers(SNAPSHOT_NAME)
        if not numbers:
            return
        data = self.snapshot_path(numbers[-1]).read_bytes()
        self.snapshot = decode_snapshot(data)
        self.snapshot_bytes = len(data)
        self.vote = self.snapshot.vote
        self.segment_number = self.snapshot.first_segment

    def read_segments(self):
        """Return the entries after the snapshot, from all segments."""
        entries = []
        first = self.snapshot.first_segment
        numbers = [at for at in self.numbers(SEGMENT_NAME) if at >= first]
        for number in numbers:
            for batch in self.read_segment(number, number == numbers[-1]):
                self.apply_batch(batch, entries)
            self.segment_number = number
        return list(self.entries_after_snapshot(entries))

    def read_segment(self, number, is_last):
        """Yield the batches of a segment; truncate a torn tail of the last segment."""
        path = self.segment_path(number)
        data = path.read_bytes()
        end = 0
        for batch, after in read_batches(data, self.sequence):
            end = after
            yield batch
        if end == len(data):
            return
        if not is_last:
            raise HingepitchError(
                "storage_damaged", f"{path.name} is damaged at byte {end}"
            )
        cut_bytes = len(data) - end
        log_event("torn_tail_cut", segment=path.name, at=end, cut_bytes=cut_bytes)
        self.truncate_file(path, end)

    def truncate_file(self, path, size):
        """Truncate a file to `size` bytes."""
        file = self.disk.open(path)
        try:
            file.truncate(size)
        finally:
            file.close()

    def apply_batch(self, batch, entries):
        """Apply the vote and the entries of a batch to the recovered ones."""
        self.sequence = max(self.sequence, batch.sequence)
        if batch.vote is not None:
            self.vote = batch.vote
        for entry in batch.entries:
            while entries and entries[-1].index >= entry.index:
                entries.pop()
            entries.append(entry)

    def entries_after_snapshot(self, entries):
        """Yield the entries after the snapshot; raise `storage_damaged` on a gap."""
        expected = self.snapshot.index + 1
        for entry in entries:
            if entry.index < expected:
                continue
            if entry.index > expected:
                raise HingepitchError("storage_damaged", f"missing entry {expected}")
            if entry.term < self.snapshot.term:
                # Earlier versions removed segments out of order and could leave
                # an entry that the group had replaced before the snapshot.
                return
            expected += 1
            yield entry

    def check_complete(self, identity):
        """Raise `storage_damaged` if files are missing that a power loss keeps.

        Without them the replica would vote again in terms in which it has voted,
        and would count as having entries that it acknowledged and lost.
        """
        if IDENTITY_SEPARATOR not in identity and not self.snapshot_bytes:
            raise HingepitchError(
                "storage_damaged", "initial member without a snapshot"
            )
        # Earlier versions wrote no batch with a snapshot; their snapshots have no
        # trail position.
        if self.snapshot.trail is not None and not self.sequence:
            raise HingepitchError("storage_damaged", "no batch after the snapshot")

    def segment_path(self, number):
        """Return the path of the segment `number`."""
        return self.folder / f"segment-{number:012}"

    def snapshot_path(self, index):
        """Return the path of the snapshot at `index`."""
        return self.folder / f"snapshot-{index:020}"

    def open_segment(self):
        """Open the segment `segment_number` for appending; create it if necessary."""
        # The previous file is closed only once the next one is open. If opening
        # failed, `close` would close it again, and its file descriptor may belong
        # to a connection by then.
        before = self.segment
        self.segment = self.disk.open(self.segment_path(self.segment_number))
        if before is not None:
            before.close()
        self.segment_size = self.segment.size
        self.disk.sync_folder(self.folder)

    def quarantine_log(self, reason):
        """Rename the files of a damaged log; remove a log quarantined earlier.

        The identity is renamed first: if a power loss interrupts the quarantine,
        no replica votes with the remaining files, which have no identity.
        """
        log_event("log_set_aside", folder=self.folder, reason=reason)
        self.quarantine_reason = self.quarantined_files_reason = reason
        if (self.folder / IDENTITY_NAME).exists():
            self.remove_quarantined_files()
            self.quarantine_file(IDENTITY_NAME)
            self.disk.sync_folder(self.folder)
        for name in os.listdir(self.folder):
            if LOG_FILE_NAME.fullmatch(name):
                self.quarantine_file(name)
        self.disk.sync_folder(self.folder)

    def remove_quarantined_files(self):
        """Remove the files quarantined earlier: only one log is kept."""
        for name in self.list_quarantined_files():
            self.disk.remove(self.folder / name)

    def list_quarantined_files(self):
        """Return the names of the quarantined files."""
        names = os.listdir(self.folder)
        return [name for name in names if name.startswith(QUARANTINE_PREFIX)]

    def quarantine_file(self, name):
        """Rename one file of a damaged log."""
        self.disk.rename(self.folder / name, self.folder / f"{QUARANTINE_PREFIX}{name}")

    def write(self, vote, entries):
        """Make a vote (or None) and entries durable with one sync.

        Raises `HingepitchError` (`storage_failed`); the folder must then be
        opened again.
        """
        if vote is not None:
            self.vote = vote
        data = encode_batch(Batch(self.sequence + 1, vote, tuple(entries)))
        try:
            run_in_thread(self.write_synced, data)
        except OSError as error:
            self.undo_write()
            raise HingepitchError("storage_failed", str(error)) from None
        self.sequence += 1
        self.segment_size += len(data)
        self.bytes_written += len(data)

    def write_synced(self, data):
        """Append `data` to the segment and sync it, in a thread of the pool."""
        self.segment.write_all(data)
        self.segment.sync()

    def undo_write(self):
        """Truncate the segment after a failed write, if the disk allows it."""
        try:
            self.segment.truncate(self.segment_size)
        except OSError as error:
            # The next `open` truncates a torn batch and syncs a complete one.
            log_event("storage_failed", error=str(error))

    def save_snapshot(self, snapshot, entries=()):
        """Write a snapshot and remove the files that it replaces.

        The vote and the entries after the snapshot are first written and synced
        to a new segment. The snapshot names this segment, so all earlier files
        are obsolete even if a power loss restores their names.

        `entries`
            Entries of the log after the snapshot.

        Raises `HingepitchError` (`storage_failed`); the folder must then be
        opened again.
        """
        try:
            self.segment_number += 1
            self.open_segment()
            self.write(self.vote, entries)
            snapshot.vote = self.vote
            snapshot.first_segment = self.segment_number
            data = encode_snapshot(snapshot)
            path = self.snapshot_path(snapshot.index)
            run_in_thread(write_atomic, self.disk, path, data)
            self.snapshot = snapshot
            self.remove_obsolete_files()
        except OSError as error:
            raise HingepitchError("storage_failed", str(error)) from None
        self.snapshot_bytes = len(data)
        self.bytes_written += len(data)

    def remove_obsolete_files(self):
        """Remove the snapshots and segments that the latest snapshot replaces."""
        for number in self.numbers(SNAPSHOT_NAME):
            if number < self.snapshot.index:
                self.disk.remove(self.snapshot_path(number))
        for number in self.numbers(SEGMENT_NAME):
            if number < self.snapshot.first_segment:
                self.disk.remove(self.segment_path(number))

    def unopened_copy(self):
        """Return a `Storage` of the same folder that is not open yet."""
        return Storage(self.folder, self.name, self.disk)

    def close(self):
        """Close the files and release the lock."""
        segment, self.segment = self.segment, None
        lock_file, self.lock_file = self.lock_file, None
        for file in (segment, lock_file):
            if file is not None:
                file.close()


def decode_identity(data):
    """Return the identity in `data`; raise `storage_damaged`."""
    try:
        identity = data.decode()
    except UnicodeDecodeError:
        identity = ""
    if not identity or not identity.isprintable():
        raise HingepitchError("storage_damaged", "not an identity")
    return identity
