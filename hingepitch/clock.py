"""
hingepitch.clock
~~~~~~~~~~~~~~~~

Clocks: one for leases, one for people. Everything that must know how much
time has passed asks here: the timers of the loop stand still while a machine
is suspended, and are no proof of it.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

import time

__all__ = ["lease_seconds", "wall_ms", "wall_seconds"]


def lease_seconds():
    """Seconds of a clock that also counts the time of a suspended machine."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def wall_ms():
    """Milliseconds since the epoch; for records and due times."""
    return time.time_ns() // 1_000_000


def wall_seconds():
    """Seconds since the epoch, as an integer; for records, never for leases."""
    return int(time.time())
