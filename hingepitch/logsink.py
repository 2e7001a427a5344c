"""
hingepitch.logsink
~~~~~~~~~~~~~~~~~~

Where log lines go: a stream that is never waited for, and a limit on how
many lines of one event are written in a second.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

import os
from collections import Counter, deque
from select import POLLOUT

import gevent

from hingepitch.clock import lease_seconds
from hingepitch.patch import unpatched_poll

__all__ = ["EventLimit", "LineBuffer"]

#: Lines that the stream has not taken are kept up to this size, in bytes, about a
#: second of lines under full load; later ones are dropped and counted.
MAX_BUFFERED_BYTES = 262_144

#: Bytes in one write: a pipe that is writable takes as many without blocking
#: (PIPE_BUF).
WRITE_BYTES = 4096

#: Time between two writes, in seconds: lines of that time go out together.
FLUSH_SECONDS = 0.05

#: Longest time for the rest of the lines when a program ends, in seconds, and how
#: long one write of it is waited for, in milliseconds.
CLOSE_SECONDS = 0.2
CLOSE_POLL_MS = 20

#: Lines of one event in a second; beyond, they are only counted.
LINES_PER_SECOND = 500


class EventLimit:
    """Bounds the lines of each event in each second.

    `clock`
        Function: seconds on a steady clock.
    """

    def __init__(self, clock=lease_seconds, lines_per_second=LINES_PER_SECOND):
        self.clock = clock
        self.lines_per_second = lines_per_second
        self.second = 0
        self.count_by_event = Counter()

    def admits(self, event):
        """Whether a line of `event` may be written now; count it."""
        self.count_by_event[event] += 1
        return self.count_by_event[event] <= self.lines_per_second

    def turn(self):
        """Return the lines withheld, by event, of a second that is over."""
        second = int(self.clock())
        if second == self.second:
            return {}
        self.second = second
        counts, self.count_by_event = self.count_by_event, Counter()
        return {
            event: count - self.lines_per_second
            for event, count in counts.items()
            if count > self.lines_per_second
        }


class LineBuffer:
    """Keeps lines until the stream takes them without waiting.

    `write` and `flush` let no other greenlet run: whoever logs may be in the
    middle of one step.

    `stream`
        An open file with a descriptor.
    `note_drops`
        Function: called with the number of lines that were dropped.
    """

    def __init__(self, stream, note_drops, max_bytes=MAX_BUFFERED_BYTES):
        self.fd = stream.fileno()
        self.note_drops = note_drops
        self.max_bytes = max_bytes
        self.lines = deque()
        self.size = 0
        self.dropped = 0
        self.poll = unpatched_poll()
        self.poll.register(self.fd, POLLOUT)

    def write(self, line):
        """Keep a line, or drop it where too many wait."""
        data = line.encode()
        if self.size + len(data) > self.max_bytes:
            self.dropped += 1
            return
        self.lines.append(data)
        self.size += len(data)

    def flush(self):
        """Write what the stream takes at once."""
        while self.lines and self.poll.poll(0):
            self.write_some()
        if self.dropped and not self.lines:
            dropped, self.dropped = self.dropped, 0
            self.note_drops(dropped)

    def write_some(self):
        """Write as many lines as go into one write."""
        chunk = bytearray()
        while self.lines and (not chunk or self.fits(chunk)):
            chunk += self.lines.popleft()
        self.size -= len(chunk)
        written = write_at_once(self.fd, bytes(chunk[:WRITE_BYTES]))
        rest = bytes(chunk[written:])
        if rest:
            self.lines.appendleft(rest)
            self.size += len(rest)

    def fits(self, chunk):
        """Whether the next line fits into the same write."""
        return len(chunk) + len(self.lines[0]) <= WRITE_BYTES

    def keep_flushing(self):
        """Flush again and again, until killed."""
        while True:
            gevent.sleep(FLUSH_SECONDS)
            self.flush()

    def close(self, seconds=CLOSE_SECONDS):
        """Write the rest, as far as the stream takes it in time."""
        until = lease_seconds() + seconds
        while self.lines and lease_seconds() < until:
            if self.poll.poll(CLOSE_POLL_MS):
                self.write_some()
        self.flush()


def write_at_once(fd, data):
    """Write to a descriptor that is writable; return how many bytes it took.

    A reader that has gone leaves nobody to tell: the lines are given up.
    """
    try:
        return os.write(fd, data)
    except BlockingIOError:
        return 0
    except OSError:
        return len(data)
