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
from hingepitch.log import log_event, source_location

__all__ = ["Supervisor"]

FIRST_BACKOFF_SECONDS = 0.05
LONGEST_BACKOFF_SECONDS = 2.0

#: Doublings of the pause that are reckoned with; more than it takes to get from
#: the first one to the longest.
MOST_DOUBLINGS = 16

#: Codes after which the process has to stop: it must not act on what it holds.
BROKEN_CODES = frozenset(("broken_invariant", "storage_damaged"))


@dataclass(slots=True)
class Child:
    """One supervised function.

    `started`
        When it was last started, on `lease_seconds`.
    """

    name: str
    run: object
    failures: int = 0
    started: float = 0.0


class Supervisor:
    """Runs functions as greenlets and restarts the ones that fail.

    A child fails by what others send, or by the disk, as often as they like. A
    process that ended for that would meet the same when it is started again,
    and its other children would be gone meanwhile: only an error of
    `BROKEN_CODES` ends it.

    `max_failures`
        Failures of one child within `window_seconds` before the whole
        process stops. Default: None, which is never.
    `window_seconds`
        A child that lived longer than this starts anew with no failures.
        Default: 30.
    """

    def __init__(self, give_up, max_failures=None, window_seconds=30):
        self.give_up = give_up
        self.max_failures = max_failures
        self.window_seconds = window_seconds
        self.greenlet_by_name = {}
        self.child_by_name = {}

    def start(self, name, run):
        """Run `run()` under the name `name` until `stop`."""
        child = self.child_by_name[name] = Child(name, run)
        self.greenlet_by_name[name] = gevent.spawn(self.keep_running, child)

    def keep_running(self, child):
        """Run `child` until it returns by itself or fails too often."""
        while True:
            child.started = lease_seconds()
            try:
                child.run()
                return
            except gevent.GreenletExit:
                return
            except Exception as error:
                if self.has_lived(child):
                    child.failures = 0
                self.note_failure(child, error)
            gevent.sleep(self.backoff_seconds(child))

    def has_lived(self, child):
        """Whether a child has run long enough for its failures to be over."""
        return lease_seconds() - child.started > self.window_seconds

    @property
    def failing(self):
        """The names of the children that failed lately, in the order of start."""
        return [
            name
            for name, child in self.child_by_name.items()
            if child.failures and not self.has_lived(child)
        ]

    def note_failure(self, child, error):
        """Log a failure; stop the process when there were too many."""
        child.failures += 1
        log_event(
            "child_failed",
            child=child.name,
            failures=child.failures,
            error=repr(error),
            at=source_location(error),
        )
        broken = isinstance(error, HingepitchError) and error.code in BROKEN_CODES
        if broken or child.failures == self.max_failures:
            log_event("child_gave_up", child=child.name)
            self.give_up(broken)
            raise gevent.GreenletExit

    def backoff_seconds(self, child):
        """Return the pause before the next start of `child`."""
        doublings = min(child.failures - 1, MOST_DOUBLINGS)
        doubled = FIRST_BACKOFF_SECONDS * 2**doublings
        return min(doubled, LONGEST_BACKOFF_SECONDS)

    def stop(self):
        """Kill every child and wait for it."""
        gevent.killall(list(self.greenlet_by_name.values()), timeout=5)
        self.greenlet_by_name.clear()
        self.child_by_name.clear()
