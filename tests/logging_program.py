"""A patched program that logs beside busy greenlets; prints what gave way.

usage: python -m tests.logging_program READER
"""

import os
import sys

from hingepitch.patch import patch_program

patch_program()

import gevent
import greenlet
from gevent.os import make_nonblocking, nb_read

from hingepitch.app import run_logged
from hingepitch.log import log_event
from hingepitch.logsink import MAX_KEPT_BYTES

LINES = 600

#: More than a pipe and the buffer take, in characters.
LONG = "x" * (2 * MAX_KEPT_BYTES // LINES)

#: Bytes of one read of a slow reader, and its pause in seconds.
SLOW_READ_BYTES = 512
SLOW_PAUSE_SECONDS = 0.01


class SwitchCount:
    """Counts the switches between greenlets while it is entered."""

    def __enter__(self):
        self.count = 0
        greenlet.settrace(self.note)
        return self

    def note(self, event, greenlets):
        self.count += event == "switch"

    def __exit__(self, *error):
        greenlet.settrace(None)


class LoggingProgram:
    """Logs many lines while another greenlet is always ready."""

    program = "logging"

    class settings:
        log_level = "INFO"

    def __init__(self):
        self.turns = 0
        self.switches = 0

    def be_busy(self):
        while True:
            self.turns += 1
            gevent.sleep(0)

    def run(self):
        other = gevent.spawn(self.be_busy)
        gevent.sleep(0.01)
        for number in range(LINES):
            with SwitchCount() as switches:
                log_event("started", number=number, detail=LONG)
            self.switches += switches.count
            gevent.sleep(0)
        other.kill()


class FailingProgram(LoggingProgram):
    """Has many greenlets whose errors nobody catches."""

    def run(self):
        for _ in range(LINES):
            gevent.spawn(self.fail)
        gevent.sleep(0.1)

    def fail(self):
        raise ValueError(LONG)


def read_slowly(source):
    """Read less than what is written, until the writer is gone."""
    while nb_read(source, SLOW_READ_BYTES):
        gevent.sleep(SLOW_PAUSE_SECONDS)


def read_all(source):
    """Read all that comes, as it comes."""
    while nb_read(source, MAX_KEPT_BYTES):
        pass


READERS = {"quick": read_all, "slow": read_slowly, "full": None, "gone": None}


def main(reader):
    """Run the program with a reader of its log of one kind."""
    if reader == "errors":
        run_logged(FailingProgram(), sys.stderr)
        return
    source, sink = os.pipe()
    read = READERS[reader]
    if read is not None:
        make_nonblocking(source)
        gevent.spawn(read, source)
    if reader == "gone":
        os.close(source)
    program = LoggingProgram()
    with os.fdopen(sink, "wb", buffering=0) as stream:
        run_logged(program, stream)
    print(program.switches)


if __name__ == "__main__":
    main(sys.argv[1])
