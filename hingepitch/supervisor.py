"""
hingepitch.supervisor
~~~~~~~~~~~~~~~~~~~~~

A tree of greenlets: a child that dies is restarted with back-off.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

from dataclasses import dataclass

import gevent

from hingepitch.clock import lease_seconds
from hingepitch.error import HingepitchError
from hingepitch.log import log_event

__all__ = ["Supervisor"]

FIRST_BACKOFF_SECONDS = 0.05
LONGEST_BACKOFF_SECONDS = 2.0


@dataclass(slots=True)
class Child:
    """One supervised function."""

    name: str
    run: object
    failures: int = 0


class Supervisor:
    """Runs functions as greenlets and restarts the ones that fail.

    `max_failures`
        Failures of one child within `window_seconds` before the whole
        process stops. Default: 8.
    `window_seconds`
        A child that lived longer than this starts anew with no failures.
        Default: 30.
    """

    def __init__(self, give_up, max_failures=8, window_seconds=30):
        self.give_up = give_up
        self.max_failures = max_failures
        self.window_seconds = window_seconds
        self.greenlet_by_name = {}

    def start(self, name, run):
        """Run `run()` under the name `name` until `stop`."""
        child = Child(name, run)
        self.greenlet_by_name[name] = gevent.spawn(self.keep_running, child)

    def keep_running(self, child):
        """Run `child` until it returns by itself or fails too often."""
        while True:
            started = lease_seconds()
            try:
                child.run()
                return
            except gevent.GreenletExit:
                return
            except Exception as error:
                if lease_seconds() - started > self.window_seconds:
                    child.failures = 0
                self.note_failure(child, error)
            gevent.sleep(self.backoff_seconds(child))

    def note_failure(self, child, error):
        """Log a failure; stop the process when there were too many."""
        child.failures += 1
        log_event(
            "child_failed", child=child.name, failures=child.failures, error=repr(error)
        )
        broken = isinstance(error, HingepitchError) and error.code in (
            "broken_invariant",
            "storage_damaged",
        )
        if broken or child.failures >= self.max_failures:
            log_event("child_gave_up", child=child.name)
            self.give_up(broken)
            raise gevent.GreenletExit

    def backoff_seconds(self, child):
        """Return the pause before the next start of `child`."""
        doubled = FIRST_BACKOFF_SECONDS * 2 ** (child.failures - 1)
        return min(doubled, LONGEST_BACKOFF_SECONDS)

    def stop(self):
        """Kill every child and wait for it."""
        gevent.killall(list(self.greenlet_by_name.values()), timeout=5)
        self.greenlet_by_name.clear()
