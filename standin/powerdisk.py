"""
standin.powerdisk
~~~~~~~~~~~~~~~~~

A disk that loses power: it keeps what a sync covered, and of the rest what
chance leaves. It also refuses calls, half-way or as a whole.

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
    "NotingDisk",
    "PowerDisk",
    "PowerModel",
    "Refusal",
    "lose_power",
]

#: Unit in which a torn write comes apart, in bytes. Source: the page of the
#: system's file cache.
BLOCK_BYTES = 4096

#: Share of the losses that take every write, or every change of a name, that no
#: sync covers. Source: often enough for each kind in a few tens of losses.
TAKES_ALL_SHARE = 0.25

#: What a loss may leave of one write: nothing of it, its begin, whole blocks,
#: pieces cut anywhere, or its length only.
FATES = ("present", "absent", "cut", "blocks", "pieces", "length")

#: Calls that change the disk, and so may be refused.
CALL_NAMES = ("create", "write", "truncate", "sync", "rename", "remove", "sync_folder")

#: Calls that a full disk refuses.
GROWING_NAMES = ("create", "write")


class Call(msgspec.Struct, array_like=True):
    """One call that changes the disk.

    `name`
        create, write, truncate, sync, rename, remove or sync_folder.
    `path`
        Path of the file or folder.
    `offset`
        Of a write: where it begins; of a truncation: the new size; of a
        creation: the size that was found, or -1 if there was no file.
    `data`
        Of a write.
    `other`
        Of a rename: the new path.
    """

    name: str
    path: str
    offset: int = 0
    data: bytes = b""
    other: str = ""


@dataclass(eq=False, slots=True)
class Content:
    """What a file holds, whatever its name.

    `durable`
        What the last sync covered.
    `pending`
        The writes and truncations since.
    """

    durable: bytearray = field(default_factory=bytearray)
    pending: list[Call] = field(default_factory=list)

    def sync(self):
        """Make all that was written durable."""
        change(self.durable, self.pending)
        self.pending.clear()

    def size(self):
        """Return the size that the running system sees, in bytes."""
        size = len(self.durable)
        for call in self.pending:
            if call.name == "truncate":
                size = call.offset
            else:
                size = max(size, call.offset + len(call.data))
        return size

    def after_loss(self, rng):
        """Return what is left if each change is kept, taken or torn by chance."""
        data = self.durable.copy()
        change(data, left_of(self.pending, rng))
        return bytes(data)

    def forget_beyond(self, size):
        """Drop what was noted and not done: a kill came in between.

        `size`
            What the system found afterwards, in bytes.
        """
        while self.pending and self.size() > size:
            last = self.pending.pop()
            if last.name == "write" and last.offset < size:
                data = last.data[: size - last.offset]
                self.pending.append(Call("write", last.path, last.offset, data))


def change(data, calls):
    """Carry writes and truncations out on the bytearray `data`."""
    for call in calls:
        end = call.offset + len(call.data)
        data += bytes(max(0, end - len(data)))
        if call.name == "truncate":
            del data[end:]
        else:
            data[call.offset : end] = call.data


class PowerModel:
    """What one data folder holds, now and after a loss of power.

    `content_by_path`
        The files as the running system sees them.
    `durable_by_path`
        The files by the names that would surely be there.
    `pending_names`
        New names, renames and removals that no sync covers, in their order:
        `(call, content)`.
    """

    def __init__(self, data_by_path=None):
        self.content_by_path = {
            path: Content(bytearray(data))
            for path, data in (data_by_path or {}).items()
        }
        self.durable_by_path = dict(self.content_by_path)
        self.pending_names = []

    def take(self, call):
        """Take note of a call."""
        getattr(self, f"take_{call.name}")(call)

    def take_create(self, call):
        """A file was opened, and made unless it was there."""
        if call.path in self.content_by_path:
            self.content_by_path[call.path].forget_beyond(call.offset)
            return
        content = self.content_by_path[call.path] = Content()
        self.pending_names.append((call, content))

    def take_write(self, call):
        """Data was written that no sync covers yet."""
        self.content_by_path[call.path].pending.append(call)

    take_truncate = take_write

    def take_sync(self, call):
        """What a file holds is durable; its name, if it is new, is not yet.

        Some disks keep the name with the file; a folder that holds on all of
        them syncs its names too.
        """
        content = self.content_by_path[call.path]
        content.sync()

    def take_rename(self, call):
        """A file has another name until a loss of power, and perhaps after."""
        content = self.content_by_path.pop(call.path, None)
        if content is None:
            return
        self.content_by_path[call.other] = content
        self.pending_names.append((call, content))

    def take_remove(self, call):
        """A file is gone until a loss of power, and perhaps after."""
        content = self.content_by_path.pop(call.path, None)
        if content is not None:
            self.pending_names.append((call, content))

    def take_sync_folder(self, call):
        """The names in a folder are durable."""
        folder = call.path
        for one in list(self.pending_names):
            if os.path.dirname(one[0].path) == folder:
                self.pending_names.remove(one)
                self.keep_name(self.durable_by_path, *one)

    def keep_name(self, names, call, content):
        """Carry a change of a name out on `names`."""
        if call.name == "create":
            names[call.path] = content
            return
        if names.get(call.path) is content:
            del names[call.path]
        if call.name == "rename":
            names[call.other] = content

    def lose(self, rng):
        """Return the files after a loss of power: data by path.

        Some losses take all writes that no sync covers, some all changes of
        names; otherwise each is kept, taken or, a write, torn on its own.
        """
        takes_names = rng.random() < TAKES_ALL_SHARE
        takes_writes = rng.random() < TAKES_ALL_SHARE
        names = dict(self.durable_by_path)
        for call, content in self.pending_names:
            if not takes_names and rng.random() < 0.5:
                self.keep_name(names, call, content)
        return {
            path: bytes(content.durable) if takes_writes else content.after_loss(rng)
            for path, content in names.items()
        }


def left_of(calls, rng):
    """Yield what a loss of power leaves of writes that no sync covers."""
    for call in calls:
        fate = rng.choice(FATES)
        if fate == "absent":
            continue
        if call.name == "truncate" or fate == "present":
            yield call
        elif fate == "length":
            yield part_of(call, 0, len(call.data), bytes(len(call.data)))
        else:
            yield from parts_of(call, fate, rng)


def part_of(call, start, end, data=None):
    """Return the bytes from `start` to `end` of a write, as a write."""
    data = call.data[start:end] if data is None else data
    return Call("write", call.path, call.offset + start, data)


def parts_of(call, fate, rng):
    """Yield some parts of a write that was torn, as writes of their own."""
    size = len(call.data)
    if fate == "cut":
        yield part_of(call, 0, rng.randrange(size + 1))
        return
    if fate == "blocks":
        edges = block_edges(call)
    else:
        edges = sorted([0, rng.randrange(size + 1), rng.randrange(size + 1), size])
    for start, end in pairwise(edges):
        if rng.random() < 0.5:
            yield part_of(call, start, end)


def block_edges(call):
    """Return where the blocks of the file begin and end within a write."""
    size = len(call.data)
    first = BLOCK_BYTES - call.offset % BLOCK_BYTES
    return [0, *range(first, size, BLOCK_BYTES), size]


class NotingFile(DiskFile):
    """A file whose calls are noted."""

    def __init__(self, path, note):
        self.note = note
        size = os.stat(path).st_size if os.path.exists(path) else -1
        note(Call("create", str(path), size))
        super().__init__(path)

    def write(self, data):
        """Append `data`; what is noted but not done would come again."""
        self.note(Call("write", str(self.path), self.size, bytes(data)))
        return super().write(data)

    def truncate(self, size):
        """Cut the file."""
        self.note(Call("truncate", str(self.path), size))
        super().truncate(size)

    def sync(self):
        """Sync the file; noted only once it has returned."""
        super().sync()
        self.note(Call("sync", str(self.path)))


class NotingDisk(Disk):
    """The file system, with each call that changes it passed to `note`."""

    def __init__(self, note):
        self.note = note

    def open(self, path):
        """Return the file at `path`."""
        return NotingFile(path, self.note)

    def rename(self, old, new):
        """Rename a file."""
        self.note(Call("rename", str(old), other=str(new)))
        super().rename(old, new)

    def remove(self, path):
        """Remove a file."""
        self.note(Call("remove", str(path)))
        super().remove(path)

    def sync_folder(self, path):
        """Sync a folder; noted only once it has returned."""
        super().sync_folder(path)
        self.note(Call("sync_folder", str(path)))


class PowerFile(NotingFile):
    """A file on a `PowerDisk`."""

    def __init__(self, path, disk):
        self.disk = disk
        disk.check("create")
        super().__init__(path, disk.take)

    def write(self, data):
        """Append `data`, or a part of it if the call is refused half-way."""
        try:
            self.disk.check("write")
        except OSError:
            part = bytes(data)[: int(len(data) * self.disk.refusal.part)]
            if part:
                super().write(part)
            raise
        return super().write(data)

    def truncate(self, size):
        """Cut the file."""
        self.disk.check("truncate")
        super().truncate(size)

    def sync(self):
        """Count what was written as synced; the true disk need not be waited for."""
        self.disk.check("sync")
        self.note(Call("sync", str(self.path)))


@dataclass(slots=True)
class Refusal:
    """Calls that a disk refuses.

    `after`
        So many of the calls named go well before that.
    `count`
        So many are refused then; None: all of them.
    `names`
        Names of calls.
    `part`
        Part of a write that is done before it is refused, from 0 to 1.
    """

    after: int = 0
    count: int | None = 1
    names: tuple[str, ...] = CALL_NAMES
    part: float = 0.0


class PowerDisk(NotingDisk):
    """A disk within one process that can lose power, and refuse calls.

    `folder`
        The data folder; what is in it now counts as synced.
    `calls`
        The calls so far that changed the disk.
    """

    def __init__(self, folder):
        self.folder = Path(folder)
        self.restore(read_folder(self.folder))
        super().__init__(self.take)

    def restore(self, data_by_path):
        """Begin anew with these files, all synced, and with power."""
        self.model = PowerModel(data_by_path)
        self.calls = 0
        self.calls_left = None
        self.refusal = None

    @property
    def has_power(self):
        """Whether the power is there."""
        return self.calls_left is None or self.calls_left > 0

    # Calls.

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
        """Count the names in a folder as synced."""
        self.check("sync_folder")
        self.note(Call("sync_folder", str(path)))

    def check(self, name):
        """Raise `OSError` if a call is refused; nothing of it is done."""
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
        """Take note of a call; raise `OSError` once the power is lost.

        The last call before that is under way: nobody hears how it went.
        """
        self.calls += 1
        if self.calls_left is None:
            self.model.take(call)
            return
        self.calls_left -= 1
        is_sync = call.name in ("sync", "sync_folder")
        if self.calls_left > 0 or (self.calls_left == 0 and not is_sync):
            self.model.take(call)
        if self.calls_left <= 0:
            raise OSError(errno.EIO, "the power is lost")

    def clear(self):
        """Empty the folder."""
        write_folder(self.folder, {})
        self.restore({})

    # Troubles.

    def refuse(self, refusal):
        """Refuse calls from now on, as a `Refusal` says; None: no more."""
        self.refusal = refusal

    def lose_power_after(self, calls):
        """Have the power lost in the call after so many more; None: not at all."""
        self.calls_left = None if calls is None else calls + 1

    def lose_power(self, rng):
        """Leave in the folder what a loss of power leaves."""
        left = self.model.lose(rng)
        write_folder(self.folder, left)
        self.restore(left)


class JournalDisk(NotingDisk):
    """The disk of a process of its own: its calls are written to a journal.

    `journal`
        Path of the journal, outside the data folder; it survives a kill.
    """

    def __init__(self, journal):
        flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND | os.O_CLOEXEC
        self.descriptor = os.open(journal, flags, 0o644)
        super().__init__(self.write_down)

    def write_down(self, call):
        """Append a call to the journal."""
        body = msgspec.msgpack.encode(call)
        os.write(self.descriptor, len(body).to_bytes(4, "big") + body)


def read_journal(journal):
    """Yield the calls of a journal."""
    data = Path(journal).read_bytes() if Path(journal).exists() else b""
    at = 0
    while at + 4 <= len(data):
        end = at + 4 + int.from_bytes(data[at : at + 4], "big")
        if end > len(data):
            return  # Its process was killed in the midst: the call was not made.
        yield msgspec.msgpack.decode(data[at + 4 : end], type=Call)
        at = end


def read_folder(folder):
    """Return the files of a folder: data by path."""
    if not Path(folder).exists():
        return {}
    files = (path for path in Path(folder).iterdir() if path.is_file())
    return {str(path): path.read_bytes() for path in files}


def write_folder(folder, data_by_path):
    """Make a folder hold just these files."""
    Path(folder).mkdir(parents=True, exist_ok=True)
    for path in Path(folder).iterdir():
        if path.is_file():
            path.unlink()
    for path, data in data_by_path.items():
        Path(path).write_bytes(data)


def lose_power(folder, journal, base, rng):
    """Leave in `folder` what a loss of power leaves; its process must be dead.

    `journal`
        The calls since the last loss of power, or since the first start.
    `base`
        Folder that keeps the files as that loss left them.
    """
    folder, base = Path(folder), Path(base)
    kept = read_folder(base)
    start = {str(folder / Path(path).name): data for path, data in kept.items()}
    model = PowerModel(start)
    for call in read_journal(journal):
        model.take(call)
    left = model.lose(rng)
    write_folder(folder, left)
    write_folder(base, {str(base / Path(path).name): left[path] for path in left})
    Path(journal).unlink(missing_ok=True)
