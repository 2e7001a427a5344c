"""
hingepitch.exitlimit
~~~~~~~~~~~~~~~~~~~~

A limit for the time that a stopping process takes to end.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

import os
from select import POLLOUT

from gevent import monkey

from hingepitch.logsink import write_nonblocking
from hingepitch.patch import unpatched_poll

__all__ = ["end_process_after"]

STANDARD_ERROR = 2


def end_process_after(seconds, exit_code, end=os._exit):
    """End the process in `seconds`, even if the event loop is blocked by then.

    Uses a native thread: a greenlet would not run while another one blocks.

    `end`
        Function that ends the process with an exit code.
    """
    sleep = monkey.get_original("time", "sleep")

    def wait_and_end():
        sleep(seconds)
        report(f"event=exit_forced after_seconds={seconds:g}\n".encode())
        end(exit_code)

    monkey.get_original("_thread", "start_new_thread")(wait_and_end, ())


def report(line):
    """Write a line to standard error if that does not block.

    The log belongs to the event loop, which may be blocked.
    """
    poll = unpatched_poll()
    poll.register(STANDARD_ERROR, POLLOUT)
    if poll.poll(0):
        write_nonblocking(STANDARD_ERROR, line)
