"""Program patched for gevent that runs one scenario beside a busy greenlet.

Prints how often the scenario switched to another greenlet.

usage: python -m tests.switch_program SCENARIO
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

LINE_COUNT = 600

#: Text of a line, in characters; all lines exceed a pipe and the buffer.
LONG_TEXT = "x" * (2 * MAX_BUFFERED_BYTES // LINE_COUNT)

#: Bytes per read of the slow reader, and its pause in seconds.
SLOW_READ_BYTES = 512
SLOW_PAUSE_SECONDS = 0.01


class SwitchCount:
    """Context manager that counts the switches between greenlets."""

    def __enter__(self):
        self.count = 0
        greenlet.settrace(self.count_switch)
        return self

    def count_switch(self, event, greenlets):
        self.count += event == "switch"

    def __exit__(self, *error):
        greenlet.settrace(None)


class LoggingProgram:
    """Logs many lines while another greenlet is always ready to run."""

    program = "logging"

    class settings:
        log_level = "INFO"

    def __init__(self):
        self.turns = 0
        self.switches = 0

    def start_busy_greenlet(self):
        """Start a greenlet that is always ready to run; return it once it has run."""
        other = gevent.spawn(self.run_busy_loop)
        while not self.turns:
            gevent.sleep(0)
        return other

    def run_busy_loop(self):
        while True:
            self.turns += 1
            gevent.sleep(0)

    def run(self):
        other = self.start_busy_greenlet()
        for number in range(LINE_COUNT):
            with SwitchCount() as switches:
                log_event("started", number=number, detail=LONG_TEXT)
            self.switches += switches.count
            gevent.sleep(0)
        other.kill()


class FailingProgram(LoggingProgram):
    """Starts many greenlets that fail with an uncaught error."""

    def run(self):
        gevent.joinall([gevent.spawn(self.fail) for _ in range(LINE_COUNT)])

    def fail(self):
        raise ValueError(LONG_TEXT)


def read_slowly(source):
    """Read more slowly than the writer writes, until it closes the pipe."""
    while nb_read(source, SLOW_READ_BYTES):
        gevent.sleep(SLOW_PAUSE_SECONDS)


def read_all(source):
    """Read everything at once, until the writer closes the pipe."""
    while nb_read(source, MAX_BUFFERED_BYTES):
        pass


def count_switches_during(function):
    """Return the number of greenlet switches during many calls of `function`."""
    other = LoggingProgram().start_busy_greenlet()
    with SwitchCount() as switches:
        for _ in range(LINE_COUNT):
            function()
    other.kill()
    return switches.count


def reuse_connection():
    """Acquire an idle connection and release it."""
    ours, _ = socket.socketpair()
    connections = MinionConnections(("127.0.0.1", 1))
    connections.release_connection(ours)
    return count_switches_during(
        lambda: connections.release_connection(connections.acquire_connection())
    )


def update_metrics():
    """Update a counter, a gauge and a histogram."""
    metrics = Metrics("switches")

    def update():
        metrics.count("orders", "Orders.", order="start")
        metrics.set("waiting", "Tasks.", 3)
        metrics.observe("seconds", "Time.", 0.5)

    return count_switches_during(update)


def log_with_reader(reader):
    """Log to a pipe with one kind of reader."""
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


def fail_uncaught():
    """Run the program whose greenlets fail."""
    run_logged(FailingProgram(), sys.stderr)
    return 0


READERS = {"quick": read_all, "slow": read_slowly, "full": None, "gone": None}

SCENARIOS = {
    "connection": reuse_connection,
    "metrics": update_metrics,
    "errors": fail_uncaught,
    **{reader: partial(log_with_reader, reader) for reader in READERS},
}

if __name__ == "__main__":
    print(SCENARIOS[sys.argv[1]]())
