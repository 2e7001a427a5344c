"""
hingepitch.loopdelay
~~~~~~~~~~~~~~~~~~~~

Measures by how much the event loop of a process is late.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

import gevent

from hingepitch.clock import lease_seconds

__all__ = ["LoopDelay"]

#: Interval between two measurements, in seconds.
INTERVAL_SECONDS = 0.02

#: Weight of a new measurement in the moving average.
GAIN = 1 / 8

#: Delay up to which a process counts as idle, in seconds: timers fire that late
#: without other work, too.
IDLE_DELAY_SECONDS = 0.001

#: How long work is collected before it is handled together, as a multiple of the
#: average delay beyond that of an idle process, and at most, in seconds.
BATCH_DELAY_FACTOR = 8
MAX_BATCH_SECONDS = 0.1


class LoopDelay:
    """How late the timers of the event loop fire, in seconds.

    The delay grows with the number of greenlets that are ready to run, so it shows
    that a process uses all of its processor.

    `average`
        Moving average of the delay.
    `largest`
        Largest delay since the last `take_largest`.
    """

    def __init__(self):
        self.average = 0.0
        self.largest = 0.0

    def run(self):
        """Measure the delay periodically until killed."""
        while True:
            began = lease_seconds()
            gevent.sleep(INTERVAL_SECONDS)
            self.note(lease_seconds() - began - INTERVAL_SECONDS)

    def note(self, seconds):
        """Add a measured delay."""
        delay = max(0.0, seconds)
        self.average += GAIN * (delay - self.average)
        self.largest = max(self.largest, delay)

    @property
    def batch_seconds(self):
        """How long work is collected before it is handled together, in seconds.

        A process that lacks processor time thus needs less of it for each piece of
        work; one that does not waits for nothing.
        """
        late_seconds = max(0.0, self.average - IDLE_DELAY_SECONDS)
        return min(MAX_BATCH_SECONDS, BATCH_DELAY_FACTOR * late_seconds)

    def take_largest(self):
        """Return the largest delay since the last call."""
        largest, self.largest = self.largest, 0.0
        return largest
