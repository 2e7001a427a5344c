"""
hingepitch.control.writer
~~~~~~~~~~~~~~~~~~~~~~~~~

Writes votes and entries to the data folder in their order; those of a
leader beside its other work.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

from gevent.event import Event
from gevent.lock import BoundedSemaphore

from hingepitch.control.message import Durable
from hingepitch.error import HingepitchError

__all__ = ["LogWriter"]


class LogWriter:
    """The order of writes to one data folder.

    A leader that waits for its own disk before it sends makes each change
    wait for two disks in a row, and stands still while its disk is slow: on
    a day with a slow disk no VM was moved for 1.3 s, until the others chose
    another leader. So its entries are written while the others write them.

    `storage`
        The data folder.
    `put`
        Function that queues an event for the core.
    `waiting`
        Entries of the leader that are not written yet.
    `lock`
        Held while something is written.
    `fault`
        The error after which nothing more is written, or None.
    """

    def __init__(self, storage, put):
        self.storage = storage
        self.put = put
        self.waiting = []
        self.arrived = Event()
        self.lock = BoundedSemaphore(1)
        self.fault = None

    @property
    def is_behind(self):
        """Whether entries of the leader are waiting, or being written."""
        return bool(self.waiting) or self.lock.locked()

    def reset(self, storage):
        """Write to a folder that was opened anew; what waited is dropped."""
        self.storage = storage
        self.waiting = []
        self.fault = None

    def write_later(self, entries):
        """Write entries of the leader as soon as the disk is free."""
        self.waiting += entries
        self.arrived.set()

    def write(self, vote=None, entries=()):
        """Make all that waits, a vote (or None) and `entries` durable.

        Raises `HingepitchError` (`storage_failed`), then and ever after: an
        entry must not be written behind one that is missing.
        """
        with self.lock:
            self.check()
            ahead, self.waiting = self.waiting, []
            if vote is None and not ahead and not entries:
                return
            try:
                self.storage.write(vote, [*ahead, *entries])
            except HingepitchError as error:
                self.fault = error
                raise
            except Exception as error:
                # Whatever kept it from the disk, it is missing there.
                self.fault = HingepitchError("storage_failed", repr(error))
                raise self.fault from error
            if ahead:
                self.put(Durable(ahead[-1].index, ahead[-1].term))

    def check(self):
        """Raise the error of an earlier write, if there was one."""
        if self.fault is not None:
            raise self.fault

    def wait_and_write(self):
        """Wait for entries of the leader, and write them."""
        self.arrived.wait()
        self.arrived.clear()
        self.write()
