"""
hingepitch.durable
~~~~~~~~~~~~~~~~~~

Atomic file writes that survive power loss, and blocking calls in threads.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

import gevent

__all__ = ["run_in_thread", "write_atomic"]


def write_atomic(disk, path, data):
    """Write `data` to `path` atomically and durably.

    After a power loss, the file has either its old or its new content.
    """
    temporary = path.with_name("." + path.name)
    file = disk.open(temporary)
    try:
        file.truncate(0)
        file.write_all(data)
        file.sync()
    finally:
        file.close()
    disk.rename(temporary, path)
    disk.sync_folder(path.parent)


def run_in_thread(function, *arguments):
    """Run a blocking function in gevent's thread pool; raise its OSError."""
    error = gevent.get_hub().threadpool.apply(catch_os_error, (function, arguments))
    if error is not None:
        raise error


def catch_os_error(function, arguments):
    """Return the OSError of a call; the thread pool prints one that is raised."""
    try:
        function(*arguments)
    except OSError as error:
        return error
    return None
