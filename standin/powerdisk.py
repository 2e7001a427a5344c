"""
standin.powerdisk
~~~~~~~~~~~~~~~~~

Simulates a disk whose power fails. Synced data survives a power loss; unsynced
writes and name changes survive, vanish or are torn at random. The disk can also
refuse calls, before or in the middle of a write.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

import errno
import os
from dataclasses import dataclass, field
from itertools import pairwise
from pathlib import Path

import msgspec

from hingepitch.disk import Disk, DiskFile

__all__ = [
    "GROWING_NAMES",
    "JournalDisk",
    "RecordingDisk",
    "PowerDisk",
    "PowerModel",
    "Refusal",
    "lose_power",
]

#: Size of the blocks that a torn write is split into, in bytes: the page size of
#: the operating system's file cache.
BLOCK_BYTES = 4096

#: Probability that a power loss discards all unsynced writes, and separately that
#: it discards all unsynced name changes; high enough that a few tens of losses
#: include each kind several times.
DISCARD_ALL_PROBABILITY = 0.25

#: What a power loss may leave of one write: all of it (present), nothing, its
#: beginning (cut), some whole blocks, some pieces of any size, or its length filled
#: with zero bytes.
WRITE_OUTCOMES = ("present", "absent", "cut", "blocks", "pieces", "length")

#: Names of the calls that change the disk; a `PowerDisk` can refuse each.
CALL_NAMES = ("create", "write", "truncate", "sync", "rename", "remove", "sync_folder")

#: Names of the calls that a full disk refuses.
GROWING_NAMES = ("create", "write")


class Call(msgspec.Struct, array_like=True):
    """One call that changes the disk.

    `name`
        create, write, truncate, sync, rename, remove or sync_folder.
    `path`
        Path of the file or folder.
    `offset`
        Write: offset of its first byte. Truncation: the new size. Creation: the
        size of the existing file, or -1 if there was none.
    `data`
        Write: the bytes written.
    `other`
        Rename: the new path.
    """

    name: str
    path: str
    offset: int = 0
    data: bytes = b""
    other: str = ""


@dataclass(eq=False, slots=True)
class FileContent:
    """Content of a file, independent of its name.

    `durable`
        Content at the last sync.
    `pending`
        Writes and truncations since the last sync.
    """

    durable: bytearray = field(default_factory=bytearray)
    pending: list[Call] = field(default_factory=list)

    def sync(self):
        """Make all pending writes and truncations durable."""
        apply_calls(self.durable, self.pending)
        self.pending.clear()

    def size(self):
        """Return the file's size as processes see it, in bytes."""
        size = len(self.durable)
        for call in self.pending:
            if call.name == "truncate":
                size = call.offset
            else:
                size = max(size, call.offset + len(call.data))
        return size

    def after_loss(self, rng):
        """Return the content after a power loss, with random unsynced changes lost."""
        data = self.durable.copy()
        apply_calls(data, surviving_writes(self.pending, rng))
        return bytes(data)

    def drop_unexecuted(self, size):
        """Drop recorded writes that were never carried out.

        A process that is killed between recording a write and making it leaves
        such a record.

        `size`
            Actual size of the file when it was opened again, in bytes.
        """
        while self.pending and self.size() > size:
            last = self.pending.pop()
            if last.name == "write" and last.offset < size:
                data = last.data[: size - last.offset]
                self.pending.append(Call("write", last.path, last.offset, data))


def apply_calls(data, calls):
    """Apply writes and truncations to the bytearray `data`."""
    for call in calls:
        end = call.offset + len(call.data)
        data += bytes(max(0, end - len(data)))
        if call.name == "truncate":
            del data[end:]
        else:
            data[call.offset : end] = call.data


class PowerModel:
    """Model of the files in one data folder, before and after a power loss.

    `content_by_path`
        The files as processes see them.
    `durable_by_path`
        The files under the names that survive a power loss.
    `pending_names`
        Creations, renames and removals that no folder sync covers, in their
        order: `(call, content)`.
    """

    def __init__(self, data_by_path=None):
        self.content_by_path = {
            path: FileContent(bytearray(data))
            for path, data in (data_by_path or {}).items()
        }
        self.durable_by_path = dict(self.content_by_path)
        self.pending_names = []

    def take(self, call):
        """Apply a call that was made on the disk."""
        getattr(self, f"take_{call.name}")(call)

    def take_create(self, call):
        """Apply the opening of a file, which creates it if it does not exist."""
        if call.path in self.content_by_path:
            self.content_by_path[call.path].drop_unexecuted(call.offset)
            return
        content = self.content_by_path[call.path] = FileContent()
        self.pending_names.append((call, content))

    def take_write(self, call):
        """Apply a write or truncation, pending until the next sync."""
        self.content_by_path[call.path].pending.append(call)

    take_truncate = take_write

    def take_sync(self, call):
        """Make a file's content durable; the name of a new file stays pending.

        Some file systems make the name durable with the file, but not all do: a
        program that must work on each also syncs the folder.
        """
        content = self.content_by_path[call.path]
        content.sync()

    def take_rename(self, call):
        """Apply a rename, which a power loss may undo until the folder is synced."""
        content = self.content_by_path.pop(call.path, None)
        if content is None:
            return
        self.content_by_path[call.other] = content
        self.pending_names.append((call, content))

    def take_remove(self, call):
        """Apply a removal, which a power loss may undo until the folder is synced."""
        content = self.content_by_path.pop(call.path, None)
        if content is not None:
            self.pending_names.append((call, content))

    def take_sync_folder(self, call):
        """Make the names in a folder durable."""
        folder = call.path
        for name_change in list(self.pending_names):
            if os.path.dirname(name_change[0].path) == folder:
                self.pending_names.remove(name_change)
                self.apply_name_change(self.durable_by_path, *name_change)

    def apply_name_change(self, names, call, content):
        """Apply a creation, rename or removal to `names`, content by path."""
        if call.name == "create":
            names[call.path] = content
            return
        if names.get(call.path) is content:
            del names[call.path]
        if call.name == "rename":
            names[call.other] = content

    def files_after_loss(self, rng):
        """Return the files that a power loss leaves: data by path.

        Some losses discard all unsynced writes, and some discard all unsynced
        name changes. Otherwise each write is kept, discarded or torn on its own,
        and each name change is kept or discarded on its own.
        """
        discards_names = rng.random() < DISCARD_ALL_PROBABILITY
        discards_writes = rng.random() < DISCARD_ALL_PROBABILITY
        names = dict(self.durable_by_path)
        for call, content in self.pending_names:
            if not discards_names and rng.random() < 0.5:
                self.apply_name_change(names, call, content)
        return {
            path: bytes(content.durable) if discards_writes else content.after_loss(rng)
            for path, content in names.items()
        }


def surviving_writes(calls, rng):
    """Yield the parts of unsynced writes and truncations that survive a power loss."""
    for call in calls:
        outcome = rng.choice(WRITE_OUTCOMES)
        if outcome == "absent":
            continue
        if call.name == "truncate" or outcome == "present":
            yield call
        elif outcome == "length":
            yield partial_write(call, 0, len(call.data), bytes(len(call.data)))
        else:
            yield from torn_parts(call, outcome, rng)


def partial_write(call, start, end, data=None):
    """Return the part of a write from byte `start` to `end`, as a write.

    `data`
        Bytes that replace those of the write; None: the write's own.
    """
    data = call.data[start:end] if data is None else data
    return Call("write", call.path, call.offset + start, data)


def torn_parts(call, outcome, rng):
    """Yield the parts that survive of a torn write, each as a write."""
    size = len(call.data)
    if outcome == "cut":
        yield partial_write(call, 0, rng.randrange(size + 1))
        return
    if outcome == "blocks":
        edges = block_edges(call)
    else:
        edges = sorted([0, rng.randrange(size + 1), rng.randrange(size + 1), size])
    for start, end in pairwise(edges):
        if rng.random() < 0.5:
            yield partial_write(call, start, end)


def block_edges(call):
    """Return the offsets within a write at which the file's blocks begin and end."""
    size = len(call.data)
    first = BLOCK_BYTES - call.offset % BLOCK_BYTES
    return [0, *range(first, size, BLOCK_BYTES), size]


class RecordingFile(DiskFile):
    """A file that passes each call that changes it to `record`."""

    def __init__(self, path, record):
        self.record = record
        size = os.stat(path).st_size if os.path.exists(path) else -1
        record(Call("create", str(path), size))
        super().__init__(path)

    def write(self, data):
        """Append `data`; return how many of its bytes were written.

        The call is recorded before it is made, so a kill in between leaves a record
        of a write that did not happen; `drop_unexecuted` removes it.
        """
        self.record(Call("write", str(self.path), self.size, bytes(data)))
        return super().write(data)

    def truncate(self, size):
        """Cut the file to `size` bytes."""
        self.record(Call("truncate", str(self.path), size))
        super().truncate(size)

    def sync(self):
        """Sync the file; recorded only after it has succeeded."""
        super().sync()
        self.record(Call("sync", str(self.path)))


class RecordingDisk(Disk):
    """The file system; passes each call that changes it to `record`."""

    def __init__(self, record):
        self.record = record

    def open(self, path):
        """Return the file at `path`."""
        return RecordingFile(path, self.record)

    def rename(self, old, new):
        """Rename a file."""
        self.record(Call("rename", str(old), other=str(new)))
        super().rename(old, new)

    def remove(self, path):
        """Remove a file."""
        self.record(Call("remove", str(path)))
        super().remove(path)

    def sync_folder(self, path):
        """Sync a folder; recorded only after it has succeeded."""
        super().sync_folder(path)
        self.record(Call("sync_folder", str(path)))


class PowerFile(RecordingFile):
    """A file on a `PowerDisk`."""

    def __init__(self, path, disk):
        self.disk = disk
        disk.check("create")
        super().__init__(path, disk.take)

    def write(self, data):
        """Append `data`; a refused call may still append its beginning."""
        try:
            self.disk.check("write")
        except OSError:
            part = bytes(data)[: int(len(data) * self.disk.refusal.part)]
            if part:
                super().write(part)
            raise
        return super().write(data)

    def truncate(self, size):
        """Cut the file to `size` bytes."""
        self.disk.check("truncate")
        super().truncate(size)

    def sync(self):
        """Mark the file's content as synced, without a sync of the real disk."""
        self.disk.check("sync")
        self.record(Call("sync", str(self.path)))


@dataclass(slots=True)
class Refusal:
    """Selects the calls that a `PowerDisk` refuses.

    `after`
        Number of calls in `names` that succeed first.
    `count`
        Number of calls that are then refused; None: all later ones.
    `names`
        Names of the calls that can be refused.
    `part`
        Fraction of a refused write that is still carried out, from 0 to 1.
    """

    after: int = 0
    count: int | None = 1
    names: tuple[str, ...] = CALL_NAMES
    part: float = 0.0


class PowerDisk(RecordingDisk):
    """A disk for one process that can lose power and refuse calls.

    `folder`
        The data folder; its present files count as synced.
    `calls`
        Number of calls so far that changed the disk.
    """

    def __init__(self, folder):
        self.folder = Path(folder)
        self.restore(read_folder(self.folder))
        super().__init__(self.take)

    def restore(self, data_by_path):
        """Start over with these files, all synced, with power and no refusals."""
        self.model = PowerModel(data_by_path)
        self.calls = 0
        self.calls_until_loss = None
        self.refusal = None

    @property
    def has_power(self):
        """Whether the power is on."""
        return self.calls_until_loss is None or self.calls_until_loss > 0

    def open(self, path):
        """Return the file at `path`."""
        return PowerFile(path, self)

    def rename(self, old, new):
        """Rename a file."""
        self.check("rename")
        super().rename(old, new)

    def remove(self, path):
        """Remove a file."""
        self.check("remove")
        super().remove(path)

    def sync_folder(self, path):
        """Mark the names in a folder as synced, without a sync of the real disk."""
        self.check("sync_folder")
        self.record(Call("sync_folder", str(path)))

    def check(self, name):
        """Raise `OSError` (ENOSPC) if the next call of that name is refused.

        The caller checks before it carries the call out.
        """
        refusal = self.refusal
        if refusal is None or name not in refusal.names:
            return
        if refusal.after > 0:
            refusal.after -= 1
            return
        if refusal.count == 0:
            return
        if refusal.count is not None:
            refusal.count -= 1
        raise OSError(errno.ENOSPC, f"{name} is refused")

    def take(self, call):
        """Record a call; raise `OSError` (EIO) once the power is lost.

        The power fails during the last call: it is recorded, unless it is a sync,
        and still raises the error, so that its caller does not know the outcome.
        """
        self.calls += 1
        if self.calls_until_loss is None:
            self.model.take(call)
            return
        self.calls_until_loss -= 1
        is_sync = call.name in ("sync", "sync_folder")
        if self.calls_until_loss > 0 or (self.calls_until_loss == 0 and not is_sync):
            self.model.take(call)
        if self.calls_until_loss <= 0:
            raise OSError(errno.EIO, "the disk has no power")

    def clear(self):
        """Remove all files from the folder."""
        write_folder(self.folder, {})
        self.restore({})

    def refuse(self, refusal):
        """Refuse the calls that a `Refusal` selects; None: refuse no calls."""
        self.refusal = refusal

    def lose_power_after(self, calls):
        """Make the power fail during the call that follows the next `calls` calls.

        None: the power stays on.
        """
        self.calls_until_loss = None if calls is None else calls + 1

    def lose_power(self, rng):
        """Replace the files in the folder by those that a power loss leaves."""
        left = self.model.files_after_loss(rng)
        write_folder(self.folder, left)
        self.restore(left)


class JournalDisk(RecordingDisk):
    """A disk that writes its calls to a journal, for a process that is killed.

    After the kill, `lose_power` reads the journal to simulate a power loss.

    `journal`
        Path of the journal, outside the data folder.
    """

    def __init__(self, journal):
        flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND | os.O_CLOEXEC
        self.descriptor = os.open(journal, flags, 0o644)
        super().__init__(self.record_call)

    def record_call(self, call):
        """Append a call to the journal."""
        body = msgspec.msgpack.encode(call)
        os.write(self.descriptor, len(body).to_bytes(4, "big") + body)


def read_journal(journal):
    """Yield the calls in a journal file, if it exists."""
    data = Path(journal).read_bytes() if Path(journal).exists() else b""
    offset = 0
    while offset + 4 <= len(data):
        end = offset + 4 + int.from_bytes(data[offset : offset + 4], "big")
        if end > len(data):
            return  # Killed while it wrote this record: the call was not made.
        yield msgspec.msgpack.decode(data[offset + 4 : end], type=Call)
        offset = end


def read_folder(folder):
    """Return the files in a folder: data by path; empty if there is no folder."""
    if not Path(folder).exists():
        return {}
    files = (path for path in Path(folder).iterdir() if path.is_file())
    return {str(path): path.read_bytes() for path in files}


def write_folder(folder, data_by_path):
    """Replace all files in a folder, created if absent, by the given ones."""
    Path(folder).mkdir(parents=True, exist_ok=True)
    for path in Path(folder).iterdir():
        if path.is_file():
            path.unlink()
    for path, data in data_by_path.items():
        Path(path).write_bytes(data)


def lose_power(folder, journal, base, rng):
    """Replace the files in `folder` by those that a power loss leaves.

    The process that uses the folder must have ended.

    `journal`
        Path of the journal with the calls since the previous power loss, or since
        the first start; it is removed.
    `base`
        Folder with a copy of the files that the previous power loss left; it gets
        a copy of those that this one leaves.
    """
    folder, base = Path(folder), Path(base)
    saved = read_folder(base)
    start = {str(folder / Path(path).name): data for path, data in saved.items()}
    model = PowerModel(start)
    for call in read_journal(journal):
        model.take(call)
    left = model.files_after_loss(rng)
    write_folder(folder, left)
    write_folder(base, {str(base / Path(path).name): left[path] for path in left})
    Path(journal).unlink(missing_ok=True)
