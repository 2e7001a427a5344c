"""
hingepitch.durable
~~~~~~~~~~~~~~~~~~

Files that are whole after a loss of power, or as they were before.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

import os

import gevent

__all__ = ["run_off_loop", "sync_folder", "write_whole"]


def sync_folder(path):
    """Make the names in the folder `path` durable."""
    descriptor = os.open(path, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def write_whole(path, data):
    """Write `data` to `path` so that it is there whole or not at all."""
    temporary = path.with_name("." + path.name)
    with open(temporary, "wb") as file:
        file.write(data)
        file.flush()
        os.fsync(file.fileno())
    os.rename(temporary, path)
    sync_folder(path.parent)


def run_off_loop(function, *arguments):
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
