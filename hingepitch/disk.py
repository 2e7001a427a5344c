"""
hingepitch.disk
~~~~~~~~~~~~~~~

The calls of the file system that write to a data folder, in one place.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

import os

__all__ = ["Disk", "DiskFile"]

FILE_MODE = 0o644


class DiskFile:
    """A file that grows at its end.

    Each `write` is one call of the system: until the next `sync` a loss of
    power may leave it, tear it or take it, whatever became of those before.

    `path`
        Path of the file; made if it does not exist.
    `size`
        Its present size, in bytes.
    """

    def __init__(self, path):
        flags = os.O_RDWR | os.O_CREAT | os.O_APPEND | os.O_CLOEXEC
        self.path = path
        self.descriptor = os.open(path, flags, FILE_MODE)
        self.size = os.fstat(self.descriptor).st_size

    def write(self, data):
        """Append `data`; return how many of its bytes were taken."""
        count = os.write(self.descriptor, data)
        self.size += count
        return count

    def write_all(self, data):
        """Append all of `data`."""
        view = memoryview(data)
        while view:
            view = view[self.write(view) :]

    def sync(self):
        """Make what was written durable."""
        os.fdatasync(self.descriptor)

    def truncate(self, size):
        """Cut the file to `size` bytes; durable with the next sync."""
        os.ftruncate(self.descriptor, size)
        self.size = size

    def close(self):
        """Close the file; what was not synced may still be lost."""
        os.close(self.descriptor)


class Disk:
    """The file system, as far as a data folder needs it.

    A stand-in with the same calls keeps no more than what a sync covers.
    Errors are those of the system (`OSError`).
    """

    def open(self, path):
        """Return the `DiskFile` at `path`, made if it does not exist."""
        return DiskFile(path)

    def rename(self, old, new):
        """Rename a file; durable once the folder is synced."""
        os.rename(old, new)

    def remove(self, path):
        """Remove a file; durable once the folder is synced."""
        os.unlink(path)

    def sync_folder(self, path):
        """Make the names in the folder `path` durable."""
        descriptor = os.open(path, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)
