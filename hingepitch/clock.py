"""
hingepitch.clock
~~~~~~~~~~~~~~~~

Clocks: a boot-time clock for leases and intervals, wall time for records.

All code that measures elapsed time uses this module. The timers of the event
loop stop while a machine is suspended, so they do not show how much time has
passed.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

import time

__all__ = ["lease_seconds", "wall_ms", "wall_seconds"]


def lease_seconds():
    """Seconds on a monotonic clock that also counts time while suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def wall_ms():
    """Milliseconds since the epoch, for records and due times."""
    return time.time_ns() // 1_000_000


def wall_seconds():
    """Whole seconds since the epoch, for records; never for leases."""
    return int(time.time())
