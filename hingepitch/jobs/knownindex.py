"""
hingepitch.jobs.knownindex
~~~~~~~~~~~~~~~~~~~~~~~~~~

The log index that an entry knew before a call arrived. It tells the control group how
old the call may be, however long it has waited in a socket, a process or a retry.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

from collections import deque
from typing import NamedTuple

import gevent
import msgspec
from gevent.event import Event

from hingepitch.clock import lease_seconds
from hingepitch.error import HingepitchError
from hingepitch.jobs.client import is_unread
from hingepitch.jobs.question import AskLogIndex, encode
from hingepitch.log import log_event

__all__ = ["KnownIndex"]

#: Interval between two requests for the log index, in seconds; and while none is known.
REFRESH_SECONDS = 5.0
RETRY_SECONDS = 0.25

#: How long a call may wait unread in a socket of a running entry, in seconds. After a
#: freeze of the entry, calls from before it are still unread when the entry learns a
#: later index.
MAX_UNREAD_SECONDS = 30.0

#: Retry delay given to a caller while no index is known, in milliseconds.
RETRY_AFTER_MS = 1000


class IndexSample(NamedTuple):
    """A log index, and when it became known on the clock `lease_seconds`."""

    at: float
    index: int


class KnownIndex:
    """Keeps the log indices that a process has learned.

    `group`
        Client of the control group.
    `samples`
        The `IndexSample`s, oldest first. The first is old enough for any call, except
        right after the start of the process.
    `is_settled`
        Set once a replica has answered, also if its version does not know the request.
    """

    def __init__(self, group):
        self.group = group
        self.samples = deque()
        self.is_settled = Event()

    def run(self):
        """Refresh the index until killed."""
        while True:
            self.refresh()
            is_known = self.is_settled.is_set()
            gevent.sleep(REFRESH_SECONDS if is_known else RETRY_SECONDS)

    def refresh(self):
        """Ask a replica for its log index; any may answer, as an old one is safe."""
        try:
            answer = self.group.call_once("ask", encode(AskLogIndex()))
            index = msgspec.msgpack.decode(answer, type=int)
        except HingepitchError as error:
            if is_unread(error):
                self.is_settled.set()
                return
            log_event("log_index_unknown", error=error.code)
            return
        self.note(index, lease_seconds())
        self.is_settled.set()

    def note(self, index, now):
        """Note an index that became known at `now`; drop the samples it outdates."""
        self.samples.append(IndexSample(now, index))
        while len(self.samples) > 1 and self.samples[1].at <= now - MAX_UNREAD_SECONDS:
            self.samples.popleft()

    def before_call(self, now):
        """Return the index that was known before a call that is read at `now`.

        None if no replica knows the request.
        """
        index = None
        for sample in self.samples:
            if index is not None and sample.at > now - MAX_UNREAD_SECONDS:
                break
            index = sample.index
        return index

    def wait(self, seconds):
        """Wait until an index is known; raise `no_leader` if it takes too long."""
        if not self.is_settled.wait(max(0.0, seconds)):
            raise HingepitchError("no_leader", "", RETRY_AFTER_MS)
