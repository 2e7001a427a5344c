"""
hingepitch.logsink
~~~~~~~~~~~~~~~~~~

Non-blocking output of log lines, and a rate limit for each event.

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

#: Limit of the buffered lines, in bytes: about one second of lines under full
#: load. Lines over it are dropped and counted.
MAX_BUFFERED_BYTES = 262_144

#: Bytes in one write: a writable pipe accepts this many (PIPE_BUF) without
#: blocking.
WRITE_BYTES = 4096

#: Interval between flushes, in seconds; lines of one interval are written together.
FLUSH_SECONDS = 0.05

#: Longest time to write the remaining lines when a program ends, in seconds, and
#: to wait until the stream is writable, in milliseconds.
CLOSE_SECONDS = 0.2
CLOSE_POLL_MS = 20

#: Limit of lines of one event in a second; further ones are only counted.
LINES_PER_SECOND = 500


class EventLimit:
    """Limits the number of lines of each event in each second.

    `clock`
        Function: seconds on a monotonic clock.
    `lines_per_second`
        Limit for each event.
    """

    def __init__(self, clock=lease_seconds, lines_per_second=LINES_PER_SECOND):
        self.clock = clock
        self.lines_per_second = lines_per_second
        self.second = 0
        self.count_by_event = Counter()

    def admits(self, event):
        """Count a line of `event`; return whether it may be written."""
        self.count_by_event[event] += 1
        return self.count_by_event[event] <= self.lines_per_second

    def pop_withheld(self):
        """Return the counts of withheld lines by event, once their second is over."""
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
    """Buffers lines until the stream accepts them without blocking.

    `write` and `flush` never switch to another greenlet, because their caller
    may rely on an uninterrupted step.

    `stream`
        An open file with a descriptor.
    `on_drop`
        Function: called with the number of dropped lines.
    `max_bytes`
        Limit of the buffered bytes.
    """

    def __init__(self, stream, on_drop, max_bytes=MAX_BUFFERED_BYTES):
        self.fd = stream.fileno()
        self.on_drop = on_drop
        self.max_bytes = max_bytes
        self.lines = deque()
        self.size = 0
        self.dropped = 0
        self.poll = unpatched_poll()
        self.poll.register(self.fd, POLLOUT)

    def write(self, line):
        """Buffer a line, or drop and count it if the buffer is full."""
        data = line.encode()
        if self.size + len(data) > self.max_bytes:
            self.dropped += 1
            return
        self.lines.append(data)
        self.size += len(data)

    def flush(self):
        """Write what the stream accepts without blocking, then report dropped lines."""
        while self.lines and self.poll.poll(0):
            self.write_chunk()
        if self.dropped and not self.lines:
            dropped, self.dropped = self.dropped, 0
            self.on_drop(dropped)

    def write_chunk(self):
        """Write up to `WRITE_BYTES` of the buffered lines."""
        chunk = bytearray()
        while self.lines and (not chunk or self.fits(chunk)):
            chunk += self.lines.popleft()
        self.size -= len(chunk)
        written = write_nonblocking(self.fd, bytes(chunk[:WRITE_BYTES]))
        rest = bytes(chunk[written:])
        if rest:
            self.lines.appendleft(rest)
            self.size += len(rest)

    def fits(self, chunk):
        """Whether the next line fits into the same write as `chunk`."""
        return len(chunk) + len(self.lines[0]) <= WRITE_BYTES

    def flush_forever(self):
        """Flush periodically until killed."""
        while True:
            gevent.sleep(FLUSH_SECONDS)
            self.flush()

    def close(self, seconds=CLOSE_SECONDS):
        """Write the remaining lines for up to `seconds`."""
        until = lease_seconds() + seconds
        while self.lines and lease_seconds() < until:
            if self.poll.poll(CLOSE_POLL_MS):
                self.write_chunk()
        self.flush()


def write_nonblocking(fd, data):
    """Write to a writable descriptor; return the number of bytes written.

    On an error, such as a closed pipe, the bytes count as written: they are
    discarded, because the error cannot be logged anywhere.
    """
    try:
        return os.write(fd, data)
    except BlockingIOError:
        return 0
    except OSError:
        return len(data)
