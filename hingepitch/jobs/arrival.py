"""
hingepitch.jobs.arrival
~~~~~~~~~~~~~~~~~~~~~~~

Measures the rate of arriving work, which shows demand before tasks queue up.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

from collections import deque
from math import sqrt
from operator import attrgetter

__all__ = ["ArrivalRate", "work_core_ms"]

#: Sliding window over which arrivals are counted, in seconds. A VM takes 1.6 s to
#: move, and jobs are late after waiting 1.2 to 1.5 s; a longer window would detect a
#: burst too late.
WINDOW_SECONDS = 0.5

#: Number of standard errors subtracted from the number of arrivals. An unneeded VM
#: costs about 2 VM-seconds, a late job as much as the work of several jobs. With
#: 1.0, VMs would be ordered one arrival later.
SUBTRACTED_ERRORS = 0.5


def work_core_ms(spec, expected_ms, millicores_of=attrgetter("counted_millicores")):
    """Return the work of a job, in core-milliseconds.

    Long-running tasks do not count, since they never end.

    `spec`
        The job's specification.
    `expected_ms`
        Function from a step to the expected run time of one of its tasks.
    `millicores_of`
        Function from a step to what one of its tasks uses.
    """
    total = sum(
        step.count * millicores_of(step) * expected_ms(step)
        for step in spec.steps
        if not step.lasts
    )
    return total / 1000


class ArrivalRate:
    """The rate of work that arrives at one pool."""

    def __init__(self):
        self.arrivals = deque()

    def note(self, core_ms, now):
        """Record `core_ms` of work that arrived at `now`, in seconds."""
        self.arrivals.append((now, core_ms))

    def millicores(self, now):
        """Return the millicores needed to keep up with the arriving work.

        By Little's law, work per time is the number of cores in use. A small
        number of arrivals is a weak estimate, so `SUBTRACTED_ERRORS` of its
        standard error are subtracted.
        """
        while self.arrivals and now - self.arrivals[0][0] > WINDOW_SECONDS:
            self.arrivals.popleft()
        count = len(self.arrivals)
        if not count:
            return 0
        core_ms = sum(one for _, one in self.arrivals)
        return core_ms / WINDOW_SECONDS * (1 - SUBTRACTED_ERRORS / sqrt(count))
