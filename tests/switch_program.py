"""A patched program that does one thing beside busy greenlets.

Prints how often others ran within it.

usage: python -m tests.switch_program THING
"""

import os
import sys
from functools import partial

from hingepitch.patch import patch_program

patch_program()

import gevent
import greenlet
from gevent import socket
from gevent.os import make_nonblocking, nb_read

from hingepitch.app import run_logged
from hingepitch.exchange import MinionConnections
from hingepitch.log import log_event
from hingepitch.logsink import MAX_BUFFERED_BYTES
from hingepitch.metric import Metrics

LINES = 600

#: More than a pipe and the buffer take, in characters.
LONG = "x" * (2 * MAX_BUFFERED_BYTES // LINES)

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

    def start_busy(self):
        """Start the other greenlet; return it once it has run."""
        other = gevent.spawn(self.be_busy)
        while not self.turns:
            gevent.sleep(0)
        return other

    def be_busy(self):
        while True:
            self.turns += 1
            gevent.sleep(0)

    def run(self):
        other = self.start_busy()
        for number in range(LINES):
            with SwitchCount() as switches:
                log_event("started", number=number, detail=LONG)
            self.switches += switches.count
            gevent.sleep(0)
        other.kill()


class FailingProgram(LoggingProgram):
    """Has many greenlets whose errors nobody catches."""

    def run(self):
        gevent.joinall([gevent.spawn(self.fail) for _ in range(LINES)])

    def fail(self):
        raise ValueError(LONG)


def read_slowly(source):
    """Read less than what is written, until the writer is gone."""
    while nb_read(source, SLOW_READ_BYTES):
        gevent.sleep(SLOW_PAUSE_SECONDS)


def read_all(source):
    """Read all that comes, as it comes."""
    while nb_read(source, MAX_BUFFERED_BYTES):
        pass


def count_beside_others(function):
    """Return how often others ran while `function` was called, again and again."""
    other = LoggingProgram().start_busy()
    with SwitchCount() as switches:
        for _ in range(LINES):
            function()
    other.kill()
    return switches.count


def take_connection():
    """Take an idle connection, and give it back."""
    ours, _ = socket.socketpair()
    connections = MinionConnections(("127.0.0.1", 1))
    connections.give_back(ours)
    return count_beside_others(lambda: connections.give_back(connections.take()))


def note_metrics():
    """Count, set and time."""
    metrics = Metrics("switches")

    def note():
        metrics.count("orders", "Orders.", order="start")
        metrics.set("waiting", "Tasks.", 3)
        metrics.observe("seconds", "Time.", 0.5)

    return count_beside_others(note)


def log_beside(reader):
    """Log with a reader of one kind."""
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
    return program.switches


def fail_unseen():
    """Fail in many greenlets."""
    run_logged(FailingProgram(), sys.stderr)
    return 0


READERS = {"quick": read_all, "slow": read_slowly, "full": None, "gone": None}

THINGS = {
    "connection": take_connection,
    "metrics": note_metrics,
    "errors": fail_unseen,
    **{reader: partial(log_beside, reader) for reader in READERS},
}

if __name__ == "__main__":
    print(THINGS[sys.argv[1]]())
