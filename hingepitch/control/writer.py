"""
hingepitch.control.writer
~~~~~~~~~~~~~~~~~~~~~~~~~

Writes votes and entries to the data folder in order; writes a leader's entries
in the background.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

from gevent.event import Event
from gevent.lock import BoundedSemaphore

from hingepitch.control.message import Durable
from hingepitch.error import HingepitchError

__all__ = ["LogWriter"]


class LogWriter:
    """Serializes the writes to one data folder.

    A leader writes its entries while the followers write them. If it waited for
    its own disk before sending, each change would wait for two disks in a row, and
    a slow disk would block the leader. One such disk stalled all VM moves for
    1.3 s, until the other replicas elected another leader.

    `storage`
        The `Storage` of the data folder.
    `put`
        Function that queues an event for the consensus core.
    `waiting`
        Entries of the leader that are not written yet.
    `lock`
        Held during a write.
    `fault`
        Error of a failed write, after which nothing is written, or None.
    """

    def __init__(self, storage, put):
        self.storage = storage
        self.put = put
        self.waiting = []
        self.entries_queued = Event()
        self.lock = BoundedSemaphore(1)
        self.fault = None

    @property
    def is_behind(self):
        """Whether entries of the leader are queued or a write is in progress."""
        return bool(self.waiting) or self.lock.locked()

    def reset(self, storage):
        """Write to `storage` from now on; drop queued entries and the error."""
        self.storage = storage
        self.waiting = []
        self.fault = None

    def write_later(self, entries):
        """Queue entries of the leader for `wait_and_write`."""
        self.waiting += entries
        self.entries_queued.set()

    def write(self, vote=None, entries=()):
        """Make the queued entries, a vote (or None) and `entries` durable.

        Raises `HingepitchError` (`storage_failed`) if the write fails, and in
        each later call until `reset`: no entry may be written after a gap.
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
                # After any other error the entries are missing on disk, too.
                self.fault = HingepitchError("storage_failed", repr(error))
                raise self.fault from error
            if ahead:
                self.put(Durable(ahead[-1].index, ahead[-1].term))

    def check(self):
        """Raise the error of an earlier failed write, if there was one."""
        if self.fault is not None:
            raise self.fault

    def wait_and_write(self):
        """Wait until entries of the leader are queued, then write them."""
        self.entries_queued.wait()
        self.entries_queued.clear()
        self.write()
