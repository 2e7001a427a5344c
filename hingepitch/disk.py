"""
hingepitch.disk
~~~~~~~~~~~~~~~

File system operations that write to a data folder.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

import os
import stat

from hingepitch.log import log_event

__all__ = ["Disk", "DiskFile", "make_private_folder", "open_private"]

#: Files and folders are for this process alone: configurations are kept as they were
#: sent, with the keys of client accounts.
FILE_MODE = 0o600
FOLDER_MODE = 0o700


def make_private_folder(path):
    """Create the folder `path`, or take the permissions of others from it.

    Some file systems have no permissions, so a failure to change them is logged.
    """
    path.mkdir(mode=FOLDER_MODE, parents=True, exist_ok=True)
    mode = stat.S_IMODE(path.stat().st_mode)
    if not mode & ~FOLDER_MODE:
        return
    try:
        path.chmod(mode & FOLDER_MODE)
    except OSError as error:
        log_event("folder_not_private", folder=path, mode=f"{mode:o}", error=error)


def open_private(path, flags):
    """Open a file that only this process may read; an `opener` for `open`."""
    return os.open(path, flags, FILE_MODE)


class DiskFile:
    """An append-only file.

    Each `write` is one system call. Until the next `sync`, a power loss may
    keep, tear or drop each write, independently of earlier ones.

    `path`
        Path of the file; created if it does not exist.
    `size`
        Current size in bytes.
    """

    def __init__(self, path):
        flags = os.O_RDWR | os.O_CREAT | os.O_APPEND | os.O_CLOEXEC
        self.path = path
        self.descriptor = open_private(path, flags)
        self.size = os.fstat(self.descriptor).st_size

    def write(self, data):
        """Append `data`; return the number of bytes written."""
        count = os.write(self.descriptor, data)
        self.size += count
        return count

    def write_all(self, data):
        """Append all of `data`."""
        view = memoryview(data)
        while view:
            view = view[self.write(view) :]

    def sync(self):
        """Make all writes durable."""
        os.fdatasync(self.descriptor)

    def truncate(self, size):
        """Truncate the file to `size` bytes; durable after the next sync."""
        os.ftruncate(self.descriptor, size)
        self.size = size

    def close(self):
        """Close the file; writes without a sync may still be lost."""
        os.close(self.descriptor)


class Disk:
    """File system operations that a data folder needs.

    Tests replace it by a stub that simulates the loss of unsynced writes.
    Methods raise `OSError`.
    """

    def open(self, path):
        """Return the `DiskFile` at `path`, created if it does not exist."""
        return DiskFile(path)

    def rename(self, old, new):
        """Rename a file; durable once the folder is synced."""
        os.rename(old, new)

    def remove(self, path):
        """Remove a file; durable once the folder is synced."""
        os.unlink(path)

    def sync_folder(self, path):
        """Make the directory entries of the folder `path` durable."""
        descriptor = os.open(path, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)
