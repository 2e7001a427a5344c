"""
hingepitch.durable
~~~~~~~~~~~~~~~~~~

Files that are whole after a loss of power, or as they were before.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

import gevent

__all__ = ["run_in_thread", "write_atomic"]


def write_atomic(disk, path, data):
    """Write `data` to `path` so that it is there whole or not at all."""
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
    """Run a blocking function in the thread pool; raise its OSError here."""
    error = gevent.get_hub().threadpool.apply(catch_os_error, (function, arguments))
    if error is not None:
        raise error


def catch_os_error(function, arguments):
    """Return the OSError of a call as a value: the pool would print it."""
    try:
        function(*arguments)
    except OSError as error:
        return error
    return None
