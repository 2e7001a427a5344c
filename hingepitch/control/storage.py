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
from hingepitch.disk import Disk
from hingepitch.durable import run_off_loop, write_whole
from hingepitch.error import HingepitchError
from hingepitch.log import log_event

__all__ = ["Storage", "found_folder"]

SEGMENT_NAME = re.compile(r"segment-(\d{12})\Z")
SNAPSHOT_NAME = re.compile(r"snapshot-(\d{20})\Z")

LOCK_NAME = "lock"
IDENTITY_NAME = "identity"

#: Parts the name from the random part in the identity of a replica that came with
#: an empty folder; a founder's has none.
NEWCOMER_MARK = "~"

#: Begins the names of a log that could not be read, kept for the operator.
ASIDE_PREFIX = "set-aside-"

#: Begin the names of whole files that are being written.
LEFTOVER_PREFIXES = (".identity", ".snapshot-")

#: Files that are set aside with a log; all others say nothing of its past.
LOG_NAME = re.compile(
    r"identity|segment-\d{12}|snapshot-\d{20}|audit-\d{6,}\.jsonl", re.ASCII
)


def found_folder(folder, identity, members, disk=None):
    """Make the data folder of a founding member, once and never again.

    Raises `HingepitchError` (`storage_failed`) if the folder is in use, or if
    a log was set aside in it: a group is not founded twice.
    """
    disk = disk or Disk()
    folder = Path(folder)
    folder.mkdir(parents=True, exist_ok=True)
    for name in os.listdir(folder):
        if name == IDENTITY_NAME or name.startswith(ASIDE_PREFIX):
            raise HingepitchError("storage_failed", f"{folder} has an identity already")
    first = Snapshot(0, 0, members, b"")
    write_whole(disk, folder / f"snapshot-{0:020}", encode_snapshot(first))
    write_whole(disk, folder / IDENTITY_NAME, identity.encode())


class Storage:
    """One data folder, used by one process at a time.

    A loss of power keeps what a sync covered; of what was written since, each
    write and each change of a name may be there, torn or gone, whatever became
    of those before. So a write is one batch under one checksum and begins when
    the one before is synced, a snapshot names the first segment that it needs,
    and nothing that was read is believed before it is synced again.

    `folder`
        Path of the folder; made if it does not exist.
    `name`
        Name of the replica; an empty folder gets the new identity
        `name~random`, which no group knows yet.
    `disk`
        A `hingepitch.disk.Disk`.
    `set_aside_reason`
        Why the log was set aside at this opening; empty if it was not.
    `kept_aside`
        Why there are files of a log that was set aside; empty if there are none.
    """

    def __init__(self, folder, name, disk=None):
        self.folder = Path(folder)
        self.name = name
        self.disk = disk or Disk()
        self.lock_file = None
        self.segment = None
        self.bytes_written = 0
        self.set_aside_reason = ""
        self.kept_aside = ""
        self.forget()

    def forget(self):
        """Know nothing of what the folder holds."""
        self.segment_number = 0
        self.segment_size = 0
        self.sequence = 0
        self.vote = (0, "")
        self.snapshot = Snapshot(0, 0, (), b"")
        self.snapshot_bytes = 0

    # Opening.

    def open(self):
        """Lock the folder and return what it holds as `Recovered`.

        A log that cannot be read is set aside: the replica comes back as one
        that has lost its disk, under a new identity, and is taken in again. It
        never votes with a past that it cannot read.

        Raises `HingepitchError` (`folder_locked`, `storage_unknown`) or `OSError`.
        """
        self.folder.mkdir(parents=True, exist_ok=True)
        self.take_lock()
        self.remove_leftovers()
        self.kept_aside = "at an earlier start" if self.names_aside() else ""
        try:
            recovered = self.recover()
        except HingepitchError as error:
            if error.code != "storage_damaged":
                raise
            self.set_aside(error.detail)
            self.forget()
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
        self.lock_file = open(self.folder / LOCK_NAME, "wb")
        try:
            fcntl.flock(self.lock_file, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            raise HingepitchError("folder_locked", str(self.folder)) from None

    def remove_leftovers(self):
        """Remove what a write of a whole file left when it was cut short."""
        for name in os.listdir(self.folder):
            if name.startswith(LEFTOVER_PREFIXES):
                self.disk.remove(self.folder / name)

    def recover(self):
        """Read the folder; raise `storage_damaged`."""
        identity = self.read_identity()
        self.read_snapshot()
        entries = self.read_segments()
        self.check_complete(identity)
        self.open_segment()
        # What was read may lie in the cache of a killed process' system only.
        run_off_loop(self.segment.sync)
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
        """Return the identity of the folder; an empty folder gets a new one."""
        path = self.folder / IDENTITY_NAME
        if path.exists():
            return decode_identity(path.read_bytes())
        if self.holds_old_log():
            raise HingepitchError("storage_damaged", "a log without an identity")
        identity = f"{self.name}{NEWCOMER_MARK}{uuid.uuid4().hex[:8]}"
        write_whole(self.disk, path, identity.encode())
        return identity

    def holds_old_log(self):
        """Whether a folder without an identity holds what another one wrote.

        All of it counts, not the segments alone: a loss of power that cuts a
        set-aside short may leave the snapshot, or the audit trail, which a new
        identity would take for its own. Only a founding that was cut short
        leaves its snapshot, and nothing else.
        """
        left = set(filter(LOG_NAME.fullmatch, os.listdir(self.folder)))
        if not self.names_aside():
            left.discard(self.snapshot_path(0).name)
        return bool(left)

    def numbers(self, pattern):
        """Return the numbers in the file names that match `pattern`."""
        matches = (pattern.match(name) for name in os.listdir(self.folder))
        return sorted(int(match.group(1)) for match in matches if match)

    def read_snapshot(self):
        """Read the last snapshot."""
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
                self.take_batch(batch, entries)
            self.segment_number = number
        return list(self.entries_after_snapshot(entries))

    def read_segment(self, number, is_last):
        """Yield the batches of one segment; cut a torn tail of the last."""
        path = self.segment_path(number)
        data = path.read_bytes()
        end = 0
        for batch, after in read_batches(data, self.sequence):
            end = after
            yield batch
        if end == len(data):
            return
        if not is_last:
            raise HingepitchError("storage_damaged", f"{path.name} at byte {end}")
        cut_bytes = len(data) - end
        log_event("torn_tail_cut", segment=path.name, at=end, cut_bytes=cut_bytes)
        self.cut(path, end)

    def cut(self, path, size):
        """Cut a file to `size` bytes."""
        file = self.disk.open(path)
        try:
            file.truncate(size)
        finally:
            file.close()

    def take_batch(self, batch, entries):
        """Add one batch to what is recovered."""
        self.sequence = max(self.sequence, batch.sequence)
        if batch.vote is not None:
            self.vote = batch.vote
        for entry in batch.entries:
            while entries and entries[-1].index >= entry.index:
                entries.pop()
            entries.append(entry)

    def entries_after_snapshot(self, entries):
        """Yield the entries that continue the snapshot; raise on a gap."""
        expected = self.snapshot.index + 1
        for entry in entries:
            if entry.index < expected:
                continue
            if entry.index > expected:
                raise HingepitchError("storage_damaged", f"no entry {expected}")
            if entry.term < self.snapshot.term:
                # Left by earlier versions, which dropped segments out of order:
                # the group replaced it before the snapshot.
                return
            expected += 1
            yield entry

    def check_complete(self, identity):
        """Raise `storage_damaged` where files are gone that no loss of power takes.

        Without them the replica would vote, and count as one that has all that
        was acknowledged, as if it had never voted or stored anything.
        """
        if NEWCOMER_MARK not in identity and not self.snapshot_bytes:
            raise HingepitchError("storage_damaged", "a founder without a snapshot")
        # Earlier versions, which marked no trail, wrote none with their snapshot.
        if self.snapshot.trail is not None and not self.sequence:
            raise HingepitchError("storage_damaged", "no batch behind the snapshot")

    def segment_path(self, number):
        """Return the path of the segment `number`."""
        return self.folder / f"segment-{number:012}"

    def snapshot_path(self, index):
        """Return the path of the snapshot at `index`."""
        return self.folder / f"snapshot-{index:020}"

    def open_segment(self):
        """Open the last segment for appending, or the first one."""
        # Closed only when the next one is open: a refused call would leave a
        # closed file to be closed again, and its number is soon a connection's.
        before = self.segment
        self.segment = self.disk.open(self.segment_path(self.segment_number))
        if before is not None:
            before.close()
        self.segment_size = self.segment.size
        self.disk.sync_folder(self.folder)

    # Damage.

    def set_aside(self, reason):
        """Rename a log that cannot be read; the one set aside before goes.

        The identity goes first: without it, what is left is no log that
        anybody would vote with, wherever a loss of power cuts this short.
        """
        log_event("log_set_aside", folder=self.folder, reason=reason)
        self.set_aside_reason = self.kept_aside = reason
        if (self.folder / IDENTITY_NAME).exists():
            self.remove_aside()
            self.put_aside(IDENTITY_NAME)
            self.disk.sync_folder(self.folder)
        for name in os.listdir(self.folder):
            if LOG_NAME.fullmatch(name):
                self.put_aside(name)
        self.disk.sync_folder(self.folder)

    def remove_aside(self):
        """Remove a log that was set aside before: one is kept."""
        for name in self.names_aside():
            self.disk.remove(self.folder / name)

    def names_aside(self):
        """Return the names of the files of a log that was set aside."""
        names = os.listdir(self.folder)
        return [name for name in names if name.startswith(ASIDE_PREFIX)]

    def put_aside(self, name):
        """Rename one file of a log that cannot be read."""
        self.disk.rename(self.folder / name, self.folder / f"{ASIDE_PREFIX}{name}")

    # Writing.

    def write(self, vote, entries):
        """Make a vote (or None) and entries durable, in one sync.

        Raises `HingepitchError` (`storage_failed`); the folder has to be
        opened anew then.
        """
        if vote is not None:
            self.vote = vote
        data = encode_batch(Batch(self.sequence + 1, vote, tuple(entries)))
        try:
            run_off_loop(self.write_synced, data)
        except OSError as error:
            self.undo_write()
            raise HingepitchError("storage_failed", str(error)) from None
        self.sequence += 1
        self.segment_size += len(data)
        self.bytes_written += len(data)

    def write_synced(self, data):
        """Append `data` to the segment and sync it; runs in a thread."""
        self.segment.write_all(data)
        self.segment.sync()

    def undo_write(self):
        """Cut a write that failed half-way, if the disk takes that."""
        try:
            self.segment.truncate(self.segment_size)
        except OSError as error:
            # The next opening cuts it, or syncs what is whole.
            log_event("storage_failed", error=str(error))

    # Snapshots.

    def save_snapshot(self, snapshot, entries=()):
        """Write a snapshot that takes the place of the whole log.

        A new segment holds what the snapshot does not, and is synced first:
        with the snapshot all earlier files are void, also if a loss of power
        brings their names back.

        `entries`
            Those after the snapshot that are in the log.

        Raises `HingepitchError` (`storage_failed`); the folder has to be
        opened anew then.
        """
        try:
            self.segment_number += 1
            self.open_segment()
            self.write(self.vote, entries)
            snapshot.vote = self.vote
            snapshot.first_segment = self.segment_number
            data = encode_snapshot(snapshot)
            path = self.snapshot_path(snapshot.index)
            run_off_loop(write_whole, self.disk, path, data)
            self.snapshot = snapshot
            self.remove_void_files()
        except OSError as error:
            raise HingepitchError("storage_failed", str(error)) from None
        self.snapshot_bytes = len(data)
        self.bytes_written += len(data)

    def remove_void_files(self):
        """Remove the snapshots and segments that the last snapshot replaces."""
        for number in self.numbers(SNAPSHOT_NAME):
            if number < self.snapshot.index:
                self.disk.remove(self.snapshot_path(number))
        for number in self.numbers(SEGMENT_NAME):
            if number < self.snapshot.first_segment:
                self.disk.remove(self.segment_path(number))

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


def decode_identity(data):
    """Return the identity in `data`; raise `storage_damaged`."""
    try:
        identity = data.decode()
    except UnicodeDecodeError:
        identity = ""
    if not identity or not identity.isprintable():
        raise HingepitchError("storage_damaged", "not an identity")
    return identity
