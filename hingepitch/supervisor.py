"""
hingepitch.supervisor
~~~~~~~~~~~~~~~~~~~~~

Runs functions as greenlets and restarts failed ones with backoff.

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
MAX_BACKOFF_SECONDS = 2.0

#: Limit of the exponent of the backoff; more doublings than it takes to get from
#: the first pause to the longest.
MAX_DOUBLINGS = 16

#: Error codes that stop the process: it must not act on the state it holds.
FATAL_CODES = frozenset(("broken_invariant", "storage_damaged"))


@dataclass(slots=True)
class Child:
    """A supervised function and its failures.

    `started`
        Time of the latest start, on the clock `lease_seconds`.
    """

    name: str
    run: object
    failures: int = 0
    started: float = 0.0


class Supervisor:
    """Runs functions as greenlets and restarts the ones that fail.

    Input from other processes or the disk can make a child fail any number of
    times. Ending the process would not help: the restarted process would get
    the same input, and its other children would be down meanwhile. Only an
    error of `FATAL_CODES` therefore ends it.

    `stop_process`
        Function: called when the process has to stop, with whether an error
        of `FATAL_CODES` is the reason.
    `max_failures`
        Consecutive failures of one child, each within `window_seconds` of its
        start, after which the process stops. Default: None, for no limit.
    `window_seconds`
        A child that ran longer than this has its failures reset.
        Default: 30.
    """

    def __init__(self, stop_process, max_failures=None, window_seconds=30):
        self.stop_process = stop_process
        self.max_failures = max_failures
        self.window_seconds = window_seconds
        self.greenlet_by_name = {}
        self.child_by_name = {}

    def start(self, name, run):
        """Run `run()` under the name `name` until `stop`."""
        child = self.child_by_name[name] = Child(name, run)
        self.greenlet_by_name[name] = gevent.spawn(self.run_child, child)

    def run_child(self, child):
        """Run `child` and restart it until it returns or the process must stop."""
        while True:
            child.started = lease_seconds()
            try:
                child.run()
                return
            except gevent.GreenletExit:
                return
            except Exception as error:
                if self.has_outlived_window(child):
                    child.failures = 0
                self.record_failure(child, error)
            gevent.sleep(self.backoff_seconds(child))

    def has_outlived_window(self, child):
        """Whether a child has run longer than the failure window."""
        return lease_seconds() - child.started > self.window_seconds

    @property
    def failing(self):
        """Names of the children that failed recently, in the order of start."""
        return [
            name
            for name, child in self.child_by_name.items()
            if child.failures and not self.has_outlived_window(child)
        ]

    def record_failure(self, child, error):
        """Log a failure; stop the process if it is fatal or at `max_failures`."""
        child.failures += 1
        log_event(
            "child_failed",
            child=child.name,
            failures=child.failures,
            error=repr(error),
            at=source_location(error),
        )
        broken = isinstance(error, HingepitchError) and error.code in FATAL_CODES
        if broken or child.failures == self.max_failures:
            log_event("child_gave_up", child=child.name)
            self.stop_process(broken)
            raise gevent.GreenletExit

    def backoff_seconds(self, child):
        """Return the backoff before the next start of `child`, in seconds."""
        doublings = min(child.failures - 1, MAX_DOUBLINGS)
        doubled = FIRST_BACKOFF_SECONDS * 2**doublings
        return min(doubled, MAX_BACKOFF_SECONDS)

    def stop(self):
        """Kill every child and wait up to 5 s for them to end."""
        gevent.killall(list(self.greenlet_by_name.values()), timeout=5)
        self.greenlet_by_name.clear()
        self.child_by_name.clear()
